//! The operators' door: health and figures over HTTP/1.1, one call for each connection, answered in time whatever
//! else the process does and whoever else calls. One thread, a fixed number of places, nothing waits for a caller.

#![forbid(unsafe_code)]
#![expect(missing_docs, reason = "not yet split and documented")]

mod call;
mod serve;
mod table;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Where the answers come from.
pub trait Source: Send + Sync + 'static {
    /// Whether this process is ready to serve; the text says so, or why not. Must not wait.
    fn health(&self) -> Result<String, String>;
    /// The figures, as text, one a line. Must not wait.
    fn stats(&self) -> String;
    /// What was denied and why, and invariants that were violated, as text, one a line. Must not wait.
    fn decisions(&self) -> String;
}

/// Where the door is and what it bears.
#[derive(Clone, Copy, Debug)]
pub struct ManagementEndpoint {
    pub listen: SocketAddr,
    /// So many callers at once; one more sends the oldest away that has not asked.
    pub places: usize,
    /// So long a caller may keep its place, from its accept.
    pub patience: Duration,
}

impl ManagementEndpoint {
    pub const fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            places: 24,
            patience: Duration::from_secs(4),
        }
    }
}

/// Listens and answers on one thread of its own from then on; returns the bound address.
pub fn start(door: ManagementEndpoint, source: Arc<dyn Source>) -> io::Result<SocketAddr> {
    let mut serving = serve::Serving::new(door, source)?;
    let address = serving.address()?;
    std::thread::Builder::new()
        .name("management".into())
        .stack_size(128 * 1024)
        .spawn(move || {
            loop {
                serving.turn();
            }
        })?;
    Ok(address)
}
