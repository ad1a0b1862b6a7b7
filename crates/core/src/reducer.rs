//! The reducer: events in, effects out.

use crate::prelude::*;

/// All that a gateway knows.
pub struct State {
    pub(crate) router: Router,
    pub(crate) facts: CoreConfig,
    pub(crate) requests: BTreeMap<RequestId, Held>,
    /// The names of the requests that are open.
    pub(crate) names: BTreeSet<Arc<str>>,
    pub(crate) attempts: BTreeMap<(RequestId, u32), ConnectionId>,
    pub(crate) conns: BTreeMap<ConnectionId, Conn>,
    /// Those of each member that carry nothing, by when they last did.
    pub(crate) idle: BTreeMap<EndpointId, BTreeSet<(Time, ConnectionId)>>,
    /// Names and addresses.
    pub(crate) members: BTreeMap<EndpointId, (Arc<str>, Arc<str>)>,
    /// Those of them that take new work.
    pub(crate) ready: BTreeSet<EndpointId>,
    pub(crate) clients: BTreeMap<ClientId, Client>,
    pub(crate) due: BTreeSet<(Time, Due)>,
    /// What the router is told on the next turn: a turn steps it once.
    pub(crate) pending: Vec<PolicyEvent>,
    pub(crate) next_request: u64,
    pub(crate) next_conn: u64,
    /// Where requests wait before the module hears of them; what it said that was not acted on yet.
    pub(crate) door: Option<AdmissionQueue>,
    pub(crate) verdicts: Vec<AdmissionDecision>,
    pub(crate) looked: Time,
    pub(crate) door_due: bool,
    pub(crate) stopping: bool,
    pub(crate) stopped: bool,
    /// Another process takes the connections.
    pub(crate) left: bool,
    /// What is asked now is refused at once: the program is about to end.
    pub(crate) ended: bool,
    pub(crate) turns: u64,
    /// The second that runs, and the requests of each tenant in it and in the one before.
    pub(crate) second: i64,
    pub(crate) rates: Vec<[u64; 2]>,
}

impl State {
    /// A gateway that knows no members yet.
    pub fn new(facts: CoreConfig, seed: u64) -> Result<Self, SettingsError> {
        let rates = vec![[0; 2]; facts.settings.tenants.len()];
        let mut due = BTreeSet::from([(Time(0), Due::Sweep)]);
        due.extend(facts.observability.iter().map(|_| (Time(0), Due::Publish)));
        let door = facts
            .admission
            .clone()
            .map(|settings| AdmissionQueue::new(settings, seed));
        Ok(Self {
            door,
            verdicts: vec![],
            looked: Time(0),
            door_due: false,
            router: Router::new(facts.settings.clone(), seed)?,
            facts,
            requests: BTreeMap::new(),
            names: BTreeSet::new(),
            attempts: BTreeMap::new(),
            conns: BTreeMap::new(),
            idle: BTreeMap::new(),
            members: BTreeMap::new(),
            ready: BTreeSet::new(),
            clients: BTreeMap::new(),
            due,
            pending: vec![],
            next_request: 0,
            next_conn: 0,
            stopping: false,
            stopped: false,
            left: false,
            ended: false,
            turns: 0,
            second: 0,
            rates,
        })
    }

    /// When the next turn is due, whatever comes in.
    pub fn next_due(&self) -> Option<Time> {
        if self.pending.is_empty() {
            self.due.first().map(|(at, _)| *at)
        } else {
            Some(Time(0))
        }
    }

