//! Rebuilds counters from stored bytes: the newest checkpoint that can be read, the records behind
//! it, and the marks, each of which is a lower bound of the truth.
//!
//! Input: both checkpoints, then the lines of the marks, then the lines of the log in order.
//! Output: [`Recovered`]. The marks since the older checkpoint are held in memory, and at most
//! [`MAX_REPORTED_ISSUES`] issues.

use std::fmt;

use crate::checksum_line::CorruptRecord;
use crate::durable::{Checkpoint, DurableMark, LogPosition, SequenceRange};
use crate::file_names::{CHECKPOINT, OLDER_CHECKPOINT};
use crate::record::RequestRecord;

/// Something wrong with the stored data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayIssue {
    /// A checkpoint cannot be read.
    CorruptCheckpoint {
        /// The file's name.
        file: &'static str,
        /// Why it cannot be used.
        reason: CorruptRecord,
    },
    /// Lines of the marks cannot be read.
    CorruptMarks {
        /// How many.
        count: u64,
    },
    /// A segment ends in a torn record, which begins at this position.
    TornSegment(LogPosition),
    /// A record in the middle of the log cannot be read.
    CorruptRecord {
        /// Where it begins.
        position: LogPosition,
        /// Why it cannot be used.
        reason: CorruptRecord,
    },
    /// Records are missing from the log; the marks have their counts.
    RecordsInMarksOnly {
        /// How many.
        records: u64,
    },
    /// Records are missing, and so are their counts: the counters begin anew.
    RecordsLost {
        /// How many.
        records: u64,
    },
}

impl fmt::Display for ReplayIssue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CorruptCheckpoint { file, reason } => {
                write!(f, "file {file} is corrupt: {reason}")
            }
            Self::CorruptMarks { count } => write!(f, "{count} marks are corrupt"),
            Self::TornSegment(at) => {
                write!(f, "segment {} is torn at byte {}", at.segment, at.offset)
            }
            Self::CorruptRecord { position, reason } => write!(
                f,
                "segment {}, byte {}: record is corrupt: {reason}",
                position.segment, position.offset
            ),
            Self::RecordsInMarksOnly { records } => write!(
                f,
                "{records} records are missing from the request log, counted from the marks"
            ),
            Self::RecordsLost { records } => write!(
                f,
                "{records} records are missing, their counts are lost, counters begin anew"
            ),
        }
    }
}

/// Issues that are reported one by one; further ones are only counted.
pub const MAX_REPORTED_ISSUES: usize = 16;

/// The result of a replay.
#[derive(Debug)]
pub struct Recovered {
    /// The counters, sequence number and position to continue with.
    pub checkpoint: Checkpoint,
    /// Ends of segments that hold a torn record: truncate the segments there.
    pub torn_ends: Vec<LogPosition>,
    /// The first issues, at most [`MAX_REPORTED_ISSUES`].
    pub issues: Vec<ReplayIssue>,
    /// How many issues there were.
    pub fault_count: u64,
    /// Counts are lost for good: the counters are below what was published.
    pub counts_lost: bool,
}

/// A line that could not be parsed. Whether it is torn or corrupt depends on what follows it.
#[derive(Clone, Copy, Debug)]
struct SuspectLine {
    position: LogPosition,
    reason: CorruptRecord,
}

/// A replay in progress. Add the marks first, then the lines of the log from
/// [`Replay::start_position`] on.
#[derive(Debug, Default)]
pub struct Replay {
    checkpoint: Checkpoint,
    /// The other checkpoint, which may know more of some counter.
    other_checkpoint: Option<Checkpoint>,
    marks: Vec<DurableMark>,
    corrupt_marks: u64,
    /// Sequence number of the last record that was read, or of the checkpoint's.
    last_sequence: u64,
    /// Records that neither the log nor a mark had so far.
    gaps: Vec<SequenceRange>,
    /// Records that only marks had.
    records_from_marks: u64,
    suspect: Option<SuspectLine>,
    torn_ends: Vec<LogPosition>,
    issues: Vec<ReplayIssue>,
    fault_count: u64,
}

impl Replay {
    /// Begins with the bytes of the newest and the older checkpoint, as far as there are such
    /// files.
    #[must_use]
    pub fn new(newest: Option<&[u8]>, older: Option<&[u8]>) -> Self {
        let mut replay = Self::default();
        let mut found = vec![];
        for (file, bytes) in [(CHECKPOINT, newest), (OLDER_CHECKPOINT, older)] {
            match bytes.map(Checkpoint::parse) {
                Some(Ok(checkpoint)) => found.push(checkpoint),
                Some(Err(reason)) => replay.report(ReplayIssue::CorruptCheckpoint { file, reason }),
                None => {}
            }
        }
        found.sort_by_key(|checkpoint| checkpoint.last_sequence);
        if let Some(best) = found.pop() {
            replay.last_sequence = best.last_sequence;
            replay.checkpoint = best;
            replay.other_checkpoint = found.pop();
        }
        replay
    }

    /// Where the log has to be read from.
    #[must_use]
    pub const fn start_position(&self) -> LogPosition {
        self.checkpoint.position
    }

