//! Marks and checkpoints as bytes. A mark holds the counters that a batch of records changed, with
//! their values after the batch. A checkpoint holds all counters and the position in the request
//! log up to which records are counted. The JSON keys are stored names.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::checksum_line::{ChecksumLine, CorruptRecord};
use crate::counters::{Counter, Counters, RowKey};

/// A position in the request log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Number of the segment, from 1.
    pub segment: u64,
    /// Offset in bytes from the start of the segment.
    pub offset: u64,
}

impl LogPosition {
    /// The position at the start of a segment.
    #[must_use]
    pub const fn start_of(segment: u64) -> Self {
        Self { segment, offset: 0 }
    }
}

/// A range of consecutive sequence numbers; empty if `last` is below `first`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceRange {
    /// The first number.
    pub first: u64,
    /// The last number, inclusive.
    pub last: u64,
}

/// Rows as stored: the nonzero counters by name.
type StoredRows = Vec<(RowKey, BTreeMap<String, u64>)>;

fn stored_rows<'a>(counters: &'a Counters, keys: impl Iterator<Item = &'a RowKey>) -> StoredRows {
    let mut rows = vec![];
    for key in keys {
        let Some(row) = counters.get(key) else {
            continue;
        };
        let named = row.nonzero().map(|(counter, n)| (counter.name(), n));
        rows.push((key.clone(), named.collect()));
    }
    rows
}

/// Raises counters to the stored values. Counters of a later version, whose names are unknown here,
/// are skipped.
fn raise_to_stored(counters: &mut Counters, rows: &StoredRows, unlogged: u64) {
    counters.unlogged = counters.unlogged.max(unlogged);
    for (key, values) in rows {
        for (name, value) in values {
            if let Some(counter) = Counter::from_name(name) {
                counters.raise(key.clone(), counter, *value);
            }
        }
    }
}

/// A mark: the values of the counters that a batch of records changed.
#[derive(Debug, Serialize, Deserialize)]
pub struct DurableMark {
    /// Sequence number of the first record of the batch.
    #[serde(rename = "from")]
    pub first_sequence: u64,
    /// Sequence number of the last record that is counted.
    #[serde(rename = "seq")]
    pub last_sequence: u64,
    #[serde(rename = "missed")]
    unlogged: u64,
    rows: StoredRows,
}

impl DurableMark {
    /// Appends a mark as a line: the batch, and the current values of the rows that it changed.
    pub fn append<'a>(
        out: &mut Vec<u8>,
        batch: SequenceRange,
        counters: &'a Counters,
        changed: impl Iterator<Item = &'a RowKey>,
    ) {
        let mark = Self {
            first_sequence: batch.first,
            last_sequence: batch.last,
            unlogged: counters.unlogged,
            rows: stored_rows(counters, changed),
        };
        ChecksumLine::append(out, &mark);
    }

    /// Parses a line of the marks.
    ///
    /// # Errors
    /// The line is torn, corrupt or of another version.
    pub fn parse(line: &[u8]) -> Result<Self, CorruptRecord> {
        ChecksumLine::parse(line)
    }

    /// Raises the counters to the mark's values.
    pub fn join_into(&self, counters: &mut Counters) {
        raise_to_stored(counters, &self.rows, self.unlogged);
    }
}

/// The state that survives a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Checkpoint {
    /// Sequence number of the last record that is counted.
    pub last_sequence: u64,
    /// Where a replay continues: the position after the last record that is counted.
    pub position: LogPosition,
    /// Number of starts of the gateway: the SNMP engine boots (RFC 3414, section 2.2).
    pub boots: u32,
    /// Start of the period that the counters cover without a gap, as Unix time in milliseconds.
    pub since_ms: u64,
    /// All counters, of every front, class and tenant.
    pub counters: Counters,
}

#[derive(Serialize, Deserialize)]
struct StoredCheckpoint {
    version: u32,
    #[serde(rename = "seq")]
    last_sequence: u64,
    #[serde(rename = "place")]
    position: LogPosition,
    boots: u32,
    since_ms: u64,
    #[serde(rename = "missed")]
    unlogged: u64,
    rows: StoredRows,
}

/// Version of the checkpoint format.
const VERSION: u32 = 1;

impl Checkpoint {
    /// The bytes of the checkpoint file: one line with a checksum.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        let stored = StoredCheckpoint {
            version: VERSION,
            last_sequence: self.last_sequence,
            position: self.position,
            boots: self.boots,
            since_ms: self.since_ms,
            unlogged: self.counters.unlogged,
            rows: stored_rows(&self.counters, self.counters.rows().map(|(key, _)| key)),
        };
        let mut bytes = vec![];
        ChecksumLine::append(&mut bytes, &stored);
        bytes
    }

    /// Parses the bytes of a checkpoint file.
    ///
    /// # Errors
    /// The content is torn, corrupt or of another version.
    pub fn parse(bytes: &[u8]) -> Result<Self, CorruptRecord> {
        let stored: StoredCheckpoint = ChecksumLine::parse(bytes)?;
        if stored.version != VERSION {
            return Err(CorruptRecord::UnknownFormat);
        }
        let mut counters = Counters::default();
        raise_to_stored(&mut counters, &stored.rows, stored.unlogged);
        Ok(Self {
            last_sequence: stored.last_sequence,
            position: stored.position,
            boots: stored.boots,
            since_ms: stored.since_ms,
            counters,
        })
    }
}
