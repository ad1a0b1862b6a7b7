//! The emulator: gateways, members and clients in virtual time, from one seed. The gateways are the real reducer with the
//! real door and decision module; members, network and clients are models. After every step the rules are checked.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use valehatch_core::{
    ClientId, ConnectionId, CoreConfig, Effect, Event, FinalAnswer, IncomingRequest,
    ListedEndpoint, MemoryReservation, Payload, State, UpstreamJob, UpstreamReply,
};
use valehatch_policy::*;

use crate::experiment::{Experiment, Heeds, Way, What};

const START: i64 = 100_000_000_000;
const GRACE: Span = Span::from_millis(500);
/// A member is cold for so long from its start, can do so much of its usual work then, and is pushed over by so many times
/// what it can do within so long.
pub const COLD: Span = Span::from_millis(17_000);
pub const COLD_FROM: f64 = 0.24;
pub const TIP_MULTIPLE: f64 = 3.0;
pub const TIP_AFTER: Span = Span::from_millis(2_000);
/// From a primary's death to its successor.
const ELECTION: Span = Span::from_millis(2_000);
/// Steps that are remembered, for when a rule is broken.
const REMEMBERED: usize = 400;

enum Ev {
    /// A tenant's next request.
    Arrive(usize),
    /// A client comes back: tenant, client, class.
    Return(usize, u64, usize, Time),
    /// A gateway takes a turn.
    Turn(usize),
    /// An event reaches a gateway.
    Tell(usize, Box<Event>),
    /// A job reaches a member.
    Work(usize, Piece),
    /// A member is done with one, if it is still the same process.
    Done(usize, u64, Piece),
    Happens(usize),
    Elect,
}

#[derive(Clone, Debug)]
struct Piece {
    gateway: usize,
    connection: ConnectionId,
    /// `None`: a probe.
    ask: Option<u64>,
}

struct Server {
    name: Arc<str>,
    busy: usize,
    waiting: VecDeque<Piece>,
    alive: bool,
    listed: bool,
    draining: bool,
    primary: bool,
    slow: f64,
    /// Counts its starts; what an earlier one held is gone.
    life: u64,
    started: Option<Time>,
}

struct Gateway {
    state: State,
    inbox: Vec<Event>,
    turn_at: Time,
    conns: BTreeMap<ConnectionId, (usize, Option<u64>)>,
    known: BTreeSet<u64>,
    /// When it was told that a member drains or is gone.
    told: BTreeMap<usize, Time>,
    next_ticket: u64,
    tickets: BTreeMap<u64, u64>,
}

struct Asked {
    tenant: usize,
    client: u64,
    class: usize,
    at: Time,
    deadline: Time,
    answered: bool,
    out: u32,
    effects: u32,
    /// When it was refused before, and told to come back.
    hinted: Option<(Time, Time)>,
    first: Option<Time>,
}

/// What is measured of a tenant.
pub struct Seen {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub work_ms: f64,
    /// From arrival to the first attempt, in microseconds, of those that were served.
    pub waits: Histogram<u64>,
    /// From arrival to the answer.
    pub answers: Histogram<u64>,
    pub hints_kept: u64,
    pub hints_right: u64,
}

impl Seen {
    fn new() -> Self {
        let waits: Histogram<u64> =
            Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds that are sound");
        let answers = waits.clone();
        let (asked, in_time, late, refused, failed) = (0, 0, 0, 0, 0);
        Self {
            asked,
            in_time,
            late,
            refused,
            failed,
            work_ms: 0.0,
            waits,
            answers,
            hints_kept: 0,
            hints_right: 0,
        }
    }
}

/// What a run came to.
pub struct Outcome {
    pub tenants: Vec<Seen>,
    /// Clients that came back as told, in each tenth of a second.
    pub returns: Vec<u32>,
    /// Resident memory in kilobytes, each second of the experiment.
    pub memory_kb: Vec<u64>,
    /// Answers that came after the client had stopped waiting.
    pub too_late: u64,
    /// Requests that reached a cold member, in their order.
    pub cold: Vec<Cold>,
    pub steps: u64,
    /// The last steps, where they are remembered.
    pub last: Vec<String>,
}

