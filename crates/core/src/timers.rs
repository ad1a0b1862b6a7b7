//! What the reducer does at a time of its own choosing.
//!
//! The reducer keeps its timers in one ordered set: by time, and among timers of the same moment by
//! the order of the variants of [`Timer`]. That order reaches the effects, so it must not change.
//! The set is bounded by the open requests and upstream connections, the policy's own timers, and
//! one of each other kind.

use std::sync::Arc;

use valehatch_policy::{Outcome, PolicyEvent, RequestId, Span, Time};

use crate::attempts::AfterReply;
use crate::messages::{ConnectionId, Effect, Observability, UpstreamReply};
use crate::reducer::State;

/// The view is published at most this often per endpoint: drawing it up takes about a microsecond
/// for each.
const PUBLISH_INTERVAL_PER_ENDPOINT: Span = Span(50);

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A timer that the policy set, with its token.
    Policy(u64),
    /// An attempt or a health check has been out for too long on this connection.
    AttemptTimeout(ConnectionId),
    /// A request has had no final answer although its client's time is over.
    RequestOverdue(RequestId),
    /// Upstream connections that have been idle for too long are closed.
    SweepIdleConnections,
    /// The live view is published.
    PublishView,
    /// The admission queue looks for requests that have waited too long.
    Admission,
    /// Shutdown: no new client connections.
    StopListening,
    /// Shutdown: client connections without an open request are closed; repeats.
    CloseClients,
    /// Shutdown after a handoff: new requests are rejected.
    RejectAfterHandoff,
    /// Shutdown: open requests get their final answer now.
    FailOpenRequests,
    /// Shutdown: the program is asked to end; repeats.
    Exit,
}

/// A timer and when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ScheduledTimer {
    /// When it is due.
    pub(crate) at: Time,
    /// What is due then.
    pub(crate) timer: Timer,
}

impl State {
    /// Sets a timer.
    pub(crate) fn set_timer(&mut self, at: Time, timer: Timer) {
        self.timers.insert(ScheduledTimer { at, timer });
    }

    /// Removes a timer that was set for this time, if there is one.
    pub(crate) fn cancel_timer(&mut self, at: Time, timer: Timer) {
        self.timers.remove(&ScheduledTimer { at, timer });
    }

    /// Takes out the first timer that is due by now.
    pub(crate) fn pop_due_timer(&mut self, now: Time) -> Option<Timer> {
        let first = *self.timers.first()?;
        if first.at > now {
            return None;
        }
        self.timers.pop_first();
        Some(first.timer)
    }

    /// Runs a timer that is due.
    pub(crate) fn on_timer(
        &mut self,
        now: Time,
        timer: Timer,
        policy_events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        match timer {
            Timer::Policy(token) => policy_events.push(PolicyEvent::Timer(token)),
            Timer::AttemptTimeout(connection) => {
                // A late answer on this connection would be taken for the answer to the next
                // request that it carries, so the connection is closed together with the attempt.
                let reply = UpstreamReply::without_details(Outcome::Timeout);
                let ended = self.on_reply(now, connection, reply, AfterReply::Close, effects);
                policy_events.extend(ended);
            }
            Timer::RequestOverdue(id) => self.on_request_overdue(now, id, policy_events, effects),
            Timer::PublishView => self.on_publish_timer(now, effects),
            Timer::SweepIdleConnections => self.sweep_idle_connections(now, effects),
            Timer::Admission => self.on_admission_timer(now),
            Timer::StopListening => effects.push(Effect::StopListening),
            Timer::CloseClients => self.on_close_clients_timer(now, effects),
            Timer::RejectAfterHandoff => self.on_reject_after_handoff_timer(),
            Timer::Exit => self.on_exit_timer(now, effects),
            Timer::FailOpenRequests => self.fail_open_requests(now, policy_events, effects),
        }
    }

    fn on_publish_timer(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(observability) = self.config.observability.clone() else {
            return;
        };
        let interval = self.publish_interval(&observability);
        self.set_timer(now + interval, Timer::PublishView);
        self.publish_view(now, effects);
    }

    fn publish_interval(&self, observability: &Arc<Observability>) -> Span {
        let endpoints = i64::try_from(self.endpoints.len()).unwrap_or(i64::MAX);
        let shortest = Span(PUBLISH_INTERVAL_PER_ENDPOINT.0 * endpoints);
        observability.publish_interval.max(shortest)
    }
}
