//! Upstream connections: send attempts to endpoints and return the replies to the core.
//!
//! The core's thread drives all connections of a front through [`Upstream`] and never waits for any
//! of them. In [`EndpointPools`], a connection that carries a request occupies a thread, and an
//! idle one does not.

mod body;
mod clock_check;
mod connection;
mod pool;

pub use pool::EndpointPools;

use std::net::TcpStream;
use std::sync::Arc;

use valehatch_core::{ConnectionId, UpstreamJob, UpstreamReply, UpstreamTransport};
use valehatch_policy::Outcome;

use crate::clients::ResponseBody;

/// Opens the streamed response of the client that waits for a reply; returns `None` if there is no
/// such client. If the response is not finished, it is truncated when its last reference is
/// dropped.
pub type BodyOpener<'a> = &'a dyn Fn() -> Option<Arc<ResponseBody>>;

/// A reply, and whether its connection can carry another request.
pub struct ReceivedReply {
    /// The reply, or the outcome of an attempt without one.
    pub reply: UpstreamReply,
    /// Set if the connection is open and no bytes follow the reply.
    pub reusable: bool,
}

/// The server side of one protocol: one request at a time on each connection. One instance serves
/// all connections, from several threads at once; every method may block.
pub trait Protocol: Send + Sync + 'static {
    /// Performs the protocol's handshake on a new connection. The socket has a read timeout during
    /// the call.
    ///
    /// # Errors
    /// Returns the outcome of the attempt that needs the connection.
    fn open(&self, stream: &TcpStream) -> Result<(), Outcome>;
    /// Encodes a job. The gateway waits `left_ms` milliseconds for the reply.
    fn request(&self, job: &UpstreamJob, left_ms: i64) -> Vec<u8>;
    /// Reads the complete reply to a job. A body that is too long to be
    /// buffered is written to the response that `open_body` opens, except for its last bytes: these
    /// are returned as the reply's body, and are written once the core knows that the connection is
    /// free.
    fn answer(&self, stream: &TcpStream, job: &UpstreamJob, open_body: BodyOpener)
    -> ReceivedReply;
}

/// All upstream connections of a front, as used by the core's thread. No method blocks.
pub trait Upstream: Send {
    /// How connections are used, which decides when an attempt is no longer out.
    fn transport(&self) -> UpstreamTransport;
    /// Announces that the core is about to use a connection to this address. The connection may be
    /// opened as late as the first job.
    fn connect(&mut self, connection: ConnectionId, address: &Arc<str>);
    /// Carries out a job on an idle connection.
    fn submit(&mut self, connection: ConnectionId, job: UpstreamJob);
    /// Passes on the streamed response that a connection has requested; `None` if the client has
    /// disconnected.
    fn forward_body(&mut self, _connection: ConnectionId, _body: Option<ResponseBody>) {}
    /// Cancels the attempt on a connection of a [`UpstreamTransport::Multiplexed`] transport. The end
    /// is reported as [`Event::AttemptEnded`](valehatch_core::Event::AttemptEnded), but not before
    /// the attempt is no longer out.
    fn cancel(&mut self, _connection: ConnectionId) {}
    /// Closes a connection, even if it carries a job. Nothing is reported for the job.
    fn close(&mut self, connection: ConnectionId);
    /// Sends what was submitted. Called at the end of each turn of the core's event loop.
    fn flush(&mut self) {}
}
