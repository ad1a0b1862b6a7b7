//! Sizes, quotas and classes of an admission queue.

use std::error::Error;
use std::fmt;

use valehatch_policy::Span;

/// Least weight of a tenant, also used for a quota that is not a finite number.
const MIN_WEIGHT: f64 = 0.001;
/// Greatest weight of a tenant.
const MAX_WEIGHT: f64 = 1000.0;
/// Least weight of requests without a known tenant, whose weight is what the quotas leave of 1.
const MIN_UNKNOWN_TENANT_WEIGHT: f64 = 0.01;

/// Properties of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Priority weight of one request; requests are ordered by this weight divided by their cost.
    pub priority_weight: f64,
    /// Time after arrival within which an answer has its full value.
    pub latency_objective: Span,
    /// Whether an answer after the latency objective still has value.
    pub late_answer_counts: bool,
    /// Whether requests of the class are writes, which only the primary serves.
    pub write: bool,
}

/// Sizes and quotas of an admission queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Weights of the tenants, by tenant number; they need not add up to 1. A tenant with quota 0
    /// is served when no other tenant has waiting requests.
    pub quotas: Vec<f64>,
    /// Request classes, by class number.
    pub classes: Vec<Class>,
    /// Maximum number of waiting requests in all lanes together.
    pub max_waiting: usize,
    /// Number of buckets that the clients of a tenant are hashed into, in each lane.
    pub client_buckets: u32,
    /// Longest Retry-After that clients obey.
    pub max_retry_after: Span,
    /// Maximum number of lanes in use; requests of further groups are admitted without queueing.
    pub max_lanes: usize,
}

/// The number of new quotas differs from the number of tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaCountMismatch {
    /// Number of new quotas.
    pub quotas: usize,
    /// Number of configured tenants.
    pub tenants: usize,
}

impl fmt::Display for QuotaCountMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { quotas, tenants } = self;
        write!(f, "{quotas} shares for {tenants} tenants")
    }
}

impl Error for QuotaCountMismatch {}

/// Weights by tenant number; the last is for requests without a known tenant.
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
