//! Outcome counters and the durable request log. One [`RequestRecord`] is written for each final
//! answer; [`Counters`] are the sum of all records and outlive the process.
//!
//! Input: records, bytes found in the state directory, and the time as numbers. Output: lines,
//! marks and checkpoints through a [`LogStorage`], counters that are durable, and events for the
//! program's log. This package has no clock, no thread and no I/O of its own.
//!
//! Counters only grow. Any value read back after a crash is therefore a lower bound, and so is the
//! maximum of two recovered values of a counter: the counters form a join-semilattice (a grow-only
//! counter, or G-counter). Published counts are stored three times: in the request log, in the
//! marks and, later, in a checkpoint. Losing any one of the three loses no count.
//!
//! | module | content |
//! | --- | --- |
//! | [`outcomes`] | how requests and attempts end, with the stored names |
//! | [`record`] | the record of a request and its line in the request log |
//! | [`checksum_line`] | JSON lines that end in their own checksum |
//! | [`counters`] | rows of counters by front, scope and name |
//! | [`durable`] | marks and checkpoints as bytes |
//! | [`replay`] | rebuilds counters from stored bytes |
//! | [`storage`] | the file operations the request log needs |
//! | [`request_log`] | when records, marks and checkpoints are written and counts published |
//! | `file_names` | names of the files in the state directory |
//! | `startup` | reads the state directory when the process starts |
//! | [`events`] | status, and events for the program's log |
//! | [`outcome_metrics`] | metrics of the running process |
//! | [`latency_samples`] | latency quantiles of the last minute |
//!
//! Memory bounds: counters hold one row for each pair of a front and a class or tenant; metrics
//! hold one set of counts for each class; latency samples hold at most the number of rows given to
//! their constructor.

#![forbid(unsafe_code)]

pub mod checksum_line;
pub mod counters;
pub mod durable;
pub mod events;
mod file_names;
pub mod latency_samples;
pub mod outcome_metrics;
pub mod outcomes;
pub mod record;
pub mod replay;
pub mod request_log;
mod startup;
pub mod storage;

pub use checksum_line::{ChecksumLine, CorruptRecord};
pub use counters::{COUNTERS_PER_ROW, Counter, CounterRow, Counters, RowKey, Scope};
pub use durable::{Checkpoint, DurableMark, LogPosition, SequenceRange};
pub use events::{LogEvent, LogStatus};
pub use latency_samples::LatencySamples;
pub use outcome_metrics::OutcomeMetrics;
pub use outcomes::{AttemptOutcome, FailureReason, FinalOutcome, RejectionReason};
pub use record::{AttemptRecord, RequestRecord};
pub use replay::{Recovered, Replay};
pub use request_log::{RequestLog, SegmentLimits};
pub use storage::LogStorage;
