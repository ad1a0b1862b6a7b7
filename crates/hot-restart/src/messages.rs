//! Messages between the old and the new process, and their byte form on a Unix stream socket.
//!
//! A message is a header of [`HEADER_BYTES`] bytes, then a postcard body of at most
//! [`MAX_MESSAGE_BYTES`] bytes. The header is the length of the body (four bytes) and the protocol
//! version (two bytes), both big-endian. The order of the variants of [`HandoffMessage`] is part of
//! the byte form. Pure functions, no state.

use serde::{Deserialize, Serialize};

use crate::limits::ProcessLimits;

/// Version of the byte form. A process that receives another version closes the connection, and the
/// new process starts as after a crash.
pub const PROTOCOL_VERSION: u16 = 3;
/// Longest body, in bytes: the largest snapshot plus its encoding overhead.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024 + 1024;
/// Length of the header, in bytes.
pub const HEADER_BYTES: usize = 6;

/// A message from one process to the other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoffMessage {
    /// New to old: requests the state of the gateway with this name.
    Request(String),
    /// Old to new: a snapshot of the old process's state. The listening socket is attached as
    /// ancillary data if it is still open.
    State(Vec<u8>),
    /// Old to new: another handoff is in progress; the new process may retry later.
    Busy,
    /// Old to new: resources that the old process uses while it still accepts connections.
    Usage(ProcessLimits),
    /// Old to new: resources that the old process uses after it has stopped accepting connections.
    DrainingUsage(ProcessLimits),
    /// New to old: the new process serves.
    Ready,
    /// In both directions: the endpoint list after a discovery update, encoded by
    /// `valehatch_recovery`.
    EndpointList(Vec<u8>),
    /// In both directions: names of requests that the sender has sent to an endpoint, or is about to,
    /// and that must not run twice.
    RequestNames(Vec<String>),
}

/// Why bytes cannot be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The header has this protocol version instead of [`PROTOCOL_VERSION`].
    UnsupportedVersion(u16),
    /// The header announces a body of this many bytes, more than [`MAX_MESSAGE_BYTES`].
    TooLong(u32),
    /// The body has bytes after the end of the message.
    TrailingBytes,
    /// The body is not a valid postcard encoding of a message.
    Malformed(postcard::Error),
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnsupportedVersion(version) => {
                write!(
                    f,
                    "unsupported protocol version {version}, expected {PROTOCOL_VERSION}"
                )
            }
            Self::TooLong(length) => write!(
                f,
                "message body of {length} bytes exceeds the maximum of {MAX_MESSAGE_BYTES}"
            ),
            Self::TrailingBytes => f.write_str("trailing bytes after the end of the message"),
            Self::Malformed(e) => write!(f, "malformed message: {e}"),
        }
    }
}

impl std::error::Error for DecodeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Malformed(e) => Some(e),
            Self::UnsupportedVersion(_) | Self::TooLong(_) | Self::TrailingBytes => None,
        }
    }
}

/// Encodes a message with its header.
#[must_use]
pub fn encode(message: &HandoffMessage) -> Vec<u8> {
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    [
        &length.to_be_bytes()[..],
        &PROTOCOL_VERSION.to_be_bytes(),
        &body,
    ]
    .concat()
}

/// Decodes a header. Returns the length of the body in bytes.
///
/// # Errors
/// Returns [`DecodeError::UnsupportedVersion`] or [`DecodeError::TooLong`].
pub fn decode_length(header: [u8; HEADER_BYTES]) -> Result<usize, DecodeError> {
    let [a, b, c, d, v, w] = header;
    let version = u16::from_be_bytes([v, w]);
    if version != PROTOCOL_VERSION {
        return Err(DecodeError::UnsupportedVersion(version));
    }
    let length = u32::from_be_bytes([a, b, c, d]);
    usize::try_from(length)
        .ok()
        .filter(|l| *l <= MAX_MESSAGE_BYTES)
        .ok_or(DecodeError::TooLong(length))
}

/// Decodes the body of exactly one message.
///
/// # Errors
/// Returns [`DecodeError::TrailingBytes`] or [`DecodeError::Malformed`].
pub fn decode(body: &[u8]) -> Result<HandoffMessage, DecodeError> {
    let (message, rest) = postcard::take_from_bytes(body).map_err(DecodeError::Malformed)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(DecodeError::TrailingBytes)
    }
}
