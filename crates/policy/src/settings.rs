//! Settings of a router, fixed for its life except [`Settings::routers`], which
//! [`crate::PolicyEvent::RouterCount`] changes. Durations are in microseconds ([`Span`]), rates in
//! requests a second.

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
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key: retries are deduplicated within the scope, for the window.
    IdempotencyKey {
        /// Where retries are deduplicated.
        scope: DedupScope,
        /// How long after the first attempt a retry is deduplicated.
        window: Span,
    },
    /// It must not run twice.
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
    /// Value of one request that is served in time, compared with those of other classes.
    pub priority_weight: f64,
    /// The fraction of the priority weight that a late response counts with.
    pub late_priority_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its quota, over all routers.
    pub allowance: f64,
}

/// How the endpoint list is obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed.
    Watch,
    /// The router polls.
    Poll,
}

/// How reliable the primary mark of the endpoint list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRole {
    /// It follows changes of the primary with a delay.
    Trailing,
    /// It never changes after the start.
    Static,
    /// It carries no information.
    Ignored,
}

/// What a replica does with a read that needs newer data than it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// It serves the data it has. The router must check freshness itself.
    Serve,
    /// It rejects the read.
    Reject,
    /// It waits this long to catch up, then rejects the read.
    WaitThenReject(Span),
}

/// Where the position of a session's last write is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTracking {
    /// The read says how long ago it was.
    ClientProvided,
    /// The router remembers the commits of the writes it forwarded.
    RouterTracked,
}

/// What the deployment allows.
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
    /// Most attempts for one request; at least 1.
    pub max_attempts: u32,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Span,
    /// Most requests without a final answer; also the number of sessions that are remembered.
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
    /// ... over this long.
    pub overload_duration: Span,
    /// Whether an endpoint that disappears from the list stays in use; only the draining mark ends
    /// its use then.
    pub removal_is_advisory: bool,
}

/// What a router is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes, by [`ClassId`]; at least one.
    pub classes: Vec<RequestClass>,
    /// Tenants, by [`crate::TenantId`]; there may be none.
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request beyond its tenant's quota; `None` without tenants.
    pub over_quota_priority_weight: Option<f64>,
    /// How the endpoint list is obtained.
    pub discovery_mode: DiscoveryMode,
    /// How reliable the list's primary mark is.
    pub listed_role: ListedRole,
    /// What replicas do with reads that need newer data than they have.
    pub stale_read_policy: StaleReadPolicy,
    /// Where the positions of sessions' writes are known from.
    pub sessions: SessionTracking,
    /// Number of routers that share the endpoints; at least 1.
    pub routers: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// Shortest interval between two steps; above 0.
    pub tick: Span,
    /// What the deployment allows.
    pub limits: Limits,
    /// Parameters of endpoint discovery and slow start.
    pub rules: Rules,
}

impl Settings {
    /// Checks what a router relies on.
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
            "classes, routers, max_attempts and tick must be above 0".into(),
        ))
    }

    /// The class with this id, which must be one of [`Settings::classes`].
    pub(crate) fn class(&self, id: ClassId) -> &RequestClass {
        &self.classes[id.0]
    }
}

/// Settings that no router can work with; the text names them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
