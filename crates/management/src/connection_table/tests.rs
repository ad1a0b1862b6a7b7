//! Eviction order and expiry, without sockets.

use super::*;
use rstest::rstest;

/// Stage, milliseconds since the accept, milliseconds since the stage began.
type Given = (Stage, u64, u64);

fn table(given: &[Given], slots: usize, now: Instant) -> ConnectionTable {
    let mut table = ConnectionTable::new(slots, Duration::from_secs(4));
    for (slot, &(stage, age, stage_since)) in given.iter().enumerate() {
        table.on_accept(slot, now - Duration::from_millis(age));
        table.on_stage(slot, stage, now - Duration::from_millis(stage_since));
    }
    table
}

#[rstest]
#[case::empty(&[], 2, AcceptDecision::Slot(0))]
#[case::one_free(&[(Stage::Reading, 3_000, 3_000)], 2, AcceptDecision::Slot(1))]
#[case::oldest(&[(Stage::Reading, 30, 30), (Stage::Reading, 40, 40)], 2, AcceptDecision::Evict(1))]
#[case::no_request_before_just_answered(&[(Stage::Draining, 90, 80), (Stage::Reading, 40, 40)], 2, AcceptDecision::Evict(1))]
#[case::long_answered_first(&[(Stage::Reading, 900, 900), (Stage::Draining, 800, 250)], 2, AcceptDecision::Evict(1))]
#[case::answered_before_responding(
    &[(Stage::Responding, 900, 900), (Stage::Draining, 80, 80)], 2, AcceptDecision::Evict(1))]
#[case::responding_if_no_other(&[(Stage::Responding, 90, 90), (Stage::Responding, 80, 80)], 2, AcceptDecision::Evict(0))]
#[case::in_grace_is_skipped(&[(Stage::Reading, 1, 1), (Stage::Draining, 9, 9)], 2, AcceptDecision::Evict(1))]
fn new_connection_takes_free_slot_or_evicts(
    #[case] given: &[Given],
    #[case] slots: usize,
    #[case] expected: AcceptDecision,
) {
    let now = Instant::now() + Duration::from_secs(10);
    assert_eq!(table(given, slots, now).decide_accept(now), expected);
}

#[test]
fn connections_in_grace_are_not_evicted() {
    let now = Instant::now() + Duration::from_secs(10);
    let table = table(&[(Stage::Reading, 0, 0), (Stage::Reading, 1, 1)], 2, now);
    let then = now + Duration::from_millis(1);
    assert_eq!(table.decide_accept(now), AcceptDecision::WaitUntil(then));
    assert_eq!(table.decide_accept(then), AcceptDecision::Evict(1));
}

#[rstest]
#[case::no_request(Stage::Reading, 100, 100, 3_900)]
#[case::no_reader(Stage::Responding, 1_000, 10, 3_000)]
#[case::answered(Stage::Draining, 1_000, 100, 900)]
#[case::answered_late(Stage::Draining, 3_900, 100, 100)]
fn connection_expires_by_stage(
    #[case] stage: Stage,
    #[case] age: u64,
    #[case] stage_since: u64,
    #[case] remaining: u64,
) {
    let now = Instant::now() + Duration::from_secs(10);
    let mut table = table(&[(stage, age, stage_since)], 3, now);
    let end = now + Duration::from_millis(remaining);
    assert_eq!(table.next_expiry(), Some(end));
    assert_eq!(table.expired(end - Duration::from_millis(1)), None);
    assert_eq!(table.expired(end), Some(0));
    table.on_close(0);
    assert_eq!((table.expired(end), table.next_expiry()), (None, None));
}
