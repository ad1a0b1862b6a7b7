//! Token buckets, one for each source and one for all of them together.

use std::collections::hash_map::RandomState;
use std::hash::Hash;
use std::num::NonZeroUsize;

use lru::LruCache;

use crate::{Micros, SECOND};

/// A token bucket that holds the tokens of one second.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Tokens in millionths.
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

    /// Takes a token; false if there is none.
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
    /// Admitted.
    Granted,
    /// Rejected: its source has sent too many in the last second.
    Source,
    /// Rejected: all sources together have sent too many in the last second.
    Total,
}

/// Bounds requests by source and in all. When its table is full, the source that has been silent
/// longest is forgotten: its bucket is the likeliest to be full again, and the bound on all
/// requests holds for what it gains.
pub struct SourceRateLimiter<K: Hash + Eq> {
    source_rate_per_s: u32,
    total_rate_per_s: u32,
    total: TokenBucket,
    sources: LruCache<K, TokenBucket, RandomState>,
}

impl<K: Hash + Eq> SourceRateLimiter<K> {
    /// Bounds requests in a second from each source and in all; tracks at most `max_sources`.
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

    /// Decides on a request. One that its source may not send takes nothing from the others.
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
