//! When a queue has stood for too long. After CoDel (RFC 8289): what counts is the shortest wait of an interval, and from
//! when it has been too long, one is cut off the front after ever shorter pauses, until it no longer is. What differs: the
//! target is a part of what a request may wait at all, and the last one in the queue is never cut.

use valehatch_policy::{Span, Time};

/// A wait that may stand.
const TARGET: Span = Span::from_millis(100);
/// For so long it may be exceeded.
const INTERVAL: Span = Span::from_millis(500);

/// The state of a lane's queue.
#[derive(Debug, Default)]
pub struct StandingQueue {
    /// When the wait will have been too long for an interval.
    above_until: Option<Time>,
    dropping: bool,
    next: Time,
    count: u32,
}

impl StandingQueue {
    /// One leaves the queue after a wait, and so many are behind it: whether it is cut.
    pub fn drops(&mut self, now: Time, waited: Span, behind: usize) -> bool {
        let long = waited >= TARGET && behind > 0;
        let ripe = if long {
            let until = *self.above_until.get_or_insert(now + INTERVAL);
            now >= until
        } else {
            self.above_until = None;
            false
        };
        if self.dropping {
            if !ripe {
                self.dropping = false;
                return false;
            }
            if now < self.next {
                return false;
            }
            self.count += 1;
            self.next = self.next + Self::pause(self.count);
            return true;
        }
        if !ripe {
            return false;
        }
        self.dropping = true;
        // Soon after it has dropped before, it goes on about where it was.
        let recent = now - self.next < Span(INTERVAL.0 * 16);
        self.count = if recent && self.count > 2 {
            self.count - 2
        } else {
            1
        };
        self.next = now + Self::pause(self.count);
        true
    }

    fn pause(count: u32) -> Span {
        Span(1).times(INTERVAL.as_f64() / f64::from(count).sqrt())
    }
}
