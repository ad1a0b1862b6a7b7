//! Reads the state directory when the process starts: checkpoints, marks and segments, in the order
//! that [`Replay`] needs.

use std::io;

use crate::durable::LogPosition;
use crate::file_names::{
    CHECKPOINT, LOCK, MARKS, OLDER_CHECKPOINT, OLDER_MARKS, segment, segment_numbers,
};
use crate::replay::{Recovered, Replay};
use crate::storage::LogStorage;

/// 2020-01-01T00:00:00Z as Unix time in milliseconds.
const BOOTS_EPOCH_MS: u64 = 1_577_836_800_000;
const MS_PER_MINUTE: u64 = 60_000;
/// The largest number of engine boots (RFC 3414, section 2.2.2).
const MAX_BOOTS: u32 = 2_147_483_647;

/// The content of the state directory.
pub(crate) struct StoredState {
    /// Names of all files.
    pub(crate) names: Vec<String>,
    /// The result of the replay of the files.
    pub(crate) recovered: Recovered,
    /// Errors from listing and reading files; each is also counted in `recovered.fault_count`.
    pub(crate) read_errors: Vec<String>,
    /// Whether the files could be listed.
    listed: bool,
}

impl StoredState {
    /// Reads all files; files that cannot be read are reported and skipped.
    pub(crate) fn read(storage: &impl LogStorage) -> Self {
        let mut read_errors = vec![];
        let (names, listed) = match storage.list() {
            Ok(names) => (names, true),
            Err(e) => {
                read_errors.push(e.to_string());
                (vec![], false)
            }
        };
        let mut recovered = replay(storage, &names, &mut read_errors);
        recovered.fault_count += read_errors.len() as u64;
        Self {
            names,
            recovered,
            read_errors,
            listed,
        }
    }

    /// The number of this start of the gateway, for the SNMP engine boots.
    ///
    /// SNMP managers reject an agent whose engine boots decreased. If the count was lost, the
    /// number of minutes since 2020 replaces it: a gateway starts less than once a minute over its
    /// lifetime, so this number is higher than the lost count.
    pub(crate) fn next_boots(&self, now_ms: u64) -> u32 {
        let stored = self.recovered.checkpoint.boots;
        let was_used = !self.listed || self.names.iter().any(|name| name != LOCK);
        let boots = if stored == 0 && was_used {
            let minutes = now_ms.saturating_sub(BOOTS_EPOCH_MS) / MS_PER_MINUTE;
            u32::try_from(minutes).unwrap_or(MAX_BOOTS)
        } else {
            stored
        };
        (boots + 1).min(MAX_BOOTS)
    }

    /// The start of the next segment, which no process has written to.
    pub(crate) fn next_position(&self) -> LogPosition {
        let last_file = segment_numbers(&self.names).last().copied().unwrap_or(0);
        let last = last_file.max(self.recovered.checkpoint.position.segment);
        LogPosition::start_of(last + 1)
    }
}

/// Reads a file; a missing file is not an error.
fn read_file(
    storage: &impl LogStorage,
    name: &str,
    read_errors: &mut Vec<String>,
) -> Option<Vec<u8>> {
    match storage.read(name) {
        Ok(bytes) => Some(bytes),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => {
            read_errors.push(format!("{name}: {e}"));
            None
        }
    }
}

fn replay(storage: &impl LogStorage, names: &[String], read_errors: &mut Vec<String>) -> Recovered {
    let newest = read_file(storage, CHECKPOINT, read_errors);
    let older = read_file(storage, OLDER_CHECKPOINT, read_errors);
    let mut replay = Replay::new(newest.as_deref(), older.as_deref());
    for name in [OLDER_MARKS, MARKS] {
        let bytes = read_file(storage, name, read_errors).unwrap_or_default();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            replay.add_mark(line);
        }
    }
    let start = replay.start_position();
    for number in segment_numbers(names) {
        if number < start.segment {
            continue;
        }
        let bytes = read_file(storage, &segment(number), read_errors).unwrap_or_default();
        let mut position = LogPosition::start_of(number);
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            if position >= start {
                replay.add_line(position, line);
            }
            position.offset += line.len() as u64;
        }
    }
    replay.finish()
}
