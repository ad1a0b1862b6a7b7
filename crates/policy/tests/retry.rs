//! Whether a request is attempted again, and attempts whose response streams.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn attempts_exhausted_write_is_rejected_with_retry_after() {
    let mut cfg = settings();
    cfg.limits.max_attempts = 2;
    cfg.limits.health_checks = false;
    let mut s = Script::new(cfg);
    s.list(
        true,
        (1..=4)
            .map(|i| entry(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    s.request(1, WRITE);
    s.end(1, Outcome::Rejected, PRIMARY);
    s.run(1000);
    s.end(1, Outcome::Rejected, PRIMARY);
    assert!(matches!(
        s.answers.get(&RequestId(1)),
        Some(Action::Reject {
            retry_after: Some(_),
            ..
        })
    ));
}

#[test]
fn unresponsive_primary_keyed_write_is_cancelled_and_retried() {
    let mut s = Script::group(settings(), 3, 1);
    s.request(1, KEYED);
    s.run(900);
    assert_eq!(s.cancels, [(RequestId(1), 0)]);
    s.report(2, 0, true);
    s.end(1, Outcome::Cancelled, None);
    assert_eq!(
        s.at(1),
        Some(1),
        "the end of its connection is on its way: nothing may overtake it"
    );
    s.run(2 * settings().tick.0 / 1000 + 5);
    assert_eq!(s.at(1), Some(2));
}

#[test]
fn window_over_keyed_write_fails() {
    let mut s = Script::group(settings(), 3, 1);
    s.request(1, KEYED);
    s.run(2100);
    s.end(1, Outcome::Cancelled, None);
    assert!(s.failed(1));
}

#[test]
fn non_idempotent_write_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Cancelled] {
        let mut s = Script::group(settings(), 3, 1);
        s.request(1, WRITE);
        s.end(1, outcome, None);
        assert!(s.failed(1), "{outcome:?}");
    }
}

#[test]
fn streaming_response_takes_no_capacity_and_is_not_cancelled() {
    let mut s = Script::group(settings(), 2, 1);
    for id in 1..=60 {
        s.request_with(id, ANY, 60_000, None);
        assert_eq!(s.at(id), Some(2), "none of them is out");
        s.step(&[PolicyEvent::ResponseStarted(RequestId(id))]);
    }
    s.run(20_000);
    assert!(s.cancels.is_empty() && s.answers.is_empty());
    s.request(100, ANY);
    assert_eq!(s.at(100), Some(2));
    s.end(100, Outcome::Ok, REPLICA);
    // One breaks off: nothing is sent again, and nothing is left of it.
    s.abort(1);
    s.end(2, Outcome::Reset, None);
    assert_eq!(s.sends.len(), 61);
    assert!(s.cancels.is_empty());
}
