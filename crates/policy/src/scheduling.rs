//! Requests without a final answer: their order, their attempts and their end.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::events::*;
use crate::ids::*;
use crate::outlier_detection::Shut;
use crate::primary_search::{LONGEST_GAP, SEARCH_PAUSE};
use crate::router::Router;
use crate::settings::*;
use crate::time::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Default)]
pub(crate) struct Open {
    pub(crate) class: ClassId,
    pub(crate) group: GroupId,
    pub(crate) session: Option<SessionKey>,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) useful_until: Time,
    pub(crate) floor: Option<Time>,
    pub(crate) attempts: u32,
    pub(crate) out: BTreeMap<u32, EndpointId>,
    /// When the first attempt that may have run was sent.
    pub(crate) ran_from: Option<Time>,
    pub(crate) avoid: BTreeSet<EndpointId>,
    pub(crate) not_before: Time,
    pub(crate) probe_wait: Option<Time>,
    pub(crate) streaming: bool,
}

impl Router {
    pub(crate) fn on_request(&mut self, request: &Request) {
        let Some(class) = self.cfg.classes.get(request.class.0) else {
            return;
        };
        self.costs.on_request(request.class);
        let stretch = request
            .work
            .map_or(Span(0), |w| w.times(class.latency_objective_stretch));
        let deadline = self.now + request.time_left;
        let late_counts =
            class.consistency == Consistency::Write && class.late_priority_weight > 0.0;
        let kept = request
            .session
            .and_then(|key| self.sessions.get(&key).copied());
        let floor = match (class.consistency, self.cfg.sessions) {
            (Consistency::Session, SessionTracking::ClientProvided) => {
                request.since_last_write.map(|ago| self.now - ago)
            }
            (Consistency::Session, SessionTracking::RouterTracked) => kept.or(self.session_floor),
            _ => None,
        };
        let open = Open {
            class: request.class,
            group: request.group,
            session: request.session,
            arrived: self.now,
            deadline,
            useful_until: if late_counts {
                deadline
            } else {
                deadline.min(self.now + class.latency_objective + stretch)
            },
            floor,
            not_before: self.now,
            ..Open::default()
        };
        self.open.insert(request.id, open);
        self.groups
            .entry(request.group)
            .or_default()
            .waiting
            .push(request.id);
    }

