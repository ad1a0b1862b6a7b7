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
    /// Finishes its open requests; no new ones may be sent to it.
    Draining,
    /// No longer on the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Id of the endpoint; it stays the same when the process restarts.
    pub endpoint: EndpointId,
    /// Replication group that the endpoint belongs to.
    pub group: GroupId,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// Machine type of the endpoint.
    pub kind: KindId,
    /// Capacity relative to other endpoints, as registered; a value that is not above 0 counts as
    /// 1.
    pub weight: f64,
    /// When the endpoint's process started; `None` if that is so long ago that it no longer
    /// matters.
    pub started: Option<Time>,
    /// Whether the list names the endpoint as its group's primary.
    pub primary: bool,
    /// Whether the endpoint accepts requests, is draining or has been removed.
    pub state: EndpointState,
}

/// Role that an endpoint reports for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The endpoint is its group's primary.
    Primary,
    /// The endpoint is a replica.
    Replica,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Ok,
    /// The endpoint answered with an error; the request may have had an effect.
    Error,
    /// The endpoint rejected the request without executing any of it.
    Rejected,
    /// No response arrived in time; the request may still be running.
    Timeout,
    /// No connection could be established; nothing ran.
    ConnectFailed,
    /// This machine could not open a connection: nothing was sent, and the failure says nothing
    /// about the endpoint.
    LocalFailure,
    /// The connection broke; the request may have run.
    Reset,
    /// This router cancelled the attempt; the request may have run.
    Cancelled,
    /// The request was not sent.
    NotSent,
    /// The endpoint rejected the request without executing any of it, because the endpoint is not
    /// the primary or its data is too old.
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

/// Load report of an endpoint. It describes the endpoint at some time before the report arrived.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LoadReport {
    /// Replication position: every commit up to this time has been applied.
    pub position: Option<Time>,
    /// Whether the endpoint was the primary.
    pub primary: Option<bool>,
    /// Fraction of the endpoint's cores in use, from 0 to 1.
    pub busy: Option<f64>,
}

/// A new request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id that the embedder assigned to the request.
    pub id: RequestId,
    /// Session of the request; `None` if it belongs to none.
    pub session: Option<SessionKey>,
    /// How long the client still waits for the final answer.
    pub time_left: Span,
    /// Replication group that the request is addressed to.
    pub group: GroupId,
    /// Class of the request. A request of an unknown class is ignored.
    pub class: ClassId,
    /// Tenant of the request; `None` without tenants.
    pub tenant: Option<TenantId>,
    /// Estimated execution time, if known.
    pub work: Option<Span>,
    /// Whether the client marked the request as a retry; always `false` where clients do not mark
    /// retries.
    pub is_client_retry: bool,
    /// Time since the session's last write, if the client sent it.
    pub since_last_write: Option<Span>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request has its final answer, from this attempt or an earlier one.
    pub request_ended: bool,
    /// How long the attempt took.
    pub latency: Span,
    /// Role that the endpoint reported with its answer, if any.
    pub role: Option<Role>,
    /// Replication position that the endpoint reported; for a served write, the position of its
    /// commit.
    pub position: Option<Time>,
    /// Load report, if one came with the response.
    pub report: Option<LoadReport>,
}

/// Whether another process serves requests as this router too, as in a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProcess {
    /// Another process may be serving requests.
    Serving,
    /// No other process serves requests any more.
    Gone,
}

/// An input of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyEvent {
    /// The endpoint list was received, either complete or as changes.
    EndpointList {
        /// Whether endpoints without an entry have been removed.
        complete: bool,
        /// New and changed entries; all entries if the list is complete.
        entries: Vec<EndpointRecord>,
    },
    /// A poll of the endpoint list failed, or the watch broke.
    DiscoveryFailed,
    /// A client sent a new request.
    Request(Request),
    /// The response of an attempt has begun; no other attempt may answer the request from now on.
    ResponseStarted(RequestId),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected; it gets no final answer.
    ClientDisconnected(RequestId),
    /// The number of routers that share the endpoints changed; 0 counts as 1. If the number grew,
    /// this router reduces its concurrency limits (never below two attempts at an endpoint) and its
    /// estimate of its own share of the traffic in proportion. If the number shrank, both grow
    /// again as responses arrive.
    RouterCount(u32),
    /// Another process of this router began or ceased to serve requests. What it learns from its
    /// answers is not known here.
    PeerProcess(PeerProcess),
    /// The cluster's clock was corrected: times that arrived before (positions, commits, starts of
    /// endpoints) move by this much, backwards if negative.
    ClockCorrected(Span),
    /// A timer expired; the number is the token of [`Action::SetTimer`].
    Timer(u64),
    /// A health check ended.
    HealthCheckEnded {
        /// Endpoint that was checked.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// How long the check took.
        latency: Span,
        /// Load report, if one came with the answer.
        report: Option<LoadReport>,
    },
}

/// Why a request gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// The request was shed on arrival, because responses have taken too much of their latency
    /// objective.
    Overloaded,
    /// About half of the request's time has passed without a first attempt.
    NeverSent,
    /// A response would come too late to count.
    TooLate,
    /// The request has had the maximum number of attempts.
    AttemptsExhausted,
    /// The request may have run, and a retry would not be deduplicated any more.
    RetryWindowClosed,
}

/// An output of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// Request to send.
        request: RequestId,
        /// Endpoint to send the request to.
        endpoint: EndpointId,
        /// Timeout of the attempt; `None` means the client's deadline.
        timeout: Option<Span>,
        /// No byte of the request may be written after this moment, however long the connection
        /// takes to establish; `None` means no limit within the timeout.
        send_before: Option<Time>,
    },
    /// Cancel an attempt.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: the request was not served and is safe to retry.
    Reject {
        /// Request that is answered.
        request: RequestId,
        /// How long the client should wait before it retries; `None` if the deployment sends no
        /// Retry-After.
        retry_after: Option<Span>,
        /// Why the request is given up.
        why: GiveUpReason,
    },
    /// Final answer: the request is not known to be served and may have run.
    Fail {
        /// Request that is answered.
        request: RequestId,
        /// Why the request is given up.
        why: GiveUpReason,
    },
    /// Send a health check.
    HealthCheck {
        /// Endpoint to check.
        endpoint: EndpointId,
    },
    /// Poll the endpoint list.
    RefreshEndpointList,
    /// Set a timer; [`PolicyEvent::Timer`] reports that it has expired.
    SetTimer {
        /// When the timer expires.
        at: Time,
        /// Token that the event returns.
        token: u64,
    },
}
