//! Latency estimates, updated from the ends of attempts and health checks.
//!
//! Inputs: the outcome and latency of each attempt, whether or not its request still waits, and of
//! each health check. State: [`LatencyEstimates`] (mean and deviation of each class), and of each
//! endpoint its failure rate and [`DecayingValue`]s. Bounds: one entry for each class or endpoint.
//! Units: microseconds as `f64`; rates and excesses are fractions.

use crate::endpoint::{Endpoint, SentAttempt};
use crate::events::{AttemptEnd, Outcome};
use crate::ids::{ClassId, EndpointId};
use crate::router::Router;
use crate::settings::{RequestClass, Settings};
use crate::time::{Span, Time};

/// Weight of a new sample in a moving average: about the last ten samples count.
pub(crate) const GAIN: f64 = 0.1;
/// Weight of a new sample in an endpoint's excess latency; larger than [`GAIN`], because a router
/// may get only two or three responses from an endpoint.
const EXCESS_GAIN: f64 = 0.3;
/// Largest excess latency, as a multiple of the class's mean latency.
pub(crate) const MAX_EXCESS: f64 = 9.0;
/// Standard deviations above the mean latency after which an unanswered attempt marks its endpoint
/// unresponsive.
const UNRESPONSIVE_AFTER_DEVIATIONS: f64 = 9.0;
/// A response that takes more than this fraction of its class's latency objective is slow; the rest
/// of the objective is for queueing and retries.
pub(crate) const SLOW_FRACTION: f64 = 0.33;
/// Shortest time constant of decaying values, for deployments whose slow start is shorter.
pub(crate) const MIN_DECAY: Span = Span::from_millis(1000);

/// `amount` after it has decayed exponentially for `elapsed`, with this time constant or
/// [`MIN_DECAY`] if that is longer.
pub(crate) fn decayed(amount: f64, elapsed: Span, time_constant: Span) -> f64 {
    amount * (-elapsed.as_f64() / time_constant.max(MIN_DECAY).as_f64()).exp()
}

/// A value that decays exponentially from the moment at which it was set.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingValue {
    pub(crate) value: f64,
    pub(crate) set_at: Time,
}

impl DecayingValue {
    pub(crate) fn at(&self, now: Time, time_constant: Span) -> f64 {
        decayed(self.value, now - self.set_at, time_constant)
    }
}

/// Latencies of each class and of health checks, in microseconds.
#[derive(Debug)]
pub(crate) struct LatencyEstimates {
    mean: Vec<f64>,
    deviation: Vec<f64>,
    health_check: f64,
}

impl LatencyEstimates {
    /// Assumes a quarter of each latency objective, and one tick for health checks, until latencies
    /// are measured.
    pub(crate) fn new(settings: &Settings) -> Self {
        let objectives = || {
            settings
                .classes
                .iter()
                .map(|class| class.latency_objective.as_f64())
        };
        Self {
            mean: objectives()
                .map(|objective| (objective / 4.0).max(1.0))
                .collect(),
            deviation: objectives().map(|objective| objective / 8.0).collect(),
            health_check: settings.tick.as_f64(),
        }
    }

    /// Mean latency of each class, in microseconds; at least 1.
    pub(crate) fn means(&self) -> &[f64] {
        &self.mean
    }

    /// Mean latency of a class, in microseconds; at least 1.
    pub(crate) fn mean(&self, class: ClassId) -> f64 {
        self.mean[class.0]
    }

    /// Mean latency of a class; at least 1 microsecond.
    pub(crate) fn expected(&self, class: ClassId) -> Span {
        Span::from_micros(self.mean(class))
    }

    /// Mean latency of health checks, in microseconds.
    pub(crate) fn health_check(&self) -> f64 {
        self.health_check
    }

    /// How long an attempt of this class may stay unanswered before its endpoint, with `in_flight`
    /// attempts in flight, counts as unresponsive. The time depends on the class: cancelling a long
    /// query only because it takes long makes it run twice.
    pub(crate) fn unresponsive_after(&self, class: ClassId, in_flight: usize) -> Span {
        let deviations = UNRESPONSIVE_AFTER_DEVIATIONS / (in_flight.max(1) as f64).sqrt();
        Span::from_micros(self.mean[class.0] + deviations * self.deviation[class.0])
    }

