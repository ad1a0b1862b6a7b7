//! The view: who is in the fleet, in which phase, and whether all members agree on that.
//!
//! Inputs are the digest of the live members, agreement messages of others, and time in whole
//! microseconds. The state holds one bit per member, disagreements of members, and a bounded log of
//! changes.
//!
//! Every datagram carries the digest of its sender's view and the set of members that are known to
//! have the same view. The set is joined by union, over members that the digest identifies by
//! address, process and epoch. So loss, duplication, order and earlier processes change when
//! agreement is known, not what is known. Once all members agree, the view has converged.
//!
//! A digest never comes back: a member that was declared gone and is alive takes a later epoch. So
//! agreement with one view is never counted for a later one. There is one exception: a gateway
//! declares another gone by itself and learns at once that it is alive. Others may count its
//! earlier agreement for that moment. It sends its own digest meanwhile, and a member that receives
//! that does not call the view converged.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use valehatch_policy::{Span, Time};

use crate::view_changes::ViewChange;
use crate::wire::{AgreeingMembers, MEMBERS_PER_BLOCK, ViewAgreement};

/// Whether this gateway knows all that the others know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalKnowledge {
    /// It has synced, and takes part in the fleet.
    Complete,
    /// It has not synced yet, or it is leaving.
    Incomplete,
}

/// Whether all members agree on the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Convergence {
    /// All members of the view are known to agree on it.
    Converged,
    /// Some member is not known to agree, or disagrees.
    Diverged,
}

/// The view as it is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewStatus {
    /// The digest: the same at all gateways that have the same view.
    pub digest: u64,
    /// Changes since this process started; cannot be compared between gateways.
    pub version: u64,
    /// Since when the view has this digest here.
    pub since: Time,
    /// Members of the view, this gateway included.
    pub members: usize,
    /// Members that are known to agree, this gateway included.
    pub agreeing_members: usize,
    /// Since when all members agree; `None` while they do not.
    pub converged_at: Option<Time>,
}

/// The view of this gateway, and what it knows about the others' views. The methods that take
/// `live` need the other live members, in order of their addresses, as they were at the last
/// [`View::set_digest`].
#[derive(Debug)]
pub struct View {
    local_address: SocketAddr,
    digest: u64,
    since: Time,
    version: u64,
    /// Bit sets of the agreeing members, by rank of their addresses.
    agreeing_blocks: Vec<u64>,
    agreeing_members: usize,
    members: usize,
    converged_at: Option<Time>,
    /// The digest for which convergence was reported last.
    reported: Option<u64>,
    /// Members that have disagreed since they agreed, and when.
    disagreements: BTreeMap<SocketAddr, Time>,
    /// The member that last sent another digest.
    disagreeing_member: Option<SocketAddr>,
    /// How long a disagreement counts: until then the member's change has arrived here, or it
    /// disagrees again.
    disagreement_timeout: Span,
    changes: VecDeque<ViewChange>,
    max_changes: usize,
    #[cfg(feature = "mutants")]
    pub(crate) fault: Option<InjectedFault>,
}

/// Faults that tests inject to see that checkers detect them.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An agreeing member counts each time that it is reported.
    DoubleCount,
    /// The last update wins, even if it is of an earlier incarnation.
    AcceptStale,
    /// Members that were declared gone are never contacted again.
    ForgetPartition,
}

impl View {
    /// The view of a gateway that knows no other. At most `max_changes` changes are kept; beyond
    /// that the oldest is dropped, and its readers learn how many they have missed.
    #[must_use]
    pub const fn new(
        local_address: SocketAddr,
        max_changes: usize,
        disagreement_timeout: Span,
        now: Time,
    ) -> Self {
        Self {
            local_address,
            digest: 0,
            since: now,
            version: 0,
            agreeing_blocks: vec![],
            agreeing_members: 0,
            members: 0,
            converged_at: None,
            reported: None,
            disagreements: BTreeMap::new(),
            disagreeing_member: None,
            disagreement_timeout,
            changes: VecDeque::new(),
            max_changes,
            #[cfg(feature = "mutants")]
            fault: None,
        }
    }

    /// The digest of the view.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Since when the view has this digest.
    #[must_use]
    pub const fn since(&self) -> Time {
        self.since
    }

    /// Sets the digest of the current members; whether the view has changed.
    pub fn set_digest(&mut self, digest: u64, live: &[SocketAddr], now: Time) -> bool {
        if digest == self.digest && self.members == live.len() + 1 {
            return false;
        }
        self.digest = digest;
        self.since = now;
        self.reset_agreement(live);
        true
    }

