//! Rules of the admission queue at their boundaries, and random loads with a check of the
//! invariants after every step.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use valehatch_admission::*;
use valehatch_policy::{GroupId, RequestId, Span, Time};

const fn ms(n: i64) -> Span {
    Span::from_millis(n)
}

const fn lane(group: u16, kind: LaneKind) -> LaneId {
    LaneId {
        group: GroupId(group),
        kind,
    }
}

/// Class of a cheap read.
const CHECK: usize = 0;
/// Class of a read that costs as much as 20 checks.
const REPORT: usize = 1;
/// Class of writes.
const WRITE: usize = 2;

fn classes() -> Vec<Class> {
    let class = |objective_ms, write| Class {
        priority_weight: 1.0,
        latency_objective: ms(objective_ms),
        late_answer_counts: write,
        write,
    };
    vec![class(300, false), class(6000, false), class(600, true)]
}

fn settings(quotas: &[f64]) -> Settings {
    Settings {
        quotas: quotas.to_vec(),
        classes: classes(),
        max_waiting: 2000,
        client_buckets: 256,
        max_retry_after: ms(2000),
        max_lanes: 8,
    }
}

/// A request that an endpoint is executing; ordered by its end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    ends: Time,
    id: RequestId,
}

/// Record of a request that has arrived.
struct ArrivalRecord {
    tenant: usize,
    at: Time,
    /// Time that an endpoint needs for the request.
    service_time: Span,
}

/// A rejected request with the reason and hint.
#[derive(Clone)]
struct Rejected {
    id: RequestId,
    reason: QueueRejection,
    hint: RetryAfterHint,
}

/// A steady load of one tenant.
struct TenantLoad {
    tenant: usize,
    per_second: i64,
    clients: u64,
    class: usize,
}

/// Load of one check per second from one client; the rate and the number of clients can be changed.
const fn checks(tenant: usize) -> TenantLoad {
    TenantLoad {
        tenant,
        per_second: 1,
        clients: 1,
        class: CHECK,
    }
}

/// Load of one report per second from one client.
const fn reports(tenant: usize) -> TenantLoad {
    TenantLoad {
        class: REPORT,
        ..checks(tenant)
    }
}

impl TenantLoad {
    const fn per_second(self, per_second: i64) -> Self {
        Self { per_second, ..self }
    }

    const fn clients(self, clients: u64) -> Self {
        Self { clients, ..self }
    }
}

/// A Retry-After hint with a reservation.
#[derive(Clone, Copy)]
struct ReservedHint {
    rejected_at: Time,
    hinted_at: Time,
}

/// A request that was sent again at the time of its hint.
struct ReturnedRequest {
    id: RequestId,
    hint: ReservedHint,
}

/// Simulation of an admission queue in front of endpoints that execute `capacity` requests at once,
/// each for the fixed service time of its class.
struct Simulation {
    queue: AdmissionQueue,
    now: Time,
    /// Requests that the endpoints execute at once.
    capacity: f64,
    running: BTreeSet<Running>,
    next: u64,
    arrivals: BTreeMap<RequestId, ArrivalRecord>,
    /// Waits of admitted requests, by tenant.
    waits: Vec<Vec<Span>>,
    /// Rejected requests, by tenant.
    rejected: Vec<Vec<Rejected>>,
    decided: BTreeSet<RequestId>,
    admitted_at: BTreeMap<RequestId, Time>,
}

/// Time that an endpoint needs for a request of each class, in microseconds.
const SERVICE_TIMES: [i64; 3] = [50_000, 1_000_000, 50_000];

impl Simulation {
    fn new(settings: Settings, capacity: usize) -> Self {
        let tenants = settings.quotas.len() + 1;
        Self {
            queue: AdmissionQueue::new(settings, 7),
            now: Time(1_000_000_000),
            capacity: capacity as f64,
            running: BTreeSet::new(),
            next: 0,
            arrivals: BTreeMap::new(),
            waits: vec![vec![]; tenants],
            rejected: vec![vec![]; tenants],
            decided: BTreeSet::new(),
            admitted_at: BTreeMap::new(),
        }
    }

