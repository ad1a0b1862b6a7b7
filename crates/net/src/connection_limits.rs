//! A front's descriptors, as its threads share them: [`valehatch_connection_limits`] decides.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use valehatch_connection_limits::{AdmissionDecision, ConnectionActivity, Limits};
use valehatch_policy::Time;

use crate::{Clock, lock};

/// How often who waits for a place looks again, should nobody give one back.
const LOOK: Duration = Duration::from_millis(5);
/// How long a connection to a member waits for a place while clients that idle make way.
const MEMBER_WAITS: Duration = Duration::from_millis(100);

/// The places of a front. The lock is held for a moment only, and no other is taken under it.
pub struct SharedConnectionLimiter {
    clock: Clock,
    heart: Mutex<valehatch_connection_limits::ConnectionLimiter>,
    freed: Condvar,
}

impl SharedConnectionLimiter {
    pub fn new(clock: Clock, limits: Limits) -> Arc<Self> {
        let heart = Mutex::new(valehatch_connection_limits::ConnectionLimiter::new(limits));
        Arc::new(Self {
            clock,
            heart,
            freed: Condvar::new(),
        })
    }

    /// Other limits from now on.
    pub fn resize(&self, limits: Limits) {
        lock(&self.heart).resize(limits);
        self.freed.notify_all();
    }

    /// Connections of clients, and to members.
    pub fn held(&self) -> (usize, usize) {
        lock(&self.heart).held()
    }

    /// Whether one more may be let in; waits a moment if not.
    pub(crate) fn may_enter(&self) -> bool {
        let mut heart = lock(&self.heart);
        let may = heart.may_enter(self.clock.now());
        if !may {
            drop(
                self.freed
                    .wait_timeout(heart, LOOK)
                    .unwrap_or_else(PoisonError::into_inner),
            );
        }
        may
    }

    pub(crate) fn enter(&self, id: u64, now: Time) {
        lock(&self.heart).enter(now, id);
    }

    pub(crate) fn turn(&self, id: u64, doing: ConnectionActivity, since: Time) {
        lock(&self.heart).turn(id, doing, since);
    }

    pub(crate) fn leave(&self, id: u64) {
        lock(&self.heart).leave(id);
        self.freed.notify_all();
    }

    pub(crate) fn make_way(&self) -> Option<(u64, ConnectionActivity)> {
        lock(&self.heart).make_way(self.clock.now())
    }

    pub(crate) fn ask(&self) -> AdmissionDecision {
        lock(&self.heart).ask()
    }

    /// A place for a connection to a member, while it is held; none where even those who idle hold too much.
    pub(crate) fn member(self: &Arc<Self>) -> Option<Member> {
        let full =
            |heart: &mut valehatch_connection_limits::ConnectionLimiter| !heart.member_enters();
        let waited = self
            .freed
            .wait_timeout_while(lock(&self.heart), MEMBER_WAITS, full);
        let (_heart, waited) = waited.unwrap_or_else(PoisonError::into_inner);
        (!waited.timed_out()).then(|| Member(Arc::clone(self)))
    }
}

/// The place of a connection to a member.
pub(crate) struct Member(Arc<SharedConnectionLimiter>);

impl Drop for Member {
    fn drop(&mut self) {
        lock(&self.0.heart).member_leaves();
        self.0.freed.notify_all();
    }
}
