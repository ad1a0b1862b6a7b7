//! Rows of counters: for each front, each class and each tenant by name. A [`Counters`] is a persistent map, so that a
//! copy costs nothing and whoever walks one is not disturbed by what is counted meanwhile.

use std::sync::Arc;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::record::{AttemptOutcome, FailureReason, FinalOutcome, RejectionReason, RequestRecord};

/// What a row is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// A class of requests.
    Class,
    /// A tenant, over all classes.
    Tenant,
}

/// Which row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// What it is about.
    pub scope: Scope,
    /// The front's name.
    pub front: Arc<str>,
    /// The class's or the tenant's name.
    pub name: Arc<str>,
}

/// Upper bounds of the buckets of the time histogram, in microseconds; one more bucket takes all beyond.
pub const LATENCY_BOUNDS_US: [u64; 14] = [
    1_000, 2_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 300_000, 500_000, 1_000_000,
    2_000_000, 5_000_000, 10_000_000,
];
/// Buckets of the time histogram.
pub const LATENCY_BUCKETS: usize = LATENCY_BOUNDS_US.len() + 1;

const REFUSED: usize = 3;
const FAILED: usize = REFUSED + RejectionReason::ALL.len();
const ATTEMPTS: usize = FAILED + FailureReason::ALL.len();
const TIMES: usize = ATTEMPTS + AttemptOutcome::ALL.len();
/// Counters in a row.
pub const COUNTERS_PER_ROW: usize = TIMES + LATENCY_BUCKETS;

/// One counter of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Served within the aim.
    InTime,
    /// Served after it.
    Late,
    /// Left by their clients.
    Aborted,
    /// Refused for a reason.
    Rejected(RejectionReason),
    /// Failed in a way.
    Failed(FailureReason),
    /// Attempts that ended so.
    Attempt(AttemptOutcome),
    /// Served within the bounds of this bucket.
    LatencyBucket(usize),
}

impl Counter {
    /// Its place in a row.
    #[must_use]
    pub const fn place(self) -> usize {
        match self {
            Self::InTime => 0,
            Self::Late => 1,
            Self::Aborted => 2,
            Self::Rejected(why) => REFUSED + why as usize,
            Self::Failed(how) => FAILED + how as usize,
            Self::Attempt(how) => ATTEMPTS + how as usize,
            Self::LatencyBucket(bucket) => {
                TIMES
                    + if bucket < LATENCY_BUCKETS {
                        bucket
                    } else {
                        LATENCY_BUCKETS - 1
                    }
            }
        }
    }

    /// All of a row's, in their places.
    pub fn all() -> impl Iterator<Item = Self> {
        let ends = [Self::InTime, Self::Late, Self::Aborted].into_iter();
        ends.chain(RejectionReason::ALL.iter().map(|r| Self::Rejected(*r)))
            .chain(FailureReason::ALL.iter().map(|f| Self::Failed(*f)))
            .chain(AttemptOutcome::ALL.iter().map(|o| Self::Attempt(*o)))
            .chain((0..LATENCY_BUCKETS).map(Self::LatencyBucket))
    }

    /// Its name in marks and checkpoints: the same whatever is added later.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::InTime => "in-time".into(),
            Self::Late => "late".into(),
            Self::Aborted => "aborted".into(),
            Self::Rejected(why) => format!("refused.{}", why.name()),
            Self::Failed(how) => format!("failed.{}", how.name()),
            Self::Attempt(how) => format!("attempt.{}", how.name()),
            Self::LatencyBucket(bucket) => LATENCY_BOUNDS_US
                .get(bucket)
                .map_or_else(|| "time.more".into(), |us| format!("time.{us}")),
        }
    }

    /// The counter of a name, if there is one.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::all().find(|cell| cell.name() == name)
    }
}

