//! Gossip: the broadcast queue, merging of received updates, and sending of datagrams with updates.
//!
//! Inputs are updates; the outputs are effects. The queue holds at most one update per known
//! gateway, and each is sent a bounded number of times. Sending is limited by a budget in bytes per
//! second: what is beyond it is not sent, which is the same as lost, and is counted.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand_core::RngCore;
use valehatch_policy::Time;

use crate::events::{Effect, MembershipEvent};
use crate::local_member::OwnUpdateOutcome;
use crate::member_table::{Member, Merge, MergeOutcome, hash_with};
use crate::suspicion::Suspicion;
use crate::view_changes::ViewChange;
use crate::wire::{Datagram, MemberState, MemberUpdate, Message};
use crate::{Membership, draw_below};

/// Transmissions of an update per power of ten of the fleet size, so that each gateway gets it with
/// a probability near one.
const TRANSMISSIONS_PER_MAGNITUDE: u32 = 4;
/// Queue length from which on updates are sent [`TRANSMISSIONS_WHEN_FULL`] times, and anti-entropy
/// brings the rest. Otherwise a start of a thousand gateways would make each send every update
/// sixteen times.
const FULL_QUEUE: usize = 64;
/// Transmissions of each update while the queue is that long.
const TRANSMISSIONS_WHEN_FULL: u32 = 2;
/// Updates that can fit into a datagram, at most.
pub(crate) const MAX_UPDATES_PER_DATAGRAM: usize = 16;
/// Fraction of the byte budget that datagrams of [`Membership::spread`] may use.
const SPREAD_BUDGET_FRACTION: f64 = 0.5;
/// Queue length from which on probes alone spread updates too slowly, and extra datagrams are sent.
const SPREAD_FROM_QUEUED: usize = 8;
/// Periods between extra datagrams.
const SPREAD_PERIODS: f64 = 0.1;
/// Extra datagrams with an unchanged view after which the interval between them is doubled.
const UNCHANGED_PER_DOUBLING: u32 = 10;
/// How often the interval is doubled at most.
const MAX_DOUBLINGS: u32 = 5;
/// Shortest suspicion timeout, in periods: the suspicion reaches its subject with the next probe,
/// and the refutation reaches all gateways within a few more.
const MIN_SUSPICION_PERIODS: f64 = 4.0;

/// Order in which updates are sent: those sent least often first, and of these the newest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    transmissions: u32,
    /// Decreases with each added update.
    age: u64,
}

/// Updates that are still to be sent, one per member at most: a newer one replaces the older.
#[derive(Debug, Default)]
pub struct BroadcastQueue {
    priorities: BTreeMap<SocketAddr, Priority>,
    updates: BTreeMap<Priority, MemberUpdate>,
    added: u64,
}

impl BroadcastQueue {
    /// Adds a new update.
    pub fn add(&mut self, update: MemberUpdate) {
        self.remove(&update.address);
        self.added += 1;
        let priority = Priority {
            transmissions: 0,
            age: u64::MAX - self.added,
        };
        self.updates.insert(priority, update);
        self.priorities.insert(update.address, priority);
    }

    /// Removes the update about a member.
    pub fn remove(&mut self, address: &SocketAddr) {
        if let Some(priority) = self.priorities.remove(address) {
            self.updates.remove(&priority);
        }
    }

    /// The updates to send next.
    pub fn next(&self, max_updates: usize) -> impl Iterator<Item = MemberUpdate> {
        self.updates.values().take(max_updates).copied()
    }

