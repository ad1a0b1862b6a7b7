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
//! | [`view`] | who is in the fleet, as what, and whether all that are in it hold the same |
//! | [`size`] | how many gateways share what is shared |
//! | `probe` | questions that are under way |
//!
//! Bounds: [`Settings::most`] gateways are known (one more is counted in [`MessageCounters::full`] and
//! not taken in), [`Settings::bytes_s`] are sent in a second in the mean and twice as many in any one second; what is beyond is not
//! sent, which is as good as lost, and counted.

#![forbid(unsafe_code)]
#![expect(missing_docs, reason = "not yet split and documented")]

pub mod gossip;
mod probe;
pub mod size;
pub mod suspicion;
pub mod table;
pub mod view;
pub mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use gossip::{Gossip, MANY};
use probe::Probes;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use size::FleetSize;
use suspicion::{LocalHealth, Suspicion};
use table::{Member, MemberTable, MergeOutcome, PARTS, lives};
use valehatch_policy::{Span, Time};
use view::{CHANGES, ChangeReason, MemberStatus, View, ViewChange, ViewStatus};
use wire::{
    AgreeingMembers, Datagram, Incarnation, MemberMetadata, MemberState, MemberUpdate, Message,
    Phase,
};

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
/// The parts of the bytes a second that pages for others and news told apart may take, and words that can fit on a page.
/// Pages hold what the other lacks and nothing else, so they come first.
const PAGES: f64 = 0.75;
const NEWS: f64 = 0.5;
const PAGE: usize = 16;
/// Words that one knows already and names when it asks for a part; where there are more, none are named. With all else at
/// its longest, 245 bytes.
const KNOWN: usize = 50;
/// Gateways in a part of what is known, where two compare part by part, about.
const A_PART: usize = 16;
/// How long a member's word that it holds another view counts, in periods.
const DISSENT: f64 = 4.0;
/// Datagrams that tell who holds the view, without anything new having come of them, after which the pause between them is
/// doubled; and how often it is.
const IDLE: u32 = 10;
const DOUBLED: u32 = 5;
/// Answers of another life to this one's contradictions, to the very number, from which on two live under one name and say
/// so; and from which on the one that would have to outbid the other once more does not.
const NAMESAKES: u32 = 2;
const YIELDS: u32 = 3;

/// How it is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's address, by which all others know it.
    pub me: SocketAddr,
    /// Gateways to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Its zone and the version of its program, by number; 0 where there is none.
    pub zone: u16,
    pub version: u16,
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
pub struct InvalidSettings(pub &'static str);

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for InvalidSettings {}

/// What is to be done or told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this to that gateway.
    Send { to: SocketAddr, bytes: Vec<u8> },
    /// Something changed.
    Event(MembershipEvent),
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A gateway was not known, or counted as gone, and lives.
    Joined(SocketAddr),
    /// It was started anew: what its former self held or had promised is gone.
    Restarted(SocketAddr),
    /// It does not answer.
    Suspected(SocketAddr),
    /// It lives after all.
    SuspicionCleared(SocketAddr),
    /// It counts as dead.
    Failed(SocketAddr),
    /// It has said that it ends.
    Left(SocketAddr),
    /// This gateway stood still for so long: whatever it held for true may be over.
    ProcessPaused(Span),
    /// Others took this gateway for suspect, dead or an older self; it has told them otherwise.
    Refuted,
    /// All that some gateway knew is known here, or nobody is there to ask.
    Synced,
    /// Another gateway lives under this one's name.
    DuplicateIdentity(Incarnation),
    /// All in the view hold the same.
    ViewConverged(ViewStatus),
    /// That is over: the view has changed, or a member has said that it holds another.
    ViewDiverged,
}

