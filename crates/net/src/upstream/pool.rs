//! Upstream connections that carry one request at a time, by the connection ids of the core.
//!
//! Used only by the core's thread; each job runs on a thread of its own. State: one
//! [`UpstreamConnection`] for each connection that the core has.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use valehatch_core::{ConnectionId, Event, UpstreamJob, UpstreamReply, UpstreamTransport};
use valehatch_policy::Outcome;
use valehatch_request_log::OutcomeMetrics;

use super::connection::{UpstreamConnection, UpstreamContext};
use super::{Protocol, Upstream};
use crate::clients::ResponseBody;
use crate::connection_limits::SharedConnectionLimiter;
use crate::{Clock, spawn};

/// The upstream connections of a front, each of which carries one request at a time.
pub struct EndpointPools {
    context: Arc<UpstreamContext>,
    connections: HashMap<ConnectionId, Arc<UpstreamConnection>>,
}

impl EndpointPools {
    /// Creates pools without connections. `connect_timeout` covers connecting and the protocol's
    /// handshake together.
    pub fn new(
        protocol: Arc<dyn Protocol>,
        events: Sender<Event>,
        clock: Clock,
        connect_timeout: Duration,
        limiter: Arc<SharedConnectionLimiter>,
    ) -> Self {
        let context = UpstreamContext {
            protocol,
            events,
            clock,
            connect_timeout,
            requires_verified_clock: false,
            metrics: None,
            limiter,
        };
        Self {
            context: Arc::new(context),
            connections: HashMap::new(),
        }
    }

    /// Sets whether positions are only accepted once a primary has confirmed this machine's clock.
    /// Required where endpoints do not check the age of their own data: nothing else would detect
    /// that stale data is taken for newer than it is.
    #[must_use]
    pub fn require_verified_clock(mut self, required: bool) -> Self {
        Arc::make_mut(&mut self.context).requires_verified_clock = required;
        self
    }

    /// Counts attempts whose request was written completely, if metrics are given.
    #[must_use]
    pub fn count_attempts(mut self, metrics: Option<Arc<OutcomeMetrics>>) -> Self {
        Arc::make_mut(&mut self.context).metrics = metrics;
        self
    }
}

impl Upstream for EndpointPools {
    fn transport(&self) -> UpstreamTransport {
        UpstreamTransport::Exclusive
    }

    /// Opens no connection yet; the first job does.
    fn connect(&mut self, connection: ConnectionId, address: &Arc<str>) {
        let context = Arc::clone(&self.context);
        let upstream = UpstreamConnection::new(connection, address, context);
        self.connections.insert(connection, Arc::new(upstream));
    }

    /// Runs the job on a shared thread. An idle connection has no thread, because a gateway of a
    /// large fleet has a connection to nearly every endpoint and uses each one rarely.
    fn submit(&mut self, connection: ConnectionId, job: UpstreamJob) {
        let Some(upstream) = self.connections.get(&connection).map(Arc::clone) else {
            return;
        };
        let Err(e) = spawn("upstream", move || upstream.run(&job)) else {
            return;
        };
        tracing::warn!(error = %e, "no thread for an upstream connection");
        // Not `send`: this is the core's own thread, which would wait for itself if its queue is
        // full.
        let ended = self.context.events.try_send(Event::AttemptEnded {
            connection,
            reply: UpstreamReply::without_details(Outcome::LocalFailure),
            reusable: false,
        });
        if ended.is_err() {
            tracing::warn!("the core's queue is full, an attempt ends only by its timeout");
        }
    }

    fn forward_body(&mut self, connection: ConnectionId, body: Option<ResponseBody>) {
        if let Some(upstream) = self.connections.get(&connection) {
            upstream.forward_body(body);
        }
    }

    fn close(&mut self, connection: ConnectionId) {
        if let Some(upstream) = self.connections.remove(&connection) {
            upstream.close();
        }
    }
}
