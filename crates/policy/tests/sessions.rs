//! Read-your-writes consistency.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);

#[test]
fn session_with_write_needs_its_position() {
    let mut script = Script::group(settings(), 2, 1);
    script.advance(1000);
    script.request_with(1, SESSION, 3000, None);
    assert_eq!(script.sent_to(1), Some(2));
    script.request_with(2, SESSION, 3000, Some(100));
    script.advance(50);
    assert_eq!(script.sent_to(2), Some(1));
}

#[test]
fn write_of_disconnected_client_is_remembered() {
    let mut cfg = settings();
    cfg.sessions = SessionTracking::RouterTracked;
    let mut script = Script::group(cfg, 2, 1);
    script.request(1, WRITE);
    let commit = script.now + ms(20);
    script.advance(30);
    let Some(PolicyEvent::AttemptEnded(mut end)) =
        script.end_event(1, Outcome::Ok, PRIMARY, Some(commit))
    else {
        panic!()
    };
    end.request_ended = true;
    script.step(&[
        PolicyEvent::ClientDisconnected(RequestId(1)),
        PolicyEvent::AttemptEnded(end),
    ]);
    script.advance(20);
    script.request(2, SESSION);
    script.advance(50);
    assert_eq!(
        script.sent_to(2),
        Some(1),
        "the replica's known position is before the commit"
    );
}

#[test]
fn full_store_requires_dropped_position() {
    let mut cfg = settings();
    cfg.sessions = SessionTracking::RouterTracked;
    cfg.limits.max_open_requests = 3;
    let mut script = Script::group(cfg, 2, 1);
    for id in 1..=9 {
        script.request(id, WRITE);
        let commit = script.now + ms(1);
        script.advance(5);
        script.end_with_position(id, Outcome::Ok, PRIMARY, Some(commit));
    }
    script.advance(10);
    script.step(&[PolicyEvent::ClientDisconnected(RequestId(99))]);
    script.request(20, SESSION);
    script.advance(50);
    assert_eq!(script.sent_to(20), Some(1));
}
