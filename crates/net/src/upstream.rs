//! Connections to endpoints.

mod connection;

pub use connection::{Begin, EndpointPools, Protocol, Upstream};
