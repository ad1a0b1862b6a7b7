//! Which endpoint serves a read.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn lagging_replica_gets_no_bounded_reads() {
    let mut s = Script::group(settings(), 3, 1);
    s.run(20);
    s.report(3, 5000, false);
    s.run(400);
    s.report(2, 10, false);
    for id in 1..=5 {
        s.request(id, BOUNDED);
        assert_eq!(s.at(id), Some(2));
        s.end(id, Outcome::Ok, REPLICA);
    }
}

#[test]
fn no_fresh_replica_read_checks_then_goes_to_primary() {
    let mut s = Script::group(settings(), 3, 1);
    s.run(400);
    s.probes.clear();
    s.request(1, BOUNDED);
    assert_eq!(s.at(1), None);
    assert!(!s.probes.is_empty());
    s.run(50);
    assert_eq!(s.at(1), Some(1));
}

#[test]
fn misdirected_read_excludes_replica_at_first() {
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::Reject;
    let mut s = Script::group(cfg, 2, 1);
    s.run(100);
    s.request_with(1, SESSION, 3000, Some(90));
    assert_eq!(s.at(1), Some(2));
    s.end(1, Outcome::Misdirected, REPLICA);
    assert_eq!(s.at(1), Some(1));
    s.request_with(2, SESSION, 3000, Some(80));
    s.run(20);
    assert_eq!(
        s.at(2),
        Some(1),
        "what was turned away just now is not asked again at once"
    );
}

#[test]
fn long_queries_share_one_replica_and_bounded_reads_avoid_it() {
    // A replica that holds one applies nothing: spread over all of them, they made every replica stale.
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::WaitThenReject(ms(20));
    cfg.classes[ANY.0].latency_objective = ms(4000);
    let mut s = Script::group(cfg.clone(), 5, 1);
    for id in 1..=6 {
        s.request(id, ANY);
        assert_eq!(s.at(id), Some(5), "the same replica at every router");
    }
    for id in 11..=30 {
        s.request(id, BOUNDED);
        assert!(
            s.at(id).is_some_and(|endpoint| (2..=4).contains(&endpoint)),
            "{:?}",
            s.at(id)
        );
        s.end(id, Outcome::Ok, REPLICA);
    }
    s.list(false, vec![entry(5, false, EndpointState::Draining)]);
    s.request(7, ANY);
    assert_eq!(s.at(7), Some(4), "the next one bears them");
    // Where there is one replica only, nothing is kept off the primary.
    let mut s = Script::group(cfg, 2, 1);
    s.request(1, BOUNDED);
    assert_eq!(s.at(1), Some(2));
}

#[test]
fn failing_replica_gets_few_reads() {
    let mut s = Script::group(settings(), 4, 1);
    let mut sent = 0;
    for id in 1..=400 {
        s.request(id, ANY);
        while s.at(id) == Some(2) {
            sent += 1;
            s.end(id, Outcome::Error, REPLICA);
            // It goes out again once its connection's end cannot be overtaken any more.
            s.run(2 * settings().tick.0 / 1000 + 5);
        }
        s.end(id, Outcome::Ok, REPLICA);
    }
    assert!(
        (5..60).contains(&sent),
        "a third of them without the rule: {sent}"
    );
}

#[test]
fn many_routers_slow_replica_gets_fewer_reads() {
    let mut cfg = settings();
    cfg.routers = 100;
    let (mut slow, mut all) = (0, 0);
    for seed in 0..100 {
        let mut s = Script::group_seeded(cfg.clone(), 4, 1, seed);
        for id in 1..=12 {
            s.request(id, ANY);
            let at = s.at(id);
            (slow, all) = (
                slow + usize::from(at == Some(3)),
                all + usize::from(at.is_some()),
            );
            s.run(if at == Some(3) { 500 } else { 50 });
            let end = at.and_then(|_| s.ended(id, Outcome::Ok, REPLICA, None));
            s.step(&end.into_iter().collect::<Vec<_>>());
            s.run(500);
        }
    }
    assert!(
        all > 1_000 && slow * 4 < all && slow > 20,
        "{slow} of {all}; a third without the rule"
    );
}

#[rstest::rstest]
#[case::of_many_routers(100, 0.9, 1.0)]
#[case::alone_and_busy(1, 0.1, 0.5)]
fn few_requests_prefer_an_idle_connection(
    #[case] routers: u32,
    #[case] least: f64,
    #[case] most: f64,
) {
    // Four reads in a row, each long after the one before it was answered but well before a connection is closed as idle.
    let mut cfg = settings();
    cfg.routers = routers;
    let (mut same, mut all) = (0, 0);
    for seed in 0..60 {
        let mut s = Script::group_seeded(cfg.clone(), 6, 1, seed);
        // One alone that meets its members often: what it was answered tells enough of each.
        let before = if routers == 1 { 400 } else { 0 };
        let mut last = None;
        for id in 1..=before + 4 {
            s.request(id, ANY);
            let at = s.at(id);
            if id > before {
                (same, all) = (
                    same + usize::from(last == at),
                    all + usize::from(last.is_some()),
                );
                last = at;
            }
            s.run(10);
            let end = at.and_then(|_| s.ended(id, Outcome::Ok, REPLICA, None));
            s.step(&end.into_iter().collect::<Vec<_>>());
            s.run(if id > before { 2_000 } else { 5 });
        }
    }
    let part = same as f64 / all as f64;
    assert!(
        part >= least && part <= most,
        "{part} of {all} went where the one before did"
    );
}

#[test]
fn rejecting_replica_is_tried_again_later() {
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::Reject;
    cfg.limits.health_checks = false;
    let mut s = Script::new(cfg);
    s.list(
        true,
        (1..=2)
            .map(|i| entry(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    s.request(1, BOUNDED);
    assert_eq!(s.at(1), Some(2), "a lag not told is none");
    s.end(1, Outcome::Misdirected, REPLICA);
    s.run(50);
    s.end(1, Outcome::Ok, PRIMARY);
    s.request(2, BOUNDED);
    s.run(50);
    assert_eq!(s.at(2), Some(1));
    s.end(2, Outcome::Ok, PRIMARY);
    s.run(9000);
    s.request(3, BOUNDED);
    assert_eq!(s.at(3), Some(2));
}
