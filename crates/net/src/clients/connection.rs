//! A client connection: its state, its reads and writes, and how the gateway closes it.
//!
//! A connection is closed gracefully, with a lingering close: the queued responses and then the
//! closing error are written, and the sending side is shut down. Input is then discarded until the
//! client closes its side or a limit is reached, and only then is the descriptor freed. If a socket
//! is closed with unread bytes, the kernel sends a reset, and the client could lose the last bytes
//! written.
//!
//! Any thread may use a connection. Its state and its write queue have a lock each; the state's
//! lock is never taken while the write queue's is held.

mod exit;
mod reader;
mod state;

pub(super) use exit::{EXIT_SETTLE_TIME, LastRejection};
pub(super) use reader::ConnectionReader;
pub(super) use state::{ClientPresence, ConnectionPhase, ConnectionState, RequestInput};

use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;

use valehatch_connection_limits::{ANSWER_SETTLE_TIME, ConnectionActivity};
use valehatch_core::{ClientId, ResponseMemory};
use valehatch_memory_budget::{MemoryBudget, MemoryUse, Reservation};
use valehatch_policy::{Span, Time};

use super::write_queue::{QueueStatus, RestOutcome, WriteOutcome, WriteQueue};
use super::{NextInput, RequestHandler};
use crate::connection_limits::SharedConnectionLimiter;
use crate::{Clock, lock, spawn};

/// Delay after which a client may retry a request that met a closing connection. Short, because the
/// close is not due to overload.
pub(super) const CLOSING_ERROR_RETRY_AFTER: Span = Span::from_millis(1);
/// How long input is discarded after the closing error.
const LINGER_TIMEOUT: Span = Span::from_millis(300);
/// How many bytes of input are discarded after the closing error.
const LINGER_BYTES: usize = 1024 * 1024;
/// How often a thread that waits for responses to be written checks whether the client has
/// disconnected. A request must not start more than 0.1 s after its client has disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Read timeout of the socket: how often a thread that waits for the rest of a message checks the
/// connection's state.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Write timeout of the socket: a connection whose client has received no bytes for this long is
/// closed. Some clients take seconds to read.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// State of the socket's receive buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceiveStatus {
    Empty,
    Data,
    /// The client has closed or half-closed the connection, or the connection was reset; unread
    /// bytes may remain. A half-close counts as a close: no response is written after it.
    PeerClosed,
}

/// Whether a client is owed responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingResponses {
    None,
    Some,
}

/// A client connection. It counts against the limiter until it is dropped, which frees its
/// descriptor.
pub(super) struct ClientConnection {
    pub id: ClientId,
    pub stream: TcpStream,
    state: Mutex<ConnectionState>,
    /// Signalled when fewer responses are pending or the connection was aborted.
    pending_decreased: Condvar,
    write_queue: WriteQueue,
    /// Budget of all connections of the front.
    pub memory: Arc<MemoryBudget>,
    handler: Arc<dyn RequestHandler>,
    clock: Clock,
    limiter: Arc<SharedConnectionLimiter>,
}

