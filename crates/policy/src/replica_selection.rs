//! Selects the endpoint of a read: the less loaded of two random choices among the replicas that
//! are fresh enough, otherwise the primary.
//!
//! A replica is fresh enough if its position is known to be recent enough. Where replicas reject
//! reads that need newer data, a replica that may be fresh enough is tried as well, because a wrong
//! guess costs one attempt. If no replica qualifies, health checks ask two replicas for their
//! position, and the read waits once for the answer. A replica applies no changes while it executes
//! a long query, so all long queries of a group go to one replica and the others stay fresh.
//!
//! Inputs: reads, positions and lags, load. State: none. Bounds: one pass over the endpoints of a
//! group for each read. Units: microseconds; positions are times.

use crate::endpoint::Endpoint;
use crate::events::Action;
use crate::group::Group;
use crate::ids::{ClassId, EndpointId, RequestId};
use crate::latency::{GAIN, MAX_EXCESS, SLOW_FRACTION, decayed};
use crate::router::Router;
use crate::scheduling::{NoTarget, PendingRequest};
use crate::settings::{Consistency, RequestClass, StaleReadPolicy};
use crate::time::{Span, Time};

/// Fraction of the idle timeout for which a connection is assumed to stay open.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;
/// The requests of a class count as long queries if they take more than this fraction of the
/// tightest staleness bound.
const LONG_QUERY_FRACTION: f64 = 0.7;
/// Capacity, in attempts, that a read leaves at the primary for writes.
const RESERVED_FOR_WRITES: usize = 1;
/// Number of replicas that are asked for their position if none is known to be fresh enough.
const REPLICAS_CHECKED: usize = 2;
/// A read waits for a health check in flight for this multiple of the mean latency of health
/// checks.
const HEALTH_CHECK_WAIT_FACTOR: f64 = 2.0;
/// Exponent of an endpoint's success rate in its selection weight.
const RELIABILITY_EXPONENT: i32 = 4;
/// Exponent of an endpoint's excess latency in its selection weight while this router has no
/// responses; the exponent falls to 0 as responses arrive.
const MAX_LATENCY_EXPONENT: f64 = 2.0;
/// Lower bound of the reliability factor in an endpoint's selection weight, so that a failing
/// endpoint is still tried from time to time.
const MIN_RELIABILITY: f64 = GAIN * GAIN;

/// Load of an endpoint. Of two random choices, the one with the smaller load is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SelectionLoad {
    in_flight: usize,
    is_in_other_zone: bool,
}

/// The replication position that a read needs if it is sent now; `None` means any position.
pub(crate) fn required_position(
    class: &RequestClass,
    session_position: Option<Time>,
    now: Time,
) -> Option<Time> {
    match class.consistency {
        Consistency::BoundedStaleness(bound) => Some(now - bound),
        Consistency::Session => session_position,
        Consistency::Write | Consistency::Strong | Consistency::Eventual => None,
    }
}

