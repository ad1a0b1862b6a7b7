//! What an agent on UDP lets in, without I/O and without a clock: [`SourceRateLimiter`] bounds requests by their rate, [`TimeShare`]
//! bounds the time that they take, [`Window`] is the timeliness of RFC 3414, and [`SnapshotCache`] keep a walk over many datagrams
//! on one picture. Every table has its size in its constructor.

#![forbid(unsafe_code)]

use std::collections::hash_map::RandomState;
use std::hash::Hash;
use std::num::NonZeroUsize;

use lru::LruCache;

/// A moment in microseconds of a monotonic clock.
pub type Micros = i64;

const SECOND: i64 = 1_000_000;

/// A token bucket: so many a second, and as many at once.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Tokens in millionths.
    level: i64,
    at: Micros,
}

impl Bucket {
    const fn full(rate: u32, now: Micros) -> Self {
        Self {
            level: rate as i64 * SECOND,
            at: now,
        }
    }

    fn take(&mut self, rate: u32, now: Micros) -> bool {
        let most = i64::from(rate) * SECOND;
        let passed = (now - self.at).clamp(0, SECOND);
        self.level = (self.level + passed * i64::from(rate)).min(most);
        self.at = self.at.max(now);
        let granted = self.level >= SECOND;
        self.level -= if granted { SECOND } else { 0 };
        granted
    }
}

/// Whether a request is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimitDecision {
    /// It is.
    Granted,
    /// Its source has asked too much in the last second.
    Source,
    /// All together have.
    Total,
}

/// Token buckets by source and for all of them together. Beyond its size the source that has been silent for the
/// longest is forgotten, whose bucket is the likeliest to be full again; what it gains by that the total bounds.
pub struct SourceRateLimiter<K: Hash + Eq> {
    each: u32,
    total: u32,
    all: Bucket,
    sources: LruCache<K, Bucket, RandomState>,
}

impl<K: Hash + Eq> SourceRateLimiter<K> {
    /// So many requests a second from each source, and in all; so many sources are told apart.
    #[must_use]
    pub fn new(each: u32, total: u32, most: NonZeroUsize, now: Micros) -> Self {
        let sources = LruCache::with_hasher(most, RandomState::new());
        Self {
            each,
            total,
            all: Bucket::full(total, now),
            sources,
        }
    }

    /// Asks for one request. One that its source may not have takes nothing from the others.
    pub fn admit(&mut self, now: Micros, source: K) -> RateLimitDecision {
        let each = self.each;
        let bucket = self
            .sources
            .get_or_insert_mut(source, || Bucket::full(each, now));
        if !bucket.take(each, now) {
            return RateLimitDecision::Source;
        }
        if self.all.take(self.total, now) {
            RateLimitDecision::Granted
        } else {
            RateLimitDecision::Total
        }
    }

    /// Sources that are told apart now.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sources.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }
}

/// A share of one core: time that was used beyond it has to pass before more is used. At most a tenth of a second of
/// unused time is saved up.
#[derive(Debug)]
pub struct TimeShare {
    /// Of a second, in millionths.
    part: i64,
    /// Microseconds that may be used, in millionths.
    credit: i64,
    at: Micros,
}

const SAVED: i64 = SECOND / 10;

impl TimeShare {
    /// A part of a core, above 0 and at most 1.
    #[must_use]
    #[allow(clippy::cast_possible_truncation)]
    pub fn new(part: f64, now: Micros) -> Self {
        let part = ((part * 1e6) as i64).clamp(1, SECOND);
        Self {
            part,
            credit: SAVED * part,
            at: now,
        }
    }

    /// Notes that so much time was used up to now; how long nothing more may be used, 0 if it may at once.
    pub fn used(&mut self, now: Micros, time: i64) -> i64 {
        let passed = (now - self.at).max(0);
        self.at = self.at.max(now);
        let earned = passed.saturating_mul(self.part);
        self.credit = (self.credit.saturating_add(earned)).min(SAVED * self.part);
        self.credit = self
            .credit
            .saturating_sub(time.max(0).saturating_mul(SECOND));
        if self.credit >= 0 {
            0
        } else {
            (-self.credit).div_euclid(self.part) + 1
        }
    }
}

/// RFC 3414, section 2.2.3: an authoritative engine's boots and time, in seconds since it booted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// snmpEngineBoots.
    pub boots: u32,
    /// snmpEngineTime.
    pub time: u32,
}

/// Seconds that a message's time may differ.
pub const WINDOW: u32 = 150;
/// The value at which boots are stuck, and nothing is timely any more.
pub const BOOTS_STUCK: u32 = 2_147_483_647;

impl Window {
    /// Section 3.2, 7a: whether a message of this boots and time is timely at the authoritative engine.
    #[must_use]
    pub const fn holds(self, boots: u32, time: u32) -> bool {
        self.boots != BOOTS_STUCK && boots == self.boots && self.time.abs_diff(time) <= WINDOW
    }

    /// Section 3.2, 7b: what another engine's authentic message teaches, where it is newer than what is known of it.
    #[must_use]
    pub const fn learn(self, boots: u32, time: u32) -> Self {
        let newer = boots > self.boots || boots == self.boots && time > self.time;
        if newer { Self { boots, time } } else { self }
    }
}

struct Pin<T> {
    picture: T,
    /// The name that was asked for last, and in which request.
    last: Vec<u32>,
    request: i32,
    used: Micros,
    taken: Micros,
}

/// Which picture a source's walk sees. A walk only goes forward: a source that asks for a name before the one it asked
/// for last, or for the same one in another request, begins a new walk and gets a new picture. Beyond its size the walk
/// that was silent for the longest loses its picture and goes on with a newer one.
pub struct SnapshotCache<K: Hash + Eq, T> {
    pins: LruCache<K, Pin<T>, RandomState>,
    /// A walk that is silent for longer has ended.
    silent: i64,
    /// No walk keeps a picture for longer.
    longest: i64,
}

impl<K: Hash + Eq, T: Clone> SnapshotCache<K, T> {
    /// So many walks at once; both times in microseconds.
    #[must_use]
    pub fn new(most: NonZeroUsize, silent: i64, longest: i64) -> Self {
        Self {
            pins: LruCache::with_hasher(most, RandomState::new()),
            silent,
            longest,
        }
    }

    /// The picture for a step of a walk: the one that the walk began with, or a fresh one.
    pub fn step(
        &mut self,
        now: Micros,
        source: K,
        request: i32,
        name: &[u32],
        fresh: impl FnOnce() -> T,
    ) -> T {
        if let Some(pin) = self.pins.get_mut(&source) {
            let forward = *name > *pin.last || *name == *pin.last && request == pin.request;
            if forward && now - pin.used <= self.silent && now - pin.taken <= self.longest {
                (pin.last, pin.request, pin.used) = (name.to_vec(), request, now);
                return pin.picture.clone();
            }
        }
        let picture = fresh();
        let pin = Pin {
            picture: picture.clone(),
            last: name.to_vec(),
            request,
            used: now,
            taken: now,
        };
        self.pins.put(source, pin);
        picture
    }

    /// Lets go of the pictures of walks that have ended.
    pub fn sweep(&mut self, now: Micros) {
        while let Some((_, pin)) = self.pins.peek_lru() {
            if now - pin.used <= self.silent && now - pin.taken <= self.longest {
                return;
            }
            self.pins.pop_lru();
        }
    }

    /// Pictures that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }
}
