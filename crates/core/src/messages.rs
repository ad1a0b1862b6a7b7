//! Input and output of the reducer: events, effects, configuration, and the published view.
//!
//! Times are whole microseconds of the process's monotonic clock. Classes and tenants are
//! identified by their indexes in the settings.

use std::sync::Arc;

use valehatch_admission::{QuotaCountMismatch, Settings as AdmissionSettings, TenantQueueView};
use valehatch_memory_budget::Reservation;
use valehatch_policy::{
    EndpointRecord, EndpointView, GroupId, GroupView, LoadReport, Outcome, PeerProcess, Role,
    SessionKey, Settings, Span, Time,
};
use valehatch_request_log::{FinalOutcome, OutcomeMetrics, RejectionReason, RequestRecord};

use crate::permission::{Decisions, Denial, SendPermit};
use crate::response_memory::{ResponseLimits, ResponseMemory};

/// Identifies a connection from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Identifies a connection to an upstream endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The part of a request that is forwarded to an endpoint.
#[derive(Debug)]
pub struct Payload {
    /// The request in the encoding of the front's protocol, which the core does not interpret.
    pub bytes: Vec<u8>,
    /// Whether the request is a write.
    pub write: bool,
    /// Index of the class that the request is counted under.
    pub class: usize,
}

/// A request as decoded by a front.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Name that the client assigned to the request, if any; unique among the open requests.
    pub name: Option<Arc<str>>,
    /// Index of the request's class.
    pub class: usize,
    /// Index of the request's tenant; `None` if the tenant is not known.
    pub tenant: Option<usize>,
    /// Group that the request is addressed to.
    pub group: GroupId,
    /// Session of the request, if the client supplied one.
    pub session: Option<SessionKey>,
    /// When the last byte of the request was read.
    pub received: Time,
    /// How long the client waits for the answer, counted from `received`.
    pub client_timeout: Span,
    /// Whether the client marked the request as a retry.
    pub is_client_retry: bool,
    /// Commit time of the session's last write, if the client sent it.
    pub last_write_at: Option<Time>,
    /// The part that is forwarded to an endpoint.
    pub payload: Arc<Payload>,
    /// Reservation for the request's bytes, held while the request is open.
    pub memory: Reservation,
    /// Reservation for the response, if the client has no other open request; responses to further
    /// requests are reserved before they are scheduled.
    pub response_memory: Option<Reservation>,
    /// Identifies the client, as far as the front can distinguish clients. The admission queue
    /// shares capacity evenly between clients.
    pub client: u64,
}

/// Why a request failed.
#[derive(Debug)]
pub enum Failure {
    /// No answer arrived in time; the request may have run.
    Timeout,
    /// The last attempt ended with a lost connection or with an error that has no message; the
    /// request may have run.
    ConnectionLost,
    /// The last attempt ended with an error, whose message from the endpoint is forwarded; the
    /// request may have run.
    UpstreamError(Vec<u8>),
    /// Another request with the same name is open.
    DuplicateName,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// The response of an endpoint.
    Served(Vec<u8>),
    /// The request has not run and may be retried.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Span,
        /// Whether more requests are waiting than can be served within `retry_after`.
        overloaded: bool,
    },
    /// The request failed; except for a duplicate name it may have run.
    Failed(Failure),
}

/// What happens to a client's connection after an answer has been written to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// The connection accepts further requests.
    KeepOpen,
    /// The connection is closed, unless the client has sent more data in the meantime.
    Close,
}

/// The result of an [`UpstreamJob`].
#[derive(Debug)]
pub struct UpstreamReply {
    /// How the job ended.
    pub outcome: Outcome,
    /// The endpoint's role, if it reported one.
    pub role: Option<Role>,
    /// The endpoint's replication position, if it reported one.
    pub position: Option<Time>,
    /// The endpoint's load report, if the reply contained one.
    pub report: Option<LoadReport>,
    /// The complete response; for an error, the endpoint's message if it is to be forwarded.
    pub body: Option<Vec<u8>>,
    /// Whether every endpoint would answer with this error, in which case the error is forwarded
    /// and the request is not retried.
    pub is_final_error: bool,
    /// Memory reserved for `body` beyond what was reserved when the request was sent, if any.
    pub memory: Option<Reservation>,
}

impl UpstreamReply {
    /// Creates a reply that consists of its outcome alone.
    pub const fn without_details(outcome: Outcome) -> Self {
        Self {
            outcome,
            role: None,
            position: None,
            report: None,
            body: None,
            is_final_error: false,
            memory: None,
        }
    }
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The part of the entry that the policy uses.
    pub record: EndpointRecord,
    /// Endpoint name in logs and metrics.
    pub name: Arc<str>,
    /// Host and port of the endpoint.
    pub address: Arc<str>,
}

