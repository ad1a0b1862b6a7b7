//! The responses that wait to be written to one client, in the order in which they leave.
//!
//! The queue writes to the socket that it is given, and says what came of it; the connection draws the consequences. One
//! thread at a time writes. State, under one lock: bytes that are ready, and responses whose turn has not come.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use socket2::SockRef;

use super::buffer_budget::{BufferBudget, ChunkReservation};
use crate::lock;

pub(super) struct WriteQueue {
    state: Mutex<QueueState>,
    /// A response was written, or the queue was closed.
    progressed: Condvar,
    budget: Arc<BufferBudget>,
}

#[derive(Default)]
struct QueueState {
    /// Where responses are ordered: the ticket whose response leaves next, and the responses that wait for it.
    next_ticket: u64,
    out_of_order: BTreeMap<u64, Vec<u8>>,
    /// Bytes that leave next, and how many responses they are.
    ready: Vec<u8>,
    ready_responses: usize,
    /// Bytes of complete responses that count against the budget.
    buffered_bytes: usize,
    /// A thread is writing: the client did not take all bytes at once, or gets a streamed response.
    writing: bool,
    /// No further responses are queued.
    closed: bool,
}

/// What came of writing without waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// Nothing was ready, or another thread is writing.
    NothingToDo,
    /// All that was ready is written: so many responses.
    Written { responses: usize },
    /// The client's receive buffer is full: the caller has to write the rest with [`WriteQueue::write_next`].
    WouldBlock,
    /// The connection failed.
    Failed,
}

/// What a thread that writes the rest has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RestOutcome {
    /// So many responses; there may be more.
    Written { responses: usize },
    /// Nothing is left. The thread no longer writes.
    Drained(QueueStatus),
}

/// Whether further responses may be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueStatus {
    /// They may.
    Open,
    /// They may not, and sending was shut down.
    Closed,
}

impl QueueState {
    /// Makes those responses ready whose turn has come.
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

    /// Queues a response, in its turn if it has a ticket, and writes what the client takes at once.
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
        // It may be a streamed response's turn.
        self.progressed.notify_all();
        WriteOutcome::Written { responses }
    }

    /// Writes what is ready and waits until the client has taken it; for the thread that [`WriteOutcome::WouldBlock`] asks for.
    ///
    /// # Errors
    /// The connection failed, or the client took nothing for the socket's write timeout.
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

    /// Waits until it is the turn of the streamed response with this ticket and no other thread writes; the caller may then
    /// write to the socket itself, until [`WriteQueue::end_streaming`].
    ///
    /// # Errors
    /// The queue is closed.
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

    /// The caller of [`WriteQueue::begin_streaming`] has written its bytes.
    pub(super) fn end_streaming(&self, stream: &TcpStream) -> QueueStatus {
        self.stop_writing(stream, lock(&self.state))
    }

    /// The streamed response whose turn it is has been written completely: writes those that waited for it. The caller reports
    /// the outcome before [`WriteQueue::notify_progress`] wakes the next streamed response.
    pub(super) fn finish_streamed_response(&self, stream: &TcpStream) -> WriteOutcome {
        let mut state = lock(&self.state);
        state.next_ticket += 1;
        state.take_in_order();
        self.write_ready(stream, state)
    }

    pub(super) fn notify_progress(&self) {
        self.progressed.notify_all();
    }

    /// Takes no further responses, and shuts sending down once all queued ones are written.
    pub(super) fn close(&self, stream: &TcpStream) {
        let mut state = lock(&self.state);
        state.closed = true;
        if !state.writing {
            let _ = stream.shutdown(Shutdown::Write);
        }
        drop(state);
        self.progressed.notify_all();
    }

    /// Takes no further responses; the caller shuts the socket down and then calls [`WriteQueue::notify_progress`].
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
