//! Where the Unix clock of the cluster stands on this process's monotonic clock.
//!
//! Positions, commits and starts of endpoints are Unix times of one clock that all endpoints read.
//! The wall clock of this machine says where that clock stands, but may be off by any amount. What
//! endpoints tell corrects it: a time that was told lies at or before the moment in which it came
//! in, and a primary's position lies at or behind the moment in which it was asked.

use std::collections::VecDeque;

use valehatch_policy::{Span, Time};

/// Lower bounds that are remembered to corroborate others.
const REMEMBERED: usize = 8;
/// Two observations agree if the clocks that they imply lie within this: a single spoilt answer
/// moves nothing.
const AGREEMENT: Span = Span::from_millis(500);
/// Positions are told in whole milliseconds, commits rounded up.
const ROUNDING: Span = Span::from_millis(2);
/// How old a primary's report may be when it is told.
const REPORT_AGE: Span = Span::from_millis(1_000);
/// What a report is taken to be old where the wall clock is ahead by more than any report is old.
const REPORT_MARGIN: Span = Span::from_millis(250);
/// By less than this the wall clock may be behind: as much as passes between reading it and the
/// monotonic clock on a busy machine, and well below the slack on the age of data.
const BEHIND: Span = Span::from_millis(20);
/// By less than this the wall clock may be ahead: data is taken to be a little older than it is.
const SMALL: Span = Span::from_millis(50);
/// Observations of primaries that are kept, and how far they are apart.
const SAMPLES: usize = 16;
const SAMPLE_EACH: Span = Span::from_millis(200);
/// Primaries show that the wall clock is ahead only by observations that agree over this time:
/// those of a group that has no primary stand still, and so drift away from each other.
const STEADY: Span = Span::from_millis(1_000);

/// What a time that an endpoint told shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockSample {
    /// A position of the primary, or a commit, in the answer to a request: from between asking and
    /// answering.
    PrimaryAnswer,
    /// The position in a primary's report, which may have been drawn up some time before it was
    /// asked for.
    PrimaryReport,
    /// A position of a replica, which may be behind by any time.
    Replica,
}

/// The offset between the two clocks, as far as it is known.
#[derive(Debug)]
pub struct ClusterClock {
    /// Unix time in microseconds at which the monotonic clock read 0.
    offset: i64,
    /// Lower bounds of that offset, the newest last, and the greatest that was corroborated.
    lower_bounds: VecDeque<i64>,
    greatest: Option<i64>,
    /// Lower bounds that primaries told, some time apart, and when.
    samples: VecDeque<(Time, i64)>,
    verified: bool,
}

impl ClusterClock {
    /// Begins with what the wall clock says: Unix time in microseconds at which the monotonic clock
    /// read 0.
    #[must_use]
    pub fn new(offset: i64) -> Self {
        let (lower_bounds, samples) = (
            VecDeque::with_capacity(REMEMBERED),
            VecDeque::with_capacity(SAMPLES),
        );
        Self {
            offset,
            lower_bounds,
            greatest: None,
            samples,
            verified: false,
        }
    }

    /// Unix time in microseconds at which the monotonic clock read 0.
    #[must_use]
    pub const fn offset(&self) -> i64 {
        self.offset
    }

    /// Whether primaries have confirmed or corrected what the wall clock said.
    #[must_use]
    pub const fn is_verified(&self) -> bool {
        self.verified
    }

    /// Takes in a Unix time in microseconds that was asked for and came in at these times of the
    /// monotonic clock. Says by how much the offset grew, if it was corrected.
    pub fn observe(
        &mut self,
        unix: i64,
        asked: Time,
        came: Time,
        told: ClockSample,
    ) -> Option<i64> {
        let lower = unix.checked_sub(came.0)?;
        if !self.corroborates(lower) {
            return None;
        }
        let before = self.offset;
        let greatest = self.greatest.map_or(lower, |greatest| greatest.max(lower));
        self.greatest = Some(greatest);
        if lower > self.offset + BEHIND.0 {
            self.offset = lower;
        }
        if told != ClockSample::Replica {
            let slack = if told == ClockSample::PrimaryAnswer {
                ROUNDING
            } else {
                REPORT_AGE
            };
            let upper = (unix - asked.0 + slack.0).max(greatest);
            let steady = self.is_steady(lower, came);
            if self.offset <= upper + SMALL.0 {
                self.verified = true;
            } else if steady {
                self.verified = true;
                self.offset = if told == ClockSample::PrimaryAnswer {
                    upper
                } else {
                    greatest + REPORT_MARGIN.0
                };
            }
        }
        (self.offset != before).then_some(self.offset - before)
    }

    /// Remembers a lower bound; whether one before it agrees.
    fn corroborates(&mut self, lower: i64) -> bool {
        let agrees = self.lower_bounds.iter().any(|other| agree(lower, *other));
        if self.lower_bounds.len() == REMEMBERED {
            self.lower_bounds.pop_front();
        }
        self.lower_bounds.push_back(lower);
        agrees
    }

    /// Whether a primary's lower bound agrees with one from some time before; keeps it for those
    /// that follow.
    fn is_steady(&mut self, lower: i64, came: Time) -> bool {
        let steady = self
            .samples
            .iter()
            .any(|(at, other)| came - *at >= STEADY && agree(lower, *other));
        if self
            .samples
            .back()
            .is_none_or(|(at, _)| came - *at >= SAMPLE_EACH)
        {
            if self.samples.len() == SAMPLES {
                self.samples.pop_front();
            }
            self.samples.push_back((came, lower));
        }
        steady
    }
}

fn agree(one: i64, other: i64) -> bool {
    one.abs_diff(other) <= AGREEMENT.0.unsigned_abs()
}
