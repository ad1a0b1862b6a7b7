//! Connections to upstream endpoints: opened on demand, reused while fresh, closed when idle for
//! too long.
//!
//! Bounded by [`CoreConfig::upstream_connection_limit`]: where it is reached, the connection that
//! has been idle longest makes way, and if none is idle no connection is opened. Times are whole
//! microseconds of the process's monotonic clock.

use std::collections::BTreeSet;
use std::sync::Arc;

use valehatch_policy::{EndpointId, Outcome, PolicyEvent, Span, Time};

use crate::attempts::AttemptInFlight;
use crate::messages::{ConnectionId, CoreConfig, Effect, LogEvent, UpstreamJob};
use crate::permission::{SendPermit, may_check_health};
use crate::reducer::State;
use crate::timers::Timer;

/// Interval at which idle connections are checked for their age.
const IDLE_SWEEP_INTERVAL: Span = Span::from_millis(250);
/// Tenths of the endpoint's idle timeout for which an idle connection may still be used. A new
/// connection costs the endpoint work; but close to the timeout the endpoint may close one just as
/// a request is written.
const IDLE_TENTHS: i64 = 8;

/// What an upstream connection carries.
#[derive(Clone, Copy)]
pub(crate) enum ConnectionUse {
    /// Nothing.
    Idle {
        /// Since then.
        since: Time,
    },
    /// An attempt.
    Attempt(AttemptInFlight),
    /// A health check.
    HealthCheck {
        /// When it was handed to the connection.
        sent_at: Time,
    },
}

/// A connection to an endpoint.
pub(crate) struct UpstreamConnection {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// What it carries.
    pub(crate) usage: ConnectionUse,
    /// When what it carries is given up.
    pub(crate) timeout_at: Time,
    /// The permit of the attempt that it carries.
    pub(crate) permit: Option<SendPermit>,
}

/// An idle connection; ordered by the time since when it is idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct IdleConnection {
    /// Since when it has carried nothing.
    pub(crate) since: Time,
    /// The connection.
    pub(crate) id: ConnectionId,
}

impl UpstreamConnection {
    /// Takes the permit off the connection. Returns whether the attempt is given up before anything
    /// of it was written, in which case it has not run.
    pub(crate) fn revoke_permit(&mut self, outcome: Outcome) -> bool {
        let is_given_up = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        let Some(permit) = self.permit.take() else {
            return false;
        };
        is_given_up && permit.revoke()
    }
}

impl State {
    /// Marks a connection as idle. Returns what it carried.
    pub(crate) fn release_connection(
        &mut self,
        now: Time,
        connection: ConnectionId,
    ) -> Option<ConnectionUse> {
        let slot = self.connections.get_mut(&connection)?;
        let usage = slot.usage;
        if !matches!(usage, ConnectionUse::Idle { .. }) {
            slot.usage = ConnectionUse::Idle { since: now };
            let idle = IdleConnection {
                since: now,
                id: connection,
            };
            self.idle_connections
                .entry(slot.endpoint)
                .or_default()
                .insert(idle);
        }
        // A timeout left over from what it carried would end what it carries next.
        let timeout_at = slot.timeout_at;
        self.cancel_timer(timeout_at, Timer::AttemptTimeout(connection));
        Some(usage)
    }

    /// The outcome of an attempt for which there is no connection: its endpoint is not listed, or
    /// the limit is reached.
    pub(crate) fn no_connection_outcome(&self, endpoint: EndpointId) -> Outcome {
        if self.endpoints.contains_key(&endpoint) {
            Outcome::LocalFailure
        } else {
            Outcome::ConnectFailed
        }
    }

    /// The most recently used idle connection to an endpoint, or a new one within the limit. `None`
    /// if the endpoint is not listed, or if every connection is in use.
    pub(crate) fn acquire_connection(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        usage: ConnectionUse,
        effects: &mut Vec<Effect>,
    ) -> Option<ConnectionId> {
        let address = Arc::clone(&self.endpoints.get(&endpoint)?.address);
        let id = match self.take_fresh_idle_connection(now, endpoint) {
            Some(id) => id,
            None => self.open_connection(address, effects)?,
        };
        let connection = UpstreamConnection {
            endpoint,
            usage,
            timeout_at: Time(i64::MAX),
            permit: None,
        };
        self.connections.insert(id, connection);
        Some(id)
    }

    fn take_fresh_idle_connection(
        &mut self,
        now: Time,
        endpoint: EndpointId,
    ) -> Option<ConnectionId> {
        let oldest = now - self.config.max_idle_time();
        let idle = self.idle_connections.get_mut(&endpoint)?;
        let latest = idle.last().copied()?;
        if latest.since < oldest {
            return None;
        }
        idle.remove(&latest);
        Some(latest.id)
    }

