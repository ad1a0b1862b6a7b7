//! The slow-start budget, summed over all routers.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn restarted_endpoint_gets_little_then_more() {
    let mut script = Script::group(settings(), 3, 1);
    let mut id = 0;
    let mut load = |script: &mut Script, n: u64| {
        let before = script.sends.len();
        for _ in 0..n {
            id += 1;
            script.request(id, EVENTUAL);
            script.advance(10);
            if script.sent_to(id).is_some() {
                script.end(id, Outcome::Ok, REPLICA);
            }
        }
        script.sends[before..]
            .iter()
            .filter(|(_, n)| n.0 == 3)
            .count()
    };
    let warm = load(&mut script, 400);
    let mut restarted = record(3, false, EndpointState::Ready);
    restarted.started = Some(script.now);
    script.list(false, vec![restarted]);
    let early = load(&mut script, 150);
    let later = load(&mut script, 700);
    assert!(
        warm > 100 && early * 5 < warm && later > early,
        "{warm} requests before the restart, {early} just after it, {later} later"
    );
}

#[test]
fn readmitted_unreachable_endpoint_is_in_slow_start() {
    let mut script = Script::group(settings(), 3, 1);
    for id in 1..=100 {
        script.request(id, EVENTUAL);
        script.advance(10);
        script.end(id, Outcome::Ok, REPLICA);
    }
    for id in 500..520 {
        script.request(id, EVENTUAL);
        script.end(
            id,
            if script.sent_to(id) == Some(3) {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
            None,
        );
        script.health_check_ended(3, Outcome::ConnectFailed, None);
    }
    script.report(3, 10, false);
    let before = script.sends.len();
    for id in 101..=200 {
        script.request(id, EVENTUAL);
        script.advance(10);
        script.end(id, Outcome::Ok, REPLICA);
    }
    let back = script.sends[before..]
        .iter()
        .filter(|(_, n)| n.0 == 3)
        .count();
    assert!(
        back < 30,
        "{back} of 100 to an endpoint that was just readmitted"
    );
}

/// Number of attempts that many routers send to one endpoint in the 1.5 s before and after it
/// restarts. Each router gets about one request of the class per second.
fn sent_by_many(class: ClassId, endpoint: u32, endpoints: u32, removed: &[u32]) -> (usize, usize) {
    let (mut before, mut after) = (0, 0);
    for seed in 0..150 {
        let mut cfg = settings();
        cfg.routers = 150;
        let mut script = Script::group_seeded(cfg, endpoints, 1, seed);
        script.advance(i64::try_from(seed).unwrap() * 6);
        let mut id = 0;
        let mut run_second = |script: &mut Script| {
            id += 1;
            script.request(id, class);
            script.advance(100);
            if script.sent_to(id).is_some() && !script.answers.contains_key(&RequestId(id)) {
                script.end(
                    id,
                    Outcome::Ok,
                    Some(if script.sent_to(id) == Some(1) {
                        Role::Primary
                    } else {
                        Role::Replica
                    }),
                );
            }
            script.advance(900);
        };
        (0..12).for_each(|_| run_second(&mut script));
        let count = |script: &Script, from: usize| {
            script.sends[from..]
                .iter()
                .filter(|(_, n)| n.0 == endpoint)
                .count()
        };
        let from = script.sends.len();
        (0..2).for_each(|_| run_second(&mut script));
        before += count(&script, from);
        let mut restarted = record(endpoint, endpoint == 1, EndpointState::Ready);
        restarted.started = Some(script.now);
        let removed = removed
            .iter()
            .map(|n| record(*n, false, EndpointState::Removed));
        script.list(false, removed.chain([restarted]).collect());
        let from = script.sends.len();
        (0..2).for_each(|_| run_second(&mut script));
        after += count(&script, from);
    }
    (before, after)
}

#[test]
fn many_routers_restarted_replica_stays_within_budget() {
    let (before, after) = sent_by_many(EVENTUAL, 3, 3, &[]);
    let limit = before as f64
        * settings().rules.slow_start_initial_capacity
        * settings().rules.overload_multiple;
    assert!(
        before > 100 && (after as f64) < limit,
        "{before} attempts before the restart, {after} after it"
    );
}

#[test]
fn many_routers_shrunk_group_stays_within_budget() {
    let (before, after) = sent_by_many(EVENTUAL, 6, 6, &[2, 3, 4, 5]);
    let limit = before as f64
        * settings().rules.slow_start_initial_capacity
        * settings().rules.overload_multiple;
    assert!(
        before > 40 && (after as f64) < limit,
        "{before} attempts before the restart, {after} after it"
    );
}

#[test]
fn many_routers_restarted_primary_stays_within_budget() {
    let (before, after) = sent_by_many(WRITE, 1, 3, &[]);
    let limit = before as f64
        * settings().rules.slow_start_initial_capacity
        * settings().rules.overload_multiple;
    assert!(
        before > 200 && after > 0 && (after as f64) < limit,
        "{before} attempts before the restart, {after} after it"
    );
}

/// Number of writes that are sent to a primary within the overload duration after its restart, by
/// processes that share a gateway's 100 requests per second. The first process has served its share
/// for a while.
fn sent_to_restarted_primary(processes: u32) -> usize {
    let mut cfg = settings();
    (cfg.routers, cfg.tenants) = (1, vec![Tenant { allowance: 100.0 }]);
    let mut sent = 0;
    for n in 0..processes {
        let mut script = Script::group_seeded(cfg.clone(), 4, 1, n.into());
        let mut id = 0;
        let mut send_one = |script: &mut Script, class, gap| {
            id += 1;
            script.request(id, class);
            script.advance(gap);
            for id in 1.max(id.saturating_sub(50))..=id {
                let role = Some(if script.sent_to(id) == Some(1) {
                    Role::Primary
                } else {
                    Role::Replica
                });
                let end = script
                    .sent_to(id)
                    .and_then(|_| script.end_event(id, Outcome::Ok, role, None));
                script.step(&end.into_iter().collect::<Vec<_>>());
            }
        };
        (0..if n == 0 { 1_500 } else { 0 }).for_each(|_| send_one(&mut script, EVENTUAL, 10));
        script.step(&[PolicyEvent::RouterCount(processes)]);
        let mut restarted = record(1, true, EndpointState::Ready);
        restarted.started = Some(script.now);
        script.list(false, vec![restarted]);
        let from = script.sends.len();
        let gap = 10 * i64::from(processes);
        (0..settings().rules.overload_duration.0 / 1_000 / gap)
            .for_each(|_| send_one(&mut script, WRITE, gap));
        sent += script.sends[from..]
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
        "{two} writes from two processes, {one} from one"
    );
}

/// Routers and a primary that have just started: tenants send 100 writes per second, of the 400
/// requests per second that they may send to four endpoints. An endpoint's capacity is assumed to
/// be its share of those.
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
        let mut script = Script::group_seeded(cfg.clone(), 4, 1, seed.into());
        let mut restarted = record(1, true, EndpointState::Ready);
        restarted.started = Some(script.now);
        script.list(false, vec![restarted]);
        script.advance(i64::from(seed) * 10 % 1_000);
        let gap = 10 * i64::from(routers);
        for id in 1..=(3_000 / gap).max(3) as u64 {
            script.request(id, WRITE);
            script.advance(gap);
            for id in 1..=id {
                let end = script
                    .sent_to(id)
                    .and_then(|_| script.end_event(id, Outcome::Ok, PRIMARY, None));
                script.step(&end.into_iter().collect::<Vec<_>>());
            }
        }
        sent.extend(
            script
                .actions
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
    // By the end of that time, the endpoint's capacity is 0.32 of 100 requests per second.
    let budget = rules.overload_multiple * 0.32 * 100.0 * rules.overload_duration.as_f64() / 1e6;
    assert!(
        within >= 10 && (within as f64) < budget,
        "{within} writes in time, budget {budget}, {} in all",
        sent.len()
    );
}
