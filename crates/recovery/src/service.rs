//! Whether service is recovering or complete since a start: why, since when, and how long it took.
//!
//! Inputs are confirmed lists, finished requests, and time in whole microseconds. The state holds
//! one entry per front and one per 100 ms of the last [`STEADY`].

use std::collections::{BTreeSet, VecDeque};

use valehatch_policy::{Span, Time};

/// How long service must have been complete before it counts as full.
pub const STEADY: Span = Span::from_millis(2_000);
/// Least fraction of the requests of that time that were served.
pub const MIN_SERVED_FRACTION: f64 = 0.98;
/// Resolution in which requests are counted.
const STEP: Span = Span::from_millis(100);

/// Why service is not full yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveringReason {
    /// This many fronts have a list from the snapshot or none: discovery has not confirmed it.
    List(usize),
    /// Too few of the recent requests were served.
    Served,
    /// Service has not been complete for [`STEADY`].
    Steady,
}

impl RecoveringReason {
    /// The name shown in the log and in the state file.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::List(_) => "list",
            Self::Served => "served",
            Self::Steady => "steady",
        }
    }
}

/// The state of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// Not full yet, for this reason.
    Recovering(RecoveringReason),
    /// Complete.
    Full {
        /// Since when.
        since: Time,
        /// Time from the start until then.
        took: Span,
    },
}

/// The result of a request, as far as recovery is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// It had an answer, in time or late.
    Served,
    /// It was rejected or failed.
    Failed,
}

/// Requests that finished within one [`STEP`].
#[derive(Clone, Copy, Debug)]
struct StepCounts {
    start: Time,
    finished: u64,
    served: u64,
}

/// Service since a start. Once full it stays full: later faults are no recovery.
#[derive(Debug)]
pub struct ServiceRecovery {
    started_at: Time,
    /// Fronts, by index, whose list discovery has not confirmed.
    unconfirmed_fronts: BTreeSet<usize>,
    confirmed_at: Time,
    /// Steps of the last [`STEADY`] in which requests finished, the oldest first.
    steps: VecDeque<StepCounts>,
    state: ServiceState,
}

impl ServiceRecovery {
    /// A start with this many fronts whose lists discovery has to confirm.
    #[must_use]
    pub fn new(fronts: usize, now: Time) -> Self {
        let reason = if fronts == 0 {
            RecoveringReason::Steady
        } else {
            RecoveringReason::List(fronts)
        };
        Self {
            started_at: now,
            unconfirmed_fronts: (0..fronts).collect(),
            confirmed_at: now,
            steps: VecDeque::new(),
            state: ServiceState::Recovering(reason),
        }
    }

    /// Discovery confirmed the list of a front; only the first time counts.
    pub fn list_confirmed(&mut self, front: usize, now: Time) {
        if self.unconfirmed_fronts.remove(&front) {
            self.confirmed_at = self.confirmed_at.max(now);
        }
    }

    /// A request had its final answer.
    pub fn request_finished(&mut self, result: RequestResult, now: Time) {
        if matches!(self.state, ServiceState::Full { .. }) {
            return;
        }
        let start = Time(now.0 - now.0.rem_euclid(STEP.0));
        if self.steps.back().is_none_or(|step| step.start < start) {
            self.steps.push_back(StepCounts {
                start,
                finished: 0,
                served: 0,
            });
        }
        if let Some(step) = self.steps.back_mut() {
            step.finished += 1;
            step.served += u64::from(result == RequestResult::Served);
        }
    }

    /// Updates the state; `Some` if it changed.
    pub fn update(&mut self, now: Time) -> Option<ServiceState> {
        if matches!(self.state, ServiceState::Full { .. }) {
            return None;
        }
        while self
            .steps
            .front()
            .is_some_and(|step| step.start + STEP <= now - STEADY)
        {
            self.steps.pop_front();
        }
        let state = self.current_state(now);
        let before = std::mem::replace(&mut self.state, state);
        (before != state).then_some(state)
    }

    fn current_state(&self, now: Time) -> ServiceState {
        let unconfirmed = self.unconfirmed_fronts.len();
        if unconfirmed > 0 {
            return ServiceState::Recovering(RecoveringReason::List(unconfirmed));
        }
        let finished: u64 = self.steps.iter().map(|step| step.finished).sum();
        let served: u64 = self.steps.iter().map(|step| step.served).sum();
        let enough_served = finished == 0 || served as f64 >= MIN_SERVED_FRACTION * finished as f64;
        if !enough_served {
            return ServiceState::Recovering(RecoveringReason::Served);
        }
        if now - self.confirmed_at < STEADY {
            return ServiceState::Recovering(RecoveringReason::Steady);
        }
        let since = self.confirmed_at.max(now - STEADY);
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