/// A request that reached a member which had started a short while before.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub at: Time,
    pub member: usize,
    pub gateway: usize,
    pub started: Time,
    pub primary: bool,
}

/// What a member that started so long ago can do of its usual work.
#[must_use]
pub fn warm_part(age: Span) -> f64 {
    (COLD_FROM + (1.0 - COLD_FROM) * age.as_f64() / COLD.as_f64()).min(1.0)
}

/// A broken rule, and what led to it.
pub struct Broken {
    pub rule: String,
    pub last: Vec<String>,
}

pub struct World<'a> {
    plan: &'a Experiment,
    way: Way,
    now: Time,
    seq: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Ev>,
    rng: Xoshiro256PlusPlus,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    asks: BTreeMap<u64, Asked>,
    next_ask: u64,
    next_client: u64,
    room: Arc<AtomicUsize>,
    outcome: Outcome,
    last: VecDeque<String>,
    trace: bool,
}

const fn ms(n: f64) -> Span {
    #[allow(clippy::cast_possible_truncation)]
    Span((n * 1000.0) as i64)
}

impl<'a> World<'a> {
    pub fn new(plan: &'a Experiment, way: Way, seed: u64, trace: bool) -> Result<Self, String> {
        let class = |c: &crate::experiment::Class| RequestClass {
            consistency: if c.write {
                Consistency::Write
            } else {
                Consistency::Eventual
            },
            idempotency: if c.write {
                valehatch_policy::Idempotency::NonIdempotent
            } else {
                valehatch_policy::Idempotency::Idempotent
            },
            latency_objective: ms(c.aim_ms),
            latency_objective_stretch: 0.0,
            deadline: ms(c.deadline_ms),
            priority_weight: c.worth,
            late_priority_weight: c.late_worth,
        };
        let routers = u32::try_from(plan.gateways).map_err(|e| e.to_string())?;
        let settings = Settings {
            classes: plan.class.iter().map(class).collect(),
            tenants: plan
                .tenant
                .iter()
                .map(|t| Tenant {
                    allowance: t.allowance_per_s,
                })
                .collect(),
            over_quota_priority_weight: Some(0.2),
            discovery_mode: DiscoveryMode::Watch,
            listed_role: ListedRole::Trailing,
            stale_read_policy: StaleReadPolicy::Serve,
            sessions: SessionTracking::RouterTracked,
            routers,
            zone: ZoneId(0),
            tick: Span::from_millis(5),
            limits: Limits {
                cancel: true,
                health_checks: true,
                hedged_requests: false,
                retry_after: true,
                max_attempts: 6,
                max_retry_after: ms(plan.max_hint_ms),
                max_open_requests: 200_000,
                idle_connection_timeout: Span::from_millis(60_000),
            },
            rules: Rules {
                max_poll_interval: Span::from_millis(10_000),
                slow_start_initial_capacity: COLD_FROM,
                slow_start_duration: COLD,
                overload_multiple: TIP_MULTIPLE,
                overload_duration: TIP_AFTER,
                removal_is_advisory: false,
            },
        };
        let shares: Vec<f64> = match way {
            Way::None | Way::Fifo => vec![],
            Way::RoundRobin => plan.tenant.iter().map(|_| 1.0).collect(),
            Way::Fair | Way::Calm => plan.tenant.iter().map(|t| t.share).collect(),
        };
        let door = (way != Way::None).then(|| valehatch_admission::Settings {
            quotas: shares,
            classes: settings
                .classes
                .iter()
                .map(|c| valehatch_admission::Class {
                    priority_weight: c.priority_weight,
                    latency_objective: c.latency_objective,
                    late_answer_counts: c.consistency == Consistency::Write
                        && c.late_priority_weight > 0.0,
                    write: c.consistency == Consistency::Write,
                })
                .collect(),
            max_waiting: plan.most,
            client_buckets: if matches!(way, Way::Fair | Way::Calm) {
                4096
            } else {
                1
            },
            max_retry_after: ms(plan.max_hint_ms),
            max_lanes: 16,
        });
        let mut gateways = vec![];
        for n in 0..plan.gateways {
            let facts = CoreConfig {
                metrics: None,
                admission: door.clone(),
                observability: None,
                settings: settings.clone(),
                decisions: Arc::default(),
                trace_requests: false,
                upstream_connection_limit: 2_000,
                health_check_timeout: Span::from_millis(250),
            };
            let state =
                State::new(facts, seed.wrapping_add(n as u64)).map_err(|e| e.to_string())?;
            gateways.push(Gateway {
                state,
                inbox: vec![],
                turn_at: Time(i64::MAX),
                conns: BTreeMap::new(),
                known: BTreeSet::new(),
                told: BTreeMap::new(),
                next_ticket: 0,
                tickets: BTreeMap::new(),
            });
        }
        let server = |n: usize| Server {
            name: format!("member-{n}").into(),
            busy: 0,
            waiting: VecDeque::new(),
            alive: true,
            listed: !plan
                .event
                .iter()
                .any(|e| e.member == n && e.what == What::Joins),
            draining: false,
            primary: n == 0,
            slow: 1.0,
            life: 0,
            started: None,
        };
        let tenants = plan.tenant.iter().map(|_| Seen::new()).collect();
        let (returns, memory_kb) = (vec![], vec![]);
        let mut world = Self {
            plan,
            way,
            now: Time(START),
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            gateways,
            servers: (0..plan.members).map(server).collect(),
            asks: BTreeMap::new(),
            next_ask: 0,
            next_client: 0,
            room: Arc::default(),
            outcome: Outcome {
                tenants,
                returns,
                memory_kb,
                too_late: 0,
                cold: vec![],
                steps: 0,
                last: vec![],
            },
            last: VecDeque::new(),
            trace,
        };
        world.tell_list();
        for tenant in 0..plan.tenant.len() {
            world.next_arrival(tenant);
        }
        for (n, event) in plan.event.iter().enumerate() {
            world.at(Time(START) + ms(event.at_s * 1000.0), Ev::Happens(n));
        }
        Ok(world)
    }

