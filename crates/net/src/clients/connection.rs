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

mod close;
mod exit;
mod presence;
mod receive;
mod state;
mod write;

pub(super) use exit::{EXIT_SETTLE_TIME, LastRejection};
pub(super) use presence::{EVIDENCE_TIMEOUT, LATEST_ATTEMPT_AFTER_CLOSE};
pub(super) use receive::Received;
pub(super) use state::{ClientPresence, ConnectionPhase, ConnectionState, RequestInput};

use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crossbeam_channel::Sender;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;

use valehatch_core::{ClientId, ResponseMemory};
use valehatch_memory_budget::{MemoryBudget, MemoryUse, Reservation};
use valehatch_policy::{Span, Time};

use super::blocked_writers::BlockedWriters;
use super::write_queue::WriteQueue;
use super::{NextInput, RequestHandler};
use crate::connection_limits::SharedConnectionLimiter;
use crate::{Clock, lock};

/// Delay after which a client may retry a request that met a closing connection. Short, because the
/// close is not due to overload.
pub(super) const CLOSING_ERROR_RETRY_AFTER: Span = Span::from_millis(1);
/// How many bytes of input are discarded after the closing error.
pub(super) const LINGER_BYTES: usize = 1024 * 1024;
/// Room that a further response needs in the memory budget before the next message is read: enough
/// for a short response of the gateway itself.
const SHORT_RESPONSE_BYTES: usize = 1024;
/// A connection whose client has received no bytes for this long is closed. Some clients take
/// seconds to read.
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

/// Result of reserving memory for what a client has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemoryGrant<T> {
    /// The memory is reserved.
    Granted(T),
    /// There is no memory until one of the client's pending responses is written.
    Stalled,
    /// There is no memory, and the request cannot wait for any: the client is owed no response, has
    /// disconnected, or must get one now.
    Denied,
}

/// What a connection needs of its front.
pub(super) struct ConnectionContext {
    /// Budget of all connections of the front.
    pub memory: Arc<MemoryBudget>,
    pub handler: Arc<dyn RequestHandler>,
    pub clock: Clock,
    pub limiter: Arc<SharedConnectionLimiter>,
    pub blocked_writers: Arc<BlockedWriters>,
    /// Takes the ids of connections whose input can be handled again.
    pub wakeups: Sender<ClientId>,
}

/// A client connection. It counts against the limiter until it is dropped, which frees its
/// descriptor.
pub(super) struct ClientConnection {
    pub id: ClientId,
    pub stream: TcpStream,
    state: Mutex<ConnectionState>,
    write_queue: WriteQueue,
    pub memory: Arc<MemoryBudget>,
    handler: Arc<dyn RequestHandler>,
    clock: Clock,
    limiter: Arc<SharedConnectionLimiter>,
    blocked_writers: Arc<BlockedWriters>,
    wakeups: Sender<ClientId>,
}

