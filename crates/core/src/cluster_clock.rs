//! The offset between the cluster's Unix clock and this process's monotonic clock.
//!
//! Replication positions, commit times and start times of endpoints are Unix times of one clock
//! that all endpoints share. The wall clock of this machine may differ from that clock by any
//! amount. Times reported by endpoints correct it: a reported time is never later than the moment
//! at which it was received, and a primary's position is never earlier than the moment at which it
//! was requested.
//!
//! All times are whole microseconds. At most `MAX_LOWER_BOUNDS` lower bounds and
//! `MAX_PRIMARY_SAMPLES` samples of primaries are kept.

use std::collections::VecDeque;

use valehatch_policy::{Span, Time};

/// Maximum number of lower bounds that are kept to corroborate later ones.
const MAX_LOWER_BOUNDS: usize = 8;
/// Two observations agree if the offsets that they imply differ by at most this. A single corrupt
/// time agrees with no other observation and changes nothing.
const AGREEMENT_TOLERANCE: Span = Span::from_millis(500);
/// Rounding error of the times in an answer: positions are whole milliseconds, and commit times are
/// rounded up.
const ANSWER_ROUNDING: Span = Span::from_millis(2);
/// Maximum age of a primary's load report when it is sent.
const MAX_REPORT_AGE: Span = Span::from_millis(1_000);
/// Age assumed for a load report when the offset is corrected because the wall clock is ahead by
/// more than the maximum age of a report.
const ASSUMED_REPORT_AGE: Span = Span::from_millis(250);
/// The wall clock may be behind by up to this without being corrected. On a busy machine, some time
/// passes between reading it and reading the monotonic clock.
const TOLERATED_BEHIND: Span = Span::from_millis(20);
/// The wall clock may be ahead by up to this without being corrected; data then counts as slightly
/// older than it is.
const TOLERATED_AHEAD: Span = Span::from_millis(50);
/// Maximum number of samples of primaries that are kept.
const MAX_PRIMARY_SAMPLES: usize = 16;
/// Minimum time between two samples of primaries that are kept.
const PRIMARY_SAMPLE_INTERVAL: Span = Span::from_millis(200);
/// Samples of primaries show that the wall clock is ahead only if they agree over at least this
/// time. The position of a group without a primary does not advance, so the offsets that it implies
/// drift apart.
const MIN_STEADY_TIME: Span = Span::from_millis(1_000);

/// Source of a reported time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockSample {
    /// The primary's position or a commit time in the answer to a request. The time lies between
    /// the request and the answer.
    PrimaryAnswer,
    /// The position in a primary's load report, which may be from before the request.
    PrimaryReport,
    /// The position of a replica, which may lag by any amount.
    Replica,
}

/// A lower bound of the offset, implied by a time that a primary reported.
#[derive(Clone, Copy, Debug)]
struct PrimarySample {
    received_at: Time,
    lower_bound: i64,
}

/// Estimate of the offset between the cluster's clock and this process's monotonic clock.
#[derive(Debug)]
pub struct ClusterClock {
    /// Unix time in microseconds at which the monotonic clock read 0.
    offset: i64,
    /// Latest lower bounds of the offset, in order of observation.
    lower_bounds: VecDeque<i64>,
    /// Greatest lower bound that an earlier one agreed with.
    greatest_lower_bound: Option<i64>,
    /// Latest samples of primaries, in order of observation.
    primary_samples: VecDeque<PrimarySample>,
    is_verified: bool,
}

impl ClusterClock {
    /// Creates a clock from the wall clock: `offset` is the Unix time in microseconds, according to
    /// the wall clock, at which the monotonic clock read 0.
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

    /// Whether times from primaries have confirmed or corrected the wall clock.
    #[must_use]
    pub const fn is_verified(&self) -> bool {
        self.is_verified
    }

    /// Processes a reported Unix time in microseconds, with the times of the monotonic clock at
    /// which it was requested and received. Returns the change of the offset in microseconds if the
    /// offset was corrected.
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

    /// Marks the offset as verified if it does not exceed `upper_bound` by more than the tolerance.
    /// Otherwise sets it to `corrected`, provided that samples of primaries have agreed for long
    /// enough.
    fn observe_primary(&mut self, sample: PrimarySample, upper_bound: i64, corrected: i64) {
        let is_steady = self.is_steady(sample);
        if self.offset <= upper_bound + TOLERATED_AHEAD.0 {
            self.is_verified = true;
        } else if is_steady {
            self.is_verified = true;
            self.offset = corrected;
        }
    }

    /// Stores a lower bound. Returns whether an earlier one agrees with it.
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

    /// Stores a sample of a primary if the previous one is old enough. Returns whether the sample
    /// agrees with one that was received at least [`MIN_STEADY_TIME`] earlier.
    fn is_steady(&mut self, sample: PrimarySample) -> bool {
        let is_steady = self.primary_samples.iter().any(|earlier| {
            sample.received_at - earlier.received_at >= MIN_STEADY_TIME
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
    one.abs_diff(other) <= AGREEMENT_TOLERANCE.0.unsigned_abs()
}
