//! Rebuilds counters from stored bytes: the newest checkpoint that can be read, the records after
//! it, and the marks. Each of them gives a lower bound of the counters.
//!
//! Input: both checkpoints, then the lines of the marks, then the lines of the log in order.
//! Output: [`Recovered`]. Memory holds the marks since the older checkpoint and at most
//! [`MAX_REPORTED_ISSUES`] issues.

use std::fmt;

use crate::checksum_line::CorruptRecord;
use crate::durable::{Checkpoint, DurableMark, LogPosition, SequenceRange};
use crate::file_names::{CHECKPOINT, OLDER_CHECKPOINT};
use crate::record::RequestRecord;

/// A fault in the stored data.
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
        /// Number of corrupt lines.
        count: u64,
    },
    /// A segment ends in a torn record, which begins at this position.
    TornSegment(LogPosition),
    /// A record in the middle of the log cannot be read.
    CorruptRecord {
        /// Where the record begins.
        position: LogPosition,
        /// Why it cannot be used.
        reason: CorruptRecord,
    },
    /// Records are missing from the log, but the marks include their counts.
    RecordsInMarksOnly {
        /// Number of missing records.
        records: u64,
    },
    /// Records are missing from the log and the marks: their counts are lost, and the period that
    /// the counters cover starts anew.
    RecordsLost {
        /// Number of lost records.
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
                "{records} records are missing, their counts are lost, the counting period restarts"
            ),
        }
    }
}

/// Maximum number of issues that are reported one by one; further issues are only counted.
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
    /// Number of issues, including those not in `issues`.
    pub fault_count: u64,
    /// Whether counts are lost: the counters may be lower than those published.
    pub counts_lost: bool,
}

/// A line that could not be parsed. Whether it is torn or corrupt depends on the next line.
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
    /// The other checkpoint, in which some counters may be higher.
    other_checkpoint: Option<Checkpoint>,
    marks: Vec<DurableMark>,
    corrupt_marks: u64,
    /// Sequence number of the last record known from the checkpoint, the log or a mark.
    last_sequence: u64,
    /// Records found so far neither in the log nor in a mark.
    gaps: Vec<SequenceRange>,
    /// Number of records found only in marks.
    records_from_marks: u64,
    suspect: Option<SuspectLine>,
    torn_ends: Vec<LogPosition>,
    issues: Vec<ReplayIssue>,
    fault_count: u64,
}

impl Replay {
    /// Starts a replay from the bytes of the newest and the older checkpoint; `None` for a missing
    /// file.
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

    /// The position from which the log has to be read.
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

    /// Adds a line of the log, including its line feed if it has one, and its position.
    pub fn add_line(&mut self, position: LogPosition, line: &[u8]) {
        if let Some(suspect) = self.suspect.take() {
            // If more lines follow in the same segment, the suspect line is corrupt. Otherwise a
            // write was interrupted, and the writer continued in a new segment.
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
        // A mark raises counters to a value, a record adds to them: marks of earlier records have
        // to be applied first.
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
            // A mark that the checkpoint covers is joined too: it may count records that were never
            // written to the log.
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

    /// Removes the records that a mark counts from the gaps.
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
            for remainder in [before, after] {
                if remainder.first <= remainder.last {
                    remaining.push(remainder);
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
