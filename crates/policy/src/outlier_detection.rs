//! Outlier detection: decides from this router's own evidence whether an endpoint may be used.
//!
//! - An endpoint that leaves an attempt unanswered for longer than responses ever take is ejected
//!   as unresponsive. It gets a trial attempt from time to time, and only an answer readmits it,
//!   because a hung process passes health checks.
//! - A failed health check ejects an endpoint as unreachable after [`FAILURES_BEFORE_EJECTION`]
//!   failures without an answer between them; further health checks show when the endpoint is back.
//!   Failed attempts count as failures, but never eject an endpoint on their own.
//!
//! Inputs: ends of attempts and of health checks, time. State: [`OutlierState`] of each endpoint.
//! Bounds: none of its own. Units: microseconds; failures are counted.

use std::collections::BTreeSet;

use crate::endpoint::{Endpoint, SentAttempt};
use crate::events::{Action, EndpointState};
use crate::ids::{ClassId, EndpointId, RequestId};
use crate::router::Router;
use crate::settings::Idempotency;
use crate::time::{Span, Time};

/// Number of failures, without an answer between them, from which a failed health check ejects an
/// endpoint. Failed attempts alone never eject, because their connections may fail for reasons of
/// this machine.
const FAILURES_BEFORE_EJECTION: u32 = 3;
/// Time from an ejection, or from the last attempt, to the next trial. The interval between health
/// checks of an unreachable endpoint starts with this value and doubles each time.
const FIRST_TRIAL_AFTER: Span = Span::from_millis(500);
/// Longest interval between two health checks of an unreachable endpoint; it is long because every
/// router checks the same dead endpoint. An unresponsive endpoint gets a trial attempt every
/// [`FIRST_TRIAL_AFTER`].
const MAX_TRIAL_INTERVAL: Span = Span::from_millis(4000);

/// Why an endpoint is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    /// The endpoint does not answer attempts.
    Unresponsive,
    /// Connections to the endpoint fail.
    Unreachable,
}

/// This router's evidence of whether an endpoint may be used.
#[derive(Debug, Default)]
pub(crate) struct OutlierState {
    /// Failures since the last answer. Failed health checks count only once an attempt has failed.
    consecutive_failures: u32,
    ejected: Option<EjectionCause>,
    next_trial_at: Time,
    trial_interval: Span,
    /// When the endpoint was last readmitted after it had been unreachable. Its process may have
    /// restarted in the meantime, long before the endpoint list shows that, so slow start begins
    /// again.
    readmitted_at: Option<Time>,
}

impl OutlierState {
    pub(crate) fn ejected(&self) -> Option<EjectionCause> {
        self.ejected
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    pub(crate) fn readmitted_at(&self) -> Option<Time> {
        self.readmitted_at
    }

    /// Readmits the endpoint and clears its failure count.
    pub(crate) fn readmit(&mut self, now: Time) {
        if self.ejected.take() == Some(EjectionCause::Unreachable) {
            self.readmitted_at = Some(now);
        }
        self.consecutive_failures = 0;
    }

    fn eject(&mut self, cause: EjectionCause, now: Time) {
        self.ejected = Some(cause);
        self.next_trial_at = now + FIRST_TRIAL_AFTER;
        self.trial_interval = FIRST_TRIAL_AFTER;
    }

    pub(crate) fn on_attempt_sent(&mut self, now: Time) {
        self.next_trial_at = now + FIRST_TRIAL_AFTER;
    }

    /// Counts an attempt whose connection failed or broke.
    pub(crate) fn on_attempt_failed(&mut self) {
        self.consecutive_failures += 1;
    }

    /// Readmits the endpoint after a health check passed, unless the endpoint is unresponsive: a
    /// hung process passes health checks.
    pub(crate) fn on_health_check_passed(&mut self, now: Time) {
        if self.ejected != Some(EjectionCause::Unresponsive) {
            self.readmit(now);
        }
    }

    /// Counts a health check without an answer; returns whether it ejects the endpoint.
    pub(crate) fn on_health_check_failed(&mut self, now: Time) -> bool {
        if self.is_ejected() {
            return false;
        }
        if self.consecutive_failures > 0 {
            self.consecutive_failures += 1;
        }
        if self.consecutive_failures < FAILURES_BEFORE_EJECTION {
            return false;
        }
        self.eject(EjectionCause::Unreachable, now);
        true
    }

    /// Whether an unresponsive endpoint may get a trial attempt now.
    fn trial_attempt_is_due(&self, now: Time) -> bool {
        self.ejected == Some(EjectionCause::Unresponsive) && now >= self.next_trial_at
    }

    /// Whether an unreachable endpoint is due for a health check now. If so, the interval to the
    /// next one doubles.
    fn try_start_trial_check(&mut self, now: Time) -> bool {
        if self.ejected != Some(EjectionCause::Unreachable) || now < self.next_trial_at {
            return false;
        }
        self.next_trial_at = now + self.trial_interval;
        self.trial_interval = (self.trial_interval * 2).min(MAX_TRIAL_INTERVAL);
        true
    }
}

impl Router {
    /// Ejects the endpoints that have become unresponsive.
    pub(crate) fn run_outlier_detection(&mut self, actions: &mut Vec<Action>) {
        let is_unresponsive = |endpoint: &Endpoint| {
            self.unresponsive_at(endpoint)
                .is_some_and(|at| at < self.now)
        };
        let unresponsive: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_unresponsive(endpoint))
            .map(|(id, _)| *id)
            .collect();
        for id in unresponsive {
            self.eject_unresponsive(id, actions);
        }
    }

