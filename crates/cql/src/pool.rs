//! The endpoints of a front: each has few connections, and every connection carries many requests.
//! [`valehatch_stream_multiplexing`] assigns requests to connections; this crate does the I/O.
//!
//! The pools are used only by the core's thread, which queues frames and writes them without
//! blocking at the end of its turn. Bytes that an endpoint does not accept at once are left to a
//! writer thread. Each connection has a reader thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use crossbeam_channel::Sender;
use valehatch_core::{ConnectionId, Event, UpstreamJob, UpstreamTransport};
use valehatch_memory_budget::MemoryBudget;
use valehatch_net::Clock;
use valehatch_net::upstream::Upstream;
use valehatch_policy::Span;
use valehatch_request_log::OutcomeMetrics;
use valehatch_stream_multiplexing::{JobId, Settings, SettingsError, StreamMultiplexer};

use crate::PreparedStatements;
use crate::endpoint::Endpoint;
use crate::exchange::Exchange;
pub use crate::receive_buffer::MAX_BUFFERED_RESPONSE_BYTES;

/// Maximum stall of a response that has begun.
pub(crate) const MAX_RESPONSE_PAUSE: Span = Span::from_millis(400);
/// Replacement, in microseconds, for a connect timeout that does not fit into 64 bits.
const FALLBACK_CONNECT_MICROS: i64 = 250_000;
/// Number of remembered endpoints at which the unused ones are forgotten, so that a fleet that
/// replaces its endpoints does not fill memory.
const MAX_REMEMBERED_ENDPOINTS: usize = 64;

/// State shared by the connections to all endpoints.
pub(crate) struct UpstreamContext {
    pub(crate) prepared: Arc<PreparedStatements>,
    pub(crate) events: Sender<Event>,
    pub(crate) clock: Clock,
    pub(crate) connect_timeout: Duration,
    pub(crate) settings: Settings,
    pub(crate) metrics: Option<Arc<OutcomeMetrics>>,
    /// Number of open connections to all endpoints.
    pub(crate) open_connections: AtomicUsize,
    pub(crate) max_connections: usize,
    pub(crate) memory: Arc<MemoryBudget>,
}

impl UpstreamContext {
    /// Called when the last byte of a frame has been written. Attempts are counted only here:
    /// `attempt` is the class of the attempt if the frame is its first.
    pub(crate) fn on_frame_sent(&self, attempt: Option<usize>) {
        if let (Some(class), Some(metrics)) = (attempt, &self.metrics) {
            metrics.count_attempt_sent(class);
        }
    }
}

/// Settings and services that the pools are created with.
pub struct PoolConfig {
    /// Statements prepared by clients, shared with the clients' handler.
    pub prepared: Arc<PreparedStatements>,
    /// Event queue of the core.
    pub events: Sender<Event>,
    /// Clock shared with the core.
    pub clock: Clock,
    /// Maximum time for connecting and the handshake together.
    pub connect_timeout: Duration,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Span,
    /// Maximum number of connections to all endpoints together.
    pub max_connections: usize,
    /// Counts attempts whose first frame was written completely, if metrics are collected.
    pub metrics: Option<Arc<OutcomeMetrics>>,
    /// Budget of the front, for responses larger than [`MAX_BUFFERED_RESPONSE_BYTES`].
    pub memory: Arc<MemoryBudget>,
}

/// The endpoints of a front, by address and by the core's connection id.
pub struct EndpointPools {
    context: Arc<UpstreamContext>,
    endpoints: HashMap<Arc<str>, Arc<Endpoint>>,
    connections: HashMap<ConnectionId, Arc<Endpoint>>,
    /// Endpoints with frames to write at the end of the turn.
    unflushed: Vec<Arc<Endpoint>>,
}

