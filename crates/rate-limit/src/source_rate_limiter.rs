//! Token buckets: one per source and one for all sources together.

use std::collections::hash_map::RandomState;
use std::hash::Hash;
use std::num::NonZeroUsize;

use lru::LruCache;

use crate::{Micros, SECOND};

/// A token bucket with a capacity of the tokens of one second.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Available tokens, in millionths.
    level: i64,
    updated_at: Micros,
}

impl TokenBucket {
    const fn full(rate_per_s: u32, now: Micros) -> Self {
        Self {
            level: rate_per_s as i64 * SECOND,
            updated_at: now,
        }
    }

    /// Takes a token; returns false if there is none.
    fn try_acquire(&mut self, rate_per_s: u32, now: Micros) -> bool {
        let capacity = i64::from(rate_per_s) * SECOND;
        let elapsed = (now - self.updated_at).clamp(0, SECOND);
        self.level = (self.level + elapsed * i64::from(rate_per_s)).min(capacity);
        self.updated_at = self.updated_at.max(now);
        if self.level < SECOND {
            return false;
        }
        self.level -= SECOND;
        true
    }
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimitDecision {
    /// The request is admitted.
    Granted,
    /// Rejected: the request's source has sent too many in the last second.
    Source,
    /// Rejected: all sources together have sent too many in the last second.
    Total,
}

/// Limits the rate of requests by source and in total. When its table is full, the source that has
/// been inactive for the longest is removed: its bucket is the most likely to be full again, and
/// the limit on all requests bounds what the source gains by the removal.
pub struct SourceRateLimiter<K: Hash + Eq> {
    source_rate_per_s: u32,
    total_rate_per_s: u32,
    total: TokenBucket,
    sources: LruCache<K, TokenBucket, RandomState>,
}

impl<K: Hash + Eq> SourceRateLimiter<K> {
    /// Creates a limiter with these numbers of requests per second from each source and in total;
    /// it tracks at most `max_sources`.
    #[must_use]
    pub fn new(
        source_rate_per_s: u32,
        total_rate_per_s: u32,
        max_sources: NonZeroUsize,
        now: Micros,
    ) -> Self {
        Self {
            source_rate_per_s,
            total_rate_per_s,
            total: TokenBucket::full(total_rate_per_s, now),
            sources: LruCache::with_hasher(max_sources, RandomState::new()),
        }
    }

    /// Decides on a request. A request rejected for its source's rate takes no token from the
    /// total.
    pub fn admit(&mut self, now: Micros, source: K) -> RateLimitDecision {
        let rate = self.source_rate_per_s;
        let bucket = self
            .sources
            .get_or_insert_mut(source, || TokenBucket::full(rate, now));
        if !bucket.try_acquire(rate, now) {
            return RateLimitDecision::Source;
        }
        if !self.total.try_acquire(self.total_rate_per_s, now) {
            return RateLimitDecision::Total;
        }
        RateLimitDecision::Granted
    }

    /// Number of tracked sources.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sources.len()
    }

    /// Whether no source is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }
}
