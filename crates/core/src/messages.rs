//! What the core is told and what it asks for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use valehatch_admission::{Settings as AdmissionSettings, TenantQueueView};
use valehatch_policy::{
    EndpointRecord, EndpointView, GroupId, GroupView, LoadReport, Outcome, Role, SessionKey,
    Settings, Span, Time,
};
use valehatch_request_log::{OutcomeMetrics, RejectionReason, RequestRecord};

use crate::permission::{Decisions, Denial, SendPermit};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    };
}

id!(/** A connection from a client. */ ClientId);
id!(/** A connection to a server. */ ConnectionId);

/// Room taken for the bytes of a request; it is given back when they are let go of.
#[derive(Debug)]
pub struct MemoryReservation {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl MemoryReservation {
    /// Takes room for so many bytes, if that leaves no more than `most` in use.
    pub fn try_acquire(used: &Arc<AtomicUsize>, bytes: usize, most: usize) -> Option<Self> {
        let room = Self {
            used: Arc::clone(used),
            bytes,
        };
        (used.fetch_add(bytes, Ordering::Relaxed) + bytes <= most).then_some(room)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// What is passed to a server; only the fronts know its form.
#[derive(Debug)]
pub struct Payload {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Whether it writes.
    pub write: bool,
    /// The class that it is counted for.
    pub class: usize,
}

/// A request as a front understood it.
#[derive(Debug)]
pub struct IncomingRequest {
    /// What the client calls it, where clients name their requests: no two that are open share a name.
    pub name: Option<Arc<str>>,
    pub class: usize,
    pub tenant: Option<usize>,
    pub group: GroupId,
    pub session: Option<SessionKey>,
    /// When its last byte was read.
    pub received: Time,
    /// How long the client will wait, from then on.
    pub client_timeout: Span,
    pub is_client_retry: bool,
    /// When the session's last write was committed, if it brought that.
    pub last_write_at: Option<Time>,
    pub payload: Arc<Payload>,
    /// The room that its bytes take for as long as it is open.
    pub memory: MemoryReservation,
    /// Who asks, as far as the front can tell clients apart: they share evenly at the door.
    pub client: u64,
}

/// How a request failed.
#[derive(Debug)]
pub enum Failure {
    /// No answer came in time; it may have run.
    Timeout,
    /// An error or a break; it may have run.
    ConnectionLost,
    /// The same, in the words of the server that tried last.
    UpstreamError(Vec<u8>),
    /// Its name is that of a request that is open.
    DuplicateName,
}

/// The final answer of a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// As a server gave it.
    Served(Vec<u8>),
    /// Trying again is harmless, after this time; `crowded` if more wait than can be served by then, so that the longest
    /// time that clients heed is too short to be honest.
    Rejected {
        retry_after: Span,
        overloaded: bool,
    },
    Failed(Failure),
}

/// What came back for a job.
#[derive(Debug)]
pub struct UpstreamReply {
    pub outcome: Outcome,
    pub role: Option<Role>,
    pub position: Option<Time>,
    pub report: Option<LoadReport>,
    /// The whole answer, where there is one; of an error, where the server's words are to be passed on.
    pub body: Option<Vec<u8>>,
    /// An error that every server would answer with: it is passed on, and the request is not sent again.
    pub is_final_error: bool,
}

impl UpstreamReply {
    /// An outcome that nothing came along with.
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

/// A line of the list, with where the server listens.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    pub record: EndpointRecord,
    pub name: Arc<str>,
    pub address: Arc<str>,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    EndpointList {
        complete: bool,
        endpoints: Vec<ListedEndpoint>,
    },
    ClientConnected(ClientId),
    /// A request; the ticket comes back with its answer.
    RequestReceived {
        client: ClientId,
        ticket: u64,
        request: IncomingRequest,
    },
    /// A request that was whole when its client had left: it is counted, and does not run.
    RequestAbandoned {
        class: usize,
        tenant: Option<usize>,
        group: GroupId,
    },
    /// A request that a front refused itself, for want of room or of places.
    RequestRejected {
        class: usize,
        tenant: Option<usize>,
        group: GroupId,
        reason: RejectionReason,
    },
    ClientDisconnected(ClientId),
    /// An answer that is too long to be held has begun on a connection: it waits for its way to the client.
    ResponseStarted(ConnectionId),
    /// What a connection carried has ended; an answer that was passed on has been taken up whole, or was cut.
    AttemptEnded {
        connection: ConnectionId,
        reply: UpstreamReply,
        reusable: bool,
    },
    /// Unix times that were placed on this process's clock before lie so much later than was taken (earlier if negative).
    ClockCorrected(Span),
    /// So many gateways share the members now.
    GatewayCount(u32),
    /// Other shares of the tenants, where requests wait at a door.
    TenantQuotas(Vec<f64>),
    /// A planned stop.
    ShutdownRequested,
    /// Another process takes the connections from now on, from the same queue: those that are open end as they rest.
    HandoffStarted,
    /// So many connections to servers at the most, from now on.
    UpstreamConnectionLimit(usize),
    /// What is believed is to be published.
    PublishView,
}

/// What a connection is to carry.
#[derive(Clone, Debug)]
pub enum UpstreamJob {
    /// A request, when the gateway stops waiting for its answer, and the leave to write it.
    Request {
        payload: Arc<Payload>,
        deadline: Time,
        permit: SendPermit,
    },
    /// The server is asked how it is.
    HealthCheck,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    Connect {
        connection: ConnectionId,
        address: Arc<str>,
    },
    Submit {
        connection: ConnectionId,
        job: UpstreamJob,
    },
    CloseUpstream(ConnectionId),
    /// The answer that has begun on a connection goes to the client as it comes, in its turn.
    ForwardBody {
        connection: ConnectionId,
        client: ClientId,
        ticket: u64,
    },
    Answer {
        client: ClientId,
        ticket: u64,
        answer: FinalAnswer,
    },
    CloseClient(ClientId),
    /// The program is about to end: all connections of clients on which nothing is open end, however short a time ago they were
    /// answered.
    CloseIdleClients,
    StopListening,
    /// Something that whoever reads the log should know.
    Log(LogEvent),
    /// A request had its final answer.
    RecordOutcome(Box<RequestRecord>),
    /// What is to be shown to whoever watches.
    PublishView(Box<LiveView>),
    /// The program is to end, once nothing is half read or half written: it is asked for again until then.
    Exit,
}

/// What the log is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// All connections to servers are in use, so many.
    UpstreamConnectionsExhausted(usize),
    /// Shares that cannot be taken over, and why.
    InvalidQuotas(String),
    /// The decision module asked for what must never be done; it was not done.
    InvariantViolated {
        /// What forbids it.
        denial: Denial,
        /// The request, by its client's name for it or by its number here.
        request: Arc<str>,
        /// The endpoint.
        endpoint: Arc<str>,
    },
    /// A step of a request, where steps are traced.
    RequestStep {
        /// The request, by its client's name for it or by its number here.
        request: Arc<str>,
        /// What became of it.
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
        /// How.
        outcome: Outcome,
    },
    /// It had its final answer, or its client left.
    RequestEnded(valehatch_request_log::FinalOutcome),
    /// Something was not done for it.
    Denied(Denial),
}

/// What a gateway believes and carries at a moment, for those who watch it.
#[derive(Clone, Debug)]
pub struct LiveView {
    /// When it was so.
    pub taken_at: Time,
    /// What is believed of the groups, by number.
    pub groups: Vec<GroupView>,
    /// The members, by number.
    pub endpoints: Vec<LiveEndpoint>,
    /// Requests of each tenant in the last whole second.
    pub request_rates: Vec<u64>,
    /// What is open at the moment.
    pub open: OpenCounts,
    /// Turns that the loop has taken.
    pub turns: u64,
    /// A planned stop was asked for.
    pub shutting_down: bool,
    /// What waits at the door of each tenant, where there is a door; the last for those that are not known.
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

/// A member, as it is believed to be.
#[derive(Clone, Debug)]
pub struct LiveEndpoint {
    /// Its name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
    /// What is believed of it.
    pub view: EndpointView,
}

/// For those who watch: names of what is counted, and how often what is believed is published.
#[derive(Clone, Debug)]
pub struct Observability {
    /// The front's name.
    pub front: Arc<str>,
    /// The classes' names, in the settings' order.
    pub classes: Vec<Arc<str>>,
    /// The tenants' names, in the settings' order.
    pub tenants: Vec<Arc<str>>,
    /// How often, at the most; a deployment of many members publishes less often.
    pub publish_interval: Span,
}

/// What the core needs to know of the deployment.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Set where requests wait at a door.
    pub admission: Option<AdmissionSettings>,
    /// Set where somebody watches: final answers are recorded and beliefs published.
    pub observability: Option<Arc<Observability>>,
    /// Set where operators read figures.
    pub metrics: Option<Arc<OutcomeMetrics>>,
    pub settings: Settings,
    /// What was denied, and why.
    pub decisions: Arc<Decisions>,
    /// Steps of requests are traced.
    pub trace_requests: bool,
    /// Connections to servers at the most.
    pub upstream_connection_limit: usize,
    pub health_check_timeout: Span,
}
