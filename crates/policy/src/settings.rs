//! Settings of a router. They are fixed for its lifetime, except [`Settings::routers`], which
//! [`crate::PolicyEvent::RouterCount`] changes. Durations are in microseconds ([`Span`]), rates in
//! requests per second.

use std::fmt;

use crate::ids::{ClassId, ZoneId};
use crate::time::Span;

/// Which data a request must see, and so which endpoints may serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary accepts it.
    Write,
    /// A read that must see every commit made before it arrived.
    Strong,
    /// A read that must see its session's own writes.
    Session,
    /// A read of data that is at most this old when the read is sent.
    BoundedStaleness(Span),
    /// A read that any endpoint of the group may serve.
    Eventual,
}

/// Where a retry with the same idempotency key is deduplicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// At all endpoints.
    All,
    /// At the endpoints of one zone. A request that may have run is never retried, because the
    /// group's next primary may be in another zone.
    Zone,
    /// At the endpoints of the request's group.
    Group,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request carries an idempotency key: retries are deduplicated within the scope, for the
    /// window.
    IdempotencyKey {
        /// Where retries are deduplicated.
        scope: DedupScope,
        /// How long after the first attempt a retry is deduplicated.
        window: Span,
    },
    /// The request must not run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Which data its requests must see.
    pub consistency: Consistency,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// Target latency: a response within this time counts with the full priority weight.
    pub latency_objective: Span,
    /// The latency objective grows by this many times the request's own estimated work (0: not at
    /// all).
    pub latency_objective_stretch: f64,
    /// How long a client waits for the final answer, over all attempts.
    pub deadline: Span,
    /// Value of a request that is served in time, relative to those of other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight with which a late response counts.
    pub late_priority_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota of the tenant over all routers, in requests per second.
    pub allowance: f64,
}

/// How the endpoint list is obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed to the router.
    Watch,
    /// The router polls the list.
    Poll,
}

/// How reliable the primary mark of the endpoint list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRole {
    /// The mark follows changes of the primary with a delay.
    Trailing,
    /// The mark never changes after the start.
    Static,
    /// The mark carries no information.
    Ignored,
}

/// What a replica does with a read that needs newer data than it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// The replica serves the data it has. The router must check freshness itself.
    Serve,
    /// The replica rejects the read.
    Reject,
    /// The replica waits this long to catch up, then rejects the read.
    WaitThenReject(Span),
}

/// Source of the position of a session's last write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTracking {
    /// The client sends with each read how long ago the write was.
    ClientProvided,
    /// The router remembers the commit positions of the writes that it forwarded.
    RouterTracked,
}

/// Capabilities and limits of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether health checks may be sent.
    pub health_checks: bool,
    /// Whether a request may have two attempts in flight.
    pub hedged_requests: bool,
    /// Whether a rejection carries a Retry-After.
    pub retry_after: bool,
    /// Maximum number of attempts for one request; at least 1.
    pub max_attempts: u32,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Span,
    /// Maximum number of requests without a final answer; also the maximum number of session writes
    /// that are remembered.
    pub max_open_requests: usize,
    /// How long an idle connection is kept open.
    pub idle_connection_timeout: Span,
}

/// Parameters of endpoint discovery and slow start.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Longest interval between two polls of the endpoint list.
    pub max_poll_interval: Span,
    /// Fraction of its capacity, from 0 to 1, that an endpoint has when it starts.
    pub slow_start_initial_capacity: f64,
    /// How long an endpoint takes to reach its full capacity.
    pub slow_start_duration: Span,
    /// An endpoint in slow start overloads when it receives more than this multiple of its capacity
    /// ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub overload_duration: Span,
    /// Whether an endpoint that disappears from the list stays in use. In that case, only the
    /// draining state ends its use.
    pub removal_is_advisory: bool,
}

/// Settings that a router is created with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes, indexed by [`ClassId`]; at least one.
    pub classes: Vec<RequestClass>,
    /// Tenants, indexed by [`crate::TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request beyond its tenant's quota; `None` without tenants.
    pub over_quota_priority_weight: Option<f64>,
    /// How the endpoint list is obtained.
    pub discovery_mode: DiscoveryMode,
    /// How reliable the list's primary mark is.
    pub listed_role: ListedRole,
    /// What replicas do with reads that need newer data than they have.
    pub stale_read_policy: StaleReadPolicy,
    /// Source of the positions of sessions' last writes.
    pub sessions: SessionTracking,
    /// Number of routers that share the endpoints; at least 1.
    pub routers: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// Shortest interval between two steps; above 0.
    pub tick: Span,
    /// Capabilities and limits of the deployment.
    pub limits: Limits,
    /// Parameters of endpoint discovery and slow start.
    pub rules: Rules,
}

impl Settings {
    /// Checks the settings that a router relies on.
    ///
    /// # Errors
    /// [`SettingsError`] if there is no class, or if a count or the tick is not above 0.
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        let valid = !self.classes.is_empty()
            && self.routers > 0
            && self.limits.max_attempts > 0
            && self.tick > Span(0);
        if valid {
            return Ok(());
        }
        Err(SettingsError(
            "classes must not be empty; routers, max_attempts and tick must be above 0".into(),
        ))
    }

    /// The class with this id, which must be one of [`Settings::classes`].
    pub(crate) fn class(&self, id: ClassId) -> &RequestClass {
        &self.classes[id.0]
    }
}

/// Invalid settings; the text names the settings at fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
