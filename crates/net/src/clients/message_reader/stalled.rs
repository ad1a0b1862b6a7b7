//! Reads the input of a connection that waits for a written response, as far as it is needed to know
//! whether its client is connected, and when its requests have arrived.

use std::io;

use valehatch_policy::Time;

use super::read_ahead::ReadAheadOutcome;
use super::{MAX_READ_BYTES, RequestReader};
use crate::clients::connection::Received;

/// What reading ahead has come to, on a connection that waits for a written response.
pub(in crate::clients) enum ReadAheadEnd {
    /// The connection still waits.
    Waits,
    /// The turn is over.
    TurnOver,
    /// The client has disconnected.
    Disconnected,
}

impl RequestReader {
    /// Reads what cannot be handled yet, if it is not known whether the client is connected.
    pub(super) fn read_ahead_if_needed(&mut self) -> io::Result<ReadAheadEnd> {
        if !self.connection.reads_ahead() {
            return Ok(ReadAheadEnd::Waits);
        }
        while !self.turn.is_over() {
            match self.read_ahead.receive(&self.connection)? {
                ReadAheadOutcome::Bytes(count) => {
                    self.turn.bytes = self.turn.bytes.saturating_sub(count);
                    self.arrival.on_read(count);
                }
                ReadAheadOutcome::CaughtUp => {
                    let now = self.catch_up();
                    let unhandled = self.unhandled().len() + self.read_ahead.len();
                    self.arrival.on_caught_up(now, unhandled);
                    return Ok(ReadAheadEnd::Waits);
                }
                ReadAheadOutcome::Closed => return Ok(ReadAheadEnd::Disconnected),
                ReadAheadOutcome::OutOfMemory => {
                    self.connection.confirm_presence_without_reading();
                    return Ok(ReadAheadEnd::Waits);
                }
            }
        }
        Ok(ReadAheadEnd::TurnOver)
    }

    /// Discards the input behind the end of a session, if it is not known whether the client, which is
    /// still owed responses, is connected.
    pub(in crate::clients) fn discard_ahead(&mut self) -> ReadAheadEnd {
        self.caught_up = false;
        if !self.connection.reads_ahead() {
            return ReadAheadEnd::Waits;
        }
        self.put_back = None;
        self.take_received();
        self.read_ahead.clear();
        let mut buffer = [0; MAX_READ_BYTES];
        while !self.turn.is_over() {
            match self.connection.receive(&mut buffer) {
                Ok(Received::Bytes(count)) => {
                    self.turn.bytes = self.turn.bytes.saturating_sub(count);
                }
                Ok(Received::Pending) => {
                    self.catch_up();
                    return ReadAheadEnd::Waits;
                }
                Ok(Received::Closed) | Err(_) => return ReadAheadEnd::Disconnected,
            }
        }
        ReadAheadEnd::TurnOver
    }

    /// Records that all input that has arrived was read: its end would have been among it.
    fn catch_up(&mut self) -> Time {
        self.caught_up = true;
        self.connection.confirm_presence_by_read()
    }

    /// Whether all input that has arrived was read, although the next message cannot be handled.
    pub(in crate::clients) const fn has_caught_up(&self) -> bool {
        self.caught_up
    }
}
