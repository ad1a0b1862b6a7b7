//! Reads from a client's socket while holding the lock under which the connection is closed.
//!
//! Used by the thread that serves the connection. State: the number of bytes that a lingering close
//! may still discard.

use std::io::{self, ErrorKind, Read};
use std::sync::Arc;

use valehatch_policy::Span;

use super::super::NextInput;
use super::{CLOSING_ERROR_RETRY_AFTER, ClientConnection, LINGER_BYTES, RequestInput};

/// Timeout of an incomplete request. The protocol allows 3 s from connecting, and some clients take
/// 2 s.
const PARTIAL_REQUEST_TIMEOUT: Span = Span::from_millis(2_500);

/// Reads from the socket within the connection's timeouts.
pub(in crate::clients) struct ConnectionReader {
    pub connection: Arc<ClientConnection>,
    /// Bytes that a lingering close may still discard.
    discardable: usize,
}

impl ConnectionReader {
    pub(in crate::clients) const fn new(connection: Arc<ClientConnection>) -> Self {
        Self {
            connection,
            discardable: LINGER_BYTES,
        }
    }

    /// Discards received input. Returns [`NextInput::Closed`] once the client has closed or the
    /// limit is used up.
    pub(in crate::clients) fn discard_received(&mut self) -> NextInput {
        self.connection.discard_received(&mut self.discardable)
    }
}

impl Read for ConnectionReader {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let connection = &self.connection;
        loop {
            // Waits without consuming bytes: they are read under the lock under which connections
            // are closed.
            let peeked = connection.stream.peek(&mut [0]);
            let now = connection.clock.now();
            let mut state = connection.state();
            // The lingering close discards all further input.
            if state.closing_since().is_some() {
                return Err(ErrorKind::ConnectionAborted.into());
            }
            // The peek has shown that there are bytes, so the read does not block.
            let read = peeked.and_then(|_| (&connection.stream).read(into));
            // Closes the connection if a request is still partial after its timeout, even if bytes
            // keep arriving. Earlier requests are answered first, and each response restarts the
            // timeout.
            if state.input != RequestInput::None
                && state.pending_responses == 0
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

/// Whether a read with a timeout failed only because nothing has arrived yet. After the process was
/// stopped for a while, the read returns as interrupted.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
