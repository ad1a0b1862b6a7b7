//! Who has a gateway's descriptors: a state machine without I/O, of which each front has one.
//!
//! Connections of clients and those to members come out of one number, and none is set aside for either.
//!
//! - **A member's connection goes with a request.** What open requests need, and a little ahead, is counted as taken;
//!   all else is for clients.
//! - **An idle connection costs its place as soon as somebody else needs it**: first those that never asked, then those that
//!   asked once, then those that came back to ask again (a crowd passes through the first two, as a scan does in 2Q); of each
//!   the one that has idled for the longest. Some places are kept free ahead, so that who comes need not wait for that:
//!   many at the cost of those that never asked, few at that of the others.
//! - **Who asked once makes way for others to ask**: where clients can have only so many connections to ask on, and few of these
//!   are left, those that asked once and have rested are ended, whether or not descriptors are free.
//! - **Half a message keeps its place** until whoever does the I/O ends it by the time. Only when such halves hold more than
//!   half of all places, the one that has been at it for the longest goes.
//! - **Nobody is turned away at once.** Who finds no place waits in the listener's queue. When that has lasted for
//!   [`PATIENCE`], a few more are taken in, and what they ask is refused only if open requests hold what there is: where
//!   halves do, members are idle, and it is served.
//!
//! The table holds [`Limits::most`] and [`Limits::extra`] connections at the most, and lets none in beyond. Time is told,
//! and order is that of times, then of numbers.

#![forbid(unsafe_code)]

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use valehatch_policy::{Span, Time};

/// Behind an answer, a last word within this time would pass for a second answer.
pub const ANSWER_SETTLE_TIME: Span = Span::from_millis(250);
/// A new one is left in peace for so long: what it asks may be on its way.
pub const ARRIVES: Span = Span::from_millis(50);
/// How long those who come wait while there is no place, before a few more are taken in.
pub const PATIENCE: Span = Span::from_millis(50);
/// Of all places, the part that is kept free ahead at the cost of those that never asked, and of others; and the part that
/// members may need at any moment: one in so many.
const AHEAD: usize = 8;
/// Of the connections that clients can have to ask on, the part that is kept free ahead at the cost of those that asked once.
const TO_ASK: usize = 4;
const NEAR: usize = 32;
const READY: usize = 32;

/// What may be held at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections of clients and to members together.
    pub most: usize,
    /// What members may take beyond that whose requests came all at once; half of it those who have waited in vain.
    pub extra: usize,
    /// Connections to members; 0 where they are counted elsewhere.
    pub members: usize,
    /// Connections on which clients ask, where they can have only so many of them; `usize::MAX` where they can have any number.
    pub asking: usize,
    /// How long a connection that was answered is left in peace: at the least until a last word can no longer pass for a
    /// second answer, and where the protocol has none, until nothing more is likely to be on its way.
    pub settles: Span,
}

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConnectionActivity {
    /// It has asked nothing: it never sent anything, or only its greeting, all at once.
    Unasked,
    /// A message has begun to come in, or is about to from a client that writes in pieces.
    Half,
    /// It is owed something.
    Open,
    /// It was answered, and has asked once.
    Once,
    /// It was answered, and has asked more than once.
    Kept,
    /// Its last word was said; its descriptor is about to come back.
    Parting,
}

const STATES: usize = 6;

/// What becomes of a request that is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is taken.
    Serve,
    /// Open requests hold all places: it is told to come back.
    Reject,
}

/// All connections that count.
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    limits: Limits,
    lines: BTreeMap<u64, (ConnectionActivity, Time)>,
    /// The same by what they do, each since when.
    by: [BTreeSet<(Time, u64)>; STATES],
    members: usize,
    /// Since when there has been no place.
    full: Option<Time>,
}

