//! The ledger over a folder that fails, fills up, and loses power at any step.

mod memory;

use memory::{Memory, SIZES, record};
use proptest::prelude::*;
use valehatch_request_log::*;

/// Batches of three; every third is followed by a checkpoint. What was shown after each.
fn work(request_log: &mut RequestLog<Memory>, batches: u64) -> Counters {
    for batch in 0..batches {
        (0..3).for_each(|n| request_log.record(&record(batch * 3 + n), 0));
        request_log.flush();
        if batch % 3 == 2 {
            request_log.checkpoint();
        }
    }
    request_log.shown().clone()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn power_lost_at_any_call_costs_nothing_that_was_shown(calls in 0..200_usize, half in any::<bool>(), batches in 1..30_u64) {
        let folder = Memory::default();
        let mut request_log = RequestLog::open(folder.clone(), SIZES, 7);
        folder.limit(Some(calls), half);
        let shown = work(&mut request_log, batches);
        let seq = request_log.status().seq;
        drop(request_log);
        folder.limit(None, false);
        let back = RequestLog::open(folder, SIZES, 9);
        prop_assert!(back.shown().covers(&shown));
        prop_assert_eq!(back.status().since_ms, 7, "without a break");
        prop_assert!(back.status().seq <= seq && back.status().boots >= 2);
    }

    #[test]
    fn a_full_disk_shows_nothing_new_and_loses_no_count_once_there_is_room(calls in 0..100_usize, half in any::<bool>(), batches in 1..20_u64) {
        let folder = Memory::default();
        let mut request_log = RequestLog::open(folder.clone(), SIZES, 7);
        work(&mut request_log, 2);
        folder.limit(Some(calls), half);
        let mut before = request_log.shown().clone();
        for batch in 0..batches {
            (0..3).for_each(|n| request_log.record(&record(batch * 3 + n), 0));
            request_log.flush();
            prop_assert!(request_log.shown().covers(&before), "what is shown never falls");
            before = request_log.shown().clone();
        }
        folder.limit(None, false);
        request_log.record(&record(1), 0);
        request_log.flush();
        request_log.checkpoint();
        prop_assert_eq!(&request_log.status().trouble, &None);
        let mut all = Counters::default();
        (0..6).chain(0..batches * 3).chain([1]).for_each(|n| all.count(&record(n)));
        let mut shown = request_log.shown().clone();
        shown.missed = 0;
        prop_assert_eq!(&shown, &all);
        // And so it is after a start.
        let again = RequestLog::open(folder, SIZES, 9);
        prop_assert!(again.shown().covers(&all));
    }
}

#[test]
fn a_full_disk_is_told_once_and_so_is_its_end() {
    let folder = Memory::default();
    let mut request_log = RequestLog::open(folder.clone(), SIZES, 7);
    assert_eq!(request_log.notes().len(), 1);
    folder.limit(Some(0), false);
    work(&mut request_log, 5);
    let told = request_log.notes();
    assert!(told.len() == 1 && told[0].trouble, "{told:?}");
    assert!(request_log.status().trouble.is_some() && request_log.status().faults >= 5);
    folder.limit(None, false);
    work(&mut request_log, 1);
    assert_eq!(
        request_log
            .notes()
            .iter()
            .map(|n| n.trouble)
            .collect::<Vec<_>>(),
        [false]
    );
}

#[test]
fn segments_turn_and_none_is_taken_away_that_is_counted_on() {
    let folder = Memory::default();
    let mut request_log = RequestLog::open(folder.clone(), SIZES, 7);
    work(&mut request_log, 200);
    let names = folder.list().unwrap();
    let segments: Vec<_> = names
        .iter()
        .filter(|n| n.starts_with("requests-"))
        .collect();
    assert!((2..=4).contains(&segments.len()), "{names:?}");
    assert!(request_log.status().segment > 20);
    let shown = request_log.shown().clone();
    folder.0.lock().unwrap().files.remove("checkpoint");
    assert_eq!(
        *RequestLog::open(folder, SIZES, 9).shown(),
        shown,
        "the older one and what is behind it"
    );
}

#[test]
fn counts_without_records_are_kept_too() {
    let folder = Memory::default();
    let mut request_log = RequestLog::open(folder.clone(), SIZES, 7);
    let mut missed = Counters::default();
    missed.count(&record(2));
    missed.missed = 1;
    request_log.missed(&missed);
    request_log.record(&record(2), 0);
    request_log.flush();
    drop(request_log);
    let back = RequestLog::open(folder, SIZES, 9);
    let row = back.shown().rows().next().unwrap().1;
    assert_eq!((row.get(Counter::InTime), back.shown().missed), (2, 1));
}
