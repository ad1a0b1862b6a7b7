//! The decision module: events of one moment in, actions out.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::endpoint::Node;
use crate::events::*;
use crate::group::Group;
use crate::ids::*;
use crate::scheduling::Open;
use crate::settings::*;
use crate::slow_start::ClassCosts;
use crate::time::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeMap, VecDeque};

/// Decides for one router. See [`Router::step`].
#[derive(Debug)]
pub struct Router {
    pub(crate) cfg: Settings,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) now: Time,
    pub(crate) endpoints: BTreeMap<EndpointId, Node>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) sessions: BTreeMap<SessionKey, Time>,
    pub(crate) session_order: VecDeque<(SessionKey, Time)>,
    pub(crate) session_floor: Option<Time>,
    /// What requests of each class cost an endpoint in slow start.
    pub(crate) costs: ClassCosts,
    /// Answers of warm nodes of late for their size, fading over the time in which a node gets warm.
    pub(crate) served: f64,
    pub(crate) served_at: Time,
    /// Worth for its work of what comes in.
    pub(crate) usual_value: f64,
    pub(crate) class_deviation: Vec<f64>,
    pub(crate) class_latency: Vec<f64>,
    pub(crate) probe_latency: f64,
    /// Positions that primaries have told since the start.
    pub(crate) clock_told: u32,
    pub(crate) ask_at: Option<Time>,
    pub(crate) ask_gap: Span,
    pub(crate) wake_at: Option<Time>,
}

impl Router {
    /// A router that knows nothing yet.
    ///
    /// # Errors
    /// Settings that cannot be worked with.
    pub fn new(cfg: Settings, seed: u64) -> Result<Self, SettingsError> {
        if cfg.classes.is_empty()
            || cfg.routers == 0
            || cfg.limits.max_attempts == 0
            || cfg.tick.0 <= 0
        {
            return Err(SettingsError(
                "classes, routers, max_attempts and tick must be above 0".into(),
            ));
        }
        let class_latency: Vec<f64> = cfg
            .classes
            .iter()
            .map(|c| (c.latency_objective.as_f64() / 4.0).max(1.0))
            .collect();
        Ok(Self {
            costs: ClassCosts::new(&class_latency),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: Time(i64::MIN),
            endpoints: BTreeMap::new(),
            groups: BTreeMap::new(),
            open: BTreeMap::new(),
            sessions: BTreeMap::new(),
            session_order: VecDeque::new(),
            session_floor: None,
            served: 0.0,
            served_at: Time(i64::MIN),
            usual_value: 0.0,
            class_deviation: cfg
                .classes
                .iter()
                .map(|c| c.latency_objective.as_f64() / 8.0)
                .collect(),
            class_latency,
            probe_latency: cfg.tick.as_f64(),
            clock_told: 0,
            ask_at: (cfg.discovery_mode == DiscoveryMode::Poll).then_some(Time(i64::MIN)),
            ask_gap: Span(cfg.rules.max_poll_interval.0 / 16),
            wake_at: None,
            cfg,
        })
    }

    /// Takes all events of one moment and appends what is to be done, in order.
    pub fn step(&mut self, now: Time, events: &[PolicyEvent], actions: &mut Vec<Action>) {
        let now = self.now.max(now);
        self.now = now;
        for event in events {
            match event {
                PolicyEvent::EndpointList { complete, entries } => self.on_list(*complete, entries),
                PolicyEvent::DiscoveryFailed => self.on_list_failed(),
                PolicyEvent::Request(request) => self.on_request(request),
                PolicyEvent::ResponseStarted(id) => self.on_streaming(*id),
                PolicyEvent::AttemptEnded(end) => self.on_ended(end, actions),
                PolicyEvent::ClientDisconnected(id) => self.finish(*id, actions),
                PolicyEvent::ClockCorrected(by) => self.on_clock_corrected(*by),
                PolicyEvent::RouterCount(count) => self.on_routers((*count).max(1)),
                PolicyEvent::Timer(_) => self.wake_at = self.wake_at.filter(|at| *at > self.now),
                PolicyEvent::HealthCheckEnded {
                    endpoint,
                    outcome,
                    latency,
                    report,
                } => {
                    self.on_probed(*endpoint, *outcome, *latency, report.as_ref());
                }
            }
        }
        actions.extend(
            self.ask_at
                .take_if(|at| *at <= now)
                .map(|_| Action::RefreshEndpointList),
        );
        self.tend_health(actions);
        let wanted = |(id, g): (&GroupId, &Group)| (!g.waiting.is_empty()).then_some(*id);
        // Any number may come from a client: a group that holds nothing is forgotten.
        self.groups
            .retain(|_, g| !(g.members.is_empty() && g.waiting.is_empty()));
        for group in self.groups.iter().filter_map(wanted).collect::<Vec<_>>() {
            self.tend_search(group, actions);
            self.tend_waiting(group, actions);
        }
        self.set_timer(actions);
    }

    /// Where more share the nodes, each keeps its part of what it has: two of a limit, as one is for writes.
    pub(crate) fn on_routers(&mut self, count: u32) {
        let part = (f64::from(self.cfg.routers) / f64::from(count)).min(1.0);
        self.endpoints
            .values_mut()
            .for_each(|n| n.limit = n.limit.min((n.limit * part).max(2.0)));
        (self.cfg.routers, self.served) = (count, self.served * part);
    }

    /// Positions that were told right behind the correction are moved by it too: where that makes them older they stay, and
    /// where it would make them newer they are forgotten.
    pub(crate) fn on_clock_corrected(&mut self, by: Span) {
        let now = self.now;
        for endpoint in self.endpoints.values_mut() {
            endpoint.started = endpoint.started.map(|at| at + by);
            endpoint.role = endpoint.role.map(|(role, told)| (role, told.min(now)));
            endpoint.position = endpoint
                .position
                .filter(|_| by <= Span(0))
                .map(|at| at + by);
            // Where the clock was ahead, all data looked older than it is; where it was behind, such times never came so far.
            endpoint.lag = Span((endpoint.lag - by.max(Span(0))).0.max(0));
        }
        self.sessions.values_mut().for_each(|at| *at = *at + by);
        self.session_order
            .iter_mut()
            .for_each(|(_, at)| *at = *at + by);
        self.session_floor = self.session_floor.map(|at| at + by);
        self.open
            .values_mut()
            .for_each(|open| open.floor = open.floor.map(|at| at + by));
    }

    pub(crate) fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Looks again soon while something waits, else when what is out would count as silence.
    pub(crate) fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let waits = self.groups.values().any(|g| !g.waiting.is_empty());
        let soon = waits.then(|| self.now + Span(self.cfg.tick.0 * 2));
        let silence = self
            .endpoints
            .values()
            .filter_map(|n| self.silence(n))
            .min();
        let silence = silence.map(|at| at.max(self.now) + self.cfg.tick);
        let at = soon.into_iter().chain(silence).chain(self.ask_at).min();
        if let Some(at) = at.filter(|at| self.wake_at.is_none_or(|w| *at < w)) {
            self.wake_at = Some(at);
            actions.push(Action::SetTimer { at, token: 0 });
        }
    }
}
