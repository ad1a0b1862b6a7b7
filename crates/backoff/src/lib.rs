//! When a gateway asks again, so that a whole fleet of them asks for no more than can be answered: no I/O, no clock.
//!
//! Whoever waits tells it how the last call ended and is told how long to rest. What it guards against: gateways that
//! fail together, ask again after the same pause and so fail together again, for as long as they all go on.

#![forbid(unsafe_code)]
#![allow(clippy::cast_precision_loss)]

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use valehatch_policy::Span;

/// Capped exponential backoff with full jitter: the nth pause in a row is drawn evenly from nothing to
/// `first * 2^n`, and to no more than `longest`.
#[derive(Debug)]
pub struct Backoff {
    first: Span,
    longest: Span,
    bound: Span,
    rng: Xoshiro256PlusPlus,
}

impl Backoff {
    /// `first` and `longest` count as a microsecond at least, `longest` as no less than `first`.
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

    /// Nothing was asked yet: how long to wait with the first call, that not all call as they start.
    pub fn start(&mut self) -> Span {
        let part = self.part();
        self.first.times(part)
    }

    /// A call has failed: how long to rest before the next.
    pub fn failed(&mut self) -> Span {
        self.failed_within(self.longest)
    }

    /// The same where the next call has to go out within so much: drawn evenly all the same, not cut to it, or all
    /// that are late would call at one moment.
    pub fn failed_within(&mut self, room: Span) -> Span {
        let (bound, part) = (self.bound.min(room).max(Span(0)), self.part());
        self.bound = Span(self.bound.0.saturating_mul(2).min(self.longest.0));
        bound.times(part)
    }

    fn part(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A call has been answered: the next pause is short again.
    pub const fn answered(&mut self) {
        self.bound = self.first;
    }
}

/// How long all of `gateways` together take for a call each, at `each_s` calls a second.
#[must_use]
pub fn round(gateways: u32, each_s: u32) -> Span {
    Span(i64::from(gateways) * 1_000_000 / i64::from(each_s.max(1)))
}

/// How long a call of one gateway may wait for news, so that a fleet of `gateways` calls no more than `each_s` times
/// a second while there is none: within `least` and `most`.
#[must_use]
pub fn hold(gateways: u32, each_s: u32, least: Span, most: Span) -> Span {
    round(gateways, each_s).clamp(least, most.max(least))
}
