//! Requests in flight: each is accepted or rejected on arrival, receives exactly one final answer,
//! and is then removed.
//!
//! Inputs are requests from the fronts and the policy's decisions to reject or fail them. The
//! number of open requests is bounded by `max_open_requests` in the settings; further requests are
//! rejected. Times are whole microseconds of the process's monotonic clock.

use std::sync::Arc;

use valehatch_admission::{Arrival, Completion};
use valehatch_memory_budget::Reservation;
use valehatch_policy::{
    ClassId, GiveUpReason, GroupId, Outcome, PolicyEvent, Request, RequestId, Span, TenantId, Time,
};
use valehatch_request_log::{AttemptRecord, FailureReason, FinalOutcome, RejectionReason};

use crate::messages::{
    AfterAnswer, ClientId, CoreConfig, Effect, Failure, FinalAnswer, IncomingRequest, LogEvent,
    Payload, RequestStep,
};
use crate::outcomes::RequestEnd;
use crate::permission::{AcceptCheck, Denial, may_accept};
use crate::reducer::State;
use crate::response_memory::{HeldRequest, ResponseMemory};
use crate::shutdown::RETRY_AFTER_HANDOFF;
use crate::timers::Timer;

/// The final answer is due this long before the client's own timeout.
const CLIENT_TIMEOUT_MARGIN: Span = Span::from_millis(5);

/// A request in flight.
pub(crate) struct PendingRequest {
    /// Name that the client assigned to the request, if any.
    pub(crate) name: Option<Arc<str>>,
    /// Connection that the request was received on.
    pub(crate) client: ClientId,
    /// Returned to the front with the answer, to match it to the request.
    pub(crate) ticket: u64,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) group: GroupId,
    /// When the last byte of the request was read.
    pub(crate) arrived: Time,
    /// When the core accepted the request.
    pub(crate) accepted: Time,
    /// When the final answer must have been sent.
    pub(crate) deadline: Time,
    pub(crate) payload: Arc<Payload>,
    /// Reservation for the request's bytes, released when the request is dropped.
    pub(crate) memory: Option<Reservation>,
    /// Memory reserved for the response; empty while the request is held.
    pub(crate) response_memory: ResponseMemory,
    /// The request as it is to be scheduled, while it is held until there is memory for its
    /// response.
    pub(crate) held: Option<Box<HeldRequest>>,
    /// Attempts ordered by the policy so far, including those that were not sent.
    pub(crate) attempts: u32,
    /// When the first attempt was sent; for the request log.
    pub(crate) first_sent_at: Option<Time>,
    /// Attempts that have ended; for the request log.
    pub(crate) attempt_records: Vec<AttemptRecord>,
    /// Request to pass to the policy on admission; `None` unless the request waits in the admission
    /// queue.
    pub(crate) queued: Option<Box<Request>>,
    /// The attempt in flight; for the request log.
    pub(crate) in_flight: Option<LoggedAttempt>,
    /// How the last attempt that was sent ended.
    pub(crate) last_outcome: Option<Outcome>,
    /// The endpoint's error message for that attempt, if there was one.
    pub(crate) last_error: Option<Vec<u8>>,
    /// When the first attempt that may have run was sent.
    pub(crate) may_have_run_since: Option<Time>,
    /// When a streamed response started. From then on the request is bound to that attempt.
    pub(crate) response_started_at: Option<Time>,
}

/// The attempt in flight, as recorded in the request log.
pub(crate) struct LoggedAttempt {
    /// Name of the endpoint.
    pub(crate) endpoint: Arc<str>,
    pub(crate) sent_at: Time,
}

/// Reasons to log for a request that ends without a decision of the policy.
#[derive(Clone, Copy)]
pub(crate) struct EndReasons {
    /// Used if the request has not run.
    pub(crate) never_ran: RejectionReason,
    /// Used if the request may have run.
    pub(crate) may_have_run: FailureReason,
}

/// Where the answer to a request is sent.
#[derive(Clone, Copy)]
pub(crate) struct ReplyTo {
    /// Connection that the request was received on.
    pub(crate) client: ClientId,
    /// Returned to the front with the answer, to match it to the request.
    pub(crate) ticket: u64,
}

