//! Whether service is recovering or complete after a start: the reason, since when, and how long
//! recovery took.
//!
//! Inputs are confirmed lists, finished requests, and time in whole microseconds. The state holds
//! one entry per front and one per 100 ms of the last [`STABILITY_PERIOD`].

use std::collections::{BTreeSet, VecDeque};

use valehatch_policy::{Span, Time};

/// How long service must have been complete before it counts as full.
pub const STABILITY_PERIOD: Span = Span::from_millis(2_000);
/// Minimum fraction of the requests finished in the last [`STABILITY_PERIOD`] that must have been
/// served.
pub const MIN_SERVED_FRACTION: f64 = 0.98;
/// Length of the intervals for which requests are counted.
const COUNT_INTERVAL: Span = Span::from_millis(100);

/// Reason why service is not full yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveringReason {
    /// Discovery has not confirmed the endpoint list of this many fronts: each has a list from the
    /// snapshot or none.
    UnconfirmedLists(usize),
    /// Less than [`MIN_SERVED_FRACTION`] of the recent requests were served.
    LowServedFraction,
    /// Service has not been complete for [`STABILITY_PERIOD`] yet.
    NotYetStable,
}

impl RecoveringReason {
    /// Name of the reason in the log and in the state file.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::UnconfirmedLists(_) => "list",
            Self::LowServedFraction => "served",
            Self::NotYetStable => "steady",
        }
    }
}

/// State of the service since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// Service is not full yet, for this reason.
    Recovering(RecoveringReason),
    /// Service is full.
    Full {
        /// When service became complete.
        since: Time,
        /// Time from the start until `since`.
        took: Span,
    },
}

/// Result of a request, as far as it matters for recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The request was answered, in time or late.
    Served,
    /// The request was rejected or failed.
    Failed,
}

/// Numbers of requests that finished within one [`COUNT_INTERVAL`].
#[derive(Clone, Copy, Debug)]
struct IntervalCounts {
    start: Time,
    finished: u64,
    served: u64,
}

/// Tracks the recovery of service after a start. Once service is full, it stays full: faults after
/// that are not part of the recovery.
#[derive(Debug)]
pub struct ServiceRecovery {
    started_at: Time,
    /// Indexes of the fronts whose list discovery has not confirmed.
    unconfirmed_fronts: BTreeSet<usize>,
    confirmed_at: Time,
    /// Intervals of the last [`STABILITY_PERIOD`] in which requests finished, oldest first.
    intervals: VecDeque<IntervalCounts>,
    state: ServiceState,
}

impl ServiceRecovery {
    /// Starts with this number of fronts whose lists discovery must confirm.
    #[must_use]
    pub fn new(fronts: usize, now: Time) -> Self {
        let reason = if fronts == 0 {
            RecoveringReason::NotYetStable
        } else {
            RecoveringReason::UnconfirmedLists(fronts)
        };
        Self {
            started_at: now,
            unconfirmed_fronts: (0..fronts).collect(),
            confirmed_at: now,
            intervals: VecDeque::new(),
            state: ServiceState::Recovering(reason),
        }
    }

    /// Records that discovery has confirmed the list of a front. Later confirmations of the same
    /// front have no effect.
    pub fn list_confirmed(&mut self, front: usize, now: Time) {
        if self.unconfirmed_fronts.remove(&front) {
            self.confirmed_at = self.confirmed_at.max(now);
        }
    }

    /// Records the final result of a request.
    pub fn request_finished(&mut self, result: RequestResult, now: Time) {
        if matches!(self.state, ServiceState::Full { .. }) {
            return;
        }
        let start = Time(now.0 - now.0.rem_euclid(COUNT_INTERVAL.0));
        if self
            .intervals
            .back()
            .is_none_or(|interval| interval.start < start)
        {
            self.intervals.push_back(IntervalCounts {
                start,
                finished: 0,
                served: 0,
            });
        }
        if let Some(interval) = self.intervals.back_mut() {
            interval.finished += 1;
            interval.served += u64::from(result == RequestResult::Served);
        }
    }

    /// Updates the state. Returns the new state if it has changed.
    pub fn update(&mut self, now: Time) -> Option<ServiceState> {
        if matches!(self.state, ServiceState::Full { .. }) {
            return None;
        }
        while self
            .intervals
            .front()
            .is_some_and(|interval| interval.start + COUNT_INTERVAL <= now - STABILITY_PERIOD)
        {
            self.intervals.pop_front();
        }
        let state = self.current_state(now);
        let before = std::mem::replace(&mut self.state, state);
        (before != state).then_some(state)
    }

    fn current_state(&self, now: Time) -> ServiceState {
        let unconfirmed = self.unconfirmed_fronts.len();
        if unconfirmed > 0 {
            return ServiceState::Recovering(RecoveringReason::UnconfirmedLists(unconfirmed));
        }
        let finished: u64 = self
            .intervals
            .iter()
            .map(|interval| interval.finished)
            .sum();
        let served: u64 = self.intervals.iter().map(|interval| interval.served).sum();
        let enough_served = finished == 0 || served as f64 >= MIN_SERVED_FRACTION * finished as f64;
        if !enough_served {
            return ServiceState::Recovering(RecoveringReason::LowServedFraction);
        }
        if now - self.confirmed_at < STABILITY_PERIOD {
            return ServiceState::Recovering(RecoveringReason::NotYetStable);
        }
        let since = self.confirmed_at.max(now - STABILITY_PERIOD);
        ServiceState::Full {
            since,
            took: since - self.started_at,
        }
    }

    /// The state at the last [`Self::update`].
    #[must_use]
    pub const fn state(&self) -> ServiceState {
        self.state
    }
}
