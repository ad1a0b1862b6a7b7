//! State, schedule and steps of a shutdown.
//!
//! A shutdown is caused by a planned shutdown request, by a handoff (another process takes over new
//! connections), or by both; the timers that they set trigger the steps. Times are whole
//! microseconds of the process's monotonic clock. The state has a fixed size.
//!
//! | state | `Requested` | `HandoffStarted` | `CloseClients` | `RejectRequests` |
//! | --- | --- | --- | --- | --- |
//! | `Serving` | `Draining`, cause `Requested` | `Draining`, cause `Handoff` | same | same |
//! | `Draining` | adds the cause | adds the cause | `Closing` | `Rejecting` |
//! | `Closing` | adds the cause | adds the cause | same | `RejectingAndClosing` |
//! | `Rejecting` | adds the cause | adds the cause | `RejectingAndClosing` | same |
//! | `RejectingAndClosing` | adds the cause | adds the cause | same | same |
//!
//! A shutdown ends with repeated [`Effect::Exit`], from shortly before the earliest moment at which
//! the platform may kill the process. The kill may come much later, and what it finds unanswered is
//! not lost, whereas what the process cuts off by ending itself is. So the requests for an exit say
//! that nothing new is begun, and the clients' side decides when the process ends:
//!
//! | when the exit is requested | what happens to it | ends at the latest |
//! | --- | --- | --- |
//! | a response is being streamed | it continues to its last byte | client or endpoint stands still |
//! | an answer is queued, or partly written | it is written | client stands still |
//! | an answer waits behind one of these | it is written behind it | with it |
//! | a new request on their connections | it is rejected, behind them | with them, and a short grace |
//! | any other connection | it is closed with an error | a short grace |
//!
//! A process that owes no response exits when the grace is over.
//!
//! `Rejecting` may come before `Closing`: if the longest deadline of all classes is short, open
//! requests receive their final answer before client connections begin to close.

use valehatch_policy::{Outcome, PolicyEvent, RequestId, Span, Time};
use valehatch_request_log::{FailureReason, RejectionReason};

use crate::attempts::AfterReply;
use crate::messages::{Effect, UpstreamReply, UpstreamTransport};
use crate::permission::{ProcessStage, may_close};
use crate::reducer::State;
use crate::requests::{EndReasons, PendingRequest};
use crate::timers::Timer;

/// New connections are accepted for this long after a shutdown request, because clients continue to
/// connect for 0.4 s.
const ACCEPT_AFTER_REQUEST: Span = Span::from_millis(450);
/// The platform kills the process after the longest class deadline, capped at this value, plus
/// [`KILL_GRACE`].
const MAX_CLASS_DEADLINE: Span = Span::from_millis(3_000);
/// Time that the platform adds to the longest deadline before it sends SIGKILL.
const KILL_GRACE: Span = Span::from_millis(700);
/// Part of the time until the kill, in tenths, for which existing connections are served. Clients
/// use a connection for as long as it is open, and the other gateways may be down as well.
const SERVE_TENTHS: i64 = 9;
/// After a handoff, existing connections are served for this long before idle ones are closed.
const SERVE_AFTER_HANDOFF: Span = Span::from_millis(100);
/// Open requests receive their final answer this long before the kill.
const FAIL_REQUESTS_LEAD: Span = Span::from_millis(250);
/// After a handoff, new requests are rejected this much earlier than open requests are failed: they
/// would be cut off in this process, and the other process can serve them.
const REJECT_AFTER_HANDOFF_LEAD: Span = Span::from_millis(250);
/// Retry-After for requests that are rejected after a handoff; the other process accepts them
/// immediately.
pub(crate) const RETRY_AFTER_HANDOFF: Span = Span::from_millis(1);
/// Interval at which idle client connections are closed.
const CLOSE_INTERVAL: Span = Span::from_millis(25);
/// The exit is requested this long before the kill, even if clients keep connections open.
const EXIT_LEAD: Span = Span::from_millis(100);
/// Interval at which [`Effect::Exit`] is repeated; the process exits once it owes no response.
const EXIT_INTERVAL: Span = Span::from_millis(5);

/// Why the process shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownCause {
    /// A planned shutdown was requested.
    Requested,
    /// Another process accepts new connections.
    Handoff,
    /// A planned shutdown was requested, and another process accepts new connections.
    RequestedAndHandoff,
}

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// Requests are served as before.
    Draining,
    /// Requests are served; client connections without an open request are closed.
    Closing,
    /// New requests are rejected; client connections stay open.
    Rejecting,
    /// New requests are rejected and all idle client connections are closed.
    RejectingAndClosing,
}

/// An event that starts or advances a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownEvent {
    /// A planned shutdown was requested.
    Requested,
    /// Another process accepts new connections from now on.
    HandoffStarted,
    /// Client connections begin to close.
    CloseClients,
    /// New requests begin to be rejected.
    RejectRequests,
}

