//! The published view of the state, and the request rates in it.
//!
//! Rates are requests per full second of the process's monotonic clock. Each tenant has two
//! counters, one for the current and one for the previous second.

use std::sync::Arc;

use valehatch_policy::Time;

use crate::messages::{Effect, LiveEndpoint, LiveView, OpenCounts};
use crate::reducer::State;

/// Requests per second of each tenant.
pub(crate) struct RequestRates {
    /// The current second: whole seconds of the monotonic clock.
    second: i64,
    tenants: Vec<TenantRate>,
}

#[derive(Clone, Copy, Default)]
struct TenantRate {
    /// Requests in the current second so far.
    current: u64,
    /// Requests in the previous second.
    previous: u64,
}

impl RequestRates {
    /// Creates zeroed counters for `tenants` tenants.
    pub(crate) fn new(tenants: usize) -> Self {
        Self {
            second: 0,
            tenants: vec![TenantRate::default(); tenants],
        }
    }

    /// Moves the counters on to the second of `now`.
    fn advance(&mut self, now: Time) {
        let second = now.0 / 1_000_000;
        let passed = second - self.second;
        if passed == 0 {
            return;
        }
        self.second = second;
        for rate in &mut self.tenants {
            let previous = if passed == 1 { rate.current } else { 0 };
            *rate = TenantRate {
                current: 0,
                previous,
            };
        }
    }
}

impl State {
    /// Counts a request that has arrived.
    pub(crate) fn count_request(&mut self, tenant: Option<usize>, now: Time) {
        self.rates.advance(now);
        if let Some(rate) = tenant.and_then(|tenant| self.rates.tenants.get_mut(tenant)) {
            rate.current += 1;
        }
    }

    /// Publishes the live view.
    pub(crate) fn publish_view(&mut self, now: Time, effects: &mut Vec<Effect>) {
        effects.push(Effect::PublishView(Box::new(self.live_view(now))));
    }

    fn live_view(&mut self, now: Time) -> LiveView {
        self.rates.advance(now);
        let view = self.router.view();
        let mut endpoints = vec![];
        for view in view.endpoints {
            if let Some(endpoint) = self.endpoints.get(&view.endpoint) {
                endpoints.push(LiveEndpoint {
                    name: Arc::clone(&endpoint.name),
                    address: Arc::clone(&endpoint.address),
                    view,
                });
            }
        }
        let admission = self.admission.as_ref();
        LiveView {
            taken_at: now,
            groups: view.groups,
            endpoints,
            request_rates: self.rates.tenants.iter().map(|r| r.previous).collect(),
            open: OpenCounts {
                requests: self.requests.len(),
                upstream_connections: self.connections.len(),
                client_connections: self.clients.len(),
            },
            turns: self.turns,
            shutting_down: self.shutdown.is_requested(),
            tenant_queues: admission.map_or(vec![], |queue| queue.tenant_views(now)),
        }
    }
}