    fn at(&mut self, at: Time, event: Ev) {
        self.seq += 1;
        self.queue.push(Reverse((at.max(self.now), self.seq)));
        self.events.insert(self.seq, event);
    }

    fn net(&mut self) -> Span {
        let part = self.rng.random_range(0.8..1.2);
        ms(self.plan.net_ms * part)
    }

    fn end(&self) -> Time {
        Time(START) + Span::from_millis(i64::try_from(self.plan.seconds).unwrap_or(0) * 1000)
    }

    /// Tells a gateway how many there are.
    pub fn tell_routers(&mut self, gateway: usize, routers: u32) {
        let at = self.now;
        self.at(
            at,
            Ev::Tell(gateway, Box::new(Event::GatewayCount(routers))),
        );
    }

    /// Runs to the end, and until all is answered.
    pub fn run(mut self) -> Result<Outcome, Broken> {
        let mut sampled = 0;
        while let Some(Reverse((at, seq))) = self.queue.pop() {
            let Some(event) = self.events.remove(&seq) else {
                continue;
            };
            self.now = at;
            self.outcome.steps += 1;
            let second = usize::try_from((at.0 - START) / 1_000_000).unwrap_or(0);
            if second > sampled && at < self.end() {
                sampled = second;
                let memory = procfs::process::Process::myself().and_then(|p| p.status());
                self.outcome
                    .memory_kb
                    .push(memory.ok().and_then(|s| s.vmrss).unwrap_or(0));
            }
            if at > self.end() + Span::from_millis(30_000) {
                break;
            }
            self.step(event).map_err(|rule| Broken {
                rule,
                last: self.last.iter().cloned().collect(),
            })?;
        }
        self.outcome.last = self.last.iter().cloned().collect();
        let open = self.asks.values().filter(|a| !a.answered).count();
        if open > 0 {
            let rule = format!("{open} requests never had a final answer");
            return Err(Broken {
                rule,
                last: self.last.into_iter().collect(),
            });
        }
        Ok(self.outcome)
    }

