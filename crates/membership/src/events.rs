//! Outputs of membership: effects, events and counters.

use std::net::SocketAddr;

use valehatch_policy::Span;

use crate::view::ViewStatus;
use crate::wire::Incarnation;

/// An action for the caller to perform, or an event to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram to a gateway.
    Send {
        /// Address of the receiving gateway.
        to: SocketAddr,
        /// The encoded datagram, at most [`crate::wire::MAX_DATAGRAM_BYTES`] bytes.
        bytes: Vec<u8>,
    },
    /// Report a change of membership, or a condition of this gateway.
    Event(MembershipEvent),
}

/// A change of membership, or a condition of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A gateway is alive that was unknown, dead or departed before.
    Joined(SocketAddr),
    /// A gateway has restarted: state and commitments of its earlier process are lost.
    Restarted(SocketAddr),
    /// A gateway does not answer probes.
    Suspected(SocketAddr),
    /// A suspected gateway has refuted the suspicion.
    SuspicionCleared(SocketAddr),
    /// A gateway was declared dead.
    Failed(SocketAddr),
    /// A gateway has announced its graceful shutdown.
    Left(SocketAddr),
    /// This process did not run for this time, so its member table may be outdated.
    ProcessPaused(Span),
    /// Other gateways regarded this one as suspect, dead or an earlier process, and it has refuted
    /// that.
    Refuted,
    /// The first sync of the member table with another gateway since the start or the last pause is
    /// complete.
    Synced,
    /// Another gateway, with this incarnation, uses this gateway's address.
    DuplicateIdentity(Incarnation),
    /// All members of the view agree on it.
    ViewConverged(ViewStatus),
    /// The view had converged, and has changed since or a member disagrees with it.
    ViewDiverged,
}

/// Number of gateways, counted in three ways that are not interchangeable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Gateways that this one considers live, including itself. The first of the counts to rise; it
    /// says nothing about what other gateways know.
    pub live: u32,
    /// Members of the view; `None` unless all of them agree on it.
    pub agreed: Option<u32>,
    /// Fleet size in the settings.
    pub configured: u32,
}

/// Load of a shared resource, which decides how its quota is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// The shared resource is below its limit.
    Normal,
    /// The shared resource is at its limit.
    Overloaded,
}

/// Counters since the start of this process.
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
    /// Detected pauses of this process.
    pub paused: u64,
}
