//! Limits the requests of a lane in flight to what the endpoints can serve, so that requests wait
//! in the fair queue and not in the policy.

/// What the endpoints can serve of a lane's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Attempts that the usable endpoints may have in flight together. An endpoint in slow start
    /// counts with its reduced limit.
    pub limit: f64,
    /// Requests of the lane that were admitted and wait in the policy.
    pub waiting: usize,
    /// Whether a search for the group's primary is in progress: writes then wait for the primary
    /// and not for capacity.
    pub searching: bool,
}

/// Limit of writes in flight during a primary search: one leads the search, the other is ready when
/// the search ends.
const LIMIT_DURING_SEARCH: f64 = 2.0;
/// Limit before the capacity of the endpoints is known.
const INITIAL_LIMIT: f64 = 8.0;
/// Lower bound of the limit, so that a lane always makes progress.
const MIN_LIMIT: f64 = 1.0;
/// The limit grows per step by at most this factor plus one request.
const GROWTH_FACTOR: f64 = 1.25;

/// The limit of requests in flight of a lane.
#[derive(Clone, Copy, Debug)]
pub struct CapacityWindow {
    limit: f64,
}

impl Default for CapacityWindow {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
        }
    }
}

impl CapacityWindow {
    /// Adjusts the limit to the capacity: it falls at once and rises step by step. `in_flight`
    /// counts the lane's admitted requests.
    pub fn follow(&mut self, capacity: Capacity, in_flight: u64) {
        let limit = if capacity.searching {
            LIMIT_DURING_SEARCH
        } else {
            capacity.limit.max(MIN_LIMIT)
        };
        // Requests that wait in the policy were admitted too early and do not count as running.
        let running = (in_flight as f64 - capacity.waiting as f64).max(MIN_LIMIT);
        let target = if capacity.waiting > 1 {
            limit.min(running)
        } else {
            limit
        };
        self.limit = if target < self.limit {
            target
        } else {
            target.min(self.limit * GROWTH_FACTOR + 1.0)
        };
    }

    /// Whether another request may be admitted while `in_flight` requests are in flight.
    #[must_use]
    pub fn admits(&self, in_flight: u64) -> bool {
        (in_flight as f64) < self.limit
    }

    /// Maximum number of requests in flight.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit
    }
}
