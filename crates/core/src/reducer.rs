//! The reducer: [`State::reduce`] turns events into effects and is the only way to change the
//! state.
//!
//! | event | handler |
//! | --- | --- |
//! | `EndpointList` | `endpoints.rs`, `on_endpoint_list` |
//! | `ClientConnected`, `ClientDisconnected` | `client_connections.rs` |
//! | `RequestReceived` | `requests.rs`, `on_request` |
//! | `RequestRejected`, `RequestAbandoned` | `outcomes.rs`, `on_request_not_accepted` |
//! | `ResponseStarted`, `AttemptEnded` | `attempts.rs` |
//! | `UpstreamConnectionLimit` | `upstream_connections.rs` |
//! | `TenantQuotas` | the admission queue |
//! | `GatewayCount`, `PeerProcess`, `ClockCorrected` | the policy |
//! | `ShutdownRequested`, `HandoffStarted` | `shutdown.rs` |
//! | `PublishView` | `live_view.rs` |
//!
//! Accepted requests pass `response_memory.rs` and the admission queue before the policy sees them.
//!
//! Times are whole microseconds of the process's monotonic clock. Open requests are bounded by
//! `max_open_requests` in the settings, upstream connections by `upstream_connection_limit`, and
//! endpoints by the endpoint list.

use std::collections::{BTreeMap, BTreeSet};

use valehatch_admission::{AdmissionDecision, AdmissionQueue};
use valehatch_policy::{
    Action, EndpointId, PeerProcess, PolicyEvent, RequestId, Router, SettingsError, Time,
};

use crate::attempts::{AfterReply, AttemptId, SendOrder};
use crate::client_connections::ClientConnection;
use crate::endpoints::{EndpointAddress, ListCoverage};
use crate::live_view::RequestRates;
use crate::messages::{ClientId, ConnectionId, CoreConfig, Effect, Event, LogEvent};
use crate::request_names::RequestNames;
use crate::requests::{PendingRequest, ReplyTo};
use crate::shutdown::ShutdownState;
use crate::timers::{ScheduledTimer, Timer};
use crate::upstream_connections::{IdleConnection, UpstreamConnection};

/// The state of one gateway front: requests, attempts, connections, endpoints, timers.
pub struct State {
    pub(crate) router: Router,
    pub(crate) config: CoreConfig,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    /// Client-assigned names of the open requests; duplicates are rejected.
    pub(crate) names: RequestNames,
    /// Whether another process of this gateway serves requests.
    pub(crate) peer_process: PeerProcess,
    /// Connection that carries each attempt in flight.
    pub(crate) attempts: BTreeMap<AttemptId, ConnectionId>,
    pub(crate) connections: BTreeMap<ConnectionId, UpstreamConnection>,
    /// Index of the idle entries of `connections`, by endpoint.
    pub(crate) idle_connections: BTreeMap<EndpointId, BTreeSet<IdleConnection>>,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointAddress>,
    /// Endpoints that accept new requests.
    pub(crate) ready_endpoints: BTreeSet<EndpointId>,
    pub(crate) clients: BTreeMap<ClientId, ClientConnection>,
    /// Clients with requests that are held until there is memory for their responses.
    pub(crate) clients_with_held: BTreeSet<ClientId>,
    /// The client whose held request was considered last.
    pub(crate) last_client_scheduled: ClientId,
    pub(crate) held_timer_set: bool,
    pub(crate) timers: BTreeSet<ScheduledTimer>,
    /// Events for the policy in the next turn, since each turn steps the policy only once.
    pub(crate) pending_events: Vec<PolicyEvent>,
    pub(crate) next_request: u64,
    pub(crate) next_connection: u64,
    /// Queue in which accepted requests wait before they are passed to the policy, if one is
    /// configured.
    pub(crate) admission: Option<AdmissionQueue>,
    /// Decisions of the admission queue that have not been applied yet.
    pub(crate) admission_decisions: Vec<AdmissionDecision>,
    pub(crate) capacity_reported_at: Time,
    pub(crate) admission_timer_set: bool,
    pub(crate) shutdown: ShutdownState,
    pub(crate) turns: u64,
    pub(crate) rates: RequestRates,
}

impl State {
    /// Creates a state that knows no endpoints yet. `seed` determines the random choices of the
    /// policy and the admission queue.
    ///
    /// # Errors
    /// The policy rejects the settings.
    pub fn new(config: CoreConfig, seed: u64) -> Result<Self, SettingsError> {
        let mut timers = BTreeSet::from([ScheduledTimer {
            at: Time(0),
            timer: Timer::SweepIdleConnections,
        }]);
        if config.observability.is_some() {
            timers.insert(ScheduledTimer {
                at: Time(0),
                timer: Timer::PublishView,
            });
        }
        let admission = config.admission.clone();
        Ok(Self {
            router: Router::new(config.settings.clone(), seed)?,
            admission: admission.map(|settings| AdmissionQueue::new(settings, seed)),
            rates: RequestRates::new(config.settings.tenants.len()),
            config,
            requests: BTreeMap::new(),
            names: RequestNames::default(),
            peer_process: PeerProcess::Gone,
            attempts: BTreeMap::new(),
            connections: BTreeMap::new(),
            idle_connections: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            ready_endpoints: BTreeSet::new(),
            clients: BTreeMap::new(),
            clients_with_held: BTreeSet::new(),
            last_client_scheduled: ClientId(0),
            held_timer_set: false,
            timers,
            pending_events: vec![],
            next_request: 0,
            next_connection: 0,
            admission_decisions: vec![],
            capacity_reported_at: Time(0),
            admission_timer_set: false,
            shutdown: ShutdownState::Serving,
            turns: 0,
        })
    }

