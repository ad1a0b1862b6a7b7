//! Gossip: the broadcast queue, merging of received updates, and sending of datagrams with updates.
//!
//! Inputs are updates; outputs are effects. The queue holds at most one update per known gateway,
//! and each is transmitted a bounded number of times. Sending is limited by a budget in bytes per
//! second: a datagram beyond it is counted and not sent, which has the same effect as a lost one.

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
use crate::{Membership, random_below};

/// Transmissions of an update per power of ten of the fleet size, so that each gateway receives it
/// with a probability near one.
const TRANSMISSIONS_PER_MAGNITUDE: u32 = 4;
/// Queue length above which each update is sent only [`TRANSMISSIONS_WHEN_FULL`] times, and
/// anti-entropy delivers the rest. Otherwise, when a thousand gateways start at once, each of them
/// would send every update sixteen times.
const FULL_QUEUE: usize = 64;
/// Transmissions of each update while the queue is longer than [`FULL_QUEUE`].
const TRANSMISSIONS_WHEN_FULL: u32 = 2;
/// Maximum number of updates in a datagram.
pub(crate) const MAX_UPDATES_PER_DATAGRAM: usize = 16;
/// Fraction of the byte budget that dedicated gossip datagrams may use.
const GOSSIP_BUDGET_FRACTION: f64 = 0.5;
/// Queue length from which piggybacking on probes alone disseminates updates too slowly, so that
/// dedicated gossip datagrams are sent.
const GOSSIP_QUEUE_THRESHOLD: usize = 8;
/// Periods between dedicated gossip datagrams.
const GOSSIP_PERIODS: f64 = 0.1;
/// Number of gossip datagrams with an unchanged view after which the interval is doubled.
const UNCHANGED_PER_DOUBLING: u32 = 10;
/// Maximum number of times that the interval is doubled.
const MAX_DOUBLINGS: u32 = 5;
/// Shortest suspicion timeout, in periods. The suspected member learns of the suspicion with the
/// next probe, and its refutation reaches all gateways within a few more periods.
const MIN_SUSPICION_PERIODS: f64 = 4.0;

/// Transmission order of updates: those sent least often first, and among these the newest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    transmissions: u32,
    /// Decreases with each added update, so that a newer update sorts first.
    age: u64,
}

/// Updates still to be transmitted, at most one per member: a newer update replaces an older one.
#[derive(Debug, Default)]
pub struct BroadcastQueue {
    priorities: BTreeMap<SocketAddr, Priority>,
    updates: BTreeMap<Priority, MemberUpdate>,
    added: u64,
}

impl BroadcastQueue {
    /// Queues an update, replacing the queued update about the same member.
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

    /// Removes the queued update about a member, if any.
    pub fn remove(&mut self, address: &SocketAddr) {
        if let Some(priority) = self.priorities.remove(address) {
            self.updates.remove(&priority);
        }
    }

    /// The updates to send next, at most `max_updates`.
    pub fn next(&self, max_updates: usize) -> impl Iterator<Item = MemberUpdate> {
        self.updates.values().take(max_updates).copied()
    }

    /// Counts a transmission of these updates. Updates that were transmitted often enough for the
    /// fleet size are removed.
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
            // The queued update has replaced the transmitted one, so it is not counted.
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

    /// Number of queued updates.
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

    /// Takes bytes from the bucket, unless less than `reserved_fraction` of its capacity would
    /// remain.
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

/// When dedicated gossip datagrams are sent, and for how many of them the view has not changed.
#[derive(Debug)]
pub(crate) struct GossipSchedule {
    next_at: Time,
    digest: u64,
    agreeing_members: usize,
    unchanged: u32,
}

impl GossipSchedule {
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
    /// Merges an update from any source into the member table, and queues it for gossip if it is
    /// news.
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
            // A gateway that is first heard of as dead or departed is stored, but not gossiped.
            MergeOutcome::Joined if !update.state.is_live() => return,
            _ => {}
        }
        // A running suspicion concerned an earlier incarnation or is resolved by this update.
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

    /// Merges the updates of a datagram. The datagram also proves its sender alive, unless the
    /// sender announces that it leaves.
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