    fn on_served(&mut self, class: ClassId, latency: f64) {
        let (mean, deviation) = (&mut self.mean[class.0], &mut self.deviation[class.0]);
        *deviation += GAIN * ((latency - *mean).abs() - *deviation);
        *mean = (*mean + GAIN * (latency - *mean)).max(1.0);
    }

    pub(crate) fn on_health_check(&mut self, latency: Span) {
        self.health_check += GAIN * (latency.as_f64() - self.health_check);
    }
}

/// Whether an attempt took long enough to count as slow. A timeout alone does not make an attempt
/// slow, because the client's deadline may be short.
fn is_slow(end: &AttemptEnd, class: &RequestClass) -> bool {
    end.latency > class.latency_objective.times(SLOW_FRACTION)
}

impl Router {
    /// Updates all estimates from the end of an attempt, whether or not its request still waits.
    pub(crate) fn update_estimates(&mut self, end: &AttemptEnd, sent: &SentAttempt) {
        if !self.endpoints.contains_key(&end.endpoint) {
            return;
        }
        let slow = is_slow(end, self.settings.class(sent.class));
        self.update_failure_rate(end);
        if !end.outcome.never_ran() && (end.outcome == Outcome::Ok || slow) {
            self.update_excess_latency(end, sent.class);
        }
        if !end.outcome.never_ran() || end.outcome == Outcome::Rejected {
            self.update_latency_utilization(end, sent.class);
        }
        self.update_concurrency_limit(end, slow);
        if end.outcome != Outcome::Ok {
            return;
        }
        self.count_warm_response(end.endpoint);
        let latency = end.latency.as_f64();
        self.class_costs.on_served(sent.class, latency);
        self.latencies.on_served(sent.class, latency);
        self.remember_session_write(end, sent);
    }

    fn update_failure_rate(&mut self, end: &AttemptEnd) {
        let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) else {
            return;
        };
        let failed = matches!(end.outcome, Outcome::Error | Outcome::Reset);
        endpoint.failure_rate += GAIN * (f64::from(u8::from(failed)) - endpoint.failure_rate);
    }

    fn update_excess_latency(&mut self, end: &AttemptEnd, class: ClassId) {
        let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) else {
            return;
        };
        let excess =
            (end.latency.as_f64() / self.latencies.mean(class) - 1.0).clamp(0.0, MAX_EXCESS);
        let before = endpoint
            .excess_latency
            .at(self.now, self.settings.rules.slow_start_duration);
        endpoint.excess_latency = DecayingValue {
            value: before + EXCESS_GAIN * (excess - before),
            set_at: self.now,
        };
    }

    /// Counts a response of an endpoint at full capacity, divided by the total weight of all such
    /// endpoints at that moment. If the weight of a later moment were used, an endpoint whose group
    /// has shrunk would seem to have served far more.
    fn count_warm_response(&mut self, id: EndpointId) {
        let is_warm = |endpoint: &&Endpoint| self.is_ready_and_warm(endpoint);
        if self.endpoints.get(&id).filter(is_warm).is_none() {
            return;
        }
        let weight: f64 = self
            .endpoints
            .values()
            .filter(is_warm)
            .map(|endpoint| endpoint.weight)
            .sum();
        self.warm_responses = DecayingValue {
            value: self.warm_responses_now() + 1.0 / weight,
            set_at: self.now,
        };
    }

    /// Decaying count of responses from endpoints at full capacity, per unit of endpoint weight.
    pub(crate) fn warm_responses_now(&self) -> f64 {
        self.warm_responses
            .at(self.now, self.settings.rules.slow_start_duration)
    }

    /// How well this router's own recent responses describe each endpoint, from 0 (not at all) to 1
    /// (sufficiently).
    pub(crate) fn measurement_confidence(&self) -> f64 {
        (self.warm_responses_now() * GAIN).min(1.0)
    }
}
