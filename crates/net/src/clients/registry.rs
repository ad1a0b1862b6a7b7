//! State shared by all client connections of a front: the connections by id, the limiter and the
//! memory budgets.
//!
//! Any thread may use it; the lock on the connections is held only briefly.

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crossbeam_channel::Sender;

use valehatch_connection_limits::{AdmissionDecision, Eviction};
use valehatch_core::{ClientId, Event, MemoryReservation};
use valehatch_request_log::RejectionReason;

use super::buffer_budget::BufferBudget;
use super::connection::ClientConnection;
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
    /// Bytes of requests in flight.
    request_bytes: Arc<AtomicUsize>,
    request_bytes_limit: AtomicUsize,
    response_budget: Arc<BufferBudget>,
}

impl Registry {
    pub(super) fn new(
        handler: Arc<dyn RequestHandler>,
        events: Sender<Event>,
        clock: Clock,
        limiter: Arc<SharedConnectionLimiter>,
        limits: ClientLimits,
    ) -> Self {
        Self {
            handler,
            events,
            clock,
            connections: Mutex::default(),
            limiter,
            reports_rejections: limits.reports_rejections,
            request_bytes: Arc::default(),
            request_bytes_limit: limits.memory_bytes.into(),
            response_budget: Arc::new(BufferBudget::new(limits.memory_bytes)),
        }
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
            Arc::clone(&self.response_budget),
            Arc::clone(&self.handler),
            self.clock,
            Arc::clone(&self.limiter),
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

    /// Reserves memory for a request that has been read completely.
    ///
    /// # Errors
    /// Returns why the request has to be rejected: requests in flight hold all descriptors, or they
    /// or the responses hold all memory.
    pub(super) fn reserve(&self, bytes: usize) -> Result<MemoryReservation, RejectionReason> {
        self.evict_idle();
        if self.limiter.decide_request() == AdmissionDecision::Reject {
            return Err(RejectionReason::OutOfConnections);
        }
        let limit = self.request_bytes_limit.load(Ordering::Relaxed);
        let reservation = MemoryReservation::try_acquire(&self.request_bytes, bytes, limit);
        reservation
            .filter(|_| !self.response_budget.is_exhausted())
            .ok_or(RejectionReason::OutOfMemory)
    }

    pub(super) fn set_memory_limit(&self, bytes: usize) {
        self.request_bytes_limit.store(bytes, Ordering::Relaxed);
        self.response_budget.set_limit(bytes);
    }
}
