//! The ledger: what is counted, what of that is durable, and what is written when. It reads no clock and starts no thread.

use std::collections::BTreeSet;
use std::io;

use crate::counters::{Counters, RowKey};
use crate::durable::{Checkpoint, DurableMark, LogPosition};
use crate::record::RequestRecord;
use crate::replay::{Recovered, Replay};

/// Files by name, as the ledger needs them. What a call has done is durable when it returns, but for
/// [`LogStorage::rename`] and [`LogStorage::remove`], which [`LogStorage::sync`] makes so. The ledger does no I/O but through this.
pub trait LogStorage: Send {
    /// All names.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Writes a whole file anew.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Appends to a file, which is made if it is not there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file.
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Puts a file in the place of another.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Takes a file away; that it is not there is no fault.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the names durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// Something that whoever reads the log should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// It is a trouble, or the end of one.
    pub trouble: bool,
    /// In words.
    pub text: String,
}

const NEWEST: &str = "checkpoint";
const OLDER: &str = "checkpoint.old";
const ASIDE: &str = "checkpoint.new";
const MARKS: &str = "marks.log";
const OLD_MARKS: &str = "marks.old";

/// 2020-01-01 in Unix milliseconds: where engine boots that were lost go on from.
const LONG_AGO: u64 = 1_577_836_800_000;
/// The most that engine boots may be (RFC 3414, section 2.2.2).
const MOST_BOOTS: u32 = 2_147_483_647;

/// How much is kept.
#[derive(Clone, Copy, Debug)]
pub struct SegmentLimits {
    /// Bytes of a segment from which the next one begins.
    pub segment_bytes: u64,
    /// Segments that are kept.
    pub segments: usize,
}

/// How the ledger does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogStatus {
    /// There is a folder.
    pub durable: bool,
    /// Since when the counters are without a break, in Unix milliseconds.
    pub since_ms: u64,
    /// Starts of the program, this one included.
    pub boots: u32,
    /// Records written by this process, and bytes of them.
    pub written: u64,
    /// Bytes of the request log written by this process.
    pub bytes: u64,
    /// The number of the last record.
    pub seq: u64,
    /// The segment that is written to.
    pub segment: u64,
    /// Checkpoints written by this process.
    pub checkpoints: u64,
    /// Things that were found wrong at the start or went wrong since.
    pub faults: u64,
    /// What is wrong now.
    pub trouble: Option<String>,
}

/// Counts, writes, and knows what of that is durable.
pub struct RequestLog<F> {
    folder: Option<F>,
    sizes: SegmentLimits,
    /// All that was counted.
    live: Counters,
    /// What of that is durable: nothing else is shown.
    shown: Counters,
    /// Rows that changed since the last mark that is durable, and the first record that it will count.
    touched: BTreeSet<RowKey>,
    from: u64,
    place: LogPosition,
    /// The place that the older checkpoint's generation counts up to.
    older: LogPosition,
    /// Something changed since the last checkpoint.
    stale: bool,
    /// Half a mark may stand at the end of the file of marks, of an earlier process or of this one.
    marks_may_be_torn: bool,
    lines: Vec<u8>,
    pending: u64,
    status: LogStatus,
    notes: Vec<Note>,
}

fn segment(number: u64) -> String {
    format!("requests-{number:08}.log")
}

/// The numbers of the segments that there are, in their order.
fn segments(names: &[String]) -> Vec<u64> {
    let number = |name: &String| {
        name.strip_prefix("requests-")?
            .strip_suffix(".log")?
            .parse()
            .ok()
    };
    let mut all: Vec<u64> = names.iter().filter_map(number).collect();
    all.sort_unstable();
    all
}

/// Reads all that a folder holds.
fn replay(folder: &impl LogStorage, names: &[String]) -> (Recovered, Vec<String>) {
    let mut unread = vec![];
    let mut read = |name: &str| match folder.read(name) {
        Ok(bytes) => Some(bytes),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => {
            unread.push(format!("{name}: {e}"));
            None
        }
    };
    let mut replay = Replay::begin(read(NEWEST).as_deref(), read(OLDER).as_deref());
    for name in [OLD_MARKS, MARKS] {
        let bytes = read(name).unwrap_or_default();
        bytes
            .split_inclusive(|b| *b == b'\n')
            .for_each(|line| replay.mark(line));
    }
    let from = replay.from();
    for number in segments(names).into_iter().filter(|n| *n >= from.segment) {
        let bytes = read(&segment(number)).unwrap_or_default();
        let mut place = LogPosition {
            segment: number,
            offset: 0,
        };
        for line in bytes.split_inclusive(|b| *b == b'\n') {
            if place >= from {
                replay.line(place, line);
            }
            place.offset += line.len() as u64;
        }
    }
    (replay.finish(), unread)
}

