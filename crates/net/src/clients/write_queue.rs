//! The queue of responses to be written to one client, in sending order.
//!
//! The queue writes to the socket that it is given and returns the outcome, which the connection
//! handles. One thread writes at a time. State, under one lock: bytes that are ready to be sent,
//! and responses that wait for earlier ones.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, IoSlice};
use std::net::{Shutdown, TcpStream};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use socket2::SockRef;
use valehatch_core::ResponseMemory;

use crate::lock;

/// Maximum number of responses that are written with one call.
const MAX_RESPONSES_PER_WRITE: usize = 32;

#[derive(Default)]
pub(super) struct WriteQueue {
    state: Mutex<QueueState>,
    /// Signalled when a response was written or the queue was closed.
    progressed: Condvar,
}

/// A response with the memory that is reserved for it, which is released once it is written.
struct QueuedResponse {
    bytes: Vec<u8>,
    _memory: ResponseMemory,
}

#[derive(Default)]
struct QueueState {
    /// If responses are ordered: the ticket of the response to be sent next.
    next_ticket: u64,
    /// Responses that wait for earlier ones, by ticket.
    out_of_order: BTreeMap<u64, QueuedResponse>,
    /// Responses to be sent next.
    ready: VecDeque<QueuedResponse>,
    /// Bytes of the first ready response that are written.
    written_of_first: usize,
    /// Set while a streamed response is incomplete.
    streaming: bool,
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
    /// The client's receive buffer is full after this number of responses: the caller has to write
    /// the rest with [`WriteQueue::write_rest`], whenever the client can receive more.
    WouldBlock { responses: usize },
    /// The connection failed.
    Failed,
}

/// Result of [`WriteQueue::write_rest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RestOutcome {
    /// The client's receive buffer is full again after this many bytes, with which this number of
    /// responses was completed.
    WouldBlock { responses: usize, bytes: usize },
    /// Nothing is left to write after this number of responses.
    Drained {
        responses: usize,
        status: QueueStatus,
    },
    /// The connection failed.
    Failed,
}

/// How sending the ready responses ended.
enum SendEnd {
    Drained,
    WouldBlock,
    Failed,
}

/// What was sent of the ready responses.
struct Sent {
    responses: usize,
    bytes: usize,
    end: SendEnd,
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
            self.ready.push_back(response);
            self.next_ticket += 1;
        }
    }

    /// The unwritten bytes of the first ready responses.
    fn ready_slices(&self) -> Vec<IoSlice<'_>> {
        let mut written = self.written_of_first;
        let first_responses = self.ready.iter().take(MAX_RESPONSES_PER_WRITE);
        let unwritten = first_responses.map(|response| {
            let begin = std::mem::take(&mut written);
            IoSlice::new(&response.bytes[begin..])
        });
        unwritten.collect()
    }

    /// Sends as much of the ready responses as the client receives at once.
    fn send_ready(&mut self, stream: &TcpStream) -> Sent {
        let socket = SockRef::from(stream);
        let (mut responses, mut bytes) = (0, 0);
        while !self.ready.is_empty() {
            let sent = socket.send_vectored_with_flags(&self.ready_slices(), libc::MSG_DONTWAIT);
            let end = match sent {
                Ok(count) => {
                    bytes += count;
                    responses += self.on_written(count);
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => SendEnd::WouldBlock,
                Err(_) => SendEnd::Failed,
            };
            return Sent {
                responses,
                bytes,
                end,
            };
        }
        let end = SendEnd::Drained;
        Sent {
            responses,
            bytes,
            end,
        }
    }

    /// Removes what was written; returns the number of responses that are completely written.
    fn on_written(&mut self, bytes: usize) -> usize {
        let mut responses = 0;
        self.written_of_first += bytes;
        while let Some(first) = self.ready.front()
            && self.written_of_first >= first.bytes.len()
        {
            self.written_of_first -= first.bytes.len();
            self.ready.pop_front();
            responses += 1;
        }
        responses
    }
}

impl WriteQueue {
    /// Queues a response, in ticket order if it has a ticket, and writes as much as the client
    /// receives at once.
    pub(super) fn enqueue(
        &self,
        stream: &TcpStream,
        ticket: Option<u64>,
        bytes: Vec<u8>,
        memory: ResponseMemory,
    ) -> WriteOutcome {
        let response = QueuedResponse {
            bytes,
            _memory: memory,
        };
        let mut state = lock(&self.state);
        match ticket {
            Some(ticket) => {
                state.out_of_order.insert(ticket, response);
            }
            None => state.ready.push_back(response),
        }
        state.take_in_order();
        self.write_ready(stream, state)
    }

    /// Writes a message that answers no request, if the client has received all bytes so far up to
    /// the end of a response. Otherwise `None`, and the message is dropped.
    pub(super) fn write_between_responses(
        &self,
        stream: &TcpStream,
        bytes: Vec<u8>,
    ) -> Option<WriteOutcome> {
        let mut state = lock(&self.state);
        if state.writing || state.streaming || state.closed || !state.ready.is_empty() {
            return None;
        }
        state.ready.push_back(QueuedResponse {
            bytes,
            _memory: ResponseMemory::default(),
        });
        Some(self.write_ready(stream, state))
    }

    fn write_ready(
        &self,
        stream: &TcpStream,
        mut state: MutexGuard<'_, QueueState>,
    ) -> WriteOutcome {
        if state.writing || state.ready.is_empty() {
            return WriteOutcome::NothingToDo;
        }
        let sent = state.send_ready(stream);
        let responses = sent.responses;
        match sent.end {
            SendEnd::Drained => {}
            SendEnd::WouldBlock => {
                state.writing = true;
                return WriteOutcome::WouldBlock { responses };
            }
            SendEnd::Failed => return WriteOutcome::Failed,
        }
        drop(state);
        // A streamed response may be next in order.
        self.progressed.notify_all();
        WriteOutcome::Written { responses }
    }

    /// Continues after [`WriteOutcome::WouldBlock`]; never blocks. Calls `on_drained` if nothing is
    /// left to write, before another thread may write.
    pub(super) fn write_rest(&self, stream: &TcpStream, on_drained: impl FnOnce()) -> RestOutcome {
        let mut state = lock(&self.state);
        let Sent {
            responses,
            bytes,
            end,
        } = state.send_ready(stream);
        match end {
            SendEnd::Drained => {
                on_drained();
                let status = self.stop_writing(stream, state);
                RestOutcome::Drained { responses, status }
            }
            SendEnd::WouldBlock => RestOutcome::WouldBlock { responses, bytes },
            SendEnd::Failed => RestOutcome::Failed,
        }
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
        state.streaming = true;
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
        state.streaming = false;
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

    /// Accepts no further responses and drops the queued ones; the caller shuts down the socket and
    /// then calls [`WriteQueue::notify_progress`].
    pub(super) fn discard(&self) {
        let mut state = lock(&self.state);
        state.closed = true;
        state.out_of_order.clear();
        state.ready.clear();
        state.written_of_first = 0;
    }

    /// Whether a thread is writing to the client.
    pub(super) fn is_writing(&self) -> bool {
        lock(&self.state).writing
    }
}
