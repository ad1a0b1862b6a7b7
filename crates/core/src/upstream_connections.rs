//! Connections to upstream endpoints: opened on demand, reused while fresh, and closed when idle
//! for too long.
//!
//! Their number is bounded by [`CoreConfig::upstream_connection_limit`]. At the limit, the
//! connection that has been idle longest is closed to open a new one; if no connection is idle,
//! none is opened. Times are whole microseconds of the process's monotonic clock.

use std::collections::BTreeSet;
use std::sync::Arc;

use valehatch_policy::{EndpointId, Outcome, PolicyEvent, Span, Time};

use crate::attempts::AttemptInFlight;
use crate::messages::{ConnectionId, CoreConfig, Effect, LogEvent, UpstreamJob};
use crate::permission::{SendPermit, may_check_health};
use crate::reducer::State;
use crate::timers::Timer;

/// Interval at which connections that have been idle for too long are closed.
const IDLE_SWEEP_INTERVAL: Span = Span::from_millis(250);
/// Idle time after which a connection is no longer used, in tenths of the endpoint's idle timeout.
/// A new connection costs the endpoint work, but close to the timeout the endpoint may close the
/// connection just as a request is written to it.
const MAX_IDLE_TENTHS: i64 = 8;

/// What an upstream connection carries.
#[derive(Clone, Copy)]
pub(crate) enum ConnectionUse {
    Idle {
        /// When the connection became idle.
        since: Time,
    },
    Attempt(AttemptInFlight),
    HealthCheck {
        /// When the health check was handed to the connection.
        sent_at: Time,
    },
}

/// A connection to an endpoint.
pub(crate) struct UpstreamConnection {
    pub(crate) endpoint: EndpointId,
    pub(crate) usage: ConnectionUse,
    /// When the current attempt or health check times out.
    pub(crate) timeout_at: Time,
    /// Permit of the current attempt; shared with the thread that writes the attempt.
    pub(crate) permit: Option<SendPermit>,
}

/// An entry of the index of idle connections. Entries are ordered by the time at which the
/// connection became idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct IdleConnection {
    /// When the connection became idle.
    pub(crate) since: Time,
    pub(crate) id: ConnectionId,
}

impl UpstreamConnection {
    /// Removes the permit from the connection and revokes it if `outcome` is a timeout or a
    /// cancellation. Returns whether that happened before any byte of the attempt was written, in
    /// which case the attempt has not run.
    pub(crate) fn revoke_permit(&mut self, outcome: Outcome) -> bool {
        let is_given_up = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        let Some(permit) = self.permit.take() else {
            return false;
        };
        is_given_up && permit.revoke()
    }
}

impl State {
    /// Marks a connection as idle. Returns its previous use.
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
        // A leftover timeout would end the next attempt on the connection.
        let timeout_at = slot.timeout_at;
        self.cancel_timer(timeout_at, Timer::AttemptTimeout(connection));
        Some(usage)
    }

    /// Outcome of an attempt for which no connection is available, either because its endpoint is
    /// not listed or because all connections are in use.
    pub(crate) fn no_connection_outcome(&self, endpoint: EndpointId) -> Outcome {
        if self.endpoints.contains_key(&endpoint) {
            Outcome::LocalFailure
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Takes the most recently used idle connection to an endpoint, or opens a new one. Returns
    /// `None` if the endpoint is not listed or if the limit is reached and every connection is in
    /// use.
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

    /// Sets the time at which the attempt or health check on a connection times out.
    pub(crate) fn set_timeout(&mut self, connection: ConnectionId, timeout_at: Time) {
        if let Some(slot) = self.connections.get_mut(&connection) {
            slot.timeout_at = timeout_at;
        }
        self.set_timer(timeout_at, Timer::AttemptTimeout(connection));
    }

    /// Closes a connection regardless of its current use.
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

    /// Closes connections that have been idle for too long, and sets the timer for the next sweep.
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

    /// Sets the limit on upstream connections and closes idle connections above it. Connections in
    /// use are kept, so the effective limit is never below their number.
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
    /// Longest time for which a connection may be idle and still be used; well below the idle
    /// timeout of endpoints.
    fn max_idle_time(&self) -> Span {
        Span(self.settings.limits.idle_connection_timeout.0 / 10 * MAX_IDLE_TENTHS)
    }
}