    /// Counts a transmission of these updates, in a fleet of this size. Updates that were sent
    /// often enough are removed.
    pub fn transmitted(&mut self, updates: &[MemberUpdate], fleet_size: usize) {
        let max_transmissions = if self.len() > FULL_QUEUE {
            TRANSMISSIONS_WHEN_FULL
        } else {
            TRANSMISSIONS_PER_MAGNITUDE * (1 + fleet_size.max(1).ilog10())
        };
        for update in updates {
            let Some(priority) = self.priorities.get_mut(&update.address) else {
                continue;
            };
            // An update that was replaced meanwhile is not counted for its successor.
            if self.updates.get(priority) != Some(update) {
                continue;
            }
            self.updates.remove(priority);
            priority.transmissions += 1;
            if priority.transmissions >= max_transmissions {
                self.priorities.remove(&update.address);
            } else {
                self.updates.insert(*priority, *update);
            }
        }
    }

    /// The number of updates in the queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.priorities.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.priorities.is_empty()
    }
}

/// Token bucket for sent bytes; its capacity is one second's worth.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    bytes_per_second: f64,
    available: f64,
    refilled_at: Time,
}

impl ByteBudget {
    pub(crate) fn new(bytes_per_second: u32, now: Time) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            available: f64::from(bytes_per_second),
            refilled_at: now,
        }
    }

    /// Takes bytes out of the bucket unless less than this fraction of its capacity would be left.
    fn try_acquire(&mut self, bytes: usize, reserved_fraction: f64, now: Time) -> bool {
        let refill = (now - self.refilled_at).as_f64() / 1e6 * self.bytes_per_second;
        self.available = (self.available + refill).min(self.bytes_per_second);
        self.refilled_at = now;
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        if self.available - bytes < reserved_fraction * self.bytes_per_second {
            return false;
        }
        self.available -= bytes;
        true
    }
}

/// When extra datagrams are sent, and how long the view has not changed meanwhile.
#[derive(Debug)]
pub(crate) struct SpreadState {
    next_at: Time,
    digest: u64,
    agreeing_members: usize,
    unchanged: u32,
}

impl SpreadState {
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            next_at: now,
            digest: 0,
            agreeing_members: 0,
            unchanged: 0,
        }
    }
}

impl Membership {
    /// Merges an update of any source.
    pub(crate) fn apply_update(
        &mut self,
        update: &MemberUpdate,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        if update.address == self.local.address {
            return self.apply_own_update(update, effects);
        }
        let merge = self.table.merge_update(update, now);
        if let Some(change) = ViewChange::from_merge(update, merge, now) {
            self.view.record_change(change);
        }
        match merge.outcome {
            MergeOutcome::TableFull => {
                self.counters.table_full += 1;
                return;
            }
            MergeOutcome::Unchanged => return self.confirm_suspicion(update),
            // A gateway that is already gone is remembered, but not passed on.
            MergeOutcome::Joined if !update.state.is_live() => return,
            _ => {}
        }
        // An earlier suspicion was of an earlier incarnation, or is decided.
        self.suspicions.remove(&update.address);
        if update.state == MemberState::Suspect {
            let others = self.table.live_count().saturating_sub(1);
            let min_timeout = self.settings.probe_interval.times(MIN_SUSPICION_PERIODS);
            let suspicion = Suspicion::new(
                update.incarnation,
                update.reporter,
                others,
                min_timeout,
                now,
            );
            self.suspicions.insert(update.address, suspicion);
        }
        self.broadcasts.add(*update);
        effects.extend(event_of(update, merge).map(Effect::Event));
    }

    /// Merges the updates of a datagram, and that its sender is alive unless it says that it
    /// leaves.
    pub(crate) fn apply_updates(
        &mut self,
        from: SocketAddr,
        datagram: &Datagram,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        let is_leaving = datagram
            .updates
            .iter()
            .any(|update| update.address == from && update.state == MemberState::Left);
        if !is_leaving {
            let sender = MemberUpdate {
                address: from,
                incarnation: datagram.incarnation,
                state: MemberState::Alive,
                reporter: 0,
                metadata: datagram.metadata,
            };
            self.apply_update(&sender, now, effects);
        }
        for update in &datagram.updates {
            self.apply_update(update, now, effects);
        }
        let Some(member) = self.table.get_mut(&from) else {
            return;
        };
        member.uses_old_incarnation = member.incarnation > datagram.incarnation;
        if member.incarnation == datagram.incarnation {
            member.last_message_at = Some(now);
        }
    }

