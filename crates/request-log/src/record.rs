//! The record of one request at its final answer, and its line in the request log. The JSON keys
//! are stored names.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::checksum_line::{ChecksumLine, CorruptRecord};
use crate::outcomes::{AttemptOutcome, FinalOutcome};

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The endpoint's name.
    #[serde(rename = "member")]
    pub endpoint: Arc<str>,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from the start of the attempt to its end, in microseconds.
    #[serde(rename = "took_us")]
    pub duration_us: u64,
}

/// A request at its final answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Name of the front that received the request.
    pub front: Arc<str>,
    /// Name of the request class.
    pub class: Arc<str>,
    /// Name of the tenant; `None` if the request names no known tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<Arc<str>>,
    /// Number of the endpoint group.
    pub group: u16,
    /// How the request ended.
    #[serde(flatten)]
    pub outcome: FinalOutcome,
    /// All attempts, oldest first. A served request was served by the last attempt's endpoint.
    pub attempts: Vec<AttemptRecord>,
    /// Time from arrival to the first attempt, or to the final answer if there was no attempt, in
    /// microseconds.
    #[serde(rename = "waited_us")]
    pub queued_us: u64,
    /// Time from arrival to the final answer, in microseconds.
    pub total_us: u64,
}

/// A line of the request log.
#[derive(Debug, Serialize, Deserialize)]
struct LogLine<R> {
    #[serde(rename = "seq")]
    sequence: u64,
    #[serde(rename = "at")]
    unix_ms: u64,
    #[serde(flatten)]
    record: R,
}

impl RequestRecord {
    /// Appends the record as a line of the request log, with its sequence number and the Unix time
    /// of its final answer in milliseconds.
    pub fn append_line(&self, out: &mut Vec<u8>, sequence: u64, unix_ms: u64) {
        let line = LogLine {
            sequence,
            unix_ms,
            record: self,
        };
        ChecksumLine::append(out, &line);
    }

    /// Parses a line of the request log into the sequence number and the record.
    ///
    /// # Errors
    /// The line is torn, corrupt or of another version.
    pub fn parse_line(line: &[u8]) -> Result<(u64, Self), CorruptRecord> {
        let line: LogLine<Self> = ChecksumLine::parse(line)?;
        Ok((line.sequence, line.record))
    }
}
