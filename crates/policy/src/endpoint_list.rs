//! Applies the endpoint list, and polls it in deployments that do not push changes.
//!
//! Inputs: [`crate::PolicyEvent::EndpointList`], [`crate::PolicyEvent::DiscoveryFailed`]. State:
//! all endpoints, those of each group, and [`ListPolling`]. Bounds: an endpoint that left the list
//! is dropped as soon as all of its attempts have ended. Units: microseconds.

use std::collections::BTreeSet;

use crate::endpoint::Endpoint;
use crate::events::{Action, EndpointRecord, EndpointState};
use crate::ids::{EndpointId, GroupId};
use crate::outlier_detection::OutlierState;
use crate::router::Router;
use crate::settings::{DiscoveryMode, Settings};
use crate::time::{Span, Time};

/// The first backoff after a failed poll is this fraction of the longest poll interval ...
const FIRST_BACKOFF_DIVISOR: i64 = 16;
/// ... and the longest backoff is this fraction, so that the list stays up to date despite a few
/// failures.
const MAX_BACKOFF_DIVISOR: i64 = 2;

/// Schedule of the polls of the endpoint list.
#[derive(Debug)]
pub(crate) struct ListPolling {
    next_poll_at: Option<Time>,
    backoff: Span,
}

impl ListPolling {
    /// Starts with an immediate poll if the discovery mode is polling.
    pub(crate) fn new(settings: &Settings) -> Self {
        let polls = settings.discovery_mode == DiscoveryMode::Poll;
        Self {
            next_poll_at: polls.then_some(Time(i64::MIN)),
            backoff: Self::first_backoff(settings),
        }
    }

    fn first_backoff(settings: &Settings) -> Span {
        settings.rules.max_poll_interval / FIRST_BACKOFF_DIVISOR
    }

    pub(crate) fn next_poll_at(&self) -> Option<Time> {
        self.next_poll_at
    }
}

impl Router {
    pub(crate) fn on_endpoint_list(&mut self, complete: bool, entries: &[EndpointRecord]) {
        if complete {
            self.remove_unlisted(entries);
        }
        for entry in entries {
            self.on_entry(entry);
        }
        let groups: Vec<GroupId> = self.groups.keys().copied().collect();
        for group in groups {
            self.seed_primary(group);
        }
        self.list_polling.backoff = ListPolling::first_backoff(&self.settings);
    }

    fn remove_unlisted(&mut self, entries: &[EndpointRecord]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        let unlisted: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| !listed.contains(id))
            .copied()
            .collect();
        for id in unlisted {
            self.stop_using(id, EndpointState::Removed);
        }
    }

    fn on_entry(&mut self, entry: &EndpointRecord) {
        if entry.state != EndpointState::Ready {
            return self.stop_using(entry.endpoint, entry.state);
        }
        let endpoint = self
            .endpoints
            .entry(entry.endpoint)
            .or_insert_with(|| Endpoint::new(entry));
        // A restarted process has lost the requests that were sent before, so the missing answers
        // to these prove nothing.
        if endpoint.started != entry.started {
            endpoint.outlier = OutlierState::default();
            endpoint.unanswered_since = None;
        }
        endpoint.state = entry.state;
        endpoint.started = entry.started;
        endpoint.zone = entry.zone;
        endpoint.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            1.0
        };
        endpoint.listed_primary = entry.primary;
        self.groups
            .entry(endpoint.group)
            .or_default()
            .endpoints
            .insert(entry.endpoint);
    }

    /// Stops sending requests to an endpoint, unless its removal from the list is only advisory.
    fn stop_using(&mut self, id: EndpointId, state: EndpointState) {
        let removal_is_advisory = self.settings.rules.removal_is_advisory;
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let is_advisory = state == EndpointState::Removed
            && removal_is_advisory
            && endpoint.state == EndpointState::Ready;
        if is_advisory {
            return;
        }
        endpoint.state = state;
        self.rule_out_primary(id);
        self.drop_if_removed(id);
    }

    /// Drops a removed endpoint once all of its attempts have ended, which bounds memory.
    pub(crate) fn drop_if_removed(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return;
        };
        if endpoint.state != EndpointState::Removed {
            return;
        }
        self.groups
            .entry(endpoint.group)
            .or_default()
            .endpoints
            .remove(&id);
        if !endpoint.has_attempts() {
            self.endpoints.remove(&id);
        }
    }

    /// Schedules the next poll after a backoff with jitter.
    pub(crate) fn on_discovery_failed(&mut self) {
        if self.settings.discovery_mode != DiscoveryMode::Poll {
            return;
        }
        // Routers whose polls failed together must not poll together again: a random factor from
        // 0.5 to 1 spreads them.
        let jitter = 0.5 + self.random() * 0.5;
        let longest = self.settings.rules.max_poll_interval / MAX_BACKOFF_DIVISOR;
        let polling = &mut self.list_polling;
        polling.next_poll_at = Some(self.now + polling.backoff.times(jitter));
        polling.backoff = (polling.backoff * 2).min(longest);
    }

    /// Polls the list if a poll is due.
    pub(crate) fn run_list_polling(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        if self.list_polling.next_poll_at.is_some_and(|at| at <= now) {
            self.list_polling.next_poll_at = None;
            actions.push(Action::RefreshEndpointList);
        }
    }
}
