//! Writes the rest of responses to clients that are slow to read.
//!
//! One thread waits until any of these clients can receive more, and ends once none is left, so a
//! client that is slow to read costs no thread. State: the connections with unwritten bytes, an
//! epoll instance with their sockets, and whether the thread runs.

use std::collections::BTreeMap;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::buffer::spare_capacity;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use valehatch_core::ClientId;

use super::connection::{ClientConnection, WRITE_TIMEOUT};
use crate::{lock, spawn};

/// How long the thread waits for a writable connection before it checks timeouts.
const EPOLL_TIMEOUT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 50_000_000,
};
/// How often timeouts are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of connections that are returned by one wait.
const EVENTS_PER_WAIT: usize = 64;

/// What was achieved by writing to a slow client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// The client has received some bytes, and more are to be written.
    Some,
    /// The client has received no bytes.
    None,
    /// Nothing is left to write, or the connection was aborted.
    Finished,
}

/// A connection with unwritten bytes.
struct BlockedWriter {
    connection: Arc<ClientConnection>,
    /// When the client last received bytes.
    last_progress: Instant,
}

#[derive(Default)]
struct Writers {
    connections: BTreeMap<ClientId, BlockedWriter>,
    /// Set while the thread runs.
    running: bool,
}

/// Connections whose clients could not receive all bytes at once.
pub(super) struct BlockedWriters {
    epoll: OwnedFd,
    writers: Mutex<Writers>,
}

impl BlockedWriters {
    /// # Errors
    /// Returns an error if no descriptor is available for the epoll instance.
    pub(super) fn new() -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            epoll: epoll::create(CreateFlags::CLOEXEC)?,
            writers: Mutex::default(),
        }))
    }

    /// Continues to write to a client when it can receive more.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be watched or the thread cannot be started; the
    /// connection is not kept then.
    pub(super) fn add(self: &Arc<Self>, connection: &Arc<ClientConnection>) -> io::Result<()> {
        let mut writers = lock(&self.writers);
        let writer = BlockedWriter {
            connection: Arc::clone(connection),
            last_progress: Instant::now(),
        };
        writers.connections.insert(connection.id, writer);
        let added = self.start(&mut writers).and_then(|()| {
            let data = EventData::new_u64(connection.id.0);
            Ok(epoll::add(&self.epoll, &connection.stream, data, WRITABLE)?)
        });
        if added.is_err() {
            writers.connections.remove(&connection.id);
        }
        added
    }

    fn start(self: &Arc<Self>, writers: &mut Writers) -> io::Result<()> {
        if !writers.running {
            let blocked = Arc::clone(self);
            spawn("client out", move || blocked.run())?;
            writers.running = true;
        }
        Ok(())
    }

    fn run(&self) {
        let mut last_check = Instant::now();
        while !self.stop_if_idle() {
            let mut events = Vec::with_capacity(EVENTS_PER_WAIT);
            let free = spare_capacity(&mut events);
            // Fails only if the wait is interrupted.
            let _ = epoll::wait(&self.epoll, free, Some(&EPOLL_TIMEOUT));
            for event in events {
                self.write(ClientId(event.data.u64()));
            }
            if last_check.elapsed() >= TIMEOUT_CHECK_INTERVAL {
                last_check = Instant::now();
                self.abort_timed_out();
            }
        }
    }

    fn stop_if_idle(&self) -> bool {
        let mut writers = lock(&self.writers);
        writers.running = !writers.connections.is_empty();
        !writers.running
    }

    fn write(&self, id: ClientId) {
        let writer = lock(&self.writers)
            .connections
            .get(&id)
            .map(|writer| Arc::clone(&writer.connection));
        let Some(connection) = writer else {
            return;
        };
        match connection.write_rest() {
            WriteProgress::Some => {
                if let Some(writer) = lock(&self.writers).connections.get_mut(&id) {
                    writer.last_progress = Instant::now();
                }
            }
            WriteProgress::None => {}
            WriteProgress::Finished => return,
        }
        let data = EventData::new_u64(id.0);
        if let Err(e) = epoll::modify(&self.epoll, &connection.stream, data, WRITABLE) {
            tracing::warn!(error = %e, "cannot watch a slow client connection, closing it");
            self.remove(&connection);
            connection.abort();
        }
    }

    /// Removes a connection. Called while no other thread may write to it, so that a later
    /// [`BlockedWriters::add`] comes after this.
    pub(super) fn remove(&self, connection: &ClientConnection) {
        lock(&self.writers).connections.remove(&connection.id);
        let _ = epoll::delete(&self.epoll, &connection.stream);
    }

    /// Closes connections whose clients have received nothing for [`WRITE_TIMEOUT`].
    fn abort_timed_out(&self) {
        let is_timed_out =
            |writer: &&BlockedWriter| writer.last_progress.elapsed() >= WRITE_TIMEOUT;
        let timed_out: Vec<_> = lock(&self.writers)
            .connections
            .values()
            .filter(is_timed_out)
            .map(|writer| Arc::clone(&writer.connection))
            .collect();
        for connection in timed_out {
            tracing::info!(
                client = connection.id.0,
                "closing a client that reads nothing"
            );
            connection.abort();
            self.remove(&connection);
        }
    }
}

/// One event when the socket can take more bytes, or has failed.
const WRITABLE: EventFlags = EventFlags::OUT.union(EventFlags::ONESHOT);
