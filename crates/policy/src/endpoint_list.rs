//! Takes in the endpoint list.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::concurrency_limit::START_LIMIT;
use crate::endpoint::Node;
use crate::events::*;
use crate::ids::*;
use crate::outlier_detection::Reach;
use crate::router::Router;
use crate::settings::*;
use crate::time::*;
use std::collections::BTreeSet;

impl Router {
    pub(crate) fn on_list(&mut self, complete: bool, entries: &[EndpointRecord]) {
        if complete {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            let all: Vec<EndpointId> = self.endpoints.keys().copied().collect();
            all.iter()
                .filter(|n| !named.contains(n))
                .for_each(|n| self.leave(*n, EndpointState::Removed));
        }
        entries.iter().for_each(|e| self.on_entry(e));
        self.groups
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.seed_primary(id));
        self.ask_gap = Span(self.cfg.rules.max_poll_interval.0 / 16);
    }

    pub(crate) fn on_entry(&mut self, entry: &EndpointRecord) {
        if entry.state != EndpointState::Ready {
            return self.leave(entry.endpoint, entry.state);
        }
        let endpoint = self
            .endpoints
            .entry(entry.endpoint)
            .or_insert_with(|| Node {
                group: entry.group,
                started: entry.started,
                limit: START_LIMIT,
                ..Node::default()
            });
        let restarted = endpoint.started != entry.started;
        (endpoint.state, endpoint.started, endpoint.zone) =
            (entry.state, entry.started, entry.zone);
        endpoint.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            1.0
        };
        endpoint.listed_primary = entry.primary;
        // A process that started anew holds nothing of what was sent to the old one.
        if restarted {
            (endpoint.health, endpoint.quiet_since) = (Reach::default(), None);
        }
        self.groups
            .entry(endpoint.group)
            .or_default()
            .members
            .insert(entry.endpoint);
    }

    /// Takes a node out of use at once; the stated grace is never drawn on.
    pub(crate) fn leave(&mut self, id: EndpointId, state: EndpointState) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if state == EndpointState::Removed
            && self.cfg.rules.removal_is_advisory
            && endpoint.state == EndpointState::Ready
        {
            return;
        }
        endpoint.state = state;
        self.lose_primary(id);
        self.forget(id);
    }

    /// Memory is bounded: a node that is gone and holds nothing of this router is dropped.
    pub(crate) fn forget(&mut self, id: EndpointId) {
        let Some(endpoint) = self
            .endpoints
            .get(&id)
            .filter(|n| n.state == EndpointState::Removed)
        else {
            return;
        };
        self.groups
            .entry(endpoint.group)
            .or_default()
            .members
            .remove(&id);
        if endpoint.out.is_empty() {
            self.endpoints.remove(&id);
        }
    }

    /// Backs off with jitter, never beyond half of what the rules count as asked.
    pub(crate) fn on_list_failed(&mut self) {
        if self.cfg.discovery_mode == DiscoveryMode::Poll {
            let jitter = 0.5 + self.random() * 0.5;
            self.ask_at = Some(self.now + self.ask_gap.times(jitter));
            self.ask_gap = Span((self.ask_gap.0 * 2).min(self.cfg.rules.max_poll_interval.0 / 2));
        }
    }
}
