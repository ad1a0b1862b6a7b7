//! The slow-start budget, over the sum of all routers.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn restarted_endpoint_gets_little_then_more() {
    let mut s = Script::group(settings(), 3, 1);
    let mut id = 0;
    let mut load = |s: &mut Script, n: u64| {
        let before = s.sends.len();
        for _ in 0..n {
            id += 1;
            s.request(id, ANY);
            s.run(10);
            if s.at(id).is_some() {
                s.end(id, Outcome::Ok, REPLICA);
            }
        }
        s.sends[before..].iter().filter(|(_, n)| n.0 == 3).count()
    };
    let warm = load(&mut s, 400);
    let mut restarted = entry(3, false, EndpointState::Ready);
    restarted.started = Some(s.now);
    s.list(false, vec![restarted]);
    let cold = load(&mut s, 150);
    let later = load(&mut s, 700);
    assert!(
        warm > 100 && cold * 5 < warm && later > cold,
        "{warm} {cold} {later}"
    );
}

#[test]
fn readmitted_unreachable_endpoint_is_in_slow_start() {
    let mut s = Script::group(settings(), 3, 1);
    for id in 1..=100 {
        s.request(id, ANY);
        s.run(10);
        s.end(id, Outcome::Ok, REPLICA);
    }
    for id in 500..520 {
        s.request(id, ANY);
        s.end(
            id,
            if s.at(id) == Some(3) {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
            None,
        );
        s.probed(3, Outcome::ConnectFailed, None);
    }
    s.report(3, 10, false);
    let before = s.sends.len();
    for id in 101..=200 {
        s.request(id, ANY);
        s.run(10);
        s.end(id, Outcome::Ok, REPLICA);
    }
    let back = s.sends[before..].iter().filter(|(_, n)| n.0 == 3).count();
    assert!(back < 30, "{back} of 100 to a node that just came back");
}

/// Sends of many routers to one node in the 1.5 s before and after it started anew, each router with about one
/// request of a class a second.
fn sent_by_many(class: ClassId, endpoint: u32, members: u32, leaving: &[u32]) -> (usize, usize) {
    let (mut before, mut after) = (0, 0);
    for seed in 0..150 {
        let mut cfg = settings();
        cfg.routers = 150;
        let mut s = Script::group_seeded(cfg, members, 1, seed);
        s.run(i64::try_from(seed).unwrap() * 6);
        let mut id = 0;
        let mut second = |s: &mut Script| {
            id += 1;
            s.request(id, class);
            s.run(100);
            if s.at(id).is_some() && !s.answers.contains_key(&RequestId(id)) {
                s.end(
                    id,
                    Outcome::Ok,
                    Some(if s.at(id) == Some(1) {
                        Role::Primary
                    } else {
                        Role::Replica
                    }),
                );
            }
            s.run(900);
        };
        (0..12).for_each(|_| second(&mut s));
        let count = |s: &Script, from: usize| {
            s.sends[from..]
                .iter()
                .filter(|(_, n)| n.0 == endpoint)
                .count()
        };
        let from = s.sends.len();
        (0..2).for_each(|_| second(&mut s));
        before += count(&s, from);
        let mut restarted = entry(endpoint, endpoint == 1, EndpointState::Ready);
        restarted.started = Some(s.now);
        let gone = leaving
            .iter()
            .map(|n| entry(*n, false, EndpointState::Removed));
        s.list(false, gone.chain([restarted]).collect());
        let from = s.sends.len();
        (0..2).for_each(|_| second(&mut s));
        after += count(&s, from);
    }
    (before, after)
}

#[test]
fn many_routers_restarted_replica_stays_within_budget() {
    let (before, after) = sent_by_many(ANY, 3, 3, &[]);
    let limit = before as f64
        * settings().rules.slow_start_initial_capacity
        * settings().rules.overload_multiple;
    assert!(before > 100 && (after as f64) < limit, "{before} {after}");
}

#[test]
fn many_routers_shrunk_group_stays_within_budget() {
    let (before, after) = sent_by_many(ANY, 6, 6, &[2, 3, 4, 5]);
    let limit = before as f64
        * settings().rules.slow_start_initial_capacity
        * settings().rules.overload_multiple;
    assert!(before > 40 && (after as f64) < limit, "{before} {after}");
}

#[test]
fn many_routers_restarted_primary_stays_within_budget() {
    let (before, after) = sent_by_many(WRITE, 1, 3, &[]);
    let limit = before as f64
        * settings().rules.slow_start_initial_capacity
        * settings().rules.overload_multiple;
    assert!(
        before > 200 && after > 0 && (after as f64) < limit,
        "{before} {after}"
    );
}

/// Writes that go to a primary which has just started, within the time that pushes it over, from processes that share a
/// gateway's 100 requests a second; the first has served its share for a while.
fn sent_to_restarted_primary(processes: u32) -> usize {
    let mut cfg = settings();
    (cfg.routers, cfg.tenants) = (1, vec![Tenant { allowance: 100.0 }]);
    let mut sent = 0;
    for n in 0..processes {
        let mut s = Script::group_seeded(cfg.clone(), 4, 1, n.into());
        let mut id = 0;
        let mut one = |s: &mut Script, class, gap| {
            id += 1;
            s.request(id, class);
            s.run(gap);
            for id in 1.max(id.saturating_sub(50))..=id {
                let role = Some(if s.at(id) == Some(1) {
                    Role::Primary
                } else {
                    Role::Replica
                });
                let end = s.at(id).and_then(|_| s.ended(id, Outcome::Ok, role, None));
                s.step(&end.into_iter().collect::<Vec<_>>());
            }
        };
        (0..if n == 0 { 1_500 } else { 0 }).for_each(|_| one(&mut s, ANY, 10));
        s.step(&[PolicyEvent::RouterCount(processes)]);
        let mut restarted = entry(1, true, EndpointState::Ready);
        restarted.started = Some(s.now);
        s.list(false, vec![restarted]);
        let from = s.sends.len();
        let gap = 10 * i64::from(processes);
        (0..settings().rules.overload_duration.0 / 1_000 / gap)
            .for_each(|_| one(&mut s, WRITE, gap));
        sent += s.sends[from..]
            .iter()
            .filter(|(_, endpoint)| endpoint.0 == 1)
            .count();
    }
    sent
}

#[test]
fn two_processes_share_the_budget_of_one() {
    let (one, two) = (sent_to_restarted_primary(1), sent_to_restarted_primary(2));
    assert!(
        one > 10 && two <= one + one / 10,
        "{two} by two, {one} by one"
    );
}

/// Routers that have just started meet a primary that has too: 100 writes a second, of the 400 that tenants may ask of
/// four members. What a member can do is taken to be its part of those.
#[rstest::rstest]
#[case(1)]
#[case(3)]
#[case(100)]
fn new_routers_write_to_restarted_primary_within_budget(#[case] routers: u32) {
    let mut cfg = settings();
    cfg.routers = routers;
    cfg.tenants = vec![Tenant { allowance: 300.0 }, Tenant { allowance: 100.0 }];
    let mut sent: Vec<Time> = vec![];
    for seed in 0..routers {
        let mut s = Script::group_seeded(cfg.clone(), 4, 1, seed.into());
        let mut restarted = entry(1, true, EndpointState::Ready);
        restarted.started = Some(s.now);
        s.list(false, vec![restarted]);
        s.run(i64::from(seed) * 10 % 1_000);
        let gap = 10 * i64::from(routers);
        for id in 1..=(3_000 / gap).max(3) as u64 {
            s.request(id, WRITE);
            s.run(gap);
            for id in 1..=id {
                let end = s
                    .at(id)
                    .and_then(|_| s.ended(id, Outcome::Ok, PRIMARY, None));
                s.step(&end.into_iter().collect::<Vec<_>>());
            }
        }
        sent.extend(
            s.all
                .iter()
                .filter(|(_, a)| matches!(a, Action::Send { .. }))
                .map(|(at, _)| *at),
        );
    }
    let rules = settings().rules;
    let first = Time(100_000_000);
    let within = sent
        .iter()
        .filter(|at| **at < first + rules.overload_duration)
        .count();
    // By the end of that time it can do 0.32 of 100 a second.
    let budget = rules.overload_multiple * 0.32 * 100.0 * rules.overload_duration.as_f64() / 1e6;
    assert!(
        within >= 10 && (within as f64) < budget,
        "{within} of {budget}, {} in all",
        sent.len()
    );
}
