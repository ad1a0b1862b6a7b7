//! The failure detector: pings, indirect pings, suspicions, declarations of death, and reconnection
//! to members that are dead or have left.
//!
//! Inputs are time (whole microseconds) and acks and nacks from other gateways; outputs are
//! effects. Each period, one member is pinged. If it does not answer, it is pinged again and some
//! helpers are asked to ping it. If they get no answer either, the member is suspected, and if it
//! does not refute the suspicion in time, it is declared dead.
//!
//! Periods are scaled by the local health. One probe is started per period and ends after one
//! period; at most 64 pings relayed for other gateways are outstanding.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use valehatch_policy::{Span, Time};

use crate::events::Effect;
use crate::wire::{MemberMetadata, MemberState, MemberUpdate, Message};
use crate::{Membership, random_fraction};

/// Maximum number of outstanding pings relayed for other gateways. A request beyond that is
/// dropped, and its sender counts this gateway as a silent helper.
const MAX_RELAYED_PINGS: usize = 64;
/// Number of helpers that are asked for an indirect ping.
const INDIRECT_PINGS: usize = 3;
/// Fraction of a period within which the answer to a direct ping must arrive; the rest is for
/// indirect pings.
pub(crate) const DIRECT_PING_FRACTION: f64 = 0.4;
/// Periods between pings to members that are dead or have left.
const RECONNECT_PERIODS: f64 = 4.0;

/// An outstanding probe of a member by this gateway.
#[derive(Clone, Debug)]
struct Probe {
    target: SocketAddr,
    /// When the direct ping is repeated; `None` after that.
    repeat_at: Option<Time>,
    /// When helpers are asked for indirect pings.
    indirect_at: Time,
    /// When the probe fails unless an ack has arrived.
    fails_at: Time,
    /// Helpers that were asked; `None` before `indirect_at`.
    helpers: Option<Vec<SocketAddr>>,
    /// Helpers that have sent a nack.
    nacks: BTreeSet<SocketAddr>,
}

impl Probe {
    fn was_asked(&self, helper: &SocketAddr) -> bool {
        self.helpers
            .as_ref()
            .is_some_and(|helpers| helpers.contains(helper))
    }

    fn next_due(&self) -> Time {
        match (self.repeat_at, &self.helpers) {
            (Some(repeat_at), _) => repeat_at,
            (None, None) => self.indirect_at,
            (None, Some(_)) => self.fails_at,
        }
    }
}

/// A ping that this gateway sends on behalf of another one.
#[derive(Clone, Copy, Debug)]
struct RelayedPing {
    requester: PingId,
    target: SocketAddr,
    /// When a nack is due; once the nack is sent, when the ping is removed.
    until: Time,
    nack_sent: bool,
}

/// Identifies a ping: sequence numbers are unique only per sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PingId {
    pub(crate) sender: SocketAddr,
    pub(crate) number: u32,
}

/// A ping that is due to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutgoingPing {
    pub(crate) number: u32,
    pub(crate) target: SocketAddr,
}

/// When each step of a probe is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeDeadlines {
    pub(crate) repeat_at: Time,
    pub(crate) indirect_at: Time,
    pub(crate) fails_at: Time,
}

/// A probe that ended without an ack.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedProbe {
    pub(crate) target: SocketAddr,
    /// Number of helpers that sent neither ack nor nack; `None` if no helper was asked.
    pub(crate) silent_helpers: Option<usize>,
}

/// Outstanding probes, and pings relayed for other gateways, by sequence number.
#[derive(Debug)]
pub(crate) struct Probes {
    last_number: u32,
    own: BTreeMap<u32, Probe>,
    relayed: BTreeMap<u32, RelayedPing>,
}

impl Probes {
    pub(crate) const fn new(first_number: u32) -> Self {
        Self {
            last_number: first_number,
            own: BTreeMap::new(),
            relayed: BTreeMap::new(),
        }
    }

