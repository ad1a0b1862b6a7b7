//! What gateways say to each other about who there is, and its form in a datagram.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One life of one gateway: which start, and how often it has contradicted what was said of it since.
///
/// The higher one is the later one. The number begins with the wall clock in milliseconds, so that a restarted gateway
/// outbids its former self; where that clock was set back, it is told of its former self's number and takes the next.
/// The nonce is drawn at each start: two starts are told apart by it whatever their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Grows with each start and each refutation.
    pub number: u64,
    /// Drawn at the start.
    pub nonce: u32,
}

impl Incarnation {
    /// Numbers above are no incarnation: nobody could ever outbid the last one.
    pub const MOST: u64 = 1 << 62;
}

/// How a gateway is, in the order in which one word about the same life outweighs another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer somebody, and may still say that it lives.
    Suspect,
    /// It did not say so in time.
    Dead,
    /// It has said that it ends.
    Left,
}

/// How far a gateway is, by its own word.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Phase {
    /// It has started and is not yet as good as before.
    #[default]
    Starting,
    /// Nothing is wanting.
    Full,
    /// It takes nothing new and is about to end.
    Draining,
}

/// What a gateway says of itself. A change takes the next incarnation, so that the later word holds everywhere.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberMetadata {
    /// Grows whenever the fleet's view has to tell before from after within one life: each time that others had given it
    /// up, and with each change of what is below. A view that once held is thus never held again.
    pub epoch: u32,
    /// Its zone, by number; 0 where there are none.
    pub zone: u16,
    /// The version of its program, by number.
    pub version: u16,
    /// How far it is.
    pub phase: Phase,
}

/// A word about a gateway. The greater of two, by incarnation, then state, then card, holds: so all who have heard the same
/// words believe the same, in whatever order and however often these came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Whom it is about.
    pub about: SocketAddr,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// How it is.
    pub state: MemberState,
    /// Of a suspicion: a mark of who suspects. Those of several count for more.
    pub accuser: u16,
    /// What it says of itself in that life.
    pub card: MemberMetadata,
}

impl MemberUpdate {
    /// What of two words about the same gateway holds.
    #[must_use]
    pub const fn weight(&self) -> (Incarnation, MemberState, MemberMetadata) {
        (self.incarnation, self.state, self.card)
    }
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Are you there?
    Ping(u32),
    /// Yes; or, from one that was asked to look: yes, it is.
    Ack(u32),
    /// Ask that one whether it is there.
    IndirectPing(u32, SocketAddr),
    /// From one that was asked to look: it has not answered me yet, but I am there.
    Nack(u32),
    /// Do we know the same, by this digest?
    SyncDigest([u8; 8]),
    /// No: these are the digests of the parts into which what I know falls, a power of two of them.
    BucketDigests(Vec<u32>),
    /// Whom do you know of that part of so many, beyond this address, but for those whose words have one of these hashes
    /// with this salt?
    Pull {
        part: u8,
        of: u8,
        after: Option<SocketAddr>,
        salt: u16,
        known: Vec<u16>,
    },
    /// Those of that part beyond this address; behind the last of them there are more unless it is the end.
    PullPage {
        part: u8,
        of: u8,
        after: Option<SocketAddr>,
        end: bool,
    },
    /// We know the same.
    InSync,
    /// Nothing: only what comes along.
    Gossip,
}

/// Members of a block, of which a view's holders are told together.
pub const BLOCK: usize = 64;

/// Who has said that they hold the same view, of those that are in it: blocks of [`BLOCK`] by rank of address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreeingMembers {
    /// Nothing is said of others.
    #[default]
    Unknown,
    /// Of these blocks all, a bit each; of one more block those whose bits are set.
    Some {
        blocks: Vec<u8>,
        block: u8,
        bits: u64,
    },
    /// All.
    All,
}

/// Which view the sender holds, and who else has said so.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewAgreement {
    /// The view's digest.
    pub digest: [u8; 8],
    /// Who has said that they hold it.
    pub holders: AgreeingMembers,
}

/// A datagram: which life of its sender speaks, what for, and what it passes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Which life of its sender speaks.
    pub from: Incarnation,
    /// What it says of itself.
    pub card: MemberMetadata,
    /// The view that it holds.
    pub held: ViewAgreement,
    /// What for.
    pub message: Message,
    /// What it passes on.
    pub rumors: Vec<MemberUpdate>,
}

/// Bytes that a datagram may have: the link's 256 less what the link puts in front.
pub const MOST: usize = 248;

impl Datagram {
    /// Reads bytes from the network; `None` for anything that is not exactly one datagram.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MOST {
            return None;
        }
        let (read, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        let sane = |i: &Incarnation| i.number < Incarnation::MOST;
        let fits =
            rest.is_empty() && sane(&read.from) && read.rumors.iter().all(|r| sane(&r.incarnation));
        fits.then_some(read)
    }

    /// The bytes, with as many of `rumors` as fit; how many that were.
    pub(crate) fn encode(bare: Self, rumors: &[MemberUpdate]) -> (Vec<u8>, usize) {
        let mut room = MOST.saturating_sub(size(&bare));
        let fits = |r: &&MemberUpdate| {
            let wanted = size(*r);
            let fits = wanted <= room;
            room = room.saturating_sub(wanted);
            fits
        };
        let rumors: Vec<MemberUpdate> = rumors.iter().take_while(fits).copied().collect();
        let count = rumors.len();
        // Only memory could fail it, and a datagram that is not sent is one that was lost.
        let bytes = postcard::to_extend(&Self { rumors, ..bare }, Vec::with_capacity(MOST));
        (bytes.unwrap_or_default(), count)
    }
}

fn size(what: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(what).unwrap_or(MOST)
}