    fn note(&mut self, what: impl FnOnce() -> String) {
        if self.trace && self.now < self.end() {
            if self.last.len() == REMEMBERED {
                self.last.pop_front();
            }
            self.last
                .push_back(format!("{:>12} us  {}", self.now.0 - START, what()));
        }
    }

    fn measured(&self, at: Time) -> bool {
        at >= Time(START) + ms(self.plan.measured_from as f64 * 1000.0) && at < self.end()
    }

    fn step(&mut self, event: Ev) -> Result<(), String> {
        match event {
            Ev::Arrive(tenant) => {
                let plan = &self.plan.tenant[tenant];
                let client = if plan.clients == 0 {
                    self.next_client += 1;
                    1 << 40 | self.next_client
                } else {
                    (tenant as u64) << 32 | self.rng.random_range(0..plan.clients)
                };
                let mut draw =
                    self.rng.random::<f64>() * self.plan.class.iter().map(|c| c.part).sum::<f64>();
                let class = self.plan.class.iter().position(|c| {
                    draw -= c.part;
                    draw < 0.0
                });
                self.ask(tenant, client, class.unwrap_or(0), None);
                self.next_arrival(tenant);
            }
            Ev::Return(tenant, client, class, refused) => {
                let tenth = usize::try_from((self.now.0 - START) / 100_000).unwrap_or(0);
                if self.outcome.returns.len() <= tenth {
                    self.outcome.returns.resize(tenth + 1, 0);
                }
                self.outcome.returns[tenth] += 1;
                self.ask(tenant, client, class, Some((refused, self.now)));
            }
            Ev::Turn(n) => {
                if self.gateways[n].turn_at <= self.now {
                    self.gateways[n].turn_at = Time(i64::MAX);
                    self.turn(n)?;
                }
            }
            Ev::Tell(n, event) => {
                self.gateways[n].inbox.push(*event);
                self.wake(n, self.now);
            }
            Ev::Work(n, piece) => self.work(n, piece),
            Ev::Done(n, life, piece) => {
                if self.servers[n].life == life && self.servers[n].alive {
                    self.servers[n].busy -= 1;
                    self.finish(n, &piece)?;
                    self.start_work(n);
                }
            }
            Ev::Happens(n) => self.happens(n),
            Ev::Elect => {
                let next = self
                    .servers
                    .iter()
                    .position(|s| s.alive && s.listed && !s.draining);
                if !self.servers.iter().any(|s| s.alive && s.primary) {
                    next.into_iter()
                        .for_each(|n| self.servers[n].primary = true);
                    self.note(|| format!("member {next:?} is primary"));
                    self.tell_list();
                }
            }
        }
        Ok(())
    }

    fn next_arrival(&mut self, tenant: usize) {
        let plan = &self.plan.tenant[tenant];
        let second = (self.now.0 - START) as f64 / 1e6;
        let burst = plan
            .burst
            .filter(|(from, to, _)| self.way != Way::Calm && (*from..*to).contains(&second));
        let rate = plan.rate * burst.map_or(1.0, |(_, _, times)| times);
        let gap = Exp::new(rate.max(1e-6)).map_or(1.0, |d| d.sample(&mut self.rng));
        let at = self.now + ms(gap * 1000.0);
        if at < self.end() {
            self.at(at, Ev::Arrive(tenant));
        }
    }

