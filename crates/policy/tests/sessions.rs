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

fn router_tracked() -> Settings {
    let mut settings = settings();
    settings.sessions = SessionTracking::RouterTracked;
    settings
}

/// While another process serves too, a session without a known write may have one.
#[test]
fn other_process_serves_session_read_goes_to_primary() {
    let mut script = Script::group(router_tracked(), 2, 1);
    script.advance(1000);
    script.request(1, SESSION);
    assert_eq!(script.sent_to(1), Some(2), "nothing was written");
    script.step(&[PolicyEvent::PeerProcess(PeerProcess::Serving)]);
    script.request(2, SESSION);
    script.advance(50);
    assert_eq!(script.sent_to(2), Some(1));
}

/// A known write is no reason to use a replica: the other process may have confirmed a later one.
#[test]
fn other_process_serves_known_write_does_not_suffice() {
    let mut script = Script::group(router_tracked(), 2, 1);
    script.request(1, WRITE);
    let commit = script.now + ms(1);
    script.advance(5);
    script.end_with_position(1, Outcome::Ok, PRIMARY, Some(commit));
    script.step(&[PolicyEvent::PeerProcess(PeerProcess::Serving)]);
    script.advance(1000);
    script.request(2, SESSION);
    script.advance(50);
    assert_eq!(script.sent_to(2), Some(1));
}

/// Writes that the other process confirmed were committed before it was gone.
#[test]
fn other_process_is_gone_replica_must_have_passed_that_moment() {
    let mut script = Script::group(router_tracked(), 2, 1);
    script.step(&[PolicyEvent::PeerProcess(PeerProcess::Serving)]);
    script.advance(1000);
    script.step(&[PolicyEvent::PeerProcess(PeerProcess::Gone)]);
    let gone_at = script.now;
    script.request(1, SESSION);
    script.advance(50);
    assert_eq!(
        script.sent_to(1),
        Some(1),
        "the replica's position is older"
    );
    script.end_with_position(1, Outcome::Ok, PRIMARY, None);
    script.advance(20);
    script.request(2, EVENTUAL);
    assert_eq!(script.sent_to(2), Some(2));
    script.end_with_position(2, Outcome::Ok, Some(Role::Replica), Some(gone_at + ms(10)));
    script.request(3, SESSION);
    assert_eq!(script.sent_to(3), Some(2), "the replica has caught up");
}

/// A process that never had another one beside it requires nothing.
#[test]
fn no_other_process_ever_served_any_replica_serves() {
    let mut script = Script::group(router_tracked(), 2, 1);
    script.step(&[PolicyEvent::PeerProcess(PeerProcess::Gone)]);
    script.request(1, SESSION);
    assert_eq!(script.sent_to(1), Some(2));
}

#[test]
fn served_write_without_position_requires_the_time_of_its_answer() {
    let mut script = Script::group(router_tracked(), 2, 1);
    script.advance(1000);
    script.request(1, WRITE);
    script.advance(5);
    script.end_with_position(1, Outcome::Ok, PRIMARY, None);
    script.request(2, SESSION);
    script.advance(50);
    assert_eq!(script.sent_to(2), Some(1));
}

/// A position that a read requires may be a time of this machine, which a correction of the
/// cluster's clock does not make earlier.
#[test]
fn clock_is_corrected_to_older_required_position_stays() {
    let mut script = Script::group(router_tracked(), 2, 1);
    script.advance(1000);
    script.request(1, WRITE);
    script.advance(5);
    script.end_with_position(1, Outcome::Ok, PRIMARY, None);
    script.step(&[PolicyEvent::ClockCorrected(ms(-3_600_000))]);
    script.request(2, SESSION);
    script.advance(50);
    assert_eq!(script.sent_to(2), Some(1));
}
