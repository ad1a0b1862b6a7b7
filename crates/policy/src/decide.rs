//! The decisions: every rule, table and tuned value. `docs/DESIGN.md` tells why they are so.
//!
//! One remembered primary per group is learned from misses and roles; one write searches the members while
//! the group's others wait; held writes are resent to the primary found; other reads go by two choices among
//! the replicas known to be fresh enough. What is added to that is headed "Departure".

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

mod slow_start;
mod view;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::interface::*;
use slow_start::{ClassCosts, SlowStartBudget};

/// Design page: the pause after a round of misses.
const SEARCH_PAUSE: Span = Span::from_millis(500);
/// Smoothing of measured latencies and lags: the last ten or so samples count.
const GAIN: f64 = 0.1;
/// The same for how slow one member is: the last two or three answers, all that a router may have of it.
const EXCESS_GAIN: f64 = 0.3;
/// A member that answers so many times later than usual is as slow as any.
const MOST_EXCESS: f64 = 9.0;
/// Deviations above the mean at which one unanswered attempt counts as silence: answers vary widely.
const PATIENCE_DEVS: f64 = 9.0;
/// Attempts a node may have from one router before anything was measured; soon replaced by what it answers.
const START_LIMIT: f64 = 8.0;
/// What a slow answer takes off a node's limit; a quick one adds one through the limit.
const LIMIT_CUT: f64 = 0.7;
/// An answer that takes more than this part of its class's aim is slow: the rest is for waiting and retrying.
const SLOW_PART: f64 = 0.33;
/// Mean part of the aim that answers take from which on some requests are refused, and where all would be.
const STRAIN: (f64, f64) = (0.4, 0.7);
/// Smoothing of that mean. Parts vary by 0.5 or so: over the last forty answers the mean is out by 0.08, a
/// quarter of the way between the two; over ten, as others are smoothed, by half of it.
const STRAIN_GAIN: f64 = GAIN / 2.0;
/// The part of the time a connection may stand idle for which it is taken to stand.
const STANDS: f64 = 0.75;
/// Lost attempts and failed probes without an answer between them from which a node counts as out of reach.
const DOUBTS: u32 = 3;
/// How many times the first pause the pauses between questions to members grow to.
const LONGEST_GAP: f64 = 8.0;
/// Answers and lags are remembered for so long at least, however soon a member gets warm.
const MEMORY: Span = Span::from_millis(1000);
/// Positions that primaries have told from which no more are asked for: they corroborate each other.
const CLOCK_TOLD: u32 = 3;
/// The pause between two questions to one primary for that.
const CLOCK_PAUSE: Span = Span::from_millis(100);
/// A query that takes more than this part of the tightest bound on age is long.
const LONG_PART: f64 = 0.7;

type Attempt = (RequestId, u32);
type Sent = (Time, ClassId, Option<SessionKey>);

#[derive(Debug, Default)]
struct Node {
    group: GroupId,
    zone: ZoneId,
    weight: f64,
    state: EndpointState,
    started: Option<Time>,
    listed_primary: bool,
    /// The newest role told, and the time for which it was told.
    role: Option<(Role, Time)>,
    /// Lower bound of the log position; never goes back.
    position: Option<Time>,
    /// How old the position was as last told (after a miss: twice what that shows), and when.
    lag: Span,
    told_at: Time,
    out: BTreeMap<Attempt, Sent>,
    /// Attempts whose answers have begun and are passed on, and since when.
    streams: BTreeMap<Attempt, (Time, Sent)>,
    quiet_since: Option<Time>,
    limit: f64,
    /// By how much its answers took longer than usual, in usual times, as of a time.
    excess: f64,
    excess_at: Time,
    /// The share of its answers of late that were errors or broke off.
    faults: f64,
    health: Reach,
    slow_start: SlowStartBudget,
    probe_out: bool,
    probed_at: Option<Time>,
    /// When something was last sent there.
    sent_at: Option<Time>,
}

impl Node {
    fn ready(&self) -> bool {
        self.state == EndpointState::Ready && self.health.shut.is_none()
    }
}

/// May I use this node, by my own evidence? Lost attempts raise doubts, which an answer ends; silence shuts
/// it, or a failed probe among some doubts; an answer opens it, and a passing probe too unless it is silent
/// (a hung process passes probes). A single break shuts nothing: what comes back from that counts as cold.
#[derive(Debug, Default)]
struct Reach {
    doubts: u32,
    shut: Option<Shut>,
    again: Time,
    /// Until it is asked once more after that.
    gap: Span,
    /// When it came back from out of reach: it may have started anew, long before the list says so.
    revived: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shut {
    Silent,
    OutOfReach,
}

impl Reach {
    fn open(&mut self, now: Time) {
        if self.shut.take() == Some(Shut::OutOfReach) {
            self.revived = Some(now);
        }
        self.doubts = 0;
    }

