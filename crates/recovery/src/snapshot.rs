//! The snapshot: the state stored for the next start, and its encoding.
//!
//! An encoded snapshot is a header of 14 bytes and a body in postcard. The header consists of
//! `VHSN`, the format version (two bytes), the length of the body (four bytes) and its CRC-32 (four
//! bytes), all big-endian. Any other bytes are rejected as a whole. A snapshot has at most
//! [`MAX_BYTES`] bytes. Times are Unix milliseconds. The order of fields is part of the encoding.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::endpoint_list::EndpointListCache;

const MAGIC: [u8; 4] = *b"VHSN";
/// Format version. A program reads only snapshots of its own version.
pub const VERSION: u16 = 1;
const HEADER_BYTES: usize = 14;
/// Maximum size of a snapshot in bytes; a larger one is neither written nor read.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Last known primary of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrimarySnapshot {
    /// Number of the replication group.
    pub group: u16,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Since when the endpoint was known as the primary, in Unix milliseconds.
    pub since_ms: u64,
    /// Whether the endpoint itself reported that it is the primary, in an answer or a load report;
    /// otherwise, the endpoint list did.
    pub proved: bool,
}

/// An endpoint in slow start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmingEndpoint {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Beginning of the slow start in Unix milliseconds: when the endpoint started or became
    /// reachable again.
    pub since_ms: u64,
}

/// Stored state of a front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FrontSnapshot {
    /// Name of the front in the settings.
    pub name: String,
    /// Cached endpoint list; empty if the settings list the endpoints.
    pub list: EndpointListCache,
    /// Last known primaries of the front's groups.
    pub primaries: Vec<PrimarySnapshot>,
    /// Endpoints in slow start.
    pub warming: Vec<WarmingEndpoint>,
}

/// Stored state of a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Name of the gateway; a snapshot of another gateway is rejected.
    pub gateway: String,
    /// When the snapshot was made, in Unix milliseconds.
    pub at_ms: u64,
    /// Fronts in the order of the settings.
    pub fronts: Vec<FrontSnapshot>,
    /// Addresses of the other gateways that were live.
    pub gateways: Vec<SocketAddr>,
}

/// Reason why a snapshot was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The snapshot is shorter or longer than its header says.
    Truncated,
    /// The bytes do not begin with the magic bytes of a snapshot.
    NotASnapshot,
    /// The snapshot has this format version instead of [`VERSION`].
    Version(u16),
    /// The checksum does not match, or the body cannot be decoded.
    Corrupt,
    /// The snapshot belongs to the gateway of this name.
    OtherGateway(String),
    /// The snapshot is dated this many milliseconds after the current wall clock time.
    Future(u64),
}

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Truncated => f.write_str("snapshot truncated or longer than its header says"),
            Self::NotASnapshot => f.write_str("not a snapshot: magic bytes missing"),
            Self::Version(v) => write!(f, "snapshot has format version {v}, expected {VERSION}"),
            Self::Corrupt => f.write_str("snapshot corrupt: wrong checksum or encoding"),
            Self::OtherGateway(name) => write!(f, "snapshot belongs to gateway {name:?}"),
            Self::Future(ms) => write!(f, "snapshot is dated {ms} ms ahead of the wall clock"),
        }
    }
}

impl std::error::Error for SnapshotError {}

/// The fields after the magic bytes of a header.
struct Header {
    version: u16,
    body_bytes: u32,
    checksum: u32,
}

impl Header {
    fn decode(header: &[u8]) -> Option<Self> {
        let fields = header.strip_prefix(&MAGIC)?;
        let [v, w, l0, l1, l2, l3, c0, c1, c2, c3] = *fields.first_chunk()?;
        Some(Self {
            version: u16::from_be_bytes([v, w]),
            body_bytes: u32::from_be_bytes([l0, l1, l2, l3]),
            checksum: u32::from_be_bytes([c0, c1, c2, c3]),
        })
    }
}

impl Snapshot {
    /// Encodes the snapshot; `None` if the result is longer than [`MAX_BYTES`].
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(self)
            .ok()
            .filter(|body| body.len() <= MAX_BYTES - HEADER_BYTES)?;
        let length = u32::try_from(body.len()).ok()?;
        let header = [
            &MAGIC[..],
            &VERSION.to_be_bytes(),
            &length.to_be_bytes(),
            &crc32fast::hash(&body).to_be_bytes(),
        ];
        Some([&header.concat()[..], &body].concat())
    }

    /// Decodes the snapshot of the gateway with the name `gateway`. `now_ms` is the wall clock in
    /// Unix milliseconds.
    ///
    /// # Errors
    /// Returns [`SnapshotError`] if the bytes are not a valid snapshot of this gateway and version,
    /// or if the snapshot is dated in the future.
    pub fn decode(bytes: &[u8], gateway: &str, now_ms: u64) -> Result<Self, SnapshotError> {
        let (header, body) = bytes
            .split_at_checked(HEADER_BYTES)
            .ok_or(SnapshotError::Truncated)?;
        let header = Header::decode(header).ok_or(SnapshotError::NotASnapshot)?;
        if header.version != VERSION {
            return Err(SnapshotError::Version(header.version));
        }
        if usize::try_from(header.body_bytes) != Ok(body.len()) {
            return Err(SnapshotError::Truncated);
        }
        if crc32fast::hash(body) != header.checksum {
            return Err(SnapshotError::Corrupt);
        }
        let (snapshot, rest) =
            postcard::take_from_bytes::<Self>(body).map_err(|_| SnapshotError::Corrupt)?;
        if !rest.is_empty() {
            return Err(SnapshotError::Corrupt);
        }
        if snapshot.gateway != gateway {
            return Err(SnapshotError::OtherGateway(snapshot.gateway));
        }
        match snapshot.at_ms.checked_sub(now_ms) {
            Some(ahead_ms @ 1..) => Err(SnapshotError::Future(ahead_ms)),
            _ => Ok(snapshot),
        }
    }
}
