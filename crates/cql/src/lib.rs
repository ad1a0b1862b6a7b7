//! The Cassandra native protocol, version 4: the same core behind another wire.
//!
//! | module | job |
//! | --- | --- |
//! | [`frame`], [`reader`], [`opcodes`] | decode frames and the values in them |
//! | [`requests`], [`responses`] | encode what the gateway writes itself |
//! | [`clients`] | handle the requests of clients |
//! | `decode`, `ticket` | what a request asks for, and what its answer depends on |
//! | [`exchange`] | one request's frames to and from an endpoint; no I/O |
//! | [`pool`] | the endpoints of a front, for the core's thread |
//! | `endpoint` | one endpoint: multiplexer, connections and exchanges |
//! | `connection` | a shared connection and its write queue |
//! | `connection_threads` | the threads that read and write a connection |
//! | [`prepared_statements`] | statements by id, to prepare them on any endpoint |

#![forbid(unsafe_code)]

pub mod clients;
mod connection;
mod connection_threads;
mod decode;
mod endpoint;
pub mod exchange;
pub mod frame;
pub mod opcodes;
pub mod pool;
pub mod prepared_statements;
pub mod reader;
pub mod requests;
pub mod responses;
mod ticket;

pub use prepared_statements::PreparedStatements;
