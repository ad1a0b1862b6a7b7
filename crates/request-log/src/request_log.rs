//! The request log: counts and writes records, and publishes counts only once they are durable.
//!
//! Input: records, and calls of [`RequestLog::flush`] and [`RequestLog::checkpoint`] at intervals
//! that the caller chooses. Output: files through a [`LogStorage`], the published counters, the
//! status, and events. It reads no clock and starts no thread. Its memory is the counters and the
//! batch since the last flush.

use std::collections::BTreeSet;
use std::io;

use crate::counters::{Counters, RowKey};
use crate::durable::{Checkpoint, DurableMark, LogPosition, SequenceRange};
use crate::events::{LogEvent, LogStatus};
use crate::file_names::{
    CHECKPOINT, MARKS, NEW_CHECKPOINT, OLDER_CHECKPOINT, OLDER_MARKS, segment, segment_numbers,
};
use crate::record::RequestRecord;
use crate::startup::StoredState;
use crate::storage::LogStorage;

/// Limits on the size of the request log.
#[derive(Clone, Copy, Debug)]
pub struct SegmentLimits {
    /// Size at which a new segment is started, in bytes.
    pub segment_bytes: u64,
    /// Number of segments to keep. Segments that a checkpoint needs are kept in any case.
    pub segments: usize,
}

/// Records counted since the last flush.
#[derive(Default)]
struct PendingBatch {
    records: u64,
    /// The records as lines of the log; empty without storage.
    lines: Vec<u8>,
}

/// The request log and its counters.
pub struct RequestLog<S> {
    storage: Option<S>,
    limits: SegmentLimits,
    /// All counts so far, durable or not.
    counted: Counters,
    /// The durable counts; only these are published.
    durable: Counters,
    /// Rows that changed since the last durable mark.
    changed_rows: BTreeSet<RowKey>,
    /// Sequence number of the first record that the next mark counts.
    mark_from: u64,
    /// Where the next line is written.
    position: LogPosition,
    /// The position of the older checkpoint: a replay may need the log from there on.
    older_checkpoint: LogPosition,
    /// Whether anything changed since the last checkpoint.
    checkpoint_needed: bool,
    /// Whether the marks may end in a torn mark, written by an earlier process or by this one.
    marks_may_be_torn: bool,
    pending: PendingBatch,
    status: LogStatus,
    events: Vec<LogEvent>,
}

/// Treats a missing file as success.
fn ignore_missing(error: io::Error) -> io::Result<()> {
    if error.kind() == io::ErrorKind::NotFound {
        Ok(())
    } else {
        Err(error)
    }
}

/// Writes a new checkpoint. The previous one becomes the older checkpoint, and the marks written
/// since then become the older marks.
fn write_checkpoint(storage: &mut impl LogStorage, checkpoint: &Checkpoint) -> io::Result<()> {
    storage.write(NEW_CHECKPOINT, &checkpoint.bytes())?;
    storage
        .rename(CHECKPOINT, OLDER_CHECKPOINT)
        .or_else(ignore_missing)?;
    storage.rename(NEW_CHECKPOINT, CHECKPOINT)?;
    storage.rename(MARKS, OLDER_MARKS).or_else(ignore_missing)?;
    storage.sync()
}

impl<S: LogStorage> RequestLog<S> {
    /// Creates a log without storage: counts are published at each flush and are lost when the
    /// process ends.
    #[must_use]
    pub fn in_memory(now_ms: u64) -> Self {
        let status = LogStatus {
            since_ms: now_ms,
            boots: 1,
            ..LogStatus::default()
        };
        let limits = SegmentLimits {
            segment_bytes: u64::MAX,
            segments: 1,
        };
        Self::new(None, limits, Checkpoint::default(), status)
    }

    fn new(
        storage: Option<S>,
        limits: SegmentLimits,
        start: Checkpoint,
        status: LogStatus,
    ) -> Self {
        Self {
            storage,
            limits,
            durable: start.counters.clone(),
            counted: start.counters,
            changed_rows: BTreeSet::new(),
            mark_from: start.last_sequence + 1,
            position: start.position,
            older_checkpoint: start.position,
            checkpoint_needed: true,
            marks_may_be_torn: true,
            pending: PendingBatch::default(),
            events: vec![],
            status: LogStatus {
                last_sequence: start.last_sequence,
                segment: start.position.segment,
                ..status
            },
        }
    }

