//! Frames of the Cassandra native protocol, version 4, and the values in them. Lengths are checked before
//! anything is taken into memory.

use std::io::{self, Read};

/// The length of a header.
pub const HEADER: usize = 9;
/// The longest body that a client may send.
pub const FROM_CLIENT: usize = 256 * 1024;
/// The longest body that a node may send.
pub const FROM_NODE: usize = 2 * 1024 * 1024;
/// A body that memory is taken for before it has come.
const SMALL: usize = 1024;
/// Types within types that are followed.
const DEPTH: u32 = 16;

const REQUEST: u8 = 0x04;
const RESPONSE: u8 = 0x84;

/// Flags of a frame.
pub mod flag {
    pub const COMPRESSED: u8 = 0x01;
    pub const TRACING: u8 = 0x02;
    pub const PAYLOAD: u8 = 0x04;
    pub const WARNING: u8 = 0x08;
}

/// Kinds of frames.
pub mod op {
    pub const ERROR: u8 = 0x00;
    pub const STARTUP: u8 = 0x01;
    pub const READY: u8 = 0x02;
    pub const OPTIONS: u8 = 0x05;
    pub const SUPPORTED: u8 = 0x06;
    pub const QUERY: u8 = 0x07;
    pub const RESULT: u8 = 0x08;
    pub const PREPARE: u8 = 0x09;
    pub const EXECUTE: u8 = 0x0a;
    pub const REGISTER: u8 = 0x0b;
    pub const EVENT: u8 = 0x0c;
    pub const BATCH: u8 = 0x0d;
}

/// Codes of errors.
pub mod code {
    pub const SERVER: u32 = 0x0000;
    pub const PROTOCOL: u32 = 0x000a;
    pub const UNAVAILABLE: u32 = 0x1000;
    pub const OVERLOADED: u32 = 0x1001;
    pub const BOOTSTRAPPING: u32 = 0x1002;
    pub const WRITE_TIMEOUT: u32 = 0x1100;
    pub const READ_TIMEOUT: u32 = 0x1200;
    pub const READ_FAILURE: u32 = 0x1300;
    pub const FUNCTION_FAILURE: u32 = 0x1400;
    pub const WRITE_FAILURE: u32 = 0x1500;
    pub const INVALID: u32 = 0x2200;
    pub const UNPREPARED: u32 = 0x2500;
}

/// A whole frame, header and body as they came.
#[derive(Clone, Debug)]
pub struct Frame(Vec<u8>);

/// Why no frame could be read.
#[derive(Debug)]
pub enum Fault {
    /// The connection ended or broke.
    Io(io::Error),
    /// Another version of the protocol; with the stream of the frame.
    Version(u8, i16),
    /// The frame is no good; with its stream.
    Bad(i16, String),
}

impl From<io::Error> for Fault {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl Frame {
    /// A frame of version 4.
    pub fn new(response: bool, flags: u8, stream: i16, opcode: u8, body: &[u8]) -> Self {
        let mut bytes = vec![if response { RESPONSE } else { REQUEST }, flags];
        bytes.extend_from_slice(&stream.to_be_bytes());
        bytes.push(opcode);
        bytes.extend_from_slice(&u32::try_from(body.len()).unwrap_or(u32::MAX).to_be_bytes());
        bytes.extend_from_slice(body);
        Self(bytes)
    }

    /// Takes bytes that were a frame.
    pub const fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// Reads a request or a response whole.
    pub fn read(from: &mut impl Read, response: bool, most: usize) -> Result<Self, Fault> {
        let mut bytes = vec![0; HEADER];
        from.read_exact(&mut bytes[..1])?;
        let version = bytes[0];
        if version != if response { RESPONSE } else { REQUEST } {
            // Versions 1 and 2 have streams of one byte; their answer goes back under the same number.
            from.read_exact(&mut bytes[1..4])?;
            let stream = i16::from_be_bytes([bytes[2], bytes[3]]);
            return Err(Fault::Version(
                version,
                if version & 0x7f < 3 {
                    i16::from(bytes[2])
                } else {
                    stream
                },
            ));
        }
        from.read_exact(&mut bytes[1..])?;
        let stream = i16::from_be_bytes([bytes[2], bytes[3]]);
        let length = u32::from_be_bytes([bytes[5], bytes[6], bytes[7], bytes[8]]) as usize;
        if length > most {
            return Err(Fault::Bad(
                stream,
                format!("a body of {length} bytes, where {most} are the most"),
            ));
        }
        // Memory is taken as bytes come, not for what a header claims, but for what most need.
        bytes.reserve(length.min(SMALL));
        if from.take(length as u64).read_to_end(&mut bytes)? < length {
            return Err(Fault::Io(io::ErrorKind::UnexpectedEof.into()));
        }
        Ok(Self(bytes))
    }

