//! What a correction of the cluster's clock leaves of what was known.

mod support;

use rstest::rstest;
use support::*;
use valehatch_policy::*;

/// A clock that was a little behind makes positions a little older, and nothing has to be asked again at once: a gateway
/// that forgot them would open a connection to each endpoint at the same moment.
#[test]
fn correction_to_older_keeps_positions() {
    let mut s = Script::group(settings(), 3, 1);
    s.step(&[PolicyEvent::ClockCorrected(ms(-30))]);
    let before = s.probes.len();
    for id in 1..=20 {
        s.request(id, BOUNDED);
        assert!(
            matches!(s.at(id), Some(2 | 3)),
            "a replica that is fresh enough serves"
        );
        s.end(id, Outcome::Ok, Some(Role::Replica));
    }
    assert_eq!(s.probes.len(), before, "nothing is asked");
}

/// Positions that the correction makes newer may have been told after it: they count for nothing.
#[rstest]
fn correction_to_newer_drops_positions(#[values(30, 3_600_000)] by_ms: i64) {
    let mut s = Script::group(settings(), 3, 1);
    s.run(1_000);
    s.step(&[PolicyEvent::ClockCorrected(ms(by_ms))]);
    s.request(1, BOUNDED);
    assert_ne!(s.at(1), Some(2));
    assert_ne!(s.at(1), Some(3));
}

/// A primary whose probes come to nothing at once, as where no connection is left, is not asked without a pause: each such
/// end begins another turn.
#[test]
fn failing_clock_checks_are_paced() {
    let mut s = Script::new(settings());
    s.list(
        true,
        (1..=3)
            .map(|i| entry(i, i == 1, EndpointState::Ready))
            .collect(),
    );
    // The primary has as much as it may, so that the read waits.
    (1..=20).for_each(|id| s.request(id, WRITE));
    s.request(100, BOUNDED);
    for _ in 0..100 {
        // In the same moment: the router is stepped once more for each end.
        for endpoint in std::mem::take(&mut s.probes) {
            s.probed(endpoint.0, Outcome::LocalFailure, None);
        }
    }
    let asked = s
        .all
        .iter()
        .filter(
            |(_, a)| matches!(a, Action::HealthCheck { endpoint } if *endpoint == EndpointId(1)),
        )
        .count();
    assert!(asked <= 2, "{asked} times in one moment");
}
