//! How fast a lane works its queue off: cost per microsecond, measured while requests wait.

use valehatch_policy::{Span, Time};

/// Time over which the rate is averaged, in microseconds.
const AVERAGING_TIME: f64 = 2_000_000.0;
/// Shortest time between two updates of the rate, in microseconds.
const MIN_SAMPLE_TIME: f64 = AVERAGING_TIME / 20.0;

/// A lane's drain rate.
#[derive(Debug)]
pub struct DrainRate {
    rate: f64,
    /// Cost done in the sample that runs.
    sample_cost: f64,
    sample_start: Time,
}

impl DrainRate {
    /// An unknown rate.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            rate: 0.0,
            sample_cost: 0.0,
            sample_start: now,
        }
    }

    /// Starts a new sample and drops the one that runs.
    pub const fn restart(&mut self, now: Time) {
        self.sample_cost = 0.0;
        self.sample_start = now;
    }

    /// A request of this cost has ended while others wait.
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

    /// Cost per microsecond; 0 while it is unknown.
    #[must_use]
    pub const fn cost_per_microsecond(&self) -> f64 {
        self.rate
    }
}
