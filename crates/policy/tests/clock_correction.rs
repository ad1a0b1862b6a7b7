//! What a correction of the cluster's clock changes.

mod support;

use rstest::rstest;
use support::*;
use valehatch_policy::*;

/// After a small correction positions are a little older and stay known: a gateway that forgot them
/// would open a connection to each endpoint at the same moment, for health checks.
#[test]
fn correction_to_older_keeps_positions() {
    let mut script = Script::group(settings(), 3, 1);
    script.step(&[PolicyEvent::ClockCorrected(ms(-30))]);
    let before = script.health_checks.len();
    for id in 1..=20 {
        script.request(id, BOUNDED);
        assert!(
            matches!(script.sent_to(id), Some(2 | 3)),
            "a replica that is fresh enough serves"
        );
        script.end(id, Outcome::Ok, Some(Role::Replica));
    }
    assert_eq!(
        script.health_checks.len(),
        before,
        "no health check is sent"
    );
}

/// Positions that the correction would make newer may have been reported after it: they are
/// forgotten.
#[rstest]
fn correction_to_newer_drops_positions(#[values(30, 3_600_000)] by_ms: i64) {
    let mut script = Script::group(settings(), 3, 1);
    script.advance(1_000);
    script.step(&[PolicyEvent::ClockCorrected(ms(by_ms))]);
    script.request(1, BOUNDED);
    assert_ne!(script.sent_to(1), Some(2));
    assert_ne!(script.sent_to(1), Some(3));
}

/// Health checks of a primary that fail at once, as when no connection can be opened, do not follow
/// each other without a pause, although each end begins another step.
#[test]
fn failing_clock_checks_are_paced() {
    let mut script = Script::new(settings());
    script.list(
        true,
        (1..=3)
            .map(|i| record(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    // The primary is at its concurrency limit, so that the read waits.
    (1..=20).for_each(|id| script.request(id, WRITE));
    script.request(100, BOUNDED);
    for _ in 0..100 {
        // In the same moment: the router is stepped once more for each end.
        for endpoint in std::mem::take(&mut script.health_checks) {
            script.health_check_ended(endpoint.0, Outcome::LocalFailure, None);
        }
    }
    let asked = script
        .all
        .iter()
        .filter(
            |(_, a)| matches!(a, Action::HealthCheck { endpoint } if *endpoint == EndpointId(1)),
        )
        .count();
    assert!(asked <= 2, "{asked} times in one moment");
}
