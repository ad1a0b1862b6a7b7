//! Divides the descriptors and the memory of a process between clients, upstream connections and
//! everything else.
//!
//! All sizes are in descriptors or bytes. A hot restart divides them between two processes: see
//! [`crate::hot_restart`].

use std::sync::Arc;

use valehatch_connection_limits::{ANSWER_SETTLE_TIME, ConnectionLimits};
use valehatch_net::Clock;
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_policy::Span;

/// Capacity of a core's event queue; a sender blocks while the queue is full.
pub(crate) const EVENT_QUEUE_LENGTH: usize = 8192;
/// Descriptors reserved for everything except client and upstream connections.
pub(crate) const RESERVED_DESCRIPTORS: usize = 32;
/// Open requests may use the memory divided by this.
const REQUEST_MEMORY_DIVISOR: usize = 8;
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

/// Bytes that open requests may use, given the total memory in bytes.
pub(crate) const fn request_memory(memory: usize) -> usize {
    memory / REQUEST_MEMORY_DIVISOR
}

/// Maximum of upstream connections, given the total of descriptors.
pub(crate) const fn upstream_connections(descriptors: usize) -> usize {
    (descriptors - reserved(descriptors)) / 2
}

/// Creates the limiter of a front's connections.
pub(crate) fn connection_limiter(
    clock: Clock,
    descriptors: usize,
    accounting: UpstreamAccounting,
) -> Arc<SharedConnectionLimiter> {
    SharedConnectionLimiter::new(clock, connection_limits(descriptors, accounting))
}

/// Connection limits of the platform's front.
pub(crate) fn platform_limits(descriptors: usize) -> ConnectionLimits {
    ConnectionLimits {
        active_clients: descriptors / ACTIVE_CLIENTS_DIVISOR,
        ..connection_limits(descriptors, UpstreamAccounting::Shared)
    }
}

const fn reserved(descriptors: usize) -> usize {
    if RESERVED_DESCRIPTORS < descriptors / 4 {
        RESERVED_DESCRIPTORS
    } else {
        descriptors / 4
    }
}

fn connection_limits(descriptors: usize, accounting: UpstreamAccounting) -> ConnectionLimits {
    let upstream = upstream_connections(descriptors);
    let overflow = reserved(descriptors) / OVERFLOW_DESCRIPTORS_DIVISOR;
    match accounting {
        UpstreamAccounting::Shared => ConnectionLimits {
            total: descriptors - reserved(descriptors),
            overflow,
            upstream,
            active_clients: usize::MAX,
            settle_time: ANSWER_SETTLE_TIME,
        },
        // Only Cassandra fronts count separately. The Cassandra protocol has no closing error: a
        // client whose idle connection is closed just as it sends sees a reset. Connections must
        // therefore be idle for longer before they are evicted.
        UpstreamAccounting::Separate => ConnectionLimits {
            total: upstream,
            overflow,
            upstream: 0,
            active_clients: usize::MAX,
            settle_time: SILENT_CLOSE_SETTLE_TIME,
        },
    }
}