/// State of the shutdown. It never returns to an earlier state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShutdownState {
    /// No shutdown has begun.
    #[default]
    Serving,
    /// A shutdown is in progress.
    ShuttingDown {
        /// All causes so far.
        cause: ShutdownCause,
        /// Steps that have been taken so far.
        phase: ShutdownPhase,
    },
}

impl ShutdownState {
    /// Returns the state after an event, according to the table in the module documentation.
    #[must_use]
    pub const fn after(self, event: ShutdownEvent) -> Self {
        let Self::ShuttingDown { cause, phase } = self else {
            return Self::first_after(event);
        };
        match event {
            ShutdownEvent::Requested => Self::ShuttingDown {
                cause: cause.with_request(),
                phase,
            },
            ShutdownEvent::HandoffStarted => Self::ShuttingDown {
                cause: cause.with_handoff(),
                phase,
            },
            ShutdownEvent::CloseClients => Self::ShuttingDown {
                cause,
                phase: phase.with_closing(),
            },
            ShutdownEvent::RejectRequests => Self::ShuttingDown {
                cause,
                phase: phase.with_rejecting(),
            },
        }
    }

    const fn first_after(event: ShutdownEvent) -> Self {
        let cause = match event {
            ShutdownEvent::Requested => ShutdownCause::Requested,
            ShutdownEvent::HandoffStarted => ShutdownCause::Handoff,
            ShutdownEvent::CloseClients | ShutdownEvent::RejectRequests => return Self::Serving,
        };
        Self::ShuttingDown {
            cause,
            phase: ShutdownPhase::Draining,
        }
    }

    /// Whether a planned shutdown was requested.
    #[must_use]
    pub const fn is_requested(self) -> bool {
        matches!(
            self,
            Self::ShuttingDown {
                cause: ShutdownCause::Requested | ShutdownCause::RequestedAndHandoff,
                ..
            }
        )
    }

    /// Whether another process accepts new connections.
    #[must_use]
    pub const fn is_handoff(self) -> bool {
        matches!(
            self,
            Self::ShuttingDown {
                cause: ShutdownCause::Handoff | ShutdownCause::RequestedAndHandoff,
                ..
            }
        )
    }

    /// Whether client connections are being closed.
    #[must_use]
    pub const fn is_closing(self) -> bool {
        matches!(
            self,
            Self::ShuttingDown {
                phase: ShutdownPhase::Closing | ShutdownPhase::RejectingAndClosing,
                ..
            }
        )
    }

    /// Whether new requests are rejected.
    #[must_use]
    pub const fn is_rejecting(self) -> bool {
        matches!(
            self,
            Self::ShuttingDown {
                phase: ShutdownPhase::Rejecting | ShutdownPhase::RejectingAndClosing,
                ..
            }
        )
    }

    /// Stage of the process, which decides whether requests are accepted.
    #[must_use]
    pub const fn process_stage(self) -> ProcessStage {
        match self {
            Self::Serving => ProcessStage::Serving,
            Self::ShuttingDown { phase, .. } => match phase {
                ShutdownPhase::Draining => ProcessStage::Draining,
                ShutdownPhase::Closing => ProcessStage::Closing,
                ShutdownPhase::Rejecting | ShutdownPhase::RejectingAndClosing => {
                    ProcessStage::Stopping
                }
            },
        }
    }
}

impl ShutdownCause {
    const fn with_request(self) -> Self {
        match self {
            Self::Requested => Self::Requested,
            Self::Handoff | Self::RequestedAndHandoff => Self::RequestedAndHandoff,
        }
    }

    const fn with_handoff(self) -> Self {
        match self {
            Self::Handoff => Self::Handoff,
            Self::Requested | Self::RequestedAndHandoff => Self::RequestedAndHandoff,
        }
    }
}

impl ShutdownPhase {
    const fn with_closing(self) -> Self {
        match self {
            Self::Draining | Self::Closing => Self::Closing,
            Self::Rejecting | Self::RejectingAndClosing => Self::RejectingAndClosing,
        }
    }

    const fn with_rejecting(self) -> Self {
        match self {
            Self::Draining | Self::Rejecting => Self::Rejecting,
            Self::Closing | Self::RejectingAndClosing => Self::RejectingAndClosing,
        }
    }
}

