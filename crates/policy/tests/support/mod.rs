//! A scripted environment of a router: passes events to it, and checks the actions that it returns.
//! Each request gets one final answer in time; no request runs twice unless its class allows that;
//! draining and removed endpoints get no requests; no read is served from data that is too old for
//! it; and no request has more attempts than allowed.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use valehatch_policy::*;

pub(crate) const WRITE: ClassId = ClassId(0);
pub(crate) const KEYED: ClassId = ClassId(1);
pub(crate) const STRONG: ClassId = ClassId(2);
pub(crate) const SESSION: ClassId = ClassId(3);
pub(crate) const BOUNDED: ClassId = ClassId(4);
pub(crate) const EVENTUAL: ClassId = ClassId(5);
pub(crate) const ALL_KEYED: ClassId = ClassId(6);

pub(crate) fn ms(n: i64) -> Span {
    Span::from_millis(n)
}

pub(crate) fn settings() -> Settings {
    let class = |consistency, idempotency| RequestClass {
        consistency,
        idempotency,
        latency_objective: ms(600),
        latency_objective_stretch: 0.0,
        deadline: ms(3000),
        priority_weight: 1.0,
        late_priority_weight: 0.3,
    };
    Settings {
        classes: vec![
            class(Consistency::Write, Idempotency::NonIdempotent),
            class(
                Consistency::Write,
                Idempotency::IdempotencyKey {
                    scope: DedupScope::Group,
                    window: ms(2000),
                },
            ),
            class(Consistency::Strong, Idempotency::Idempotent),
            class(Consistency::Session, Idempotency::Idempotent),
            class(
                Consistency::BoundedStaleness(ms(300)),
                Idempotency::Idempotent,
            ),
            class(Consistency::Eventual, Idempotency::Idempotent),
            class(
                Consistency::Write,
                Idempotency::IdempotencyKey {
                    scope: DedupScope::All,
                    window: ms(2000),
                },
            ),
        ],
        tenants: vec![],
        over_quota_priority_weight: None,
        discovery_mode: DiscoveryMode::Watch,
        listed_role: ListedRole::Trailing,
        stale_read_policy: StaleReadPolicy::Serve,
        sessions: SessionTracking::ClientProvided,
        routers: 2,
        zone: ZoneId(0),
        tick: ms(5),
        limits: Limits {
            cancel: true,
            health_checks: true,
            hedged_requests: false,
            retry_after: true,
            max_attempts: 8,
            max_retry_after: ms(500),
            max_open_requests: 1000,
            idle_connection_timeout: ms(15_000),
        },
        rules: Rules {
            max_poll_interval: ms(8000),
            slow_start_initial_capacity: 0.2,
            slow_start_duration: ms(10_000),
            overload_multiple: 2.0,
            overload_duration: ms(1500),
            removal_is_advisory: false,
        },
    }
}

#[derive(Default)]
struct TrackedRequest {
    class: usize,
    deadline: i64,
    session_position: Option<Time>,
    attempts: u32,
    in_flight: BTreeMap<u32, EndpointId>,
    may_have_run_since: Option<i64>,
    last_sent: i64,
    finished: bool,
}

pub(crate) struct Script {
    pub cfg: Settings,
    router: Router,
    pub now: Time,
    timer: Option<Time>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    unusable: BTreeSet<EndpointId>,
    primaries: BTreeSet<EndpointId>,
    reported_positions: BTreeMap<EndpointId, Time>,
    pub answers: BTreeMap<RequestId, Action>,
    pub sends: Vec<(RequestId, EndpointId)>,
    pub health_checks: Vec<EndpointId>,
    pub cancels: Vec<(RequestId, u32)>,
    pub polls: Vec<Time>,
    pub actions: Vec<(Time, Action)>,
}

pub(crate) fn record(id: u32, primary: bool, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        endpoint: EndpointId(id),
        group: GroupId(0),
        zone: ZoneId(0),
        kind: KindId(0),
        weight: 1.0,
        started: None,
        primary,
        state,
    }
}