impl ClientConnection {
    pub(super) fn new(
        id: ClientId,
        stream: TcpStream,
        now: Time,
        memory: Arc<MemoryBudget>,
        handler: Arc<dyn RequestHandler>,
        clock: Clock,
        limiter: Arc<SharedConnectionLimiter>,
    ) -> Self {
        Self {
            id,
            stream,
            state: Mutex::new(ConnectionState::new(now)),
            pending_decreased: Condvar::new(),
            write_queue: WriteQueue::default(),
            memory,
            handler,
            clock,
            limiter,
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ConnectionState> {
        lock(&self.state)
    }

    /// When this side began to close the connection, if it has.
    pub(super) fn closing_since(&self) -> Option<Time> {
        self.state().closing_since()
    }

    pub(super) fn reserve_chunk(&self) -> Reservation {
        self.memory.reserve_chunk()
    }

    /// Reserves memory for a short message of the gateway itself.
    pub(super) fn reserve_message(&self, message: &[u8]) -> ResponseMemory {
        let reserved = self.memory.reserve(MemoryUse::Responses, message.len());
        reserved.into()
    }

    /// Reports a changed activity to the limiter. Called with the state's lock held, so that the
    /// limiter receives the changes in order.
    pub(super) fn report_activity(&self, state: &mut ConnectionState) {
        let activity = state.activity();
        if activity != state.reported_activity {
            state.reported_activity = activity;
            self.limiter
                .set_activity(self.id.0, activity, state.last_used);
        }
    }

    /// Changes the state and records that the connection was used.
    pub(super) fn update(&self, change: impl FnOnce(&mut ConnectionState)) {
        let mut state = self.state();
        change(&mut state);
        state.last_used = self.clock.now();
        self.report_activity(&mut state);
        let has_waiting_reader = state.has_waiting_reader;
        drop(state);
        // Notifying is a system call even if no thread waits.
        if has_waiting_reader {
            self.pending_decreased.notify_all();
        }
    }
}

/// Reading from the client.
impl ClientConnection {
    /// Checks the receive buffer; consumes nothing and does not block.
    pub(super) fn receive_status(&self) -> ReceiveStatus {
        let mut socket = [PollFd::new(&self.stream, PollFlags::IN | PollFlags::RDHUP)];
        let _ = poll(&mut socket, Some(&NO_WAIT));
        let ready = socket[0].revents();
        if ready.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR) {
            ReceiveStatus::PeerClosed
        } else if ready.is_empty() {
            ReceiveStatus::Empty
        } else {
            ReceiveStatus::Data
        }
    }

    /// Whether bytes or the client's close are waiting to be read.
    pub(super) fn has_received(&self) -> bool {
        self.receive_status() != ReceiveStatus::Empty
    }

    /// Discards input received after the closing error: left unread, it would cause a reset, and
    /// the client could lose that error. Returns [`NextInput::Closed`] once the client has closed
    /// or `remaining` is used up.
    pub(super) fn discard_received(&self, remaining: &mut usize) -> NextInput {
        let mut buffer = [std::mem::MaybeUninit::uninit(); 16 * 1024];
        let socket = SockRef::from(&self.stream);
        while *remaining > 0 {
            match socket.recv_with_flags(&mut buffer, libc::MSG_DONTWAIT) {
                Ok(count @ 1..) => *remaining = remaining.saturating_sub(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return NextInput::Pending,
                _ => return NextInput::Closed,
            }
        }
        NextInput::Closed
    }

    /// Waits until fewer than `limit` responses are pending.
    ///
    /// # Errors
    /// Returns `ConnectionAborted` if the client disconnects during the wait, and `BrokenPipe` if
    /// this side has closed the connection.
    pub(super) fn wait_for_pending_below(
        &self,
        limit: usize,
    ) -> io::Result<MutexGuard<'_, ConnectionState>> {
        let mut state = self.state();
        loop {
            // A request that arrived during the close is answered by the closing error and is not
            // executed.
            if state.phase != ConnectionPhase::Open {
                return Err(ErrorKind::BrokenPipe.into());
            }
            if state.pending_responses < limit {
                return Ok(state);
            }
            state = self.wait_for_written_response(state)?;
        }
    }

    /// Waits until a response was written, for at most [`DISCONNECT_CHECK_INTERVAL`]. Until the
    /// reader has caught up, what it reads may have arrived when the wait began.
    ///
    /// # Errors
    /// Returns `ConnectionAborted` if the client has disconnected.
    fn wait_for_written_response<'a>(
        &'a self,
        mut state: MutexGuard<'a, ConnectionState>,
    ) -> io::Result<MutexGuard<'a, ConnectionState>> {
        // While the connection's own thread waits here, no other thread would notice a disconnect.
        if self.receive_status() == ReceiveStatus::PeerClosed {
            state.set_disconnected();
            return Err(ErrorKind::ConnectionAborted.into());
        }
        state.input_delayed_since.get_or_insert(self.clock.now());
        state.has_waiting_reader = true;
        state = self
            .pending_decreased
            .wait_timeout(state, DISCONNECT_CHECK_INTERVAL)
            .unwrap_or_else(PoisonError::into_inner)
            .0;
        state.has_waiting_reader = false;
        Ok(state)
    }

    /// Reserves memory with `reserve`, which is told whether other responses are pending. While it
    /// is denied and responses are pending, waits for them to be written, and nothing more is read
    /// from the client. Returns `None` if there is no memory although no response is pending.
    ///
    /// # Errors
    /// See [`ClientConnection::wait_for_pending_below`].
    pub(super) fn reserve_memory<T>(
        self: &Arc<Self>,
        reserve: impl Fn(PendingResponses) -> Option<T>,
    ) -> io::Result<Option<T>> {
        let mut state = self.state();
        loop {
            if state.phase != ConnectionPhase::Open {
                return Err(ErrorKind::BrokenPipe.into());
            }
            let pending = match state.pending_responses {
                0 => PendingResponses::None,
                _ => PendingResponses::Some,
            };
            let reserved = reserve(pending);
            if reserved.is_some() || pending == PendingResponses::None {
                return Ok(reserved);
            }
            state = self.write_held_rejection(state);
            state = self.wait_for_written_response(state)?;
        }
    }

    /// When the request that was just read may have arrived.
    pub(super) fn input_received_at(&self) -> Time {
        let delayed_since = self.state().input_delayed_since;
        delayed_since.unwrap_or_else(|| self.clock.now())
    }

    /// Counts one more pending response; waits while the pipeline limit is reached.
    ///
    /// # Errors
    /// See [`ClientConnection::wait_for_pending_below`].
    pub(super) fn reserve_response(&self) -> io::Result<()> {
        let mut state = self.wait_for_pending_below(self.handler.pipeline_limit())?;
        state.pending_responses += 1;
        self.report_activity(&mut state);
        Ok(())
    }
}