    fn shut(&mut self, why: Shut, now: Time) {
        (self.shut, self.again, self.gap) = (Some(why), now + SEARCH_PAUSE, SEARCH_PAUSE);
    }
}

#[derive(Debug)]
struct Search {
    leader: Option<(RequestId, EndpointId, Time)>,
    tried: BTreeSet<EndpointId>,
    pause_until: Option<Time>,
    ask_at: Time,
    gap: Span,
    began: Time,
}

#[derive(Debug, Default)]
struct Group {
    members: BTreeSet<EndpointId>,
    primary: Option<EndpointId>,
    /// The primary is known by list role, answer or report, not just the seed.
    known: bool,
    search: Option<Search>,
    waiting: Vec<RequestId>,
    /// What attempts at replicas and at the primary take of late, as a part of their class's aim.
    strain: [f64; 2],
    /// How and since when that primary is believed in, and how often another one was: for the view only.
    belief: (PrimaryEvidence, Time, u64),
}

impl Group {
    fn believe(&mut self, primary: Option<EndpointId>, how: PrimaryEvidence, now: Time) {
        if self.primary != primary {
            self.belief = (how, now, self.belief.2 + 1);
        } else if how != PrimaryEvidence::Unknown && self.belief.0 != how {
            self.belief.0 = how;
        }
        (self.primary, self.known) = (primary, how != PrimaryEvidence::Unknown);
        self.search.take_if(|_| self.known);
    }
}

#[derive(Debug, Default)]
struct Open {
    class: ClassId,
    group: GroupId,
    session: Option<SessionKey>,
    arrived: Time,
    deadline: Time,
    useful_until: Time,
    floor: Option<Time>,
    attempts: u32,
    out: BTreeMap<u32, EndpointId>,
    /// When the first attempt that may have run was sent.
    ran_from: Option<Time>,
    avoid: BTreeSet<EndpointId>,
    not_before: Time,
    probe_wait: Option<Time>,
    streaming: bool,
}

/// Decides for one router. See [`Router::step`].
#[derive(Debug)]
pub struct Router {
    cfg: Settings,
    rng: Xoshiro256PlusPlus,
    now: Time,
    endpoints: BTreeMap<EndpointId, Node>,
    groups: BTreeMap<GroupId, Group>,
    open: BTreeMap<RequestId, Open>,
    sessions: BTreeMap<SessionKey, Time>,
    session_order: VecDeque<(SessionKey, Time)>,
    session_floor: Option<Time>,
    /// What requests of each class cost an endpoint in slow start.
    costs: ClassCosts,
    /// Answers of warm nodes of late for their size, fading over the time in which a node gets warm.
    served: f64,
    served_at: Time,
    /// Worth for its work of what comes in.
    usual_value: f64,
    class_deviation: Vec<f64>,
    class_latency: Vec<f64>,
    probe_latency: f64,
    /// Positions that primaries have told since the start.
    clock_told: u32,
    ask_at: Option<Time>,
    ask_gap: Span,
    wake_at: Option<Time>,
}

impl Router {
    /// A router that knows nothing yet.
    ///
    /// # Errors
    /// Settings that cannot be worked with.
    pub fn new(cfg: Settings, seed: u64) -> Result<Self, SettingsError> {
        if cfg.classes.is_empty()
            || cfg.routers == 0
            || cfg.limits.max_attempts == 0
            || cfg.tick.0 <= 0
        {
            return Err(SettingsError(
                "classes, routers, max_attempts and tick must be above 0".into(),
            ));
        }
        let class_latency: Vec<f64> = cfg
            .classes
            .iter()
            .map(|c| (c.latency_objective.as_f64() / 4.0).max(1.0))
            .collect();
        Ok(Self {
            costs: ClassCosts::new(&class_latency),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: Time(i64::MIN),
            endpoints: BTreeMap::new(),
            groups: BTreeMap::new(),
            open: BTreeMap::new(),
            sessions: BTreeMap::new(),
            session_order: VecDeque::new(),
            session_floor: None,
            served: 0.0,
            served_at: Time(i64::MIN),
            usual_value: 0.0,
            class_deviation: cfg
                .classes
                .iter()
                .map(|c| c.latency_objective.as_f64() / 8.0)
                .collect(),
            class_latency,
            probe_latency: cfg.tick.as_f64(),
            clock_told: 0,
            ask_at: (cfg.discovery_mode == DiscoveryMode::Poll).then_some(Time(i64::MIN)),
            ask_gap: Span(cfg.rules.max_poll_interval.0 / 16),
            wake_at: None,
            cfg,
        })
    }

    /// Takes all events of one moment and appends what is to be done, in order.
    pub fn step(&mut self, now: Time, events: &[PolicyEvent], actions: &mut Vec<Action>) {
        let now = self.now.max(now);
        self.now = now;
        for event in events {
            match event {
                PolicyEvent::EndpointList { complete, entries } => self.on_list(*complete, entries),
                PolicyEvent::DiscoveryFailed => self.on_list_failed(),
                PolicyEvent::Request(request) => self.on_request(request),
                PolicyEvent::ResponseStarted(id) => self.on_streaming(*id),
                PolicyEvent::AttemptEnded(end) => self.on_ended(end, actions),
                PolicyEvent::ClientDisconnected(id) => self.finish(*id, actions),
                PolicyEvent::ClockCorrected(by) => self.on_clock_corrected(*by),
                PolicyEvent::RouterCount(count) => self.on_routers((*count).max(1)),
                PolicyEvent::Timer(_) => self.wake_at = self.wake_at.filter(|at| *at > self.now),
                PolicyEvent::HealthCheckEnded {
                    endpoint,
                    outcome,
                    latency,
                    report,
                } => {
                    self.on_probed(*endpoint, *outcome, *latency, report.as_ref());
                }
            }
        }
        actions.extend(
            self.ask_at
                .take_if(|at| *at <= now)
                .map(|_| Action::RefreshEndpointList),
        );
        self.tend_health(actions);
        let wanted = |(id, g): (&GroupId, &Group)| (!g.waiting.is_empty()).then_some(*id);
        // Any number may come from a client: a group that holds nothing is forgotten.
        self.groups
            .retain(|_, g| !(g.members.is_empty() && g.waiting.is_empty()));
        for group in self.groups.iter().filter_map(wanted).collect::<Vec<_>>() {
            self.tend_search(group, actions);
            self.tend_waiting(group, actions);
        }
        self.set_timer(actions);
    }

    /// Where more share the nodes, each keeps its part of what it has: two of a limit, as one is for writes.
    fn on_routers(&mut self, count: u32) {
        let part = (f64::from(self.cfg.routers) / f64::from(count)).min(1.0);
        self.endpoints
            .values_mut()
            .for_each(|n| n.limit = n.limit.min((n.limit * part).max(2.0)));
        (self.cfg.routers, self.served) = (count, self.served * part);
    }

    /// Positions that were told right behind the correction are moved by it too: where that makes them older they stay, and
    /// where it would make them newer they are forgotten.
    fn on_clock_corrected(&mut self, by: Span) {
        let now = self.now;
        for endpoint in self.endpoints.values_mut() {
            endpoint.started = endpoint.started.map(|at| at + by);
            endpoint.role = endpoint.role.map(|(role, told)| (role, told.min(now)));
            endpoint.position = endpoint
                .position
                .filter(|_| by <= Span(0))
                .map(|at| at + by);
            // Where the clock was ahead, all data looked older than it is; where it was behind, such times never came so far.
            endpoint.lag = Span((endpoint.lag - by.max(Span(0))).0.max(0));
        }
        self.sessions.values_mut().for_each(|at| *at = *at + by);
        self.session_order
            .iter_mut()
            .for_each(|(_, at)| *at = *at + by);
        self.session_floor = self.session_floor.map(|at| at + by);
        self.open
            .values_mut()
            .for_each(|open| open.floor = open.floor.map(|at| at + by));
    }

    fn on_list(&mut self, complete: bool, entries: &[EndpointRecord]) {
        if complete {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            let all: Vec<EndpointId> = self.endpoints.keys().copied().collect();
            all.iter()
                .filter(|n| !named.contains(n))
                .for_each(|n| self.leave(*n, EndpointState::Removed));
        }
        entries.iter().for_each(|e| self.on_entry(e));
        self.groups
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.seed_primary(id));
        self.ask_gap = Span(self.cfg.rules.max_poll_interval.0 / 16);
    }

