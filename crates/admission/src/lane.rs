//! A lane: the queue of one group's reads or writes, with what limits and measures it.
//!
//! Memory grows with the requests that wait, and with the reservations of each tenant's Retry-After
//! calendar.

use valehatch_policy::{Span, Time};

use crate::capacity_window::CapacityWindow;
use crate::codel::CodelController;
use crate::drain_rate::DrainRate;
use crate::queue::{FairQueue, QueuedRequest};
use crate::retry_after::{Reservation, RetryAfterCalendar};

/// How often the wait is estimated again with what is reserved until then: the two depend on each
/// other.
const WAIT_REFINEMENTS: u32 = 2;

#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) queue: FairQueue,
    pub(crate) window: CapacityWindow,
    drain_rate: DrainRate,
    pub(crate) codel: CodelController,
    /// One a tenant.
    pub(crate) calendars: Vec<RetryAfterCalendar>,
    /// Requests that were admitted and are not over.
    pub(crate) in_flight: u64,
}

impl Lane {
    pub(crate) fn new(tenants: usize, client_buckets: u32, seed: u64, now: Time) -> Self {
        Self {
            queue: FairQueue::new(tenants, client_buckets, seed),
            window: CapacityWindow::default(),
            drain_rate: DrainRate::new(now),
            codel: CodelController::default(),
            calendars: (0..tenants).map(|_| RetryAfterCalendar::new(now)).collect(),
            in_flight: 0,
        }
    }

    /// Whether one more request may be in flight.
    pub(crate) fn has_capacity(&self) -> bool {
        self.window.admits(self.in_flight)
    }

    /// A request in flight has ended.
    pub(crate) fn on_finished(&mut self, now: Time, cost: Span) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.queue.is_empty() {
            // A lane without a queue shows its load and not what it could do.
            self.drain_rate.restart(now);
        } else {
            self.drain_rate.record(now, cost);
        }
    }

    /// Cost per microsecond that a tenant gets while others wait too.
    fn tenant_rate(&self, tenant: usize, weights: &[f64]) -> f64 {
        self.drain_rate.cost_per_microsecond() * self.queue.tenant_fraction(tenant, weights)
    }

    /// How long a request would wait: for its tenant's queue before it and for what is reserved
    /// until then.
    pub(crate) fn expected_wait(
        &self,
        now: Time,
        request: &QueuedRequest,
        weights: &[f64],
    ) -> Span {
        let rate = self.tenant_rate(request.tenant, weights);
        if rate <= 0.0 {
            return Span(0);
        }
        let before = self.queue.cost_before(request);
        let mut wait = Span(1).times(before.as_f64() / rate);
        for _ in 0..WAIT_REFINEMENTS {
            let reserved = self.calendars[request.tenant].reserved_cost(now, wait);
            wait = Span(1).times((before + reserved).as_f64() / rate);
        }
        wait
    }

    /// Reserves capacity for a rejected request. Returns its Retry-After, if there is capacity
    /// within the longest one.
    pub(crate) fn reserve(
        &mut self,
        now: Time,
        request: &QueuedRequest,
        max_retry_after: Span,
        weights: &[f64],
    ) -> Option<Span> {
        let reservation = Reservation {
            client: request.client,
            cost: request.cost,
            backlog: self.queue.backlog(request.tenant),
            cost_per_microsecond: self.tenant_rate(request.tenant, weights),
            max_retry_after,
        };
        self.calendars[request.tenant].reserve(now, &reservation)
    }
}
