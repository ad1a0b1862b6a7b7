//! Admission control of an agent on UDP, without I/O and without a clock. Times are passed in as
//! microseconds of a monotonic clock; every table gets its maximum size from its constructor.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`source_rate_limiter`] | bounds the rate of requests, by source and in total |
//! | [`cpu_share`] | bounds the share of a core that requests take |
//! | [`engine_time`] | the timeliness of SNMPv3 messages (RFC 3414) |
//! | [`snapshot_cache`] | keeps a walk over many datagrams on one snapshot |

#![forbid(unsafe_code)]

pub mod cpu_share;
pub mod engine_time;
pub mod snapshot_cache;
pub mod source_rate_limiter;

pub use cpu_share::CpuShare;
pub use engine_time::{EngineTime, MAX_BOOTS, TIME_WINDOW_S};
pub use snapshot_cache::SnapshotCache;
pub use source_rate_limiter::{RateLimitDecision, SourceRateLimiter};

/// A time, in microseconds of a monotonic clock.
pub type Micros = i64;

/// Microseconds in a second.
const SECOND: Micros = 1_000_000;
