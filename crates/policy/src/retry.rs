//! Ends of attempts, and whether and until when a request may be retried.
//!
//! Inputs: [`crate::PolicyEvent::ResponseStarted`], [`crate::PolicyEvent::AttemptEnded`]. State:
//! the attempts in [`crate::endpoint::Endpoint`] and [`crate::scheduling::PendingRequest`]. Bounds:
//! `Limits::max_attempts` for each request, one of them in flight. Units: microseconds.

use crate::endpoint::{AttemptId, ReplicationLag, ReportedRole, SentAttempt, StreamingAttempt};
use crate::events::{Action, AttemptEnd, Outcome, Role};
use crate::ids::{EndpointId, RequestId};
use crate::replica_selection::required_position;
use crate::router::Router;
use crate::scheduling::PendingRequest;
use crate::settings::{Consistency, DedupScope, Idempotency, StaleReadPolicy};
use crate::time::{Span, Time};
use crate::view::PrimaryEvidence;

/// Retries stop this many ticks before the end of a deduplication window.
const WINDOW_MARGIN_TICKS: i64 = 2;
/// Ticks between the end of an attempt that was given up and the retry. The attempt is no longer out
/// then; the endpoint must also see its connection close before the retry arrives, or both run.
const RETRY_DELAY_TICKS: i64 = 2;
/// A reported position may exceed the position that has certainly been applied by up to this much.
const POSITION_RESOLUTION: Span = Span::from_millis(1);
/// A replica that rejects a read because its data is too old is assumed to lag by this multiple of
/// the lag that the rejection proves.
const LAG_FACTOR_AFTER_MISDIRECTION: i64 = 2;

/// An attempt that is no longer in flight.
#[derive(Clone, Copy, Debug, Default)]
struct EndedAttempt {
    sent: Option<SentAttempt>,
    response_started_at: Option<Time>,
}

impl EndedAttempt {
    fn sent_at(&self) -> Option<Time> {
        self.sent.map(|sent| sent.sent_at)
    }
}

