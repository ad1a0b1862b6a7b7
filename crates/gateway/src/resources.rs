//! How a process divides its descriptors and its memory between clients, upstream connections and
//! everything else.
//!
//! All sizes are counts of descriptors or bytes. A hot restart divides them again: see
//! [`crate::hot_restart`].

use std::sync::Arc;

use valehatch_connection_limits::{ANSWER_SETTLE_TIME, ConnectionLimits};
use valehatch_net::Clock;
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_policy::Span;

/// Events that may wait for a core; whoever adds one to a full queue waits.
pub(crate) const EVENT_QUEUE_LENGTH: usize = 8192;
/// Descriptors kept for everything but client and upstream connections.
pub(crate) const RESERVED_DESCRIPTORS: usize = 32;
/// Open requests may take one in so many bytes of the memory.
const REQUEST_MEMORY_DIVISOR: usize = 8;
/// Clients and upstream connections may borrow one in so many of the reserved descriptors.
const OVERFLOW_DESCRIPTORS_DIVISOR: usize = 4;
/// Clients of the platform with requests open hold at most one in so many descriptors.
const ACTIVE_CLIENTS_DIVISOR: usize = 3;
/// How long a connection without a closing error must have been idle before it may be evicted.
const SILENT_CLOSE_SETTLE_TIME: Span = Span::from_millis(2_000);

/// What counts the upstream connections of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamAccounting {
    /// They share the descriptors of the clients, by need.
    Shared,
    /// They are counted elsewhere and have half of the descriptors.
    Separate,
}

/// Bytes that open requests may take, of the memory in bytes.
pub(crate) const fn request_memory(memory: usize) -> usize {
    memory / REQUEST_MEMORY_DIVISOR
}

/// Descriptors for upstream connections at most, of all.
pub(crate) const fn upstream_connections(descriptors: usize) -> usize {
    (descriptors - reserved(descriptors)) / 2
}

/// The limiter of a front's connections.
pub(crate) fn connection_limiter(
    clock: Clock,
    descriptors: usize,
    accounting: UpstreamAccounting,
) -> Arc<SharedConnectionLimiter> {
    SharedConnectionLimiter::new(clock, connection_limits(descriptors, accounting))
}

/// The limits of the platform's front.
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
        // Only Cassandra's fronts count apart, and its protocol has no closing error: a client
        // whose idle connection is closed just as it sends sees a reset, so the connection must
        // have been idle for longer.
        UpstreamAccounting::Separate => ConnectionLimits {
            total: upstream,
            overflow,
            upstream: 0,
            active_clients: usize::MAX,
            settle_time: SILENT_CLOSE_SETTLE_TIME,
        },
    }
}
