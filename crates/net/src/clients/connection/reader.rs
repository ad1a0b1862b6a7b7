//! Reads from a client's socket, under the lock under which its connection is closed.
//!
//! Used by the one thread that serves the connection. State: how much a lingering close may still
//! discard.

use std::io::{self, ErrorKind, Read};
use std::sync::Arc;

use valehatch_policy::Span;

use super::super::NextInput;
use super::{CLOSING_ERROR_RETRY_AFTER, ClientConnection, LINGER_BYTES, RequestInput};

/// Closes a connection whose request is still incomplete; the protocol allows 3 s from connecting,
/// and some clients take 2 s.
const PARTIAL_REQUEST_TIMEOUT: Span = Span::from_millis(2_500);

/// Reads from the socket for as long as the connection's timeouts allow it.
pub(in crate::clients) struct ConnectionReader {
    pub connection: Arc<ClientConnection>,
    /// Bytes that a lingering close still discards.
    discardable: usize,
}

impl ConnectionReader {
    pub(in crate::clients) const fn new(connection: Arc<ClientConnection>) -> Self {
        Self {
            connection,
            discardable: LINGER_BYTES,
        }
    }

    /// Discards what was received; [`NextInput::Closed`] once the client has closed or enough was
    /// discarded.
    pub(in crate::clients) fn discard_received(&mut self) -> NextInput {
        self.connection.discard_received(&mut self.discardable)
    }
}

impl Read for ConnectionReader {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let connection = &self.connection;
        loop {
            // Waits without taking bytes: those are taken under the lock under which connections
            // are closed.
            let peeked = connection.stream.peek(&mut [0]);
            let now = connection.clock.now();
            let mut state = connection.state();
            // The lingering close discards what arrives from now on.
            if state.closing_since().is_some() {
                return Err(ErrorKind::ConnectionAborted.into());
            }
            // The peek has shown that there are bytes, so the read does not block.
            let read = peeked.and_then(|_| (&connection.stream).read(into));
            // A partial request is closed after its timeout, however it trickles in. Requests
            // before it are answered first, and each response starts the timeout anew.
            if state.input != RequestInput::None
                && state.responses_owed == 0
                && state.last_used + PARTIAL_REQUEST_TIMEOUT < now
            {
                let closing_error = connection.handler.closing_error(CLOSING_ERROR_RETRY_AFTER);
                connection.graceful_close(state, closing_error);
                return Err(ErrorKind::ConnectionAborted.into());
            }
            match read {
                Err(e) if is_transient(&e) => {}
                Ok(count @ 1..) if state.input == RequestInput::None => {
                    state.input = RequestInput::Partial;
                    state.last_used = now;
                    connection.report_activity(&mut state);
                    return Ok(count);
                }
                other => {
                    state.writes_in_pieces |= state.requests == 0;
                    return other;
                }
            }
        }
    }
}

/// Whether a timed read found nothing yet. A process that was stopped for a while comes back from
/// it interrupted.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
