//! Metrics and log records of requests that have ended.
//!
//! Metrics are updated immediately; the record for the request log is returned as an effect.
//! Durations in records are whole microseconds. The module keeps no state.

use std::sync::Arc;

use valehatch_policy::{GroupId, Outcome, Span, Time};
use valehatch_request_log::{
    AttemptOutcome, AttemptRecord, FinalOutcome, RejectionReason, RequestRecord,
};

use crate::messages::{Effect, LogEvent, RequestStep};
use crate::reducer::State;
use crate::requests::{LoggedAttempt, PendingRequest};

/// The end of a request, as recorded in metrics and the request log.
pub(crate) struct RequestEnd {
    class: usize,
    tenant: Option<usize>,
    group: GroupId,
    outcome: FinalOutcome,
    attempts: Vec<AttemptRecord>,
    /// Time from the arrival of the request to its first attempt.
    waited: Span,
    /// Time from the arrival of the request to its final answer.
    total: Span,
}

impl RequestEnd {
    /// The end of a request that was not accepted; it had no attempt and did not wait.
    pub(crate) const fn on_arrival(
        class: usize,
        tenant: Option<usize>,
        group: GroupId,
        outcome: FinalOutcome,
    ) -> Self {
        Self {
            class,
            tenant,
            group,
            outcome,
            attempts: vec![],
            waited: Span(0),
            total: Span(0),
        }
    }
}

impl PendingRequest {
    /// Records how the attempt in flight ended, if attempts are recorded.
    pub(crate) fn record_attempt(&mut self, outcome: Outcome, now: Time) {
        if let Some(attempt) = self.in_flight.take() {
            let record = attempt.ended(outcome.into(), now);
            self.attempt_records.push(record);
        }
    }
}

impl LoggedAttempt {
    fn ended(self, outcome: AttemptOutcome, now: Time) -> AttemptRecord {
        AttemptRecord {
            endpoint: self.endpoint,
            outcome,
            duration_us: micros(now - self.sent_at),
        }
    }
}

impl State {
    /// Traces and records a request that has ended.
    pub(crate) fn record(
        &self,
        now: Time,
        mut request: PendingRequest,
        outcome: FinalOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if self.config.trace_requests {
            let name = request.name.clone();
            effects.push(Effect::Log(LogEvent::RequestStep {
                request: name.unwrap_or_else(|| Arc::from("unnamed")),
                step: RequestStep::RequestEnded(outcome),
            }));
        }
        if let Some(attempt) = request.in_flight.take() {
            let record = attempt.ended(AttemptOutcome::Unfinished, now);
            request.attempt_records.push(record);
        }
        let end = RequestEnd {
            class: request.class,
            tenant: request.tenant,
            group: request.group,
            outcome,
            attempts: request.attempt_records,
            waited: request.first_sent_at.unwrap_or(now) - request.arrived,
            total: now - request.arrived,
        };
        self.record_end(end, effects);
    }

    /// Records a request that a front rejected, or whose client disconnected before it was
    /// accepted.
    pub(crate) fn on_request_not_accepted(
        &mut self,
        now: Time,
        class: usize,
        tenant: Option<usize>,
        group: GroupId,
        rejected: Option<RejectionReason>,
        effects: &mut Vec<Effect>,
    ) {
        self.count_request(tenant, now);
        let outcome = rejected.map_or(FinalOutcome::Aborted, FinalOutcome::Rejected);
        let end = RequestEnd::on_arrival(class, tenant, group, outcome);
        self.record_end(end, effects);
    }

    /// Updates the metrics and emits the log record. Every request that ends is counted here, once.
    pub(crate) fn record_end(&self, end: RequestEnd, effects: &mut Vec<Effect>) {
        if let Some(metrics) = &self.config.metrics {
            metrics.count_final_answer(end.class, &end.outcome);
        }
        let Some(observability) = &self.config.observability else {
            return;
        };
        let tenants = &observability.tenants;
        effects.push(Effect::RecordOutcome(Box::new(RequestRecord {
            front: Arc::clone(&observability.front),
            class: Arc::clone(&observability.classes[end.class]),
            tenant: end.tenant.and_then(|tenant| tenants.get(tenant).cloned()),
            group: end.group.0,
            outcome: end.outcome,
            attempts: end.attempts,
            queued_us: micros(end.waited),
            total_us: micros(end.total),
        })));
    }
}

/// Converts a duration to whole microseconds; negative durations become 0.
fn micros(span: Span) -> u64 {
    u64::try_from(span.0).unwrap_or(0)
}
