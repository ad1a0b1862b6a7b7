//! The descriptor budget of a front, shared by its threads. [`valehatch_connection_limits`] makes
//! the decisions; this module adds the lock, the clock, and the waiting.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use valehatch_connection_limits::{
    AdmissionDecision, ConnectionActivity, ConnectionCounts, ConnectionLimiter, ConnectionLimits,
    Eviction,
};
use valehatch_policy::Time;

use crate::{Clock, lock};

/// How long the accepting thread waits for a descriptor before it evicts idle connections again.
const ADMIT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long an upstream connection waits for a descriptor while idle clients are evicted.
const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(100);

/// A front's connection limiter. Its lock is held only briefly, and no other lock is taken under
/// it.
pub struct SharedConnectionLimiter {
    clock: Clock,
    limiter: Mutex<ConnectionLimiter>,
    /// Signalled when a descriptor was freed or the limits have changed.
    freed: Condvar,
}

impl SharedConnectionLimiter {
    /// Creates a limiter without connections.
    pub fn new(clock: Clock, limits: ConnectionLimits) -> Arc<Self> {
        Arc::new(Self {
            clock,
            limiter: Mutex::new(ConnectionLimiter::new(limits)),
            freed: Condvar::new(),
        })
    }

    /// Replaces the limits. If they are lowered, connections beyond them are evicted once they are
    /// idle.
    pub fn resize(&self, limits: ConnectionLimits) {
        lock(&self.limiter).resize(limits);
        self.freed.notify_all();
    }

    /// Number of connections that currently count against the budget.
    pub fn counts(&self) -> ConnectionCounts {
        lock(&self.limiter).counts()
    }

    /// Number of client connections by activity, in the order of [`ConnectionActivity::ALL`].
    pub fn counts_by_activity(&self) -> [usize; ConnectionActivity::ALL.len()] {
        let limiter = lock(&self.limiter);
        ConnectionActivity::ALL.map(|activity| limiter.count(activity))
    }

    /// Maximum of connections, clients' and upstream ones together.
    pub fn limit(&self) -> usize {
        lock(&self.limiter).limits().total
    }

    /// Whether one more client connection may be accepted. If not, waits up to
    /// [`ADMIT_RETRY_INTERVAL`] for a descriptor before it returns.
    pub(crate) fn can_admit(&self) -> bool {
        let mut limiter = lock(&self.limiter);
        let admits = limiter.can_admit(self.clock.now());
        if !admits {
            drop(
                self.freed
                    .wait_timeout(limiter, ADMIT_RETRY_INTERVAL)
                    .unwrap_or_else(PoisonError::into_inner),
            );
        }
        admits
    }

    pub(crate) fn admit(&self, id: u64, now: Time) {
        lock(&self.limiter).admit(now, id);
    }

    pub(crate) fn set_activity(&self, id: u64, activity: ConnectionActivity, since: Time) {
        lock(&self.limiter).set_activity(id, activity, since);
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

    /// Reserves the descriptor of an upstream connection; waits up to [`UPSTREAM_TIMEOUT`] for one.
    /// Returns `None` if there is none by then.
    pub(crate) fn acquire_upstream(self: &Arc<Self>) -> Option<UpstreamSlot> {
        let is_exhausted = |limiter: &mut ConnectionLimiter| !limiter.try_acquire_upstream();
        let (_limiter, waited) = self
            .freed
            .wait_timeout_while(lock(&self.limiter), UPSTREAM_TIMEOUT, is_exhausted)
            .unwrap_or_else(PoisonError::into_inner);
        if waited.timed_out() {
            return None;
        }
        Some(UpstreamSlot(Arc::clone(self)))
    }
}

/// The reserved descriptor of an upstream connection, which is released on drop.
pub(crate) struct UpstreamSlot(Arc<SharedConnectionLimiter>);

impl Drop for UpstreamSlot {
    fn drop(&mut self) {
        lock(&self.0.limiter).release_upstream();
        self.0.freed.notify_all();
    }
}
