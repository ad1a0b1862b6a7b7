//! Marks and checkpoints as bytes. A mark says the counters that a batch of records touched, as they stand after it; a
//! checkpoint says all of them, and the place in the request log up to which they count.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::counters::{Counter, Counters, RowKey};
use crate::record::{ChecksumLine, CorruptRecord};

/// A place in the request log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The number of the segment, from 1.
    pub segment: u64,
    /// Bytes into it.
    pub offset: u64,
}

/// Rows as they are written: only counters that are not 0, by name.
type Rows = Vec<(RowKey, BTreeMap<String, u64>)>;

fn rows<'a>(counters: &'a Counters, keys: impl Iterator<Item = &'a RowKey>) -> Rows {
    let named = |key: &RowKey| {
        let row = counters.get(key)?;
        Some((
            key.clone(),
            row.some().map(|(cell, n)| (cell.name(), n)).collect(),
        ))
    };
    keys.filter_map(named).collect()
}

/// Counters of a later version that this one does not know are left out: they are lost to this version only.
fn restore(rows: &Rows, missed: u64, into: &mut Counters) {
    into.missed = into.missed.max(missed);
    for (key, cells) in rows {
        for (name, n) in cells {
            if let Some(cell) = Counter::named(name) {
                into.raise(key.clone(), cell, *n);
            }
        }
    }
}

/// What a batch of records came to.
#[derive(Debug, Serialize, Deserialize)]
pub struct DurableMark {
    /// The first record of its batch.
    pub from: u64,
    /// The last record that it counts.
    pub seq: u64,
    missed: u64,
    rows: Rows,
}

impl DurableMark {
    /// Appends a mark as a line: of the records from and to these numbers.
    pub fn put<'a>(
        out: &mut Vec<u8>,
        (from, seq): (u64, u64),
        counters: &'a Counters,
        touched: impl Iterator<Item = &'a RowKey>,
    ) {
        ChecksumLine::put(
            out,
            &Self {
                from,
                seq,
                missed: counters.missed,
                rows: rows(counters, touched),
            },
        );
    }

    /// Reads a line.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn read(line: &[u8]) -> Result<Self, CorruptRecord> {
        ChecksumLine::open(line)
    }

    /// Raises the counters to what the mark says.
    pub fn join_into(&self, counters: &mut Counters) {
        restore(&self.rows, self.missed, counters);
    }
}

/// All that outlives the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Checkpoint {
    /// The last record that it counts.
    pub seq: u64,
    /// Where the record after that one begins.
    pub place: LogPosition,
    /// Starts of the program so far: SNMP's engine boots (RFC 3414, section 2.2).
    pub boots: u32,
    /// Since when the counters are without a break, in Unix milliseconds.
    pub since_ms: u64,
    /// The counters.
    pub counters: Counters,
}

#[derive(Serialize, Deserialize)]
struct Written {
    version: u32,
    seq: u64,
    place: LogPosition,
    boots: u32,
    since_ms: u64,
    missed: u64,
    rows: Rows,
}

/// The version of the checkpoint's form.
const VERSION: u32 = 1;

impl Checkpoint {
    /// Its bytes: one sealed line.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        let Self {
            seq,
            place,
            boots,
            since_ms,
            counters,
        } = self;
        let mut out = vec![];
        let rows = rows(counters, counters.rows().map(|(key, _)| key));
        let (seq, place, boots, since_ms, missed) =
            (*seq, *place, *boots, *since_ms, counters.missed);
        ChecksumLine::put(
            &mut out,
            &Written {
                version: VERSION,
                seq,
                place,
                boots,
                since_ms,
                missed,
                rows,
            },
        );
        out
    }

    /// Reads the bytes.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn read(bytes: &[u8]) -> Result<Self, CorruptRecord> {
        let written: Written = ChecksumLine::open(bytes)?;
        if written.version != VERSION {
            return Err(CorruptRecord::Unreadable);
        }
        let Written {
            seq,
            place,
            boots,
            since_ms,
            missed,
            rows,
            ..
        } = written;
        let mut counters = Counters::default();
        restore(&rows, missed, &mut counters);
        Ok(Self {
            seq,
            place,
            boots,
            since_ms,
            counters,
        })
    }
}
