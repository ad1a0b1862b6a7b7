//! Inputs and outputs of an admission queue. Times are whole microseconds.

use valehatch_policy::{GroupId, RequestId, Span, Time};

/// Which requests of a group a lane holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LaneKind {
    /// Reads, of any consistency.
    Reads,
    /// Writes, which only the primary serves.
    Writes,
}

/// Identifies a lane: the reads or the writes of one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneId {
    /// Group whose requests the lane holds.
    pub group: GroupId,
    /// Whether the lane holds reads or writes.
    pub kind: LaneKind,
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request, unique within the core.
    pub id: RequestId,
    /// Tenant number; `None` if the tenant is not known. Requests without a known tenant share one
    /// weight.
    pub tenant: Option<usize>,
    /// Key of the client, as far as the front can distinguish clients.
    pub client: u64,
    /// Index of the class in the settings.
    pub class: usize,
    /// Group that the request addresses.
    pub group: GroupId,
    /// When the client stops waiting for an answer.
    pub deadline: Time,
}

/// Why the queue rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRejection {
    /// The expected wait is too long for the request to be served in time.
    WaitTooLong,
    /// The queue is full, and the request's tenant has the most waiting requests relative to its
    /// weight.
    QueueFull,
    /// The request waited until it could no longer be served in time.
    ExpiredInQueue,
    /// CoDel found a standing queue and dropped the request at its head, so that later requests are
    /// served in time.
    StandingQueue,
}

/// When a rejected client should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterHint {
    /// Time from the rejection to the retry.
    pub retry_after: Span,
    /// Whether capacity is reserved for the retry. If not, none was free within the longest
    /// Retry-After that clients obey.
    pub reserved: bool,
}

/// Outcome of admission for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is admitted.
    Admit(RequestId),
    /// The request is rejected.
    Reject {
        /// Number of the rejected request.
        id: RequestId,
        /// Why the queue rejects the request.
        reason: QueueRejection,
        /// When the client should retry.
        hint: RetryAfterHint,
    },
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// An endpoint answered the request; its latency updates the cost of its class.
    Served,
    /// The request ended in any other way.
    NotServed,
}

/// Published figures of a tenant over all lanes. Counts run from the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantQueueView {
    /// Requests that are waiting.
    pub waiting: u64,
    /// How long the oldest waiting request has waited; zero if none waits.
    pub oldest: Span,
    /// Requests received.
    pub received: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Cost of the admitted requests, in microseconds of work.
    pub admitted_cost_us: u64,
    /// Retry-After hints given to rejected clients.
    pub hints_given: u64,
    /// Retries that arrived within the tolerance around the time of their hint.
    pub hints_honoured: u64,
    /// Total time by which those retries arrived after the time of their hint.
    pub hint_lateness: Span,
}
