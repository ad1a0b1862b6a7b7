//! Rate at which a lane serves its queue: cost per microsecond, measured while requests wait.

use valehatch_policy::{Span, Time};

/// Time over which the rate is averaged, in microseconds.
const AVERAGING_TIME: f64 = 2_000_000.0;
/// Minimum time between two updates of the rate, in microseconds.
const MIN_SAMPLE_TIME: f64 = AVERAGING_TIME / 20.0;

/// Moving average of a lane's drain rate.
#[derive(Debug)]
pub struct DrainRate {
    rate: f64,
    /// Cost served in the current sample.
    sample_cost: f64,
    sample_start: Time,
}

impl DrainRate {
    /// Creates an estimator whose rate is unknown.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            rate: 0.0,
            sample_cost: 0.0,
            sample_start: now,
        }
    }

    /// Discards the current sample and starts a new one.
    pub const fn restart(&mut self, now: Time) {
        self.sample_cost = 0.0;
        self.sample_start = now;
    }

    /// Records the completion of a request with this cost while others wait.
    pub fn record(&mut self, now: Time, cost: Span) {
        self.sample_cost += cost.as_f64();
        let elapsed = (now - self.sample_start).as_f64();
        if elapsed < MIN_SAMPLE_TIME {
            return;
        }
        let sample = self.sample_cost / elapsed;
        let gain = if self.rate > 0.0 {
            (elapsed / AVERAGING_TIME).min(1.0)
        } else {
            1.0
        };
        self.rate += gain * (sample - self.rate);
        self.restart(now);
    }

    /// Cost per microsecond; 0 while the rate is unknown.
    #[must_use]
    pub const fn cost_per_microsecond(&self) -> f64 {
        self.rate
    }
}
