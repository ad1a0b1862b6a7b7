//! Stateless encoding and decoding of the protocol's messages.

pub(crate) mod error_response;
pub(crate) mod framing;
pub(crate) mod message_types;
pub(crate) mod rows;
pub(crate) mod startup;
pub(crate) mod strings;

use framing::put_message;
use message_types::backend;

/// Size of a ReadyForQuery in bytes.
pub(crate) const READY_FOR_QUERY_BYTES: usize = framing::HEADER_BYTES + 1;

/// Appends a ReadyForQuery outside of a transaction.
pub(crate) fn put_ready_for_query(out: &mut Vec<u8>) {
    put_message(out, backend::READY_FOR_QUERY, &[b"I"]);
}
