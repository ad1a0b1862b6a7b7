//! Messages between gateways, and their form in a datagram.
//!
//! A datagram is one [`Datagram`] in postcard, at most [`MAX_DATAGRAM_BYTES`] bytes. The order of
//! fields and variants is the byte form; their names are free. Pure functions, no state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Longest datagram in bytes: the transport's 256 less its own header.
pub const MAX_DATAGRAM_BYTES: usize = 248;
/// Members per block of [`AgreeingMembers::Some`].
pub const MEMBERS_PER_BLOCK: usize = 64;

/// Which process of a gateway a statement is about, and how often that process has refuted
/// statements about itself.
///
/// A greater incarnation is a later one. The number begins with the wall clock in milliseconds, so
/// that a restarted gateway supersedes its earlier process. If the clock was set back, others tell
/// it the earlier number and it takes the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Grows with each start and each refutation.
    pub number: u64,
    /// Drawn at each start: distinguishes two processes whatever their numbers are.
    pub nonce: u32,
}

impl Incarnation {
    /// Numbers from here on are rejected: nobody could refute the last one.
    pub const MAX_NUMBER: u64 = 1 << 62;
}

/// State of a member. For one incarnation, a greater state overrides a lesser one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer some gateway, and may still refute.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It has announced its graceful shutdown.
    Left,
}

impl MemberState {
    /// Whether a member in this state counts as live; suspects do.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Lifecycle phase that a gateway announces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// It has started and still recovers.
    #[default]
    Starting,
    /// It serves completely.
    Full,
    /// It takes no new work and is about to leave.
    Draining,
}

/// What a gateway announces about itself. Each change takes the next incarnation, so that the later
/// one wins everywhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Grows within one process each time that others had declared it gone, and with each change of
    /// the fields below, so that the digest of an earlier view never comes back.
    pub epoch: u32,
    /// Number of its zone; 0 if there are none.
    pub zone: u16,
    /// Number of its program version.
    pub version: u16,
    /// Its lifecycle phase.
    pub phase: Phase,
}

/// What is claimed about a member. Of two claims the greater holds, by incarnation, then state,
/// then metadata: gateways that got the same claims end with the same result, whatever their order
/// and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Claim {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The state in that incarnation.
    pub state: MemberState,
    /// The metadata in that incarnation.
    pub metadata: MemberMetadata,
}

/// A statement about one member, as gossip carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's address.
    pub address: SocketAddr,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// For a suspicion, a hash of the suspecting gateway: independent suspicions shorten the
    /// timeout. Otherwise 0.
    pub reporter: u16,
    /// Its metadata in that incarnation.
    pub metadata: MemberMetadata,
}

impl MemberUpdate {
    /// The claim that this update makes.
    #[must_use]
    pub const fn claim(&self) -> Claim {
        Claim {
            incarnation: self.incarnation,
            state: self.state,
            metadata: self.metadata,
        }
    }
}

/// A position in another gateway's member table, for anti-entropy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncCursor {
    /// The bucket of members.
    pub bucket: u8,
    /// Number of buckets into which the table is divided, a power of two.
    pub bucket_count: u8,
    /// The last address that was already received of this bucket.
    pub after: Option<SocketAddr>,
}

/// Purpose of a datagram. Numbers of pings are chosen by the sender of the ping.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an ack with the same number.
    Ping(u32),
    /// Answers a ping; from a helper, that the target of the indirect ping answered.
    Ack(u32),
    /// Asks the receiver to ping the target.
    IndirectPing(u32, SocketAddr),
    /// From a helper: the target has not answered, but the helper itself is alive.
    Nack(u32),
    /// Starts anti-entropy with the digest of the sender's member table (big-endian).
    SyncDigest([u8; 8]),
    /// The tables differ: digests of the sender's buckets, a power of two of them.
    BucketDigests(Vec<u32>),
    /// Asks for the members after a cursor.
    Pull {
        /// Where to go on.
        cursor: SyncCursor,
        /// Salt of the hashes.
        salt: u16,
        /// Salted hashes of updates that the sender has already.
        known: Vec<u16>,
    },
    /// Members after a cursor, in the datagram's updates.
    PullPage {
        /// The cursor of the request.
        cursor: SyncCursor,
        /// Whether the bucket ends with this page.
        last: bool,
    },
    /// Answers a digest: the tables are the same.
    InSync,
    /// Carries only updates.
    Gossip,
}

/// Members known to agree with the sender's view, by rank of their addresses in it, in blocks of
/// [`MEMBERS_PER_BLOCK`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreeingMembers {
    /// Nothing is said about others.
    #[default]
    Unknown,
    /// All members of some blocks, and some members of one more block.
    Some {
        /// Bit set of the blocks of which all members agree; empty if there are none.
        complete_blocks: Vec<u8>,
        /// Index of one more block.
        block: u8,
        /// Bit set of the agreeing members of that block.
        bits: u64,
    },
    /// All members.
    All,
}

/// The sender's view, and which members agree with it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewAgreement {
    /// Digest of the view (big-endian).
    pub digest: [u8; 8],
    /// Members known to have the same view.
    pub members: AgreeingMembers,
}

/// A datagram of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's metadata.
    pub metadata: MemberMetadata,
    /// The sender's view.
    pub agreement: ViewAgreement,
    /// The purpose.
    pub message: Message,
    /// Updates that come along.
    pub updates: Vec<MemberUpdate>,
}

/// A datagram in its byte form.
pub(crate) struct EncodedDatagram {
    pub(crate) bytes: Vec<u8>,
    /// How many of the offered updates fit.
    pub(crate) updates: usize,
}

impl Datagram {
    /// Decodes bytes from the network; `None` for anything that is not exactly one datagram.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        let (datagram, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        let is_valid = |incarnation: &Incarnation| incarnation.number < Incarnation::MAX_NUMBER;
        let all_valid = is_valid(&datagram.incarnation)
            && datagram.updates.iter().all(|u| is_valid(&u.incarnation));
        (rest.is_empty() && all_valid).then_some(datagram)
    }

    /// The byte form of a datagram without updates, plus as many of `updates` as fit.
    pub(crate) fn encode_with(self, updates: &[MemberUpdate]) -> EncodedDatagram {
        let mut free = MAX_DATAGRAM_BYTES.saturating_sub(encoded_bytes(&self));
        let mut fitting = vec![];
        for update in updates {
            let bytes = encoded_bytes(update);
            if bytes > free {
                break;
            }
            free -= bytes;
            fitting.push(*update);
        }
        let count = fitting.len();
        let datagram = Self {
            updates: fitting,
            ..self
        };
        // Encoding fails only without memory; an empty datagram is dropped by the receiver like a
        // lost one.
        let bytes = postcard::to_extend(&datagram, Vec::with_capacity(MAX_DATAGRAM_BYTES));
        EncodedDatagram {
            bytes: bytes.unwrap_or_default(),
            updates: count,
        }
    }
}

fn encoded_bytes(value: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(MAX_DATAGRAM_BYTES)
}
