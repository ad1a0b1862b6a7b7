//! The view: who is in the fleet, as what, and whether all that are in it hold the same.
//!
//! Each gateway's view has a digest, which is told with every datagram. Beside it goes who else has said that they hold the
//! same: a set, joined by union over cells that the digest names (each member's address, life and epoch), so that loss,
//! doubling, order and former lives change when all are heard of, not what is said. Once all are, the view is *settled*.
//!
//! A digest never comes back: whoever was given up and lives takes a later epoch. So what was said of a view is never
//! taken for a word on a later one. The one exception is a gateway that gave another up by itself and heard at once that it
//! lives: the others may count its earlier word for that moment. It tells its own digest meanwhile, and whoever hears that
//! does not call the view settled.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use valehatch_policy::{Span, Time};

use crate::wire::{
    AgreeingMembers, BLOCK, Incarnation, MemberMetadata, MemberState, Phase, ViewAgreement,
};

/// Changes that are kept for those that stand on the view; one that reads too late is told how many it has missed.
pub const CHANGES: usize = 512;

/// How a gateway counts in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// It answers, and says itself how far it is.
    Active(Phase),
    /// It does not answer, and may still say that it lives.
    Suspected,
    /// It has ended, or has not said in time that it lives.
    Gone,
}

impl MemberStatus {
    /// Of a state that is believed, with what the gateway says of itself.
    #[must_use]
    pub const fn of(state: MemberState, card: MemberMetadata) -> Self {
        match state {
            MemberState::Alive => Self::Active(card.phase),
            MemberState::Suspect => Self::Suspected,
            MemberState::Dead | MemberState::Left => Self::Gone,
        }
    }
}

/// Why the view changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// It was not known, or counted as gone.
    Joined,
    /// Another start of it: what its former self held or had promised is gone.
    Restarted,
    /// It says so of itself: its phase, zone or version.
    MetadataChanged,
    /// It did not answer somebody.
    Suspected,
    /// It answers after all.
    SuspicionCleared,
    /// It did not say in time that it lives.
    Failed,
    /// It has said that it ends.
    Left,
}

/// One change of the view, told once and in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// The version of the view that it led to: one more than that of the change before.
    pub version: u64,
    pub at: Time,
    pub about: SocketAddr,
    pub life: Incarnation,
    pub card: MemberMetadata,
    /// `None` where it was not in the view.
    pub was: Option<MemberStatus>,
    pub is: MemberStatus,
    pub why: ChangeReason,
}

/// Whether the view is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewStatus {
    /// The same at all that hold the same view.
    pub digest: u64,
    /// Changes since this gateway's start: its own count, not comparable between gateways.
    pub version: u64,
    /// Since when this digest is held here.
    pub held: Time,
    /// Those in the view, this gateway included, and how many of them are known to hold the same.
    pub members: usize,
    pub holders: usize,
    /// Since when it is settled: all in it have said that they hold the same, and none has said otherwise since.
    pub settled: Option<Time>,
}

/// What this gateway holds, and what it has heard of the others' views.
#[derive(Debug)]
pub struct View {
    me: SocketAddr,
    digest: u64,
    held: Time,
    version: u64,
    /// Who has said that they hold the same, by rank of address, and how many that are.
    said: Vec<u64>,
    holders: usize,
    members: usize,
    settled: Option<Time>,
    /// The digest of which it was told last that it is settled.
    told: Option<u64>,
    /// Members that have said otherwise since they said the same, and when.
    dissent: BTreeMap<SocketAddr, Time>,
    /// A member that was heard last to hold another view, whatever it said before.
    differs: Option<SocketAddr>,
    /// How long a word of dissent counts: by then its sender's change is known here, or it has said otherwise again.
    patience: Span,
    changes: VecDeque<ViewChange>,
    most: usize,
    #[cfg(feature = "mutants")]
    pub(crate) mutant: Option<InjectedFault>,
}

/// Faults that can be put into the join, to see that whoever judges it sees them.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A holder counts each time that it is told of.
    DoubleCount,
    /// The last word holds, though it is of an earlier life or incarnation.
    AcceptStale,
    /// Those that were given up are not asked any more.
    ForgetPartition,
}

