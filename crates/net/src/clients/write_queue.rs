//! The queue of responses to be written to one client, in sending order.
//!
//! The queue writes to the socket that it is given and returns the outcome, which the connection
//! handles. One thread writes at a time. State, under one lock: bytes that are ready to be sent,
//! and responses that wait for earlier ones.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use socket2::SockRef;

use super::buffer_budget::{BufferBudget, ChunkReservation};
use crate::lock;

pub(super) struct WriteQueue {
    state: Mutex<QueueState>,
    /// Signalled when a response was written or the queue was closed.
    progressed: Condvar,
    budget: Arc<BufferBudget>,
}

#[derive(Default)]
struct QueueState {
    /// If responses are ordered: the ticket of the response to be sent next.
    next_ticket: u64,
    /// Responses that wait for earlier ones, by ticket.
    out_of_order: BTreeMap<u64, Vec<u8>>,
    /// Bytes to be sent next.
    ready: Vec<u8>,
    /// Number of responses in `ready`.
    ready_responses: usize,
    /// Bytes of complete responses that count against the budget.
    buffered_bytes: usize,
    /// Set while a thread writes: the client did not receive all bytes at once, or a streamed
    /// response is being written.
    writing: bool,
    /// Set once no further responses are accepted.
    closed: bool,
}

/// Result of writing without blocking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// Nothing was ready, or another thread is writing.
    NothingToDo,
    /// Everything that was ready is written: this number of responses.
    Written { responses: usize },
    /// The client's receive buffer is full: the caller has to write the rest with
    /// [`WriteQueue::write_next`].
    WouldBlock,
    /// The connection failed.
    Failed,
}

/// Result of [`WriteQueue::write_next`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RestOutcome {
    /// This number of responses was written; there may be more.
    Written { responses: usize },
    /// Nothing is left to write, and the thread no longer counts as writing.
    Drained(QueueStatus),
}

/// Whether further responses may be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueStatus {
    /// Further responses may be queued.
    Open,
    /// No further responses may be queued, and the sending side was shut down.
    Closed,
}

impl QueueState {
    /// Moves the responses that are next in order to `ready`.
    fn take_in_order(&mut self) {
        while let Some(response) = self.out_of_order.remove(&self.next_ticket) {
            self.ready.extend_from_slice(&response);
            self.next_ticket += 1;
            self.ready_responses += 1;
        }
    }
}

impl WriteQueue {
    pub(super) fn new(budget: Arc<BufferBudget>) -> Self {
        Self {
            state: Mutex::default(),
            progressed: Condvar::new(),
            budget,
        }
    }

    pub(super) fn reserve_chunk(&self) -> ChunkReservation {
        self.budget.reserve_chunk()
    }

    /// Queues a response, in ticket order if it has a ticket, and writes as much as the client
    /// receives at once.
    pub(super) fn enqueue(
        &self,
        stream: &TcpStream,
        ticket: Option<u64>,
        response: Vec<u8>,
    ) -> WriteOutcome {
        self.budget.add(response.len());
        let mut state = lock(&self.state);
        state.buffered_bytes += response.len();
        match ticket {
            Some(ticket) => {
                state.out_of_order.insert(ticket, response);
            }
            None => {
                state.ready.extend_from_slice(&response);
                state.ready_responses += 1;
            }
        }
        state.take_in_order();
        self.write_ready(stream, state)
    }

    fn write_ready(
        &self,
        stream: &TcpStream,
        mut state: MutexGuard<'_, QueueState>,
    ) -> WriteOutcome {
        if state.writing || state.ready.is_empty() {
            return WriteOutcome::NothingToDo;
        }
        let socket = SockRef::from(stream);
        loop {
            match socket.send_with_flags(&state.ready, libc::MSG_DONTWAIT) {
                Ok(written) => {
                    self.release(&mut state, written);
                    if written == state.ready.len() {
                        break;
                    }
                    state.ready.drain(..written);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    state.writing = true;
                    return WriteOutcome::WouldBlock;
                }
                Err(_) => return WriteOutcome::Failed,
            }
        }
        state.ready.clear();
        let responses = std::mem::take(&mut state.ready_responses);
        drop(state);
        // A streamed response may be next in order.
        self.progressed.notify_all();
        WriteOutcome::Written { responses }
    }

