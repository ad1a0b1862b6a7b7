//! The order of waiting requests, and when they are given up.

mod support;

use support::*;
use valehatch_policy::*;

const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn full_endpoint_gets_higher_priority_first() {
    let mut cfg = settings();
    cfg.classes[EVENTUAL.0].priority_weight = 5.0;
    let mut script = Script::group(cfg, 2, 1);
    for id in 1..=60 {
        script.request_with(id, SESSION, 3000, None);
    }
    script.request(100, EVENTUAL);
    assert_eq!(script.sent_to(100), None, "no capacity");
    script.end(1, Outcome::Ok, REPLICA);
    assert_eq!(script.sent_to(100), Some(2));
}

#[test]
fn read_past_its_objective_is_rejected() {
    let mut script = Script::new(settings());
    script.list(true, vec![]);
    script.request(1, BOUNDED);
    script.advance(600);
    assert!(
        script.rejected(1),
        "the latency objective of the read has passed, its deadline has not"
    );
}

#[test]
fn unknown_groups_are_dropped() {
    let mut script = Script::group(settings(), 2, 1);
    for group in 100_u16..400 {
        script.request_to(group.into(), GroupId(group), WRITE, 3000, None);
    }
    script.advance(4000);
    assert!(script.unfinished().is_empty());
    script.step(&[]);
    assert!(!script.debug_contains("GroupId(250)") && script.debug_contains("GroupId(0)"));
}

#[test]
fn unsent_write_is_rejected_at_half_its_time() {
    // If the write waited until its deadline, its client would have no time left for a retry.
    let mut cfg = settings();
    cfg.limits.health_checks = false;
    let mut script = Script::new(cfg);
    script.list(
        true,
        (1..=2)
            .map(|i| record(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    script.request(1, WRITE);
    script.end(1, Outcome::Misdirected, REPLICA);
    script.end(1, Outcome::Misdirected, REPLICA);
    script.request_with(2, KEYED, 2000, None);
    script.advance(900);
    assert!(
        !script.rejected(2),
        "the write waits while a primary may be found"
    );
    // The first write leads the next round of the search, so it keeps waiting.
    script.advance(150);
    assert!(script.rejected(2) && !script.rejected(1));
}
