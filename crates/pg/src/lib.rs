//! PostgreSQL's frontend/backend protocol, version 3, as far as simple queries need it.
//!
//! - `codec`: messages to and from bytes, without state. Lengths are checked before memory is
//!   reserved.
//! - [`clients`]: the server side of the protocol, towards the gateway's clients.
//! - [`upstream`]: the client side of the protocol, towards endpoints.

#![forbid(unsafe_code)]

pub mod clients;
mod codec;
pub mod upstream;