impl PendingRequest {
    fn new(reply_to: ReplyTo, incoming: IncomingRequest, now: Time) -> Self {
        // The request may have waited for this turn of the event loop.
        let arrived = incoming.received.min(now);
        let time_allowed = Span((incoming.client_timeout - CLIENT_TIMEOUT_MARGIN).0.max(1));
        Self {
            name: incoming.name,
            client: reply_to.client,
            ticket: reply_to.ticket,
            class: incoming.class,
            tenant: incoming.tenant,
            group: incoming.group,
            arrived,
            accepted: now,
            deadline: arrived + time_allowed,
            payload: incoming.payload,
            memory: Some(incoming.memory),
            response_memory: incoming.response_memory.map(Into::into).unwrap_or_default(),
            held: None,
            attempts: 0,
            first_sent_at: None,
            attempt_records: vec![],
            queued: None,
            in_flight: None,
            last_outcome: None,
            last_error: None,
            may_have_run_since: None,
            response_started_at: None,
        }
    }

    /// The request as it is passed to the policy now; `request` is as of its acceptance.
    pub(crate) fn request_at(&self, now: Time, request: Request) -> Request {
        let waited = Span((now - self.accepted).0.max(0));
        Request {
            time_left: Span((self.deadline - now).0.max(1)),
            since_last_write: request.since_last_write.map(|ago| ago + waited),
            ..request
        }
    }

    /// Takes the memory that is reserved for the answer. The rejection of a held request takes the
    /// place of the request itself.
    fn take_response_memory(&mut self) -> ResponseMemory {
        match &self.held {
            Some(_) => self.memory.take().map(Into::into).unwrap_or_default(),
            None => std::mem::take(&mut self.response_memory),
        }
    }

    /// When the request is ended if the policy has not answered it, which is after the client's own
    /// timeout.
    pub(crate) fn overdue_at(&self) -> Time {
        self.deadline + CLIENT_TIMEOUT_MARGIN + CLIENT_TIMEOUT_MARGIN
    }
}

impl State {
    /// Accepts or immediately answers a request. Returns the event for the policy, or `None` if the
    /// request was answered or queued.
    pub(crate) fn on_request(
        &mut self,
        now: Time,
        reply_to: ReplyTo,
        incoming: IncomingRequest,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        self.count_request(incoming.tenant, now);
        self.names.forget_old(now);
        if let Err(denial) = self.check_accept(&incoming) {
            self.config.decisions.on_denied(denial);
            self.answer_denied(reply_to, incoming, denial, effects);
            return None;
        }
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let client = self.clients.entry(reply_to.client).or_default();
        client.open_requests.insert(id);
        if let Some(name) = incoming.name.clone() {
            self.names.open(name);
        }
        let client_key = incoming.client;
        let session = incoming.session;
        let is_client_retry = incoming.is_client_retry;
        let last_write_at = incoming.last_write_at;
        let pending = PendingRequest::new(reply_to, incoming, now);
        let request = Request {
            id,
            session,
            time_left: Span((pending.deadline - now).0.max(1)),
            group: pending.group,
            class: ClassId(pending.class),
            tenant: pending.tenant.map(TenantId),
            work: None,
            is_client_retry,
            since_last_write: last_write_at.map(|at| Span((now - at).0.max(0))),
        };
        let arrival = Arrival {
            id,
            tenant: pending.tenant,
            client: client_key,
            class: pending.class,
            group: pending.group,
            deadline: pending.deadline,
        };
        self.set_timer(pending.overdue_at(), Timer::RequestOverdue(id));
        self.requests.insert(id, pending);
        self.schedule_or_hold(now, HeldRequest { arrival, request })
    }

    fn check_accept(&self, incoming: &IncomingRequest) -> Result<(), Denial> {
        let name = incoming.name.as_ref();
        may_accept(&AcceptCheck {
            stage: self.shutdown.process_stage(),
            name_is_open: name.is_some_and(|name| self.names.is_in_use(name)),
            open_requests: self.requests.len(),
            max_open_requests: self.config.settings.limits.max_open_requests,
        })
    }

