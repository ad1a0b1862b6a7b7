//! Requests in flight: accepted or rejected as they come in, answered once.

use crate::prelude::*;

/// A final answer leaves this long before the client stops waiting.
pub(crate) const HEADSTART: Span = Span::from_millis(5);

pub(crate) struct Held {
    pub(crate) name: Option<Arc<str>>,
    pub(crate) client: ClientId,
    pub(crate) ticket: u64,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) group: GroupId,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) payload: Arc<Payload>,
    pub(crate) _memory: MemoryReservation,
    pub(crate) attempts: u32,
    /// When the first attempt was sent, and what came of those that are over.
    pub(crate) first: Option<Time>,
    pub(crate) tries: Vec<AttemptRecord>,
    /// What the module is told once the door lets it in.
    pub(crate) queued: Option<Box<Request>>,
    /// The member that has the attempt which is out, and since when.
    pub(crate) out: Option<(Arc<str>, Time)>,
    pub(crate) last: Option<Outcome>,
    /// What the server said of the last error.
    pub(crate) word: Option<Vec<u8>>,
    /// When the first attempt was sent that may have run.
    pub(crate) may_have_run_since: Option<Time>,
    /// When its answer began, if that is passed on as it comes: from then on it is bound to that attempt.
    pub(crate) began: Option<Time>,
}

pub(crate) const fn refusal(why: GiveUpReason) -> RejectionReason {
    match why {
        GiveUpReason::DeadlineExceeded => RejectionReason::DeadlineExceeded,
        GiveUpReason::Overloaded => RejectionReason::Overloaded,
        GiveUpReason::NeverSent => RejectionReason::NeverSent,
        GiveUpReason::TooLate => RejectionReason::TooLate,
        GiveUpReason::AttemptsExhausted => RejectionReason::AttemptsExhausted,
        GiveUpReason::RetryWindowClosed => RejectionReason::RetryWindowClosed,
    }
}

impl State {
    pub(crate) fn on_asked(
        &mut self,
        now: Time,
        client: ClientId,
        ticket: u64,
        ask: IncomingRequest,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        self.count_asked(ask.tenant, now);
        let asked = AcceptCheck {
            stage: self.stage(),
            name_is_open: ask
                .name
                .as_ref()
                .is_some_and(|name| self.names.contains(name)),
            open_requests: self.requests.len(),
            max_open_requests: self.facts.settings.limits.max_open_requests,
        };
        if let Err(why) = may_accept(&asked) {
            self.facts.decisions.on_denied(why);
            let (how, answer) = self.turned_away(why, ask.class);
            self.record_unheld(ask.class, ask.tenant, ask.group, how, effects);
            effects.push(Effect::Answer {
                client,
                ticket,
                answer,
            });
            return None;
        }
        self.next_request += 1;
        let id = RequestId(self.next_request);
        self.clients.entry(client).or_default().open.insert(id);
        self.names.extend(ask.name.clone());
        // It may have waited for this turn.
        let arrived = ask.received.min(now);
        let deadline = arrived + Span((ask.client_timeout - HEADSTART).0.max(1));
        let time_left = Span((deadline - now).0.max(1));
        self.due
            .insert((deadline + HEADSTART + HEADSTART, Due::Overdue(id)));
        self.requests.insert(
            id,
            Held {
                name: ask.name,
                client,
                ticket,
                class: ask.class,
                tenant: ask.tenant,
                group: ask.group,
                arrived,
                deadline,
                payload: ask.payload,
                _memory: ask.memory,
                attempts: 0,
                first: None,
                tries: vec![],
                queued: None,
                out: None,
                last: None,
                word: None,
                may_have_run_since: None,
                began: None,
            },
        );
        let request = Request {
            id,
            session: ask.session,
            time_left,
            group: ask.group,
            class: valehatch_policy::ClassId(ask.class),
            tenant: ask.tenant.map(valehatch_policy::TenantId),
            work: None,
            repeat: ask.is_client_retry,
            since_last_write: ask.last_write_at.map(|at| Span((now - at).0.max(0))),
        };
        let Some(door) = &mut self.door else {
            return Some(PolicyEvent::Request(request));
        };
        let (tenant, class, group) = (ask.tenant, ask.class, ask.group);
        self.requests.get_mut(&id)?.queued = Some(Box::new(request));
        let arrival = Arrival {
            id,
            tenant,
            client: ask.client,
            class,
            group,
            deadline,
        };
        door.on_arrival(now, arrival, &mut self.verdicts);
        self.wake_door(now);
        None
    }

