//! The member table: all known gateways other than this one, and the current claim about each.
//!
//! Inputs are updates; times are whole microseconds. The table has a maximum size. When it is full,
//! a new gateway replaces the one that has been dead or departed for the longest, or is rejected if
//! there is none. Digests of the table are updated incrementally with each change.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;
use valehatch_policy::{Span, Time};

use crate::wire::{Claim, Incarnation, MemberMetadata, MemberState, MemberUpdate, SyncCursor};

/// Number of buckets into which the table is divided, by a hash of the address, for anti-entropy.
pub const BUCKETS: usize = 32;

/// A gateway other than this one, as this gateway knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest known incarnation of the member.
    pub incarnation: Incarnation,
    /// State of the member in that incarnation.
    pub state: MemberState,
    /// Metadata of the member in that incarnation.
    pub metadata: MemberMetadata,
    /// When this gateway learned of the state.
    pub since: Time,
    /// When the member last sent a datagram in that incarnation; `None` if it is known only from
    /// others.
    pub last_message_at: Option<Time>,
    /// Whether the member was already dead or departed when this gateway first learned of it.
    ///
    /// Such an entry overrides late updates, but is not gossiped. Otherwise, gateways that have
    /// expired the member and gateways that have not would pass it to each other forever.
    pub(crate) never_seen_live: bool,
    /// Whether the member's last datagram had an earlier incarnation than the known one: the member
    /// has restarted and must learn which incarnation to supersede.
    pub(crate) uses_old_incarnation: bool,
    bucket: u8,
}

impl Member {
    /// The current claim about the member, for comparison with an update.
    #[must_use]
    pub const fn claim(&self) -> Claim {
        Claim {
            incarnation: self.incarnation,
            state: self.state,
            metadata: self.metadata,
        }
    }
}

/// How an update changed the member table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The member was unknown.
    Joined,
    /// The member is another process than the known one.
    Restarted,
    /// The same process has changed its state; the field is the previous state.
    StateChanged(MemberState),
    /// The same process in the same state, with a later incarnation or other metadata.
    Refreshed,
    /// The known claim is at least as great, so the update was ignored.
    Unchanged,
    /// The member is unknown, and the table is full of live members.
    TableFull,
}

/// State and metadata of a member before an update was merged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PriorState {
    pub(crate) state: MemberState,
    pub(crate) metadata: MemberMetadata,
}

/// Result of merging an update.
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

/// All known gateways other than this one.
#[derive(Debug)]
pub struct MemberTable {
    members: BTreeMap<SocketAddr, Member>,
    max_members: usize,
    /// How long a dead or departed member stays in the table, so that late updates cannot revive
    /// it.
    retention: Span,
    /// Live members, in order of their addresses.
    live: Vec<SocketAddr>,
    bucket_digests: [u64; BUCKETS],
    view_digest: u64,
    /// Injected fault: the latest update wins, whatever its incarnation.
    #[cfg(feature = "mutants")]
    pub(crate) accepts_stale_updates: bool,
}

impl MemberTable {
    /// Creates an empty table. Dead and departed members expire after `retention`.
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

    /// The entry of a gateway; `None` if it is unknown.
    #[must_use]
    pub fn get(&self, address: &SocketAddr) -> Option<&Member> {
        self.members.get(address)
    }

    pub(crate) fn get_mut(&mut self, address: &SocketAddr) -> Option<&mut Member> {
        self.members.get_mut(address)
    }

    /// Whether a gateway is known and alive or suspected.
    pub(crate) fn is_live(&self, address: &SocketAddr) -> bool {
        self.get(address).is_some_and(|m| m.state.is_live())
    }

    /// All members, including dead and departed ones, in order of their addresses.
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

    /// Number of live members, without this gateway.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    /// The live members in order of their addresses, without this gateway.
    #[must_use]
    pub fn live(&self) -> &[SocketAddr] {
        &self.live
    }

    /// Digest of the live members with their full incarnations and metadata. A suspicion does not
    /// change it, since every suspicion is soon refuted or confirmed.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.bucket_digests.iter().fold(0, |all, one| all ^ one)
    }

    /// Digests of the buckets, by bucket index.
    pub(crate) const fn bucket_digests(&self) -> &[u64; BUCKETS] {
        &self.bucket_digests
    }

    /// Digest of the view: the live members with their nonces and metadata, but without incarnation
    /// numbers, so that a refutation does not change it.
    #[must_use]
    pub const fn view_digest(&self) -> u64 {
        self.view_digest
    }

    /// Merges an update: the greater claim wins.
    pub fn merge(&mut self, update: &MemberUpdate, now: Time) -> MergeOutcome {
        self.merge_update(update, now).outcome
    }

    /// Merges an update, and returns the outcome with the prior state of the member.
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
            never_seen_live: before.never_seen_live && !update.state.is_live(),
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
        if self.members.len() >= self.max_members && !self.evict_oldest_gone(now) {
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
            never_seen_live: !is_live,
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

    /// Removes members that have been dead or departed for the retention time, and returns their
    /// addresses.
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

    /// Removes the member that has been dead or departed for the longest. Returns whether there was
    /// one.
    fn evict_oldest_gone(&mut self, now: Time) -> bool {
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

    /// Adds a live member to the digests, or removes it from them: XOR does both.
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

/// Hashes an address followed by the bytes that `write` adds. The hash is part of the wire format,
/// so all gateways must compute the same value.
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

/// Index of the bucket of an address, less than [`BUCKETS`].
pub(crate) fn bucket_of(address: &SocketAddr) -> u8 {
    (hash_with(address, |_| {}) % BUCKETS as u64) as u8
}

/// Contribution of a live member to the digest of the member table.
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

/// Contribution of a live member to the digest of the view.
pub(crate) fn view_member_digest(
    address: &SocketAddr,
    incarnation: Incarnation,
    metadata: MemberMetadata,
) -> u64 {
    hash_with(address, |hasher| {
        write_process(hasher, incarnation.nonce, metadata);
    })
}

/// Hashes the canonical form of a process: fixed widths, big-endian, in this order.
fn write_process(hasher: &mut SipHasher13, nonce: u32, metadata: MemberMetadata) {
    hasher.write_u32(nonce.to_be());
    hasher.write_u32(metadata.epoch.to_be());
    hasher.write_u16(metadata.zone.to_be());
    hasher.write_u16(metadata.version.to_be());
    hasher.write_u8(metadata.phase as u8);
}
