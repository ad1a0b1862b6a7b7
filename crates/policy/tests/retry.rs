//! Whether a request is retried, and attempts whose response is streamed.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn write_without_attempts_left_is_rejected_with_retry_after() {
    let mut cfg = settings();
    cfg.limits.max_attempts = 2;
    cfg.limits.health_checks = false;
    let mut script = Script::new(cfg);
    script.list(
        true,
        (1..=4)
            .map(|i| record(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    script.request(1, WRITE);
    script.end(1, Outcome::Rejected, PRIMARY);
    script.advance(1000);
    script.end(1, Outcome::Rejected, PRIMARY);
    assert!(matches!(
        script.answers.get(&RequestId(1)),
        Some(Action::Reject {
            retry_after: Some(_),
            ..
        })
    ));
}

#[test]
fn keyed_write_at_unresponsive_primary_is_cancelled_and_retried() {
    let mut script = Script::group(settings(), 3, 1);
    script.request(1, KEYED);
    script.advance(900);
    assert_eq!(script.cancels, [(RequestId(1), 0)]);
    script.report(2, 0, true);
    script.end(1, Outcome::Cancelled, None);
    assert_eq!(
        script.sent_to(1),
        Some(1),
        "not retried yet: the retry must not overtake the end of the first connection"
    );
    script.advance(2 * settings().tick.0 / 1000 + 5);
    assert_eq!(script.sent_to(1), Some(2));
}

#[test]
fn keyed_write_after_its_window_fails() {
    let mut script = Script::group(settings(), 3, 1);
    script.request(1, KEYED);
    script.advance(2100);
    script.end(1, Outcome::Cancelled, None);
    assert!(script.failed(1));
}

#[test]
fn non_idempotent_write_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Cancelled] {
        let mut script = Script::group(settings(), 3, 1);
        script.request(1, WRITE);
        script.end(1, outcome, None);
        assert!(script.failed(1), "{outcome:?}");
    }
}

#[test]
fn streaming_response_takes_no_capacity_and_is_not_cancelled() {
    let mut script = Script::group(settings(), 2, 1);
    for id in 1..=60 {
        script.request_with(id, EVENTUAL, 60_000, None);
        assert_eq!(
            script.sent_to(id),
            Some(2),
            "streaming responses take no capacity"
        );
        script.step(&[PolicyEvent::ResponseStarted(RequestId(id))]);
    }
    script.advance(20_000);
    assert!(script.cancels.is_empty() && script.answers.is_empty());
    script.request(100, EVENTUAL);
    assert_eq!(script.sent_to(100), Some(2));
    script.end(100, Outcome::Ok, REPLICA);
    // One client disconnects and one response breaks off: nothing is sent again.
    script.disconnect(1);
    script.end(2, Outcome::Reset, None);
    assert_eq!(script.sends.len(), 61);
    assert!(script.cancels.is_empty());
}

/// An endpoint is removed from the list while it streams the response of a write that must not run
/// twice, and then the connection breaks. If the endpoint's state were dropped at its removal, so
/// would be the time at which the attempt was sent; the write would count as one that never ran,
/// and would be sent again.
#[test]
fn broken_stream_of_removed_endpoint_is_not_retried() {
    let mut script = Script::group(settings(), 3, 1);
    script.request(1, WRITE);
    script.step(&[PolicyEvent::ResponseStarted(RequestId(1))]);
    script.list(
        false,
        vec![
            record(1, false, EndpointState::Removed),
            record(2, true, EndpointState::Ready),
        ],
    );
    script.end(1, Outcome::Reset, None);
    assert!(
        script.failed(1),
        "the write may have run, so it fails and is not retried"
    );
}
