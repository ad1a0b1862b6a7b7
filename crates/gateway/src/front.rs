//! One front: runs the core on its event loop and executes the core's effects.

use std::net::TcpListener;
use std::sync::{Arc, OnceLock};

use arc_swap::ArcSwapOption;
use crossbeam_channel::{Receiver, Sender};
use tracing::{debug, error, info, warn};
use valehatch_config::Site;
use valehatch_config::operators::AdmissionSettings;
use valehatch_core::permission::Decisions;
use valehatch_core::{
    CoreConfig, Effect, Event, LiveView, LogEvent, Observability, ResponseLimits, State,
};
use valehatch_memory_budget::MemoryBudget;
use valehatch_net::clients::{BacklogOwner, ClientLimits, Clients, RequestHandler};
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_net::hot_restart::{HandoffHandle, NamesNotShared};
use valehatch_net::upstream::Upstream;
use valehatch_net::{Clock, LoopControl, TurnStep};
use valehatch_policy::{Consistency, RequestClass, Span};
use valehatch_request_log::{OutcomeMetrics, RequestRecord};
use valehatch_snmp::instrumentation::CoreSnapshot;
use valehatch_state::Recorder;

use crate::error::StartError;
use crate::recovery::{SharedService, count_outcome};
use crate::resources::upstream_connections;

/// Health check timeout in milliseconds, used if the configured connect timeout does not fit into a
/// [`Span`].
const DEFAULT_HEALTH_CHECK_TIMEOUT_MS: i64 = 250;

/// Maximum number of names that wait until they are passed to the other process of a hot restart.
const MAX_UNSHARED_NAMES: usize = 4_096;

/// Receives a front's request records: the names used in them, the request log, and the tracker of
/// service recovery.
pub(crate) struct Observer {
    /// Names of the front, its classes and its tenants.
    pub(crate) names: Arc<Observability>,
    /// Writes request records to the request log.
    pub(crate) recorder: Recorder,
    /// Counts request outcomes towards service recovery.
    pub(crate) service: SharedService,
}

/// Builds the settings of a front's admission queue; `quotas` are the tenants' weights.
pub(crate) fn admission_settings(
    sizes: AdmissionSettings,
    site: &Site,
    quotas: Vec<f64>,
) -> valehatch_admission::Settings {
    let limits = &site.settings.limits;
    valehatch_admission::Settings {
        quotas,
        classes: site.settings.classes.iter().map(admission_class).collect(),
        max_waiting: sizes.max_waiting.min(limits.max_open_requests),
        client_buckets: sizes.client_buckets,
        max_retry_after: limits.max_retry_after,
        max_lanes: sizes.max_active_groups,
    }
}

fn admission_class(class: &RequestClass) -> valehatch_admission::Class {
    let is_write = class.consistency == Consistency::Write;
    valehatch_admission::Class {
        priority_weight: class.priority_weight,
        latency_objective: class.latency_objective,
        late_answer_counts: is_write && class.late_priority_weight > 0.0,
        write: is_write,
    }
}

