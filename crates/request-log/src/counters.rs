//! Rows of counters: one for each front and class, and one for each front and tenant. [`Counters`]
//! is a persistent map: a copy is cheap, and the reader of a copy is not affected by later
//! counting.

use std::sync::Arc;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::outcomes::{AttemptOutcome, FailureReason, FinalOutcome, RejectionReason};
use crate::record::RequestRecord;

/// What the name of a row refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// A request class.
    Class,
    /// A tenant, over all classes.
    Tenant,
}

/// The key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// What `name` refers to.
    pub scope: Scope,
    /// The front's name.
    pub front: Arc<str>,
    /// The name of the class or tenant.
    pub name: Arc<str>,
}

/// Inclusive upper bounds of the latency buckets, in microseconds; one more bucket takes all longer
/// latencies.
pub const LATENCY_BOUNDS_US: [u64; 14] = [
    1_000, 2_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 300_000, 500_000, 1_000_000,
    2_000_000, 5_000_000, 10_000_000,
];
/// Number of latency buckets.
pub const LATENCY_BUCKETS: usize = LATENCY_BOUNDS_US.len() + 1;

const FIRST_REJECTION: usize = 3;
const FIRST_FAILURE: usize = FIRST_REJECTION + RejectionReason::ALL.len();
const FIRST_ATTEMPT: usize = FIRST_FAILURE + FailureReason::ALL.len();
const FIRST_BUCKET: usize = FIRST_ATTEMPT + AttemptOutcome::ALL.len();
/// Number of counters in a row.
pub const COUNTERS_PER_ROW: usize = FIRST_BUCKET + LATENCY_BUCKETS;

/// One counter of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests served within the latency objective.
    InTime,
    /// Requests served after the latency objective.
    Late,
    /// Requests whose client disconnected before the answer.
    Aborted,
    /// Requests rejected for a reason.
    Rejected(RejectionReason),
    /// Requests failed for a reason.
    Failed(FailureReason),
    /// Attempts with an outcome.
    Attempt(AttemptOutcome),
    /// Served requests with a latency in the bucket of this index; an index beyond the last bucket
    /// means the last bucket.
    LatencyBucket(usize),
}

impl Counter {
    /// The index of the counter in a row.
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::InTime => 0,
            Self::Late => 1,
            Self::Aborted => 2,
            Self::Rejected(reason) => FIRST_REJECTION + reason as usize,
            Self::Failed(reason) => FIRST_FAILURE + reason as usize,
            Self::Attempt(outcome) => FIRST_ATTEMPT + outcome as usize,
            Self::LatencyBucket(bucket) if bucket < LATENCY_BUCKETS => FIRST_BUCKET + bucket,
            Self::LatencyBucket(_) => FIRST_BUCKET + LATENCY_BUCKETS - 1,
        }
    }

    /// All counters of a row, by index.
    pub fn all() -> impl Iterator<Item = Self> {
        let ends = [Self::InTime, Self::Late, Self::Aborted].into_iter();
        let rejections = RejectionReason::ALL.iter().copied().map(Self::Rejected);
        let failures = FailureReason::ALL.iter().copied().map(Self::Failed);
        let attempts = AttemptOutcome::ALL.iter().copied().map(Self::Attempt);
        let buckets = (0..LATENCY_BUCKETS).map(Self::LatencyBucket);
        ends.chain(rejections)
            .chain(failures)
            .chain(attempts)
            .chain(buckets)
    }

    /// The stored name, in marks and checkpoints; it must not change.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::InTime => "in-time".into(),
            Self::Late => "late".into(),
            Self::Aborted => "aborted".into(),
            Self::Rejected(reason) => format!("refused.{}", reason.name()),
            Self::Failed(reason) => format!("failed.{}", reason.name()),
            Self::Attempt(outcome) => format!("attempt.{}", outcome.name()),
            Self::LatencyBucket(bucket) => match LATENCY_BOUNDS_US.get(bucket) {
                Some(us) => format!("time.{us}"),
                None => "time.more".into(),
            },
        }
    }

    /// The counter with a stored name; `None` if the name is unknown.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::all().find(|counter| counter.name() == name)
    }
}

/// The index of the bucket of a latency in microseconds.
#[must_use]
pub fn latency_bucket(us: u64) -> usize {
    LATENCY_BOUNDS_US.partition_point(|bound| *bound < us)
}

/// The counters of one class or tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CounterRow(Box<[u64; COUNTERS_PER_ROW]>);

