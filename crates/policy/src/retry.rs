//! Whether a request may run again, and until when.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::events::*;
use crate::ids::*;
use crate::router::Router;
use crate::scheduling::Open;
use crate::settings::*;
use crate::time::*;

impl Router {
    /// Until when a repeat is sure to be dropped where an earlier attempt may have run.
    pub(crate) fn repeats_until(&self, open: &Open) -> Option<Time> {
        match self.cfg.classes[open.class.0].idempotency {
            Idempotency::NonIdempotent
            | Idempotency::IdempotencyKey {
                scope: DedupScope::Zone,
                ..
            } => open.ran_from,
            Idempotency::IdempotencyKey { window, .. } => {
                Some(open.ran_from? + window - Span(self.cfg.tick.0 * 2))
            }
            Idempotency::Idempotent => None,
        }
    }

    /// Until when what is decided now holds: connections may come up late, and knowledge ages meanwhile.
    pub(crate) fn send_before(&self, open: &Open, to: EndpointId) -> Option<Time> {
        let repeat = self.repeats_until(open);
        let Consistency::BoundedStaleness(bound) = self.cfg.classes[open.class.0].consistency
        else {
            return repeat;
        };
        let primary = self
            .groups
            .get(&open.group)
            .is_some_and(|g| g.known && g.primary == Some(to));
        let known = self
            .endpoints
            .get(&to)?
            .position
            .filter(|_| self.cfg.stale_read_policy == StaleReadPolicy::Serve && !primary);
        known.map(|at| at + bound).into_iter().chain(repeat).min()
    }

    /// An answer has begun: its node has done the work, is not silent, and is not filled by what is sent on.
    pub(crate) fn on_streaming(&mut self, id: RequestId) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.streaming = true;
        for (attempt, endpoint) in &open.out {
            let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
                continue;
            };
            let Some(sent) = endpoint.out.remove(&(id, *attempt)) else {
                continue;
            };
            endpoint.streams.insert((id, *attempt), (now, sent));
            endpoint.health.open(now);
            endpoint.quiet_since = Some(now).filter(|_| !endpoint.out.is_empty());
        }
    }

    pub(crate) fn on_ended(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let (now, id) = (self.now, (end.request, end.attempt));
        let endpoint = self.endpoints.get_mut(&end.endpoint);
        let (out, stream) =
            endpoint.map_or((None, None), |n| (n.out.remove(&id), n.streams.remove(&id)));
        let (gone, begun) = (
            out.or(stream.map(|(_, sent)| sent)),
            stream.map(|(at, _)| at),
        );
        let sent = gone.map(|(at, ..)| at);
        gone.into_iter()
            .for_each(|(_, class, key)| self.measure(end, class, key));
        if let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) {
            if end.outcome.from_endpoint() {
                endpoint.health.open(now);
                endpoint.quiet_since = Some(now);
            } else if matches!(end.outcome, Outcome::ConnectFailed | Outcome::Reset) {
                endpoint.health.doubts += 1;
            }
            endpoint.quiet_since = endpoint.quiet_since.filter(|_| !endpoint.out.is_empty());
            // A primary stood at the present when it answered, so at least where it was when this was sent.
            let told = if end.role == Some(Role::Primary) {
                sent
            } else {
                None
            };
            let stamped = end.position.map(|p| p - Span::from_millis(1));
            endpoint.position = endpoint.position.max(told).max(stamped);
        }
        // A primary may have been one only as its answer began.
        let at = begun
            .filter(|_| end.role == Some(Role::Primary))
            .unwrap_or(now);
        end.role
            .into_iter()
            .for_each(|role| self.on_role(end.endpoint, role, at, true));
        let told = end.role == Some(Role::Primary) && end.position.is_some();
        self.clock_told = self.clock_told.saturating_add(u32::from(told));
        end.report
            .iter()
            .for_each(|r| self.on_report(end.endpoint, r));
        self.forget(end.endpoint);
        if end.outcome == Outcome::ConnectFailed {
            self.probe(end.endpoint, actions); // It may be dead or short of connections.
        }
        let Some(open) = self.open.get_mut(&end.request) else {
            return;
        };
        open.out.remove(&end.attempt);
        let group_id = open.group;
        let search = self
            .groups
            .get_mut(&group_id)
            .and_then(|g| g.search.as_mut());
        if let Some(search) = search.filter(|s| s.leader.is_some_and(|(id, ..)| id == end.request))
        {
            search.leader = None;
            search.tried.insert(end.endpoint);
        }
        if end.closed {
            return self.finish(end.request, actions);
        }
        let Some(open) = self.open.get_mut(&end.request) else {
            return;
        };
        open.ran_from = open.ran_from.or(sent.filter(|_| !end.outcome.never_ran()));
        let class = &self.cfg.classes[open.class.0];
        // The end of a connection that was given up must not be overtaken by the next attempt.
        let given_up = matches!(
            end.outcome,
            Outcome::Timeout | Outcome::Cancelled | Outcome::Error
        );
        open.not_before = if given_up {
            now + Span(self.cfg.tick.0 * 2)
        } else {
            open.not_before
        };
        if end.outcome == Outcome::LocalFailure {
            open.not_before = now + Span(1).times(self.class_latency[open.class.0]);
        } else if class.consistency != Consistency::Write {
            open.avoid.insert(end.endpoint);
            let consistency = Self::needed(class, open.floor, sent.unwrap_or(now));
            let endpoint = self
                .endpoints
                .get_mut(&end.endpoint)
                .filter(|_| end.outcome == Outcome::Misdirected);
            if let (Some(endpoint), Some(consistency)) = (endpoint, consistency) {
                (endpoint.lag, endpoint.told_at) =
                    (Span((now - consistency).0.saturating_mul(2)), now);
            }
        } else if matches!(end.outcome, Outcome::Rejected | Outcome::ConnectFailed) {
            open.not_before = now + Span(1).times(self.class_latency[open.class.0]);
        }
        if open.out.is_empty() {
            self.groups
                .entry(group_id)
                .or_default()
                .waiting
                .push(end.request);
        }
    }
}
