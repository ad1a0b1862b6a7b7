//! The fair queue of a lane.
//!
//! Between tenants: start-time fair queueing. The tenant with the least virtual time is served
//! next, and each served request advances the tenant's virtual time by its cost divided by the
//! tenant's weight. A tenant that was idle starts near the lane's virtual time, so idle time earns
//! no credit.
//!
//! Between the clients of a tenant: deficit round robin over buckets. A client is hashed with a
//! seed to two buckets and uses the one with the smaller backlog (shuffle sharding), so that a
//! flooding client blocks only clients that share both buckets with it. Within a bucket, requests
//! are ordered by priority weight divided by cost, then by expiry.
//!
//! Costs are microseconds of work. Memory grows with the number of waiting requests, which the
//! admission queue bounds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::error::Error;
use std::fmt;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;
use valehatch_policy::{RequestId, Span, Time};

/// Burst, in requests, by which a tenant below its quota may be ahead of the others. Its random
/// arrivals then rarely queue behind each other, and the effect on other tenants is negligible.
const BURST_REQUESTS: f64 = 10.0;
/// Bucket of requests with a reservation, served before the other buckets of the tenant.
const RESERVED_BUCKET: u32 = u32::MAX;

/// A request that waits in a lane, or is about to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Number of the request, unique within the core.
    pub id: RequestId,
    /// Tenant number; the highest one stands for unknown tenants.
    pub tenant: usize,
    /// Key of the client.
    pub client: u64,
    /// Index of the class in the settings.
    pub class: usize,
    /// Time of arrival.
    pub arrived: Time,
    /// When the request is rejected if it still waits.
    pub expires_at: Time,
    /// Cost of the request, in microseconds of work.
    pub cost: Span,
    /// Priority weight of the class divided by the cost of the request.
    pub weight_per_cost: f64,
    /// Whether the client returned at the time of its Retry-After hint, for which capacity is
    /// reserved.
    pub has_reservation: bool,
}

/// Order within a bucket: reservations first, then by weight per cost, expiry and request number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    has_reservation: Reverse<bool>,
    weight_per_cost_bits: Reverse<u64>,
    expires_at: Time,
    id: RequestId,
}

impl Priority {
    fn of(request: &QueuedRequest) -> Self {
        Self {
            has_reservation: Reverse(request.has_reservation),
            // The bit patterns of non-negative floats have the same order as the floats.
            weight_per_cost_bits: Reverse(request.weight_per_cost.max(0.0).to_bits()),
            expires_at: request.expires_at,
            id: request.id,
        }
    }
}

/// Location of a waiting request.
#[derive(Clone, Copy, Debug)]
struct Position {
    tenant: usize,
    bucket: u32,
    priority: Priority,
}

#[derive(Debug, Default)]
struct Bucket {
    requests: BTreeMap<Priority, QueuedRequest>,
    /// Cost of the waiting requests, in microseconds.
    backlog: i64,
    /// Deficit counter of the round robin, in microseconds.
    deficit: i64,
}

#[derive(Debug, Default)]
struct Tenant {
    buckets: BTreeMap<u32, Bucket>,
    /// Non-empty buckets, in the order in which they are served.
    round_robin: VecDeque<u32>,
    /// Cost of the waiting requests, in microseconds.
    backlog: i64,
    /// Number of waiting requests.
    len: usize,
    /// Virtual time at which the tenant's next request starts.
    virtual_start: f64,
    /// Added to the deficit of each bucket per round: the highest cost of a request since the queue
    /// was last empty, so that each bucket is served within two rounds.
    quantum: i64,
}

/// The tenant with the longest queue relative to its weight.
#[derive(Clone, Copy, Debug)]
pub struct LongestTenant {
    /// Tenant number.
    pub tenant: usize,
    /// Number of its waiting requests divided by its weight.
    pub weighted_len: f64,
}

/// A violated invariant of a fair queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FairQueueViolation {
    /// The counters of a tenant differ from the contents of its buckets.
    TenantCounters {
        /// Tenant number.
        tenant: usize,
        /// Requests in the tenant's buckets.
        queued: usize,
        /// Requests according to the tenant's counter.
        counted: usize,
        /// Cost in the tenant's buckets, in microseconds.
        queued_cost: i64,
        /// Cost according to the tenant's counter, in microseconds.
        counted_cost: i64,
    },
    /// The index of positions and the buckets differ in their number of requests.
    Index {
        /// Requests in the buckets of all tenants.
        queued: usize,
        /// Entries in the index.
        indexed: usize,
    },
}

impl fmt::Display for FairQueueViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TenantCounters {
                tenant,
                queued,
                counted,
                queued_cost,
                counted_cost,
            } => write!(
                f,
                "tenant {tenant}: {queued} requests queued, {counted} counted; cost {queued_cost} us queued, {counted_cost} us counted"
            ),
            Self::Index { queued, indexed } => {
                write!(f, "{queued} requests queued, {indexed} indexed")
            }
        }
    }
}

impl Error for FairQueueViolation {}

