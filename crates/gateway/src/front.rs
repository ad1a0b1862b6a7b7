//! One front: its core on its event loop, and the core's effects carried out.

use std::net::TcpListener;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use crossbeam_channel::{Receiver, Sender};
use tracing::{debug, error, info, warn};
use valehatch_config::Site;
use valehatch_config::operators::AdmissionSettings;
use valehatch_core::permission::Decisions;
use valehatch_core::{CoreConfig, Effect, Event, LiveView, LogEvent, Observability, State};
use valehatch_net::clients::{BacklogOwner, ClientLimits, Clients, RequestHandler};
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_net::upstream::Upstream;
use valehatch_net::{Clock, LoopControl, TurnStep};
use valehatch_policy::{Consistency, RequestClass, Span};
use valehatch_request_log::{OutcomeMetrics, RequestRecord};
use valehatch_snmp::instrumentation::CoreSnapshot;
use valehatch_state::Recorder;

use crate::error::StartError;
use crate::recovery::{SharedService, count_outcome};
use crate::resources::{request_memory, upstream_connections};

/// Time-out of health checks where the configured connect time-out does not fit into a [`Span`], in
/// milliseconds.
const DEFAULT_HEALTH_CHECK_TIMEOUT_MS: i64 = 250;

/// Who observes a front: the names in its records, the request log, and whether service is
/// complete.
pub(crate) struct Observer {
    /// Names of the front, its classes and its tenants.
    pub(crate) names: Arc<Observability>,
    /// Takes the records of requests.
    pub(crate) recorder: Recorder,
    /// Counts outcomes since the start.
    pub(crate) service: SharedService,
}

/// The settings of a front's admission queue; `quotas` are the tenants' weights.
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

/// What one front is made of.
pub(crate) struct FrontParts {
    /// Its settings, with the names that clients use.
    pub(crate) site: Site,
    /// Its descriptors.
    pub(crate) descriptors: usize,
    /// Its memory, in MiB.
    pub(crate) memory_mb: usize,
    /// The seed of its random choices.
    pub(crate) seed: u64,
    /// Where its clients connect.
    pub(crate) listener: TcpListener,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Its protocol towards clients.
    pub(crate) handler: Arc<dyn RequestHandler>,
    /// Its protocol towards endpoints.
    pub(crate) upstream: Box<dyn Upstream>,
    /// Counts its connections.
    pub(crate) connections: Arc<SharedConnectionLimiter>,
    /// Requests that may be in flight at once, where that is not one for each upstream connection.
    pub(crate) max_in_flight: Option<usize>,
    /// The queue of its core.
    pub(crate) inbox: (Sender<Event>, Receiver<Event>),
    /// Who observes it, if anybody does.
    pub(crate) observer: Option<Observer>,
    /// Its admission queue, if it has one.
    pub(crate) admission: Option<valehatch_admission::Settings>,
    /// Its counters, if they are read.
    pub(crate) metrics: Option<Arc<OutcomeMetrics>>,
    /// Counts what the core denies, by reason.
    pub(crate) decisions: Arc<Decisions>,
    /// Where its core publishes its view.
    pub(crate) board: Arc<ArcSwapOption<CoreSnapshot>>,
}

/// A front that listens.
pub(crate) struct Front {
    state: State,
    upstream: Box<dyn Upstream>,
    clients: Arc<Clients>,
    inbox: Receiver<Event>,
    clock: Clock,
    observer: Option<Observer>,
    board: Arc<ArcSwapOption<CoreSnapshot>>,
}

impl Front {
    /// Makes the core and listens.
    ///
    /// # Errors
    /// The settings contradict each other, or no thread can be started.
    pub(crate) fn listen(parts: FrontParts) -> Result<Self, StartError> {
        let health_check_timeout_ms = i64::try_from(parts.site.connect_timeout_ms);
        let connection_limit = upstream_connections(parts.descriptors);
        let has_observer = parts.observer.is_some() || parts.metrics.is_some();
        let config = CoreConfig {
            settings: parts.site.settings,
            decisions: parts.decisions,
            trace_requests: tracing::enabled!(tracing::Level::DEBUG),
            admission: parts.admission,
            metrics: parts.metrics,
            observability: parts.observer.as_ref().map(|o| Arc::clone(&o.names)),
            upstream_connection_limit: parts.max_in_flight.unwrap_or(connection_limit),
            health_check_timeout: Span::from_millis(
                health_check_timeout_ms.unwrap_or(DEFAULT_HEALTH_CHECK_TIMEOUT_MS),
            ),
        };
        let state = State::new(config, parts.seed).map_err(StartError::configuration)?;
        let limits = ClientLimits {
            memory_bytes: request_memory(parts.memory_mb * 1024 * 1024),
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
        })
    }

    /// Its clients; they are served beside the event loop.
    pub(crate) fn clients(&self) -> Arc<Clients> {
        Arc::clone(&self.clients)
    }

    /// Serves until it has stopped.
    pub(crate) fn run(self) {
        let Self {
            mut state,
            upstream,
            clients,
            inbox,
            clock,
            observer,
            board,
        } = self;
        let mut effects = EffectRunner {
            upstream,
            clients,
            clock,
            observer,
            board,
            inbox: inbox.clone(),
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

/// Carries out the core's effects.
struct EffectRunner {
    upstream: Box<dyn Upstream>,
    clients: Arc<Clients>,
    clock: Clock,
    observer: Option<Observer>,
    board: Arc<ArcSwapOption<CoreSnapshot>>,
    inbox: Receiver<Event>,
}

impl EffectRunner {
    /// Carries out one effect.
    fn run(&mut self, effect: Effect) -> LoopControl {
        match effect {
            Effect::Connect {
                connection,
                address,
            } => self.upstream.connect(connection, &address),
            Effect::Submit { connection, job } => self.upstream.submit(connection, job),
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
            } => self.clients.answer(client, ticket, answer, after),
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
        LogEvent::InvalidQuotas(error) => warn!(%error, "tenant quotas rejected, keeping the old"),
        LogEvent::UpstreamConnectionsExhausted(limit) => {
            warn!(limit, "all upstream connections are in use");
        }
        LogEvent::InvariantViolated {
            denial,
            request,
            endpoint,
        } => {
            error!(%request, %endpoint, "invariant violated: {}; it was not sent", denial.name());
        }
        LogEvent::RequestStep { request, step } => debug!(%request, "{step:?}"),
    }
}