    /// Allocates a sequence number. The answer to a ping that is not registered is ignored.
    pub(crate) const fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Registers a probe and returns its sequence number.
    pub(crate) fn start(&mut self, target: SocketAddr, deadlines: ProbeDeadlines) -> u32 {
        let number = self.next_number();
        let probe = Probe {
            target,
            repeat_at: Some(deadlines.repeat_at),
            indirect_at: deadlines.indirect_at,
            fails_at: deadlines.fails_at,
            helpers: None,
            nacks: BTreeSet::new(),
        };
        self.own.insert(number, probe);
        number
    }

    /// Handles an ack from the target or from a helper. Returns whether it answers an outstanding
    /// probe.
    pub(crate) fn on_ack(&mut self, ack: PingId) -> bool {
        let is_answer = self
            .own
            .get(&ack.number)
            .is_some_and(|probe| probe.target == ack.sender || probe.was_asked(&ack.sender));
        is_answer && self.own.remove(&ack.number).is_some()
    }

    /// Handles a nack from a helper.
    pub(crate) fn on_nack(&mut self, nack: PingId) {
        let Some(probe) = self.own.get_mut(&nack.number) else {
            return;
        };
        if probe.was_asked(&nack.sender) {
            probe.nacks.insert(nack.sender);
        }
    }

    /// Takes the next ping that is due to be repeated: a single datagram may get lost, two rarely
    /// are.
    pub(crate) fn take_repeat(&mut self, now: Time) -> Option<OutgoingPing> {
        let is_due =
            |probe: &Probe| probe.repeat_at.is_some_and(|at| at <= now) && now < probe.fails_at;
        let (number, probe) = self.own.iter_mut().find(|(_, probe)| is_due(probe))?;
        probe.repeat_at = None;
        Some(OutgoingPing {
            number: *number,
            target: probe.target,
        })
    }

    /// Returns the next probe for which helpers must be asked.
    pub(crate) fn next_indirect(&self, now: Time) -> Option<OutgoingPing> {
        let is_due = |probe: &Probe| {
            probe.helpers.is_none() && probe.indirect_at <= now && now < probe.fails_at
        };
        let (number, probe) = self.own.iter().find(|(_, probe)| is_due(probe))?;
        Some(OutgoingPing {
            number: *number,
            target: probe.target,
        })
    }

    /// Records which helpers were asked for a probe.
    pub(crate) fn set_helpers(&mut self, number: u32, helpers: &[SocketAddr]) {
        if let Some(probe) = self.own.get_mut(&number) {
            probe.helpers = Some(helpers.to_vec());
        }
    }

    /// Removes the next probe that has failed.
    pub(crate) fn take_failed(&mut self, now: Time) -> Option<FailedProbe> {
        let number = *self.own.iter().find(|(_, probe)| probe.fails_at <= now)?.0;
        let probe = self.own.remove(&number)?;
        let silent_helpers = probe
            .helpers
            .filter(|helpers| !helpers.is_empty())
            .map(|helpers| helpers.len() - probe.nacks.len());
        Some(FailedProbe {
            target: probe.target,
            silent_helpers,
        })
    }

    /// Registers a ping for another gateway and returns its sequence number; `None` if
    /// [`MAX_RELAYED_PINGS`] are outstanding.
    pub(crate) fn relay(
        &mut self,
        requester: PingId,
        target: SocketAddr,
        nack_at: Time,
    ) -> Option<u32> {
        if self.relayed.len() >= MAX_RELAYED_PINGS {
            return None;
        }
        let number = self.next_number();
        let ping = RelayedPing {
            requester,
            target,
            until: nack_at,
            nack_sent: false,
        };
        self.relayed.insert(number, ping);
        Some(number)
    }

