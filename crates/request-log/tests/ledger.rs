//! The ledger over a folder that fails, fills up, and loses power at any step.

mod memory;

use memory::{Memory, SIZES, record};
use proptest::prelude::*;
use valehatch_request_log::*;

/// Batches of three; every third is followed by a checkpoint. What was shown after each.
fn work(ledger: &mut RequestLog<Memory>, batches: u64) -> Counters {
    for batch in 0..batches {
        (0..3).for_each(|n| ledger.record(&record(batch * 3 + n), 0));
        ledger.flush();
        if batch % 3 == 2 {
            ledger.checkpoint();
        }
    }
    ledger.shown().clone()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn power_lost_at_any_call_costs_nothing_that_was_shown(calls in 0..200_usize, half in any::<bool>(), batches in 1..30_u64) {
        let folder = Memory::default();
        let mut ledger = RequestLog::open(folder.clone(), SIZES, 7);
        folder.limit(Some(calls), half);
        let shown = work(&mut ledger, batches);
        let seq = ledger.status().seq;
        drop(ledger);
        folder.limit(None, false);
        let back = RequestLog::open(folder, SIZES, 9);
        prop_assert!(back.shown().covers(&shown));
        prop_assert_eq!(back.status().since_ms, 7, "without a break");
        prop_assert!(back.status().seq <= seq && back.status().boots >= 2);
    }

    #[test]
    fn a_full_disk_shows_nothing_new_and_loses_no_count_once_there_is_room(calls in 0..100_usize, half in any::<bool>(), batches in 1..20_u64) {
        let folder = Memory::default();
        let mut ledger = RequestLog::open(folder.clone(), SIZES, 7);
        work(&mut ledger, 2);
        folder.limit(Some(calls), half);
        let mut before = ledger.shown().clone();
        for batch in 0..batches {
            (0..3).for_each(|n| ledger.record(&record(batch * 3 + n), 0));
            ledger.flush();
            prop_assert!(ledger.shown().covers(&before), "what is shown never falls");
            before = ledger.shown().clone();
        }
        folder.limit(None, false);
        ledger.record(&record(1), 0);
        ledger.flush();
        ledger.checkpoint();
        prop_assert_eq!(&ledger.status().trouble, &None);
        let mut all = Counters::default();
        (0..6).chain(0..batches * 3).chain([1]).for_each(|n| all.count(&record(n)));
        let mut shown = ledger.shown().clone();
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
    let mut ledger = RequestLog::open(folder.clone(), SIZES, 7);
    assert_eq!(ledger.notes().len(), 1);
    folder.limit(Some(0), false);
    work(&mut ledger, 5);
    let told = ledger.notes();
    assert!(told.len() == 1 && told[0].trouble, "{told:?}");
    assert!(ledger.status().trouble.is_some() && ledger.status().faults >= 5);
    folder.limit(None, false);
    work(&mut ledger, 1);
    assert_eq!(
        ledger.notes().iter().map(|n| n.trouble).collect::<Vec<_>>(),
        [false]
    );
}

#[test]
fn segments_turn_and_none_is_taken_away_that_is_counted_on() {
    let folder = Memory::default();
    let mut ledger = RequestLog::open(folder.clone(), SIZES, 7);
    work(&mut ledger, 200);
    let names = folder.list().unwrap();
    let segments: Vec<_> = names
        .iter()
        .filter(|n| n.starts_with("requests-"))
        .collect();
    assert!((2..=4).contains(&segments.len()), "{names:?}");
    assert!(ledger.status().segment > 20);
    let shown = ledger.shown().clone();
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
    let mut ledger = RequestLog::open(folder.clone(), SIZES, 7);
    let mut missed = Counters::default();
    missed.count(&record(2));
    missed.missed = 1;
    ledger.missed(&missed);
    ledger.record(&record(2), 0);
    ledger.flush();
    drop(ledger);
    let back = RequestLog::open(folder, SIZES, 9);
    let row = back.shown().rows().next().unwrap().1;
    assert_eq!((row.get(Cell::InTime), back.shown().missed), (2, 1));
}
