//! The descriptor budget of one front: which client connections are admitted and which idle ones
//! are evicted.
//!
//! A state machine without I/O, clock or threads; the caller passes the time in. Client and
//! upstream connections share one budget, and no part of it is reserved for either. The rules:
//!
//! - **Upstream connections follow the requests.** The descriptors that requests in flight need,
//!   plus a small reserve, count as used; the rest is available to clients.
//! - **Idle connections are evicted when descriptors run short**: first those that never sent a
//!   request, then those that sent one, then those that were reused (a burst of one-off clients
//!   only passes through the first two, like a scan in 2Q). Within each kind, the connection that
//!   has been idle for the longest is evicted first. Eviction starts before the budget is
//!   exhausted, so that new connections need not wait for it: early for connections that never sent
//!   a request, late for the others.
//! - **Connections idle after one request are evicted early if only few clients may send requests
//!   at the same time** ([`ConnectionLimits::active_clients`]), even if descriptors are free.
//! - **A connection with a partial request is kept** until the I/O layer times it out. Only if such
//!   connections hold more than half of the budget, the one whose request has been incomplete for
//!   the longest is evicted.
//! - **No connection is refused at once.** While the budget is exhausted, new connections wait in
//!   the listener's backlog. After [`OVERFLOW_DELAY`] a few more are admitted. Their requests are
//!   rejected only if requests in flight hold the budget: if partial requests hold it, upstream
//!   connections are idle and the request can be served.
//!
//! State: one entry per client connection, at most [`ConnectionLimits::total`] plus
//! [`ConnectionLimits::overflow`], and a count of upstream connections. Ties are broken by time,
//! then by connection id.

#![forbid(unsafe_code)]

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::fmt;

use valehatch_policy::{Span, Time};

/// Time after a response within which a client could take a closing error for a second response.
pub const ANSWER_SETTLE_TIME: Span = Span::from_millis(250);
/// How long a new connection is not evicted, because its first request may be on its way.
pub const FIRST_REQUEST_GRACE: Span = Span::from_millis(50);
/// How long new connections wait in the backlog of an exhausted budget before a few more are
/// admitted.
pub const OVERFLOW_DELAY: Span = Span::from_millis(50);
/// Unused connections are evicted while fewer than one in this many descriptors is free.
const UNUSED_HEADROOM_DIVISOR: usize = 8;
/// Connections idle after one request are evicted while less than one in this many of the active
/// clients' share is free.
const ACTIVE_HEADROOM_DIVISOR: usize = 4;
/// All other connections are evicted while fewer than one in this many descriptors is free.
const HEADROOM_DIVISOR: usize = 32;
/// One in this many descriptors is reserved for upstream connections that the next requests will
/// need.
const UPSTREAM_HEADROOM_DIVISOR: usize = 32;

/// Limits on the connections of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of client and upstream connections together.
    pub total: usize,
    /// Upstream connections beyond `total` when many requests arrive at once; clients that waited
    /// for [`OVERFLOW_DELAY`] may use half of them.
    pub overflow: usize,
    /// Maximum number of upstream connections; 0 if they are counted elsewhere.
    pub upstream: usize,
    /// Maximum number of client connections that have sent a request; `usize::MAX` if they are not
    /// limited.
    pub active_clients: usize,
    /// How long after a response a connection is not evicted: at least [`ANSWER_SETTLE_TIME`] if
    /// the protocol has a closing error, and otherwise until another request is unlikely to be on
    /// its way.
    pub settle_time: Span,
}

/// Activity of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConnectionActivity {
    /// Idle, and no request has been sent on it: nothing was received, or only the protocol's
    /// handshake.
    Unused,
    /// Part of a request has been read, or the client sends in small writes and more is expected.
    PartialRequest,
    /// A request is in flight, or a response is being written.
    Active,
    /// Idle after its first request.
    IdleAfterOne,
    /// Idle after more than one request.
    IdleReused,
    /// This side is closing the connection; its descriptor is about to be freed.
    Closing,
}

const ACTIVITIES: usize = 6;

impl ConnectionActivity {
    /// All activities, in the order of their discriminants.
    pub const ALL: [Self; ACTIVITIES] = [
        Self::Unused,
        Self::PartialRequest,
        Self::Active,
        Self::IdleAfterOne,
        Self::IdleReused,
        Self::Closing,
    ];

    /// Name of the activity in metrics, which must not change.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unused => "unused",
            Self::PartialRequest => "partial_request",
            Self::Active => "active",
            Self::IdleAfterOne => "idle_after_one",
            Self::IdleReused => "idle_reused",
            Self::Closing => "closing",
        }
    }
}

