//! The gateway's clock: monotonic time for everything, and the cluster's Unix time beside it.
//!
//! Any thread may use it. State: the monotonic clock's start, and the cluster's clock behind a mutex that is held for moments.

use std::sync::{Mutex, MutexGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use valehatch_core::cluster_clock::ClusterClock;
use valehatch_policy::Time;

use crate::lock;

/// Where the monotonic clock starts, in microseconds: above zero, so that times before the start can be expressed.
const START_MICROS: i64 = 100_000_000_000;

/// The monotonic clock in microseconds, and the offset of the cluster's Unix time. Copies share both.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// The offset of Unix time by this machine's wall clock at the start; never corrected.
    wall_offset: i64,
    /// Leaked, so that copies of the clock may refer to it.
    cluster: &'static Mutex<ClusterClock>,
}

impl Clock {
    /// Starts the clock. The only time that the wall clock is read: from then on the endpoints' times correct the offset.
    #[allow(clippy::cast_possible_truncation)]
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

    /// The time now.
    #[allow(clippy::cast_possible_truncation)]
    pub fn now(&self) -> Time {
        Time(START_MICROS + self.started_at.elapsed().as_micros() as i64)
    }

    /// A Unix time in microseconds on this clock, by the corrected offset.
    pub fn at_unix_micros(&self, unix_micros: i64) -> Time {
        Time(unix_micros.saturating_sub(lock(self.cluster).offset()))
    }

    /// A Unix time in milliseconds, such as a position or a start that an endpoint reports, on this clock.
    #[allow(clippy::cast_possible_truncation)]
    pub fn at_unix_ms(&self, unix_ms: f64) -> Time {
        self.at_unix_micros((unix_ms * 1000.0).floor() as i64)
    }

    /// A Unix time in microseconds on this clock, by the offset at the start: for times on their way to a check, which a
    /// correction meanwhile must not move.
    pub const fn at_uncorrected_unix_micros(&self, unix_micros: i64) -> Time {
        Time(unix_micros.saturating_sub(self.wall_offset))
    }

    /// The Unix time in microseconds of a time from [`Clock::at_uncorrected_unix_micros`].
    pub const fn uncorrected_unix_micros(&self, at: Time) -> i64 {
        at.0.saturating_add(self.wall_offset)
    }

    /// Locks the cluster's clock; corrections wait for as long as it is held.
    pub fn cluster(&self) -> MutexGuard<'static, ClusterClock> {
        lock(self.cluster)
    }
}