/// Writing to the client.
impl ClientConnection {
    /// Queues a response and writes as much as the client receives at once. Never blocks: a
    /// separate thread writes the rest.
    pub(super) fn enqueue(
        self: &Arc<Self>,
        ticket: Option<u64>,
        response: Vec<u8>,
        memory: ResponseMemory,
    ) {
        let ticket = ticket.filter(|_| self.handler.has_ordered_responses());
        let outcome = self
            .write_queue
            .enqueue(&self.stream, ticket, response, memory);
        self.on_written(outcome);
    }

    fn on_written(self: &Arc<Self>, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::NothingToDo => {}
            WriteOutcome::Written { responses } => {
                self.update(|state| state.pending_responses -= responses);
            }
            WriteOutcome::WouldBlock { responses } => {
                if responses > 0 {
                    self.update(|state| state.pending_responses -= responses);
                }
                let connection = Arc::clone(self);
                if spawn("client out", move || connection.write_rest()).is_err() {
                    self.abort();
                }
            }
            WriteOutcome::Failed => self.abort(),
        }
    }

    /// Writes the rest of the queue to a client that is slow to read.
    fn write_rest(&self) {
        loop {
            match self.write_queue.write_next(&self.stream) {
                Ok(RestOutcome::Written) => {
                    self.update(|state| state.pending_responses -= 1);
                }
                Ok(RestOutcome::Drained(status)) => return self.on_writer_stopped(status),
                Err(_) => return self.abort(),
            }
        }
    }

    fn on_writer_stopped(&self, status: QueueStatus) {
        if status == QueueStatus::Closed {
            // The linger timeout starts when writing ends, not when the closing error was queued.
            let now = self.clock.now();
            let mut state = self.state();
            if state.closing_since().is_some() {
                state.set_closing_since(now);
            }
        }
    }

    /// Writes part of a streamed response once the response is next in order; blocks while the
    /// client is slow to read.
    ///
    /// # Errors
    /// Returns an error if the connection failed or was closed.
    pub(super) fn forward(&self, ticket: u64, bytes: &[u8]) -> io::Result<()> {
        self.write_queue.begin_streaming(ticket)?;
        let written = (&self.stream).write_all(bytes);
        if written.is_err() {
            self.abort();
        }
        let status = self.write_queue.end_streaming(&self.stream);
        self.on_writer_stopped(status);
        written
    }

    /// Completes a streamed response and writes the responses that waited for it.
    pub(super) fn finish_streamed_response(self: &Arc<Self>) {
        self.update(|state| state.pending_responses -= 1);
        let outcome = self.write_queue.finish_streamed_response(&self.stream);
        self.on_written(outcome);
        self.write_queue.notify_progress();
    }

    /// Whether a thread is writing to a client that is slow to read.
    pub(super) fn is_writing(&self) -> bool {
        let writing = self.write_queue.is_writing();
        writing && !self.state().is_aborted()
    }

    /// Whether a request is about to be admitted, or a response is not completely written.
    pub(super) fn is_busy(&self) -> bool {
        let state = self.state();
        let admitting = state.input == RequestInput::Complete && state.closing_since().is_none();
        let busy = !state.is_aborted() && (admitting || state.pending_responses > 0);
        drop(state);
        busy || self.is_writing()
    }
}

/// Closing the connection.
impl ClientConnection {
    /// Gracefully closes the connection if it is idle, nothing was received, and `condition` holds.
    /// Returns whether it was closed. A request that the client sends before it sees the close is
    /// answered by the closing error, which says when to retry.
    pub(super) fn close_idle_if(
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
    pub(super) fn evict(self: &Arc<Self>, chosen_for: ConnectionActivity) {
        let mut state = self.state();
        let now = self.clock.now();
        let received = self.has_received();
        let settled =
            chosen_for == ConnectionActivity::Unused || state.last_used + ANSWER_SETTLE_TIME <= now;
        if state.activity() == chosen_for && settled && !received {
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
    pub(super) fn graceful_close(
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

    /// Shuts down the sending side in the middle of a streamed response that cannot be completed,
    /// so that the client notices the truncation.
    pub(super) fn truncate_response(&self) {
        let mut state = self.state();
        let now = self.clock.now();
        if state.closing_since().is_none() {
            state.set_closing_since(now);
        }
        self.report_activity(&mut state);
        drop(state);
        self.write_queue.close(&self.stream);
        self.pending_decreased.notify_all();
    }

    /// Closes the connection without a lingering close, because nothing can be written any more.
    pub(super) fn abort(&self) {
        let mut state = self.state();
        state.abort();
        self.report_activity(&mut state);
        drop(state);
        self.write_queue.discard();
        let _ = self.stream.shutdown(Shutdown::Both);
        self.pending_decreased.notify_all();
        self.write_queue.notify_progress();
    }

    /// Whether the lingering close has lasted long enough. Its timeout does not run while the
    /// closing error is still being written.
    pub(super) fn has_lingered(&self, now: Time) -> bool {
        let timed_out = self
            .closing_since()
            .is_some_and(|since| since + LINGER_TIMEOUT < now);
        timed_out && !self.is_writing()
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.limiter.remove(self.id.0);
    }
}

#[cfg(test)]
mod tests;
