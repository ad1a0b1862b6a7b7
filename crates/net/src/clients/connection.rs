//! One client connection: its state, its reads and writes, and how this side closes it.
//!
//! Closing is graceful with a lingering close: queued responses are written, then the closing error; sending is shut down; what
//! the client still sends is discarded until it closes too or a bound is reached; only then is the descriptor freed. Closing a
//! socket with unread bytes makes the kernel send a reset, and the client would lose what was written last.
//!
//! Any thread may use a connection. Its state is under one lock, its write queue under another; the write queue's lock is never
//! held while the state's is taken.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;

use valehatch_connection_limits::{ANSWER_SETTLE_TIME, ConnectionActivity};
use valehatch_core::ClientId;
use valehatch_policy::{Span, Time};

use super::buffer_budget::{BufferBudget, ChunkReservation};
use super::write_queue::{QueueStatus, RestOutcome, WriteOutcome, WriteQueue};
use super::{NextInput, RequestHandler};
use crate::connection_limits::SharedConnectionLimiter;
use crate::{Clock, lock, spawn};

/// Closes an idle connection that has sent one request at most.
const IDLE_TIMEOUT: Span = Span::from_millis(2_000);
/// Closes an idle connection that has sent several requests. Longer, since a new connection costs more than an idle one, and
/// clients may have no other gateway to connect to while gateways restart in turn.
const REUSED_IDLE_TIMEOUT: Span = Span::from_millis(10_000);
/// Closes a connection whose request is still incomplete; the protocol allows 3 s from connecting, and some clients take 2 s.
const PARTIAL_REQUEST_TIMEOUT: Span = Span::from_millis(2_500);
/// When a client may retry a request that met a closing connection: nothing is overloaded.
pub(super) const CLOSING_ERROR_RETRY_AFTER: Span = Span::from_millis(1);
/// How long received bytes are discarded after the closing error.
const LINGER_TIMEOUT: Span = Span::from_millis(300);
/// How many received bytes are discarded after the closing error.
pub(super) const LINGER_BYTES: usize = 1024 * 1024;
/// How often a thread that waits for responses to be written checks whether the client has disconnected: a request must not
/// begin more than 0.1 s after that.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How often a thread that waits for the rest of a message checks the connection's state.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Closes a connection whose client has taken no bytes for this long; some take seconds to read.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// What waits in the socket's receive buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceiveStatus {
    Empty,
    Data,
    /// The client has closed or half-closed the connection, or it was reset, whether or not bytes are left. A half-close counts
    /// as well: no response is written after it.
    PeerClosed,
}

/// How far the message that is being read has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestInput {
    /// No byte of it.
    None,
    /// At least one byte.
    Partial,
    /// It is a complete request, which is about to be admitted or rejected.
    Complete,
}

/// How far this side has closed the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    Open,
    /// A lingering close is under way: received bytes are discarded, and no request runs.
    Closing {
        since: Time,
    },
    /// Nothing can be written any more. A lingering close that was under way goes on.
    Aborted {
        closing_since: Option<Time>,
    },
}

/// Whether the client is still there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientPresence {
    Connected,
    /// It has closed the connection: requests that it had sent before are counted, and do not run.
    Disconnected,
    /// The same, and the core knows it.
    DisconnectReported,
}

/// What a connection is doing, kept so that it is never closed under a request that has been read.
pub(super) struct ConnectionState {
    pub input: RequestInput,
    pub phase: ConnectionPhase,
    pub presence: ClientPresence,
    /// Responses that are not completely written, a closing error among them.
    pub responses_owed: usize,
    /// Requests so far.
    pub requests: u32,
    /// The client writes its first message in pieces.
    pub writes_in_pieces: bool,
    /// The limiter's view of the connection.
    pub reported_activity: ConnectionActivity,
    /// When the connection was accepted or last used.
    pub last_used: Time,
    /// How long it may be idle.
    pub idle_timeout: Span,
    /// A thread waits until fewer responses are owed.
    pub has_waiting_reader: bool,
}

