//! One endpoint: the multiplexer's state, its connections and the exchanges on them, behind one
//! lock. This module executes the multiplexer's actions.
//!
//! Events for the core are collected and sent after the lock has been released.

use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use valehatch_core::{ConnectionId, Event, UpstreamReply};
use valehatch_net::{lock, spawn};
use valehatch_policy::Outcome;
use valehatch_stream_multiplexing::{
    AttemptFailure, JobId, MultiplexedConnectionId, MultiplexerAction, MultiplexerSize,
    SettingsError, StreamMultiplexer,
};

use crate::connection::SharedConnection;
use crate::exchange::Exchange;
use crate::frame::Frame;
use crate::pool::UpstreamContext;
use crate::requests::heartbeat;

/// An endpoint and the connections to it.
pub(crate) struct Endpoint {
    /// `None` if the endpoint list has no valid socket address; connecting then fails.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) context: Arc<UpstreamContext>,
    pub(crate) state: Mutex<EndpointState>,
}

/// State of an endpoint, guarded by its lock.
pub(crate) struct EndpointState {
    pub(crate) multiplexer: StreamMultiplexer,
    pub(crate) connections: BTreeMap<MultiplexedConnectionId, SharedConnection>,
    pub(crate) exchanges: HashMap<JobId, Exchange>,
}

impl EndpointState {
    /// Queues a frame, if the connection still exists.
    pub(crate) fn enqueue(
        &mut self,
        connection: MultiplexedConnectionId,
        stream_id: i16,
        frame: Frame,
        attempt: Option<usize>,
    ) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.enqueue(stream_id, frame, attempt);
        }
    }
}

/// Creates the event for the end of an attempt; the outcome decides whether the connection is
/// reusable.
pub(crate) fn attempt_ended(job: JobId, reply: UpstreamReply) -> Event {
    let reusable = matches!(
        reply.outcome,
        Outcome::Ok | Outcome::Rejected | Outcome::Misdirected | Outcome::Error
    );
    Event::AttemptEnded {
        connection: ConnectionId(job.0),
        reply,
        reusable,
    }
}

/// Creates the event for the end of an attempt whose connection was lost.
pub(crate) fn attempt_failed(job: JobId, failure: AttemptFailure) -> Event {
    let outcome = if failure == AttemptFailure::NotSent {
        Outcome::ConnectFailed
    } else {
        Outcome::Reset
    };
    attempt_ended(job, UpstreamReply::without_details(outcome))
}

impl Endpoint {
    /// Creates an endpoint without connections.
    ///
    /// # Errors
    /// A multiplexer setting is out of range.
    pub(crate) fn new(address: &str, context: Arc<UpstreamContext>) -> Result<Self, SettingsError> {
        let state = EndpointState {
            multiplexer: StreamMultiplexer::new(context.settings)?,
            connections: BTreeMap::new(),
            exchanges: HashMap::new(),
        };
        Ok(Self {
            address: address.parse().ok(),
            context,
            state: Mutex::new(state),
        })
    }

    /// Whether the endpoint has neither connections nor jobs.
    pub(crate) fn is_unused(&self) -> bool {
        lock(&self.state).multiplexer.size() == MultiplexerSize::default()
    }

    /// Changes the state and executes the resulting actions. Frames are only queued;
    /// [`flush`](Self::flush) writes them.
    pub(crate) fn update(
        self: &Arc<Self>,
        events: &mut Vec<Event>,
        change: impl FnOnce(&mut EndpointState, &mut Vec<MultiplexerAction>),
    ) {
        let mut state = lock(&self.state);
        let mut actions = vec![];
        change(&mut state, &mut actions);
        self.execute(&mut state, actions, events);
    }

