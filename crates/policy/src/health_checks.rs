//! When endpoints are checked, and what their load reports say.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::events::*;
use crate::ids::*;
use crate::latency::GAIN;
use crate::outlier_detection::{DOUBTS, Shut};
use crate::router::Router;
use crate::time::*;

/// Positions that primaries have told from which no more are asked for: they corroborate each other.
pub(crate) const CLOCK_TOLD: u32 = 3;
/// The pause between two questions to one primary for that.
pub(crate) const CLOCK_PAUSE: Span = Span::from_millis(100);
impl Router {
    pub(crate) fn probe(&mut self, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if self.cfg.limits.health_checks
            && !endpoint.probe_out
            && endpoint.state == EndpointState::Ready
        {
            (endpoint.probe_out, endpoint.probed_at) = (true, Some(self.now));
            actions.push(Action::HealthCheck { endpoint: id });
        }
    }

    /// Probes a node that a read could use, if the answer can be expected to make it fresh enough.
    pub(crate) fn probe_for(
        &mut self,
        id: EndpointId,
        consistency: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return;
        };
        let since = endpoint.probed_at.map(|at| self.now - at);
        let helps = self.now - endpoint.lag >= consistency;
        // A report is as old as its refreshing makes it: asking sooner than half of that tells nothing new.
        let gap = Span(endpoint.lag.0 / if helps { 2 } else { 4 });
        if since.is_none_or(|s| s >= gap.max(self.cfg.tick)) {
            self.probe(id, actions);
        }
    }

    pub(crate) fn on_probed(
        &mut self,
        id: EndpointId,
        outcome: Outcome,
        latency: Span,
        report: Option<&LoadReport>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.probe_out = false;
        if outcome == Outcome::Ok {
            self.probe_latency += GAIN * (latency.as_f64() - self.probe_latency);
            if endpoint.health.shut != Some(Shut::Silent) {
                endpoint.health.open(self.now);
            }
            report.into_iter().for_each(|r| self.on_report(id, r));
        } else if matches!(outcome, Outcome::ConnectFailed | Outcome::Timeout)
            && endpoint.health.shut.is_none()
        {
            endpoint.health.doubts += u32::from(endpoint.health.doubts > 0);
            if endpoint.health.doubts >= DOUBTS {
                endpoint.health.shut(Shut::OutOfReach, self.now);
                self.lose_primary(id);
            }
        }
    }

    pub(crate) fn on_report(&mut self, id: EndpointId, report: &LoadReport) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if let Some(position) = report.position {
            endpoint.position = endpoint.position.max(Some(position));
            (endpoint.lag, endpoint.told_at) = (self.now - position, self.now);
            self.clock_told = self
                .clock_told
                .saturating_add(u32::from(report.primary == Some(true)));
        }
        // A report's position is the earliest that its word on the role can be dated to.
        let (Some(primary), Some(at)) = (report.primary, report.position) else {
            return;
        };
        self.on_role(
            id,
            if primary {
                Role::Primary
            } else {
                Role::Replica
            },
            at,
            false,
        );
    }

    /// Whether a primary is asked for what shows the clock: seldom enough that probes which come to nothing at once do not
    /// follow each other without a pause.
    pub(crate) fn asks_for_clock(&self, id: EndpointId) -> bool {
        let last = self
            .endpoints
            .get(&id)
            .and_then(|endpoint| endpoint.probed_at);
        self.clock_told < CLOCK_TOLD && last.is_none_or(|at| self.now - at >= CLOCK_PAUSE)
    }
}
