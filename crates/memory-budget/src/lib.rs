//! The memory budget of one front: every byte that is held for a caller is reserved here, and
//! reserved before it can arrive.
//!
//! No I/O and no clock. State: the front's memory, and the bytes in use by [`MemoryUse`], all
//! atomic, so that any thread may use the budget. A [`Reservation`] is released when it is dropped.
//!
//! What connections take beside these bytes is a constant for each, [`CONNECTION_BYTES`]. It is set
//! aside for as many connections as the front may have, and the rest of the memory is divided:
//!
//! | use | limit, as a part of the rest | what happens at the limit |
//! | --- | --- | --- |
//! | [`MemoryUse::PartialRequests`] and [`MemoryUse::ReadAhead`] | 1/8 together | the request is rejected |
//! | [`MemoryUse::ReadAhead`] | 1/16 | nothing more is read from the connection |
//! | [`MemoryUse::Requests`] and [`MemoryUse::PipelinedRequests`] | 1/8 together | the request is rejected |
//! | [`MemoryUse::PipelinedRequests`] | 1/16 | nothing more is read from the connection |
//! | [`MemoryUse::Responses`] | 1/4, see [`MemoryBudget::max_active_clients`] | the request is rejected |
//! | [`MemoryUse::PipelinedResponses`] | 1/8 | the request waits before it is scheduled |
//! | [`MemoryUse::LargeResponses`] and [`MemoryUse::Chunks`] | 1/8 together | the response is discarded, chunks become small |
//!
//! A request is *pipelined* if its client has others without a written response. Pipelined requests
//! never use up a limit that a client's only request needs, so a client with hundreds of requests
//! does not starve one with a single request. What is not divided is for the program itself: its
//! code, its other threads and the allocator.

#![forbid(unsafe_code)]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

mod unwritten;

pub use unwritten::{UnwrittenResponse, UnwrittenResponses};

/// Bytes that a connection takes beside what is reserved: its entries in tables, its socket's
/// registration, and the stack of the thread that reads from an endpoint or writes to a client.
pub const CONNECTION_BYTES: usize = 8 * 1024;
/// Connections may take the memory divided by this.
const CONNECTIONS_DIVISOR: usize = 2;

/// Bytes of a streamed response that are read at once, if the budget allows it.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes that are read at once if the budget is short: every streamed response makes progress,
/// regardless of their number.
pub const MIN_CHUNK_BYTES: usize = 4 * 1024;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum MemoryUse {
    /// Bytes received of requests that are not complete.
    PartialRequests,
    /// Open requests of clients that have no other open request.
    Requests,
    /// Open requests of clients that have others.
    PipelinedRequests,
    /// Responses to requests of clients that have no other open request: expected, or waiting to be
    /// written.
    Responses,
    /// Responses to pipelined requests: expected, waiting for earlier ones, or waiting to be
    /// written.
    PipelinedResponses,
    /// Responses that are larger than what is reserved when a request is sent.
    LargeResponses,
    /// Chunks of streamed responses.
    Chunks,
    /// Bytes received behind requests that cannot be handled yet.
    ReadAhead,
}

impl MemoryUse {
    /// All uses, in the order of their discriminants.
    pub const ALL: [Self; 8] = [
        Self::PartialRequests,
        Self::Requests,
        Self::PipelinedRequests,
        Self::Responses,
        Self::PipelinedResponses,
        Self::LargeResponses,
        Self::Chunks,
        Self::ReadAhead,
    ];

    /// Name of the use in metrics, which must not change.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::PartialRequests => "partial_requests",
            Self::Requests => "requests",
            Self::PipelinedRequests => "pipelined_requests",
            Self::Responses => "responses",
            Self::PipelinedResponses => "pipelined_responses",
            Self::LargeResponses => "large_responses",
            Self::Chunks => "chunks",
            Self::ReadAhead => "read_ahead",
        }
    }

    /// Limits that a reservation for this use must keep.
    const fn limits(self) -> &'static [Limit] {
        match self {
            Self::PartialRequests => &[PARTIAL_REQUESTS],
            Self::Requests => &[ALL_REQUESTS],
            Self::PipelinedRequests => &[ALL_REQUESTS, PIPELINED_REQUESTS],
            Self::Responses => &[RESPONSES],
            Self::PipelinedResponses => &[PIPELINED_RESPONSES],
            Self::LargeResponses | Self::Chunks => &[LARGE_RESPONSES],
            Self::ReadAhead => &[PARTIAL_REQUESTS, READ_AHEAD],
        }
    }
}

/// Limit on the bytes of some uses together.
struct Limit {
    uses: &'static [MemoryUse],
    /// The limit is the divided memory divided by this.
    divisor: usize,
}

const PARTIAL_REQUESTS: Limit = Limit {
    uses: &[MemoryUse::PartialRequests, MemoryUse::ReadAhead],
    divisor: 8,
};
const READ_AHEAD: Limit = Limit {
    uses: &[MemoryUse::ReadAhead],
    divisor: 16,
};
const ALL_REQUESTS: Limit = Limit {
    uses: &[MemoryUse::Requests, MemoryUse::PipelinedRequests],
    divisor: 8,
};
const PIPELINED_REQUESTS: Limit = Limit {
    uses: &[MemoryUse::PipelinedRequests],
    divisor: 16,
};
const RESPONSES: Limit = Limit {
    uses: &[MemoryUse::Responses],
    divisor: 4,
};
const PIPELINED_RESPONSES: Limit = Limit {
    uses: &[MemoryUse::PipelinedResponses],
    divisor: 8,
};
const LARGE_RESPONSES: Limit = Limit {
    uses: &[MemoryUse::LargeResponses, MemoryUse::Chunks],
    divisor: 8,
};
/// One client may use its limit of pipelined responses divided by this.
const PIPELINED_SHARE_DIVISOR: usize = 4;

