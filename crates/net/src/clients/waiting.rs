//! Connections that nobody serves, and the threads that serve them when there is something to do.
//!
//! Some threads wait for input on all connections at once and serve those that become readable. When
//! the last one that waits is about to serve, it starts another: a thread that is held up, by a slow
//! system call or a busy core, must not delay the reading of other requests, whose time runs from
//! then. Their number is bounded, since serving never waits for a client. One more thread serves
//! connections that have something to do without new input: a response that held up their next
//! message is written, or their turn is over and more input is left.
//!
//! State: the waiting connections by id, an epoll instance with their sockets, the number of threads,
//! and the queue of connections that have something to do; a connection is in it at most twice.

use std::collections::BTreeMap;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};

use crossbeam_channel::Receiver;
use rustix::buffer::spare_capacity;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use valehatch_core::ClientId;
use valehatch_policy::{Span, Time};

use super::connection::{
    CLOSING_ERROR_RETRY_AFTER, ClientConnection, EVIDENCE_TIMEOUT, LATEST_ATTEMPT_AFTER_CLOSE,
    ReceiveStatus,
};
use super::message_reader::{ReadAheadEnd, RequestReader};
use super::session::Session;
use super::{Clients, NextInput, SessionProgress, SessionStatus};
use crate::{lock, spawn};

/// How often timeouts are checked.
const TIMEOUT_CHECK_INTERVAL: Span = Span::from_millis(50);
const _: () = assert!(
    EVIDENCE_TIMEOUT.0 + TIMEOUT_CHECK_INTERVAL.0 < LATEST_ATTEMPT_AFTER_CLOSE.0,
    "evidence is renewed before an attempt without it would begin too late"
);
/// How long a thread waits for a readable connection before it checks timeouts.
const EPOLL_TIMEOUT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 50_000_000,
};
/// Number of threads that wait while there is no input.
const WAITING_THREADS: usize = 2;
/// Maximum number of threads that wait for input or serve connections with input.
const MAX_SERVING_THREADS: usize = 8;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    /// Input, or the client's close.
    Input,
    /// A written response, or the client's close.
    Response,
    /// A written response, input that is read ahead, or the client's close.
    ResponseOrInput,
    /// Its next turn.
    Turn,
}

impl Waiting {
    /// Events of the socket for which the connection is served; each is reported once.
    const fn events(self) -> EventFlags {
        let disconnect = EventFlags::RDHUP.union(EventFlags::ONESHOT);
        match self {
            Self::Input | Self::ResponseOrInput => EventFlags::IN.union(disconnect),
            Self::Response => disconnect,
            Self::Turn => EventFlags::ONESHOT,
        }
    }
}

/// A connection that nobody serves.
pub(super) struct WaitingConnection {
    pub reader: RequestReader,
    pub session: Session,
    progress: SessionProgress,
    /// Set once the session has ended: the connection is closed when its responses are written.
    has_ended: bool,
    /// Set once the socket is registered with the epoll instance.
    registered: bool,
}

impl WaitingConnection {
    pub(super) fn new(reader: RequestReader, session: Session) -> Self {
        Self {
            reader,
            session,
            progress: SessionProgress::default(),
            has_ended: false,
            registered: false,
        }
    }
}

/// Threads that wait for input or serve connections with input.
#[derive(Debug, Default)]
struct ServingThreads {
    waiting: usize,
    serving: usize,
}

impl ServingThreads {
    /// Records that a waiting thread is about to serve; returns whether another one is to be started.
    const fn begin_serving(&mut self) -> bool {
        self.waiting -= 1;
        self.serving += 1;
        let starts = self.waiting == 0 && self.serving < MAX_SERVING_THREADS;
        if starts {
            self.waiting += 1;
        }
        starts
    }

    /// Records that a thread has served; returns whether it is to wait again.
    const fn end_serving(&mut self) -> bool {
        self.serving -= 1;
        let waits = self.waiting < WAITING_THREADS;
        if waits {
            self.waiting += 1;
        }
        waits
    }
}

