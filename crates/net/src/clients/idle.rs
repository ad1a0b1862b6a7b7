//! Connections that wait for their next message, and the threads that wait for input on them.
//!
//! A few threads wait for all idle connections at once. The thread that finds a connection readable
//! owns it until it is idle again. State: the idle connections by id, an epoll instance with their
//! sockets, and the number of waiting threads.

use std::collections::BTreeMap;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use rustix::buffer::spare_capacity;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use valehatch_core::ClientId;
use valehatch_policy::{Span, Time};

use super::connection::{CLOSING_ERROR_RETRY_AFTER, ClientConnection};
use super::session::{RequestReader, Session};
use super::{Clients, SessionProgress, SessionStatus};
use crate::{lock, spawn};

/// How often idle timeouts are checked.
const IDLE_CHECK_INTERVAL: Span = Span::from_millis(50);
/// How long a thread waits for a readable connection before it checks idle timeouts.
const EPOLL_TIMEOUT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 50_000_000,
};
/// Number of waiting threads while there is no input: the second one serves the next connection
/// while the first is blocked.
const WAITING_THREADS: usize = 2;

/// A connection between two messages.
pub(super) struct IdleConnection {
    pub reader: RequestReader,
    pub session: Session,
    pub progress: SessionProgress,
    /// Set once the socket is registered with the epoll instance.
    pub registered: bool,
}

/// Connections that wait for their next message.
pub(super) struct IdleConnections {
    epoll: OwnedFd,
    connections: Mutex<BTreeMap<ClientId, IdleConnection>>,
    waiting_threads: AtomicUsize,
    last_check: Mutex<Time>,
}

impl IdleConnections {
    pub(super) fn new(now: Time) -> io::Result<Self> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Self {
            epoll,
            connections: Mutex::default(),
            waiting_threads: AtomicUsize::new(0),
            last_check: Mutex::new(now),
        })
    }

    /// Takes the next connection that becomes readable within [`EPOLL_TIMEOUT`], if there is one.
    fn take_readable(&self) -> Option<IdleConnection> {
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

    fn take(&self, id: ClientId) -> Option<IdleConnection> {
        lock(&self.connections).remove(&id)
    }

    /// Waits for a single event of a connection, so that only one thread takes it.
    fn watch(&self, connection: &ClientConnection, registered: bool) -> io::Result<()> {
        let events = EventFlags::IN | EventFlags::RDHUP | EventFlags::ONESHOT;
        let data = EventData::new_u64(connection.id.0);
        let watched = if registered {
            epoll::modify(&self.epoll, &connection.stream, data, events)
        } else {
            epoll::add(&self.epoll, &connection.stream, data, events)
        };
        Ok(watched?)
    }
}

impl Clients {
    pub(super) fn start_waiting_threads(self: &Arc<Self>) -> io::Result<()> {
        for _ in 0..WAITING_THREADS {
            self.start_waiting_thread()?;
        }
        Ok(())
    }

    fn start_waiting_thread(self: &Arc<Self>) -> io::Result<()> {
        self.idle.waiting_threads.fetch_add(1, Ordering::Relaxed);
        let clients = Arc::clone(self);
        let started = spawn("client", move || clients.serve_readable());
        if started.is_err() {
            self.idle.waiting_threads.fetch_sub(1, Ordering::Relaxed);
        }
        started
    }

    /// Serves connections as they become readable, until enough other threads wait.
    fn serve_readable(self: &Arc<Self>) {
        let waiting = &self.idle.waiting_threads;
        loop {
            let readable = self.idle.take_readable();
            self.check_timeouts();
            let Some(connection) = readable else {
                continue;
            };
            // The last waiting thread first starts another one: otherwise a client that is slow to
            // send would block all others.
            let was_last = waiting.fetch_sub(1, Ordering::Relaxed) == 1;
            if was_last && self.start_waiting_thread().is_err() {
                tracing::warn!("no thread left to wait for idle client connections");
            }
            self.serve(connection);
            let one_more = |count| (count < WAITING_THREADS).then_some(count + 1);
            if waiting
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_more)
                .is_err()
            {
                return;
            }
        }
    }

    /// Handles the input of a connection.
    fn serve(&self, mut connection: IdleConnection) {
        let status = self.registry.handler.serve(
            &mut connection.progress,
            &mut connection.reader,
            &connection.session,
        );
        if matches!(status, Ok(SessionStatus::Idle))
            || connection.reader.close_gracefully(vec![]) == SessionStatus::Idle
        {
            self.wait_for_input(connection);
        } else {
            self.remove(&connection);
        }
    }

    /// Waits for the next message on a connection, or for its close.
    pub(super) fn wait_for_input(&self, mut idle: IdleConnection) {
        let connection = Arc::clone(idle.session.connection());
        let registered = std::mem::replace(&mut idle.registered, true);
        lock(&self.idle.connections).insert(connection.id, idle);
        if let Err(e) = self.idle.watch(&connection, registered) {
            tracing::warn!(error = %e, "cannot watch an idle client connection, closing it");
            self.remove_idle(connection.id);
        }
    }

    fn remove_idle(&self, id: ClientId) {
        let idle = self.idle.take(id);
        if let Some(idle) = idle {
            self.remove(&idle);
        }
    }

    /// Closes connections that have been idle for too long, and frees those whose lingering close
    /// is over.
    fn check_timeouts(&self) {
        let now = self.registry.clock.now();
        let mut last_check = lock(&self.idle.last_check);
        if now - *last_check < IDLE_CHECK_INTERVAL {
            return;
        }
        *last_check = now;
        drop(last_check);
        self.registry.evict_idle();
        for connection in self.registry.all() {
            connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| {
                state.last_used + state.idle_timeout < now
            });
            if connection.has_lingered(now) {
                self.remove_idle(connection.id);
            }
        }
    }
}
