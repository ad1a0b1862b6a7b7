//! Thresholds at which conditions begin and end.

use std::collections::VecDeque;

use valehatch_policy::{Span, Time};

/// The two edges of a condition, which begins at `rising` and ends below `falling`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hysteresis {
    /// The value from which the condition holds.
    pub rising: u64,
    /// The value below which it ends.
    pub falling: u64,
}

/// The thresholds of all conditions.
#[derive(Clone, Debug, PartialEq)]
pub struct Thresholds {
    /// Time without a primary from which a group is reported.
    pub no_primary: Span,
    /// Time from which a primary search is reported.
    pub search_lasting: Span,
    /// Rejections of a class in 1,000 seconds.
    pub rejections: Hysteresis,
    /// The time over which rejections are averaged.
    pub rejections_window: Span,
    /// A tenant's use of its quota in thousandths.
    pub quota: Hysteresis,
    /// The longest wait in a tenant's admission queue, in milliseconds.
    pub queue_wait: Hysteresis,
    /// Notifications within the storm's window; further ones are reported as one.
    pub storm_limit: usize,
    /// The storm's window.
    pub storm_window: Span,
}

/// A change of a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Crossing {
    Rising,
    Falling,
}

/// Whether a condition holds.
#[derive(Debug, Default)]
pub(crate) struct Condition {
    holds: bool,
}

impl Condition {
    /// Compares a value with the edges; returns the change, if it crossed one.
    pub(crate) fn update(&mut self, value: u64, edges: Hysteresis) -> Option<Crossing> {
        let edge = if self.holds {
            edges.falling
        } else {
            edges.rising
        };
        let held = std::mem::replace(&mut self.holds, value >= edge);
        match (held, self.holds) {
            (false, true) => Some(Crossing::Rising),
            (true, false) => Some(Crossing::Falling),
            _ => None,
        }
    }
}

/// A counter's value at a time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    total: u64,
}

/// The rate of a counter over a sliding window, from one sample a look.
#[derive(Debug, Default)]
pub(crate) struct RateWindow {
    /// Oldest first; the first is the newest that is older than the window.
    samples: VecDeque<Sample>,
}

impl RateWindow {
    /// Adds a sample. Returns the increase in 1,000 seconds; `None` until the samples cover the
    /// window.
    pub(crate) fn add(&mut self, now: Time, total: u64, window: Span) -> Option<u64> {
        self.samples.push_back(Sample { at: now, total });
        while self
            .samples
            .get(1)
            .is_some_and(|second| now - second.at >= window)
        {
            self.samples.pop_front();
        }
        let first = *self.samples.front()?;
        let elapsed = now - first.at;
        if elapsed < window {
            return None;
        }
        let elapsed_us = u64::try_from(elapsed.0).ok().filter(|us| *us > 0)?;
        let increase = total - first.total.min(total);
        Some(increase.saturating_mul(MICROS_IN_1000_S) / elapsed_us)
    }
}

const MICROS_IN_1000_S: u64 = 1_000_000_000;
