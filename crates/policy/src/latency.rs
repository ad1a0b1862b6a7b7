//! Estimates from how attempts ended.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::concurrency_limit::LIMIT_CUT;
use crate::endpoint::Node;
use crate::events::*;
use crate::ids::*;
use crate::load_shedding::{STRAIN, STRAIN_GAIN};
use crate::router::Router;
use crate::settings::*;
use crate::time::*;

/// Smoothing of measured latencies and lags: the last ten or so samples count.
pub(crate) const GAIN: f64 = 0.1;
/// The same for how slow one member is: the last two or three answers, all that a router may have of it.
pub(crate) const EXCESS_GAIN: f64 = 0.3;
/// A member that answers so many times later than usual is as slow as any.
pub(crate) const MOST_EXCESS: f64 = 9.0;
/// An answer that takes more than this part of its class's aim is slow: the rest is for waiting and retrying.
pub(crate) const SLOW_PART: f64 = 0.33;
/// Answers and lags are remembered for so long at least, however soon a member gets warm.
pub(crate) const MEMORY: Span = Span::from_millis(1000);
impl Router {
    /// Learns from how an attempt ended, whether or not its request is still held.
    pub(crate) fn measure(&mut self, end: &AttemptEnd, class_id: ClassId, key: Option<SessionKey>) {
        let class = &self.cfg.classes[class_id.0];
        let Some(endpoint) = self.endpoints.get_mut(&end.endpoint) else {
            return;
        };
        let fault = f64::from(u8::from(matches!(
            end.outcome,
            Outcome::Error | Outcome::Reset
        )));
        endpoint.faults += GAIN * (fault - endpoint.faults);
        let slow = end.latency > class.latency_objective.times(SLOW_PART); // A client's haste proves nothing.
        if !end.outcome.never_ran() && (end.outcome == Outcome::Ok || slow) {
            let usual = self.class_latency[class_id.0];
            let excess = (end.latency.as_f64() / usual - 1.0).clamp(0.0, MOST_EXCESS);
            let before = faded(
                endpoint.excess,
                self.now - endpoint.excess_at,
                self.cfg.rules.slow_start_duration,
            );
            (endpoint.excess, endpoint.excess_at) =
                (before + EXCESS_GAIN * (excess - before), self.now);
        }
        let full = if end.outcome == Outcome::Rejected {
            STRAIN.1
        } else {
            0.0
        };
        let part =
            (end.latency.as_f64() / class.latency_objective.as_f64().max(1.0)).clamp(full, 2.0);
        if !end.outcome.never_ran() || end.outcome == Outcome::Rejected {
            // Answers from other groups stand in where a group has few of its own.
            let primary = self
                .groups
                .get(&endpoint.group)
                .is_some_and(|g| g.primary == Some(end.endpoint));
            let shared = STRAIN_GAIN / (self.groups.len() as f64).sqrt();
            for (id, group) in &mut self.groups {
                let strain = &mut group.strain[usize::from(primary)];
                *strain += if *id == endpoint.group {
                    STRAIN_GAIN
                } else {
                    shared
                } * (part - *strain);
            }
        }
        if slow || end.outcome == Outcome::Rejected {
            endpoint.limit = (endpoint.limit - LIMIT_CUT).max(1.0);
        } else if end.outcome == Outcome::Ok
            && endpoint.out.len() as f64 + 1.0 > endpoint.limit / 2.0
        {
            endpoint.limit += 1.0 / endpoint.limit;
        }
        if end.outcome != Outcome::Ok {
            return;
        }
        let warm = |n: &&Node| n.ready() && self.slow_start_fraction(n).is_none();
        if self.endpoints.get(&end.endpoint).filter(warm).is_some() {
            // By the size that was warm then: by what is warm later, nodes of a group most of which went away
            // would seem to have served far more for their size.
            let sizes: f64 = self.endpoints.values().filter(warm).map(|n| n.weight).sum();
            (self.served, self.served_at) = (self.served_now() + 1.0 / sizes, self.now);
        }
        let sample = end.latency.as_f64();
        self.costs.on_served(class_id, sample);
        let (mean, deviation) = (
            &mut self.class_latency[class_id.0],
            &mut self.class_deviation[class_id.0],
        );
        *deviation += GAIN * ((sample - *mean).abs() - *deviation);
        *mean = (*mean + GAIN * (sample - *mean)).max(1.0);
        let kept = class.consistency == Consistency::Write
            && self.cfg.sessions == SessionTracking::RouterTracked;
        let (true, Some(key), Some(at)) = (kept, key, end.position) else {
            return;
        };
        let kept = *self
            .sessions
            .entry(key)
            .and_modify(|kept| *kept = at.max(*kept))
            .or_insert(at);
        self.session_order.push_back((key, kept));
        // Memory is bounded by letting the oldest go: its position is then asked of every unknown session.
        while self.session_order.len() > self.cfg.limits.max_open_requests {
            let Some((old, when)) = self.session_order.pop_front() else {
                break;
            };
            if self.sessions.get(&old) == Some(&when) && self.sessions.remove(&old).is_some() {
                self.session_floor = self.session_floor.max(Some(when));
            }
        }
    }

    /// How much this router's own answers of late tell of each member: from nothing to enough, 1.
    pub(crate) fn heard(&self) -> f64 {
        (self.served_now() * GAIN).min(1.0)
    }

    pub(crate) fn served_now(&self) -> f64 {
        faded(
            self.served,
            self.now - self.served_at,
            self.cfg.rules.slow_start_duration,
        )
    }
}

pub(crate) fn faded(amount: f64, after: Span, over: Span) -> f64 {
    amount * (-after.as_f64() / over.max(MEMORY).as_f64()).exp()
}
