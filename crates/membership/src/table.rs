//! Who is known, and what of each is believed.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;
use valehatch_policy::{Span, Time};

use crate::wire::{Incarnation, MemberMetadata, MemberState, MemberUpdate};

/// What is believed of a gateway.
#[derive(Clone, Debug)]
pub struct Member {
    /// Which life of it.
    pub incarnation: Incarnation,
    /// How it is.
    pub state: MemberState,
    /// What it says of itself.
    pub card: MemberMetadata,
    /// Since when that is believed here.
    pub since: Time,
    /// When it last spoke itself; all else is hearsay.
    pub heard: Option<Time>,
    /// It was never known here while it lived. That it is gone is kept against late words, and passed on to nobody: else
    /// those that forget it and those that do not would tell each other of it for ever.
    pub(crate) hearsay: bool,
    /// It last spoke as an earlier self than is known: it has been started anew and must hear what to outbid.
    pub(crate) behind: bool,
    /// In which of [`PARTS`] it falls, by its address.
    part: u8,
}

/// Parts into which all that are known fall, so that two tables are compared by little.
pub const PARTS: usize = 32;

/// How a word changed what is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing was known of it.
    Joined,
    /// Another start than the one that was known.
    Restarted,
    /// The same start, another state than before.
    StateChanged(MemberState),
    /// The same state in a later incarnation.
    Refreshed,
    /// What was known holds.
    Unchanged,
    /// There is no room for one more.
    TableFull,
}

/// All that are known beside oneself.
#[derive(Debug)]
pub struct MemberTable {
    peers: BTreeMap<SocketAddr, Member>,
    most: usize,
    /// How long one that is gone is remembered, so that late words cannot bring it back.
    remember: Span,
    /// Those that are taken to live, by address.
    living: Vec<SocketAddr>,
    /// What is believed of those in each part.
    parts: [u64; PARTS],
    view: u64,
    #[cfg(feature = "mutants")]
    pub(crate) last_holds: bool,
}

impl MemberTable {
    /// Full, it takes in nobody new until one that is gone can be let go of: the one gone for the longest.
    #[must_use]
    pub const fn new(most: usize, remember: Span) -> Self {
        Self {
            peers: BTreeMap::new(),
            most,
            remember,
            living: vec![],
            parts: [0; PARTS],
            view: 0,
            #[cfg(feature = "mutants")]
            last_holds: false,
        }
    }

    /// What is believed of one.
    #[must_use]
    pub fn get(&self, about: &SocketAddr) -> Option<&Member> {
        self.peers.get(about)
    }

    pub(crate) fn get_mut(&mut self, about: &SocketAddr) -> Option<&mut Member> {
        self.peers.get_mut(about)
    }

