//! Slow start: limits how much an endpoint that has just started is sent.
//!
//! An endpoint overloads when all gateways together send it more work within a window than the
//! settings allow: `Rules::overload_multiple` times what it can do in `Rules::overload_duration`,
//! plus a slack for random variation. No gateway sees what the others send, so each keeps to its
//! own quota: a token bucket for each endpoint, refilled by the endpoint's share of what tenants
//! may request, in requests of mean work. A quota is usually less than one request, so a fraction
//! of a token is the probability that a request is sent.
//!
//! Long queries are charged by their work. Their tokens are kept separately, in proportion to their
//! share of all work, so that a waiting long query does not use up the tokens of short ones. Tokens
//! that long queries leave unused are available to short queries too.
//!
//! Inputs: requests and responses by class, attempts that are about to be sent. State:
//! [`ClassCosts`], and a [`SlowStartBudget`] for each endpoint. Bounds: one entry for each class; a
//! bucket holds at most what one window allows beyond its refill. Units: microseconds; tokens are
//! requests of mean work.

use crate::endpoint::Endpoint;
use crate::events::EndpointState;
use crate::ids::{ClassId, EndpointId};
use crate::latency::MIN_DECAY;
use crate::router::Router;
use crate::time::{Span, Time};

/// Converts quotas, which are in requests per second, to requests per microsecond.
const MICROS_PER_SECOND: f64 = 1e6;
/// Fraction of the budget that is used; the rest allows for estimation errors and random variation.
const BUDGET_FRACTION_USED: f64 = 0.7;
/// A class whose requests take more than this many times the mean work counts as long.
const LONG_COST: f64 = 3.0;
/// A request of `c` times the mean work is charged `c` to the power of this exponent. The sum of a
/// few large requests varies more than that of many small ones: with this exponent, four standard
/// deviations of the sum stay within the slack that the overload rule gives.
const COST_EXPONENT: f64 = 1.5;
/// Weight, in requests, of the prior assumption that all classes bring the same amount of work.
const PRIOR_REQUESTS: f64 = 20.0;
/// Number of requests over which the mix of classes is averaged.
const CLASS_MIX_REQUESTS: f64 = 400.0;
/// Weight of a sample below the estimate of a class's work; larger than [`WORK_GAIN_UP`] because
/// the work is estimated from the quickest responses. The rest of a latency is queueing.
const WORK_GAIN_DOWN: f64 = 0.3;
/// Weight of a sample above the estimate of a class's work.
const WORK_GAIN_UP: f64 = 0.02;

/// Cost of the requests of each class for an endpoint, relative to the mean request.
#[derive(Debug)]
pub(crate) struct ClassCosts {
    /// Assumed work of a request of each class before any response, in microseconds; only the
    /// ratios between classes matter.
    assumed: Vec<f64>,
    /// Measured work of a request of each class, in microseconds; `None` before the first response.
    measured: Vec<Option<f64>>,
    /// Decaying count of the requests of each class.
    arrivals: Vec<f64>,
}

impl ClassCosts {
    /// Starts from the latency assumed for each class before any response, in microseconds.
    pub(crate) fn new(latencies: &[f64]) -> Self {
        let assumed = latencies.iter().map(|latency| latency.max(1.0)).collect();
        Self {
            assumed,
            measured: vec![None; latencies.len()],
            arrivals: vec![0.0; latencies.len()],
        }
    }

    /// Counts a new request of a class.
    pub(crate) fn on_request(&mut self, class: ClassId) {
        self.arrivals[class.0] += 1.0;
        if self.arrivals.iter().sum::<f64>() > CLASS_MIX_REQUESTS {
            for count in &mut self.arrivals {
                *count /= 2.0;
            }
        }
    }

    /// Updates the measured work of a class from the latency of a served request, in microseconds.
    pub(crate) fn on_served(&mut self, class: ClassId, latency: f64) {
        let work = self.measured[class.0].get_or_insert(latency);
        let gain = if latency < *work {
            WORK_GAIN_DOWN
        } else {
            WORK_GAIN_UP
        };
        *work = (*work + gain * (latency - *work)).max(1.0);
    }

    /// Estimated work of a request of each class, in microseconds. For classes without a
    /// measurement, the assumed work is scaled by the mean ratio of measured to assumed work of the
    /// other classes.
    fn work(&self) -> Vec<f64> {
        let measured = self.measured.iter().zip(&self.assumed);
        let factors: Vec<f64> = measured
            .filter_map(|(work, assumed)| Some((*work)? / assumed))
            .collect();
        let factor = if factors.is_empty() {
            1.0
        } else {
            factors.iter().sum::<f64>() / factors.len() as f64
        };
        self.measured
            .iter()
            .zip(&self.assumed)
            .map(|(work, assumed)| work.unwrap_or(assumed * factor))
            .collect()
    }

    fn cost(&self, class: ClassId) -> RequestCost {
        let work = self.work();
        let inverse: f64 = work.iter().map(|work| 1.0 / work).sum();
        let weights: Vec<f64> = self
            .arrivals
            .iter()
            .zip(&work)
            .map(|(arrivals, work)| arrivals + PRIOR_REQUESTS / work / inverse)
            .collect();
        let all_work: f64 = weights
            .iter()
            .zip(&work)
            .map(|(weight, work)| weight * work)
            .sum();
        let mean = all_work / weights.iter().sum::<f64>();
        let long_work: f64 = weights
            .iter()
            .zip(&work)
            .filter(|(_, work)| **work > LONG_COST * mean)
            .map(|(weight, work)| weight * work)
            .sum();
        RequestCost {
            cost: work[class.0] / mean,
            long_fraction: long_work / all_work,
        }
    }
}

