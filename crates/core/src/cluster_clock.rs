//! Where the Unix clock of the cluster stands on this process's monotonic clock.
//!
//! Positions, commits and starts of endpoints are Unix times of one clock that all endpoints read. The wall clock of
//! this machine says where that clock stands, but may be off by any amount. What endpoints tell corrects it: a time
//! that was told lies at or before the moment in which it came in, and a primary's position lies at or behind the
//! moment in which it was asked.

use std::collections::VecDeque;

use valehatch_policy::{Span, Time};

/// Observations that are remembered.
const REMEMBERED: usize = 8;
/// Two observations agree if the clocks that they imply lie within this: a single spoilt answer moves nothing.
const AGREEMENT: Span = Span::from_millis(500);
/// Positions are told in whole milliseconds, commits rounded up.
const ROUNDING: Span = Span::from_millis(2);
/// How old a primary's report may be when it is told.
const REPORT_AGE: Span = Span::from_millis(1_000);
/// What a report is taken to be old where the wall clock is ahead by more than any report is old.
const REPORT_MARGIN: Span = Span::from_millis(250);

/// What a time that an endpoint told shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// A position of the primary, or a commit, in the answer to a request: from between asking and answering.
    PrimaryAnswer,
    /// The position in a primary's report, which may have been drawn up some time before it was asked for.
    PrimaryReport,
    /// A position of a replica, which may be behind by any time.
    Replica,
}

/// The offset between the two clocks, as far as it is known.
#[derive(Debug)]
pub struct ClusterClock {
    /// Unix time in microseconds at which the monotonic clock read 0.
    offset: i64,
    /// Lower bounds of that offset, the newest last.
    lower_bounds: VecDeque<i64>,
    verified: bool,
}

impl ClusterClock {
    /// Begins with what the wall clock says: Unix time in microseconds at which the monotonic clock read 0.
    #[must_use]
    pub fn new(offset: i64) -> Self {
        Self { offset, lower_bounds: VecDeque::with_capacity(REMEMBERED), verified: false }
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

    /// Takes in a Unix time in microseconds that was asked for and came in at these times of the monotonic clock. Says by
    /// how much the offset grew, if it was corrected.
    pub fn observe(&mut self, unix: i64, asked: Time, came: Time, told: Told) -> Option<i64> {
        let lower = unix.checked_sub(came.0)?;
        let agree = |other: &&i64| (lower - **other).abs() <= AGREEMENT.0;
        let corroborated = self.lower_bounds.iter().any(|other| agree(&other));
        let best = self.lower_bounds.iter().filter(agree).copied().fold(lower, i64::max);
        if self.lower_bounds.len() == REMEMBERED {
            self.lower_bounds.pop_front();
        }
        self.lower_bounds.push_back(lower);
        if !corroborated {
            return None;
        }
        let before = self.offset;
        if lower > self.offset + ROUNDING.0 {
            self.offset = lower;
        }
        match told {
            Told::PrimaryAnswer => self.offset = self.offset.min((unix - asked.0 + ROUNDING.0).max(lower)),
            Told::PrimaryReport if self.offset > unix - asked.0 + REPORT_AGE.0 => {
                self.offset = best + REPORT_MARGIN.0;
            }
            Told::PrimaryReport | Told::Replica => {}
        }
        self.verified |= told != Told::Replica;
        (self.offset != before).then_some(self.offset - before)
    }
}