impl Router {
    /// Until when a request that may have run may be retried; `None` means without limit.
    pub(crate) fn retry_allowed_until(&self, request: &PendingRequest) -> Option<Time> {
        match self.settings.class(request.class).idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent
            | Idempotency::IdempotencyKey {
                scope: DedupScope::Zone,
                ..
            } => request.may_have_run_since,
            Idempotency::IdempotencyKey { window, .. } => {
                let margin = self.settings.tick * WINDOW_MARGIN_TICKS;
                Some(request.may_have_run_since? + window - margin)
            }
        }
    }

    /// Until when an attempt that is decided now may be written to its connection. A connection may
    /// take long to establish; meanwhile the retry window may end, and the replica's known position
    /// ages.
    pub(crate) fn send_before(&self, request: &PendingRequest, to: EndpointId) -> Option<Time> {
        let retry_until = self.retry_allowed_until(request);
        let Consistency::BoundedStaleness(bound) = self.settings.class(request.class).consistency
        else {
            return retry_until;
        };
        let endpoint = self.endpoints.get(&to)?;
        let is_primary = self
            .groups
            .get(&request.group)
            .is_some_and(|group| group.known_primary() == Some(to));
        let router_checks = self.settings.stale_read_policy == StaleReadPolicy::Serve;
        let position = endpoint.position.filter(|_| router_checks && !is_primary);
        let fresh_until = position.map(|position| position + bound);
        fresh_until.into_iter().chain(retry_until).min()
    }

    /// Handles the start of a response. The endpoint has done the work, so forwarding the rest of
    /// the response takes none of its capacity.
    pub(crate) fn on_response_started(&mut self, id: RequestId) {
        let Some(request) = self.pending.get_mut(&id) else {
            return;
        };
        request.streaming = true;
        for (attempt, endpoint) in &request.in_flight {
            let attempt = AttemptId {
                request: id,
                attempt: *attempt,
            };
            let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
                continue;
            };
            let Some(sent) = endpoint.in_flight.remove(&attempt) else {
                continue;
            };
            let started = StreamingAttempt {
                started_at: self.now,
                sent,
            };
            endpoint.streaming.insert(attempt, started);
            endpoint.outlier.readmit(self.now);
            endpoint.unanswered_since = (!endpoint.in_flight.is_empty()).then_some(self.now);
        }
    }

    /// Handles the end of an attempt: updates the state of its endpoint, and either ends its
    /// request or queues it for a retry.
    pub(crate) fn on_attempt_ended(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let attempt = self.take_attempt(end);
        if let Some(sent) = &attempt.sent {
            self.update_estimates(end, sent);
        }
        self.update_endpoint(end, &attempt);
        self.update_role(end, &attempt);
        if let Some(report) = &end.report {
            self.on_load_report(end.endpoint, report);
        }
        self.drop_if_removed(end.endpoint);
        // A failed connection does not show whether the endpoint is down or short of connections; a
        // health check does.
        if end.outcome == Outcome::ConnectFailed {
            self.start_health_check(end.endpoint, actions);
        }
        let Some(request) = self.pending.get_mut(&end.request) else {
            return;
        };
        request.in_flight.remove(&end.attempt);
        let group = request.group;
        self.release_search(group, end.request, end.endpoint);
        if end.request_ended {
            return self.finish(end.request, actions);
        }
        self.prepare_retry(end, attempt.sent_at());
    }

    /// Removes an attempt from its endpoint.
    fn take_attempt(&mut self, end: &AttemptEnd) -> EndedAttempt {
        let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) else {
            return EndedAttempt::default();
        };
        let id = AttemptId {
            request: end.request,
            attempt: end.attempt,
        };
        let in_flight = endpoint.in_flight.remove(&id);
        let streaming = endpoint.streaming.remove(&id);
        EndedAttempt {
            sent: in_flight.or(streaming.map(|attempt| attempt.sent)),
            response_started_at: streaming.map(|attempt| attempt.started_at),
        }
    }

    /// Updates the endpoint's health and position from the end of an attempt.
    fn update_endpoint(&mut self, end: &AttemptEnd, attempt: &EndedAttempt) {
        let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) else {
            return;
        };
        if end.outcome.from_endpoint() {
            endpoint.outlier.readmit(self.now);
            endpoint.unanswered_since = Some(self.now);
        } else if matches!(end.outcome, Outcome::ConnectFailed | Outcome::Reset) {
            endpoint.outlier.on_attempt_failed();
        }
        if endpoint.in_flight.is_empty() {
            endpoint.unanswered_since = None;
        }
        // A primary that answered had every commit, and therefore at least those made before the
        // attempt was sent.
        let primary_position = attempt
            .sent_at()
            .filter(|_| end.role == Some(Role::Primary));
        let reported_position = end.position.map(|position| position - POSITION_RESOLUTION);
        endpoint.position = endpoint
            .position
            .max(primary_position)
            .max(reported_position);
    }

    /// Records the role that came with an answer. An endpoint that answered as primary is known to
    /// have been the primary only until its response began.
    fn update_role(&mut self, end: &AttemptEnd, attempt: &EndedAttempt) {
        let Some(role) = end.role else {
            return;
        };
        let at = match role {
            Role::Primary => attempt.response_started_at.unwrap_or(self.now),
            Role::Replica => self.now,
        };
        let reported = ReportedRole { role, at };
        self.on_role(end.endpoint, reported, PrimaryEvidence::Answer);
        if role == Role::Primary && end.position.is_some() {
            self.clock_comparison.add_position();
        }
    }

    /// Queues a request for its next attempt.
    fn prepare_retry(&mut self, end: &AttemptEnd, sent_at: Option<Time>) {
        let Some(request) = self.pending.get_mut(&end.request) else {
            return;
        };
        if !end.outcome.never_ran() {
            request.may_have_run_since = request.may_have_run_since.or(sent_at);
        }
        // After these outcomes the connection of the attempt is closed, or an answer has arrived.
        let closes_connection = matches!(
            end.outcome,
            Outcome::Timeout | Outcome::Cancelled | Outcome::Error
        );
        if closes_connection {
            request.not_before = self.now + self.settings.tick * RETRY_DELAY_TICKS;
        }
        let class = self.settings.class(request.class);
        let expected_latency = self.latencies.expected(request.class);
        if end.outcome == Outcome::LocalFailure {
            request.not_before = self.now + expected_latency;
        } else if class.consistency != Consistency::Write {
            request.excluded_endpoints.insert(end.endpoint);
            let required =
                required_position(class, request.session_position, sent_at.unwrap_or(self.now));
            if end.outcome == Outcome::Misdirected {
                self.record_lag(end.endpoint, required);
            }
        } else if matches!(end.outcome, Outcome::Rejected | Outcome::ConnectFailed) {
            request.not_before = self.now + expected_latency;
        }
        self.enqueue_if_idle(end.request);
    }

    /// Records the lag of a replica that rejected a read for which it needed the `required`
    /// position.
    fn record_lag(&mut self, id: EndpointId, required: Option<Time>) {
        let (Some(endpoint), Some(required)) = (self.endpoints.get_mut(&id), required) else {
            return;
        };
        let proven_lag = self.now - required;
        endpoint.lag = ReplicationLag {
            span: Span(proven_lag.0.saturating_mul(LAG_FACTOR_AFTER_MISDIRECTION)),
            measured_at: self.now,
        };
    }

    /// Queues a request unless one of its attempts is still in flight.
    fn enqueue_if_idle(&mut self, id: RequestId) {
        let Some(request) = self.pending.get(&id) else {
            return;
        };
        if request.in_flight.is_empty() {
            self.groups
                .entry(request.group)
                .or_default()
                .waiting
                .push(id);
        }
    }
}
