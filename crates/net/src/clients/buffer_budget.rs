//! Budget for the bytes of responses that wait to be written, over all connections of a front.
//!
//! State: the limit and the bytes in use, both atomic, so any thread may use the budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of a streamed response that are read at once, if the budget allows it.
const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes that are read at once if the budget is short: every streamed response makes progress,
/// regardless of their number.
const MIN_CHUNK_BYTES: usize = 4 * 1024;

/// Bytes held by complete responses and by chunks of streamed responses, with their limit.
#[derive(Debug)]
pub(super) struct BufferBudget {
    limit: AtomicUsize,
    used: AtomicUsize,
}

impl BufferBudget {
    pub(super) const fn new(limit: usize) -> Self {
        Self {
            limit: AtomicUsize::new(limit),
            used: AtomicUsize::new(0),
        }
    }

    pub(super) fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Counts bytes that wait to be written, even beyond the limit.
    pub(super) fn add(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Releases bytes that were written or dropped.
    pub(super) fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Whether the budget has no room for the response to a new request.
    pub(super) fn is_exhausted(&self) -> bool {
        self.used.load(Ordering::Relaxed) >= self.limit.load(Ordering::Relaxed)
    }

    /// Reserves one chunk of a streamed response. Beyond half of the limit, only the smallest chunk
    /// is granted, which leaves the other half to complete responses.
    pub(super) fn reserve_chunk(self: &Arc<Self>) -> ChunkReservation {
        let used = self.used.load(Ordering::Relaxed);
        let fits = used + CHUNK_BYTES <= self.limit.load(Ordering::Relaxed) / 2;
        let bytes = if fits { CHUNK_BYTES } else { MIN_CHUNK_BYTES };
        self.add(bytes);
        ChunkReservation {
            budget: Arc::clone(self),
            bytes,
        }
    }
}

/// Bytes reserved for one chunk; dropping it releases them.
#[derive(Debug)]
pub(super) struct ChunkReservation {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl ChunkReservation {
    /// Maximum size of the chunk in bytes.
    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for ChunkReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

#[cfg(test)]
mod tests;
