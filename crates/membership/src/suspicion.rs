//! Suspicion timeouts and the local health multiplier, as in Lifeguard.
//!
//! Inputs are suspicions, probe results and time; times are whole microseconds. A suspicion
//! remembers at most [`CONFIRMATIONS`] + 1 reporters.

use std::collections::BTreeSet;

use valehatch_policy::{Span, Time};

use crate::wire::Incarnation;

/// Independent confirmations after which the shortest timeout applies.
pub const CONFIRMATIONS: usize = 3;
/// Longest timeout, without confirmations, as a multiple of the shortest.
pub const MAX_TIMEOUT_FACTOR: f64 = 6.0;
/// Greatest health score: intervals and timeouts are multiplied by at most this plus one.
pub const MAX_HEALTH_SCORE: u32 = 8;

/// A suspicion of a member. It begins with the longest timeout, and each further gateway that
/// suspects the same shortens it towards the shortest. So a gateway whose own messages get lost
/// cannot have others declared dead quickly.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// The suspected incarnation.
    pub incarnation: Incarnation,
    started_at: Time,
    reporters: BTreeSet<u16>,
    wanted_confirmations: usize,
    min_timeout: Span,
    timeout: Span,
}

impl Suspicion {
    /// `others` is the number of gateways that could confirm it; with none the shortest timeout
    /// applies.
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
            wanted_confirmations: CONFIRMATIONS.min(others),
            min_timeout,
            timeout: min_timeout,
        };
        suspicion.timeout = suspicion.current_timeout();
        suspicion
    }

    /// Adds a gateway that suspects the same; whether it is a new one. More reporters than are
    /// wanted are not remembered.
    pub fn confirm(&mut self, reporter: u16) -> bool {
        let is_new =
            self.reporters.len() <= self.wanted_confirmations && self.reporters.insert(reporter);
        self.timeout = self.current_timeout();
        is_new
    }

    /// When the member counts as dead.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.started_at + self.timeout
    }

    /// Moves the deadline by a time in which this process did not run, and so could not receive a
    /// refutation.
    pub fn postpone(&mut self, by: Span) {
        self.started_at = self.started_at + by;
    }

    fn current_timeout(&self) -> Span {
        let confirmations = (self.reporters.len() - 1).min(self.wanted_confirmations) as f64;
        let wanted = self.wanted_confirmations as f64;
        let progress = if self.wanted_confirmations == 0 {
            1.0
        } else {
            (confirmations + 1.0).ln() / (wanted + 1.0).ln()
        };
        self.min_timeout
            .times(MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1.0) * progress)
    }
}

/// Lifeguard's local health multiplier. A gateway that gets few answers is probably slow itself: it
/// probes less often and waits longer. The score is 0 for healthy, at most [`MAX_HEALTH_SCORE`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Raises the score by this many signs of being slow.
    pub fn degrade(&mut self, by: u32) {
        self.0 = (self.0 + by).min(MAX_HEALTH_SCORE);
    }

    /// Lowers the score by one: a ping was answered in time.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Sets the greatest score: this process did not run for long.
    pub fn degrade_fully(&mut self) {
        self.0 = MAX_HEALTH_SCORE;
    }

    /// The score.
    #[must_use]
    pub const fn score(self) -> u32 {
        self.0
    }

    /// A span multiplied by the score plus one.
    #[must_use]
    pub fn scale(self, span: Span) -> Span {
        span.times(f64::from(1 + self.0))
    }
}
