//! Which gateways there are: SWIM, with Lifeguard's suspicion and local health. No I/O, no clock, no thread.
//!
//! Each period one other gateway is asked whether it is there; if it does not answer, some others are asked to look; if
//! they see nothing either it is suspected, and if it does not say in time that it lives it counts as dead. News comes
//! along with these questions and answers, and gateways compare what they know now and then. What is believed here is a
//! hint: nothing that must be true rests on it.
//!
//! | module | holds |
//! | --- | --- |
//! | [`wire`] | the words, which of two holds, and their form in a datagram |
//! | [`table`] | what is believed of whom |
//! | [`suspicion`] | how long a suspect has, and how well one hears oneself |
//! | [`gossip`] | what is passed on |
//! | [`size`] | how many gateways share what is shared |
//! | `probe` | questions that are under way |
//!
//! Bounds: [`Settings::most`] gateways are known (one more is counted in [`Counts::full`] and
//! not taken in), [`Settings::bytes_s`] are sent in a second in the mean and twice as many in any one second; what is beyond is not
//! sent, which is as good as lost, and counted.

#![forbid(unsafe_code)]

pub mod gossip;
mod probe;
pub mod size;
pub mod suspicion;
pub mod table;
pub mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use gossip::Gossip;
use probe::Probes;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use size::Size;
use suspicion::{Health, Suspicion};
use table::{Peer, Table, Taken, lives};
use valehatch_policy::{Span, Time};
use wire::{Datagram, Incarnation, Message, Rumor, State};

/// Gateways that are asked to look for one that did not answer.
const HELPERS: usize = 3;
/// The shortest time that a suspect has, in periods: what is said of it reaches it with the next question to it, and
/// what it says reaches all with a few.
const SUSPECTED: f64 = 4.0;
/// The answer must be back within this part of a period; then others are asked to look, with the rest.
const DIRECT: f64 = 0.4;
/// Periods between comparisons with another gateway, and between questions to those that count as dead.
const COMPARES: f64 = 10.0;
const REVIVES: f64 = 4.0;
/// How long one that is gone is remembered, in periods.
const REMEMBERED: f64 = 1_200.0;
/// A gap between two looks at the time from which on it counts as sleep, in periods.
const ASLEEP: f64 = 3.0;
/// Gateways that are told at once of a planned end.
const FAREWELLS: usize = 6;
/// Words of news from which on questions and answers alone are too slow for them, and the part of a period after which
/// one more gateway is told some then: a start or an end of many is known as soon as bytes a second allow.
const MUCH: usize = 8;
const SPREADS: f64 = 0.1;
/// The part of the bytes a second that pages for others may take, and words that can fit on a page.
const PAGES: f64 = 0.5;
const PAGE: usize = 16;

/// How it is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's address, by which all others know it.
    pub me: SocketAddr,
    /// Gateways to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Time between two questions.
    pub period: Span,
    /// Gateways that are known at the most.
    pub most: usize,
    /// Bytes sent in a second, in the mean.
    pub bytes_s: u32,
    /// The size of the fleet while it is not known.
    pub configured: u32,
    /// How long the fleet must have been smaller before that is believed.
    pub settle: Span,
}

/// Settings that cannot be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unfit(pub &'static str);

impl std::fmt::Display for Unfit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Unfit {}

/// What is to be done or told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this to that gateway.
    Send { to: SocketAddr, bytes: Vec<u8> },
    /// Something changed.
    Note(Note),
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// A gateway was not known, or counted as gone, and lives.
    Joined(SocketAddr),
    /// It was started anew: what its former self held or had promised is gone.
    Restarted(SocketAddr),
    /// It does not answer.
    Suspected(SocketAddr),
    /// It lives after all.
    Cleared(SocketAddr),
    /// It counts as dead.
    Failed(SocketAddr),
    /// It has said that it ends.
    Left(SocketAddr),
    /// This gateway stood still for so long: whatever it held for true may be over.
    Slept(Span),
    /// Others took this gateway for suspect, dead or an older self; it has told them otherwise.
    Refuted,
    /// All that some gateway knew is known here, or nobody is there to ask.
    Synced,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams and bytes that were sent.
    pub sent: u64,
    pub sent_bytes: u64,
    /// Datagrams that were taken in.
    pub taken: u64,
    /// Those that were no datagram of this protocol.
    pub unread: u64,
    /// Those that were not sent since the bytes a second were spent.
    pub spared: u64,
    /// Gateways for which there was no room.
    pub full: u64,
    /// Suspicions, and deaths, that were declared here.
    pub suspected: u64,
    pub failed: u64,
    /// Refutations of what was said of this gateway.
    pub refuted: u64,
    /// Times that this gateway had stood still.
    pub slept: u64,
}

