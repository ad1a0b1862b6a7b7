//! What a disk holds back after a crash: whatever single file is torn, truncated, flipped or gone, no counter that was
//! shown falls, and where nothing is spoilt the counters are exactly the sum of the records.

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

/// A gateway's disk: the log in segments, marks, two checkpoints; and what readers were shown.
#[derive(Default)]
struct Disk {
    segments: Vec<Vec<u8>>,
    marks: Vec<u8>,
    newest: Option<Vec<u8>>,
    older: Option<Vec<u8>>,
    counters: Counters,
    seq: u64,
}

impl Disk {
    /// Writes batches of these sizes; every `each`th is followed by a checkpoint, every `turn`th by a new segment.
    fn write(sizes: &[u64], each: usize, turn: usize) -> Self {
        let mut disk = Self {
            segments: vec![vec![]],
            ..Self::default()
        };
        let mut old_marks = vec![];
        for (n, size) in sizes.iter().enumerate() {
            let from = disk.seq + 1;
            let mut touched = std::collections::BTreeSet::new();
            for _ in 0..*size {
                disk.seq += 1;
                let record = record(disk.seq);
                record.put(disk.segments.last_mut().unwrap(), disk.seq, 0);
                touched.extend(Counters::keys(&record));
                disk.counters.count(&record);
            }
            DurableMark::put(
                &mut disk.marks,
                (from, disk.seq),
                &disk.counters,
                touched.iter(),
            );
            if n % turn == turn - 1 {
                disk.segments.push(vec![]);
            }
            if n % each == each - 1 {
                let place = LogPosition {
                    segment: disk.segments.len() as u64,
                    offset: disk.segments.last().unwrap().len() as u64,
                };
                let (seq, counters) = (disk.seq, disk.counters.clone());
                let checkpoint = Checkpoint {
                    seq,
                    place,
                    boots: 1,
                    since_ms: 5,
                    counters,
                };
                disk.older = disk.newest.replace(checkpoint.bytes());
                // Marks of the last generation are kept, as the checkpoint itself is.
                let new = disk.marks.split_off(old_marks.len());
                (old_marks, disk.marks) = (new.clone(), new);
            }
        }
        disk
    }

    fn replay(&self) -> Recovered {
        let mut replay = Replay::begin(self.newest.as_deref(), self.older.as_deref());
        self.marks
            .split_inclusive(|b| *b == b'\n')
            .for_each(|line| replay.mark(line));
        for (n, segment) in (1..).zip(&self.segments) {
            let mut place = LogPosition {
                segment: n,
                offset: 0,
            };
            for line in segment.split_inclusive(|b| *b == b'\n') {
                if place >= replay.from() {
                    replay.line(place, line);
                }
                place.offset += line.len() as u64;
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
    fn a_sound_disk_gives_back_exactly_what_was_counted(sizes in sizes(), each in 1..6_usize, turn in 1..6_usize) {
        let disk = Disk::write(&sizes, each, turn);
        let back = disk.replay();
        prop_assert_eq!(&back.troubles, &vec![]);
        prop_assert!(!back.broken);
        prop_assert_eq!(back.checkpoint.seq, disk.seq);
        prop_assert_eq!(back.checkpoint.counters, disk.counters);
    }

    #[test]
    fn a_torn_end_is_cut_and_costs_no_count(sizes in sizes(), each in 1..6_usize, cut in 1..400_usize) {
        let mut disk = Disk::write(&sizes, each, 100);
        // What is in the middle of being written was not shown yet: one more record, half of it on the disk.
        let mut next = vec![];
        record(disk.seq + 1).put(&mut next, disk.seq + 1, 0);
        next.truncate(cut.min(next.len() - 1));
        let whole = disk.segments[0].len();
        disk.segments[0].extend(&next);
        let back = disk.replay();
        let place = LogPosition { segment: 1, offset: whole as u64 };
        prop_assert_eq!(&back.cuts, &vec![place]);
        prop_assert_eq!(&back.troubles, &vec![ReplayIssue::Torn(place)]);
        prop_assert_eq!(back.checkpoint.counters, disk.counters);
    }

    #[test]
    fn one_spoilt_file_costs_no_count(
        sizes in sizes(), each in 1..6_usize, turn in 1..6_usize, which in 0..4_usize, how in 0..4_u8, at in any::<prop::sample::Index>(),
        bit in 0..8_u8,
    ) {
        let mut disk = Disk::write(&sizes, each, turn);
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
        prop_assert!(back.checkpoint.counters.covers(&disk.counters), "{:?}", back.troubles);
        prop_assert!(!back.broken);
        // Numbers go on behind all that were given out, so that none is given twice.
        prop_assert_eq!(back.checkpoint.seq, disk.seq);
    }

    #[test]
    fn arbitrary_bytes_are_read_without_harm(
        newest in prop::collection::vec(any::<u8>(), 0..200), lines in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..20),
    ) {
        let mut replay = Replay::begin(Some(&newest), None);
        for (n, line) in lines.iter().enumerate() {
            replay.mark(line);
            replay.line(LogPosition { segment: 1, offset: n as u64 * 100 }, line);
        }
        prop_assert!(replay.finish().checkpoint.counters.is_empty());
    }
}

#[test]
fn what_nothing_knows_any_more_is_said_to_be_lost() {
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
    assert!(back.broken);
    assert_eq!(
        back.troubles,
        [ReplayIssue::Missing {
            records: 2,
            made_up: false
        }]
    );
    assert_eq!(back.checkpoint.seq, 12);
}

#[test]
fn a_mark_of_another_batch_does_not_make_up_for_a_record() {
    // Batch 2's mark is gone and one of its records with it; batch 3's mark must not hide that.
    let mut disk = Disk::write(&[1, 1, 1], 100, 100);
    let keep = |bytes: &[u8], n: usize| -> Vec<u8> {
        let lines = bytes
            .split_inclusive(|b| *b == b'\n')
            .enumerate()
            .filter(|(at, _)| *at != n);
        lines.flat_map(|(_, line)| line.to_vec()).collect()
    };
    (disk.marks, disk.segments[0]) = (keep(&disk.marks, 1), keep(&disk.segments[0], 1));
    assert!(disk.replay().broken);
}

#[test]
fn every_cell_has_a_place_and_a_name_of_its_own() {
    let cells: Vec<Counter> = Counter::all().collect();
    assert_eq!(cells.len(), COUNTERS_PER_ROW);
    for (n, cell) in cells.iter().enumerate() {
        assert_eq!(cell.place(), n);
        assert_eq!(Counter::named(&cell.name()), Some(*cell));
    }
}

#[test]
fn quantiles_are_of_the_last_minute_and_rows_are_bounded() {
    let key = |name: &str| RowKey {
        scope: Scope::Class,
        front: "a".into(),
        name: name.into(),
    };
    let mut latency_samples = LatencySamples::new(1);
    (1..=1000).for_each(|n| latency_samples.note(n * 1000, &key("x"), n.unsigned_abs() * 1000));
    let p99 = latency_samples.quantile(1_000_000, &key("x"), 990).unwrap();
    assert!((980_000..=1_010_000).contains(&p99), "{p99}");
    latency_samples.note(0, &key("y"), 5);
    assert_eq!(latency_samples.quantile(0, &key("y"), 990), None);
    assert_eq!(latency_samples.quantile(70_000_000, &key("x"), 990), None);
}