    /// Writes everything that is ready and blocks until the client has received it. Called by the
    /// thread that is started on [`WriteOutcome::WouldBlock`].
    ///
    /// # Errors
    /// Returns an error if the connection failed, or the client received nothing within the
    /// socket's write timeout.
    pub(super) fn write_next(&self, stream: &TcpStream) -> io::Result<RestOutcome> {
        let mut state = lock(&self.state);
        let ready = std::mem::take(&mut state.ready);
        let responses = std::mem::take(&mut state.ready_responses);
        if ready.is_empty() {
            return Ok(RestOutcome::Drained(self.stop_writing(stream, state)));
        }
        drop(state);
        let mut socket = stream;
        socket.write_all(&ready)?;
        self.release(&mut lock(&self.state), ready.len());
        Ok(RestOutcome::Written { responses })
    }

    fn stop_writing(
        &self,
        stream: &TcpStream,
        mut state: MutexGuard<'_, QueueState>,
    ) -> QueueStatus {
        state.writing = false;
        let status = if state.closed {
            let _ = stream.shutdown(Shutdown::Write);
            QueueStatus::Closed
        } else {
            QueueStatus::Open
        };
        drop(state);
        self.progressed.notify_all();
        status
    }

    /// Waits until the streamed response with this ticket is next in order and no other thread
    /// writes. The caller may then write to the socket itself, until [`WriteQueue::end_streaming`].
    ///
    /// # Errors
    /// Returns an error if the queue is closed.
    pub(super) fn begin_streaming(&self, ticket: u64) -> io::Result<()> {
        let must_wait = |state: &mut QueueState| {
            !state.closed && (state.writing || state.next_ticket != ticket)
        };
        let mut state = self
            .progressed
            .wait_while(lock(&self.state), must_wait)
            .unwrap_or_else(PoisonError::into_inner);
        if state.closed {
            return Err(ErrorKind::BrokenPipe.into());
        }
        state.writing = true;
        Ok(())
    }

    /// Ends the writing that [`WriteQueue::begin_streaming`] has permitted.
    pub(super) fn end_streaming(&self, stream: &TcpStream) -> QueueStatus {
        self.stop_writing(stream, lock(&self.state))
    }

    /// Completes the current streamed response and writes the responses that waited for it. The
    /// caller reports the outcome before it calls [`WriteQueue::notify_progress`], which wakes the
    /// next streamed response.
    pub(super) fn finish_streamed_response(&self, stream: &TcpStream) -> WriteOutcome {
        let mut state = lock(&self.state);
        state.next_ticket += 1;
        state.take_in_order();
        self.write_ready(stream, state)
    }

    pub(super) fn notify_progress(&self) {
        self.progressed.notify_all();
    }

    /// Accepts no further responses, and shuts down the sending side once all queued ones are
    /// written.
    pub(super) fn close(&self, stream: &TcpStream) {
        let mut state = lock(&self.state);
        state.closed = true;
        if !state.writing {
            let _ = stream.shutdown(Shutdown::Write);
        }
        drop(state);
        self.progressed.notify_all();
    }

    /// Accepts no further responses; the caller shuts down the socket and then calls
    /// [`WriteQueue::notify_progress`].
    pub(super) fn mark_closed(&self) {
        lock(&self.state).closed = true;
    }

    /// Whether a thread is writing to the client.
    pub(super) fn is_writing(&self) -> bool {
        lock(&self.state).writing
    }

    fn release(&self, state: &mut QueueState, bytes: usize) {
        state.buffered_bytes -= bytes;
        self.budget.release(bytes);
    }
}

impl Drop for WriteQueue {
    fn drop(&mut self) {
        let state = self.state.get_mut().unwrap_or_else(PoisonError::into_inner);
        self.budget.release(state.buffered_bytes);
    }
}
