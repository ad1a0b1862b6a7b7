//! Hot restart: a new process of the same gateway takes over the listening socket and what the old one knows.
//!
//! The processes meet at a Unix socket. The new one imports from the old one when it starts ([`request_handoff`]), and then
//! offers the same to its own successor ([`HotRestart::start`]). [`valehatch_hot_restart`] decides each step; here its actions
//! are carried out by one thread, and one more thread reads from each peer.

mod exporter;
mod importer;
mod socket;

pub use exporter::{HandoffHandle, HotRestart};
pub use importer::{HandoffOutcome, InheritedState, request_handoff};

use std::time::Duration;

use valehatch_hot_restart::ProcessLimits;

use crate::clients::BacklogOwner;

/// Between tries, while another hot restart is under way or the machine has no thread or descriptor.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long the old process may take to answer a request for a handoff; it asks its core first.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a peer may take to read a message.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a process does at the steps of a hot restart. Called on the hot restart's thread.
pub trait HandoffHandler: Send + 'static {
    /// The descriptors and the memory that this process uses now.
    fn usage(&self) -> ProcessLimits;
    /// What this process knows, as a snapshot, if one can be encoded; may take some milliseconds.
    fn snapshot(&self) -> Option<Vec<u8>>;
    /// Limits this process, and divides what the fleet shares by this many processes for each gateway.
    fn set_limits(&self, limits: ProcessLimits, processes: u32);
    /// Takes the encoded endpoint list that the other process has from discovery.
    fn on_list_forwarded(&self, list: &[u8]);
    /// Stops accepting connections, for good.
    fn stop_accepting(&self, backlog: BacklogOwner);
}
