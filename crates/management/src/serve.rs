//! The sockets round the table.

use crate::call::{Call, HEAD};
use crate::table::{Room, Stage, Table};
use crate::{ManagementEndpoint, Source};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// So many callers may wait to be accepted: more than a burst brings while the thread has no core.
const BACKLOG: i32 = 1024;
/// So many are accepted before the others are looked at again.
const ACCEPTS: usize = 64;
/// So many pieces of a body are dropped at once.
const PIECES: usize = 16;
/// So long nobody is accepted after the system refused to.
const PAUSE: Duration = Duration::from_millis(10);
/// Set aside for each place; a longer answer grows it until the call ends.
const BUFFER: usize = 2 * HEAD;

/// One place: its connection, and the bytes of the head, later of the answer.
struct Place {
    stream: Option<TcpStream>,
    bytes: Vec<u8>,
    written: usize,
}

pub(crate) struct Serving {
    listener: TcpListener,
    source: Arc<dyn Source>,
    table: Table,
    places: Vec<Place>,
    /// What is read goes here first.
    scratch: Box<[u8]>,
    /// Which places have something to do: the last poll's word.
    ready: Vec<bool>,
    /// Nobody is accepted before then.
    paused: Option<Instant>,
}

impl Serving {
    pub(crate) fn new(door: ManagementEndpoint, source: Arc<dyn Source>) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(door.listen),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&door.listen.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let table = Table::new(door.places, door.patience);
        let place = |_| Place {
            stream: None,
            bytes: Vec::with_capacity(BUFFER),
            written: 0,
        };
        let places = (0..table.places()).map(place).collect();
        let ready = vec![false; table.places()];
        let scratch = vec![0; HEAD].into_boxed_slice();
        Ok(Self {
            listener: socket.into(),
            source,
            table,
            places,
            scratch,
            ready,
            paused: None,
        })
    }

    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Ends what has had its time, waits for something to do, and does it.
    pub(crate) fn turn(&mut self) {
        let now = Instant::now();
        while let Some(place) = self.table.overdue(now) {
            self.expire(place);
        }
        self.paused = self.paused.filter(|&until| until > now);
        let later = match self.table.room(now) {
            Room::Later(then) => Some(then),
            Room::Free(_) | Room::After(_) => None,
        };
        let accepting = self.paused.is_none() && later.is_none();
        let until = [self.paused, later, self.table.next()]
            .into_iter()
            .flatten()
            .min();
        let newcomers = self.wait(accepting, until.map(|until| until - now));
        for place in 0..self.places.len() {
            if std::mem::take(&mut self.ready[place]) {
                self.serve(place);
            }
        }
        if newcomers {
            self.accept();
        }
    }

    /// Waits until a call can go on, the time is over or, if wanted, somebody new has come; says whether one has.
    fn wait(&mut self, accepting: bool, time: Option<Duration>) -> bool {
        let mut fds = Vec::with_capacity(self.places.len() + 1);
        let wanted = |stage| {
            if stage == Stage::Answering {
                PollFlags::OUT
            } else {
                PollFlags::IN
            }
        };
        for (place, held) in self.places.iter().enumerate() {
            if let (Some(stream), Some(stage)) = (&held.stream, self.table.stage(place)) {
                fds.push((Some(place), PollFd::new(stream, wanted(stage))));
            }
        }
        if accepting {
            fds.push((None, PollFd::new(&self.listener, PollFlags::IN)));
        }
        let (whose, mut fds): (Vec<_>, Vec<_>) = fds.into_iter().unzip();
        let time = time.and_then(|time| Timespec::try_from(time).ok());
        match poll(&mut fds, time.as_ref()) {
            Ok(_) => {}
            Err(Errno::INTR) => return false,
            Err(_) => {
                std::thread::sleep(PAUSE);
                return false;
            }
        }
        let mut newcomers = false;
        for (whose, _) in whose
            .into_iter()
            .zip(&fds)
            .filter(|(_, fd)| !fd.revents().is_empty())
        {
            match whose {
                Some(place) => self.ready[place] = true,
                None => newcomers = true,
            }
        }
        newcomers
    }

    /// Gives places to those who wait at the listener, as far as there is room.
    fn accept(&mut self) {
        for _ in 0..ACCEPTS {
            let now = Instant::now();
            let place = match self.table.room(now) {
                Room::Free(place) => place,
                Room::After(place) => {
                    self.spare(place);
                    continue;
                }
                Room::Later(_) => return,
            };
            match self.listener.accept() {
                Ok((stream, _)) if stream.set_nonblocking(true).is_ok() => {
                    self.places[place].stream = Some(stream);
                    self.table.begin(place, now);
                    self.serve(place);
                }
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(_) => {
                    self.paused = Some(now + PAUSE);
                    return;
                }
            }
        }
    }

    /// Sends a call away for a newcomer, unless it has gone on meanwhile.
    fn spare(&mut self, place: usize) {
        let before = self.table.stage(place);
        self.serve(place);
        if self.table.stage(place) == before {
            self.end(place);
        }
    }

    /// Ends a call that has had its time; who has sent half a head is told.
    fn expire(&mut self, place: usize) {
        let begun = !self.places[place].bytes.is_empty();
        if begun && self.table.stage(place) == Some(Stage::Reading) {
            self.answer(place, &Call::More);
            let _ = self.write(place);
        }
        self.end(place);
    }

    fn end(&mut self, place: usize) {
        self.table.end(place);
        let held = &mut self.places[place];
        held.stream = None;
        held.bytes.clear();
        held.bytes.shrink_to(BUFFER);
        held.written = 0;
    }

    /// Takes a call as far as it goes without waiting.
    fn serve(&mut self, place: usize) {
        loop {
            let Some(stage) = self.table.stage(place) else {
                return;
            };
            let done = match stage {
                Stage::Reading => self.read(place),
                Stage::Answering => self.write(place),
                Stage::Draining => self.drain(place),
            };
            match done {
                Ok(Some(stage)) => self.table.advance(place, stage, Instant::now()),
                Ok(None) => return self.end(place),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.end(place),
            }
        }
    }

    /// Reads on in the head; what comes next, or nothing if the caller has gone.
    fn read(&mut self, place: usize) -> io::Result<Option<Stage>> {
        let held = &mut self.places[place];
        let Some(stream) = &mut held.stream else {
            return Ok(None);
        };
        loop {
            let length = stream.read(&mut self.scratch[..HEAD - held.bytes.len()])?;
            held.bytes.extend_from_slice(&self.scratch[..length]);
            if held.bytes.is_empty() {
                return Ok(None);
            }
            let call = Call::read(&held.bytes, length == 0);
            if call != Call::More {
                self.answer(place, &call);
                return Ok(Some(Stage::Answering));
            }
        }
    }

    fn answer(&mut self, place: usize, call: &Call) {
        let held = &mut self.places[place];
        call.answer(&*self.source, &mut held.bytes);
        held.written = 0;
    }

    /// Writes on in the answer.
    fn write(&mut self, place: usize) -> io::Result<Option<Stage>> {
        let held = &mut self.places[place];
        let Some(stream) = &mut held.stream else {
            return Ok(None);
        };
        while held.written < held.bytes.len() {
            match stream.write(&held.bytes[held.written..])? {
                0 => return Ok(None),
                length => held.written += length,
            }
        }
        stream.shutdown(Shutdown::Write)?;
        Ok(Some(Stage::Draining))
    }

    /// Drops what still comes, some of it at once; an error says that there is nothing now.
    fn drain(&mut self, place: usize) -> io::Result<Option<Stage>> {
        let Some(stream) = &mut self.places[place].stream else {
            return Ok(None);
        };
        for _ in 0..PIECES {
            if stream.read(&mut self.scratch)? == 0 {
                return Ok(None);
            }
        }
        Err(ErrorKind::WouldBlock.into())
    }
}
