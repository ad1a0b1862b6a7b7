//! What goes into the reducer and what comes out: events, effects, configuration, and the published
//! view.
//!
//! Times are whole microseconds of the process's monotonic clock. Numbers of classes and tenants
//! are their places in the settings.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use valehatch_admission::{QuotaCountMismatch, Settings as AdmissionSettings, TenantQueueView};
use valehatch_policy::{
    EndpointRecord, EndpointView, GroupId, GroupView, LoadReport, Outcome, Role, SessionKey,
    Settings, Span, Time,
};
use valehatch_request_log::{FinalOutcome, OutcomeMetrics, RejectionReason, RequestRecord};

use crate::permission::{Decisions, Denial, SendPermit};

/// A connection from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A connection to an upstream endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Memory reserved for the bytes of a request; given back as it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves memory if no more than `limit` bytes are then in use by all that share the counter.
    pub fn try_acquire(used: &Arc<AtomicUsize>, bytes: usize, limit: usize) -> Option<Self> {
        // Dropping the reservation gives its bytes back, so it is made before the check.
        let reservation = Self {
            used: Arc::clone(used),
            bytes,
        };
        let in_use = used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        (in_use <= limit).then_some(reservation)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// What is forwarded to an endpoint; only the fronts know its form.
#[derive(Debug)]
pub struct Payload {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Whether it writes.
    pub write: bool,
    /// The class that it is counted for.
    pub class: usize,
}

/// A request as a front has decoded it.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The client's name for it, where clients name requests: no two open requests share a name.
    pub name: Option<Arc<str>>,
    /// Its class, by number.
    pub class: usize,
    /// Its tenant, by number; `None` if it is not known.
    pub tenant: Option<usize>,
    /// The group that it is for.
    pub group: GroupId,
    /// Its session, where clients name one.
    pub session: Option<SessionKey>,
    /// When its last byte was read.
    pub received: Time,
    /// How long its client waits from then on.
    pub client_timeout: Span,
    /// Whether the client marked it as a retry of its own.
    pub is_client_retry: bool,
    /// When the session's last write was committed, if the client sent that.
    pub last_write_at: Option<Time>,
    /// What is forwarded to an endpoint.
    pub payload: Arc<Payload>,
    /// The memory that its bytes occupy while it is open.
    pub memory: MemoryReservation,
    /// Its client, as far as the front can tell clients apart: clients share evenly in the
    /// admission queue.
    pub client: u64,
}

/// How a request failed.
#[derive(Debug)]
pub enum Failure {
    /// No answer came in time; it may have run.
    Timeout,
    /// An error or a lost connection; it may have run.
    ConnectionLost,
    /// The same, with the message of the last endpoint.
    UpstreamError(Vec<u8>),
    /// A request of the same name is open.
    DuplicateName,
}

/// The final answer of a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// An endpoint's response.
    Served(Vec<u8>),
    /// It has not run and may be retried.
    Rejected {
        /// After this time.
        retry_after: Span,
        /// Whether more requests wait than can be served by then.
        overloaded: bool,
    },
    /// It failed.
    Failed(Failure),
}

/// What becomes of a client's connection once an answer is written to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// It takes further requests.
    KeepOpen,
    /// It is closed, unless its client has sent more meanwhile.
    Close,
}

/// What came back for a job.
#[derive(Debug)]
pub struct UpstreamReply {
    /// How the job ended.
    pub outcome: Outcome,
    /// The endpoint's role, if it reported one.
    pub role: Option<Role>,
    /// The endpoint's replication position, if it reported one.
    pub position: Option<Time>,
    /// The endpoint's load report, if it sent one.
    pub report: Option<LoadReport>,
    /// The whole response; of an error, the endpoint's message if it is to be forwarded.
    pub body: Option<Vec<u8>>,
    /// Whether every endpoint would answer with this error: it is forwarded, and the request is not
    /// retried.
    pub is_final_error: bool,
}

