//! Tests of when input counts as arrived.

use super::*;

const CAUGHT_UP_AT: Time = Time(5_000);

#[test]
fn input_behind_what_was_read_arrived_after_the_reader_had_caught_up() {
    let mut tracker = ArrivalTracker::default();
    tracker.on_read(300);
    assert_eq!(tracker.on_handled(100), None);
    tracker.on_caught_up(CAUGHT_UP_AT, 200);
    assert_eq!(tracker.on_handled(100), None);
    assert_eq!(tracker.on_handled(100), None, "it had arrived before");
    assert_eq!(tracker.on_handled(1), Some(CAUGHT_UP_AT));
    assert_eq!(tracker.on_handled(100), None, "nothing later is known");
}

#[test]
fn client_may_have_been_kept_from_sending_nothing_is_known() {
    let mut tracker = ArrivalTracker::default();
    tracker.on_read(UNBLOCKED_BYTES + 1);
    tracker.on_caught_up(CAUGHT_UP_AT, 0);
    assert_eq!(tracker.on_handled(1), None);
    tracker.on_read(UNBLOCKED_BYTES);
    tracker.on_caught_up(CAUGHT_UP_AT, 0);
    assert_eq!(tracker.on_handled(1), Some(CAUGHT_UP_AT));
}
