//! The request log over storage that fails, fills up or loses power at any call.

mod support;

use proptest::prelude::*;
use support::{Memory, SIZES, record};
use valehatch_request_log::*;

/// Records and flushes three records.
fn write_batch(request_log: &mut RequestLog<Memory>, batch: u64) {
    for n in 0..3 {
        request_log.record(&record(batch * 3 + n), 0);
    }
    request_log.flush();
}

/// Writes batches, with a checkpoint after every third one. Returns the published counters.
fn write_batches(request_log: &mut RequestLog<Memory>, batches: u64) -> Counters {
    for batch in 0..batches {
        write_batch(request_log, batch);
        if batch % 3 == 2 {
            request_log.checkpoint();
        }
    }
    request_log.durable_counters().clone()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Power is lost at any call to the storage, which may be partly done. All published counts
    /// must be recovered at the next start.
    #[test]
    fn power_loss_at_any_call_keeps_published_counts(calls in 0..200_usize, partial in any::<bool>(), batches in 1..30_u64) {
        let storage = Memory::default();
        let mut request_log = RequestLog::open(storage.clone(), SIZES, 7);
        storage.limit(Some(calls), partial);
        let published = write_batches(&mut request_log, batches);
        let last_sequence = request_log.status().last_sequence;
        drop(request_log);
        storage.limit(None, false);
        let back = RequestLog::open(storage, SIZES, 9);
        prop_assert!(back.durable_counters().covers(&published));
        prop_assert_eq!(back.status().since_ms, 7, "the counters cover the period from the first start");
        prop_assert!(back.status().last_sequence <= last_sequence && back.status().boots >= 2);
    }

    /// The disk fills up at any call and has space again later. Published counts must not decrease
    /// while it is full, and every record must be counted afterwards.
    #[test]
    fn full_disk_publishes_nothing_new_and_loses_no_count(calls in 0..100_usize, partial in any::<bool>(), batches in 1..20_u64) {
        let storage = Memory::default();
        let mut request_log = RequestLog::open(storage.clone(), SIZES, 7);
        write_batches(&mut request_log, 2);
        storage.limit(Some(calls), partial);
        let mut before = request_log.durable_counters().clone();
        for batch in 0..batches {
            write_batch(&mut request_log, batch);
            prop_assert!(request_log.durable_counters().covers(&before), "published counts never decrease");
            before = request_log.durable_counters().clone();
        }
        storage.limit(None, false);
        request_log.record(&record(1), 0);
        request_log.flush();
        request_log.checkpoint();
        prop_assert_eq!(&request_log.status().fault, &None);
        let mut all = Counters::default();
        for n in (0..6).chain(0..batches * 3).chain([1]) {
            all.count(&record(n));
        }
        let mut published = request_log.durable_counters().clone();
        published.unlogged = 0;
        prop_assert_eq!(&published, &all);
        // The same holds after a restart.
        let again = RequestLog::open(storage, SIZES, 9);
        prop_assert!(again.durable_counters().covers(&all));
    }
}

#[test]
fn full_disk_and_recovery_are_reported_once_each() {
    let storage = Memory::default();
    let mut request_log = RequestLog::open(storage.clone(), SIZES, 7);
    assert_eq!(request_log.take_events().len(), 1);
    storage.limit(Some(0), false);
    write_batches(&mut request_log, 5);
    let events = request_log.take_events();
    assert!(events.len() == 1 && events[0].is_fault(), "{events:?}");
    assert!(request_log.status().fault.is_some() && request_log.status().fault_count >= 5);
    storage.limit(None, false);
    write_batches(&mut request_log, 1);
    assert_eq!(
        request_log
            .take_events()
            .iter()
            .map(LogEvent::is_fault)
            .collect::<Vec<_>>(),
        [false]
    );
}

#[test]
fn old_segments_are_removed_unless_a_checkpoint_needs_them() {
    let storage = Memory::default();
    let mut request_log = RequestLog::open(storage.clone(), SIZES, 7);
    write_batches(&mut request_log, 200);
    let names = storage.list().unwrap();
    let segments: Vec<_> = names
        .iter()
        .filter(|name| name.starts_with("requests-"))
        .collect();
    assert!((2..=4).contains(&segments.len()), "{names:?}");
    assert!(request_log.status().segment > 20);
    let published = request_log.durable_counters().clone();
    storage.0.lock().unwrap().files.remove("checkpoint");
    assert_eq!(
        *RequestLog::open(storage, SIZES, 9).durable_counters(),
        published,
        "recovered from the older checkpoint and the log after it"
    );
}

#[test]
fn unlogged_counts_survive_restart() {
    let storage = Memory::default();
    let mut request_log = RequestLog::open(storage.clone(), SIZES, 7);
    let mut unlogged = Counters::default();
    unlogged.count(&record(2));
    unlogged.unlogged = 1;
    request_log.add_unlogged(&unlogged);
    request_log.record(&record(2), 0);
    request_log.flush();
    drop(request_log);
    let back = RequestLog::open(storage, SIZES, 9);
    let row = back.durable_counters().rows().next().unwrap().1;
    assert_eq!(
        (row.get(Counter::InTime), back.durable_counters().unlogged),
        (2, 1)
    );
}
