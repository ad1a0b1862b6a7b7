//! Builds the protocol stack of a front: the side towards clients and the side towards endpoints.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use valehatch_config::operators::{FrontSettings, Protocol};
use valehatch_core::Event;
use valehatch_cql::pool::PoolConfig;
use valehatch_memory_budget::MemoryBudget;
use valehatch_net::Clock;
use valehatch_net::clients::RequestHandler;
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_net::upstream::{EndpointPools, Upstream};
use valehatch_request_log::OutcomeMetrics;

use crate::error::Source;
use crate::resources::{
    FrontResources, UpstreamAccounting, connection_limiter, upstream_connections,
};

/// Both sides of a front's protocol, and the limiter of its connections.
pub(crate) struct ProtocolStack {
    /// Decodes client requests and encodes answers.
    pub(crate) handler: Arc<dyn RequestHandler>,
    /// Sends attempts to endpoints.
    pub(crate) upstream: Box<dyn Upstream>,
    /// Counts and limits the front's connections.
    pub(crate) connections: Arc<SharedConnectionLimiter>,
    /// Maximum of concurrent requests, if one upstream connection carries several; `None` if each
    /// connection carries one.
    pub(crate) max_in_flight: Option<usize>,
    /// Maximum size in bytes of a response that is buffered without a further reservation.
    pub(crate) response_bytes: usize,
}

/// Builds the protocol stack of a front from the operators' file.
///
/// # Errors
/// The connection settings are inconsistent.
pub(crate) fn protocol_stack(
    front: &FrontSettings,
    clock: Clock,
    events: Sender<Event>,
    metrics: Option<Arc<OutcomeMetrics>>,
    memory: &Arc<MemoryBudget>,
) -> Result<ProtocolStack, Source> {
    match front.protocol {
        Protocol::Postgresql => Ok(postgresql(front, clock, events, metrics, memory)),
        Protocol::Cassandra => cassandra(front, clock, events, metrics, memory),
    }
}

fn postgresql(
    front: &FrontSettings,
    clock: Clock,
    events: Sender<Event>,
    metrics: Option<Arc<OutcomeMetrics>>,
    memory: &Arc<MemoryBudget>,
) -> ProtocolStack {
    let response_bytes = valehatch_pg::upstream::MAX_BUFFERED_RESPONSE_BYTES;
    let site = front.site.clone();
    let connect_timeout = Duration::from_millis(site.connect_timeout_ms);
    let resources = FrontResources {
        descriptors: front.sockets,
        max_active_clients: memory.max_active_clients(response_bytes),
    };
    let connections = connection_limiter(clock, resources, UpstreamAccounting::Shared);
    let protocol = Arc::new(valehatch_pg::upstream::PostgresProtocol { clock });
    let pools = EndpointPools::new(
        protocol,
        events,
        clock,
        connect_timeout,
        Arc::clone(&connections),
    );
    ProtocolStack {
        handler: Arc::new(valehatch_pg::clients::PostgresHandler { site, clock }),
        upstream: Box::new(pools.count_attempts(metrics)),
        connections,
        max_in_flight: None,
        response_bytes,
    }
}

fn cassandra(
    front: &FrontSettings,
    clock: Clock,
    events: Sender<Event>,
    metrics: Option<Arc<OutcomeMetrics>>,
    memory: &Arc<MemoryBudget>,
) -> Result<ProtocolStack, Source> {
    let response_bytes = valehatch_cql::pool::MAX_BUFFERED_RESPONSE_BYTES;
    let resources = FrontResources {
        descriptors: front.sockets,
        max_active_clients: memory.max_active_clients(response_bytes),
    };
    let site = front.site.clone();
    let limits = &site.settings.limits;
    let connect_timeout = Duration::from_millis(site.connect_timeout_ms);
    let max_in_flight = limits.max_open_requests.max(1);
    let prepared = Arc::new(valehatch_cql::PreparedStatements::new(memory.memory()));
    let pools = valehatch_cql::pool::EndpointPools::new(PoolConfig {
        prepared: Arc::clone(&prepared),
        events,
        clock,
        connect_timeout,
        idle_timeout: limits.idle_connection_timeout,
        max_connections: upstream_connections(front.sockets),
        metrics,
        memory: Arc::clone(memory),
    })?;
    let handler = valehatch_cql::clients::CqlRequestHandler {
        site,
        contracts: front.contracts.clone(),
        prepared,
        clock,
    };
    Ok(ProtocolStack {
        handler: Arc::new(handler),
        upstream: Box::new(pools),
        connections: connection_limiter(clock, resources, UpstreamAccounting::Separate),
        max_in_flight: Some(max_in_flight),
        response_bytes,
    })
}
