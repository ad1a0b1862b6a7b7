//! A streamed response: the body of one answer, written to its client while it is still read from the endpoint.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam_channel::Sender;
use socket2::SockRef;
use valehatch_core::Event;

use super::buffer_budget::ChunkReservation;
use super::connection::ClientConnection;

/// Socket buffers of a streamed response, in bytes, on either side: the kernel would let them grow to megabytes where a client
/// is slow to read.
pub(crate) const STREAMING_SOCKET_BUFFER: usize = 64 * 1024;

/// One streamed response. Dropping it before [`ResponseBody::finish`] closes the client's connection in the middle of the
/// response, so that the client notices.
pub struct ResponseBody {
    connection: Arc<ClientConnection>,
    ticket: u64,
    chunk: ChunkReservation,
    complete: AtomicBool,
    events: Sender<Event>,
}

impl ResponseBody {
    pub(super) fn new(
        connection: Arc<ClientConnection>,
        ticket: u64,
        events: Sender<Event>,
    ) -> Self {
        let chunk = connection.reserve_chunk();
        Self {
            connection,
            ticket,
            chunk,
            complete: AtomicBool::new(false),
            events,
        }
    }

    /// How many bytes of the body may be read at once.
    pub const fn chunk_bytes(&self) -> usize {
        self.chunk.bytes()
    }

    /// Waits for the response's turn and writes its first bytes.
    ///
    /// # Errors
    /// The client's connection failed or was closed.
    pub fn begin(&self, bytes: &[u8]) -> io::Result<()> {
        SockRef::from(&self.connection.stream).set_send_buffer_size(STREAMING_SOCKET_BUFFER)?;
        self.forward(bytes)
    }

    /// Writes further bytes; blocks for as long as the client is slow to read.
    ///
    /// # Errors
    /// The client's connection failed or was closed.
    pub fn forward(&self, bytes: &[u8]) -> io::Result<()> {
        self.connection.forward(self.ticket, bytes)
    }

    /// Writes the last bytes.
    ///
    /// # Errors
    /// The client's connection failed or was closed.
    pub fn finish(&self, bytes: &[u8]) -> io::Result<()> {
        self.forward(bytes)?;
        self.complete.store(true, Ordering::Relaxed);
        self.connection.finish_streamed_response();
        Ok(())
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if !*self.complete.get_mut() {
            self.connection.truncate_response();
            // Requests behind it on the connection can get no response: they need not be forwarded. The core's own thread may
            // run this, and would wait for itself if the queue is full.
            let disconnected = Event::ClientDisconnected(self.connection.id);
            let _ = self.events.try_send(disconnected);
        }
    }
}
