//! Writing responses to a client, without waiting for one that is slow to read.

use std::io::{self, ErrorKind, Write};
use std::sync::Arc;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use valehatch_core::ResponseMemory;

use super::{ClientConnection, RequestInput, WRITE_TIMEOUT};
use crate::clients::blocked_writers::WriteProgress;
use crate::clients::write_queue::{QueueStatus, RestOutcome, WriteOutcome};

/// [`WRITE_TIMEOUT`] for a thread that waits until a client can receive more.
const WRITE_WAIT: Timespec = Timespec {
    tv_sec: WRITE_TIMEOUT.as_secs().cast_signed(),
    tv_nsec: 0,
};

impl ClientConnection {
    /// Queues a response and writes as much as the client receives at once. Never blocks:
    /// [`BlockedWriters`] writes the rest.
    pub(in crate::clients) fn enqueue(
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
            WriteOutcome::Written { responses } => self.on_responses_written(responses),
            WriteOutcome::WouldBlock { responses } => {
                self.on_responses_written(responses);
                if let Err(e) = self.blocked_writers.add(self) {
                    tracing::warn!(error = %e, "cannot write to a slow client, closing it");
                    self.abort();
                }
            }
            WriteOutcome::Failed => self.abort(),
        }
    }

    /// Writes as much of the rest of the queue as the client receives at once. Called by
    /// [`BlockedWriters`] when the client can receive more.
    pub(in crate::clients) fn write_rest(self: &Arc<Self>) -> WriteProgress {
        let on_drained = || self.blocked_writers.remove(self);
        match self.write_queue.write_rest(&self.stream, on_drained) {
            RestOutcome::WouldBlock { responses, bytes } => {
                self.on_responses_written(responses);
                match bytes {
                    0 => WriteProgress::None,
                    _ => WriteProgress::Some,
                }
            }
            RestOutcome::Drained { responses, status } => {
                self.on_writer_stopped(status);
                self.on_responses_written(responses);
                WriteProgress::Finished
            }
            RestOutcome::Failed => {
                self.abort();
                self.blocked_writers.remove(self);
                WriteProgress::Finished
            }
        }
    }

    fn on_responses_written(self: &Arc<Self>, responses: usize) {
        if responses > 0 {
            let now = self.clock.now();
            self.update(|state| {
                state.finish_responses(responses);
                state.confirm_presence_by_write(now);
            });
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
    pub(in crate::clients) fn forward(&self, ticket: u64, bytes: &[u8]) -> io::Result<()> {
        self.write_queue.begin_streaming(ticket)?;
        let written = self.write_all(bytes);
        if written.is_err() {
            self.abort();
        }
        let status = self.write_queue.end_streaming(&self.stream);
        self.on_writer_stopped(status);
        written
    }

    /// Writes all bytes; waits while the client is slow to read.
    fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match (&self.stream).write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.wait_until_writable()?,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn wait_until_writable(&self) -> io::Result<()> {
        let mut socket = [PollFd::new(&self.stream, PollFlags::OUT)];
        match poll(&mut socket, Some(&WRITE_WAIT)) {
            Ok(0) => Err(ErrorKind::TimedOut.into()),
            Err(e) if e.kind() != ErrorKind::Interrupted => Err(e.into()),
            _ => Ok(()),
        }
    }

    /// Completes a streamed response and writes the responses that waited for it.
    pub(in crate::clients) fn finish_streamed_response(self: &Arc<Self>) {
        self.on_responses_written(1);
        let outcome = self.write_queue.finish_streamed_response(&self.stream);
        self.on_written(outcome);
        self.write_queue.notify_progress();
    }

    /// Sends a message that clients pass over: a client that has closed answers with a reset. Not
    /// once the exit is requested: a probe would be taken for one of the responses that the exit
    /// waits for.
    pub(super) fn send_probe(self: &Arc<Self>, probe: Vec<u8>) {
        let mut state = self.state();
        if state.is_exit_requested() || self.add_pending_response_to(&mut state).is_err() {
            return;
        }
        drop(state);
        match self
            .write_queue
            .write_between_responses(&self.stream, probe)
        {
            Some(outcome) => self.on_written(outcome),
            None => self.update(|state| state.finish_responses(1)),
        }
    }

    /// Whether a thread is writing to a client that is slow to read.
    pub(in crate::clients) fn is_writing(&self) -> bool {
        let writing = self.write_queue.is_writing();
        writing && !self.state().is_aborted()
    }

    /// Whether a request is about to be admitted, or a response is not completely written.
    pub(in crate::clients) fn is_busy(&self) -> bool {
        let state = self.state();
        let admitting = state.input == RequestInput::Complete && state.closing_since().is_none();
        let busy = !state.is_aborted() && (admitting || state.pending_responses > 0);
        drop(state);
        busy || self.is_writing()
    }
}
