//! The gateway's clock: monotonic time for all internal use, and the cluster's Unix time.
//!
//! Any thread may use it. State: the monotonic clock's start, and the cluster's clock behind a
//! mutex that is held only briefly.

use std::sync::{Mutex, MutexGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use valehatch_core::cluster_clock::ClusterClock;
use valehatch_policy::Time;

use crate::lock;

/// Value at which the monotonic clock starts, in microseconds: above zero, so that times before the
/// start can be represented.
const START_MICROS: i64 = 100_000_000_000;

/// The monotonic clock in microseconds, and the offset of the cluster's Unix time. Copies share
/// both.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// The offset of Unix time according to this machine's wall clock at the start; never
    /// corrected.
    wall_offset: i64,
    /// Leaked, so that copies of the clock can refer to it.
    cluster: &'static Mutex<ClusterClock>,
}

impl Clock {
    /// Starts the clock. The wall clock is read only here: afterwards the endpoints' times correct
    /// the offset.
    pub fn start() -> Self {
        let unix_micros = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_micros() as i64);
        let wall_offset = unix_micros - START_MICROS;
        let cluster = Box::leak(Box::new(Mutex::new(ClusterClock::new(wall_offset))));
        Self {
            started_at: Instant::now(),
            wall_offset,
            cluster,
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time(START_MICROS + self.started_at.elapsed().as_micros() as i64)
    }

    /// Converts a Unix time in microseconds to this clock's time by the corrected offset.
    pub fn at_unix_micros(&self, unix_micros: i64) -> Time {
        Time(unix_micros.saturating_sub(lock(self.cluster).offset()))
    }

    /// Converts a Unix time in milliseconds, such as a position or a start time that an endpoint
    /// reports, to this clock's time.
    pub fn at_unix_ms(&self, unix_ms: f64) -> Time {
        self.at_unix_micros((unix_ms * 1000.0).floor() as i64)
    }

    /// Converts a Unix time in microseconds to this clock's time by the offset at the start. For
    /// times that are still to be checked, which a correction in the meantime must not change.
    pub const fn at_uncorrected_unix_micros(&self, unix_micros: i64) -> Time {
        Time(unix_micros.saturating_sub(self.wall_offset))
    }

    /// Converts a time from [`Clock::at_uncorrected_unix_micros`] back to Unix time in
    /// microseconds.
    pub const fn uncorrected_unix_micros(&self, at: Time) -> i64 {
        at.0.saturating_add(self.wall_offset)
    }

    /// Locks the cluster's clock; corrections wait while the lock is held.
    pub fn cluster(&self) -> MutexGuard<'static, ClusterClock> {
        lock(self.cluster)
    }
}
