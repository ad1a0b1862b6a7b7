//! Connects the admission queue to accepted requests and the policy.
//!
//! An accepted request waits in the queue until the queue admits or rejects it. This module reports
//! to the queue how many attempts the usable endpoints of each group can handle. Without a
//! configured queue, requests are passed to the policy immediately. Times are whole microseconds of
//! the process's monotonic clock.

use valehatch_admission::{
    AdmissionDecision, Arrival, Capacity, LaneId, LaneKind, QueueRejection, RetryAfterHint,
};
use valehatch_policy::{
    EndpointHealth, EndpointState, EndpointView, GroupView, PolicyEvent, Request, RequestId, Role,
    Span, Time,
};
use valehatch_request_log::{FinalOutcome, RejectionReason};

use crate::messages::{Effect, FinalAnswer};
use crate::reducer::State;
use crate::timers::Timer;

/// Interval at which the capacity of the endpoints is reported to the queue and waiting requests
/// expire, while the queue is not empty.
const QUEUE_INTERVAL: Span = Span::from_millis(5);

impl State {
    /// Puts an accepted request into the queue.
    pub(crate) fn enqueue(&mut self, now: Time, arrival: Arrival, request: Request) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        let Some(pending) = self.requests.get_mut(&arrival.id) else {
            return;
        };
        pending.queued = Some(Box::new(request));
        admission.on_arrival(now, arrival, &mut self.admission_decisions);
        self.set_admission_timer(now);
    }

    /// Passes admitted requests to the policy and answers rejected ones until the queue has made no
    /// further decisions.
    pub(crate) fn apply_admission_decisions(
        &mut self,
        now: Time,
        policy_events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        while !self.admission_decisions.is_empty() {
            for decision in std::mem::take(&mut self.admission_decisions) {
                match decision {
                    AdmissionDecision::Admit(id) => policy_events.extend(self.on_admitted(now, id)),
                    AdmissionDecision::Reject { id, reason, hint } => {
                        self.on_queue_rejection(now, id, reason, hint, effects);
                    }
                }
            }
        }
    }

    fn on_admitted(&mut self, now: Time, id: RequestId) -> Option<PolicyEvent> {
        let pending = self.requests.get_mut(&id)?;
        let request = pending.queued.take()?;
        Some(PolicyEvent::Request(pending.request_at(now, *request)))
    }

    fn on_queue_rejection(
        &mut self,
        now: Time,
        id: RequestId,
        reason: QueueRejection,
        hint: RetryAfterHint,
        effects: &mut Vec<Effect>,
    ) {
        let reason = match reason {
            QueueRejection::WaitTooLong => RejectionReason::QueueWaitTooLong,
            QueueRejection::QueueFull => RejectionReason::QueueFull,
            QueueRejection::ExpiredInQueue => RejectionReason::QueueTimeout,
            QueueRejection::StandingQueue => RejectionReason::QueueDelayPersistent,
        };
        let answer = FinalAnswer::Rejected {
            retry_after: hint.retry_after,
            overloaded: !hint.reserved,
        };
        self.answer(now, id, answer, FinalOutcome::Rejected(reason), effects);
    }

    /// Sets the queue's timer if requests are waiting and the timer is not set yet.
    fn set_admission_timer(&mut self, now: Time) {
        let is_waiting = self.admission.as_ref().is_some_and(|a| !a.is_empty());
        if self.admission_timer_set || !is_waiting {
            return;
        }
        self.admission_timer_set = true;
        self.set_timer(now + QUEUE_INTERVAL, Timer::Admission);
    }

    /// Expires requests that have waited in the queue for too long.
    pub(crate) fn on_admission_timer(&mut self, now: Time) {
        self.admission_timer_set = false;
        if let Some(admission) = &mut self.admission {
            admission.tick(now, &mut self.admission_decisions);
        }
        self.set_admission_timer(now);
    }

    /// Reports to the queue how many attempts the usable endpoints of each group can handle, and
    /// how many requests are waiting in the policy.
    pub(crate) fn report_capacity(&mut self, now: Time) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        if admission.is_empty() || now - self.capacity_reported_at < QUEUE_INTERVAL {
            return;
        }
        self.capacity_reported_at = now;
        let view = self.router.view();
        for group in &view.groups {
            let write_limit = attempt_limit(&view.endpoints, group, Role::Primary);
            let replica_limit = attempt_limit(&view.endpoints, group, Role::Replica);
            let writes = Capacity {
                limit: write_limit,
                waiting: group.queued_writes,
                searching: group.searching.is_some(),
            };
            let reads = Capacity {
                limit: if replica_limit == 0.0 {
                    write_limit
                } else {
                    replica_limit
                },
                waiting: group.waiting.saturating_sub(group.queued_writes),
                searching: false,
            };
            for (kind, capacity) in [(LaneKind::Writes, writes), (LaneKind::Reads, reads)] {
                let lane = LaneId {
                    group: group.group,
                    kind,
                };
                admission.set_capacity(now, lane, capacity, &mut self.admission_decisions);
            }
        }
    }
}

/// Number of attempts that the usable endpoints of a group with the given role may have in flight
/// in total.
fn attempt_limit(endpoints: &[EndpointView], group: &GroupView, role: Role) -> f64 {
    let mut limit = 0.0;
    for endpoint in endpoints {
        let is_usable = endpoint.group == group.group
            && endpoint.state == EndpointState::Ready
            && endpoint.health == EndpointHealth::Healthy;
        let is_primary = group.primary == Some(endpoint.endpoint);
        if is_usable && is_primary == (role == Role::Primary) {
            limit += (endpoint.limit * endpoint.warm.unwrap_or(1.0))
                .max(1.0)
                .ceil();
        }
    }
    limit
}