impl Script {
    pub(crate) fn new(cfg: Settings) -> Self {
        Self::seeded(cfg, 7)
    }

    pub(crate) fn seeded(cfg: Settings, seed: u64) -> Self {
        let router = Router::new(cfg.clone(), seed).expect("valid settings");
        Self {
            cfg,
            router,
            now: Time(100_000_000),
            timer: None,
            requests: BTreeMap::new(),
            unusable: BTreeSet::new(),
            primaries: BTreeSet::new(),
            reported_positions: BTreeMap::new(),
            answers: BTreeMap::new(),
            sends: vec![],
            health_checks: vec![],
            cancels: vec![],
            polls: vec![],
            actions: vec![],
        }
    }

    /// Endpoints 1 to `n`, of which the list names `primary` as the primary. Every endpoint has
    /// reported a position 10 ms old.
    pub(crate) fn group(cfg: Settings, n: u32, primary: u32) -> Self {
        Self::group_seeded(cfg, n, primary, 7)
    }

    pub(crate) fn group_seeded(cfg: Settings, n: u32, primary: u32, seed: u64) -> Self {
        let mut script = Self::seeded(cfg, seed);
        script.list(
            true,
            (1..=n)
                .map(|i| record(i, i == primary, EndpointState::Ready))
                .collect(),
        );
        for i in 1..=n {
            script.report(i, 10, i == primary);
        }
        script
    }

    pub(crate) fn list(&mut self, complete: bool, entries: Vec<EndpointRecord>) {
        for e in &entries {
            if e.state == EndpointState::Ready {
                self.unusable.remove(&e.endpoint);
            } else {
                self.unusable.insert(e.endpoint);
            }
            if e.primary {
                self.primaries.insert(e.endpoint);
            }
        }
        self.step(&[PolicyEvent::EndpointList { complete, entries }]);
    }

    pub(crate) fn request(&mut self, id: u64, class: ClassId) {
        self.request_with(id, class, 3000, None);
    }

    pub(crate) fn request_with(
        &mut self,
        id: u64,
        class: ClassId,
        time_left_ms: i64,
        since_last_write: Option<i64>,
    ) {
        self.request_to(id, GroupId(0), class, time_left_ms, since_last_write);
    }

    /// Whether the debug output of the router's state contains `text`.
    pub(crate) fn debug_contains(&self, text: &str) -> bool {
        format!("{:?}", self.router).contains(text)
    }

    pub(crate) fn request_to(
        &mut self,
        id: u64,
        group: GroupId,
        class: ClassId,
        time_left_ms: i64,
        since_last_write: Option<i64>,
    ) {
        let request = Request {
            id: RequestId(id),
            session: Some(SessionKey(5)),
            time_left: ms(time_left_ms),
            group,
            class,
            tenant: None,
            work: None,
            is_client_retry: false,
            since_last_write: since_last_write.map(ms),
        };
        let session_position = request.since_last_write.map(|ago| self.now - ago);
        let deadline = self.now.0 + time_left_ms * 1000;
        self.requests.insert(
            request.id,
            TrackedRequest {
                class: class.0,
                deadline,
                session_position,
                ..TrackedRequest::default()
            },
        );
        self.step(&[PolicyEvent::Request(request)]);
    }

    /// Ends the attempt in flight of a request; outcome `Ok` ends the request as well.
    pub(crate) fn end(&mut self, id: u64, outcome: Outcome, role: Option<Role>) {
        self.end_with_position(id, outcome, role, None);
    }

    pub(crate) fn end_with_position(
        &mut self,
        id: u64,
        outcome: Outcome,
        role: Option<Role>,
        position: Option<Time>,
    ) {
        let event = self
            .end_event(id, outcome, role, position)
            .expect("an attempt is in flight");
        self.step(&[event]);
    }