    fn ask(&mut self, tenant: usize, client: u64, class: usize, hinted: Option<(Time, Time)>) {
        self.next_ask += 1;
        let ask = self.next_ask;
        // A client stays with one gateway.
        let n = usize::try_from(client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33).unwrap_or(0)
            % self.gateways.len();
        let plan = &self.plan.class[class];
        let patience = ms(plan.deadline_ms * self.rng.random_range(0.7..1.0));
        let at = self.now;
        self.asks.insert(
            ask,
            Asked {
                tenant,
                client,
                class,
                at,
                deadline: at + patience,
                answered: false,
                out: 0,
                effects: 0,
                hinted,
                first: None,
            },
        );
        if self.measured(at) {
            self.outcome.tenants[tenant].asked += 1;
        }
        let gateway = &mut self.gateways[n];
        if gateway.known.insert(client) {
            gateway.inbox.push(Event::ClientConnected(ClientId(client)));
        }
        gateway.next_ticket += 1;
        let ticket = gateway.next_ticket;
        gateway.tickets.insert(ticket, ask);
        let write = self.plan.class[class].write;
        let room =
            MemoryReservation::try_acquire(&self.room, 8, usize::MAX).expect("room without end");
        let payload = Arc::new(Payload {
            bytes: ask.to_be_bytes().to_vec(),
            write,
            class: 0,
        });
        gateway.inbox.push(Event::RequestReceived {
            client: ClientId(client),
            ticket,
            request: IncomingRequest {
                name: None,
                class,
                tenant: Some(tenant),
                group: GroupId(0),
                session: None,
                received: self.now,
                client_timeout: patience,
                is_client_retry: false,
                last_write_at: None,
                payload,
                memory: room,
                client,
            },
        });
        self.note(|| {
            format!("gateway {n}: client {client:x} of tenant {tenant} asks {ask}, class {class}")
        });
        self.wake(n, self.now);
    }

    fn wake(&mut self, n: usize, at: Time) {
        let at = at.max(self.now);
        if at < self.gateways[n].turn_at {
            self.gateways[n].turn_at = at;
            self.at(at, Ev::Turn(n));
        }
    }

    fn turn(&mut self, n: usize) -> Result<(), String> {
        let events = std::mem::take(&mut self.gateways[n].inbox);
        let mut effects = vec![];
        self.gateways[n]
            .state
            .reduce(self.now, events, &mut effects);
        for effect in effects {
            self.carry_out(n, effect)?;
        }
        // It looks at all that is held: not after each turn of a crowd of thousands.
        if self.outcome.steps.is_multiple_of(16) {
            let checked = self.gateways[n].state.check_invariants();
            checked.map_err(|violation| violation.to_string())?;
        }
        if let Some(due) = self.gateways[n].state.next_due() {
            // The loop itself takes a moment.
            self.wake(n, due.max(self.now + Span(20)));
        }
        Ok(())
    }

    fn carry_out(&mut self, n: usize, effect: Effect) -> Result<(), String> {
        match effect {
            Effect::Connect {
                connection,
                address,
            } => {
                let member = address
                    .parse()
                    .map_err(|_| format!("no member listens at {address}"))?;
                self.gateways[n].conns.insert(connection, (member, None));
            }
            Effect::Submit { connection, job } => self.submit(n, connection, &job)?,
            Effect::CloseUpstream(connection) => {
                if let Some((member, ask)) = self.gateways[n].conns.remove(&connection) {
                    ask.into_iter().for_each(|ask| self.over(ask));
                    // What waits there for it is dropped; what runs goes on.
                    self.servers[member]
                        .waiting
                        .retain(|p| (p.gateway, p.connection) != (n, connection));
                }
            }
            Effect::Answer { ticket, answer, .. } => self.answered(n, ticket, &answer)?,
            Effect::CloseClient(_)
            | Effect::CloseIdleClients
            | Effect::StopListening
            | Effect::Log(_)
            | Effect::Exit => {}
            Effect::ForwardBody { .. } => return Err("no answer is too long here".into()),
            Effect::RecordOutcome(_) | Effect::PublishView(_) => {}
        }
        Ok(())
    }

    fn over(&mut self, ask: u64) {
        if let Some(asked) = self.asks.get_mut(&ask) {
            asked.out = asked.out.saturating_sub(1);
        }
        self.forget(ask);
    }

    /// What is answered and no longer out is forgotten.
    fn forget(&mut self, ask: u64) {
        if self
            .asks
            .get(&ask)
            .is_some_and(|a| a.answered && a.out == 0 && !self.plan.class[a.class].write)
        {
            self.asks.remove(&ask);
        }
    }

