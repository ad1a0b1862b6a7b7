//! The vocabulary of the decision module: ids, times, settings, events and actions. It decides nothing.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    };
}

id!(/** A client's request; never used twice. */ RequestId, u64);
id!(/** A member of a group; stays the same over restarts of its process. */ EndpointId, u32);
id!(/** A group: one primary and its replicas. */ GroupId, u16);
id!(/** Place of a class in [`Settings::classes`]. */ ClassId, usize);
id!(/** Place of a tenant in [`Settings::tenants`]. */ TenantId, usize);
id!(/** A zone (hall, data centre). */ ZoneId, u8);
id!(/** A kind of machine. */ KindId, u8);
id!(/** A client's session. */ SessionKey, u64);

/// A moment of the embedder's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub i64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Span(pub i64);

impl Span {
    /// A span of whole milliseconds.
    #[must_use]
    pub const fn from_millis(ms: i64) -> Self {
        Self(ms * 1000)
    }
    /// The span times a factor, cut to whole microseconds.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    pub fn times(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as i64)
    }
    /// The span in microseconds, as a float.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add<Span> for Time {
    type Output = Self;
    fn add(self, by: Span) -> Self {
        Self(self.0.saturating_add(by.0))
    }
}
impl Sub<Span> for Time {
    type Output = Self;
    fn sub(self, by: Span) -> Self {
        Self(self.0.saturating_sub(by.0))
    }
}
impl Sub<Self> for Time {
    type Output = Span;
    fn sub(self, from: Self) -> Span {
        Span(self.0.saturating_sub(from.0))
    }
}
impl Add<Self> for Span {
    type Output = Self;
    fn add(self, by: Self) -> Self {
        Self(self.0.saturating_add(by.0))
    }
}
impl AddAssign<Self> for Span {
    fn add_assign(&mut self, by: Self) {
        *self = *self + by;
    }
}
impl Sub<Self> for Span {
    type Output = Self;
    fn sub(self, by: Self) -> Self {
        Self(self.0.saturating_sub(by.0))
    }
}

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

/// What the list says of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// Takes work.
    #[default]
    Ready,
    /// Wraps up; nothing new may go there.
    Draining,
    /// Removed.
    Removed,
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The node.
    pub endpoint: EndpointId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its size against others', as registered.
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started: Option<Time>,
    /// Listed as its group's primary.
    pub primary: bool,
    /// Its state.
    pub state: EndpointState,
}

/// A role that a node told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The group's primary.
    Primary,
    /// A replica.
    Replica,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error; it may have had an effect.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may run yet.
    Timeout,
    /// No connection; nothing ran.
    ConnectFailed,
    /// This machine had no connection to give: nothing was sent, and nothing is known of the node.
    LocalFailure,
    /// The connection dropped; it might have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Turned away untouched: not the primary, or too far behind.
    Misdirected,
}

impl Outcome {
    /// The attempt certainly did not run.
    #[must_use]
    pub const fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Rejected
                | Self::ConnectFailed
                | Self::LocalFailure
                | Self::NotSent
                | Self::Misdirected
        )
    }
    /// The node itself spoke.
    #[must_use]
    pub const fn from_endpoint(self) -> bool {
        matches!(
            self,
            Self::Ok | Self::Error | Self::Rejected | Self::Misdirected
        )
    }
}

/// What a probed node reports, as of some time earlier.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LoadReport {
    /// Time up to which it has applied all commits.
    pub position: Option<Time>,
    /// Whether it was the primary.
    pub primary: Option<bool>,
    /// Share of its cores in use.
    pub busy: Option<f64>,
}

/// A new request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its session, if it has one.
    pub session: Option<SessionKey>,
    /// How long until the client gives up on this try.
    pub time_left: Span,
    /// The group it is for.
    pub group: GroupId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// A guess of its work, if there is one.
    pub work: Option<Span>,
    /// A client's repeat, where clients mark it.
    pub repeat: bool,
    /// Time since the session's last write, if it brought that.
    pub since_last_write: Option<Span>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Its attempt, counted from 0.
    pub attempt: u32,
    /// The node it went to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request is over with it, or was before.
    pub closed: bool,
    /// How long it took.
    pub latency: Span,
    /// The role the node told.
    pub role: Option<Role>,
    /// Log position it told; for a write served, its commit.
    pub position: Option<Time>,
    /// Load report, if one came along.
    pub report: Option<LoadReport>,
}

