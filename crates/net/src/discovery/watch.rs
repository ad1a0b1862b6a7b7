//! Calls to discovery: several may be out at once, and the first that is answered counts.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

use super::http::{self, Answer};
use crate::lock;

/// Where discovery answers, and the connection of the last call to it: a new address ends it at once, and a rest too.
pub struct Place(Mutex<(SocketAddr, Option<Arc<TcpStream>>)>, Condvar);

impl Place {
    pub const fn new(address: SocketAddr) -> Self {
        Self(Mutex::new((address, None)), Condvar::new())
    }

    pub(crate) fn address(&self) -> SocketAddr {
        lock(&self.0).0
    }

    /// Takes the watch elsewhere; the list that is held goes on to hold.
    pub fn set(&self, address: SocketAddr) {
        let mut held = lock(&self.0);
        if held.0 != address {
            held.0 = address;
            held.1
                .take()
                .into_iter()
                .for_each(|line| drop(line.shutdown(Shutdown::Both)));
            self.1.notify_all();
        }
    }

    /// Waits, for as long as discovery stays at this address.
    pub(crate) fn rest(&self, address: SocketAddr, pause: Duration) {
        drop(
            self.1
                .wait_timeout_while(lock(&self.0), pause, |held| held.0 == address),
        );
    }

    /// Has a new address end this connection.
    fn ends(&self, line: &Line) -> io::Result<()> {
        let mut held = lock(&self.0);
        if held.0 != line.address {
            return Err(io::Error::other("discovery has moved"));
        }
        held.1 = Some(Arc::clone(&line.stream));
        Ok(())
    }
}

/// A connection to discovery, which may not be up yet.
pub(crate) struct Line {
    address: SocketAddr,
    stream: Arc<TcpStream>,
}

impl Line {
    /// Begins to connect and does not wait: a connect that hangs is given up like a call that does.
    pub(crate) fn connect(address: SocketAddr) -> io::Result<Self> {
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

    pub(crate) fn leads_to(&self, address: SocketAddr) -> bool {
        self.address == address
    }
}

/// How long a call is waited for, counted from the end of the wait that it asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimeouts {
    /// Without a byte for so long it is late: the next one may go out beside it.
    pub late: Duration,
    /// It is late after so long also where the answer goes on to come in pieces.
    pub pieces: Duration,
    /// The whole of it is given up then.
    pub end: Duration,
}

/// A call that is out.
pub(crate) struct Call {
    line: Line,
    /// The version it asks from; none where it asks for the whole list.
    pub from: Option<u64>,
    /// What has yet to be written.
    request: Vec<u8>,
    /// What of the answer has come, and when the last of it did.
    bytes: Vec<u8>,
    came: Option<Instant>,
    /// When the wait that it asks for is over.
    due: Instant,
    timeouts: CallTimeouts,
}

impl Call {
    /// Asks on this line from a version on, for as long as it may wait for news; or for the whole list.
    pub(crate) fn begin(
        place: &Place,
        line: Line,
        from: Option<u64>,
        hold: Duration,
        timeouts: CallTimeouts,
    ) -> io::Result<Self> {
        place.ends(&line)?;
        let path = match from {
            None => "/v1/servers".to_owned(),
            Some(rev) => format!("/v1/servers?from={rev}&hold_ms={}", hold.as_millis()),
        };
        let host = line.address;
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
        let due = Instant::now() + if from.is_some() { hold } else { Duration::ZERO };
        Ok(Self {
            line,
            from,
            request: request.into_bytes(),
            bytes: vec![],
            came: None,
            due,
            timeouts,
        })
    }

    pub(crate) fn leads_to(&self, address: SocketAddr) -> bool {
        self.line.leads_to(address)
    }

    /// The connection, to be used again.
    pub(crate) fn line(self) -> Line {
        self.line
    }