    /// Takes a response off the front of what has come in; `None` while it is not whole. What follows it stays.
    pub fn split(buffer: &[u8], at: usize, most: usize) -> Result<Option<(Self, usize)>, Fault> {
        let rest = &buffer[at..];
        let Some(head) = rest.get(..HEADER) else {
            return Ok(None);
        };
        let stream = i16::from_be_bytes([head[2], head[3]]);
        if head[0] != RESPONSE {
            return Err(Fault::Version(head[0], stream));
        }
        let length = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) as usize;
        if length > most {
            return Err(Fault::Bad(
                stream,
                format!("a body of {length} bytes, where {most} are the most"),
            ));
        }
        Ok(rest
            .get(..HEADER + length)
            .map(|whole| (Self(whole.to_vec()), at + whole.len())))
    }

    pub fn stream(&self) -> i16 {
        i16::from_be_bytes([self.0[2], self.0[3]])
    }
    pub fn flags(&self) -> u8 {
        self.0[1]
    }
    pub fn opcode(&self) -> u8 {
        self.0[4]
    }
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    /// The same frame under another stream.
    pub fn on_stream(mut self, stream: i16) -> Self {
        self.0[2..4].copy_from_slice(&stream.to_be_bytes());
        self
    }

    /// Whether a response is a result that is whole: every length in it fits, and nothing lies behind it.
    pub fn is_result(&self) -> bool {
        let read = || -> Result<bool, String> {
            let mut r = self.content()?;
            match r.int()? {
                1 => {}
                2 => {
                    let columns = r.columns(false)?;
                    let rows = r.int()?;
                    if columns == 0 && rows > 0 {
                        return Ok(false);
                    }
                    for _ in 0..rows {
                        for _ in 0..columns {
                            r.bytes()?;
                        }
                    }
                }
                3 => drop(r.string()?),
                4 => {
                    r.short_bytes()?;
                    r.columns(true)?;
                    r.columns(false)?;
                }
                5 => {
                    r.string()?;
                    let target = r.string()?;
                    r.string()?;
                    if target != "KEYSPACE" {
                        r.string()?;
                    }
                    if matches!(target, "FUNCTION" | "AGGREGATE") {
                        for _ in 0..r.short()? {
                            r.string()?;
                        }
                    }
                }
                _ => return Ok(false),
            }
            Ok(r.0.is_empty())
        };
        self.opcode() == op::RESULT && read().unwrap_or(false)
    }

    /// What the body says, behind the parts that flags announce.
    pub fn content(&self) -> Result<Reader<'_>, String> {
        let mut r = Reader(&self.0[HEADER..]);
        if self.0[0] & 0x80 != 0 {
            if self.flags() & flag::TRACING != 0 {
                r.take(16)?;
            }
            if self.flags() & flag::WARNING != 0 {
                for _ in 0..r.short()? {
                    r.string()?;
                }
            }
        }
        if self.flags() & flag::PAYLOAD != 0 {
            for _ in 0..r.short()? {
                r.string()?;
                r.bytes()?;
            }
        }
        Ok(r)
    }
}

