//! Formats of the files that hold the request log and its counters, and the names in them. The
//! files in `fixtures/folder/` were written by version 0.4.0; later versions must replay them and
//! write the same bytes.

mod support;

use std::collections::BTreeMap;

use support::Memory;
use valehatch_request_log::counters::LATENCY_BOUNDS_US;
use valehatch_request_log::*;

const SIZES: SegmentLimits = SegmentLimits {
    segment_bytes: 1 << 20,
    segments: 2,
};
const SINCE_MS: u64 = 1_700_000_000_000;

const COUNTER_NAMES: &str = "in-time late aborted \
    refused.strain refused.unsent refused.late refused.deadline refused.attempts refused.window refused.open \
    refused.room refused.places refused.stopping refused.queue-wait refused.queue-full refused.queue-waited \
    refused.queue-standing \
    failed.timeout failed.broken failed.told failed.statement failed.named failed.stopping \
    attempt.ok attempt.error attempt.full attempt.timeout attempt.connect-failed attempt.reset attempt.cancelled \
    attempt.moot attempt.miss attempt.out \
    time.1000 time.2000 time.5000 time.10000 time.20000 time.50000 time.100000 time.200000 time.300000 time.500000 \
    time.1000000 time.2000000 time.5000000 time.10000000 time.more";

fn folder() -> BTreeMap<String, Vec<u8>> {
    let files: [(&str, &[u8]); 5] = [
        ("checkpoint", include_bytes!("fixtures/folder/checkpoint")),
        (
            "checkpoint.old",
            include_bytes!("fixtures/folder/checkpoint.old"),
        ),
        ("marks.log", include_bytes!("fixtures/folder/marks.log")),
        ("marks.old", include_bytes!("fixtures/folder/marks.old")),
        (
            "requests-00000001.log",
            include_bytes!("fixtures/folder/requests-00000001.log"),
        ),
    ];
    files
        .into_iter()
        .map(|(name, bytes)| (name.to_owned(), bytes.to_vec()))
        .collect()
}

/// Records with each final outcome, each attempt outcome and a latency in each bucket.
fn records() -> Vec<RequestRecord> {
    let refused = RejectionReason::ALL
        .iter()
        .map(|why| (FinalOutcome::Rejected(*why), 0));
    let failed = FailureReason::ALL
        .iter()
        .map(|how| (FinalOutcome::Failed(*how), 0));
    let served = LATENCY_BOUNDS_US
        .iter()
        .map(|us| (FinalOutcome::InTime, *us))
        .chain([(FinalOutcome::Late, u64::MAX)]);
    let outcomes = |n| AttemptOutcome::ALL.iter().skip(n % 12).take(2);
    let record = |(n, (outcome, total_us)): (usize, (FinalOutcome, u64))| RequestRecord {
        front: "front \"ä\"".into(),
        class: if n.is_multiple_of(2) { "read" } else { "write" }.into(),
        tenant: n.is_multiple_of(3).then(|| "acme".into()),
        group: if n == 5 { 65_535 } else { 0 },
        outcome,
        attempts: outcomes(n)
            .map(|o| AttemptRecord {
                endpoint: "s-1".into(),
                outcome: *o,
                duration_us: 250,
            })
            .collect(),
        queued_us: 12,
        total_us,
    };
    refused
        .chain(failed)
        .chain([(FinalOutcome::Aborted, 0)])
        .chain(served)
        .enumerate()
        .map(record)
        .collect()
}

#[test]
fn same_records_give_the_stored_bytes() {
    let memory = Memory::default();
    let mut request_log = RequestLog::open(memory.clone(), SIZES, SINCE_MS);
    let all = records();
    let (before, after) = all.split_at(30);
    for (n, batch) in [before, after].into_iter().enumerate() {
        for (record, ms) in batch.iter().zip(1..) {
            request_log.record(record, SINCE_MS + ms);
        }
        request_log.flush();
        if n == 0 {
            request_log.checkpoint();
        }
    }
    let written = memory.0.lock().unwrap().files.clone();
    assert_eq!(
        written.keys().collect::<Vec<_>>(),
        folder().keys().collect::<Vec<_>>()
    );
    for (name, bytes) in folder() {
        assert_eq!(
            String::from_utf8_lossy(&written[&name]),
            String::from_utf8_lossy(&bytes),
            "{name}"
        );
    }
}

#[test]
fn stored_files_are_replayed_completely() {
    let mut counted = Counters::default();
    for record in &records() {
        counted.count(record);
    }
    // Any one kind of file may be lost: the others hold the same counts.
    for lost in ["", "requests-", "marks", "checkpoint"] {
        let memory = Memory::default();
        let kept = folder()
            .into_iter()
            .filter(|(name, _)| lost.is_empty() || !name.starts_with(lost));
        memory.0.lock().unwrap().files = kept.collect();
        let request_log = RequestLog::open(memory, SIZES, SINCE_MS + 9);
        assert_eq!(
            (
                request_log.durable_counters(),
                request_log.status().last_sequence
            ),
            (&counted, 36),
            "without {lost:?}"
        );
        if lost.is_empty() {
            let status = request_log.status();
            assert_eq!(
                (status.fault_count, status.boots, status.since_ms),
                (0, 2, SINCE_MS)
            );
        }
    }
}

#[test]
fn stored_lines_parse_to_their_records() {
    let lines = folder().remove("requests-00000001.log").unwrap();
    let read: Vec<_> = lines
        .split_inclusive(|b| *b == b'\n')
        .map(|line| RequestRecord::parse_line(line).unwrap())
        .collect();
    assert_eq!(read, (1..).zip(records()).collect::<Vec<_>>());
}

#[test]
fn counters_keep_their_names_and_order() {
    let names: Vec<String> = Counter::all().map(Counter::name).collect();
    assert_eq!(names, COUNTER_NAMES.split_whitespace().collect::<Vec<_>>());
}
