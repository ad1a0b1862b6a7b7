//! The member table: every other gateway that is known, and what is claimed about it.
//!
//! Inputs are updates; times are whole microseconds. The table has a maximum size. When it is full,
//! a new gateway replaces the one that has been gone for the longest, or is rejected if there is
//! none. Digests of the table are kept up to date with each change.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;
use valehatch_policy::{Span, Time};

use crate::wire::{Claim, Incarnation, MemberMetadata, MemberState, MemberUpdate, SyncCursor};

/// Buckets into which the table is divided by a hash of the address, for anti-entropy.
pub const BUCKETS: usize = 32;

/// What is known about a gateway.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state in that incarnation.
    pub state: MemberState,
    /// Its metadata in that incarnation.
    pub metadata: MemberMetadata,
    /// Since when this gateway knows that state.
    pub since: Time,
    /// When it last sent a datagram in that incarnation; `None` if it is known only from others.
    pub last_message_at: Option<Time>,
    /// It was never known here while it was live.
    ///
    /// That it is gone overrides late updates, but is passed on to nobody. Otherwise gateways that
    /// have forgotten it and gateways that have not would pass it to each other for ever.
    pub(crate) only_known_gone: bool,
    /// It last used an earlier incarnation than is known: it has restarted and must learn which
    /// incarnation to supersede.
    pub(crate) uses_old_incarnation: bool,
    bucket: u8,
}

impl Member {
    /// What is claimed about it.
    #[must_use]
    pub const fn claim(&self) -> Claim {
        Claim {
            incarnation: self.incarnation,
            state: self.state,
            metadata: self.metadata,
        }
    }
}

/// How an update changed what is known about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The member was unknown.
    Joined,
    /// It is another process than the one that was known.
    Restarted,
    /// The same process, in another state than this one before.
    StateChanged(MemberState),
    /// The same process and state, in a later incarnation or with other metadata.
    Refreshed,
    /// Nothing changed: the known claim is at least as great.
    Unchanged,
    /// There is no room for another member.
    TableFull,
}

/// What was known about a member before an update.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PriorState {
    pub(crate) state: MemberState,
    pub(crate) metadata: MemberMetadata,
}

/// An update as it was merged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Merge {
    pub(crate) outcome: MergeOutcome,
    /// `None` if the member was unknown or did not change.
    pub(crate) before: Option<PriorState>,
}

impl Merge {
    const fn without_prior_state(outcome: MergeOutcome) -> Self {
        Self {
            outcome,
            before: None,
        }
    }
}

/// All gateways known beside this one.
#[derive(Debug)]
pub struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
    max_members: usize,
    /// How long a gone member is remembered, so that late updates cannot bring it back.
    retention: Span,
    /// Live members, in order of their addresses.
    live: Vec<SocketAddr>,
    bucket_digests: [u64; BUCKETS],
    view_digest: u64,
    /// Injected fault: the last update wins, whatever its incarnation.
    #[cfg(feature = "mutants")]
    pub(crate) accepts_stale_updates: bool,
}

impl MemberTable {
    /// An empty table. Gone members are forgotten after `retention`.
    #[must_use]
    pub const fn new(max_members: usize, retention: Span) -> Self {
        Self {
            members: BTreeMap::new(),
            max_members,
            retention,
            live: vec![],
            bucket_digests: [0; BUCKETS],
            view_digest: 0,
            #[cfg(feature = "mutants")]
            accepts_stale_updates: false,
        }
    }

    /// What is known about one gateway.
    #[must_use]
    pub fn get(&self, address: &SocketAddr) -> Option<&Member> {
        self.members.get(address)
    }

    pub(crate) fn get_mut(&mut self, address: &SocketAddr) -> Option<&mut Member> {
        self.members.get_mut(address)
    }

    /// Whether a gateway is known and live.
    pub(crate) fn is_live(&self, address: &SocketAddr) -> bool {
        self.get(address).is_some_and(|m| m.state.is_live())
    }

