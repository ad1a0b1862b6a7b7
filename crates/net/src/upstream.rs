//! Upstream connections: carries attempts to endpoints and their replies back to the core.
//!
//! The core's thread drives all connections of a front through [`Upstream`] and never waits for any of them. In
//! [`EndpointPools`] a connection that carries a request has a thread, and an idle one has none.

mod body;
mod clock_check;
mod connection;
mod pool;

pub use pool::EndpointPools;

use std::net::TcpStream;
use std::sync::Arc;

use valehatch_core::{ConnectionId, UpstreamJob, UpstreamReply};
use valehatch_policy::Outcome;

use crate::clients::ResponseBody;

/// Opens the streamed response of the client that waits for a reply; `None` if no client does. What is not finished on it is
/// truncated when its last reference is dropped.
pub type BodyOpener<'a> = &'a dyn Fn() -> Option<Arc<ResponseBody>>;

/// A reply, and whether its connection can carry another request.
pub struct ReceivedReply {
    /// The reply, or the outcome of an attempt without one.
    pub reply: UpstreamReply,
    /// The connection is open, and no bytes follow the reply.
    pub reusable: bool,
}

/// The server side of one protocol: one request at a time on each connection. One instance serves all connections, from several
/// threads at once; each method may block.
pub trait Protocol: Send + Sync + 'static {
    /// Makes a new connection ready for requests. The socket has a read timeout meanwhile.
    ///
    /// # Errors
    /// The outcome of an attempt that needs the connection.
    fn open(&self, stream: &TcpStream) -> Result<(), Outcome>;
    /// Encodes a job. The gateway waits this many milliseconds for the reply.
    fn request(&self, job: &UpstreamJob, left_ms: i64) -> Vec<u8>;
    /// Reads the whole reply to the bytes that were sent. A body that is too long to be buffered is written to what `open_body`
    /// opens, but for its last bytes: these are the reply's body, and are written once the core knows that the connection is
    /// free.
    fn answer(
        &self,
        stream: &TcpStream,
        job: &UpstreamJob,
        sent: &[u8],
        open_body: BodyOpener,
    ) -> ReceivedReply;
}

/// All upstream connections of a front, as the core's thread uses them. No method blocks.
pub trait Upstream: Send {
    /// The core is about to use a connection to this address. It may be opened as late as the first job.
    fn connect(&mut self, connection: ConnectionId, address: &Arc<str>);
    /// Carries out a job on an idle connection.
    fn submit(&mut self, connection: ConnectionId, job: UpstreamJob);
    /// The streamed response that a connection has asked for; `None` if the client has disconnected.
    fn forward_body(&mut self, _connection: ConnectionId, _body: Option<ResponseBody>) {}
    /// Closes a connection, whatever it carries.
    fn close(&mut self, connection: ConnectionId);
    /// The core's turn is over: sends what was submitted in it.
    fn flush(&mut self) {}
}