    fn submit(
        &mut self,
        n: usize,
        connection: ConnectionId,
        job: &UpstreamJob,
    ) -> Result<(), String> {
        let Some((member, slot)) = self.gateways[n].conns.get_mut(&connection) else {
            return Err(format!(
                "gateway {n} writes to a connection that it has closed"
            ));
        };
        let member = *member;
        let ask = match job {
            UpstreamJob::HealthCheck => None,
            UpstreamJob::Request {
                payload, permit, ..
            } => {
                if permit.try_acquire(self.now).is_err() {
                    return Err(format!("gateway {n} submits what may not begin"));
                }
                let ask = u64::from_be_bytes(payload.bytes[..8].try_into().map_err(|_| "no ask")?);
                *slot = Some(ask);
                Some(ask)
            }
        };
        if let Some(ask) = ask {
            let now = self.now;
            let Some(asked) = self.asks.get_mut(&ask) else {
                return Err(format!("{ask} is sent though it is over"));
            };
            asked.out += 1;
            asked.first = asked.first.or(Some(now));
            if asked.out > 1 {
                return Err(format!("{ask} has {} attempts out", asked.out));
            }
            if asked.answered {
                return Err(format!("{ask} is sent though it had its answer"));
            }
            if let Some(told) = self.gateways[n]
                .told
                .get(&member)
                .filter(|told| now - **told > GRACE)
            {
                return Err(format!(
                    "{ask} goes to member {member}, told {} us ago to drain",
                    (now - *told).0
                ));
            }
        }
        self.note(|| format!("gateway {n}: {ask:?} to member {member}"));
        let at = self.now + self.net();
        self.at(
            at,
            Ev::Work(
                member,
                Piece {
                    gateway: n,
                    connection,
                    ask,
                },
            ),
        );
        Ok(())
    }

    fn work(&mut self, n: usize, piece: Piece) {
        let server = &self.servers[n];
        if !server.alive {
            return self.reply(
                &piece,
                UpstreamReply::without_details(Outcome2::ConnectFailed),
                false,
            );
        }
        let Some(ask) = piece.ask else {
            let lag = if server.primary {
                Span(0)
            } else {
                ms(self.plan.lag_ms)
            };
            let report = LoadReport {
                position: Some(self.now - lag),
                primary: Some(server.primary),
                busy: None,
            };
            return self.reply(
                &piece,
                UpstreamReply {
                    report: Some(report),
                    ..UpstreamReply::without_details(Outcome2::Ok)
                },
                true,
            );
        };
        if let Some(started) = server.started.filter(|started| self.now - *started < COLD) {
            let (at, primary) = (self.now, server.primary);
            self.outcome.cold.push(Cold {
                at,
                member: n,
                gateway: piece.gateway,
                started,
                primary,
            });
        }
        let server = &self.servers[n];
        let write = self
            .asks
            .get(&ask)
            .is_some_and(|a| self.plan.class[a.class].write);
        let role = Some(if server.primary {
            Role::Primary
        } else {
            Role::Replica
        });
        if write && !server.primary {
            return self.reply(
                &piece,
                UpstreamReply {
                    role,
                    ..UpstreamReply::without_details(Outcome2::Misdirected)
                },
                true,
            );
        }
        if server.draining || server.waiting.len() >= self.plan.queue {
            return self.reply(
                &piece,
                UpstreamReply {
                    role,
                    ..UpstreamReply::without_details(Outcome2::Rejected)
                },
                true,
            );
        }
        self.servers[n].waiting.push_back(piece);
        self.start_work(n);
    }

    fn start_work(&mut self, n: usize) {
        while self.servers[n].busy < self.plan.cores {
            let Some(piece) = self.servers[n].waiting.pop_front() else {
                return;
            };
            let class = piece
                .ask
                .and_then(|a| self.asks.get(&a))
                .map_or(0, |a| a.class);
            let class = &self.plan.class[class];
            // Of a log-normal distribution, by its mean and its coefficient of variation.
            let sigma2 = class.spread.powi(2).ln_1p();
            let mean = class.work_ms.ln() - sigma2 / 2.0;
            let time = LogNormal::new(mean, sigma2.sqrt())
                .map_or(class.work_ms, |d| d.sample(&mut self.rng));
            let server = &mut self.servers[n];
            let warm = server.started.map_or(1.0, |at| warm_part(self.now - at));
            server.busy += 1;
            let (life, at) = (server.life, self.now + ms(time * server.slow / warm));
            self.at(at, Ev::Done(n, life, piece));
        }
    }