    /// Ejects an unresponsive endpoint, and cancels its attempts whose requests may run again
    /// elsewhere.
    fn eject_unresponsive(&mut self, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint
            .outlier
            .eject(EjectionCause::Unresponsive, self.now);
        let endpoint = &self.endpoints[&id];
        for attempt in endpoint.in_flight.keys() {
            if self.settings.limits.cancel && self.is_repeatable(attempt.request) {
                actions.push(Action::Cancel {
                    request: attempt.request,
                    attempt: attempt.attempt,
                });
            }
        }
        self.rule_out_primary(id);
    }

    /// Whether a request without a final answer may run twice.
    fn is_repeatable(&self, id: RequestId) -> bool {
        self.pending.get(&id).is_some_and(|request| {
            self.settings.class(request.class).idempotency != Idempotency::NonIdempotent
        })
    }

    /// When an endpoint becomes unresponsive unless it answers; `None` if it already is
    /// unresponsive or has no attempt in flight.
    pub(crate) fn unresponsive_at(&self, endpoint: &Endpoint) -> Option<Time> {
        if endpoint.outlier.ejected() == Some(EjectionCause::Unresponsive) {
            return None;
        }
        let overdue_at = |attempt: &SentAttempt| {
            let waits_since = endpoint
                .unanswered_since
                .map_or(attempt.sent_at, |since| since.max(attempt.sent_at));
            waits_since + self.unresponsive_after(attempt.class, endpoint.in_flight.len())
        };
        endpoint.in_flight.values().map(overdue_at).min()
    }

    /// How long an attempt of this class may stay unanswered before its endpoint, with `in_flight`
    /// attempts in flight, counts as unresponsive.
    pub(crate) fn unresponsive_after(&self, class: ClassId, in_flight: usize) -> Span {
        self.latencies.unresponsive_after(class, in_flight) + self.settings.tick
    }

    /// Whether an endpoint may get an attempt now: it is ready, or unresponsive and due for a
    /// trial.
    pub(crate) fn accepts_attempts(&self, id: EndpointId) -> bool {
        self.endpoints.get(&id).is_some_and(|endpoint| {
            endpoint.is_ready()
                || (endpoint.state == EndpointState::Ready
                    && endpoint.outlier.trial_attempt_is_due(self.now))
        })
    }

    /// Sends health checks to the unreachable endpoints that are due for one. Called only while
    /// requests wait that these endpoints could serve.
    pub(crate) fn check_unreachable_endpoints(
        &mut self,
        candidates: &BTreeSet<EndpointId>,
        actions: &mut Vec<Action>,
    ) {
        for id in candidates {
            let Some(endpoint) = self.endpoints.get_mut(id) else {
                continue;
            };
            if endpoint.outlier.try_start_trial_check(self.now) {
                self.start_health_check(*id, actions);
            }
        }
    }
}