impl UpstreamReply {
    /// An outcome without anything else.
    pub const fn without_details(outcome: Outcome) -> Self {
        Self {
            outcome,
            role: None,
            position: None,
            report: None,
            body: None,
            is_final_error: false,
        }
    }
}

/// An endpoint as the list names it.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// What the policy needs of it.
    pub record: EndpointRecord,
    /// Its name in logs and figures.
    pub name: Arc<str>,
    /// Host and port.
    pub address: Arc<str>,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// The endpoint list, or changes of it.
    EndpointList {
        /// Whether it names every endpoint, so that the others were removed.
        complete: bool,
        /// The endpoints.
        endpoints: Vec<ListedEndpoint>,
    },
    /// A client has connected.
    ClientConnected(ClientId),
    /// A request came in.
    RequestReceived {
        /// On this connection.
        client: ClientId,
        /// Comes back with its answer.
        ticket: u64,
        /// The request.
        request: IncomingRequest,
    },
    /// A request came in completely after its client had left: it is counted and does not run.
    RequestAbandoned {
        /// Its class, by number.
        class: usize,
        /// Its tenant, by number.
        tenant: Option<usize>,
        /// The group that it was for.
        group: GroupId,
    },
    /// A front rejected a request itself, for lack of memory or connections.
    RequestRejected {
        /// Its class, by number.
        class: usize,
        /// Its tenant, by number.
        tenant: Option<usize>,
        /// The group that it was for.
        group: GroupId,
        /// Why.
        reason: RejectionReason,
    },
    /// A client has closed its connection.
    ClientDisconnected(ClientId),
    /// A response that is too long to be buffered has started on a connection and waits to be
    /// forwarded.
    ResponseStarted(ConnectionId),
    /// What a connection carried has ended; a streamed response was read by the client completely,
    /// or was cut off.
    AttemptEnded {
        /// The connection.
        connection: ConnectionId,
        /// What came back.
        reply: UpstreamReply,
        /// Whether the connection may carry something else.
        reusable: bool,
    },
    /// Unix times that were mapped to this process's clock before lie this much later than assumed;
    /// earlier if negative.
    ClockCorrected(Span),
    /// Gateways that share the endpoints now.
    GatewayCount(u32),
    /// New quotas of the tenants, where there is an admission queue.
    TenantQuotas(Vec<f64>),
    /// A planned shutdown was requested.
    ShutdownRequested,
    /// Another process accepts new connections from now on; existing ones are closed as they become
    /// idle.
    HandoffStarted,
    /// Upstream connections may be this many from now on.
    UpstreamConnectionLimit(usize),
    /// The live view is to be published.
    PublishView,
}

/// What a connection is to carry.
#[derive(Clone, Debug)]
pub enum UpstreamJob {
    /// An attempt of a request.
    Request {
        /// What is sent.
        payload: Arc<Payload>,
        /// When the gateway stops waiting for the response.
        deadline: Time,
        /// Must be acquired just before the first byte is written.
        permit: SendPermit,
    },
    /// A health check.
    HealthCheck,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// Open a connection.
    Connect {
        /// Its number.
        connection: ConnectionId,
        /// Where to.
        address: Arc<str>,
    },
    /// Send a job on a connection.
    Submit {
        /// The connection.
        connection: ConnectionId,
        /// The job.
        job: UpstreamJob,
    },
    /// Close a connection to an endpoint.
    CloseUpstream(ConnectionId),
    /// Forward the response that has started on a connection, as it comes.
    ForwardBody {
        /// The connection.
        connection: ConnectionId,
        /// The client.
        client: ClientId,
        /// The ticket of its request.
        ticket: u64,
    },
    /// Send a client the final answer of its request.
    Answer {
        /// The client.
        client: ClientId,
        /// The ticket of its request.
        ticket: u64,
        /// The answer.
        answer: FinalAnswer,
        /// What becomes of its connection then.
        after: AfterAnswer,
    },
    /// Close a client's connection.
    CloseClient(ClientId),
    /// Close every client connection that is idle: the program is about to end.
    CloseIdleClients,
    /// Accept no new client connections.
    StopListening,
    /// Write to the log.
    Log(LogEvent),
    /// Record a request that had its final answer.
    RecordOutcome(Box<RequestRecord>),
    /// Publish the live view.
    PublishView(Box<LiveView>),
    /// End the program once no message is partly read or written; asked for again until it ends.
    Exit,
}

