//! When requests have arrived that could not be read at once.
//!
//! A request's time runs from when its client has sent it. While input is unread, that is not known; a
//! request counts as sent when the input was last known to be read to its end, which is not later. State:
//! the position in the client's input, and a position behind which input arrived after a known time.

use valehatch_policy::Time;

/// Less than any socket's receive buffer: a client was not kept from sending while no more was unread.
const UNBLOCKED_BYTES: usize = 32 * 1024;

/// Input behind this position arrived after this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CaughtUp {
    position: u64,
    at: Time,
}

/// Tracks which part of a client's input arrived after which time.
#[derive(Debug, Default)]
pub(super) struct ArrivalTracker {
    /// Bytes of messages that were returned, rejected or skipped.
    handled: u64,
    /// Bytes that were read since the input was last read to its end.
    read_since_caught_up: usize,
    caught_up: Option<CaughtUp>,
}

impl ArrivalTracker {
    /// Records bytes that were read from the socket.
    pub(super) const fn on_read(&mut self, bytes: usize) {
        self.read_since_caught_up = self.read_since_caught_up.saturating_add(bytes);
    }

    /// Records that all input that had arrived by now is read; `unhandled` bytes of it are not handled.
    pub(super) fn on_caught_up(&mut self, now: Time, unhandled: usize) {
        let read = std::mem::take(&mut self.read_since_caught_up);
        // What a client could not send, because the buffer was full, still comes from before.
        if read <= UNBLOCKED_BYTES && self.caught_up.is_none() {
            self.caught_up = Some(CaughtUp {
                position: self.handled + unhandled as u64,
                at: now,
            });
        }
    }

    /// Records that the next bytes are handled. Returns a time after which all further input has
    /// arrived, and the last of these bytes, if a later one is known than before.
    pub(super) fn on_handled(&mut self, bytes: usize) -> Option<Time> {
        self.handled += bytes as u64;
        let passed = self
            .caught_up
            .take_if(|caught_up| self.handled > caught_up.position)?;
        Some(passed.at)
    }
}

#[cfg(test)]
mod tests;