    fn answer_denied(
        &self,
        reply_to: ReplyTo,
        incoming: IncomingRequest,
        denial: Denial,
        effects: &mut Vec<Effect>,
    ) {
        let (outcome, answer) = self.denied_answer(denial, incoming.class);
        self.record_end(
            RequestEnd::on_arrival(incoming.class, incoming.tenant, incoming.group, outcome),
            effects,
        );
        effects.push(Effect::Answer {
            client: reply_to.client,
            ticket: reply_to.ticket,
            answer,
            after: after_denial(denial),
            memory: incoming.memory.into(),
        });
    }

    /// Final answer to a request that is not accepted.
    fn denied_answer(&self, denial: Denial, class: usize) -> (FinalOutcome, FinalAnswer) {
        let reason = match denial {
            Denial::DuplicateRequestId => {
                return (
                    FinalOutcome::Failed(FailureReason::DuplicateRequestId),
                    FinalAnswer::Failed(Failure::DuplicateName),
                );
            }
            Denial::TooManyOpen => RejectionReason::TooManyOpen,
            _ => RejectionReason::Stopping,
        };
        let retry_after = if self.shutdown.is_handoff() {
            RETRY_AFTER_HANDOFF
        } else {
            self.config.default_retry_after(class)
        };
        let answer = FinalAnswer::Rejected {
            retry_after,
            overloaded: false,
        };
        (FinalOutcome::Rejected(reason), answer)
    }

    /// Ends a request that the policy did not answer in time.
    pub(crate) fn on_request_overdue(
        &mut self,
        now: Time,
        id: RequestId,
        policy_events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        let reasons = EndReasons {
            never_ran: RejectionReason::DeadlineExceeded,
            may_have_run: FailureReason::Timeout,
        };
        self.end_request(now, id, reasons, policy_events, effects);
    }

