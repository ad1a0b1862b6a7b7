//! One connection to an endpoint, shared by many exchanges: its socket and the frames that wait to
//! be written.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::sync::Arc;

use socket2::SockRef;
use valehatch_stream_multiplexing::{MultiplexedConnectionId, StreamMultiplexer};

use crate::frame::Frame;
use crate::pool::UpstreamContext;

/// What is read, and written, with one call, in bytes.
pub(crate) const CHUNK_SIZE: usize = 64 * 1024;

/// A frame that waits to be written, under its stream id.
struct QueuedFrame {
    stream_id: i16,
    bytes: Vec<u8>,
    /// The class of the attempt that is sent with the last byte; none if the frame is not an
    /// attempt's first.
    attempt: Option<usize>,
}

/// What is left of the first frame, for a thread that may wait for the endpoint.
pub(crate) struct FrameRemainder {
    pub(crate) socket: Arc<TcpStream>,
    pub(crate) stream_id: i16,
    /// The class of the attempt that is sent with the last byte.
    pub(crate) attempt: Option<usize>,
    pub(crate) bytes: Vec<u8>,
}

/// A connection and its write queue.
#[derive(Default)]
pub(crate) struct SharedConnection {
    /// None until the handshake is done: before it nothing else may be written.
    pub(crate) socket: Option<Arc<TcpStream>>,
    queue: VecDeque<QueuedFrame>,
    /// Bytes of the first frame that were written already.
    written_of_first: usize,
    /// A thread writes, since the endpoint did not take everything at once.
    has_writer_thread: bool,
}

impl SharedConnection {
    /// Queues a frame; `attempt` is its class if it is an attempt's first.
    pub(crate) fn enqueue(&mut self, stream_id: i16, frame: Frame, attempt: Option<usize>) {
        self.queue.push_back(QueuedFrame {
            stream_id,
            bytes: frame.with_stream_id(stream_id).into_bytes(),
            attempt,
        });
    }

    /// Removes the frames under a stream id.
    pub(crate) fn unqueue(&mut self, stream_id: i16) {
        self.queue.retain(|queued| queued.stream_id != stream_id);
    }

    /// Whether frames wait that no other thread writes.
    pub(crate) fn has_unclaimed_frames(&self) -> bool {
        !self.queue.is_empty() && !self.has_writer_thread
    }

    /// Claims the queue for a thread that may wait. Returns false if there is nothing for it to do.
    pub(crate) fn claim_for_writer_thread(&mut self) -> bool {
        if !self.has_unclaimed_frames() || self.socket.is_none() {
            return false;
        }
        self.has_writer_thread = true;
        true
    }

    /// Takes what is left of the first frame; its bytes begin to leave. Without one, the writer
    /// thread's claim ends.
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

    /// The first frame, which had this stream id, was written.
    pub(crate) fn finish_first(&mut self, stream_id: i16) {
        self.written_of_first = 0;
        // It may have been unqueued while it was written.
        if self
            .queue
            .front()
            .is_some_and(|first| first.stream_id == stream_id)
        {
            self.queue.pop_front();
        }
    }

    /// Writes as much as the endpoint takes without waiting, many frames with one call.
    ///
    /// # Errors
    /// The connection is broken.
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

    /// Copies the next unwritten bytes into `chunk`, up to the frame that reaches [`CHUNK_SIZE`].
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

    /// Removes the frames that were written completely.
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