/// Components and settings of one front.
pub(crate) struct FrontParts {
    /// Settings of the front, and the names of classes and tenants that clients use.
    pub(crate) site: Site,
    /// Number of descriptors that the front may use.
    pub(crate) descriptors: usize,
    /// Budget of the bytes that are held for the front's clients.
    pub(crate) memory: Arc<MemoryBudget>,
    /// Maximum size in bytes of a response that is buffered without a further reservation.
    pub(crate) response_bytes: usize,
    /// Seed of the core's random number generator.
    pub(crate) seed: u64,
    /// Socket that clients connect to.
    pub(crate) listener: TcpListener,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Protocol towards clients.
    pub(crate) handler: Arc<dyn RequestHandler>,
    /// Protocol towards endpoints.
    pub(crate) upstream: Box<dyn Upstream>,
    /// Counts and limits the front's connections.
    pub(crate) connections: Arc<SharedConnectionLimiter>,
    /// Maximum of concurrent requests; `None` for one request per upstream connection.
    pub(crate) max_in_flight: Option<usize>,
    /// Event queue of the core.
    pub(crate) inbox: (Sender<Event>, Receiver<Event>),
    /// Receiver of request records; `None` if nothing uses them.
    pub(crate) observer: Option<Observer>,
    /// Settings of the admission queue; `None` for a front without one.
    pub(crate) admission: Option<valehatch_admission::Settings>,
    /// Outcome counters; `None` without a management address.
    pub(crate) metrics: Option<Arc<OutcomeMetrics>>,
    /// Counts the core's denials, by reason.
    pub(crate) decisions: Arc<Decisions>,
    /// View that the core publishes.
    pub(crate) board: Arc<ArcSwapOption<CoreSnapshot>>,
    /// The other process of a hot restart; never set for a front without hot restarts.
    pub(crate) handoff: HandoffHandleCell,
}

/// Handle to the other process of a hot restart, which exists only after the front.
pub(crate) type HandoffHandleCell = Arc<OnceLock<HandoffHandle>>;

/// A listening front.
pub(crate) struct Front {
    state: State,
    upstream: Box<dyn Upstream>,
    clients: Arc<Clients>,
    inbox: Receiver<Event>,
    clock: Clock,
    observer: Option<Observer>,
    board: Arc<ArcSwapOption<CoreSnapshot>>,
    handoff: HandoffHandleCell,
}

impl Front {
    /// Creates the core and starts to listen.
    ///
    /// # Errors
    /// The settings are inconsistent, or a thread cannot be started.
    pub(crate) fn listen(parts: FrontParts) -> Result<Self, StartError> {
        let health_check_timeout_ms = i64::try_from(parts.site.connect_timeout_ms);
        let connection_limit = upstream_connections(parts.descriptors);
        let has_observer = parts.observer.is_some() || parts.metrics.is_some();
        let config = CoreConfig {
            settings: parts.site.settings,
            transport: parts.upstream.transport(),
            decisions: parts.decisions,
            trace_requests: tracing::enabled!(tracing::Level::DEBUG),
            admission: parts.admission,
            metrics: parts.metrics,
            observability: parts.observer.as_ref().map(|o| Arc::clone(&o.names)),
            upstream_connection_limit: parts.max_in_flight.unwrap_or(connection_limit),
            health_check_timeout: Span::from_millis(
                health_check_timeout_ms.unwrap_or(DEFAULT_HEALTH_CHECK_TIMEOUT_MS),
            ),
            response_limits: Some(ResponseLimits {
                budget: Arc::clone(&parts.memory),
                response_bytes: parts.response_bytes,
            }),
        };
        let state = State::new(config, parts.seed).map_err(StartError::configuration)?;
        let limits = ClientLimits {
            memory: parts.memory,
            response_bytes: parts.response_bytes,
            reports_rejections: has_observer,
        };
        let (events, inbox) = parts.inbox;
        let clients = Clients::new(
            parts.handler,
            events,
            parts.clock,
            parts.connections,
            limits,
        )
        .map_err(StartError::resource("listen"))?;
        let address = clients
            .listen(parts.listener)
            .map_err(StartError::resource("listen"))?;
        info!(%address, "listening");
        Ok(Self {
            state,
            upstream: parts.upstream,
            clients,
            inbox,
            clock: parts.clock,
            observer: parts.observer,
            board: parts.board,
            handoff: parts.handoff,
        })
    }

    /// Client connections of the front; their threads run concurrently with the event loop.
    pub(crate) fn clients(&self) -> Arc<Clients> {
        Arc::clone(&self.clients)
    }

