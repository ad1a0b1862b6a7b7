//! The gateway's I/O: sockets, threads, signals and the log.
//!
//! This crate makes no decisions: its threads report events to the core
//! ([`valehatch_core::Event`]), the event loop has the core process them, and the resulting effects
//! are carried out here.
//!
//! - [`clients`]: downstream connections.
//! - [`upstream`]: upstream connections.
//! - [`discovery`]: sources of the endpoint lists.
//! - [`gossip_transport`]: datagrams between gateways.
//! - [`hot_restart`]: handover to a new process of the same gateway.
//! - [`connection_limits`]: the descriptor budget that clients and upstreams share.

#![forbid(unsafe_code)]

pub mod clients;
mod clock;
pub mod connection_limits;
pub mod discovery;
mod event_loop;
pub mod gossip_transport;
pub mod hot_restart;
pub mod log;
pub mod signals;
mod threads;
pub mod upstream;

pub use clock::Clock;
pub use event_loop::{LoopControl, TurnStep, run};
pub use threads::{lock, running_jobs, spawn};
