//! Correction of the offset between the cluster's clock and this process's clock, which depends
//! only on times reported by endpoints.

use rstest::rstest;
use valehatch_core::cluster_clock::{ClockSample, ClusterClock};
use valehatch_policy::{Span, Time};

/// The true offset of the cluster's clock.
const TRUE_OFFSET: i64 = 1_767_225_600_000_000;
const HOUR: i64 = 3_600_000_000;

fn ms(n: i64) -> i64 {
    Span::from_millis(n).0
}

/// Feeds the clock observations of one kind. Each reported time is `age_ms` old when it is sent,
/// and each exchange takes 4 ms.
fn observe(clock: &mut ClusterClock, sample: ClockSample, age_ms: i64, times: i64) {
    for n in 0..times {
        let requested_at = Time(ms(1_000 + 400 * n));
        let received_at = requested_at + Span(ms(4));
        clock.observe(
            TRUE_OFFSET + requested_at.0 + ms(2) - ms(age_ms),
            requested_at,
            received_at,
            sample,
        );
    }
}

#[rstest]
fn primary_answers_correct_any_error(
    #[values(-HOUR, -2_000_000, -700_000, 0, 700_000, 2_000_000, HOUR)] error: i64,
) {
    let mut clock = ClusterClock::new(TRUE_OFFSET + error);
    observe(&mut clock, ClockSample::PrimaryAnswer, 0, 6);
    assert!(clock.is_verified());
    assert!(
        (clock.offset() - TRUE_OFFSET).abs() <= ms(5),
        "off by {} us",
        clock.offset() - TRUE_OFFSET
    );
}

// A load report may be some time old. Data must never count as newer than it is by more than that
// age.
#[rstest]
fn primary_reports_correct_errors_beyond_their_age(
    #[values(-HOUR, -2_000_000, 2_000_000, HOUR)] error: i64,
    #[values(0, 100, 250)] age_ms: i64,
) {
    let mut clock = ClusterClock::new(TRUE_OFFSET + error);
    observe(&mut clock, ClockSample::PrimaryReport, age_ms, 6);
    assert!(clock.is_verified());
    let remaining = clock.offset() - TRUE_OFFSET;
    assert!(
        (-ms(age_ms + 3)..=ms(255)).contains(&remaining),
        "off by {remaining} us"
    );
}

#[test]
fn correct_wall_clock_keeps_offset() {
    let mut clock = ClusterClock::new(TRUE_OFFSET);
    observe(&mut clock, ClockSample::PrimaryReport, 250, 4);
    observe(&mut clock, ClockSample::PrimaryAnswer, 0, 4);
    observe(&mut clock, ClockSample::Replica, 5_000, 4);
    assert_eq!(clock.offset(), TRUE_OFFSET);
}

#[rstest]
fn small_wall_clock_error_is_tolerated(#[values(-18_000, -2_500, 40_000)] error: i64) {
    let mut clock = ClusterClock::new(TRUE_OFFSET + error);
    observe(&mut clock, ClockSample::PrimaryAnswer, 0, 8);
    assert_eq!(clock.offset(), TRUE_OFFSET + error);
    assert!(clock.is_verified());
}

// An endpoint reports a corrupt time. No other observation agrees with it, so the offset is kept.
#[rstest]
fn single_corrupt_time_changes_nothing(
    #[values(-HOUR, HOUR, i64::MIN / 2, i64::MAX / 2)] error: i64,
) {
    let mut clock = ClusterClock::new(TRUE_OFFSET);
    observe(&mut clock, ClockSample::PrimaryAnswer, 0, 3);
    let moved = clock.observe(
        TRUE_OFFSET + error,
        Time(ms(5_000)),
        Time(ms(5_004)),
        ClockSample::PrimaryAnswer,
    );
    assert_eq!((moved, clock.offset()), (None, TRUE_OFFSET));
}

// A replica may lag by any amount. Its position can show that this clock is behind, but never that
// this clock is ahead.
#[test]
fn lagging_replica_does_not_set_clock_back() {
    let mut clock = ClusterClock::new(TRUE_OFFSET);
    observe(&mut clock, ClockSample::Replica, 60_000, 8);
    assert_eq!(clock.offset(), TRUE_OFFSET);
    assert!(!clock.is_verified());
    let mut clock = ClusterClock::new(TRUE_OFFSET - HOUR);
    observe(&mut clock, ClockSample::Replica, 100, 3);
    assert!(clock.offset() > TRUE_OFFSET - ms(110));
}

// The position of a group without a primary does not advance. The old primary still reports it, and
// it must not be taken for the current time.
#[rstest]
#[case::after_healthy_period(true)]
#[case::from_the_start(false)]
fn stalled_primary_does_not_set_clock_back(#[case] healthy_before: bool) {
    let mut clock = ClusterClock::new(TRUE_OFFSET);
    if healthy_before {
        observe(&mut clock, ClockSample::PrimaryAnswer, 0, 3);
    }
    let stalled_at = Time(ms(10_000));
    for n in 1..=50 {
        let requested_at = stalled_at + Span(ms(100 * n));
        let sample = [ClockSample::PrimaryAnswer, ClockSample::PrimaryReport]
            [usize::try_from(n % 2).unwrap()];
        clock.observe(
            TRUE_OFFSET + stalled_at.0,
            requested_at,
            requested_at + Span(ms(4)),
            sample,
        );
    }
    assert_eq!(clock.offset(), TRUE_OFFSET);
}