/// An input of the reducer.
#[derive(Debug)]
pub enum Event {
    /// The endpoint list was received, completely or as changes.
    EndpointList {
        /// Whether `endpoints` is the complete list, so that endpoints missing from it are removed.
        complete: bool,
        /// New and changed entries, or all entries if the list is complete.
        endpoints: Vec<ListedEndpoint>,
    },
    /// A client has connected.
    ClientConnected(ClientId),
    /// A request was received.
    RequestReceived {
        /// Connection that the request was read from.
        client: ClientId,
        /// Chosen by the front and returned with the answer, to match it to the request.
        ticket: u64,
        /// The decoded request.
        request: IncomingRequest,
    },
    /// A request was fully received only after its client had disconnected; the request is counted
    /// but not run.
    RequestAbandoned {
        /// Index of the request's class.
        class: usize,
        /// Index of the request's tenant; `None` if the tenant is not known.
        tenant: Option<usize>,
        /// Group that the request was addressed to.
        group: GroupId,
    },
    /// A front rejected a request itself, for lack of memory or connections.
    RequestRejected {
        /// Index of the request's class.
        class: usize,
        /// Index of the request's tenant; `None` if the tenant is not known.
        tenant: Option<usize>,
        /// Group that the request was addressed to.
        group: GroupId,
        /// Reason for the rejection, for metrics and the request log.
        reason: RejectionReason,
    },
    /// A client has closed its connection.
    ClientDisconnected(ClientId),
    /// A response that is too long to be buffered has started on a connection and waits to be
    /// forwarded.
    ResponseStarted(ConnectionId),
    /// The attempt or health check on a connection has ended. A streamed response was either read
    /// completely by the client or cut off.
    AttemptEnded {
        /// Connection that carried the attempt or health check.
        connection: ConnectionId,
        /// Outcome of the attempt or health check, and the response if there was one.
        reply: UpstreamReply,
        /// Whether the connection may be used again.
        reusable: bool,
    },
    /// The offset between the cluster's clock and this process's clock was corrected: Unix times
    /// that were converted before lie this much later than assumed, or earlier if negative.
    ClockCorrected(Span),
    /// Another process of this gateway began or ceased to serve requests.
    PeerProcess(PeerProcess),
    /// Names of requests that the other process of this gateway has sent and that must not run
    /// twice.
    PeerRequestNames(Vec<Arc<str>>),
    /// Number of gateways that share the endpoints from now on.
    GatewayCount(u32),
    /// New quotas of the tenants; ignored without an admission queue.
    TenantQuotas(Vec<f64>),
    /// A planned shutdown was requested.
    ShutdownRequested,
    /// Another process accepts new connections from now on; existing connections are closed when
    /// they become idle.
    HandoffStarted,
    /// New maximum number of upstream connections.
    UpstreamConnectionLimit(usize),
    /// The live view was requested.
    PublishView,
}

/// How the transport to the endpoints uses its connections.
///
/// An attempt is out from its first byte until its answer has arrived, or until its connection is
/// closed or nothing more is sent on it. A request never has two attempts out, so the policy learns
/// of the end of an attempt only when it is no longer out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamTransport {
    /// A connection carries one attempt at a time. [`Effect::CloseUpstream`] closes the connection,
    /// which ends the attempt.
    Exclusive,
    /// A connection to the endpoint is shared by many attempts. [`Effect::CloseUpstream`] leaves it
    /// open and the attempt out; only [`Event::AttemptEnded`] says that it is no longer out.
    Multiplexed,
}

/// Work to be sent on an upstream connection.
#[derive(Clone, Debug)]
pub enum UpstreamJob {
    /// An attempt of a request.
    Request {
        /// Bytes to send.
        payload: Arc<Payload>,
        /// When the gateway stops waiting for the response.
        deadline: Time,
        /// Must be acquired just before the first byte is written.
        permit: SendPermit,
    },
    /// A health check.
    HealthCheck,
}

/// An output of the reducer, to be carried out by its caller.
#[derive(Debug)]
pub enum Effect {
    /// Open a connection to an endpoint.
    Connect {
        /// Identifies the new connection in later events and effects.
        connection: ConnectionId,
        /// Host and port of the endpoint.
        address: Arc<str>,
    },
    /// Send a job on a connection.
    Submit {
        /// Connection to send on; opened by an earlier effect.
        connection: ConnectionId,
        /// Attempt or health check to send.
        job: UpstreamJob,
    },
    /// Cancel the attempt on a connection of a [`UpstreamTransport::Multiplexed`] transport, and
    /// report its end once it is no longer out.
    CancelAttempt(ConnectionId),
    /// Close a connection to an endpoint.
    CloseUpstream(ConnectionId),
    /// Forward the response that has started on a connection while it is being received.
    ForwardBody {
        /// Upstream connection to read from.
        connection: ConnectionId,
        /// Client connection to write to.
        client: ClientId,
        /// Ticket of the request that is answered.
        ticket: u64,
    },
    /// Send the final answer to a request.
    Answer {
        /// Client connection to write to.
        client: ClientId,
        /// Ticket of the request that is answered.
        ticket: u64,
        /// Answer to encode in the front's protocol.
        answer: FinalAnswer,
        /// Whether the client connection stays open afterwards.
        after: AfterAnswer,
        /// Memory reserved for the answer, to be held until the answer is written.
        memory: ResponseMemory,
    },
    /// Pass the names of requests that have been sent, or are about to be, to the other process of
    /// this gateway, which must not accept them.
    ShareRequestNames(Vec<Arc<str>>),
    /// Close a client's connection.
    CloseClient(ClientId),
    /// Close every idle client connection, because the process is about to end.
    CloseIdleClients,
    /// Stop accepting client connections.
    StopListening,
    /// Write an event to the log.
    Log(LogEvent),
    /// Record a request that has ended.
    RecordOutcome(Box<RequestRecord>),
    /// Publish the live view.
    PublishView(Box<LiveView>),
    /// End the process as soon as it owes no response; repeated until then.
    Exit,
}

