//! The order of waiting requests, and when they are given up.

mod support;

use support::*;
use valehatch_policy::*;

const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn full_endpoint_higher_priority_goes_first() {
    let mut cfg = settings();
    cfg.classes[ANY.0].priority_weight = 5.0;
    let mut s = Script::group(cfg, 2, 1);
    for id in 1..=60 {
        s.request_with(id, SESSION, 3000, None);
    }
    s.request(100, ANY);
    assert_eq!(s.at(100), None, "no room");
    s.end(1, Outcome::Ok, REPLICA);
    assert_eq!(s.at(100), Some(2));
}

#[test]
fn objective_passed_read_is_rejected() {
    let mut s = Script::new(settings());
    s.list(true, vec![]);
    s.request(1, BOUNDED);
    s.run(600);
    assert!(s.refused(1), "its aim has passed, its deadline has not");
}

#[test]
fn unknown_groups_are_forgotten() {
    let mut s = Script::group(settings(), 2, 1);
    for group in 100_u16..400 {
        s.request_to(group.into(), GroupId(group), WRITE, 3000, None);
    }
    s.run(4000);
    assert!(s.unfinished().is_empty());
    s.step(&[]);
    assert!(!s.shows("GroupId(250)") && s.shows("GroupId(0)"));
}

#[test]
fn unsent_write_is_rejected_at_half_its_time() {
    // Held to its end, it would cost its client the time in which to come back.
    let mut cfg = settings();
    cfg.limits.health_checks = false;
    let mut s = Script::new(cfg);
    s.list(
        true,
        (1..=2)
            .map(|i| entry(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    s.request(1, WRITE);
    s.end(1, Outcome::Misdirected, REPLICA);
    s.end(1, Outcome::Misdirected, REPLICA);
    s.request_with(2, KEYED, 2000, None);
    s.run(900);
    assert!(!s.refused(2), "held while there is hope");
    // The first leads the next round of the search: what it was told is kept, so it goes on.
    s.run(150);
    assert!(s.refused(2) && !s.refused(1));
}
