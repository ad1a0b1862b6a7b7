//! Passes a client's streamed response to the upstream connection whose reply is streamed to it.
//!
//! The connection's thread reports to the core that a reply has begun, and waits; the core's thread
//! then passes the client's response to it.

use std::net::TcpStream;
use std::sync::Arc;

use crossbeam_channel::bounded;
use socket2::SockRef;
use valehatch_core::Event;

use super::connection::UpstreamConnection;
use crate::clients::{ResponseBody, STREAMING_SOCKET_BUFFER};

impl UpstreamConnection {
    /// Requests the response to stream to from the core. Returns `None` if the client has
    /// disconnected or the connection was closed.
    pub(super) fn open_body(&self, stream: &TcpStream) -> Option<Arc<ResponseBody>> {
        let (sender, receiver) = bounded(1);
        {
            let mut control = self.control();
            if control.closed {
                return None;
            }
            control.body_waiter = Some(sender);
        }
        self.context
            .events
            .send(Event::ResponseStarted(self.id))
            .ok()?;
        SockRef::from(stream)
            .set_recv_buffer_size(STREAMING_SOCKET_BUFFER)
            .ok()?;
        receiver.recv().ok().map(Arc::new)
    }

    /// Passes the requested response to the thread that waits for it; if `body` is `None`, that
    /// thread gets none.
    pub(super) fn forward_body(&self, body: Option<ResponseBody>) {
        let waiter = self.control().body_waiter.take();
        if let (Some(waiter), Some(body)) = (waiter, body) {
            let _ = waiter.send(body);
        }
    }
}
