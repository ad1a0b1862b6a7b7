//! Shutdown and its stages.

use crate::prelude::*;

/// After a planned stop was asked for, connections are still taken for so long: they keep coming for 0.4 s.
pub(crate) const STILL_TAKEN: Span = Span::from_millis(450);
/// The platform kills a program that has not ended by its longest deadline, cut to this, and so much more.
pub(crate) const LONGEST: Span = Span::from_millis(3_000);
pub(crate) const MORE: Span = Span::from_millis(700);
/// The part of that time, in tenths, in which connections that clients have are still served: they use them
/// for as long as these stay open, and the other gateways may be down as well.
pub(crate) const SERVED_TENTHS: i64 = 9;
/// Where another process takes the connections, those that are open are served for so long before they end as they rest.
pub(crate) const LEAVES: Span = Span::from_millis(100);
/// What is still open so long before the end is given up.
pub(crate) const LAST_WORD: Span = Span::from_millis(250);
/// Where another process takes the connections, what comes in so long before that is refused: it would be cut off, and its
/// client is served there. Answers that are on their way have so long to come.
pub(crate) const LAST_ASKED: Span = Span::from_millis(250);
/// When clients that are refused for that should come back.
pub(crate) const AT_ONCE: Span = Span::from_millis(1);
/// How often, from when no more is to be served, connections are looked over for those that have come to rest.
pub(crate) const CLOSE_EACH: Span = Span::from_millis(25);
/// So long before it the program ends, whatever clients still hold open: they have been told, and are not waited for.
pub(crate) const GONE: Span = Span::from_millis(100);
/// How often, from then on, it is asked to end: it does once nothing is half read or half written.
pub(crate) const EXIT_EACH: Span = Span::from_millis(5);

impl State {
    /// Where the process stands.
    pub(crate) const fn stage(&self) -> ProcessStage {
        if self.ended {
            ProcessStage::Stopping
        } else if self.stopped {
            ProcessStage::Closing
        } else if self.stopping || self.left {
            ProcessStage::Draining
        } else {
            ProcessStage::Serving
        }
    }
}
