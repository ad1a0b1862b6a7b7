//! Calls to discovery. Several may be in flight at once, each on its own connection; the first
//! response is used.
//!
//! All calls of a poller are driven by its one thread. State: the unsent part of a call's request,
//! and the received part of its response.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

use super::error::PollError;
use super::http::{self, Response, Sending};
use crate::lock;

/// Size of the read buffer, in bytes; responses may be longer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The address of discovery. A change of the address ends the latest call and any pause at once.
pub struct DiscoveryAddress {
    state: Mutex<AddressState>,
    changed: Condvar,
}

struct AddressState {
    address: SocketAddr,
    /// The connection of the latest call.
    latest: Option<Arc<TcpStream>>,
}

impl DiscoveryAddress {
    /// Creates an address that [`DiscoveryAddress::set`] may change.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            state: Mutex::new(AddressState {
                address,
                latest: None,
            }),
            changed: Condvar::new(),
        }
    }

    pub(super) fn current(&self) -> SocketAddr {
        lock(&self.state).address
    }

    /// Sets another address to poll; the cached endpoint list stays in use until discovery answers
    /// there.
    pub fn set(&self, address: SocketAddr) {
        let mut state = lock(&self.state);
        if state.address == address {
            return;
        }
        state.address = address;
        if let Some(latest) = state.latest.take() {
            let _ = latest.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Pauses while discovery stays at this address, for at most `pause`.
    pub(super) fn pause(&self, address: SocketAddr, pause: Duration) {
        let unchanged = |state: &mut AddressState| state.address == address;
        drop(
            self.changed
                .wait_timeout_while(lock(&self.state), pause, unchanged),
        );
    }

    /// Registers a connection to be closed when the address changes.
    fn track(&self, connection: &DiscoveryConnection) -> Result<(), PollError> {
        let mut state = lock(&self.state);
        if state.address != connection.address {
            return Err(PollError::Moved);
        }
        state.latest = Some(Arc::clone(&connection.stream));
        Ok(())
    }
}

/// A connection to discovery, which may not be established yet.
pub(super) struct DiscoveryConnection {
    address: SocketAddr,
    stream: Arc<TcpStream>,
}

impl DiscoveryConnection {
    /// Starts to connect without waiting: a connect that hangs is abandoned in the same way as a
    /// call.
    pub(super) fn connect(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Err(e) if e.raw_os_error() != Some(libc::EINPROGRESS) => Err(e),
            _ => Ok(Self {
                address,
                stream: Arc::new(socket.into()),
            }),
        }
    }

    pub(super) fn is_to(&self, address: SocketAddr) -> bool {
        self.address == address
    }
}

/// Timeouts of a call, counted from the end of the wait that it requests from discovery.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimeouts {
    /// The call is late if no further byte arrives for this long: the next one may then begin
    /// beside it.
    pub stalled: Duration,
    /// The call is late after this long even while its response trickles in.
    pub trickling: Duration,
    /// The call is abandoned after this long.
    pub total: Duration,
}

/// Kind of list that a call requests.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallKind {
    /// The complete list.
    CompleteList,
    /// Changes since a version; discovery may wait up to `max_wait` for one.
    Changes { since: u64, max_wait: Duration },
}

impl CallKind {
    pub(super) const fn since(self) -> Option<u64> {
        match self {
            Self::CompleteList => None,
            Self::Changes { since, .. } => Some(since),
        }
    }

    pub(super) const fn max_wait(self) -> Duration {
        match self {
            Self::CompleteList => Duration::ZERO,
            Self::Changes { max_wait, .. } => max_wait,
        }
    }

    fn path(self) -> String {
        match self {
            Self::CompleteList => "/v1/servers".to_owned(),
            Self::Changes { since, max_wait } => {
                format!("/v1/servers?from={since}&hold_ms={}", max_wait.as_millis())
            }
        }
    }
}

/// A call in flight.
pub(super) struct DiscoveryCall {
    connection: DiscoveryConnection,
    pub kind: CallKind,
    unsent: Vec<u8>,
    received: Vec<u8>,
    last_received_at: Option<Instant>,
    /// When the wait that the call requests from discovery ends.
    wait_ends_at: Instant,
    timeouts: CallTimeouts,
}

impl DiscoveryCall {
    /// Begins a call on this connection.
    pub(super) fn begin(
        discovery: &DiscoveryAddress,
        connection: DiscoveryConnection,
        kind: CallKind,
        timeouts: CallTimeouts,
    ) -> Result<Self, PollError> {
        discovery.track(&connection)?;
        let path = kind.path();
        let host = connection.address;
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
        Ok(Self {
            connection,
            kind,
            unsent: request.into_bytes(),
            received: vec![],
            last_received_at: None,
            wait_ends_at: Instant::now() + kind.max_wait(),
            timeouts,
        })
    }

    pub(super) fn is_to(&self, address: SocketAddr) -> bool {
        self.connection.is_to(address)
    }

    /// Returns the connection, for use by the next call.
    pub(super) fn into_connection(self) -> DiscoveryConnection {
        self.connection
    }

