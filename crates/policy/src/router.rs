//! The step of the decision module: takes the events of one moment, returns the actions that follow
//! from them and has no other effect.
//!
//! Inputs: [`PolicyEvent`]s and the time of the embedder's clock. State: [`Router`]; each module of
//! the package owns a part of it and documents how that part is bounded. Units: microseconds. The
//! same settings, seed and events give the same actions.

use std::collections::BTreeMap;

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::endpoint::Endpoint;
use crate::endpoint_list::ListPolling;
use crate::events::{Action, PolicyEvent};
use crate::group::Group;
use crate::health_checks::ClockComparison;
use crate::ids::{EndpointId, GroupId, RequestId};
use crate::latency::{DecayingValue, LatencyEstimates};
use crate::load_shedding::LoadShedding;
use crate::scheduling::PendingRequest;
use crate::sessions::SessionStore;
use crate::settings::{SessionTracking, Settings, SettingsError};
use crate::slow_start::ClassCosts;
use crate::time::{Span, Time};

/// Ticks until the next step while a request waits.
const WAITING_STEP_TICKS: i64 = 2;
/// Token of every timer. The router has at most one timer at a time and does not have to tell
/// timers apart.
const TIMER_TOKEN: u64 = 0;

/// The decision module of one router. All of its work is done in [`Router::step`].
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    random: Xoshiro256PlusPlus,
    /// Time of the last step; never decreases.
    pub(crate) now: Time,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    /// Requests without a final answer.
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    pub(crate) sessions: SessionStore,
    pub(crate) class_costs: ClassCosts,
    pub(crate) latencies: LatencyEstimates,
    /// Decaying count of responses from endpoints at full capacity, per unit of endpoint weight.
    pub(crate) warm_responses: DecayingValue,
    pub(crate) load_shedding: LoadShedding,
    pub(crate) clock_comparison: ClockComparison,
    pub(crate) list_polling: ListPolling,
    /// When the timer expires, if one is set.
    timer_at: Option<Time>,
}

impl Router {
    /// Creates a router without endpoints. `seed` determines its random choices.
    ///
    /// # Errors
    /// [`SettingsError`] if there is no class, or if the number of routers, the maximum number of
    /// attempts or the tick is not above 0.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let latencies = LatencyEstimates::new(&settings);
        Ok(Self {
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: Time(i64::MIN),
            endpoints: BTreeMap::new(),
            groups: BTreeMap::new(),
            pending: BTreeMap::new(),
            sessions: SessionStore::default(),
            class_costs: ClassCosts::new(latencies.means()),
            latencies,
            warm_responses: DecayingValue {
                value: 0.0,
                set_at: Time(i64::MIN),
            },
            load_shedding: LoadShedding::default(),
            clock_comparison: ClockComparison::default(),
            list_polling: ListPolling::new(&settings),
            timer_at: None,
            settings,
        })
    }

    /// Processes all events of one moment and appends the resulting actions, in the order in which
    /// they are to be carried out. A `now` before that of an earlier step counts as the time of
    /// that step.
    pub fn step(&mut self, now: Time, events: &[PolicyEvent], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            self.on_event(event, actions);
        }
        self.run_list_polling(actions);
        self.run_outlier_detection(actions);
        self.forget_empty_groups();
        for group in self.groups_with_waiting_requests() {
            self.run_primary_search(group, actions);
            self.run_waiting_requests(group, actions);
        }
        self.set_timer(actions);
    }

    fn on_event(&mut self, event: &PolicyEvent, actions: &mut Vec<Action>) {
        match event {
            PolicyEvent::EndpointList { complete, entries } => {
                self.on_endpoint_list(*complete, entries);
            }
            PolicyEvent::DiscoveryFailed => self.on_discovery_failed(),
            PolicyEvent::Request(request) => self.on_request(request),
            PolicyEvent::ResponseStarted(request) => self.on_response_started(*request),
            PolicyEvent::AttemptEnded(end) => self.on_attempt_ended(end, actions),
            PolicyEvent::ClientDisconnected(request) => self.finish(*request, actions),
            PolicyEvent::RouterCount(count) => self.on_router_count(*count),
            PolicyEvent::PeerProcess(peer) => self.sessions.on_peer_process(*peer, self.now),
            PolicyEvent::ClockCorrected(by) => self.on_clock_corrected(*by),
            PolicyEvent::Timer(_) => self.on_timer(),
            PolicyEvent::HealthCheckEnded {
                endpoint,
                outcome,
                latency,
                report,
            } => self.on_health_check_ended(*endpoint, *outcome, *latency, report.as_ref()),
        }
    }

    /// Reduces the concurrency limits and the estimate of this router's traffic in proportion if
    /// more routers share the endpoints than before.
    fn on_router_count(&mut self, count: u32) {
        let count = count.max(1);
        let remaining = (f64::from(self.settings.routers) / f64::from(count)).min(1.0);
        for endpoint in self.endpoints.values_mut() {
            endpoint.scale_concurrency_limit(remaining);
        }
        self.warm_responses.value *= remaining;
        self.settings.routers = count;
    }

    /// Moves all times of the cluster's clock by the correction. A position that was reported right
    /// after the correction is moved as well: a position that becomes older remains a valid lower
    /// bound, and one that would become newer is dropped.
    fn on_clock_corrected(&mut self, by: Span) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.on_clock_corrected(by, self.now);
        }
        self.sessions.on_clock_corrected(by);
        let required_by = match self.settings.sessions {
            SessionTracking::ClientProvided => by,
            SessionTracking::RouterTracked => SessionStore::correction_of_required(by),
        };
        for request in self.pending.values_mut() {
            let required = &mut request.session_position;
            *required = required.map(|position| position + required_by);
        }
    }

    /// Clients may name any group, so a group without endpoints is kept only while a request waits
    /// in it.
    fn forget_empty_groups(&mut self) {
        self.groups.retain(|_, group| !group.is_empty());
    }

    fn groups_with_waiting_requests(&self) -> Vec<GroupId> {
        self.groups
            .iter()
            .filter(|(_, group)| !group.waiting.is_empty())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns a uniformly distributed random number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn random(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn on_timer(&mut self) {
        if self.timer_at.is_some_and(|at| at <= self.now) {
            self.timer_at = None;
        }
    }

    /// Sets the timer for the next step: the earliest of a few ticks from now if a request waits,
    /// the moment when an endpoint becomes unresponsive, and the next poll of the list.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let Some(at) = self.next_step_at() else {
            return;
        };
        if self.timer_at.is_none_or(|timer_at| at < timer_at) {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer {
                at,
                token: TIMER_TOKEN,
            });
        }
    }

    fn next_step_at(&self) -> Option<Time> {
        let tick = self.settings.tick;
        let is_waiting = self.groups.values().any(|group| !group.waiting.is_empty());
        let retry_at = is_waiting.then(|| self.now + tick * WAITING_STEP_TICKS);
        let unresponsive_at = self
            .endpoints
            .values()
            .filter_map(|endpoint| self.unresponsive_at(endpoint))
            .min();
        let ejection_at = unresponsive_at.map(|at| at.max(self.now) + tick);
        [retry_at, ejection_at, self.list_polling.next_poll_at()]
            .into_iter()
            .flatten()
            .min()
    }
}
