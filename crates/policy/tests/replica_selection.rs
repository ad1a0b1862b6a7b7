//! Which endpoint serves a read.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn lagging_replica_gets_no_bounded_reads() {
    let mut script = Script::group(settings(), 3, 1);
    script.advance(20);
    script.report(3, 5000, false);
    script.advance(400);
    script.report(2, 10, false);
    for id in 1..=5 {
        script.request(id, BOUNDED);
        assert_eq!(script.sent_to(id), Some(2));
        script.end(id, Outcome::Ok, REPLICA);
    }
}

#[test]
fn read_without_fresh_replica_checks_then_goes_to_primary() {
    let mut script = Script::group(settings(), 3, 1);
    script.advance(400);
    script.health_checks.clear();
    script.request(1, BOUNDED);
    assert_eq!(script.sent_to(1), None);
    assert!(!script.health_checks.is_empty());
    script.advance(50);
    assert_eq!(script.sent_to(1), Some(1));
}

#[test]
fn misdirected_read_excludes_replica_at_first() {
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::Reject;
    let mut script = Script::group(cfg, 2, 1);
    script.advance(100);
    script.request_with(1, SESSION, 3000, Some(90));
    assert_eq!(script.sent_to(1), Some(2));
    script.end(1, Outcome::Misdirected, REPLICA);
    assert_eq!(script.sent_to(1), Some(1));
    script.request_with(2, SESSION, 3000, Some(80));
    script.advance(20);
    assert_eq!(
        script.sent_to(2),
        Some(1),
        "a replica that has just rejected a read is not tried again at once"
    );
}

#[test]
fn long_queries_share_one_replica_and_bounded_reads_avoid_it() {
    // A replica applies no changes while it executes a long query: spread over all replicas, long
    // queries would make every replica stale.
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::WaitThenReject(ms(20));
    cfg.classes[EVENTUAL.0].latency_objective = ms(4000);
    let mut script = Script::group(cfg.clone(), 5, 1);
    for id in 1..=6 {
        script.request(id, EVENTUAL);
        assert_eq!(
            script.sent_to(id),
            Some(5),
            "the same replica at every router"
        );
    }
    for id in 11..=30 {
        script.request(id, BOUNDED);
        assert!(
            script
                .sent_to(id)
                .is_some_and(|endpoint| (2..=4).contains(&endpoint)),
            "{:?}",
            script.sent_to(id)
        );
        script.end(id, Outcome::Ok, REPLICA);
    }
    script.list(false, vec![record(5, false, EndpointState::Draining)]);
    script.request(7, EVENTUAL);
    assert_eq!(
        script.sent_to(7),
        Some(4),
        "the next replica gets the long queries"
    );
    // A single replica also gets bounded reads.
    let mut script = Script::group(cfg, 2, 1);
    script.request(1, BOUNDED);
    assert_eq!(script.sent_to(1), Some(2));
}

#[test]
fn failing_replica_gets_few_reads() {
    let mut script = Script::group(settings(), 4, 1);
    let mut sent = 0;
    for id in 1..=400 {
        script.request(id, EVENTUAL);
        while script.sent_to(id) == Some(2) {
            sent += 1;
            script.end(id, Outcome::Error, REPLICA);
            // The read is retried once the retry can no longer overtake the end of the first
            // connection.
            script.advance(2 * settings().tick.0 / 1000 + 5);
        }
        script.end(id, Outcome::Ok, REPLICA);
    }
    assert!(
        (5..60).contains(&sent),
        "{sent} reads sent to the failing replica; a third of 400 if failures did not count"
    );
}

#[test]
fn slow_replica_gets_fewer_reads_from_many_routers() {
    let mut cfg = settings();
    cfg.routers = 100;
    let (mut slow, mut all) = (0, 0);
    for seed in 0..100 {
        let mut script = Script::group_seeded(cfg.clone(), 4, 1, seed);
        for id in 1..=12 {
            script.request(id, EVENTUAL);
            let at = script.sent_to(id);
            (slow, all) = (
                slow + usize::from(at == Some(3)),
                all + usize::from(at.is_some()),
            );
            script.advance(if at == Some(3) { 500 } else { 50 });
            let end = at.and_then(|_| script.end_event(id, Outcome::Ok, REPLICA, None));
            script.step(&end.into_iter().collect::<Vec<_>>());
            script.advance(500);
        }
    }
    assert!(
        all > 1_000 && slow * 4 < all && slow > 20,
        "{slow} of {all} reads sent to the slow replica; a third if latency did not count"
    );
}

#[rstest::rstest]
#[case::many_routers(100, 0.9, 1.0)]
#[case::single_busy_router(1, 0.1, 0.5)]
fn few_requests_prefer_an_idle_connection(
    #[case] routers: u32,
    #[case] min: f64,
    #[case] max: f64,
) {
    // Four reads in a row, each long after the previous one was answered but well before an idle
    // connection is closed.
    let mut cfg = settings();
    cfg.routers = routers;
    let (mut same, mut all) = (0, 0);
    for seed in 0..60 {
        let mut script = Script::group_seeded(cfg.clone(), 6, 1, seed);
        // A single router gets enough responses from each endpoint.
        let before = if routers == 1 { 400 } else { 0 };
        let mut last = None;
        for id in 1..=before + 4 {
            script.request(id, EVENTUAL);
            let at = script.sent_to(id);
            if id > before {
                (same, all) = (
                    same + usize::from(last == at),
                    all + usize::from(last.is_some()),
                );
                last = at;
            }
            script.advance(10);
            let end = at.and_then(|_| script.end_event(id, Outcome::Ok, REPLICA, None));
            script.step(&end.into_iter().collect::<Vec<_>>());
            script.advance(if id > before { 2_000 } else { 5 });
        }
    }
    let fraction = same as f64 / all as f64;
    assert!(
        fraction >= min && fraction <= max,
        "{fraction} of {all} reads went to the endpoint of the previous one"
    );
}

#[test]
fn rejecting_replica_is_tried_again_later() {
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::Reject;
    cfg.limits.health_checks = false;
    let mut script = Script::new(cfg);
    script.list(
        true,
        (1..=2)
            .map(|i| record(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    script.request(1, BOUNDED);
    assert_eq!(
        script.sent_to(1),
        Some(2),
        "without a report no lag is assumed"
    );
    script.end(1, Outcome::Misdirected, REPLICA);
    script.advance(50);
    script.end(1, Outcome::Ok, PRIMARY);
    script.request(2, BOUNDED);
    script.advance(50);
    assert_eq!(script.sent_to(2), Some(1));
    script.end(2, Outcome::Ok, PRIMARY);
    script.advance(9000);
    script.request(3, BOUNDED);
    assert_eq!(script.sent_to(3), Some(2));
}