    /// When the call becomes late, if nothing more arrives.
    fn late_at(&self) -> Instant {
        let silent_until = self.wait_ends_at + self.timeouts.stalled;
        let Some(received_at) = self.last_received_at else {
            return silent_until;
        };
        let stalled_at = received_at + self.timeouts.stalled;
        let trickling_until = self.wait_ends_at + self.timeouts.trickling;
        stalled_at.min(trickling_until).max(silent_until)
    }

    fn abandoned_at(&self) -> Instant {
        self.wait_ends_at + self.timeouts.total
    }

    fn poll_fd(&self) -> PollFd<'_> {
        let flags = if self.unsent.is_empty() {
            PollFlags::IN
        } else {
            PollFlags::OUT
        };
        PollFd::new(&*self.connection.stream, flags)
    }

    /// Writes and reads as much as possible without blocking.
    fn advance(&mut self) -> Result<Option<Response>, PollError> {
        if !self.unsent.is_empty() {
            self.write()?;
        }
        if self.unsent.is_empty() {
            self.read()
        } else {
            Ok(None)
        }
    }

    fn write(&mut self) -> io::Result<()> {
        if let Some(e) = self.connection.stream.take_error()? {
            return Err(e);
        }
        match (&*self.connection.stream).write(&self.unsent) {
            Ok(written) => drop(self.unsent.drain(..written)),
            Err(e) if would_block(&e) || e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }

    fn read(&mut self) -> Result<Option<Response>, PollError> {
        let received = self.receive();
        let sending = match received {
            Ok(sending) => sending,
            Err(_) => Sending::Open,
        };
        let response = http::parse_response(&self.received, sending).map_err(PollError::Http)?;
        // A reset does not end a response, but a response that was complete before the reset is
        // valid.
        match (response, received) {
            (response, Ok(_)) => Ok(response),
            (Some(response), Err(_)) => Ok(Some(Response {
                reusable: false,
                ..response
            })),
            (None, Err(e)) => Err(e.into()),
        }
    }

    /// Reads the bytes that have arrived.
    fn receive(&mut self) -> io::Result<Sending> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            match (&*self.connection.stream).read(&mut buffer) {
                Ok(0) => return Ok(Sending::Ended),
                Ok(count) => {
                    self.received.extend_from_slice(&buffer[..count]);
                    self.last_received_at = Some(Instant::now());
                    if count < buffer.len() || http::is_too_long(&self.received) {
                        return Ok(Sending::Open);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if would_block(&e) => return Ok(Sending::Open),
                Err(e) => return Err(e),
            }
        }
    }
}

fn would_block(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock
}

/// An answered call and its response.
pub(super) struct AnsweredCall {
    pub call: DiscoveryCall,
    pub response: Response,
}

/// Waits until one of the calls is answered, or until the last of them has failed or is late.
/// Failed and abandoned calls are removed.
///
/// # Errors
/// Returns why the last call failed, or [`PollError::NoResponse`] if it is late.
pub(super) fn first_response(calls: &mut Vec<DiscoveryCall>) -> Result<AnsweredCall, PollError> {
    loop {
        let ready = wait_until_ready(calls)?;
        let mut last_failure = None;
        // In reverse order: removing a call does not change the indices of those before it.
        for index in (0..ready.len()).rev() {
            if !ready[index] {
                continue;
            }
            match calls[index].advance() {
                Ok(None) => {}
                Ok(Some(response)) => {
                    let call = calls.remove(index);
                    return Ok(AnsweredCall { call, response });
                }
                Err(e) => {
                    calls.remove(index);
                    let is_last = index + 1 == ready.len();
                    if is_last {
                        last_failure = Some(e);
                    }
                }
            }
        }
        if let Some(e) = last_failure {
            return Err(e);
        }
        let now = Instant::now();
        let is_late = calls.last().is_none_or(|last| last.late_at() <= now);
        calls.retain(|call| call.abandoned_at() > now);
        if is_late {
            return Err(PollError::NoResponse);
        }
    }
}

/// Waits until one of the calls can advance, the last one is late, or one has to be abandoned.
/// Returns for each call whether it can advance.
fn wait_until_ready(calls: &[DiscoveryCall]) -> io::Result<Vec<bool>> {
    let abandoned_at = calls.iter().map(DiscoveryCall::abandoned_at);
    let until = abandoned_at
        .chain(calls.last().map(DiscoveryCall::late_at))
        .min();
    let mut sockets: Vec<PollFd<'_>> = calls.iter().map(DiscoveryCall::poll_fd).collect();
    loop {
        let left = until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        let timeout = Timespec::try_from(left).unwrap_or_default();
        match poll(&mut sockets, Some(&timeout)) {
            Ok(_) => {
                let is_ready = |socket: &PollFd<'_>| !socket.revents().is_empty();
                return Ok(sockets.iter().map(is_ready).collect());
            }
            // Also occurs after the process was stopped: what has arrived in the meantime is read
            // before a call counts as late.
            Err(Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
    }
}
