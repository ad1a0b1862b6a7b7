//! What goes into an admission queue and what comes out. Times are whole microseconds.

use valehatch_policy::{GroupId, RequestId, Span, Time};

/// Which requests of a group a lane holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LaneKind {
    /// Reads.
    Reads,
    /// Writes, which only the group's primary takes.
    Writes,
}

/// A lane: a group's reads or its writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneId {
    /// The group.
    pub group: GroupId,
    /// Its reads or its writes.
    pub kind: LaneKind,
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub id: RequestId,
    /// Its tenant, by number; `None` if it is not known. All unknown ones count as one tenant.
    pub tenant: Option<usize>,
    /// Its client, as far as the front can tell clients apart.
    pub client: u64,
    /// Its class, by number.
    pub class: usize,
    /// Its group.
    pub group: GroupId,
    /// When its client stops waiting.
    pub deadline: Time,
}

/// Why a request is rejected by the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRejection {
    /// It would not be served in time: the queue before it is too long.
    WaitTooLong,
    /// The queue is full, and its tenant has most requests in it for its weight.
    QueueFull,
    /// It waited until it could no longer be served in time.
    ExpiredInQueue,
    /// The queue has stood for too long, and is cut at its head so that later requests are served
    /// in time.
    StandingQueue,
}

/// When a rejected client should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterHint {
    /// After this time.
    pub retry_after: Span,
    /// Whether capacity is reserved for it then. If not, the longest Retry-After that clients obey
    /// is too short.
    pub reserved: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is admitted.
    Admit(RequestId),
    /// It is rejected.
    Reject {
        /// The request.
        id: RequestId,
        /// Why.
        reason: QueueRejection,
        /// When its client should come back.
        hint: RetryAfterHint,
    },
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// An endpoint answered it: its latency is learned from.
    Served,
    /// It ended in another way.
    NotServed,
}

/// What is published of a tenant, over all lanes. Counts run from the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantQueueView {
    /// Requests that wait now.
    pub waiting: u64,
    /// How long the oldest of them has waited.
    pub oldest: Span,
    /// Requests that came in.
    pub received: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Their cost, in microseconds of work.
    pub admitted_cost_us: u64,
    /// Retry-After hints that were given.
    pub hints_given: u64,
    /// Clients that came back at the time of their hint.
    pub hints_honoured: u64,
    /// By how much those clients came back later than their hint said, in all.
    pub hint_lateness: Span,
}
