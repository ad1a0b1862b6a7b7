//! The subset of PostgreSQL's frontend/backend protocol, version 3, that simple queries need.
//!
//! - `codec`: stateless encoding and decoding of messages. Lengths are checked before memory is
//!   reserved.
//! - [`clients`]: the server side of the protocol, towards the gateway's clients.
//! - [`upstream`]: the client side of the protocol, towards endpoints.

#![forbid(unsafe_code)]

pub mod clients;
mod codec;
pub mod upstream;
