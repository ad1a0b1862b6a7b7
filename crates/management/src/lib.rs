//! The management endpoint: health, metrics and decisions over HTTP/1.1, one request for each
//! connection.
//!
//! It answers in bounded time whatever else the process does and whoever else connects: one thread,
//! a fixed number of connections, no blocking operation. Paths: `/admin/health`, `/admin/stats`,
//! `/admin/decisions`.

#![forbid(unsafe_code)]

mod connection_table;
mod request;
mod server;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Connections at once.
const MAX_CONNECTIONS: usize = 24;
/// How long a connection may take from its accept.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Stack of the endpoint's thread, in bytes.
const STACK_SIZE: usize = 128 * 1024;

/// What the responses are made of. Its methods run on the thread of the endpoint and must not
/// block.
pub trait Source: Send + Sync + 'static {
    /// Whether this process is ready to serve.
    ///
    /// # Errors
    /// Why it is not.
    fn health(&self) -> Result<String, String>;
    /// The metrics, one a line.
    fn stats(&self) -> String;
    /// Counts of denials by reason and of violated invariants, one a line.
    fn decisions(&self) -> String;
}

/// Address and limits of the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ManagementEndpoint {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Connections at once; one more evicts the one whose loss costs least.
    pub max_connections: usize,
    /// How long a connection may take from its accept.
    pub timeout: Duration,
}

impl ManagementEndpoint {
    /// The usual limits: 24 connections, 4 s each.
    #[must_use]
    pub const fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            max_connections: MAX_CONNECTIONS,
            timeout: CONNECTION_TIMEOUT,
        }
    }
}

/// Listens, and serves on a thread of its own for as long as the process lives; returns the bound
/// address.
///
/// # Errors
/// The address cannot be listened on, or the thread cannot be started.
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