    /// Handles an ack from the target of a relayed ping, and returns the requester's ping that it
    /// acknowledges.
    pub(crate) fn take_relayed(&mut self, ack: PingId) -> Option<PingId> {
        self.relayed
            .get(&ack.number)
            .filter(|ping| ping.target == ack.sender)?;
        self.relayed.remove(&ack.number).map(|ping| ping.requester)
    }

    /// Takes the relayed pings for which a nack is due. Each gets one nack; an ack that arrives
    /// within `grace` after it is still relayed.
    pub(crate) fn take_due_nacks(&mut self, now: Time, grace: Span) -> Vec<PingId> {
        let is_over = |ping: &RelayedPing| ping.until <= now;
        let nacks = self
            .relayed
            .values()
            .filter(|ping| is_over(ping) && !ping.nack_sent)
            .map(|ping| ping.requester)
            .collect();
        self.relayed
            .retain(|_, ping| !(is_over(ping) && ping.nack_sent));
        for ping in self.relayed.values_mut().filter(|ping| is_over(ping)) {
            ping.nack_sent = true;
            ping.until = now + grace;
        }
        nacks
    }

    /// When the next step of any outstanding ping is due.
    pub(crate) fn next_due(&self) -> Option<Time> {
        let own = self.own.values().map(Probe::next_due);
        let relayed = self.relayed.values().map(|ping| ping.until);
        own.chain(relayed).min()
    }

    /// Drops all outstanding pings.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
        self.relayed.clear();
    }
}

impl Membership {
    /// Starts a probe of the next member, and schedules the one after it.
    pub(crate) fn start_probe(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let interval = self.settings.probe_interval;
        let period = self.health.scale(interval);
        self.probe_at = now + period;
        if self.local.has_left() {
            return;
        }
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let direct = self.health.scale(interval.times(DIRECT_PING_FRACTION));
        let deadlines = ProbeDeadlines {
            repeat_at: now + direct.times(0.5),
            indirect_at: now + direct,
            fails_at: now + period,
        };
        let number = self.probes.start(target, deadlines);
        self.send(target, Message::Ping(number), now, effects);
    }

    /// Selects each member once per round, in a new random order each round, so that every failure
    /// is detected within two rounds whatever the order.
    fn next_probe_target(&mut self) -> Option<SocketAddr> {
        loop {
            let Some(next) = self.probe_round.pop() else {
                let live = self.table.live().to_vec();
                let count = live.len();
                if count == 0 {
                    return None;
                }
                self.probe_round = self.sample(live, count);
                continue;
            };
            if self.table.is_live(&next) {
                return Some(next);
            }
        }
    }

