//! A front's descriptors, as its threads share them: [`valehatch_connection_limits`] decides.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use valehatch_connection_limits::{
    AdmissionDecision, ConnectionActivity, ConnectionCounts, ConnectionLimiter, ConnectionLimits,
    Eviction,
};
use valehatch_policy::Time;

use crate::{Clock, lock};

/// How often who waits for a place looks again, should nobody give one back.
const LOOK: Duration = Duration::from_millis(5);
/// How long a connection to a member waits for a place while clients that idle make way.
const MEMBER_WAITS: Duration = Duration::from_millis(100);

/// The places of a front. The lock is held for a moment only, and no other is taken under it.
pub struct SharedConnectionLimiter {
    clock: Clock,
    limiter: Mutex<ConnectionLimiter>,
    freed: Condvar,
}

impl SharedConnectionLimiter {
    pub fn new(clock: Clock, limits: ConnectionLimits) -> Arc<Self> {
        let limiter = Mutex::new(ConnectionLimiter::new(limits));
        Arc::new(Self {
            clock,
            limiter,
            freed: Condvar::new(),
        })
    }

    /// Other limits from now on.
    pub fn resize(&self, limits: ConnectionLimits) {
        lock(&self.limiter).resize(limits);
        self.freed.notify_all();
    }

    /// Connections of clients, and to members.
    pub fn counts(&self) -> ConnectionCounts {
        lock(&self.limiter).counts()
    }

    /// Whether one more may be let in; waits a moment if not.
    pub(crate) fn can_admit(&self) -> bool {
        let mut limiter = lock(&self.limiter);
        let may = limiter.can_admit(self.clock.now());
        if !may {
            drop(
                self.freed
                    .wait_timeout(limiter, LOOK)
                    .unwrap_or_else(PoisonError::into_inner),
            );
        }
        may
    }

    pub(crate) fn admit(&self, id: u64, now: Time) {
        lock(&self.limiter).admit(now, id);
    }

    pub(crate) fn set_activity(&self, id: u64, doing: ConnectionActivity, since: Time) {
        lock(&self.limiter).set_activity(id, doing, since);
    }

    pub(crate) fn remove(&self, id: u64) {
        lock(&self.limiter).remove(id);
        self.freed.notify_all();
    }

    pub(crate) fn evict_idle(&self) -> Option<Eviction> {
        lock(&self.limiter).evict_idle(self.clock.now())
    }

    pub(crate) fn decide_request(&self) -> AdmissionDecision {
        lock(&self.limiter).decide_request()
    }

    /// A place for a connection to a member, while it is held; none where even those who idle hold too much.
    pub(crate) fn member(self: &Arc<Self>) -> Option<Member> {
        let full = |limiter: &mut ConnectionLimiter| !limiter.try_acquire_upstream();
        let waited = self
            .freed
            .wait_timeout_while(lock(&self.limiter), MEMBER_WAITS, full);
        let (_heart, waited) = waited.unwrap_or_else(PoisonError::into_inner);
        (!waited.timed_out()).then(|| Member(Arc::clone(self)))
    }
}

/// The place of a connection to a member.
pub(crate) struct Member(Arc<SharedConnectionLimiter>);

impl Drop for Member {
    fn drop(&mut self) {
        lock(&self.0.limiter).release_upstream();
        self.0.freed.notify_all();
    }
}
