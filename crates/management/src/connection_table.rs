//! The open connections, when each expires, and which one is evicted for a new one. No I/O.
//!
//! The table has a fixed number of slots. When all are taken, [`ConnectionTable::decide_accept`]
//! names the connection whose loss matters least.

use std::time::{Duration, Instant};

/// Time after entering a stage during which a connection is not evicted.
pub(crate) const EVICTION_GRACE: Duration = Duration::from_millis(2);
/// Time for which input is drained after the response. Closing with unread input would send a
/// reset, and the client could lose the response.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// The stage of a connection, in the order in which a connection passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The request head is not complete.
    Reading,
    /// The response is being written.
    Responding,
    /// The response is written; further input is discarded.
    Draining,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    accepted_at: Instant,
    stage_since: Instant,
    stage: Stage,
}

/// How to handle a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptDecision {
    /// Accept it into this free slot.
    Slot(usize),
    /// Accept it once the connection in this slot is closed.
    Evict(usize),
    /// No connection may be evicted before this time.
    WaitUntil(Instant),
}

/// All connections, in a fixed number of slots.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    connections: Vec<Option<Connection>>,
    timeout: Duration,
}

impl ConnectionTable {
    /// Creates an empty table; each connection expires at `timeout` after its accept at the latest.
    pub(crate) fn new(slots: usize, timeout: Duration) -> Self {
        Self {
            connections: vec![None; slots.max(1)],
            timeout,
        }
    }

    /// Number of slots, at least 1.
    pub(crate) fn slots(&self) -> usize {
        self.connections.len()
    }

    /// The stage of the connection in a slot, if there is one.
    pub(crate) fn stage(&self, slot: usize) -> Option<Stage> {
        self.connections[slot].map(|connection| connection.stage)
    }

    /// Records that a connection was accepted into a slot.
    pub(crate) fn on_accept(&mut self, slot: usize, now: Instant) {
        self.connections[slot] = Some(Connection {
            accepted_at: now,
            stage_since: now,
            stage: Stage::Reading,
        });
    }

    /// Records that the connection in a slot has reached a stage.
    pub(crate) fn on_stage(&mut self, slot: usize, stage: Stage, now: Instant) {
        if let Some(connection) = &mut self.connections[slot] {
            (connection.stage, connection.stage_since) = (stage, now);
        }
    }

    /// Records that the connection in a slot is closed.
    pub(crate) fn on_close(&mut self, slot: usize) {
        self.connections[slot] = None;
    }

    /// Chooses a slot for a new connection: a free one, or else that of the oldest connection with
    /// the lowest eviction rank.
    pub(crate) fn decide_accept(&self, now: Instant) -> AcceptDecision {
        if let Some(slot) = self.connections.iter().position(Option::is_none) {
            return AcceptDecision::Slot(slot);
        }
        let connections = || {
            self.connections
                .iter()
                .enumerate()
                .filter_map(|(slot, connection)| Some((slot, (*connection)?)))
        };
        let evictable =
            connections().filter(|(_, connection)| connection.stage_since + EVICTION_GRACE <= now);
        match evictable
            .min_by_key(|(_, connection)| (connection.eviction_rank(now), connection.accepted_at))
        {
            Some((slot, _)) => AcceptDecision::Evict(slot),
            None => AcceptDecision::WaitUntil(
                connections()
                    .map(|(_, connection)| connection.stage_since + EVICTION_GRACE)
                    .min()
                    .unwrap_or(now),
            ),
        }
    }

    /// A slot whose connection has expired.
    pub(crate) fn expired(&self, now: Instant) -> Option<usize> {
        self.connections.iter().position(|connection| {
            connection.is_some_and(|connection| connection.expires_at(self.timeout) <= now)
        })
    }

    /// When the next connection expires; `None` if there is no connection.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.connections
            .iter()
            .flatten()
            .map(|connection| connection.expires_at(self.timeout))
            .min()
    }
}

impl Connection {
    fn expires_at(&self, timeout: Duration) -> Instant {
        let end = self.accepted_at + timeout;
        if self.stage == Stage::Draining {
            end.min(self.stage_since + LINGER_TIMEOUT)
        } else {
            end
        }
    }

    /// The connection with the lowest rank is evicted first. In ascending order: response delivered
    /// some time ago, request incomplete, response just delivered, response being written.
    fn eviction_rank(&self, now: Instant) -> u8 {
        match self.stage {
            Stage::Draining if self.stage_since + LINGER_TIMEOUT / 4 <= now => 0,
            Stage::Reading => 1,
            Stage::Draining => 2,
            Stage::Responding => 3,
        }
    }
}

#[cfg(test)]
#[path = "connection_table/tests.rs"]
mod tests;