/// What a router learns.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyEvent {
    /// The list, complete or its changes only.
    EndpointList {
        /// Nodes it does not name are gone.
        complete: bool,
        /// The lines.
        entries: Vec<EndpointRecord>,
    },
    /// Asking for the list failed, or the subscription dropped.
    DiscoveryFailed,
    /// A new request.
    Request(Request),
    /// An attempt's stream began: the request is bound to it.
    ResponseStarted(RequestId),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; nothing more is owed.
    ClientDisconnected(RequestId),
    /// So many routers there are now, 1 at the least. Where that is more than before, each leaves the others their part of
    /// its limits (never below two attempts at a node) and of what it takes to be its share of the nodes' work; where it is
    /// fewer, both grow by answers.
    RouterCount(u32),
    /// Times of the cluster's clock that came in before (positions, commits, starts of nodes) lie so much later than they
    /// were taken to, or earlier if negative.
    ClockCorrected(Span),
    /// A timer fell due.
    Timer(u64),
    /// A probe came back.
    HealthCheckEnded {
        /// The node.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        latency: Span,
        /// The report, if one came.
        report: Option<LoadReport>,
    },
}

/// Why a request is not tried further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// Its deadline is over.
    DeadlineExceeded,
    /// The answers of late take too much of their time.
    Overloaded,
    /// Half its time went by and it was never sent.
    NeverSent,
    /// It could no longer be served in time that counts.
    TooLate,
    /// Its attempts are used up.
    AttemptsExhausted,
    /// Its repeats would no longer be dropped.
    RetryWindowClosed,
}

/// How a group's primary is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum PrimaryEvidence {
    /// It is not: the lowest member stands in, or none.
    #[default]
    Unknown,
    /// The list says so.
    EndpointList,
    /// It said so in an answer.
    Answer,
    /// It said so when it was probed.
    LoadReport,
    /// The write that searched for it found it.
    Search,
}

/// Whether a router can use a node, by its own evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointHealth {
    /// It can.
    Healthy,
    /// It leaves what is sent unanswered.
    Unresponsive,
    /// Connections to it fail.
    Unreachable,
}

/// What a router believes of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupView {
    /// The group.
    pub group: GroupId,
    /// The member that it takes for the primary.
    pub primary: Option<EndpointId>,
    /// How it knows.
    pub known: PrimaryEvidence,
    /// Since when it believes that.
    pub since: Time,
    /// How often it has believed something else.
    pub changes: u64,
    /// Since when it searches, if it does.
    pub searching: Option<Time>,
    /// Writes that wait here.
    pub queued_writes: usize,
    /// All requests that wait here.
    pub waiting: usize,
}

/// What a router believes of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView {
    /// The node.
    pub endpoint: EndpointId,
    /// Its group.
    pub group: GroupId,
    /// What the list says.
    pub state: EndpointState,
    /// The role that it is taken for, unless none is known.
    pub role: Option<Role>,
    /// Whether it can be used.
    pub health: EndpointHealth,
    /// Attempts that are out at it.
    pub in_flight: usize,
    /// How many may be.
    pub limit: f64,
    /// Lower bound of its position in the log.
    pub position: Option<Time>,
    /// The part of its capacity that it surely has; `None` once it is warm.
    pub warm: Option<f64>,
}

/// What a router believes, for those who watch it.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct RouterView {
    /// The groups, by number.
    pub groups: Vec<GroupView>,
    /// The nodes, by number.
    pub endpoints: Vec<EndpointView>,
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt; attempts of a request count from 0.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Its time-out; `None`: until the client gives up.
        timeout: Option<Span>,
        /// Nothing of it may be written later than this, however long a connection takes to come up; `None`: while its
        /// time-out lasts.
        send_before: Option<Time>,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: not served, trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Span>,
        /// Why it is given up.
        why: GiveUpReason,
    },
    /// Final answer: no success, no promise.
    Fail {
        /// The request.
        request: RequestId,
        /// Why it is given up.
        why: GiveUpReason,
    },
    /// Probe a node.
    HealthCheck {
        /// The node.
        endpoint: EndpointId,
    },
    /// Subscribe to the list.
    RefreshEndpointList,
    /// Set a timer.
    SetTimer {
        /// When.
        at: Time,
        /// Comes back as given.
        token: u64,
    },
}
