//! State that one router keeps of one endpoint.
//!
//! Inputs: none; the module that owns a concern updates its part of the state. State: [`Endpoint`],
//! one for each endpoint on the list, and for each one removed from it that still has attempts.
//! Bounds: `in_flight` and `streaming` hold at most one entry for each attempt of an open request.
//! Units: microseconds; the concurrency limit is in attempts, the weight and the failure rate have
//! no unit.

use std::collections::BTreeMap;

use crate::concurrency_limit::INITIAL_LIMIT;
use crate::events::{EndpointRecord, EndpointState, Role};
use crate::health_checks::HealthCheckState;
use crate::ids::{ClassId, GroupId, RequestId, SessionKey, ZoneId};
use crate::latency::DecayingValue;
use crate::outlier_detection::OutlierState;
use crate::slow_start::SlowStartBudget;
use crate::time::{Span, Time};

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

/// Data recorded when an attempt is sent.
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

/// A role that an endpoint reported, and the moment for which the report holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedRole {
    pub(crate) role: Role,
    pub(crate) at: Time,
}

/// How far the data of an endpoint was behind the primary.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplicationLag {
    /// The lag as last reported or, after the endpoint rejected a read because its data is too old,
    /// twice the lag that the rejection proves.
    pub(crate) span: Span,
    pub(crate) measured_at: Time,
}

/// State that one router keeps of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) group: GroupId,
    pub(crate) zone: ZoneId,
    pub(crate) weight: f64,
    pub(crate) state: EndpointState,
    pub(crate) started: Option<Time>,
    pub(crate) listed_primary: bool,
    pub(crate) role: Option<ReportedRole>,
    /// Lower bound of the endpoint's replication position; moves back only when the clock is
    /// corrected.
    pub(crate) position: Option<Time>,
    pub(crate) lag: ReplicationLag,
    /// Attempts whose response has not begun.
    pub(crate) in_flight: BTreeMap<AttemptId, SentAttempt>,
    /// Attempts whose response has begun. They take none of the endpoint's capacity.
    pub(crate) streaming: BTreeMap<AttemptId, StreamingAttempt>,
    /// Since when the endpoint has not answered; `None` if nothing is in flight.
    pub(crate) unanswered_since: Option<Time>,
    /// Number of attempts that this router may have in flight at the endpoint.
    pub(crate) concurrency_limit: f64,
    /// By how much the endpoint's responses exceeded the mean latency of their class, as a multiple
    /// of that mean.
    pub(crate) excess_latency: DecayingValue,
    /// Recent fraction of attempts that ended in an error or a broken connection.
    pub(crate) failure_rate: f64,
    pub(crate) outlier: OutlierState,
    pub(crate) slow_start: SlowStartBudget,
    pub(crate) health_check: HealthCheckState,
    pub(crate) last_sent_at: Option<Time>,
}

impl Endpoint {
    /// Creates an endpoint that has just appeared on the list.
    pub(crate) fn new(record: &EndpointRecord) -> Self {
        Self {
            group: record.group,
            started: record.started,
            concurrency_limit: INITIAL_LIMIT,
            ..Self::default()
        }
    }

    /// Whether the endpoint has attempts that have not ended, including those whose response has
    /// begun.
    pub(crate) fn has_attempts(&self) -> bool {
        !self.in_flight.is_empty() || !self.streaming.is_empty()
    }

    /// Whether the endpoint is listed as ready and not ejected.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready && !self.outlier.is_ejected()
    }

    /// Moves the endpoint's times of the cluster's clock by the correction.
    pub(crate) fn on_clock_corrected(&mut self, by: Span, now: Time) {
        self.started = self.started.map(|at| at + by);
        if let Some(role) = &mut self.role {
            role.at = role.at.min(now);
        }
        let position = self.position.filter(|_| by <= Span(0));
        self.position = position.map(|at| at + by);
        // A clock that was ahead made all data look older than it is, so the lag is reduced. A
        // clock that was behind did not overstate the lag.
        let overstated = by.max(Span(0));
        self.lag.span = (self.lag.span - overstated).max(Span(0));
    }
}
