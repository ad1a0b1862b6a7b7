//! Frames of the protocol, version 4: a header of nine bytes and a body. The length of a body is
//! checked before memory is reserved.

use std::fmt;
use std::io::{self, Read};

use crate::opcodes::{flag, opcode};
use crate::reader::{ColumnMetadata, ReadError, Reader};

/// The length of a header, in bytes.
pub const HEADER_LENGTH: usize = 9;
/// The longest body that a client may send, in bytes.
pub const MAX_CLIENT_BODY: usize = 256 * 1024;
/// The longest body that an endpoint may send, in bytes.
pub const MAX_ENDPOINT_BODY: usize = 2 * 1024 * 1024;
/// The length of a header up to the stream id, in bytes.
const VERSION_AND_STREAM_LENGTH: usize = 4;
/// Offset of the opcode in a frame, in bytes.
pub(crate) const OPCODE_OFFSET: usize = 4;
/// Maximum bytes reserved for a body before it is received: enough for most bodies, while a header
/// alone cannot claim much memory.
const INITIAL_BODY_CAPACITY: usize = 1024;
/// The bit of the version byte that marks a response.
pub(crate) const RESPONSE_BIT: u8 = 0x80;
/// The length of a trace id, in bytes.
const TRACE_ID_LENGTH: usize = 16;

/// Direction of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From a client to a server.
    Request,
    /// From a server to a client.
    Response,
}

impl Direction {
    const fn version_byte(self) -> u8 {
        match self {
            Self::Request => 0x04,
            Self::Response => 0x84,
        }
    }
}

/// A complete frame: header and body as encoded on the wire.
#[derive(Clone, Debug)]
pub struct Frame(Vec<u8>);

/// Error for a body that exceeds the limit of its sender. The text is sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTooLong {
    /// Length from the header, in bytes.
    pub length: usize,
    /// Maximum that is accepted, in bytes.
    pub limit: usize,
}

impl fmt::Display for BodyTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { length, limit } = self;
        write!(f, "a body of {length} bytes, where {limit} are the most")
    }
}

impl std::error::Error for BodyTooLong {}

/// Reasons why no frame could be read.
#[derive(Debug)]
pub enum FrameError {
    /// The connection was closed or failed.
    Io(io::Error),
    /// The frame has another protocol version, or the wrong direction.
    UnsupportedVersion {
        /// The frame's version byte.
        version: u8,
        /// The frame's stream id.
        stream_id: i16,
    },
    /// The body is too long.
    BodyTooLong {
        /// The frame's stream id.
        stream_id: i16,
        /// Length of the body, and the limit.
        source: BodyTooLong,
    },
}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Header of a frame.
pub(crate) struct FrameHeader {
    /// The header as encoded on the wire.
    pub(crate) bytes: [u8; HEADER_LENGTH],
    /// Length of the body, in bytes.
    pub(crate) body_length: usize,
}

impl FrameHeader {
    /// Reads a header that announces at most `max_body` bytes.
    ///
    /// # Errors
    /// The connection was closed or failed, or the frame has another version or a body that is too
    /// long.
    pub(crate) fn read(
        from: &mut impl Read,
        direction: Direction,
        max_body: usize,
    ) -> Result<Self, FrameError> {
        let mut bytes = [0; HEADER_LENGTH];
        from.read_exact(&mut bytes[..1])?;
        if bytes[0] != direction.version_byte() {
            from.read_exact(&mut bytes[1..VERSION_AND_STREAM_LENGTH])?;
            return Err(unsupported_version(&bytes));
        }
        from.read_exact(&mut bytes[1..])?;
        let body_length = checked_body_length(&bytes, max_body)?;
        Ok(Self { bytes, body_length })
    }

    /// Decodes the header of a frame that is being received; `None` while it is incomplete. A version
    /// that is not spoken is told as soon as its stream id is known.
    ///
    /// # Errors
    /// The frame has another version or direction, or its body exceeds `max_body` bytes.
    pub(crate) fn parse(
        received: &[u8],
        direction: Direction,
        max_body: usize,
    ) -> Result<Option<Self>, FrameError> {
        let Some(start) = received.first_chunk::<VERSION_AND_STREAM_LENGTH>() else {
            return Ok(None);
        };
        if start[0] != direction.version_byte() {
            return Err(unsupported_version(start));
        }
        let Some(bytes) = received.first_chunk::<HEADER_LENGTH>() else {
            return Ok(None);
        };
        let body_length = checked_body_length(bytes, max_body)?;
        Ok(Some(Self {
            bytes: *bytes,
            body_length,
        }))
    }

    /// Stream id, which a response shares with its request.
    pub(crate) fn stream_id(&self) -> i16 {
        stream_id(&self.bytes)
    }
}

impl Frame {
    /// Encodes a frame of version 4.
    pub fn new(direction: Direction, flags: u8, stream_id: i16, opcode: u8, body: &[u8]) -> Self {
        let mut bytes = vec![direction.version_byte(), flags];
        bytes.extend_from_slice(&stream_id.to_be_bytes());
        bytes.push(opcode);
        bytes.extend_from_slice(&u32::try_from(body.len()).unwrap_or(u32::MAX).to_be_bytes());
        bytes.extend_from_slice(body);
        Self(bytes)
    }

