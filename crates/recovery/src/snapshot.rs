//! What is kept for the next start, and its form on a disk.
//!
//! `VHSN`, the version (two bytes), the length of what follows the head (four), its CRC-32 (four), then postcard. Anything
//! that is not exactly that is unusable, and says why; nothing of it is taken.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::book::EndpointListCache;

const MAGIC: [u8; 4] = *b"VHSN";
/// Another form takes another number: no version reads another's.
pub const VERSION: u16 = 1;
const HEAD: usize = 14;
/// Bytes that a snapshot may have; a longer one is neither written nor read.
pub const MOST: usize = 16 * 1024 * 1024;

/// A group's primary, as it was believed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Primary {
    /// The group.
    pub group: u16,
    /// The member's name.
    pub member: String,
    /// Since when it was believed, in Unix milliseconds.
    pub since_ms: u64,
    /// The member said so itself, in an answer or a report; else the list did.
    pub proved: bool,
}

/// A member that was not warm yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    /// Its name.
    pub member: String,
    /// From when on its warming counts, in Unix milliseconds: its start, or when it came back into reach.
    pub since_ms: u64,
}

/// A front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Front {
    /// Its name in the file.
    pub name: String,
    /// The list; empty where the file names the members.
    pub book: EndpointListCache,
    /// Believed primaries.
    pub primaries: Vec<Primary>,
    /// Members that were warming.
    pub cold: Vec<Cold>,
}

/// What a gateway keeps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Whose it is.
    pub gateway: String,
    /// When it was made, in Unix milliseconds.
    pub at_ms: u64,
    /// The fronts.
    pub fronts: Vec<Front>,
    /// Other gateways that lived.
    pub fleet: Vec<SocketAddr>,
}

/// Why nothing was taken from a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// It ends before its time, or goes on after it.
    Torn,
    /// It does not begin as one.
    Foreign,
    /// It is of another version.
    Version(u16),
    /// Its bytes are not those that were written.
    Spoilt,
    /// It is of a gateway of this name.
    OtherGateway(String),
    /// It was made so many milliseconds from now: the clock stands before it.
    Future(u64),
}

impl std::fmt::Display for Unusable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Torn => f.write_str("it is not whole"),
            Self::Foreign => f.write_str("it is no snapshot"),
            Self::Version(v) => write!(f, "it is of version {v}, not {VERSION}"),
            Self::Spoilt => f.write_str("its checksum is wrong"),
            Self::OtherGateway(name) => write!(f, "it is of the gateway {name:?}"),
            Self::Future(ms) => write!(
                f,
                "it was made {ms} ms from now: the clock stands before it"
            ),
        }
    }
}

impl std::error::Error for Unusable {}

impl Snapshot {
    /// The bytes, or nothing if that is more than may be written.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(self)
            .ok()
            .filter(|b| b.len() <= MOST - HEAD)?;
        let length = u32::try_from(body.len()).ok()?;
        let head = [
            &MAGIC[..],
            &VERSION.to_be_bytes(),
            &length.to_be_bytes(),
            &crc32fast::hash(&body).to_be_bytes(),
        ];
        Some([&head.concat()[..], &body].concat())
    }

    /// Reads the bytes of this gateway's snapshot, at this time by the wall clock.
    ///
    /// # Errors
    /// Why nothing is taken from it.
    pub fn decode(bytes: &[u8], gateway: &str, now_ms: u64) -> Result<Self, Unusable> {
        let (head, body) = bytes.split_at_checked(HEAD).ok_or(Unusable::Torn)?;
        let rest = head.strip_prefix(&MAGIC).ok_or(Unusable::Foreign)?;
        let version = u16::from_be_bytes([rest[0], rest[1]]);
        if version != VERSION {
            return Err(Unusable::Version(version));
        }
        let number =
            |at: usize| u32::from_be_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
        if usize::try_from(number(2)) != Ok(body.len()) {
            return Err(Unusable::Torn);
        }
        if crc32fast::hash(body) != number(6) {
            return Err(Unusable::Spoilt);
        }
        let (read, rest) = postcard::take_from_bytes::<Self>(body).map_err(|_| Unusable::Spoilt)?;
        if !rest.is_empty() {
            return Err(Unusable::Spoilt);
        }
        if read.gateway != gateway {
            return Err(Unusable::OtherGateway(read.gateway));
        }
        match read.at_ms.checked_sub(now_ms) {
            Some(ahead @ 1..) => Err(Unusable::Future(ahead)),
            _ => Ok(read),
        }
    }
}
