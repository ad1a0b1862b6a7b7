//! Attempts: sent, ended, cancelled.

use crate::prelude::*;

impl State {
    /// An answer has begun that is passed on as it comes. From here on it belongs to its client: no deadline strikes it,
    /// nothing is sent again, and its member has done its work.
    pub(crate) fn on_began(
        &mut self,
        now: Time,
        connection: ConnectionId,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        let slot = self.conns.get_mut(&connection)?;
        let Use::Attempt(request, ..) = slot.used else {
            return None;
        };
        let Some(held) = self
            .requests
            .get_mut(&request)
            .filter(|held| held.began.is_none())
        else {
            return self.on_reply(
                now,
                connection,
                UpstreamReply::without_details(Outcome::Cancelled),
                false,
                effects,
            );
        };
        held.began = Some(now);
        let due = std::mem::replace(&mut slot.until, Time(i64::MAX));
        self.due.remove(&(due, Due::Attempt(connection)));
        self.due
            .remove(&(held.deadline + HEADSTART + HEADSTART, Due::Overdue(request)));
        effects.push(Effect::ForwardBody {
            connection,
            client: held.client,
            ticket: held.ticket,
        });
        if let Some(door) = &mut self.door {
            door.on_finished(now, request, true, &mut self.verdicts);
        }
        Some(PolicyEvent::ResponseStarted(request))
    }

    /// The connection whose answer is passed on to a request's client, if one is.
    pub(crate) fn passing(&self, id: RequestId) -> Option<ConnectionId> {
        self.requests.get(&id)?.began?;
        self.attempts
            .range((id, 0)..=(id, u32::MAX))
            .next()
            .map(|(_, connection)| *connection)
    }

    /// What a connection brought back for what it carried.
    pub(crate) fn on_reply(
        &mut self,
        now: Time,
        connection: ConnectionId,
        mut reply: UpstreamReply,
        reusable: bool,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        let slot = self.conns.get_mut(&connection)?;
        let (endpoint, used) = (slot.endpoint, slot.used);
        // What is given up before anything of it was written has not run.
        let given_up = matches!(reply.outcome, Outcome::Timeout | Outcome::Cancelled);
        if slot
            .permit
            .take()
            .is_some_and(|permit| given_up && permit.revoke())
        {
            reply.outcome = Outcome::NotSent;
        }
        if !matches!(used, Use::Idle(_)) {
            slot.used = Use::Idle(now);
            self.idle
                .entry(endpoint)
                .or_default()
                .insert((now, connection));
        }
        // A deadline left by what it carried must not strike what it carries next.
        self.due.remove(&(slot.until, Due::Attempt(connection)));
        let kept = reusable && self.members.contains_key(&endpoint);
        if !kept {
            self.close(connection, effects);
        }
        match used {
            Use::Idle(_) => None,
            Use::Probe(sent) => Some(PolicyEvent::HealthCheckEnded {
                endpoint,
                outcome: reply.outcome,
                latency: now - sent,
                report: reply.report,
            }),
            Use::Attempt(request, attempt, sent) => {
                self.attempts.remove(&(request, attempt));
                if self.facts.trace_requests {
                    self.trace(
                        request,
                        RequestStep::AttemptEnded {
                            attempt,
                            outcome: reply.outcome,
                        },
                        effects,
                    );
                }
                // Of an answer that was passed on the beginning is timed: its client had the rest as it could take it.
                let began = self.requests.get(&request).and_then(|held| held.began);
                let at = began.unwrap_or(now);
                if let Some(held) = self.requests.get_mut(&request) {
                    held.note_try(reply.outcome, at);
                    let may_have_run = !reply.outcome.never_ran();
                    held.may_have_run_since =
                        held.may_have_run_since.or(may_have_run.then_some(sent));
                }
                let closed = match self.requests.get_mut(&request) {
                    None => true,
                    Some(held) if began.is_some() => {
                        let how = match reply.outcome {
                            Outcome::Ok => self.facts.ending(held, at),
                            Outcome::Cancelled => FinalOutcome::Aborted,
                            _ => FinalOutcome::Failed(FailureReason::ConnectionLost),
                        };
                        let served = reply.outcome == Outcome::Ok;
                        if let Some(held) = self.conclude(now, request, served, effects) {
                            self.record(at, held, how, effects);
                        }
                        true
                    }
                    Some(held) => {
                        held.last = Some(reply.outcome);
                        match reply.body {
                            Some(body) if reply.outcome == Outcome::Ok => {
                                let how = self.facts.ending(held, now);
                                self.answer(now, request, FinalAnswer::Served(body), how, effects);
                                true
                            }
                            Some(body) if reply.is_final_error => {
                                let answer = FinalAnswer::Failed(Failure::UpstreamError(body));
                                self.answer(
                                    now,
                                    request,
                                    answer,
                                    FinalOutcome::Failed(FailureReason::InvalidStatement),
                                    effects,
                                );
                                true
                            }
                            word => {
                                held.word = word;
                                false
                            }
                        }
                    }
                };
                Some(PolicyEvent::AttemptEnded(AttemptEnd {
                    request,
                    attempt,
                    endpoint,
                    outcome: reply.outcome,
                    closed,
                    latency: at - sent,
                    role: reply.role,
                    position: reply.position,
                    report: reply.report,
                }))
            }
        }
    }