impl Router {
    /// Selects the endpoint of a read that need not go to the primary.
    pub(crate) fn select_read_target(
        &mut self,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Result<EndpointId, NoTarget> {
        let Some(request) = self.pending.get(&id) else {
            return Err(NoTarget::RequestEnded);
        };
        let (group_id, class) = (request.group, request.class);
        let Some(group) = self.groups.get(&group_id) else {
            return Err(NoTarget::NoPrimary);
        };
        if let Some(replica) = self.select_long_query_replica(request, group) {
            return self.acquire_target(replica, class, 0);
        }
        let primary = group.primary;
        let required = required_position(
            self.settings.class(class),
            request.session_position,
            self.now,
        );
        let replicas = self.usable_replicas(request, group);
        if let Some(replica) = self.select_fresh_replica(&replicas, class, required) {
            return Ok(replica);
        }
        self.check_replicas(&replicas, required, actions);
        if let (Some(primary), Some(_)) = (primary, required) {
            self.check_clock(primary, actions);
        }
        if self.awaits_health_check(id, &replicas) {
            return Err(NoTarget::AwaitingHealthCheck);
        }
        let target = self.select_known_primary(group_id, class, RESERVED_FOR_WRITES);
        if target.is_err() && replicas.is_empty() {
            self.allow_all_endpoints(id);
        }
        target
    }

    /// Returns the replica that executes the group's long queries, if the request is one of them.
    /// Once the request has waited for a part of its latency objective, any replica may serve it.
    fn select_long_query_replica(
        &self,
        request: &PendingRequest,
        group: &Group,
    ) -> Option<EndpointId> {
        if !self.is_long_query(request.class) {
            return None;
        }
        let waited = self.now - request.arrived;
        let objective = self.settings.class(request.class).latency_objective;
        if waited >= objective.times(SLOW_FRACTION) {
            return None;
        }
        self.long_query_replica(group)
            .filter(|replica| !request.excluded_endpoints.contains(replica))
    }

    /// Whether a replica that executes a request of this class becomes too stale for other reads.
    fn is_long_query(&self, class: ClassId) -> bool {
        let class_threshold = |class: &RequestClass| match class.consistency {
            Consistency::BoundedStaleness(bound) => Some(bound.times(LONG_QUERY_FRACTION).as_f64()),
            _ => None,
        };
        let threshold = self
            .settings
            .classes
            .iter()
            .filter_map(class_threshold)
            .reduce(f64::min);
        self.settings.class(class).consistency == Consistency::Eventual
            && threshold.is_some_and(|threshold| self.latencies.mean(class) > threshold)
    }

    /// Returns the replica that executes a group's long queries, the same at every router: the last
    /// one, preferably of those that are not in slow start, as long queries would overload an
    /// endpoint in slow start first. Returns `None` if there are fewer than two replicas.
    fn long_query_replica(&self, group: &Group) -> Option<EndpointId> {
        let replicas: Vec<EndpointId> = group
            .endpoints
            .iter()
            .filter(|id| group.primary != Some(**id) && self.accepts_attempts(**id))
            .copied()
            .collect();
        if replicas.len() < 2 {
            return None;
        }
        let warm = replicas.iter().rev().find(|id| self.is_warm(**id));
        warm.or(replicas.last()).copied()
    }

    fn usable_replicas(&self, request: &PendingRequest, group: &Group) -> Vec<EndpointId> {
        let is_usable = |id: &EndpointId| {
            group.primary != Some(*id)
                && !request.excluded_endpoints.contains(id)
                && self.accepts_attempts(*id)
                && self.endpoints[id].has_capacity(0)
        };
        group
            .endpoints
            .iter()
            .filter(|id| is_usable(id))
            .copied()
            .collect()
    }

    fn select_fresh_replica(
        &mut self,
        replicas: &[EndpointId],
        class: ClassId,
        required: Option<Time>,
    ) -> Option<EndpointId> {
        let mut fresh: Vec<EndpointId> = replicas
            .iter()
            .filter(|id| self.is_fresh_enough(**id, required))
            .copied()
            .collect();
        while let Some(replica) = self.two_random_choices(&fresh) {
            if self.try_acquire_slow_start_budget(replica, class) {
                return Some(replica);
            }
            fresh.retain(|id| *id != replica);
        }
        None
    }

    /// Whether a replica is known to be fresh enough, or may be and rejects the read otherwise.
    fn is_fresh_enough(&self, id: EndpointId, required: Option<Time>) -> bool {
        let Some(required) = required else {
            return true;
        };
        let Some(endpoint) = self.endpoints.get(&id) else {
            return false;
        };
        endpoint.position.is_some_and(|known| known >= required)
            || self.may_be_fresh_enough(id, endpoint, required)
    }

    /// Whether a replica that rejects stale reads itself may be fresh enough, assuming that its
    /// last known lag decays.
    fn may_be_fresh_enough(&self, id: EndpointId, endpoint: &Endpoint, required: Time) -> bool {
        if self.settings.stale_read_policy == StaleReadPolicy::Serve {
            return false;
        }
        let executes_long_queries = self
            .groups
            .get(&endpoint.group)
            .is_some_and(|group| self.long_query_replica(group) == Some(id));
        if executes_long_queries {
            return false;
        }
        let lag = decayed(
            endpoint.lag.span.as_f64(),
            self.now - endpoint.lag.measured_at,
            self.settings.rules.slow_start_duration,
        );
        self.now - Span::from_micros(lag) >= required
    }

    /// Asks random replicas for their position. Replicas are drawn even if no position is required,
    /// so that the sequence of random numbers does not depend on it.
    fn check_replicas(
        &mut self,
        replicas: &[EndpointId],
        required: Option<Time>,
        actions: &mut Vec<Action>,
    ) {
        for _ in 0..REPLICAS_CHECKED {
            let drawn = self.weighted_random_choice(replicas);
            if let (Some(drawn), Some(required)) = (drawn, required) {
                self.check_freshness(drawn, required, actions);
            }
        }
    }

    /// Whether a read waits for health checks that are in flight. A read does so only once, for
    /// twice the mean latency of health checks.
    fn awaits_health_check(&mut self, id: RequestId, replicas: &[EndpointId]) -> bool {
        let in_flight = replicas
            .iter()
            .any(|replica| self.endpoints[replica].health_check.in_flight);
        let expected_wait =
            Span::from_micros(HEALTH_CHECK_WAIT_FACTOR * self.latencies.health_check());
        let until = self.now + expected_wait + self.settings.tick;
        let Some(request) = self.pending.get_mut(&id) else {
            return false;
        };
        let until = *request.health_check_wait_until.get_or_insert(until);
        in_flight && self.now < until
    }

    /// Lets a read try all endpoints again, when no replica is left that could serve it.
    fn allow_all_endpoints(&mut self, id: RequestId) {
        if let Some(request) = self.pending.get_mut(&id) {
            request.excluded_endpoints.clear();
        }
    }

    /// Draws two candidates and returns the one with fewer attempts in flight from this router or,
    /// if they are equal, the one in this router's zone.
    fn two_random_choices(&mut self, candidates: &[EndpointId]) -> Option<EndpointId> {
        let first = self.weighted_random_choice(candidates)?;
        let second = self.weighted_random_choice(candidates)?;
        if self.selection_load(second) < self.selection_load(first) {
            Some(second)
        } else {
            Some(first)
        }
    }

    fn selection_load(&self, id: EndpointId) -> SelectionLoad {
        let endpoint = &self.endpoints[&id];
        SelectionLoad {
            in_flight: endpoint.in_flight.len(),
            is_in_other_zone: endpoint.zone != self.settings.zone,
        }
    }

    /// Draws a candidate with a probability proportional to [`Router::selection_weight`]. Takes one
    /// random number even if there are no candidates.
    fn weighted_random_choice(&mut self, candidates: &[EndpointId]) -> Option<EndpointId> {
        let latency_exponent = MAX_LATENCY_EXPONENT * (1.0 - self.measurement_confidence());
        let weights: Vec<f64> = candidates
            .iter()
            .map(|id| self.selection_weight(&self.endpoints[id], latency_exponent))
            .collect();
        let mut rest = self.random() * weights.iter().sum::<f64>();
        for (id, weight) in candidates.iter().zip(weights) {
            rest -= weight;
            if rest < 0.0 {
                return Some(*id);
            }
        }
        candidates.last().copied()
    }

    /// Relative probability of drawing an endpoint, from its weight, its capacity in slow start and
    /// its failure rate. Failed attempts end quickly and leave little in flight, so two random
    /// choices alone would prefer an endpoint that fails.
    ///
    /// A router with few responses from each endpoint (a high `latency_exponent`) has no attempts
    /// in flight by which to recognise a slow endpoint, so the endpoint's last latencies count as
    /// well. Such a router also prefers an endpoint with an idle connection, because it would have
    /// to open a new connection for nearly every attempt elsewhere.
    fn selection_weight(&self, endpoint: &Endpoint, latency_exponent: f64) -> f64 {
        let excess = endpoint
            .excess_latency
            .at(self.now, self.settings.rules.slow_start_duration);
        let reliability = (1.0 - endpoint.failure_rate)
            .powi(RELIABILITY_EXPONENT)
            .max(MIN_RELIABILITY);
        let fitness = reliability / (1.0 + excess).powf(latency_exponent);
        let connection_factor = if self.has_idle_connection(endpoint) {
            (1.0 + MAX_EXCESS).powf(latency_exponent)
        } else {
            1.0
        };
        let capacity = self.slow_start_fraction(endpoint).unwrap_or(1.0);
        endpoint.weight * capacity * fitness * connection_factor
    }

    /// Whether this router can be assumed to have an open connection to the endpoint without an
    /// attempt on it.
    fn has_idle_connection(&self, endpoint: &Endpoint) -> bool {
        let idle_timeout = self.settings.limits.idle_connection_timeout;
        let open_for = idle_timeout.times(IDLE_TIMEOUT_FRACTION);
        endpoint.in_flight.is_empty()
            && endpoint
                .last_sent_at
                .is_some_and(|at| self.now - at < open_for)
    }
}