/// Decision on a complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is admitted.
    Admit,
    /// Requests in flight hold the whole budget: the request is rejected, and the client is told
    /// when to retry.
    Reject,
}

/// A client connection that is to be closed, and its activity when it was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The connection's id, as given to [`ConnectionLimiter::admit`].
    pub id: u64,
    /// The connection's activity so far; from now on the limiter counts it as
    /// [`ConnectionActivity::Closing`].
    pub activity: ConnectionActivity,
}

/// Numbers of connections that count against the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Number of client connections.
    pub clients: usize,
    /// Number of upstream connections.
    pub upstream: usize,
}

/// The index by activity disagrees with the connections, which indicates a fault of this module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InconsistentIndex;

impl fmt::Display for InconsistentIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the index by activity disagrees with the client connections")
    }
}

impl Error for InconsistentIndex {}

#[derive(Clone, Copy, Debug)]
struct ClientState {
    activity: ConnectionActivity,
    since: Time,
}

/// Sort key of connections with the same activity: the one that has had it for the longest comes
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ActivityEntry {
    since: Time,
    id: u64,
}

/// Tracks the connections of one front against its [`ConnectionLimits`].
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    limits: ConnectionLimits,
    clients: BTreeMap<u64, ClientState>,
    /// The same connections, indexed by activity.
    by_activity: [BTreeSet<ActivityEntry>; ACTIVITIES],
    upstream: usize,
    /// When the budget became exhausted, if it is.
    exhausted_since: Option<Time>,
}

