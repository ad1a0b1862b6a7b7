//! Poll intervals and backoff for a fleet of gateways, so that all of them together make no more
//! calls than the called service can answer. No I/O, no clock, no threads.
//!
//! Inputs are the results of calls, outputs are pauses in whole microseconds ([`Span`]). The state
//! has a fixed size. Jitter prevents gateways that fail together from retrying after the same pause
//! and failing together again.

#![forbid(unsafe_code)]

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use valehatch_policy::Span;

/// Capped exponential backoff with full jitter: the nth pause in a row, counted from 0, is drawn
/// uniformly from 0 to the lesser of `first * 2^n` and `longest`.
#[derive(Debug)]
pub struct Backoff {
    first: Span,
    longest: Span,
    /// Upper bound of the next pause.
    bound: Span,
    rng: Xoshiro256PlusPlus,
}

impl Backoff {
    /// Creates a backoff whose pauses are drawn with this seed. `first` is raised to at least one
    /// microsecond, and `longest` to at least `first`.
    #[must_use]
    pub fn new(first: Span, longest: Span, seed: u64) -> Self {
        let first = Span(first.0.max(1));
        let longest = longest.max(first);
        Self {
            first,
            longest,
            bound: first,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Pause before the first call, which spreads the first calls of gateways that start together.
    pub fn initial_pause(&mut self) -> Span {
        let fraction = self.draw_fraction();
        self.first.times(fraction)
    }

    /// Pause after a failed call.
    pub fn next_pause(&mut self) -> Span {
        self.next_pause_within(self.longest)
    }

    /// Pause after a failed call, where the next call must be made within `limit`.
    ///
    /// The pause is drawn uniformly from the shorter range. Truncating a longer pause to `limit`
    /// would make all gateways with longer pauses call at the same moment.
    pub fn next_pause_within(&mut self, limit: Span) -> Span {
        let bound = self.bound.min(limit).max(Span(0));
        let fraction = self.draw_fraction();
        self.bound = Span(self.bound.0.saturating_mul(2).min(self.longest.0));
        bound.times(fraction)
    }

    /// Uniformly distributed number in the range [0, 1).
    fn draw_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Resets the bound after an answered call, so that the next pause is at most `first`.
    pub const fn reset(&mut self) {
        self.bound = self.first;
    }
}

/// Interval in which each of `gateways` makes one call if all of them together make
/// `calls_per_second`.
#[must_use]
pub fn fleet_call_interval(gateways: u32, calls_per_second: u32) -> Span {
    Span(i64::from(gateways) * 1_000_000 / i64::from(calls_per_second.max(1)))
}

/// How long a long poll of one gateway waits for changes, so that `gateways` together make no more
/// than `calls_per_second` calls while nothing changes. The result is between `min_wait` and
/// `max_wait`.
#[must_use]
pub fn long_poll_wait(
    gateways: u32,
    calls_per_second: u32,
    min_wait: Span,
    max_wait: Span,
) -> Span {
    fleet_call_interval(gateways, calls_per_second).clamp(min_wait, max_wait.max(min_wait))
}
