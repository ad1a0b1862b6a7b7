//! Each rule of the admission queue at its boundary, and random loads under which its invariants
//! hold after every step.

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

/// Classes, by number: a check, a report that costs twenty checks, and a write.
const CHECK: usize = 0;
const REPORT: usize = 1;
const WRITE: usize = 2;

fn classes() -> Vec<Class> {
    let class = |aim, write| Class {
        priority_weight: 1.0,
        latency_objective: ms(aim),
        late_answer_counts: write,
        write,
    };
    vec![class(300, false), class(6000, false), class(600, true)]
}

fn settings(shares: &[f64]) -> Settings {
    Settings {
        quotas: shares.to_vec(),
        classes: classes(),
        max_waiting: 2000,
        client_buckets: 256,
        max_retry_after: ms(2000),
        max_lanes: 8,
    }
}

/// A request that an endpoint runs; ordered by when it ends.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    ends: Time,
    id: RequestId,
}

/// What is known of a request that came in.
struct ArrivalRecord {
    tenant: usize,
    at: Time,
    /// How long an endpoint takes for it.
    service_time: Span,
}

/// A request that was rejected, and how.
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

/// Checks of a tenant: one a second from one client unless said otherwise.
const fn checks(tenant: usize) -> TenantLoad {
    TenantLoad {
        tenant,
        per_second: 1,
        clients: 1,
        class: CHECK,
    }
}

/// The same of reports.
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

/// A rejection with a reserved hint.
#[derive(Clone, Copy)]
struct Promise {
    rejected_at: Time,
    hinted_at: Time,
}

/// A request that came back at the time of its hint.
struct ReturnedRequest {
    id: RequestId,
    promise: Promise,
}

/// An admission queue before endpoints that run so many requests at once, each for its class's
/// fixed time.
struct World {
    queue: AdmissionQueue,
    now: Time,
    /// Requests that the endpoints run at once.
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

/// How long an endpoint takes for a request of each class, in microseconds.
const SERVICE_TIMES: [i64; 3] = [50_000, 1_000_000, 50_000];

impl World {
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
            assert!(self.decided.insert(id), "one decision for each");
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

    fn arrive(&mut self, tenant: usize, client: u64, class: usize, patience: Span) -> RequestId {
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
            deadline: self.now + patience,
        };
        let mut decisions = vec![];
        self.queue.on_arrival(self.now, arrival, &mut decisions);
        self.apply(decisions);
        id
    }