impl ConnectionLimiter {
    /// Creates a limiter without connections.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            clients: BTreeMap::new(),
            by_activity: Default::default(),
            upstream: 0,
            exhausted_since: None,
        }
    }

    /// Replaces the limits. If they are lowered, connections beyond them are evicted once they are
    /// idle.
    pub const fn resize(&mut self, limits: ConnectionLimits) {
        self.limits = limits;
    }

    /// Number of client connections with this activity.
    #[must_use]
    pub fn count(&self, activity: ConnectionActivity) -> usize {
        self.by_activity[activity as usize].len()
    }

    /// Descriptors that upstream connections use, and those that they are expected to need.
    fn upstream_demand(&self) -> usize {
        let in_use = self.upstream.max(self.count(ConnectionActivity::Active));
        let expected = in_use + self.limits.total / UPSTREAM_HEADROOM_DIVISOR;
        self.upstream.max(expected.min(self.limits.upstream))
    }

    /// Whether one more client connection may be accepted now. To be called before
    /// [`ConnectionLimiter::admit`].
    pub fn can_admit(&mut self, now: Time) -> bool {
        let used = self.clients.len() + self.upstream_demand();
        if used < self.limits.total {
            self.exhausted_since = None;
            return true;
        }
        let since = *self.exhausted_since.get_or_insert(now);
        used < self.limits.total + self.limits.overflow / 2 && since + OVERFLOW_DELAY <= now
    }

    /// Adds an accepted client connection. An id that is already known is left unchanged.
    pub fn admit(&mut self, now: Time, id: u64) {
        if let Entry::Vacant(vacant) = self.clients.entry(id) {
            let activity = ConnectionActivity::Unused;
            vacant.insert(ClientState {
                activity,
                since: now,
            });
            self.by_activity[activity as usize].insert(ActivityEntry { since: now, id });
        }
    }

    /// Sets the activity that a client connection has had since `since`. Unknown ids are ignored.
    pub fn set_activity(&mut self, id: u64, activity: ConnectionActivity, since: Time) {
        let Some(state) = self.clients.get_mut(&id) else {
            return;
        };
        let previous = std::mem::replace(state, ClientState { activity, since });
        self.remove_entry(id, previous);
        self.by_activity[activity as usize].insert(ActivityEntry { since, id });
    }

    /// Removes a client connection whose descriptor was freed. Unknown ids are ignored.
    pub fn remove(&mut self, id: u64) {
        if let Some(previous) = self.clients.remove(&id) {
            self.remove_entry(id, previous);
        }
    }

    fn remove_entry(&mut self, id: u64, state: ClientState) {
        let since = state.since;
        self.by_activity[state.activity as usize].remove(&ActivityEntry { since, id });
    }

    /// Returns the next client connection to close, if descriptors run short. To be called until it
    /// returns `None`.
    ///
    /// The connection counts as closing from now on. A caller that cannot close it reports its
    /// activity by [`ConnectionLimiter::set_activity`].
    pub fn evict_idle(&mut self, now: Time) -> Option<Eviction> {
        let total = self.limits.total;
        let remaining = self.clients.len() - self.count(ConnectionActivity::Closing);
        let free = total.saturating_sub(remaining + self.upstream_demand());
        let settle_time = self.limits.settle_time;
        let candidate = |activity: ConnectionActivity, headroom: usize, grace: Span| {
            let oldest = self.by_activity[activity as usize].first()?;
            let evictable = oldest.since + grace <= now && free < headroom;
            evictable.then_some(Eviction {
                id: oldest.id,
                activity,
            })
        };
        let eviction = candidate(
            ConnectionActivity::Unused,
            total / UNUSED_HEADROOM_DIVISOR,
            FIRST_REQUEST_GRACE,
        )
        .or_else(|| {
            let headroom = self.headroom_after_one();
            candidate(ConnectionActivity::IdleAfterOne, headroom, settle_time)
        })
        .or_else(|| {
            let headroom = total / HEADROOM_DIVISOR;
            candidate(ConnectionActivity::IdleReused, headroom, settle_time)
        })
        .or_else(|| {
            let headroom = self.headroom_of_partial_requests();
            candidate(
                ConnectionActivity::PartialRequest,
                headroom,
                ANSWER_SETTLE_TIME,
            )
        })?;
        self.set_activity(eviction.id, ConnectionActivity::Closing, now);
        Some(eviction)
    }

    /// Connections idle after one request are evicted while fewer descriptors than this are free.
    fn headroom_after_one(&self) -> usize {
        // Clients that send one request and stay connected would use up the connections on which
        // clients may send requests, until no other client could send any. They are therefore
        // evicted regardless of the number of free descriptors.
        let active = self.count(ConnectionActivity::Active)
            + self.count(ConnectionActivity::IdleAfterOne)
            + self.count(ConnectionActivity::IdleReused);
        let limit = self.limits.active_clients;
        if limit.saturating_sub(active) < limit / ACTIVE_HEADROOM_DIVISOR {
            usize::MAX
        } else {
            self.limits.total / HEADROOM_DIVISOR
        }
    }

    /// Connections with a partial request are evicted while fewer descriptors than this are free.
    fn headroom_of_partial_requests(&self) -> usize {
        if self.count(ConnectionActivity::PartialRequest) > self.limits.total / 2 {
            self.limits.total / HEADROOM_DIVISOR
        } else {
            0
        }
    }

    /// Whether a request that has been read completely may be served.
    #[must_use]
    pub fn decide_request(&self) -> AdmissionDecision {
        let active = self.count(ConnectionActivity::Active);
        let partial = self.count(ConnectionActivity::PartialRequest);
        let exhausted = active + partial + self.upstream_demand() > self.limits.total;
        if exhausted && active >= partial {
            AdmissionDecision::Reject
        } else {
            AdmissionDecision::Admit
        }
    }

    /// Counts one more upstream connection, if the budget and its overflow allow it; returns
    /// whether they do.
    pub fn try_acquire_upstream(&mut self) -> bool {
        let limit = self.limits.total + self.limits.overflow;
        let fits = self.clients.len() + self.upstream < limit;
        self.upstream += usize::from(fits);
        fits
    }

    /// Releases the descriptor of an upstream connection that was closed.
    pub const fn release_upstream(&mut self) {
        self.upstream = self.upstream.saturating_sub(1);
    }

    /// The limits that are in force.
    #[must_use]
    pub const fn limits(&self) -> ConnectionLimits {
        self.limits
    }

    /// Number of connections that currently count against the budget.
    #[must_use]
    pub fn counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            clients: self.clients.len(),
            upstream: self.upstream,
        }
    }

    /// Checks the invariant that must hold after each call: every connection is indexed once, under
    /// its own activity.
    ///
    /// # Errors
    /// Returns an error if the index disagrees with the connections.
    pub fn check(&self) -> Result<(), InconsistentIndex> {
        let indexed = |(id, state): (&u64, &ClientState)| {
            let since = state.since;
            self.by_activity[state.activity as usize].contains(&ActivityEntry { since, id: *id })
        };
        let entries: usize = self.by_activity.iter().map(BTreeSet::len).sum();
        if entries != self.clients.len() || !self.clients.iter().all(indexed) {
            return Err(InconsistentIndex);
        }
        Ok(())
    }
}