    fn apply(&mut self, decisions: Vec<AdmissionDecision>) {
        for decision in decisions {
            let (AdmissionDecision::Admit(id) | AdmissionDecision::Reject { id, .. }) = decision;
            assert!(self.decided.insert(id), "exactly one decision per request");
            let arrival = &self.arrivals[&id];
            match decision {
                AdmissionDecision::Admit(_) => {
                    self.waits[arrival.tenant].push(self.now - arrival.at);
                    self.admitted_at.insert(id, self.now);
                    let ends = self.now + arrival.service_time;
                    self.running.insert(Running { ends, id });
                }
                AdmissionDecision::Reject { reason, hint, .. } => {
                    assert!(
                        hint.retry_after > Span(0) && hint.retry_after <= ms(2000),
                        "{hint:?}"
                    );
                    self.rejected[arrival.tenant].push(Rejected { id, reason, hint });
                }
            }
        }
        self.queue
            .check_invariants()
            .unwrap_or_else(|e| panic!("{e}"));
    }

    fn arrive(&mut self, tenant: usize, client: u64, class: usize, timeout: Span) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        let record = ArrivalRecord {
            tenant,
            at: self.now,
            service_time: Span(SERVICE_TIMES[class]),
        };
        self.arrivals.insert(id, record);
        let is_known = tenant + 1 < self.waits.len();
        let arrival = Arrival {
            id,
            tenant: is_known.then_some(tenant),
            client,
            class,
            group: GroupId(0),
            deadline: self.now + timeout,
        };
        let mut decisions = vec![];
        self.queue.on_arrival(self.now, arrival, &mut decisions);
        self.apply(decisions);
        id
    }

    /// Advances the time to `end`. Running requests complete when they are due, and the queue
    /// receives the capacity and a tick every 10 ms.
    fn advance_to(&mut self, end: Time) {
        while self.now < end {
            let next_end = self.running.first().map_or(Time(i64::MAX), |r| r.ends);
            let tick = Time((self.now.0 / 10_000 + 1) * 10_000);
            self.now = next_end.min(tick).min(end).max(self.now);
            let mut decisions = vec![];
            while let Some(ended) = self.running.first().copied()
                && ended.ends <= self.now
            {
                self.running.pop_first();
                self.queue
                    .on_finished(self.now, ended.id, Completion::Served, &mut decisions);
            }
            let capacity = Capacity {
                limit: self.capacity,
                waiting: 0,
                searching: false,
            };
            for kind in [LaneKind::Reads, LaneKind::Writes] {
                self.queue
                    .set_capacity(self.now, lane(0, kind), capacity, &mut decisions);
            }
            self.queue.tick(self.now, &mut decisions);
            self.apply(decisions);
        }
    }

    fn is_running(&self, id: RequestId) -> bool {
        self.running.iter().any(|running| running.id == id)
    }

    fn rejections(&self, tenant: usize, reason: QueueRejection) -> usize {
        let rejected = self.rejected[tenant].iter();
        rejected.filter(|r| r.reason == reason).count()
    }

    fn advance(&mut self, span: Span) {
        self.advance_to(self.now + span);
    }
}

/// Sends requests of the tenants at steady rates for this number of seconds.
fn load(simulation: &mut Simulation, seconds: i64, tenants: &[TenantLoad]) {
    let start = simulation.now;
    let end = start + ms(seconds * 1000);
    let mut due: BTreeSet<(Time, usize)> = BTreeSet::new();
    for index in 0..tenants.len() {
        due.insert((start, index));
    }
    while let Some((at, index)) = due.pop_first()
        && at < end
    {
        simulation.advance_to(at);
        let load = &tenants[index];
        let client = ((load.tenant as u64) << 32) | (simulation.next % load.clients);
        simulation.arrive(load.tenant, client, load.class, ms(1200));
        due.insert((at + Span(1_000_000 / load.per_second), index));
    }
}

// One tenant sends ten times its quota. The others stay below their quotas and must hardly wait;
// the capacity that they do not use goes to the first tenant.
#[test]
fn flooding_tenant_does_not_delay_others() {
    // 20 checks of 50 ms run at once, which is 400 per second. One tenant sends ten times its
    // quota, two send less than theirs.
    let mut simulation = Simulation::new(settings(&[0.48, 0.29, 0.23]), 20);
    load(
        &mut simulation,
        10,
        &[
            checks(0).per_second(1920).clients(500),
            checks(1).per_second(90).clients(20),
            checks(2).per_second(70).clients(20),
        ],
    );
    simulation.advance(ms(1000));
    let admitted: Vec<usize> = simulation.waits.iter().map(Vec::len).collect();
    assert!(
        admitted[1] >= 900 * 98 / 100 && admitted[2] >= 700 * 98 / 100,
        "{admitted:?}"
    );
    assert!(
        admitted[0] >= 2200,
        "the first tenant gets the unused capacity: {admitted:?}"
    );
    let mut waits = simulation.waits[2].clone();
    waits.sort();
    assert!(
        waits[waits.len() * 99 / 100] <= ms(60),
        "{:?}",
        waits[waits.len() * 99 / 100]
    );
}