impl EndpointPools {
    /// Creates pools without connections.
    ///
    /// # Errors
    /// A timeout is out of range.
    pub fn new(config: PoolConfig) -> Result<Self, SettingsError> {
        let connect_micros =
            i64::try_from(config.connect_timeout.as_micros()).unwrap_or(FALLBACK_CONNECT_MICROS);
        let request_timeout = Span(connect_micros).min(MAX_RESPONSE_PAUSE);
        let settings = Settings::new(request_timeout, config.idle_timeout);
        // Validated here, since there is no caller to report an error to later.
        StreamMultiplexer::new(settings)?;
        let context = UpstreamContext {
            prepared: config.prepared,
            events: config.events,
            clock: config.clock,
            connect_timeout: config.connect_timeout,
            settings,
            metrics: config.metrics,
            open_connections: AtomicUsize::new(0),
            max_connections: config.max_connections,
            memory: config.memory,
        };
        Ok(Self {
            context: Arc::new(context),
            endpoints: HashMap::new(),
            connections: HashMap::new(),
            unflushed: vec![],
        })
    }

    /// Sends events to the core without blocking: this is the core's own thread, so waiting for
    /// space in its queue would be a deadlock.
    fn try_send_events(&self, events: Vec<Event>) {
        for event in events {
            if self.context.events.try_send(event).is_err() {
                tracing::warn!("core event queue is full, the attempt ends only when it times out");
            }
        }
    }

    fn endpoint(&mut self, address: &Arc<str>) -> Option<Arc<Endpoint>> {
        if let Some(endpoint) = self.endpoints.get(address) {
            return Some(Arc::clone(endpoint));
        }
        if self.endpoints.len() >= MAX_REMEMBERED_ENDPOINTS {
            self.endpoints.retain(|_, endpoint| !endpoint.is_unused());
        }
        let endpoint = Endpoint::new(address, Arc::clone(&self.context)).ok()?;
        let endpoint = Arc::new(endpoint);
        self.endpoints
            .insert(Arc::clone(address), Arc::clone(&endpoint));
        Some(endpoint)
    }

    fn flush_later(&mut self, endpoint: &Arc<Endpoint>) {
        if !self.unflushed.iter().any(|e| Arc::ptr_eq(e, endpoint)) {
            self.unflushed.push(Arc::clone(endpoint));
        }
    }
}

impl Upstream for EndpointPools {
    fn transport(&self) -> UpstreamTransport {
        UpstreamTransport::Multiplexed
    }

    /// Only assigns the endpoint; the multiplexer decides when to open a connection.
    fn connect(&mut self, connection: ConnectionId, address: &Arc<str>) {
        if let Some(endpoint) = self.endpoint(address) {
            self.connections.insert(connection, endpoint);
        }
    }

    fn submit(&mut self, connection: ConnectionId, job: UpstreamJob) {
        let Some(endpoint) = self.connections.get(&connection).cloned() else {
            return;
        };
        let now = self.context.clock.now();
        let id = JobId(connection.0);
        let mut events = vec![];
        endpoint.update(&mut events, |state, actions| {
            state.exchanges.insert(id, Exchange::new(job, now));
            state.multiplexer.submit(now, id, actions);
        });
        self.flush_later(&endpoint);
        self.try_send_events(events);
    }

    fn cancel(&mut self, connection: ConnectionId) {
        let Some(endpoint) = self.connections.get(&connection).cloned() else {
            return;
        };
        let mut events = vec![];
        endpoint.cancel(JobId(connection.0), &mut events);
        self.flush_later(&endpoint);
        self.try_send_events(events);
    }

    /// Abandons the job that the core's connection carries; the shared connection stays open.
    fn close(&mut self, connection: ConnectionId) {
        let Some(endpoint) = self.connections.remove(&connection) else {
            return;
        };
        let now = self.context.clock.now();
        let id = JobId(connection.0);
        let mut events = vec![];
        endpoint.update(&mut events, |state, actions| {
            if state.exchanges.remove(&id).is_some() {
                state.multiplexer.abandon(now, id, actions);
            }
        });
        self.flush_later(&endpoint);
        self.try_send_events(events);
    }

    fn flush(&mut self) {
        for endpoint in std::mem::take(&mut self.unflushed) {
            let mut events = vec![];
            endpoint.flush(&mut events);
            self.try_send_events(events);
        }
    }
}