impl<F: LogStorage> RequestLog<F> {
    /// One that keeps nothing: all that is counted is shown.
    #[must_use]
    pub fn fleeting(now_ms: u64) -> Self {
        let status = LogStatus {
            since_ms: now_ms,
            boots: 1,
            ..LogStatus::default()
        };
        let sizes = SegmentLimits {
            segment_bytes: u64::MAX,
            segments: 1,
        };
        Self::with(None, sizes, Checkpoint::default(), status)
    }

    fn with(folder: Option<F>, sizes: SegmentLimits, at: Checkpoint, status: LogStatus) -> Self {
        Self {
            folder,
            sizes,
            shown: at.counters.clone(),
            live: at.counters,
            touched: BTreeSet::new(),
            from: at.seq + 1,
            place: at.place,
            older: at.place,
            stale: true,
            marks_may_be_torn: true,
            lines: vec![],
            pending: 0,
            notes: vec![],
            status: LogStatus {
                seq: at.seq,
                segment: at.place.segment,
                ..status
            },
        }
    }

    /// Takes up what a folder holds, and begins a new segment. What is wrong is logged and counted; it never keeps the
    /// gateway from serving.
    #[must_use]
    pub fn open(mut folder: F, sizes: SegmentLimits, now_ms: u64) -> Self {
        let (names, unlisted) = match folder.list() {
            Ok(names) => (names, None),
            Err(e) => (vec![], Some(e.to_string())),
        };
        let (mut back, unread) = replay(&folder, &names);
        let mut notes = vec![];
        let mut warn = |text: String| {
            notes.push(Note {
                trouble: true,
                text,
            })
        };
        for what in unlisted.iter().chain(&unread) {
            back.faults += 1;
            warn(what.clone());
        }
        back.troubles
            .iter()
            .for_each(|trouble| warn(trouble.to_string()));
        for cut in &back.cuts {
            if let Err(e) = folder.cut(&segment(cut.segment), cut.offset) {
                warn(format!(
                    "segment {} stays torn at its end: {e}",
                    cut.segment
                ));
            }
        }
        let at = &mut back.checkpoint;
        let some = names.iter().any(|n| n != "lock") || unlisted.is_some();
        // Boots that were lost go on from a number that is surely beyond them: the minutes since 2020.
        let boots = if at.boots == 0 && some {
            u32::try_from(now_ms.saturating_sub(LONG_AGO) / 60_000).unwrap_or(MOST_BOOTS)
        } else {
            at.boots
        };
        at.boots = (boots + 1).min(MOST_BOOTS);
        if at.since_ms == 0 || back.broken {
            at.since_ms = now_ms;
        }
        let last = segments(&names)
            .last()
            .copied()
            .unwrap_or(0)
            .max(at.place.segment);
        at.place = LogPosition {
            segment: last + 1,
            offset: 0,
        };
        let text = format!(
            "start {}, {} records so far, {} faults",
            at.boots, at.seq, back.faults
        );
        notes.push(Note {
            trouble: false,
            text,
        });
        let (since_ms, boots, faults) = (at.since_ms, at.boots, back.faults);
        let status = LogStatus {
            durable: true,
            since_ms,
            boots,
            faults,
            ..LogStatus::default()
        };
        let mut request_log = Self::with(Some(folder), sizes, back.checkpoint, status);
        request_log.notes = notes;
        request_log.checkpoint();
        request_log
    }

    /// Counts a record; it is written with the next batch.
    pub fn record(&mut self, record: &RequestRecord, unix_ms: u64) {
        self.status.seq += 1;
        self.pending += 1;
        self.touched.extend(Counters::keys(record));
        self.live.count(record);
        if self.folder.is_some() {
            record.put(&mut self.lines, self.status.seq, unix_ms);
        }
    }

    /// Counts what was counted elsewhere, of which there are no records.
    pub fn missed(&mut self, counted: &Counters) {
        self.touched
            .extend(counted.rows().map(|(key, _)| key.clone()));
        self.live.add(counted);
        self.stale = true;
    }

