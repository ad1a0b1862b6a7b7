//! The emulator: gateways, members and clients under a virtual clock, reproducible from one seed.
//! The gateways run the real reducer with the real admission control and decision module; members,
//! network and clients are models. Invariants are checked during the simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use valehatch_core::{
    ClientId, ConnectionId, CoreConfig, Effect, Event, FinalAnswer, IncomingRequest,
    ListedEndpoint, Payload, State, UpstreamJob, UpstreamReply, UpstreamTransport,
};
use valehatch_memory_budget::{MemoryBudget, MemoryUse};
use valehatch_policy::*;

use crate::experiment::{AdmissionMode, Experiment, FaultKind, RetryBehavior};

const START: i64 = 100_000_000_000;
/// Time for which requests may still be sent to a draining member.
const DRAIN_GRACE: Span = Span::from_millis(500);
/// Time for which a member is cold after its start.
pub const COLD_DURATION: Span = Span::from_millis(17_000);
/// Share of the usual capacity that a member has right after its start.
pub const COLD_INITIAL_CAPACITY: f64 = 0.24;
/// Multiple of its capacity within [`OVERLOAD_WINDOW`] that overloads a cold member.
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Window over which the load on a cold member is summed.
pub const OVERLOAD_WINDOW: Span = Span::from_millis(2_000);
/// Time from the death of a primary to the election of its successor.
const ELECTION_DELAY: Span = Span::from_millis(2_000);
/// Size in bytes of the number that identifies a request.
const REQUEST_BYTES: usize = 8;
/// Number of trace lines that are kept for the report of a violation.
const MAX_TRACE_LINES: usize = 400;

enum SimEvent {
    /// The next request of a tenant arrives.
    Arrival(usize),
    /// A rejected client retries: tenant, client, class, time of the rejection.
    Retry(usize, u64, usize, Time),
    /// A gateway runs its reducer.
    ReducerTurn(usize),
    /// A core event reaches a gateway.
    Deliver(usize, Box<Event>),
    /// A job reaches a member.
    JobArrival(usize, Job),
    /// A member finishes a job: member, generation that started the job, job.
    JobDone(usize, u64, Job),
    /// A scripted fault event is due, by index.
    FaultDue(usize),
    /// The group elects a new primary.
    Election,
}

#[derive(Clone, Debug)]
struct Job {
    gateway: usize,
    connection: ConnectionId,
    /// Request id; `None` for a health check.
    request: Option<u64>,
}

struct Server {
    name: Arc<str>,
    busy: usize,
    waiting: VecDeque<Job>,
    alive: bool,
    listed: bool,
    draining: bool,
    primary: bool,
    slow: f64,
    /// Process generation; jobs of earlier generations are lost.
    generation: u64,
    started: Option<Time>,
}

struct Gateway {
    state: State,
    inbox: Vec<Event>,
    turn_at: Time,
    connections: BTreeMap<ConnectionId, (usize, Option<u64>)>,
    known_clients: BTreeSet<u64>,
    /// Time at which the gateway learned that a member drains.
    drain_known_at: BTreeMap<usize, Time>,
    next_ticket: u64,
    tickets: BTreeMap<u64, u64>,
}

struct SentRequest {
    tenant: usize,
    client: u64,
    class: usize,
    at: Time,
    deadline: Time,
    answered: bool,
    open_attempts: u32,
    effects: u32,
    /// Time of the earlier rejection, and the hinted time of the retry.
    hinted: Option<(Time, Time)>,
    first: Option<Time>,
}

/// Measurements of a tenant.
pub struct TenantStats {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub work_ms: f64,
    /// Time from arrival to the first attempt of served requests, in microseconds.
    pub waits: Histogram<u64>,
    /// Time from arrival to the answer of served requests, in microseconds.
    pub answers: Histogram<u64>,
    pub hints_kept: u64,
    pub hints_right: u64,
}