    /// Repeats pings, asks helpers, sends nacks, and suspects members that did not answer.
    pub(crate) fn continue_probes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some(ping) = self.probes.take_repeat(now) {
            self.send(ping.target, Message::Ping(ping.number), now, effects);
        }
        while let Some(ping) = self.probes.next_indirect(now) {
            // The direct path is tried once more, since it rarely fails together with the indirect
            // ones.
            self.send(ping.target, Message::Ping(ping.number), now, effects);
            let helpers = self.random_live_members(INDIRECT_PINGS, Some(ping.target));
            self.probes.set_helpers(ping.number, &helpers);
            for helper in helpers {
                let request = Message::IndirectPing(ping.number, ping.target);
                self.send(helper, request, now, effects);
            }
        }
        for requester in self
            .probes
            .take_due_nacks(now, self.settings.probe_interval)
        {
            let nack = Message::Nack(requester.number);
            self.send(requester.sender, nack, now, effects);
        }
        while let Some(failed) = self.probes.take_failed(now) {
            self.on_failed_probe(failed, now, effects);
        }
    }

    fn on_failed_probe(&mut self, failed: FailedProbe, now: Time, effects: &mut Vec<Effect>) {
        // Silent helpers indicate that this gateway itself does not receive datagrams.
        let penalty = failed
            .silent_helpers
            .map_or(1, |n| u32::try_from(n).unwrap_or(u32::MAX));
        self.health.degrade(penalty);
        let Some(member) = self.table.get(&failed.target) else {
            return;
        };
        if !member.state.is_live() {
            return;
        }
        let suspicion = MemberUpdate {
            state: MemberState::Suspect,
            reporter: self.reporter_hash(),
            ..self.update_about(&failed.target, member)
        };
        self.counters.suspected += u64::from(member.state == MemberState::Alive);
        self.apply_update(&suspicion, now, effects);
    }

    /// Handles an ack, which is either for a probe of this gateway or relayed to the requester of
    /// an indirect ping.
    pub(crate) fn on_ack(&mut self, ack: PingId, now: Time, effects: &mut Vec<Effect>) {
        if let Some(requester) = self.probes.take_relayed(ack) {
            let ack = Message::Ack(requester.number);
            self.send(requester.sender, ack, now, effects);
        } else if self.probes.on_ack(ack) {
            self.health.improve();
        }
    }

    /// Pings a member for another gateway. Only known members are pinged; otherwise any sender
    /// could make this gateway send datagrams to arbitrary addresses.
    pub(crate) fn on_indirect_ping(
        &mut self,
        requester: PingId,
        target: SocketAddr,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        if self.table.get(&target).is_none() || self.local.has_left() {
            return;
        }
        let wait = (1.0 - DIRECT_PING_FRACTION) / 2.0;
        let nack_at = now + self.settings.probe_interval.times(wait);
        if let Some(number) = self.probes.relay(requester, target, nack_at) {
            self.send(target, Message::Ping(number), now, effects);
        }
    }

    /// Declares members dead whose suspicion has timed out without a refutation.
    pub(crate) fn expire_suspicions(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let expired: Vec<_> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| suspicion.deadline() <= now)
            .map(|(address, suspicion)| (*address, suspicion.incarnation))
            .collect();
        for (address, incarnation) in expired {
            self.counters.failed += 1;
            let metadata = self
                .table
                .get(&address)
                .map_or(MemberMetadata::default(), |member| member.metadata);
            let death = MemberUpdate {
                address,
                incarnation,
                state: MemberState::Dead,
                reporter: 0,
                metadata,
            };
            self.apply_update(&death, now, effects);
        }
    }

    /// Pings a gateway that is dead or has left, or a seed that is not live. This heals network
    /// partitions, and lets gateways that start together discover each other. While no member is
    /// live, it runs more often and pings more gateways.
    pub(crate) fn reconnect(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let is_alone = self.table.live_count() == 0;
        let periods = if is_alone { 1.0 } else { RECONNECT_PERIODS };
        let jitter = 0.5 + random_fraction(&mut self.rng);
        self.reconnect_at = now + self.settings.probe_interval.times(periods * jitter);
        if self.local.has_left() {
            return;
        }
        for address in self.table.expire(now) {
            self.broadcasts.remove(&address);
        }
        let candidates = self.reconnect_candidates();
        let count = if self.table.live_count() == 0 {
            INDIRECT_PINGS
        } else {
            1
        };
        for target in self.sample(candidates.into_iter().collect(), count) {
            let number = self.probes.next_number();
            self.send(target, Message::Ping(number), now, effects);
        }
    }

    fn reconnect_candidates(&self) -> BTreeSet<SocketAddr> {
        let seeds = self
            .settings
            .seeds
            .iter()
            .filter(|seed| **seed != self.local.address && !self.table.is_live(seed));
        let gone = self
            .table
            .iter()
            .filter(|(_, member)| !member.state.is_live())
            .map(|(address, _)| address);
        #[cfg(feature = "mutants")]
        if self.view.fault == Some(crate::view::InjectedFault::ForgetPartition) {
            return seeds
                .filter(|seed| self.table.get(seed).is_none())
                .copied()
                .collect();
        }
        seeds.chain(gone).copied().collect()
    }
}