/// Reads the protocol's values.
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    pub fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        let (head, tail) = self
            .0
            .split_at_checked(n)
            .ok_or("the body ends too early")?;
        self.0 = tail;
        Ok(head)
    }
    pub fn byte(&mut self) -> Result<u8, String> {
        self.take(1).map(|b| b[0])
    }
    pub fn short(&mut self) -> Result<u16, String> {
        self.take(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }
    pub fn int(&mut self) -> Result<u32, String> {
        self.take(4)
            .map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }
    fn text(bytes: &'a [u8]) -> Result<&'a str, String> {
        std::str::from_utf8(bytes).map_err(|_| "a text is not UTF-8".into())
    }
    pub fn string(&mut self) -> Result<&'a str, String> {
        let n = self.short()?.into();
        Self::text(self.take(n)?)
    }
    pub fn long_string(&mut self) -> Result<&'a str, String> {
        let n = self.int()? as usize;
        Self::text(self.take(n)?)
    }
    /// A value: null and unset have negative lengths.
    pub fn bytes(&mut self) -> Result<&'a [u8], String> {
        let n = self.int()?;
        if n > i32::MAX as u32 {
            Ok(&[])
        } else {
            self.take(n as usize)
        }
    }
    /// The description of columns, before rows or of a prepared statement; how many there are.
    fn columns(&mut self, prepared: bool) -> Result<u32, String> {
        let (flags, columns) = (self.int()?, self.int()?);
        if prepared {
            for _ in 0..self.int()? {
                self.short()?;
            }
        }
        if flags & 0x02 != 0 {
            self.bytes()?;
        }
        if flags & 0x04 != 0 {
            return Ok(columns);
        }
        let global = flags & 0x01 != 0;
        if global {
            self.string()?;
            self.string()?;
        }
        for _ in 0..columns {
            if !global {
                self.string()?;
                self.string()?;
            }
            self.string()?;
            self.kind(DEPTH)?;
        }
        Ok(columns)
    }

    /// The type of a value.
    fn kind(&mut self, depth: u32) -> Result<(), String> {
        let depth = depth.checked_sub(1).ok_or("types within types, too deep")?;
        match self.short()? {
            0x00 => drop(self.string()?),
            0x01..=0x15 => {}
            0x20 | 0x22 => self.kind(depth)?,
            0x21 => {
                self.kind(depth)?;
                self.kind(depth)?;
            }
            0x30 => {
                self.string()?;
                self.string()?;
                for _ in 0..self.short()? {
                    self.string()?;
                    self.kind(depth)?;
                }
            }
            0x31 => {
                for _ in 0..self.short()? {
                    self.kind(depth)?;
                }
            }
            other => return Err(format!("a type {other:#06x} is not known")),
        }
        Ok(())
    }
    pub fn short_bytes(&mut self) -> Result<&'a [u8], String> {
        let n = self.short()?.into();
        self.take(n)
    }
}

/// Appends the protocol's values.
pub fn put_string(out: &mut Vec<u8>, text: &str) {
    let mut end = text.len().min(usize::from(u16::MAX));
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    out.extend_from_slice(&u16::try_from(end).unwrap_or(0).to_be_bytes());
    out.extend_from_slice(&text.as_bytes()[..end]);
}

/// An error; `more` is what its code brings behind the message.
pub fn error(stream: i16, code: u32, text: &str, more: &[u8]) -> Vec<u8> {
    let mut body = code.to_be_bytes().to_vec();
    put_string(&mut body, text);
    body.extend_from_slice(more);
    Frame::new(true, 0, stream, op::ERROR, &body).into_bytes()
}

/// A refusal: when to come back stands in the message and, for programs, in the custom payload.
pub fn overloaded(stream: i16, after_ms: i64, overloaded: bool) -> Vec<u8> {
    let mut body = 1_u16.to_be_bytes().to_vec();
    put_string(&mut body, "retry-after-ms");
    let value = after_ms.to_string();
    body.extend_from_slice(&u32::try_from(value.len()).unwrap_or(0).to_be_bytes());
    body.extend_from_slice(value.as_bytes());
    body.extend_from_slice(&code::OVERLOADED.to_be_bytes());
    let more = if overloaded {
        "; more wait than can be served by then"
    } else {
        ""
    };
    put_string(
        &mut body,
        &format!("refused, trying again is harmless: retry after {after_ms} ms{more}"),
    );
    Frame::new(true, flag::PAYLOAD, stream, op::ERROR, &body).into_bytes()
}
