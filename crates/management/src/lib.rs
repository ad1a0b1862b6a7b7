//! The management endpoint: health, metrics and decisions over HTTP/1.1, one request per
//! connection.
//!
//! The endpoint answers in bounded time, independent of the load of the process and of other
//! clients: it has its own thread, a fixed number of connections and no blocking operation. Paths:
//! `/admin/health`, `/admin/stats`, `/admin/decisions`, `/admin/memory`, `/admin/connections`.

#![forbid(unsafe_code)]

mod connection_table;
mod request;
mod server;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Default limit on concurrent connections.
const MAX_CONNECTIONS: usize = 24;
/// Default time that a connection may take from its accept.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Stack size of the endpoint's thread, in bytes.
const STACK_SIZE: usize = 128 * 1024;

/// Provides the content of the responses. The methods run on the endpoint's thread and must not
/// block.
pub trait Source: Send + Sync + 'static {
    /// The text for a process that is ready to serve.
    ///
    /// # Errors
    /// The reason why the process is not ready, as text.
    fn health(&self) -> Result<String, String>;
    /// The metrics, one per line.
    fn stats(&self) -> String;
    /// Counts of denials by reason and of violated invariants, one per line.
    fn decisions(&self) -> String;
    /// Memory of the process, and what is held for callers by use, one figure per line.
    fn memory(&self) -> String;
    /// Connections by what they wait for, and threads by their job, one figure per line.
    fn connections(&self) -> String;
}

/// Address and limits of the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ManagementEndpoint {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Limit on concurrent connections; a further one evicts the one whose loss matters least.
    pub max_connections: usize,
    /// Time that a connection may take from its accept.
    pub timeout: Duration,
}

impl ManagementEndpoint {
    /// An endpoint with the default limits: 24 connections, 4 s each.
    #[must_use]
    pub const fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            max_connections: MAX_CONNECTIONS,
            timeout: CONNECTION_TIMEOUT,
        }
    }
}

/// Starts the endpoint on its own thread, where it serves until the process ends. Returns the bound
/// address.
///
/// # Errors
/// The address cannot be bound, or the thread cannot be started.
pub fn start(endpoint: ManagementEndpoint, source: Arc<dyn Source>) -> io::Result<SocketAddr> {
    let mut server = server::ManagementServer::new(endpoint, source)?;
    let address = server.address()?;
    std::thread::Builder::new()
        .name("management".into())
        .stack_size(STACK_SIZE)
        .spawn(move || {
            loop {
                server.poll_once();
            }
        })?;
    Ok(address)
}
