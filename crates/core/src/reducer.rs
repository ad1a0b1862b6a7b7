//! The reducer: [`State::reduce`] takes events and returns effects, and alone changes the state.
//!
//! | event | handler |
//! | --- | --- |
//! | `EndpointList` | `endpoints.rs`, `on_endpoint_list` |
//! | `ClientConnected`, `ClientDisconnected` | `client_connections.rs` |
//! | `RequestReceived` | `requests.rs`, `on_request` |
//! | `RequestRejected`, `RequestAbandoned` | `outcomes.rs`, `on_unaccepted` |
//! | `ResponseStarted`, `AttemptEnded` | `attempts.rs` |
//! | `UpstreamConnectionLimit` | `upstream_connections.rs` |
//! | `TenantQuotas` | the admission queue |
//! | `GatewayCount`, `ClockCorrected` | the policy |
//! | `ShutdownRequested`, `HandoffStarted` | `shutdown.rs` |
//! | `PublishView` | `live_view.rs` |
//!
//! Times are whole microseconds of the process's monotonic clock. Bounds: open requests by the
//! settings' `max_open_requests`, upstream connections by `upstream_connection_limit`, endpoints by
//! the endpoint list.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use valehatch_admission::{AdmissionDecision, AdmissionQueue};
use valehatch_policy::{Action, EndpointId, PolicyEvent, RequestId, Router, SettingsError, Time};

use crate::attempts::{AfterReply, AttemptId, SendOrder};
use crate::client_connections::ClientConnection;
use crate::endpoints::{EndpointAddress, ListCoverage};
use crate::live_view::RequestRates;
use crate::messages::{ClientId, ConnectionId, CoreConfig, Effect, Event, LogEvent};
use crate::requests::{PendingRequest, ReplyTo};
use crate::shutdown::ShutdownState;
use crate::timers::{ScheduledTimer, Timer};
use crate::upstream_connections::{IdleConnection, UpstreamConnection};

/// The state of one gateway front: requests, attempts, connections, endpoints, timers.
pub struct State {
    pub(crate) router: Router,
    pub(crate) config: CoreConfig,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    /// The clients' names of open requests.
    pub(crate) open_names: BTreeSet<Arc<str>>,
    /// The connection of each attempt in flight.
    pub(crate) attempts: BTreeMap<AttemptId, ConnectionId>,
    pub(crate) connections: BTreeMap<ConnectionId, UpstreamConnection>,
    /// The idle ones of `connections`, by endpoint.
    pub(crate) idle_connections: BTreeMap<EndpointId, BTreeSet<IdleConnection>>,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointAddress>,
    /// Endpoints that take new requests.
    pub(crate) ready_endpoints: BTreeSet<EndpointId>,
    pub(crate) clients: BTreeMap<ClientId, ClientConnection>,
    pub(crate) timers: BTreeSet<ScheduledTimer>,
    /// What the policy receives in the next turn: each turn steps it once.
    pub(crate) pending_events: Vec<PolicyEvent>,
    pub(crate) next_request: u64,
    pub(crate) next_connection: u64,
    /// Where accepted requests wait before the policy learns of them.
    pub(crate) admission: Option<AdmissionQueue>,
    /// What the queue has decided and was not applied yet.
    pub(crate) admission_decisions: Vec<AdmissionDecision>,
    pub(crate) capacity_reported_at: Time,
    pub(crate) admission_timer_set: bool,
    pub(crate) shutdown: ShutdownState,
    pub(crate) turns: u64,
    pub(crate) rates: RequestRates,
}

impl State {
    /// A state that knows no endpoints yet. The seed decides the random choices of the policy and
    /// the queue.
    ///
    /// # Errors
    /// Settings that the policy cannot work with.
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
            open_names: BTreeSet::new(),
            attempts: BTreeMap::new(),
            connections: BTreeMap::new(),
            idle_connections: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            ready_endpoints: BTreeSet::new(),
            clients: BTreeMap::new(),
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

    /// When the next turn is due even if nothing comes in; a time in the past means at once.
    pub fn next_due(&self) -> Option<Time> {
        if !self.pending_events.is_empty() {
            return Some(Time(0));
        }
        self.timers.first().map(|timer| timer.at)
    }

    /// One turn: handles the events up to `now` and the timers that are due, steps the policy once,
    /// and adds what is to be done to `effects`, in order.
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
        // Requests admitted into capacity that this turn's answers freed reach the policy with the
        // next turn, which comes at once.
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

    /// What the last turn left for the policy. A request may have ended since an end of its attempt
    /// was noted.
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
            } => self.on_unaccepted(now, class, tenant, group, Some(reason), effects),
            Event::RequestAbandoned {
                class,
                tenant,
                group,
            } => self.on_unaccepted(now, class, tenant, group, None, effects),
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

    /// Carries out what the policy orders. A request whose response is being streamed is out of its
    /// hands.
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
            // The fronts watch the endpoint list all the time.
            Action::RefreshEndpointList => {}
            Action::SetTimer { at, token } => self.set_timer(at, Timer::Policy(token)),
        }
    }
}
