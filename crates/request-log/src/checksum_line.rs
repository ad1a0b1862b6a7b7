//! JSON lines with a checksum as their last field: `{…,"crc":"89abcdef"}`, CRC-32 (ISO-HDLC) of all
//! bytes before `,"crc"`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a stored line cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CorruptRecord {
    /// The line feed at the end is missing: the write was interrupted.
    Torn,
    /// The line does not end in a checksum.
    MissingChecksum,
    /// The checksum does not match the content.
    Checksum,
    /// The checksum matches, but the content cannot be parsed: another version wrote it.
    UnknownFormat,
}

impl fmt::Display for CorruptRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Torn => "the line is truncated",
            Self::MissingChecksum => "the checksum is missing",
            Self::Checksum => "the checksum does not match",
            Self::UnknownFormat => "the content has the format of another version",
        })
    }
}

impl std::error::Error for CorruptRecord {}

/// The format of a line with a checksum.
pub struct ChecksumLine;

/// Length in bytes of `,"crc":"`, eight digits and `"}`.
const CHECKSUM_BYTES: usize = 18;

impl ChecksumLine {
    /// Appends a JSON object as a line. The object must have at least one field.
    pub fn append(out: &mut Vec<u8>, object: &impl Serialize) {
        let start = out.len();
        // The objects hold strings and numbers only: serializing them to memory cannot fail.
        if serde_json::to_writer(&mut *out, object).is_err() {
            out.truncate(start);
            return;
        }
        // Removes the closing brace, which is written again after the checksum.
        out.pop();
        let checksum = crc32fast::hash(&out[start..]);
        out.extend_from_slice(format!(",\"crc\":\"{checksum:08x}\"}}\n").as_bytes());
    }

    /// Parses a line, including its line feed.
    ///
    /// # Errors
    /// The line is torn, corrupt or of another version.
    pub fn parse<T: for<'a> Deserialize<'a>>(line: &[u8]) -> Result<T, CorruptRecord> {
        let object = line.strip_suffix(b"\n").ok_or(CorruptRecord::Torn)?;
        let (content, checksum) = object
            .split_at_checked(object.len().wrapping_sub(CHECKSUM_BYTES))
            .ok_or(CorruptRecord::MissingChecksum)?;
        let digits = checksum
            .strip_prefix(b",\"crc\":\"")
            .and_then(|rest| rest.strip_suffix(b"\"}"))
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .ok_or(CorruptRecord::MissingChecksum)?;
        let stored = u32::from_str_radix(digits, 16).map_err(|_| CorruptRecord::MissingChecksum)?;
        if crc32fast::hash(content) != stored {
            return Err(CorruptRecord::Checksum);
        }
        serde_json::from_slice(object).map_err(|_| CorruptRecord::UnknownFormat)
    }
}
