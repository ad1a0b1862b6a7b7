//! The fair queue of a lane.
//!
//! Between tenants: start-time fair queueing. The tenant with the least virtual time is served
//! next, and what it is served advances its virtual time by cost over weight. A tenant that was
//! idle starts near the lane's virtual time, so idle time earns no credit.
//!
//! Between the clients of a tenant: deficit round robin over buckets. A client is hashed twice with
//! a seed and takes the bucket with less in it (shuffle sharding), so that a flooding client blocks
//! only clients that share both buckets with it. In a bucket, requests go by priority weight for
//! their cost, then by expiry.
//!
//! Costs are microseconds of work. Memory grows with the requests that wait; the admission queue
//! bounds those.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::error::Error;
use std::fmt;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;
use valehatch_policy::{RequestId, Span, Time};

/// Requests by which a tenant below its quota may be ahead of the others: random arrivals then
/// rarely wait in a queue of their own tenant, and the others hardly notice.
const BURST_REQUESTS: f64 = 10.0;
/// The bucket of requests with a reservation. It is served before the tenant's other buckets.
const RESERVED_BUCKET: u32 = u32::MAX;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub id: RequestId,
    /// Its tenant, by number.
    pub tenant: usize,
    /// Its client.
    pub client: u64,
    /// Its class, by number.
    pub class: usize,
    /// When it came in.
    pub arrived: Time,
    /// When it is rejected if it still waits.
    pub expires_at: Time,
    /// Its cost, in microseconds of work.
    pub cost: Span,
    /// Its class's priority weight over its cost.
    pub weight_per_cost: f64,
    /// Whether its client came back at the time of its Retry-After hint, for which capacity was
    /// reserved.
    pub has_reservation: bool,
}

/// The order in a bucket: reservations first, then weight for cost, then expiry, then number.
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
            // Non-negative floats have the order of their bits.
            weight_per_cost_bits: Reverse(request.weight_per_cost.max(0.0).to_bits()),
            expires_at: request.expires_at,
            id: request.id,
        }
    }
}

/// Where a request waits.
#[derive(Clone, Copy, Debug)]
struct Position {
    tenant: usize,
    bucket: u32,
    priority: Priority,
}

#[derive(Debug, Default)]
struct Bucket {
    requests: BTreeMap<Priority, QueuedRequest>,
    /// Cost of what waits, in microseconds.
    backlog: i64,
    /// Deficit counter of the round robin, in microseconds.
    deficit: i64,
}

#[derive(Debug, Default)]
struct Tenant {
    buckets: BTreeMap<u32, Bucket>,
    /// Buckets that are not empty, in the order in which they are served.
    round_robin: VecDeque<u32>,
    /// Cost of what waits, in microseconds.
    backlog: i64,
    /// Requests that wait.
    len: usize,
    /// Virtual time at which its next request starts.
    virtual_start: f64,
    /// What a round adds to each bucket's deficit: the highest cost that waits, so that each bucket
    /// is served within two rounds.
    quantum: i64,
}

/// A tenant and how long its queue is for its weight.
#[derive(Clone, Copy, Debug)]
pub struct LongestTenant {
    /// The tenant, by number.
    pub tenant: usize,
    /// Its requests that wait, over its weight.
    pub weighted_len: f64,
}

/// An invariant of a fair queue that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FairQueueViolation {
    /// A tenant's counters differ from what its buckets hold.
    TenantCounters {
        /// The tenant, by number.
        tenant: usize,
        /// Requests in its buckets.
        queued: usize,
        /// Requests by its counter.
        counted: usize,
        /// Cost in its buckets, in microseconds.
        queued_cost: i64,
        /// Cost by its counter, in microseconds.
        counted_cost: i64,
    },
    /// The index of positions differs from the buckets.
    Index {
        /// Requests in the buckets.
        queued: usize,
        /// Requests in the index.
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
                "tenant {tenant}: {queued} of {counted} requests, {queued_cost} of {counted_cost} us"
            ),
            Self::Index { queued, indexed } => {
                write!(f, "{queued} requests are queued, {indexed} indexed")
            }
        }
    }
}

impl Error for FairQueueViolation {}

/// A lane's queue.
#[derive(Debug)]
pub struct FairQueue {
    tenants: Vec<Tenant>,
    positions: BTreeMap<RequestId, Position>,
    virtual_time: f64,
    client_buckets: u32,
    seed: u64,
}

impl FairQueue {
    /// An empty queue for so many tenants; the seed decides which clients share a bucket.
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

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Requests of a tenant that wait.
    #[must_use]
    pub fn tenant_len(&self, tenant: usize) -> usize {
        self.tenants[tenant].len
    }

    /// When a tenant's oldest waiting request came in.
    #[must_use]
    pub fn oldest_arrival(&self, tenant: usize) -> Option<Time> {
        let buckets = self.tenants[tenant].buckets.values();
        let requests = buckets.flat_map(|bucket| bucket.requests.values());
        requests.map(|request| request.arrived).min()
    }

    /// Cost of a tenant's waiting requests.
    #[must_use]
    pub fn backlog(&self, tenant: usize) -> Span {
        Span(self.tenants[tenant].backlog)
    }

    /// The fraction of the lane that a tenant gets beside the tenants that wait now.
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

    /// Upper estimate of the cost that is served before a request that would come in now: its
    /// bucket's backlog once for each bucket of its tenant, and one more round; at most all that
    /// its tenant has waiting.
    #[must_use]
    pub fn cost_before(&self, request: &QueuedRequest) -> Span {
        let tenant = &self.tenants[request.tenant];
        let own = self.bucket_backlog(request.tenant, self.bucket_of(request));
        if request.has_reservation {
            return Span(own);
        }
        let buckets = i64::try_from(tenant.round_robin.len()).unwrap_or(i64::MAX);
        let round = buckets.saturating_mul(tenant.quantum.max(request.cost.0));
        let rounds = own.saturating_mul(buckets.max(1)).saturating_add(round);
        Span(rounds.min(tenant.backlog))
    }

    /// The earliest virtual start of a tenant that was idle.
    fn earliest_start(&self, request: &QueuedRequest, weights: &[f64]) -> f64 {
        let burst = BURST_REQUESTS * request.cost.as_f64() / weights[request.tenant];
        self.virtual_time - burst
    }

    /// Adds a request.
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

    /// Takes out the request that is served next.
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

    /// The next request of a tenant by deficit round robin.
    fn next_by_deficit(&mut self, number: usize) -> Option<Position> {
        let tenant = &mut self.tenants[number];
        // Each round adds the highest cost to each deficit, so two rounds serve some bucket.
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

    /// Charges a tenant for a request that is admitted, whether it waited or not.
    pub fn charge(&mut self, request: &QueuedRequest, weights: &[f64]) {
        let earliest_start = self.earliest_start(request, weights);
        let tenant = &mut self.tenants[request.tenant];
        let start = tenant.virtual_start.max(earliest_start);
        tenant.virtual_start = start + request.cost.as_f64() / weights[request.tenant];
        if self.positions.is_empty() {
            // Nobody waits, so this takes nothing from other tenants.
            self.virtual_time = self.virtual_time.max(start);
        }
    }

    /// Takes out a request, wherever it waits.
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

    /// The tenant that has most requests waiting for its weight.
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

    /// Takes out the request that would be served last in a tenant's longest bucket.
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

    /// Checks what must hold after every step. The cost grows with the requests that wait.
    ///
    /// # Errors
    /// The first invariant that does not hold.
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
    /// The first request with a reservation.
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
