//! Hot restart: a new process of the same gateway takes over the listening socket and the state of
//! the old process.
//!
//! The processes communicate over a Unix socket. A new process imports the state of the old one
//! when it starts ([`request_handoff`]), and then offers the same to its own successor
//! ([`HotRestart::start`]). [`valehatch_hot_restart`] decides each step; this module carries out
//! its actions on one thread, and reads from each peer on another.

mod exporter;
mod importer;
mod request_names;
mod socket;

pub use exporter::{HandoffHandle, HotRestart, NamesNotShared};
pub use importer::{HandoffOutcome, InheritedState, request_handoff};

use std::time::Duration;

use valehatch_hot_restart::ProcessLimits;

use crate::clients::BacklogOwner;

/// Pause between attempts, while another hot restart is in progress or no thread or descriptor is
/// available.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long the old process may take to answer a handoff request; it queries its core first.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a peer may take to read a message.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Callbacks of a process for the steps of a hot restart. Called on the hot restart's thread.
pub trait HandoffHandler: Send + 'static {
    /// Returns the descriptors and the memory that this process currently uses.
    fn usage(&self) -> ProcessLimits;
    /// Returns a snapshot of this process's state, if one can be encoded; may take some
    /// milliseconds.
    fn snapshot(&self) -> Option<Vec<u8>>;
    /// Sets this process's limits, and divides the budgets that the fleet shares by this many
    /// processes per gateway.
    fn set_limits(&self, limits: ProcessLimits, processes: u32);
    /// Handles the encoded endpoint list that the other process has received from discovery.
    fn on_list_forwarded(&self, list: &[u8]);
    /// Handles the names of requests that the other process sends and that must not run twice.
    fn on_peer_requests(&self, names: Vec<String>);
    /// Stops accepting connections permanently.
    fn stop_accepting(&self, backlog: BacklogOwner);
}
