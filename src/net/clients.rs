//! Connections from clients: one thread accepts, each connection has a thread that reads and one that writes.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};

use valehatch::{Span, Time};

use super::{lock, spawn};
use crate::core::{Answer, Ask, ClientId, Clock, Event, Room};

/// How long a write to a client may stand still before the client counts as gone.
const STUCK: Duration = Duration::from_secs(3);
/// A connection without an open request is closed after this long: some ask once and stay for ever, others
/// never ask, and each holds descriptors that requests need. A message that has begun must be whole by then.
const IDLE: Span = Span::from_millis(2_000);
/// A new connection is left in peace for so long: what it asks may be on its way.
const SETTLES: Span = Span::from_millis(100);
/// How long, and for how many bytes, a client is listened to after the last word to it.
const LAST_WORD: Span = Span::from_millis(300);
const DRAINED: usize = 1024 * 1024;
/// How often a reading thread that waits looks at the time.
const LOOK: Duration = Duration::from_millis(250);

/// A session with a client, in the protocol of one front.
pub trait Serves: Send + Sync + 'static {
    /// Reads until the client leaves or breaks the protocol. `full` is set for a connection over the limit,
    /// whose requests are refused.
    fn serve(&self, from: &mut Incoming, session: &Session, full: bool) -> io::Result<()>;
    /// The bytes of an answer.
    fn encode(&self, ticket: u64, answer: Answer) -> Vec<u8>;
    /// Whether answers leave in the order of their requests, by ticket from 0.
    fn ordered(&self) -> bool;
    /// Requests that a connection may have open; a client that sends more waits.
    fn pipeline(&self) -> usize;
}

enum Out {
    Answer(u64, Answer),
    Bytes(u64, Vec<u8>),
    /// Something that is no answer; in an ordered protocol it leaves at once.
    Aside(Vec<u8>),
}

/// What a connection is doing, so that it is never ended under a request that has been read.
struct Gate {
    /// A message has begun to come in.
    reading: bool,
    /// What the client is owed.
    open: usize,
    /// The client has asked something before.
    asked: bool,
    /// When the connection came up or was last used, and how long it may go on without an open request.
    since: Time,
    idle: Span,
    /// It is to end as soon as nothing is open.
    closing: bool,
    ended: bool,
}

/// A connection; it counts as held until its descriptor is given back.
struct Line {
    stream: TcpStream,
    gate: Mutex<Gate>,
    clock: Clock,
    held: Arc<AtomicUsize>,
}

impl Line {
    /// Ends the connection if nothing is open on it and `when` holds.
    fn end_if(&self, when: impl Fn(&Gate) -> bool) -> bool {
        let mut gate = lock(&self.gate);
        let ends = !gate.reading && gate.open == 0 && when(&gate);
        if ends {
            gate.ended = true;
            let _ = self.stream.shutdown(Shutdown::Both);
        }
        ends
    }

    /// Notes that something has begun or ended on the connection.
    fn note(&self, what: impl Fn(&mut Gate)) {
        let mut gate = lock(&self.gate);
        what(&mut gate);
        gate.since = self.clock.now();
        drop(gate);
        self.end_if(|g| g.closing);
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.held.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads from a client, with patience for as long as the connection may stand idle.
struct Patient(Arc<Line>);

impl Read for Patient {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        loop {
            let got = (&self.0.stream).read(into);
            let now = self.0.clock.now();
            // Half a message that comes to no end is ended as silence is, however it drips in.
            let gate = lock(&self.0.gate);
            let stale = gate.reading && gate.since + IDLE < now;
            drop(gate);
            // A process that was stopped for a while comes back from a timed read interrupted.
            let pauses = [ErrorKind::WouldBlock, ErrorKind::TimedOut, ErrorKind::Interrupted];
            let waits = matches!(&got, Err(e) if pauses.contains(&e.kind()));
            if stale || waits && self.0.end_if(|g| g.since + g.idle < now) {
                return Err(ErrorKind::TimedOut.into());
            }
            if !waits {
                return got;
            }
        }
    }
}

/// What a client sends.
pub struct Incoming(BufReader<Patient>);

impl Incoming {
    /// Waits for the next message to begin; false at the end of the connection.
    pub fn begins(&mut self) -> io::Result<bool> {
        let some = !self.0.fill_buf()?.is_empty();
        let mut gate = lock(&self.0.get_ref().0.gate);
        if gate.ended {
            return Ok(false);
        }
        if !gate.reading {
            (gate.reading, gate.since) = (some, self.0.get_ref().0.clock.now());
        }
        Ok(some)
    }

    /// The message that had begun has been dealt with.
    pub fn ends(&self) {
        self.0.get_ref().0.note(|g| g.reading = false);
    }