    fn open_connection(
        &mut self,
        address: Arc<str>,
        effects: &mut Vec<Effect>,
    ) -> Option<ConnectionId> {
        let open = self.connections.len();
        if open >= self.config.upstream_connection_limit {
            let Some(evicted) = self.longest_idle_connection() else {
                effects.push(Effect::Log(LogEvent::UpstreamConnectionsExhausted(open)));
                return None;
            };
            self.close_connection(evicted, effects);
        }
        self.next_connection += 1;
        let id = ConnectionId(self.next_connection);
        effects.push(Effect::Connect {
            connection: id,
            address,
        });
        Some(id)
    }

    fn longest_idle_connection(&self) -> Option<ConnectionId> {
        let longest_of_each = self.idle_connections.values().filter_map(BTreeSet::first);
        longest_of_each.min().map(|idle| idle.id)
    }

    /// Sets when what a connection carries is given up.
    pub(crate) fn set_timeout(&mut self, connection: ConnectionId, timeout_at: Time) {
        if let Some(slot) = self.connections.get_mut(&connection) {
            slot.timeout_at = timeout_at;
        }
        self.set_timer(timeout_at, Timer::AttemptTimeout(connection));
    }

    /// Closes a connection, whatever it carries.
    pub(crate) fn close_connection(&mut self, connection: ConnectionId, effects: &mut Vec<Effect>) {
        let Some(closed) = self.connections.remove(&connection) else {
            return;
        };
        if let ConnectionUse::Idle { since } = closed.usage
            && let Some(idle) = self.idle_connections.get_mut(&closed.endpoint)
        {
            idle.remove(&IdleConnection {
                since,
                id: connection,
            });
            if idle.is_empty() {
                self.idle_connections.remove(&closed.endpoint);
            }
        }
        effects.push(Effect::CloseUpstream(connection));
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn close_idle_connections(
        &mut self,
        endpoint: EndpointId,
        effects: &mut Vec<Effect>,
    ) {
        let idle = self
            .idle_connections
            .get(&endpoint)
            .cloned()
            .unwrap_or_default();
        for connection in idle {
            self.close_connection(connection.id, effects);
        }
    }

    /// Closes connections that have been idle for too long, and sets the timer for the next time.
    pub(crate) fn sweep_idle_connections(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let oldest = IdleConnection {
            since: now - self.config.max_idle_time(),
            id: ConnectionId(0),
        };
        let mut expired: Vec<ConnectionId> = vec![];
        for idle in self.idle_connections.values() {
            expired.extend(idle.range(..oldest).map(|idle| idle.id));
        }
        for connection in expired {
            self.close_connection(connection, effects);
        }
        self.set_timer(now + IDLE_SWEEP_INTERVAL, Timer::SweepIdleConnections);
    }

    /// Sets the limit on upstream connections and closes idle ones beyond it. Connections in use
    /// are kept, so the limit is never below their number.
    pub(crate) fn on_connection_limit(&mut self, limit: usize, effects: &mut Vec<Effect>) {
        while self.connections.len() > limit
            && let Some(evicted) = self.longest_idle_connection()
        {
            self.close_connection(evicted, effects);
        }
        self.config.upstream_connection_limit = limit.max(self.connections.len());
    }

    /// Sends a health check to an endpoint, or reports to the policy that it was not sent.
    pub(crate) fn check_health(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        effects: &mut Vec<Effect>,
    ) {
        if let Err(denial) = may_check_health(self.ready_endpoints.contains(&endpoint)) {
            self.config.decisions.on_denied(denial);
            return self.report_health_check_not_sent(endpoint, Outcome::NotSent);
        }
        let usage = ConnectionUse::HealthCheck { sent_at: now };
        let Some(connection) = self.acquire_connection(now, endpoint, usage, effects) else {
            let outcome = self.no_connection_outcome(endpoint);
            return self.report_health_check_not_sent(endpoint, outcome);
        };
        self.set_timeout(connection, now + self.config.health_check_timeout);
        effects.push(Effect::Submit {
            connection,
            job: UpstreamJob::HealthCheck,
        });
    }

    fn report_health_check_not_sent(&mut self, endpoint: EndpointId, outcome: Outcome) {
        self.pending_events.push(PolicyEvent::HealthCheckEnded {
            endpoint,
            outcome,
            latency: Span(0),
            report: None,
        });
    }
}

impl CoreConfig {
    /// How long a connection may be idle and still be used: well below what endpoints allow.
    fn max_idle_time(&self) -> Span {
        Span(self.settings.limits.idle_connection_timeout.0 / 10 * IDLE_TENTHS)
    }
}