    /// All members, in order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.members.iter()
    }

    /// The members of a bucket after a cursor.
    pub(crate) fn after(&self, cursor: SyncCursor) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let start = cursor.after.map_or(Unbounded, Excluded);
        self.members
            .range((start, Unbounded))
            .filter(move |(_, m)| m.bucket % cursor.bucket_count.max(1) == cursor.bucket)
    }

    /// The number of live members.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    /// The live members, in order of their addresses.
    #[must_use]
    pub fn live(&self) -> &[SocketAddr] {
        &self.live
    }

    /// Digest of the live members with their full incarnations and metadata. Suspicion does not
    /// change it: it is over soon, one way or the other.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.bucket_digests.iter().fold(0, |all, one| all ^ one)
    }

    /// The digests of the buckets.
    pub(crate) const fn bucket_digests(&self) -> &[u64; BUCKETS] {
        &self.bucket_digests
    }

    /// Digest of the view: of the live members with their nonces and metadata, without incarnation
    /// numbers, so that a refutation does not change it.
    #[must_use]
    pub const fn view_digest(&self) -> u64 {
        self.view_digest
    }

    /// Merges an update: the greater claim holds.
    pub fn merge(&mut self, update: &MemberUpdate, now: Time) -> MergeOutcome {
        self.merge_update(update, now).outcome
    }

    /// Merges an update, and returns what was known before.
    pub(crate) fn merge_update(&mut self, update: &MemberUpdate, now: Time) -> Merge {
        let Some(member) = self.members.get(&update.address) else {
            return self.insert(update, now);
        };
        if self.is_unchanged_by(member, update) {
            return Merge::without_prior_state(MergeOutcome::Unchanged);
        }
        let before = member.clone();
        let after = Member {
            incarnation: update.incarnation,
            state: update.state,
            metadata: update.metadata,
            since: if before.state == update.state {
                before.since
            } else {
                now
            },
            only_known_gone: before.only_known_gone && !update.state.is_live(),
            ..before
        };
        self.toggle_digests(&update.address, &before);
        self.toggle_digests(&update.address, &after);
        match (before.state.is_live(), after.state.is_live()) {
            (false, true) => self.add_live(&update.address),
            (true, false) => self.remove_live(&update.address),
            _ => {}
        }
        self.members.insert(update.address, after);
        let outcome = if before.incarnation.nonce != update.incarnation.nonce {
            MergeOutcome::Restarted
        } else if before.state != update.state {
            MergeOutcome::StateChanged(before.state)
        } else {
            MergeOutcome::Refreshed
        };
        Merge {
            outcome,
            before: Some(PriorState {
                state: before.state,
                metadata: before.metadata,
            }),
        }
    }

    fn is_unchanged_by(&self, member: &Member, update: &MemberUpdate) -> bool {
        #[cfg(feature = "mutants")]
        if self.accepts_stale_updates {
            return update.claim() == member.claim();
        }
        update.claim() <= member.claim()
    }

    fn insert(&mut self, update: &MemberUpdate, now: Time) -> Merge {
        if self.members.len() >= self.max_members && !self.make_room(now) {
            return Merge::without_prior_state(MergeOutcome::TableFull);
        }
        let address = update.address;
        let is_live = update.state.is_live();
        let member = Member {
            incarnation: update.incarnation,
            state: update.state,
            metadata: update.metadata,
            since: now,
            last_message_at: None,
            only_known_gone: !is_live,
            uses_old_incarnation: false,
            bucket: bucket_of(&address),
        };
        self.toggle_digests(&address, &member);
        if is_live {
            self.add_live(&address);
        }
        self.members.insert(address, member);
        Merge::without_prior_state(MergeOutcome::Joined)
    }

    /// Forgets the members that have been gone for the retention time, and returns their addresses.
    pub fn expire(&mut self, now: Time) -> Vec<SocketAddr> {
        let is_expired =
            |member: &Member| !member.state.is_live() && now - member.since >= self.retention;
        let expired: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, member)| is_expired(member))
            .map(|(address, _)| *address)
            .collect();
        for address in &expired {
            self.remove(address);
        }
        expired
    }

    /// Forgets the member that has been gone for the longest; whether there was one.
    fn make_room(&mut self, now: Time) -> bool {
        let gone = self.members.iter().filter(|(_, m)| !m.state.is_live());
        let oldest = gone
            .min_by_key(|(_, m)| (now - m.since).0.saturating_neg())
            .map(|(address, _)| *address);
        let Some(address) = oldest else {
            return false;
        };
        self.remove(&address);
        true
    }

    fn remove(&mut self, address: &SocketAddr) {
        if let Some(member) = self.members.remove(address) {
            self.toggle_digests(address, &member);
            self.remove_live(address);
        }
    }

    /// Adds a member to the digests, or removes it from them.
    fn toggle_digests(&mut self, address: &SocketAddr, member: &Member) {
        if member.state.is_live() {
            self.bucket_digests[usize::from(member.bucket)] ^=
                member_digest(address, member.incarnation, member.metadata);
            self.view_digest ^= view_member_digest(address, member.incarnation, member.metadata);
        }
    }

    fn add_live(&mut self, address: &SocketAddr) {
        if let Err(index) = self.live.binary_search(address) {
            self.live.insert(index, *address);
        }
    }

    fn remove_live(&mut self, address: &SocketAddr) {
        if let Ok(index) = self.live.binary_search(address) {
            self.live.remove(index);
        }
    }
}

/// Hashes an address and what `write` adds. The hash is part of the wire form: all gateways compute
/// the same.
pub(crate) fn hash_with(address: &SocketAddr, write: impl FnOnce(&mut SipHasher13)) -> u64 {
    let mut hasher = SipHasher13::new();
    match address.ip() {
        std::net::IpAddr::V4(ip) => hasher.write(&ip.octets()),
        std::net::IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write_u16(address.port().to_be());
    write(&mut hasher);
    hasher.finish()
}

/// The bucket of an address, below [`BUCKETS`].
pub(crate) fn bucket_of(address: &SocketAddr) -> u8 {
    (hash_with(address, |_| {}) % BUCKETS as u64) as u8
}

/// What a live member adds to the digest of a table.
pub(crate) fn member_digest(
    address: &SocketAddr,
    incarnation: Incarnation,
    metadata: MemberMetadata,
) -> u64 {
    hash_with(address, |hasher| {
        hasher.write_u64(incarnation.number.to_be());
        write_process(hasher, incarnation.nonce, metadata);
    })
}

/// What a live member adds to the digest of a view.
pub(crate) fn view_member_digest(
    address: &SocketAddr,
    incarnation: Incarnation,
    metadata: MemberMetadata,
) -> u64 {
    hash_with(address, |hasher| {
        write_process(hasher, incarnation.nonce, metadata);
    })
}

/// Writes the canonical form: fixed widths, big-endian, in this order.
fn write_process(hasher: &mut SipHasher13, nonce: u32, metadata: MemberMetadata) {
    hasher.write_u32(nonce.to_be());
    hasher.write_u32(metadata.epoch.to_be());
    hasher.write_u16(metadata.zone.to_be());
    hasher.write_u16(metadata.version.to_be());
    hasher.write_u8(metadata.phase as u8);
}