impl ConnectionState {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            input: RequestInput::None,
            phase: ConnectionPhase::Open,
            presence: ClientPresence::Connected,
            responses_owed: 0,
            requests: 0,
            writes_in_pieces: false,
            reported_activity: ConnectionActivity::Unused,
            last_used: now,
            idle_timeout: IDLE_TIMEOUT,
            has_waiting_reader: false,
        }
    }

    pub(super) const fn activity(&self) -> ConnectionActivity {
        match self {
            Self {
                phase: ConnectionPhase::Closing { .. } | ConnectionPhase::Aborted { .. },
                ..
            } => ConnectionActivity::Closing,
            Self {
                responses_owed: 1..,
                ..
            }
            | Self {
                input: RequestInput::Complete,
                ..
            } => ConnectionActivity::Active,
            Self {
                input: RequestInput::Partial,
                ..
            } => ConnectionActivity::PartialRequest,
            Self { requests: 1, .. } => ConnectionActivity::IdleAfterOne,
            Self { requests: 2.., .. } => ConnectionActivity::IdleReused,
            // The next piece is on its way.
            Self {
                writes_in_pieces: true,
                ..
            } => ConnectionActivity::PartialRequest,
            _ => ConnectionActivity::Unused,
        }
    }

    /// Since when a lingering close is under way.
    pub(super) const fn closing_since(&self) -> Option<Time> {
        match self.phase {
            ConnectionPhase::Open => None,
            ConnectionPhase::Closing { since } => Some(since),
            ConnectionPhase::Aborted { closing_since } => closing_since,
        }
    }

    pub(super) const fn is_aborted(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Aborted { .. })
    }

    pub(super) const fn is_client_connected(&self) -> bool {
        matches!(self.presence, ClientPresence::Connected)
    }

    /// Begins a lingering close, or dates the one that is under way anew.
    const fn set_closing_since(&mut self, now: Time) {
        self.phase = match self.phase {
            ConnectionPhase::Open | ConnectionPhase::Closing { .. } => {
                ConnectionPhase::Closing { since: now }
            }
            ConnectionPhase::Aborted { .. } => ConnectionPhase::Aborted {
                closing_since: Some(now),
            },
        };
    }

    const fn abort(&mut self) {
        self.phase = ConnectionPhase::Aborted {
            closing_since: self.closing_since(),
        };
    }

    pub(super) const fn set_disconnected(&mut self) {
        if self.is_client_connected() {
            self.presence = ClientPresence::Disconnected;
        }
    }

    /// Notes that the core learns of the disconnect; returns the presence before.
    pub(super) const fn set_disconnect_reported(&mut self) -> ClientPresence {
        std::mem::replace(&mut self.presence, ClientPresence::DisconnectReported)
    }

    /// Notes one more request.
    pub(super) fn count_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
        if self.requests > 1 {
            self.idle_timeout = self.idle_timeout.max(REUSED_IDLE_TIMEOUT);
        }
    }
}

/// A client connection. It counts against the limiter until it is dropped, which frees its descriptor.
pub(super) struct ClientConnection {
    pub id: ClientId,
    pub stream: TcpStream,
    state: Mutex<ConnectionState>,
    /// Fewer responses are owed, or the connection was aborted.
    responses_written: Condvar,
    write_queue: WriteQueue,
    handler: Arc<dyn RequestHandler>,
    clock: Clock,
    limiter: Arc<SharedConnectionLimiter>,
}