/// Connections that nobody serves.
pub(super) struct WaitingConnections {
    epoll: OwnedFd,
    connections: Mutex<BTreeMap<ClientId, WaitingConnection>>,
    /// Connections that have something to do without new input.
    woken: Receiver<ClientId>,
    threads: Mutex<ServingThreads>,
    last_check: Mutex<Time>,
}

impl WaitingConnections {
    pub(super) fn new(now: Time, woken: Receiver<ClientId>) -> io::Result<Self> {
        Ok(Self {
            epoll: epoll::create(CreateFlags::CLOEXEC)?,
            connections: Mutex::default(),
            woken,
            threads: Mutex::default(),
            last_check: Mutex::new(now),
        })
    }

    /// Takes the next connection that becomes readable within [`EPOLL_TIMEOUT`], if there is one.
    fn take_readable(&self) -> Option<WaitingConnection> {
        let mut events = Vec::with_capacity(1);
        epoll::wait(
            &self.epoll,
            spare_capacity(&mut events),
            Some(&EPOLL_TIMEOUT),
        )
        .ok()?;
        let event = events.first()?;
        self.take(ClientId(event.data.u64()))
    }

    fn take(&self, id: ClientId) -> Option<WaitingConnection> {
        lock(&self.connections).remove(&id)
    }

    /// Keeps a connection until one of the events occurs, or it is taken. The lock is held while the
    /// socket is registered, since another thread may take the connection at once and register it
    /// for other events.
    fn insert(&self, mut waiting: WaitingConnection, events: EventFlags) -> io::Result<()> {
        let connection = Arc::clone(waiting.session.connection());
        let data = EventData::new_u64(connection.id.0);
        let mut connections = lock(&self.connections);
        let watched = if std::mem::replace(&mut waiting.registered, true) {
            epoll::modify(&self.epoll, &connection.stream, data, events)
        } else {
            epoll::add(&self.epoll, &connection.stream, data, events)
        };
        connections.insert(connection.id, waiting);
        Ok(watched?)
    }
}

impl Clients {
    pub(super) fn start_serving_threads(self: &Arc<Self>) -> io::Result<()> {
        for _ in 0..WAITING_THREADS {
            lock(&self.waiting.threads).waiting += 1;
            self.start_thread_that_waits()?;
        }
        let clients = Arc::clone(self);
        spawn("client", move || clients.serve_woken())
    }

    /// Starts a thread that is counted as waiting.
    fn start_thread_that_waits(self: &Arc<Self>) -> io::Result<()> {
        let clients = Arc::clone(self);
        let started = spawn("client", move || clients.serve_readable());
        if started.is_err() {
            lock(&self.waiting.threads).waiting -= 1;
        }
        started
    }

    /// Serves connections as they become readable, until enough other threads wait.
    fn serve_readable(self: &Arc<Self>) {
        loop {
            let readable = self.waiting.take_readable();
            self.check_timeouts();
            let Some(connection) = readable else {
                continue;
            };
            let starts_another = lock(&self.waiting.threads).begin_serving();
            if starts_another && self.start_thread_that_waits().is_err() {
                tracing::warn!("no thread left to wait for client connections");
            }
            self.serve(connection);
            if !lock(&self.waiting.threads).end_serving() {
                return;
            }
        }
    }

    /// Serves connections that have something to do without new input.
    fn serve_woken(&self) {
        while let Ok(id) = self.waiting.woken.recv() {
            if let Some(connection) = self.waiting.take(id) {
                self.serve(connection);
            }
        }
    }

