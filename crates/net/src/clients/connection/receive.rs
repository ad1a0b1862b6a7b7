//! Reads from a client's socket while holding the lock under which the connection is closed, and
//! closes connections whose messages stay incomplete.

use std::io::{self, ErrorKind, Read};
use std::sync::Arc;

use valehatch_policy::{Span, Time};

use super::{CLOSING_ERROR_RETRY_AFTER, ClientConnection, RequestInput};

/// Timeout of an incomplete request. The protocol allows 3 s from connecting, and some clients take
/// 2 s.
const PARTIAL_REQUEST_TIMEOUT: Span = Span::from_millis(2_500);

/// Result of reading from a client's socket without waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::clients) enum Received {
    /// This number of bytes was read.
    Bytes(usize),
    /// No bytes have arrived.
    Pending,
    /// The client has closed its side.
    Closed,
}

impl ClientConnection {
    /// Reads bytes that have arrived; does not wait for any.
    ///
    /// # Errors
    /// Returns an error if the connection failed, and `ConnectionAborted` once a lingering close is
    /// in progress, which discards all further input.
    pub(in crate::clients) fn receive(&self, into: &mut [u8]) -> io::Result<Received> {
        let mut state = self.state();
        if state.closing_since().is_some() {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let count = match (&self.stream).read(into) {
            Ok(0) => return Ok(Received::Closed),
            Ok(count) => count,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                return Ok(Received::Pending);
            }
            Err(e) => return Err(e),
        };
        if state.input == RequestInput::None {
            state.input = RequestInput::Partial;
            state.last_used = self.clock.now();
            self.report_activity(&mut state);
        } else {
            state.writes_in_pieces |= state.requests == 0;
        }
        Ok(Received::Bytes(count))
    }

    /// Closes the connection if a message is still incomplete after its timeout, even if bytes keep
    /// arriving. Earlier requests are answered first, and each response restarts the timeout.
    /// Returns whether the connection was closed.
    pub(in crate::clients) fn close_if_incomplete_for_too_long(
        self: &Arc<Self>,
        now: Time,
    ) -> bool {
        let state = self.state();
        let expired = state.input == RequestInput::Partial
            && state.pending_responses == 0
            && state.closing_since().is_none()
            && state.last_used + PARTIAL_REQUEST_TIMEOUT < now;
        if expired {
            tracing::info!(
                client = self.id.0,
                received_bytes = state.received_bytes,
                requests = state.requests,
                "closing a client whose message is incomplete"
            );
            let closing_error = self.handler.closing_error(CLOSING_ERROR_RETRY_AFTER);
            self.graceful_close(state, closing_error);
        }
        expired
    }
}
