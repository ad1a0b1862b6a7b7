//! Each rule of the door at its edge, and random worlds in which they all hold after every step.

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

/// A check's cost, behind a backlog, where 400 checks a second are served.
const fn reservation(client: u64, backlog: Span) -> retry_after::Reservation {
    retry_after::Reservation {
        client,
        cost: ms(50),
        backlog,
        cost_per_microsecond: 20.0,
        max_retry_after: ms(2000),
    }
}

/// A check, a report that costs twenty of them, and a write.
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

/// A door before members that have so many places, each of which takes a fixed time for a class.
struct World {
    door: AdmissionQueue,
    now: Time,
    places: f64,
    busy: BTreeSet<(Time, RequestId)>,
    next: u64,
    of: BTreeMap<RequestId, (usize, Time)>,
    /// Admitted and refused, by tenant; hints as they were given.
    admitted: Vec<Vec<Span>>,
    refused: Vec<Vec<(QueueRejection, RetryAfterHint, u64)>>,
    verdicts: BTreeSet<RequestId>,
    cost: BTreeMap<RequestId, i64>,
    when: BTreeMap<RequestId, Time>,
}

const TIMES: [i64; 3] = [50_000, 1_000_000, 50_000];

impl World {
    fn new(settings: Settings, places: usize) -> Self {
        let tenants = settings.quotas.len() + 1;
        #[allow(clippy::cast_precision_loss)]
        let places = places as f64;
        Self {
            door: AdmissionQueue::new(settings, 7),
            now: Time(1_000_000_000),
            places,
            busy: BTreeSet::new(),
            next: 0,
            of: BTreeMap::new(),
            admitted: vec![vec![]; tenants],
            refused: vec![vec![]; tenants],
            verdicts: BTreeSet::new(),
            cost: BTreeMap::new(),
            when: BTreeMap::new(),
        }
    }

    fn take(&mut self, verdicts: Vec<AdmissionDecision>) {
        for verdict in verdicts {
            let (AdmissionDecision::Admit(id) | AdmissionDecision::Reject(id, ..)) = verdict;
            assert!(self.verdicts.insert(id), "one verdict for each");
            let (tenant, came) = self.of[&id];
            match verdict {
                AdmissionDecision::Admit(_) => {
                    self.admitted[tenant].push(self.now - came);
                    self.when.insert(id, self.now);
                    self.busy.insert((self.now + Span(self.cost[&id]), id));
                }
                AdmissionDecision::Reject(_, reason, hint) => {
                    assert!(
                        hint.retry_after > Span(0) && hint.retry_after <= ms(2000),
                        "{hint:?}"
                    );
                    self.refused[tenant].push((reason, hint, id.0));
                }
            }
        }
        self.door
            .check_invariants()
            .unwrap_or_else(|e| panic!("{e}"));
    }

    fn ask(&mut self, tenant: usize, client: u64, class: usize, patience: Span) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        self.of.insert(id, (tenant, self.now));
        self.cost.insert(id, TIMES[class]);
        let known = (tenant + 1 < self.admitted.len()).then_some(tenant);
        let deadline = self.now + patience;
        let arrival = Arrival {
            id,
            tenant: known,
            client,
            class,
            group: GroupId(0),
            deadline,
        };
        let mut out = vec![];
        self.door.on_arrival(self.now, arrival, &mut out);
        self.take(out);
        id
    }

    /// Lets time pass to a moment; what is served leaves, and the door hears of the room every 10 ms.
    fn until(&mut self, end: Time) {
        while self.now < end {
            let served = self.busy.first().map_or(Time(i64::MAX), |(at, _)| *at);
            let tick = Time((self.now.0 / 10_000 + 1) * 10_000);
            self.now = served.min(tick).min(end).max(self.now);
            let mut out = vec![];
            while let Some((_, id)) = self.busy.first().copied().filter(|(at, _)| *at <= self.now) {
                self.busy.pop_first();
                self.door
                    .on_finished(self.now, id, Completion::Served, &mut out);
            }
            let room = Capacity {
                limit: self.places,
                waiting: 0,
                searching: false,
            };
            for kind in [LaneKind::Reads, LaneKind::Writes] {
                self.door
                    .set_capacity(self.now, lane(0, kind), room, &mut out);
            }
            self.door.tick(self.now, &mut out);
            self.take(out);
        }
    }

    fn pass(&mut self, span: Span) {
        self.until(self.now + span);
    }
}

