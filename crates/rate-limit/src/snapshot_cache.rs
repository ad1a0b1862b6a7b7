//! Serves each walk over a table from a single snapshot, although every step of it is a separate
//! datagram.

use std::collections::hash_map::RandomState;
use std::hash::Hash;
use std::num::NonZeroUsize;

use lru::LruCache;

use crate::Micros;

/// A walk in progress.
struct Walk<T> {
    snapshot: T,
    /// The object name that was requested last.
    last_name: Vec<u32>,
    /// The id of the last request.
    last_request: i32,
    last_step: Micros,
    started: Micros,
}

impl<T> Walk<T> {
    /// Whether a request continues the walk. A walk only moves forward; the same name in the same
    /// request is a retransmission.
    fn is_continued_by(&self, request: i32, name: &[u32]) -> bool {
        *name > *self.last_name || *name == *self.last_name && request == self.last_request
    }
}

/// The snapshots of walks, by source. A request that does not continue its source's walk begins a
/// new one on a new snapshot. When the table is full, the walk that has been inactive for the
/// longest is dropped; its next step begins a new walk on a newer snapshot.
pub struct SnapshotCache<K: Hash + Eq, T> {
    walks: LruCache<K, Walk<T>, RandomState>,
    max_silence: Micros,
    max_age: Micros,
}

impl<K: Hash + Eq, T: Clone> SnapshotCache<K, T> {
    /// Creates a cache for at most `max_walks`. A walk ends after `max_silence` microseconds
    /// without a step, and `max_age` microseconds after its start.
    #[must_use]
    pub fn new(max_walks: NonZeroUsize, max_silence: Micros, max_age: Micros) -> Self {
        Self {
            walks: LruCache::with_hasher(max_walks, RandomState::new()),
            max_silence,
            max_age,
        }
    }

    /// Returns the snapshot for a step: the one with which the walk began, or a new one.
    pub fn step(
        &mut self,
        now: Micros,
        source: K,
        request: i32,
        name: &[u32],
        take_snapshot: impl FnOnce() -> T,
    ) -> T {
        let (max_silence, max_age) = (self.max_silence, self.max_age);
        if let Some(walk) = self.walks.get_mut(&source)
            && walk.is_continued_by(request, name)
            && now - walk.last_step <= max_silence
            && now - walk.started <= max_age
        {
            walk.last_name = name.to_vec();
            walk.last_request = request;
            walk.last_step = now;
            return walk.snapshot.clone();
        }
        let snapshot = take_snapshot();
        let walk = Walk {
            snapshot: snapshot.clone(),
            last_name: name.to_vec(),
            last_request: request,
            last_step: now,
            started: now,
        };
        self.walks.put(source, walk);
        snapshot
    }

    /// Drops the snapshots of walks that have ended.
    pub fn remove_ended(&mut self, now: Micros) {
        while let Some((_, walk)) = self.walks.peek_lru() {
            let silent = now - walk.last_step > self.max_silence;
            let old = now - walk.started > self.max_age;
            if !silent && !old {
                return;
            }
            self.walks.pop_lru();
        }
    }

    /// Number of cached snapshots.
    #[must_use]
    pub fn len(&self) -> usize {
        self.walks.len()
    }

    /// Whether no snapshot is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.walks.is_empty()
    }
}
