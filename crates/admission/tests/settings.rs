//! Quotas that do not match the number of tenants are rejected with a typed error.

use valehatch_admission::{AdmissionQueue, QuotaCountMismatch, Settings};
use valehatch_policy::Span;

// An operator reloads quotas for a different number of tenants. The old quotas stay in effect, and
// the log line contains both numbers.
#[test]
fn quota_count_differs_returns_both_counts() {
    let settings = Settings {
        quotas: vec![0.5, 0.5],
        classes: vec![],
        max_waiting: 10,
        client_buckets: 1,
        max_retry_after: Span::from_millis(1),
        max_lanes: 1,
    };
    let mut queue = AdmissionQueue::new(settings, 1);
    let mismatch = queue.set_quotas(&[1.0]).unwrap_err();
    let expected = QuotaCountMismatch {
        quotas: 1,
        tenants: 2,
    };
    assert_eq!(mismatch, expected);
    assert_eq!(mismatch.to_string(), "1 shares for 2 tenants");
}
