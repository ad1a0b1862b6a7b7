//! Which endpoint serves a read: two random choices among those that are fresh enough.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::endpoint::Node;
use crate::events::*;
use crate::group::Group;
use crate::ids::*;
use crate::latency::{GAIN, MOST_EXCESS, SLOW_PART, faded};
use crate::router::Router;
use crate::settings::*;
use crate::time::*;

/// The part of the time a connection may stand idle for which it is taken to stand.
pub(crate) const STANDS: f64 = 0.75;
/// A query that takes more than this part of the tightest bound on age is long.
pub(crate) const LONG_PART: f64 = 0.7;
impl Router {
    /// The position that a read needs now; `None`: any.
    pub(crate) fn needed(class: &RequestClass, floor: Option<Time>, now: Time) -> Option<Time> {
        match class.consistency {
            Consistency::BoundedStaleness(bound) => Some(now - bound),
            Consistency::Session => floor,
            _ => None,
        }
    }

    /// Known to be fresh enough; where replicas check for themselves, a lag not told is none, and one told or
    /// shown by a miss is taken to fade: a wrong guess costs one more miss.
    pub(crate) fn fresh(&self, id: EndpointId, consistency: Option<Time>) -> bool {
        let (Some(consistency), Some(endpoint)) = (consistency, self.endpoints.get(&id)) else {
            return consistency.is_none();
        };
        let lag = faded(
            endpoint.lag.as_f64(),
            self.now - endpoint.told_at,
            self.cfg.rules.slow_start_duration,
        );
        let bears = self
            .groups
            .get(&endpoint.group)
            .is_some_and(|g| self.bearer(g) == Some(id));
        let guess = self.cfg.stale_read_policy != StaleReadPolicy::Serve
            && !bears
            && self.now - Span(1).times(lag) >= consistency;
        guess || endpoint.position.is_some_and(|p| p >= consistency)
    }

    /// Departure: while a replica holds a long query it applies nothing, so those of a group all go to one of
    /// its replicas, the last in sorted order at every router, and the others stay fresh.
    pub(crate) fn long(&self, class: ClassId) -> bool {
        let bound = |c: &RequestClass| {
            if let Consistency::BoundedStaleness(b) = c.consistency {
                Some(b.times(LONG_PART).as_f64())
            } else {
                None
            }
        };
        let tightest = self.cfg.classes.iter().filter_map(bound).reduce(f64::min);
        self.cfg.classes[class.0].consistency == Consistency::Eventual
            && tightest.is_some_and(|b| self.class_latency[class.0] > b)
    }

    /// The last replica that is warm, if there is one: while an endpoint starts, long queries would fill it first.
    pub(crate) fn bearer(&self, group: &Group) -> Option<EndpointId> {
        let replicas = group
            .members
            .iter()
            .filter(|n| group.primary != Some(**n) && self.takes(**n));
        let replicas: Vec<EndpointId> = replicas.copied().collect();
        let warm = replicas.iter().rev().find(|n| self.is_warm(**n));
        warm.or(replicas.last())
            .filter(|_| replicas.len() > 1)
            .copied()
    }