impl ClientConnection {
    pub(super) fn new(
        id: ClientId,
        stream: TcpStream,
        now: Time,
        budget: Arc<BufferBudget>,
        handler: Arc<dyn RequestHandler>,
        clock: Clock,
        limiter: Arc<SharedConnectionLimiter>,
    ) -> Self {
        Self {
            id,
            stream,
            state: Mutex::new(ConnectionState::new(now)),
            responses_written: Condvar::new(),
            write_queue: WriteQueue::new(budget),
            handler,
            clock,
            limiter,
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ConnectionState> {
        lock(&self.state)
    }

    /// Since when this side is closing it.
    pub(super) fn closing_since(&self) -> Option<Time> {
        self.state().closing_since()
    }

    pub(super) fn reserve_chunk(&self) -> ChunkReservation {
        self.write_queue.reserve_chunk()
    }

    /// Reports a changed activity to the limiter; under the state's lock, so that the limiter sees changes in order.
    pub(super) fn report_activity(&self, state: &mut ConnectionState) {
        let activity = state.activity();
        if activity != state.reported_activity {
            state.reported_activity = activity;
            self.limiter
                .set_activity(self.id.0, activity, state.last_used);
        }
    }

    /// Changes the state because the connection was used.
    pub(super) fn update(&self, change: impl FnOnce(&mut ConnectionState)) {
        let mut state = self.state();
        change(&mut state);
        state.last_used = self.clock.now();
        self.report_activity(&mut state);
        let has_waiting_reader = state.has_waiting_reader;
        drop(state);
        // A notification is a system call even if no thread waits.
        if has_waiting_reader {
            self.responses_written.notify_all();
        }
    }
}

/// Reading.
impl ClientConnection {
    /// What waits to be read; takes nothing and does not block.
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

    /// Whether bytes or the client's close wait to be read.
    pub(super) fn has_received(&self) -> bool {
        self.receive_status() != ReceiveStatus::Empty
    }

    /// Discards what was received after the closing error, so that no reset destroys that error. Returns
    /// [`NextInput::Closed`] once the client has closed or `remaining` is used up.
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

    /// Waits until fewer than `limit` responses are owed.
    ///
    /// # Errors
    /// `ConnectionAborted` if the client disconnects meanwhile, `BrokenPipe` if this side has closed the connection.
    pub(super) fn wait_until_owed_less_than(
        &self,
        limit: usize,
    ) -> io::Result<MutexGuard<'_, ConnectionState>> {
        let mut state = self.state();
        loop {
            state.has_waiting_reader = false;
            // A request that arrived while the connection was closed is answered by the closing error: it does not run.
            if state.phase != ConnectionPhase::Open {
                return Err(ErrorKind::BrokenPipe.into());
            }
            if state.responses_owed < limit {
                return Ok(state);
            }
            // No other thread notices a disconnect while the connection's own thread waits here.
            if self.receive_status() == ReceiveStatus::PeerClosed {
                state.set_disconnected();
                return Err(ErrorKind::ConnectionAborted.into());
            }
            state.has_waiting_reader = true;
            state = self
                .responses_written
                .wait_timeout(state, DISCONNECT_CHECK_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Notes one more response that the client is owed; waits while it is owed too many.
    ///
    /// # Errors
    /// As [`ClientConnection::wait_until_owed_less_than`].
    pub(super) fn reserve_response(&self) -> io::Result<()> {
        let mut state = self.wait_until_owed_less_than(self.handler.pipeline_limit())?;
        state.responses_owed += 1;
        self.report_activity(&mut state);
        Ok(())
    }
}

/// Writing.
impl ClientConnection {
    /// Queues a response and writes what the client takes at once. Never blocks: a thread writes the rest.
    pub(super) fn enqueue(self: &Arc<Self>, ticket: Option<u64>, response: Vec<u8>) {
        let ticket = ticket.filter(|_| self.handler.has_ordered_responses());
        let outcome = self.write_queue.enqueue(&self.stream, ticket, response);
        self.on_written(outcome);
    }

    fn on_written(self: &Arc<Self>, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::NothingToDo => {}
            WriteOutcome::Written { responses } => {
                self.update(|state| state.responses_owed -= responses);
            }
            WriteOutcome::WouldBlock => {
                let connection = Arc::clone(self);
                if spawn("client out", move || connection.write_rest()).is_err() {
                    self.abort();
                }
            }
            WriteOutcome::Failed => self.abort(),
        }
    }

    /// Writes to a client that is slow to read, until nothing is left.
    fn write_rest(&self) {
        loop {
            match self.write_queue.write_next(&self.stream) {
                Ok(RestOutcome::Written { responses }) => {
                    self.update(|state| state.responses_owed -= responses);
                }
                Ok(RestOutcome::Drained(status)) => return self.on_writer_stopped(status),
                Err(_) => return self.abort(),
            }
        }
    }

    fn on_writer_stopped(&self, status: QueueStatus) {
        if status == QueueStatus::Closed {
            // The linger timeout runs from the end of writing, not from when the closing error was queued.
            let now = self.clock.now();
            let mut state = self.state();
            if state.closing_since().is_some() {
                state.set_closing_since(now);
            }
        }
    }

    /// Writes a part of a streamed response, in its turn; blocks for as long as the client is slow to read.
    ///
    /// # Errors
    /// The connection failed or was closed.
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

    /// A streamed response is written completely: those that waited for it follow.
    pub(super) fn finish_streamed_response(self: &Arc<Self>) {
        self.update(|state| state.responses_owed -= 1);
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
        let busy = !state.is_aborted() && (admitting || state.responses_owed > 0);
        drop(state);
        busy || self.is_writing()
    }
}

/// Closing.
impl ClientConnection {
    /// Closes the connection gracefully if it is idle, nothing was received, and `condition` holds; says whether it did. A
    /// request that the client sends before it sees the close is answered by the closing error, which says when to retry.
    pub(super) fn close_idle_if(
        self: &Arc<Self>,
        retry_after: Span,
        condition: impl Fn(&ConnectionState) -> bool,
    ) -> bool {
        let state = self.state();
        let idle = state.input == RequestInput::None
            && state.responses_owed == 0
            && state.closing_since().is_none();
        // The reading thread takes bytes from the socket under the same lock: none are between its buffer and `input`.
        if !idle || !condition(&state) || self.has_received() {
            return false;
        }
        self.graceful_close(state, self.handler.closing_error(retry_after));
        true
    }

    /// Closes the connection to free its descriptor, if it still does what it was chosen for; otherwise tells the limiter what
    /// it does.
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

    /// Closes the connection unless a request is in flight: the program is about to exit, which would reset a connection with
    /// a partial request. That request is answered by the closing error. Right after a response the client would take the
    /// error for a second response, so sending is only shut down.
    pub(super) fn close_unless_active(self: &Arc<Self>) {
        let state = self.state();
        if state.input == RequestInput::Complete
            || state.responses_owed > 0
            || state.closing_since().is_some()
        {
            return;
        }
        let expects_error = state.input == RequestInput::Partial
            || self.has_received()
            || state.last_used + ANSWER_SETTLE_TIME <= self.clock.now();
        let closing_error = if expects_error {
            self.handler.closing_error(CLOSING_ERROR_RETRY_AFTER)
        } else {
            vec![]
        };
        self.graceful_close(state, closing_error);
    }

    /// Begins a lingering close: queues the closing error, if there is one, and shuts sending down once all is written.
    pub(super) fn graceful_close(
        self: &Arc<Self>,
        mut state: MutexGuard<'_, ConnectionState>,
        closing_error: Vec<u8>,
    ) {
        state.set_closing_since(self.clock.now());
        state.responses_owed += usize::from(!closing_error.is_empty());
        self.report_activity(&mut state);
        drop(state);
        if !closing_error.is_empty() {
            self.enqueue(None, closing_error);
        }
        self.write_queue.close(&self.stream);
    }

    /// Shuts sending down in the middle of a streamed response that cannot be completed, so that the client notices.
    pub(super) fn truncate_response(&self) {
        let mut state = self.state();
        let now = self.clock.now();
        if state.closing_since().is_none() {
            state.set_closing_since(now);
        }
        self.report_activity(&mut state);
        drop(state);
        self.write_queue.close(&self.stream);
        self.responses_written.notify_all();
    }

    /// Closes the connection without a lingering close: nothing can be written any more.
    pub(super) fn abort(&self) {
        let mut state = self.state();
        state.abort();
        self.report_activity(&mut state);
        drop(state);
        self.write_queue.mark_closed();
        let _ = self.stream.shutdown(Shutdown::Both);
        self.responses_written.notify_all();
        self.write_queue.notify_progress();
    }

    /// Whether the lingering close has lasted long enough. It has not begun while the closing error is being written.
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

/// Reads from the socket for as long as the connection's timeouts allow it.
pub(super) struct ConnectionReader {
    pub connection: Arc<ClientConnection>,
    /// Bytes that a lingering close still discards.
    discardable: usize,
}

impl ConnectionReader {
    pub(super) const fn new(connection: Arc<ClientConnection>) -> Self {
        Self {
            connection,
            discardable: LINGER_BYTES,
        }
    }

    /// Discards what was received; [`NextInput::Closed`] once the client has closed or enough was discarded.
    pub(super) fn discard_received(&mut self) -> NextInput {
        self.connection.discard_received(&mut self.discardable)
    }
}

impl Read for ConnectionReader {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let connection = &self.connection;
        loop {
            // Waits without taking bytes: those are taken under the lock under which connections are closed.
            let peeked = connection.stream.peek(&mut [0]);
            let now = connection.clock.now();
            let mut state = connection.state();
            // The lingering close discards what arrives from now on.
            if state.closing_since().is_some() {
                return Err(ErrorKind::ConnectionAborted.into());
            }
            // The peek has shown that there are bytes, so the read does not block.
            let read = peeked.and_then(|_| (&connection.stream).read(into));
            // A partial request is closed after its timeout, however it trickles in. Requests before it are answered first,
            // and each response starts the timeout anew.
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

/// Whether a timed read found nothing yet. A process that was stopped for a while comes back from it interrupted.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

#[cfg(test)]
mod tests;