/// The bytes that may be sent.
#[derive(Debug)]
struct Purse {
    a_second: f64,
    held: f64,
    at: Time,
}

impl Purse {
    fn spend(&mut self, bytes: usize, keep: f64, now: Time) -> bool {
        let gained = (now - self.at).as_f64() / 1e6 * self.a_second;
        (self.held, self.at) = ((self.held + gained).min(self.a_second), now);
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let enough = self.held - bytes >= keep * self.a_second;
        if enough {
            self.held -= bytes;
        }
        enough
    }
}

/// A comparison that is under way: whom it is with, how far it has come, and until when its next page is waited for.
#[derive(Clone, Copy, Debug)]
struct Comparing {
    with: SocketAddr,
    after: Option<SocketAddr>,
    until: Time,
}

/// What one gateway knows of the others.
#[derive(Debug)]
pub struct Membership {
    set: Settings,
    me: Incarnation,
    state: State,
    rng: Xoshiro256PlusPlus,
    table: Table,
    /// Of those that are taken for suspect.
    suspicions: BTreeMap<SocketAddr, Suspicion>,
    gossip: Gossip,
    probes: Probes,
    health: Health,
    size: Size,
    purse: Purse,
    /// The order in which the others are asked, drawn anew each round.
    round: Vec<SocketAddr>,
    comparing: Option<Comparing>,
    synced: bool,
    /// When this was last called.
    looked: Time,
    ask_at: Time,
    compare_at: Time,
    revive_at: Time,
    spread_at: Time,
    counts: Counts,
}

impl Membership {
    /// A gateway that has just started. `wall_ms` is the wall clock, for the first incarnation; it may be wrong.
    ///
    /// # Errors
    /// Settings that cannot be worked with.
    pub fn new(set: Settings, wall_ms: u64, seed: u64, now: Time) -> Result<Self, Unfit> {
        if set.me.ip().is_unspecified() || set.me.port() == 0 {
            return Err(Unfit("the own address is none that others could send to"));
        }
        if set.period < Span::from_millis(10) {
            return Err(Unfit("the period is under 10 ms"));
        }
        if set.most == 0 {
            return Err(Unfit("no gateway may be known"));
        }
        if set.bytes_s < 1024 {
            return Err(Unfit("under 1,024 bytes a second leave questions unasked"));
        }
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let me = Incarnation { number: wall_ms.min(Incarnation::MOST / 2), nonce: rng.next_u32() };
        let first = part(&mut rng);
        Ok(Self {
            me,
            state: State::Alive,
            table: Table::new(set.most, set.period.times(REMEMBERED)),
            suspicions: BTreeMap::new(),
            gossip: Gossip::default(),
            probes: Probes::new(rng.next_u32()),
            health: Health::default(),
            size: Size::new(set.configured, set.settle),
            purse: Purse { a_second: f64::from(set.bytes_s), held: f64::from(set.bytes_s), at: now },
            round: vec![],
            comparing: None,
            synced: set.seeds.iter().all(|s| *s == set.me),
            looked: now,
            // Those that start together do not ask together.
            ask_at: now + set.period.times(first * DIRECT),
            compare_at: now,
            revive_at: now,
            spread_at: now,
            counts: Counts::default(),
            rng,
            set,
        })
    }

    /// When [`Self::tick`] wants to be called next; sooner does no harm.
    #[must_use]
    pub fn next_due(&self) -> Time {
        let suspicions = self.suspicions.values().map(Suspicion::over);
        let spread = (self.gossip.len() >= MUCH).then_some(self.spread_at);
        let all = suspicions.chain(self.probes.next_due()).chain(spread).chain([self.ask_at, self.revive_at]);
        // Often enough that standing still is told from having had nothing to do.
        all.chain([self.looked + self.set.period]).min().unwrap_or(self.looked)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now = self.wake(now, out);
        self.end_suspicions(now, out);
        self.follow_probes(now, out);
        if now >= self.ask_at {
            self.ask(now, out);
        }
        if now >= self.revive_at {
            self.revive(now, out);
        }
        self.compare(now, out);
        self.spread(now, out);
        self.count(now);
    }

