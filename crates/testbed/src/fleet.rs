//! A fleet of gateway memberships under a virtual clock, reproducible from one seed: the real
//! membership code on a simulated network that loses, delays, duplicates and reorders datagrams and
//! can be partitioned; gateways pause, die and restart. Invariants are checked after each step.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use valehatch_membership::view_changes::MemberStatus;
use valehatch_membership::wire::{Incarnation, MAX_DATAGRAM_BYTES, Phase};
use valehatch_membership::{Effect, Membership, MembershipEvent, Settings};
use valehatch_policy::{Span, Time};

use crate::view_checker::ViewChecker;

pub const START: Time = Time(100_000_000_000);
/// Receive queue of a paused gateway, in datagrams; more are lost.
const RECEIVE_QUEUE: usize = 256;
/// Number of gateways, the last ones, that may be given the address of another.
const MAX_SHARED_ADDRESSES: usize = 2;

/// Network conditions.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Share of datagrams that is lost.
    pub lost: f64,
    /// Share of datagrams that is delivered twice.
    pub duplicated: f64,
    /// Shortest and longest one-way delay; drawn for each datagram, so that datagrams are
    /// reordered.
    pub delay: (Span, Span),
}

/// A violated invariant, with a description.
#[derive(Clone, Debug)]
pub struct Violation(pub String);