    pub(crate) fn end_event(
        &mut self,
        id: u64,
        outcome: Outcome,
        role: Option<Role>,
        position: Option<Time>,
    ) -> Option<PolicyEvent> {
        let tracked = self.requests.get_mut(&RequestId(id))?;
        let (attempt, endpoint) = tracked.in_flight.pop_first()?;
        if !outcome.never_ran() {
            tracked.may_have_run_since.get_or_insert(tracked.last_sent);
        }
        let request_ended = outcome == Outcome::Ok || tracked.finished;
        tracked.finished |= request_ended;
        if role == Some(Role::Replica) {
            self.primaries.remove(&endpoint);
        } else if role == Some(Role::Primary) {
            self.primaries.insert(endpoint);
            // A primary is never behind, so it had every commit when the attempt was sent.
            let sent = Time(tracked.last_sent);
            let known = self.reported_positions.entry(endpoint).or_insert(sent);
            *known = sent.max(*known);
        }
        let latency = Span(self.now.0 - tracked.last_sent);
        let request = RequestId(id);
        let end = AttemptEnd {
            request,
            attempt,
            endpoint,
            outcome,
            request_ended,
            latency,
            role,
            position,
            report: None,
        };
        Some(PolicyEvent::AttemptEnded(end))
    }

    pub(crate) fn report(&mut self, endpoint: u32, age_ms: i64, primary: bool) {
        let position = self.now - ms(age_ms);
        let known = self
            .reported_positions
            .entry(EndpointId(endpoint))
            .or_insert(position);
        *known = position.max(*known);
        if primary {
            self.primaries.insert(EndpointId(endpoint));
        }
        let report = LoadReport {
            position: Some(position),
            primary: Some(primary),
            busy: None,
        };
        self.health_check_ended(endpoint, Outcome::Ok, Some(report));
    }

    pub(crate) fn health_check_ended(
        &mut self,
        endpoint: u32,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.step(&[PolicyEvent::HealthCheckEnded {
            endpoint: EndpointId(endpoint),
            outcome,
            latency: ms(1),
            report,
        }]);
    }

    /// Advances time in ticks: timers expire, and attempts in flight at their deadline time out.
    pub(crate) fn advance(&mut self, span_ms: i64) {
        let end = self.now + ms(span_ms);
        while self.now < end {
            self.now = self.now + self.cfg.tick;
            let mut events = vec![];
            if self.timer.is_some_and(|t| t <= self.now) {
                self.timer = None;
                events.push(PolicyEvent::Timer(0));
            }
            let expired: Vec<u64> = self
                .requests
                .iter()
                .filter(|(_, tracked)| !tracked.finished && self.now.0 >= tracked.deadline)
                .map(|(id, _)| id.0)
                .collect();
            for id in expired {
                events.extend(self.end_event(id, Outcome::Timeout, None, None));
            }
            if !events.is_empty() {
                self.step(&events);
            }
            for (id, tracked) in &self.requests {
                assert!(
                    tracked.finished || self.now.0 <= tracked.deadline + 20_000,
                    "{id:?} has no answer in time"
                );
            }
        }
    }

