//! What a router is given at its start.

use std::fmt;

use crate::ids::*;
use crate::time::*;

/// What a class asks of the member that serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary takes it.
    Write,
    /// A read that must see all that was committed before it came in.
    Strong,
    /// A read that must see its session's own writes.
    Session,
    /// A read of data no older than this when it is sent.
    BoundedStaleness(Span),
    /// A read that any member may serve.
    Eventual,
}

/// Where a repeat of a keyed request is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Among all nodes.
    All,
    /// Among the nodes of one zone: what may have run is never repeated, as a group's next primary may stand in another.
    Zone,
    /// Within the request's group.
    Group,
}

/// What happens if a request runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing.
    Idempotent,
    /// Repeats are dropped within the scope, for the window.
    IdempotencyKey {
        /// Where repeats are dropped.
        scope: DedupScope,
        /// How long after the first attempt a repeat is dropped.
        window: Span,
    },
    /// Harm.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// What it needs of a member.
    pub consistency: Consistency,
    /// What a second run does.
    pub idempotency: Idempotency,
    /// An answer within this time earns the full worth.
    pub latency_objective: Span,
    /// The aim grows by this many times the request's own work (0: not at all).
    pub latency_objective_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Span,
    /// Worth of one request.
    pub priority_weight: f64,
    /// The share of the worth that a late answer earns.
    pub late_priority_weight: f64,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all routers, within its share.
    pub allowance: f64,
}

/// How the list of nodes arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Unprompted.
    Watch,
    /// Only to a router that asks.
    Poll,
}

/// What the list's primary mark means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRole {
    /// Follows changes, late.
    Trailing,
    /// As it was at the start.
    Static,
    /// Means nothing.
    Ignored,
}

/// What a replica does with a read it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// Answers from what it has.
    Serve,
    /// Turns it away.
    Reject,
    /// Waits this long to catch up, then turns it away.
    WaitThenReject(Span),
}

/// Where the knowledge of a session's last write comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTracking {
    /// The read says how long ago it was.
    ClientProvided,
    /// The router remembers the writes it had answered.
    RouterTracked,
}

/// What the deployment allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Attempts may be called off.
    pub cancel: bool,
    /// Nodes may be probed.
    pub health_checks: bool,
    /// A request may have two attempts out.
    pub hedged_requests: bool,
    /// Clients receive a retry-after.
    pub retry_after: bool,
    /// Attempts for one request.
    pub max_attempts: u32,
    /// The longest retry-after a client honours.
    pub max_retry_after: Span,
    /// Requests that may be open at once.
    pub max_open_requests: usize,
    /// How long an idle connection is kept.
    pub idle_connection_timeout: Span,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Where the list is asked for: how often at least.
    pub max_poll_interval: Span,
    /// A node starts at this share of its capacity or above.
    pub slow_start_initial_capacity: f64,
    /// And is warm after this at most.
    pub slow_start_duration: Span,
    /// More than this multiple of the capacity of a cold node ...
    pub overload_multiple: f64,
    /// ... for this long pushes it over.
    pub overload_duration: Span,
    /// Only a draining mark binds; a node that vanished stays open.
    pub removal_is_advisory: bool,
}

/// What a router is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes, by [`ClassId`].
    pub classes: Vec<RequestClass>,
    /// Tenants, by [`TenantId`]; there may be none.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share; `None` without tenants.
    pub over_quota_priority_weight: Option<f64>,
    /// How the list arrives.
    pub discovery_mode: DiscoveryMode,
    /// What its primary mark means.
    pub listed_role: ListedRole,
    /// What replicas do with reads they are too far behind for.
    pub stale_read_policy: StaleReadPolicy,
    /// Where sessions' writes are known from.
    pub sessions: SessionTracking,
    /// Number of routers.
    pub routers: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// Shortest gap between batches.
    pub tick: Span,
    /// What is allowed.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
}

/// Settings that no router can work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}
impl std::error::Error for SettingsError {}
