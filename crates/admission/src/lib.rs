//! Admission control in front of the policy: which request is admitted next, which requests are
//! rejected, and when rejected clients should retry. Routing of admitted requests is left to the
//! policy.
//!
//! An [`AdmissionQueue`] has one lane for the writes and one for the reads of each group. Within a
//! lane, tenants share capacity by weight (start-time fair queueing over cost), the clients of a
//! tenant share it evenly (deficit round robin over hashed buckets), and the requests of a client
//! are ordered by priority weight divided by cost. Inputs are arrivals, completions, the capacity
//! of the endpoints, and time in whole microseconds; outputs are decisions. All sizes are set in
//! the constructor. The crate does no I/O, reads no clock and iterates in a defined order only.
//!
//! | module | purpose |
//! | --- | --- |
//! | `admission_queue` | the state machine: arrivals, decisions, timers |
//! | `lane` | the writes or the reads of one group |
//! | `messages` | inputs and outputs of the admission queue |
//! | `settings` | sizes, quotas, classes |
//! | `invariants` | violations of conditions that hold after every step |
//! | [`queue`] | the fair queue of a lane |
//! | [`capacity_window`] | limit of requests in flight |
//! | [`retry_after`] | Retry-After hints as reservations of future capacity |
//! | [`cost`] | cost of each class, learned from latencies |
//! | [`drain_rate`] | rate at which a lane serves its queue |
//! | [`codel`] | detection of standing queues |

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