/// Bytes that one front holds for its callers, and their limits.
#[derive(Debug)]
pub struct MemoryBudget {
    /// Memory of the front, in bytes.
    memory: AtomicUsize,
    /// Maximum number of connections of the front.
    connections: AtomicUsize,
    used: [AtomicUsize; MemoryUse::ALL.len()],
}

impl MemoryBudget {
    /// Creates the budget of a front that may use `memory` bytes, with no memory set aside for
    /// connections.
    #[must_use]
    pub const fn new(memory: usize) -> Self {
        Self::with_connections(memory, 0)
    }

    /// Creates the budget of a front that may use `memory` bytes and have that many connections.
    #[must_use]
    pub const fn with_connections(memory: usize, connections: usize) -> Self {
        Self {
            memory: AtomicUsize::new(memory),
            connections: AtomicUsize::new(connections),
            used: [const { AtomicUsize::new(0) }; MemoryUse::ALL.len()],
        }
    }

    /// Replaces the memory and the number of connections of the front. Reservations above a lower
    /// limit remain.
    pub fn set_limits(&self, memory: usize, connections: usize) {
        self.memory.store(memory, Ordering::Relaxed);
        self.connections.store(connections, Ordering::Relaxed);
    }

    /// Maximum number of connections that `memory` bytes have room for.
    #[must_use]
    pub const fn max_connections(memory: usize) -> usize {
        memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES
    }

    /// Memory that is set aside for connections, in bytes.
    #[must_use]
    pub fn connection_memory(&self) -> usize {
        let wanted = self.connections.load(Ordering::Relaxed) * CONNECTION_BYTES;
        wanted.min(self.memory() / CONNECTIONS_DIVISOR)
    }

    /// Memory of the front, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.memory.load(Ordering::Relaxed)
    }

    /// Bytes that are reserved for a use.
    #[must_use]
    pub fn used(&self, usage: MemoryUse) -> usize {
        self.used[usage as usize].load(Ordering::Relaxed)
    }

    /// Reserves bytes; `None` if that would exceed a limit of the use.
    #[must_use]
    pub fn try_reserve(self: &Arc<Self>, usage: MemoryUse, bytes: usize) -> Option<Reservation> {
        // Dropped, and thereby released, if a limit is exceeded.
        let reservation = self.reserve(usage, bytes);
        self.has_room(usage, 0).then_some(reservation)
    }

    /// Whether bytes could be reserved for a use now.
    #[must_use]
    pub fn has_room(&self, usage: MemoryUse, bytes: usize) -> bool {
        let mut limits = usage.limits().iter();
        limits.all(|limit| self.used_of(limit) + bytes <= self.limit(limit))
    }

    /// Reserves bytes even beyond the limits. For bytes that are bounded by other means.
    #[must_use]
    pub fn reserve(self: &Arc<Self>, usage: MemoryUse, bytes: usize) -> Reservation {
        self.used[usage as usize].fetch_add(bytes, Ordering::Relaxed);
        Reservation {
            budget: Arc::clone(self),
            usage,
            bytes,
        }
    }

    /// Reserves one chunk of a streamed response. Beyond half of the limit, only the smallest chunk
    /// is granted, which leaves the other half to large responses.
    #[must_use]
    pub fn reserve_chunk(self: &Arc<Self>) -> Reservation {
        let fits = self.used_of(&LARGE_RESPONSES) + CHUNK_BYTES <= self.limit(&LARGE_RESPONSES) / 2;
        let bytes = if fits { CHUNK_BYTES } else { MIN_CHUNK_BYTES };
        self.reserve(MemoryUse::Chunks, bytes)
    }

    /// Maximum number of clients that may have an open request at the same time, if a response
    /// takes up to `response_bytes`; at least 1.
    #[must_use]
    pub fn max_active_clients(&self, response_bytes: usize) -> usize {
        (self.limit(&RESPONSES) / response_bytes.max(1)).max(1)
    }

    /// Maximum number of responses without a written response that one client may have, if a
    /// response takes up to `response_bytes`; at least 1.
    #[must_use]
    pub fn max_responses_of_client(&self, response_bytes: usize) -> usize {
        let share = self.limit(&PIPELINED_RESPONSES) / PIPELINED_SHARE_DIVISOR;
        (share / response_bytes.max(1)).max(1)
    }

    fn limit(&self, limit: &Limit) -> usize {
        (self.memory() - self.connection_memory()) / limit.divisor
    }

    fn used_of(&self, limit: &Limit) -> usize {
        limit.uses.iter().map(|usage| self.used(*usage)).sum()
    }

    fn release(&self, usage: MemoryUse, bytes: usize) {
        self.used[usage as usize].fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Reserved bytes, released when the reservation is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    usage: MemoryUse,
    bytes: usize,
}

impl Reservation {
    /// Number of reserved bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves further bytes for the same use; returns whether the limits allowed it.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let Some(mut more) = self.budget.try_reserve(self.usage, bytes) else {
            return false;
        };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }

    /// Reserves further bytes for the same use even beyond the limits. For bytes that are bounded by
    /// other means.
    pub fn grow(&mut self, bytes: usize) {
        let mut more = self.budget.reserve(self.usage, bytes);
        self.bytes += std::mem::take(&mut more.bytes);
    }

    /// Adjusts the reservation to what is held. A caller that has reserved before it received has
    /// reserved at least that, but for what the allocator rounds up.
    pub fn resize(&mut self, bytes: usize) {
        self.grow(bytes.saturating_sub(self.bytes));
        self.shrink_to(bytes);
    }

    /// Releases what is reserved beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.budget.release(self.usage, surplus);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.usage, self.bytes);
    }
}
