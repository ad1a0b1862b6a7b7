//! What a caller can read of the membership's state, and the steps that keep that state up to date.
//!
//! Inputs are time in whole microseconds; nothing here sends datagrams.

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
    /// What is known about the others, in order of their addresses, including those that are gone
    /// and remembered.
    pub fn peers(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.table.iter()
    }

    /// The other gateways that are live, in order of their addresses.
    pub fn live_members(&self) -> impl Iterator<Item = SocketAddr> {
        self.table.live().iter().copied()
    }

    /// The view, and how far it is agreed on.
    #[must_use]
    pub const fn view_status(&self) -> ViewStatus {
        self.view.status()
    }

    /// The members of the view in order of their addresses, this gateway included, with those that
    /// are gone and remembered.
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

    /// The kept changes of the view after a version, each once and in order.
    pub fn changes_since(&self, version: u64) -> impl Iterator<Item = &ViewChange> {
        self.view.changes_since(version)
    }

    /// How many changes of the view after a version are no longer kept.
    #[must_use]
    pub fn missed_changes(&self, version: u64) -> u64 {
        self.view.missed_changes(version)
    }

    /// How many gateways there are.
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

    /// The number of gateways by which a shared quota is divided.
    #[must_use]
    pub fn quota_divisor(&self, load: Load) -> u32 {
        self.fleet_size.divisor(load)
    }

    /// Whether all that some gateway knew was known here once.
    #[must_use]
    pub const fn synced(&self) -> bool {
        self.sync.synced
    }

    /// This gateway's incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.local.incarnation
    }

    /// This gateway's local health.
    #[must_use]
    pub const fn local_health(&self) -> LocalHealth {
        self.health
    }

    /// Counters since the start.
    #[must_use]
    pub const fn counters(&self) -> MessageCounters {
        self.counters
    }

    /// Injects a fault, for tests of checkers.
    #[cfg(feature = "mutants")]
    pub const fn inject_fault(&mut self, fault: crate::view::InjectedFault) {
        self.view.fault = Some(fault);
        self.table.accepts_stale_updates = matches!(fault, crate::view::InjectedFault::AcceptStale);
    }

    /// Detects that this process did not run for long, before anything else is done: answers that
    /// it could not receive meanwhile must not count as missing. Returns the time, which never goes
    /// back.
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
        // Others may have declared this gateway dead meanwhile. A later incarnation overrides that.
        self.local.incarnation.number += 1;
        effects.push(Effect::Event(MembershipEvent::ProcessPaused(gap)));
        now
    }

    /// Updates whether the view has converged, and the fleet size.
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

    /// Sets the view's digest to that of what is known now.
    pub(crate) fn update_view_digest(&mut self, now: Time) {
        let digest = self.table.view_digest() ^ self.local.view_digest();
        self.view.set_digest(digest, self.table.live(), now);
    }

    /// Draws at most this many live members, each at most once, evenly.
    pub(crate) fn draw_live(
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
            return self.draw(candidates, count);
        }
        let mut drawn = vec![];
        while drawn.len() < count {
            let address = live[draw_below(&mut self.rng, live.len())];
            if Some(address) != excluded && !drawn.contains(&address) {
                drawn.push(address);
            }
        }
        drawn
    }

    /// Draws at most this many of the candidates, evenly, in random order.
    pub(crate) fn draw(
        &mut self,
        mut candidates: Vec<SocketAddr>,
        count: usize,
    ) -> Vec<SocketAddr> {
        let count = count.min(candidates.len());
        for index in 0..count {
            let other = index + draw_below(&mut self.rng, candidates.len() - index);
            candidates.swap(index, other);
        }
        candidates.truncate(count);
        candidates
    }
}

/// A number from 0 to 1.
pub(crate) fn draw_fraction(rng: &mut Xoshiro256PlusPlus) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

/// A whole number from 0 to below `end`; 0 if `end` is 0.
pub(crate) fn draw_below(rng: &mut Xoshiro256PlusPlus, end: usize) -> usize {
    usize::try_from(rng.next_u64() % end.max(1) as u64).unwrap_or(0)
}