/// The bucket that a time falls in.
#[must_use]
pub fn bucket(us: u64) -> usize {
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
    /// One counter.
    #[must_use]
    pub fn get(&self, cell: Counter) -> u64 {
        self.0[cell.place()]
    }

    fn add(&mut self, cell: Counter) {
        self.0[cell.place()] += 1;
    }

    fn raise(&mut self, cell: Counter, to: u64) {
        let at = &mut self.0[cell.place()];
        *at = to.max(*at);
    }

    /// All refused, whatever the reason.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.0[REFUSED..FAILED].iter().sum()
    }

    /// All failed, however.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.0[FAILED..ATTEMPTS].iter().sum()
    }

    /// All that had their end: served, refused, failed, left.
    #[must_use]
    pub fn finished(&self) -> u64 {
        self.0[..ATTEMPTS].iter().sum()
    }

    /// All attempts.
    #[must_use]
    pub fn attempts(&self) -> u64 {
        self.0[ATTEMPTS..TIMES].iter().sum()
    }

    /// The counters that are not 0, with their names.
    pub fn some(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        Counter::all()
            .zip(self.0.iter().copied())
            .filter(|(_, n)| *n > 0)
    }

    fn count(&mut self, record: &RequestRecord) {
        match record.outcome {
            FinalOutcome::InTime => self.add(Counter::InTime),
            FinalOutcome::Late => self.add(Counter::Late),
            FinalOutcome::Aborted => self.add(Counter::Aborted),
            FinalOutcome::Rejected(why) => self.add(Counter::Rejected(why)),
            FinalOutcome::Failed(how) => self.add(Counter::Failed(how)),
        }
        if matches!(record.outcome, FinalOutcome::InTime | FinalOutcome::Late) {
            self.add(Counter::LatencyBucket(bucket(record.total_us)));
        }
        record
            .attempts
            .iter()
            .for_each(|t| self.add(Counter::Attempt(t.outcome)));
    }
}

/// All rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    rows: OrdMap<RowKey, CounterRow>,
    /// Records that were counted and are not in the request log.
    pub missed: u64,
}

impl Counters {
    /// The rows that a record counts in.
    pub fn keys(record: &RequestRecord) -> impl Iterator<Item = RowKey> + '_ {
        let key = |scope, name: &Arc<str>| RowKey {
            scope,
            front: record.front.clone(),
            name: name.clone(),
        };
        let class = std::iter::once(key(Scope::Class, &record.class));
        class.chain(record.tenant.iter().map(move |t| key(Scope::Tenant, t)))
    }

    /// Counts a record.
    pub fn count(&mut self, record: &RequestRecord) {
        for key in Self::keys(record) {
            self.rows.entry(key).or_default().count(record);
        }
    }

    /// A row, if anything was counted in it.
    #[must_use]
    pub fn get(&self, key: &RowKey) -> Option<&CounterRow> {
        self.rows.get(key)
    }

    /// All rows in their order.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &CounterRow)> {
        self.rows.iter()
    }

    /// Raises one counter to at least a value.
    pub fn raise(&mut self, key: RowKey, cell: Counter, to: u64) {
        self.rows.entry(key).or_default().raise(cell, to);
    }

    /// Takes over what another one has more of: the join of two lower bounds.
    pub fn join(&mut self, other: &Self) {
        self.missed = self.missed.max(other.missed);
        for (key, row) in other.rows() {
            row.some()
                .for_each(|(cell, n)| self.raise(key.clone(), cell, n));
        }
    }

    /// Whether no counter of the other one is above this one's.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        let covered = |(key, row): (&RowKey, &CounterRow)| {
            let own = self.get(key);
            row.some()
                .all(|(cell, n)| own.is_some_and(|o| o.get(cell) >= n))
        };
        self.missed >= other.missed && other.rows().all(covered)
    }

    /// Adds what another one counted: for records that were counted elsewhere, since the queue was full.
    pub fn add(&mut self, other: &Self) {
        self.missed += other.missed;
        for (key, row) in other.rows() {
            let own = self.rows.entry(key.clone()).or_default();
            own.0
                .iter_mut()
                .zip(row.0.iter())
                .for_each(|(a, b)| *a += b);
        }
    }

    /// Whether nothing was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.missed == 0
    }
}
