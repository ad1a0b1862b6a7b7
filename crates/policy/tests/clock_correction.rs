//! Effects of a correction of the cluster's clock.

mod support;

use rstest::rstest;
use support::*;
use valehatch_policy::*;

/// After a small correction, positions are slightly older and stay known. A gateway that dropped
/// them would open a connection to every endpoint at the same moment, for health checks.
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

/// Positions that the correction would make newer may have been reported after it, so they are
/// dropped.
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
/// each other without a pause, although the end of each check triggers another step.
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
        // All in the same moment: the router is stepped again for each check that ends.
        for endpoint in std::mem::take(&mut script.health_checks) {
            script.health_check_ended(endpoint.0, Outcome::LocalFailure, None);
        }
    }
    let checks = script
        .actions
        .iter()
        .filter(
            |(_, a)| matches!(a, Action::HealthCheck { endpoint } if *endpoint == EndpointId(1)),
        )
        .count();
    assert!(checks <= 2, "{checks} health checks in one moment");
}
