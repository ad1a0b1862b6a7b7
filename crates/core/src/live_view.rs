//! What is published of the state.

use crate::prelude::*;

/// What is believed is published no more often than this for each member: it takes a microsecond or so.
pub(crate) const PUBLISH_EACH: Span = Span(50);

impl State {
    pub(crate) fn count_asked(&mut self, tenant: Option<usize>, now: Time) {
        self.turn_second(now);
        tenant
            .and_then(|t| self.rates.get_mut(t))
            .into_iter()
            .for_each(|r| r[0] += 1);
    }

    pub(crate) fn turn_second(&mut self, now: Time) {
        let second = now.0 / 1_000_000;
        let passed = second - self.second;
        if passed != 0 {
            self.second = second;
            self.rates
                .iter_mut()
                .for_each(|r| *r = [0, if passed == 1 { r[0] } else { 0 }]);
        }
    }

    /// What is believed and carried now.
    pub(crate) fn live(&mut self, now: Time) -> LiveView {
        self.turn_second(now);
        let view = self.router.view();
        let members = view.endpoints.into_iter().filter_map(|view| {
            let (name, address) = self.members.get(&view.endpoint)?.clone();
            Some(LiveEndpoint {
                name,
                address,
                view,
            })
        });
        LiveView {
            taken_at: now,
            groups: view.groups,
            endpoints: members.collect(),
            request_rates: self.rates.iter().map(|r| r[1]).collect(),
            open: OpenCounts {
                requests: self.requests.len(),
                upstream_connections: self.conns.len(),
                client_connections: self.clients.len(),
            },
            turns: self.turns,
            shutting_down: self.stopping,
            tenant_queues: self
                .door
                .as_ref()
                .map_or(vec![], |door| door.tenant_views(now)),
        }
    }
}