    pub(crate) fn tend_waiting(&mut self, id: GroupId, actions: &mut Vec<Action>) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        // The most worth for its work first, in time before late, and the newest first: when not all can be
        // served in time, those that still can are.
        let mut waiting = std::mem::take(&mut group.waiting);
        for member in group.members.clone() {
            // Whether a member is within reach again is asked when something waits that it could serve.
            let Some(endpoint) = self.endpoints.get_mut(&member) else {
                continue;
            };
            if endpoint.health.shut == Some(Shut::OutOfReach) && self.now >= endpoint.health.again {
                // All routers ask the same dead member: each the more seldom the longer it stays so.
                endpoint.health.again = self.now + endpoint.health.gap;
                endpoint.health.gap =
                    Span(endpoint.health.gap.0 * 2).min(SEARCH_PAUSE.times(LONGEST_GAP));
                self.probe(member, actions);
            }
        }
        waiting.sort_by_cached_key(|id| self.rank(*id));
        for request in waiting {
            if self.place(request, actions) {
                self.groups.entry(id).or_default().waiting.push(request);
            }
        }
    }

    pub(crate) fn rank(&self, id: RequestId) -> (i64, i64) {
        let Some(open) = self.open.get(&id) else {
            return (0, 0);
        };
        let class = &self.cfg.classes[open.class.0];
        let part = if self.now - open.arrived > class.latency_objective {
            class.late_priority_weight
        } else {
            1.0
        };
        (-(self.value(open) * part * 1e9) as i64, -open.arrived.0)
    }

    /// Sends a waiting request, ends it, or leaves it waiting (true).
    pub(crate) fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let shed = self.shed(id);
        let Some(open) = self.open.get(&id) else {
            return false;
        };
        if !open.out.is_empty() {
            return false;
        }
        let (class, tick) = (&self.cfg.classes[open.class.0], self.cfg.tick);
        let expected = Span(1).times(self.class_latency[open.class.0]);
        let window_over = self.repeats_until(open).is_some_and(|at| self.now >= at);
        // Never sent by half its time: its client is told while it can come back.
        let half =
            Span((open.deadline - open.arrived).0 / 2 - (tick.0 * 4).min(class.deadline.0 / 8));
        let held = open.attempts == 0 && self.now - open.arrived > half;
        let useless = held || self.now + expected > open.useful_until && self.now > open.arrived;
        let (spent, over) = (
            open.attempts >= self.cfg.limits.max_attempts,
            self.now >= open.deadline,
        );
        let why = [
            (over, GiveUpReason::DeadlineExceeded),
            (shed, GiveUpReason::Overloaded),
            (held, GiveUpReason::NeverSent),
            (useless, GiveUpReason::TooLate),
        ];
        let why = why.into_iter().chain([
            (spent, GiveUpReason::AttemptsExhausted),
            (window_over, GiveUpReason::RetryWindowClosed),
        ]);
        if let Some((_, why)) = why.into_iter().find(|(holds, _)| *holds) {
            self.give_up(id, why, actions);
            return false;
        }
        if self.now < open.not_before {
            return true;
        }
        let target = match class.consistency {
            Consistency::Write => self.target_of_write(id),
            Consistency::Strong => {
                self.known_primary(self.open[&id].group, self.open[&id].class, 0.0)
            }
            _ => self.target_of_read(id, actions),
        };
        target.is_none_or(|endpoint| !self.send(id, endpoint, actions))
    }

    pub(crate) fn send(
        &mut self,
        id: RequestId,
        to: EndpointId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let now = self.now;
        let send_before = self
            .open
            .get(&id)
            .and_then(|open| self.send_before(open, to));
        let (Some(open), Some(endpoint)) = (self.open.get_mut(&id), self.endpoints.get_mut(&to))
        else {
            return false;
        };
        open.out.insert(open.attempts, to);
        endpoint
            .out
            .insert((id, open.attempts), (now, open.class, open.session));
        open.attempts += 1;
        endpoint.quiet_since = endpoint.quiet_since.or(Some(now));
        (endpoint.health.again, endpoint.sent_at) = (now + SEARCH_PAUSE, Some(now));
        // Where nothing can be called off, a safe read's time-out leaves room for a second try.
        let bare = self.cfg.classes[open.class.0].idempotency == Idempotency::Idempotent
            && !self.cfg.limits.cancel;
        let timeout = bare.then_some(Span((open.deadline - now).0 / 2));
        actions.push(Action::Send {
            request: id,
            endpoint: to,
            timeout,
            send_before,
        });
        true
    }

    /// The final answer of a request that is not tried further: a refusal where that is known to be harmless.
    pub(crate) fn give_up(&mut self, id: RequestId, why: GiveUpReason, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let harmless = self.cfg.classes[open.class.0].idempotency == Idempotency::Idempotent
            || open.ran_from.is_none();
        let retry_after = self
            .cfg
            .limits
            .retry_after
            .then_some(self.cfg.limits.max_retry_after);
        actions.push(if harmless {
            Action::Reject {
                request: id,
                retry_after,
                why,
            }
        } else {
            Action::Fail { request: id, why }
        });
        self.finish(id, actions);
    }

    /// Forgets a request; what is still out for it is called off.
    pub(crate) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let safe = self.cfg.classes[open.class.0].idempotency == Idempotency::Idempotent;
        if self.cfg.limits.cancel && safe && !open.streaming {
            actions.extend(open.out.keys().map(|a| Action::Cancel {
                request: id,
                attempt: *a,
            }));
        }
    }
}
