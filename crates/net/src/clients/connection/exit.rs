//! How a connection is closed as the program is about to exit.
//!
//! A request that has arrived is owed an answer, so a connection is only closed with one: the
//! rejection of its last request, or the closing error, which a client that has just sent a request
//! takes for the answer. Right after a response a client would take the closing error for a second
//! one; such a connection stays open until its client has had time to read the response. Input:
//! rejections by the core, and the steps of the exit. Nothing is read behind a close without an
//! answer: the client may send that request again.

use std::sync::{Arc, MutexGuard};

use valehatch_policy::Span;

use super::{
    CLOSING_ERROR_RETRY_AFTER, ClientConnection, ConnectionPhase, ConnectionState, LINGER_BYTES,
    RequestInput,
};

/// How long a client may take to read a response before the program exits. Shorter than
/// [`valehatch_connection_limits::ANSWER_SETTLE_TIME`]: open requests are failed 150 ms before.
pub(in crate::clients) const EXIT_SETTLE_TIME: Span = Span::from_millis(150);

/// The rejection of a request on a connection that is to be closed.
pub(in crate::clients) struct LastRejection {
    /// The ticket of the request.
    pub(in crate::clients) ticket: u64,
    /// The response where the connection stays open.
    pub(in crate::clients) response: Vec<u8>,
    /// The response that closes it.
    pub(in crate::clients) closing_error: Vec<u8>,
}

impl ClientConnection {
    /// Rejects a request, and closes the connection with that if its client is owed nothing else
    /// and has sent nothing more; otherwise the connection stays open.
    pub(in crate::clients) fn reject_and_close(self: &Arc<Self>, rejection: LastRejection) {
        let mut state = self.state();
        // The reading thread has yet to see whether more was received along with the request.
        if state.input == RequestInput::Complete && state.responses_owed == 1 {
            state.last_rejection = Some(rejection);
            return;
        }
        self.write_rejection(state, rejection);
    }

    /// The reading thread has handled a message, and `input` is what follows it.
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

    /// The reading thread closes the connection once all responses are written, and does not come
    /// back for a rejection: one that waits for it is written now, and none will wait.
    pub(in crate::clients) fn begin_close_by_reader(self: &Arc<Self>) {
        let mut state = self.state();
        state.input = RequestInput::Partial;
        let waiting = state.last_rejection.take();
        drop(state);
        if let Some(rejection) = waiting {
            self.enqueue(Some(rejection.ticket), rejection.response);
        }
    }

    fn write_rejection(
        self: &Arc<Self>,
        mut state: MutexGuard<'_, ConnectionState>,
        rejection: LastRejection,
    ) {
        let is_last = state.input == RequestInput::None
            && state.responses_owed == 1
            && state.phase == ConnectionPhase::Open
            && !self.has_received();
        if !is_last {
            drop(state);
            return self.enqueue(Some(rejection.ticket), rejection.response);
        }
        state.set_closing_since(self.clock.now());
        self.report_activity(&mut state);
        drop(state);
        self.enqueue(Some(rejection.ticket), rejection.closing_error);
        self.write_queue.close(&self.stream);
    }

    /// Whether neither side has closed the connection.
    pub(in crate::clients) fn is_open(&self) -> bool {
        let state = self.state();
        state.phase == ConnectionPhase::Open && state.is_client_connected()
    }

    /// Closes the connection with the closing error unless a request is in flight or a response was
    /// written a moment ago.
    pub(in crate::clients) fn close_for_exit(self: &Arc<Self>) {
        let state = self.state();
        if state.input == RequestInput::Complete
            || state.responses_owed > 0
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

    /// The last step before the exit, which closes the socket. With unread bytes in its receive
    /// buffer the kernel sends a reset, and the client would lose what was written last: what comes
    /// behind a closing error is discarded. An open connection is ended first, so that its client
    /// sees the end before a reset.
    pub(in crate::clients) fn finish_for_exit(&self) {
        if self.closing_since().is_some() {
            self.discard_received(&mut { LINGER_BYTES });
        } else {
            self.write_queue.close(&self.stream);
        }
    }
}
