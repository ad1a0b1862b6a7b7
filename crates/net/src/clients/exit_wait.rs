//! Decides when a process that is asked to exit may do so.
//!
//! Input is what the client connections have left, at each poll. A response that is owed is waited
//! for without a limit of its own: it ends when its last byte is written, when its client has
//! received nothing for the write timeout, or when its endpoint has sent nothing for the stall
//! timeout. Everything else has a short grace. State: when the exit was requested, and when a response
//! was last owed. Times are whole microseconds of the process's monotonic clock.

use valehatch_policy::{Span, Time};

use super::connection::EXIT_SETTLE_TIME;

/// Maximum time that the exit waits for requests being read and rejections being written.
const EXIT_GRACE: Span = Span::from_millis(50);
/// How long the exit waits after the last closing error. Requests that arrive in this time are
/// discarded: left unread, their bytes would make the kernel reset the connection, and the client
/// could lose the error.
const EXIT_LINGER_TIME: Span = Span::from_millis(20);

/// What all client connections together have left before the exit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RemainingWork {
    /// Responses that were pending when the exit was first requested are not completely written.
    pub owes_responses: bool,
    /// A request is being accepted or rejected, or a connection is open whose client may not have
    /// read its last response.
    pub is_unsettled: bool,
    /// When the last connection was closed with a closing error.
    pub last_closed_at: Option<Time>,
}

/// Progress of an exit.
#[derive(Debug, Default)]
pub(super) struct ExitWait {
    requested_at: Option<Time>,
    /// When a response was last owed, if one was owed beyond the grace of the request.
    owed_until: Option<Time>,
}

impl ExitWait {
    /// Whether the process may exit now.
    pub(super) fn may_exit(&mut self, now: Time, work: RemainingWork) -> bool {
        let requested_at = *self.requested_at.get_or_insert(now);
        if work.owes_responses {
            if now - requested_at >= EXIT_GRACE {
                self.owed_until = Some(now);
            }
            return false;
        }
        let grace_ends_at = match self.owed_until {
            // The client needs time to read the response.
            Some(owed_until) => owed_until + EXIT_SETTLE_TIME + EXIT_GRACE,
            None => requested_at + EXIT_GRACE,
        };
        if work.is_unsettled && now < grace_ends_at {
            return false;
        }
        let lingers = work
            .last_closed_at
            .is_some_and(|closed_at| now - closed_at < EXIT_LINGER_TIME);
        !lingers || now >= grace_ends_at + EXIT_LINGER_TIME
    }

    /// Whether the exit has been delayed by a response that is owed.
    pub(super) const fn is_delayed(&self) -> bool {
        self.owed_until.is_some()
    }
}

#[cfg(test)]
mod tests;