    /// Lets time pass up to a moment. Requests that end leave, and the queue learns the capacity
    /// every 10 ms.
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

/// Requests of tenants at steady rates for so long.
fn load(world: &mut World, seconds: i64, tenants: &[TenantLoad]) {
    let start = world.now;
    let end = start + ms(seconds * 1000);
    let mut due: BTreeSet<(Time, usize)> = BTreeSet::new();
    for index in 0..tenants.len() {
        due.insert((start, index));
    }
    while let Some((at, index)) = due.pop_first()
        && at < end
    {
        world.advance_to(at);
        let load = &tenants[index];
        let client = ((load.tenant as u64) << 32) | (world.next % load.clients);
        world.arrive(load.tenant, client, load.class, ms(1200));
        due.insert((at + Span(1_000_000 / load.per_second), index));
    }
}

// One tenant sends ten times its quota. The others stay below theirs and must hardly wait, and what
// they do not use goes to the first.
#[test]
fn flooding_tenant_does_not_delay_others() {
    // 20 checks of 50 ms at once: 400 a second. One tenant sends ten times its quota, two less than
    // theirs.
    let mut world = World::new(settings(&[0.48, 0.29, 0.23]), 20);
    load(
        &mut world,
        10,
        &[
            checks(0).per_second(1920).clients(500),
            checks(1).per_second(90).clients(20),
            checks(2).per_second(70).clients(20),
        ],
    );
    world.advance(ms(1000));
    let got: Vec<usize> = world.waits.iter().map(Vec::len).collect();
    assert!(
        got[1] >= 900 * 98 / 100 && got[2] >= 700 * 98 / 100,
        "{got:?}"
    );
    assert!(got[0] >= 2200, "what the others do not use is its: {got:?}");
    let mut waits = world.waits[2].clone();
    waits.sort();
    assert!(
        waits[waits.len() * 99 / 100] <= ms(60),
        "{:?}",
        waits[waits.len() * 99 / 100]
    );
}

#[test]
fn overload_of_all_tenants_follows_quotas() {
    let mut world = World::new(settings(&[0.48, 0.29, 0.23]), 20);
    load(
        &mut world,
        20,
        &[
            checks(0).per_second(800).clients(300),
            checks(1).per_second(800).clients(300),
            checks(2).per_second(800).clients(300),
        ],
    );
    let got: Vec<f64> = world.waits.iter().map(|a| a.len() as f64).collect();
    let all: f64 = got.iter().sum();
    assert!(all >= 20.0 * 400.0 * 0.95, "work is not left undone: {all}");
    for (n, share) in [0.48, 0.29, 0.23].into_iter().enumerate() {
        let part = got[n] / all;
        assert!((part / share - 1.0).abs() < 0.05, "{n}: {part} of {share}");
    }
}

#[test]
fn quotas_share_cost_not_requests() {
    // One tenant sends reports of 1 s, the other checks of 50 ms; both want all the capacity.
    let mut world = World::new(settings(&[0.5, 0.5]), 20);
    load(
        &mut world,
        5,
        &[
            reports(0).per_second(100).clients(50),
            checks(1).per_second(100).clients(50),
        ],
    );
    let before = [world.waits[0].len(), world.waits[1].len()];
    load(
        &mut world,
        20,
        &[
            reports(0).per_second(100).clients(50),
            checks(1).per_second(600).clients(50),
        ],
    );
    let cost = [0, 1].map(|n| (world.waits[n].len() - before[n]) as i64 * SERVICE_TIMES[1 - n]);
    for n in 0..2 {
        let kinds = |reason| world.rejections(n, reason);
        println!(
            "cost: tenant {n} wait {} full {} waited {} standing {} admitted {}",
            kinds(QueueRejection::WaitTooLong),
            kinds(QueueRejection::QueueFull),
            kinds(QueueRejection::ExpiredInQueue),
            kinds(QueueRejection::StandingQueue),
            world.waits[n].len()
        );
    }
    let part = cost[0] as f64 / (cost[0] + cost[1]) as f64;
    assert!((0.4..0.6).contains(&part), "{cost:?}");
}

// One client sends as much as 5,000 others together. It must not get half of the capacity.
#[test]
fn flooding_client_gets_one_clients_share() {
    let mut world = World::new(
        Settings {
            max_waiting: 20_000,
            ..settings(&[1.0])
        },
        20,
    );
    let begin = world.now;
    // 5,000 clients that send one request each in turn, and one that sends as many as all of them.
    let mut one = 0;
    for n in 0..20_000_u64 {
        world.advance_to(begin + Span(i64::try_from(n).unwrap() * 500));
        world.arrive(0, 100 + n % 5000, CHECK, ms(1200));
        let id = world.arrive(0, 1, CHECK, ms(1200));
        one += usize::from(world.is_running(id));
    }
    let all = world.waits[0].len();
    assert!(all > 3000);
    assert!(one < all / 10, "{one} of {all}: it does not get half");
}

#[test]
fn idle_tenant_earns_no_credit() {
    let mut world = World::new(settings(&[0.5, 0.5]), 20);
    load(&mut world, 30, &[checks(0).per_second(600).clients(50)]);
    let before = [world.waits[0].len(), world.waits[1].len()];
    load(
        &mut world,
        2,
        &[
            checks(0).per_second(600).clients(50),
            checks(1).per_second(2000).clients(50),
        ],
    );
    let got = [0, 1].map(|n| world.waits[n].len() - before[n]);
    assert!(got[0] * 100 >= 42 * (got[0] + got[1]), "{got:?}");
}

#[test]
fn hundred_thousand_clients_stay_bounded_and_are_all_decided() {
    let mut world = World::new(settings(&[0.5, 0.5]), 20);
    for n in 0..100_000 {
        world.arrive(usize::from(n % 10 == 0), n, CHECK, ms(1200));
        if n % 100 == 0 {
            world.advance(ms(1));
        }
    }
    assert!(world.queue.len() <= 2000);
    world.advance(ms(2000));
    assert_eq!(world.decided.len(), 100_000);
    assert!(
        world.waits[1].len() * 2 >= world.waits[0].len(),
        "the smaller crowd is not pushed aside"
    );
}

#[test]
fn hopeless_wait_is_rejected_on_arrival() {
    let mut world = World::new(settings(&[1.0]), 20);
    load(&mut world, 10, &[checks(0).per_second(2000).clients(200)]);
    let reasons = |reason| world.rejections(0, reason);
    let all = world.rejected[0].len();
    assert!(all > 10_000);
    assert!(
        reasons(QueueRejection::WaitTooLong) * 10 >= all * 9,
        "{} of {all}",
        reasons(QueueRejection::WaitTooLong)
    );
}

#[test]
fn honoured_hint_is_admitted_on_time() {
    let mut world = World::new(settings(&[1.0]), 20);
    // Twice what can be served, for long enough that the rate is known; then clients that obey
    // their hints exactly.
    load(&mut world, 5, &[checks(0).per_second(800).clients(4000)]);
    let begin = world.now;
    let mut due_back: BTreeSet<(Time, u64)> = BTreeSet::new();
    let mut promises: BTreeMap<u64, Promise> = BTreeMap::new();
    let mut returned: Vec<ReturnedRequest> = vec![];
    for step in 0..8000_u64 {
        let at = begin + Span(i64::try_from(step).unwrap() * 1250);
        while let Some((due, client)) = due_back.first().copied().filter(|(due, _)| *due <= at) {
            due_back.pop_first();
            world.advance_to(due);
            let id = world.arrive(0, client, CHECK, ms(1200));
            let promise = promises[&client];
            returned.push(ReturnedRequest { id, promise });
        }
        world.advance_to(at);
        let client = 1_000_000 + step;
        let before = world.rejected[0].len();
        let id = world.arrive(0, client, CHECK, ms(1200));
        let rejected = world.rejected[0][before..].iter().find(|r| r.id == id);
        if let Some(rejected) = rejected.filter(|r| r.hint.reserved) {
            let promise = Promise {
                rejected_at: world.now,
                hinted_at: world.now + rejected.hint.retry_after,
            };
            promises.insert(client, promise);
            due_back.insert((promise.hinted_at, client));
        }
    }
    // Admitted no later than 1.2 times the hinted time after the rejection.
    let is_right = |request: &ReturnedRequest| {
        let Promise {
            rejected_at,
            hinted_at,
        } = request.promise;
        world
            .admitted_at
            .get(&request.id)
            .is_some_and(|at| *at - rejected_at <= (hinted_at - rejected_at).times(1.2))
    };
    let right = returned.iter().filter(|r| is_right(r)).count();
    let wrong = returned.len() - right;
    let kinds = |reason| world.rejections(0, reason);
    let reserved_hints = world.rejected[0].iter().filter(|r| r.hint.reserved).count();
    println!(
        "right {right} wrong {wrong} reserved_hints {reserved_hints} wait {} full {} waited {} standing {} admitted {}",
        kinds(QueueRejection::WaitTooLong),
        kinds(QueueRejection::QueueFull),
        kinds(QueueRejection::ExpiredInQueue),
        kinds(QueueRejection::StandingQueue),
        world.waits[0].len()
    );
    assert!(right > 200, "{right}");
    assert!(
        right * 100 >= 95 * (right + wrong),
        "{right} right, {wrong} wrong"
    );
}

// The primary is lost, and its group's writes wait for a new one. Reads are served by replicas and
// must go on.
#[test]
fn primary_search_does_not_delay_reads() {
    let mut world = World::new(settings(&[0.5, 0.5]), 20);
    let mut out = vec![];
    for n in 0..50 {
        world.arrive(0, n, WRITE, ms(5000));
    }
    let searching = Capacity {
        limit: 20.0,
        waiting: 8,
        searching: true,
    };
    world
        .queue
        .set_capacity(world.now, lane(0, LaneKind::Writes), searching, &mut out);
    world.apply(out);
    assert!(world.queue.len() >= 30, "they keep their places");
    let reads: Vec<_> = (0..8)
        .map(|n| world.arrive(1, n, CHECK, ms(1200)))
        .collect();
    assert!(reads.iter().all(|id| world.is_running(*id)), "reads go on");
    // Once it is found the writes are admitted in turn.
    world.advance(ms(300));
    assert!(world.waits[0].len() == 50, "{}", world.waits[0].len());
}

#[test]
fn new_quotas_apply_at_once_and_keep_places() {
    let mut world = World::new(settings(&[0.9, 0.1]), 20);
    load(
        &mut world,
        5,
        &[
            checks(0).per_second(800).clients(50),
            checks(1).per_second(800).clients(50),
        ],
    );
    let waiting = world.queue.len();
    assert!(world.queue.set_quotas(&[0.1]).is_err());
    world.queue.set_quotas(&[0.1, 0.9]).unwrap();
    assert_eq!(world.queue.len(), waiting);
    let before = [world.waits[0].len(), world.waits[1].len()];
    load(
        &mut world,
        10,
        &[
            checks(0).per_second(800).clients(50),
            checks(1).per_second(800).clients(50),
        ],
    );
    let got = [0, 1].map(|n| world.waits[n].len() - before[n]);
    assert!(got[1] > got[0] * 6, "{got:?}");
}

#[test]
fn invalid_quotas_and_unknown_tenants_are_served() {
    let mut world = World::new(settings(&[0.0, 3.0, f64::NAN]), 20);
    load(
        &mut world,
        5,
        &[
            checks(0).per_second(200).clients(50),
            checks(1).per_second(300).clients(50),
            checks(2).per_second(200).clients(50),
            checks(3).per_second(200).clients(50),
        ],
    );
    world.advance(ms(1500));
    assert_eq!(world.decided.len(), world.arrivals.len());
    let got: Vec<usize> = world.waits.iter().map(Vec::len).collect();
    assert!(got[1] > 1400, "{got:?}");
    assert!(
        got[0] > 0 || got[2] > 0 || got[3] > 0,
        "what is left is theirs: {got:?}"
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
    assert!(out.iter().all(|v| matches!(v, AdmissionDecision::Admit(_))));
    for n in 1..=50 {
        queue.on_finished(Time(1), RequestId(n), Completion::Served, &mut out);
    }
    assert!(queue.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_load_decides_each_request_once_and_in_time(
        moves in prop::collection::vec((0..9_u8, 0..4_usize, 0..30_u64, 0..3_usize, 5..3000_i64), 1..400), places in 1..30_usize, most in 1..60_usize,
    ) {
        let mut world = World::new(Settings { max_waiting: most, ..settings(&[0.5, 0.3, 0.2]) }, places);
        let mut asked = vec![];
        for (what, tenant, client, class, n) in moves {
            match what {
                0..=5 => asked.push((world.arrive(tenant, client, class, ms(n)), world.now + ms(n))),
                6 => world.advance(ms(n / 20)),
                7 => {
                    if let Some((id, _)) = asked.get(usize::try_from(n).unwrap() % asked.len().max(1)) {
                        let mut out = vec![];
                        world.running.retain(|running| running.id != *id);
                        world.queue.on_client_disconnected(world.now, *id, &mut out);
                        world.decided.insert(*id);
                        world.apply(out);
                    }
                }
                _ => world.capacity = f64::from(u32::try_from(n % 25).unwrap()),
            }
        }
        world.capacity = 5.0;
        world.advance(ms(3000));
        prop_assert!(world.queue.is_empty());
        prop_assert_eq!(world.decided.len(), world.arrivals.len());
        for waits in &world.waits {
            prop_assert!(waits.iter().all(|w| *w <= ms(1210)), "none waits for more than four tenths of its time");
        }
    }
}
