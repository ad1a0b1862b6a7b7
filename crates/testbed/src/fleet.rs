//! A fleet of gateways' memberships in virtual time, from one seed: the real heart, a network that loses, delays, doubles,
//! reorders and cuts, gateways that stand still, die and start again. After each step what is promised is checked.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use valehatch_membership::view_changes::MemberStatus;
use valehatch_membership::wire::{Incarnation, MAX_DATAGRAM_BYTES, Phase};
use valehatch_membership::{Effect, Membership, MembershipEvent, Settings};
use valehatch_policy::{Span, Time};

use crate::judge::Judge;

pub const START: Time = Time(100_000_000_000);
/// Datagrams that wait at a gateway that stands still; more are lost.
const WAITING: usize = 256;
/// Only the last ones may be given another's name.
const NAMESAKES: usize = 2;

/// How the network is.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Of so many datagrams, this part is lost, and this part comes twice.
    pub lost: f64,
    pub doubled: f64,
    /// One way, at the least and at the most, drawn for each: later ones overtake earlier ones.
    pub delay: (Span, Span),
}

/// What may not be.
#[derive(Clone, Debug)]
pub struct Broken(pub String);

enum Ev {
    Tick(usize, u32),
    Deliver {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Wake(usize),
}

struct Gateway {
    heart: Option<Membership>,
    /// Counts its starts.
    life: u32,
    /// Stands still until then.
    still: Option<Time>,
    waiting: Vec<(usize, Vec<u8>)>,
    due: Time,
    /// Bytes sent in the second under way, and its number.
    second: (i64, usize),
    bytes: u64,
    seen: Incarnation,
}

/// Something that a gateway noted, when.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub at: Time,
    pub by: usize,
    pub note: MembershipEvent,
}

/// What is done to a heart as it starts.
pub type Prepare = Box<dyn Fn(&mut Membership)>;

pub struct Fleet {
    pub now: Time,
    pub network: Network,
    pub notes: Vec<Seen>,
    gateways: Vec<Gateway>,
    seeds: usize,
    period: Span,
    bytes_s: u32,
    rng: Xoshiro256PlusPlus,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    pending: BTreeMap<usize, Ev>,
    next: u64,
    /// Whether what the first sends reaches the second.
    reach: Option<Box<dyn Fn(usize, usize) -> bool>>,
    /// By which number's address each is known: its own, unless it has another's name.
    names: Vec<usize>,
    /// Done to each heart as it starts.
    pub prepare: Option<Prepare>,
    pub judge: Judge,
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
    /// So many gateways, none started; the first `seeds` of them are what each begins with.
    pub fn new(
        size: usize,
        seeds: usize,
        period: Span,
        bytes_s: u32,
        network: Network,
        seed: u64,
    ) -> Self {
        let gateway = || Gateway {
            heart: None,
            life: 0,
            still: None,
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
            names: (0..size).collect(),
            prepare: None,
            judge: Judge::new(size),
            steps: 0,
        }
    }

    /// Starts a gateway with nothing in memory; its wall clock is off by so many milliseconds.
    pub fn start(&mut self, n: usize, clock_off_ms: i64) -> Result<(), String> {
        let size = self.gateways.len();
        let wall = (self.now.0 / 1000)
            .saturating_add(1_700_000_000_000)
            .saturating_add(clock_off_ms);
        let set = Settings {
            local_address: self.name(n),
            seeds: (0..self.seeds).map(address).collect(),
            zone: 0,
            version: 1,
            probe_interval: self.period,
            max_members: size + 8,
            max_bytes_per_second: self.bytes_s,
            configured_fleet_size: u32::try_from(size).unwrap_or(u32::MAX),
            shrink_delay: self.period.times(60.0),
        };
        let heart = Membership::new(set, wall.max(0).unsigned_abs(), self.rng.random(), self.now);
        let gateway = &mut self.gateways[n];
        let mut heart = heart.map_err(|e| e.to_string())?;
        self.prepare.iter().for_each(|prepare| prepare(&mut heart));
        self.judge.started(n);
        gateway.seen = heart.incarnation();
        (gateway.heart, gateway.still) = (Some(heart), None);
        gateway.life += 1;
        gateway.waiting.clear();
        self.arm(n);
        Ok(())
    }

    /// Ends a gateway at once.
    pub fn kill(&mut self, n: usize) {
        self.gateways[n].heart = None;
    }

    /// Ends a gateway as planned: it says so.
    pub fn leave(&mut self, n: usize) -> Result<(), Broken> {
        let (now, mut out) = (self.now, vec![]);
        if let Some(heart) = &mut self.gateways[n].heart {
            heart.leave(now, &mut out);
        }
        self.carry_out(n, out)?;
        self.kill(n);
        Ok(())
    }