    /// Runs the event loop until the core exits.
    pub(crate) fn run(self) {
        let Self {
            mut state,
            upstream,
            clients,
            inbox,
            clock,
            observer,
            board,
            handoff,
        } = self;
        let mut effects = EffectRunner {
            upstream,
            clients,
            clock,
            observer,
            board,
            inbox: inbox.clone(),
            handoff,
            unshared_names: vec![],
        };
        valehatch_net::run(&mut state, clock, &inbox, |step| match step {
            TurnStep::Effect(effect) => effects.run(effect),
            TurnStep::EndOfTurn => {
                effects.upstream.flush();
                LoopControl::Continue
            }
        });
    }
}

/// Executes the core's effects.
struct EffectRunner {
    upstream: Box<dyn Upstream>,
    clients: Arc<Clients>,
    clock: Clock,
    observer: Option<Observer>,
    board: Arc<ArcSwapOption<CoreSnapshot>>,
    inbox: Receiver<Event>,
    handoff: HandoffHandleCell,
    /// Names of requests that the other process of a hot restart does not have yet.
    unshared_names: Vec<Arc<str>>,
}

impl EffectRunner {
    fn run(&mut self, effect: Effect) -> LoopControl {
        match effect {
            Effect::Connect {
                connection,
                address,
            } => self.upstream.connect(connection, &address),
            Effect::Submit { connection, job } => self.upstream.submit(connection, job),
            Effect::CancelAttempt(connection) => self.upstream.cancel(connection),
            Effect::CloseUpstream(connection) => self.upstream.close(connection),
            Effect::ForwardBody {
                connection,
                client,
                ticket,
            } => {
                let body = self.clients.response_body(client, ticket);
                self.upstream.forward_body(connection, body);
            }
            Effect::Answer {
                client,
                ticket,
                answer,
                after,
                memory,
            } => self.clients.answer(client, ticket, answer, after, memory),
            Effect::ShareRequestNames(names) => self.share_names(names),
            Effect::CloseClient(client) => self.clients.close_if_idle(client),
            Effect::CloseIdleClients => self.clients.close_all_idle(),
            Effect::StopListening => self.clients.stop_accepting(BacklogOwner::ThisProcess),
            Effect::Log(event) => log(event),
            Effect::RecordOutcome(record) => self.record(record),
            Effect::PublishView(view) => self.publish(*view),
            Effect::Exit if self.clients.can_exit() => return LoopControl::Exit,
            Effect::Exit => {}
        }
        LoopControl::Continue
    }

    /// Passes names to the other process of a hot restart; keeps them until there is one.
    fn share_names(&mut self, names: Vec<Arc<str>>) {
        self.unshared_names.extend(names);
        let Some(handoff) = self.handoff.get() else {
            return self.unshared_names.truncate(MAX_UNSHARED_NAMES);
        };
        let names = std::mem::take(&mut self.unshared_names);
        if let Err(NamesNotShared(names)) = handoff.share_request_names(names) {
            self.unshared_names = names;
            self.unshared_names.truncate(MAX_UNSHARED_NAMES);
        }
    }

    fn record(&mut self, record: Box<RequestRecord>) {
        if let Some(observer) = &mut self.observer {
            count_outcome(&observer.service, self.clock, &record.outcome);
            observer.recorder.record(record);
        }
    }

    fn publish(&mut self, live: LiveView) {
        if let Some(observer) = &mut self.observer {
            observer.recorder.send_unlogged();
        }
        let queue = self.inbox.len();
        self.board.store(Some(Arc::new(CoreSnapshot {
            live,
            queue_length: queue,
        })));
    }
}

fn log(event: LogEvent) {
    match event {
        LogEvent::InvalidQuotas(error) => {
            warn!(%error, "tenant quotas rejected, keeping the previous ones");
        }
        LogEvent::UpstreamConnectionsExhausted(limit) => {
            warn!(limit, "all upstream connections are in use");
        }
        LogEvent::InvariantViolated {
            denial,
            request,
            endpoint,
        } => {
            error!(%request, %endpoint, "invariant violated: {}; request not sent", denial.name());
        }
        LogEvent::RequestStep { request, step } => debug!(%request, "{step:?}"),
    }
}