/// How many gateways there are, by three words that are never mixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Those that this gateway takes to live, itself included. Rises first; says nothing of what others believe.
    pub mine: u32,
    /// Those in the view, while it is settled: what all of them hold.
    pub settled: Option<u32>,
    /// What the operators' file says.
    pub configured: u32,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounters {
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
#[derive(Clone, Debug)]
struct Comparing {
    with: SocketAddr,
    /// The part that is asked for, of so many; 0 of them while it is not known which differ.
    part: u8,
    of: u8,
    after: Option<SocketAddr>,
    /// Parts that differ and are still to be asked for, the last of them next.
    left: Vec<u8>,
    until: Time,
}

/// Another life that outbids this one, and how often it has answered this one's contradictions to the very number: a former
/// self cannot.
#[derive(Clone, Copy, Debug)]
struct Outbid {
    nonce: u32,
    answered: u32,
}

/// What one gateway knows of the others.
#[derive(Debug)]
pub struct Membership {
    set: Settings,
    me: Incarnation,
    card: MemberMetadata,
    state: MemberState,
    outbid: Option<Outbid>,
    /// The life by which the others know this name, where another gateway has it too and has outbid this one for good.
    yielded: Option<(Incarnation, MemberMetadata)>,
    rng: Xoshiro256PlusPlus,
    table: MemberTable,
    /// Of those that are taken for suspect.
    suspicions: BTreeMap<SocketAddr, Suspicion>,
    gossip: Gossip,
    probes: Probes,
    health: LocalHealth,
    size: FleetSize,
    view: View,
    purse: Purse,
    /// The order in which the others are asked, drawn anew each round.
    round: Vec<SocketAddr>,
    comparing: Option<Comparing>,
    synced: bool,
    /// When this was last called.
    looked: Time,
    ask_at: Time,
    compare_at: Time,
    compared: Time,
    revive_at: Time,
    spread_at: Time,
    /// The view and its holders when it was told last, and how often that has been told without change.
    told: (u64, usize, u32),
    counts: MessageCounters,
}

impl Membership {
    /// A gateway that has just started. `wall_ms` is the wall clock, for the first incarnation; it may be wrong.
    ///
    /// # Errors
    /// Settings that cannot be worked with.
    pub fn new(set: Settings, wall_ms: u64, seed: u64, now: Time) -> Result<Self, InvalidSettings> {
        if set.me.ip().is_unspecified() || set.me.port() == 0 {
            return Err(InvalidSettings(
                "the own address is none that others could send to",
            ));
        }
        if set.period < Span::from_millis(10) {
            return Err(InvalidSettings("the period is under 10 ms"));
        }
        if set.most == 0 {
            return Err(InvalidSettings("no gateway may be known"));
        }
        if set.bytes_s < 1024 {
            return Err(InvalidSettings(
                "under 1,024 bytes a second leave questions unasked",
            ));
        }
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let me = Incarnation {
            number: wall_ms.min(Incarnation::MOST / 2),
            nonce: rng.next_u32(),
        };
        let first = part(&mut rng);
        let card = MemberMetadata {
            zone: set.zone,
            version: set.version,
            ..MemberMetadata::default()
        };
        let mut new = Self {
            me,
            card,
            state: MemberState::Alive,
            outbid: None,
            yielded: None,
            table: MemberTable::new(set.most, set.period.times(REMEMBERED)),
            suspicions: BTreeMap::new(),
            gossip: Gossip::default(),
            probes: Probes::new(rng.next_u32()),
            health: LocalHealth::default(),
            size: FleetSize::new(set.configured, set.settle),
            view: View::new(set.me, CHANGES, set.period.times(DISSENT), now),
            purse: Purse {
                a_second: f64::from(set.bytes_s),
                held: f64::from(set.bytes_s),
                at: now,
            },
            round: vec![],
            comparing: None,
            synced: set.seeds.iter().all(|s| *s == set.me),
            looked: now,
            // Those that start together do not ask together.
            ask_at: now + set.period.times(first * DIRECT),
            compare_at: now,
            compared: now,
            revive_at: now,
            spread_at: now,
            told: (0, 0, 0),
            counts: MessageCounters::default(),
            rng,
            set,
        };
        new.turn(now);
        Ok(new)
    }

    /// When [`Self::tick`] wants to be called next; sooner does no harm.
    #[must_use]
    pub fn next_due(&self) -> Time {
        let suspicions = self.suspicions.values().map(Suspicion::over);
        let spread = (self.gossip.len() >= MUCH || !self.view.all()).then_some(self.spread_at);
        let all = suspicions
            .chain(self.probes.next_due())
            .chain(spread)
            .chain([self.ask_at, self.revive_at]);
        // Often enough that standing still is told from having had nothing to do.
        all.chain([self.looked + self.set.period])
            .min()
            .unwrap_or(self.looked)
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
        self.count(now, out);
    }

    /// A datagram has come in. Whether its sender may send any is the link's to know.
    pub fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Effect>) {
        let now = self.wake(now, out);
        let Some(datagram) = Datagram::decode(bytes).filter(|_| from != self.set.me) else {
            self.counts.unread += 1;
            return;
        };
        self.counts.taken += 1;
        let Datagram {
            from: incarnation,
            card,
            ..
        } = datagram;
        let speaks = MemberUpdate {
            about: from,
            incarnation,
            state: MemberState::Alive,
            accuser: 0,
            card,
        };
        // One that ends says so along with whatever it says last.
        let ends = datagram
            .rumors
            .iter()
            .any(|r| r.about == from && r.state == MemberState::Left);
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
        self.turn(now);
        let same = self
            .view
            .hear(&from, &datagram.held, self.table.living(), now);
        // What has just changed is on its way to the other too, mostly.
        let (since, compared) = (now - self.view.since(), now - self.compared);
        let rests =
            since.min(compared) >= self.set.period || compared >= self.set.period.times(2.0);
        if !same && rests && self.view.dissenting().is_some() {
            self.compare_at = self.compare_at.min(now);
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
            Message::IndirectPing(seq, target) => self.look(from, seq, target, now, out),
            Message::SyncDigest(digest) => {
                self.answer_compare(from, u64::from_be_bytes(digest), now, out)
            }
            Message::BucketDigests(theirs) => self.take_parts(from, &theirs, now, out),
            Message::Pull {
                part,
                of,
                after,
                salt,
                known,
            } => {
                self.page(from, (part, of, after), (salt, &known), now, out);
            }
            Message::PullPage {
                part,
                of,
                after,
                end,
            } => {
                self.take_page(from, (part, of, after), end, &datagram.rumors, now, out);
            }
            Message::InSync => {
                self.comparing.take_if(|c| c.with == from);
                self.now_synced(out);
            }
            // One that does not know yet that all hold its view is told so.
            Message::Gossip
                if same && self.view.all() && datagram.held.holders != AgreeingMembers::All =>
            {
                self.send(from, Message::Gossip, now, out);
            }
            Message::Gossip => {}
        }
        self.count(now, out);
    }

    /// This gateway is about to end: some are told at once, others when they ask.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now = self.wake(now, out);
        self.state = MemberState::Left;
        for whom in self.draw_living(FAREWELLS, None) {
            self.send(whom, Message::Gossip, now, out);
        }
    }

    /// How far this gateway is now: all in the view hear of it.
    pub fn phase(&mut self, phase: Phase, now: Time, out: &mut Vec<Effect>) {
        let now = self.wake(now, out);
        if self.card.phase == phase || self.state == MemberState::Left {
            return;
        }
        self.card.phase = phase;
        self.card.epoch += 1;
        self.me.number += 1;
        self.gossip.add(self.own());
        self.count(now, out);
    }

    /// What is believed of the others, by address.
    pub fn peers(&self) -> impl Iterator<Item = (&SocketAddr, &Member)> {
        self.table.iter()
    }

    /// The others that are taken to live.
    pub fn living(&self) -> impl Iterator<Item = SocketAddr> {
        self.table.living().iter().copied()
    }

    /// How the view is shared.
    #[must_use]
    pub const fn shared(&self) -> ViewStatus {
        self.view.shared()
    }

    /// Who is in the view, this gateway included, by address, with those that are gone and still remembered.
    pub fn members(
        &self,
    ) -> impl Iterator<Item = (SocketAddr, Incarnation, MemberMetadata, MemberStatus)> {
        let (life, card) = self.yielded.unwrap_or((self.me, self.card));
        let me = (self.set.me, life, card, MemberStatus::of(self.state, card));
        let others = |(a, p): (&SocketAddr, &Member)| {
            (*a, p.incarnation, p.card, MemberStatus::of(p.state, p.card))
        };
        let before = self
            .table
            .iter()
            .take_while(move |(a, _)| **a < me.0)
            .map(others);
        let after = self
            .table
            .iter()
            .skip_while(move |(a, _)| **a < me.0)
            .map(others);
        before.chain([me]).chain(after)
    }

    /// The changes of the view after a version, each once and in order, and how many of them are not kept any more.
    pub fn changes(&self, after: u64) -> (u64, impl Iterator<Item = &ViewChange>) {
        self.view.changes(after)
    }

    /// How many gateways there are, by each word.
    #[must_use]
    pub fn numbers(&self) -> MemberCounts {
        let shared = self.view.shared();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        MemberCounts {
            mine: count(self.table.alive() + 1),
            settled: shared.settled.map(|_| count(shared.members)),
            configured: self.set.configured,
        }
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
    pub const fn health(&self) -> LocalHealth {
        self.health
    }

    /// What was counted.
    #[must_use]
    pub const fn counts(&self) -> MessageCounters {
        self.counts
    }

    /// Puts a fault into the join.
    #[cfg(feature = "mutants")]
    pub const fn mutate(&mut self, mutant: view::InjectedFault) {
        self.view.mutant = Some(mutant);
        self.table.last_holds = matches!(mutant, view::InjectedFault::AcceptStale);
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
            self.view.doubt(self.table.living());
            self.synced =
                self.set.seeds.iter().all(|s| *s == self.set.me) && self.table.alive() == 0;
            (self.ask_at, self.compare_at) = (now, now);
            self.suspicions.values_mut().for_each(|s| s.postpone(gap));
            // Others may have given it up by now; what it says next outweighs that.
            self.me.number += 1;
            out.push(Effect::Event(MembershipEvent::ProcessPaused(gap)));
        }
        now
    }

    fn count(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.turn(now);
        match self
            .view
            .look(self.synced && self.state != MemberState::Left, now)
        {
            None => {}
            Some(true) => out.push(Effect::Event(MembershipEvent::ViewConverged(
                self.view.shared(),
            ))),
            Some(false) => out.push(Effect::Event(MembershipEvent::ViewDiverged)),
        }
        let MemberCounts { mine, settled, .. } = self.numbers();
        self.size
            .count(self.synced.then_some(mine), settled.is_some(), now);
    }

    /// The view is what is believed now.
    fn turn(&mut self, now: Time) {
        let (life, card) = self.yielded.unwrap_or((self.me, self.card));
        let own = if lives(self.state) {
            table::view_mark(&self.set.me, life, card)
        } else {
            0
        };
        self.view
            .turn(self.table.view() ^ own, self.table.living(), now);
    }

    // ---- Words ----

    /// Takes a word in, whoever said it.
    fn hear(&mut self, rumor: &MemberUpdate, now: Time, out: &mut Vec<Effect>) {
        if rumor.about == self.set.me {
            return self.refute(rumor, out);
        }
        let about = rumor.about;
        let (taken, before) = self.table.take(rumor, now);
        self.change(rumor, before, taken, now);
        let note = match taken {
            MergeOutcome::TableFull => {
                self.counts.full += 1;
                return;
            }
            MergeOutcome::Unchanged => {
                // Another who suspects the same life is news.
                let held = self.suspicions.get_mut(&about).filter(|s| {
                    rumor.state == MemberState::Suspect && s.incarnation == rumor.incarnation
                });
                if held.is_some_and(|s| s.confirm(rumor.accuser)) {
                    self.gossip.add(*rumor);
                }
                return;
            }
            // One that is gone and was never known: kept, and no news for anybody.
            MergeOutcome::Joined if !lives(rumor.state) => return,
            MergeOutcome::Joined => Some(MembershipEvent::Joined(about)),
            MergeOutcome::Restarted if lives(rumor.state) => {
                Some(MembershipEvent::Restarted(about))
            }
            MergeOutcome::Refreshed => None,
            MergeOutcome::Restarted | MergeOutcome::StateChanged(_) => {
                Some(match (taken, rumor.state) {
                    (_, MemberState::Suspect) => MembershipEvent::Suspected(about),
                    (_, MemberState::Dead) => MembershipEvent::Failed(about),
                    (_, MemberState::Left) => MembershipEvent::Left(about),
                    (MergeOutcome::StateChanged(MemberState::Suspect), MemberState::Alive) => {
                        MembershipEvent::SuspicionCleared(about)
                    }
                    (_, MemberState::Alive) => MembershipEvent::Joined(about),
                })
            }
        };
        // Whatever was suspected before was of an earlier incarnation, or is settled.
        self.suspicions.remove(&about);
        if rumor.state == MemberState::Suspect {
            let (others, least) = (
                self.table.alive().saturating_sub(1),
                self.set.period.times(SUSPECTED),
            );
            let new = Suspicion::new(rumor.incarnation, rumor.accuser, others, least, now);
            self.suspicions.insert(about, new);
        }
        self.gossip.add(*rumor);
        out.extend(note.map(Effect::Event));
    }

    /// Tells those that stand on the view, if this word has changed it.
    fn change(
        &mut self,
        rumor: &MemberUpdate,
        before: Option<(MemberState, MemberMetadata)>,
        taken: MergeOutcome,
        at: Time,
    ) {
        let MemberUpdate {
            about,
            incarnation: life,
            card,
            state,
            ..
        } = *rumor;
        let (was, is) = (
            before.map(|(state, card)| MemberStatus::of(state, card)),
            MemberStatus::of(state, card),
        );
        let says = |c: MemberMetadata| (c.zone, c.version, c.phase);
        let why = match (taken, state) {
            (MergeOutcome::Unchanged | MergeOutcome::TableFull, _) => return,
            (_, MemberState::Dead) => ChangeReason::Failed,
            (_, MemberState::Left) => ChangeReason::Left,
            (MergeOutcome::Restarted, _) => ChangeReason::Restarted,
            (MergeOutcome::Joined, _) => ChangeReason::Joined,
            (_, MemberState::Suspect) => ChangeReason::Suspected,
            (MergeOutcome::StateChanged(MemberState::Suspect), MemberState::Alive) => {
                ChangeReason::SuspicionCleared
            }
            (MergeOutcome::StateChanged(_), MemberState::Alive) => ChangeReason::Joined,
            (MergeOutcome::Refreshed, MemberState::Alive) => ChangeReason::MetadataChanged,
        };
        let told = match why {
            ChangeReason::MetadataChanged => before.is_none_or(|b| says(b.1) != says(card)),
            ChangeReason::Failed | ChangeReason::Left | ChangeReason::Suspected => {
                was.is_some_and(|was| was != is)
            }
            _ => true,
        };
        if told {
            self.view.change(ViewChange {
                version: 0,
                at,
                about,
                life,
                card,
                was,
                is,
                why,
            });
        }
    }

    /// A word about this gateway itself: what is not so is contradicted by a later incarnation.
    fn refute(&mut self, rumor: &MemberUpdate, out: &mut Vec<Effect>) {
        if self.state == MemberState::Left
            || rumor.weight() <= (self.me, MemberState::Alive, self.card)
        {
            return;
        }
        let nonce = rumor.incarnation.nonce;
        if nonce != self.me.nonce {
            let before = self.outbid.filter(|o| o.nonce == nonce);
            let more = u32::from(rumor.incarnation.number == self.me.number + 1);
            let answered = before.map_or(0, |o| (o.answered + more).min(YIELDS));
            self.outbid = Some(Outbid { nonce, answered });
            if answered == NAMESAKES && before.is_some_and(|o| o.answered < answered) {
                out.push(Effect::Event(MembershipEvent::DuplicateIdentity(
                    rumor.incarnation,
                )));
            }
            // Outbidding each other for ever helps neither. The others know this name by the other life; it answers for both.
            if answered == YIELDS && lives(rumor.state) {
                let later = self
                    .yielded
                    .is_none_or(|(life, card)| (life, card) < (rumor.incarnation, rumor.card));
                if later {
                    self.yielded = Some((rumor.incarnation, rumor.card));
                }
                return;
            }
        }
        self.yielded = None;
        // Whoever held the view without this gateway is not to be counted as holding the one with it.
        self.card.epoch += u32::from(!lives(rumor.state));
        self.me.number = rumor.incarnation.number + 1;
        self.counts.refuted += 1;
        out.push(Effect::Event(MembershipEvent::Refuted));
    }

    /// This gateway's word on itself.
    const fn own(&self) -> MemberUpdate {
        MemberUpdate {
            about: self.set.me,
            incarnation: self.me,
            state: self.state,
            accuser: 0,
            card: self.card,
        }
    }

    /// Sends a datagram, with what comes along.
    fn send(&mut self, to: SocketAddr, message: Message, now: Time, out: &mut Vec<Effect>) {
        let news: Vec<MemberUpdate> = self.gossip.next(PAGE).collect();
        let _ = self.send_with(to, message, &news, 0.0, now, out);
    }

    /// How many of the words were sent.
    fn send_with(
        &mut self,
        to: SocketAddr,
        message: Message,
        rumors: &[MemberUpdate],
        keep: f64,
        now: Time,
        out: &mut Vec<Effect>,
    ) -> usize {
        self.turn(now);
        let mut all = self.foreword(&to);
        let before = all.len();
        all.extend(rumors.iter().filter(|r| r.about != to).copied());
        let (bytes, told) = Datagram::encode(self.bare(message), &all);
        if !self.purse.spend(bytes.len(), keep, now) {
            self.counts.spared += 1;
            return 0;
        }
        self.gossip.told(&all[..told], self.table.alive() + 1);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Effect::Send { to, bytes });
        told.saturating_sub(before)
    }

    /// A datagram without news.
    fn bare(&mut self, message: Message) -> Datagram {
        let held = self.view.held(self.table.living(), self.rng.next_u32());
        Datagram {
            from: self.me,
            card: self.card,
            held,
            message,
            rumors: vec![],
        }
    }

    /// What each datagram to another begins with: this gateway's own end, and what the other is taken for if that is
    /// anything else than alive, or alive in another life: it has to hear it to say otherwise.
    fn foreword(&self, to: &SocketAddr) -> Vec<MemberUpdate> {
        let own = (self.state == MemberState::Left).then_some(self.own());
        let theirs = self
            .table
            .get(to)
            .filter(|p| p.state != MemberState::Alive || p.behind);
        own.into_iter()
            .chain(theirs.map(|p| self.rumor(to, p)))
            .collect()
    }

    fn rumor(&self, about: &SocketAddr, peer: &Member) -> MemberUpdate {
        let accuser = if peer.state == MemberState::Suspect {
            self.mark()
        } else {
            0
        };
        MemberUpdate {
            about: *about,
            incarnation: peer.incarnation,
            state: peer.state,
            accuser,
            card: peer.card,
        }
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
        if self.state == MemberState::Left {
            return;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        let direct = self.health.stretch(self.set.period.times(DIRECT));
        let seq = self
            .probes
            .begin(target, now + direct.times(0.5), now + direct, now + period);
        self.send(target, Message::Ping(seq), now, out);
    }

    /// Each of the others once in a round, in an order of its own each time: what is asked at the latest after two
    /// rounds less one is found however unlucky the draw.
    fn next_target(&mut self) -> Option<SocketAddr> {
        let lives =
            |table: &MemberTable, a: &SocketAddr| table.get(a).is_some_and(|p| lives(p.state));
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
            let helpers = self.draw_living(HELPERS, Some(target));
            self.probes.helped_by(seq, &helpers);
            for helper in helpers {
                self.send(helper, Message::IndirectPing(seq, target), now, out);
            }
        }
        for (whom, seq) in self.probes.unseen(now, self.set.period) {
            self.send(whom, Message::Nack(seq), now, out);
        }
        while let Some((target, silent)) = self.probes.lost(now) {
            // Who hears nothing even from those that were asked to look does not hear well.
            self.health
                .worse(silent.map_or(1, |n| u32::try_from(n).unwrap_or(u32::MAX)));
            let Some(peer) = self.table.get(&target).filter(|p| lives(p.state)) else {
                continue;
            };
            let rumor = MemberUpdate {
                state: MemberState::Suspect,
                accuser: self.mark(),
                ..self.rumor(&target, peer)
            };
            self.counts.suspected += u64::from(peer.state == MemberState::Alive);
            self.hear(&rumor, now, out);
        }
    }

    /// Looks for another.
    fn look(
        &mut self,
        whom: SocketAddr,
        seq: u32,
        target: SocketAddr,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        // Only those that are known here are asked for others: nobody is made to send to the rest of the world.
        if self.table.get(&target).is_none() || self.state == MemberState::Left {
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
            let card = self
                .table
                .get(&about)
                .map_or(MemberMetadata::default(), |p| p.card);
            self.hear(
                &MemberUpdate {
                    about,
                    incarnation,
                    state: MemberState::Dead,
                    accuser: 0,
                    card,
                },
                now,
                out,
            );
        }
    }

    /// Tells one more of much that is new, or who holds the view while not all are known to. Those of the own block first:
    /// they know each other's word after a few tellings, and whole blocks after a few more.
    fn spread(&mut self, now: Time, out: &mut Vec<Effect>) {
        let much = self.gossip.len() >= MUCH;
        if now < self.spread_at || self.state == MemberState::Left || !much && self.view.all() {
            return;
        }
        let shared = self.view.shared();
        if (self.told.0, self.told.1) == (shared.digest, shared.holders) {
            self.told.2 += 1;
        } else {
            self.told = (shared.digest, shared.holders, 0);
        }
        let rarer = if much {
            0
        } else {
            (self.told.2 / IDLE).min(DOUBLED)
        };
        let pace = if self.gossip.len() >= MANY {
            SPREADS / 2.0
        } else {
            SPREADS * f64::from(1 << rarer)
        };
        self.spread_at = now + self.set.period.times(pace);
        let own = if much {
            None
        } else {
            self.view.block(self.table.living())
        };
        let whom = match own.filter(|o| !o.is_empty()) {
            Some(block) => {
                let at = block.start + below(&mut self.rng, block.len());
                self.table.living().get(at).copied()
            }
            None => self.draw_living(1, None).pop(),
        };
        if let Some(whom) = whom {
            let news: Vec<MemberUpdate> = self.gossip.next(PAGE).collect();
            self.send_with(whom, Message::Gossip, &news, 1.0 - NEWS, now, out);
        }
    }

    /// Asks one that counts as dead, or a seed that is not known: a cut between two halves heals by that, and a fleet
    /// that starts together finds itself. At first, and while nobody is known, more often.
    fn revive(&mut self, now: Time, out: &mut Vec<Effect>) {
        let pause = if self.table.alive() == 0 {
            1.0
        } else {
            REVIVES
        };
        self.revive_at = now + self.set.period.times(pause * (0.5 + part(&mut self.rng)));
        if self.state == MemberState::Left {
            return;
        }
        self.table
            .expire(now)
            .iter()
            .for_each(|a| self.gossip.forget(a));
        let known = |a: &SocketAddr| self.table.get(a).is_some_and(|p| lives(p.state));
        let seeds = self
            .set
            .seeds
            .iter()
            .filter(|s| **s != self.set.me && !known(s))
            .copied();
        let dead = self
            .table
            .iter()
            .filter(|(_, p)| !lives(p.state))
            .map(|(a, _)| *a);
        #[cfg(feature = "mutants")]
        let dead = dead.filter(|_| self.view.mutant != Some(view::InjectedFault::ForgetPartition));
        #[cfg(feature = "mutants")]
        let seeds = seeds.filter(|a| {
            self.view.mutant != Some(view::InjectedFault::ForgetPartition)
                || self.table.get(a).is_none()
        });
        let all: BTreeSet<SocketAddr> = seeds.chain(dead).collect();
        let count = if self.table.alive() == 0 { HELPERS } else { 1 };
        for whom in self.draw(all.into_iter().collect(), count) {
            let seq = self.probes.stray();
            self.send(whom, Message::Ping(seq), now, out);
        }
    }

    // ---- Comparing ----

    fn compare(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.comparing.as_ref().is_some_and(|c| now >= c.until) {
            self.comparing = None;
            self.compare_at = self.compare_at.min(now + self.set.period);
        }
        if now < self.compare_at || self.comparing.is_some() || self.state == MemberState::Left {
            return;
        }
        let differs = self.view.dissenting().filter(|_| self.synced);
        let Some(with) = differs.or_else(|| self.draw_living(1, None).pop()) else {
            return;
        };
        let pause = if self.synced {
            COMPARES * (0.5 + part(&mut self.rng))
        } else {
            1.0
        };
        self.compare_at = now + self.set.period.times(pause);
        self.compared = now;
        self.view.compared();
        let until = now + self.set.period;
        self.comparing = Some(Comparing {
            with,
            part: 0,
            of: 0,
            after: None,
            left: vec![],
            until,
        });
        let digest = self.digest().to_be_bytes();
        self.send(with, Message::SyncDigest(digest), now, out);
    }

    /// What this gateway itself adds to the digest of all that it knows.
    fn own_mark(&self) -> u64 {
        let (life, card) = self.yielded.unwrap_or((self.me, self.card));
        if lives(self.state) {
            table::mark(&self.set.me, life, card)
        } else {
            0
        }
    }

    /// Of all that is known, oneself included: so it is the same at all who know the same.
    fn digest(&self) -> u64 {
        self.table.digest() ^ self.own_mark()
    }

    /// The digests of so many parts, a power of two of them.
    #[allow(clippy::cast_possible_truncation)]
    fn digests(&self, of: usize) -> Vec<u32> {
        let mut all = vec![0_u64; of];
        for (n, part) in self.table.parts().iter().enumerate() {
            all[n % of] ^= part;
        }
        all[usize::from(table::part_of(&self.set.me)) % of] ^= self.own_mark();
        all.into_iter().map(|d| (d >> 32) as u32).collect()
    }

    fn answer_compare(&mut self, whom: SocketAddr, digest: u64, now: Time, out: &mut Vec<Effect>) {
        if digest == self.digest() {
            return self.send(whom, Message::InSync, now, out);
        }
        match (self.table.alive() / A_PART).next_power_of_two().min(PARTS) {
            0 | 1 => self.page(whom, (0, 1, None), (0, &[]), now, out),
            of => {
                let digests = self.digests(of);
                self.send(whom, Message::BucketDigests(digests), now, out);
            }
        }
    }

    /// Asks for those parts that differ.
    fn take_parts(&mut self, from: SocketAddr, theirs: &[u32], now: Time, out: &mut Vec<Effect>) {
        let of = theirs.len();
        let sound = of.is_power_of_two() && of <= PARTS;
        if !sound
            || self
                .comparing
                .take_if(|c| c.with == from && c.of == 0)
                .is_none()
        {
            return;
        }
        let ours = self.digests(of);
        let differ = (0_u8..)
            .zip(ours.iter().zip(theirs))
            .filter(|(_, (a, b))| a != b)
            .map(|(n, _)| n);
        let mut left: Vec<u8> = differ.collect();
        // Those that ask the same one together ask it for different parts first.
        let first = below(&mut self.rng, left.len());
        left.rotate_left(first);
        self.pull_next(from, u8::try_from(of).unwrap_or(1), left, now, out);
    }

    fn pull_next(
        &mut self,
        with: SocketAddr,
        of: u8,
        mut left: Vec<u8>,
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        let Some(part) = left.pop() else {
            return self.now_synced(out);
        };
        self.pull(
            Comparing {
                with,
                part,
                of,
                after: None,
                left,
                until: now + self.set.period,
            },
            now,
            out,
        );
    }

    fn pull(&mut self, next: Comparing, now: Time, out: &mut Vec<Effect>) {
        let Comparing {
            with,
            part,
            of,
            after,
            ..
        } = next;
        self.comparing = Some(next);
        // A word that is missed since its hash is another's is asked for with another salt the next time.
        let salt = u16::try_from(self.rng.next_u32() >> 16).unwrap_or(0);
        let ours = self.table.beyond(part, of, after).take(KNOWN + 1);
        let mut known: Vec<u16> = ours.map(|(a, p)| salted(salt, &self.rumor(a, p))).collect();
        if known.len() > KNOWN {
            known.clear();
        }
        let _ = self.send_with(
            with,
            Message::Pull {
                part,
                of,
                after,
                salt,
                known,
            },
            &[],
            0.0,
            now,
            out,
        );
    }

    /// Tells those of a part beyond an address, as many as fit.
    fn page(
        &mut self,
        whom: SocketAddr,
        (part, of, after): (u8, u8, Option<SocketAddr>),
        (salt, known): (u16, &[u16]),
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        // Oneself is known by having spoken, and the one that asks knows itself.
        let all = self
            .table
            .beyond(part, of, after)
            .filter(|(a, p)| **a != whom && !p.hearsay);
        let all = all
            .map(|(a, p)| self.rumor(a, p))
            .filter(|r| !known.contains(&salted(salt, r)));
        let all: Vec<MemberUpdate> = all.take(PAGE + 1).collect();
        // How many fit is known when they are written.
        let mut page = self.foreword(&whom);
        let before = page.len();
        page.extend(&all);
        let (_, fit) = Datagram::encode(
            self.bare(Message::PullPage {
                part,
                of,
                after,
                end: true,
            }),
            &page,
        );
        let fit = fit.saturating_sub(before);
        let end = fit == all.len();
        let message = Message::PullPage {
            part,
            of,
            after,
            end,
        };
        self.send_with(whom, message, &all[..fit], 1.0 - PAGES, now, out);
    }

    fn take_page(
        &mut self,
        from: SocketAddr,
        (part, of, after): (u8, u8, Option<SocketAddr>),
        end: bool,
        rumors: &[MemberUpdate],
        now: Time,
        out: &mut Vec<Effect>,
    ) {
        // One that was not asked for, comes twice, or answers what has been given up: its words are taken, no more. A small
        // table is told at once, as one part of one.
        let asked =
            |c: &Comparing| (c.part, c.of, c.after) == (part, of, after) || c.of == 0 && of == 1;
        let Some(now_at) = self.comparing.take_if(|c| c.with == from && asked(c)) else {
            return;
        };
        let listed = rumors
            .iter()
            .filter(|r| r.about != self.set.me && r.about != from);
        let last = listed
            .map(|r| r.about)
            .filter(|a| after.is_none_or(|after| *a > after))
            .max();
        // What that gateway does not know, or knows less of, it is told, and nobody else: it passes on what is new to it.
        let until = if end { None } else { last };
        let missing = |(a, p): (&SocketAddr, &Member)| {
            let within = until.is_none_or(|u| *a <= u) && *a != from && !p.hearsay;
            let knows = rumors
                .iter()
                .any(|r| r.about == *a && r.weight() >= (p.incarnation, p.state, p.card));
            (within && !knows && p.state != MemberState::Suspect).then(|| self.rumor(a, p))
        };
        // Of a larger table only what is new is told, and says nothing of what is not: the other asks for itself.
        let table = self.table.beyond(part, of, after).filter(|_| of == 1);
        let news: Vec<MemberUpdate> = table.filter_map(missing).collect();
        let mut left = &news[..];
        while !left.is_empty() {
            match self.send_with(from, Message::Gossip, left, 1.0 - PAGES, now, out) {
                0 => break,
                told => left = &left[told..],
            }
        }
        match last {
            Some(last) if !end => {
                let next = Comparing {
                    part,
                    of,
                    after: Some(last),
                    until: now + self.set.period,
                    ..now_at
                };
                self.pull(next, now, out);
            }
            _ => self.pull_next(from, of, now_at.left, now, out),
        }
    }

    fn now_synced(&mut self, out: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.synced, true) {
            out.push(Effect::Event(MembershipEvent::Synced));
        }
    }

    // ---- Chance ----

    /// So many of those that live, each at most once, drawn evenly.
    fn draw_living(&mut self, count: usize, without: Option<SocketAddr>) -> Vec<SocketAddr> {
        let living = self.table.living();
        if living.len() <= 4 * count {
            let all = living
                .iter()
                .copied()
                .filter(|a| Some(*a) != without)
                .collect();
            return self.draw(all, count);
        }
        let mut drawn = vec![];
        while drawn.len() < count {
            let one = living[below(&mut self.rng, living.len())];
            if Some(one) != without && !drawn.contains(&one) {
                drawn.push(one);
            }
        }
        drawn
    }

    /// So many of them, drawn evenly, in a drawn order.
    fn draw(&mut self, mut from: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
        let count = count.min(from.len());
        for at in 0..count {
            let other = at + below(&mut self.rng, from.len() - at);
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

/// By which a word is named among those of its part that are known already.
#[allow(clippy::cast_possible_truncation)]
fn salted(salt: u16, rumor: &MemberUpdate) -> u16 {
    use std::hash::Hasher;
    let all = table::hashed(&rumor.about, |h| {
        h.write_u16(salt.to_be());
        h.write_u64(table::mark(&rumor.about, rumor.incarnation, rumor.card).to_be());
        h.write_u8(u8::from(lives(rumor.state)));
    });
    (all >> 48) as u16
}

/// A whole number below this one; 0 below 0.
fn below(rng: &mut Xoshiro256PlusPlus, end: usize) -> usize {
    usize::try_from(rng.next_u64() % end.max(1) as u64).unwrap_or(0)
}
