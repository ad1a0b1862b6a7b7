//! Replay after a crash. If any single file is torn, truncated, corrupt or missing, no published
//! counter decreases. If nothing is damaged, the counters are exactly the sum of the records.

use std::sync::Arc;

use proptest::prelude::*;
use valehatch_request_log::replay::ReplayIssue;
use valehatch_request_log::*;

fn record(n: u64) -> RequestRecord {
    let pick =
        |names: &[&str], n: u64| Arc::<str>::from(names[usize::try_from(n).unwrap() % names.len()]);
    let outcome = match n % 11 {
        0 => FinalOutcome::Rejected(
            RejectionReason::ALL[usize::try_from(n / 11).unwrap() % RejectionReason::ALL.len()],
        ),
        1 => FinalOutcome::Failed(
            FailureReason::ALL[usize::try_from(n / 11).unwrap() % FailureReason::ALL.len()],
        ),
        2 => FinalOutcome::Aborted,
        3 => FinalOutcome::Late,
        _ => FinalOutcome::InTime,
    };
    RequestRecord {
        front: pick(&["a", "b"], n / 3),
        class: pick(&["read", "write", "report"], n),
        tenant: (!n.is_multiple_of(4)).then(|| pick(&["x", "y"], n)),
        group: 0,
        outcome,
        attempts: (0..n % 3)
            .map(|t| AttemptRecord {
                endpoint: pick(&["m1", "m2"], t),
                outcome: AttemptOutcome::ALL
                    [usize::try_from(n + t).unwrap() % AttemptOutcome::ALL.len()],
                duration_us: n * 17,
            })
            .collect(),
        queued_us: n % 100,
        total_us: n * 997 % 12_000_000,
    }
}

/// The files of a gateway (log segments, marks, two checkpoints) and its published counters.
#[derive(Default)]
struct Disk {
    segments: Vec<Vec<u8>>,
    marks: Vec<u8>,
    newest: Option<Vec<u8>>,
    older: Option<Vec<u8>>,
    counters: Counters,
    last_sequence: u64,
}

impl Disk {
    /// Writes batches of these sizes. Every `checkpoint_every`th batch is followed by a checkpoint,
    /// every `segment_every`th by a new segment.
    fn write(sizes: &[u64], checkpoint_every: usize, segment_every: usize) -> Self {
        let mut disk = Self {
            segments: vec![vec![]],
            ..Self::default()
        };
        let mut old_marks = vec![];
        for (n, size) in sizes.iter().enumerate() {
            let first = disk.last_sequence + 1;
            let mut changed = std::collections::BTreeSet::new();
            for _ in 0..*size {
                disk.last_sequence += 1;
                let record = record(disk.last_sequence);
                record.append_line(disk.segments.last_mut().unwrap(), disk.last_sequence, 0);
                changed.extend(Counters::row_keys(&record));
                disk.counters.count(&record);
            }
            DurableMark::append(
                &mut disk.marks,
                SequenceRange {
                    first,
                    last: disk.last_sequence,
                },
                &disk.counters,
                changed.iter(),
            );
            if n % segment_every == segment_every - 1 {
                disk.segments.push(vec![]);
            }
            if n % checkpoint_every == checkpoint_every - 1 {
                let position = LogPosition {
                    segment: disk.segments.len() as u64,
                    offset: disk.segments.last().unwrap().len() as u64,
                };
                let (last_sequence, counters) = (disk.last_sequence, disk.counters.clone());
                let checkpoint = Checkpoint {
                    last_sequence,
                    position,
                    boots: 1,
                    since_ms: 5,
                    counters,
                };
                disk.older = disk.newest.replace(checkpoint.bytes());
                // Marks since the older checkpoint are kept, as that checkpoint is.
                let new = disk.marks.split_off(old_marks.len());
                (old_marks, disk.marks) = (new.clone(), new);
            }
        }
        disk
    }

    fn replay(&self) -> Recovered {
        let mut replay = Replay::new(self.newest.as_deref(), self.older.as_deref());
        for line in self.marks.split_inclusive(|b| *b == b'\n') {
            replay.add_mark(line);
        }
        for (n, segment) in (1..).zip(&self.segments) {
            let mut position = LogPosition::start_of(n);
            for line in segment.split_inclusive(|b| *b == b'\n') {
                if position >= replay.start_position() {
                    replay.add_line(position, line);
                }
                position.offset += line.len() as u64;
            }
        }
        replay.finish()
    }
}

