//! The sockets of the management endpoint. One thread polls them; no operation on a connection
//! blocks.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

use crate::connection_table::{AcceptDecision, ConnectionTable, Stage};
use crate::request::{MAX_HEAD_BYTES, ManagementRequest};
use crate::{ManagementEndpoint, Source};

/// Connections that may wait to be accepted: more than arrive in a burst while the thread is not
/// scheduled.
const BACKLOG: i32 = 1024;
/// Connections accepted in one turn, before open connections are served again.
const MAX_ACCEPTS: usize = 64;
/// Reads of discarded input in one turn, before other connections are served again.
const MAX_DRAIN_READS: usize = 16;
/// Pause after an error of accept or poll.
const ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Buffer capacity of each slot, in bytes; a longer response increases it until the connection is
/// closed.
const BUFFER_BYTES: usize = 2 * MAX_HEAD_BYTES;

/// A slot with its connection, if any. The buffer holds the request head, then the response.
struct Slot {
    stream: Option<TcpStream>,
    bytes: Vec<u8>,
    written: usize,
}

/// The listener and all connections.
pub(crate) struct ManagementServer {
    listener: TcpListener,
    source: Arc<dyn Source>,
    table: ConnectionTable,
    slots: Vec<Slot>,
    /// Buffer for reads, shared by all connections.
    scratch: Box<[u8]>,
    /// Whether the last poll found each slot ready.
    ready: Vec<bool>,
    /// End of the pause after an error of accept.
    accept_paused_until: Option<Instant>,
}

