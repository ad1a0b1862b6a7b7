//! Which endpoints are ejected, and how they are readmitted.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn unresponsive_primary_gets_nothing_and_its_writes_fail() {
    let mut s = Script::group(settings(), 3, 1);
    s.request(1, WRITE);
    s.run(900);
    s.request(2, WRITE);
    assert!(s.at(2) != Some(1), "silence is evidence");
    s.report(2, 0, true);
    let write_two = s.at(2);
    assert!(write_two == Some(2) || write_two == Some(3));
    s.run(2200);
    assert!(s.failed(1));
    assert_eq!(s.sends.iter().filter(|(r, _)| r.0 == 1).count(), 1);
}

#[test]
fn long_query_endpoint_stays_in_use() {
    let mut cfg = settings();
    cfg.classes[ANY.0].latency_objective = ms(4000);
    cfg.classes[ANY.0].deadline = ms(6000);
    let mut s = Script::group(cfg, 2, 1);
    for id in 1..=30 {
        s.request(id, WRITE);
        s.run(20);
        s.end(id, Outcome::Ok, PRIMARY);
    }
    s.request(100, ANY);
    s.run(900);
    assert!(s.cancels.is_empty(), "its class takes that long");
    s.request(101, ANY);
    assert_eq!(s.at(101), Some(2));
}

#[test]
fn unreachable_endpoint_is_checked_with_backoff_until_restart() {
    let mut s = Script::group(settings(), 3, 1);
    for id in 1..=30 {
        s.request(id, ANY);
        if s.at(id) == Some(3) {
            s.end(id, Outcome::ConnectFailed, None);
        }
        let end = s.ended(id, Outcome::Ok, None, None);
        s.step(&end.into_iter().collect::<Vec<_>>());
    }
    (0..3).for_each(|_| s.probed(3, Outcome::ConnectFailed, None));
    s.probes.clear();
    for id in 1_000..1_400 {
        let asked = s.probes.len();
        s.request(id, WRITE);
        s.end(id, Outcome::Ok, PRIMARY);
        if s.probes[asked..].contains(&EndpointId(3)) {
            s.probed(3, Outcome::ConnectFailed, None);
        }
        s.run(100);
    }
    let asked = s.probes.iter().filter(|n| **n == EndpointId(3)).count();
    assert!(
        (5..20).contains(&asked),
        "{asked} times in 40 s; 80 without the rule"
    );
    let mut anew = entry(3, false, EndpointState::Ready);
    anew.started = Some(s.now - ms(10_000));
    s.list(false, vec![anew]);
    (2_000..2_040).for_each(|id| s.request(id, ANY));
    assert!((2_000..2_040).any(|id| s.at(id) == Some(3)));
}

#[test]
fn failed_checks_alone_eject_nothing() {
    let mut s = Script::group(settings(), 3, 1);
    for outcome in [
        Outcome::Timeout,
        Outcome::Error,
        Outcome::ConnectFailed,
        Outcome::Timeout,
    ] {
        s.probed(1, outcome, None);
        s.probed(2, outcome, None);
    }
    s.request(1, WRITE);
    assert_eq!(s.at(1), Some(1));
    (2..40).for_each(|id| s.request(id, ANY));
    assert!((2..40).any(|id| s.at(id) == Some(2)));
}

#[test]
fn one_failed_connection_keeps_the_primary() {
    let mut s = Script::group(settings(), 3, 1);
    s.request(1, WRITE);
    s.end(1, Outcome::ConnectFailed, None);
    assert_eq!(
        s.probes.last(),
        Some(&EndpointId(1)),
        "a probe tells a death from too few connections"
    );
    s.report(1, 0, true);
    s.run(400);
    assert_eq!(
        s.sends.iter().map(|(_, n)| n.0).collect::<Vec<_>>(),
        [1, 1],
        "the same primary, no search"
    );
}

#[test]
fn failed_connections_and_checks_start_a_search() {
    let mut s = Script::group(settings(), 3, 1);
    for _ in 0..2 {
        s.request(1, WRITE);
        s.end(1, Outcome::ConnectFailed, None);
        s.probed(1, Outcome::ConnectFailed, None);
        s.run(400);
    }
    assert_eq!(s.at(1), Some(2));
}

#[test]
fn single_reset_keeps_endpoint_in_use() {
    // Shut for a reset and a failed probe, nodes came back as cold and got next to nothing for 17 s.
    let mut s = Script::group(settings(), 2, 1);
    for id in 1..=40 {
        s.request(id, ANY);
        s.end(id, Outcome::Reset, None);
        s.end(id, Outcome::Ok, PRIMARY);
        s.probed(2, Outcome::Reset, None);
        s.probed(2, Outcome::ConnectFailed, None);
        s.request(100 + id, ANY);
        assert_eq!(s.at(100 + id), Some(2), "request {id}");
        s.end(100 + id, Outcome::Ok, REPLICA);
    }
}