impl View {
    /// Of a gateway that knows nobody. `most` changes are kept: beyond, the oldest is let go and its readers are told that
    /// they missed it.
    #[must_use]
    pub const fn new(me: SocketAddr, most: usize, patience: Span, now: Time) -> Self {
        Self {
            me,
            digest: 0,
            held: now,
            version: 0,
            said: vec![],
            holders: 0,
            members: 0,
            settled: None,
            told: None,
            dissent: BTreeMap::new(),
            differs: None,
            patience,
            changes: VecDeque::new(),
            most,
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }

    /// The digest that is held.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Since when.
    #[must_use]
    pub const fn since(&self) -> Time {
        self.held
    }

    /// What is believed now is this; `living` are all others in it, by address. Whether that is another view than before.
    pub fn turn(&mut self, digest: u64, living: &[SocketAddr], now: Time) -> bool {
        if digest == self.digest && self.members == living.len() + 1 {
            return false;
        }
        (self.digest, self.held) = (digest, now);
        self.doubt(living);
        true
    }

    /// Whatever was said of the view is to be heard again: this gateway stood still, or its view has changed.
    pub fn doubt(&mut self, living: &[SocketAddr]) {
        self.members = living.len() + 1;
        self.said.clear();
        self.said.resize(self.members.div_ceil(BLOCK), 0);
        (self.holders, self.settled) = (0, None);
        self.dissent.clear();
        self.differs = None;
        let me = self.me;
        self.mark(&me, living);
    }

    fn rank(&self, who: &SocketAddr, living: &[SocketAddr]) -> Option<usize> {
        if *who == self.me {
            return Some(living.partition_point(|a| a < who));
        }
        living
            .binary_search(who)
            .ok()
            .map(|at| at + usize::from(self.me < *who))
    }

    fn mark(&mut self, who: &SocketAddr, living: &[SocketAddr]) {
        if let Some(rank) = self.rank(who, living) {
            self.join(rank / BLOCK, 1 << (rank % BLOCK));
        }
    }

    /// Union: saying it twice, late or in another order comes to the same.
    fn join(&mut self, block: usize, bits: u64) {
        let whole = self.whole(block);
        if let Some(said) = self.said.get_mut(block) {
            let new = bits & whole & !*said;
            *said |= new;
            #[cfg(feature = "mutants")]
            let new = if self.mutant == Some(InjectedFault::DoubleCount) {
                bits & whole
            } else {
                new
            };
            self.holders += new.count_ones() as usize;
            #[cfg(feature = "mutants")]
            (self.holders = self.holders.min(self.members));
        }
    }

    /// The bits of all members of a block.
    fn whole(&self, block: usize) -> u64 {
        match self.members.saturating_sub(block * BLOCK) {
            0 => 0,
            left if left >= BLOCK => u64::MAX,
            left => (1 << left) - 1,
        }
    }

    fn full(&self, block: usize) -> bool {
        self.said
            .get(block)
            .is_some_and(|said| *said == self.whole(block))
    }

    /// A member has told which view it holds. Whether it is the same one.
    pub fn hear(
        &mut self,
        from: &SocketAddr,
        held: &ViewAgreement,
        living: &[SocketAddr],
        now: Time,
    ) -> bool {
        if u64::from_be_bytes(held.digest) != self.digest {
            // One that has not come to this view yet is missing among its holders anyway.
            if let Some(rank) = self.rank(from, living) {
                self.differs = Some(*from);
                if self
                    .said
                    .get(rank / BLOCK)
                    .is_some_and(|said| said >> (rank % BLOCK) & 1 == 1)
                {
                    self.dissent.insert(*from, now);
                }
            }
            return false;
        }
        self.dissent.remove(from);
        self.mark(from, living);
        match &held.holders {
            AgreeingMembers::Unknown => {}
            AgreeingMembers::Some {
                blocks,
                block,
                bits,
            } => {
                for n in (0..self.said.len())
                    .filter(|n| blocks.get(n / 8).is_some_and(|b| b >> (n % 8) & 1 == 1))
                {
                    self.join(n, u64::MAX);
                }
                self.join(usize::from(*block), *bits);
            }
            AgreeingMembers::All => (0..self.said.len()).for_each(|n| self.join(n, u64::MAX)),
        }
        true
    }

    /// Looks at the time. `known`: whether this gateway knows that it knows all. Whether the view has become settled, or
    /// is not any more.
    pub fn look(&mut self, known: bool, now: Time) -> Option<bool> {
        self.dissent.retain(|_, at| now - *at < self.patience);
        let settled = known && self.holders == self.members && self.dissent.is_empty();
        if settled {
            self.settled.get_or_insert(now);
        } else {
            self.settled = None;
        }
        let tell = settled.then_some(self.digest);
        (std::mem::replace(&mut self.told, tell) != tell).then_some(settled)
    }

    /// Whether all in the view have said that they hold it.
    #[must_use]
    pub const fn all(&self) -> bool {
        self.holders == self.members
    }

    /// A member that holds another view, if one was heard to since this one was held.
    #[must_use]
    pub const fn dissenting(&self) -> Option<SocketAddr> {
        self.differs
    }

    /// That one is compared with now.
    pub fn compared(&mut self) {
        self.differs = None;
    }

    /// What is told with a datagram. Of the blocks that are not whole the own one comes first, then each in turn.
    #[must_use]
    pub fn held(&self, living: &[SocketAddr], turn: u32) -> ViewAgreement {
        let digest = self.digest.to_be_bytes();
        let holders = match self.holders {
            all if all == self.members => AgreeingMembers::All,
            0 | 1 => AgreeingMembers::Unknown,
            _ => {
                let open: Vec<usize> = (0..self.said.len()).filter(|n| !self.full(*n)).collect();
                let own = self.rank(&self.me, living).map(|r| r / BLOCK);
                let other = open.get(turn as usize % open.len().max(1)).copied();
                let block = own.filter(|o| open.contains(o)).or(other).unwrap_or(0);
                let mut blocks = vec![0_u8; self.said.len().div_ceil(8)];
                (0..self.said.len())
                    .filter(|n| self.full(*n))
                    .for_each(|n| blocks[n / 8] |= 1 << (n % 8));
                if blocks.iter().all(|b| *b == 0) {
                    blocks.clear();
                }
                let bits = self.said.get(block).copied().unwrap_or(0);
                AgreeingMembers::Some {
                    blocks,
                    block: u8::try_from(block).unwrap_or(u8::MAX),
                    bits,
                }
            }
        };
        ViewAgreement { digest, holders }
    }

    /// Those of the own block, by place among the living, while it is not whole: they are told first.
    #[must_use]
    pub fn block(&self, living: &[SocketAddr]) -> Option<std::ops::Range<usize>> {
        let rank = self.rank(&self.me, living)?;
        let block = rank / BLOCK;
        // Ranks count this gateway, places among the others do not.
        let place = |rank_of: usize| (rank_of - usize::from(rank_of > rank)).min(living.len());
        (!self.full(block)).then(|| place(block * BLOCK)..place((block + 1) * BLOCK))
    }

    /// How it is shared.
    #[must_use]
    pub const fn shared(&self) -> ViewStatus {
        let Self {
            digest,
            version,
            held,
            members,
            holders,
            settled,
            ..
        } = *self;
        ViewStatus {
            digest,
            version,
            held,
            members,
            holders,
            settled,
        }
    }

    /// Something changed.
    pub(crate) fn change(&mut self, change: ViewChange) {
        self.version += 1;
        if self.changes.len() >= self.most {
            self.changes.pop_front();
        }
        self.changes.push_back(ViewChange {
            version: self.version,
            ..change
        });
    }

    /// The changes after a version, in order, and how many of them are not kept any more: who has missed any takes the whole
    /// view anew.
    pub fn changes(&self, after: u64) -> (u64, impl Iterator<Item = &ViewChange>) {
        let kept = self.version - self.changes.len() as u64;
        let known = usize::try_from(after.saturating_sub(kept)).unwrap_or(usize::MAX);
        (kept.saturating_sub(after), self.changes.iter().skip(known))
    }
}