/// Tenants ask at so many requests a second each, for so long, from so many clients each.
fn load(world: &mut World, seconds: i64, tenants: &[(usize, i64, u64, usize)]) {
    let begin = world.now;
    let mut due: BTreeSet<(Time, usize)> = tenants
        .iter()
        .enumerate()
        .map(|(n, _)| (begin, n))
        .collect();
    while let Some((at, n)) = due
        .pop_first()
        .filter(|(at, _)| *at < begin + ms(seconds * 1000))
    {
        world.until(at);
        let (tenant, rate, clients, class) = tenants[n];
        let client = ((tenant as u64) << 32) | (world.next % clients);
        world.ask(tenant, client, class, ms(1200));
        due.insert((at + Span(1_000_000 / rate), n));
    }
}

#[test]
fn a_tenant_that_floods_does_not_make_the_others_wait() {
    // 20 places of 50 ms: 400 checks a second. One tenant asks for ten times its share, two for less than theirs.
    let mut world = World::new(settings(&[0.48, 0.29, 0.23]), 20);
    load(
        &mut world,
        10,
        &[(0, 1920, 500, 0), (1, 90, 20, 0), (2, 70, 20, 0)],
    );
    world.pass(ms(1000));
    let got: Vec<usize> = world.admitted.iter().map(Vec::len).collect();
    assert!(
        got[1] >= 900 * 98 / 100 && got[2] >= 700 * 98 / 100,
        "{got:?}"
    );
    assert!(got[0] >= 2200, "what the others do not use is its: {got:?}");
    let mut waits = world.admitted[2].clone();
    waits.sort();
    assert!(
        waits[waits.len() * 99 / 100] <= ms(60),
        "{:?}",
        waits[waits.len() * 99 / 100]
    );
}

#[test]
fn under_overload_of_all_each_gets_its_share() {
    let mut world = World::new(settings(&[0.48, 0.29, 0.23]), 20);
    load(
        &mut world,
        20,
        &[(0, 800, 300, 0), (1, 800, 300, 0), (2, 800, 300, 0)],
    );
    let got: Vec<f64> = world.admitted.iter().map(|a| a.len() as f64).collect();
    let all: f64 = got.iter().sum();
    assert!(all >= 20.0 * 400.0 * 0.95, "work is not left undone: {all}");
    for (n, share) in [0.48, 0.29, 0.23].into_iter().enumerate() {
        let part = got[n] / all;
        assert!((part / share - 1.0).abs() < 0.05, "{n}: {part} of {share}");
    }
}

#[test]
fn shares_are_of_cost_and_a_dear_request_does_not_stop_the_cheap_ones() {
    // One tenant asks for reports of 1 s, the other for checks of 50 ms; both want all there is.
    let mut world = World::new(settings(&[0.5, 0.5]), 20);
    load(&mut world, 5, &[(0, 100, 50, 1), (1, 100, 50, 0)]);
    let before = [world.admitted[0].len(), world.admitted[1].len()];
    load(&mut world, 20, &[(0, 100, 50, 1), (1, 600, 50, 0)]);
    let cost = [0, 1].map(|n| (world.admitted[n].len() - before[n]) as i64 * TIMES[1 - n]);
    for n in 0..2 {
        let kinds = |r: QueueRejection| {
            world.refused[n]
                .iter()
                .filter(|(reason, ..)| *reason == r)
                .count()
        };
        println!(
            "cost: tenant {n} wait {} full {} waited {} standing {} admitted {}",
            kinds(QueueRejection::WaitTooLong),
            kinds(QueueRejection::QueueFull),
            kinds(QueueRejection::ExpiredInQueue),
            kinds(QueueRejection::StandingQueue),
            world.admitted[n].len()
        );
    }
    let part = cost[0] as f64 / (cost[0] + cost[1]) as f64;
    assert!((0.4..0.6).contains(&part), "{cost:?}");
}

