//! State of a client connection, kept so that the connection is not closed while a request that was
//! read from it is unanswered. Plain data, guarded by the connection's mutex.

use valehatch_connection_limits::ConnectionActivity;
use valehatch_policy::{Span, Time};

use super::LastRejection;
use super::presence::PresenceEvidence;

/// Idle timeout of a connection that has sent at most one request.
const IDLE_TIMEOUT: Span = Span::from_millis(2_000);
/// Idle timeout of a connection that has sent several requests. Longer, because a new connection
/// costs more than an idle one, and because clients may have no other gateway to connect to while
/// gateways restart in turn.
const REUSED_IDLE_TIMEOUT: Span = Span::from_millis(10_000);

/// How much of the current message has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::clients) enum RequestInput {
    /// Nothing has been received.
    None,
    /// At least one byte has been received.
    Partial,
    /// A complete request, which is about to be admitted or rejected.
    Complete,
}

/// How far this side has closed the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::clients) enum ConnectionPhase {
    Open,
    /// A lingering close is in progress: input is discarded, and no request is executed.
    Closing {
        since: Time,
    },
    /// Nothing can be written any more. A lingering close that was in progress continues.
    Aborted {
        closing_since: Option<Time>,
    },
}

/// Whether the client is still connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::clients) enum ClientPresence {
    Connected,
    /// The client has closed the connection: requests that it sent before are counted, but not
    /// executed.
    Disconnected,
    /// As [`ClientPresence::Disconnected`], and the disconnect was reported to the core.
    DisconnectReported,
}

/// State of a client connection.
pub(in crate::clients) struct ConnectionState {
    pub input: RequestInput,
    pub phase: ConnectionPhase,
    pub presence: ClientPresence,
    pub presence_evidence: PresenceEvidence,
    /// Set while input is read that cannot be handled, to reach the client's close behind it.
    pub reads_ahead: bool,
    /// Set if the next request is to be rejected, since something must be written to the client.
    pub rejects_request: bool,
    /// Responses that are not completely written, including a closing error.
    pub pending_responses: usize,
    /// Responses that are completely written.
    written_responses: usize,
    /// Value of `written_responses` at which the client has received every response that was
    /// pending when the exit was first requested; `None` before that.
    owed_at_exit: Option<usize>,
    /// Number of requests received.
    pub requests: u32,
    /// Set if the client sends its first message in pieces.
    pub writes_in_pieces: bool,
    /// The activity that was last reported to the limiter.
    pub reported_activity: ConnectionActivity,
    /// When the connection was accepted or last used.
    pub last_used: Time,
    /// How long the connection may be idle.
    pub idle_timeout: Span,
    /// Bytes received of messages that are not handled yet.
    pub received_bytes: usize,
    /// Number of pending responses when input could last not be handled, because of them.
    pub stalled_with: usize,
    /// Set while the connection is stalled and nobody serves it.
    pub waits_for_written_response: bool,
    /// The closing error with which the connection is closed once no response is pending.
    pub deferred_close: Option<Vec<u8>>,
    /// When the reader stopped reading because too much was pending; `None` once it has read all
    /// input that had arrived.
    pub input_delayed_since: Option<Time>,
    /// Rejection that is held until the reading thread has handled its request.
    pub last_rejection: Option<LastRejection>,
}

impl ConnectionState {
    pub(in crate::clients) const fn new(now: Time) -> Self {
        Self {
            input: RequestInput::None,
            phase: ConnectionPhase::Open,
            presence: ClientPresence::Connected,
            presence_evidence: PresenceEvidence::new(now),
            reads_ahead: false,
            rejects_request: false,
            pending_responses: 0,
            written_responses: 0,
            owed_at_exit: None,
            requests: 0,
            writes_in_pieces: false,
            reported_activity: ConnectionActivity::Unused,
            last_used: now,
            idle_timeout: IDLE_TIMEOUT,
            received_bytes: 0,
            stalled_with: 0,
            waits_for_written_response: false,
            deferred_close: None,
            input_delayed_since: None,
            last_rejection: None,
        }
    }

