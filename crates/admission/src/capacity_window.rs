//! How many requests of a lane may be past admission: what the endpoints can take, and no more, so
//! that the queue stands here, where it is fair, and not in the policy.

/// What the endpoints can take of a lane's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Attempts that the usable endpoints may have in flight together; for one in slow start the
    /// part that it may have.
    pub limit: f64,
    /// Requests of the lane that wait in the policy.
    pub waiting: usize,
    /// Whether the group's primary is being searched for: writes then wait for it and not for
    /// capacity.
    pub searching: bool,
}

/// Writes that may be past admission during a primary search: one leads the search, one is ready
/// when it ends.
const LIMIT_DURING_SEARCH: f64 = 2.0;
/// The window before anything is known of the endpoints.
const INITIAL_LIMIT: f64 = 8.0;
/// The window never closes below this.
const MIN_LIMIT: f64 = 1.0;
/// Growth of the window per step: by this factor and by one request.
const GROWTH_FACTOR: f64 = 1.25;

/// The window of a lane.
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
    /// Follows the capacity: down at once, up step by step. `in_flight` counts the lane's admitted
    /// requests.
    pub fn follow(&mut self, capacity: Capacity, in_flight: u64) {
        let limit = if capacity.searching {
            LIMIT_DURING_SEARCH
        } else {
            capacity.limit.max(MIN_LIMIT)
        };
        // What waits in the policy was admitted too soon.
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

    /// Whether one more request may be admitted beside so many in flight.
    #[must_use]
    pub fn admits(&self, in_flight: u64) -> bool {
        (in_flight as f64) < self.limit
    }

    /// Requests that may be in flight.
    #[must_use]
    pub const fn limit(&self) -> f64 {
        self.limit
    }
}
