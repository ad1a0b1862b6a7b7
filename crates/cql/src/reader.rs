//! Reads protocol values from the body of a frame. Every length is checked against the remaining
//! bytes.

use std::fmt;

/// Maximum nesting of types; bounds the recursion that a body can cause.
const MAX_TYPE_DEPTH: u32 = 16;

/// Reasons why a value could not be read. The texts are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// A value is longer than the rest of the body.
    UnexpectedEnd,
    /// A string is not UTF-8.
    InvalidUtf8,
    /// A type is nested too deeply.
    TypeTooDeep,
    /// No type has this id.
    UnknownType(u16),
    /// A batch has a type other than logged, unlogged and counter.
    UnknownBatchType,
    /// A batch statement has this kind, which is neither text nor id.
    UnknownBatchStatement(u8),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnexpectedEnd => f.write_str("the body ends too early"),
            Self::InvalidUtf8 => f.write_str("a text is not UTF-8"),
            Self::TypeTooDeep => f.write_str("types within types, too deep"),
            Self::UnknownType(id) => write!(f, "a type {id:#06x} is not known"),
            Self::UnknownBatchType => f.write_str("the type of the batch is not known"),
            Self::UnknownBatchStatement(kind) => {
                write!(f, "a statement of kind {kind} in a batch")
            }
        }
    }
}

impl std::error::Error for ReadError {}

/// Kind of column metadata.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ColumnMetadata {
    /// The columns of rows.
    Result,
    /// The bind markers of a prepared statement, including the partition key columns.
    Prepared,
}

/// Flags of column metadata.
mod metadata_flag {
    pub(super) const GLOBAL_TABLE: u32 = 0x01;
    pub(super) const HAS_MORE_PAGES: u32 = 0x02;
    pub(super) const NO_METADATA: u32 = 0x04;
}

/// Reads values from the front of a byte slice. Each method fails if too few bytes remain.
pub struct Reader<'a> {
    remaining: &'a [u8],
}

impl<'a> Reader<'a> {
    /// Creates a reader at the start of `bytes`.
    pub const fn new(bytes: &'a [u8]) -> Self {
        Self { remaining: bytes }
    }

    /// Whether no bytes remain.
    pub const fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    /// Takes the next `length` bytes.
    pub fn take(&mut self, length: usize) -> Result<&'a [u8], ReadError> {
        let (head, tail) = self
            .remaining
            .split_at_checked(length)
            .ok_or(ReadError::UnexpectedEnd)?;
        self.remaining = tail;
        Ok(head)
    }

    /// Reads a `[byte]`.
    pub fn byte(&mut self) -> Result<u8, ReadError> {
        self.take(1).map(|b| b[0])
    }

    /// Reads a `[short]`.
    pub fn short(&mut self) -> Result<u16, ReadError> {
        self.take(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }

    /// Reads an `[int]`, as unsigned.
    pub fn int(&mut self) -> Result<u32, ReadError> {
        self.take(4)
            .map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }

    /// Reads a `[string]`, which must be UTF-8.
    pub fn string(&mut self) -> Result<&'a str, ReadError> {
        let length = self.short()?.into();
        utf8(self.take(length)?)
    }

    /// Reads a `[long string]`, which must be UTF-8.
    pub fn long_string(&mut self) -> Result<&'a str, ReadError> {
        let length = self.int()? as usize;
        utf8(self.take(length)?)
    }

    /// Reads `[bytes]` or a `[value]`. Null and unset, whose lengths are negative, are read as
    /// empty.
    pub fn bytes(&mut self) -> Result<&'a [u8], ReadError> {
        let length = self.int()?;
        if length > i32::MAX as u32 {
            return Ok(&[]);
        }
        self.take(length as usize)
    }

    /// Reads `[short bytes]`.
    pub fn short_bytes(&mut self) -> Result<&'a [u8], ReadError> {
        let length = self.short()?.into();
        self.take(length)
    }

    /// Skips column metadata and returns the number of columns.
    pub(crate) fn columns(&mut self, metadata: ColumnMetadata) -> Result<u32, ReadError> {
        let flags = self.int()?;
        let columns = self.int()?;
        if metadata == ColumnMetadata::Prepared {
            for _ in 0..self.int()? {
                self.short()?;
            }
        }
        if flags & metadata_flag::HAS_MORE_PAGES != 0 {
            self.bytes()?;
        }
        if flags & metadata_flag::NO_METADATA != 0 {
            return Ok(columns);
        }
        let is_global = flags & metadata_flag::GLOBAL_TABLE != 0;
        if is_global {
            self.table_name()?;
        }
        for _ in 0..columns {
            if !is_global {
                self.table_name()?;
            }
            self.string()?;
            self.value_type(MAX_TYPE_DEPTH)?;
        }
        Ok(columns)
    }

    /// Skips the names of a keyspace and a table.
    fn table_name(&mut self) -> Result<(), ReadError> {
        self.string()?;
        self.string()?;
        Ok(())
    }

    /// Skips the encoded type of a value.
    fn value_type(&mut self, depth: u32) -> Result<(), ReadError> {
        let depth = depth.checked_sub(1).ok_or(ReadError::TypeTooDeep)?;
        match self.short()? {
            // Custom type: class name.
            0x00 => drop(self.string()?),
            // Native types.
            0x01..=0x15 => {}
            // List and set.
            0x20 | 0x22 => self.value_type(depth)?,
            // Map.
            0x21 => {
                self.value_type(depth)?;
                self.value_type(depth)?;
            }
            // User-defined: keyspace, name, fields.
            0x30 => {
                self.string()?;
                self.string()?;
                for _ in 0..self.short()? {
                    self.string()?;
                    self.value_type(depth)?;
                }
            }
            // Tuple.
            0x31 => {
                for _ in 0..self.short()? {
                    self.value_type(depth)?;
                }
            }
            other => return Err(ReadError::UnknownType(other)),
        }
        Ok(())
    }
}

fn utf8(bytes: &[u8]) -> Result<&str, ReadError> {
    std::str::from_utf8(bytes).map_err(|_| ReadError::InvalidUtf8)
}