/// Cost of a request, relative to all requests.
#[derive(Clone, Copy, Debug)]
struct RequestCost {
    /// Work of the request, in requests of mean work.
    cost: f64,
    /// Fraction of all work, from 0 to 1, that long classes bring.
    long_fraction: f64,
}

/// Token buckets of one endpoint for short and for long requests, in requests of mean work.
#[derive(Debug, Default)]
pub(crate) struct SlowStartBudget {
    short: f64,
    long: f64,
    refilled_at: Time,
}

impl SlowStartBudget {
    /// Adds the tokens that have accrued at `rate` tokens per microsecond. Saved tokens and those
    /// that accrue within a window together stay within the budget of that window.
    fn refill(&mut self, now: Time, rate: f64, window: Span, long_fraction: f64) {
        let elapsed = (now - self.refilled_at.max(now - window)).as_f64();
        let max_tokens = rate * window.as_f64() * (1.0 / BUDGET_FRACTION_USED - 1.0);
        let refilled = |tokens: f64, fraction: f64| {
            (tokens + fraction * rate * elapsed).min(fraction * max_tokens)
        };
        self.short = refilled(self.short, 1.0 - long_fraction);
        self.long = refilled(self.long, long_fraction);
        self.refilled_at = now;
    }

    /// Takes one token for a short request, first from the short and then from the long bucket. A
    /// fraction of a token grants the request with that probability: `random` is uniformly
    /// distributed from 0 to 1.
    fn take_short(&mut self, random: f64) -> bool {
        let tokens = self.short + self.long;
        let spent = tokens.min(1.0);
        let from_long = (spent - self.short).max(0.0);
        self.short = (self.short - spent).max(0.0);
        self.long = (self.long - from_long).max(0.0);
        tokens >= 1.0 || random < tokens
    }

    /// Takes `charge` tokens for a long request. Fewer tokens grant the request with a probability
    /// in proportion.
    fn take_long(&mut self, charge: f64, random: f64) -> bool {
        let granted = self.long >= charge || random < self.long / charge;
        self.long = (self.long - charge).max(0.0);
        granted
    }
}

impl Router {
    /// Fraction of its capacity that an endpoint in slow start is certain to have; `None` once it
    /// has its full capacity.
    pub(crate) fn slow_start_fraction(&self, endpoint: &Endpoint) -> Option<f64> {
        let rules = &self.settings.rules;
        let started = endpoint.started.max(endpoint.outlier.readmitted_at())?;
        let age = self.now - started;
        let progress = (age.as_f64() / rules.slow_start_duration.as_f64()).max(0.0);
        if progress < 1.0 {
            let initial = rules.slow_start_initial_capacity;
            Some(initial + (1.0 - initial) * progress)
        } else {
            None
        }
    }

    /// Whether an endpoint has its full capacity.
    pub(crate) fn is_warm(&self, id: EndpointId) -> bool {
        self.endpoints
            .get(&id)
            .is_some_and(|endpoint| self.slow_start_fraction(endpoint).is_none())
    }

    pub(crate) fn is_ready_and_warm(&self, endpoint: &Endpoint) -> bool {
        endpoint.is_ready() && self.slow_start_fraction(endpoint).is_none()
    }

    /// Whether slow start allows a request of this class to be sent to an endpoint now. Consumes
    /// the endpoint's budget.
    pub(crate) fn try_acquire_slow_start_budget(&mut self, id: EndpointId, class: ClassId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return false;
        };
        let Some(fraction) = self.slow_start_fraction(endpoint) else {
            return true;
        };
        let rules = &self.settings.rules;
        let expected = self.expected_request_rate(endpoint);
        let rate = BUDGET_FRACTION_USED * rules.overload_multiple * fraction * expected;
        let window = rules.overload_duration;
        let request = self.class_costs.cost(class);
        let random = self.random();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return false;
        };
        let budget = &mut endpoint.slow_start;
        budget.refill(self.now, rate, window, request.long_fraction);
        if request.cost > LONG_COST {
            budget.take_long(request.cost.powf(COST_EXPONENT), random)
        } else {
            budget.take_short(random)
        }
    }

    /// Rate, in requests of mean work per microsecond, that this router may expect an endpoint to
    /// serve at full capacity. The rate is measured at the router's warm endpoints, and is at least
    /// the endpoint's share of the tenants' quotas, because a router that has just started, or that
    /// seldom uses the endpoint, has hardly any responses.
    fn expected_request_rate(&self, endpoint: &Endpoint) -> f64 {
        let memory = self.settings.rules.slow_start_duration.max(MIN_DECAY);
        let measured = self.warm_responses_now() / memory.as_f64();
        let all_tenants: f64 = self
            .settings
            .tenants
            .iter()
            .map(|tenant| tenant.allowance)
            .sum();
        let quota = all_tenants / f64::from(self.settings.routers);
        let ready_weight: f64 = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.state == EndpointState::Ready)
            .map(|endpoint| endpoint.weight)
            .sum();
        measured.max(quota / MICROS_PER_SECOND / ready_weight) * endpoint.weight
    }
}