impl Default for CounterRow {
    fn default() -> Self {
        Self(Box::new([0; COUNTERS_PER_ROW]))
    }
}

impl CounterRow {
    /// The value of a counter.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.0[counter.index()]
    }

    fn increment(&mut self, counter: Counter) {
        self.0[counter.index()] += 1;
    }

    fn raise(&mut self, counter: Counter, to: u64) {
        let value = &mut self.0[counter.index()];
        *value = to.max(*value);
    }

    /// Rejected requests, over all reasons.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.0[FIRST_REJECTION..FIRST_FAILURE].iter().sum()
    }

    /// Failed requests, over all reasons.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.0[FIRST_FAILURE..FIRST_ATTEMPT].iter().sum()
    }

    /// Requests with a final outcome: served, rejected, failed or aborted.
    #[must_use]
    pub fn finished(&self) -> u64 {
        self.0[..FIRST_ATTEMPT].iter().sum()
    }

    /// Attempts, over all outcomes.
    #[must_use]
    pub fn attempts(&self) -> u64 {
        self.0[FIRST_ATTEMPT..FIRST_BUCKET].iter().sum()
    }

    /// The nonzero counters, with their values.
    pub fn nonzero(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        Counter::all()
            .zip(self.0.iter().copied())
            .filter(|(_, value)| *value > 0)
    }

    fn count(&mut self, record: &RequestRecord) {
        match record.outcome {
            FinalOutcome::InTime => self.increment(Counter::InTime),
            FinalOutcome::Late => self.increment(Counter::Late),
            FinalOutcome::Aborted => self.increment(Counter::Aborted),
            FinalOutcome::Rejected(reason) => self.increment(Counter::Rejected(reason)),
            FinalOutcome::Failed(reason) => self.increment(Counter::Failed(reason)),
        }
        if record.outcome.is_served() {
            self.increment(Counter::LatencyBucket(latency_bucket(record.total_us)));
        }
        for attempt in &record.attempts {
            self.increment(Counter::Attempt(attempt.outcome));
        }
    }

    fn add(&mut self, other: &Self) {
        for (value, added) in self.0.iter_mut().zip(other.0.iter()) {
            *value += added;
        }
    }
}

/// All rows of counters. The number of rows is bounded by the fronts, classes and tenants in the
/// configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    rows: OrdMap<RowKey, CounterRow>,
    /// Number of records that are counted but missing from the request log.
    pub unlogged: u64,
}

impl Counters {
    /// The rows that a record is counted in.
    pub fn row_keys(record: &RequestRecord) -> impl Iterator<Item = RowKey> + '_ {
        let key = |scope, name: &Arc<str>| RowKey {
            scope,
            front: record.front.clone(),
            name: name.clone(),
        };
        let class = key(Scope::Class, &record.class);
        let tenant = record
            .tenant
            .iter()
            .map(move |name| key(Scope::Tenant, name));
        std::iter::once(class).chain(tenant)
    }

    /// Counts a record.
    pub fn count(&mut self, record: &RequestRecord) {
        for key in Self::row_keys(record) {
            self.rows.entry(key).or_default().count(record);
        }
    }

    /// A row, if anything was counted in it.
    #[must_use]
    pub fn get(&self, key: &RowKey) -> Option<&CounterRow> {
        self.rows.get(key)
    }

    /// All rows, ordered by key.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &CounterRow)> {
        self.rows.iter()
    }

    /// Raises a counter to at least a value.
    pub fn raise(&mut self, key: RowKey, counter: Counter, to: u64) {
        self.rows.entry(key).or_default().raise(counter, to);
    }

    /// Raises each counter to at least its value in another set: the join of two lower bounds.
    pub fn join(&mut self, other: &Self) {
        self.unlogged = self.unlogged.max(other.unlogged);
        for (key, row) in other.rows() {
            for (counter, value) in row.nonzero() {
                self.raise(key.clone(), counter, value);
            }
        }
    }

    /// Whether each counter is at least as high as in another set.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        if self.unlogged < other.unlogged {
            return false;
        }
        for (key, row) in other.rows() {
            for (counter, value) in row.nonzero() {
                let own = self.get(key).map_or(0, |row| row.get(counter));
                if own < value {
                    return false;
                }
            }
        }
        true
    }

    /// Adds the counts of another set, which must not count the same records.
    pub fn add(&mut self, other: &Self) {
        self.unlogged += other.unlogged;
        for (key, row) in other.rows() {
            self.rows.entry(key.clone()).or_default().add(row);
        }
    }

    /// Whether there are no counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.unlogged == 0
    }
}
