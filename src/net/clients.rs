//! Connections from clients: one thread accepts, each connection has a thread that reads and one that writes.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};

use super::{lock, spawn};
use crate::core::{Answer, Ask, ClientId, Event};

/// Requests that a connection may have open; a client that sends more waits.
pub const PIPELINE: usize = 64;
/// How long a write to a client may stand still before the client counts as gone.
const STUCK: Duration = Duration::from_secs(10);

/// A session with a client, in the protocol of one front.
pub trait Serves: Send + Sync + 'static {
    /// Reads until the client leaves or breaks the protocol. `full` is set for a connection over the limit,
    /// whose requests are refused.
    fn serve(&self, stream: &TcpStream, session: &Session, full: bool) -> io::Result<()>;
    /// The bytes of an answer.
    fn encode(&self, ticket: u64, answer: Answer) -> Vec<u8>;
    /// Whether answers leave in the order of their requests, by ticket from 0.
    fn ordered(&self) -> bool;
}

enum Out {
    Answer(u64, Answer),
    Bytes(u64, Vec<u8>),
    /// Something that is no answer; in an ordered protocol it leaves at once.
    Aside(Vec<u8>),
    /// The connection ends, after all that was said before.
    Close,
}

/// A connection as its reading thread sees it.
pub struct Session {
    id: ClientId,
    events: Sender<Event>,
    out: Sender<Out>,
    permits: Sender<()>,
}

impl Session {
    /// Hands a request to the core.
    pub fn ask(&self, ticket: u64, ask: Ask) -> io::Result<()> {
        self.permit()?;
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

    fn permit(&self) -> io::Result<()> {
        self.permits.send(()).map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}

struct Handle {
    out: Sender<Out>,
    stream: Arc<TcpStream>,
}

/// All connections from clients.
pub struct Clients {
    front: Arc<dyn Serves>,
    events: Sender<Event>,
    handles: Mutex<HashMap<ClientId, Handle>>,
    held: AtomicUsize,
    most: usize,
    stopped: AtomicBool,
}

/// Connections over the limit that may be held at once to be refused.
const REFUSED: usize = 16;

impl Clients {
    pub fn new(front: Arc<dyn Serves>, events: Sender<Event>, most: usize) -> Arc<Self> {
        let (handles, held) = (Mutex::default(), AtomicUsize::new(0));
        Arc::new(Self { front, events, handles, held, most, stopped: AtomicBool::new(false) })
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
            while self.held.load(Ordering::Relaxed) >= self.most + REFUSED {
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

    fn begin(self: &Arc<Self>, id: ClientId, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(STUCK))?;
        let stream = Arc::new(stream);
        // A permit is taken for each thing to be written and given back after it, so this never overflows;
        // the end of the connection is said once and needs none.
        let (out, todo) = bounded(PIPELINE + 2);
        let (permits, done) = bounded(PIPELINE);
        let full = self.held.fetch_add(1, Ordering::Relaxed) >= self.most;
        lock(&self.handles).insert(id, Handle { out: out.clone(), stream: Arc::clone(&stream) });
        let session = Session { id, events: self.events.clone(), out, permits };
        let writer = Writer { stream: Arc::clone(&stream), front: Arc::clone(&self.front) };
        let all = Arc::clone(self);
        let started = spawn("client out", move || writer.run(&todo, &done)).and_then(|()| {
            spawn("client in", move || {
                let _ = all.events.send(Event::Connected(id));
                if let Err(e) = all.front.serve(&stream, &session, full)
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
        if lock(&self.handles).remove(&id).is_some() {
            self.held.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Passes an answer on; never waits.
    pub fn answer(&self, client: ClientId, ticket: u64, answer: Answer) {
        let handles = lock(&self.handles);
        let Some(handle) = handles.get(&client) else { return };
        if handle.out.try_send(Out::Answer(ticket, answer)).is_err() {
            let _ = handle.stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends a connection, once the answers that were passed on before are written.
    pub fn close(&self, client: ClientId) {
        let handles = lock(&self.handles);
        let Some(handle) = handles.get(&client) else { return };
        if handle.out.try_send(Out::Close).is_err() {
            let _ = handle.stream.shutdown(Shutdown::Both);
        }
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
    stream: Arc<TcpStream>,
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
                Out::Close => break,
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
            if !ready.is_empty() && (&mut &*self.stream).write_all(&ready).is_err() {
                let _ = self.stream.shutdown(Shutdown::Both);
                return;
            }
            for _ in 0..count {
                let _ = done.try_recv();
            }
        }
        // The reading thread and the table have let go: what was to be written has been.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