    fn on_entry(&mut self, entry: &EndpointRecord) {
        if entry.state != EndpointState::Ready {
            return self.leave(entry.endpoint, entry.state);
        }
        let endpoint = self
            .endpoints
            .entry(entry.endpoint)
            .or_insert_with(|| Node {
                group: entry.group,
                started: entry.started,
                limit: START_LIMIT,
                ..Node::default()
            });
        let restarted = endpoint.started != entry.started;
        (endpoint.state, endpoint.started, endpoint.zone) =
            (entry.state, entry.started, entry.zone);
        endpoint.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            1.0
        };
        endpoint.listed_primary = entry.primary;
        // A process that started anew holds nothing of what was sent to the old one.
        if restarted {
            (endpoint.health, endpoint.quiet_since) = (Reach::default(), None);
        }
        self.groups
            .entry(endpoint.group)
            .or_default()
            .members
            .insert(entry.endpoint);
    }

    /// Takes a node out of use at once; the stated grace is never drawn on.
    fn leave(&mut self, id: EndpointId, state: EndpointState) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if state == EndpointState::Removed
            && self.cfg.rules.removal_is_advisory
            && endpoint.state == EndpointState::Ready
        {
            return;
        }
        endpoint.state = state;
        self.lose_primary(id);
        self.forget(id);
    }

    /// Memory is bounded: a node that is gone and holds nothing of this router is dropped.
    fn forget(&mut self, id: EndpointId) {
        let Some(endpoint) = self
            .endpoints
            .get(&id)
            .filter(|n| n.state == EndpointState::Removed)
        else {
            return;
        };
        self.groups
            .entry(endpoint.group)
            .or_default()
            .members
            .remove(&id);
        if endpoint.out.is_empty() {
            self.endpoints.remove(&id);
        }
    }

    /// Design page: seeded from the list's role or the lowest sorted member. The list's word is the weakest:
    /// it counts only while nothing better is known, and not for a member that has told its role itself.
    fn seed_primary(&mut self, id: GroupId) {
        let (endpoints, trusted, now) = (
            &self.endpoints,
            self.cfg.listed_role != ListedRole::Ignored,
            self.now,
        );
        let Some(group) = self.groups.get_mut(&id).filter(|g| !g.known) else {
            return;
        };
        let mut ready = group
            .members
            .iter()
            .filter(|n| endpoints[n].state == EndpointState::Ready);
        let listed =
            |n: &&EndpointId| trusted && endpoints[n].listed_primary && endpoints[n].role.is_none();
        if let Some(member) = ready.clone().find(listed) {
            group.believe(Some(*member), PrimaryEvidence::EndpointList, now);
        } else if group.primary.is_none() && group.search.is_none() {
            group.believe(ready.next().copied(), PrimaryEvidence::Unknown, now);
        }
    }

    /// Backs off with jitter, never beyond half of what the rules count as asked.
    fn on_list_failed(&mut self) {
        if self.cfg.discovery_mode == DiscoveryMode::Poll {
            let jitter = 0.5 + self.random() * 0.5;
            self.ask_at = Some(self.now + self.ask_gap.times(jitter));
            self.ask_gap = Span((self.ask_gap.0 * 2).min(self.cfg.rules.max_poll_interval.0 / 2));
        }
    }

    // ---- Health and probes ----

    fn probe(&mut self, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if self.cfg.limits.health_checks
            && !endpoint.probe_out
            && endpoint.state == EndpointState::Ready
        {
            (endpoint.probe_out, endpoint.probed_at) = (true, Some(self.now));
            actions.push(Action::HealthCheck { endpoint: id });
        }
    }

    /// Probes a node that a read could use, if the answer can be expected to make it fresh enough.
    fn probe_for(&mut self, id: EndpointId, consistency: Time, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return;
        };
        let since = endpoint.probed_at.map(|at| self.now - at);
        let helps = self.now - endpoint.lag >= consistency;
        // A report is as old as its refreshing makes it: asking sooner than half of that tells nothing new.
        let gap = Span(endpoint.lag.0 / if helps { 2 } else { 4 });
        if since.is_none_or(|s| s >= gap.max(self.cfg.tick)) {
            self.probe(id, actions);
        }
    }

    fn on_probed(
        &mut self,
        id: EndpointId,
        outcome: Outcome,
        latency: Span,
        report: Option<&LoadReport>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.probe_out = false;
        if outcome == Outcome::Ok {
            self.probe_latency += GAIN * (latency.as_f64() - self.probe_latency);
            if endpoint.health.shut != Some(Shut::Silent) {
                endpoint.health.open(self.now);
            }
            report.into_iter().for_each(|r| self.on_report(id, r));
        } else if matches!(outcome, Outcome::ConnectFailed | Outcome::Timeout)
            && endpoint.health.shut.is_none()
        {
            endpoint.health.doubts += u32::from(endpoint.health.doubts > 0);
            if endpoint.health.doubts >= DOUBTS {
                endpoint.health.shut(Shut::OutOfReach, self.now);
                self.lose_primary(id);
            }
        }
    }

    fn on_report(&mut self, id: EndpointId, report: &LoadReport) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if let Some(position) = report.position {
            endpoint.position = endpoint.position.max(Some(position));
            (endpoint.lag, endpoint.told_at) = (self.now - position, self.now);
            self.clock_told = self
                .clock_told
                .saturating_add(u32::from(report.primary == Some(true)));
        }
        // A report's position is the earliest that its word on the role can be dated to.
        let (Some(primary), Some(at)) = (report.primary, report.position) else {
            return;
        };
        self.on_role(
            id,
            if primary {
                Role::Primary
            } else {
                Role::Replica
            },
            at,
            false,
        );
    }

    /// How long an attempt of a class may stay unanswered, among so many out, before that counts as evidence.
    /// By class: a long query is no silence, and calling it off only makes the node run it twice.
    fn patience(&self, class: ClassId, out: usize) -> Span {
        let devs = PATIENCE_DEVS / (out.max(1) as f64).sqrt();
        let (mean, deviation) = (self.class_latency[class.0], self.class_deviation[class.0]);
        Span(1).times(mean + devs * deviation) + self.cfg.tick
    }

    /// Departure: silence is evidence. A hung node never says miss, so one that leaves all its attempts
    /// unanswered for longer than this router's answers ever take gets nothing new but a trickle.
    fn tend_health(&mut self, actions: &mut Vec<Action>) {
        let over = |(id, endpoint): (&EndpointId, &Node)| {
            self.silence(endpoint)
                .filter(|at| *at < self.now)
                .map(|_| *id)
        };
        for id in self.endpoints.iter().filter_map(over).collect::<Vec<_>>() {
            let Some(endpoint) = self.endpoints.get_mut(&id) else {
                continue;
            };
            endpoint.health.shut(Shut::Silent, self.now);
            let harms =
                |o: &Open| self.cfg.classes[o.class.0].idempotency == Idempotency::NonIdempotent;
            let off = |id: &RequestId| {
                self.cfg.limits.cancel && self.open.get(id).is_some_and(|o| !harms(o))
            };
            let out = endpoint.out.keys().copied().filter(|(id, _)| off(id));
            actions.extend(out.map(|(request, attempt)| Action::Cancel { request, attempt }));
            self.lose_primary(id);
        }
    }

    /// When what is out at a node will count as silence.
    fn silence(&self, endpoint: &Node) -> Option<Time> {
        let quiet = |(sent, class, _): &Sent| {
            endpoint.quiet_since.map_or(*sent, |q| q.max(*sent))
                + self.patience(*class, endpoint.out.len())
        };
        endpoint
            .out
            .values()
            .filter(|_| endpoint.health.shut != Some(Shut::Silent))
            .map(quiet)
            .min()
    }

    /// Takes new work: ready, and not shut (but for a trial now and then).
    fn takes(&self, id: EndpointId) -> bool {
        let due = |n: &Node| n.health.shut == Some(Shut::Silent) && self.now >= n.health.again;
        self.endpoints
            .get(&id)
            .is_some_and(|n| n.ready() || (n.state == EndpointState::Ready && due(n)))
    }

    /// Departure: what a node has from this router at once is limited by how fast it answers.
    fn room(&self, id: EndpointId, spare: f64) -> bool {
        self.endpoints
            .get(&id)
            .is_some_and(|n| n.out.len() as f64 + spare < n.limit.max(1.0))
    }

    // ---- Primary and search ----

    fn on_role(&mut self, id: EndpointId, role: Role, at: Time, answered: bool) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.role.is_some_and(|(_, told)| told > at) {
            return;
        }
        endpoint.role = Some((role, at));
        let (group_id, shut, ready) = (
            endpoint.group,
            endpoint.health.shut.is_some(),
            endpoint.state == EndpointState::Ready,
        );
        if role == Role::Replica {
            return self.lose_primary(id);
        }
        let Some(group) = self.groups.get_mut(&group_id) else {
            return;
        };
        let other = group
            .primary
            .filter(|p| *p != id)
            .and_then(|p| self.endpoints.get(&p));
        let beaten = other.is_none_or(|p| {
            p.health.shut.is_some()
                || p.role
                    .is_none_or(|(r, told)| r == Role::Replica || told < at)
        });
        if beaten && ready && (answered || !shut) {
            let led = group
                .search
                .as_ref()
                .is_some_and(|s| s.leader.is_some_and(|(_, endpoint, _)| endpoint == id));
            let told = if answered {
                PrimaryEvidence::Answer
            } else {
                PrimaryEvidence::LoadReport
            };
            group.believe(
                Some(id),
                if led && answered {
                    PrimaryEvidence::Search
                } else {
                    told
                },
                self.now,
            );
        }
    }

    fn lose_primary(&mut self, id: EndpointId) {
        let Some(group) = self
            .endpoints
            .get(&id)
            .and_then(|n| self.groups.get_mut(&n.group))
        else {
            return;
        };
        if group.primary == Some(id) {
            group.believe(None, PrimaryEvidence::Unknown, self.now);
            let (ask_at, began) = (self.now + Span(SEARCH_PAUSE.0 / 4), self.now);
            let (tried, gap) = (BTreeSet::from([id]), SEARCH_PAUSE);
            group.search = Some(Search {
                leader: None,
                tried,
                pause_until: None,
                ask_at,
                gap,
                began,
            });
        } else if let Some(search) = &mut group.search {
            search.tried.insert(id);
            search.leader.take_if(|(_, endpoint, _)| *endpoint == id);
        }
    }

    /// One write leads; it loses its turn when its attempt stays out too long, so that the search goes on.
    fn tend_search(&mut self, id: GroupId, actions: &mut Vec<Action>) {
        let leader = self.groups.get(&id).and_then(|g| g.search.as_ref()?.leader);
        let over = leader.is_some_and(|(request, _, since)| {
            self.open
                .get(&request)
                .is_none_or(|o| self.now - since > self.patience(o.class, 1))
        });
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let Some(search) = &mut group.search else {
            return;
        };
        if let Some((_, endpoint, _)) = search.leader.take_if(|_| over) {
            search.tried.insert(endpoint);
        }
        // Departure: members are asked for their role while something waits, so that a successor is known
        // without spending a write's attempts; paced, with jitter, as hundreds of routers search at once.
        if self.now < search.ask_at {
            return;
        }
        let members = group.members.clone();
        // The more routers there are for each member, the slower each asks when it has asked in vain.
        let routers = f64::from(self.cfg.routers) / self.endpoints.len().max(1) as f64;
        let (jitter, most) = (0.5 + self.random(), 1.0 + routers.min(LONGEST_GAP));
        let Some(search) = self.groups.get_mut(&id).and_then(|g| g.search.as_mut()) else {
            return;
        };
        search.ask_at = self.now + search.gap.times(jitter);
        search.gap = Span(search.gap.0 * 2).min(SEARCH_PAUSE.times(most));
        members
            .into_iter()
            .for_each(|member| self.probe(member, actions));
    }

    /// The next member in sorted order that this round has not tried; starts the pause after the last.
    fn search_next(&mut self, id: GroupId) -> Option<EndpointId> {
        let (now, members) = (self.now, &self.groups.get(&id)?.members);
        let takes: Vec<EndpointId> = members
            .iter()
            .filter(|n| self.takes(**n))
            .copied()
            .collect();
        let search = self.groups.get_mut(&id)?.search.as_mut()?;
        if search.leader.is_some() || search.pause_until.is_some_and(|at| now < at) {
            return None;
        }
        if search.pause_until.take().is_some() {
            search.tried.clear();
        }
        let next = takes.into_iter().find(|n| !search.tried.contains(n));
        search.pause_until = next.is_none().then_some(now + SEARCH_PAUSE);
        next
    }

    // ---- Requests and writes ----

    fn on_request(&mut self, request: &Request) {
        let Some(class) = self.cfg.classes.get(request.class.0) else {
            return;
        };
        self.costs.on_request(request.class);
        let stretch = request
            .work
            .map_or(Span(0), |w| w.times(class.latency_objective_stretch));
        let deadline = self.now + request.time_left;
        let late_counts =
            class.consistency == Consistency::Write && class.late_priority_weight > 0.0;
        let kept = request
            .session
            .and_then(|key| self.sessions.get(&key).copied());
        let floor = match (class.consistency, self.cfg.sessions) {
            (Consistency::Session, SessionTracking::ClientProvided) => {
                request.since_last_write.map(|ago| self.now - ago)
            }
            (Consistency::Session, SessionTracking::RouterTracked) => kept.or(self.session_floor),
            _ => None,
        };
        let open = Open {
            class: request.class,
            group: request.group,
            session: request.session,
            arrived: self.now,
            deadline,
            useful_until: if late_counts {
                deadline
            } else {
                deadline.min(self.now + class.latency_objective + stretch)
            },
            floor,
            not_before: self.now,
            ..Open::default()
        };
        self.open.insert(request.id, open);
        self.groups
            .entry(request.group)
            .or_default()
            .waiting
            .push(request.id);
    }

    fn tend_waiting(&mut self, id: GroupId, actions: &mut Vec<Action>) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        // The most worth for its work first, in time before late, and the newest first: when not all can be
        // served in time, those that still can are.
        let mut waiting = std::mem::take(&mut group.waiting);
        for member in group.members.clone() {
            // Whether a member is within reach again is asked when something waits that it could serve.
            let Some(endpoint) = self.endpoints.get_mut(&member) else {
                continue;
            };
            if endpoint.health.shut == Some(Shut::OutOfReach) && self.now >= endpoint.health.again {
                // All routers ask the same dead member: each the more seldom the longer it stays so.
                endpoint.health.again = self.now + endpoint.health.gap;
                endpoint.health.gap =
                    Span(endpoint.health.gap.0 * 2).min(SEARCH_PAUSE.times(LONGEST_GAP));
                self.probe(member, actions);
            }
        }
        waiting.sort_by_cached_key(|id| self.rank(*id));
        for request in waiting {
            if self.place(request, actions) {
                self.groups.entry(id).or_default().waiting.push(request);
            }
        }
    }

    /// Departure: hundreds of routers with hardly anything in flight fill the nodes' queues unseen, so a
    /// router whose answers take too much of their aim refuses part of what comes in, the least worth for its
    /// work first. Acts on any kind of overload; may hurt where answers are slow for few.
    fn shed(&mut self, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id).filter(|o| o.arrived == self.now) else {
            return false;
        };
        let value = self.value(open);
        let primary = matches!(
            self.cfg.classes[open.class.0].consistency,
            Consistency::Write | Consistency::Strong
        );
        let strain = self
            .groups
            .get(&open.group)
            .map_or(0.0, |g| g.strain[usize::from(primary)]);
        self.usual_value += if self.usual_value > 0.0 {
            GAIN * (value - self.usual_value)
        } else {
            value
        };
        // The fewer routers there are for each node, the better the nodes' limits at each see what is filled.
        let unseen = f64::from(self.cfg.routers)
            / (f64::from(self.cfg.routers) + self.endpoints.len() as f64);
        let over = unseen.powi(2) * ((strain - STRAIN.0) / (STRAIN.1 - STRAIN.0)).clamp(0.0, 1.0);
        self.random() < (over * (self.usual_value / value).powi(2)).min(1.0 - GAIN)
    }

    fn value(&self, open: &Open) -> f64 {
        self.cfg.classes[open.class.0].priority_weight.max(1e-9) / self.class_latency[open.class.0]
    }

    fn rank(&self, id: RequestId) -> (i64, i64) {
        let Some(open) = self.open.get(&id) else {
            return (0, 0);
        };
        let class = &self.cfg.classes[open.class.0];
        let part = if self.now - open.arrived > class.latency_objective {
            class.late_priority_weight
        } else {
            1.0
        };
        (-(self.value(open) * part * 1e9) as i64, -open.arrived.0)
    }

    /// Sends a waiting request, ends it, or leaves it waiting (true).
    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let shed = self.shed(id);
        let Some(open) = self.open.get(&id) else {
            return false;
        };
        if !open.out.is_empty() {
            return false;
        }
        let (class, tick) = (&self.cfg.classes[open.class.0], self.cfg.tick);
        let expected = Span(1).times(self.class_latency[open.class.0]);
        let window_over = self.repeats_until(open).is_some_and(|at| self.now >= at);
        // Never sent by half its time: its client is told while it can come back.
        let half =
            Span((open.deadline - open.arrived).0 / 2 - (tick.0 * 4).min(class.deadline.0 / 8));
        let held = open.attempts == 0 && self.now - open.arrived > half;
        let useless = held || self.now + expected > open.useful_until && self.now > open.arrived;
        let (spent, over) = (
            open.attempts >= self.cfg.limits.max_attempts,
            self.now >= open.deadline,
        );
        let why = [
            (over, GiveUpReason::DeadlineExceeded),
            (shed, GiveUpReason::Overloaded),
            (held, GiveUpReason::NeverSent),
            (useless, GiveUpReason::TooLate),
        ];
        let why = why.into_iter().chain([
            (spent, GiveUpReason::AttemptsExhausted),
            (window_over, GiveUpReason::RetryWindowClosed),
        ]);
        if let Some((_, why)) = why.into_iter().find(|(holds, _)| *holds) {
            self.give_up(id, why, actions);
            return false;
        }
        if self.now < open.not_before {
            return true;
        }
        let target = match class.consistency {
            Consistency::Write => self.target_of_write(id),
            Consistency::Strong => {
                self.known_primary(self.open[&id].group, self.open[&id].class, 0.0)
            }
            _ => self.target_of_read(id, actions),
        };
        target.is_none_or(|endpoint| !self.send(id, endpoint, actions))
    }

    /// The remembered primary; else, for the one write that leads, the next member to try.
    fn target_of_write(&mut self, id: RequestId) -> Option<EndpointId> {
        let open = self.open.get(&id)?;
        let (group, class) = (self.groups.get(&open.group)?, open.class);
        if group.search.is_none() {
            return group.primary.filter(|p| self.grants(*p, class, 0.0));
        }
        // A leader keeps one attempt for the primary that is found, if it has more than one.
        if open.attempts + 1 >= self.cfg.limits.max_attempts.max(2) {
            return None;
        }
        let (group, now) = (open.group, self.now);
        let next = self.search_next(group)?;
        if !self.try_acquire_slow_start_budget(next, class) {
            self.groups
                .get_mut(&group)?
                .search
                .as_mut()?
                .tried
                .insert(next);
            return None;
        }
        self.groups.get_mut(&group)?.search.as_mut()?.leader = Some((id, next, now));
        Some(next)
    }

    fn known_primary(&mut self, group: GroupId, class: ClassId, spare: f64) -> Option<EndpointId> {
        let group = self.groups.get(&group)?;
        let primary = group
            .primary
            .filter(|_| group.known && group.search.is_none())?;
        self.grants(primary, class, spare).then_some(primary)
    }

    fn grants(&mut self, id: EndpointId, class: ClassId, spare: f64) -> bool {
        let takes = self.endpoints.get(&id).is_some_and(Node::ready) && self.room(id, spare);
        takes && self.try_acquire_slow_start_budget(id, class)
    }

    fn send(&mut self, id: RequestId, to: EndpointId, actions: &mut Vec<Action>) -> bool {
        let now = self.now;
        let send_before = self
            .open
            .get(&id)
            .and_then(|open| self.send_before(open, to));
        let (Some(open), Some(endpoint)) = (self.open.get_mut(&id), self.endpoints.get_mut(&to))
        else {
            return false;
        };
        open.out.insert(open.attempts, to);
        endpoint
            .out
            .insert((id, open.attempts), (now, open.class, open.session));
        open.attempts += 1;
        endpoint.quiet_since = endpoint.quiet_since.or(Some(now));
        (endpoint.health.again, endpoint.sent_at) = (now + SEARCH_PAUSE, Some(now));
        // Where nothing can be called off, a safe read's time-out leaves room for a second try.
        let bare = self.cfg.classes[open.class.0].idempotency == Idempotency::Idempotent
            && !self.cfg.limits.cancel;
        let timeout = bare.then_some(Span((open.deadline - now).0 / 2));
        actions.push(Action::Send {
            request: id,
            endpoint: to,
            timeout,
            send_before,
        });
        true
    }

    /// Until when a repeat is sure to be dropped where an earlier attempt may have run.
    fn repeats_until(&self, open: &Open) -> Option<Time> {
        match self.cfg.classes[open.class.0].idempotency {
            Idempotency::NonIdempotent
            | Idempotency::IdempotencyKey {
                scope: DedupScope::Zone,
                ..
            } => open.ran_from,
            Idempotency::IdempotencyKey { window, .. } => {
                Some(open.ran_from? + window - Span(self.cfg.tick.0 * 2))
            }
            Idempotency::Idempotent => None,
        }
    }

    /// Until when what is decided now holds: connections may come up late, and knowledge ages meanwhile.
    fn send_before(&self, open: &Open, to: EndpointId) -> Option<Time> {
        let repeat = self.repeats_until(open);
        let Consistency::BoundedStaleness(bound) = self.cfg.classes[open.class.0].consistency
        else {
            return repeat;
        };
        let primary = self
            .groups
            .get(&open.group)
            .is_some_and(|g| g.known && g.primary == Some(to));
        let known = self
            .endpoints
            .get(&to)?
            .position
            .filter(|_| self.cfg.stale_read_policy == StaleReadPolicy::Serve && !primary);
        known.map(|at| at + bound).into_iter().chain(repeat).min()
    }

    /// An answer has begun: its node has done the work, is not silent, and is not filled by what is sent on.
    fn on_streaming(&mut self, id: RequestId) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.streaming = true;
        for (attempt, endpoint) in &open.out {
            let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
                continue;
            };
            let Some(sent) = endpoint.out.remove(&(id, *attempt)) else {
                continue;
            };
            endpoint.streams.insert((id, *attempt), (now, sent));
            endpoint.health.open(now);
            endpoint.quiet_since = Some(now).filter(|_| !endpoint.out.is_empty());
        }
    }

    fn on_ended(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let (now, id) = (self.now, (end.request, end.attempt));
        let endpoint = self.endpoints.get_mut(&end.endpoint);
        let (out, stream) =
            endpoint.map_or((None, None), |n| (n.out.remove(&id), n.streams.remove(&id)));
        let (gone, begun) = (
            out.or(stream.map(|(_, sent)| sent)),
            stream.map(|(at, _)| at),
        );
        let sent = gone.map(|(at, ..)| at);
        gone.into_iter()
            .for_each(|(_, class, key)| self.measure(end, class, key));
        if let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) {
            if end.outcome.from_endpoint() {
                endpoint.health.open(now);
                endpoint.quiet_since = Some(now);
            } else if matches!(end.outcome, Outcome::ConnectFailed | Outcome::Reset) {
                endpoint.health.doubts += 1;
            }
            endpoint.quiet_since = endpoint.quiet_since.filter(|_| !endpoint.out.is_empty());
            // A primary stood at the present when it answered, so at least where it was when this was sent.
            let told = if end.role == Some(Role::Primary) {
                sent
            } else {
                None
            };
            let stamped = end.position.map(|p| p - Span::from_millis(1));
            endpoint.position = endpoint.position.max(told).max(stamped);
        }
        // A primary may have been one only as its answer began.
        let at = begun
            .filter(|_| end.role == Some(Role::Primary))
            .unwrap_or(now);
        end.role
            .into_iter()
            .for_each(|role| self.on_role(end.endpoint, role, at, true));
        let told = end.role == Some(Role::Primary) && end.position.is_some();
        self.clock_told = self.clock_told.saturating_add(u32::from(told));
        end.report
            .iter()
            .for_each(|r| self.on_report(end.endpoint, r));
        self.forget(end.endpoint);
        if end.outcome == Outcome::ConnectFailed {
            self.probe(end.endpoint, actions); // It may be dead or short of connections.
        }
        let Some(open) = self.open.get_mut(&end.request) else {
            return;
        };
        open.out.remove(&end.attempt);
        let group_id = open.group;
        let search = self
            .groups
            .get_mut(&group_id)
            .and_then(|g| g.search.as_mut());
        if let Some(search) = search.filter(|s| s.leader.is_some_and(|(id, ..)| id == end.request))
        {
            search.leader = None;
            search.tried.insert(end.endpoint);
        }
        if end.closed {
            return self.finish(end.request, actions);
        }
        let Some(open) = self.open.get_mut(&end.request) else {
            return;
        };
        open.ran_from = open.ran_from.or(sent.filter(|_| !end.outcome.never_ran()));
        let class = &self.cfg.classes[open.class.0];
        // The end of a connection that was given up must not be overtaken by the next attempt.
        let given_up = matches!(
            end.outcome,
            Outcome::Timeout | Outcome::Cancelled | Outcome::Error
        );
        open.not_before = if given_up {
            now + Span(self.cfg.tick.0 * 2)
        } else {
            open.not_before
        };
        if end.outcome == Outcome::LocalFailure {
            open.not_before = now + Span(1).times(self.class_latency[open.class.0]);
        } else if class.consistency != Consistency::Write {
            open.avoid.insert(end.endpoint);
            let consistency = Self::needed(class, open.floor, sent.unwrap_or(now));
            let endpoint = self
                .endpoints
                .get_mut(&end.endpoint)
                .filter(|_| end.outcome == Outcome::Misdirected);
            if let (Some(endpoint), Some(consistency)) = (endpoint, consistency) {
                (endpoint.lag, endpoint.told_at) =
                    (Span((now - consistency).0.saturating_mul(2)), now);
            }
        } else if matches!(end.outcome, Outcome::Rejected | Outcome::ConnectFailed) {
            open.not_before = now + Span(1).times(self.class_latency[open.class.0]);
        }
        if open.out.is_empty() {
            self.groups
                .entry(group_id)
                .or_default()
                .waiting
                .push(end.request);
        }
    }

    /// Learns from how an attempt ended, whether or not its request is still held.
    fn measure(&mut self, end: &AttemptEnd, class_id: ClassId, key: Option<SessionKey>) {
        let class = &self.cfg.classes[class_id.0];
        let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) else {
            return;
        };
        let fault = f64::from(u8::from(matches!(
            end.outcome,
            Outcome::Error | Outcome::Reset
        )));
        endpoint.faults += GAIN * (fault - endpoint.faults);
        let slow = end.latency > class.latency_objective.times(SLOW_PART); // A client's haste proves nothing.
        if !end.outcome.never_ran() && (end.outcome == Outcome::Ok || slow) {
            let usual = self.class_latency[class_id.0];
            let excess = (end.latency.as_f64() / usual - 1.0).clamp(0.0, MOST_EXCESS);
            let before = faded(
                endpoint.excess,
                self.now - endpoint.excess_at,
                self.cfg.rules.slow_start_duration,
            );
            (endpoint.excess, endpoint.excess_at) =
                (before + EXCESS_GAIN * (excess - before), self.now);
        }
        let full = if end.outcome == Outcome::Rejected {
            STRAIN.1
        } else {
            0.0
        };
        let part =
            (end.latency.as_f64() / class.latency_objective.as_f64().max(1.0)).clamp(full, 2.0);
        if !end.outcome.never_ran() || end.outcome == Outcome::Rejected {
            // Answers from other groups stand in where a group has few of its own.
            let primary = self
                .groups
                .get(&endpoint.group)
                .is_some_and(|g| g.primary == Some(end.endpoint));
            let shared = STRAIN_GAIN / (self.groups.len() as f64).sqrt();
            for (id, group) in &mut self.groups {
                let strain = &mut group.strain[usize::from(primary)];
                *strain += if *id == endpoint.group {
                    STRAIN_GAIN
                } else {
                    shared
                } * (part - *strain);
            }
        }
        if slow || end.outcome == Outcome::Rejected {
            endpoint.limit = (endpoint.limit - LIMIT_CUT).max(1.0);
        } else if end.outcome == Outcome::Ok
            && endpoint.out.len() as f64 + 1.0 > endpoint.limit / 2.0
        {
            endpoint.limit += 1.0 / endpoint.limit;
        }
        if end.outcome != Outcome::Ok {
            return;
        }
        let warm = |n: &&Node| n.ready() && self.slow_start_fraction(n).is_none();
        if self.endpoints.get(&end.endpoint).filter(warm).is_some() {
            // By the size that was warm then: by what is warm later, nodes of a group most of which went away
            // would seem to have served far more for their size.
            let sizes: f64 = self.endpoints.values().filter(warm).map(|n| n.weight).sum();
            (self.served, self.served_at) = (self.served_now() + 1.0 / sizes, self.now);
        }
        let sample = end.latency.as_f64();
        self.costs.on_served(class_id, sample);
        let (mean, deviation) = (
            &mut self.class_latency[class_id.0],
            &mut self.class_deviation[class_id.0],
        );
        *deviation += GAIN * ((sample - *mean).abs() - *deviation);
        *mean = (*mean + GAIN * (sample - *mean)).max(1.0);
        let kept = class.consistency == Consistency::Write
            && self.cfg.sessions == SessionTracking::RouterTracked;
        let (true, Some(key), Some(at)) = (kept, key, end.position) else {
            return;
        };
        let kept = *self
            .sessions
            .entry(key)
            .and_modify(|kept| *kept = at.max(*kept))
            .or_insert(at);
        self.session_order.push_back((key, kept));
        // Memory is bounded by letting the oldest go: its position is then asked of every unknown session.
        while self.session_order.len() > self.cfg.limits.max_open_requests {
            let Some((old, when)) = self.session_order.pop_front() else {
                break;
            };
            if self.sessions.get(&old) == Some(&when) && self.sessions.remove(&old).is_some() {
                self.session_floor = self.session_floor.max(Some(when));
            }
        }
    }

    // ---- Reads ----

    /// The position that a read needs now; `None`: any.
    fn needed(class: &RequestClass, floor: Option<Time>, now: Time) -> Option<Time> {
        match class.consistency {
            Consistency::BoundedStaleness(bound) => Some(now - bound),
            Consistency::Session => floor,
            _ => None,
        }
    }

    /// Known to be fresh enough; where replicas check for themselves, a lag not told is none, and one told or
    /// shown by a miss is taken to fade: a wrong guess costs one more miss.
    fn fresh(&self, id: EndpointId, consistency: Option<Time>) -> bool {
        let (Some(consistency), Some(endpoint)) = (consistency, self.endpoints.get(&id)) else {
            return consistency.is_none();
        };
        let lag = faded(
            endpoint.lag.as_f64(),
            self.now - endpoint.told_at,
            self.cfg.rules.slow_start_duration,
        );
        let bears = self
            .groups
            .get(&endpoint.group)
            .is_some_and(|g| self.bearer(g) == Some(id));
        let guess = self.cfg.stale_read_policy != StaleReadPolicy::Serve
            && !bears
            && self.now - Span(1).times(lag) >= consistency;
        guess || endpoint.position.is_some_and(|p| p >= consistency)
    }

    /// Departure: while a replica holds a long query it applies nothing, so those of a group all go to one of
    /// its replicas, the last in sorted order at every router, and the others stay fresh.
    fn long(&self, class: ClassId) -> bool {
        let bound = |c: &RequestClass| {
            if let Consistency::BoundedStaleness(b) = c.consistency {
                Some(b.times(LONG_PART).as_f64())
            } else {
                None
            }
        };
        let tightest = self.cfg.classes.iter().filter_map(bound).reduce(f64::min);
        self.cfg.classes[class.0].consistency == Consistency::Eventual
            && tightest.is_some_and(|b| self.class_latency[class.0] > b)
    }

    /// The last replica that is warm, if there is one: while an endpoint starts, long queries would fill it first.
    fn bearer(&self, group: &Group) -> Option<EndpointId> {
        let replicas = group
            .members
            .iter()
            .filter(|n| group.primary != Some(**n) && self.takes(**n));
        let replicas: Vec<EndpointId> = replicas.copied().collect();
        let warm = replicas.iter().rev().find(|n| self.is_warm(**n));
        warm.or(replicas.last())
            .filter(|_| replicas.len() > 1)
            .copied()
    }

    fn target_of_read(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<EndpointId> {
        let open = self.open.get(&id)?;
        let (group_id, class) = (open.group, open.class);
        let (group, waited) = (self.groups.get(&group_id)?, self.now - open.arrived);
        let alone = self.long(open.class)
            && waited
                < self.cfg.classes[open.class.0]
                    .latency_objective
                    .times(SLOW_PART);
        if let Some(bearer) = self
            .bearer(group)
            .filter(|n| alone && !open.avoid.contains(n))
        {
            return self.grants(bearer, class, 0.0).then_some(bearer);
        }
        let consistency = Self::needed(&self.cfg.classes[open.class.0], open.floor, self.now);
        let (probe_wait, avoid) = (open.probe_wait, open.avoid.clone());
        let usable = |n: &&EndpointId| {
            group.primary != Some(**n)
                && !avoid.contains(n)
                && self.takes(**n)
                && self.room(**n, 0.0)
        };
        let replicas: Vec<EndpointId> = group.members.iter().filter(usable).copied().collect();
        let mut fresh: Vec<EndpointId> = replicas
            .iter()
            .filter(|n| self.fresh(**n, consistency))
            .copied()
            .collect();
        while let Some(pick) = self.pick(&fresh) {
            if self.try_acquire_slow_start_budget(pick, class) {
                return Some(pick);
            }
            fresh.retain(|n| *n != pick);
        }
        // Two drawn replicas are asked if none is known to be fresh, each at most as often as that can help.
        for _ in 0..2 {
            if let (Some(consistency), Some(drawn)) = (consistency, self.draw(&replicas)) {
                self.probe_for(drawn, consistency, actions);
            }
        }
        // A primary stands at the present: what it tells shows whether the clock of this machine is right. That is asked for
        // at the start only, of any primary.
        let primary = self.groups.get(&group_id).and_then(|g| g.primary);
        if let (Some(_), Some(primary)) =
            (consistency, primary.filter(|id| self.asks_for_clock(*id)))
        {
            self.probe(primary, actions);
        }
        // None known: a probe on its way may tell of one, and is waited for once.
        let asked = replicas.iter().any(|n| self.endpoints[n].probe_out);
        let until = probe_wait
            .unwrap_or(self.now + Span(1).times(2.0 * self.probe_latency) + self.cfg.tick);
        self.open.get_mut(&id)?.probe_wait = Some(until);
        if asked && self.now < until {
            return None;
        }
        let primary = self.known_primary(group_id, class, 1.0);
        if primary.is_none() && replicas.is_empty() {
            self.open.get_mut(&id)?.avoid.clear();
        }
        primary
    }

    /// Whether a primary is asked for what shows the clock: seldom enough that probes which come to nothing at once do not
    /// follow each other without a pause.
    fn asks_for_clock(&self, id: EndpointId) -> bool {
        let last = self
            .endpoints
            .get(&id)
            .and_then(|endpoint| endpoint.probed_at);
        self.clock_told < CLOCK_TOLD && last.is_none_or(|at| self.now - at >= CLOCK_PAUSE)
    }

    /// Design page: of two drawn, the one with fewer of this router's requests in flight; ours: on a tie the
    /// one in the router's zone.
    fn pick(&mut self, from: &[EndpointId]) -> Option<EndpointId> {
        let (first, second) = (self.draw(from)?, self.draw(from)?);
        let load = |n: EndpointId| {
            (
                self.endpoints[&n].out.len(),
                self.endpoints[&n].zone != self.cfg.zone,
            )
        };
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }

    /// Draws by what a node can do: its size, the warm part of it, how seldom it fails. Failing is quick and
    /// leaves little in flight, so that such a node would draw ever more.
    fn draw(&mut self, from: &[EndpointId]) -> Option<EndpointId> {
        // Whoever meets a member often sees that it is slow in what is out there and in its limit; who meets
        // it seldom has nothing out, and the last few answers.
        let seldom = 2.0 * (1.0 - self.heard());
        // It would also need a new connection nearly each time: it goes on where one stands unused.
        let idle = self.cfg.limits.idle_connection_timeout.times(STANDS);
        let stands =
            |n: &Node| n.out.is_empty() && n.sent_at.is_some_and(|at| self.now - at < idle);
        let part = |id: &EndpointId| {
            let endpoint = &self.endpoints[id];
            let excess = faded(
                endpoint.excess,
                self.now - endpoint.excess_at,
                self.cfg.rules.slow_start_duration,
            );
            let fit =
                (1.0 - endpoint.faults).powi(4).max(GAIN.powi(2)) / (1.0 + excess).powf(seldom);
            let stands = if stands(endpoint) {
                (1.0 + MOST_EXCESS).powf(seldom)
            } else {
                1.0
            };
            endpoint.weight * self.slow_start_fraction(endpoint).unwrap_or(1.0) * fit * stands
        };
        let parts: Vec<f64> = from.iter().map(part).collect();
        let mut at = self.random() * parts.iter().sum::<f64>();
        for (id, part) in from.iter().zip(parts) {
            at -= part;
            if at < 0.0 {
                return Some(*id);
            }
        }
        from.last().copied()
    }

    fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// How much this router's own answers of late tell of each member: from nothing to enough, 1.
    fn heard(&self) -> f64 {
        (self.served_now() * GAIN).min(1.0)
    }

    fn served_now(&self) -> f64 {
        faded(
            self.served,
            self.now - self.served_at,
            self.cfg.rules.slow_start_duration,
        )
    }

    /// The final answer of a request that is not tried further: a refusal where that is known to be harmless.
    fn give_up(&mut self, id: RequestId, why: GiveUpReason, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let harmless = self.cfg.classes[open.class.0].idempotency == Idempotency::Idempotent
            || open.ran_from.is_none();
        let retry_after = self
            .cfg
            .limits
            .retry_after
            .then_some(self.cfg.limits.max_retry_after);
        actions.push(if harmless {
            Action::Reject {
                request: id,
                retry_after,
                why,
            }
        } else {
            Action::Fail { request: id, why }
        });
        self.finish(id, actions);
    }

    /// Forgets a request; what is still out for it is called off.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let safe = self.cfg.classes[open.class.0].idempotency == Idempotency::Idempotent;
        if self.cfg.limits.cancel && safe && !open.streaming {
            actions.extend(open.out.keys().map(|a| Action::Cancel {
                request: id,
                attempt: *a,
            }));
        }
    }

    /// Looks again soon while something waits, else when what is out would count as silence.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let waits = self.groups.values().any(|g| !g.waiting.is_empty());
        let soon = waits.then(|| self.now + Span(self.cfg.tick.0 * 2));
        let silence = self
            .endpoints
            .values()
            .filter_map(|n| self.silence(n))
            .min();
        let silence = silence.map(|at| at.max(self.now) + self.cfg.tick);
        let at = soon.into_iter().chain(silence).chain(self.ask_at).min();
        if let Some(at) = at.filter(|at| self.wake_at.is_none_or(|w| *at < w)) {
            self.wake_at = Some(at);
            actions.push(Action::SetTimer { at, token: 0 });
        }
    }
}

fn faded(amount: f64, after: Span, over: Span) -> f64 {
    amount * (-after.as_f64() / over.max(MEMORY).as_f64()).exp()
}