    fn finish(&mut self, n: usize, piece: &Piece) -> Result<(), String> {
        let Some(ask) = piece.ask else { return Ok(()) };
        let (primary, now) = (self.servers[n].primary, self.now);
        if let Some(asked) = self.asks.get_mut(&ask) {
            let class = &self.plan.class[asked.class];
            asked.effects += u32::from(class.write);
            if asked.effects > 1 {
                return Err(format!("the write {ask} ran twice"));
            }
        }
        let role = Some(if primary {
            Role::Primary
        } else {
            Role::Replica
        });
        let lag = if primary {
            Span(0)
        } else {
            ms(self.plan.lag_ms)
        };
        let body = Some(ask.to_be_bytes().to_vec());
        let reply = UpstreamReply {
            role,
            position: Some(now - lag),
            body,
            ..UpstreamReply::without_details(Outcome2::Ok)
        };
        self.reply(piece, reply, true);
        Ok(())
    }

    fn reply(&mut self, piece: &Piece, reply: UpstreamReply, reusable: bool) {
        let at = self.now + self.net();
        let event = Event::AttemptEnded {
            connection: piece.connection,
            reply,
            reusable,
        };
        // The gateway may have closed it by then: its own core passes that over.
        if let Some((_, slot)) = self.gateways[piece.gateway]
            .conns
            .get_mut(&piece.connection)
        {
            if let Some(ask) = slot.take() {
                // Over from when it is told; nothing new is sent before that.
                self.over(ask);
            }
            self.at(at, Ev::Tell(piece.gateway, Box::new(event)));
        }
    }

    fn answered(&mut self, n: usize, ticket: u64, answer: &FinalAnswer) -> Result<(), String> {
        let Some(ask) = self.gateways[n].tickets.remove(&ticket) else {
            return Err(format!("gateway {n} answers ticket {ticket} twice"));
        };
        let measured = self.asks.get(&ask).is_some_and(|a| self.measured(a.at));
        let Some(asked) = self.asks.get_mut(&ask) else {
            return Err(format!("{ask} is not known"));
        };
        if std::mem::replace(&mut asked.answered, true) {
            return Err(format!("{ask} has two final answers"));
        }
        let (tenant, client, class, at) = (asked.tenant, asked.client, asked.class, asked.at);
        let plan = &self.plan.class[class];
        self.outcome.too_late += u64::from(self.now > asked.deadline);
        let seen = &mut self.outcome.tenants[tenant];
        if let (Some((refused, hinted)), true) = (asked.hinted, measured) {
            seen.hints_kept += 1;
            let admitted = asked
                .first
                .filter(|_| matches!(answer, FinalAnswer::Served(_)));
            let right =
                admitted.is_some_and(|first| first - refused <= (hinted - refused).times(1.2));
            seen.hints_right += u64::from(right);
        }
        let mut back = None;
        match answer {
            FinalAnswer::Served(bytes) => {
                if bytes[..] != ask.to_be_bytes() {
                    return Err(format!("{ask} is served with what was made for another"));
                }
                if measured {
                    let in_time = self.now - at <= ms(plan.aim_ms);
                    seen.in_time += u64::from(in_time);
                    seen.late += u64::from(!in_time);
                    seen.work_ms += plan.work_ms;
                    seen.answers
                        .saturating_record(u64::try_from((self.now - at).0).unwrap_or(0).max(1));
                    let wait = asked.first.map_or(0, |f| (f - at).0);
                    seen.waits
                        .saturating_record(u64::try_from(wait).unwrap_or(0).max(1));
                }
            }
            FinalAnswer::Rejected {
                retry_after: after, ..
            } => {
                seen.refused += u64::from(measured);
                if plan.write && asked.effects > 0 {
                    return Err(format!("the write {ask} ran and was refused"));
                }
                back = match self.plan.tenant[tenant].heeds {
                    Heeds::Hint => Some(*after),
                    Heeds::Abuses => Some(Span::from_millis(20)),
                    Heeds::Nothing => None,
                };
            }
            FinalAnswer::Failed(_) => seen.failed += u64::from(measured),
        }
        let said = match answer {
            FinalAnswer::Served(_) => "served".to_owned(),
            FinalAnswer::Rejected {
                retry_after: after, ..
            } => {
                format!("refused, come back in {} ms", after.0 / 1000)
            }
            FinalAnswer::Failed(why) => format!("failed: {why:?}"),
        };
        self.note(|| format!("gateway {n}: {ask} is {said}"));
        if let Some(after) = back {
            let at = self.now + after;
            if at < self.end() {
                self.at(at, Ev::Return(tenant, client, class, self.now));
            }
        } else if self.plan.tenant[tenant].clients == 0 {
            // It asked once and leaves.
            self.gateways[n].known.remove(&client);
            self.gateways[n]
                .inbox
                .push(Event::ClientDisconnected(ClientId(client)));
            self.wake(n, self.now);
        }
        self.forget(ask);
        Ok(())
    }

