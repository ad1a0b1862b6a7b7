//! Closing of connections when the program is about to exit.
//!
//! A request that has arrived must be answered, so a connection is only closed together with an
//! answer: the rejection of its last request, or the closing error, which a client that has just
//! sent a request takes for the answer. Shortly after a response, a client would take the closing
//! error for a second response; such a connection stays open until its client has had time to read
//! the response. Input: rejections by the core, and the steps of the exit. After a close without an
//! answer nothing more is read, so the client may send its request again.

use std::sync::{Arc, MutexGuard};

use valehatch_core::ResponseMemory;
use valehatch_policy::Span;

use super::{
    CLOSING_ERROR_RETRY_AFTER, ClientConnection, ConnectionPhase, ConnectionState, LINGER_BYTES,
    RequestInput,
};

/// Time that a client has to read a response before the program exits. Shorter than
/// [`valehatch_connection_limits::ANSWER_SETTLE_TIME`], because open requests are failed 150 ms
/// before the exit.
pub(in crate::clients) const EXIT_SETTLE_TIME: Span = Span::from_millis(150);

/// Rejection of a request on a connection that is to be closed.
pub(in crate::clients) struct LastRejection {
    pub(in crate::clients) ticket: u64,
    /// The encoded response if the connection stays open.
    pub(in crate::clients) response: Vec<u8>,
    /// The encoded response that closes the connection.
    pub(in crate::clients) closing_error: Vec<u8>,
    /// Memory reserved for the response.
    pub(in crate::clients) memory: ResponseMemory,
}

impl ClientConnection {
    /// Rejects a request. Closes the connection with the rejection if no other response is pending
    /// and the client has sent nothing more; otherwise the connection stays open.
    pub(in crate::clients) fn reject_and_close(self: &Arc<Self>, rejection: LastRejection) {
        let mut state = self.state();
        // The reading thread has not yet determined whether more input was received with the
        // request.
        if state.input == RequestInput::Complete && state.pending_responses == 1 {
            state.last_rejection = Some(rejection);
            return;
        }
        self.write_rejection(state, rejection);
    }

    /// Called when the reading thread has handled a message; `input` is the state of the next one.
    pub(in crate::clients) fn finish_message(self: &Arc<Self>, input: RequestInput) {
        let mut last_rejection = None;
        self.update(|state| {
            state.input = input;
            last_rejection = state.last_rejection.take();
        });
        if let Some(rejection) = last_rejection {
            self.write_rejection(self.state(), rejection);
        }
    }

    /// Called when the reading thread is about to wait until responses are written. It does not
    /// call [`ClientConnection::finish_message`] before that, so a rejection held for that call is
    /// written now, and later ones are not held.
    pub(in crate::clients) fn write_held_rejection<'a>(
        self: &'a Arc<Self>,
        mut state: MutexGuard<'a, ConnectionState>,
    ) -> MutexGuard<'a, ConnectionState> {
        state.input = RequestInput::Partial;
        let Some(rejection) = state.last_rejection.take() else {
            return state;
        };
        drop(state);
        self.enqueue(Some(rejection.ticket), rejection.response, rejection.memory);
        self.state()
    }

    fn write_rejection(
        self: &Arc<Self>,
        mut state: MutexGuard<'_, ConnectionState>,
        rejection: LastRejection,
    ) {
        let is_last = state.input == RequestInput::None
            && state.pending_responses == 1
            && state.phase == ConnectionPhase::Open
            && !self.has_received();
        if !is_last {
            drop(state);
            return self.enqueue(Some(rejection.ticket), rejection.response, rejection.memory);
        }
        state.set_closing_since(self.clock.now());
        self.report_activity(&mut state);
        drop(state);
        self.enqueue(
            Some(rejection.ticket),
            rejection.closing_error,
            rejection.memory,
        );
        self.write_queue.close(&self.stream);
    }

    /// Whether neither side has closed the connection.
    pub(in crate::clients) fn is_open(&self) -> bool {
        let state = self.state();
        state.phase == ConnectionPhase::Open && state.is_client_connected()
    }

    /// Whether the exit would cut off a response that was pending when it was first requested, or the
    /// answer with which the connection is being closed. A response that was cut off already, or
    /// whose client has disconnected, is not owed any more.
    pub(in crate::clients) fn owes_response_at_exit(&self) -> bool {
        let state = self.state();
        if !state.is_client_connected() {
            return false;
        }
        match state.phase {
            ConnectionPhase::Open => state.owes_response_at_exit(),
            ConnectionPhase::Closing { .. } => self.write_queue.is_writing(),
            ConnectionPhase::Aborted { .. } => false,
        }
    }

    /// Closes the connection with the closing error. Does nothing while a request is in flight, or
    /// if the connection was used within [`EXIT_SETTLE_TIME`] and no input has arrived since. The
    /// first call also determines which responses the exit waits for.
    pub(in crate::clients) fn close_for_exit(self: &Arc<Self>) {
        let mut state = self.state();
        state.request_exit();
        if state.input == RequestInput::Complete
            || state.pending_responses > 0
            || state.closing_since().is_some()
        {
            return;
        }
        let closing_error = self.handler.closing_error(CLOSING_ERROR_RETRY_AFTER);
        let expects_answer = state.input == RequestInput::Partial
            || self.has_received()
            || state.last_used + EXIT_SETTLE_TIME <= self.clock.now();
        if expects_answer && !closing_error.is_empty() {
            self.graceful_close(state, closing_error);
        }
    }

    /// Last step before the exit, which closes the socket. Unread bytes in its receive buffer would
    /// make the kernel send a reset, and the client could lose the last bytes written; input after
    /// a closing error is therefore discarded. On an open connection, the sending side is shut down
    /// first, so that the client sees the end of the stream before a reset.
    pub(in crate::clients) fn finish_for_exit(&self) {
        if self.closing_since().is_some() {
            self.discard_received(&mut { LINGER_BYTES });
        } else {
            self.write_queue.close(&self.stream);
        }
    }
}
