//! The view: which gateways are in the fleet, in which phase, and whether all members agree on
//! that.
//!
//! Inputs are the digest of the live members, agreement messages from other gateways, and time in
//! whole microseconds. The state holds one bit per member, the members that disagree, and a bounded
//! log of changes.
//!
//! Every datagram carries the digest of its sender's view and the set of members that are known to
//! have the same view. Sets are merged by union, over members that the digest identifies by
//! address, process and epoch. Loss, duplication, reordering and earlier processes therefore affect
//! when agreement becomes known, but not the result. Once all members agree, the view has
//! converged.
//!
//! A digest never recurs: a member that was declared dead or departed but is alive takes a later
//! epoch. Agreement with one view is therefore never counted for a later one, with one exception:
//! if a gateway on its own declares another one dead and immediately learns that it is alive, other
//! members may count the gateway's earlier agreement for that moment. In the meantime the gateway
//! sends its own digest, and a member that receives it does not regard the view as converged.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use valehatch_policy::{Span, Time};

use crate::view_changes::ViewChange;
use crate::wire::{AgreeingMembers, MEMBERS_PER_BLOCK, ViewAgreement};

/// Whether this gateway's member table is complete enough to judge convergence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalKnowledge {
    /// This gateway has synced with another one, and is not leaving.
    Complete,
    /// This gateway has not synced yet, or is leaving.
    Incomplete,
}

/// Whether all members agree on the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Convergence {
    /// All members of the view are known to agree on it.
    Converged,
    /// At least one member disagrees or is not known to agree.
    Diverged,
}

/// Summary of the view of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewStatus {
    /// Digest of the view; equal at all gateways that have the same view.
    pub digest: u64,
    /// Number of changes since this process started; not comparable between gateways.
    pub version: u64,
    /// When the view of this gateway took this digest.
    pub since: Time,
    /// Number of members of the view, including this gateway.
    pub members: usize,
    /// Number of members that are known to agree, including this gateway.
    pub agreeing_members: usize,
    /// When the view converged; `None` while it has not.
    pub converged_at: Option<Time>,
}

/// The view of this gateway, and which other members are known to agree with it. Methods that take
/// `live` expect the other live members, in order of their addresses, as passed to the last
/// [`View::set_digest`].
#[derive(Debug)]
pub struct View {
    local_address: SocketAddr,
    digest: u64,
    since: Time,
    version: u64,
    /// Bit sets of the agreeing members, indexed by the rank of their addresses.
    agreeing_blocks: Vec<u64>,
    agreeing_members: usize,
    members: usize,
    converged_at: Option<Time>,
    /// Digest for which convergence was last reported; `None` while the view is not converged.
    reported: Option<u64>,
    /// Members that have sent another digest after they had agreed, with the time of the last one.
    disagreements: BTreeMap<SocketAddr, Time>,
    /// The member that last sent another digest.
    disagreeing_member: Option<SocketAddr>,
    /// How long a disagreement counts. By then, either the member's change has arrived at this
    /// gateway or the member has disagreed again.
    disagreement_timeout: Span,
    changes: VecDeque<ViewChange>,
    max_changes: usize,
    #[cfg(feature = "mutants")]
    pub(crate) fault: Option<InjectedFault>,
}

/// Faults that tests inject to verify that checkers detect them.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An agreeing member is counted each time that it is reported.
    DoubleCount,
    /// The latest update wins, even if it has an earlier incarnation.
    AcceptStale,
    /// Members that were declared dead or have left are never contacted again.
    ForgetPartition,
}

impl View {
    /// Creates the view of a gateway that knows no other one. At most `max_changes` changes are
    /// kept; beyond that, the oldest is dropped, and readers can query how many they have missed.
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

    /// Digest of the view; equal at all gateways that have the same view.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// When the view took its current digest.
    #[must_use]
    pub const fn since(&self) -> Time {
        self.since
    }

    /// Sets the digest of the current members. Returns whether the view has changed; if it has, all
    /// agreement is reset.
    pub fn set_digest(&mut self, digest: u64, live: &[SocketAddr], now: Time) -> bool {
        if digest == self.digest && self.members == live.len() + 1 {
            return false;
        }
        self.digest = digest;
        self.since = now;
        self.reset_agreement(live);
        true
    }

    /// Clears the agreeing members, after the view has changed or this process has paused.
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

    /// Position of a member among all members of the view, ordered by address.
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

    /// Merges a block by union, so that repeated, late and reordered messages have no effect.
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

    /// Bit set of all members of a block.
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

    /// Handles the agreement piggybacked on a datagram. Returns whether the sender has the same
    /// view.
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

    /// Records that a member has another view. Only a member that agreed before is added to the
    /// disagreements: any other is missing from the agreeing members anyway.
    fn on_disagreement(&mut self, from: &SocketAddr, live: &[SocketAddr], now: Time) {
        let Some(rank) = self.rank(from, live) else {
            return;
        };
        self.disagreeing_member = Some(*from);
        if self.agrees(rank) {
            self.disagreements.insert(*from, now);
        }
    }

    /// Re-evaluates whether the view has converged. Returns `Some` if the result must be reported:
    /// it has changed, or the view has converged on another digest.
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

    /// Whether all members of the view are known to have agreed.
    #[must_use]
    pub const fn all_agree(&self) -> bool {
        self.agreeing_members == self.members
    }

    /// The member that last sent another digest; `None` if none has since the view changed or since
    /// [`Self::clear_disagreeing_member`].
    #[must_use]
    pub const fn disagreeing_member(&self) -> Option<SocketAddr> {
        self.disagreeing_member
    }

    /// Clears the disagreeing member, once anti-entropy has started.
    pub fn clear_disagreeing_member(&mut self) {
        self.disagreeing_member = None;
    }

    /// The agreement to send. Among incomplete blocks, this gateway's own is preferred; otherwise
    /// `rotation` selects one.
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

    /// The members of this gateway's own block as indexes into `live`; `None` if the block is
    /// complete.
    #[must_use]
    pub fn own_incomplete_block(&self, live: &[SocketAddr]) -> Option<std::ops::Range<usize>> {
        let own_rank = self.rank(&self.local_address, live)?;
        let block = own_rank / MEMBERS_PER_BLOCK;
        if self.is_complete(block) {
            return None;
        }
        // Ranks include this gateway; indexes into `live` do not.
        let index = |rank: usize| (rank - usize::from(rank > own_rank)).min(live.len());
        Some(index(block * MEMBERS_PER_BLOCK)..index((block + 1) * MEMBERS_PER_BLOCK))
    }

    /// Summary of the view: digest, version, and how far the members agree.
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

    /// Appends a change to the log, and assigns its version.
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

    /// The changes after a version that are still kept, in order.
    pub fn changes_since(&self, version: u64) -> impl Iterator<Item = &ViewChange> {
        let known = version.saturating_sub(self.dropped_changes());
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        self.changes.iter().skip(known)
    }

    /// Number of changes after a version that are no longer kept. A reader that has missed any must
    /// read the whole view again.
    #[must_use]
    pub fn missed_changes(&self, version: u64) -> u64 {
        self.dropped_changes().saturating_sub(version)
    }

    fn dropped_changes(&self) -> u64 {
        self.version - self.changes.len() as u64
    }
}

/// Whether a bit is set in a bit set; bits beyond its end count as not set.
fn bit(set: &[u8], index: usize) -> bool {
    set.get(index / 8)
        .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
}