    fn apply_own_update(&mut self, update: &MemberUpdate, effects: &mut Vec<Effect>) {
        let own = self.local.on_update(update);
        if own.duplicate_detected {
            let event = MembershipEvent::DuplicateIdentity(update.incarnation);
            effects.push(Effect::Event(event));
        }
        if own.outcome == OwnUpdateOutcome::Refuted {
            self.counters.refuted += 1;
            effects.push(Effect::Event(MembershipEvent::Refuted));
        }
    }

    /// Passes a suspicion on if it is of another reporter than those known.
    fn confirm_suspicion(&mut self, update: &MemberUpdate) {
        if update.state != MemberState::Suspect {
            return;
        }
        let Some(suspicion) = self.suspicions.get_mut(&update.address) else {
            return;
        };
        if suspicion.incarnation == update.incarnation && suspicion.confirm(update.reporter) {
            self.broadcasts.add(*update);
        }
    }

    /// Sends a datagram with updates from the queue.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        let updates: Vec<MemberUpdate> = self.broadcasts.next(MAX_UPDATES_PER_DATAGRAM).collect();
        self.send_with(to, message, &updates, 0.0, now, effects);
    }

    /// Sends a datagram with as many of these updates as fit, unless less than the reserved
    /// fraction of the byte budget would be left. Returns how many of the updates were sent.
    pub(crate) fn send_with(
        &mut self,
        to: SocketAddr,
        message: Message,
        updates: &[MemberUpdate],
        reserved_fraction: f64,
        now: Time,
        effects: &mut Vec<Effect>,
    ) -> usize {
        self.update_view_digest(now);
        let mut all = self.mandatory_updates(&to);
        let mandatory = all.len();
        all.extend(updates.iter().filter(|u| u.address != to).copied());
        let encoded = self.datagram(message).encode_with(&all);
        let bytes = encoded.bytes;
        if !self.budget.try_acquire(bytes.len(), reserved_fraction, now) {
            self.counters.rate_limited += 1;
            return 0;
        }
        self.broadcasts
            .transmitted(&all[..encoded.updates], self.table.live_count() + 1);
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        effects.push(Effect::Send { to, bytes });
        encoded.updates.saturating_sub(mandatory)
    }

    /// A datagram without updates.
    pub(crate) fn datagram(&mut self, message: Message) -> Datagram {
        let rotation = self.rng.next_u32();
        Datagram {
            incarnation: self.local.incarnation,
            metadata: self.local.metadata,
            agreement: self.view.agreement(self.table.live(), rotation),
            message,
            updates: vec![],
        }
    }

    /// Updates with which each datagram to a gateway begins: that this gateway leaves, and what is
    /// claimed about the receiver unless that is that it is alive in its current incarnation. It
    /// must know of a claim to refute it.
    pub(crate) fn mandatory_updates(&self, to: &SocketAddr) -> Vec<MemberUpdate> {
        let own = self.local.has_left().then(|| self.local.update());
        let about_receiver = self
            .table
            .get(to)
            .filter(|m| m.state != MemberState::Alive || m.uses_old_incarnation)
            .map(|m| self.update_about(to, m));
        own.into_iter().chain(about_receiver).collect()
    }

    /// What this gateway passes on about a member.
    pub(crate) fn update_about(&self, address: &SocketAddr, member: &Member) -> MemberUpdate {
        let reporter = if member.state == MemberState::Suspect {
            self.reporter_hash()
        } else {
            0
        };
        MemberUpdate {
            address: *address,
            incarnation: member.incarnation,
            state: member.state,
            reporter,
            metadata: member.metadata,
        }
    }

    /// Identifies this gateway as the reporter of a suspicion.
    pub(crate) fn reporter_hash(&self) -> u16 {
        let hash = hash_with(&self.local.address, |_| {});
        u16::try_from(hash & 0xffff).unwrap_or(0)
    }

    /// When [`Self::spread`] is due next; `None` while probes are enough.
    pub(crate) fn next_spread(&self) -> Option<Time> {
        self.needs_spread().then_some(self.spread.next_at)
    }

    fn has_many_broadcasts(&self) -> bool {
        self.broadcasts.len() >= SPREAD_FROM_QUEUED
    }

    fn needs_spread(&self) -> bool {
        self.has_many_broadcasts() || !self.view.all_agree()
    }

    /// Sends an extra datagram while many updates are queued, or while not all members are known to
    /// agree on the view.
    ///
    /// In the latter case members of this gateway's own block get it first: they learn of each
    /// other within a few datagrams, and of complete blocks within a few more.
    pub(crate) fn spread(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.spread.next_at || self.local.has_left() || !self.needs_spread() {
            return;
        }
        self.count_unchanged_spreads();
        self.spread.next_at = now + self.settings.probe_interval.times(self.spread_periods());
        let Some(to) = self.draw_spread_target() else {
            return;
        };
        let updates: Vec<MemberUpdate> = self.broadcasts.next(MAX_UPDATES_PER_DATAGRAM).collect();
        let reserved = 1.0 - SPREAD_BUDGET_FRACTION;
        self.send_with(to, Message::Gossip, &updates, reserved, now, effects);
    }

    fn count_unchanged_spreads(&mut self) {
        let status = self.view.status();
        let is_unchanged = self.spread.digest == status.digest
            && self.spread.agreeing_members == status.agreeing_members;
        self.spread.unchanged = if is_unchanged {
            self.spread.unchanged + 1
        } else {
            0
        };
        self.spread.digest = status.digest;
        self.spread.agreeing_members = status.agreeing_members;
    }

    fn spread_periods(&self) -> f64 {
        if self.broadcasts.len() >= FULL_QUEUE {
            return SPREAD_PERIODS / 2.0;
        }
        let doublings = if self.has_many_broadcasts() {
            0
        } else {
            (self.spread.unchanged / UNCHANGED_PER_DOUBLING).min(MAX_DOUBLINGS)
        };
        SPREAD_PERIODS * f64::from(1 << doublings)
    }

    fn draw_spread_target(&mut self) -> Option<SocketAddr> {
        let own_block = if self.has_many_broadcasts() {
            None
        } else {
            self.view.own_incomplete_block(self.table.live())
        };
        match own_block.filter(|block| !block.is_empty()) {
            Some(block) => {
                let index = block.start + draw_below(&mut self.rng, block.len());
                self.table.live().get(index).copied()
            }
            None => self.draw_live(1, None).pop(),
        }
    }
}

/// The event to report for an update that changed the member table.
const fn event_of(update: &MemberUpdate, merge: Merge) -> Option<MembershipEvent> {
    let address = update.address;
    Some(match (merge.outcome, update.state) {
        (MergeOutcome::Joined, _) => MembershipEvent::Joined(address),
        (MergeOutcome::Restarted, MemberState::Alive | MemberState::Suspect) => {
            MembershipEvent::Restarted(address)
        }
        (MergeOutcome::Refreshed | MergeOutcome::Unchanged | MergeOutcome::TableFull, _) => {
            return None;
        }
        (_, MemberState::Suspect) => MembershipEvent::Suspected(address),
        (_, MemberState::Dead) => MembershipEvent::Failed(address),
        (_, MemberState::Left) => MembershipEvent::Left(address),
        (MergeOutcome::StateChanged(MemberState::Suspect), MemberState::Alive) => {
            MembershipEvent::SuspicionCleared(address)
        }
        (MergeOutcome::StateChanged(_), MemberState::Alive) => MembershipEvent::Joined(address),
    })
}