#[test]
fn one_client_against_many_gets_what_one_of_them_gets_and_no_more() {
    let mut world = World::new(
        Settings {
            max_waiting: 20_000,
            ..settings(&[1.0])
        },
        20,
    );
    let begin = world.now;
    // A crowd of 5,000 that asks once each, over and over, and one who asks as often as all of them.
    let mut one = 0;
    for n in 0..20_000_u64 {
        world.until(begin + Span(i64::try_from(n).unwrap() * 500));
        world.ask(0, 100 + n % 5000, 0, ms(1200));
        let id = world.ask(0, 1, 0, ms(1200));
        one += usize::from(world.busy.iter().any(|(_, b)| *b == id));
    }
    let all = world.admitted[0].len();
    assert!(all > 3000);
    assert!(one < all / 10, "{one} of {all}: it does not get half");
}

#[test]
fn nothing_is_saved_up_by_being_idle() {
    let mut world = World::new(settings(&[0.5, 0.5]), 20);
    load(&mut world, 30, &[(0, 600, 50, 0)]);
    let before = [world.admitted[0].len(), world.admitted[1].len()];
    load(&mut world, 2, &[(0, 600, 50, 0), (1, 2000, 50, 0)]);
    let got = [0, 1].map(|n| world.admitted[n].len() - before[n]);
    assert!(got[0] * 100 >= 42 * (got[0] + got[1]), "{got:?}");
}

#[test]
fn a_hundred_thousand_clients_at_once_stay_within_the_size_and_each_gets_a_verdict() {
    let mut world = World::new(settings(&[0.5, 0.5]), 20);
    for n in 0..100_000 {
        world.ask(usize::from(n % 10 == 0), n, 0, ms(1200));
        if n % 100 == 0 {
            world.pass(ms(1));
        }
    }
    assert!(world.door.len() <= 2000);
    world.pass(ms(2000));
    assert_eq!(world.verdicts.len(), 100_000);
    assert!(
        world.admitted[1].len() * 2 >= world.admitted[0].len(),
        "the smaller crowd is not pushed aside"
    );
}

#[test]
fn what_cannot_be_served_in_time_is_refused_on_arrival_and_not_after_waiting() {
    let mut world = World::new(settings(&[1.0]), 20);
    load(&mut world, 10, &[(0, 2000, 200, 0)]);
    let reasons = |r: QueueRejection| {
        world.refused[0]
            .iter()
            .filter(|(reason, ..)| *reason == r)
            .count()
    };
    let all = world.refused[0].len();
    assert!(all > 10_000);
    assert!(
        reasons(QueueRejection::WaitTooLong) * 10 >= all * 9,
        "{} of {all}",
        reasons(QueueRejection::WaitTooLong)
    );
}

