//! The endpoint list: names, addresses and readiness of upstream endpoints.
//!
//! The state here has one entry per listed endpoint. The policy keeps its own data on endpoints.

use std::collections::BTreeSet;
use std::sync::Arc;

use valehatch_policy::{EndpointId, EndpointRecord, EndpointState, PolicyEvent, Time};

use crate::messages::{ConnectionId, Effect, ListedEndpoint};
use crate::reducer::State;

/// Name and address of an endpoint.
pub(crate) struct EndpointAddress {
    /// Endpoint name in logs and metrics.
    pub(crate) name: Arc<str>,
    /// Host and port of the endpoint.
    pub(crate) address: Arc<str>,
}

/// Whether a list event contains all endpoints or only changes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListCoverage {
    /// All endpoints; those that are missing have been removed.
    Complete,
    /// New, changed and removed endpoints only.
    Changes,
}

impl ListCoverage {
    /// Converts the `complete` flag of `Event::EndpointList`.
    pub(crate) const fn from_complete(complete: bool) -> Self {
        if complete {
            Self::Complete
        } else {
            Self::Changes
        }
    }
}

impl State {
    /// Applies a list event and cancels attempts that must no longer begin.
    pub(crate) fn on_endpoint_list(
        &mut self,
        now: Time,
        coverage: ListCoverage,
        endpoints: Vec<ListedEndpoint>,
        policy_events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        policy_events.push(self.update_endpoints(coverage, endpoints, effects));
        // An attempt that was ordered before this event may still wait for its connection to be
        // established. Writing it now would begin work on a draining endpoint, so its send permit
        // is revoked.
        let mut not_ready: Vec<ConnectionId> = vec![];
        for (id, connection) in &self.connections {
            if !self.ready_endpoints.contains(&connection.endpoint) {
                not_ready.push(*id);
            }
        }
        for connection in not_ready {
            policy_events.extend(self.cancel_unsent_attempt(now, connection, effects));
        }
    }

    fn update_endpoints(
        &mut self,
        coverage: ListCoverage,
        endpoints: Vec<ListedEndpoint>,
        effects: &mut Vec<Effect>,
    ) -> PolicyEvent {
        let mut entries: Vec<EndpointRecord> = vec![];
        for listed in endpoints {
            entries.push(self.update_endpoint(listed, effects));
        }
        if coverage == ListCoverage::Complete {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            self.remove_unlisted_endpoints(&listed, effects);
        }
        PolicyEvent::EndpointList {
            complete: coverage == ListCoverage::Complete,
            entries,
        }
    }

    fn update_endpoint(
        &mut self,
        listed: ListedEndpoint,
        effects: &mut Vec<Effect>,
    ) -> EndpointRecord {
        let ListedEndpoint {
            record,
            name,
            address,
        } = listed;
        let id = record.endpoint;
        let is_ready = record.state == EndpointState::Ready;
        let has_moved = self
            .endpoints
            .get(&id)
            .is_some_and(|known| known.address != address);
        // A draining endpoint receives no new requests, and connections to the old address do not
        // reach an endpoint that has moved.
        if !is_ready || has_moved {
            self.close_idle_connections(id, effects);
        }
        if is_ready {
            self.ready_endpoints.insert(id);
        } else {
            self.ready_endpoints.remove(&id);
        }
        if record.state == EndpointState::Removed {
            self.endpoints.remove(&id);
        } else {
            self.endpoints.insert(id, EndpointAddress { name, address });
        }
        record
    }

    fn remove_unlisted_endpoints(
        &mut self,
        listed: &BTreeSet<EndpointId>,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.endpoints.keys().copied();
        let unlisted: Vec<EndpointId> = known.filter(|id| !listed.contains(id)).collect();
        for id in unlisted {
            self.close_idle_connections(id, effects);
            self.endpoints.remove(&id);
            self.ready_endpoints.remove(&id);
        }
    }

    /// Name of an endpoint in the log: its listed name, or its number if it is not listed.
    pub(crate) fn endpoint_name(&self, id: EndpointId) -> Arc<str> {
        self.endpoints.get(&id).map_or_else(
            || Arc::from(format!("#{}", id.0)),
            |endpoint| Arc::clone(&endpoint.name),
        )
    }
}
