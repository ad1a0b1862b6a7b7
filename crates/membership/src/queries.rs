//! Read access to the membership state, detection of pauses, convergence updates, and random
//! selection of members.
//!
//! Inputs are times in whole microseconds. Nothing in this module sends datagrams.

use std::net::SocketAddr;

use rand_core::RngCore;
use rand_xoshiro::Xoshiro256PlusPlus;
use valehatch_policy::Time;

use crate::events::{Effect, Load, MemberCounts, MembershipEvent, MessageCounters};
use crate::member_table::Member;
use crate::suspicion::LocalHealth;
use crate::view::{Convergence, LocalKnowledge, ViewStatus};
use crate::view_changes::{MemberStatus, MemberView, ViewChange};
use crate::wire::Incarnation;
use crate::{Membership, PAUSE_PERIODS};

impl Membership {
    /// All known gateways other than this one, in order of their addresses, including those that
    /// are dead or have left and have not expired yet.
    pub fn peers(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.table.iter()
    }

    /// The live gateways other than this one, in order of their addresses.
    pub fn live_members(&self) -> impl Iterator<Item = SocketAddr> {
        self.table.live().iter().copied()
    }

    /// Summary of the view, and how far its members agree on it.
    #[must_use]
    pub const fn view_status(&self) -> ViewStatus {
        self.view.status()
    }

    /// The members of the view in order of their addresses, including this gateway and those that
    /// are dead or have left and have not expired yet.
    pub fn members(&self) -> impl Iterator<Item = MemberView> {
        let identity = self.local.identity();
        let own = MemberView {
            address: self.local.address,
            incarnation: identity.incarnation,
            metadata: identity.metadata,
            status: MemberStatus::new(self.local.state, identity.metadata),
        };
        let member_view = |(address, member): (&SocketAddr, &Member)| MemberView {
            address: *address,
            incarnation: member.incarnation,
            metadata: member.metadata,
            status: MemberStatus::new(member.state, member.metadata),
        };
        let is_before = move |entry: &(&SocketAddr, &Member)| *entry.0 < own.address;
        let before = self.table.iter().take_while(is_before).map(member_view);
        let after = self.table.iter().skip_while(is_before).map(member_view);
        before.chain([own]).chain(after)
    }

    /// The changes of the view after a version that are still kept, each once and in order.
    pub fn changes_since(&self, version: u64) -> impl Iterator<Item = &ViewChange> {
        self.view.changes_since(version)
    }

    /// Number of changes of the view after a version that are no longer kept.
    #[must_use]
    pub fn missed_changes(&self, version: u64) -> u64 {
        self.view.missed_changes(version)
    }

    /// Number of gateways, counted in three ways.
    #[must_use]
    pub fn member_counts(&self) -> MemberCounts {
        let status = self.view.status();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        MemberCounts {
            live: count(self.table.live_count() + 1),
            agreed: status.converged_at.map(|_| count(status.members)),
            configured: self.settings.configured_fleet_size,
        }
    }

    /// Number of gateways by which a shared quota must be divided.
    #[must_use]
    pub fn quota_divisor(&self, load: Load) -> u32 {
        self.fleet_size.divisor(load)
    }

    /// Whether this gateway has synced its member table with another gateway since its start or the
    /// last pause, or knows no other gateway to sync with.
    #[must_use]
    pub const fn synced(&self) -> bool {
        self.sync.synced
    }