#[test]
fn overload_of_all_tenants_follows_quotas() {
    let mut simulation = Simulation::new(settings(&[0.48, 0.29, 0.23]), 20);
    load(
        &mut simulation,
        20,
        &[
            checks(0).per_second(800).clients(300),
            checks(1).per_second(800).clients(300),
            checks(2).per_second(800).clients(300),
        ],
    );
    let admitted: Vec<f64> = simulation.waits.iter().map(|a| a.len() as f64).collect();
    let all: f64 = admitted.iter().sum();
    assert!(
        all >= 20.0 * 400.0 * 0.95,
        "the capacity is fully used: {all}"
    );
    for (n, quota) in [0.48, 0.29, 0.23].into_iter().enumerate() {
        let fraction = admitted[n] / all;
        assert!(
            (fraction / quota - 1.0).abs() < 0.05,
            "{n}: {fraction} of {quota}"
        );
    }
}

#[test]
fn quotas_share_cost_not_requests() {
    // One tenant sends reports of 1 s, the other checks of 50 ms. In the measured phase, each
    // offers more load than the full capacity.
    let mut simulation = Simulation::new(settings(&[0.5, 0.5]), 20);
    load(
        &mut simulation,
        5,
        &[
            reports(0).per_second(100).clients(50),
            checks(1).per_second(100).clients(50),
        ],
    );
    let before = [simulation.waits[0].len(), simulation.waits[1].len()];
    load(
        &mut simulation,
        20,
        &[
            reports(0).per_second(100).clients(50),
            checks(1).per_second(600).clients(50),
        ],
    );
    let cost =
        [0, 1].map(|n| (simulation.waits[n].len() - before[n]) as i64 * SERVICE_TIMES[1 - n]);
    for n in 0..2 {
        let rejections = |reason| simulation.rejections(n, reason);
        println!(
            "cost: tenant {n} wait too long {} queue full {} expired {} standing {} admitted {}",
            rejections(QueueRejection::WaitTooLong),
            rejections(QueueRejection::QueueFull),
            rejections(QueueRejection::ExpiredInQueue),
            rejections(QueueRejection::StandingQueue),
            simulation.waits[n].len()
        );
    }
    let fraction = cost[0] as f64 / (cost[0] + cost[1]) as f64;
    assert!((0.4..0.6).contains(&fraction), "{cost:?}");
}

// One client sends as much as 5,000 others together. The test guards against that client getting
// half of the capacity.
#[test]
fn flooding_client_gets_one_clients_share() {
    let mut simulation = Simulation::new(
        Settings {
            max_waiting: 20_000,
            ..settings(&[1.0])
        },
        20,
    );
    let start = simulation.now;
    // 5,000 clients send one request each in turn, and one sends as many as all of them together.
    let mut flooder_admitted = 0;
    for n in 0..20_000_u64 {
        simulation.advance_to(start + Span(i64::try_from(n).unwrap() * 500));
        simulation.arrive(0, 100 + n % 5000, CHECK, ms(1200));
        let id = simulation.arrive(0, 1, CHECK, ms(1200));
        flooder_admitted += usize::from(simulation.is_running(id));
    }
    let all = simulation.waits[0].len();
    assert!(all > 3000);
    assert!(
        flooder_admitted < all / 10,
        "{flooder_admitted} of {all} are the flooding client's"
    );
}

#[test]
fn idle_tenant_earns_no_credit() {
    let mut simulation = Simulation::new(settings(&[0.5, 0.5]), 20);
    load(
        &mut simulation,
        30,
        &[checks(0).per_second(600).clients(50)],
    );
    let before = [simulation.waits[0].len(), simulation.waits[1].len()];
    load(
        &mut simulation,
        2,
        &[
            checks(0).per_second(600).clients(50),
            checks(1).per_second(2000).clients(50),
        ],
    );
    let admitted = [0, 1].map(|n| simulation.waits[n].len() - before[n]);
    assert!(
        admitted[0] * 100 >= 42 * (admitted[0] + admitted[1]),
        "{admitted:?}"
    );
}

#[test]
fn hundred_thousand_clients_stay_bounded_and_are_all_decided() {
    let mut simulation = Simulation::new(settings(&[0.5, 0.5]), 20);
    for n in 0..100_000 {
        simulation.arrive(usize::from(n % 10 == 0), n, CHECK, ms(1200));
        if n % 100 == 0 {
            simulation.advance(ms(1));
        }
    }
    assert!(simulation.queue.len() <= 2000);
    simulation.advance(ms(2000));
    assert_eq!(simulation.decided.len(), 100_000);
    assert!(
        simulation.waits[1].len() * 2 >= simulation.waits[0].len(),
        "the tenant with fewer clients gets its share"
    );
}

