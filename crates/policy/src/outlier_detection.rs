//! Whether an endpoint may be used, by this router's own evidence.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::endpoint::{Node, Sent};
use crate::events::*;
use crate::ids::*;
use crate::primary_search::SEARCH_PAUSE;
use crate::router::Router;
use crate::scheduling::Open;
use crate::settings::*;
use crate::time::*;

/// Deviations above the mean at which one unanswered attempt counts as silence: answers vary widely.
pub(crate) const PATIENCE_DEVS: f64 = 9.0;
/// Lost attempts and failed probes without an answer between them from which a node counts as out of reach.
pub(crate) const DOUBTS: u32 = 3;
/// May I use this node, by my own evidence? Lost attempts raise doubts, which an answer ends; silence shuts
/// it, or a failed probe among some doubts; an answer opens it, and a passing probe too unless it is silent
/// (a hung process passes probes). A single break shuts nothing: what comes back from that counts as cold.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    pub(crate) doubts: u32,
    pub(crate) shut: Option<Shut>,
    pub(crate) again: Time,
    /// Until it is asked once more after that.
    pub(crate) gap: Span,
    /// When it came back from out of reach: it may have started anew, long before the list says so.
    pub(crate) revived: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shut {
    Silent,
    OutOfReach,
}

impl Reach {
    pub(crate) fn open(&mut self, now: Time) {
        if self.shut.take() == Some(Shut::OutOfReach) {
            self.revived = Some(now);
        }
        self.doubts = 0;
    }

    pub(crate) fn shut(&mut self, why: Shut, now: Time) {
        (self.shut, self.again, self.gap) = (Some(why), now + SEARCH_PAUSE, SEARCH_PAUSE);
    }
}

impl Router {
    /// How long an attempt of a class may stay unanswered, among so many out, before that counts as evidence.
    /// By class: a long query is no silence, and calling it off only makes the node run it twice.
    pub(crate) fn patience(&self, class: ClassId, out: usize) -> Span {
        let devs = PATIENCE_DEVS / (out.max(1) as f64).sqrt();
        let (mean, deviation) = (self.class_latency[class.0], self.class_deviation[class.0]);
        Span(1).times(mean + devs * deviation) + self.cfg.tick
    }

    /// Departure: silence is evidence. A hung node never says miss, so one that leaves all its attempts
    /// unanswered for longer than this router's answers ever take gets nothing new but a trickle.
    pub(crate) fn tend_health(&mut self, actions: &mut Vec<Action>) {
        let over = |(id, endpoint): (&EndpointId, &Node)| {
            self.silence(endpoint)
                .filter(|at| *at < self.now)
                .map(|_| *id)
        };
        for id in self.endpoints.iter().filter_map(over).collect::<Vec<_>>() {
            let Some(endpoint) = self.endpoints.get_mut(&id) else {
                continue;
            };
            endpoint.health.shut(Shut::Silent, self.now);
            let harms =
                |o: &Open| self.cfg.classes[o.class.0].idempotency == Idempotency::NonIdempotent;
            let off = |id: &RequestId| {
                self.cfg.limits.cancel && self.open.get(id).is_some_and(|o| !harms(o))
            };
            let out = endpoint.out.keys().copied().filter(|(id, _)| off(id));
            actions.extend(out.map(|(request, attempt)| Action::Cancel { request, attempt }));
            self.lose_primary(id);
        }
    }

    /// When what is out at a node will count as silence.
    pub(crate) fn silence(&self, endpoint: &Node) -> Option<Time> {
        let quiet = |(sent, class, _): &Sent| {
            endpoint.quiet_since.map_or(*sent, |q| q.max(*sent))
                + self.patience(*class, endpoint.out.len())
        };
        endpoint
            .out
            .values()
            .filter(|_| endpoint.health.shut != Some(Shut::Silent))
            .map(quiet)
            .min()
    }

    /// Takes new work: ready, and not shut (but for a trial now and then).
    pub(crate) fn takes(&self, id: EndpointId) -> bool {
        let due = |n: &Node| n.health.shut == Some(Shut::Silent) && self.now >= n.health.again;
        self.endpoints
            .get(&id)
            .is_some_and(|n| n.ready() || (n.state == EndpointState::Ready && due(n)))
    }
}
