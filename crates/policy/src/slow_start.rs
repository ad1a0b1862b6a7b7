//! Slow start: how much an endpoint that has just started may be sent.
//!
//! An endpoint overloads when all gateways together send it more work than the settings allow within a window
//! (`Rules::tip_multiple` times what it can do in `Rules::tip_after`, plus a slack for chance). No gateway sees what
//! the others send, so each keeps to its share: a token bucket for each endpoint, refilled by the endpoint's part of
//! what tenants may ask for, in requests of mean work. A share is mostly less than one request, so a fraction of a
//! token is a chance.
//!
//! Long queries count by their work. Their tokens are kept apart, by their part of all work, so that one that waits
//! does not use up what short ones need; what they leave unused is the short ones' too.

#![allow(clippy::cast_precision_loss)]

use crate::endpoint::Node;
use crate::events::EndpointState;
use crate::ids::{ClassId, EndpointId};
use crate::latency::MEMORY;
use crate::router::Router;
use crate::time::{Span, Time};

/// The part of the budget that is used; the rest is for estimates that are off and for chance.
const BUDGET_USED: f64 = 0.7;
/// A class whose requests take more than so many times the mean work counts as long.
const LONG_COST: f64 = 3.0;
/// A request of c times the mean work is charged c to this power. A sum of few large requests varies more than one of
/// many small ones: with this exponent four standard deviations of it stay within the slack that the rule gives.
const COST_EXPONENT: f64 = 1.5;
/// Weight of the assumption that all classes bring the same work, in requests.
const PRIOR_REQUESTS: f64 = 20.0;
/// Requests over which the mix of classes is remembered.
const MIX_MEMORY: f64 = 400.0;
/// Smoothing of a class's work, taken from its quickest answers: the rest of a latency is waiting.
const WORK_GAIN_DOWN: f64 = 0.3;
const WORK_GAIN_UP: f64 = 0.02;

/// What requests of each class cost an endpoint, compared with the mean request.
#[derive(Debug)]
pub(crate) struct ClassCosts {
    /// Assumed work of a request of each class before any was answered, in microseconds: only their ratios count.
    assumed: Vec<f64>,
    /// The same from answers, once there was one.
    measured: Vec<Option<f64>>,
    /// Requests of each class of late.
    arrivals: Vec<f64>,
}

impl ClassCosts {
    /// Starts from what each class's latency is taken to be before any answer was measured, in microseconds.
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
        if self.arrivals.iter().sum::<f64>() > MIX_MEMORY {
            self.arrivals.iter_mut().for_each(|count| *count /= 2.0);
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

    /// Estimated work of a request of each class, in microseconds. Classes that were not measured yet are taken to be off
    /// by the same factor as those that were.
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

    /// Work of a request of this class, in requests of mean work; and the part of all work, from 0 to 1, that long
    /// classes bring.
    pub(crate) fn cost_and_long_part(&self, class: ClassId) -> (f64, f64) {
        let work = self.work();
        let inverse: f64 = work.iter().map(|work| 1.0 / work).sum();
        let weight = |class: usize| self.arrivals[class] + PRIOR_REQUESTS / work[class] / inverse;
        let total = |classes: &dyn Fn(usize) -> bool| -> f64 {
            (0..work.len())
                .filter(|class| classes(*class))
                .map(|class| weight(class) * work[class])
                .sum()
        };
        let all = total(&|_| true);
        let mean = all / (0..work.len()).map(weight).sum::<f64>();
        let long = total(&|class| work[class] > LONG_COST * mean);
        (work[class.0] / mean, long / all)
    }
}

/// Tokens of one endpoint, in requests of mean work.
#[derive(Debug, Default)]
pub(crate) struct SlowStartBudget {
    short: f64,
    long: f64,
    refilled_at: Time,
}

impl SlowStartBudget {
    /// Adds what has accrued at `rate` tokens in a microsecond. What is saved up and what accrues meanwhile stay within
    /// the budget of any one window.
    fn refill(&mut self, now: Time, rate: f64, window: Span, long_part: f64) {
        let elapsed = (now - self.refilled_at.max(now - window)).as_f64();
        let most = rate * window.as_f64() * (1.0 / BUDGET_USED - 1.0);
        let refilled = |tokens: f64, part: f64| (tokens + part * rate * elapsed).min(part * most);
        self.short = refilled(self.short, 1.0 - long_part);
        self.long = refilled(self.long, long_part);
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
    /// The part of its capacity that an endpoint in slow start surely has; `None` once it is warm.
    pub(crate) fn slow_start_fraction(&self, endpoint: &Node) -> Option<f64> {
        let rules = &self.cfg.rules;
        let age = self.now - endpoint.started.max(endpoint.health.revived)?;
        let grown = (age.as_f64() / rules.slow_start_duration.as_f64()).max(0.0);
        (grown < 1.0).then_some(
            rules.slow_start_initial_capacity + (1.0 - rules.slow_start_initial_capacity) * grown,
        )
    }

    pub(crate) fn is_warm(&self, id: EndpointId) -> bool {
        self.endpoints
            .get(&id)
            .is_some_and(|endpoint| self.slow_start_fraction(endpoint).is_none())
    }

    /// Whether a request of this class may be sent to an endpoint now, as far as slow start goes; uses its budget.
    ///
    /// Departure: acts on all that is sent. May hurt a write whose primary is cold.
    pub(crate) fn try_acquire_slow_start_budget(&mut self, id: EndpointId, class: ClassId) -> bool {
        let (rules, over) = (
            &self.cfg.rules,
            self.cfg.rules.slow_start_duration.max(MEMORY).as_f64(),
        );
        let Some(endpoint) = self.endpoints.get(&id) else {
            return false;
        };
        let Some(fraction) = self.slow_start_fraction(endpoint) else {
            return true;
        };
        // What an endpoint can do is at least what this router's warm ones do, and its part of what tenants may
        // ask of all: a router that has just started, or seldom meets it, has seen next to nothing.
        let size: f64 = self
            .endpoints
            .values()
            .filter(|n| n.state == EndpointState::Ready)
            .map(|n| n.weight)
            .sum();
        let quota =
            self.cfg.tenants.iter().map(|t| t.allowance).sum::<f64>() / f64::from(self.cfg.routers);
        let usual = (self.served_now() / over).max(quota / 1e6 / size) * endpoint.weight;
        let rate = BUDGET_USED * rules.overload_multiple * fraction * usual;
        let (window, now) = (rules.overload_duration, self.now);
        let (cost, long_part) = self.costs.cost_and_long_part(class);
        let chance = self.random();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return false;
        };
        endpoint.slow_start.refill(now, rate, window, long_part);
        if cost > LONG_COST {
            endpoint
                .slow_start
                .take_long(cost.powf(COST_EXPONENT), chance)
        } else {
            endpoint.slow_start.take_short(chance)
        }
    }
}