enum SimEvent {
    Tick(usize, u32),
    Deliver {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Wake(usize),
}

struct Gateway {
    membership: Option<Membership>,
    /// Number of starts.
    generation: u32,
    /// End of the pause, while the gateway is paused.
    paused_until: Option<Time>,
    waiting: Vec<(usize, Vec<u8>)>,
    due: Time,
    /// The current second, and bytes sent in it.
    second: (i64, usize),
    bytes: u64,
    seen: Incarnation,
}

/// A membership event with its time and the gateway that reported it.
#[derive(Clone, Copy, Debug)]
pub struct RecordedEvent {
    pub at: Time,
    pub by: usize,
    pub note: MembershipEvent,
}

/// A hook that is run on a new membership before its gateway starts.
pub type StartHook = Box<dyn Fn(&mut Membership)>;

pub struct Fleet {
    pub now: Time,
    pub network: Network,
    pub notes: Vec<RecordedEvent>,
    gateways: Vec<Gateway>,
    seeds: usize,
    period: Span,
    bytes_s: u32,
    rng: Xoshiro256PlusPlus,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    pending: BTreeMap<usize, SimEvent>,
    next: u64,
    /// Whether datagrams of the first gateway reach the second; `None`: all do.
    reach: Option<Box<dyn Fn(usize, usize) -> bool>>,
    /// Index of the address that each gateway uses: its own, unless it shares another's.
    address_of: Vec<usize>,
    /// Hook for each starting gateway, used to inject faults.
    pub start_hook: Option<StartHook>,
    pub checker: ViewChecker,
    pub steps: u64,
}

pub fn address(n: usize) -> SocketAddr {
    let n = u32::try_from(n).unwrap_or(0);
    SocketAddr::new(Ipv4Addr::from(0x0a14_0000 + n + 1).into(), 7946)
}

fn number(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            usize::try_from(u32::from(ip) - 0x0a14_0001).unwrap_or(usize::MAX)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

impl Fleet {
    /// A fleet of `size` gateways, none started; each knows the first `seeds` of them at its start.
    pub fn new(
        size: usize,
        seeds: usize,
        period: Span,
        bytes_s: u32,
        network: Network,
        seed: u64,
    ) -> Self {
        let gateway = || Gateway {
            membership: None,
            generation: 0,
            paused_until: None,
            waiting: vec![],
            due: START,
            second: (0, 0),
            bytes: 0,
            seen: Incarnation {
                number: 0,
                nonce: 0,
            },
        };
        Self {
            now: START,
            network,
            notes: vec![],
            gateways: (0..size).map(|_| gateway()).collect(),
            seeds,
            period,
            bytes_s,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next: 0,
            reach: None,
            address_of: (0..size).collect(),
            start_hook: None,
            checker: ViewChecker::new(size),
            steps: 0,
        }
    }

    /// Starts a gateway without saved state, its wall clock off by `clock_off_ms`.
    pub fn start(&mut self, n: usize, clock_off_ms: i64) -> Result<(), String> {
        let size = self.gateways.len();
        let wall = (self.now.0 / 1000)
            .saturating_add(1_700_000_000_000)
            .saturating_add(clock_off_ms);
        let set = Settings {
            local_address: self.address_used(n),
            seeds: (0..self.seeds).map(address).collect(),
            zone: 0,
            version: 1,
            probe_interval: self.period,
            max_members: size + 8,
            max_bytes_per_second: self.bytes_s,
            configured_fleet_size: u32::try_from(size).unwrap_or(u32::MAX),
            shrink_delay: self.period.times(60.0),
        };
        let membership =
            Membership::new(set, wall.max(0).unsigned_abs(), self.rng.random(), self.now);
        let gateway = &mut self.gateways[n];
        let mut membership = membership.map_err(|e| e.to_string())?;
        self.start_hook
            .iter()
            .for_each(|hook| hook(&mut membership));
        self.checker.started(n);
        gateway.seen = membership.incarnation();
        (gateway.membership, gateway.paused_until) = (Some(membership), None);
        gateway.generation += 1;
        gateway.waiting.clear();
        self.schedule_tick(n);
        Ok(())
    }

    /// Kills a gateway without notice to the others.
    pub fn kill(&mut self, n: usize) {
        self.gateways[n].membership = None;
    }

    /// Stops a gateway as planned, announcing it to the others.
    pub fn leave(&mut self, n: usize) -> Result<(), Violation> {
        let (now, mut out) = (self.now, vec![]);
        if let Some(membership) = &mut self.gateways[n].membership {
            membership.leave(now, &mut out);
        }
        self.apply_effects(n, out)?;
        self.kill(n);
        Ok(())
    }

    /// Pauses a gateway for a time.
    pub fn pause(&mut self, n: usize, span: Span) {
        let until = self.now + span;
        self.gateways[n].paused_until = Some(until);
        self.push(until, SimEvent::Wake(n));
    }

    /// Partitions the network by group number; with `one_way`, datagrams from group 0 still reach
    /// the others.
    pub fn partition(&mut self, parts: Vec<usize>, one_way: bool) {
        self.partition_by(move |from, to| parts[from] == parts[to] || one_way && parts[from] == 0);
    }

    /// Partitions the network: a datagram passes only if `reach(from, to)` holds.
    pub fn partition_by(&mut self, reach: impl Fn(usize, usize) -> bool + 'static) {
        self.reach = Some(Box::new(reach));
    }

    pub fn heal(&mut self) {
        self.reach = None;
    }

    /// From its next start on, gateway `n` uses the address of gateway `other`; a datagram to it
    /// reaches one of the two at random.
    pub fn share_address(&mut self, n: usize, other: usize) {
        self.address_of[n] = other;
    }

    fn address_used(&self, n: usize) -> SocketAddr {
        address(self.address_of[n])
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.reach.as_ref().is_none_or(|reach| reach(from, to))
    }

    /// Sets the lifecycle phase that a gateway announces.
    pub fn set_phase(&mut self, n: usize, phase: Phase) -> Result<(), Violation> {
        let (now, mut out) = (self.now, vec![]);
        if let Some(membership) = &mut self.gateways[n].membership {
            membership.set_phase(phase, now, &mut out);
        }
        self.apply_effects(n, out)
    }

    /// Whether each running, unpaused gateway reports a converged view, agrees with all gateways
    /// that it can reach in both directions, and has exactly those in its view, in their current
    /// incarnations.
    pub fn converged(&self) -> bool {
        let moving = |n: &usize| {
            self.gateways[*n].membership.is_some() && self.gateways[*n].paused_until.is_none()
        };
        let all: Vec<usize> = (0..self.gateways.len()).filter(moving).collect();
        let mut checked: Vec<(u64, usize)> = vec![];
        all.iter().all(|n| {
            let Some(membership) = self.membership(*n) else {
                return true;
            };
            let shared = membership.view_status();
            if shared.converged_at.is_none() {
                return false;
            }
            let both = |o: &&usize| self.reaches(*n, **o) && self.reaches(**o, *n);
            let near = || all.iter().filter(both);
            let same = |o: &usize| {
                self.membership(*o)
                    .is_some_and(|h| h.view_status().digest == shared.digest)
            };
            if self.reach.is_some() && !near().all(same) {
                return false;
            }
            // Equal digests mean equal views, so one gateway per digest is compared member by
            // member.
            if checked.iter().any(|(digest, _)| *digest == shared.digest) {
                return true;
            }
            let names: BTreeSet<SocketAddr> =
                near().chain([n]).map(|o| self.address_used(*o)).collect();
            let runs_incarnation = |name: &SocketAddr, incarnation: &Incarnation| {
                let of = all.iter().filter(|o| self.address_used(**o) == *name);
                of.filter_map(|o| self.membership(*o))
                    .any(|h| h.incarnation().nonce == incarnation.nonce)
            };
            let there: Vec<_> = membership
                .members()
                .filter(|m| m.status != MemberStatus::Gone)
                .collect();
            checked.push((shared.digest, *n));
            there.len() == names.len()
                && there.iter().all(|m| {
                    names.contains(&m.address) && runs_incarnation(&m.address, &m.incarnation)
                })
        }) && (self.reach.is_some() || checked.len() <= 1)
    }

    /// Checks that the reported changes of each gateway add up to its view.
    pub fn check_changes(&self) -> Result<(), Violation> {
        let mut all = self.running();
        all.try_for_each(|(n, h)| self.checker.check_changes(n, h, self.address_used(n)))
            .map_err(|e| Violation(format!("changes: {e}")))
    }

    pub fn membership(&self, n: usize) -> Option<&Membership> {
        self.gateways[n].membership.as_ref()
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.gateways
            .iter()
            .enumerate()
            .filter_map(|(n, g)| Some((n, g.membership.as_ref()?)))
    }

    /// Bytes sent by a gateway since the last call.
    pub fn take_bytes(&mut self, n: usize) -> u64 {
        std::mem::take(&mut self.gateways[n].bytes)
    }

    /// Whether each running, unpaused gateway considers exactly the running gateways as live,
    /// counting suspects as live.
    pub fn agreed(&self) -> bool {
        let all: Vec<SocketAddr> = self.running().map(|(n, _)| address(n)).collect();
        let moving = self
            .running()
            .filter(|(n, _)| self.gateways[*n].paused_until.is_none());
        moving.into_iter().all(|(n, h)| {
            let others = all.iter().filter(|a| **a != address(n));
            h.live_members().eq(others.copied())
        })
    }

    /// Simulates for a time, or until `until` holds, which is checked five times a period; returns
    /// whether it holds.
    pub fn run(&mut self, when: Span, until: impl Fn(&Self) -> bool) -> Result<bool, Violation> {
        let end = self.now + when;
        let mut next_check = self.now;
        while let Some(Reverse((at, _, id))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            if at >= next_check {
                if until(self) {
                    return Ok(true);
                }
                next_check = at + self.period.times(0.2);
            }
            self.events.pop();
            self.now = self.now.max(at);
            let Some(event) = self.pending.remove(&id) else {
                continue;
            };
            self.step(event)?;
        }
        self.now = end;
        Ok(until(self))
    }

    fn push(&mut self, at: Time, event: SimEvent) {
        self.next += 1;
        let id = usize::try_from(self.next).unwrap_or(0);
        self.pending.insert(id, event);
        self.events.push(Reverse((at, self.next, id)));
    }

    fn schedule_tick(&mut self, n: usize) {
        let Some(membership) = &self.gateways[n].membership else {
            return;
        };
        let due = membership.next_due().max(self.now + Span(1_000));
        let generation = self.gateways[n].generation;
        self.gateways[n].due = due;
        self.push(due, SimEvent::Tick(n, generation));
    }

    fn step(&mut self, event: SimEvent) -> Result<(), Violation> {
        self.steps += 1;
        let (now, mut out) = (self.now, vec![]);
        match event {
            SimEvent::Tick(n, generation) => {
                let gateway = &mut self.gateways[n];
                // The tick is stale: the gateway restarted, was rescheduled or is paused.
                if gateway.generation != generation
                    || gateway.due > now
                    || gateway.paused_until.is_some()
                {
                    return Ok(());
                }
                let Some(membership) = &mut gateway.membership else {
                    return Ok(());
                };
                membership.tick(now, &mut out);
                self.apply_effects(n, out)?;
                self.schedule_tick(n);
            }
            SimEvent::Deliver { from, to, bytes } => {
                let gateway = &mut self.gateways[to];
                if gateway.paused_until.is_some() {
                    if gateway.waiting.len() < RECEIVE_QUEUE {
                        gateway.waiting.push((from, bytes));
                    }
                    return Ok(());
                }
                let Some(membership) = &mut gateway.membership else {
                    return Ok(());
                };
                let due = gateway.due;
                membership.receive(now, address(self.address_of[from]), &bytes, &mut out);
                let earlier = membership.next_due() < due;
                self.apply_effects(to, out)?;
                if earlier {
                    self.schedule_tick(to);
                }
            }
            SimEvent::Wake(n) => {
                if self.gateways[n]
                    .paused_until
                    .is_none_or(|until| until > now)
                {
                    return Ok(());
                }
                self.gateways[n].paused_until = None;
                for (from, bytes) in std::mem::take(&mut self.gateways[n].waiting) {
                    self.step(SimEvent::Deliver { from, to: n, bytes })?;
                }
                self.schedule_tick(n);
            }
        }
        Ok(())
    }

    fn apply_effects(&mut self, n: usize, out: Vec<Effect>) -> Result<(), Violation> {
        let broken = |what: String| Err(Violation(format!("gateway {n}: {what}")));
        if let Some(membership) = &self.gateways[n].membership {
            let (now, before) = (membership.incarnation(), self.gateways[n].seen);
            if now < before || now.nonce != before.nonce {
                return broken(format!("incarnation changed from {before:?} to {now:?}"));
            }
            let names = &self.address_of;
            let named = |a: &SocketAddr| {
                let number = number(*a);
                let other = (names.len().saturating_sub(MAX_SHARED_ADDRESSES)..names.len())
                    .filter(|p| names[*p] == number);
                let own = names
                    .get(number)
                    .filter(|name| **name == number)
                    .map(|_| number);
                own.into_iter()
                    .chain(other.filter(|p| *p != number))
                    .collect()
            };
            if let Err(what) = self.checker.check(n, membership, named) {
                return broken(what);
            }
            self.gateways[n].seen = now;
        }
        for effect in out {
            match effect {
                Effect::Event(note) => self.notes.push(RecordedEvent {
                    at: self.now,
                    by: n,
                    note,
                }),
                Effect::Send { to, bytes } => {
                    if bytes.len() > MAX_DATAGRAM_BYTES {
                        return broken(format!("sent a datagram of {} bytes", bytes.len()));
                    }
                    let gateway = &mut self.gateways[n];
                    gateway.bytes += bytes.len() as u64;
                    let second = self.now.0 / 1_000_000;
                    let before = if gateway.second.0 == second {
                        gateway.second.1
                    } else {
                        0
                    };
                    gateway.second = (second, before + bytes.len());
                    let most = 2 * usize::try_from(self.bytes_s).unwrap_or(0);
                    if gateway.second.1 > most {
                        return broken(format!(
                            "sent {} bytes in a second, limit {most}",
                            gateway.second.1
                        ));
                    }
                    self.transmit(n, to, bytes);
                }
            }
        }
        Ok(())
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let name = number(to);
        let from_end = self.address_of.len().saturating_sub(MAX_SHARED_ADDRESSES);
        let other = (from_end..self.address_of.len())
            .find(|p| self.address_of[*p] == name && *p != name && *p != from);
        let to = match other.filter(|_| name == from || self.rng.random_bool(0.5)) {
            Some(other) => other,
            None => name,
        };
        if to >= self.gateways.len()
            || !self.reaches(from, to)
            || self.rng.random_bool(self.network.lost)
        {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplicated));
        for _ in 0..copies {
            let (least, most) = self.network.delay;
            let delay = Span(self.rng.random_range(least.0..=most.0));
            self.push(
                self.now + delay,
                SimEvent::Deliver {
                    from,
                    to,
                    bytes: bytes.clone(),
                },
            );
        }
    }
}