    /// From when on it is late, if nothing more comes.
    fn late_at(&self) -> Instant {
        let late = self.due + self.timeouts.late;
        let pieces = self
            .came
            .map(|came| (came + self.timeouts.late).min(self.due + self.timeouts.pieces));
        pieces.map_or(late, |pieces| pieces.max(late))
    }

    fn ends_at(&self) -> Instant {
        self.due + self.timeouts.end
    }

    fn waits_for(&self) -> PollFd<'_> {
        let flags = if self.request.is_empty() {
            PollFlags::IN
        } else {
            PollFlags::OUT
        };
        PollFd::new(&*self.line.stream, flags)
    }

    /// Writes and reads what goes at once.
    fn go_on(&mut self) -> io::Result<Option<Answer>> {
        if !self.request.is_empty() {
            self.write()?;
        }
        if self.request.is_empty() {
            self.read()
        } else {
            Ok(None)
        }
    }

    fn write(&mut self) -> io::Result<()> {
        if let Some(e) = self.line.stream.take_error()? {
            return Err(e);
        }
        match (&*self.line.stream).write(&self.request) {
            Ok(written) => drop(self.request.drain(..written)),
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                ) => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }

    fn read(&mut self) -> io::Result<Option<Answer>> {
        let mut some = [0; 16 * 1024];
        let mut spoilt = None;
        let ended = loop {
            match (&*self.line.stream).read(&mut some) {
                Ok(0) => break true,
                Ok(count) => {
                    self.bytes.extend_from_slice(&some[..count]);
                    self.came = Some(Instant::now());
                    if count < some.len() || http::is_too_long(&self.bytes) {
                        break false;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break false,
                Err(e) => {
                    spoilt = Some(e);
                    break false;
                }
            }
        };
        // An answer that was whole by its own word before a reset is whole; a reset is no end of any other.
        match (
            http::answer(&self.bytes, ended).map_err(io::Error::other)?,
            spoilt,
        ) {
            (Some(answer), None) => Ok(Some(answer)),
            (Some(answer), Some(_)) => Ok(Some(Answer {
                keep: false,
                ..answer
            })),
            (None, Some(e)) => Err(e),
            (None, None) => Ok(None),
        }
    }
}

/// Waits until one of these calls is answered, or until the last of them has failed (and is gone) or is late.
///
/// # Errors
/// Of the last one: what it failed of, or that it is late.
pub(crate) fn first(out: &mut Vec<Call>) -> io::Result<(Call, Answer)> {
    loop {
        // From the last on, so that the places of those before it stay as they are.
        let ready = ready(out)?;
        let mut failed = None;
        for at in (0..ready.len()).rev().filter(|at| ready[*at]) {
            match out[at].go_on() {
                Ok(None) => {}
                Ok(Some(answer)) => return Ok((out.remove(at), answer)),
                Err(e) => {
                    out.remove(at);
                    failed = failed.or((at + 1 == ready.len()).then_some(e));
                }
            }
        }
        if let Some(e) = failed {
            return Err(e);
        }
        let now = Instant::now();
        let late = out.last().is_none_or(|last| last.late_at() <= now);
        out.retain(|call| call.ends_at() > now);
        if late {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "no answer"));
        }
    }
}

/// Waits until one of these calls can go on, until the last is late, or until one is to be given up: which can go on.
fn ready(out: &[Call]) -> io::Result<Vec<bool>> {
    let until = out
        .iter()
        .map(Call::ends_at)
        .chain(out.last().map(Call::late_at))
        .min();
    let mut lines: Vec<PollFd<'_>> = out.iter().map(Call::waits_for).collect();
    loop {
        let left = until.map_or(Duration::ZERO, |at| {
            at.saturating_duration_since(Instant::now())
        });
        let left = Timespec::try_from(left).unwrap_or_default();
        match poll(&mut lines, Some(&left)) {
            Ok(_) => {
                return Ok(lines
                    .iter()
                    .map(|line| !line.revents().is_empty())
                    .collect());
            }
            // As after a stop of the process: what has come meanwhile is looked for before anything counts as late.
            Err(Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
    }
}
