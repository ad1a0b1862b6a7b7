//! Poll intervals and backoff of a whole fleet, so that all gateways together call no more often
//! than can be answered. No I/O, no clock, no threads.
//!
//! Inputs are the results of calls, outputs are pauses in whole microseconds ([`Span`]). The state
//! has a fixed size. It guards against gateways that fail together, call again after the same
//! pause, and so fail together again.

#![forbid(unsafe_code)]

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use valehatch_policy::Span;

/// Capped exponential backoff with full jitter: the nth pause in a row is drawn evenly from 0 to
/// `first * 2^n`, and to no more than `longest`.
#[derive(Debug)]
pub struct Backoff {
    first: Span,
    longest: Span,
    /// Upper bound of the next pause.
    bound: Span,
    rng: Xoshiro256PlusPlus,
}

impl Backoff {
    /// `first` is at least a microsecond, `longest` at least `first`; smaller values are raised.
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

    /// The pause before the first call, so that gateways that start together do not call together.
    pub fn initial_pause(&mut self) -> Span {
        let fraction = self.draw_fraction();
        self.first.times(fraction)
    }

    /// The pause after a call that failed.
    pub fn next_pause(&mut self) -> Span {
        self.next_pause_within(self.longest)
    }

    /// The pause after a call that failed, where the next call must go out within `limit`.
    ///
    /// The pause is drawn evenly from the shorter range. Cutting a longer one off would make all
    /// late gateways call at the same moment.
    pub fn next_pause_within(&mut self, limit: Span) -> Span {
        let bound = self.bound.min(limit).max(Span(0));
        let fraction = self.draw_fraction();
        self.bound = Span(self.bound.0.saturating_mul(2).min(self.longest.0));
        bound.times(fraction)
    }

    /// A number from 0 to below 1.
    fn draw_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A call was answered: the next pause is drawn from the first bound again.
    pub const fn reset(&mut self) {
        self.bound = self.first;
    }
}

/// How long `gateways` take for one call each, at `calls_per_second` of all together.
#[must_use]
pub fn fleet_call_interval(gateways: u32, calls_per_second: u32) -> Span {
    Span(i64::from(gateways) * 1_000_000 / i64::from(calls_per_second.max(1)))
}

/// How long a long poll of one gateway may wait for changes, so that `gateways` make no more than
/// `calls_per_second` calls together while there are none: from `least` to `most`.
#[must_use]
pub fn long_poll_wait(gateways: u32, calls_per_second: u32, least: Span, most: Span) -> Span {
    fleet_call_interval(gateways, calls_per_second).clamp(least, most.max(least))
}
