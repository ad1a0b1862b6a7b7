//! Timers of the reducer.
//!
//! Timers are kept in a set that is ordered by due time and, for equal times, by the order of the
//! variants of [`Timer`]. That order determines the order of effects, so it must not change. The
//! set is bounded by the number of open requests and upstream connections, the policy's own timers,
//! and one timer of each other kind.

use std::sync::Arc;

use valehatch_policy::{PolicyEvent, RequestId, Span, Time};

use crate::messages::{ConnectionId, Effect, Observability};
use crate::reducer::State;

/// Minimum publishing interval of the live view per listed endpoint. Building the view takes about
/// a microsecond per endpoint.
const PUBLISH_INTERVAL_PER_ENDPOINT: Span = Span(50);

/// A kind of timer, with the object that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A timer set by the policy, identified by the policy's token.
    Policy(u64),
    /// The attempt or health check on this connection times out.
    AttemptTimeout(ConnectionId),
    /// The request has no final answer although its client has stopped waiting.
    RequestOverdue(RequestId),
    /// Closes upstream connections that have been idle for too long; repeats.
    SweepIdleConnections,
    /// Publishes the live view; repeats.
    PublishView,
    /// Expires requests that have waited in the admission queue for too long.
    Admission,
    /// Shutdown: stops accepting client connections.
    StopListening,
    /// Shutdown: closes client connections without an open request; repeats.
    CloseClients,
    /// Shutdown after a handoff: starts to reject new requests.
    RejectAfterHandoff,
    /// Shutdown: sends a final answer to each open request.
    FailOpenRequests,
    /// Shutdown: requests the exit of the process; repeats.
    Exit,
    /// Schedules requests that are held until there is memory for their responses; repeats.
    HeldRequests,
    /// The request has been held for too long.
    HeldExpired(RequestId),
}

/// A timer and when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ScheduledTimer {
    pub(crate) at: Time,
    pub(crate) timer: Timer,
}

impl State {
    pub(crate) fn set_timer(&mut self, at: Time, timer: Timer) {
        self.timers.insert(ScheduledTimer { at, timer });
    }

    /// Removes a timer that was set for this time; does nothing if there is none.
    pub(crate) fn cancel_timer(&mut self, at: Time, timer: Timer) {
        self.timers.remove(&ScheduledTimer { at, timer });
    }

    /// Removes and returns the first timer that is due at `now`.
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
                policy_events.extend(self.on_attempt_timeout(now, connection, effects));
            }
            Timer::RequestOverdue(id) => self.on_request_overdue(now, id, policy_events, effects),
            Timer::PublishView => self.on_publish_timer(now, effects),
            Timer::SweepIdleConnections => self.sweep_idle_connections(now, effects),
            Timer::Admission => self.on_admission_timer(now),
            Timer::StopListening => effects.push(Effect::StopListening),
            Timer::CloseClients => self.on_close_clients_timer(now, effects),
            Timer::RejectAfterHandoff => self.on_reject_after_handoff_timer(),
            Timer::Exit => self.on_exit_timer(now, effects),
            Timer::HeldRequests => self.on_held_timer(now, policy_events),
            Timer::HeldExpired(id) => self.on_held_expired(now, id, effects),
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