    /// Forgets who agrees: the view has changed, or this process has paused.
    pub fn reset_agreement(&mut self, live: &[SocketAddr]) {
        self.members = live.len() + 1;
        self.agreeing_blocks.clear();
        self.agreeing_blocks
            .resize(self.members.div_ceil(MEMBERS_PER_BLOCK), 0);
        self.agreeing_members = 0;
        self.converged_at = None;
        self.disagreements.clear();
        self.disagreeing_member = None;
        let local_address = self.local_address;
        self.add_agreeing_member(&local_address, live);
    }

    /// Position of a member among all members of the view, by address.
    fn rank(&self, address: &SocketAddr, live: &[SocketAddr]) -> Option<usize> {
        if *address == self.local_address {
            return Some(live.partition_point(|a| a < address));
        }
        let index = live.binary_search(address).ok()?;
        Some(index + usize::from(self.local_address < *address))
    }

    fn add_agreeing_member(&mut self, address: &SocketAddr, live: &[SocketAddr]) {
        if let Some(rank) = self.rank(address, live) {
            self.add_agreeing(rank / MEMBERS_PER_BLOCK, 1 << (rank % MEMBERS_PER_BLOCK));
        }
    }

    /// Joins a block by union, so that repeated, late and reordered messages have no further
    /// effect.
    fn add_agreeing(&mut self, block: usize, bits: u64) {
        let all_bits = self.all_bits(block);
        let Some(agreeing) = self.agreeing_blocks.get_mut(block) else {
            return;
        };
        let added = bits & all_bits & !*agreeing;
        *agreeing |= added;
        #[cfg(feature = "mutants")]
        let added = if self.fault == Some(InjectedFault::DoubleCount) {
            bits & all_bits
        } else {
            added
        };
        self.agreeing_members += added.count_ones() as usize;
        #[cfg(feature = "mutants")]
        (self.agreeing_members = self.agreeing_members.min(self.members));
    }

    /// The bits of all members of a block.
    fn all_bits(&self, block: usize) -> u64 {
        match self.members.saturating_sub(block * MEMBERS_PER_BLOCK) {
            0 => 0,
            left if left >= MEMBERS_PER_BLOCK => u64::MAX,
            left => (1 << left) - 1,
        }
    }

    fn is_complete(&self, block: usize) -> bool {
        self.agreeing_blocks
            .get(block)
            .is_some_and(|agreeing| *agreeing == self.all_bits(block))
    }

    fn agrees(&self, rank: usize) -> bool {
        self.agreeing_blocks
            .get(rank / MEMBERS_PER_BLOCK)
            .is_some_and(|agreeing| agreeing >> (rank % MEMBERS_PER_BLOCK) & 1 == 1)
    }

    /// Handles the agreement that came with a datagram; whether the sender has the same view.
    pub fn on_agreement(
        &mut self,
        from: &SocketAddr,
        agreement: &ViewAgreement,
        live: &[SocketAddr],
        now: Time,
    ) -> bool {
        if u64::from_be_bytes(agreement.digest) != self.digest {
            self.on_disagreement(from, live, now);
            return false;
        }
        self.disagreements.remove(from);
        self.add_agreeing_member(from, live);
        match &agreement.members {
            AgreeingMembers::Unknown => {}
            AgreeingMembers::Some {
                complete_blocks,
                block,
                bits,
            } => {
                for index in 0..self.agreeing_blocks.len() {
                    if bit(complete_blocks, index) {
                        self.add_agreeing(index, u64::MAX);
                    }
                }
                self.add_agreeing(usize::from(*block), *bits);
            }
            AgreeingMembers::All => {
                for index in 0..self.agreeing_blocks.len() {
                    self.add_agreeing(index, u64::MAX);
                }
            }
        }
        true
    }

    /// A member that has not reached this view yet is missing among the agreeing members anyway.
    /// Only one that agreed before has to be remembered.
    fn on_disagreement(&mut self, from: &SocketAddr, live: &[SocketAddr], now: Time) {
        let Some(rank) = self.rank(from, live) else {
            return;
        };
        self.disagreeing_member = Some(*from);
        if self.agrees(rank) {
            self.disagreements.insert(*from, now);
        }
    }

    /// Updates whether the view has converged; `Some` if that is to be reported.
    pub fn update_convergence(
        &mut self,
        knowledge: LocalKnowledge,
        now: Time,
    ) -> Option<Convergence> {
        let timeout = self.disagreement_timeout;
        self.disagreements.retain(|_, at| now - *at < timeout);
        let converged = knowledge == LocalKnowledge::Complete
            && self.all_agree()
            && self.disagreements.is_empty();
        let convergence = if converged {
            self.converged_at.get_or_insert(now);
            Convergence::Converged
        } else {
            self.converged_at = None;
            Convergence::Diverged
        };
        let digest = converged.then_some(self.digest);
        let before = std::mem::replace(&mut self.reported, digest);
        (before != digest).then_some(convergence)
    }

