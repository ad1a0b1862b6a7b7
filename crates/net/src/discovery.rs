//! Endpoint discovery: the sources of a front's endpoint list.
//!
//! The operators' configuration file either names the endpoints ([`configured`]), or names a
//! discovery service that is polled over HTTP ([`DiscoveryPoller`]). In both cases the list is sent
//! to the core as [`valehatch_core::Event::EndpointList`]; a list from discovery is also cached in
//! an [`EndpointListStore`] for gossip, for the next process and for restarts.

pub mod configured;
mod endpoint_list;
mod error;
pub mod http;
mod poller;
mod watch;

pub use endpoint_list::EndpointListStore;
pub use poller::{AgentLocation, DiscoveryPoller, PollerConfig};
pub use watch::DiscoveryAddress;
