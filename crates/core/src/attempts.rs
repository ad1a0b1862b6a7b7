//! Sending, streaming and cancelling attempts, and handling their end.
//!
//! Inputs are the policy's orders to send or cancel, and the events of upstream connections. A
//! request has at most one attempt in flight, which [`may_send`] checks, and each attempt in flight
//! occupies one upstream connection. An attempt stays in flight until it is no longer out, as
//! [`UpstreamTransport`] defines it; [`State::cancel_out_attempt`] is where that differs between
//! transports. Times are whole microseconds of the process's monotonic clock.

use std::sync::Arc;

use valehatch_admission::Completion;
use valehatch_policy::{AttemptEnd, EndpointId, Outcome, PolicyEvent, RequestId, Span, Time};
use valehatch_request_log::{FailureReason, FinalOutcome};

use crate::messages::{
    ConnectionId, Effect, Failure, FinalAnswer, LogEvent, Payload, RequestStep, UpstreamJob,
    UpstreamReply, UpstreamTransport,
};
use crate::permission::{Denial, SendCheck, SendPermit, may_send};
use crate::reducer::State;
use crate::requests::LoggedAttempt;
use crate::timers::Timer;
use crate::upstream_connections::ConnectionUse;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    /// Number of the attempt within its request, counted from 0.
    pub(crate) attempt: u32,
}

/// An attempt that occupies a connection.
#[derive(Clone, Copy)]
pub(crate) struct AttemptInFlight {
    pub(crate) id: AttemptId,
    /// When the attempt was handed to the connection.
    pub(crate) sent_at: Time,
}

/// What happens to an upstream connection after the attempt or health check on it has ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterReply {
    /// The connection becomes idle and may be used again.
    Reuse,
    /// The connection is closed.
    Close,
}

impl AfterReply {
    /// Converts the `reusable` flag of `Event::AttemptEnded`.
    pub(crate) const fn from_reusable(reusable: bool) -> Self {
        if reusable { Self::Reuse } else { Self::Close }
    }
}

/// The policy's order to send an attempt.
pub(crate) struct SendOrder {
    pub(crate) request: RequestId,
    pub(crate) endpoint: EndpointId,
    /// How long to wait for the answer; `None` waits until the request's deadline.
    pub(crate) timeout: Option<Span>,
    /// Latest time at which the first byte of the attempt may be written.
    pub(crate) send_before: Option<Time>,
}

/// An attempt that was not handed to a connection; `outcome` tells why.
struct UnsentAttempt {
    id: AttemptId,
    endpoint: EndpointId,
    outcome: Outcome,
}

impl State {
    /// Connections that carry attempts of a request.
    pub(crate) fn connections_of(&self, request: RequestId) -> Vec<ConnectionId> {
        let first = AttemptId {
            request,
            attempt: 0,
        };
        let last = AttemptId {
            request,
            attempt: u32::MAX,
        };
        self.attempts
            .range(first..=last)
            .map(|(_, connection)| *connection)
            .collect()
    }

    /// The connection whose response is being streamed to a request's client, if any.
    pub(crate) fn streaming_connection(&self, id: RequestId) -> Option<ConnectionId> {
        self.requests.get(&id)?.response_started_at?;
        self.connections_of(id).first().copied()
    }

    /// Starts to forward a streamed response. From then on the request is bound to this attempt: it
    /// has no deadline and is not retried, and its endpoint counts as having finished the work.
    pub(crate) fn on_response_started(
        &mut self,
        now: Time,
        connection: ConnectionId,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        let slot = self.connections.get_mut(&connection)?;
        let ConnectionUse::Attempt(attempt) = slot.usage else {
            return None;
        };
        let id = attempt.id.request;
        let waiting = self
            .requests
            .get_mut(&id)
            .filter(|request| request.response_started_at.is_none());
        let Some(request) = waiting else {
            let reply = UpstreamReply::without_details(Outcome::Cancelled);
            return self.on_reply(now, connection, reply, AfterReply::Close, effects);
        };
        request.response_started_at = Some(now);
        // The front reserves the chunks that it buffers.
        request.response_memory.shrink_to(0);
        let overdue_at = request.overdue_at();
        effects.push(Effect::ForwardBody {
            connection,
            client: request.client,
            ticket: request.ticket,
        });
        let timeout_at = std::mem::replace(&mut slot.timeout_at, Time(i64::MAX));
        self.cancel_timer(timeout_at, Timer::AttemptTimeout(connection));
        self.cancel_timer(overdue_at, Timer::RequestOverdue(id));
        if let Some(admission) = &mut self.admission {
            admission.on_finished(now, id, Completion::Served, &mut self.admission_decisions);
        }
        Some(PolicyEvent::ResponseStarted(id))
    }