#[test]
fn hopeless_wait_is_rejected_on_arrival() {
    let mut simulation = Simulation::new(settings(&[1.0]), 20);
    load(
        &mut simulation,
        10,
        &[checks(0).per_second(2000).clients(200)],
    );
    let rejections = |reason| simulation.rejections(0, reason);
    let all = simulation.rejected[0].len();
    assert!(all > 10_000);
    assert!(
        rejections(QueueRejection::WaitTooLong) * 10 >= all * 9,
        "{} of {all}",
        rejections(QueueRejection::WaitTooLong)
    );
}

#[test]
fn honoured_hint_is_admitted_on_time() {
    let mut simulation = Simulation::new(settings(&[1.0]), 20);
    // Twice the capacity for long enough that the drain rate is known; then clients that obey their
    // hints exactly.
    load(
        &mut simulation,
        5,
        &[checks(0).per_second(800).clients(4000)],
    );
    let start = simulation.now;
    let mut due_back: BTreeSet<(Time, u64)> = BTreeSet::new();
    let mut hints: BTreeMap<u64, ReservedHint> = BTreeMap::new();
    let mut returned: Vec<ReturnedRequest> = vec![];
    for step in 0..8000_u64 {
        let at = start + Span(i64::try_from(step).unwrap() * 1250);
        while let Some((due, client)) = due_back.first().copied().filter(|(due, _)| *due <= at) {
            due_back.pop_first();
            simulation.advance_to(due);
            let id = simulation.arrive(0, client, CHECK, ms(1200));
            let hint = hints[&client];
            returned.push(ReturnedRequest { id, hint });
        }
        simulation.advance_to(at);
        let client = 1_000_000 + step;
        let before = simulation.rejected[0].len();
        let id = simulation.arrive(0, client, CHECK, ms(1200));
        let rejected = simulation.rejected[0][before..].iter().find(|r| r.id == id);
        if let Some(rejected) = rejected.filter(|r| r.hint.reserved) {
            let hint = ReservedHint {
                rejected_at: simulation.now,
                hinted_at: simulation.now + rejected.hint.retry_after,
            };
            hints.insert(client, hint);
            due_back.insert((hint.hinted_at, client));
        }
    }
    // On time: admitted within 1.2 times the Retry-After, counted from the rejection.
    let is_on_time = |request: &ReturnedRequest| {
        let ReservedHint {
            rejected_at,
            hinted_at,
        } = request.hint;
        simulation
            .admitted_at
            .get(&request.id)
            .is_some_and(|at| *at - rejected_at <= (hinted_at - rejected_at).times(1.2))
    };
    let on_time = returned.iter().filter(|r| is_on_time(r)).count();
    let not_on_time = returned.len() - on_time;
    let rejections = |reason| simulation.rejections(0, reason);
    let reserved_hints = simulation.rejected[0]
        .iter()
        .filter(|r| r.hint.reserved)
        .count();
    println!(
        "on time {on_time}, not on time {not_on_time}, reserved hints {reserved_hints}, wait too long {} queue full {} expired {} standing {} admitted {}",
        rejections(QueueRejection::WaitTooLong),
        rejections(QueueRejection::QueueFull),
        rejections(QueueRejection::ExpiredInQueue),
        rejections(QueueRejection::StandingQueue),
        simulation.waits[0].len()
    );
    assert!(on_time > 200, "{on_time}");
    assert!(
        on_time * 100 >= 95 * (on_time + not_on_time),
        "{on_time} on time, {not_on_time} not"
    );
}

// The primary of a group is lost, and the group's writes wait for a new one. Reads are served by
// replicas and must not be delayed.
#[test]
fn primary_search_does_not_delay_reads() {
    let mut simulation = Simulation::new(settings(&[0.5, 0.5]), 20);
    let mut out = vec![];
    for n in 0..50 {
        simulation.arrive(0, n, WRITE, ms(5000));
    }
    let searching = Capacity {
        limit: 20.0,
        waiting: 8,
        searching: true,
    };
    simulation.queue.set_capacity(
        simulation.now,
        lane(0, LaneKind::Writes),
        searching,
        &mut out,
    );
    simulation.apply(out);
    assert!(simulation.queue.len() >= 30, "the writes stay queued");
    let reads: Vec<_> = (0..8)
        .map(|n| simulation.arrive(1, n, CHECK, ms(1200)))
        .collect();
    assert!(
        reads.iter().all(|id| simulation.is_running(*id)),
        "reads are admitted at once"
    );
    // Once the primary is found, the writes are admitted.
    simulation.advance(ms(300));
    assert!(
        simulation.waits[0].len() == 50,
        "{}",
        simulation.waits[0].len()
    );
}

