//! Closing a connection: gracefully, to free its descriptor, in the middle of a response, or at once.

use std::net::Shutdown;
use std::sync::{Arc, MutexGuard};

use valehatch_connection_limits::{ANSWER_SETTLE_TIME, ConnectionActivity};
use valehatch_policy::{Span, Time};

use super::{
    CLOSING_ERROR_RETRY_AFTER, ClientConnection, ConnectionPhase, ConnectionState, RequestInput,
};

/// How long input is discarded after the closing error.
const LINGER_TIMEOUT: Span = Span::from_millis(300);

impl ClientConnection {
    /// Gracefully closes the connection if it is idle, nothing was received, and `condition` holds.
    /// Returns whether it was closed. A request that the client sends before it sees the close is
    /// answered by the closing error, which says when to retry.
    pub(in crate::clients) fn close_idle_if(
        self: &Arc<Self>,
        retry_after: Span,
        condition: impl Fn(&ConnectionState) -> bool,
    ) -> bool {
        let state = self.state();
        let idle = state.input == RequestInput::None
            && state.pending_responses == 0
            && state.closing_since().is_none();
        // The reading thread reads from the socket under the same lock, so there are no bytes in
        // its buffer that `input` does not reflect.
        if !idle || !condition(&state) || self.has_received() {
            return false;
        }
        self.graceful_close(state, self.handler.closing_error(retry_after));
        true
    }

    /// Closes the connection to free its descriptor, if its activity is still the one for which it
    /// was chosen; otherwise reports its current activity to the limiter.
    pub(in crate::clients) fn evict(self: &Arc<Self>, chosen_for: ConnectionActivity) {
        let mut state = self.state();
        let now = self.clock.now();
        let received = self.has_received();
        let settled =
            chosen_for == ConnectionActivity::Unused || state.last_used + ANSWER_SETTLE_TIME <= now;
        if state.activity() == chosen_for && settled && !received {
            if chosen_for == ConnectionActivity::PartialRequest {
                tracing::info!(
                    client = self.id.0,
                    received_bytes = state.received_bytes,
                    requests = state.requests,
                    "closing a client whose message is incomplete: its descriptor is needed"
                );
            }
            let closing_error = self.handler.closing_error(CLOSING_ERROR_RETRY_AFTER);
            return self.graceful_close(state, closing_error);
        }
        state.reported_activity = if received {
            ConnectionActivity::PartialRequest
        } else {
            state.activity()
        };
        self.limiter
            .set_activity(self.id.0, state.reported_activity, now);
    }

    /// Begins a lingering close: queues the closing error, if there is one, and shuts down the
    /// sending side once everything is written.
    pub(in crate::clients) fn graceful_close(
        self: &Arc<Self>,
        mut state: MutexGuard<'_, ConnectionState>,
        closing_error: Vec<u8>,
    ) {
        state.set_closing_since(self.clock.now());
        state.pending_responses += usize::from(!closing_error.is_empty());
        self.report_activity(&mut state);
        drop(state);
        if !closing_error.is_empty() {
            let memory = self.reserve_message(&closing_error);
            self.enqueue(None, closing_error, memory);
        }
        self.write_queue.close(&self.stream);
    }

    /// Gracefully closes the connection once all responses are written.
    pub(in crate::clients) fn close_after_responses(self: &Arc<Self>, closing_error: Vec<u8>) {
        let mut state = self.write_held_rejection(self.state());
        if state.phase != ConnectionPhase::Open {
            return;
        }
        if state.pending_responses == 0 {
            return self.graceful_close(state, closing_error);
        }
        state.deferred_close = Some(closing_error);
        state.stalled_with = state.pending_responses;
    }

    /// Shuts down the sending side in the middle of a streamed response that cannot be completed,
    /// so that the client notices the truncation.
    pub(in crate::clients) fn truncate_response(&self) {
        let mut state = self.state();
        let now = self.clock.now();
        if state.closing_since().is_none() {
            state.set_closing_since(now);
        }
        self.report_activity(&mut state);
        drop(state);
        self.write_queue.close(&self.stream);
        self.wake_if_waiting(self.state());
    }

    /// Closes the connection without a lingering close, because nothing can be written any more.
    pub(in crate::clients) fn abort(&self) {
        let mut state = self.state();
        state.abort();
        self.report_activity(&mut state);
        drop(state);
        self.write_queue.discard();
        let _ = self.stream.shutdown(Shutdown::Both);
        self.wake_if_waiting(self.state());
        self.write_queue.notify_progress();
    }

    /// Whether the lingering close has lasted long enough. Its timeout does not run while the
    /// closing error is still being written.
    pub(in crate::clients) fn has_lingered(&self, now: Time) -> bool {
        let timed_out = self
            .closing_since()
            .is_some_and(|since| since + LINGER_TIMEOUT < now);
        timed_out && !self.is_writing()
    }
}
