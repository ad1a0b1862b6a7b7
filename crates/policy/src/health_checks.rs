//! Health checks: when they are sent, and what load reports show.
//!
//! Inputs: reads and writes that need an endpoint's role or position, ends of health checks, load
//! reports. State: [`HealthCheckState`] of each endpoint, and [`ClockComparison`]. Bounds: one
//! check in flight for each endpoint. Units: microseconds.

use crate::endpoint::{ReplicationLag, ReportedRole};
use crate::events::{Action, EndpointState, LoadReport, Outcome, Role};
use crate::ids::EndpointId;
use crate::router::Router;
use crate::time::{Span, Time};
use crate::view::PrimaryEvidence;

/// Number of positions reported by primaries that suffice for a comparison with this machine's
/// clock; no more are requested then.
const CLOCK_COMPARISONS: u32 = 3;
/// Shortest interval between two health checks of a primary for the clock comparison.
const CLOCK_CHECK_INTERVAL: Span = Span::from_millis(100);

/// Health checks of one endpoint. At most one is in flight.
#[derive(Debug, Default)]
pub(crate) struct HealthCheckState {
    pub(crate) in_flight: bool,
    last_sent_at: Option<Time>,
}

impl HealthCheckState {
    /// Whether the last check, if any, was sent at least `interval` ago.
    fn is_older_than(&self, interval: Span, now: Time) -> bool {
        self.last_sent_at.is_none_or(|at| now - at >= interval)
    }
}

/// Number of positions that primaries have reported since the start. Clocks are compared by these.
#[derive(Debug, Default)]
pub(crate) struct ClockComparison {
    positions: u32,
}

impl ClockComparison {
    /// Counts a position that a primary reported.
    pub(crate) fn add_position(&mut self) {
        self.positions = self.positions.saturating_add(1);
    }

    fn is_complete(&self) -> bool {
        self.positions >= CLOCK_COMPARISONS
    }
}

impl Router {
    /// Sends a health check, unless one is in flight, the endpoint is not listed as ready, or the
    /// deployment allows no health checks.
    pub(crate) fn start_health_check(&mut self, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let check = &mut endpoint.health_check;
        if self.settings.limits.health_checks
            && !check.in_flight
            && endpoint.state == EndpointState::Ready
        {
            check.in_flight = true;
            check.last_sent_at = Some(self.now);
            actions.push(Action::HealthCheck { endpoint: id });
        }
    }

    /// Sends a health check to a replica that a read could use, unless a new report can hardly be
    /// newer than the last one.
    pub(crate) fn check_freshness(
        &mut self,
        id: EndpointId,
        required_position: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return;
        };
        let lag = endpoint.lag.span;
        let report_would_suffice = self.now - lag >= required_position;
        // Reports are refreshed at intervals, so a check sooner than half of the lag after the last
        // one shows nothing new.
        let interval = if report_would_suffice {
            lag / 2
        } else {
            lag / 4
        };
        let interval = interval.max(self.settings.tick);
        if endpoint.health_check.is_older_than(interval, self.now) {
            self.start_health_check(id, actions);
        }
    }

    /// Sends health checks to a primary until enough positions of primaries are known. A primary's
    /// data is never behind, so its position shows whether this machine's clock is right. The
    /// interval prevents checks that fail at once from following each other within one moment.
    pub(crate) fn check_clock(&mut self, primary: EndpointId, actions: &mut Vec<Action>) {
        if self.clock_comparison.is_complete() {
            return;
        }
        let is_due = self.endpoints.get(&primary).is_none_or(|endpoint| {
            endpoint
                .health_check
                .is_older_than(CLOCK_CHECK_INTERVAL, self.now)
        });
        if is_due {
            self.start_health_check(primary, actions);
        }
    }

    /// Handles the end of a health check: a pass may readmit the endpoint, and a missing answer may
    /// eject it.
    pub(crate) fn on_health_check_ended(
        &mut self,
        id: EndpointId,
        outcome: Outcome,
        latency: Span,
        report: Option<&LoadReport>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.health_check.in_flight = false;
        if outcome == Outcome::Ok {
            self.latencies.on_health_check(latency);
            endpoint.outlier.on_health_check_passed(self.now);
            if let Some(report) = report {
                self.on_load_report(id, report);
            }
            return;
        }
        let unanswered = matches!(outcome, Outcome::ConnectFailed | Outcome::Timeout);
        if unanswered && endpoint.outlier.on_health_check_failed(self.now) {
            self.rule_out_primary(id);
        }
    }

    /// Records the position and the role that an endpoint reported.
    pub(crate) fn on_load_report(&mut self, id: EndpointId, report: &LoadReport) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        // The reported role is at most as old as the report's position, which therefore dates the
        // role.
        let Some(position) = report.position else {
            return;
        };
        endpoint.position = endpoint.position.max(Some(position));
        endpoint.lag = ReplicationLag {
            span: self.now - position,
            measured_at: self.now,
        };
        let Some(is_primary) = report.primary else {
            return;
        };
        let role = if is_primary {
            self.clock_comparison.add_position();
            Role::Primary
        } else {
            Role::Replica
        };
        let reported = ReportedRole { role, at: position };
        self.on_role(id, reported, PrimaryEvidence::LoadReport);
    }
}