impl ClientConnection {
    /// Wraps an accepted socket, which does not block.
    pub(super) fn new(
        id: ClientId,
        stream: TcpStream,
        now: Time,
        context: ConnectionContext,
    ) -> Self {
        Self {
            id,
            stream,
            state: Mutex::new(ConnectionState::new(now)),
            write_queue: WriteQueue::default(),
            memory: context.memory,
            handler: context.handler,
            clock: context.clock,
            limiter: context.limiter,
            blocked_writers: context.blocked_writers,
            wakeups: context.wakeups,
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
    pub(super) fn update(self: &Arc<Self>, change: impl FnOnce(&mut ConnectionState)) {
        let mut state = self.state();
        change(&mut state);
        state.last_used = self.clock.now();
        self.report_activity(&mut state);
        if state.phase == ConnectionPhase::Open
            && state.pending_responses == 0
            && let Some(closing_error) = state.deferred_close.take()
        {
            self.graceful_close(state, closing_error);
            state = self.state();
        }
        self.wake_if_waiting(state);
    }

    /// Has the connection's input handled again.
    pub(super) fn wake(&self) {
        // No receiver is left once the front has ended.
        let _ = self.wakeups.send(self.id);
    }

    /// Has the connection's input handled again if it is stalled and can be handled now.
    fn wake_if_waiting(&self, mut state: MutexGuard<'_, ConnectionState>) {
        let wakes = state.takes_wakeup();
        drop(state);
        if wakes {
            self.wake();
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

    /// Whether one more response may become pending. If not, the connection is stalled until one is
    /// written; requests of a client that has disconnected are not held up.
    pub(super) fn may_add_response(self: &Arc<Self>) -> bool {
        let mut state = self.state();
        state.rejects_request = false;
        let fits = match state.pending_responses {
            0 => true,
            pending if pending >= self.handler.pipeline_limit() => false,
            _ => self
                .memory
                .has_room(MemoryUse::PipelinedResponses, SHORT_RESPONSE_BYTES),
        };
        if fits || !state.is_client_connected() {
            return true;
        }
        self.stall(state);
        false
    }

    /// Reserves memory with `reserve`, which is told whether other responses are pending.
    pub(super) fn reserve_memory<T>(
        self: &Arc<Self>,
        reserve: impl Fn(PendingResponses) -> Option<T>,
    ) -> MemoryGrant<T> {
        let mut state = self.state();
        if std::mem::take(&mut state.rejects_request) {
            return MemoryGrant::Denied;
        }
        let pending = match state.pending_responses {
            0 => PendingResponses::None,
            _ => PendingResponses::Some,
        };
        if let Some(reserved) = reserve(pending) {
            return MemoryGrant::Granted(reserved);
        }
        if pending == PendingResponses::None || !state.is_client_connected() {
            return MemoryGrant::Denied;
        }
        self.stall(state);
        MemoryGrant::Stalled
    }

    /// Records that input cannot be handled before a response is written. Until the reader has
    /// caught up, what it reads may have arrived by now.
    fn stall(self: &Arc<Self>, mut state: MutexGuard<'_, ConnectionState>) {
        let now = self.clock.now();
        state.stall(now);
        drop(self.write_held_rejection(state));
    }

    /// Has a stalled connection's input handled again once a response is written, which may have
    /// happened since.
    pub(super) fn wake_when_written(&self) {
        let mut state = self.state();
        state.waits_for_written_response = true;
        self.wake_if_waiting(state);
    }

    /// Records that input is not handled although it may have arrived. What is read until the reader
    /// has caught up may have arrived by now.
    pub(super) fn delay_input(&self) {
        let now = self.clock.now();
        self.state().input_delayed_since.get_or_insert(now);
    }

    /// Records that the input that is handled next, and what comes behind it, arrived after `time`. Has
    /// no effect if the reader has caught up, or a later time is known.
    pub(super) fn set_input_delayed_since(&self, time: Time) {
        if let Some(delayed_since) = &mut self.state().input_delayed_since {
            *delayed_since = time.max(*delayed_since);
        }
    }

    /// Records that all input that had arrived is read.
    pub(super) fn end_input_delay(&self) {
        self.state().input_delayed_since = None;
    }

    /// When the request that was just read may have arrived.
    pub(super) fn input_received_at(&self) -> Time {
        let delayed_since = self.state().input_delayed_since;
        delayed_since.unwrap_or_else(|| self.clock.now())
    }

    /// Counts one more pending response.
    ///
    /// # Errors
    /// Returns `BrokenPipe` if this side has closed the connection: a request that arrived during
    /// the close is answered by the closing error and is not executed.
    pub(super) fn add_pending_response(&self) -> io::Result<()> {
        self.add_pending_response_to(&mut self.state())
    }

    /// As [`ClientConnection::add_pending_response`], with the state's lock held by the caller.
    fn add_pending_response_to(&self, state: &mut ConnectionState) -> io::Result<()> {
        if state.phase != ConnectionPhase::Open {
            return Err(ErrorKind::BrokenPipe.into());
        }
        state.pending_responses += 1;
        self.report_activity(state);
        Ok(())
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.limiter.remove(self.id.0);
    }
}

#[cfg(test)]
mod tests;