#[test]
fn those_who_obey_their_hints_are_let_in_when_they_were_told() {
    let mut world = World::new(settings(&[1.0]), 20);
    // Twice what can be served, for long enough that the rate is known; then a crowd that obeys to the microsecond.
    load(&mut world, 5, &[(0, 800, 4000, 0)]);
    let begin = world.now;
    let mut back: BTreeSet<(Time, u64)> = BTreeSet::new();
    let mut told: BTreeMap<u64, (Time, Time)> = BTreeMap::new();
    let mut came: Vec<(RequestId, Time, Time)> = vec![];
    for step in 0..8000_u64 {
        let at = begin + Span(i64::try_from(step).unwrap() * 1250);
        while let Some((due, client)) = back.first().copied().filter(|(due, _)| *due <= at) {
            back.pop_first();
            world.until(due);
            let (refused, hinted) = told[&client];
            came.push((world.ask(0, client, 0, ms(1200)), refused, hinted));
        }
        world.until(at);
        let client = 1_000_000 + step;
        let before = world.refused[0].len();
        let id = world.ask(0, client, 0, ms(1200));
        let refused = world.refused[0][before..].iter().find(|(.., r)| *r == id.0);
        if let Some((_, hint, _)) = refused.filter(|(_, h, _)| h.reserved) {
            told.insert(client, (world.now, world.now + hint.retry_after));
            back.insert((world.now + hint.retry_after, client));
        }
    }
    // Let in no later than 1.2 times the hinted time after the refusal.
    let is_right = |(id, refused, hinted): &(RequestId, Time, Time)| {
        world
            .when
            .get(id)
            .is_some_and(|at| *at - *refused <= (*hinted - *refused).times(1.2))
    };
    let right = came.iter().filter(|c| is_right(c)).count();
    let wrong = came.len() - right;
    let kinds = |r: QueueRejection| {
        world.refused[0]
            .iter()
            .filter(|(reason, ..)| *reason == r)
            .count()
    };
    let honest = world.refused[0]
        .iter()
        .filter(|(_, h, _)| h.reserved)
        .count();
    println!(
        "right {right} wrong {wrong} honest {honest} wait {} full {} waited {} standing {} admitted {}",
        kinds(QueueRejection::WaitTooLong),
        kinds(QueueRejection::QueueFull),
        kinds(QueueRejection::ExpiredInQueue),
        kinds(QueueRejection::StandingQueue),
        world.admitted[0].len()
    );
    assert!(right > 200, "{right}");
    assert!(
        right * 100 >= 95 * (right + wrong),
        "{right} right, {wrong} wrong"
    );
}

#[test]
fn hints_spread_a_crowd_and_say_when_they_cannot_be_honest() {
    let mut calendar = retry_after::RetryAfterCalendar::new(Time(0));
    // Twenty checks at once, 400 a second; a crowd of 1,000 refused in one moment.
    let hints: Vec<Option<Span>> = (0..1000)
        .map(|n| calendar.reserve(Time(0), &reservation(n, ms(1000))))
        .collect();
    let honest: Vec<i64> = hints.iter().flatten().map(|h| h.0).collect();
    assert!((350..550).contains(&honest.len()), "{}", honest.len());
    assert!(
        hints[honest.len()..].iter().all(Option::is_none),
        "the cap is too short for the rest"
    );
    assert!(*honest.first().unwrap() >= 300_000, "no hint is shorter");
    let mut by_slot = BTreeMap::new();
    honest
        .iter()
        .for_each(|h| *by_slot.entry(h / 50_000).or_insert(0) += 1);
    let mean = honest.len() / by_slot.len();
    assert!(
        by_slot.values().all(|n| *n <= mean * 3 / 2 + 1),
        "{by_slot:?}"
    );
    // What is not used is given back by time passing.
    let later = calendar
        .reserve(Time(2_100_000), &reservation(5000, Span(0)))
        .unwrap();
    assert!(later <= ms(400), "the least hint: {later:?}");
}

#[test]
fn a_client_that_comes_early_all_the_time_gains_nothing() {
    let mut calendar = retry_after::RetryAfterCalendar::new(Time(0));
    let hint = calendar
        .reserve(Time(0), &reservation(1, ms(20_000)))
        .unwrap();
    assert_eq!(calendar.use_reservation(Time(0) + hint - ms(51), 1), None);
    assert_eq!(
        calendar.use_reservation(Time(0) + hint - ms(50), 1),
        Some(Time(0) + hint)
    );
    assert_eq!(calendar.use_reservation(Time(0) + hint, 1), None, "once");
}