    /// Current incarnation of this gateway.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.local.incarnation
    }

    /// Local health of this gateway.
    #[must_use]
    pub const fn local_health(&self) -> LocalHealth {
        self.health
    }

    /// Counters since the start of this process.
    #[must_use]
    pub const fn counters(&self) -> MessageCounters {
        self.counters
    }

    /// Injects a fault, for tests that verify checkers.
    #[cfg(feature = "mutants")]
    pub const fn inject_fault(&mut self, fault: crate::view::InjectedFault) {
        self.view.fault = Some(fault);
        self.table.accepts_stale_updates = matches!(fault, crate::view::InjectedFault::AcceptStale);
    }

    /// Detects that this process did not run for a long time. Must be called before anything else
    /// is done, so that answers that could not be received in the meantime do not count as missing.
    /// Returns the time, clamped so that it never goes backwards.
    pub(crate) fn detect_pause(&mut self, now: Time, effects: &mut Vec<Effect>) -> Time {
        let now = now.max(self.last_call_at);
        let gap = now - self.last_call_at;
        self.last_call_at = now;
        if gap < self.settings.probe_interval.times(PAUSE_PERIODS) {
            return now;
        }
        self.counters.paused += 1;
        self.probes.clear();
        self.health.degrade_fully();
        self.view.reset_agreement(self.table.live());
        let synced = self.settings.has_no_other_seeds() && self.table.live_count() == 0;
        self.sync.restart(synced, now);
        self.probe_at = now;
        for suspicion in self.suspicions.values_mut() {
            suspicion.postpone(gap);
        }
        // Other gateways may have declared this one dead during the pause. A later incarnation
        // overrides that.
        self.local.incarnation.number += 1;
        effects.push(Effect::Event(MembershipEvent::ProcessPaused(gap)));
        now
    }

    /// Re-evaluates convergence of the view, and updates the fleet size.
    pub(crate) fn update_convergence(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.update_view_digest(now);
        let knowledge = if self.sync.synced && !self.local.has_left() {
            LocalKnowledge::Complete
        } else {
            LocalKnowledge::Incomplete
        };
        let event = match self.view.update_convergence(knowledge, now) {
            None => None,
            Some(Convergence::Converged) => {
                Some(MembershipEvent::ViewConverged(self.view.status()))
            }
            Some(Convergence::Diverged) => Some(MembershipEvent::ViewDiverged),
        };
        effects.extend(event.map(Effect::Event));
        let counts = self.member_counts();
        let convergence = if counts.agreed.is_some() {
            Convergence::Converged
        } else {
            Convergence::Diverged
        };
        let live = self.sync.synced.then_some(counts.live);
        self.fleet_size.update(live, convergence, now);
    }

    /// Recomputes the digest of the view from the current member table and this gateway.
    pub(crate) fn update_view_digest(&mut self, now: Time) {
        let digest = self.table.view_digest() ^ self.local.view_digest();
        self.view.set_digest(digest, self.table.live(), now);
    }

    /// Selects up to `count` distinct live members uniformly at random.
    pub(crate) fn random_live_members(
        &mut self,
        count: usize,
        excluded: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let live = self.table.live();
        if live.len() <= 4 * count {
            let candidates = live
                .iter()
                .copied()
                .filter(|address| Some(*address) != excluded)
                .collect();
            return self.sample(candidates, count);
        }
        let mut selected = vec![];
        while selected.len() < count {
            let address = live[random_below(&mut self.rng, live.len())];
            if Some(address) != excluded && !selected.contains(&address) {
                selected.push(address);
            }
        }
        selected
    }

    /// Selects up to `count` of the candidates uniformly at random, in random order.
    pub(crate) fn sample(
        &mut self,
        mut candidates: Vec<SocketAddr>,
        count: usize,
    ) -> Vec<SocketAddr> {
        let count = count.min(candidates.len());
        for index in 0..count {
            let other = index + random_below(&mut self.rng, candidates.len() - index);
            candidates.swap(index, other);
        }
        candidates.truncate(count);
        candidates
    }
}

/// Returns a random number from 0 to 1, both included.
pub(crate) fn random_fraction(rng: &mut Xoshiro256PlusPlus) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

/// Returns a random integer in `0..end`, or 0 if `end` is 0.
pub(crate) fn random_below(rng: &mut Xoshiro256PlusPlus, end: usize) -> usize {
    usize::try_from(rng.next_u64() % end.max(1) as u64).unwrap_or(0)
}