impl TenantStats {
    fn new() -> Self {
        let waits: Histogram<u64> =
            Histogram::new_with_bounds(1, 600_000_000, 3).expect("histogram bounds are valid");
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

/// Result of a run.
pub struct Outcome {
    pub tenants: Vec<TenantStats>,
    /// Retries by clients in each tenth of a second.
    pub returns: Vec<u32>,
    /// Resident memory in kilobytes, sampled each second of the experiment.
    pub memory_kb: Vec<u64>,
    /// Answers after the client's timeout.
    pub too_late: u64,
    /// Requests that reached a cold member, in order of arrival.
    pub cold: Vec<ColdRequest>,
    pub steps: u64,
    /// The last trace lines; empty unless tracing is on.
    pub last: Vec<String>,
}

/// A request that reached a member within [`COLD_DURATION`] after its start.
#[derive(Clone, Copy, Debug)]
pub struct ColdRequest {
    pub at: Time,
    pub member: usize,
    pub gateway: usize,
    pub started: Time,
    pub primary: bool,
}

/// Share of its usual capacity that a member has at an age since its start.
#[must_use]
pub fn warm_capacity(age: Span) -> f64 {
    (COLD_INITIAL_CAPACITY + (1.0 - COLD_INITIAL_CAPACITY) * age.as_f64() / COLD_DURATION.as_f64())
        .min(1.0)
}

/// A violated invariant, and the trace lines before it.
pub struct Violation {
    pub rule: String,
    pub last: Vec<String>,
}

pub struct World<'a> {
    plan: &'a Experiment,
    mode: AdmissionMode,
    now: Time,
    seq: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    rng: Xoshiro256PlusPlus,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    requests: BTreeMap<u64, SentRequest>,
    next_request: u64,
    next_client: u64,
    memory: Arc<MemoryBudget>,
    outcome: Outcome,
    last: VecDeque<String>,
    trace: bool,
}

const fn ms(n: f64) -> Span {
    #[allow(clippy::cast_possible_truncation)]
    Span((n * 1000.0) as i64)
}

impl<'a> World<'a> {
    pub fn new(
        plan: &'a Experiment,
        mode: AdmissionMode,
        seed: u64,
        trace: bool,
    ) -> Result<Self, String> {
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
                slow_start_initial_capacity: COLD_INITIAL_CAPACITY,
                slow_start_duration: COLD_DURATION,
                overload_multiple: OVERLOAD_MULTIPLE,
                overload_duration: OVERLOAD_WINDOW,
                removal_is_advisory: false,
            },
        };
        let shares: Vec<f64> = match mode {
            AdmissionMode::None | AdmissionMode::Fifo => vec![],
            AdmissionMode::RoundRobin => plan.tenant.iter().map(|_| 1.0).collect(),
            AdmissionMode::Fair | AdmissionMode::Calm => {
                plan.tenant.iter().map(|t| t.share).collect()
            }
        };
        let admission = (mode != AdmissionMode::None).then(|| valehatch_admission::Settings {
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
            max_waiting: plan.max_waiting,
            client_buckets: if matches!(mode, AdmissionMode::Fair | AdmissionMode::Calm) {
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
                admission: admission.clone(),
                observability: None,
                settings: settings.clone(),
                transport: UpstreamTransport::Exclusive,
                decisions: Arc::default(),
                trace_requests: false,
                upstream_connection_limit: 2_000,
                health_check_timeout: Span::from_millis(250),
                response_limits: None,
            };
            let state =
                State::new(facts, seed.wrapping_add(n as u64)).map_err(|e| e.to_string())?;
            gateways.push(Gateway {
                state,
                inbox: vec![],
                turn_at: Time(i64::MAX),
                connections: BTreeMap::new(),
                known_clients: BTreeSet::new(),
                drain_known_at: BTreeMap::new(),
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
                .any(|e| e.member == n && e.what == FaultKind::Joins),
            draining: false,
            primary: n == 0,
            slow: 1.0,
            generation: 0,
            started: None,
        };
        let tenants = plan.tenant.iter().map(|_| TenantStats::new()).collect();
        let (returns, memory_kb) = (vec![], vec![]);
        let mut world = Self {
            plan,
            mode,
            now: Time(START),
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            gateways,
            servers: (0..plan.members).map(server).collect(),
            requests: BTreeMap::new(),
            next_request: 0,
            next_client: 0,
            memory: Arc::new(MemoryBudget::new(0)),
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
        world.publish_list();
        for tenant in 0..plan.tenant.len() {
            world.next_arrival(tenant);
        }
        for (n, event) in plan.event.iter().enumerate() {
            world.schedule(Time(START) + ms(event.at_s * 1000.0), SimEvent::FaultDue(n));
        }
        Ok(world)
    }

    fn schedule(&mut self, at: Time, event: SimEvent) {
        self.seq += 1;
        self.queue.push(Reverse((at.max(self.now), self.seq)));
        self.events.insert(self.seq, event);
    }

    fn network_delay(&mut self) -> Span {
        let part = self.rng.random_range(0.8..1.2);
        ms(self.plan.net_ms * part)
    }

    fn end(&self) -> Time {
        Time(START) + Span::from_millis(i64::try_from(self.plan.seconds).unwrap_or(0) * 1000)
    }

    /// Sets the number of gateways that a gateway assumes.
    pub fn set_gateway_count(&mut self, gateway: usize, routers: u32) {
        let at = self.now;
        self.schedule(
            at,
            SimEvent::Deliver(gateway, Box::new(Event::GatewayCount(routers))),
        );
    }

    /// Runs until the end of the experiment and until all requests are answered, for 30 s more at
    /// most.
    pub fn run(mut self) -> Result<Outcome, Violation> {
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
            self.step(event).map_err(|rule| Violation {
                rule,
                last: self.last.iter().cloned().collect(),
            })?;
        }
        self.outcome.last = self.last.iter().cloned().collect();
        let open = self.requests.values().filter(|a| !a.answered).count();
        if open > 0 {
            let rule = format!("{open} requests got no final answer");
            return Err(Violation {
                rule,
                last: self.last.into_iter().collect(),
            });
        }
        Ok(self.outcome)
    }

    fn trace_step(&mut self, what: impl FnOnce() -> String) {
        if self.trace && self.now < self.end() {
            if self.last.len() == MAX_TRACE_LINES {
                self.last.pop_front();
            }
            self.last
                .push_back(format!("{:>12} us  {}", self.now.0 - START, what()));
        }
    }

    fn measured(&self, at: Time) -> bool {
        at >= Time(START) + ms(self.plan.measured_from as f64 * 1000.0) && at < self.end()
    }

    fn step(&mut self, event: SimEvent) -> Result<(), String> {
        match event {
            SimEvent::Arrival(tenant) => {
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
                self.send_request(tenant, client, class.unwrap_or(0), None);
                self.next_arrival(tenant);
            }
            SimEvent::Retry(tenant, client, class, refused) => {
                let tenth = usize::try_from((self.now.0 - START) / 100_000).unwrap_or(0);
                if self.outcome.returns.len() <= tenth {
                    self.outcome.returns.resize(tenth + 1, 0);
                }
                self.outcome.returns[tenth] += 1;
                self.send_request(tenant, client, class, Some((refused, self.now)));
            }
            SimEvent::ReducerTurn(n) => {
                if self.gateways[n].turn_at <= self.now {
                    self.gateways[n].turn_at = Time(i64::MAX);
                    self.turn(n)?;
                }
            }
            SimEvent::Deliver(n, event) => {
                self.gateways[n].inbox.push(*event);
                self.wake(n, self.now);
            }
            SimEvent::JobArrival(n, job) => self.work(n, job),
            SimEvent::JobDone(n, generation, job) => {
                if self.servers[n].generation == generation && self.servers[n].alive {
                    self.servers[n].busy -= 1;
                    self.finish(n, &job)?;
                    self.start_work(n);
                }
            }
            SimEvent::FaultDue(n) => self.apply_fault(n),
            SimEvent::Election => {
                let next = self
                    .servers
                    .iter()
                    .position(|s| s.alive && s.listed && !s.draining);
                if !self.servers.iter().any(|s| s.alive && s.primary) {
                    next.into_iter()
                        .for_each(|n| self.servers[n].primary = true);
                    self.trace_step(|| format!("member {next:?} is primary"));
                    self.publish_list();
                }
            }
        }
        Ok(())
    }

    fn next_arrival(&mut self, tenant: usize) {
        let plan = &self.plan.tenant[tenant];
        let second = (self.now.0 - START) as f64 / 1e6;
        let burst = plan.burst.filter(|(from, to, _)| {
            self.mode != AdmissionMode::Calm && (*from..*to).contains(&second)
        });
        let rate = plan.rate * burst.map_or(1.0, |(_, _, times)| times);
        let gap = Exp::new(rate.max(1e-6)).map_or(1.0, |d| d.sample(&mut self.rng));
        let at = self.now + ms(gap * 1000.0);
        if at < self.end() {
            self.schedule(at, SimEvent::Arrival(tenant));
        }
    }

    fn send_request(
        &mut self,
        tenant: usize,
        client: u64,
        class: usize,
        hinted: Option<(Time, Time)>,
    ) {
        self.next_request += 1;
        let request = self.next_request;
        // A client always uses the same gateway.
        let n = usize::try_from(client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33).unwrap_or(0)
            % self.gateways.len();
        let plan = &self.plan.class[class];
        let client_timeout = ms(plan.deadline_ms * self.rng.random_range(0.7..1.0));
        let at = self.now;
        self.requests.insert(
            request,
            SentRequest {
                tenant,
                client,
                class,
                at,
                deadline: at + client_timeout,
                answered: false,
                open_attempts: 0,
                effects: 0,
                hinted,
                first: None,
            },
        );
        if self.measured(at) {
            self.outcome.tenants[tenant].asked += 1;
        }
        let gateway = &mut self.gateways[n];
        if gateway.known_clients.insert(client) {
            gateway.inbox.push(Event::ClientConnected(ClientId(client)));
        }
        gateway.next_ticket += 1;
        let ticket = gateway.next_ticket;
        gateway.tickets.insert(ticket, request);
        let write = self.plan.class[class].write;
        let memory = self.memory.reserve(MemoryUse::Requests, REQUEST_BYTES);
        let payload = Arc::new(Payload {
            bytes: request.to_be_bytes().to_vec(),
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
                client_timeout,
                is_client_retry: false,
                last_write_at: None,
                payload,
                memory,
                response_memory: None,
                client,
            },
        });
        self.trace_step(|| {
            format!(
                "gateway {n}: client {client:x} of tenant {tenant} asks {request}, class {class}"
            )
        });
        self.wake(n, self.now);
    }

    fn wake(&mut self, n: usize, at: Time) {
        let at = at.max(self.now);
        if at < self.gateways[n].turn_at {
            self.gateways[n].turn_at = at;
            self.schedule(at, SimEvent::ReducerTurn(n));
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
        // The check visits the whole state, so it runs only every 16th step; each turn would be too
        // slow at thousands of clients.
        if self.outcome.steps.is_multiple_of(16) {
            let checked = self.gateways[n].state.check_invariants();
            checked.map_err(|violation| violation.to_string())?;
        }
        if let Some(due) = self.gateways[n].state.next_due() {
            // 20 us for the event loop itself.
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
                self.gateways[n]
                    .connections
                    .insert(connection, (member, None));
            }
            Effect::Submit { connection, job } => self.submit(n, connection, &job)?,
            Effect::CloseUpstream(connection) => {
                if let Some((member, request)) = self.gateways[n].connections.remove(&connection) {
                    request
                        .into_iter()
                        .for_each(|request| self.end_attempt(request));
                    // Queued jobs of the connection are dropped; running ones go on.
                    self.servers[member]
                        .waiting
                        .retain(|p| (p.gateway, p.connection) != (n, connection));
                }
            }
            Effect::Answer { ticket, answer, .. } => self.on_answer(n, ticket, &answer)?,
            Effect::CloseClient(_)
            | Effect::CloseIdleClients
            | Effect::ShareRequestNames(_)
            | Effect::StopListening
            | Effect::Log(_)
            | Effect::Exit => {}
            Effect::CancelAttempt(_) => {
                return Err("unexpected CancelAttempt: connections are exclusive".into());
            }
            Effect::ForwardBody { .. } => {
                return Err("unexpected ForwardBody: all answers of the emulator are short".into());
            }
            Effect::RecordOutcome(_) | Effect::PublishView(_) => {}
        }
        Ok(())
    }

    fn end_attempt(&mut self, request: u64) {
        if let Some(asked) = self.requests.get_mut(&request) {
            asked.open_attempts = asked.open_attempts.saturating_sub(1);
        }
        self.remove_if_finished(request);
    }

    /// Removes a request that is answered and has no open attempt; writes are kept to detect a
    /// second execution.
    fn remove_if_finished(&mut self, request: u64) {
        if self
            .requests
            .get(&request)
            .is_some_and(|a| a.answered && a.open_attempts == 0 && !self.plan.class[a.class].write)
        {
            self.requests.remove(&request);
        }
    }

    fn submit(
        &mut self,
        n: usize,
        connection: ConnectionId,
        job: &UpstreamJob,
    ) -> Result<(), String> {
        let Some((member, slot)) = self.gateways[n].connections.get_mut(&connection) else {
            return Err(format!(
                "gateway {n} submitted a job on a connection that it has closed"
            ));
        };
        let member = *member;
        let request = match job {
            UpstreamJob::HealthCheck => None,
            UpstreamJob::Request {
                payload, permit, ..
            } => {
                if permit.try_acquire(self.now).is_err() {
                    return Err(format!(
                        "gateway {n} submitted a request whose permit is not valid"
                    ));
                }
                let request = u64::from_be_bytes(
                    payload.bytes[..8]
                        .try_into()
                        .map_err(|_| "payload without a request id")?,
                );
                *slot = Some(request);
                Some(request)
            }
        };
        if let Some(request) = request {
            let now = self.now;
            let Some(asked) = self.requests.get_mut(&request) else {
                return Err(format!("{request} was sent after it had ended"));
            };
            asked.open_attempts += 1;
            asked.first = asked.first.or(Some(now));
            if asked.open_attempts > 1 {
                return Err(format!(
                    "{request} has {} open attempts",
                    asked.open_attempts
                ));
            }
            if asked.answered {
                return Err(format!("{request} was sent after its final answer"));
            }
            if let Some(told) = self.gateways[n]
                .drain_known_at
                .get(&member)
                .filter(|told| now - **told > DRAIN_GRACE)
            {
                return Err(format!(
                    "{request} was sent to member {member}, known to be draining for {} us",
                    (now - *told).0
                ));
            }
        }
        self.trace_step(|| format!("gateway {n}: {request:?} to member {member}"));
        let at = self.now + self.network_delay();
        self.schedule(
            at,
            SimEvent::JobArrival(
                member,
                Job {
                    gateway: n,
                    connection,
                    request,
                },
            ),
        );
        Ok(())
    }

    fn work(&mut self, n: usize, job: Job) {
        let server = &self.servers[n];
        if !server.alive {
            return self.reply(
                &job,
                UpstreamReply::without_details(AttemptOutcome::ConnectFailed),
                false,
            );
        }
        let Some(request) = job.request else {
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
                &job,
                UpstreamReply {
                    report: Some(report),
                    ..UpstreamReply::without_details(AttemptOutcome::Ok)
                },
                true,
            );
        };
        if let Some(started) = server
            .started
            .filter(|started| self.now - *started < COLD_DURATION)
        {
            let (at, primary) = (self.now, server.primary);
            self.outcome.cold.push(ColdRequest {
                at,
                member: n,
                gateway: job.gateway,
                started,
                primary,
            });
        }
        let server = &self.servers[n];
        let write = self
            .requests
            .get(&request)
            .is_some_and(|a| self.plan.class[a.class].write);
        let role = Some(if server.primary {
            Role::Primary
        } else {
            Role::Replica
        });
        if write && !server.primary {
            return self.reply(
                &job,
                UpstreamReply {
                    role,
                    ..UpstreamReply::without_details(AttemptOutcome::Misdirected)
                },
                true,
            );
        }
        if server.draining || server.waiting.len() >= self.plan.queue {
            return self.reply(
                &job,
                UpstreamReply {
                    role,
                    ..UpstreamReply::without_details(AttemptOutcome::Rejected)
                },
                true,
            );
        }
        self.servers[n].waiting.push_back(job);
        self.start_work(n);
    }

