//! How many bytes of responses may wait to be written, over all connections of a front.
//!
//! State: the limit and the bytes in use, both atomic; any thread may use it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of a streamed response that are read at once while the budget allows it.
const CHUNK_BYTES: usize = 16 * 1024;
/// The same when it does not: every streamed response makes progress, however many there are.
const MIN_CHUNK_BYTES: usize = 4 * 1024;

/// Bytes of complete responses, and of chunks of streamed ones, against their limit.
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

    /// Counts bytes that wait to be written, also beyond the limit.
    pub(super) fn add(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Releases bytes that were written or dropped.
    pub(super) fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Whether the response to a new request would not fit any more.
    pub(super) fn is_exhausted(&self) -> bool {
        self.used.load(Ordering::Relaxed) >= self.limit.load(Ordering::Relaxed)
    }

    /// Reserves one chunk of a streamed response. Beyond half of the limit only the smallest chunk is given, which leaves the
    /// other half to complete responses.
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
    /// The largest chunk, in bytes.
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
