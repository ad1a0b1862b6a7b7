//! The status of the request log, and its events for the gateway's log.

use crate::replay::ReplayIssue;

/// The status of the request log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogStatus {
    /// Whether counters survive a restart, which requires a state directory.
    pub durable: bool,
    /// Start of the period that the counters cover without a gap, as Unix time in milliseconds.
    pub since_ms: u64,
    /// Number of starts of the gateway, including the current one; SNMP reports it as the engine
    /// boots.
    pub boots: u32,
    /// Records written by this process.
    pub records_written: u64,
    /// Bytes of the request log written by this process.
    pub bytes_written: u64,
    /// Sequence number of the last record.
    pub last_sequence: u64,
    /// Number of the segment that records are appended to.
    pub segment: u64,
    /// Checkpoints written by this process.
    pub checkpoints_written: u64,
    /// Faults found when the log was opened, plus failed writes since then.
    pub fault_count: u64,
    /// The current fault, as text for operators; `None` while writes succeed.
    pub fault: Option<String>,
}

/// An event for the gateway's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The log was opened.
    Opened {
        /// Number of starts of the gateway, including the current one.
        boots: u32,
        /// Records counted so far.
        records: u64,
        /// Faults found in the state directory.
        faults: u64,
    },
    /// The state directory or one of its files could not be read.
    ReadFailed(String),
    /// Stored data is damaged.
    Replay(ReplayIssue),
    /// A segment that ends in a torn record could not be truncated.
    TruncateFailed {
        /// The segment's number.
        segment: u64,
        /// The error of the file system.
        error: String,
    },
    /// Writes began to fail, with this fault. Counting continues in memory; published counters do
    /// not change.
    WritesFailing(String),
    /// Writes succeed again.
    WritesRecovered,
    /// An old segment could not be removed.
    RemoveFailed {
        /// The file's name.
        file: String,
        /// The error of the file system.
        error: String,
    },
}

impl LogEvent {
    /// Whether the event reports a fault.
    #[must_use]
    pub const fn is_fault(&self) -> bool {
        !matches!(self, Self::Opened { .. } | Self::WritesRecovered)
    }
}