    fn happens(&mut self, n: usize) {
        let (member, what) = (self.plan.event[n].member, self.plan.event[n].what);
        self.note(|| format!("member {member}: {what:?}"));
        let now = self.now;
        let server = &mut self.servers[member];
        match what {
            What::Dies => {
                server.alive = false;
                server.life += 1;
                server.busy = 0;
                server.waiting.clear();
                if std::mem::take(&mut server.primary) {
                    self.at(now + ELECTION, Ev::Elect);
                }
                // Its connections break: what was out may have run.
                for g in 0..self.gateways.len() {
                    let of = |(c, (m, a)): (&ConnectionId, &(usize, Option<u64>))| {
                        (*m == member).then_some((*c, *a))
                    };
                    let broken: Vec<_> = self.gateways[g].conns.iter().filter_map(of).collect();
                    for (connection, ask) in broken.into_iter().filter_map(|(c, a)| Some((c, a?))) {
                        let piece = Piece {
                            gateway: g,
                            connection,
                            ask: Some(ask),
                        };
                        self.reply(
                            &piece,
                            UpstreamReply::without_details(Outcome2::Reset),
                            false,
                        );
                    }
                }
            }
            What::Starts | What::Joins => {
                server.listed = true;
                (server.alive, server.draining, server.started) = (true, false, Some(now));
                server.life += 1;
                self.tell_list();
            }
            What::Drains => {
                server.draining = true;
                if std::mem::take(&mut server.primary) {
                    self.at(now + ELECTION, Ev::Elect);
                }
                self.tell_list();
            }
            What::Slows => server.slow = 3.0,
            What::Recovers => server.slow = 1.0,
        }
    }

    fn tell_list(&mut self) {
        let member = |(n, s): (usize, &Server)| ListedEndpoint {
            record: EndpointRecord {
                endpoint: EndpointId(u32::try_from(n + 1).unwrap_or(0)),
                group: GroupId(0),
                zone: ZoneId(0),
                kind: KindId(0),
                weight: 1.0,
                started: s.started,
                primary: s.primary,
                state: if s.draining {
                    EndpointState::Draining
                } else {
                    EndpointState::Ready
                },
            },
            name: Arc::clone(&s.name),
            address: Arc::from(n.to_string()),
        };
        let listed = self.servers.iter().enumerate().filter(|(_, s)| s.listed);
        let members: Vec<ListedEndpoint> = listed.map(member).collect();
        for n in 0..self.gateways.len() {
            let at = self.now + self.net();
            for (m, server) in self.servers.iter().enumerate() {
                if server.draining {
                    self.gateways[n].told.entry(m).or_insert(at);
                } else {
                    self.gateways[n].told.remove(&m);
                }
            }
            let event = Event::EndpointList {
                complete: true,
                endpoints: members.clone(),
            };
            self.at(at, Ev::Tell(n, Box::new(event)));
        }
    }
}

use valehatch_policy::Outcome as Outcome2;