    /// A gateway stands still for so long.
    pub fn stop(&mut self, n: usize, span: Span) {
        let until = self.now + span;
        self.gateways[n].still = Some(until);
        self.push(until, Ev::Wake(n));
    }

    /// Gateways of different parts hear each other no more; `one_way`: those of other parts still hear part 0.
    pub fn cut(&mut self, parts: Vec<usize>, one_way: bool) {
        self.cut_by(move |from, to| parts[from] == parts[to] || one_way && parts[from] == 0);
    }

    /// What the first sends reaches the second where this says so.
    pub fn cut_by(&mut self, reach: impl Fn(usize, usize) -> bool + 'static) {
        self.reach = Some(Box::new(reach));
    }

    pub fn heal(&mut self) {
        self.reach = None;
    }

    /// From its next start on a gateway goes by another's name too: what is sent to that reaches either, as it falls.
    pub fn rename(&mut self, n: usize, like: usize) {
        self.names[n] = like;
    }

    fn name(&self, n: usize) -> SocketAddr {
        address(self.names[n])
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.reach.as_ref().is_none_or(|reach| reach(from, to))
    }

    /// What a gateway says of how far it is.
    pub fn phase(&mut self, n: usize, phase: Phase) -> Result<(), Broken> {
        let (now, mut out) = (self.now, vec![]);
        if let Some(heart) = &mut self.gateways[n].heart {
            heart.set_phase(phase, now, &mut out);
        }
        self.carry_out(n, out)
    }

    /// Whether all that run and move say that their view is settled, hold the same as all within reach both ways, and have in
    /// it just those, in their present lives.
    pub fn settled(&self) -> bool {
        let moving =
            |n: &usize| self.gateways[*n].heart.is_some() && self.gateways[*n].still.is_none();
        let all: Vec<usize> = (0..self.gateways.len()).filter(moving).collect();
        let mut looked: Vec<(u64, usize)> = vec![];
        all.iter().all(|n| {
            let Some(heart) = self.heart(*n) else {
                return true;
            };
            let shared = heart.view_status();
            if shared.converged_at.is_none() {
                return false;
            }
            let both = |o: &&usize| self.reaches(*n, **o) && self.reaches(**o, *n);
            let near = || all.iter().filter(both);
            let same = |o: &usize| {
                self.heart(*o)
                    .is_some_and(|h| h.view_status().digest == shared.digest)
            };
            if self.reach.is_some() && !near().all(same) {
                return false;
            }
            // Whoever holds the same digest has the same view: one of them is looked at member by member.
            if looked.iter().any(|(digest, _)| *digest == shared.digest) {
                return true;
            }
            let names: BTreeSet<SocketAddr> = near().chain([n]).map(|o| self.name(*o)).collect();
            let lives = |name: &SocketAddr, life: &Incarnation| {
                let of = all.iter().filter(|o| self.name(**o) == *name);
                of.filter_map(|o| self.heart(*o))
                    .any(|h| h.incarnation().nonce == life.nonce)
            };
            let there: Vec<_> = heart
                .members()
                .filter(|m| m.status != MemberStatus::Gone)
                .collect();
            looked.push((shared.digest, *n));
            there.len() == names.len()
                && there
                    .iter()
                    .all(|m| names.contains(&m.address) && lives(&m.address, &m.incarnation))
        }) && (self.reach.is_some() || looked.len() <= 1)
    }

    /// Whether each gateway's changes have led to its view.
    pub fn followed(&self) -> Result<(), Broken> {
        let mut all = self.running();
        all.try_for_each(|(n, h)| self.judge.followed(n, h, self.name(n)))
            .map_err(|e| Broken(format!("changes: {e}")))
    }

    pub fn heart(&self, n: usize) -> Option<&Membership> {
        self.gateways[n].heart.as_ref()
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.gateways
            .iter()
            .enumerate()
            .filter_map(|(n, g)| Some((n, g.heart.as_ref()?)))
    }

    /// Bytes that a gateway has sent since its start or the last time this was asked.
    pub fn take_bytes(&mut self, n: usize) -> u64 {
        std::mem::take(&mut self.gateways[n].bytes)
    }

    /// Whether all that run and move take just those for living that run, suspects among them.
    pub fn agreed(&self) -> bool {
        let all: Vec<SocketAddr> = self.running().map(|(n, _)| address(n)).collect();
        let moving = self
            .running()
            .filter(|(n, _)| self.gateways[*n].still.is_none());
        moving.into_iter().all(|(n, h)| {
            let others = all.iter().filter(|a| **a != address(n));
            h.live_members().eq(others.copied())
        })
    }