    /// Recovers the counters from storage and continues in a new segment. Faults are reported and
    /// counted, but none prevents the gateway from serving. `now_ms` is Unix time in milliseconds.
    #[must_use]
    pub fn open(mut storage: S, limits: SegmentLimits, now_ms: u64) -> Self {
        let mut stored = StoredState::read(&storage);
        let mut events = vec![];
        for error in std::mem::take(&mut stored.read_errors) {
            events.push(LogEvent::ReadFailed(error));
        }
        for issue in std::mem::take(&mut stored.recovered.issues) {
            events.push(LogEvent::Replay(issue));
        }
        for end in &stored.recovered.torn_ends {
            if let Err(e) = storage.truncate(&segment(end.segment), end.offset) {
                events.push(LogEvent::TruncateFailed {
                    segment: end.segment,
                    error: e.to_string(),
                });
            }
        }
        let boots = stored.next_boots(now_ms);
        let position = stored.next_position();
        let recovered = stored.recovered;
        let mut start = recovered.checkpoint;
        start.boots = boots;
        start.position = position;
        if start.since_ms == 0 || recovered.counts_lost {
            start.since_ms = now_ms;
        }
        events.push(LogEvent::Opened {
            boots,
            records: start.last_sequence,
            faults: recovered.fault_count,
        });
        let status = LogStatus {
            durable: true,
            since_ms: start.since_ms,
            boots,
            fault_count: recovered.fault_count,
            ..LogStatus::default()
        };
        let mut log = Self::new(Some(storage), limits, start, status);
        log.events = events;
        log.checkpoint();
        log
    }

    /// Counts a record, which the next flush writes. `unix_ms` is the Unix time of the final
    /// answer, in milliseconds.
    pub fn record(&mut self, record: &RequestRecord, unix_ms: u64) {
        self.status.last_sequence += 1;
        self.pending.records += 1;
        self.changed_rows.extend(Counters::row_keys(record));
        self.counted.count(record);
        if self.storage.is_some() {
            let sequence = self.status.last_sequence;
            record.append_line(&mut self.pending.lines, sequence, unix_ms);
        }
    }

    /// Adds counts of records that were counted elsewhere and are not written to the log.
    pub fn add_unlogged(&mut self, counts: &Counters) {
        let keys = counts.rows().map(|(key, _)| key.clone());
        self.changed_rows.extend(keys);
        self.counted.add(counts);
        self.checkpoint_needed = true;
    }

    /// Makes the counts since the last flush durable, then publishes them.
    ///
    /// Lines that cannot be written are missing from the request log and counted as unlogged.
    /// Counts are not lost: the next flush writes them again.
    pub fn flush(&mut self) {
        let batch = std::mem::take(&mut self.pending);
        if self.storage.is_none() {
            self.status.records_written += batch.records;
            self.publish();
            return;
        }
        let unlogged_changed = self.counted.unlogged != self.durable.unlogged;
        if batch.records == 0 && self.changed_rows.is_empty() && !unlogged_changed {
            return;
        }
        self.checkpoint_needed = true;
        let record_fault = self.write_records(&batch);
        let mark_fault = self.write_mark();
        self.status.segment = self.position.segment;
        let fault = mark_fault.or(record_fault);
        let failed = fault.is_some();
        self.set_fault(fault);
        if failed || self.position.offset >= self.limits.segment_bytes {
            self.checkpoint();
        }
    }

    /// Appends the lines of a batch to the segment. Returns the fault if the write failed.
    fn write_records(&mut self, batch: &PendingBatch) -> Option<String> {
        let storage = self.storage.as_mut()?;
        if batch.records == 0 {
            return None;
        }
        let file = segment(self.position.segment);
        let length = batch.lines.len() as u64;
        let Err(e) = storage.append(&file, &batch.lines) else {
            self.position.offset += length;
            self.status.records_written += batch.records;
            self.status.bytes_written += length;
            return None;
        };
        self.counted.unlogged += batch.records;
        // A part of the batch may have been written. A batch appended after it would begin in the
        // middle of a line, and the replay would find a corrupt record. The next batch is written
        // to a new segment, so a failed truncation is harmless: the replay finds a torn end.
        let _ = storage.truncate(&file, self.position.offset);
        self.position = LogPosition::start_of(self.position.segment + 1);
        Some(format!("the request log cannot be written: {e}"))
    }

