//! Outputs of membership: effects, events and counters.

use std::net::SocketAddr;

use valehatch_policy::Span;

use crate::view::ViewStatus;
use crate::wire::Incarnation;

/// What is to be done or reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram to a gateway.
    Send {
        /// The gateway's address.
        to: SocketAddr,
        /// The datagram, at most [`crate::wire::MAX_DATAGRAM_BYTES`] bytes.
        bytes: Vec<u8>,
    },
    /// Something changed.
    Event(MembershipEvent),
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A gateway that was unknown or gone is alive.
    Joined(SocketAddr),
    /// A gateway has restarted: state and promises of its earlier process are lost.
    Restarted(SocketAddr),
    /// A gateway does not answer.
    Suspected(SocketAddr),
    /// A suspected gateway is alive.
    SuspicionCleared(SocketAddr),
    /// A gateway is declared dead.
    Failed(SocketAddr),
    /// A gateway has left after a graceful shutdown.
    Left(SocketAddr),
    /// This process did not run for so long, so everything it knows may be outdated.
    ProcessPaused(Span),
    /// Others took this gateway for suspect, dead or an earlier process, and it has refuted that.
    Refuted,
    /// This gateway knows all that some other gateway knew, or there is nobody to ask.
    Synced,
    /// Another gateway, of this incarnation, uses this gateway's address.
    DuplicateIdentity(Incarnation),
    /// All members of the view agree on it.
    ViewConverged(ViewStatus),
    /// The view has changed since, or a member disagrees.
    ViewDiverged,
}

/// How many gateways there are, counted in three ways that must not be mixed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Gateways that this one considers live, itself included. Rises first; says nothing about what
    /// others know.
    pub live: u32,
    /// Members of the view, while all of them agree on it.
    pub agreed: Option<u32>,
    /// The size in the settings.
    pub configured: u32,
}

/// Load that decides how a shared quota is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// The shared resource is below its limit.
    Normal,
    /// The shared resource is at its limit.
    Overloaded,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received and decoded.
    pub received: u64,
    /// Datagrams received that could not be decoded.
    pub malformed: u64,
    /// Datagrams not sent because the byte budget was used up.
    pub rate_limited: u64,
    /// Updates about gateways for which the member table had no room.
    pub table_full: u64,
    /// Suspicions declared by this gateway.
    pub suspected: u64,
    /// Members declared dead by this gateway.
    pub failed: u64,
    /// Refutations of updates about this gateway.
    pub refuted: u64,
    /// Times that this process had paused.
    pub paused: u64,
}