/// The fair queue of a lane.
#[derive(Debug)]
pub struct FairQueue {
    tenants: Vec<Tenant>,
    positions: BTreeMap<RequestId, Position>,
    virtual_time: f64,
    client_buckets: u32,
    seed: u64,
}

impl FairQueue {
    /// Creates an empty queue for this number of tenants; the seed decides which clients share a
    /// bucket.
    #[must_use]
    pub fn new(tenants: usize, client_buckets: u32, seed: u64) -> Self {
        Self {
            tenants: (0..tenants).map(|_| Tenant::default()).collect(),
            positions: BTreeMap::new(),
            virtual_time: 0.0,
            client_buckets: client_buckets.max(1),
            seed,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Number of waiting requests of a tenant.
    #[must_use]
    pub fn tenant_len(&self, tenant: usize) -> usize {
        self.tenants[tenant].len
    }

    /// Arrival time of the oldest waiting request of a tenant; `None` if none waits.
    #[must_use]
    pub fn oldest_arrival(&self, tenant: usize) -> Option<Time> {
        let buckets = self.tenants[tenant].buckets.values();
        let requests = buckets.flat_map(|bucket| bucket.requests.values());
        requests.map(|request| request.arrived).min()
    }

    /// Cost of the waiting requests of a tenant.
    #[must_use]
    pub fn backlog(&self, tenant: usize) -> Span {
        Span(self.tenants[tenant].backlog)
    }

    /// Fraction of the lane's capacity that a tenant gets beside the tenants with waiting requests.
    #[must_use]
    pub fn tenant_fraction(&self, tenant: usize, weights: &[f64]) -> f64 {
        let competing = self
            .tenants
            .iter()
            .enumerate()
            .filter(|(n, other)| other.len > 0 || *n == tenant);
        let total: f64 = competing.map(|(n, _)| weights[n]).sum();
        weights[tenant] / total
    }

    fn bucket_of(&self, request: &QueuedRequest) -> u32 {
        if request.has_reservation {
            return RESERVED_BUCKET;
        }
        let first = self.hashed_bucket(request.client, 1);
        let second = self.hashed_bucket(request.client, 2);
        if self.bucket_backlog(request.tenant, second) < self.bucket_backlog(request.tenant, first)
        {
            second
        } else {
            first
        }
    }

    fn hashed_bucket(&self, client: u64, salt: u64) -> u32 {
        let mut hasher = SipHasher13::new_with_keys(self.seed, salt);
        hasher.write_u64(client);
        u32::try_from(hasher.finish() % u64::from(self.client_buckets)).unwrap_or(0)
    }

    fn bucket_backlog(&self, tenant: usize, bucket: u32) -> i64 {
        let bucket = self.tenants[tenant].buckets.get(&bucket);
        bucket.map_or(0, |bucket| bucket.backlog)
    }

    /// Upper estimate of the cost that is served before a request that arrives now: the backlog of
    /// its bucket times the number of the tenant's buckets, plus one round; at most the tenant's
    /// backlog.
    #[must_use]
    pub fn cost_before(&self, request: &QueuedRequest) -> Span {
        let tenant = &self.tenants[request.tenant];
        let backlog = self.bucket_backlog(request.tenant, self.bucket_of(request));
        if request.has_reservation {
            return Span(backlog);
        }
        let buckets = i64::try_from(tenant.round_robin.len()).unwrap_or(i64::MAX);
        let round = buckets.saturating_mul(tenant.quantum.max(request.cost.0));
        let rounds = backlog.saturating_mul(buckets.max(1)).saturating_add(round);
        Span(rounds.min(tenant.backlog))
    }

    /// Lower bound of the virtual start of a tenant that was idle.
    fn earliest_start(&self, request: &QueuedRequest, weights: &[f64]) -> f64 {
        let burst = BURST_REQUESTS * request.cost.as_f64() / weights[request.tenant];
        self.virtual_time - burst
    }

    /// Adds a request to a bucket of its tenant.
    pub fn push(&mut self, request: QueuedRequest, weights: &[f64]) {
        let bucket_number = self.bucket_of(&request);
        let earliest_start = self.earliest_start(&request, weights);
        let tenant = &mut self.tenants[request.tenant];
        if tenant.len == 0 {
            tenant.virtual_start = tenant.virtual_start.max(earliest_start);
        }
        let bucket = tenant.buckets.entry(bucket_number).or_default();
        if bucket.requests.is_empty() {
            tenant.round_robin.push_back(bucket_number);
            bucket.deficit = 0;
        }
        let priority = Priority::of(&request);
        bucket.requests.insert(priority, request);
        bucket.backlog += request.cost.0;
        tenant.backlog += request.cost.0;
        tenant.quantum = tenant.quantum.max(request.cost.0);
        tenant.len += 1;
        let position = Position {
            tenant: request.tenant,
            bucket: bucket_number,
            priority,
        };
        self.positions.insert(request.id, position);
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let waiting = self.tenants.iter().enumerate().filter(|(_, t)| t.len > 0);
        let (number, start) = waiting
            .map(|(number, tenant)| (number, tenant.virtual_start))
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        self.virtual_time = self.virtual_time.max(start);
        let position = match self.tenants[number].first_reserved() {
            Some(priority) => Position {
                tenant: number,
                bucket: RESERVED_BUCKET,
                priority,
            },
            None => self.next_by_deficit(number)?,
        };
        self.take(position)
    }

    /// Position of the next request of a tenant by deficit round robin.
    fn next_by_deficit(&mut self, number: usize) -> Option<Position> {
        let tenant = &mut self.tenants[number];
        // Each round adds the highest cost to each deficit, so some bucket is served within two.
        for _ in 0..=2 * tenant.round_robin.len() {
            let bucket_number = *tenant.round_robin.front()?;
            let bucket = tenant.buckets.get_mut(&bucket_number)?;
            let (priority, request) = bucket.requests.first_key_value()?;
            let (priority, cost) = (*priority, request.cost.0);
            if bucket.deficit >= cost {
                bucket.deficit -= cost;
                return Some(Position {
                    tenant: number,
                    bucket: bucket_number,
                    priority,
                });
            }
            bucket.deficit += tenant.quantum;
            tenant.round_robin.rotate_left(1);
        }
        None
    }

    /// Charges a tenant for an admitted request, whether or not the request waited.
    pub fn charge(&mut self, request: &QueuedRequest, weights: &[f64]) {
        let earliest_start = self.earliest_start(request, weights);
        let tenant = &mut self.tenants[request.tenant];
        let start = tenant.virtual_start.max(earliest_start);
        tenant.virtual_start = start + request.cost.as_f64() / weights[request.tenant];
        if self.positions.is_empty() {
            // No request waits, so the charge takes no capacity from other tenants.
            self.virtual_time = self.virtual_time.max(start);
        }
    }

    /// Removes and returns a waiting request; `None` if it does not wait here.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let position = *self.positions.get(&id)?;
        self.take(position)
    }

    fn take(&mut self, position: Position) -> Option<QueuedRequest> {
        let tenant = &mut self.tenants[position.tenant];
        let bucket = tenant.buckets.get_mut(&position.bucket)?;
        let request = bucket.requests.remove(&position.priority)?;
        bucket.backlog -= request.cost.0;
        tenant.backlog -= request.cost.0;
        tenant.len -= 1;
        if bucket.requests.is_empty() {
            tenant.buckets.remove(&position.bucket);
            tenant
                .round_robin
                .retain(|bucket| *bucket != position.bucket);
        }
        if tenant.len == 0 {
            tenant.quantum = 0;
        }
        self.positions.remove(&request.id);
        Some(request)
    }

    /// The tenant with the most waiting requests relative to its weight; `None` if none waits.
    #[must_use]
    pub fn longest_tenant(&self, weights: &[f64]) -> Option<LongestTenant> {
        let waiting = self.tenants.iter().enumerate().filter(|(_, t)| t.len > 0);
        waiting
            .map(|(number, tenant)| LongestTenant {
                tenant: number,
                weighted_len: tenant.len as f64 / weights[number],
            })
            .max_by(|a, b| a.weighted_len.total_cmp(&b.weighted_len))
    }

    /// Removes and returns the request that would be served last in the longest bucket of a tenant.
    pub fn pop_last(&mut self, tenant: usize) -> Option<QueuedRequest> {
        let buckets = self.tenants[tenant].buckets.iter();
        let (number, bucket) =
            buckets.max_by_key(|(number, bucket)| (bucket.requests.len(), **number))?;
        let (priority, _) = bucket.requests.last_key_value()?;
        let position = Position {
            tenant,
            bucket: *number,
            priority: *priority,
        };
        self.take(position)
    }

    /// Checks the invariants of the queue. Takes time proportional to the number of waiting
    /// requests.
    ///
    /// # Errors
    /// Returns the first violated invariant.
    pub fn check_invariants(&self) -> Result<(), FairQueueViolation> {
        let mut queued = 0;
        for (number, tenant) in self.tenants.iter().enumerate() {
            tenant.check_counters(number)?;
            queued += tenant.len;
        }
        let indexed = self.positions.len();
        if queued != indexed {
            return Err(FairQueueViolation::Index { queued, indexed });
        }
        Ok(())
    }
}

impl Tenant {
    /// Priority of the tenant's first request with a reservation.
    fn first_reserved(&self) -> Option<Priority> {
        let bucket = self.buckets.get(&RESERVED_BUCKET)?;
        bucket.requests.first_key_value().map(|(first, _)| *first)
    }

    fn check_counters(&self, number: usize) -> Result<(), FairQueueViolation> {
        let requests = || self.buckets.values().flat_map(|b| b.requests.values());
        let queued = requests().count();
        let queued_cost: i64 = requests().map(|request| request.cost.0).sum();
        let is_consistent = queued == self.len
            && queued_cost == self.backlog
            && self.round_robin.len() == self.buckets.len();
        if is_consistent {
            return Ok(());
        }
        Err(FairQueueViolation::TenantCounters {
            tenant: number,
            queued,
            counted: self.len,
            queued_cost,
            counted_cost: self.backlog,
        })
    }
}