    /// Goes on until `when`, or until `until` holds, which is looked at five times a period; whether it did.
    pub fn run(&mut self, when: Span, until: impl Fn(&Self) -> bool) -> Result<bool, Broken> {
        let end = self.now + when;
        let mut look = self.now;
        while let Some(Reverse((at, _, id))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            if at >= look {
                if until(self) {
                    return Ok(true);
                }
                look = at + self.period.times(0.2);
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

    fn push(&mut self, at: Time, event: Ev) {
        self.next += 1;
        let id = usize::try_from(self.next).unwrap_or(0);
        self.pending.insert(id, event);
        self.events.push(Reverse((at, self.next, id)));
    }

    fn arm(&mut self, n: usize) {
        let Some(heart) = &self.gateways[n].heart else {
            return;
        };
        let due = heart.next_due().max(self.now + Span(1_000));
        let life = self.gateways[n].life;
        self.gateways[n].due = due;
        self.push(due, Ev::Tick(n, life));
    }

    fn step(&mut self, event: Ev) -> Result<(), Broken> {
        self.steps += 1;
        let (now, mut out) = (self.now, vec![]);
        match event {
            Ev::Tick(n, life) => {
                let gateway = &mut self.gateways[n];
                // An earlier look than this one was asked for meanwhile, or it is not there to look.
                if gateway.life != life || gateway.due > now || gateway.still.is_some() {
                    return Ok(());
                }
                let Some(heart) = &mut gateway.heart else {
                    return Ok(());
                };
                heart.tick(now, &mut out);
                self.carry_out(n, out)?;
                self.arm(n);
            }
            Ev::Deliver { from, to, bytes } => {
                let gateway = &mut self.gateways[to];
                if gateway.still.is_some() {
                    if gateway.waiting.len() < WAITING {
                        gateway.waiting.push((from, bytes));
                    }
                    return Ok(());
                }
                let Some(heart) = &mut gateway.heart else {
                    return Ok(());
                };
                let due = gateway.due;
                heart.receive(now, address(self.names[from]), &bytes, &mut out);
                let sooner = heart.next_due() < due;
                self.carry_out(to, out)?;
                if sooner {
                    self.arm(to);
                }
            }
            Ev::Wake(n) => {
                if self.gateways[n].still.is_none_or(|until| until > now) {
                    return Ok(());
                }
                self.gateways[n].still = None;
                for (from, bytes) in std::mem::take(&mut self.gateways[n].waiting) {
                    self.step(Ev::Deliver { from, to: n, bytes })?;
                }
                self.arm(n);
            }
        }
        Ok(())
    }

    fn carry_out(&mut self, n: usize, out: Vec<Effect>) -> Result<(), Broken> {
        let broken = |what: String| Err(Broken(format!("gateway {n}: {what}")));
        if let Some(heart) = &self.gateways[n].heart {
            let (now, before) = (heart.incarnation(), self.gateways[n].seen);
            if now < before || now.nonce != before.nonce {
                return broken(format!("its incarnation went from {before:?} to {now:?}"));
            }
            let names = &self.names;
            let named = |a: &SocketAddr| {
                let number = number(*a);
                let other = (names.len().saturating_sub(NAMESAKES)..names.len())
                    .filter(|p| names[*p] == number);
                let own = names
                    .get(number)
                    .filter(|name| **name == number)
                    .map(|_| number);
                own.into_iter()
                    .chain(other.filter(|p| *p != number))
                    .collect()
            };
            if let Err(what) = self.judge.look(n, heart, named) {
                return broken(what);
            }
            self.gateways[n].seen = now;
        }
        for effect in out {
            match effect {
                Effect::Event(note) => self.notes.push(Seen {
                    at: self.now,
                    by: n,
                    note,
                }),
                Effect::Send { to, bytes } => {
                    if bytes.len() > MAX_DATAGRAM_BYTES {
                        return broken(format!("a datagram of {} bytes", bytes.len()));
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
                            "{} bytes in a second, {most} at most",
                            gateway.second.1
                        ));
                    }
                    self.carry(n, to, bytes);
                }
            }
        }
        Ok(())
    }

    fn carry(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let name = number(to);
        let from_end = self.names.len().saturating_sub(NAMESAKES);
        let other = (from_end..self.names.len())
            .find(|p| self.names[*p] == name && *p != name && *p != from);
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
        let copies = 1 + usize::from(self.rng.random_bool(self.network.doubled));
        for _ in 0..copies {
            let (least, most) = self.network.delay;
            let delay = Span(self.rng.random_range(least.0..=most.0));
            self.push(
                self.now + delay,
                Ev::Deliver {
                    from,
                    to,
                    bytes: bytes.clone(),
                },
            );
        }
    }
}