impl ConnectionLimiter {
    /// None are taken yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            lines: BTreeMap::new(),
            by: Default::default(),
            members: 0,
            full: None,
        }
    }

    /// Other limits from now on. What is held beyond them goes as it can.
    pub const fn resize(&mut self, limits: Limits) {
        self.limits = limits;
    }

    fn count(&self, doing: ConnectionActivity) -> usize {
        self.by[doing as usize].len()
    }

    /// What members have or are about to need.
    fn reserved(&self) -> usize {
        let soon =
            self.members.max(self.count(ConnectionActivity::Open)) + self.limits.most / READY;
        self.members.max(soon.min(self.limits.members))
    }

    /// Whether somebody who waits may be let in now.
    pub fn may_enter(&mut self, now: Time) -> bool {
        let used = self.lines.len() + self.reserved();
        if used < self.limits.most {
            self.full = None;
            return true;
        }
        let since = *self.full.get_or_insert(now);
        used < self.limits.most + self.limits.extra / 2 && since + PATIENCE <= now
    }

    /// A connection came up. Whoever lets it in has asked before; a number that is held already stays as it is.
    pub fn enter(&mut self, now: Time, id: u64) {
        if let Entry::Vacant(free) = self.lines.entry(id) {
            free.insert((ConnectionActivity::Unasked, now));
            self.by[ConnectionActivity::Unasked as usize].insert((now, id));
        }
    }

    /// What a connection does now, since when. One that is not held is of no account.
    pub fn turn(&mut self, id: u64, doing: ConnectionActivity, since: Time) {
        let Some(line) = self.lines.get_mut(&id) else {
            return;
        };
        let (was, at) = std::mem::replace(line, (doing, since));
        self.by[was as usize].remove(&(at, id));
        self.by[doing as usize].insert((since, id));
    }

    /// Its descriptor was given back.
    pub fn leave(&mut self, id: u64) {
        if let Some((was, at)) = self.lines.remove(&id) {
            self.by[was as usize].remove(&(at, id));
        }
    }

    /// Who is to be ended next so that others find room, if that is needed, and what it was doing. It counts as parting;
    /// where it turns out that it cannot be ended, [`ConnectionLimiter::turn`] says so.
    pub fn make_way(&mut self, now: Time) -> Option<(u64, ConnectionActivity)> {
        let most = self.limits.most;
        let free = most.saturating_sub(
            self.lines.len() - self.count(ConnectionActivity::Parting) + self.reserved(),
        );
        let longest = |doing: ConnectionActivity, least: usize, peace: Span| {
            let first = self.by[doing as usize]
                .first()
                .filter(|(since, _)| *since + peace <= now);
            first.filter(|_| free < least).map(|(_, id)| (*id, doing))
        };
        // Whoever asks once and stays takes what clients can have until nobody can ask any more.
        let asking = self.count(ConnectionActivity::Open)
            + self.count(ConnectionActivity::Once)
            + self.count(ConnectionActivity::Kept);
        let few = self.limits.asking.saturating_sub(asking) < self.limits.asking / TO_ASK;
        let once = if few { usize::MAX } else { most / NEAR };
        let halves = if self.count(ConnectionActivity::Half) > most / 2 {
            most / NEAR
        } else {
            0
        };
        let (id, doing) = longest(ConnectionActivity::Unasked, most / AHEAD, ARRIVES)
            .or_else(|| longest(ConnectionActivity::Once, once, self.limits.settles))
            .or_else(|| longest(ConnectionActivity::Kept, most / NEAR, self.limits.settles))
            .or_else(|| longest(ConnectionActivity::Half, halves, ANSWER_SETTLE_TIME))?;
        self.turn(id, ConnectionActivity::Parting, now);
        Some((id, doing))
    }

    /// A request of a connection is whole.
    #[must_use]
    pub fn ask(&self) -> AdmissionDecision {
        let (open, half) = (
            self.count(ConnectionActivity::Open),
            self.count(ConnectionActivity::Half),
        );
        let full = open + half + self.reserved() > self.limits.most;
        if full && open >= half {
            AdmissionDecision::Reject
        } else {
            AdmissionDecision::Serve
        }
    }

    /// Whether a connection to a member may be opened; it is counted from then on.
    pub fn member_enters(&mut self) -> bool {
        let fits = self.lines.len() + self.members < self.limits.most + self.limits.extra;
        self.members += usize::from(fits);
        fits
    }

    /// A connection to a member was given back.
    pub const fn member_leaves(&mut self) {
        self.members = self.members.saturating_sub(1);
    }

    /// Connections of clients, and to members.
    #[must_use]
    pub fn held(&self) -> (usize, usize) {
        (self.lines.len(), self.members)
    }

    /// What must hold after each call.
    ///
    /// # Errors
    /// What does not hold.
    pub fn check(&self) -> Result<(), String> {
        let noted = |(id, (doing, since)): (&u64, &(ConnectionActivity, Time))| {
            self.by[*doing as usize].contains(&(*since, *id))
        };
        if !self.lines.iter().all(noted)
            || self.by.iter().map(BTreeSet::len).sum::<usize>() != self.lines.len()
        {
            return Err("what connections do is not what is noted".into());
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
