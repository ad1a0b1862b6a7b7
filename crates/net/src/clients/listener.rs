//! The listening socket and the thread that accepts from it.
//!
//! State: the id of the last connection, and when accepting was requested to stop.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Socket, Type};

use valehatch_core::{ClientId, Event};

use super::Clients;
use super::message_reader::RequestReader;
use super::session::Session;
use super::waiting::WaitingConnection;
use crate::{lock, spawn};

/// Number of connections that the kernel queues until they are accepted; it refuses further ones.
const BACKLOG: i32 = 1024;
/// How often the accepting thread checks whether it has to stop.
const ACCEPT_POLL_INTERVAL: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 50_000_000,
};
/// Pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long incoming connections are still accepted after accepting was requested to stop. Closing
/// a listener resets the connections in its backlog; accepting for longer would take connections
/// from a process that waits for the same address.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether another process may listen on the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressSharing {
    /// No other socket may be bound to the address.
    Exclusive,
    /// Processes of the same user may bind it too (`SO_REUSEPORT`).
    SameUser,
}

/// Binds and listens on an address.
///
/// # Errors
/// Returns an error if the address is in use or does not belong to this machine.
pub fn bind_listener(address: SocketAddr, sharing: AddressSharing) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(sharing == AddressSharing::SameUser)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

impl Clients {
    /// Starts the threads that accept connections and wait for requests. Returns the local address
    /// of the listener.
    ///
    /// # Errors
    /// Returns an error if the threads cannot be started.
    pub fn listen(self: &Arc<Self>, listener: TcpListener) -> io::Result<SocketAddr> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        self.start_serving_threads()?;
        let clients = Arc::clone(self);
        self.accepting.store(true, Ordering::Relaxed);
        spawn("accept", move || {
            clients.accept_until_stopped(&listener, address);
            drop(listener);
            clients.accepting.store(false, Ordering::Relaxed);
        })?;
        Ok(address)
    }

    fn accept_until_stopped(self: &Arc<Self>, listener: &TcpListener, address: SocketAddr) {
        let mut last_id = 0;
        let mut stopping_since: Option<Instant> = None;
        loop {
            self.wait_until_admittable();
            // Checked before the next accept: connections that the kernel has established by now
            // are served, since closing the listener would reset them.
            if self.accepting_stopped.load(Ordering::Relaxed) {
                stopping_since.get_or_insert_with(Instant::now);
                if self.backlog_handed_over.load(Ordering::Relaxed) {
                    return;
                }
            }
            let timed_out =
                stopping_since.is_some_and(|since| since.elapsed() > BACKLOG_DRAIN_TIMEOUT);
            match listener.accept() {
                Ok((stream, _)) => {
                    last_id += 1;
                    if let Err(e) = self.begin(ClientId(last_id), stream) {
                        tracing::warn!(error = %e, "failed to set up a client connection");
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    // Another process may accept from the same socket, so a blocking accept could
                    // wait forever.
                    let mut poll_listener = [PollFd::new(&listener, PollFlags::IN)];
                    let ready = poll(&mut poll_listener, Some(&ACCEPT_POLL_INTERVAL));
                    let backlog_empty = stopping_since.is_some() && ready == Ok(0);
                    if timed_out || backlog_empty {
                        return;
                    }
                }
                Err(e) => {
                    tracing::warn!(error = %e, %address, "accept failed");
                    if timed_out {
                        return;
                    }
                    sleep(ACCEPT_RETRY_INTERVAL);
                }
            }
        }
    }

    /// Waits until the limiter admits one more connection, or the backlog is handed over to another
    /// process.
    fn wait_until_admittable(&self) {
        while !self.registry.limiter.can_admit()
            && !self.backlog_handed_over.load(Ordering::Relaxed)
        {
            self.registry.evict_idle();
        }
    }

    /// Registers an accepted connection and waits for its first message.
    pub(super) fn begin(self: &Arc<Self>, id: ClientId, stream: TcpStream) -> io::Result<()> {
        let connection = self.registry.accept(id, stream);
        connection.stream.set_nodelay(true)?;
        connection.stream.set_nonblocking(true)?;
        lock(&self.registry.connections).insert(id, Arc::clone(&connection));
        self.registry.evict_idle();
        let _ = self.registry.events.send(Event::ClientConnected(id));
        let reader = RequestReader::new(Arc::clone(&connection));
        let session = Session::new(connection, Arc::clone(&self.registry));
        self.wait_for_first_message(WaitingConnection::new(reader, session));
        Ok(())
    }
}
