//! The cluster's Unix clock on this process's monotonic clock.
//!
//! Replication positions, commit times and start times of endpoints are Unix times of one clock
//! that all endpoints read. The wall clock of this machine may be off from it by any amount. What
//! endpoints report corrects it: a reported time is never later than the moment in which it was
//! received, and a primary's position is never older than the moment in which it was requested.
//!
//! All times are whole microseconds. Bounded by `MAX_LOWER_BOUNDS` and `MAX_PRIMARY_SAMPLES`
//! remembered observations.

use std::collections::VecDeque;

use valehatch_policy::{Span, Time};

/// Lower bounds that are remembered to corroborate later ones.
const MAX_LOWER_BOUNDS: usize = 8;
/// Two observations agree if the offsets that they imply differ by no more than this; a single
/// corrupt answer agrees with none and changes nothing.
const AGREEMENT: Span = Span::from_millis(500);
/// Error of an answer's times: positions are whole milliseconds, commit times are rounded up.
const ANSWER_ROUNDING: Span = Span::from_millis(2);
/// The oldest that a primary's report may be when it is sent.
const MAX_REPORT_AGE: Span = Span::from_millis(1_000);
/// Assumed age of a report if the wall clock is ahead by more than any report is old.
const ASSUMED_REPORT_AGE: Span = Span::from_millis(250);
/// The wall clock may be behind by less than this: reading it and the monotonic clock takes some
/// time on a busy machine.
const TOLERATED_BEHIND: Span = Span::from_millis(20);
/// The wall clock may be ahead by less than this: data then counts as slightly older than it is.
const TOLERATED_AHEAD: Span = Span::from_millis(50);
/// Observations of primaries that are remembered.
const MAX_PRIMARY_SAMPLES: usize = 16;
/// Shortest time between two of them.
const PRIMARY_SAMPLE_INTERVAL: Span = Span::from_millis(200);
/// Primaries show that the wall clock is ahead only if they agree over this time. The positions of
/// a group without a primary stand still, so their offsets drift apart.
const STEADY_FOR: Span = Span::from_millis(1_000);

/// Where a reported time comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockSample {
    /// The position of the primary, or a commit time, in the answer to a request: from between
    /// request and answer.
    PrimaryAnswer,
    /// The position in a primary's load report, which may be older than its request.
    PrimaryReport,
    /// The position of a replica, which may lag by any time.
    Replica,
}

/// An offset that a primary implied.
#[derive(Clone, Copy, Debug)]
struct PrimarySample {
    received_at: Time,
    lower_bound: i64,
}

/// The offset between the two clocks, as far as it is known.
#[derive(Debug)]
pub struct ClusterClock {
    /// Unix time in microseconds at which the monotonic clock read 0.
    offset: i64,
    /// Lower bounds of the offset, the newest last.
    lower_bounds: VecDeque<i64>,
    /// The greatest lower bound that was corroborated.
    greatest_lower_bound: Option<i64>,
    /// Lower bounds from primaries, the newest last.
    primary_samples: VecDeque<PrimarySample>,
    is_verified: bool,
}

impl ClusterClock {
    /// Starts from the wall clock: the Unix time in microseconds at which the monotonic clock
    /// read 0.
    #[must_use]
    pub fn new(offset: i64) -> Self {
        Self {
            offset,
            lower_bounds: VecDeque::with_capacity(MAX_LOWER_BOUNDS),
            greatest_lower_bound: None,
            primary_samples: VecDeque::with_capacity(MAX_PRIMARY_SAMPLES),
            is_verified: false,
        }
    }

    /// Unix time in microseconds at which the monotonic clock read 0.
    #[must_use]
    pub const fn offset(&self) -> i64 {
        self.offset
    }

    /// Whether primaries have confirmed or corrected the wall clock.
    #[must_use]
    pub const fn is_verified(&self) -> bool {
        self.is_verified
    }

    /// Takes in a Unix time in microseconds, with the times of the monotonic clock at which it was
    /// requested and received. Returns by how much the offset grew, if it was corrected.
    pub fn observe(
        &mut self,
        unix: i64,
        requested_at: Time,
        received_at: Time,
        sample: ClockSample,
    ) -> Option<i64> {
        let lower_bound = unix.checked_sub(received_at.0)?;
        if !self.corroborates(lower_bound) {
            return None;
        }
        let before = self.offset;
        let greatest = self
            .greatest_lower_bound
            .map_or(lower_bound, |greatest| greatest.max(lower_bound));
        self.greatest_lower_bound = Some(greatest);
        if lower_bound > self.offset + TOLERATED_BEHIND.0 {
            self.offset = lower_bound;
        }
        let observed = PrimarySample {
            received_at,
            lower_bound,
        };
        match sample {
            ClockSample::PrimaryAnswer => {
                let upper_bound = (unix - requested_at.0 + ANSWER_ROUNDING.0).max(greatest);
                self.observe_primary(observed, upper_bound, upper_bound);
            }
            ClockSample::PrimaryReport => {
                let upper_bound = (unix - requested_at.0 + MAX_REPORT_AGE.0).max(greatest);
                self.observe_primary(observed, upper_bound, greatest + ASSUMED_REPORT_AGE.0);
            }
            ClockSample::Replica => {}
        }
        (self.offset != before).then_some(self.offset - before)
    }

    /// Verifies the offset by what a primary reported, or sets it to `corrected` if it is above the
    /// upper bound and primaries have agreed for long enough.
    fn observe_primary(&mut self, sample: PrimarySample, upper_bound: i64, corrected: i64) {
        let is_steady = self.is_steady(sample);
        if self.offset <= upper_bound + TOLERATED_AHEAD.0 {
            self.is_verified = true;
        } else if is_steady {
            self.is_verified = true;
            self.offset = corrected;
        }
    }

    /// Remembers a lower bound. Returns whether an earlier one agrees with it.
    fn corroborates(&mut self, lower_bound: i64) -> bool {
        let agrees = self
            .lower_bounds
            .iter()
            .any(|other| agree(lower_bound, *other));
        if self.lower_bounds.len() == MAX_LOWER_BOUNDS {
            self.lower_bounds.pop_front();
        }
        self.lower_bounds.push_back(lower_bound);
        agrees
    }

    /// Remembers a primary's lower bound. Returns whether one from long enough before agrees.
    fn is_steady(&mut self, sample: PrimarySample) -> bool {
        let is_steady = self.primary_samples.iter().any(|earlier| {
            sample.received_at - earlier.received_at >= STEADY_FOR
                && agree(sample.lower_bound, earlier.lower_bound)
        });
        let newest = self.primary_samples.back();
        let is_due = newest.is_none_or(|newest| {
            sample.received_at - newest.received_at >= PRIMARY_SAMPLE_INTERVAL
        });
        if !is_due {
            return is_steady;
        }
        if self.primary_samples.len() == MAX_PRIMARY_SAMPLES {
            self.primary_samples.pop_front();
        }
        self.primary_samples.push_back(sample);
        is_steady
    }
}

fn agree(one: i64, other: i64) -> bool {
    one.abs_diff(other) <= AGREEMENT.0.unsigned_abs()
}