    pub(crate) fn step(&mut self, events: &[PolicyEvent]) {
        let mut actions = vec![];
        self.router.step(self.now, events, &mut actions);
        for action in actions {
            self.check(&action);
            self.actions.push((self.now, action));
        }
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                send_before,
                ..
            } => self.check_send(*request, *endpoint, *send_before),
            Action::Reject { request, .. } | Action::Fail { request, .. } => {
                let tracked = self
                    .requests
                    .get_mut(request)
                    .expect("the request was sent by this script");
                assert!(!tracked.finished, "two answers for {request:?}");
                let rejected = matches!(action, Action::Reject { .. });
                let safe = self.cfg.classes[tracked.class].idempotency == Idempotency::Idempotent;
                let ran = tracked.may_have_run_since.is_some() || !tracked.in_flight.is_empty();
                assert!(
                    !rejected || safe || !ran,
                    "{request:?} may have run and was rejected"
                );
                tracked.finished = true;
                self.answers.insert(*request, action.clone());
            }
            Action::Cancel { request, attempt } => self.cancels.push((*request, *attempt)),
            Action::HealthCheck { endpoint } => self.health_checks.push(*endpoint),
            Action::RefreshEndpointList => self.polls.push(self.now),
            Action::SetTimer { at, .. } => {
                self.timer = Some(self.timer.map_or(*at, |t| t.min(*at)))
            }
        }
    }

    fn check_send(&mut self, request: RequestId, endpoint: EndpointId, send_before: Option<Time>) {
        let tracked = self
            .requests
            .get_mut(&request)
            .expect("the request was sent by this script");
        let class = &self.cfg.classes[tracked.class];
        assert!(!tracked.finished, "{request:?} sent after its end");
        assert!(
            tracked.in_flight.is_empty(),
            "two attempts of {request:?} in flight"
        );
        assert!(
            !self.unusable.contains(&endpoint),
            "{request:?} sent to {endpoint:?}, which is draining or removed"
        );
        match (class.idempotency, tracked.may_have_run_since) {
            (Idempotency::NonIdempotent, Some(_)) => {
                panic!("{request:?} may have run and was retried")
            }
            (Idempotency::IdempotencyKey { window, .. }, Some(from)) => {
                assert!(
                    self.now.0 < from + window.0,
                    "{request:?} retried after its deduplication window"
                );
                let is_limited = send_before.is_some_and(|at| at.0 < from + window.0);
                assert!(
                    is_limited,
                    "a late connection may write {request:?} after its deduplication window"
                );
            }
            _ => {}
        }
        let required = match class.consistency {
            Consistency::BoundedStaleness(bound) => Some(self.now - bound),
            Consistency::Session => tracked.session_position,
            Consistency::Strong => Some(self.now),
            _ => None,
        };
        if self.cfg.stale_read_policy == StaleReadPolicy::Serve
            && required.is_some()
            && !self.primaries.contains(&endpoint)
        {
            let reported = self.reported_positions.get(&endpoint).copied();
            assert!(
                reported >= required,
                "{request:?} sent to {endpoint:?}, whose data is too old"
            );
            if let (Consistency::BoundedStaleness(bound), Some(reported)) =
                (class.consistency, reported)
            {
                let is_limited = send_before.is_some_and(|at| at <= reported + bound);
                assert!(
                    is_limited,
                    "a late connection may write {request:?} to {endpoint:?} when its data is too old"
                );
            }
        }
        assert!(
            tracked.attempts < self.cfg.limits.max_attempts,
            "more attempts than allowed"
        );
        tracked.in_flight.insert(tracked.attempts, endpoint);
        tracked.attempts += 1;
        tracked.last_sent = self.now.0;
        self.sends.push((request, endpoint));
    }

    /// Disconnects the client of a request; its attempts in flight still end.
    pub(crate) fn disconnect(&mut self, id: u64) {
        let Some(tracked) = self
            .requests
            .get_mut(&RequestId(id))
            .filter(|tracked| !tracked.finished)
        else {
            return;
        };
        tracked.finished = true;
        self.step(&[PolicyEvent::ClientDisconnected(RequestId(id))]);
    }

    /// Requests without a final answer.
    pub(crate) fn unfinished(&self) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, tracked)| !tracked.finished)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Endpoint of the last attempt of a request.
    pub(crate) fn sent_to(&self, id: u64) -> Option<u32> {
        self.sends
            .iter()
            .rev()
            .find(|(r, _)| r.0 == id)
            .map(|(_, n)| n.0)
    }

    pub(crate) fn rejected(&self, id: u64) -> bool {
        matches!(
            self.answers.get(&RequestId(id)),
            Some(Action::Reject { .. })
        )
    }

    pub(crate) fn failed(&self, id: u64) -> bool {
        matches!(self.answers.get(&RequestId(id)), Some(Action::Fail { .. }))
    }
}
