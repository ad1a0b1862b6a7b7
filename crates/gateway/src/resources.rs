//! Divides the descriptors and the memory of a process between clients, upstream connections and
//! everything else.
//!
//! All sizes are in descriptors or bytes. A hot restart divides them between two processes: see
//! [`crate::hot_restart`].

use std::sync::Arc;

use valehatch_connection_limits::{ANSWER_SETTLE_TIME, ConnectionLimits};
use valehatch_memory_budget::MemoryBudget;
use valehatch_net::Clock;
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_policy::Span;

/// Bytes in a MiB.
const MIB: usize = 1024 * 1024;
/// Capacity of a core's event queue; a sender blocks while the queue is full.
pub(crate) const EVENT_QUEUE_LENGTH: usize = 8192;
/// Descriptors reserved for everything except client and upstream connections.
pub(crate) const RESERVED_DESCRIPTORS: usize = 32;
/// Clients and upstream connections may borrow the reserved descriptors divided by this.
const OVERFLOW_DESCRIPTORS_DIVISOR: usize = 4;
/// Platform clients with open requests may hold at most the descriptors divided by this.
const ACTIVE_CLIENTS_DIVISOR: usize = 3;
/// Minimum idle time before a connection may be evicted, for protocols without a closing error.
const SILENT_CLOSE_SETTLE_TIME: Span = Span::from_millis(2_000);

/// How the upstream connections of a front are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamAccounting {
    /// Upstream connections share the descriptors with clients, as needed.
    Shared,
    /// Upstream connections are counted elsewhere and have half of the descriptors.
    Separate,
}

/// What a front may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FrontResources {
    /// Number of descriptors.
    pub(crate) descriptors: usize,
    /// Number of clients whose responses fit into the memory.
    pub(crate) max_active_clients: usize,
}

/// Memory budget of a front, given its memory in MiB and its descriptors.
pub(crate) fn memory_budget(memory_mb: usize, descriptors: usize) -> Arc<MemoryBudget> {
    Arc::new(MemoryBudget::with_connections(memory_mb * MIB, descriptors))
}

/// Descriptors that are used of those that are configured: no more connections than the memory has
/// room for. A lower number is logged.
pub(crate) fn affordable_descriptors(memory_mb: usize, descriptors: usize) -> usize {
    let connections = MemoryBudget::max_connections(memory_mb * MIB);
    let affordable = descriptors.min(connections + RESERVED_DESCRIPTORS);
    if affordable < descriptors {
        tracing::warn!(
            descriptors,
            memory_mb,
            used = affordable,
            "the memory has no room for so many connections, fewer are admitted"
        );
    }
    affordable
}

/// Resident memory of this process in bytes; 0 if it cannot be read.
pub(crate) fn resident_bytes() -> usize {
    let resident_pages = procfs::process::Process::myself()
        .and_then(|process| process.statm())
        .map_or(0, |memory| memory.resident);
    usize::try_from(resident_pages * procfs::page_size()).unwrap_or(0)
}

/// Number of threads of this process; 0 if it cannot be read.
pub(crate) fn thread_count() -> i64 {
    procfs::process::Process::myself()
        .and_then(|process| process.stat())
        .map_or(0, |stat| stat.num_threads)
}

/// Maximum of upstream connections, given the total of descriptors.
pub(crate) const fn upstream_connections(descriptors: usize) -> usize {
    (descriptors - reserved(descriptors)) / 2
}

/// Creates the limiter of a front's connections.
pub(crate) fn connection_limiter(
    clock: Clock,
    resources: FrontResources,
    accounting: UpstreamAccounting,
) -> Arc<SharedConnectionLimiter> {
    SharedConnectionLimiter::new(clock, connection_limits(resources, accounting))
}

/// Connection limits of the platform's front.
pub(crate) fn platform_limits(resources: FrontResources) -> ConnectionLimits {
    let limits = connection_limits(resources, UpstreamAccounting::Shared);
    let active_clients = resources.descriptors / ACTIVE_CLIENTS_DIVISOR;
    ConnectionLimits {
        active_clients: active_clients.min(limits.active_clients),
        ..limits
    }
}

const fn reserved(descriptors: usize) -> usize {
    if RESERVED_DESCRIPTORS < descriptors / 4 {
        RESERVED_DESCRIPTORS
    } else {
        descriptors / 4
    }
}

fn connection_limits(
    resources: FrontResources,
    accounting: UpstreamAccounting,
) -> ConnectionLimits {
    let FrontResources {
        descriptors,
        max_active_clients,
    } = resources;
    let upstream = upstream_connections(descriptors);
    let overflow = reserved(descriptors) / OVERFLOW_DESCRIPTORS_DIVISOR;
    match accounting {
        UpstreamAccounting::Shared => ConnectionLimits {
            total: descriptors - reserved(descriptors),
            overflow,
            upstream,
            active_clients: max_active_clients,
            settle_time: ANSWER_SETTLE_TIME,
        },
        // Only Cassandra fronts count separately. The Cassandra protocol has no closing error: a
        // client whose idle connection is closed just as it sends sees a reset. Connections must
        // therefore be idle for longer before they are evicted.
        UpstreamAccounting::Separate => ConnectionLimits {
            total: upstream,
            overflow,
            upstream: 0,
            active_clients: max_active_clients,
            settle_time: SILENT_CLOSE_SETTLE_TIME,
        },
    }
}