    /// Takes in some of what a client still sends behind a last word, which a reset would tear away from it.
    pub fn drain(&mut self) {
        let until = self.0.get_ref().0.clock.now() + LAST_WORD;
        let (mut left, mut some) = (DRAINED, [0; 4096]);
        while left > 0 && self.0.get_ref().0.clock.now() < until {
            match self.0.read(&mut some) {
                Ok(n @ 1..) => left = left.saturating_sub(n),
                _ => return,
            }
        }
    }

    /// Writes at once, past the queue: only before anything else was said.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.0.get_ref().0.stream).write_all(bytes)
    }
}

impl Read for Incoming {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.0.read(into)
    }
}

/// A connection as its reading thread sees it.
pub struct Session {
    id: ClientId,
    events: Sender<Event>,
    out: Sender<Out>,
    permits: Sender<()>,
    line: Arc<Line>,
    all: Arc<Clients>,
}

impl Session {
    /// Room for the bytes of a request, while all that are open leave some.
    pub fn room(&self, bytes: usize) -> Option<Room> {
        Room::take(&self.all.bytes, bytes, self.all.limits.bytes)
    }

    /// Hands a request to the core.
    pub fn ask(&self, ticket: u64, ask: Ask) -> io::Result<()> {
        self.permit()?;
        lock(&self.line.gate).asked = true;
        let event = Event::Asked { client: self.id, ticket, ask };
        self.events.send(event).map_err(|_| io::ErrorKind::BrokenPipe.into())
    }

    /// Answers without the core.
    pub fn reply(&self, ticket: u64, bytes: Vec<u8>) -> io::Result<()> {
        self.permit()?;
        self.out.send(Out::Bytes(ticket, bytes)).map_err(|_| io::ErrorKind::BrokenPipe.into())
    }

    /// Says something that answers no request.
    pub fn say(&self, bytes: Vec<u8>) -> io::Result<()> {
        self.permit()?;
        self.out.send(Out::Aside(bytes)).map_err(|_| io::ErrorKind::BrokenPipe.into())
    }

    /// Lets the connection stand idle for longer, where the protocol's clients keep theirs.
    pub fn stay(&self, idle: Span) {
        lock(&self.line.gate).idle = idle;
    }

    fn permit(&self) -> io::Result<()> {
        self.permits.send(()).map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        lock(&self.line.gate).open += 1;
        Ok(())
    }
}

struct Handle {
    out: Sender<Out>,
    line: Arc<Line>,
}

/// All connections from clients.
pub struct Clients {
    front: Arc<dyn Serves>,
    events: Sender<Event>,
    clock: Clock,
    handles: Mutex<HashMap<ClientId, Handle>>,
    held: Arc<AtomicUsize>,
    bytes: Arc<AtomicUsize>,
    limits: Limits,
    stopped: AtomicBool,
}

/// What all clients together may take up.
#[derive(Clone, Copy)]
pub struct Limits {
    pub connections: usize,
    /// Of requests that are open.
    pub bytes: usize,
}

/// Connections over the limit that may be held at once to be refused.
const REFUSED: usize = 16;

impl Clients {
    pub fn new(front: Arc<dyn Serves>, events: Sender<Event>, clock: Clock, limits: Limits) -> Arc<Self> {
        let (handles, held, bytes) = (Mutex::default(), Arc::default(), Arc::default());
        Arc::new(Self { front, events, clock, handles, held, bytes, limits, stopped: AtomicBool::new(false) })
    }

