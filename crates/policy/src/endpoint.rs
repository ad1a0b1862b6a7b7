//! What one router knows of one endpoint.
//!
//! Inputs: none of its own; the module that owns a concern updates its part. State: [`Endpoint`],
//! one for each endpoint on the list, and for each one removed from it that still has attempts. Bounds: `in_flight` and `streaming` hold at most one entry for each attempt of an open
//! request. Units: microseconds; the limit is in attempts, the weight and the failure rate have
//! none.

use std::collections::BTreeMap;

use crate::concurrency_limit::INITIAL_LIMIT;
use crate::events::{EndpointRecord, EndpointState, Role};
use crate::health_checks::HealthCheckState;
use crate::ids::{ClassId, GroupId, RequestId, SessionKey, ZoneId};
use crate::latency::DecayingValue;
use crate::outlier_detection::OutlierState;
use crate::slow_start::SlowStartBudget;
use crate::time::{Span, Time};

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

/// What is kept of an attempt while it runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) sent_at: Time,
    pub(crate) class: ClassId,
    pub(crate) session: Option<SessionKey>,
}

/// An attempt whose response has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamingAttempt {
    pub(crate) started_at: Time,
    pub(crate) sent: SentAttempt,
}

/// A role that an endpoint reported, and the moment for which it did.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedRole {
    pub(crate) role: Role,
    pub(crate) at: Time,
}

/// How far an endpoint was behind the primary.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplicationLag {
    /// As last reported; after a read that it rejected as too new, twice what that read shows.
    pub(crate) span: Span,
    pub(crate) measured_at: Time,
}

/// What one router knows of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) group: GroupId,
    pub(crate) zone: ZoneId,
    pub(crate) weight: f64,
    pub(crate) state: EndpointState,
    pub(crate) started: Option<Time>,
    pub(crate) listed_primary: bool,
    pub(crate) role: Option<ReportedRole>,
    /// Lower bound of its replication position; moves back only when the clock is corrected.
    pub(crate) position: Option<Time>,
    pub(crate) lag: ReplicationLag,
    /// Attempts without a response so far.
    pub(crate) in_flight: BTreeMap<AttemptId, SentAttempt>,
    /// Attempts whose response has begun. They take none of the endpoint's capacity.
    pub(crate) streaming: BTreeMap<AttemptId, StreamingAttempt>,
    /// Since when it has not answered; `None` if nothing is in flight.
    pub(crate) unanswered_since: Option<Time>,
    /// Attempts that this router may have in flight there.
    pub(crate) concurrency_limit: f64,
    /// By how much its responses took longer than the class's mean, as a multiple of that mean.
    pub(crate) excess_latency: DecayingValue,
    /// Recent fraction of attempts that ended in an error or a broken connection.
    pub(crate) failure_rate: f64,
    pub(crate) outlier: OutlierState,
    pub(crate) slow_start: SlowStartBudget,
    pub(crate) health_check: HealthCheckState,
    pub(crate) last_sent_at: Option<Time>,
}

impl Endpoint {
    /// An endpoint that has just appeared on the list.
    pub(crate) fn new(record: &EndpointRecord) -> Self {
        Self {
            group: record.group,
            started: record.started,
            concurrency_limit: INITIAL_LIMIT,
            ..Self::default()
        }
    }

    /// Whether an attempt is out, with or without the beginning of its response.
    pub(crate) fn has_attempts(&self) -> bool {
        !self.in_flight.is_empty() || !self.streaming.is_empty()
    }

    /// Whether it is listed as ready and not ejected.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready && !self.outlier.is_ejected()
    }

    /// Moves the times of the cluster's clock that are known of it.
    pub(crate) fn on_clock_corrected(&mut self, by: Span, now: Time) {
        self.started = self.started.map(|at| at + by);
        if let Some(role) = &mut self.role {
            role.at = role.at.min(now);
        }
        let position = self.position.filter(|_| by <= Span(0));
        self.position = position.map(|at| at + by);
        // A clock that was ahead made all data look older than it is; where it was behind, such
        // times never counted.
        let overstated = by.max(Span(0));
        self.lag.span = (self.lag.span - overstated).max(Span(0));
    }
}
