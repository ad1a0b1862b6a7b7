//! Connections from clients, and the open requests on them.
//!
//! Both are bounded: connections by the number that the fronts accept, requests by
//! `max_open_requests` in the settings.

use std::collections::{BTreeSet, VecDeque};

use valehatch_memory_budget::UnwrittenResponses;
use valehatch_policy::{Outcome, PolicyEvent, RequestId, Time};
use valehatch_request_log::FinalOutcome;

use crate::attempts::AfterReply;
use crate::messages::{ClientId, Effect, UpstreamReply};
use crate::reducer::State;

/// A connection from a client.
#[derive(Default)]
pub(crate) struct ClientConnection {
    /// Requests that were received on the connection and have no final answer yet.
    pub(crate) open_requests: BTreeSet<RequestId>,
    /// Open requests that are held until there is memory for their responses, in the order of their
    /// arrival.
    pub(crate) held: VecDeque<RequestId>,
    /// Scheduled requests whose response is not completely written.
    pub(crate) unwritten: UnwrittenResponses,
}

impl State {
    /// Adds a client that has connected.
    pub(crate) fn on_client_connected(&mut self, client: ClientId) {
        self.clients.entry(client).or_default();
    }

    /// Aborts all open requests of a client whose connection has closed.
    pub(crate) fn on_client_disconnected(
        &mut self,
        now: Time,
        client: ClientId,
        policy_events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        let closed = self.clients.remove(&client).unwrap_or_default();
        self.clients_with_held.remove(&client);
        for id in closed.open_requests {
            policy_events.extend(self.abort_request(now, id, effects));
        }
    }

    fn abort_request(
        &mut self,
        now: Time,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        // Nobody reads the streamed response any more, so its upstream connection is closed.
        if let Some(connection) = self.streaming_connection(id) {
            let reply = UpstreamReply::without_details(Outcome::Cancelled);
            return self.on_reply(now, connection, reply, AfterReply::Close, effects);
        }
        if let Some(admission) = &mut self.admission {
            admission.on_client_disconnected(now, id, &mut self.admission_decisions);
        }
        let request = self.remove_request(now, id, effects)?;
        let was_admitted = request.queued.is_none() && request.held.is_none();
        self.record(now, request, FinalOutcome::Aborted, effects);
        was_admitted.then_some(PolicyEvent::ClientDisconnected(id))
    }
}
