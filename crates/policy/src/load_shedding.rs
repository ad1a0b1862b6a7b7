//! Load shedding: rejects part of the new requests while responses take too much of their latency
//! objective.
//!
//! Many routers with few requests in flight each can fill an endpoint's queue without noticing it.
//! Response times reveal the queue, whatever causes the overload. Requests with the lowest priority
//! per work are shed first.
//!
//! Inputs: the latency of each attempt, and each new request. State: [`LatencyUtilization`] of each
//! group, and [`LoadShedding`]. Bounds: at most [`MAX_SHED_PROBABILITY`] of the new requests are
//! shed, and a request only as it arrives. Units: fractions of the latency objective; priority
//! weight per microsecond.

use crate::events::{AttemptEnd, Outcome, Role};
use crate::ids::{ClassId, RequestId};
use crate::latency::GAIN;
use crate::router::Router;
use crate::settings::Consistency;

/// Mean fraction of the latency objective that responses take above which some requests are shed.
const SHED_FROM: f64 = 0.4;
/// Mean fraction of the latency objective that responses take above which nearly all requests are
/// shed.
const SHED_ALL_AT: f64 = 0.7;
/// Weight of a new sample in the mean fraction; smaller than [`GAIN`], so that a few slow responses
/// shed nothing.
const UTILIZATION_GAIN: f64 = GAIN / 2.0;
/// Largest fraction of the latency objective with which a single attempt counts.
const MAX_UTILIZATION: f64 = 2.0;
/// Largest probability with which a request is shed; the requests that remain show when the
/// overload ends.
const MAX_SHED_PROBABILITY: f64 = 1.0 - GAIN;
/// Lower bound of a priority weight, because the shed probability is divided by it.
const MIN_PRIORITY_WEIGHT: f64 = 1e-9;

/// Moving averages of the fraction of the latency objective that a group's attempts take, by the
/// role of the endpoint.
#[derive(Debug, Default)]
pub(crate) struct LatencyUtilization {
    primary: f64,
    replica: f64,
}

impl LatencyUtilization {
    fn get(&self, role: Role) -> f64 {
        match role {
            Role::Primary => self.primary,
            Role::Replica => self.replica,
        }
    }

    fn add_sample(&mut self, role: Role, sample: f64, gain: f64) {
        let average = match role {
            Role::Primary => &mut self.primary,
            Role::Replica => &mut self.replica,
        };
        *average += gain * (sample - *average);
    }
}

/// Statistics of recent requests that load shedding uses.
#[derive(Debug, Default)]
pub(crate) struct LoadShedding {
    /// Moving average of the requests' priority weight per microsecond of expected latency.
    typical_priority: f64,
}

impl LoadShedding {
    fn add_request(&mut self, priority: f64) {
        if self.typical_priority > 0.0 {
            self.typical_priority += GAIN * (priority - self.typical_priority);
        } else {
            self.typical_priority += priority;
        }
    }
}

impl Router {
    /// Priority weight of a request of this class per microsecond of its expected latency.
    pub(crate) fn priority_per_work(&self, class: ClassId) -> f64 {
        let weight = self.settings.class(class).priority_weight;
        weight.max(MIN_PRIORITY_WEIGHT) / self.latencies.mean(class)
    }

    /// Whether a request that has just arrived is shed.
    pub(crate) fn decide_shedding(&mut self, id: RequestId) -> bool {
        let Some(request) = self.pending.get(&id) else {
            return false;
        };
        if request.arrived != self.now {
            return false;
        }
        let (class, group) = (request.class, request.group);
        let priority = self.priority_per_work(class);
        let role = match self.settings.class(class).consistency {
            Consistency::Write | Consistency::Strong => Role::Primary,
            _ => Role::Replica,
        };
        let utilization = self
            .groups
            .get(&group)
            .map_or(0.0, |group| group.latency_utilization.get(role));
        self.load_shedding.add_request(priority);
        let overload = ((utilization - SHED_FROM) / (SHED_ALL_AT - SHED_FROM)).clamp(0.0, 1.0);
        let base_probability = self.unseen_load_fraction().powi(2) * overload;
        let probability =
            base_probability * (self.load_shedding.typical_priority / priority).powi(2);
        self.random() < probability.min(MAX_SHED_PROBABILITY)
    }

    /// Fraction of the load that concurrency limits do not see: the fewer routers there are for
    /// each endpoint, the more of the endpoint's queue each router sees.
    fn unseen_load_fraction(&self) -> f64 {
        let routers = f64::from(self.settings.routers);
        routers / (routers + self.endpoints.len() as f64)
    }

    /// Updates the groups' averages with the fraction of its latency objective that an attempt
    /// took. A rejection counts as at least [`SHED_ALL_AT`].
    pub(crate) fn update_latency_utilization(&mut self, end: &AttemptEnd, class: ClassId) {
        let Some(endpoint) = self.endpoints.get(&end.endpoint) else {
            return;
        };
        let min_sample = if end.outcome == Outcome::Rejected {
            SHED_ALL_AT
        } else {
            0.0
        };
        let objective = self.settings.class(class).latency_objective.as_f64();
        let sample = (end.latency.as_f64() / objective.max(1.0)).clamp(min_sample, MAX_UTILIZATION);
        let is_primary = self
            .groups
            .get(&endpoint.group)
            .is_some_and(|group| group.primary == Some(end.endpoint));
        let role = if is_primary {
            Role::Primary
        } else {
            Role::Replica
        };
        // A group with few responses of its own relies on those of the other groups.
        let other_groups_gain = UTILIZATION_GAIN / (self.groups.len() as f64).sqrt();
        for (id, group) in &mut self.groups {
            let gain = if *id == endpoint.group {
                UTILIZATION_GAIN
            } else {
                other_groups_gain
            };
            group.latency_utilization.add_sample(role, sample, gain);
        }
    }
}