    /// Whether all members are known to agree.
    #[must_use]
    pub const fn all_agree(&self) -> bool {
        self.agreeing_members == self.members
    }

    /// The member that last sent another digest, if any has since the view changed or
    /// [`Self::clear_disagreeing_member`].
    #[must_use]
    pub const fn disagreeing_member(&self) -> Option<SocketAddr> {
        self.disagreeing_member
    }

    /// Anti-entropy with the disagreeing member has begun.
    pub fn clear_disagreeing_member(&mut self) {
        self.disagreeing_member = None;
    }

    /// The agreement to send. Of the incomplete blocks the one of this gateway comes first,
    /// otherwise `rotation` selects one.
    #[must_use]
    pub fn agreement(&self, live: &[SocketAddr], rotation: u32) -> ViewAgreement {
        let members = match self.agreeing_members {
            all if all == self.members => AgreeingMembers::All,
            0 | 1 => AgreeingMembers::Unknown,
            _ => self.agreeing_blocks_to_send(live, rotation),
        };
        ViewAgreement {
            digest: self.digest.to_be_bytes(),
            members,
        }
    }

    fn agreeing_blocks_to_send(&self, live: &[SocketAddr], rotation: u32) -> AgreeingMembers {
        let count = self.agreeing_blocks.len();
        let incomplete: Vec<usize> = (0..count).filter(|n| !self.is_complete(*n)).collect();
        let own = self
            .rank(&self.local_address, live)
            .map(|rank| rank / MEMBERS_PER_BLOCK)
            .filter(|block| incomplete.contains(block));
        let other = incomplete
            .get(rotation as usize % incomplete.len().max(1))
            .copied();
        let block = own.or(other).unwrap_or(0);
        let mut complete_blocks = vec![0_u8; count.div_ceil(8)];
        for index in 0..count {
            if self.is_complete(index) {
                complete_blocks[index / 8] |= 1 << (index % 8);
            }
        }
        if complete_blocks.iter().all(|byte| *byte == 0) {
            complete_blocks.clear();
        }
        AgreeingMembers::Some {
            complete_blocks,
            block: u8::try_from(block).unwrap_or(u8::MAX),
            bits: self.agreeing_blocks.get(block).copied().unwrap_or(0),
        }
    }

    /// The members of this gateway's block, as indexes into `live`, while the block is incomplete.
    #[must_use]
    pub fn own_incomplete_block(&self, live: &[SocketAddr]) -> Option<std::ops::Range<usize>> {
        let own_rank = self.rank(&self.local_address, live)?;
        let block = own_rank / MEMBERS_PER_BLOCK;
        if self.is_complete(block) {
            return None;
        }
        // Ranks count this gateway, indexes into `live` do not.
        let index = |rank: usize| (rank - usize::from(rank > own_rank)).min(live.len());
        Some(index(block * MEMBERS_PER_BLOCK)..index((block + 1) * MEMBERS_PER_BLOCK))
    }

    /// The view as it is known here.
    #[must_use]
    pub const fn status(&self) -> ViewStatus {
        ViewStatus {
            digest: self.digest,
            version: self.version,
            since: self.since,
            members: self.members,
            agreeing_members: self.agreeing_members,
            converged_at: self.converged_at,
        }
    }

    /// Appends a change; its version is set here.
    pub(crate) fn record_change(&mut self, change: ViewChange) {
        self.version += 1;
        if self.changes.len() >= self.max_changes {
            self.changes.pop_front();
        }
        self.changes.push_back(ViewChange {
            version: self.version,
            ..change
        });
    }

    /// The kept changes after a version, in order.
    pub fn changes_since(&self, version: u64) -> impl Iterator<Item = &ViewChange> {
        let known = version.saturating_sub(self.dropped_changes());
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        self.changes.iter().skip(known)
    }

    /// How many changes after a version are no longer kept. A reader that has missed any must read
    /// the whole view again.
    #[must_use]
    pub fn missed_changes(&self, version: u64) -> u64 {
        self.dropped_changes().saturating_sub(version)
    }

    fn dropped_changes(&self) -> u64 {
        self.version - self.changes.len() as u64
    }
}

/// Whether a bit is set in a bit set; bits beyond its end are not.
fn bit(set: &[u8], index: usize) -> bool {
    set.get(index / 8)
        .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
}