    /// Listens on an address, and on no other.
    pub fn listen(self: &Arc<Self>, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let bound = listener.local_addr()?;
        let all = Arc::clone(self);
        spawn("accept", move || all.accept(&listener, bound))?;
        Ok(bound)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, bound: SocketAddr) {
        let mut next = 0;
        loop {
            // At the very limit of descriptors new connections wait in the listener's queue.
            while self.held.load(Ordering::Relaxed) >= self.limits.connections + REFUSED {
                let _ = self.make_room();
                sleep(Duration::from_millis(2));
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    next += 1;
                    if let Err(e) = self.begin(ClientId(next), stream) {
                        crate::log!("a connection from a client could not be served: {e}");
                    }
                }
                Err(e) => {
                    crate::log!("accept on {bound}: {e}");
                    sleep(Duration::from_millis(5));
                }
            }
            if self.stopped.load(Ordering::Relaxed) {
                break;
            }
        }
        // What the machine has accepted for this listener counts as taken: it is not left to a reset.
        if listener.set_nonblocking(true).is_ok() {
            for stream in listener.incoming().map_while(Result::ok) {
                next += 1;
                let _ = stream.set_nonblocking(false).and_then(|()| self.begin(ClientId(next), stream));
            }
        }
    }

    /// Ends the connection that has been of no use for the longest: one that never asked anything first.
    fn make_room(&self) -> bool {
        let handles = lock(&self.handles);
        let settled = self.clock.now() - SETTLES;
        let idle = |h: &&Handle| {
            let gate = lock(&h.line.gate);
            let idle = !gate.reading && gate.open == 0 && !gate.ended && (gate.asked || gate.since < settled);
            idle.then_some((gate.asked, gate.since))
        };
        let oldest = handles.values().filter_map(|h| Some((idle(&h)?, h))).min_by_key(|(rank, _)| *rank);
        oldest.is_some_and(|(_, h)| h.line.end_if(|g| !g.ended))
    }

    fn begin(self: &Arc<Self>, id: ClientId, stream: TcpStream) -> io::Result<()> {
        let full = self.held.fetch_add(1, Ordering::Relaxed) >= self.limits.connections;
        let since = self.clock.now();
        let gate =
            Gate { reading: false, open: 0, asked: false, since, idle: IDLE, closing: false, ended: false };
        let (gate, held) = (Mutex::new(gate), Arc::clone(&self.held));
        let line = Arc::new(Line { stream, gate, clock: self.clock, held });
        line.stream.set_nodelay(true)?;
        line.stream.set_read_timeout(Some(LOOK))?;
        line.stream.set_write_timeout(Some(STUCK))?;
        let full = full && !self.make_room();
        // A permit is taken for each thing to be written and given back after it, so this never overflows;
        // the end of the connection is said once and needs none.
        let pipeline = self.front.pipeline();
        let (out, todo) = bounded(pipeline + 2);
        let (permits, done) = bounded(pipeline);
        lock(&self.handles).insert(id, Handle { out: out.clone(), line: Arc::clone(&line) });
        let events = self.events.clone();
        let session = Session { id, events, out, permits, line: Arc::clone(&line), all: Arc::clone(self) };
        let writer = Writer { line: Arc::clone(&line), front: Arc::clone(&self.front) };
        let all = Arc::clone(self);
        let started = spawn("client out", move || writer.run(&todo, &done)).and_then(|()| {
            spawn("client in", move || {
                let _ = all.events.send(Event::Connected(id));
                let mut from = Incoming(BufReader::with_capacity(4096, Patient(line)));
                if let Err(e) = all.front.serve(&mut from, &session, full)
                    && e.kind() == io::ErrorKind::InvalidData
                {
                    crate::log!("a client broke the protocol: {e}");
                }
                all.end(id);
            })
        });
        if started.is_err() {
            self.end(id);
        }
        started
    }

    fn end(&self, id: ClientId) {
        let _ = self.events.send(Event::Disconnected(id));
        lock(&self.handles).remove(&id);
    }

    /// Passes an answer on; never waits.
    pub fn answer(&self, client: ClientId, ticket: u64, answer: Answer) {
        let handles = lock(&self.handles);
        let Some(handle) = handles.get(&client) else { return };
        if handle.out.try_send(Out::Answer(ticket, answer)).is_err() {
            let _ = handle.line.stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends a connection, once all that came over it is answered.
    pub fn close(&self, client: ClientId) {
        let handles = lock(&self.handles);
        let Some(handle) = handles.get(&client) else { return };
        lock(&handle.line.gate).closing = true;
        handle.line.end_if(|_| true);
    }

    /// Takes no more connections.
    pub fn stop(&self, bound: SocketAddr) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts; the connection itself is of no use. The core's thread must not wait.
        let wake = move || drop(TcpStream::connect_timeout(&bound, Duration::from_secs(1)));
        if let Err(e) = spawn("stop", wake) {
            crate::log!("the listener stays open until the program ends: {e}");
        }
    }
}

struct Writer {
    line: Arc<Line>,
    front: Arc<dyn Serves>,
}

impl Writer {
    fn run(&self, todo: &Receiver<Out>, done: &Receiver<()>) {
        let mut waiting: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
        let mut next = 0;
        for out in todo {
            let mut ready = vec![];
            let mut count = 1;
            let (ticket, bytes) = match out {
                Out::Aside(bytes) => {
                    ready = bytes;
                    (None, vec![])
                }
                Out::Bytes(ticket, bytes) => (Some(ticket), bytes),
                Out::Answer(ticket, answer) => (Some(ticket), self.front.encode(ticket, answer)),
            };
            match ticket {
                Some(ticket) if self.front.ordered() => {
                    waiting.insert(ticket, bytes);
                    count = 0;
                    while let Some(bytes) = waiting.remove(&next) {
                        ready.extend_from_slice(&bytes);
                        next += 1;
                        count += 1;
                    }
                }
                Some(_) => ready = bytes,
                None => {}
            }
            if !ready.is_empty() && (&self.line.stream).write_all(&ready).is_err() {
                break;
            }
            for _ in 0..count {
                let _ = done.try_recv();
            }
            self.line.note(|g| g.open -= count);
        }
        // The reading thread and the table have let go, so what was to be written has been; or it cannot be.
        let _ = self.line.stream.shutdown(Shutdown::Both);
    }
}
