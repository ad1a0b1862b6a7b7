//! Read-your-writes.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);

#[test]
fn session_with_write_needs_its_position() {
    let mut s = Script::group(settings(), 2, 1);
    s.run(1000);
    s.request_with(1, SESSION, 3000, None);
    assert_eq!(s.at(1), Some(2));
    s.request_with(2, SESSION, 3000, Some(100));
    s.run(50);
    assert_eq!(s.at(2), Some(1));
}

#[test]
fn write_of_disconnected_client_is_remembered() {
    let mut cfg = settings();
    cfg.sessions = SessionTracking::RouterTracked;
    let mut s = Script::group(cfg, 2, 1);
    s.request(1, WRITE);
    let commit = s.now + ms(20);
    s.run(30);
    let Some(PolicyEvent::AttemptEnded(mut end)) = s.ended(1, Outcome::Ok, PRIMARY, Some(commit))
    else {
        panic!()
    };
    end.closed = true;
    s.step(&[
        PolicyEvent::ClientDisconnected(RequestId(1)),
        PolicyEvent::AttemptEnded(end),
    ]);
    s.run(20);
    s.request(2, SESSION);
    s.run(50);
    assert_eq!(
        s.at(2),
        Some(1),
        "the replica's known position is before the commit"
    );
}

#[test]
fn full_store_requires_dropped_position() {
    let mut cfg = settings();
    cfg.sessions = SessionTracking::RouterTracked;
    cfg.limits.max_open_requests = 3;
    let mut s = Script::group(cfg, 2, 1);
    for id in 1..=9 {
        s.request(id, WRITE);
        let commit = s.now + ms(1);
        s.run(5);
        s.end_at(id, Outcome::Ok, PRIMARY, Some(commit));
    }
    s.run(10);
    s.step(&[PolicyEvent::ClientDisconnected(RequestId(99))]);
    s.request(20, SESSION);
    s.run(50);
    assert_eq!(s.at(20), Some(1));
}