    /// Counts a suspicion as a confirmation, and gossips it if its reporter is new.
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

    /// Sends a datagram with updates piggybacked from the queue.
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
    /// fraction of the byte budget would remain. Returns the number of updates sent.
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

    /// Builds a datagram without updates.
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

    /// Updates that every datagram to a gateway starts with: the announcement that this gateway
    /// leaves, and the claim about the receiver, unless that says it is alive in its current
    /// incarnation. The receiver can refute a claim only if it knows of it.
    pub(crate) fn mandatory_updates(&self, to: &SocketAddr) -> Vec<MemberUpdate> {
        let own = self.local.has_left().then(|| self.local.update());
        let about_receiver = self
            .table
            .get(to)
            .filter(|m| m.state != MemberState::Alive || m.uses_old_incarnation)
            .map(|m| self.update_about(to, m));
        own.into_iter().chain(about_receiver).collect()
    }

    /// The update that this gateway gossips about a member.
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

    /// Hash that identifies this gateway as the reporter of a suspicion.
    pub(crate) fn reporter_hash(&self) -> u16 {
        let hash = hash_with(&self.local.address, |_| {});
        u16::try_from(hash & 0xffff).unwrap_or(0)
    }

    /// When [`Self::send_gossip`] is due next; `None` while piggybacking on probes suffices.
    pub(crate) fn next_gossip_due(&self) -> Option<Time> {
        self.needs_gossip().then_some(self.gossip_schedule.next_at)
    }

    fn has_many_broadcasts(&self) -> bool {
        self.broadcasts.len() >= GOSSIP_QUEUE_THRESHOLD
    }

    fn needs_gossip(&self) -> bool {
        self.has_many_broadcasts() || !self.view.all_agree()
    }

    /// Sends a dedicated gossip datagram while many updates are queued, or while not all members
    /// are known to agree on the view.
    ///
    /// In the latter case, members of this gateway's own block are preferred: they learn of each
    /// other's agreement within a few datagrams, and of complete blocks within a few more.
    pub(crate) fn send_gossip(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.gossip_schedule.next_at || self.local.has_left() || !self.needs_gossip() {
            return;
        }
        self.count_unchanged_rounds();
        self.gossip_schedule.next_at = now
            + self
                .settings
                .probe_interval
                .times(self.gossip_interval_periods());
        let Some(to) = self.random_gossip_target() else {
            return;
        };
        let updates: Vec<MemberUpdate> = self.broadcasts.next(MAX_UPDATES_PER_DATAGRAM).collect();
        let reserved = 1.0 - GOSSIP_BUDGET_FRACTION;
        self.send_with(to, Message::Gossip, &updates, reserved, now, effects);
    }

    fn count_unchanged_rounds(&mut self) {
        let status = self.view.status();
        let is_unchanged = self.gossip_schedule.digest == status.digest
            && self.gossip_schedule.agreeing_members == status.agreeing_members;
        self.gossip_schedule.unchanged = if is_unchanged {
            self.gossip_schedule.unchanged + 1
        } else {
            0
        };
        self.gossip_schedule.digest = status.digest;
        self.gossip_schedule.agreeing_members = status.agreeing_members;
    }

    fn gossip_interval_periods(&self) -> f64 {
        if self.broadcasts.len() >= FULL_QUEUE {
            return GOSSIP_PERIODS / 2.0;
        }
        let doublings = if self.has_many_broadcasts() {
            0
        } else {
            (self.gossip_schedule.unchanged / UNCHANGED_PER_DOUBLING).min(MAX_DOUBLINGS)
        };
        GOSSIP_PERIODS * f64::from(1 << doublings)
    }

    fn random_gossip_target(&mut self) -> Option<SocketAddr> {
        let own_block = if self.has_many_broadcasts() {
            None
        } else {
            self.view.own_incomplete_block(self.table.live())
        };
        match own_block.filter(|block| !block.is_empty()) {
            Some(block) => {
                let index = block.start + random_below(&mut self.rng, block.len());
                self.table.live().get(index).copied()
            }
            None => self.random_live_members(1, None).pop(),
        }
    }
}

/// The event to report for a merged update; `None` if callers need not know of it.
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
