//! Admission control in front of the policy: who is admitted next, who is rejected at once, and
//! when rejected clients should come back. It never decides where a request goes.
//!
//! An [`AdmissionQueue`] has one lane for the writes and one for the reads of each group. In a
//! lane, tenants share by weight (start-time fair queueing over cost), the clients of a tenant
//! share evenly (deficit round robin over hashed buckets), and a client's requests go by priority
//! weight for their cost. Inputs are arrivals, ends of requests, the capacity of the endpoints, and
//! time in whole microseconds; outputs are decisions. All sizes are set in the constructor. There
//! is no I/O, no clock and no undefined iteration order.
//!
//! | module | job |
//! | --- | --- |
//! | `admission_queue` | the state machine: arrivals, decisions, timers |
//! | `lane` | one group's writes or reads |
//! | `messages` | what goes in and comes out |
//! | `settings` | sizes, quotas, classes |
//! | `invariants` | what must hold after every step |
//! | [`queue`] | the fair queue of a lane |
//! | [`capacity_window`] | how many requests may be past admission |
//! | [`retry_after`] | Retry-After hints as reservations of future capacity |
//! | [`cost`] | what a class costs, learned from latencies |
//! | [`drain_rate`] | how fast a lane works its queue off |
//! | [`codel`] | when a queue has stood for too long |

#![forbid(unsafe_code)]

mod admission_queue;
pub mod capacity_window;
pub mod codel;
pub mod cost;
pub mod drain_rate;
mod invariants;
mod lane;
mod messages;
pub mod queue;
pub mod retry_after;
mod settings;

pub use admission_queue::AdmissionQueue;
pub use capacity_window::{Capacity, CapacityWindow};
pub use invariants::InvariantViolation;
pub use messages::{
    AdmissionDecision, Arrival, Completion, LaneId, LaneKind, QueueRejection, RetryAfterHint,
    TenantQueueView,
};
pub use settings::{Class, QuotaCountMismatch, Settings};