    pub(in crate::clients) const fn activity(&self) -> ConnectionActivity {
        match self {
            Self {
                phase: ConnectionPhase::Closing { .. } | ConnectionPhase::Aborted { .. },
                ..
            } => ConnectionActivity::Closing,
            Self {
                pending_responses: 1..,
                ..
            }
            | Self {
                input: RequestInput::Complete,
                ..
            } => ConnectionActivity::Active,
            Self {
                input: RequestInput::Partial,
                ..
            } => ConnectionActivity::PartialRequest,
            Self { requests: 1, .. } => ConnectionActivity::IdleAfterOne,
            Self { requests: 2.., .. } => ConnectionActivity::IdleReused,
            // The next piece of the message is expected soon.
            Self {
                writes_in_pieces: true,
                ..
            } => ConnectionActivity::PartialRequest,
            _ => ConnectionActivity::Unused,
        }
    }

    /// When the lingering close in progress began.
    pub(in crate::clients) const fn closing_since(&self) -> Option<Time> {
        match self.phase {
            ConnectionPhase::Open => None,
            ConnectionPhase::Closing { since } => Some(since),
            ConnectionPhase::Aborted { closing_since } => closing_since,
        }
    }

    /// Records that pending responses are completely written.
    pub(in crate::clients) const fn finish_responses(&mut self, responses: usize) {
        self.pending_responses -= responses;
        self.written_responses += responses;
    }

    /// Records that the exit is requested; only the first call has an effect. Responses are written
    /// in the order in which they became pending, so later ones are not taken for those owed now.
    pub(in crate::clients) fn request_exit(&mut self) {
        let owed = self.written_responses + self.pending_responses;
        self.owed_at_exit.get_or_insert(owed);
    }

    /// Whether the exit is requested.
    pub(in crate::clients) const fn is_exit_requested(&self) -> bool {
        self.owed_at_exit.is_some()
    }

    /// Whether a response is not completely written that was pending when the exit was first
    /// requested.
    pub(in crate::clients) fn owes_response_at_exit(&self) -> bool {
        self.owed_at_exit
            .is_some_and(|owed| self.written_responses < owed)
    }

    pub(in crate::clients) const fn is_aborted(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Aborted { .. })
    }

    pub(in crate::clients) const fn is_client_connected(&self) -> bool {
        matches!(self.presence, ClientPresence::Connected)
    }

    /// Begins a lingering close, or restarts the timeout of the one in progress.
    pub(in crate::clients) const fn set_closing_since(&mut self, now: Time) {
        self.phase = match self.phase {
            ConnectionPhase::Open | ConnectionPhase::Closing { .. } => {
                ConnectionPhase::Closing { since: now }
            }
            ConnectionPhase::Aborted { .. } => ConnectionPhase::Aborted {
                closing_since: Some(now),
            },
        };
    }

    pub(in crate::clients) const fn abort(&mut self) {
        self.phase = ConnectionPhase::Aborted {
            closing_since: self.closing_since(),
        };
    }

    /// Records that input cannot be handled before a response is written.
    pub(in crate::clients) fn stall(&mut self, now: Time) {
        self.stalled_with = self.pending_responses;
        self.input_delayed_since.get_or_insert(now);
    }

    /// Whether a stalled connection's input has to be handled again; true only once.
    pub(in crate::clients) fn takes_wakeup(&mut self) -> bool {
        let can_go_on =
            self.pending_responses < self.stalled_with || self.phase != ConnectionPhase::Open;
        can_go_on && std::mem::take(&mut self.waits_for_written_response)
    }

    pub(in crate::clients) const fn set_disconnected(&mut self) {
        if self.is_client_connected() {
            self.presence = ClientPresence::Disconnected;
        }
    }

    /// Records that the disconnect is reported to the core; returns the previous presence.
    pub(in crate::clients) const fn set_disconnect_reported(&mut self) -> ClientPresence {
        std::mem::replace(&mut self.presence, ClientPresence::DisconnectReported)
    }

    /// Counts a request. From the second one on, the longer idle timeout applies.
    pub(in crate::clients) fn count_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
        if self.requests > 1 {
            self.idle_timeout = self.idle_timeout.max(REUSED_IDLE_TIMEOUT);
        }
    }
}