    /// Makes durable what was counted since the last batch, and shows it then. After a failure it is tried again with
    /// the next batch: lines that could not be written are lost to the request log and counted as missed, counts are not.
    pub fn flush(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        let lines = std::mem::take(&mut self.lines);
        let Some(folder) = &mut self.folder else {
            self.status.written += pending;
            self.shown = self.live.clone();
            self.touched.clear();
            return;
        };
        if pending == 0 && self.touched.is_empty() && self.live.missed == self.shown.missed {
            return;
        }
        self.stale = true;
        let mut trouble = None;
        if pending > 0 {
            match folder.append(&segment(self.place.segment), &lines) {
                Ok(()) => {
                    self.place.offset += lines.len() as u64;
                    self.status.written += pending;
                    self.status.bytes += lines.len() as u64;
                }
                Err(e) => {
                    trouble = Some(format!("the request log cannot be written: {e}"));
                    self.live.missed += pending;
                    // Half a batch may be there: the next one must not be appended to it.
                    let _ = folder.cut(&segment(self.place.segment), self.place.offset);
                    self.place = LogPosition {
                        segment: self.place.segment + 1,
                        offset: 0,
                    };
                }
            }
        }
        // A mark that was written half must not spoil this one: it gets a line of its own.
        let mut mark = if self.marks_may_be_torn {
            b"\n".to_vec()
        } else {
            vec![]
        };
        DurableMark::put(
            &mut mark,
            (self.from, self.status.seq),
            &self.live,
            self.touched.iter(),
        );
        match folder.append(MARKS, &mark) {
            Ok(()) => {
                self.marks_may_be_torn = false;
                self.shown = self.live.clone();
                self.touched.clear();
                self.from = self.status.seq + 1;
            }
            Err(e) => {
                self.marks_may_be_torn = true;
                trouble = Some(format!("marks cannot be written: {e}"));
            }
        }
        self.status.segment = self.place.segment;
        let failed = trouble.is_some();
        self.troubled(trouble);
        if failed || self.place.offset >= self.sizes.segment_bytes {
            self.checkpoint();
        }
    }

    /// Says once that there is trouble, and once that it is over.
    fn troubled(&mut self, trouble: Option<String>) {
        match (&trouble, &self.status.trouble) {
            (Some(what), None) => {
                let text =
                    format!("{what}; counters go on, and stay as they are shown until it is over");
                self.notes.push(Note {
                    trouble: true,
                    text,
                });
            }
            (None, Some(_)) => self.notes.push(Note {
                trouble: false,
                text: "all is written again".into(),
            }),
            _ => {}
        }
        self.status.faults += u64::from(trouble.is_some());
        self.status.trouble = trouble;
    }

    /// Writes all counters, so that the log need be read from here on only.
    pub fn checkpoint(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        if self.place.offset >= self.sizes.segment_bytes {
            self.place = LogPosition {
                segment: self.place.segment + 1,
                offset: 0,
            };
            self.status.segment = self.place.segment;
        }
        let Some(folder) = &mut self.folder else {
            return;
        };
        let checkpoint = Checkpoint {
            seq: self.status.seq,
            place: self.place,
            boots: self.status.boots,
            since_ms: self.status.since_ms,
            counters: self.live.clone(),
        };
        let mut written = || {
            folder.write(ASIDE, &checkpoint.bytes())?;
            let there = |e: io::Error| {
                if e.kind() == io::ErrorKind::NotFound {
                    Ok(())
                } else {
                    Err(e)
                }
            };
            folder.rename(NEWEST, OLDER).or_else(there)?;
            folder.rename(ASIDE, NEWEST)?;
            // What the marks say up to here is in the checkpoint; those since the older one are kept with it.
            folder.rename(MARKS, OLD_MARKS).or_else(there)?;
            folder.sync()
        };
        match written() {
            Ok(()) => {
                self.status.checkpoints += 1;
                self.shown = self.live.clone();
                self.touched.clear();
                self.from = self.status.seq + 1;
                let older = std::mem::replace(&mut self.older, self.place);
                self.drop_segments(older.segment);
                self.troubled(None);
            }
            Err(e) => {
                self.stale = true;
                self.troubled(Some(format!("a checkpoint cannot be written: {e}")));
            }
        }
    }

    /// Takes away the oldest segments beyond what is kept, none that a checkpoint still counts on.
    fn drop_segments(&mut self, needed: u64) {
        let Some(folder) = &mut self.folder else {
            return;
        };
        let Ok(names) = folder.list() else { return };
        let all = segments(&names);
        let spare = all.len().saturating_sub(self.sizes.segments);
        for number in all.into_iter().take(spare).filter(|n| *n < needed) {
            if let Err(e) = folder.remove(&segment(number)) {
                let text = format!("{} cannot be taken away: {e}", segment(number));
                self.notes.push(Note {
                    trouble: true,
                    text,
                });
            }
        }
    }

    /// What the log should be told since this was asked last.
    pub fn notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// What may be shown.
    #[must_use]
    pub const fn shown(&self) -> &Counters {
        &self.shown
    }

    /// How it does.
    #[must_use]
    pub const fn status(&self) -> &LogStatus {
        &self.status
    }
}
