//! The Cassandra native protocol, version 4, towards clients and towards endpoints.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`frame`], [`reader`], [`opcodes`] | decode frames and the values in them |
//! | [`requests`], [`responses`] | encode messages that the gateway itself sends |
//! | [`clients`] | handle the requests of clients |
//! | `decode`, `response_context` | decode a request, and keep what its response depends on |
//! | [`exchange`] | the frames exchanged with an endpoint for one request; no I/O |
//! | [`pool`] | the endpoints of a front, used by the core's thread |
//! | `endpoint` | one endpoint: multiplexer, connections and exchanges |
//! | `connection` | a shared connection and its write queue |
//! | `connection_threads` | the threads that read and write a connection |
//! | [`prepared_statements`] | statements by id, for preparing them again on any endpoint |

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
mod receive_buffer;
pub mod requests;
mod response_context;
pub mod responses;

pub use prepared_statements::PreparedStatements;
