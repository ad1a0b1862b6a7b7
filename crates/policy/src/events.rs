//! Inputs ([`PolicyEvent`]) and outputs ([`Action`]) of the decision module. Times are in
//! microseconds of the embedder's clock; attempts of a request are numbered from 0.

use crate::ids::{ClassId, EndpointId, GroupId, KindId, RequestId, SessionKey, TenantId, ZoneId};
use crate::time::{Span, Time};

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes what it has; nothing new may be sent to it.
    Draining,
    /// No longer on the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its replication group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub kind: KindId,
    /// Its capacity compared with other endpoints', as registered; not above 0 counts as 1.
    pub weight: f64,
    /// When its process started; `None`: so long ago that it no longer matters.
    pub started: Option<Time>,
    /// Whether it is listed as its group's primary.
    pub primary: bool,
    /// Its state.
    pub state: EndpointState,
}

/// A role that an endpoint reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The group's primary.
    Primary,
    /// A replica.
    Replica,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint answered with an error; the request may have had an effect.
    Error,
    /// The endpoint rejected it without executing any of it.
    Rejected,
    /// No response in time; it may still be running.
    Timeout,
    /// No connection could be established; nothing ran.
    ConnectFailed,
    /// This machine could not open a connection: nothing was sent, and nothing is known of the
    /// endpoint.
    LocalFailure,
    /// The connection broke; the request may have run.
    Reset,
    /// Cancelled by this router; the request may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The endpoint rejected it without executing any of it, because it is not the primary or its
    /// data is too old.
    Misdirected,
}

impl Outcome {
    /// Whether the request certainly did not run.
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

    /// Whether the endpoint itself answered.
    #[must_use]
    pub const fn from_endpoint(self) -> bool {
        matches!(
            self,
            Self::Ok | Self::Error | Self::Rejected | Self::Misdirected
        )
    }
}

/// Load report of an endpoint, as of some time before it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LoadReport {
    /// Replication position: every commit up to this time has been applied.
    pub position: Option<Time>,
    /// Whether the endpoint was the primary.
    pub primary: Option<bool>,
    /// Fraction of its cores in use, from 0 to 1.
    pub busy: Option<f64>,
}

/// A new request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its session, if it has one.
    pub session: Option<SessionKey>,
    /// How long the client still waits for the final answer.
    pub time_left: Span,
    /// The replication group it is for.
    pub group: GroupId,
    /// Its class. A request of an unknown class is ignored.
    pub class: ClassId,
    /// Its tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// Estimated work, if known.
    pub work: Option<Span>,
    /// Whether it is a client's retry, where clients mark those.
    pub is_client_retry: bool,
    /// Time since the session's last write, if the client sent it.
    pub since_last_write: Option<Span>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The endpoint it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the request has its final answer, by this attempt or before it.
    pub request_ended: bool,
    /// How long the attempt took.
    pub latency: Span,
    /// The role that the endpoint reported.
    pub role: Option<Role>,
    /// The replication position that the endpoint reported; for a served write, its commit.
    pub position: Option<Time>,
    /// A load report, if one came with the response.
    pub report: Option<LoadReport>,
}

/// An input of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyEvent {
    /// The endpoint list, complete or changes only.
    EndpointList {
        /// Whether endpoints without an entry have been removed.
        complete: bool,
        /// The entries.
        entries: Vec<EndpointRecord>,
    },
    /// A poll of the endpoint list failed, or the watch broke.
    DiscoveryFailed,
    /// A new request.
    Request(Request),
    /// The response of an attempt has begun; the request is bound to this attempt.
    ResponseStarted(RequestId),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected; it gets no final answer.
    ClientDisconnected(RequestId),
    /// The number of routers that share the endpoints, at least 1 (0 counts as 1). If it grew, this
    /// router reduces its concurrency limits (never below two attempts at an endpoint) and its
    /// estimate of its own part of the traffic in proportion. If it shrank, both grow again with
    /// the responses.
    RouterCount(u32),
    /// The cluster's clock was corrected: times that arrived before (positions, commits, starts of
    /// endpoints) move by this much, back if negative.
    ClockCorrected(Span),
    /// A timer expired; the number is the token of [`Action::SetTimer`].
    Timer(u64),
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// How long it took.
        latency: Span,
        /// The load report, if one came.
        report: Option<LoadReport>,
    },
}

/// Why a request gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// Its deadline has passed.
    DeadlineExceeded,
    /// It was shed on arrival, because responses have taken too much of their latency objective.
    Overloaded,
    /// Half of its time has passed without a first attempt.
    NeverSent,
    /// A response would come too late to count.
    TooLate,
    /// It has had the maximum number of attempts.
    AttemptsExhausted,
    /// It may have run, and a retry would no longer be deduplicated.
    RetryWindowClosed,
}

/// An output of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout of the attempt; `None`: the client's deadline.
        timeout: Option<Span>,
        /// No byte of the request may be written after this moment, however long the connection
        /// takes to establish; `None`: no limit within the timeout.
        send_before: Option<Time>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: not served, and safe to retry.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Option<Span>,
        /// Why the request is given up.
        why: GiveUpReason,
    },
    /// Final answer: not known to be served, and the request may have run.
    Fail {
        /// The request.
        request: RequestId,
        /// Why the request is given up.
        why: GiveUpReason,
    },
    /// Send a health check.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Poll the endpoint list.
    RefreshEndpointList,
    /// Set a timer; [`PolicyEvent::Timer`] reports that it expired.
    SetTimer {
        /// When it expires.
        at: Time,
        /// Returned with the event.
        token: u64,
    },
}