    /// Sends the final answer to a request without a decision of the policy: a rejection if the
    /// request has not run and will not run, a failure otherwise.
    pub(crate) fn end_request(
        &mut self,
        now: Time,
        id: RequestId,
        reasons: EndReasons,
        policy_events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        // An attempt of which nothing has been written must not begin after the request is
        // answered.
        for connection in self.connections_of(id) {
            policy_events.extend(self.cancel_unsent_attempt(now, connection, effects));
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let was_written = !self.connections_of(id).is_empty();
        let (answer, outcome) = if was_written || request.may_have_run_since.is_some() {
            let outcome = FinalOutcome::Failed(reasons.may_have_run);
            (FinalAnswer::Failed(Failure::Timeout), outcome)
        } else {
            let answer = FinalAnswer::Rejected {
                retry_after: self.config.default_retry_after(request.class),
                overloaded: false,
            };
            (answer, FinalOutcome::Rejected(reasons.never_ran))
        };
        self.answer(now, id, answer, outcome, effects);
        policy_events.push(PolicyEvent::ClientDisconnected(id));
    }

    /// Rejects a request as ordered by the policy.
    pub(crate) fn reject_request(
        &mut self,
        now: Time,
        id: RequestId,
        retry_after: Option<Span>,
        reason: GiveUpReason,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let answer = FinalAnswer::Rejected {
            retry_after: retry_after
                .unwrap_or_else(|| self.config.default_retry_after(request.class)),
            overloaded: false,
        };
        let outcome = FinalOutcome::Rejected(rejection_reason(reason));
        self.answer(now, id, answer, outcome, effects);
    }

    /// Fails a request as ordered by the policy. The answer depends on the result of the last
    /// attempt.
    pub(crate) fn fail_request(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (failure, reason) = match (request.last_outcome, request.last_error.take()) {
            (Some(Outcome::Timeout | Outcome::Cancelled), _) => {
                (Failure::Timeout, FailureReason::Timeout)
            }
            (Some(Outcome::Error), Some(error)) => {
                (Failure::UpstreamError(error), FailureReason::UpstreamError)
            }
            _ => (Failure::ConnectionLost, FailureReason::ConnectionLost),
        };
        let answer = FinalAnswer::Failed(failure);
        self.answer(now, id, answer, FinalOutcome::Failed(reason), effects);
    }

    /// Name of a request in the log: the name assigned by the client, or the request's number.
    pub(crate) fn request_name(&self, id: RequestId) -> Arc<str> {
        let name = self.requests.get(&id).and_then(|r| r.name.clone());
        name.unwrap_or_else(|| Arc::from(format!("#{}", id.0)))
    }

    /// Logs a step of a request if requests are traced.
    pub(crate) fn trace(&self, id: RequestId, step: RequestStep, effects: &mut Vec<Effect>) {
        if !self.config.trace_requests {
            return;
        }
        effects.push(Effect::Log(LogEvent::RequestStep {
            request: self.request_name(id),
            step,
        }));
    }

    /// Removes a request and everything that is stored for it, and cancels its attempt if nothing
    /// of it has been written.
    pub(crate) fn remove_request(
        &mut self,
        now: Time,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.cancel_timer(request.overdue_at(), Timer::RequestOverdue(id));
        if request.held.is_some() {
            self.forget_held(id, &request);
        }
        for connection in self.connections_of(id) {
            let ended = self.cancel_unsent_attempt(now, connection, effects);
            self.pending_events.extend(ended);
        }
        self.close_name(now, id, &request);
        Some(request)
    }

    /// Sends the final answer to a request and removes the request.
    pub(crate) fn answer(
        &mut self,
        now: Time,
        id: RequestId,
        answer: FinalAnswer,
        outcome: FinalOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let completion = if matches!(answer, FinalAnswer::Served(_)) {
            Completion::Served
        } else {
            Completion::NotServed
        };
        let Some(mut request) = self.close_request(now, id, completion, effects) else {
            return;
        };
        effects.push(Effect::Answer {
            client: request.client,
            ticket: request.ticket,
            answer,
            after: AfterAnswer::KeepOpen,
            memory: request.take_response_memory(),
        });
        self.record(now, request, outcome, effects);
    }

    /// Removes a request that has its final answer from the state and from the admission queue.
    pub(crate) fn close_request(
        &mut self,
        now: Time,
        id: RequestId,
        completion: Completion,
        effects: &mut Vec<Effect>,
    ) -> Option<PendingRequest> {
        let request = self.remove_request(now, id, effects)?;
        if let Some(client) = self.clients.get_mut(&request.client) {
            client.open_requests.remove(&id);
        }
        let Some(admission) = &mut self.admission else {
            return Some(request);
        };
        if request.held.is_some() {
            return Some(request);
        }
        if request.queued.is_some() {
            admission.on_client_disconnected(now, id, &mut self.admission_decisions);
        } else {
            admission.on_finished(now, id, completion, &mut self.admission_decisions);
        }
        Some(request)
    }
}

/// A stopping process serves no further requests on the connection, so it is closed.
const fn after_denial(denial: Denial) -> AfterAnswer {
    match denial {
        Denial::Stopping => AfterAnswer::Close,
        _ => AfterAnswer::KeepOpen,
    }
}

const fn rejection_reason(reason: GiveUpReason) -> RejectionReason {
    match reason {
        GiveUpReason::DeadlineExceeded => RejectionReason::DeadlineExceeded,
        GiveUpReason::Overloaded => RejectionReason::Overloaded,
        GiveUpReason::NeverSent => RejectionReason::NeverSent,
        GiveUpReason::TooLate => RejectionReason::TooLate,
        GiveUpReason::AttemptsExhausted => RejectionReason::AttemptsExhausted,
        GiveUpReason::RetryWindowClosed => RejectionReason::RetryWindowClosed,
    }
}

impl CoreConfig {
    /// Outcome of a request that is answered now: in time or late, by its latency objective.
    pub(crate) fn served_outcome(&self, request: &PendingRequest, now: Time) -> FinalOutcome {
        let latency_objective = self.settings.classes[request.class].latency_objective;
        if now - request.arrived <= latency_objective {
            FinalOutcome::InTime
        } else {
            FinalOutcome::Late
        }
    }

    /// Retry-After if the policy does not specify one. Overload and the lack of a usable endpoint
    /// last for a while. In classes where a late answer has no value, an early retry would only add
    /// load, so they get the longest Retry-After.
    pub(crate) fn default_retry_after(&self, class: usize) -> Span {
        let longest = self.settings.limits.max_retry_after;
        let class = self.settings.classes.get(class);
        let late_answer_counts = class.is_some_and(|c| c.late_priority_weight > 0.0);
        if late_answer_counts {
            Span(longest.0 / 4)
        } else {
            longest
        }
    }
}