    /// All, by address.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.peers.iter()
    }

    /// Those of one part of so many, a power of two, beyond an address.
    pub(crate) fn beyond(
        &self,
        part: u8,
        of: u8,
        after: Option<SocketAddr>,
    ) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let beyond = self
            .peers
            .range((after.map_or(Unbounded, Excluded), Unbounded));
        beyond.filter(move |(_, p)| p.part % of.max(1) == part)
    }

    /// How many are taken to live: suspects may yet say so.
    #[must_use]
    pub fn alive(&self) -> usize {
        self.living.len()
    }

    /// Those that are taken to live, by address.
    #[must_use]
    pub fn living(&self) -> &[SocketAddr] {
        &self.living
    }

    /// Differs, but for one chance in 2^64, wherever others are taken to live, or in another incarnation. Suspicions pass
    /// and do not count.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.parts.iter().fold(0, |all, part| all ^ part)
    }

    /// The digests of all parts.
    pub(crate) const fn parts(&self) -> &[u64; PARTS] {
        &self.parts
    }

    /// The digest of the view: of lives and what they say of themselves, without how often each had to contradict what was
    /// said of it. Nothing else than a change of these moves it.
    #[must_use]
    pub const fn view(&self) -> u64 {
        self.view
    }

    /// Takes a word in if it outweighs what is believed.
    pub fn merge(&mut self, rumor: &MemberUpdate, now: Time) -> MergeOutcome {
        self.take(rumor, now).0
    }

    /// The same, with what was believed before.
    pub(crate) fn take(
        &mut self,
        rumor: &MemberUpdate,
        now: Time,
    ) -> (MergeOutcome, Option<(MemberState, MemberMetadata)>) {
        let Some(peer) = self.peers.get_mut(&rumor.about) else {
            if self.peers.len() >= self.most && !self.make_room(now) {
                return (MergeOutcome::TableFull, None);
            }
            let MemberUpdate {
                about,
                incarnation,
                state,
                card,
                ..
            } = *rumor;
            let (hearsay, part) = (!lives(state), part_of(&about));
            let peer = Member {
                incarnation,
                state,
                card,
                since: now,
                heard: None,
                hearsay,
                behind: false,
                part,
            };
            self.weigh(&about, &peer);
            if lives(state) {
                self.live(&about);
            }
            self.peers.insert(about, peer);
            return (MergeOutcome::Joined, None);
        };
        let holds = rumor.weight() <= (peer.incarnation, peer.state, peer.card);
        #[cfg(feature = "mutants")]
        let holds = if self.last_holds {
            rumor.weight() == (peer.incarnation, peer.state, peer.card)
        } else {
            holds
        };
        if holds {
            return (MergeOutcome::Unchanged, None);
        }
        let before = peer.clone();
        (peer.incarnation, peer.state, peer.card) = rumor.weight();
        peer.hearsay &= !lives(rumor.state);
        if before.state != rumor.state {
            peer.since = now;
        }
        let after = peer.clone();
        self.weigh(&rumor.about, &before);
        self.weigh(&rumor.about, &after);
        match (lives(before.state), lives(after.state)) {
            (false, true) => self.live(&rumor.about),
            (true, false) => self.die(&rumor.about),
            _ => {}
        }
        let taken = match () {
            () if before.incarnation.nonce != rumor.incarnation.nonce => MergeOutcome::Restarted,
            () if before.state != rumor.state => MergeOutcome::StateChanged(before.state),
            () => MergeOutcome::Refreshed,
        };
        (taken, Some((before.state, before.card)))
    }

    /// Lets go of those that have been gone for long enough; who that was.
    pub fn expire(&mut self, now: Time) -> Vec<SocketAddr> {
        let over =
            |(_, p): &(&SocketAddr, &Member)| !lives(p.state) && now - p.since >= self.remember;
        let gone: Vec<SocketAddr> = self.peers.iter().filter(over).map(|(a, _)| *a).collect();
        gone.iter().for_each(|a| self.drop_one(a));
        gone
    }

    fn make_room(&mut self, now: Time) -> bool {
        let gone = self.peers.iter().filter(|(_, p)| !lives(p.state));
        let oldest = gone
            .min_by_key(|(_, p)| (now - p.since).0.saturating_neg())
            .map(|(a, _)| *a);
        oldest.iter().for_each(|a| self.drop_one(a));
        oldest.is_some()
    }

    fn drop_one(&mut self, about: &SocketAddr) {
        if let Some(peer) = self.peers.remove(about) {
            self.weigh(about, &peer);
            self.die(about);
        }
    }

    /// Puts a belief into the digests, or takes it out of them.
    fn weigh(&mut self, about: &SocketAddr, peer: &Member) {
        if lives(peer.state) {
            self.parts[usize::from(peer.part)] ^= mark(about, peer.incarnation, peer.card);
            self.view ^= view_mark(about, peer.incarnation, peer.card);
        }
    }

    fn live(&mut self, about: &SocketAddr) {
        if let Err(at) = self.living.binary_search(about) {
            self.living.insert(at, *about);
        }
    }

    fn die(&mut self, about: &SocketAddr) {
        if let Ok(at) = self.living.binary_search(about) {
            self.living.remove(at);
        }
    }
}

/// Whether one in this state is taken to live.
#[must_use]
pub const fn lives(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

pub(crate) fn hashed(about: &SocketAddr, write: impl FnOnce(&mut SipHasher13)) -> u64 {
    let mut hasher = SipHasher13::new();
    match about.ip() {
        std::net::IpAddr::V4(ip) => hasher.write(&ip.octets()),
        std::net::IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write_u16(about.port().to_be());
    write(&mut hasher);
    hasher.finish()
}

/// In which part of [`PARTS`] an address falls.
#[allow(clippy::cast_possible_truncation)]
pub(crate) fn part_of(about: &SocketAddr) -> u8 {
    (hashed(about, |_| {}) % PARTS as u64) as u8
}

/// What one that lives adds to a table's digest. A suspicion counts as life: it is over in a moment, one way or the other.
pub(crate) fn mark(about: &SocketAddr, incarnation: Incarnation, card: MemberMetadata) -> u64 {
    hashed(about, |h| {
        h.write_u64(incarnation.number.to_be());
        write(h, incarnation.nonce, card);
    })
}

/// What one that lives adds to the view's digest.
pub(crate) fn view_mark(about: &SocketAddr, incarnation: Incarnation, card: MemberMetadata) -> u64 {
    hashed(about, |h| write(h, incarnation.nonce, card))
}

/// The canonical form: fixed widths, big-endian, in this order, after the address's octets and its port.
fn write(hasher: &mut SipHasher13, nonce: u32, card: MemberMetadata) {
    hasher.write_u32(nonce.to_be());
    hasher.write_u32(card.epoch.to_be());
    hasher.write_u16(card.zone.to_be());
    hasher.write_u16(card.version.to_be());
    hasher.write_u8(card.phase as u8);
}
