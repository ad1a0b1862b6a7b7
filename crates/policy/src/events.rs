//! Inputs and outputs of the decision module.

use crate::ids::*;
use crate::time::*;

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
