//! What waits in a lane. Tenants by start-time fair queueing: the one whose virtual time is the least goes next, and what
//! it is served moves that on by cost over weight; one that was idle begins at the lane's virtual time, so nothing is saved
//! up. The clients of a tenant by deficit round robin over buckets: a client's name is hashed twice with a seed, and the
//! less filled of its two buckets takes it (shuffle sharding), so that one that floods blocks nobody who shares only one
//! bucket with it. In a bucket the most worth for its cost goes first, then the nearest deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

use siphasher::sip::SipHasher13;
use valehatch_policy::{RequestId, Span, Time};

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The request.
    pub id: RequestId,
    /// Its tenant's place.
    pub tenant: usize,
    /// Its client.
    pub client: u64,
    /// Its class.
    pub class: usize,
    /// When it came.
    pub arrived: Time,
    /// After this it is given up.
    pub until: Time,
    /// Its cost.
    pub cost: Span,
    /// Worth for its cost.
    pub value: f64,
    /// Its client came back when it was told to: it goes before those that were not told anything.
    pub reserved: bool,
}

/// The bucket of those that came back when they were told to. It is served before the tenant's others: room was reserved.
const RESERVED: u32 = u32::MAX;

/// Those with a reservation first, then worth for cost, then the deadline, then the number.
type Rank = (Reverse<bool>, Reverse<u64>, Time, RequestId);

fn rank(entry: &Entry) -> Rank {
    // Positive floats are ordered as their bits are.
    (
        Reverse(entry.reserved),
        Reverse(entry.value.max(0.0).to_bits()),
        entry.until,
        entry.id,
    )
}

#[derive(Debug, Default)]
struct Bucket {
    entries: BTreeMap<Rank, Entry>,
    backlog: i64,
    deficit: i64,
}

#[derive(Debug, Default)]
struct Tenant {
    buckets: BTreeMap<u32, Bucket>,
    /// Buckets with something in them, in their turn.
    ring: VecDeque<u32>,
    backlog: i64,
    len: usize,
    /// Virtual time at which its next request starts.
    start: f64,
    /// The dearest that it has: a round of this much lets everyone have one.
    quantum: i64,
}

/// So many requests a tenant that has used less than its share may be ahead of the others: enough that what comes at random
/// need not wait its turn in a queue of its own, too little to crush anyone.
const AHEAD: f64 = 10.0;

/// The same in virtual time.
fn allowance(entry: &Entry, weights: &[f64]) -> f64 {
    AHEAD * entry.cost.as_f64() / weights[entry.tenant]
}

/// A lane's queue.
#[derive(Debug)]
pub struct Queue {
    tenants: Vec<Tenant>,
    places: BTreeMap<RequestId, (usize, u32, Rank)>,
    virtual_time: f64,
    buckets: u32,
    seed: u64,
}

