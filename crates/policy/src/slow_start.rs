//! Slow start: how much an endpoint that has just started may be sent.
//!
//! An endpoint overloads when all gateways together send it more work than the settings allow
//! within a window (`Rules::overload_multiple` times what it can do in `Rules::overload_duration`,
//! plus a slack for chance). No gateway sees what the others send, so each keeps to its quota: a
//! token bucket for each endpoint, refilled by the endpoint's part of what tenants may request, in
//! requests of mean work. A quota is mostly less than one request, so a fraction of a token is a
//! probability.
//!
//! Long queries count by their work. Their tokens are kept apart, by their part of all work, so
//! that one that waits does not use up what short ones need; what they leave unused is available to
//! the short ones too.
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

/// Quotas are in requests a second, times in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;
/// Fraction of the budget that is used; the rest is for estimation errors and for chance.
const BUDGET_USED: f64 = 0.7;
/// A class whose requests take more than so many times the mean work counts as long.
const LONG_COST: f64 = 3.0;
/// A request of c times the mean work is charged c to this power. A sum of few large requests
/// varies more than one of many small ones: with this exponent four standard deviations of it stay
/// within the slack that the rule gives.
const COST_EXPONENT: f64 = 1.5;
/// Weight of the assumption that all classes bring the same work, in requests.
const PRIOR_REQUESTS: f64 = 20.0;
/// Requests over which the mix of classes is averaged.
const CLASS_MIX_REQUESTS: f64 = 400.0;
/// Weight of a sample below the estimate of a class's work. The work is taken from the quickest
/// responses: the rest of a latency is queueing.
const WORK_GAIN_DOWN: f64 = 0.3;
/// Weight of a sample above it.
const WORK_GAIN_UP: f64 = 0.02;

/// What requests of each class cost an endpoint, compared with the mean request.
#[derive(Debug)]
pub(crate) struct ClassCosts {
    /// Assumed work of a request of each class before any response, in microseconds: only their
    /// ratios count.
    assumed: Vec<f64>,
    /// The same as measured, once there was a response.
    measured: Vec<Option<f64>>,
    /// Recent requests of each class.
    arrivals: Vec<f64>,
}

impl ClassCosts {
    /// Starts from the latency that is assumed of each class before any response, in microseconds.
    pub(crate) fn new(latencies: &[f64]) -> Self {
        let assumed = latencies.iter().map(|latency| latency.max(1.0)).collect();
        Self {
            assumed,
            measured: vec![None; latencies.len()],
            arrivals: vec![0.0; latencies.len()],
        }
    }

    /// Counts a request that came in.
    pub(crate) fn on_request(&mut self, class: ClassId) {
        self.arrivals[class.0] += 1.0;
        if self.arrivals.iter().sum::<f64>() > CLASS_MIX_REQUESTS {
            for count in &mut self.arrivals {
                *count /= 2.0;
            }
        }
    }

    /// Takes in how long a served request took, in microseconds.
    pub(crate) fn on_served(&mut self, class: ClassId, latency: f64) {
        let work = self.measured[class.0].get_or_insert(latency);
        let gain = if latency < *work {
            WORK_GAIN_DOWN
        } else {
            WORK_GAIN_UP
        };
        *work = (*work + gain * (latency - *work)).max(1.0);
    }

    /// Estimated work of a request of each class, in microseconds. The assumptions for classes
    /// without a measurement are corrected by the mean factor of the others.
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

    /// What a request of this class costs.
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

/// Cost of a request, compared with all requests.
#[derive(Clone, Copy, Debug)]
struct RequestCost {
    /// Its work, in requests of mean work.
    cost: f64,
    /// The fraction of all work, from 0 to 1, that long classes bring.
    long_fraction: f64,
}

/// Tokens of one endpoint, in requests of mean work.
#[derive(Debug, Default)]
pub(crate) struct SlowStartBudget {
    short: f64,
    long: f64,
    refilled_at: Time,
}

impl SlowStartBudget {
    /// Adds what has accrued at `rate` tokens a microsecond. What is saved and what accrues
    /// meanwhile stay within the budget of any one window.
    fn refill(&mut self, now: Time, rate: f64, window: Span, long_fraction: f64) {
        let elapsed = (now - self.refilled_at.max(now - window)).as_f64();
        let most = rate * window.as_f64() * (1.0 / BUDGET_USED - 1.0);
        let refilled =
            |tokens: f64, fraction: f64| (tokens + fraction * rate * elapsed).min(fraction * most);
        self.short = refilled(self.short, 1.0 - long_fraction);
        self.long = refilled(self.long, long_fraction);
        self.refilled_at = now;
    }

    /// Takes one token for a short request, of either kind; `chance` is drawn evenly from 0 to 1.
    fn take_short(&mut self, chance: f64) -> bool {
        let tokens = self.short + self.long;
        let spent = tokens.min(1.0);
        let from_long = (spent - self.short).max(0.0);
        self.short = (self.short - spent).max(0.0);
        self.long = (self.long - from_long).max(0.0);
        tokens >= 1.0 || chance < tokens
    }

    /// Takes tokens for a long request that is charged `charge` of them.
    fn take_long(&mut self, charge: f64, chance: f64) -> bool {
        let granted = self.long >= charge || chance < self.long / charge;
        self.long = (self.long - charge).max(0.0);
        granted
    }
}

impl Router {
    /// The fraction of its capacity that an endpoint in slow start surely has; `None` once it has
    /// its full capacity.
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

    /// Whether a request of this class may be sent to an endpoint now, as far as slow start goes.
    /// Uses its budget.
    pub(crate) fn try_acquire_slow_start_budget(&mut self, id: EndpointId, class: ClassId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return false;
        };
        let Some(fraction) = self.slow_start_fraction(endpoint) else {
            return true;
        };
        let rules = &self.settings.rules;
        let usual = self.usual_request_rate(endpoint);
        let rate = BUDGET_USED * rules.overload_multiple * fraction * usual;
        let window = rules.overload_duration;
        let request = self.class_costs.cost(class);
        let chance = self.random();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return false;
        };
        let budget = &mut endpoint.slow_start;
        budget.refill(self.now, rate, window, request.long_fraction);
        if request.cost > LONG_COST {
            budget.take_long(request.cost.powf(COST_EXPONENT), chance)
        } else {
            budget.take_short(chance)
        }
    }

    /// Requests of mean work a microsecond that this router may expect an endpoint to serve at full
    /// capacity: what its warm endpoints serve, and at least the endpoint's part of the tenants'
    /// quotas, because a router that has just started, or seldom uses it, has hardly any responses.
    fn usual_request_rate(&self, endpoint: &Endpoint) -> f64 {
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
