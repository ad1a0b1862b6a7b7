//! One connection to an endpoint, shared by many exchanges: its socket and its queue of unwritten
//! frames.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::sync::Arc;

use socket2::SockRef;
use valehatch_stream_multiplexing::{MultiplexedConnectionId, StreamMultiplexer};

use crate::frame::Frame;
use crate::pool::UpstreamContext;

/// Bytes read with one call, and gathered for one write.
pub(crate) const CHUNK_SIZE: usize = 64 * 1024;

/// A frame in the write queue.
struct QueuedFrame {
    stream_id: i16,
    bytes: Vec<u8>,
    /// Class of the attempt that counts as sent once the last byte is written; `None` if the frame
    /// is not the first of an attempt.
    attempt: Option<usize>,
}

/// Unwritten rest of the first frame, for a thread that may block on the endpoint.
pub(crate) struct FrameRemainder {
    pub(crate) socket: Arc<TcpStream>,
    pub(crate) stream_id: i16,
    /// Class of the attempt that counts as sent once the last byte is written.
    pub(crate) attempt: Option<usize>,
    pub(crate) bytes: Vec<u8>,
}

/// A connection and its write queue.
#[derive(Default)]
pub(crate) struct SharedConnection {
    /// `None` until the handshake is complete; nothing else may be written before.
    pub(crate) socket: Option<Arc<TcpStream>>,
    queue: VecDeque<QueuedFrame>,
    /// Bytes of the first frame that have been written.
    written_of_first: usize,
    /// Whether a thread writes the queue, because the socket's send buffer was full.
    has_writer_thread: bool,
}

impl SharedConnection {
    /// Queues a frame; `attempt` is the class of the attempt if this is its first frame.
    pub(crate) fn enqueue(&mut self, stream_id: i16, frame: Frame, attempt: Option<usize>) {
        self.queue.push_back(QueuedFrame {
            stream_id,
            bytes: frame.with_stream_id(stream_id).into_bytes(),
            attempt,
        });
    }

    /// Removes the queued frames of a stream id.
    pub(crate) fn unqueue(&mut self, stream_id: i16) {
        self.queue.retain(|queued| queued.stream_id != stream_id);
    }

    /// Whether frames are queued that no writer thread has claimed.
    pub(crate) fn has_unclaimed_frames(&self) -> bool {
        !self.queue.is_empty() && !self.has_writer_thread
    }

    /// Claims the queue for a writer thread, which may block. Returns false if none is needed.
    pub(crate) fn claim_for_writer_thread(&mut self) -> bool {
        if !self.has_unclaimed_frames() || self.socket.is_none() {
            return false;
        }
        self.has_writer_thread = true;
        true
    }

    /// Takes the unwritten rest of the first frame and marks the frame as being written. If the
    /// queue is empty, releases the writer thread's claim.
    pub(crate) fn begin_first(
        &mut self,
        id: MultiplexedConnectionId,
        multiplexer: &mut StreamMultiplexer,
    ) -> Option<FrameRemainder> {
        let (Some(first), Some(socket)) = (self.queue.front(), &self.socket) else {
            self.has_writer_thread = false;
            return None;
        };
        multiplexer.write_started(id, first.stream_id);
        let remainder = FrameRemainder {
            socket: Arc::clone(socket),
            stream_id: first.stream_id,
            attempt: first.attempt,
            bytes: first.bytes[self.written_of_first..].to_vec(),
        };
        self.written_of_first = first.bytes.len();
        Some(remainder)
    }

    /// Records that the first frame, with this stream id, was written completely.
    pub(crate) fn finish_first(&mut self, stream_id: i16) {
        self.written_of_first = 0;
        // The frame may have been removed from the queue while it was written.
        if self
            .queue
            .front()
            .is_some_and(|first| first.stream_id == stream_id)
        {
            self.queue.pop_front();
        }
    }

    /// Writes as much as the socket accepts without blocking, several frames with one call.
    ///
    /// # Errors
    /// The connection failed.
    pub(crate) fn write_available(
        &mut self,
        id: MultiplexedConnectionId,
        multiplexer: &mut StreamMultiplexer,
        context: &UpstreamContext,
    ) -> io::Result<()> {
        let Some(socket) = self.socket.clone() else {
            return Ok(());
        };
        let socket = SockRef::from(&*socket);
        let mut chunk = vec![];
        while !self.queue.is_empty() {
            self.fill_chunk(&mut chunk);
            let written = match socket.send_with_flags(&chunk, libc::MSG_DONTWAIT) {
                Ok(written) => written,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            };
            self.on_written(written, id, multiplexer, context);
            if written < chunk.len() {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Copies unwritten bytes into `chunk`, frame by frame, until it has at least [`CHUNK_SIZE`].
    fn fill_chunk(&self, chunk: &mut Vec<u8>) {
        chunk.clear();
        let mut written = self.written_of_first;
        for queued in &self.queue {
            chunk.extend_from_slice(&queued.bytes[written..]);
            written = 0;
            if chunk.len() >= CHUNK_SIZE {
                break;
            }
        }
    }

    /// Accounts for `written` bytes and removes the completely written frames.
    fn on_written(
        &mut self,
        mut written: usize,
        id: MultiplexedConnectionId,
        multiplexer: &mut StreamMultiplexer,
        context: &UpstreamContext,
    ) {
        while written > 0 {
            let Some(first) = self.queue.front() else {
                break;
            };
            multiplexer.write_started(id, first.stream_id);
            let remaining = first.bytes.len() - self.written_of_first;
            if written < remaining {
                self.written_of_first += written;
                break;
            }
            context.on_frame_sent(first.attempt);
            written -= remaining;
            self.written_of_first = 0;
            self.queue.pop_front();
        }
    }
}