    /// One turn: takes what happened up to `now`, steps the router once, asks for effects.
    pub fn reduce(&mut self, now: Time, events: Vec<Event>, effects: &mut Vec<Effect>) {
        self.turns += 1;
        let mut told = std::mem::take(&mut self.pending);
        // An attempt may have ended its request since its end was noted.
        for event in &mut told {
            if let PolicyEvent::AttemptEnded(end) = event {
                end.closed |= !self.requests.contains_key(&end.request);
            }
        }
        events
            .into_iter()
            .for_each(|event| self.on_event(now, event, &mut told, effects));
        while let Some((_, due)) = self.due.first().filter(|(at, _)| *at <= now).copied() {
            self.due.pop_first();
            self.on_due(now, due, &mut told, effects);
        }
        self.act_on_verdicts(now, &mut told, effects);
        let mut actions = vec![];
        self.router.step(now, &told, &mut actions);
        actions
            .into_iter()
            .for_each(|action| self.carry_out(now, action, effects));
        self.look_for_room(now);
        // What answers made room for is let in with the next turn, which comes at once.
        let mut let_in = vec![];
        self.act_on_verdicts(now, &mut let_in, effects);
        self.pending.extend(let_in);
        if let Some(figures) = &self.facts.metrics {
            figures.set_gauges(
                self.requests.len(),
                self.members.len(),
                self.router.avoided(),
            );
        }
        if self.stopped && self.clients.is_empty() {
            effects.push(Effect::Exit);
        }
    }