    /// Adds a line of the marks. A torn last line is not an issue: its counts were never published.
    pub fn add_mark(&mut self, line: &[u8]) {
        // An empty line separates a mark from a torn one before it.
        if line == b"\n" {
            return;
        }
        match DurableMark::parse(line) {
            Ok(mark) => self.marks.push(mark),
            Err(CorruptRecord::Torn) => {}
            Err(_) => self.corrupt_marks += 1,
        }
    }

    /// Adds a line of the log, with its line end if it has one, and the position where it begins.
    pub fn add_line(&mut self, position: LogPosition, line: &[u8]) {
        if let Some(suspect) = self.suspect.take() {
            // More follows in the same segment: the suspect line is corrupt. Otherwise a write
            // stopped half-way, and the writer went on in a new segment.
            if suspect.position.segment == position.segment {
                self.report_corrupt(suspect);
            } else {
                self.report_torn(suspect);
            }
        }
        match RequestRecord::parse_line(line) {
            Ok((sequence, record)) => {
                self.count_record(sequence, &record);
                let end = LogPosition {
                    segment: position.segment,
                    offset: position.offset + line.len() as u64,
                };
                self.checkpoint.position = self.checkpoint.position.max(end);
            }
            Err(reason) => self.suspect = Some(SuspectLine { position, reason }),
        }
    }

    /// Ends the replay after the last line of the log.
    #[must_use]
    pub fn finish(mut self) -> Recovered {
        if let Some(suspect) = self.suspect.take() {
            self.report_torn(suspect);
        }
        self.join_all_marks();
        if self.corrupt_marks > 0 {
            self.report(ReplayIssue::CorruptMarks {
                count: self.corrupt_marks,
            });
        }
        if let Some(other) = self.other_checkpoint.take() {
            self.checkpoint.counters.join(&other.counters);
            self.checkpoint.boots = self.checkpoint.boots.max(other.boots);
        }
        let lost = total_length(&self.gaps);
        if self.records_from_marks > 0 {
            self.report(ReplayIssue::RecordsInMarksOnly {
                records: self.records_from_marks,
            });
        }
        if lost > 0 {
            self.report(ReplayIssue::RecordsLost { records: lost });
        }
        self.checkpoint.last_sequence = self.last_sequence;
        Recovered {
            checkpoint: self.checkpoint,
            torn_ends: self.torn_ends,
            issues: self.issues,
            fault_count: self.fault_count,
            counts_lost: lost > 0,
        }
    }

    fn count_record(&mut self, sequence: u64, record: &RequestRecord) {
        if sequence <= self.last_sequence {
            return;
        }
        // A mark sets counters to a value, a record adds to them: marks of earlier records have to
        // come first.
        self.join_marks_before(sequence);
        if sequence > self.last_sequence + 1 {
            self.gaps.push(SequenceRange {
                first: self.last_sequence + 1,
                last: sequence - 1,
            });
        }
        self.checkpoint.counters.count(record);
        self.last_sequence = sequence;
    }

    /// Joins the marks that end before a record.
    fn join_marks_before(&mut self, sequence: u64) {
        self.marks.sort_by_key(|mark| mark.last_sequence);
        let ready = self
            .marks
            .partition_point(|mark| mark.last_sequence < sequence);
        self.join_first_marks(ready);
    }

    fn join_all_marks(&mut self) {
        self.marks.sort_by_key(|mark| mark.last_sequence);
        self.join_first_marks(self.marks.len());
    }

    fn join_first_marks(&mut self, count: usize) {
        let marks: Vec<DurableMark> = self.marks.drain(..count).collect();
        for mark in marks {
            // A mark within the checkpoint is joined too: it may count records that the log never
            // had.
            mark.join_into(&mut self.checkpoint.counters);
            if mark.last_sequence > self.last_sequence {
                self.gaps.push(SequenceRange {
                    first: self.last_sequence + 1,
                    last: mark.last_sequence,
                });
                self.last_sequence = mark.last_sequence;
            }
            self.fill_gaps(&mark);
        }
    }

    /// Takes the records that a mark counts out of the gaps.
    fn fill_gaps(&mut self, mark: &DurableMark) {
        let missing_before = total_length(&self.gaps);
        let mut remaining = vec![];
        for gap in self.gaps.drain(..) {
            let before = SequenceRange {
                first: gap.first,
                last: gap.last.min(mark.first_sequence.saturating_sub(1)),
            };
            let after = SequenceRange {
                first: gap.first.max(mark.last_sequence + 1),
                last: gap.last,
            };
            for part in [before, after] {
                if part.first <= part.last {
                    remaining.push(part);
                }
            }
        }
        self.gaps = remaining;
        self.records_from_marks += missing_before - total_length(&self.gaps);
    }

    fn report_corrupt(&mut self, line: SuspectLine) {
        self.report(ReplayIssue::CorruptRecord {
            position: line.position,
            reason: line.reason,
        });
    }

    fn report_torn(&mut self, line: SuspectLine) {
        self.torn_ends.push(line.position);
        self.report(ReplayIssue::TornSegment(line.position));
    }

    fn report(&mut self, issue: ReplayIssue) {
        self.fault_count += 1;
        if self.issues.len() < MAX_REPORTED_ISSUES {
            self.issues.push(issue);
        }
    }
}

fn total_length(ranges: &[SequenceRange]) -> u64 {
    ranges
        .iter()
        .map(|range| range.last - range.first + 1)
        .sum()
}
