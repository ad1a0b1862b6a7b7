//! The endpoint list: names, addresses and readiness of upstream endpoints.
//!
//! Bounded by the endpoint list itself. What the policy knows of an endpoint is its own.

use std::collections::BTreeSet;
use std::sync::Arc;

use valehatch_policy::{EndpointId, EndpointRecord, EndpointState, PolicyEvent, Time};

use crate::messages::{ConnectionId, Effect, ListedEndpoint};
use crate::reducer::State;

/// What an endpoint is called and where it listens.
pub(crate) struct EndpointAddress {
    /// Its name in logs and figures.
    pub(crate) name: Arc<str>,
    /// Host and port.
    pub(crate) address: Arc<str>,
}

/// How much a list event says.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListCoverage {
    /// Every endpoint: what is missing was removed.
    Complete,
    /// Changes only.
    Changes,
}

impl ListCoverage {
    /// From the flag of the list event.
    pub(crate) const fn from_complete(complete: bool) -> Self {
        if complete {
            Self::Complete
        } else {
            Self::Changes
        }
    }
}

impl State {
    /// Takes over a list event, and cancels attempts that may no longer begin.
    pub(crate) fn on_endpoint_list(
        &mut self,
        now: Time,
        coverage: ListCoverage,
        endpoints: Vec<ListedEndpoint>,
        policy_events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        policy_events.push(self.update_endpoints(coverage, endpoints, effects));
        // An attempt may have been decided on before this event and still be dialling. Writing it
        // now would begin work on an endpoint that drains, so its send permit is revoked.
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
        // A draining endpoint gets no new requests, and connections to an old address do not reach
        // a moved one.
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

    /// An endpoint as the log names it: by its name, or by its number if it is not listed.
    pub(crate) fn endpoint_name(&self, id: EndpointId) -> Arc<str> {
        self.endpoints.get(&id).map_or_else(
            || Arc::from(format!("#{}", id.0)),
            |endpoint| Arc::clone(&endpoint.name),
        )
    }
}
