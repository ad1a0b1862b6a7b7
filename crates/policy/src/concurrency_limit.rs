//! Limits how many attempts this router may have in flight at an endpoint: additive increase,
//! additive decrease by latency.
//!
//! Inputs: the end of each attempt, the number of routers. State: `Endpoint::concurrency_limit`.
//! Bounds: at least 1; it grows only while at least half of it is used. Units: attempts.

use crate::endpoint::Endpoint;
use crate::events::{AttemptEnd, Outcome};
use crate::ids::{ClassId, EndpointId};
use crate::router::Router;

/// Limit of an endpoint before any response was measured.
pub(crate) const INITIAL_LIMIT: f64 = 8.0;
/// Decrease of the limit for a slow response or a rejection. A quick response increases the limit
/// by its reciprocal.
const DECREASE: f64 = 0.7;
/// Lower bound of a limit that is reduced because the number of routers grows.
const MIN_AFTER_SCALING: f64 = 2.0;

impl Endpoint {
    /// Whether the limit has room for one more attempt and `reserved` further ones.
    pub(crate) fn has_capacity(&self, reserved: usize) -> bool {
        ((self.in_flight.len() + reserved) as f64) < self.concurrency_limit.max(1.0)
    }

    /// Reduces the limit to this fraction (at most 1) of its value; the rest is for routers that
    /// have started.
    pub(crate) fn scale_concurrency_limit(&mut self, fraction: f64) {
        let scaled = (self.concurrency_limit * fraction).max(MIN_AFTER_SCALING);
        self.concurrency_limit = self.concurrency_limit.min(scaled);
    }

    fn on_slow_response(&mut self) {
        self.concurrency_limit = (self.concurrency_limit - DECREASE).max(1.0);
    }

    fn on_quick_response(&mut self) {
        let limit_was_used = self.in_flight.len() as f64 + 1.0 > self.concurrency_limit / 2.0;
        if limit_was_used {
            self.concurrency_limit += 1.0 / self.concurrency_limit;
        }
    }
}

impl Router {
    pub(crate) fn update_concurrency_limit(&mut self, end: &AttemptEnd, slow: bool) {
        let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) else {
            return;
        };
        if slow || end.outcome == Outcome::Rejected {
            endpoint.on_slow_response();
        } else if end.outcome == Outcome::Ok {
            endpoint.on_quick_response();
        }
    }

    /// Whether an attempt of this class may be sent to an endpoint now: the endpoint is ready, has
    /// capacity for the attempt and `reserved` more, and its slow-start budget allows the attempt.
    /// Consumes that budget.
    pub(crate) fn try_acquire(&mut self, id: EndpointId, class: ClassId, reserved: usize) -> bool {
        let admits = self
            .endpoints
            .get(&id)
            .is_some_and(|endpoint| endpoint.is_ready() && endpoint.has_capacity(reserved));
        admits && self.try_acquire_slow_start_budget(id, class)
    }
}