    /// Ends the attempt or health check that an upstream connection carries.
    pub(crate) fn on_reply(
        &mut self,
        now: Time,
        connection: ConnectionId,
        mut reply: UpstreamReply,
        after_reply: AfterReply,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        let slot = self.connections.get_mut(&connection)?;
        let endpoint = slot.endpoint;
        if slot.revoke_permit(reply.outcome) {
            reply.outcome = Outcome::NotSent;
        }
        let usage = self.release_connection(now, connection)?;
        if after_reply == AfterReply::Close || !self.endpoints.contains_key(&endpoint) {
            self.close_connection(connection, effects);
        }
        match usage {
            ConnectionUse::Idle { .. } => None,
            ConnectionUse::HealthCheck { sent_at } => Some(PolicyEvent::HealthCheckEnded {
                endpoint,
                outcome: reply.outcome,
                latency: now - sent_at,
                report: reply.report,
            }),
            ConnectionUse::Attempt(attempt) => {
                Some(self.on_attempt_ended(now, endpoint, attempt, reply, effects))
            }
        }
    }

    fn on_attempt_ended(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        attempt: AttemptInFlight,
        reply: UpstreamReply,
        effects: &mut Vec<Effect>,
    ) -> PolicyEvent {
        let AttemptId {
            request: id,
            attempt: number,
        } = attempt.id;
        self.attempts.remove(&attempt.id);
        let outcome = reply.outcome;
        let step = RequestStep::AttemptEnded {
            attempt: number,
            outcome,
        };
        self.trace(id, step, effects);
        // The latency of a streamed response is measured up to its start, because the rest arrives
        // only as fast as the client reads.
        let response_started_at = self.requests.get(&id).and_then(|r| r.response_started_at);
        let ended_at = response_started_at.unwrap_or(now);
        if let Some(request) = self.requests.get_mut(&id) {
            request.record_attempt(outcome, ended_at);
            if !outcome.never_ran() {
                request.may_have_run_since.get_or_insert(attempt.sent_at);
            }
        }
        let (role, position, report) = (reply.role, reply.position, reply.report);
        let request_ended = if response_started_at.is_some() {
            self.finish_streamed_request(now, ended_at, id, outcome, effects);
            true
        } else {
            self.apply_reply(now, id, reply, effects)
        };
        PolicyEvent::AttemptEnded(AttemptEnd {
            request: id,
            attempt: number,
            endpoint,
            outcome,
            request_ended,
            latency: ended_at - attempt.sent_at,
            role,
            position,
            report,
        })
    }

    /// Ends a request whose response was streamed to its client, completely or in part.
    fn finish_streamed_request(
        &mut self,
        now: Time,
        started_at: Time,
        id: RequestId,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let final_outcome = match outcome {
            Outcome::Ok => self.config.served_outcome(request, started_at),
            Outcome::Cancelled => FinalOutcome::Aborted,
            _ => FinalOutcome::Failed(FailureReason::ConnectionLost),
        };
        let completion = if outcome == Outcome::Ok {
            Completion::Served
        } else {
            Completion::NotServed
        };
        if let Some(request) = self.close_request(now, id, completion, effects) {
            self.record(started_at, request, final_outcome, effects);
        }
    }

    /// Answers a request with the reply to an attempt if that reply is final. Returns whether the
    /// request has ended.
    fn apply_reply(
        &mut self,
        now: Time,
        id: RequestId,
        reply: UpstreamReply,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        request.last_outcome = Some(reply.outcome);
        request.response_memory.add(reply.memory);
        match reply.body {
            Some(body) if reply.outcome == Outcome::Ok => {
                let outcome = self.config.served_outcome(request, now);
                self.answer(now, id, FinalAnswer::Served(body), outcome, effects);
                true
            }
            Some(body) if reply.is_final_error => {
                let answer = FinalAnswer::Failed(Failure::UpstreamError(body));
                let outcome = FinalOutcome::Failed(FailureReason::InvalidStatement);
                self.answer(now, id, answer, outcome, effects);
                true
            }
            error => {
                request.last_error = error;
                false
            }
        }
    }