impl ManagementServer {
    /// Binds the listener.
    pub(crate) fn new(config: ManagementEndpoint, source: Arc<dyn Source>) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(config.listen),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&config.listen.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let table = ConnectionTable::new(config.max_connections, config.timeout);
        let slot = |_| Slot {
            stream: None,
            bytes: Vec::with_capacity(BUFFER_BYTES),
            written: 0,
        };
        let slots = (0..table.slots()).map(slot).collect();
        let ready = vec![false; table.slots()];
        let scratch = vec![0; MAX_HEAD_BYTES].into_boxed_slice();
        Ok(Self {
            listener: socket.into(),
            source,
            table,
            slots,
            scratch,
            ready,
            accept_paused_until: None,
        })
    }

    /// The bound address.
    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Closes expired connections, waits until a connection is ready, and serves the ready ones.
    pub(crate) fn poll_once(&mut self) {
        let now = Instant::now();
        while let Some(slot) = self.table.expired(now) {
            self.expire(slot);
        }
        self.accept_paused_until = self.accept_paused_until.filter(|&until| until > now);
        let eviction_possible_at = match self.table.decide_accept(now) {
            AcceptDecision::WaitUntil(then) => Some(then),
            AcceptDecision::Slot(_) | AcceptDecision::Evict(_) => None,
        };
        let accepting = self.accept_paused_until.is_none() && eviction_possible_at.is_none();
        let until = [
            self.accept_paused_until,
            eviction_possible_at,
            self.table.next_expiry(),
        ]
        .into_iter()
        .flatten()
        .min();
        let has_new_connections = self.wait(accepting, until.map(|until| until - now));
        for slot in 0..self.slots.len() {
            if std::mem::take(&mut self.ready[slot]) {
                self.serve(slot);
            }
        }
        if has_new_connections {
            self.accept();
        }
    }

    /// Polls until a connection is ready, the time has passed or, if `accepting`, a connection can
    /// be accepted. Returns whether a connection can be accepted.
    fn wait(&mut self, accepting: bool, time: Option<Duration>) -> bool {
        let mut fds = Vec::with_capacity(self.slots.len() + 1);
        let wanted = |stage| {
            if stage == Stage::Responding {
                PollFlags::OUT
            } else {
                PollFlags::IN
            }
        };
        for (slot, connection) in self.slots.iter().enumerate() {
            if let (Some(stream), Some(stage)) = (&connection.stream, self.table.stage(slot)) {
                fds.push((Some(slot), PollFd::new(stream, wanted(stage))));
            }
        }
        if accepting {
            fds.push((None, PollFd::new(&self.listener, PollFlags::IN)));
        }
        let (sources, mut fds): (Vec<_>, Vec<_>) = fds.into_iter().unzip();
        let time = time.and_then(|time| Timespec::try_from(time).ok());
        match poll(&mut fds, time.as_ref()) {
            Ok(_) => {}
            Err(Errno::INTR) => return false,
            Err(_) => {
                std::thread::sleep(ERROR_PAUSE);
                return false;
            }
        }
        let mut has_new_connections = false;
        for (source, fd) in sources.into_iter().zip(&fds) {
            if fd.revents().is_empty() {
                continue;
            }
            match source {
                Some(slot) => self.ready[slot] = true,
                None => has_new_connections = true,
            }
        }
        has_new_connections
    }

    /// Accepts connections from the backlog while there are slots, at most [`MAX_ACCEPTS`].
    fn accept(&mut self) {
        for _ in 0..MAX_ACCEPTS {
            let now = Instant::now();
            let slot = match self.table.decide_accept(now) {
                AcceptDecision::Slot(slot) => slot,
                AcceptDecision::Evict(slot) => {
                    self.evict(slot);
                    continue;
                }
                AcceptDecision::WaitUntil(_) => return,
            };
            match self.listener.accept() {
                Ok((stream, _)) if stream.set_nonblocking(true).is_ok() => {
                    self.slots[slot].stream = Some(stream);
                    self.table.on_accept(slot, now);
                    self.serve(slot);
                }
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(_) => {
                    self.accept_paused_until = Some(now + ERROR_PAUSE);
                    return;
                }
            }
        }
    }

    /// Closes a connection to free its slot, unless it can make progress now.
    fn evict(&mut self, slot: usize) {
        let before = self.table.stage(slot);
        self.serve(slot);
        if self.table.stage(slot) == before {
            self.close(slot);
        }
    }

    /// Closes an expired connection, with a 408 if a part of its request head was received.
    fn expire(&mut self, slot: usize) {
        let begun = !self.slots[slot].bytes.is_empty();
        if begun && self.table.stage(slot) == Some(Stage::Reading) {
            self.respond(slot, ManagementRequest::Incomplete);
            let _ = self.write(slot);
        }
        self.close(slot);
    }

    fn close(&mut self, slot: usize) {
        self.table.on_close(slot);
        let connection = &mut self.slots[slot];
        connection.stream = None;
        connection.bytes.clear();
        connection.bytes.shrink_to(BUFFER_BYTES);
        connection.written = 0;
    }

    /// Serves a connection as far as it goes without blocking.
    fn serve(&mut self, slot: usize) {
        loop {
            let Some(stage) = self.table.stage(slot) else {
                return;
            };
            let done = match stage {
                Stage::Reading => self.read(slot),
                Stage::Responding => self.write(slot),
                Stage::Draining => self.drain(slot),
            };
            match done {
                Ok(Some(stage)) => self.table.on_stage(slot, stage, Instant::now()),
                Ok(None) => return self.close(slot),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.close(slot),
            }
        }
    }

    /// Reads more of the head. Returns the next stage, or `None` if the client closed the
    /// connection without sending anything.
    fn read(&mut self, slot: usize) -> io::Result<Option<Stage>> {
        let connection = &mut self.slots[slot];
        let Some(stream) = &mut connection.stream else {
            return Ok(None);
        };
        loop {
            let length =
                stream.read(&mut self.scratch[..MAX_HEAD_BYTES - connection.bytes.len()])?;
            connection.bytes.extend_from_slice(&self.scratch[..length]);
            if connection.bytes.is_empty() {
                return Ok(None);
            }
            let request = ManagementRequest::parse(&connection.bytes, length == 0);
            if request != ManagementRequest::Incomplete {
                self.respond(slot, request);
                return Ok(Some(Stage::Responding));
            }
        }
    }

    fn respond(&mut self, slot: usize, request: ManagementRequest) {
        let connection = &mut self.slots[slot];
        request.respond(&*self.source, &mut connection.bytes);
        connection.written = 0;
    }

    /// Writes more of the response. Returns the next stage, or `None` if no more can be written.
    fn write(&mut self, slot: usize) -> io::Result<Option<Stage>> {
        let connection = &mut self.slots[slot];
        let Some(stream) = &mut connection.stream else {
            return Ok(None);
        };
        while connection.written < connection.bytes.len() {
            match stream.write(&connection.bytes[connection.written..])? {
                0 => return Ok(None),
                length => connection.written += length,
            }
        }
        stream.shutdown(Shutdown::Write)?;
        Ok(Some(Stage::Draining))
    }

    /// Discards input. Returns `WouldBlock` if there may be more, `None` at its end.
    fn drain(&mut self, slot: usize) -> io::Result<Option<Stage>> {
        let Some(stream) = &mut self.slots[slot].stream else {
            return Ok(None);
        };
        for _ in 0..MAX_DRAIN_READS {
            if stream.read(&mut self.scratch)? == 0 {
                return Ok(None);
            }
        }
        Err(ErrorKind::WouldBlock.into())
    }
}