    pub(crate) fn on_event(
        &mut self,
        now: Time,
        event: Event,
        told: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            Event::EndpointList {
                complete,
                endpoints: members,
            } => {
                told.push(self.on_list(complete, members, effects));
                // What was decided on before this and is still being dialled must not begin any more.
                let barred = |(id, c): (&ConnectionId, &Conn)| {
                    (!self.ready.contains(&c.endpoint)).then_some(*id)
                };
                for connection in self.conns.iter().filter_map(barred).collect::<Vec<_>>() {
                    told.extend(self.cancel_pending_attempt(now, connection, effects));
                }
            }
            Event::ClientConnected(client) => {
                self.clients.entry(client).or_default();
            }
            Event::RequestReceived {
                client,
                ticket,
                request: ask,
            } => {
                told.extend(self.on_asked(now, client, ticket, ask, effects));
            }
            Event::ClientDisconnected(client) => {
                for id in self.clients.remove(&client).unwrap_or_default().open {
                    // Nobody takes what is passed on to it any more.
                    if let Some(connection) = self.passing(id) {
                        let end = UpstreamReply::without_details(Outcome::Cancelled);
                        told.extend(self.on_reply(now, connection, end, false, effects));
                        continue;
                    }
                    if let Some(door) = &mut self.door {
                        door.on_client_disconnected(now, id, &mut self.verdicts);
                    }
                    if let Some(held) = self.drop_request(now, id, effects) {
                        let known = held.queued.is_none();
                        self.record(now, held, FinalOutcome::Aborted, effects);
                        told.extend(known.then_some(PolicyEvent::ClientDisconnected(id)));
                    }
                }
            }
            Event::RequestRejected {
                class,
                tenant,
                group,
                reason: why,
            } => {
                self.count_asked(tenant, now);
                self.record_unheld(class, tenant, group, FinalOutcome::Rejected(why), effects);
            }
            Event::RequestAbandoned {
                class,
                tenant,
                group,
            } => {
                self.count_asked(tenant, now);
                self.record_unheld(class, tenant, group, FinalOutcome::Aborted, effects);
            }
            Event::ResponseStarted(connection) => {
                told.extend(self.on_began(now, connection, effects))
            }
            Event::AttemptEnded {
                connection,
                reply,
                reusable,
            } => {
                told.extend(self.on_reply(now, connection, reply, reusable, effects));
            }
            Event::GatewayCount(count) => told.push(PolicyEvent::RouterCount(count)),
            Event::ClockCorrected(by) => told.push(PolicyEvent::ClockCorrected(by)),
            Event::TenantQuotas(shares) => {
                if let Some(Err(what)) = self.door.as_mut().map(|door| door.set_quotas(&shares)) {
                    effects.push(Effect::Log(LogEvent::InvalidQuotas(what)));
                }
            }
            // The thread that accepts ends before anything is closed: what it took last is served too.
            Event::HandoffStarted => {
                self.left = true;
                self.due
                    .extend([(now, Due::Unlisten), (now + LEAVES, Due::Stop)]);
            }
            Event::UpstreamConnectionLimit(most) => {
                while self.conns.len() > most
                    && let Some((_, spare)) = self
                        .idle
                        .values()
                        .filter_map(BTreeSet::first)
                        .min()
                        .copied()
                {
                    self.close(spare, effects);
                }
                // Those that carry something are used until they are idle.
                self.facts.upstream_connection_limit = most.max(self.conns.len());
            }
            Event::PublishView => effects.push(Effect::PublishView(Box::new(self.live(now)))),
            Event::ShutdownRequested => {
                self.stopping = true;
                let longest = self.facts.settings.classes.iter().map(|c| c.deadline).max();
                let end = longest.unwrap_or(LONGEST).min(LONGEST) + MORE;
                let served = Span(end.0 / 10 * SERVED_TENTHS).max(STILL_TAKEN);
                let all = [
                    (STILL_TAKEN, Due::Unlisten),
                    (served, Due::Stop),
                    (end - LAST_WORD - LAST_ASKED, Due::LastAsked),
                    (end - LAST_WORD, Due::End),
                    (end - GONE, Due::Exit),
                ];
                self.due
                    .extend(all.map(|(after, what)| (now + after, what)));
            }
        }
    }

    pub(crate) fn on_due(
        &mut self,
        now: Time,
        due: Due,
        told: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        match due {
            Due::Router(token) => told.push(PolicyEvent::Timer(token)),
            // An attempt or a probe that is out for too long: the connection goes with it, so that what comes
            // late can never reach another request.
            Due::Attempt(connection) => {
                told.extend(self.on_reply(
                    now,
                    connection,
                    UpstreamReply::without_details(Outcome::Timeout),
                    false,
                    effects,
                ));
            }
            Due::Overdue(id) => {
                if self.requests.contains_key(&id) {
                    let how = FinalOutcome::Failed(FailureReason::Timeout);
                    self.answer(now, id, FinalAnswer::Failed(Failure::Timeout), how, effects);
                    told.push(PolicyEvent::ClientDisconnected(id));
                }
            }
            Due::Publish => {
                let Some(watched) = self.facts.observability.clone() else {
                    return;
                };
                let each =
                    Span(PUBLISH_EACH.0 * i64::try_from(self.members.len()).unwrap_or(i64::MAX));
                self.due
                    .insert((now + watched.publish_interval.max(each), Due::Publish));
                effects.push(Effect::PublishView(Box::new(self.live(now))));
            }
            Due::Sweep => {
                let oldest = now - self.facts.idle();
                let old = |s: &BTreeSet<(Time, ConnectionId)>| -> Vec<ConnectionId> {
                    s.range(..(oldest, ConnectionId(0)))
                        .map(|(_, id)| *id)
                        .collect()
                };
                for connection in self.idle.values().flat_map(old).collect::<Vec<_>>() {
                    self.close(connection, effects);
                }
                self.due.insert((now + SWEEP, Due::Sweep));
            }
            Due::Admission => {
                self.door_due = false;
                if let Some(door) = &mut self.door {
                    door.tick(now, &mut self.verdicts);
                }
                self.wake_door(now);
            }
            Due::Unlisten => effects.push(Effect::StopListening),
            Due::Stop => {
                self.stopped = true;
                if self.ended {
                    effects.push(Effect::CloseIdleClients);
                } else {
                    let idle = self
                        .clients
                        .iter()
                        .filter(|(_, c)| may_close(c.open.len()).is_ok());
                    effects.extend(idle.map(|(id, _)| Effect::CloseClient(*id)));
                }
                self.due.insert((now + CLOSE_EACH, Due::Stop));
            }
            Due::LastAsked => self.ended |= self.left,
            Due::Exit => {
                effects.push(Effect::Exit);
                self.due.insert((now + EXIT_EACH, Due::Exit));
            }
            Due::End => {
                self.ended = true;
                // What is passed on goes on until the program ends.
                let waits = |(id, held): (&RequestId, &Held)| held.began.is_none().then_some(*id);
                for id in self.requests.iter().filter_map(waits).collect::<Vec<_>>() {
                    let held = &self.requests[&id];
                    let after = self.facts.come_back(held.class);
                    let (answer, how) = if held.attempts == 0 {
                        (
                            FinalAnswer::Rejected {
                                retry_after: after,
                                overloaded: false,
                            },
                            FinalOutcome::Rejected(RejectionReason::Stopping),
                        )
                    } else {
                        (
                            FinalAnswer::Failed(Failure::Timeout),
                            FinalOutcome::Failed(FailureReason::Stopping),
                        )
                    };
                    // Nobody waits any more for what is out: it must not be out still when its client asks elsewhere.
                    let out = self
                        .attempts
                        .range((id, 0)..=(id, u32::MAX))
                        .map(|(_, connection)| *connection);
                    let out: Vec<ConnectionId> = out.collect();
                    self.answer(now, id, answer, how, effects);
                    told.push(PolicyEvent::ClientDisconnected(id));
                    for connection in out {
                        told.extend(self.on_reply(
                            now,
                            connection,
                            UpstreamReply::without_details(Outcome::Cancelled),
                            false,
                            effects,
                        ));
                    }
                }
            }
        }
    }

    pub(crate) fn carry_out(&mut self, now: Time, action: Action, effects: &mut Vec<Effect>) {
        if let Action::Send { request, .. }
        | Action::Cancel { request, .. }
        | Action::Reject { request, .. }
        | Action::Fail { request, .. } = &action
            && self.passing(*request).is_some()
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
                self.send(now, request, endpoint, timeout, send_before, effects);
            }
            Action::Cancel { request, attempt } => {
                let Some(connection) = self.attempts.get(&(request, attempt)).copied() else {
                    return;
                };
                let end = self.on_reply(
                    now,
                    connection,
                    UpstreamReply::without_details(Outcome::Cancelled),
                    false,
                    effects,
                );
                self.pending.extend(end);
            }
            Action::Reject {
                request,
                retry_after,
                why,
            } => {
                if let Some(held) = self.requests.get(&request) {
                    let after = retry_after.unwrap_or_else(|| self.facts.come_back(held.class));
                    let how = FinalOutcome::Rejected(refusal(why));
                    self.answer(
                        now,
                        request,
                        FinalAnswer::Rejected {
                            retry_after: after,
                            overloaded: false,
                        },
                        how,
                        effects,
                    );
                }
            }
            Action::Fail { request, .. } => {
                if let Some(held) = self.requests.get_mut(&request) {
                    let (failure, how) = match (held.last, held.word.take()) {
                        (Some(Outcome::Timeout | Outcome::Cancelled), _) => {
                            (Failure::Timeout, FailureReason::Timeout)
                        }
                        (Some(Outcome::Error), Some(word)) => {
                            (Failure::UpstreamError(word), FailureReason::UpstreamError)
                        }
                        _ => (Failure::ConnectionLost, FailureReason::ConnectionLost),
                    };
                    self.answer(
                        now,
                        request,
                        FinalAnswer::Failed(failure),
                        FinalOutcome::Failed(how),
                        effects,
                    );
                }
            }
            Action::HealthCheck { endpoint } => {
                if let Err(why) = may_check_health(self.ready.contains(&endpoint)) {
                    self.facts.decisions.on_denied(why);
                    let (outcome, latency) = (Outcome::NotSent, Span(0));
                    return self.pending.push(PolicyEvent::HealthCheckEnded {
                        endpoint,
                        outcome,
                        latency,
                        report: None,
                    });
                }
                let took = self.take_conn(now, endpoint, Use::Probe(now), effects);
                let Some(connection) = took else {
                    let latency = Span(0);
                    let outcome = self.no_connection(endpoint);
                    return self.pending.push(PolicyEvent::HealthCheckEnded {
                        endpoint,
                        outcome,
                        latency,
                        report: None,
                    });
                };
                self.wait_until(connection, now + self.facts.health_check_timeout);
                effects.push(Effect::Submit {
                    connection,
                    job: UpstreamJob::HealthCheck,
                });
            }
            Action::RefreshEndpointList => {} // The list is watched all the time.
            Action::SetTimer { at, token } => {
                self.due.insert((at, Due::Router(token)));
            }
        }
    }
}
