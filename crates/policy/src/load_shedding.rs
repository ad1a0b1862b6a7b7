//! Load shedding: rejects part of the new requests while responses take too much of their latency
//! objective.
//!
//! Many routers with few requests in flight each fill an endpoint's queue without seeing it. The
//! time that responses take shows it, whatever the overload comes from. Requests with the least
//! priority for their work are shed first.
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

/// Fraction of the latency objective that responses take on average above which some requests are
/// shed.
const SHED_FROM: f64 = 0.4;
/// The same above which nearly all are.
const SHED_ALL_AT: f64 = 0.7;
/// Weight of a new sample in that average; smaller than [`GAIN`], as a few slow responses must not
/// shed anything.
const UTILIZATION_GAIN: f64 = GAIN / 2.0;
/// Largest fraction that a single attempt counts as.
const MAX_UTILIZATION: f64 = 2.0;
/// Largest probability with which a request is shed: those that remain show when the overload ends.
const MAX_SHED_PROBABILITY: f64 = 1.0 - GAIN;
/// Stands in for a priority weight of 0, by which nothing could be divided.
const MIN_PRIORITY_WEIGHT: f64 = 1e-9;

/// Moving averages of the fraction of their latency objective that a group's attempts take, by the
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

/// What load shedding knows of the requests.
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
    /// Priority weight of a request of this class for each microsecond of its expected latency.
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
        let over = self.unseen_load_fraction().powi(2) * overload;
        let probability = over * (self.load_shedding.typical_priority / priority).powi(2);
        self.random() < probability.min(MAX_SHED_PROBABILITY)
    }

    /// The fraction of the load that concurrency limits do not see: the fewer routers there are for
    /// each endpoint, the more of its queue each of them sees.
    fn unseen_load_fraction(&self) -> f64 {
        let routers = f64::from(self.settings.routers);
        routers / (routers + self.endpoints.len() as f64)
    }

    /// Takes in what an attempt took of its latency objective. A rejection counts as
    /// [`SHED_ALL_AT`] at least.
    pub(crate) fn update_latency_utilization(&mut self, end: &AttemptEnd, class: ClassId) {
        let Some(endpoint) = self.endpoints.get(&end.endpoint) else {
            return;
        };
        let least = if end.outcome == Outcome::Rejected {
            SHED_ALL_AT
        } else {
            0.0
        };
        let objective = self.settings.class(class).latency_objective.as_f64();
        let sample = (end.latency.as_f64() / objective.max(1.0)).clamp(least, MAX_UTILIZATION);
        let is_primary = self
            .groups
            .get(&endpoint.group)
            .is_some_and(|group| group.primary == Some(end.endpoint));
        let role = if is_primary {
            Role::Primary
        } else {
            Role::Replica
        };
        // A group with few responses of its own goes by those of the others.
        let gain_of_others = UTILIZATION_GAIN / (self.groups.len() as f64).sqrt();
        for (id, group) in &mut self.groups {
            let gain = if *id == endpoint.group {
                UTILIZATION_GAIN
            } else {
                gain_of_others
            };
            group.latency_utilization.add_sample(role, sample, gain);
        }
    }
}
