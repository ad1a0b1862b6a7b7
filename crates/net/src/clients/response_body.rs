//! A streamed response: a response body that is written to its client while it is still being read
//! from the endpoint.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam_channel::Sender;
use socket2::SockRef;
use valehatch_core::Event;
use valehatch_memory_budget::Reservation;

use super::connection::ClientConnection;

/// Size in bytes of the socket buffers on both sides of a streamed response. By default, the kernel
/// would let them grow to megabytes if a client is slow to read.
pub(crate) const STREAMING_SOCKET_BUFFER: usize = 64 * 1024;

/// A streamed response. Dropping it before [`ResponseBody::finish`] closes the client's connection
/// in the middle of the response, so that the client notices the truncation.
pub struct ResponseBody {
    connection: Arc<ClientConnection>,
    ticket: u64,
    chunk: Reservation,
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

    /// Maximum number of bytes of the body to read at once.
    pub const fn chunk_bytes(&self) -> usize {
        self.chunk.bytes()
    }

    /// Waits until the response is next in order and writes its first bytes.
    ///
    /// # Errors
    /// Returns an error if the client's connection failed or was closed.
    pub fn begin(&self, bytes: &[u8]) -> io::Result<()> {
        SockRef::from(&self.connection.stream).set_send_buffer_size(STREAMING_SOCKET_BUFFER)?;
        self.forward(bytes)
    }

    /// Writes further bytes; blocks while the client is slow to read.
    ///
    /// # Errors
    /// Returns an error if the client's connection failed or was closed.
    pub fn forward(&self, bytes: &[u8]) -> io::Result<()> {
        self.connection.forward(self.ticket, bytes)
    }

    /// Writes the last bytes.
    ///
    /// # Errors
    /// Returns an error if the client's connection failed or was closed.
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
            // Later requests on the connection can no longer be answered, so they need not be
            // forwarded. Not `send`: this may run on the core's own thread, which would wait for
            // itself if its queue is full.
            let disconnected = Event::ClientDisconnected(self.connection.id);
            let _ = self.events.try_send(disconnected);
        }
    }
}
