//! Frames of the protocol, version 4: a header of nine bytes and a body. A body's length is checked
//! before memory is taken.

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
/// Where the opcode stands in a frame, in bytes from its start.
pub(crate) const OPCODE_OFFSET: usize = 4;
/// Bytes reserved for a body before it has come: enough for most, and no more than that for what a
/// header merely claims.
const INITIAL_BODY_CAPACITY: usize = 1024;
/// The bit of the version byte that marks a response.
pub(crate) const RESPONSE_BIT: u8 = 0x80;
/// The length of a trace id, in bytes.
const TRACE_ID_LENGTH: usize = 16;

/// Which way a frame travels.
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

/// A complete frame, header and body as they came.
#[derive(Clone, Debug)]
pub struct Frame(Vec<u8>);

/// A body that is longer than its sender may send. The text is sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTooLong {
    /// The length in the header, in bytes.
    pub length: usize,
    /// The most that is accepted, in bytes.
    pub limit: usize,
}

impl fmt::Display for BodyTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { length, limit } = self;
        write!(f, "a body of {length} bytes, where {limit} are the most")
    }
}

impl std::error::Error for BodyTooLong {}

/// Why no frame could be read.
#[derive(Debug)]
pub enum FrameError {
    /// The connection ended or broke.
    Io(io::Error),
    /// Another version of the protocol, or the wrong direction.
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
        /// Its length and the limit.
        source: BodyTooLong,
    },
}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl Frame {
    /// A frame of version 4.
    pub fn new(direction: Direction, flags: u8, stream_id: i16, opcode: u8, body: &[u8]) -> Self {
        let mut bytes = vec![direction.version_byte(), flags];
        bytes.extend_from_slice(&stream_id.to_be_bytes());
        bytes.push(opcode);
        bytes.extend_from_slice(&u32::try_from(body.len()).unwrap_or(u32::MAX).to_be_bytes());
        bytes.extend_from_slice(body);
        Self(bytes)
    }

    /// Takes bytes that were a frame.
    pub const fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// Reads a frame, with a body of at most `max_body` bytes.
    ///
    /// # Errors
    /// The connection ended, or the frame has another version or too long a body; its body is then
    /// not read.
    pub fn read(
        from: &mut impl Read,
        direction: Direction,
        max_body: usize,
    ) -> Result<Self, FrameError> {
        let mut bytes = vec![0; HEADER_LENGTH];
        from.read_exact(&mut bytes[..1])?;
        let version = bytes[0];
        if version != direction.version_byte() {
            from.read_exact(&mut bytes[1..4])?;
            // Versions 1 and 2 have stream ids of one byte; the error goes back under the same id.
            let stream_id = if version & !RESPONSE_BIT < 3 {
                i16::from(bytes[2])
            } else {
                stream_id(&bytes)
            };
            return Err(FrameError::UnsupportedVersion { version, stream_id });
        }
        from.read_exact(&mut bytes[1..])?;
        let length = checked_body_length(&bytes, max_body)?;
        bytes.reserve(length.min(INITIAL_BODY_CAPACITY));
        if from.take(length as u64).read_to_end(&mut bytes)? < length {
            return Err(FrameError::Io(io::ErrorKind::UnexpectedEof.into()));
        }
        Ok(Self(bytes))
    }

    /// Copies a response off the front of `received`; `None` while it is incomplete.
    ///
    /// # Errors
    /// The frame is no response of version 4, or its body has more than `max_body` bytes.
    pub fn parse_response(received: &[u8], max_body: usize) -> Result<Option<Self>, FrameError> {
        let Some(header) = received.get(..HEADER_LENGTH) else {
            return Ok(None);
        };
        let version = header[0];
        if version != Direction::Response.version_byte() {
            let stream_id = stream_id(header);
            return Err(FrameError::UnsupportedVersion { version, stream_id });
        }
        let length = checked_body_length(header, max_body)?;
        let frame = received.get(..HEADER_LENGTH + length);
        Ok(frame.map(|bytes| Self(bytes.to_vec())))
    }

    /// The stream id, which a response shares with its request.
    pub fn stream_id(&self) -> i16 {
        stream_id(&self.0)
    }

    /// The flags; see [`flag`].
    pub fn flags(&self) -> u8 {
        self.0[1]
    }

    /// The opcode; see [`opcode`].
    pub fn opcode(&self) -> u8 {
        self.0[OPCODE_OFFSET]
    }

    /// Header and body.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Header and body.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    /// The same frame under another stream id.
    #[must_use]
    pub fn with_stream_id(mut self, stream_id: i16) -> Self {
        self.0[2..4].copy_from_slice(&stream_id.to_be_bytes());
        self
    }

    /// Whether a response is a complete result: every length in it fits, and nothing follows it.
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
                // Rows without columns take no bytes: any count of them would fit.
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

    /// The body, behind the parts that flags announce.
    ///
    /// # Errors
    /// One of those parts does not fit.
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

/// Kinds of results.
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
