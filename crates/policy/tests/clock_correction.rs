//! What a correction of the cluster's clock leaves of what was known.

mod script;

use rstest::rstest;
use script::*;
use valehatch_policy::*;

/// A clock that was a little behind makes positions a little older, and nothing has to be asked again at once: a gateway
/// that forgot them would open a connection to each endpoint at the same moment.
#[test]
fn positions_outlive_a_correction_that_makes_them_older() {
    let mut s = Script::group(settings(), 3, 1);
    s.step(&[Event::ClockCorrected(ms(-30))]);
    let before = s.probes.len();
    for id in 1..=20 {
        s.request(id, BOUNDED);
        assert!(matches!(s.at(id), Some(2 | 3)), "a replica that is fresh enough serves");
        s.end(id, Outcome::Ok, Some(Role::Replica));
    }
    assert_eq!(s.probes.len(), before, "nothing is asked");
}

/// Positions that the correction makes newer may have been told after it: they count for nothing.
#[rstest]
fn positions_do_not_get_newer_by_a_correction(#[values(30, 3_600_000)] by_ms: i64) {
    let mut s = Script::group(settings(), 3, 1);
    s.run(1_000);
    s.step(&[Event::ClockCorrected(ms(by_ms))]);
    s.request(1, BOUNDED);
    assert_ne!(s.at(1), Some(2));
    assert_ne!(s.at(1), Some(3));
}