    fn start_work(&mut self, n: usize) {
        while self.servers[n].busy < self.plan.cores {
            let Some(job) = self.servers[n].waiting.pop_front() else {
                return;
            };
            let class = job
                .request
                .and_then(|a| self.requests.get(&a))
                .map_or(0, |a| a.class);
            let class = &self.plan.class[class];
            // Log-normal, parametrized by mean and coefficient of variation.
            let sigma2 = class.spread.powi(2).ln_1p();
            let mean = class.work_ms.ln() - sigma2 / 2.0;
            let time = LogNormal::new(mean, sigma2.sqrt())
                .map_or(class.work_ms, |d| d.sample(&mut self.rng));
            let server = &mut self.servers[n];
            let warm = server
                .started
                .map_or(1.0, |at| warm_capacity(self.now - at));
            server.busy += 1;
            let (generation, at) = (server.generation, self.now + ms(time * server.slow / warm));
            self.schedule(at, SimEvent::JobDone(n, generation, job));
        }
    }

    fn finish(&mut self, n: usize, job: &Job) -> Result<(), String> {
        let Some(request) = job.request else {
            return Ok(());
        };
        let (primary, now) = (self.servers[n].primary, self.now);
        if let Some(asked) = self.requests.get_mut(&request) {
            let class = &self.plan.class[asked.class];
            asked.effects += u32::from(class.write);
            if asked.effects > 1 {
                return Err(format!("write {request} was executed twice"));
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
        let body = Some(request.to_be_bytes().to_vec());
        let reply = UpstreamReply {
            role,
            position: Some(now - lag),
            body,
            ..UpstreamReply::without_details(AttemptOutcome::Ok)
        };
        self.reply(job, reply, true);
        Ok(())
    }

    fn reply(&mut self, job: &Job, reply: UpstreamReply, reusable: bool) {
        let at = self.now + self.network_delay();
        let event = Event::AttemptEnded {
            connection: job.connection,
            reply,
            reusable,
        };
        // The gateway may have closed the connection by then; its core ignores the event.
        if let Some((_, slot)) = self.gateways[job.gateway]
            .connections
            .get_mut(&job.connection)
        {
            if let Some(request) = slot.take() {
                // The attempt ends here; the gateway sends no new one before it receives the event.
                self.end_attempt(request);
            }
            self.schedule(at, SimEvent::Deliver(job.gateway, Box::new(event)));
        }
    }

    fn on_answer(&mut self, n: usize, ticket: u64, answer: &FinalAnswer) -> Result<(), String> {
        let Some(request) = self.gateways[n].tickets.remove(&ticket) else {
            return Err(format!("gateway {n} answered ticket {ticket} twice"));
        };
        let measured = self
            .requests
            .get(&request)
            .is_some_and(|a| self.measured(a.at));
        let Some(asked) = self.requests.get_mut(&request) else {
            return Err(format!("{request} is unknown"));
        };
        if std::mem::replace(&mut asked.answered, true) {
            return Err(format!("{request} got two final answers"));
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
                if bytes[..] != request.to_be_bytes() {
                    return Err(format!(
                        "{request} was served with the answer to another request"
                    ));
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
                    return Err(format!("write {request} was executed and then refused"));
                }
                back = match self.plan.tenant[tenant].retry_behavior {
                    RetryBehavior::FollowHint => Some(*after),
                    RetryBehavior::RetryAtOnce => Some(Span::from_millis(20)),
                    RetryBehavior::GiveUp => None,
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
        self.trace_step(|| format!("gateway {n}: {request} is {said}"));
        if let Some(after) = back {
            let at = self.now + after;
            if at < self.end() {
                self.schedule(at, SimEvent::Retry(tenant, client, class, self.now));
            }
        } else if self.plan.tenant[tenant].clients == 0 {
            // A one-shot client disconnects after its answer.
            self.gateways[n].known_clients.remove(&client);
            self.gateways[n]
                .inbox
                .push(Event::ClientDisconnected(ClientId(client)));
            self.wake(n, self.now);
        }
        self.remove_if_finished(request);
        Ok(())
    }

    fn apply_fault(&mut self, n: usize) {
        let (member, what) = (self.plan.event[n].member, self.plan.event[n].what);
        self.trace_step(|| format!("member {member}: {what:?}"));
        let now = self.now;
        let server = &mut self.servers[member];
        match what {
            FaultKind::Dies => {
                server.alive = false;
                server.generation += 1;
                server.busy = 0;
                server.waiting.clear();
                if std::mem::take(&mut server.primary) {
                    self.schedule(now + ELECTION_DELAY, SimEvent::Election);
                }
                // All its connections are reset; open attempts may have run.
                for g in 0..self.gateways.len() {
                    let of = |(c, (m, a)): (&ConnectionId, &(usize, Option<u64>))| {
                        (*m == member).then_some((*c, *a))
                    };
                    let broken: Vec<_> =
                        self.gateways[g].connections.iter().filter_map(of).collect();
                    for (connection, request) in
                        broken.into_iter().filter_map(|(c, a)| Some((c, a?)))
                    {
                        let job = Job {
                            gateway: g,
                            connection,
                            request: Some(request),
                        };
                        self.reply(
                            &job,
                            UpstreamReply::without_details(AttemptOutcome::Reset),
                            false,
                        );
                    }
                }
            }
            FaultKind::Starts | FaultKind::Joins => {
                server.listed = true;
                (server.alive, server.draining, server.started) = (true, false, Some(now));
                server.generation += 1;
                self.publish_list();
            }
            FaultKind::Drains => {
                server.draining = true;
                if std::mem::take(&mut server.primary) {
                    self.schedule(now + ELECTION_DELAY, SimEvent::Election);
                }
                self.publish_list();
            }
            FaultKind::Slows => server.slow = 3.0,
            FaultKind::Recovers => server.slow = 1.0,
        }
    }

    fn publish_list(&mut self) {
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
            let at = self.now + self.network_delay();
            for (m, server) in self.servers.iter().enumerate() {
                if server.draining {
                    self.gateways[n].drain_known_at.entry(m).or_insert(at);
                } else {
                    self.gateways[n].drain_known_at.remove(&m);
                }
            }
            let event = Event::EndpointList {
                complete: true,
                endpoints: members.clone(),
            };
            self.schedule(at, SimEvent::Deliver(n, Box::new(event)));
        }
    }
}

use valehatch_policy::Outcome as AttemptOutcome;
