//! Requests without a final answer: the order in which they are sent, and when they are given up.
//!
//! In each step, the waiting requests of a group are sorted by priority weight per expected work,
//! and each is sent, given up, or left waiting. Among equal requests the newest goes first: if not
//! all can be served in time, the newest are the ones that still can.
//!
//! Inputs: [`crate::PolicyEvent::Request`], time. State: [`PendingRequest`], one for each request
//! without a final answer. Bounds: the embedder admits at most `Limits::max_open_requests`, and
//! each ends by its deadline. Units: microseconds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::endpoint::{AttemptId, SentAttempt};
use crate::events::{Action, GiveUpReason, Request};
use crate::ids::{ClassId, EndpointId, GroupId, RequestId, SessionKey};
use crate::router::Router;
use crate::settings::{Consistency, Idempotency, RequestClass};
use crate::time::{Span, Time};

/// Factor that scales priorities before they are compared as integers.
const PRIORITY_SCALE: f64 = 1e9;
/// A request that was never sent is given up shortly before half of its time has passed, so that
/// its client can still retry. This margin is so many ticks ...
const NEVER_SENT_MARGIN_TICKS: i64 = 4;
/// ... but at most the class's deadline divided by this.
const NEVER_SENT_MARGIN_DIVISOR: i64 = 8;

/// A request without a final answer.
#[derive(Debug, Default)]
pub(crate) struct PendingRequest {
    pub(crate) class: ClassId,
    pub(crate) group: GroupId,
    pub(crate) session: Option<SessionKey>,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// A response after this moment does not count.
    pub(crate) useful_until: Time,
    /// Replication position that the request must see because of its session's writes.
    pub(crate) session_position: Option<Time>,
    /// Number of attempts sent so far.
    pub(crate) attempts: u32,
    pub(crate) in_flight: BTreeMap<u32, EndpointId>,
    /// When the first attempt that may have run was sent.
    pub(crate) may_have_run_since: Option<Time>,
    /// Endpoints that failed to serve this request.
    pub(crate) excluded_endpoints: BTreeSet<EndpointId>,
    /// Earliest time of the next attempt.
    pub(crate) not_before: Time,
    /// Until when the request waits for health checks to show a replica that is fresh enough; set
    /// only once.
    pub(crate) health_check_wait_until: Option<Time>,
    /// Whether the response has begun.
    pub(crate) streaming: bool,
}

/// Why a waiting request is not sent to any endpoint in this step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoTarget {
    /// The request has its final answer.
    RequestEnded,
    /// No primary is known.
    NoPrimary,
    /// Another write searches for the primary, or the search pauses.
    Searching,
    /// The last attempt is reserved for the primary that a search finds.
    LastAttemptReserved,
    /// The endpoint is not ready, or has no capacity for one more attempt.
    NoCapacity,
    /// A health check may show a replica that is fresh enough.
    AwaitingHealthCheck,
}

/// Whether a request still waits after it was scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disposition {
    /// The request was sent or given up, or needs no attempt.
    Settled,
    /// The request stays in the queue.
    Waiting,
}

/// Sort key of a waiting request; smaller keys go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
struct ScheduleOrder {
    priority: Reverse<i64>,
    arrived: Reverse<Time>,
}

impl Router {
    /// Queues a new request; a request of an unknown class is ignored.
    pub(crate) fn on_request(&mut self, request: &Request) {
        let Some(class) = self.settings.classes.get(request.class.0) else {
            return;
        };
        self.class_costs.on_request(request.class);
        let deadline = self.now + request.time_left;
        let pending = PendingRequest {
            class: request.class,
            group: request.group,
            session: request.session,
            arrived: self.now,
            deadline,
            useful_until: self.useful_until(request, class, deadline),
            session_position: self.session_position(request, class),
            not_before: self.now,
            ..PendingRequest::default()
        };
        self.pending.insert(request.id, pending);
        self.groups
            .entry(request.group)
            .or_default()
            .waiting
            .push(request.id);
    }

    /// Until when a response counts: until the deadline for a write whose class values late
    /// responses, otherwise until the latency objective.
    fn useful_until(&self, request: &Request, class: &RequestClass, deadline: Time) -> Time {
        let late_counts =
            class.consistency == Consistency::Write && class.late_priority_weight > 0.0;
        if late_counts {
            return deadline;
        }
        let stretch = request
            .work
            .map_or(Span(0), |work| work.times(class.latency_objective_stretch));
        deadline.min(self.now + class.latency_objective + stretch)
    }

