//! From what a disk holds back to counters: the newest checkpoint that can be read, the records behind it, and the
//! marks, each of which is a lower bound of the truth.

use std::fmt;

use crate::counters::Counters;
use crate::durable::{Checkpoint, DurableMark, LogPosition};
use crate::record::{CorruptRecord, RequestRecord};

/// What was found wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayIssue {
    /// A checkpoint cannot be read.
    Checkpoint(&'static str, CorruptRecord),
    /// Lines of the marks cannot be read, so many.
    Marks(u64),
    /// The end of a segment was cut off in the middle of a record, here.
    Torn(LogPosition),
    /// A record in the middle of the log cannot be read, here.
    Record(LogPosition, CorruptRecord),
    /// Records are missing from the log, so many; whether the marks make up for them.
    Missing {
        /// How many.
        records: u64,
        /// The counters have them all the same.
        made_up: bool,
    },
}

impl fmt::Display for ReplayIssue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Checkpoint(name, why) => write!(f, "the file {name} is spoilt ({why:?})"),
            Self::Marks(n) => write!(f, "{n} marks cannot be read"),
            Self::Torn(at) => write!(f, "segment {} is cut off at byte {}", at.segment, at.offset),
            Self::Record(at, why) => {
                write!(
                    f,
                    "segment {}, byte {}: a record is spoilt ({why:?})",
                    at.segment, at.offset
                )
            }
            Self::Missing {
                records,
                made_up: true,
            } => {
                write!(
                    f,
                    "{records} records are missing from the request log; the marks have their counts"
                )
            }
            Self::Missing {
                records,
                made_up: false,
            } => {
                write!(
                    f,
                    "{records} records are missing, and nothing has their counts: counters start anew"
                )
            }
        }
    }
}

/// Troubles that are told one by one; beyond them they are only counted.
const TOLD: usize = 16;

/// What a replay came to.
#[derive(Debug)]
pub struct Recovered {
    /// Counters, numbers and the place to go on writing at, as a checkpoint.
    pub checkpoint: Checkpoint,
    /// Segments that end in half a record: cut them here.
    pub cuts: Vec<LogPosition>,
    /// What was wrong, the first few.
    pub troubles: Vec<ReplayIssue>,
    /// All that was wrong.
    pub faults: u64,
    /// Counts are lost for good: the counters are below what was shown.
    pub broken: bool,
}

/// A replay under way. Feed it the marks first, then the lines of the log from [`Replay::from`] on.
#[derive(Debug)]
pub struct Replay {
    at: Checkpoint,
    /// The other generation may know more of some counter.
    other: Option<Checkpoint>,
    marks: Vec<DurableMark>,
    spoilt_marks: u64,
    /// The number of the last record that was read, or of the checkpoint's.
    last: u64,
    /// Numbers that are missing, from and to, and how many of them the marks made up for.
    gaps: Vec<(u64, u64)>,
    made_up: u64,
    /// A line that could not be read, whose segment has not gone on yet.
    doubtful: Option<(LogPosition, CorruptRecord)>,
    cuts: Vec<LogPosition>,
    troubles: Vec<ReplayIssue>,
    faults: u64,
}

impl Replay {
    /// Begins with the checkpoint's newest generation and the one before it, as far as there are such files.
    #[must_use]
    pub fn begin(newest: Option<&[u8]>, older: Option<&[u8]>) -> Self {
        let mut replay = Self {
            at: Checkpoint::default(),
            other: None,
            marks: vec![],
            spoilt_marks: 0,
            last: 0,
            gaps: vec![],
            made_up: 0,
            doubtful: None,
            cuts: vec![],
            troubles: vec![],
            faults: 0,
        };
        let mut found = vec![];
        for (name, bytes) in [("checkpoint", newest), ("checkpoint.old", older)] {
            match bytes.map(Checkpoint::read) {
                Some(Ok(checkpoint)) => found.push(checkpoint),
                Some(Err(why)) => replay.trouble(ReplayIssue::Checkpoint(name, why)),
                None => {}
            }
        }
        found.sort_by_key(|c| c.seq);
        if let Some(best) = found.pop() {
            replay.last = best.seq;
            replay.at = best;
            replay.other = found.pop();
        }
        replay
    }

