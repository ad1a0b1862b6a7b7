//! Message framing: a type byte, a length that includes itself, and a body.
//!
//! A length is checked against its limit before memory is reserved for the body.

use std::fmt;
use std::io::{self, Read};

/// Size of a message header in bytes: type and length.
pub(crate) const HEADER_BYTES: usize = 5;
/// Size of a length field in bytes; the length includes these bytes.
pub(super) const LENGTH_BYTES: usize = 4;
/// Maximum memory in bytes that is reserved for a body in advance, which avoids the heap
/// fragmentation of a growing buffer. Larger bodies grow as bytes arrive, so that a length field
/// alone cannot claim memory.
const MAX_RESERVED_BYTES: usize = 64 * 1024;

/// A message that violates the protocol. The error text is sent to clients.
#[derive(Debug)]
pub(crate) enum FramingError {
    /// The length exceeds its limit, or is smaller than its own field.
    InvalidLength { length: usize, limit: usize },
    /// The startup message ends before the protocol version.
    MissingVersion,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidLength { length, limit } => {
                write!(f, "a message of {length} bytes, where {limit} are the most")
            }
            Self::MissingVersion => f.write_str("a startup message without a version"),
        }
    }
}

impl std::error::Error for FramingError {}

impl From<FramingError> for io::Error {
    fn from(error: FramingError) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

/// A complete message.
pub(crate) struct Message {
    pub message_type: u8,
    pub body: Vec<u8>,
}

/// Header of a message; `body_length` is in bytes.
pub(crate) struct MessageHeader {
    pub message_type: u8,
    pub body_length: usize,
}

/// Reads a length field; returns the length of the body that follows.
fn read_length(reader: &mut impl Read, limit: usize) -> io::Result<usize> {
    let mut bytes = [0; LENGTH_BYTES];
    reader.read_exact(&mut bytes)?;
    Ok(checked_body_length(bytes, limit)?)
}

/// Checks a length field; returns the length of the body that follows.
fn checked_body_length(field: [u8; LENGTH_BYTES], limit: usize) -> Result<usize, FramingError> {
    let length = u32::from_be_bytes(field) as usize;
    if !(LENGTH_BYTES..=limit + LENGTH_BYTES).contains(&length) {
        return Err(FramingError::InvalidLength { length, limit });
    }
    Ok(length - LENGTH_BYTES)
}

/// Length of a message without a type byte, which begins with its length field. `None` if too little
/// of it has been received.
pub(super) fn untyped_length(received: &[u8], limit: usize) -> Result<Option<usize>, FramingError> {
    let Some(field) = received.first_chunk() else {
        return Ok(None);
    };
    Ok(Some(LENGTH_BYTES + checked_body_length(*field, limit)?))
}

/// Length of a message whose body has at most `limit` bytes. `None` if too little of it has been
/// received.
pub(crate) fn message_length(received: &[u8], limit: usize) -> Result<Option<usize>, FramingError> {
    let Some(field) = received.get(1..).and_then(<[u8]>::first_chunk) else {
        return Ok(None);
    };
    Ok(Some(HEADER_BYTES + checked_body_length(*field, limit)?))
}

/// Reads a body of `length` bytes; fails if that exceeds `limit`.
pub(crate) fn read_body(
    reader: &mut impl Read,
    length: usize,
    limit: usize,
) -> io::Result<Vec<u8>> {
    if length > limit {
        let length = length + LENGTH_BYTES;
        return Err(FramingError::InvalidLength { length, limit }.into());
    }
    let mut body = Vec::with_capacity(length.min(MAX_RESERVED_BYTES));
    let received = reader.take(length as u64).read_to_end(&mut body)?;
    if received < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(body)
}

/// Reads a message whose body has at most `limit` bytes.
pub(crate) fn read_message(reader: &mut impl Read, limit: usize) -> io::Result<Message> {
    let header = read_header(reader, limit)?;
    Ok(Message {
        message_type: header.message_type,
        body: read_body(reader, header.body_length, limit)?,
    })
}

/// Reads the header of a message whose body has at most `limit` bytes.
pub(crate) fn read_header(reader: &mut impl Read, limit: usize) -> io::Result<MessageHeader> {
    let mut message_type = [0];
    reader.read_exact(&mut message_type)?;
    Ok(MessageHeader {
        message_type: message_type[0],
        body_length: read_length(reader, limit)?,
    })
}

/// Encodes the header of a message whose body has `body_length` bytes.
pub(crate) fn header(message_type: u8, body_length: usize) -> [u8; HEADER_BYTES] {
    let mut header = [message_type, 0, 0, 0, 0];
    header[1..].copy_from_slice(&((body_length + LENGTH_BYTES) as u32).to_be_bytes());
    header
}

/// Appends a message; its body is the concatenation of `parts`.
pub(crate) fn put_message(out: &mut Vec<u8>, message_type: u8, parts: &[&[u8]]) {
    let body_length = parts.iter().map(|part| part.len()).sum();
    out.extend_from_slice(&header(message_type, body_length));
    for part in parts {
        out.extend_from_slice(part);
    }
}