    /// Sends each waiting request of a group, gives it up, or leaves it waiting.
    pub(crate) fn run_waiting_requests(&mut self, id: GroupId, actions: &mut Vec<Action>) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let mut waiting = std::mem::take(&mut group.waiting);
        let endpoints = group.endpoints.clone();
        self.check_unreachable_endpoints(&endpoints, actions);
        waiting.sort_by_cached_key(|request| self.schedule_order(*request));
        for request in waiting {
            if self.schedule(request, actions) == Disposition::Waiting {
                self.groups.entry(id).or_default().waiting.push(request);
            }
        }
    }

    fn schedule_order(&self, id: RequestId) -> ScheduleOrder {
        let Some(request) = self.pending.get(&id) else {
            return ScheduleOrder::default();
        };
        let class = self.settings.class(request.class);
        let is_late = self.now - request.arrived > class.latency_objective;
        let late_factor = if is_late {
            class.late_priority_weight
        } else {
            1.0
        };
        let priority = self.priority_per_work(request.class) * late_factor * PRIORITY_SCALE;
        ScheduleOrder {
            priority: Reverse(priority as i64),
            arrived: Reverse(request.arrived),
        }
    }

    /// Sends a waiting request, gives it up, or leaves it waiting.
    fn schedule(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Disposition {
        let shed = self.decide_shedding(id);
        let Some(request) = self.pending.get(&id) else {
            return Disposition::Settled;
        };
        if !request.in_flight.is_empty() {
            return Disposition::Settled;
        }
        if let Some(reason) = self.give_up_reason(request, shed) {
            self.give_up(id, reason, actions);
            return Disposition::Settled;
        }
        if self.now < request.not_before {
            return Disposition::Waiting;
        }
        match self.select_target(id, actions) {
            Ok(endpoint) => self.send(id, endpoint, actions),
            Err(_) => Disposition::Waiting,
        }
    }

    /// Why a waiting request gets no further attempt; `None` if it may have one.
    fn give_up_reason(&self, request: &PendingRequest, shed: bool) -> Option<GiveUpReason> {
        let now = self.now;
        if now >= request.deadline {
            return Some(GiveUpReason::DeadlineExceeded);
        }
        if shed {
            return Some(GiveUpReason::Overloaded);
        }
        if request.attempts == 0 && now - request.arrived > self.longest_unsent_wait(request) {
            return Some(GiveUpReason::NeverSent);
        }
        let expected_end = now + self.latencies.expected(request.class);
        if expected_end > request.useful_until && now > request.arrived {
            return Some(GiveUpReason::TooLate);
        }
        if request.attempts >= self.settings.limits.max_attempts {
            return Some(GiveUpReason::AttemptsExhausted);
        }
        let retry_until = self.retry_allowed_until(request);
        if retry_until.is_some_and(|until| now >= until) {
            return Some(GiveUpReason::RetryWindowClosed);
        }
        None
    }

    /// How long a request may wait for its first attempt.
    fn longest_unsent_wait(&self, request: &PendingRequest) -> Span {
        let margin = self.settings.tick * NEVER_SENT_MARGIN_TICKS;
        let max_margin = self.settings.class(request.class).deadline / NEVER_SENT_MARGIN_DIVISOR;
        (request.deadline - request.arrived) / 2 - margin.min(max_margin)
    }

    /// Selects the endpoint of a request's next attempt by the consistency that its class needs.
    fn select_target(
        &mut self,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Result<EndpointId, NoTarget> {
        let Some(request) = self.pending.get(&id) else {
            return Err(NoTarget::RequestEnded);
        };
        let (group, class) = (request.group, request.class);
        match self.settings.class(class).consistency {
            Consistency::Write => self.select_write_target(id),
            Consistency::Strong => self.select_known_primary(group, class, 0),
            _ => self.select_read_target(id, actions),
        }
    }

    /// Calls [`Router::try_acquire`] for a selected target and returns the target if it succeeds.
    pub(crate) fn acquire_target(
        &mut self,
        endpoint: EndpointId,
        class: ClassId,
        reserved: usize,
    ) -> Result<EndpointId, NoTarget> {
        if self.try_acquire(endpoint, class, reserved) {
            Ok(endpoint)
        } else {
            Err(NoTarget::NoCapacity)
        }
    }

    /// Starts the next attempt of a request.
    fn send(&mut self, id: RequestId, to: EndpointId, actions: &mut Vec<Action>) -> Disposition {
        let now = self.now;
        let send_before = self
            .pending
            .get(&id)
            .and_then(|request| self.send_before(request, to));
        let (Some(request), Some(endpoint)) =
            (self.pending.get_mut(&id), self.endpoints.get_mut(&to))
        else {
            return Disposition::Waiting;
        };
        let attempt = AttemptId {
            request: id,
            attempt: request.attempts,
        };
        let sent = SentAttempt {
            sent_at: now,
            class: request.class,
            session: request.session,
        };
        endpoint.in_flight.insert(attempt, sent);
        endpoint.unanswered_since = endpoint.unanswered_since.or(Some(now));
        endpoint.outlier.on_attempt_sent(now);
        endpoint.last_sent_at = Some(now);
        request.in_flight.insert(request.attempts, to);
        request.attempts += 1;
        // If attempts cannot be cancelled, the timeout of an idempotent request leaves time for a
        // second attempt.
        let class = self.settings.class(request.class);
        let needs_timeout =
            class.idempotency == Idempotency::Idempotent && !self.settings.limits.cancel;
        let timeout = needs_timeout.then_some((request.deadline - now) / 2);
        actions.push(Action::Send {
            request: id,
            endpoint: to,
            timeout,
            send_before,
        });
        Disposition::Settled
    }

    /// Gives up a request. The final answer is a rejection if a retry is known to be safe,
    /// otherwise a failure.
    fn give_up(&mut self, id: RequestId, why: GiveUpReason, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&id) else {
            return;
        };
        let class = self.settings.class(request.class);
        let is_safe_to_retry =
            class.idempotency == Idempotency::Idempotent || request.may_have_run_since.is_none();
        let limits = &self.settings.limits;
        actions.push(if is_safe_to_retry {
            Action::Reject {
                request: id,
                retry_after: limits.retry_after.then_some(limits.max_retry_after),
                why,
            }
        } else {
            Action::Fail { request: id, why }
        });
        self.finish(id, actions);
    }

    /// Removes a request that has its final answer, and cancels its attempts that are no longer
    /// needed.
    pub(crate) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.remove(&id) else {
            return;
        };
        let class = self.settings.class(request.class);
        let may_cancel =
            self.settings.limits.cancel && class.idempotency == Idempotency::Idempotent;
        if !may_cancel || request.streaming {
            return;
        }
        for attempt in request.in_flight.keys() {
            actions.push(Action::Cancel {
                request: id,
                attempt: *attempt,
            });
        }
    }
}