    /// Wraps the bytes of a complete frame; they are not validated.
    pub const fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// Reads a frame whose body has at most `max_body` bytes.
    ///
    /// # Errors
    /// The connection was closed or failed, or the frame has another version or a body that is too
    /// long. The body is not read then.
    pub fn read(
        from: &mut impl Read,
        direction: Direction,
        max_body: usize,
    ) -> Result<Self, FrameError> {
        let header = FrameHeader::read(from, direction, max_body)?;
        let length = header.body_length;
        let mut bytes = header.bytes.to_vec();
        bytes.reserve(length.min(INITIAL_BODY_CAPACITY));
        if from.take(length as u64).read_to_end(&mut bytes)? < length {
            return Err(FrameError::Io(io::ErrorKind::UnexpectedEof.into()));
        }
        Ok(Self(bytes))
    }

    /// Stream id, which a response shares with its request.
    pub fn stream_id(&self) -> i16 {
        stream_id(&self.0)
    }

    /// Flags of the frame; see [`flag`].
    pub fn flags(&self) -> u8 {
        self.0[1]
    }

    /// Opcode of the frame; see [`opcode`].
    pub fn opcode(&self) -> u8 {
        self.0[OPCODE_OFFSET]
    }

    /// Header and body as encoded on the wire.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns header and body as encoded on the wire.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    /// Returns the frame with another stream id.
    #[must_use]
    pub fn with_stream_id(mut self, stream_id: i16) -> Self {
        self.0[2..4].copy_from_slice(&stream_id.to_be_bytes());
        self
    }

    /// Whether a response is a complete result: all lengths in it are valid and no bytes are left
    /// over.
    pub fn is_result(&self) -> bool {
        self.opcode() == opcode::RESULT && self.is_complete_result().unwrap_or(false)
    }

    fn is_complete_result(&self) -> Result<bool, ReadError> {
        let mut reader = self.content()?;
        match reader.int()? {
            result_kind::VOID => {}
            result_kind::ROWS => {
                let columns = reader.columns(ColumnMetadata::Result)?;
                let rows = reader.int()?;
                // Rows without columns take no bytes, so any row count would appear to fit.
                if columns == 0 && rows > 0 {
                    return Ok(false);
                }
                for _ in 0..rows {
                    for _ in 0..columns {
                        reader.bytes()?;
                    }
                }
            }
            result_kind::SET_KEYSPACE => drop(reader.string()?),
            result_kind::PREPARED => {
                reader.short_bytes()?;
                reader.columns(ColumnMetadata::Prepared)?;
                reader.columns(ColumnMetadata::Result)?;
            }
            result_kind::SCHEMA_CHANGE => skip_schema_change(&mut reader)?,
            _ => return Ok(false),
        }
        Ok(reader.is_empty())
    }

    /// Returns a reader of the body, positioned after the optional parts announced by flags: trace
    /// id, warnings and custom payload.
    ///
    /// # Errors
    /// An optional part is malformed.
    pub fn content(&self) -> Result<Reader<'_>, ReadError> {
        let mut reader = Reader::new(&self.0[HEADER_LENGTH..]);
        if self.0[0] & RESPONSE_BIT != 0 {
            if self.flags() & flag::TRACING != 0 {
                reader.take(TRACE_ID_LENGTH)?;
            }
            if self.flags() & flag::WARNING != 0 {
                for _ in 0..reader.short()? {
                    reader.string()?;
                }
            }
        }
        if self.flags() & flag::PAYLOAD != 0 {
            for _ in 0..reader.short()? {
                reader.string()?;
                reader.bytes()?;
            }
        }
        Ok(reader)
    }
}

/// Kinds of RESULT bodies.
pub(crate) mod result_kind {
    pub(crate) const VOID: u32 = 1;
    pub(crate) const ROWS: u32 = 2;
    pub(crate) const SET_KEYSPACE: u32 = 3;
    pub(crate) const PREPARED: u32 = 4;
    pub(crate) const SCHEMA_CHANGE: u32 = 5;
}

fn skip_schema_change(reader: &mut Reader<'_>) -> Result<(), ReadError> {
    reader.string()?;
    let target = reader.string()?;
    reader.string()?;
    if target != "KEYSPACE" {
        reader.string()?;
    }
    if matches!(target, "FUNCTION" | "AGGREGATE") {
        for _ in 0..reader.short()? {
            reader.string()?;
        }
    }
    Ok(())
}

/// The error for a header whose version byte is not the expected one.
fn unsupported_version(header: &[u8]) -> FrameError {
    let version = header[0];
    // Versions 1 and 2 have one-byte stream ids; the error has to carry the same id.
    let stream_id = if version & !RESPONSE_BIT < 3 {
        i16::from(header[2])
    } else {
        stream_id(header)
    };
    FrameError::UnsupportedVersion { version, stream_id }
}

fn stream_id(header: &[u8]) -> i16 {
    i16::from_be_bytes([header[2], header[3]])
}

fn checked_body_length(header: &[u8], limit: usize) -> Result<usize, FrameError> {
    let length = u32::from_be_bytes([header[5], header[6], header[7], header[8]]) as usize;
    if length > limit {
        return Err(FrameError::BodyTooLong {
            stream_id: stream_id(header),
            source: BodyTooLong { length, limit },
        });
    }
    Ok(length)
}
