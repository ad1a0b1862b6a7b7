//! PostgreSQL's protocol, version 3, as far as the platform needs it: the codec, then the peer on both sides.

#![forbid(unsafe_code)]
#![expect(missing_docs, reason = "not yet split and documented")]

pub mod clients;
pub mod codec;
pub mod servers;