    pub(crate) fn send(
        &mut self,
        now: Time,
        request: RequestId,
        endpoint: EndpointId,
        timeout: Option<Span>,
        send_before: Option<Time>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.requests.get(&request) else {
            return self.facts.decisions.on_denied(Denial::RequestOver);
        };
        let until = timeout.map_or(held.deadline, |t| held.deadline.min(now + t));
        let asked = SendCheck {
            now,
            deadline: until,
            response_started: held.began.is_some(),
            attempts_in_flight: self
                .attempts
                .range((request, 0)..=(request, u32::MAX))
                .count(),
            attempts: held.attempts,
            max_attempts: self.facts.settings.limits.max_attempts,
            idempotency: self.facts.settings.classes[held.class].idempotency,
            may_have_run_since: held.may_have_run_since,
            endpoint_is_ready: self.ready.contains(&endpoint) || self.may_use_unlisted(endpoint),
        };
        let permitted = may_send(&asked);
        if permitted.is_ok() && asked.attempts > 0 {
            self.facts.decisions.on_retry();
        }
        if let Err(why) = permitted {
            self.on_send_denied(request, endpoint, why, effects);
        }
        let Some(held) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = held.attempts;
        held.attempts += 1;
        let payload = Arc::clone(&held.payload);
        let used = Use::Attempt(request, attempt, now);
        let took = if permitted.is_err() {
            None
        } else {
            self.take_conn(now, endpoint, used, effects)
        };
        if let Some(held) = self
            .requests
            .get_mut(&request)
            .filter(|_| self.facts.observability.is_some())
        {
            held.first = held.first.or(Some(now));
            held.out = self
                .members
                .get(&endpoint)
                .map(|(name, _)| (Arc::clone(name), now));
        }
        let Some(connection) = took else {
            let outcome = if permitted.is_err() {
                Outcome::NotSent
            } else {
                self.no_connection(endpoint)
            };
            self.requests
                .get_mut(&request)
                .into_iter()
                .for_each(|held| held.note_try(outcome, now));
            return self.pending.push(PolicyEvent::AttemptEnded(AttemptEnd {
                request,
                attempt,
                endpoint,
                outcome,
                closed: false,
                latency: Span(0),
                role: None,
                position: None,
                report: None,
            }));
        };
        self.attempts.insert((request, attempt), connection);
        if self.facts.trace_requests {
            let endpoint = self.endpoint_name(endpoint);
            self.trace(
                request,
                RequestStep::AttemptSent {
                    attempt,
                    endpoint,
                    connection,
                },
                effects,
            );
        }
        self.wait_until(connection, until);
        let permit = SendPermit::new(send_before.map_or(until, |at| at.min(until)));
        self.conns
            .get_mut(&connection)
            .into_iter()
            .for_each(|c| c.permit = Some(permit.clone()));
        effects.push(Effect::Submit {
            connection,
            job: UpstreamJob::Request {
                payload,
                deadline: until,
                permit,
            },
        });
    }

    /// Where a removal does not bind, the module may go on with an endpoint that is no longer listed; never with one that
    /// drains.
    pub(crate) fn may_use_unlisted(&self, endpoint: EndpointId) -> bool {
        self.facts.settings.rules.removal_is_advisory && !self.members.contains_key(&endpoint)
    }

    /// An attempt is not sent; that the module asked for it may be a fault of its own.
    pub(crate) fn on_send_denied(
        &self,
        request: RequestId,
        endpoint: EndpointId,
        why: Denial,
        effects: &mut Vec<Effect>,
    ) {
        self.facts.decisions.on_denied(why);
        if self.facts.trace_requests {
            self.trace(request, RequestStep::Denied(why), effects);
        }
        if why.is_violation() {
            self.facts.decisions.on_violated(why);
            let (request, endpoint) = (self.request_name(request), self.endpoint_name(endpoint));
            debug_assert!(
                false,
                "invariant violated: {}: {request} to {endpoint}",
                why.name()
            );
            effects.push(Effect::Log(LogEvent::InvariantViolated {
                denial: why,
                request,
                endpoint,
            }));
        }
    }

    /// Ends the attempt that a connection carries if nothing of it was written yet; one that has begun goes on.
    pub(crate) fn cancel_pending_attempt(
        &mut self,
        now: Time,
        connection: ConnectionId,
        effects: &mut Vec<Effect>,
    ) -> Option<PolicyEvent> {
        let unwritten = self
            .conns
            .get(&connection)?
            .permit
            .as_ref()
            .is_some_and(SendPermit::revoke);
        if !unwritten {
            return None;
        }
        self.facts.decisions.on_cancelled_unsent();
        self.on_reply(
            now,
            connection,
            UpstreamReply::without_details(Outcome::NotSent),
            false,
            effects,
        )
    }
}