    /// Handles the input of a connection for one turn.
    fn serve(&self, mut connection: WaitingConnection) {
        connection.reader.begin_turn();
        if connection.has_ended {
            return self.finish(connection, vec![]);
        }
        let status = self.registry.handler.serve(
            &mut connection.progress,
            &mut connection.reader,
            &connection.session,
        );
        match status {
            Ok(SessionStatus::Idle) => self.wait(connection, Waiting::Input),
            Ok(SessionStatus::Stalled) if connection.reader.has_caught_up() => {
                self.wait(connection, Waiting::ResponseOrInput);
            }
            Ok(SessionStatus::Stalled) => self.wait(connection, Waiting::Response),
            Ok(SessionStatus::TurnOver) => self.wait(connection, Waiting::Turn),
            Ok(SessionStatus::ClosedWithError(error)) => self.finish(connection, error),
            Ok(SessionStatus::Closed) | Err(_) => self.finish(connection, vec![]),
        }
    }

    /// Closes the connection gracefully: when all responses are written, sends the closing error,
    /// and discards further input until the client has closed the connection too.
    fn finish(&self, mut waiting: WaitingConnection, closing_error: Vec<u8>) {
        let connection = Arc::clone(waiting.session.connection());
        // If nothing can be written any more, only the client's close remains to be read.
        let can_write = connection.receive_status() != ReceiveStatus::PeerClosed;
        if !waiting.has_ended && can_write {
            connection.close_after_responses(closing_error);
        }
        waiting.has_ended = true;
        if can_write && connection.closing_since().is_none() && connection.is_open() {
            return match waiting.reader.discard_ahead() {
                ReadAheadEnd::Waits if waiting.reader.has_caught_up() => {
                    self.wait(waiting, Waiting::ResponseOrInput);
                }
                ReadAheadEnd::Waits => self.wait(waiting, Waiting::Response),
                ReadAheadEnd::TurnOver => self.wait(waiting, Waiting::Turn),
                ReadAheadEnd::Disconnected => self.remove(&waiting),
            };
        }
        match waiting.reader.discard_received() {
            NextInput::Pending => self.wait(waiting, Waiting::Input),
            NextInput::Closed => self.remove(&waiting),
        }
    }

    /// Keeps a connection until there is something to do for it.
    fn wait(&self, waiting: WaitingConnection, reason: Waiting) {
        let connection = Arc::clone(waiting.session.connection());
        connection.state().received_bytes = waiting.reader.received_bytes();
        if let Err(e) = self.waiting.insert(waiting, reason.events()) {
            tracing::warn!(error = %e, "cannot watch a client connection, closing it");
            return self.remove_waiting(connection.id);
        }
        match reason {
            Waiting::Input => {}
            Waiting::Response | Waiting::ResponseOrInput => connection.wake_when_written(),
            Waiting::Turn => connection.wake(),
        }
    }

    /// Waits for the first message on a new connection.
    pub(super) fn wait_for_first_message(&self, connection: WaitingConnection) {
        self.wait(connection, Waiting::Input);
    }

    fn remove_waiting(&self, id: ClientId) {
        let waiting = self.waiting.take(id);
        if let Some(waiting) = waiting {
            self.remove(&waiting);
        }
    }

    /// Closes connections that have been idle, or whose messages have been incomplete, for too long,
    /// and frees those whose lingering close is over.
    fn check_timeouts(&self) {
        let now = self.registry.clock.now();
        let mut last_check = lock(&self.waiting.last_check);
        if now - *last_check < TIMEOUT_CHECK_INTERVAL {
            return;
        }
        *last_check = now;
        drop(last_check);
        self.registry.evict_idle();
        for connection in self.registry.all() {
            self.check_timeouts_of(&connection, now);
        }
    }

    fn check_timeouts_of(&self, connection: &Arc<ClientConnection>, now: Time) {
        connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| {
            state.last_used + state.idle_timeout < now
        });
        connection.close_if_incomplete_for_too_long(now);
        connection.check_presence_if_stalled(now);
        if connection.has_lingered(now) {
            self.remove_waiting(connection.id);
        }
    }
}