/// What the log receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// All upstream connections are in use: so many.
    UpstreamConnectionsExhausted(usize),
    /// New quotas were not taken over.
    InvalidQuotas(QuotaCountMismatch),
    /// The policy asked for what must never be done; it was not done.
    InvariantViolated {
        /// What forbids it.
        denial: Denial,
        /// The request, by its client's name for it or by its number.
        request: Arc<str>,
        /// The endpoint.
        endpoint: Arc<str>,
    },
    /// A step of a request, where requests are traced.
    RequestStep {
        /// The request, by its client's name for it or by its number.
        request: Arc<str>,
        /// The step.
        step: RequestStep,
    },
}

/// A step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStep {
    /// An attempt was handed to a connection.
    AttemptSent {
        /// Counted from 0.
        attempt: u32,
        /// The endpoint.
        endpoint: Arc<str>,
        /// The connection.
        connection: ConnectionId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Counted from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// The request had its final answer, or its client left.
    RequestEnded(FinalOutcome),
    /// An attempt was not sent.
    Denied(Denial),
}

/// What a gateway knows and has open at a moment.
#[derive(Clone, Debug)]
pub struct LiveView {
    /// The moment.
    pub taken_at: Time,
    /// The groups, by number.
    pub groups: Vec<GroupView>,
    /// The endpoints, by number.
    pub endpoints: Vec<LiveEndpoint>,
    /// Requests of each tenant in the last whole second.
    pub request_rates: Vec<u64>,
    /// What is open at the moment.
    pub open: OpenCounts,
    /// Turns of the event loop so far.
    pub turns: u64,
    /// Whether a planned shutdown was requested.
    pub shutting_down: bool,
    /// The admission queue of each tenant, the last for requests without a known tenant; empty
    /// without a queue.
    pub tenant_queues: Vec<TenantQueueView>,
}

/// Numbers of what is open in a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests that have had no final answer yet.
    pub requests: usize,
    /// Connections to upstream endpoints.
    pub upstream_connections: usize,
    /// Connections from clients.
    pub client_connections: usize,
}

/// An endpoint in the live view.
#[derive(Clone, Debug)]
pub struct LiveEndpoint {
    /// Its name.
    pub name: Arc<str>,
    /// Host and port.
    pub address: Arc<str>,
    /// What the policy knows of it.
    pub view: EndpointView,
}

/// Names of what is counted, and how often the live view is published.
#[derive(Clone, Debug)]
pub struct Observability {
    /// The front's name.
    pub front: Arc<str>,
    /// The classes' names, by number.
    pub classes: Vec<Arc<str>>,
    /// The tenants' names, by number.
    pub tenants: Vec<Arc<str>>,
    /// Shortest interval between two views; it grows with the number of endpoints.
    pub publish_interval: Span,
}

/// The configuration of the core.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Set where requests wait in an admission queue.
    pub admission: Option<AdmissionSettings>,
    /// Set where final answers are recorded and views are published.
    pub observability: Option<Arc<Observability>>,
    /// Set where metrics are kept.
    pub metrics: Option<Arc<OutcomeMetrics>>,
    /// The policy's settings.
    pub settings: Settings,
    /// Counters of what was denied, and why.
    pub decisions: Arc<Decisions>,
    /// Whether the steps of each request are logged.
    pub trace_requests: bool,
    /// Upstream connections at most.
    pub upstream_connection_limit: usize,
    /// How long the answer to a health check is waited for.
    pub health_check_timeout: Span,
}
