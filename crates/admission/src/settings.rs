//! Sizes, quotas and classes of an admission queue.

use std::error::Error;
use std::fmt;

use valehatch_policy::Span;

/// Bounds of a tenant's weight: a quota that is not a finite number counts as the least.
const MIN_WEIGHT: f64 = 0.001;
const MAX_WEIGHT: f64 = 1000.0;
/// The least weight of requests without a known tenant, which share what the quotas leave of 1.
const MIN_UNKNOWN_TENANT_WEIGHT: f64 = 0.01;

/// What the queue knows of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// An answer has its full value up to this long after arrival.
    pub latency_objective: Span,
    /// Whether an answer after the objective still has value.
    pub late_answer_counts: bool,
    /// Whether only the primary takes it.
    pub write: bool,
}

/// Sizes and quotas of an admission queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The tenants' quotas: weights, which need not add up to 1. A tenant with 0 is served when no
    /// other waits.
    pub quotas: Vec<f64>,
    /// The classes, by number.
    pub classes: Vec<Class>,
    /// Requests that may wait, in all lanes together.
    pub max_waiting: usize,
    /// Buckets that the clients of a tenant are hashed into, in each lane.
    pub client_buckets: u32,
    /// The longest Retry-After that clients obey.
    pub max_retry_after: Span,
    /// Lanes in use at once; requests of further groups are admitted as they come.
    pub max_lanes: usize,
}

/// New quotas are not as many as the tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaCountMismatch {
    /// Quotas that were given.
    pub quotas: usize,
    /// Tenants that there are.
    pub tenants: usize,
}

impl fmt::Display for QuotaCountMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { quotas, tenants } = self;
        write!(f, "{quotas} shares for {tenants} tenants")
    }
}

impl Error for QuotaCountMismatch {}

/// The weights of the tenants, the last for requests without a known tenant.
pub(crate) fn tenant_weights(quotas: &[f64]) -> Vec<f64> {
    let mut weights: Vec<f64> = quotas.iter().map(|quota| bounded_weight(*quota)).collect();
    let unassigned = 1.0 - weights.iter().sum::<f64>();
    weights.push(unassigned.max(MIN_UNKNOWN_TENANT_WEIGHT));
    weights
}

fn bounded_weight(quota: f64) -> f64 {
    if quota.is_finite() {
        quota.clamp(MIN_WEIGHT, MAX_WEIGHT)
    } else {
        MIN_WEIGHT
    }
}
