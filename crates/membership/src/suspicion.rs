//! Suspicion timeouts and the local health multiplier, as in Lifeguard.
//!
//! Inputs are suspicions, probe results and time in whole microseconds. A suspicion stores at most
//! [`CONFIRMATIONS`] + 1 reporters.

use std::collections::BTreeSet;

use valehatch_policy::{Span, Time};

use crate::wire::Incarnation;

/// Independent confirmations after which the shortest timeout applies.
pub const CONFIRMATIONS: usize = 3;
/// Longest timeout, which applies without confirmations, as a multiple of the shortest.
pub const MAX_TIMEOUT_FACTOR: f64 = 6.0;
/// Worst health score. Intervals and timeouts are multiplied by at most this plus one.
pub const MAX_HEALTH_SCORE: u32 = 8;

/// A suspicion of a member. The timeout starts at the longest value and shrinks towards the
/// shortest with each further gateway that confirms the suspicion. A gateway whose own messages get
/// lost therefore cannot quickly get others declared dead.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// The suspected incarnation.
    pub incarnation: Incarnation,
    started_at: Time,
    reporters: BTreeSet<u16>,
    required_confirmations: usize,
    min_timeout: Span,
    timeout: Span,
}

impl Suspicion {
    /// Starts a suspicion. `others` is the number of gateways that could confirm it; if there are
    /// none, the shortest timeout applies.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        reporter: u16,
        others: usize,
        min_timeout: Span,
        now: Time,
    ) -> Self {
        let mut suspicion = Self {
            incarnation,
            started_at: now,
            reporters: BTreeSet::from([reporter]),
            required_confirmations: CONFIRMATIONS.min(others),
            min_timeout,
            timeout: min_timeout,
        };
        suspicion.timeout = suspicion.current_timeout();
        suspicion
    }

    /// Adds a gateway that suspects the same incarnation. Returns whether the reporter is new;
    /// reporters beyond the required number of confirmations are not stored and count as known.
    pub fn confirm(&mut self, reporter: u16) -> bool {
        let is_new =
            self.reporters.len() <= self.required_confirmations && self.reporters.insert(reporter);
        self.timeout = self.current_timeout();
        is_new
    }

    /// When the member is declared dead unless it refutes the suspicion.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.started_at + self.timeout
    }

    /// Extends the deadline by a time in which this process did not run and therefore could not
    /// receive a refutation.
    pub fn postpone(&mut self, by: Span) {
        self.started_at = self.started_at + by;
    }

    fn current_timeout(&self) -> Span {
        let confirmations = (self.reporters.len() - 1).min(self.required_confirmations) as f64;
        let required = self.required_confirmations as f64;
        let progress = if self.required_confirmations == 0 {
            1.0
        } else {
            (confirmations + 1.0).ln() / (required + 1.0).ln()
        };
        self.min_timeout
            .times(MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1.0) * progress)
    }
}

/// Lifeguard's local health multiplier. A gateway that gets few answers is probably slow itself, so
/// it probes less often and waits longer. The score ranges from 0 (healthy) to
/// [`MAX_HEALTH_SCORE`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Raises the score, up to [`MAX_HEALTH_SCORE`].
    pub fn degrade(&mut self, by: u32) {
        self.0 = (self.0 + by).min(MAX_HEALTH_SCORE);
    }

    /// Lowers the score by one, after a probe was answered in time.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Sets the worst score, after this process did not run for a long time.
    pub fn degrade_fully(&mut self) {
        self.0 = MAX_HEALTH_SCORE;
    }

    /// The score, from 0 (healthy) to [`MAX_HEALTH_SCORE`].
    #[must_use]
    pub const fn score(self) -> u32 {
        self.0
    }

    /// Scales an interval or timeout by the score plus one.
    #[must_use]
    pub fn scale(self, span: Span) -> Span {
        span.times(f64::from(1 + self.0))
    }
}