fn sizes() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(1..9_u64, 1..24)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn undamaged_disk_gives_exactly_the_counts(sizes in sizes(), checkpoint_every in 1..6_usize, segment_every in 1..6_usize) {
        let disk = Disk::write(&sizes, checkpoint_every, segment_every);
        let back = disk.replay();
        prop_assert_eq!(&back.issues, &vec![]);
        prop_assert!(!back.counts_lost);
        prop_assert_eq!(back.checkpoint.last_sequence, disk.last_sequence);
        prop_assert_eq!(back.checkpoint.counters, disk.counters);
    }

    #[test]
    fn torn_end_is_truncated_and_loses_no_count(sizes in sizes(), checkpoint_every in 1..6_usize, cut in 1..400_usize) {
        let mut disk = Disk::write(&sizes, checkpoint_every, 100);
        // One more record is partly written; its counts were not published yet.
        let mut next = vec![];
        record(disk.last_sequence + 1).append_line(&mut next, disk.last_sequence + 1, 0);
        next.truncate(cut.min(next.len() - 1));
        let complete = disk.segments[0].len();
        disk.segments[0].extend(&next);
        let back = disk.replay();
        let place = LogPosition { segment: 1, offset: complete as u64 };
        prop_assert_eq!(&back.torn_ends, &vec![place]);
        prop_assert_eq!(&back.issues, &vec![ReplayIssue::TornSegment(place)]);
        prop_assert_eq!(back.checkpoint.counters, disk.counters);
    }

    #[test]
    fn one_damaged_file_loses_no_count(
        sizes in sizes(), checkpoint_every in 1..6_usize, segment_every in 1..6_usize, which in 0..4_usize, how in 0..4_u8, at in any::<prop::sample::Index>(),
        bit in 0..8_u8,
    ) {
        let mut disk = Disk::write(&sizes, checkpoint_every, segment_every);
        let segments = disk.segments.len();
        let file = match which {
            0 => disk.newest.as_mut(),
            1 => disk.older.as_mut(),
            2 => Some(&mut disk.marks),
            _ => Some(&mut disk.segments[at.index(segments)]),
        };
        let Some(file) = file.filter(|f| !f.is_empty()) else { return Ok(()) };
        let place = at.index(file.len());
        match how {
            0 => file[place] ^= 1 << bit,
            1 => file.truncate(place),
            2 => file[place..].fill(0),
            _ => file.clear(),
        }
        let back = disk.replay();
        prop_assert!(back.checkpoint.counters.covers(&disk.counters), "{:?}", back.issues);
        prop_assert!(!back.counts_lost);
        // Sequence numbers continue after the last one, so none is used twice.
        prop_assert_eq!(back.checkpoint.last_sequence, disk.last_sequence);
    }

    #[test]
    fn arbitrary_bytes_count_nothing(
        newest in prop::collection::vec(any::<u8>(), 0..200), lines in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..20),
    ) {
        let mut replay = Replay::new(Some(&newest), None);
        for (n, line) in lines.iter().enumerate() {
            replay.add_mark(line);
            replay.add_line(LogPosition { segment: 1, offset: n as u64 * 100 }, line);
        }
        prop_assert!(replay.finish().checkpoint.counters.is_empty());
    }
}

#[test]
fn missing_records_without_mark_are_reported_lost() {
    let mut disk = Disk::write(&[4, 4, 4], 100, 100);
    disk.marks.clear();
    let lines: Vec<&[u8]> = disk.segments[0].split_inclusive(|b| *b == b'\n').collect();
    let kept: Vec<u8> = lines[..4]
        .iter()
        .chain(&lines[6..])
        .copied()
        .flatten()
        .copied()
        .collect();
    disk.segments[0] = kept;
    let back = disk.replay();
    assert!(back.counts_lost);
    assert_eq!(back.issues, [ReplayIssue::RecordsLost { records: 2 }]);
    assert_eq!(back.checkpoint.last_sequence, 12);
}

#[test]
fn mark_of_other_batch_does_not_hide_lost_record() {
    // The mark and the record of batch 2 are both missing. The mark of batch 3 must not hide that.
    let mut disk = Disk::write(&[1, 1, 1], 100, 100);
    let keep = |bytes: &[u8], n: usize| -> Vec<u8> {
        let lines = bytes
            .split_inclusive(|b| *b == b'\n')
            .enumerate()
            .filter(|(at, _)| *at != n);
        lines.flat_map(|(_, line)| line.to_vec()).collect()
    };
    (disk.marks, disk.segments[0]) = (keep(&disk.marks, 1), keep(&disk.segments[0], 1));
    assert!(disk.replay().counts_lost);
}

#[test]
fn counters_have_distinct_indexes_and_names() {
    let counters: Vec<Counter> = Counter::all().collect();
    assert_eq!(counters.len(), COUNTERS_PER_ROW);
    for (n, counter) in counters.iter().enumerate() {
        assert_eq!(counter.index(), n);
        assert_eq!(Counter::from_name(&counter.name()), Some(*counter));
    }
}

#[test]
fn quantiles_cover_last_minute_and_rows_are_bounded() {
    let key = |name: &str| RowKey {
        scope: Scope::Class,
        front: "a".into(),
        name: name.into(),
    };
    let mut latency_samples = LatencySamples::new(1);
    for n in 1..=1000_i64 {
        latency_samples.record(n * 1000, &key("x"), n.unsigned_abs() * 1000);
    }
    let p99 = latency_samples.quantile(1_000_000, &key("x"), 990).unwrap();
    assert!((980_000..=1_010_000).contains(&p99), "{p99}");
    latency_samples.record(0, &key("y"), 5);
    assert_eq!(latency_samples.quantile(0, &key("y"), 990), None);
    assert_eq!(latency_samples.quantile(70_000_000, &key("x"), 990), None);
}
