//! What a client connection is doing, kept so that it is never closed under a request that has been
//! read. Plain data: the connection guards it by a mutex.

use valehatch_connection_limits::ConnectionActivity;
use valehatch_policy::{Span, Time};

use super::LastRejection;

/// Closes an idle connection that has sent one request at most.
const IDLE_TIMEOUT: Span = Span::from_millis(2_000);
/// Closes an idle connection that has sent several requests. Longer, since a new connection costs
/// more than an idle one, and clients may have no other gateway to connect to while gateways
/// restart in turn.
const REUSED_IDLE_TIMEOUT: Span = Span::from_millis(10_000);

/// How far the message that is being read has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::clients) enum RequestInput {
    /// No byte of it.
    None,
    /// At least one byte.
    Partial,
    /// It is a complete request, which is about to be admitted or rejected.
    Complete,
}

/// How far this side has closed the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::clients) enum ConnectionPhase {
    Open,
    /// A lingering close is under way: received bytes are discarded, and no request runs.
    Closing {
        since: Time,
    },
    /// Nothing can be written any more. A lingering close that was under way goes on.
    Aborted {
        closing_since: Option<Time>,
    },
}

/// Whether the client is still there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::clients) enum ClientPresence {
    Connected,
    /// It has closed the connection: requests that it had sent before are counted, and do not run.
    Disconnected,
    /// The same, and the core knows it.
    DisconnectReported,
}

/// What a connection is doing, kept so that it is never closed under a request that has been read.
pub(in crate::clients) struct ConnectionState {
    pub input: RequestInput,
    pub phase: ConnectionPhase,
    pub presence: ClientPresence,
    /// Responses that are not completely written, a closing error among them.
    pub responses_owed: usize,
    /// Requests so far.
    pub requests: u32,
    /// The client writes its first message in pieces.
    pub writes_in_pieces: bool,
    /// The limiter's view of the connection.
    pub reported_activity: ConnectionActivity,
    /// When the connection was accepted or last used.
    pub last_used: Time,
    /// How long it may be idle.
    pub idle_timeout: Span,
    /// A thread waits until fewer responses are owed.
    pub has_waiting_reader: bool,
    /// A rejection that waits for the reading thread to have handled its request.
    pub last_rejection: Option<LastRejection>,
}

impl ConnectionState {
    pub(in crate::clients) const fn new(now: Time) -> Self {
        Self {
            input: RequestInput::None,
            phase: ConnectionPhase::Open,
            presence: ClientPresence::Connected,
            responses_owed: 0,
            requests: 0,
            writes_in_pieces: false,
            reported_activity: ConnectionActivity::Unused,
            last_used: now,
            idle_timeout: IDLE_TIMEOUT,
            has_waiting_reader: false,
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
                responses_owed: 1..,
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
            // The next piece is on its way.
            Self {
                writes_in_pieces: true,
                ..
            } => ConnectionActivity::PartialRequest,
            _ => ConnectionActivity::Unused,
        }
    }

    /// Since when a lingering close is under way.
    pub(in crate::clients) const fn closing_since(&self) -> Option<Time> {
        match self.phase {
            ConnectionPhase::Open => None,
            ConnectionPhase::Closing { since } => Some(since),
            ConnectionPhase::Aborted { closing_since } => closing_since,
        }
    }

    pub(in crate::clients) const fn is_aborted(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Aborted { .. })
    }

    pub(in crate::clients) const fn is_client_connected(&self) -> bool {
        matches!(self.presence, ClientPresence::Connected)
    }

    /// Begins a lingering close, or dates the one that is under way anew.
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

    pub(in crate::clients) const fn set_disconnected(&mut self) {
        if self.is_client_connected() {
            self.presence = ClientPresence::Disconnected;
        }
    }

    /// Notes that the core learns of the disconnect; returns the presence before.
    pub(in crate::clients) const fn set_disconnect_reported(&mut self) -> ClientPresence {
        std::mem::replace(&mut self.presence, ClientPresence::DisconnectReported)
    }

    /// Notes one more request.
    pub(in crate::clients) fn count_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
        if self.requests > 1 {
            self.idle_timeout = self.idle_timeout.max(REUSED_IDLE_TIMEOUT);
        }
    }
}