impl Queue {
    /// Nobody waits. What it takes grows with what waits, and with nothing else.
    #[must_use]
    pub fn new(tenants: usize, buckets: u32, seed: u64) -> Self {
        let tenants = (0..tenants).map(|_| Tenant::default()).collect();
        Self {
            tenants,
            places: BTreeMap::new(),
            virtual_time: 0.0,
            buckets: buckets.max(1),
            seed,
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none does.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// A tenant's requests, and when the oldest came.
    #[must_use]
    pub fn of(&self, tenant: usize) -> (usize, Option<Time>) {
        let tenant = &self.tenants[tenant];
        let oldest = tenant
            .buckets
            .values()
            .flat_map(|b| b.entries.values())
            .map(|e| e.arrived)
            .min();
        (tenant.len, oldest)
    }

    /// A tenant's cost that waits.
    #[must_use]
    pub fn backlog(&self, tenant: usize) -> Span {
        Span(self.tenants[tenant].backlog)
    }

    /// The part of the lane that a tenant gets while those who wait now do.
    #[must_use]
    pub fn part_of(&self, tenant: usize, weights: &[f64]) -> f64 {
        let waits = |(n, t): &(usize, &Tenant)| t.len > 0 || *n == tenant;
        let all: f64 = self
            .tenants
            .iter()
            .enumerate()
            .filter(waits)
            .map(|(n, _)| weights[n])
            .sum();
        weights[tenant] / all
    }

    fn bucket_of(&self, entry: &Entry) -> u32 {
        if entry.reserved {
            return RESERVED;
        }
        let hash = |salt: u64| {
            let mut hasher = SipHasher13::new_with_keys(self.seed, salt);
            hasher.write_u64(entry.client);
            u32::try_from(hasher.finish() % u64::from(self.buckets)).unwrap_or(0)
        };
        let (first, second) = (hash(1), hash(2));
        let held = |n| {
            self.tenants[entry.tenant]
                .buckets
                .get(&n)
                .map_or(0, |b: &Bucket| b.backlog)
        };
        if held(second) < held(first) {
            second
        } else {
            first
        }
    }

    /// Cost that is served before one that would come now: rounds of its tenant as long as its bucket, all else that its
    /// tenant has at the most.
    #[must_use]
    pub fn before(&self, entry: &Entry) -> Span {
        let tenant = &self.tenants[entry.tenant];
        let own = tenant
            .buckets
            .get(&self.bucket_of(entry))
            .map_or(0, |b| b.backlog);
        if entry.reserved {
            return Span(own);
        }
        let others = i64::try_from(tenant.ring.len()).unwrap_or(i64::MAX);
        let round = others.saturating_mul(tenant.quantum.max(entry.cost.0));
        Span(
            own.saturating_mul(others.max(1))
                .saturating_add(round)
                .min(tenant.backlog),
        )
    }

    /// Adds one.
    pub fn push(&mut self, entry: Entry, weights: &[f64]) {
        let at = self.bucket_of(&entry);
        let tenant = &mut self.tenants[entry.tenant];
        if tenant.len == 0 {
            tenant.start = tenant
                .start
                .max(self.virtual_time - allowance(&entry, weights));
        }
        let bucket = tenant.buckets.entry(at).or_default();
        if bucket.entries.is_empty() {
            tenant.ring.push_back(at);
            bucket.deficit = 0;
        }
        let rank = rank(&entry);
        bucket.entries.insert(rank, entry);
        bucket.backlog += entry.cost.0;
        tenant.backlog += entry.cost.0;
        tenant.quantum = tenant.quantum.max(entry.cost.0);
        tenant.len += 1;
        self.places.insert(entry.id, (entry.tenant, at, rank));
    }

    /// Takes the next one out.
    pub fn pop(&mut self) -> Option<Entry> {
        let waiting = self.tenants.iter().enumerate().filter(|(_, t)| t.len > 0);
        let (n, start) = waiting
            .map(|(n, t)| (n, t.start))
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        self.virtual_time = self.virtual_time.max(start);
        let tenant = &mut self.tenants[n];
        if let Some(bucket) = tenant.buckets.get(&RESERVED) {
            let rank = *bucket.entries.first_key_value()?.0;
            return self.take(n, RESERVED, rank);
        }
        // A round gives each bucket the dearest's cost: each finds something within two.
        for _ in 0..=2 * tenant.ring.len() {
            let at = *tenant.ring.front()?;
            let bucket = tenant.buckets.get_mut(&at)?;
            let (rank, entry) = bucket.entries.first_key_value().map(|(r, e)| (*r, *e))?;
            if bucket.deficit < entry.cost.0 {
                bucket.deficit += tenant.quantum;
                tenant.ring.rotate_left(1);
                continue;
            }
            bucket.deficit -= entry.cost.0;
            self.take(n, at, rank);
            return Some(entry);
        }
        None
    }

    /// What a tenant was served counts, whether it had waited or not.
    pub fn served(&mut self, entry: &Entry, weights: &[f64]) {
        let tenant = &mut self.tenants[entry.tenant];
        let start = tenant
            .start
            .max(self.virtual_time - allowance(entry, weights));
        tenant.start = start + entry.cost.as_f64() / weights[entry.tenant];
        if self.places.is_empty() {
            // Nobody waits: what is served now takes nothing from anyone.
            self.virtual_time = self.virtual_time.max(start);
        }
    }

    /// Takes one out, wherever it stands.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let (tenant, at, rank) = self.places.get(&id).copied()?;
        self.take(tenant, at, rank)
    }

    fn take(&mut self, n: usize, at: u32, rank: Rank) -> Option<Entry> {
        let tenant = &mut self.tenants[n];
        let bucket = tenant.buckets.get_mut(&at)?;
        let entry = bucket.entries.remove(&rank)?;
        bucket.backlog -= entry.cost.0;
        tenant.backlog -= entry.cost.0;
        tenant.len -= 1;
        if bucket.entries.is_empty() {
            tenant.buckets.remove(&at);
            tenant.ring.retain(|b| *b != at);
        }
        if tenant.len == 0 {
            tenant.quantum = 0;
        }
        self.places.remove(&entry.id);
        Some(entry)
    }

    /// The tenant that has the most waiting for its weight.
    #[must_use]
    pub fn fullest(&self, weights: &[f64]) -> Option<(usize, f64)> {
        let waiting = self.tenants.iter().enumerate().filter(|(_, t)| t.len > 0);
        #[allow(clippy::cast_precision_loss)]
        let rated = waiting.map(|(n, t)| (n, t.len as f64 / weights[n]));
        rated.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Takes out the least of a tenant's fullest bucket.
    pub fn pop_last(&mut self, tenant: usize) -> Option<Entry> {
        let fullest = self.tenants[tenant]
            .buckets
            .iter()
            .max_by_key(|(n, b)| (b.entries.len(), **n))?;
        let (at, rank) = (*fullest.0, *fullest.1.entries.last_key_value()?.0);
        self.take(tenant, at, rank)
    }

    /// What must hold after every step.
    ///
    /// # Errors
    /// What does not hold.
    pub fn check(&self) -> Result<(), String> {
        let mut all = 0;
        for (n, tenant) in self.tenants.iter().enumerate() {
            let len: usize = tenant.buckets.values().map(|b| b.entries.len()).sum();
            let backlog: i64 = tenant
                .buckets
                .values()
                .flat_map(|b| b.entries.values())
                .map(|e| e.cost.0)
                .sum();
            if len != tenant.len
                || backlog != tenant.backlog
                || tenant.ring.len() != tenant.buckets.len()
            {
                return Err(format!(
                    "tenant {n}: {len} of {}, {backlog} of {}",
                    tenant.len, tenant.backlog
                ));
            }
            all += len;
        }
        if all == self.places.len() {
            Ok(())
        } else {
            Err(format!("{all} of {} wait", self.places.len()))
        }
    }
}