#[test]
fn new_quotas_apply_at_once_and_keep_places() {
    let mut simulation = Simulation::new(settings(&[0.9, 0.1]), 20);
    load(
        &mut simulation,
        5,
        &[
            checks(0).per_second(800).clients(50),
            checks(1).per_second(800).clients(50),
        ],
    );
    let waiting = simulation.queue.len();
    assert!(simulation.queue.set_quotas(&[0.1]).is_err());
    simulation.queue.set_quotas(&[0.1, 0.9]).unwrap();
    assert_eq!(simulation.queue.len(), waiting);
    let before = [simulation.waits[0].len(), simulation.waits[1].len()];
    load(
        &mut simulation,
        10,
        &[
            checks(0).per_second(800).clients(50),
            checks(1).per_second(800).clients(50),
        ],
    );
    let admitted = [0, 1].map(|n| simulation.waits[n].len() - before[n]);
    assert!(admitted[1] > admitted[0] * 6, "{admitted:?}");
}

#[test]
fn invalid_quotas_and_unknown_tenants_are_served() {
    let mut simulation = Simulation::new(settings(&[0.0, 3.0, f64::NAN]), 20);
    load(
        &mut simulation,
        5,
        &[
            checks(0).per_second(200).clients(50),
            checks(1).per_second(300).clients(50),
            checks(2).per_second(200).clients(50),
            checks(3).per_second(200).clients(50),
        ],
    );
    simulation.advance(ms(1500));
    assert_eq!(simulation.decided.len(), simulation.arrivals.len());
    let admitted: Vec<usize> = simulation.waits.iter().map(Vec::len).collect();
    assert!(admitted[1] > 1400, "{admitted:?}");
    assert!(
        admitted[0] > 0 || admitted[2] > 0 || admitted[3] > 0,
        "the other tenants get the remaining capacity: {admitted:?}"
    );
}

#[test]
fn groups_beyond_lanes_are_admitted_at_once() {
    let mut queue = AdmissionQueue::new(
        Settings {
            max_lanes: 2,
            ..settings(&[1.0])
        },
        1,
    );
    let mut out = vec![];
    for n in 0..50_u16 {
        let id = RequestId(u64::from(n) + 1);
        let (group, deadline) = (GroupId(n), Time(2_000_000));
        queue.on_arrival(
            Time(0),
            Arrival {
                id,
                tenant: None,
                client: 1,
                class: 0,
                group,
                deadline,
            },
            &mut out,
        );
    }
    assert_eq!(out.len(), 50);
    assert!(
        out.iter()
            .all(|decision| matches!(decision, AdmissionDecision::Admit(_)))
    );
    for n in 1..=50 {
        queue.on_finished(Time(1), RequestId(n), Completion::Served, &mut out);
    }
    assert!(queue.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_load_decides_each_request_once_and_in_time(
        steps in prop::collection::vec((0..9_u8, 0..4_usize, 0..30_u64, 0..3_usize, 5..3000_i64), 1..400), capacity in 1..30_usize, max_waiting in 1..60_usize,
    ) {
        let mut simulation = Simulation::new(Settings { max_waiting, ..settings(&[0.5, 0.3, 0.2]) }, capacity);
        let mut sent = vec![];
        for (action, tenant, client, class, n) in steps {
            match action {
                0..=5 => sent.push((simulation.arrive(tenant, client, class, ms(n)), simulation.now + ms(n))),
                6 => simulation.advance(ms(n / 20)),
                7 => {
                    if let Some((id, _)) = sent.get(usize::try_from(n).unwrap() % sent.len().max(1)) {
                        let mut out = vec![];
                        simulation.running.retain(|running| running.id != *id);
                        simulation.queue.on_client_disconnected(simulation.now, *id, &mut out);
                        simulation.decided.insert(*id);
                        simulation.apply(out);
                    }
                }
                _ => simulation.capacity = f64::from(u32::try_from(n % 25).unwrap()),
            }
        }
        simulation.capacity = 5.0;
        simulation.advance(ms(3000));
        prop_assert!(simulation.queue.is_empty());
        prop_assert_eq!(simulation.decided.len(), simulation.arrivals.len());
        for waits in &simulation.waits {
            prop_assert!(waits.iter().all(|w| *w <= ms(1210)), "no request waits for more than four tenths of its timeout");
        }
    }
}