#[test]
fn writes_that_wait_for_a_primary_take_no_room_from_reads() {
    let mut world = World::new(settings(&[0.5, 0.5]), 20);
    let mut out = vec![];
    for n in 0..50 {
        world.ask(0, n, 2, ms(5000));
    }
    let searching = Capacity {
        limit: 20.0,
        waiting: 8,
        searching: true,
    };
    world
        .door
        .set_capacity(world.now, lane(0, LaneKind::Writes), searching, &mut out);
    world.take(out);
    assert!(world.door.len() >= 30, "they keep their places");
    let reads: Vec<_> = (0..8).map(|n| world.ask(1, n, 0, ms(1200))).collect();
    assert!(
        reads
            .iter()
            .all(|id| world.busy.iter().any(|(_, b)| b == id)),
        "reads go on"
    );
    // Once it is found they are let in, in their turn.
    world.pass(ms(300));
    assert!(world.admitted[0].len() == 50, "{}", world.admitted[0].len());
}

#[test]
fn other_shares_hold_at_once_and_nobody_loses_its_place() {
    let mut world = World::new(settings(&[0.9, 0.1]), 20);
    load(&mut world, 5, &[(0, 800, 50, 0), (1, 800, 50, 0)]);
    let waiting = world.door.len();
    assert!(world.door.set_quotas(&[0.1]).is_err());
    world.door.set_quotas(&[0.1, 0.9]).unwrap();
    assert_eq!(world.door.len(), waiting);
    let before = [world.admitted[0].len(), world.admitted[1].len()];
    load(&mut world, 10, &[(0, 800, 50, 0), (1, 800, 50, 0)]);
    let got = [0, 1].map(|n| world.admitted[n].len() - before[n]);
    assert!(got[1] > got[0] * 6, "{got:?}");
}

#[test]
fn odd_shares_and_unknown_tenants_are_served_as_defined() {
    let mut world = World::new(settings(&[0.0, 3.0, f64::NAN]), 20);
    load(
        &mut world,
        5,
        &[
            (0, 200, 50, 0),
            (1, 300, 50, 0),
            (2, 200, 50, 0),
            (3, 200, 50, 0),
        ],
    );
    world.pass(ms(1500));
    assert_eq!(world.verdicts.len(), world.of.len());
    let got: Vec<usize> = world.admitted.iter().map(Vec::len).collect();
    assert!(got[1] > 1400, "{got:?}");
    assert!(
        got[0] > 0 || got[2] > 0 || got[3] > 0,
        "what is left is theirs: {got:?}"
    );
}

#[test]
fn groups_beyond_the_lanes_are_let_in_as_they_come() {
    let mut door = AdmissionQueue::new(
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
        door.on_arrival(
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
    (1..=50).for_each(|n| door.on_finished(Time(1), RequestId(n), Completion::Served, &mut out));
    assert!(door.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn in_any_world_each_request_has_one_verdict_in_time_and_nothing_waits_while_there_is_room(
        moves in prop::collection::vec((0..9_u8, 0..4_usize, 0..30_u64, 0..3_usize, 5..3000_i64), 1..400), places in 1..30_usize, most in 1..60_usize,
    ) {
        let mut world = World::new(Settings { max_waiting: most, ..settings(&[0.5, 0.3, 0.2]) }, places);
        let mut asked = vec![];
        for (what, tenant, client, class, n) in moves {
            match what {
                0..=5 => asked.push((world.ask(tenant, client, class, ms(n)), world.now + ms(n))),
                6 => world.pass(ms(n / 20)),
                7 => {
                    if let Some((id, _)) = asked.get(usize::try_from(n).unwrap() % asked.len().max(1)) {
                        let mut out = vec![];
                        world.busy.retain(|(_, b)| b != id);
                        world.door.on_client_disconnected(world.now, *id, &mut out);
                        world.verdicts.insert(*id);
                        world.take(out);
                    }
                }
                _ => world.places = f64::from(u32::try_from(n % 25).unwrap()),
            }
        }
        world.places = 5.0;
        world.pass(ms(3000));
        prop_assert!(world.door.is_empty());
        prop_assert_eq!(world.verdicts.len(), world.of.len());
        for waits in &world.admitted {
            prop_assert!(waits.iter().all(|w| *w <= ms(1210)), "none waits for more than four tenths of its time");
        }
    }
}
