//! State shared by all client connections of a front: the connections by id, the limiter and the
//! memory budget.
//!
//! Any thread may use it; the lock on the connections is held only briefly.

use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

use crossbeam_channel::Sender;

use valehatch_connection_limits::{AdmissionDecision, Eviction};
use valehatch_core::{ClientId, Event};
use valehatch_memory_budget::MemoryBudget;

use super::blocked_writers::BlockedWriters;
use super::connection::{ClientConnection, ConnectionContext};
use super::{ClientLimits, RequestHandler};
use crate::connection_limits::SharedConnectionLimiter;
use crate::{Clock, lock};

pub(super) struct Registry {
    pub handler: Arc<dyn RequestHandler>,
    pub events: Sender<Event>,
    pub clock: Clock,
    pub connections: Mutex<HashMap<ClientId, Arc<ClientConnection>>>,
    pub limiter: Arc<SharedConnectionLimiter>,
    pub reports_rejections: bool,
    pub memory: Arc<MemoryBudget>,
    pub response_bytes: usize,
    blocked_writers: Arc<BlockedWriters>,
    /// Takes the ids of connections whose input can be handled again.
    wakeups: Sender<ClientId>,
}

impl Registry {
    /// # Errors
    /// Returns an error if no descriptor is available.
    pub(super) fn new(
        handler: Arc<dyn RequestHandler>,
        events: Sender<Event>,
        clock: Clock,
        limiter: Arc<SharedConnectionLimiter>,
        limits: ClientLimits,
        wakeups: Sender<ClientId>,
    ) -> io::Result<Self> {
        Ok(Self {
            handler,
            events,
            clock,
            connections: Mutex::default(),
            limiter,
            reports_rejections: limits.reports_rejections,
            memory: limits.memory,
            response_bytes: limits.response_bytes,
            blocked_writers: BlockedWriters::new()?,
            wakeups,
        })
    }

    /// Wraps an accepted socket. The connection counts against the limiter from now on until its
    /// last reference is dropped.
    pub(super) fn accept(&self, id: ClientId, stream: TcpStream) -> Arc<ClientConnection> {
        let now = self.clock.now();
        self.limiter.admit(id.0, now);
        Arc::new(ClientConnection::new(
            id,
            stream,
            now,
            ConnectionContext {
                memory: Arc::clone(&self.memory),
                handler: Arc::clone(&self.handler),
                clock: self.clock,
                limiter: Arc::clone(&self.limiter),
                blocked_writers: Arc::clone(&self.blocked_writers),
                wakeups: self.wakeups.clone(),
            },
        ))
    }

    pub(super) fn get(&self, id: ClientId) -> Option<Arc<ClientConnection>> {
        lock(&self.connections).get(&id).cloned()
    }

    pub(super) fn all(&self) -> Vec<Arc<ClientConnection>> {
        lock(&self.connections).values().cloned().collect()
    }

    pub(super) fn remove(&self, id: ClientId) {
        let _ = self.events.send(Event::ClientDisconnected(id));
        lock(&self.connections).remove(&id);
    }

    /// Closes idle connections for as long as their descriptors are needed elsewhere.
    pub(super) fn evict_idle(&self) {
        while let Some(Eviction { id, activity }) = self.limiter.evict_idle() {
            if let Some(connection) = self.get(ClientId(id)) {
                connection.evict(activity);
            }
        }
    }

    /// Decides whether a request that has been read completely may use a descriptor of the front.
    pub(super) fn decide_request(&self) -> AdmissionDecision {
        self.evict_idle();
        self.limiter.decide_request()
    }
}
