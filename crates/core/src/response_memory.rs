//! Memory for responses: reserved before a request is scheduled, so that no response arrives
//! without room for it.
//!
//! The front reserves the response to a client's only request, or rejects the request. Further
//! requests, which are pipelined, are scheduled in the order of their arrival, as far as the budget
//! has room for their responses. Until then they are held here, and clients with held requests take
//! turns. A held request is rejected after a part of its time, as in the admission queue.
//!
//! Inputs: accepted requests, the budget, and the unwritten responses of each client, which fall as
//! the front writes responses. State: the held requests in [`ClientConnection::held`], bounded by
//! `max_open_requests` in the settings, and the client whose turn was last. Times are whole
//! microseconds of the process's monotonic clock.

use std::ops::Bound;
use std::sync::Arc;

use valehatch_admission::Arrival;
use valehatch_memory_budget::{MemoryBudget, MemoryUse, Reservation, UnwrittenResponse};
use valehatch_policy::{PolicyEvent, Request, RequestId, Span, Time};
use valehatch_request_log::{FinalOutcome, RejectionReason};

use crate::client_connections::ClientConnection;
use crate::messages::{ClientId, Effect, FinalAnswer};
use crate::reducer::State;
use crate::requests::PendingRequest;
use crate::timers::Timer;

/// Interval at which held requests are scheduled. Written responses free memory without an event.
const HELD_INTERVAL: Span = Span::from_millis(2);
/// Part of its time, in tenths, after which a held request is rejected, so that its client can
/// still retry.
const HELD_TENTHS: i64 = 4;

/// Limits on the memory of responses.
#[derive(Clone, Debug)]
pub struct ResponseLimits {
    /// The front's budget.
    pub budget: Arc<MemoryBudget>,
    /// Maximum size of a response in bytes that is buffered without a further reservation.
    pub response_bytes: usize,
}

/// Memory reserved for one response, held until the response is written.
#[derive(Debug, Default)]
pub struct ResponseMemory {
    reserved: Option<Reservation>,
    /// What the response takes beyond `reserved`.
    additional: Option<Reservation>,
    /// Counts the response as unwritten.
    _unwritten: Option<UnwrittenResponse>,
}

impl ResponseMemory {
    /// Adds the memory that a large response has reserved when it arrived.
    pub(crate) fn add(&mut self, additional: Option<Reservation>) {
        if additional.is_some() {
            self.additional = additional;
        }
    }

    /// Releases what a response of this size, in bytes, does not need.
    pub fn shrink_to(&mut self, bytes: usize) {
        let additional = self.additional.as_ref().map_or(0, Reservation::bytes);
        if let Some(reserved) = &mut self.reserved {
            reserved.shrink_to(bytes.saturating_sub(additional));
        }
        if let Some(additional) = &mut self.additional {
            additional.shrink_to(bytes);
        }
    }
}

impl ResponseMemory {
    /// Counts the response as unwritten until this is dropped.
    fn count_for(mut self, client: &ClientConnection) -> Self {
        self._unwritten = Some(client.unwritten.add());
        self
    }
}

impl From<Reservation> for ResponseMemory {
    fn from(reserved: Reservation) -> Self {
        Self {
            reserved: Some(reserved),
            ..Self::default()
        }
    }
}

/// A request that is accepted but not scheduled yet.
pub(crate) struct HeldRequest {
    pub(crate) arrival: Arrival,
    pub(crate) request: Request,
}

impl ResponseLimits {
    /// Reserves memory for the response to a client's next request; `None` if there is no room.
    fn try_reserve(&self, client: &ClientConnection) -> Option<ResponseMemory> {
        let unwritten = client.unwritten.count();
        let usage = if unwritten == 0 {
            MemoryUse::Responses
        } else if unwritten < self.budget.max_responses_of_client(self.response_bytes) {
            MemoryUse::PipelinedResponses
        } else {
            return None;
        };
        let reserved = self.budget.try_reserve(usage, self.response_bytes)?;
        Some(reserved.into())
    }
}