    /// Executes actions, and the further actions that result from them.
    pub(crate) fn execute(
        self: &Arc<Self>,
        state: &mut EndpointState,
        mut actions: Vec<MultiplexerAction>,
        events: &mut Vec<Event>,
    ) {
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                self.execute_action(state, action, &mut actions, events);
            }
        }
    }

    fn execute_action(
        self: &Arc<Self>,
        state: &mut EndpointState,
        action: MultiplexerAction,
        actions: &mut Vec<MultiplexerAction>,
        events: &mut Vec<Event>,
    ) {
        match action {
            MultiplexerAction::Open(connection) => {
                if !self.open(state, connection) {
                    let now = self.context.clock.now();
                    state.connections.remove(&connection);
                    state.multiplexer.connection_lost(now, connection, actions);
                }
            }
            MultiplexerAction::Send {
                connection,
                stream,
                job,
            } => {
                if !self.try_acquire_permit(state, job, actions, events) {
                    return;
                }
                if let Some(exchange) = state.exchanges.get(&job) {
                    let frame = exchange.first_frame();
                    let class = exchange.class();
                    state.enqueue(connection, stream, frame, class);
                }
            }
            MultiplexerAction::Unqueue { connection, stream } => {
                if let Some(connection) = state.connections.get_mut(&connection) {
                    connection.unqueue(stream);
                }
            }
            MultiplexerAction::Heartbeat { connection, stream } => {
                state.enqueue(connection, stream, heartbeat(), None);
            }
            MultiplexerAction::Close(connection) => close(state, connection),
            MultiplexerAction::AttemptFailed(job, failure) => {
                events.push(fail_attempt(state, job, failure));
            }
        }
    }

    /// Cancels a job. Its end is reported once it is no longer out.
    pub(crate) fn cancel(self: &Arc<Self>, job: JobId, events: &mut Vec<Event>) {
        let now = self.context.clock.now();
        let mut state = lock(&self.state);
        let mut actions = vec![];
        let Some(exchange) = state.exchanges.get_mut(&job) else {
            return;
        };
        if exchange.is_repreparing() {
            // The request itself was answered, and will not be sent again.
            state.exchanges.remove(&job);
            state.multiplexer.abandon(now, job, &mut actions);
            let reply = UpstreamReply::without_details(Outcome::NotSent);
            events.push(attempt_ended(job, reply));
        } else {
            exchange.cancel();
            state.multiplexer.cancel(now, job, &mut actions);
        }
        self.execute(&mut state, actions, events);
    }

    /// Acquires the permit to send a job. Returns false if it was denied; the job then ends as not
    /// sent.
    fn try_acquire_permit(
        &self,
        state: &mut EndpointState,
        job: JobId,
        actions: &mut Vec<MultiplexerAction>,
        events: &mut Vec<Event>,
    ) -> bool {
        let now = self.context.clock.now();
        let Some(exchange) = state.exchanges.get_mut(&job) else {
            return true;
        };
        if exchange.try_acquire_permit(now) {
            return true;
        }
        state.exchanges.remove(&job);
        state.multiplexer.abandon(now, job, actions);
        let reply = UpstreamReply::without_details(Outcome::NotSent);
        events.push(attempt_ended(job, reply));
        false
    }

    /// Starts the thread of a connection. Returns false if the connection limit is reached or the
    /// thread cannot be started.
    fn open(
        self: &Arc<Self>,
        state: &mut EndpointState,
        connection: MultiplexedConnectionId,
    ) -> bool {
        let open_connections = &self.context.open_connections;
        if open_connections.fetch_add(1, Ordering::Relaxed) >= self.context.max_connections {
            open_connections.fetch_sub(1, Ordering::Relaxed);
            return false;
        }
        state
            .connections
            .insert(connection, SharedConnection::default());
        let endpoint = Arc::clone(self);
        let started = spawn("node", move || {
            endpoint.run_connection(connection);
            endpoint
                .context
                .open_connections
                .fetch_sub(1, Ordering::Relaxed);
        });
        if let Err(e) = &started {
            open_connections.fetch_sub(1, Ordering::Relaxed);
            tracing::warn!(error = %e, "cannot start the thread of an endpoint connection");
        }
        started.is_ok()
    }

    /// Writes as many queued frames as possible without blocking, and starts writer threads for the
    /// rest.
    pub(crate) fn flush(self: &Arc<Self>, events: &mut Vec<Event>) {
        let mut state = lock(&self.state);
        let mut lost = vec![];
        let EndpointState {
            multiplexer,
            connections,
            ..
        } = &mut *state;
        for (&id, connection) in connections.iter_mut() {
            if connection.has_unclaimed_frames()
                && connection
                    .write_available(id, multiplexer, &self.context)
                    .is_err()
            {
                lost.push(id);
            }
            if connection.claim_for_writer_thread() {
                let endpoint = Arc::clone(self);
                if spawn("node out", move || endpoint.write_queue(id)).is_err() {
                    lost.push(id);
                }
            }
        }
        for connection in lost {
            self.drop_connection(&mut state, connection, events);
        }
    }

    /// Closes a connection and ends the attempts on it.
    pub(crate) fn drop_connection(
        self: &Arc<Self>,
        state: &mut EndpointState,
        connection: MultiplexedConnectionId,
        events: &mut Vec<Event>,
    ) {
        let now = self.context.clock.now();
        let mut actions = vec![MultiplexerAction::Close(connection)];
        state
            .multiplexer
            .connection_lost(now, connection, &mut actions);
        self.execute(state, actions, events);
    }
}

/// Shuts a connection down, which ends its threads.
fn close(state: &mut EndpointState, connection: MultiplexedConnectionId) {
    let removed = state.connections.remove(&connection);
    if let Some(socket) = removed.and_then(|connection| connection.socket) {
        // Fails only if the endpoint has already closed the connection.
        let _ = socket.shutdown(Shutdown::Both);
    }
}

fn fail_attempt(state: &mut EndpointState, job: JobId, failure: AttemptFailure) -> Event {
    let Some(exchange) = state.exchanges.remove(&job) else {
        return attempt_failed(job, failure);
    };
    // While a statement is being prepared again, the request itself is not in flight.
    let failure = if exchange.is_repreparing() {
        AttemptFailure::NotSent
    } else {
        failure
    };
    if !exchange.is_cancelled() {
        return attempt_failed(job, failure);
    }
    let outcome = match failure {
        AttemptFailure::NotSent => Outcome::NotSent,
        AttemptFailure::ConnectionLost => Outcome::Cancelled,
    };
    attempt_ended(job, UpstreamReply::without_details(outcome))
}