/// An event to be written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// All upstream connections are in use; carries their number.
    UpstreamConnectionsExhausted(usize),
    /// New quotas were ignored because their number differs from the number of tenants.
    InvalidQuotas(QuotaCountMismatch),
    /// The policy ordered an attempt that must never be sent; the attempt was not sent.
    InvariantViolated {
        /// Reason for the denial.
        denial: Denial,
        /// Client-assigned name of the request, or its number.
        request: Arc<str>,
        /// Name of the endpoint, or its number if it is not listed.
        endpoint: Arc<str>,
    },
    /// A step of a request; logged only if requests are traced.
    RequestStep {
        /// Client-assigned name of the request, or its number.
        request: Arc<str>,
        /// The step that the request has reached.
        step: RequestStep,
    },
}

/// A step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStep {
    /// An attempt was handed to a connection.
    AttemptSent {
        /// Number of the attempt, counted from 0.
        attempt: u32,
        /// Name of the endpoint, or its number if it is not listed.
        endpoint: Arc<str>,
        /// Connection that carries the attempt.
        connection: ConnectionId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Number of the attempt, counted from 0.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// The request received its final answer, or its client disconnected.
    RequestEnded(FinalOutcome),
    /// An attempt was not sent.
    Denied(Denial),
}

/// A snapshot of a front's state.
#[derive(Clone, Debug)]
pub struct LiveView {
    /// When the snapshot was taken.
    pub taken_at: Time,
    /// Groups known to the policy, ordered by ID.
    pub groups: Vec<GroupView>,
    /// Listed endpoints, ordered by ID.
    pub endpoints: Vec<LiveEndpoint>,
    /// Requests in the last full second, by tenant index.
    pub request_rates: Vec<u64>,
    /// Numbers of open requests and connections.
    pub open: OpenCounts,
    /// Turns of the event loop since the start.
    pub turns: u64,
    /// Whether a planned shutdown was requested.
    pub shutting_down: bool,
    /// Admission queues by tenant index, followed by the queue for requests without a known tenant;
    /// empty without an admission queue.
    pub tenant_queues: Vec<TenantQueueView>,
}

/// Numbers of open requests and connections of a front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests without a final answer.
    pub requests: usize,
    /// Connections to upstream endpoints.
    pub upstream_connections: usize,
    /// Connections from clients.
    pub client_connections: usize,
}

/// An endpoint in the live view.
#[derive(Clone, Debug)]
pub struct LiveEndpoint {
    /// Endpoint name from the endpoint list.
    pub name: Arc<str>,
    /// Host and port of the endpoint.
    pub address: Arc<str>,
    /// The policy's view of the endpoint.
    pub view: EndpointView,
}

/// Names used in request records, and the interval at which the live view is published.
#[derive(Clone, Debug)]
pub struct Observability {
    /// Name of the front.
    pub front: Arc<str>,
    /// Names of the classes, by index.
    pub classes: Vec<Arc<str>>,
    /// Names of the tenants, by index.
    pub tenants: Vec<Arc<str>>,
    /// Minimum interval between two views; the actual interval grows with the number of endpoints.
    pub publish_interval: Span,
}

/// The configuration of the core.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Settings of the admission queue; `None` passes requests to the policy directly.
    pub admission: Option<AdmissionSettings>,
    /// Names for request records and the publishing interval; `None` disables request records and
    /// periodic publishing.
    pub observability: Option<Arc<Observability>>,
    /// Metrics to update; `None` disables metrics.
    pub metrics: Option<Arc<OutcomeMetrics>>,
    /// Settings of the policy.
    pub settings: Settings,
    /// How the transport uses its connections.
    pub transport: UpstreamTransport,
    /// Counters of denials and retries, shared with the admin interface.
    pub decisions: Arc<Decisions>,
    /// Whether each step of a request is logged.
    pub trace_requests: bool,
    /// Maximum number of upstream connections.
    pub upstream_connection_limit: usize,
    /// How long to wait for the answer to a health check.
    pub health_check_timeout: Span,
    /// Limits on the memory of responses; `None` does not limit it.
    pub response_limits: Option<ResponseLimits>,
}