    /// The final answer of a request that is not accepted.
    pub(crate) fn turned_away(&self, why: Denial, class: usize) -> (FinalOutcome, FinalAnswer) {
        let refused = match why {
            Denial::DuplicateName => {
                return (
                    FinalOutcome::Failed(FailureReason::DuplicateRequestId),
                    FinalAnswer::Failed(Failure::DuplicateName),
                );
            }
            Denial::TooManyOpen => RejectionReason::TooManyOpen,
            _ => RejectionReason::Stopping,
        };
        let after = if self.left {
            AT_ONCE
        } else {
            self.facts.come_back(class)
        };
        (
            FinalOutcome::Rejected(refused),
            FinalAnswer::Rejected {
                retry_after: after,
                overloaded: false,
            },
        )
    }

    /// A request as the log names it.
    pub(crate) fn request_name(&self, id: RequestId) -> Arc<str> {
        let name = self.requests.get(&id).and_then(|held| held.name.clone());
        name.unwrap_or_else(|| Arc::from(format!("#{}", id.0)))
    }

    pub(crate) fn trace(&self, request: RequestId, what: RequestStep, effects: &mut Vec<Effect>) {
        effects.push(Effect::Log(LogEvent::RequestStep {
            request: self.request_name(request),
            step: what,
        }));
    }

    /// Forgets a request, with all that is kept for it: nothing begins for it from here on.
    pub(crate) fn drop_request(
        &mut self,
        now: Time,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) -> Option<Held> {
        let held = self.requests.remove(&id)?;
        self.due
            .remove(&(held.deadline + HEADSTART + HEADSTART, Due::Overdue(id)));
        held.name
            .iter()
            .for_each(|name| drop(self.names.take(name)));
        let out = self
            .attempts
            .range((id, 0)..=(id, u32::MAX))
            .map(|(_, connection)| *connection);
        for connection in out.collect::<Vec<_>>() {
            let end = self.cancel_pending_attempt(now, connection, effects);
            self.pending.extend(end);
        }
        Some(held)
    }

    /// The one final answer of a request.
    pub(crate) fn answer(
        &mut self,
        now: Time,
        id: RequestId,
        answer: FinalAnswer,
        how: FinalOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.conclude(now, id, matches!(answer, FinalAnswer::Served(_)), effects)
        else {
            return;
        };
        effects.push(Effect::Answer {
            client: held.client,
            ticket: held.ticket,
            answer,
        });
        self.record(now, held, how, effects);
    }

    /// Forgets a request that has had its final answer, wherever it is known.
    pub(crate) fn conclude(
        &mut self,
        now: Time,
        id: RequestId,
        served: bool,
        effects: &mut Vec<Effect>,
    ) -> Option<Held> {
        let held = self.drop_request(now, id, effects)?;
        if let Some(client) = self.clients.get_mut(&held.client) {
            client.open.remove(&id);
        }
        if let Some(door) = &mut self.door {
            if held.queued.is_some() {
                door.on_client_disconnected(now, id, &mut self.verdicts);
            } else {
                door.on_finished(now, id, served, &mut self.verdicts);
            }
        }
        Some(held)
    }
}

impl CoreConfig {
    /// How a request ends whose answer comes now.
    pub(crate) fn ending(&self, held: &Held, now: Time) -> FinalOutcome {
        let latency_objective = self.settings.classes[held.class].latency_objective;
        if now - held.arrived <= latency_objective {
            FinalOutcome::InTime
        } else {
            FinalOutcome::Late
        }
    }

    /// When a refused client should come back, where the module leaves that open. What it met, too much work or
    /// no member that could serve it, takes a while to pass; where a late answer is worth nothing, coming back
    /// early would only add to the load.
    pub(crate) fn come_back(&self, class: usize) -> Span {
        let longest = self.settings.limits.max_retry_after;
        let late_counts = self
            .settings
            .classes
            .get(class)
            .is_some_and(|c| c.late_priority_weight > 0.0);
        if late_counts {
            Span(longest.0 / 4)
        } else {
            longest
        }
    }
}