impl State {
    /// Schedules the steps of a planned shutdown so that the process, if it owes no response by
    /// then, exits before the platform kills it. A repeated request does not change the schedule.
    pub(crate) fn on_shutdown_requested(&mut self, now: Time) {
        if self.shutdown.is_requested() {
            return;
        }
        self.shutdown = self.shutdown.after(ShutdownEvent::Requested);
        let classes = &self.config.settings.classes;
        let longest = classes.iter().map(|class| class.deadline).max();
        let kill_after = longest
            .unwrap_or(MAX_CLASS_DEADLINE)
            .min(MAX_CLASS_DEADLINE)
            + KILL_GRACE;
        let close_after = Span(kill_after.0 / 10 * SERVE_TENTHS).max(ACCEPT_AFTER_REQUEST);
        let fail_after = kill_after - FAIL_REQUESTS_LEAD;
        self.set_timer(now + ACCEPT_AFTER_REQUEST, Timer::StopListening);
        self.set_timer(now + close_after, Timer::CloseClients);
        self.set_timer(
            now + (fail_after - REJECT_AFTER_HANDOFF_LEAD),
            Timer::RejectAfterHandoff,
        );
        self.set_timer(now + fail_after, Timer::FailOpenRequests);
        self.set_timer(now + (kill_after - EXIT_LEAD), Timer::Exit);
    }

    /// Schedules the steps of a handoff: stops accepting connections immediately, and later closes
    /// client connections when they become idle. The delay lets connections that were accepted last
    /// still be served.
    pub(crate) fn on_handoff_started(&mut self, now: Time) {
        self.shutdown = self.shutdown.after(ShutdownEvent::HandoffStarted);
        self.set_timer(now, Timer::StopListening);
        self.set_timer(now + SERVE_AFTER_HANDOFF, Timer::CloseClients);
    }

    /// Closes client connections without an open request, and sets the timer again for connections
    /// that become idle later.
    pub(crate) fn on_close_clients_timer(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.shutdown = self.shutdown.after(ShutdownEvent::CloseClients);
        if self.shutdown.is_rejecting() {
            effects.push(Effect::CloseIdleClients);
        } else {
            self.close_idle_clients(effects);
        }
        self.set_timer(now + CLOSE_INTERVAL, Timer::CloseClients);
    }

    fn close_idle_clients(&self, effects: &mut Vec<Effect>) {
        for (id, client) in &self.clients {
            if may_close(client.open_requests.len()).is_ok() {
                effects.push(Effect::CloseClient(*id));
            }
        }
    }

    /// Starts to reject new requests if another process can serve them.
    pub(crate) fn on_reject_after_handoff_timer(&mut self) {
        if self.shutdown.is_handoff() {
            self.shutdown = self.shutdown.after(ShutdownEvent::RejectRequests);
        }
    }

    /// Requests the exit of the process, and sets the timer to repeat the request.
    pub(crate) fn on_exit_timer(&mut self, now: Time, effects: &mut Vec<Effect>) {
        effects.push(Effect::Exit);
        self.set_timer(now + EXIT_INTERVAL, Timer::Exit);
    }

    /// Sends a final answer to each open request. Responses that are being streamed continue, and
    /// the exit waits for them.
    pub(crate) fn fail_open_requests(
        &mut self,
        now: Time,
        policy_events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        self.shutdown = self.shutdown.after(ShutdownEvent::RejectRequests);
        let not_streaming = |(id, request): (&RequestId, &PendingRequest)| {
            request.response_started_at.is_none().then_some(*id)
        };
        let open: Vec<RequestId> = self.requests.iter().filter_map(not_streaming).collect();
        self.cancel_shared_attempts(&open, effects);
        for id in open {
            self.fail_open_request(now, id, policy_events, effects);
        }
    }

    /// Cancels the attempts of requests that are about to be answered, all of them first: a shared
    /// connection is closed once the last job on it is cancelled.
    fn cancel_shared_attempts(&self, requests: &[RequestId], effects: &mut Vec<Effect>) {
        if self.config.transport == UpstreamTransport::Exclusive {
            return;
        }
        let connections = requests.iter().flat_map(|id| self.connections_of(*id));
        effects.extend(connections.map(Effect::CancelAttempt));
    }

    fn fail_open_request(
        &mut self,
        now: Time,
        id: RequestId,
        policy_events: &mut Vec<PolicyEvent>,
        effects: &mut Vec<Effect>,
    ) {
        let reasons = EndReasons {
            never_ran: RejectionReason::Stopping,
            may_have_run: FailureReason::Stopping,
        };
        // The client may retry elsewhere once it has its answer, and an attempt still in flight
        // would overlap with the retry. The upstream connection is therefore closed first.
        let mut ended = vec![];
        for connection in self.connections_of(id) {
            ended.extend(self.cancel_unsent_attempt(now, connection, effects));
            let reply = UpstreamReply::without_details(Outcome::Cancelled);
            ended.extend(self.on_reply(now, connection, reply, AfterReply::Close, effects));
        }
        self.end_request(now, id, reasons, policy_events, effects);
        for mut event in ended {
            if let PolicyEvent::AttemptEnded(end) = &mut event {
                end.request_ended = true;
            }
            policy_events.push(event);
        }
    }
}