    pub(crate) fn target_of_read(
        &mut self,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Option<EndpointId> {
        let open = self.open.get(&id)?;
        let (group_id, class) = (open.group, open.class);
        let (group, waited) = (self.groups.get(&group_id)?, self.now - open.arrived);
        let alone = self.long(open.class)
            && waited
                < self.cfg.classes[open.class.0]
                    .latency_objective
                    .times(SLOW_PART);
        if let Some(bearer) = self
            .bearer(group)
            .filter(|n| alone && !open.avoid.contains(n))
        {
            return self.grants(bearer, class, 0.0).then_some(bearer);
        }
        let consistency = Self::needed(&self.cfg.classes[open.class.0], open.floor, self.now);
        let (probe_wait, avoid) = (open.probe_wait, open.avoid.clone());
        let usable = |n: &&EndpointId| {
            group.primary != Some(**n)
                && !avoid.contains(n)
                && self.takes(**n)
                && self.room(**n, 0.0)
        };
        let replicas: Vec<EndpointId> = group.members.iter().filter(usable).copied().collect();
        let mut fresh: Vec<EndpointId> = replicas
            .iter()
            .filter(|n| self.fresh(**n, consistency))
            .copied()
            .collect();
        while let Some(pick) = self.pick(&fresh) {
            if self.try_acquire_slow_start_budget(pick, class) {
                return Some(pick);
            }
            fresh.retain(|n| *n != pick);
        }
        // Two drawn replicas are asked if none is known to be fresh, each at most as often as that can help.
        for _ in 0..2 {
            if let (Some(consistency), Some(drawn)) = (consistency, self.draw(&replicas)) {
                self.probe_for(drawn, consistency, actions);
            }
        }
        // A primary stands at the present: what it tells shows whether the clock of this machine is right. That is asked for
        // at the start only, of any primary.
        let primary = self.groups.get(&group_id).and_then(|g| g.primary);
        if let (Some(_), Some(primary)) =
            (consistency, primary.filter(|id| self.asks_for_clock(*id)))
        {
            self.probe(primary, actions);
        }
        // None known: a probe on its way may tell of one, and is waited for once.
        let asked = replicas.iter().any(|n| self.endpoints[n].probe_out);
        let until = probe_wait
            .unwrap_or(self.now + Span(1).times(2.0 * self.probe_latency) + self.cfg.tick);
        self.open.get_mut(&id)?.probe_wait = Some(until);
        if asked && self.now < until {
            return None;
        }
        let primary = self.known_primary(group_id, class, 1.0);
        if primary.is_none() && replicas.is_empty() {
            self.open.get_mut(&id)?.avoid.clear();
        }
        primary
    }

    /// Design page: of two drawn, the one with fewer of this router's requests in flight; ours: on a tie the
    /// one in the router's zone.
    pub(crate) fn pick(&mut self, from: &[EndpointId]) -> Option<EndpointId> {
        let (first, second) = (self.draw(from)?, self.draw(from)?);
        let load = |n: EndpointId| {
            (
                self.endpoints[&n].out.len(),
                self.endpoints[&n].zone != self.cfg.zone,
            )
        };
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }

    /// Draws by what a node can do: its size, the warm part of it, how seldom it fails. Failing is quick and
    /// leaves little in flight, so that such a node would draw ever more.
    pub(crate) fn draw(&mut self, from: &[EndpointId]) -> Option<EndpointId> {
        // Whoever meets a member often sees that it is slow in what is out there and in its limit; who meets
        // it seldom has nothing out, and the last few answers.
        let seldom = 2.0 * (1.0 - self.heard());
        // It would also need a new connection nearly each time: it goes on where one stands unused.
        let idle = self.cfg.limits.idle_connection_timeout.times(STANDS);
        let stands =
            |n: &Node| n.out.is_empty() && n.sent_at.is_some_and(|at| self.now - at < idle);
        let part = |id: &EndpointId| {
            let endpoint = &self.endpoints[id];
            let excess = faded(
                endpoint.excess,
                self.now - endpoint.excess_at,
                self.cfg.rules.slow_start_duration,
            );
            let fit =
                (1.0 - endpoint.faults).powi(4).max(GAIN.powi(2)) / (1.0 + excess).powf(seldom);
            let stands = if stands(endpoint) {
                (1.0 + MOST_EXCESS).powf(seldom)
            } else {
                1.0
            };
            endpoint.weight * self.slow_start_fraction(endpoint).unwrap_or(1.0) * fit * stands
        };
        let parts: Vec<f64> = from.iter().map(part).collect();
        let mut at = self.random() * parts.iter().sum::<f64>();
        for (id, part) in from.iter().zip(parts) {
            at -= part;
            if at < 0.0 {
                return Some(*id);
            }
        }
        from.last().copied()
    }
}
