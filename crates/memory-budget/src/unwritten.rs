//! Counts the responses that a client is owed or has not received yet.
//!
//! The core creates a guard for each request that it schedules; the guard travels with the response
//! and is dropped once the response is written. State: one atomic count for each client.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of a client's scheduled requests whose response is not completely written.
#[derive(Clone, Debug, Default)]
pub struct UnwrittenResponses(Arc<AtomicUsize>);

impl UnwrittenResponses {
    /// Current number of unwritten responses.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts one more response, until the returned guard is dropped.
    #[must_use]
    pub fn add(&self) -> UnwrittenResponse {
        self.0.fetch_add(1, Ordering::Relaxed);
        UnwrittenResponse(Arc::clone(&self.0))
    }
}

/// One unwritten response, counted until it is dropped.
#[derive(Debug)]
pub struct UnwrittenResponse(Arc<AtomicUsize>);

impl Drop for UnwrittenResponse {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