impl State {
    /// Schedules an accepted request, or holds it until there is room for its response. Returns the
    /// event for the policy if the request is scheduled without an admission queue.
    pub(crate) fn schedule_or_hold(&mut self, now: Time, held: HeldRequest) -> Option<PolicyEvent> {
        let id = held.request.id;
        let Some(limits) = &self.config.response_limits else {
            return self.schedule(now, held);
        };
        let pending = self.requests.get_mut(&id)?;
        let client = self.clients.entry(pending.client).or_default();
        let reserved = std::mem::take(&mut pending.response_memory);
        let memory = if reserved.reserved.is_some() {
            Some(reserved)
        } else if client.held.is_empty() {
            limits.try_reserve(client)
        } else {
            None
        };
        if let Some(memory) = memory {
            pending.response_memory = memory.count_for(client);
            return self.schedule(now, held);
        }
        client.held.push_back(id);
        self.clients_with_held.insert(pending.client);
        pending.held = Some(Box::new(held));
        let held_until = pending.held_until();
        self.set_timer(held_until, Timer::HeldExpired(id));
        self.set_held_timer(now);
        None
    }

    /// Passes a request to the admission queue or, without one, to the policy.
    fn schedule(&mut self, now: Time, held: HeldRequest) -> Option<PolicyEvent> {
        let HeldRequest { arrival, request } = held;
        if self.admission.is_some() {
            self.enqueue(now, arrival, request);
            return None;
        }
        let pending = self.requests.get(&request.id)?;
        Some(PolicyEvent::Request(pending.request_at(now, request)))
    }

    /// Schedules held requests as far as there is room for their responses. Clients take turns, one
    /// request at a time.
    fn schedule_held(&mut self, now: Time, policy_events: &mut Vec<PolicyEvent>) {
        let mut without_room = 0;
        while without_room < self.clients_with_held.len() {
            let Some(client) = self.next_client_with_held() else {
                return;
            };
            self.last_client_scheduled = client;
            match self.take_held(client) {
                Some(held) => {
                    policy_events.extend(self.schedule(now, held));
                    without_room = 0;
                }
                None => without_room += 1,
            }
        }
    }

    fn next_client_with_held(&self) -> Option<ClientId> {
        let after = (
            Bound::Excluded(self.last_client_scheduled),
            Bound::Unbounded,
        );
        let next = self.clients_with_held.range(after).next();
        next.or_else(|| self.clients_with_held.first()).copied()
    }

    /// Removes a client's first held request if there is room for its response.
    fn take_held(&mut self, id: ClientId) -> Option<HeldRequest> {
        let client = self.clients.get_mut(&id)?;
        let first = *client.held.front()?;
        let memory = self.config.response_limits.as_ref()?.try_reserve(client)?;
        let memory = memory.count_for(client);
        client.held.pop_front();
        if client.held.is_empty() {
            self.clients_with_held.remove(&id);
        }
        let pending = self.requests.get_mut(&first)?;
        pending.response_memory = memory;
        let held = pending.held.take().map(|held| *held);
        let held_until = pending.held_until();
        self.cancel_timer(held_until, Timer::HeldExpired(first));
        held
    }

    /// Forgets a request that ends while it is held.
    pub(crate) fn forget_held(&mut self, id: RequestId, request: &PendingRequest) {
        self.cancel_timer(request.held_until(), Timer::HeldExpired(id));
        let client = request.client;
        let Some(connection) = self.clients.get_mut(&client) else {
            self.clients_with_held.remove(&client);
            return;
        };
        connection.held.retain(|held| *held != id);
        if connection.held.is_empty() {
            self.clients_with_held.remove(&client);
        }
    }

    /// Schedules held requests, and sets the timer again while any are left.
    pub(crate) fn on_held_timer(&mut self, now: Time, policy_events: &mut Vec<PolicyEvent>) {
        self.held_timer_set = false;
        self.schedule_held(now, policy_events);
        if !self.clients_with_held.is_empty() {
            self.set_held_timer(now);
        }
    }

    /// Rejects a request that has been held for too long.
    pub(crate) fn on_held_expired(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.held.is_some()) else {
            return;
        };
        let answer = FinalAnswer::Rejected {
            retry_after: self.config.default_retry_after(request.class),
            overloaded: true,
        };
        let outcome = FinalOutcome::Rejected(RejectionReason::OutOfMemory);
        self.answer(now, id, answer, outcome, effects);
    }

    fn set_held_timer(&mut self, now: Time) {
        if !self.held_timer_set {
            self.held_timer_set = true;
            self.set_timer(now + HELD_INTERVAL, Timer::HeldRequests);
        }
    }
}

impl PendingRequest {
    /// Until when the request may be held.
    fn held_until(&self) -> Time {
        self.arrived + Span((self.deadline - self.arrived).0 / 10 * HELD_TENTHS)
    }
}