    /// Sends an attempt, or reports to the policy that it was not sent.
    pub(crate) fn send(&mut self, now: Time, order: &SendOrder, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&order.request) else {
            return self.config.decisions.on_denied(Denial::RequestEnded);
        };
        let deadline = order
            .timeout
            .map_or(request.deadline, |t| request.deadline.min(now + t));
        let permitted = self.check_send(now, order, deadline, effects);
        let Some(request) = self.requests.get_mut(&order.request) else {
            return;
        };
        let id = AttemptId {
            request: order.request,
            attempt: request.attempts,
        };
        request.attempts += 1;
        let payload = Arc::clone(&request.payload);
        let connection = match permitted {
            Ok(()) => {
                let in_flight = AttemptInFlight { id, sent_at: now };
                let usage = ConnectionUse::Attempt(in_flight);
                self.acquire_connection(now, order.endpoint, usage, effects)
                    .ok_or_else(|| self.no_connection_outcome(order.endpoint))
            }
            Err(_) => Err(Outcome::NotSent),
        };
        self.record_attempt_start(now, order);
        match connection {
            Ok(connection) => self.submit(id, connection, payload, deadline, order, effects),
            Err(outcome) => {
                let unsent = UnsentAttempt {
                    id,
                    endpoint: order.endpoint,
                    outcome,
                };
                self.report_not_sent(now, &unsent);
            }
        }
    }

    /// Checks whether an attempt may be sent. Counts retries; counts and logs denials.
    fn check_send(
        &self,
        now: Time,
        order: &SendOrder,
        deadline: Time,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Denial> {
        let Some(request) = self.requests.get(&order.request) else {
            return Err(Denial::RequestEnded);
        };
        let check = SendCheck {
            now,
            deadline,
            response_started: request.response_started_at.is_some(),
            attempts_in_flight: self.connections_of(order.request).len(),
            attempts: request.attempts,
            max_attempts: self.config.settings.limits.max_attempts,
            idempotency: self.config.settings.classes[request.class].idempotency,
            may_have_run_since: request.may_have_run_since,
            endpoint_is_ready: self.ready_endpoints.contains(&order.endpoint)
                || self.may_use_unlisted(order.endpoint),
        };
        let permitted = may_send(&check);
        match permitted {
            Ok(()) if check.attempts > 0 => self.config.decisions.on_retry(),
            Ok(()) => {}
            Err(denial) => self.on_send_denied(order.request, order.endpoint, denial, effects),
        }
        permitted
    }

    /// Stores the start time and endpoint of an attempt for the request log.
    fn record_attempt_start(&mut self, now: Time, order: &SendOrder) {
        if self.config.observability.is_none() {
            return;
        }
        let Some(request) = self.requests.get_mut(&order.request) else {
            return;
        };
        request.first_sent_at.get_or_insert(now);
        let endpoint = self.endpoints.get(&order.endpoint);
        request.in_flight = endpoint.map(|endpoint| LoggedAttempt {
            endpoint: Arc::clone(&endpoint.name),
            sent_at: now,
        });
    }

    fn report_not_sent(&mut self, now: Time, unsent: &UnsentAttempt) {
        if let Some(request) = self.requests.get_mut(&unsent.id.request) {
            request.record_attempt(unsent.outcome, now);
        }
        self.pending_events
            .push(PolicyEvent::AttemptEnded(AttemptEnd {
                request: unsent.id.request,
                attempt: unsent.id.attempt,
                endpoint: unsent.endpoint,
                outcome: unsent.outcome,
                request_ended: false,
                latency: Span(0),
                role: None,
                position: None,
                report: None,
            }));
    }

    /// Hands an attempt to its connection.
    fn submit(
        &mut self,
        id: AttemptId,
        connection: ConnectionId,
        payload: Arc<Payload>,
        deadline: Time,
        order: &SendOrder,
        effects: &mut Vec<Effect>,
    ) {
        self.attempts.insert(id, connection);
        self.share_name(id.request, effects);
        let step = RequestStep::AttemptSent {
            attempt: id.attempt,
            endpoint: self.endpoint_name(order.endpoint),
            connection,
        };
        self.trace(id.request, step, effects);
        self.set_timeout(connection, deadline);
        let send_before = order.send_before.map_or(deadline, |at| at.min(deadline));
        let permit = SendPermit::new(send_before);
        if let Some(slot) = self.connections.get_mut(&connection) {
            slot.permit = Some(permit.clone());
        }
        effects.push(Effect::Submit {
            connection,
            job: UpstreamJob::Request {
                payload,
                deadline,
                permit,
            },
        });
    }

    /// Whether the policy may use an endpoint that is not listed, which it may only if the settings
    /// make removal advisory. A draining endpoint is still listed and never used.
    fn may_use_unlisted(&self, endpoint: EndpointId) -> bool {
        self.config.settings.rules.removal_is_advisory && !self.endpoints.contains_key(&endpoint)
    }

    /// Counts and logs that an attempt is not sent. A denial that shows a defect of the policy is
    /// also counted and logged as an invariant violation, and panics in debug builds.
    fn on_send_denied(
        &self,
        request: RequestId,
        endpoint: EndpointId,
        denial: Denial,
        effects: &mut Vec<Effect>,
    ) {
        self.config.decisions.on_denied(denial);
        self.trace(request, RequestStep::Denied(denial), effects);
        if !denial.is_violation() {
            return;
        }
        self.config.decisions.on_violated(denial);
        let request = self.request_name(request);
        let endpoint = self.endpoint_name(endpoint);
        debug_assert!(
            false,
            "invariant violated: {}: {request} to {endpoint}",
            denial.name()
        );
        effects.push(Effect::Log(LogEvent::InvariantViolated {
            denial,
            request,
            endpoint,
        }));
    }

    /// Cancels an attempt that the policy no longer wants.
    pub(crate) fn cancel_attempt(&mut self, now: Time, id: AttemptId, effects: &mut Vec<Effect>) {
        let Some(connection) = self.attempts.get(&id).copied() else {
            return;
        };
        let ended = if self.must_await_end(id.request) {
            self.cancel_out_attempt(now, connection, effects)
        } else {
            let reply = UpstreamReply::without_details(Outcome::Cancelled);
            self.on_reply(now, connection, reply, AfterReply::Close, effects)
        };
        self.pending_events.extend(ended);
    }

    /// Ends the attempt or health check on a connection because it has taken too long.
    pub(crate) fn on_attempt_timeout(
        &mut self,
        now: Time,
        connection: ConnectionId,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        if let Some(deadline) = self.retry_deadline(now, connection) {
            self.set_timeout(connection, deadline);
            return self.cancel_out_attempt(now, connection, effects);
        }
        // The connection is closed with the attempt, because a late answer on it would be taken for
        // the answer to the next request.
        let reply = UpstreamReply::without_details(Outcome::Timeout);
        self.on_reply(now, connection, reply, AfterReply::Close, effects)
    }

    /// The deadline of the request whose attempt a connection carries, if a retry could overlap with
    /// the attempt.
    fn retry_deadline(&self, now: Time, connection: ConnectionId) -> Option<Time> {
        let ConnectionUse::Attempt(attempt) = self.connections.get(&connection)?.usage else {
            return None;
        };
        let request = self.requests.get(&attempt.id.request)?;
        let can_retry = self.must_await_end(attempt.id.request) && now < request.deadline;
        can_retry.then_some(request.deadline)
    }

    /// Whether an attempt of this request counts as ended only when the transport reports it: the
    /// request may be retried, and closing the attempt's connection does not end the attempt.
    fn must_await_end(&self, request: RequestId) -> bool {
        self.config.transport == UpstreamTransport::Multiplexed
            && self.requests.contains_key(&request)
    }

    /// Cancels the attempt on a shared connection. Returns its end if nothing of it was written;
    /// otherwise the transport reports the end.
    pub(crate) fn cancel_out_attempt(
        &mut self,
        now: Time,
        connection: ConnectionId,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        let ended = self.cancel_unsent_attempt(now, connection, effects);
        if ended.is_none() {
            effects.push(Effect::CancelAttempt(connection));
        }
        ended
    }

    /// Cancels the attempt on a connection if nothing of it has been written yet. An attempt that
    /// has begun continues.
    pub(crate) fn cancel_unsent_attempt(
        &mut self,
        now: Time,
        connection: ConnectionId,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        let slot = self.connections.get(&connection)?;
        let was_unsent = slot.permit.as_ref().is_some_and(SendPermit::revoke);
        if !was_unsent {
            return None;
        }
        self.config.decisions.on_cancelled_unsent();
        let reply = UpstreamReply::without_details(Outcome::NotSent);
        self.on_reply(now, connection, reply, AfterReply::Close, effects)
    }
}