    /// Appends a mark with the changed rows, and publishes. Returns the fault if the write failed.
    fn write_mark(&mut self) -> Option<String> {
        let storage = self.storage.as_mut()?;
        let mut line = vec![];
        // A mark appended to a torn mark could not be parsed, and published counts would be lost.
        // The line feed ends the torn mark; the replay skips empty lines.
        if self.marks_may_be_torn {
            line.push(b'\n');
        }
        let batch = SequenceRange {
            first: self.mark_from,
            last: self.status.last_sequence,
        };
        DurableMark::append(&mut line, batch, &self.counted, self.changed_rows.iter());
        match storage.append(MARKS, &line) {
            Ok(()) => {
                self.marks_may_be_torn = false;
                self.publish();
                None
            }
            Err(e) => {
                self.marks_may_be_torn = true;
                Some(format!("marks cannot be written: {e}"))
            }
        }
    }

    /// Publishes all counts, which are durable now.
    fn publish(&mut self) {
        self.durable = self.counted.clone();
        self.changed_rows.clear();
        self.mark_from = self.status.last_sequence + 1;
    }

    /// Sets or clears the current fault. The start and the end of a fault are reported once each.
    fn set_fault(&mut self, fault: Option<String>) {
        match (&fault, &self.status.fault) {
            (Some(fault), None) => self.events.push(LogEvent::WritesFailing(fault.clone())),
            (None, Some(_)) => self.events.push(LogEvent::WritesRecovered),
            _ => {}
        }
        self.status.fault_count += u64::from(fault.is_some());
        self.status.fault = fault;
    }

    /// Writes all counters if they changed since the last checkpoint. A replay from this checkpoint
    /// needs only the part of the log after it.
    pub fn checkpoint(&mut self) {
        if !std::mem::take(&mut self.checkpoint_needed) {
            return;
        }
        if self.position.offset >= self.limits.segment_bytes {
            self.position = LogPosition::start_of(self.position.segment + 1);
            self.status.segment = self.position.segment;
        }
        let Some(storage) = &mut self.storage else {
            return;
        };
        let checkpoint = Checkpoint {
            last_sequence: self.status.last_sequence,
            position: self.position,
            boots: self.status.boots,
            since_ms: self.status.since_ms,
            counters: self.counted.clone(),
        };
        match write_checkpoint(storage, &checkpoint) {
            Ok(()) => {
                self.status.checkpoints_written += 1;
                self.publish();
                let older = std::mem::replace(&mut self.older_checkpoint, self.position);
                self.remove_segments_before(older.segment);
                self.set_fault(None);
            }
            Err(e) => {
                self.checkpoint_needed = true;
                self.set_fault(Some(format!("a checkpoint cannot be written: {e}")));
            }
        }
    }

    /// Removes the oldest segments beyond the limit, except those from number `needed` on, which a
    /// checkpoint needs.
    fn remove_segments_before(&mut self, needed: u64) {
        let Some(storage) = &mut self.storage else {
            return;
        };
        let Ok(names) = storage.list() else { return };
        let numbers = segment_numbers(&names);
        let excess = numbers.len().saturating_sub(self.limits.segments);
        for number in numbers.into_iter().take(excess) {
            if number >= needed {
                continue;
            }
            let file = segment(number);
            if let Err(e) = storage.remove(&file) {
                let error = e.to_string();
                self.events.push(LogEvent::RemoveFailed { file, error });
            }
        }
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<LogEvent> {
        std::mem::take(&mut self.events)
    }

    /// The counters that may be published: all their counts are durable, or there is no storage.
    #[must_use]
    pub const fn durable_counters(&self) -> &Counters {
        &self.durable
    }

    /// The status of the log, including the current fault.
    #[must_use]
    pub const fn status(&self) -> &LogStatus {
        &self.status
    }
}
