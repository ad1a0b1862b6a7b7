//! The offset between the cluster's clock and this process's: corrected by what endpoints tell, and by nothing else.

use rstest::rstest;
use valehatch_core::cluster_clock::{ClockSample, ClusterClock};
use valehatch_policy::{Span, Time};

/// Where the cluster's clock really stands.
const TRUE_OFFSET: i64 = 1_767_225_600_000_000;
const HOUR: i64 = 3_600_000_000;

fn ms(n: i64) -> i64 {
    Span::from_millis(n).0
}

/// Observations of a kind, each `age_ms` old when it is told, over exchanges of 4 ms.
fn observe(clock: &mut ClusterClock, told: ClockSample, age_ms: i64, times: i64) {
    for n in 0..times {
        let asked = Time(ms(1_000 + 400 * n));
        let came = asked + Span(ms(4));
        clock.observe(
            TRUE_OFFSET + asked.0 + ms(2) - ms(age_ms),
            asked,
            came,
            told,
        );
    }
}

#[rstest]
fn primary_answers_correct_any_error(
    #[values(-HOUR, -2_000_000, -700_000, 0, 700_000, 2_000_000, HOUR)] off: i64,
) {
    let mut clock = ClusterClock::new(TRUE_OFFSET + off);
    observe(&mut clock, ClockSample::PrimaryAnswer, 0, 6);
    assert!(clock.is_verified());
    assert!(
        (clock.offset() - TRUE_OFFSET).abs() <= ms(5),
        "off by {} us",
        clock.offset() - TRUE_OFFSET
    );
}

/// Data is never taken to be newer than it is by more than a report's age.
#[rstest]
fn primary_reports_correct_errors_beyond_their_age(
    #[values(-HOUR, -2_000_000, 2_000_000, HOUR)] off: i64,
    #[values(0, 100, 250)] age_ms: i64,
) {
    let mut clock = ClusterClock::new(TRUE_OFFSET + off);
    observe(&mut clock, ClockSample::PrimaryReport, age_ms, 6);
    assert!(clock.is_verified());
    let left = clock.offset() - TRUE_OFFSET;
    assert!(
        (-ms(age_ms + 3)..=ms(255)).contains(&left),
        "off by {left} us"
    );
}

#[test]
fn a_right_wall_clock_stays_as_it_is() {
    let mut clock = ClusterClock::new(TRUE_OFFSET);
    observe(&mut clock, ClockSample::PrimaryReport, 250, 4);
    observe(&mut clock, ClockSample::PrimaryAnswer, 0, 4);
    observe(&mut clock, ClockSample::Replica, 5_000, 4);
    assert_eq!(clock.offset(), TRUE_OFFSET);
}

#[rstest]
fn a_wall_clock_that_is_nearly_right_is_not_corrected(#[values(-18_000, -2_500, 40_000)] off: i64) {
    let mut clock = ClusterClock::new(TRUE_OFFSET + off);
    observe(&mut clock, ClockSample::PrimaryAnswer, 0, 8);
    assert_eq!(clock.offset(), TRUE_OFFSET + off);
    assert!(clock.is_verified());
}

#[rstest]
fn one_spoilt_time_moves_nothing(#[values(-HOUR, HOUR, i64::MIN / 2, i64::MAX / 2)] off: i64) {
    let mut clock = ClusterClock::new(TRUE_OFFSET);
    observe(&mut clock, ClockSample::PrimaryAnswer, 0, 3);
    let moved = clock.observe(
        TRUE_OFFSET + off,
        Time(ms(5_000)),
        Time(ms(5_004)),
        ClockSample::PrimaryAnswer,
    );
    assert_eq!((moved, clock.offset()), (None, TRUE_OFFSET));
}

/// A replica's position is behind by any time: it can show that this clock is behind, never that it is ahead.
#[test]
fn replicas_that_lag_do_not_set_the_clock_back() {
    let mut clock = ClusterClock::new(TRUE_OFFSET);
    observe(&mut clock, ClockSample::Replica, 60_000, 8);
    assert_eq!(clock.offset(), TRUE_OFFSET);
    assert!(!clock.is_verified());
    let mut clock = ClusterClock::new(TRUE_OFFSET - HOUR);
    observe(&mut clock, ClockSample::Replica, 100, 3);
    assert!(clock.offset() > TRUE_OFFSET - ms(110));
}

/// A group that has no primary stands still: its old primary's position grows older, and must not pass for the present.
#[rstest]
#[case::after_a_healthy_time(true)]
#[case::from_the_start(false)]
fn primaries_that_stand_still_do_not_set_the_clock_back(#[case] healthy_before: bool) {
    let mut clock = ClusterClock::new(TRUE_OFFSET);
    if healthy_before {
        observe(&mut clock, ClockSample::PrimaryAnswer, 0, 3);
    }
    let stands = Time(ms(10_000));
    for n in 1..=50 {
        let asked = stands + Span(ms(100 * n));
        let told = [ClockSample::PrimaryAnswer, ClockSample::PrimaryReport]
            [usize::try_from(n % 2).unwrap()];
        clock.observe(TRUE_OFFSET + stands.0, asked, asked + Span(ms(4)), told);
    }
    assert_eq!(clock.offset(), TRUE_OFFSET);
}