    /// Time at which the next turn is due even if no event arrives; a time in the past means
    /// immediately.
    pub fn next_due(&self) -> Option<Time> {
        if !self.pending_events.is_empty() {
            return Some(Time(0));
        }
        self.timers.first().map(|timer| timer.at)
    }

    /// Runs one turn: handles `events` and the timers that are due at `now`, steps the policy once,
    /// and appends the resulting effects to `effects` in the order in which they must be carried
    /// out.
    pub fn reduce(&mut self, now: Time, events: Vec<Event>, effects: &mut Vec<Effect>) {
        self.turns += 1;
        let mut policy_events = self.take_pending_events();
        for event in events {
            self.on_event(now, event, &mut policy_events, effects);
        }
        while let Some(timer) = self.pop_due_timer(now) {
            self.on_timer(now, timer, &mut policy_events, effects);
        }
        self.apply_admission_decisions(now, &mut policy_events, effects);
        let mut actions = vec![];
        self.router.step(now, &policy_events, &mut actions);
        for action in actions {
            self.apply_action(now, action, effects);
        }
        self.report_capacity(now);
        // This turn's answers may have freed capacity. Requests that are admitted into it are
        // passed to the policy in the next turn, which runs immediately.
        let mut admitted = vec![];
        self.apply_admission_decisions(now, &mut admitted, effects);
        self.pending_events.extend(admitted);
        if let Some(metrics) = &self.config.metrics {
            metrics.set_gauges(
                self.requests.len(),
                self.endpoints.len(),
                self.router.avoided(),
            );
        }
        if self.shutdown.is_closing() && self.clients.is_empty() {
            effects.push(Effect::Exit);
        }
    }

    /// Takes the events that the previous turn left for the policy. A request may have ended after
    /// the end of its attempt was recorded, so `request_ended` is updated here.
    fn take_pending_events(&mut self) -> Vec<PolicyEvent> {
        let mut events = std::mem::take(&mut self.pending_events);
        for event in &mut events {
            if let PolicyEvent::AttemptEnded(end) = event {
                end.request_ended |= !self.requests.contains_key(&end.request);
            }
        }
        events
    }

    fn on_event(
        &mut self,
        now: Time,
        event: Event,
        policy_events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            Event::EndpointList {
                complete,
                endpoints,
            } => {
                let coverage = ListCoverage::from_complete(complete);
                self.on_endpoint_list(now, coverage, endpoints, policy_events, effects);
            }
            Event::ClientConnected(client) => self.on_client_connected(client),
            Event::ClientDisconnected(client) => {
                self.on_client_disconnected(now, client, policy_events, effects);
            }
            Event::RequestReceived {
                client,
                ticket,
                request,
            } => {
                let reply_to = ReplyTo { client, ticket };
                policy_events.extend(self.on_request(now, reply_to, request, effects));
            }
            Event::RequestRejected {
                class,
                tenant,
                group,
                reason,
            } => self.on_request_not_accepted(now, class, tenant, group, Some(reason), effects),
            Event::RequestAbandoned {
                class,
                tenant,
                group,
            } => self.on_request_not_accepted(now, class, tenant, group, None, effects),
            Event::ResponseStarted(connection) => {
                policy_events.extend(self.on_response_started(now, connection, effects));
            }
            Event::AttemptEnded {
                connection,
                reply,
                reusable,
            } => {
                let after_reply = AfterReply::from_reusable(reusable);
                policy_events.extend(self.on_reply(now, connection, reply, after_reply, effects));
            }
            Event::PeerProcess(peer) => {
                self.on_peer_process(peer, effects);
                policy_events.push(PolicyEvent::PeerProcess(peer));
            }
            Event::PeerRequestNames(names) => self.on_peer_request_names(now, names),
            Event::GatewayCount(count) => policy_events.push(PolicyEvent::RouterCount(count)),
            Event::ClockCorrected(by) => policy_events.push(PolicyEvent::ClockCorrected(by)),
            Event::TenantQuotas(quotas) => self.on_tenant_quotas(&quotas, effects),
            Event::UpstreamConnectionLimit(limit) => self.on_connection_limit(limit, effects),
            Event::PublishView => self.publish_view(now, effects),
            Event::ShutdownRequested => self.on_shutdown_requested(now),
            Event::HandoffStarted => self.on_handoff_started(now),
        }
    }

    fn on_tenant_quotas(&mut self, quotas: &[f64], effects: &mut Vec<Effect>) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        if let Err(mismatch) = admission.set_quotas(quotas) {
            effects.push(Effect::Log(LogEvent::InvalidQuotas(mismatch)));
        }
    }

    /// Carries out an action of the policy. Actions for a request whose response is being streamed
    /// are ignored.
    fn apply_action(&mut self, now: Time, action: Action, effects: &mut Vec<Effect>) {
        if let Action::Send { request, .. }
        | Action::Cancel { request, .. }
        | Action::Reject { request, .. }
        | Action::Fail { request, .. } = &action
            && self.streaming_connection(*request).is_some()
        {
            return;
        }
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
                send_before,
            } => {
                let order = SendOrder {
                    request,
                    endpoint,
                    timeout,
                    send_before,
                };
                self.send(now, &order, effects);
            }
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(now, AttemptId { request, attempt }, effects);
            }
            Action::Reject {
                request,
                retry_after,
                why,
            } => self.reject_request(now, request, retry_after, why, effects),
            Action::Fail { request, .. } => self.fail_request(now, request, effects),
            Action::HealthCheck { endpoint } => self.check_health(now, endpoint, effects),
            // The fronts watch the endpoint list continuously.
            Action::RefreshEndpointList => {}
            Action::SetTimer { at, token } => self.set_timer(at, Timer::Policy(token)),
        }
    }
}
