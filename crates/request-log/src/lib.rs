//! Accounting: one [`RequestRecord`] for each final answer, [`Counters`] that are nothing but the sum of the records, and
//! the pure part of keeping them: lines of the request log, marks, checkpoints and their [`Replay`] after a crash.
//!
//! Every counter only grows, so whatever is found on a disk after a crash is a lower bound of the truth, and the
//! cell-wise maximum of any two findings is one too: counters form a join-semilattice (a grow-only counter). What a
//! reader was shown is kept three times over: in the request log, in the marks and, soon, in a checkpoint. Losing
//! any one of them loses no count.
//!
//! | module | holds |
//! | --- | --- |
//! | [`record`] | the record, its reasons and outcomes, its line in the request log |
//! | [`counters`] | rows of counters by front, scope and name |
//! | [`durable`] | marks and checkpoints as bytes |
//! | [`replay`] | from what a disk holds back to counters |
//! | [`figures`] | what operators read of a running process |
//! | [`ledger`] | what is written when, and what of it may be shown |
//! | [`times`] | quantiles of the last minute |
//!
//! There is no clock here, and no I/O but through a [`LogStorage`] that is handed in.

#![forbid(unsafe_code)]

pub mod counters;
pub mod durable;
pub mod latency_samples;
pub mod outcome_metrics;
pub mod record;
pub mod replay;
pub mod request_log;

pub use counters::{COUNTERS_PER_ROW, Counter, CounterRow, Counters, RowKey, Scope};
pub use durable::{Checkpoint, DurableMark, LogPosition};
pub use latency_samples::LatencySamples;
pub use outcome_metrics::OutcomeMetrics;
pub use record::{
    AttemptOutcome, AttemptRecord, ChecksumLine, CorruptRecord, FailureReason, FinalOutcome,
    RejectionReason, RequestRecord,
};
pub use replay::{Recovered, Replay};
pub use request_log::{LogStatus, LogStorage, RequestLog, SegmentLimits};
