//! A lane: the queue of one group's reads or writes, with its capacity window, CoDel controller,
//! drain rate and Retry-After calendars.
//!
//! Memory grows with the number of waiting requests and with the reservations in the Retry-After
//! calendar of each tenant.

use valehatch_policy::{Span, Time};

use crate::capacity_window::CapacityWindow;
use crate::codel::CodelController;
use crate::drain_rate::DrainRate;
use crate::queue::{FairQueue, QueuedRequest};
use crate::retry_after::{Reservation, RetryAfterCalendar};

/// Iterations that refine the expected wait: it depends on the cost reserved during the wait, which
/// depends on the length of the wait.
const WAIT_REFINEMENTS: u32 = 2;

#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) queue: FairQueue,
    pub(crate) window: CapacityWindow,
    drain_rate: DrainRate,
    pub(crate) codel: CodelController,
    /// Retry-After calendars by tenant number.
    pub(crate) calendars: Vec<RetryAfterCalendar>,
    /// Admitted requests that have not ended.
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

    /// Whether another request may be admitted.
    pub(crate) fn has_capacity(&self) -> bool {
        self.window.admits(self.in_flight)
    }

    /// Updates the in-flight count and the drain rate when an admitted request ends.
    pub(crate) fn on_finished(&mut self, now: Time, cost: Span) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.queue.is_empty() {
            // Without a queue, completions reflect the offered load and not the capacity.
            self.drain_rate.restart(now);
        } else {
            self.drain_rate.record(now, cost);
        }
    }

    /// Cost per microsecond that a tenant gets beside the tenants with waiting requests.
    fn tenant_rate(&self, tenant: usize, weights: &[f64]) -> f64 {
        self.drain_rate.cost_per_microsecond() * self.queue.tenant_fraction(tenant, weights)
    }

    /// Expected wait of a request: the time to serve what its tenant has queued before it and what
    /// is reserved for returning clients during the wait.
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

    /// Reserves capacity for the retry of a rejected request. Returns the Retry-After, or `None` if
    /// no capacity is free within `max_retry_after`.
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
