//! Read-your-writes consistency: tracks the position of each session's last write.
//!
//! Inputs: the commit position of each served write, if the router tracks sessions, and whether
//! another process serves as this router too. State: [`SessionStore`]. Bounds: as many writes as
//! there may be open requests. When the store is full, the oldest write is dropped, and the reads
//! of all sessions without a stored write must see its position. Units: replication positions,
//! which are times.
//!
//! Another process of the router may have confirmed writes that this one has not seen. A read must
//! then see everything that was committed before it arrived or, once that process is gone, before
//! that moment: a commit is never later than the confirmation.

use std::collections::{BTreeMap, VecDeque};

use crate::endpoint::SentAttempt;
use crate::events::{AttemptEnd, PeerProcess, Request};
use crate::ids::SessionKey;
use crate::router::Router;
use crate::settings::{Consistency, RequestClass, SessionTracking};
use crate::time::{Span, Time};

#[derive(Debug)]
struct SessionWrite {
    session: SessionKey,
    position: Time,
}

/// Writes that another process of this router served, and that this one may not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum UnseenWrites {
    /// There are none: this process has served all writes of the router's sessions.
    #[default]
    None,
    /// Such writes were committed until this time.
    Until(Time),
    /// Such writes may be committed at any time.
    Ongoing,
}

/// Replication positions of the sessions' last writes.
#[derive(Debug, Default)]
pub(crate) struct SessionStore {
    last_writes: BTreeMap<SessionKey, Time>,
    /// Stored writes in the order of arrival, including earlier writes of a session.
    write_order: VecDeque<SessionWrite>,
    /// Latest position among the writes that were dropped.
    dropped_position: Option<Time>,
    unseen_writes: UnseenWrites,
}

impl SessionStore {
    /// The position that a read of this session must see if it arrives now; `None` if the session
    /// has written nothing.
    fn required_position(&self, session: Option<SessionKey>, now: Time) -> Option<Time> {
        let last_write = session.and_then(|session| self.last_writes.get(&session).copied());
        let unseen = match self.unseen_writes {
            UnseenWrites::None => None,
            UnseenWrites::Until(time) => Some(time),
            UnseenWrites::Ongoing => Some(now),
        };
        last_write.or(self.dropped_position).max(unseen)
    }

    pub(crate) const fn on_peer_process(&mut self, peer: PeerProcess, now: Time) {
        self.unseen_writes = match (peer, self.unseen_writes) {
            (PeerProcess::Serving, _) => UnseenWrites::Ongoing,
            (PeerProcess::Gone, UnseenWrites::Ongoing) => UnseenWrites::Until(now),
            (PeerProcess::Gone, unseen) => unseen,
        };
    }

    fn on_write(&mut self, session: SessionKey, position: Time, capacity: usize) {
        let last_write = self.last_writes.entry(session).or_insert(position);
        *last_write = position.max(*last_write);
        let position = *last_write;
        self.write_order
            .push_back(SessionWrite { session, position });
        while self.write_order.len() > capacity {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.write_order.pop_front() else {
            return;
        };
        // If the position differs, the session has a later write with an entry of its own.
        if self.last_writes.get(&oldest.session) == Some(&oldest.position) {
            self.last_writes.remove(&oldest.session);
            self.dropped_position = self.dropped_position.max(Some(oldest.position));
        }
    }

    /// By how much required positions move if the cluster's clock is corrected by `by`. Some of
    /// them are times of this machine, which are not wrong; a requirement that stays later than
    /// necessary is safe.
    pub(crate) fn correction_of_required(by: Span) -> Span {
        by.max(Span(0))
    }

    pub(crate) fn on_clock_corrected(&mut self, by: Span) {
        let by = Self::correction_of_required(by);
        for position in self.last_writes.values_mut() {
            *position = *position + by;
        }
        for write in &mut self.write_order {
            write.position = write.position + by;
        }
        self.dropped_position = self.dropped_position.map(|position| position + by);
    }
}

impl Router {
    /// The position that a session read must see; `None` for other requests, and if its session has
    /// written nothing.
    pub(crate) fn session_position(&self, request: &Request, class: &RequestClass) -> Option<Time> {
        if class.consistency != Consistency::Session {
            return None;
        }
        match self.settings.sessions {
            SessionTracking::ClientProvided => request.since_last_write.map(|ago| self.now - ago),
            SessionTracking::RouterTracked => {
                self.sessions.required_position(request.session, self.now)
            }
        }
    }

    /// Stores the commit position of a served write, if this router tracks sessions.
    pub(crate) fn remember_session_write(&mut self, end: &AttemptEnd, sent: &SentAttempt) {
        if self.settings.class(sent.class).consistency != Consistency::Write
            || self.settings.sessions != SessionTracking::RouterTracked
        {
            return;
        }
        let Some(session) = sent.session else {
            return;
        };
        // Without a reported position, all that is known is that the commit was not later than this.
        let position = end.position.unwrap_or(self.now);
        let capacity = self.settings.limits.max_open_requests;
        self.sessions.on_write(session, position, capacity);
    }
}
