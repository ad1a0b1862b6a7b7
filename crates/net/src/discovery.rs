//! Endpoint discovery: where the endpoint list of a front comes from.
//!
//! Either the operators' file names the endpoints ([`configured`]), or a discovery service is polled over HTTP
//! ([`DiscoveryPoller`]). Either way the list goes to the core as [`valehatch_core::Event::EndpointList`]; a list from discovery
//! is also cached in an [`EndpointListStore`] for gossip, for the next process and for restarts.

pub mod configured;
mod endpoint_list;
mod error;
pub mod http;
mod poller;
mod watch;

pub use endpoint_list::EndpointListStore;
pub use poller::{AgentLocation, DiscoveryPoller, PollerConfig};
pub use watch::DiscoveryAddress;