    /// A datagram has come in. Whether its sender may send any is the link's to know.
    pub fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Effect>) {
        let now = self.wake(now, out);
        let Some(datagram) = Datagram::decode(bytes).filter(|_| from != self.set.me) else {
            self.counts.unread += 1;
            return;
        };
        self.counts.taken += 1;
        let speaks = Rumor { about: from, incarnation: datagram.from, state: State::Alive, accuser: 0 };
        // One that ends says so along with whatever it says last.
        let ends = datagram.rumors.iter().any(|r| r.about == from && r.state == State::Left);
        if !ends {
            self.hear(&speaks, now, out);
        }
        for rumor in &datagram.rumors {
            self.hear(rumor, now, out);
        }
        if let Some(peer) = self.table.get_mut(&from) {
            peer.behind = peer.incarnation > datagram.from;
            if peer.incarnation == datagram.from {
                peer.heard = Some(now);
            }
        }
        match datagram.message {
            Message::Ping(seq) => self.send(from, Message::Ack(seq), now, out),
            Message::Ack(seq) => {
                if let Some((whom, seq)) = self.probes.relayed(seq, from) {
                    self.send(whom, Message::Ack(seq), now, out);
                } else if self.probes.answered(seq, from) {
                    self.health.better();
                }
            }
            Message::Nack(seq) => self.probes.denied(seq, from),
            Message::Look(seq, target) => self.look(from, seq, target, now, out),
            Message::Pull { after, digest } => self.answer_pull(from, after, digest, now, out),
            Message::Page { after, end } => self.take_page(from, after, end, &datagram.rumors, now, out),
            Message::Same => {
                self.comparing.take_if(|c| c.with == from);
                self.now_synced(out);
            }
            Message::Word => {}
        }
        self.count(now);
    }

    /// This gateway is about to end: some are told at once, others when they ask.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now = self.wake(now, out);
        self.state = State::Left;
        let all: Vec<SocketAddr> = self.living().collect();
        for whom in self.draw(all, FAREWELLS) {
            self.send(whom, Message::Word, now, out);
        }
    }

    /// What is believed of the others, by address.
    pub fn peers(&self) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.table.iter()
    }

    /// The others that are taken to live.
    pub fn living(&self) -> impl Iterator<Item = SocketAddr> {
        self.table.iter().filter(|(_, p)| lives(p.state)).map(|(a, _)| *a)
    }

    /// How many gateways to divide by what they share; `overload` where something shared is at its limit.
    #[must_use]
    pub fn share(&self, overload: bool) -> u32 {
        self.size.share(overload)
    }

    /// Whether all that some gateway knew was known here once.
    #[must_use]
    pub const fn synced(&self) -> bool {
        self.synced
    }

    /// Which life of this gateway speaks.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.me
    }

    /// How well this gateway hears itself: 0 for well.
    #[must_use]
    pub const fn health(&self) -> Health {
        self.health
    }

    /// What was counted.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    // ---- Time ----

    /// Whether this gateway has stood still comes before all else: it knows of no answer that it did not wait for.
    fn wake(&mut self, now: Time, out: &mut Vec<Effect>) -> Time {
        let now = now.max(self.looked);
        let gap = now - self.looked;
        self.looked = now;
        if gap >= self.set.period.times(ASLEEP) {
            self.counts.slept += 1;
            self.probes.clear();
            self.health.worst();
            self.comparing = None;
            self.synced = self.set.seeds.iter().all(|s| *s == self.set.me) && self.table.alive() == 0;
            (self.ask_at, self.compare_at) = (now, now);
            self.suspicions.values_mut().for_each(|s| s.postpone(gap));
            // Others may have given it up by now; what it says next outweighs that.
            self.me.number += 1;
            out.push(Effect::Note(Note::Slept(gap)));
        }
        now
    }

    fn count(&mut self, now: Time) {
        let counted = u32::try_from(self.table.alive() + 1).unwrap_or(u32::MAX);
        self.size.count(self.synced.then_some(counted), now);
    }

    // ---- Words ----

    /// Takes a word in, whoever said it.
    fn hear(&mut self, rumor: &Rumor, now: Time, out: &mut Vec<Effect>) {
        if rumor.about == self.set.me {
            return self.refute(rumor, out);
        }
        let taken = self.table.merge(rumor, now);
        let about = rumor.about;
        let note = match taken {
            Taken::Full => {
                self.counts.full += 1;
                return;
            }
            Taken::Known => {
                // Another who suspects the same life is news.
                let held = self
                    .suspicions
                    .get_mut(&about)
                    .filter(|s| rumor.state == State::Suspect && s.incarnation == rumor.incarnation);
                if held.is_some_and(|s| s.confirm(rumor.accuser)) {
                    self.gossip.add(*rumor);
                }
                return;
            }
            // One that is gone and was never known: kept, and no news for anybody.
            Taken::New if !lives(rumor.state) => return,
            Taken::New => Some(Note::Joined(about)),
            Taken::Restarted if lives(rumor.state) => Some(Note::Restarted(about)),
            Taken::Renewed => None,
            Taken::Restarted | Taken::Turned(_) => Some(match (taken, rumor.state) {
                (_, State::Suspect) => Note::Suspected(about),
                (_, State::Dead) => Note::Failed(about),
                (_, State::Left) => Note::Left(about),
                (Taken::Turned(State::Suspect), State::Alive) => Note::Cleared(about),
                (_, State::Alive) => Note::Joined(about),
            }),
        };
        // Whatever was suspected before was of an earlier incarnation, or is settled.
        self.suspicions.remove(&about);
        if rumor.state == State::Suspect {
            let (others, least) = (self.table.alive().saturating_sub(1), self.set.period.times(SUSPECTED));
            let new = Suspicion::new(rumor.incarnation, rumor.accuser, others, least, now);
            self.suspicions.insert(about, new);
        }
        self.gossip.add(*rumor);
        out.extend(note.map(Effect::Note));
    }

    /// A word about this gateway itself: what is not so is contradicted by a later incarnation.
    fn refute(&mut self, rumor: &Rumor, out: &mut Vec<Effect>) {
        if self.state == State::Left {
            return;
        }
        if rumor.weight() > (self.me, State::Alive) {
            self.me.number = rumor.incarnation.number + 1;
            self.counts.refuted += 1;
            out.push(Effect::Note(Note::Refuted));
        }
    }

    /// Sends a datagram, with what comes along.
    fn send(&mut self, to: SocketAddr, message: Message, now: Time, out: &mut Vec<Effect>) {
        let news: Vec<Rumor> = self.gossip.next(PAGE).collect();
        self.send_with(to, message, &news, 0.0, now, out);
    }

    fn send_with(
        &mut self,
        to: SocketAddr,
        message: Message,
        rumors: &[Rumor],
        keep: f64,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        let mut all = self.foreword(&to);
        all.extend(rumors.iter().filter(|r| r.about != to).copied());
        let (bytes, told) = Datagram::encode(self.me, message, &all);
        if !self.purse.spend(bytes.len(), keep, now) {
            self.counts.spared += 1;
            return;
        }
        self.gossip.told(&all[..told], self.table.alive() + 1);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Effect::Send { to, bytes });
    }

    /// What each datagram to another begins with: this gateway's own end, and what the other is taken for if that is
    /// anything else than alive, or alive in another life: it has to hear it to say otherwise.
    fn foreword(&self, to: &SocketAddr) -> Vec<Rumor> {
        let own = Rumor { about: self.set.me, incarnation: self.me, state: State::Left, accuser: 0 };
        let own = (self.state == State::Left).then_some(own);
        let theirs = self.table.get(to).filter(|p| p.state != State::Alive || p.behind);
        own.into_iter().chain(theirs.map(|p| self.rumor(to, p))).collect()
    }

    fn rumor(&self, about: &SocketAddr, peer: &Peer) -> Rumor {
        let (incarnation, state) = (peer.incarnation, peer.state);
        Rumor { about: *about, incarnation, state, accuser: self.mark() }
    }

    /// What this gateway's suspicions are signed with.
    fn mark(&self) -> u16 {
        let all = table::hashed(&self.set.me, |_| {});
        u16::try_from(all & 0xffff).unwrap_or(0)
    }

    // ---- Questions ----

    /// Asks the next in the round whether it is there.
    fn ask(&mut self, now: Time, out: &mut Vec<Effect>) {
        let period = self.health.stretch(self.set.period);
        self.ask_at = now + period;
        if self.state == State::Left {
            return;
        }
        let Some(target) = self.next_target() else { return };
        let direct = self.health.stretch(self.set.period.times(DIRECT));
        let seq = self.probes.begin(target, now + direct.times(0.5), now + direct, now + period);
        self.send(target, Message::Ping(seq), now, out);
    }

    /// Each of the others once in a round, in an order of its own each time: what is asked at the latest after two
    /// rounds less one is found however unlucky the draw.
    fn next_target(&mut self) -> Option<SocketAddr> {
        let lives = |table: &Table, a: &SocketAddr| table.get(a).is_some_and(|p| lives(p.state));
        loop {
            match self.round.pop() {
                Some(next) if lives(&self.table, &next) => return Some(next),
                Some(_) => {}
                None => {
                    let all: Vec<SocketAddr> = self.living().collect();
                    let count = all.len();
                    if count == 0 {
                        return None;
                    }
                    self.round = self.draw(all, count);
                }
            }
        }
    }

    /// Answers that did not come.
    fn follow_probes(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some((seq, target)) = self.probes.again(now) {
            self.send(target, Message::Ping(seq), now, out);
        }
        while let Some((seq, target)) = self.probes.late(now) {
            // Once more with them: their way and this one seldom fail together.
            self.send(target, Message::Ping(seq), now, out);
            let all: Vec<SocketAddr> = self.living().filter(|a| *a != target).collect();
            let helpers = self.draw(all, HELPERS);
            self.probes.helped_by(seq, &helpers);
            for helper in helpers {
                self.send(helper, Message::Look(seq, target), now, out);
            }
        }
        for (whom, seq) in self.probes.unseen(now, self.set.period) {
            self.send(whom, Message::Nack(seq), now, out);
        }
        while let Some((target, silent)) = self.probes.lost(now) {
            // Who hears nothing even from those that were asked to look does not hear well.
            self.health.worse(silent.map_or(1, |n| u32::try_from(n).unwrap_or(u32::MAX)));
            let Some(peer) = self.table.get(&target).filter(|p| lives(p.state)) else { continue };
            let rumor = Rumor { state: State::Suspect, ..self.rumor(&target, peer) };
            self.counts.suspected += u64::from(peer.state == State::Alive);
            self.hear(&rumor, now, out);
        }
    }

    /// Looks for another.
    fn look(&mut self, whom: SocketAddr, seq: u32, target: SocketAddr, now: Time, out: &mut Vec<Effect>) {
        // Only those that are known here are asked for others: nobody is made to send to the rest of the world.
        if self.table.get(&target).is_none() || self.state == State::Left {
            return;
        }
        let until = now + self.set.period.times((1.0 - DIRECT) / 2.0);
        if let Some(own) = self.probes.relay(whom, seq, target, until) {
            self.send(target, Message::Ping(own), now, out);
        }
    }

    fn end_suspicions(&mut self, now: Time, out: &mut Vec<Effect>) {
        let over = self.suspicions.iter().filter(|(_, s)| s.over() <= now);
        let dead: Vec<_> = over.map(|(about, s)| (*about, s.incarnation)).collect();
        for (about, incarnation) in dead {
            self.counts.failed += 1;
            let accuser = self.mark();
            self.hear(&Rumor { about, incarnation, state: State::Dead, accuser }, now, out);
        }
    }

    /// Tells one more of much that is new.
    fn spread(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now < self.spread_at || self.gossip.len() < MUCH {
            return;
        }
        self.spread_at = now + self.set.period.times(SPREADS);
        let all: Vec<SocketAddr> = self.living().collect();
        for whom in self.draw(all, 1) {
            let news: Vec<Rumor> = self.gossip.next(PAGE).collect();
            self.send_with(whom, Message::Word, &news, 1.0 - PAGES, now, out);
        }
    }

    /// Asks one that counts as dead, or a seed that is not known: a cut between two halves heals by that, and a fleet
    /// that starts together finds itself. At first, and while nobody is known, more often.
    fn revive(&mut self, now: Time, out: &mut Vec<Effect>) {
        let pause = if self.table.alive() == 0 { 1.0 } else { REVIVES };
        self.revive_at = now + self.set.period.times(pause * (0.5 + part(&mut self.rng)));
        if self.state == State::Left {
            return;
        }
        self.table.expire(now).iter().for_each(|a| self.gossip.forget(a));
        let known = |a: &SocketAddr| self.table.get(a).is_some_and(|p| lives(p.state));
        let seeds = self.set.seeds.iter().filter(|s| **s != self.set.me && !known(s)).copied();
        let dead = self.table.iter().filter(|(_, p)| !lives(p.state)).map(|(a, _)| *a);
        let all: BTreeSet<SocketAddr> = seeds.chain(dead).collect();
        let count = if self.table.alive() == 0 { HELPERS } else { 1 };
        for whom in self.draw(all.into_iter().collect(), count) {
            let seq = self.probes.stray();
            self.send(whom, Message::Ping(seq), now, out);
        }
    }

    // ---- Comparing ----

    fn compare(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.comparing.is_some_and(|c| now >= c.until) {
            self.comparing = None;
            self.compare_at = self.compare_at.min(now + self.set.period);
        }
        if now < self.compare_at || self.comparing.is_some() || self.state == State::Left {
            return;
        }
        let all: Vec<SocketAddr> = self.living().collect();
        let Some(with) = self.draw(all, 1).pop() else { return };
        let pause = if self.synced { COMPARES * (0.5 + part(&mut self.rng)) } else { 1.0 };
        self.compare_at = now + self.set.period.times(pause);
        self.pull(with, None, now, out);
    }

    fn pull(&mut self, with: SocketAddr, after: Option<SocketAddr>, now: Time, out: &mut Vec<Effect>) {
        self.comparing = Some(Comparing { with, after, until: now + self.set.period });
        let digest = self.digest();
        self.send(with, Message::Pull { after, digest }, now, out);
    }

    /// Of all that is known, oneself included: so it is the same at all who know the same.
    fn digest(&self) -> u64 {
        self.table.digest() ^ table::mark(&self.set.me, self.me, self.state)
    }

    fn answer_pull(
        &mut self,
        whom: SocketAddr,
        after: Option<SocketAddr>,
        digest: u64,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        if after.is_none() && digest == self.digest() {
            return self.send(whom, Message::Same, now, out);
        }
        // Oneself is known by having spoken, and the one that asks knows itself.
        let all = self.table.beyond(after).filter(|(a, p)| **a != whom && !p.hearsay);
        let all: Vec<Rumor> = all.take(PAGE + 1).map(|(a, p)| self.rumor(a, p)).collect();
        // How many fit is known when they are written.
        let mut page = self.foreword(&whom);
        let before = page.len();
        page.extend(&all);
        let (_, fit) = Datagram::encode(self.me, Message::Page { after, end: true }, &page);
        let fit = fit.saturating_sub(before);
        let end = fit == all.len();
        self.send_with(whom, Message::Page { after, end }, &all[..fit], 1.0 - PAGES, now, out);
    }

    fn take_page(
        &mut self,
        from: SocketAddr,
        after: Option<SocketAddr>,
        end: bool,
        rumors: &[Rumor],
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        // One that was not asked for, comes twice, or answers what has been given up: its words are taken, no more.
        if self.comparing.take_if(|c| c.with == from && c.after == after).is_none() {
            return;
        }
        let listed = rumors.iter().filter(|r| r.about != self.set.me && r.about != from);
        let last = listed.map(|r| r.about).filter(|a| after.is_none_or(|after| *a > after)).max();
        // What that gateway does not know, or knows less of, it is told with what comes along next.
        let until = if end { None } else { last };
        let missing = |(a, p): (&SocketAddr, &Peer)| {
            let within = until.is_none_or(|u| *a <= u) && *a != from && !p.hearsay;
            let knows = rumors.iter().any(|r| r.about == *a && r.weight() >= (p.incarnation, p.state));
            (within && !knows && p.state != State::Suspect).then(|| self.rumor(a, p))
        };
        let news: Vec<Rumor> = self.table.beyond(after).filter_map(missing).collect();
        news.into_iter().for_each(|r| self.gossip.add(r));
        match last {
            Some(last) if !end => self.pull(from, Some(last), now, out),
            _ => self.now_synced(out),
        }
    }

    fn now_synced(&mut self, out: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.synced, true) {
            out.push(Effect::Note(Note::Synced));
        }
    }

    // ---- Chance ----

    /// So many of them, drawn evenly, in a drawn order.
    fn draw(&mut self, mut from: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
        let count = count.min(from.len());
        for at in 0..count {
            let left = u64::try_from(from.len() - at).unwrap_or(1);
            let other = at + usize::try_from(self.rng.next_u64() % left).unwrap_or(0);
            from.swap(at, other);
        }
        from.truncate(count);
        from
    }
}

/// A number from 0 to 1.
fn part(rng: &mut Xoshiro256PlusPlus) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}