    /// Where the log is to be read from.
    #[must_use]
    pub const fn from(&self) -> LogPosition {
        self.at.place
    }

    /// A line of the marks. A torn one at the end is no trouble: it was never relied on.
    pub fn mark(&mut self, line: &[u8]) {
        // Stands before a mark that may follow half of one.
        if line == b"\n" {
            return;
        }
        match DurableMark::read(line) {
            Ok(mark) => self.marks.push(mark),
            Err(CorruptRecord::Torn) => {}
            Err(_) => self.spoilt_marks += 1,
        }
    }

    /// A line of the log, with its end if it has one, and the place where it begins.
    pub fn line(&mut self, place: LogPosition, line: &[u8]) {
        if let Some((at, why)) = self.doubtful.take() {
            // More came behind it: either the same segment goes on, or it was left for a new one half written.
            self.settle(at, why, at.segment == place.segment);
        }
        match RequestRecord::read(line) {
            Ok((seq, record)) => {
                self.record(seq, &record);
                let end = LogPosition {
                    segment: place.segment,
                    offset: place.offset + line.len() as u64,
                };
                self.at.place = self.at.place.max(end);
            }
            Err(why) => self.doubtful = Some((place, why)),
        }
    }

    fn settle(&mut self, at: LogPosition, why: CorruptRecord, middle: bool) {
        if middle {
            self.trouble(ReplayIssue::Record(at, why));
        } else {
            self.cuts.push(at);
            self.trouble(ReplayIssue::Torn(at));
        }
    }

    fn record(&mut self, seq: u64, record: &RequestRecord) {
        if seq <= self.last {
            return;
        }
        // What the marks say of records before this one comes first: this one then adds to it.
        self.join_marks(Some(seq));
        if seq > self.last + 1 {
            self.gaps.push((self.last + 1, seq - 1));
        }
        self.at.counters.count(record);
        self.last = seq;
    }

    /// Joins the marks that end before a record; all of them without one.
    fn join_marks(&mut self, before: Option<u64>) {
        self.marks.sort_by_key(|m| m.seq);
        let ready = self
            .marks
            .partition_point(|m| before.is_none_or(|seq| m.seq < seq));
        for mark in self.marks.drain(..ready) {
            // Marks up to the checkpoint are in it; a mark may also count what the log never had.
            mark.join_into(&mut self.at.counters);
            if mark.seq > self.last {
                self.gaps.push((self.last + 1, mark.seq));
                self.last = mark.seq;
            }
            // What this mark counts is no longer missing.
            let rest = |(from, to): (u64, u64)| {
                let before = (from, to.min(mark.from.saturating_sub(1)));
                let behind = (from.max(mark.seq + 1), to);
                [before, behind].into_iter().filter(|(from, to)| from <= to)
            };
            let missing = length(&self.gaps);
            self.gaps = self.gaps.drain(..).flat_map(rest).collect();
            self.made_up += missing - length(&self.gaps);
        }
    }

    fn trouble(&mut self, trouble: ReplayIssue) {
        self.faults += 1;
        if self.troubles.len() < TOLD {
            self.troubles.push(trouble);
        }
    }

    /// The end of the log.
    #[must_use]
    pub fn finish(mut self) -> Recovered {
        if let Some((at, why)) = self.doubtful.take() {
            self.settle(at, why, false);
        }
        self.join_marks(None);
        if self.spoilt_marks > 0 {
            let n = self.spoilt_marks;
            self.trouble(ReplayIssue::Marks(n));
        }
        if let Some(other) = self.other.take() {
            self.at.counters.join(&other.counters);
            self.at.boots = self.at.boots.max(other.boots);
        }
        let lost = length(&self.gaps);
        for (records, made_up) in [(self.made_up, true), (lost, false)] {
            if records > 0 {
                self.trouble(ReplayIssue::Missing { records, made_up });
            }
        }
        self.at.seq = self.last;
        Recovered {
            checkpoint: self.at,
            cuts: self.cuts,
            troubles: self.troubles,
            faults: self.faults,
            broken: lost > 0,
        }
    }

    /// The counters so far.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.at.counters
    }
}

fn length(gaps: &[(u64, u64)]) -> u64 {
    gaps.iter().map(|(from, to)| to - from + 1).sum()
}
