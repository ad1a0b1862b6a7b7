//! The way of a streamed reply from an upstream connection's thread to its client.
//!
//! The thread tells the core that a reply has begun and waits; the core's thread hands it the client's response.

use std::net::TcpStream;
use std::sync::Arc;

use crossbeam_channel::bounded;
use socket2::SockRef;
use valehatch_core::Event;

use super::connection::UpstreamConnection;
use crate::clients::{ResponseBody, STREAMING_SOCKET_BUFFER};

impl UpstreamConnection {
    /// Asks the core for the response to stream to; `None` if the client has disconnected or the connection was closed.
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

    /// Hands over the response that was asked for; without one, the thread that waits for it gets none.
    pub(super) fn forward_body(&self, body: Option<ResponseBody>) {
        let waiter = self.control().body_waiter.take();
        if let (Some(waiter), Some(body)) = (waiter, body) {
            let _ = waiter.send(body);
        }
    }
}
