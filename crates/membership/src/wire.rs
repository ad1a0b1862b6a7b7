//! Messages between gateways, and their encoding in a datagram.
//!
//! A datagram is one [`Datagram`] encoded with postcard, at most [`MAX_DATAGRAM_BYTES`] bytes long.
//! The order of fields and variants is part of the wire format; their names are not. Pure
//! functions, no state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Maximum datagram size in bytes: the transport's 256 bytes less its own header.
pub const MAX_DATAGRAM_BYTES: usize = 248;
/// Number of members per block of [`AgreeingMembers::Some`].
pub const MEMBERS_PER_BLOCK: usize = 64;

/// Identifies a process of a gateway, and versions the claims about it.
///
/// A greater incarnation is a later one. The number starts at the wall clock in milliseconds, so
/// that a restarted gateway supersedes its earlier process. If the clock was set back, other
/// gateways report the earlier number, and the restarted gateway takes the one after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Increases with each start, each refutation, each detected pause and each change of phase.
    pub number: u64,
    /// Random value chosen at each start; distinguishes two processes whatever their numbers are.
    pub nonce: u32,
}

impl Incarnation {
    /// Numbers from this one on are rejected, since the highest number could not be refuted.
    pub const MAX_NUMBER: u64 = 1 << 62;
}

/// State of a member. Within one incarnation, a greater state overrides a lesser one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a gateway's probe, but may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member has announced its graceful shutdown.
    Left,
}

impl MemberState {
    /// Whether a member in this state counts as live, which includes suspects.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Lifecycle phase that a gateway announces to the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The gateway has started and is still recovering.
    #[default]
    Starting,
    /// The gateway has recovered and provides full service.
    Full,
    /// The gateway accepts no new work and is about to leave.
    Draining,
}

/// Metadata that a gateway announces about itself. Each change takes the next incarnation number,
/// so that the latest metadata wins everywhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Increases within one process each time that the gateway refutes having been declared dead or
    /// departed, and with each change of the fields below, so that the digest of an earlier view
    /// never recurs.
    pub epoch: u32,
    /// Zone number; 0 if the fleet has no zones.
    pub zone: u16,
    /// Program version number.
    pub version: u16,
    /// Current lifecycle phase.
    pub phase: Phase,
}

/// A claim about a member. Of two claims, the greater one wins, compared by incarnation, then
/// state, then metadata. Gateways that receive the same claims therefore reach the same result, in
/// whatever order and however often they receive them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Claim {
    /// Incarnation that the claim is about.
    pub incarnation: Incarnation,
    /// State of the member in that incarnation.
    pub state: MemberState,
    /// Metadata of the member in that incarnation.
    pub metadata: MemberMetadata,
}

/// An update about one member, as carried by gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Address of the member.
    pub address: SocketAddr,
    /// Incarnation that the update is about.
    pub incarnation: Incarnation,
    /// State of the member in that incarnation.
    pub state: MemberState,
    /// For a suspicion, a hash of the suspecting gateway, since independent suspicions shorten the
    /// timeout; otherwise 0.
    pub reporter: u16,
    /// Metadata of the member in that incarnation.
    pub metadata: MemberMetadata,
}

impl MemberUpdate {
    /// The claim that this update makes, without address and reporter.
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
    /// Index of the bucket, less than `bucket_count`.
    pub bucket: u8,
    /// Number of buckets into which the table is divided, a power of two.
    pub bucket_count: u8,
    /// Last address already received from this bucket; `None` at its start.
    pub after: Option<SocketAddr>,
}

/// Message of a datagram. Sequence numbers of pings are chosen by the sender of the ping.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an ack with the same sequence number.
    Ping(u32),
    /// Answers a ping. From a helper, it means that the target of the indirect ping has answered.
    Ack(u32),
    /// Requests that the receiver ping the target.
    IndirectPing(u32, SocketAddr),
    /// Sent by a helper that is alive itself when the target has not answered.
    Nack(u32),
    /// Starts anti-entropy with the digest of the sender's member table (big-endian).
    SyncDigest([u8; 8]),
    /// Answers a digest of another table: the digests of the sender's buckets, whose number is a
    /// power of two.
    BucketDigests(Vec<u32>),
    /// Requests the members after a cursor.
    Pull {
        /// Position after which the page starts.
        cursor: SyncCursor,
        /// Salt of the hashes in `known`.
        salt: u16,
        /// Salted hashes of the updates that the sender has already; empty if there are too many.
        known: Vec<u16>,
    },
    /// Answers a pull: the members after the cursor are the updates of the datagram.
    PullPage {
        /// Cursor of the request.
        cursor: SyncCursor,
        /// Whether this is the last page of the bucket.
        last: bool,
    },
    /// Answers a digest of an equal table.
    InSync,
    /// Carries only piggybacked updates.
    Gossip,
}

/// Members known to agree with the sender's view, by rank of their addresses in it, in blocks of
/// [`MEMBERS_PER_BLOCK`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreeingMembers {
    /// Agreement of members other than the sender is not reported.
    #[default]
    Unknown,
    /// All members of some blocks, and some members of one more block.
    Some {
        /// Bit set of the blocks in which all members agree; empty if there are none.
        complete_blocks: Vec<u8>,
        /// Index of one further block.
        block: u8,
        /// Bit set of the agreeing members in that block.
        bits: u64,
    },
    /// All members of the view agree.
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
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Metadata of the sender.
    pub metadata: MemberMetadata,
    /// Digest of the sender's view, and the members known to agree with it.
    pub agreement: ViewAgreement,
    /// Protocol message.
    pub message: Message,
    /// Piggybacked updates, or the members of a [`Message::PullPage`].
    pub updates: Vec<MemberUpdate>,
}

/// An encoded datagram.
pub(crate) struct EncodedDatagram {
    pub(crate) bytes: Vec<u8>,
    /// Number of the offered updates that fit.
    pub(crate) updates: usize,
}

impl Datagram {
    /// Decodes bytes from the network. Returns `None` unless they are exactly one valid datagram.
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

    /// Encodes a datagram that has no updates yet, with as many of `updates` as fit.
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
        // Encoding fails only if memory is exhausted. The receiver rejects an empty datagram, which
        // has the same effect as a lost one.
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
