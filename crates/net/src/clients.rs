//! Connections from clients: one thread accepts, some few wait for those that rest, and whoever of these gets one reads what has
//! come. Answers are written by whoever has them; a client that does not take one at once gets a thread for that.

mod line;
mod outbox;
mod rests;

pub(crate) use outbox::BUFFER;
pub use outbox::ResponseBody;

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Socket, Type};

use valehatch_connection_limits::{ANSWER_SETTLE_TIME, AdmissionDecision};
use valehatch_policy::{GroupId, Span};
use valehatch_request_log::RejectionReason;

use super::{lock, spawn};
use crate::Clock;
use crate::connection_limits::SharedConnectionLimiter;
use crate::pipe::Budget;
use line::{AT_ONCE, Gate, LINGER_BYTES, Line, Patient, Waits};
use outbox::Outbox;
use rests::{Resting, Rests};
use valehatch_core::{ClientId, Event, FinalAnswer, IncomingRequest, MemoryReservation};

/// How long a write to a client may stand still before the client counts as gone: some take seconds to read.
const STUCK: Duration = Duration::from_secs(10);
/// One that came back to ask again may stay for so long while nobody needs its place: clients that open a new one for lack of it cost
/// more, and while gateways restart in turn it may be all that they have.
const KEPT: Span = Span::from_millis(10_000);
/// How often a thread that accepts looks whether it is still to.
const ACCEPTS: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 50_000_000,
};
/// Once no more is to be taken, connections are still served for as long as they come, up to this: one that comes up as the
/// listener is given back is reset. Not for longer, since another process may wait for them at the same address.
const STILL_COME: Duration = Duration::from_millis(500);
/// How long the program's end waits for what is still on its way from clients and to them.
const EXITS: Duration = Duration::from_millis(50);
/// How often a reading thread that waits looks at the time.
const LOOK: Duration = Duration::from_millis(100);

/// A session with a client, in the protocol of one front.
pub trait RequestHandler: Send + Sync + 'static {
    /// Reads until nothing more has come, or the client leaves or breaks the protocol.
    fn serve(&self, at: &mut Progress, from: &mut Incoming, session: &Session) -> io::Result<Talk>;
    /// The bytes of an answer.
    fn encode(&self, ticket: u64, answer: FinalAnswer) -> Vec<u8>;
    /// Whether answers leave in the order of their requests, by ticket from 0.
    fn ordered(&self) -> bool;
    /// Requests that a connection may have open; a client that sends more waits.
    fn pipeline(&self) -> usize;
    /// The last word on a connection that is ended with nothing open on it, for a client that has asked something
    /// meanwhile: nothing ran, and when to come back. Empty where the protocol has no word for that.
    fn farewell(&self, after: Span) -> Vec<u8>;
}

/// Where a session stands between two messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// The protocol's opening is through.
    pub opened: bool,
    /// The ticket of the next message, where answers leave in the order of their requests.
    pub next: u64,
    /// Messages so far that could not be understood.
    pub faults: usize,
}

/// How a session goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Talk {
    /// Nothing more has come.
    Rests,
    /// The client has left, or has broken the protocol.
    Over,
}

/// What comes next from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// A message has begun to come in.
    Message,
    /// Nothing has come in yet.
    Nothing,
    /// The connection is over.
    End,
}

/// What a client sends.
pub struct Incoming {
    from: BufReader<Patient>,
}

impl Incoming {
    fn new(line: Arc<Line>) -> Self {
        Self {
            from: BufReader::with_capacity(4096, Patient::new(line)),
        }
    }

    fn line(&self) -> &Arc<Line> {
        &self.from.get_ref().line
    }

    /// What comes next; takes nothing, and waits for nothing. What a client had sent before it left still comes, and does not
    /// run.
    pub fn begins(&mut self) -> io::Result<Next> {
        if self.line().over().is_some() {
            return Ok(self.swallow());
        }
        match self.line().waits() {
            Waits::End => lock(&self.line().gate).left = true,
            Waits::Nothing if self.from.buffer().is_empty() => return Ok(Next::Nothing),
            Waits::Nothing | Waits::Bytes => {}
        }
        let some = !self.from.fill_buf()?.is_empty();
        Ok(if some && !lock(&self.line().gate).ended {
            Next::Message
        } else {
            Next::End
        })
    }

    /// The message that had begun has been dealt with; the next may have come in along with it.
    pub fn ends(&self) {
        let more = !self.from.buffer().is_empty();
        self.line().note(|g| (g.reading, g.whole) = (more, false));
    }

    /// Ends the connection from this side: the last word is said once all that is owed has been, and what the client still
    /// sends is taken in for a moment, since a reset would tear that word away. Over at once where the client has left.
    pub fn finish(&mut self, word: Vec<u8>) -> Talk {
        let line = Arc::clone(self.line());
        // Where nothing can be said any more, only the end is left to be taken in.
        if line.over().is_none()
            && line.waits() != Waits::End
            && let Ok(gate) = line.owed_less(1)
        {
            line.part(gate, word);
        }
        if self.swallow() == Next::Nothing {
            Talk::Rests
        } else {
            Talk::Over
        }
    }

    fn swallow(&mut self) -> Next {
        self.from.consume(self.from.buffer().len());
        self.from.get_mut().swallow()
    }

    /// Writes at once, past the queue: only before anything else was said.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.line().stream).write_all(bytes)
    }
}

impl Read for Incoming {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.from.read(into)
    }
}

/// A connection as its reading thread sees it.
pub struct Session {
    id: ClientId,
    events: Sender<Event>,
    line: Arc<Line>,
    all: Arc<Clients>,
}

impl Session {
    /// Room for a request and its bytes, while all that are open leave some, and answers on their way too.
    pub fn room(&self, bytes: usize) -> Result<MemoryReservation, RejectionReason> {
        let mut gate = lock(&self.line.gate);
        gate.whole = true;
        self.line.tell(&mut gate);
        drop(gate);
        self.all.make_room();
        if self.all.places.ask() == AdmissionDecision::Reject {
            return Err(RejectionReason::OutOfConnections);
        }
        let most = self.all.most.load(Ordering::Relaxed);
        let room = MemoryReservation::try_acquire(&self.all.bytes, bytes, most)
            .filter(|_| !self.all.passed.is_full());
        room.ok_or(RejectionReason::OutOfMemory)
    }

    /// Who asks: the connection, which is all that tells clients apart.
    pub const fn client(&self) -> u64 {
        self.id.0
    }

    /// Hands a request to the core, if its client is still there.
    pub fn ask(&self, ticket: u64, ask: IncomingRequest) -> io::Result<()> {
        let left = lock(&self.line.gate).left;
        match if left {
            Err(ErrorKind::ConnectionAborted.into())
        } else {
            self.line.owe()
        } {
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => {
                self.call_off(&ask);
                return Ok(());
            }
            other => other?,
        }
        let mut gate = lock(&self.line.gate);
        gate.asked = gate.asked.saturating_add(1);
        // One that has asked once stays for as long as one that has not. Where the front has its clients stay for longer, that holds.
        if gate.asked > 1 {
            gate.idle = gate.idle.max(KEPT);
        }
        drop(gate);
        let event = Event::RequestReceived {
            client: self.id,
            ticket,
            request: ask,
        };
        self.events
            .send(event)
            .map_err(|_| io::ErrorKind::BrokenPipe.into())
    }

    /// The client has left: what else is open of it is called off now, and this does not begin.
    fn call_off(&self, ask: &IncomingRequest) {
        let told = std::mem::replace(&mut lock(&self.line.gate).called_off, true);
        let gone = (!told).then_some(Event::ClientDisconnected(self.id));
        let (class, tenant, group) = (ask.class, ask.tenant, ask.group);
        let counted = self.all.watched.then_some(Event::RequestAbandoned {
            class,
            tenant,
            group,
        });
        // A core that has ended counts nothing any more.
        gone.into_iter()
            .chain(counted)
            .for_each(|event| drop(self.events.send(event)));
    }

    /// Says of a request that this front refused it itself.
    pub fn declined(
        &self,
        class: usize,
        tenant: Option<usize>,
        group: GroupId,
        why: RejectionReason,
    ) {
        if self.all.watched {
            let _ = self.events.send(Event::RequestRejected {
                class,
                tenant,
                group,
                reason: why,
            });
        }
    }

    /// Answers without the core.
    pub fn reply(&self, ticket: u64, bytes: Vec<u8>) -> io::Result<()> {
        match self.line.owe() {
            // It has left while it was owed too much.
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => return Ok(()),
            other => other?,
        }
        self.line.put(Some(ticket), bytes);
        Ok(())
    }

    /// Says something that answers no request.
    pub fn say(&self, bytes: Vec<u8>) -> io::Result<()> {
        self.line.owe()?;
        self.line.put(None, bytes);
        Ok(())
    }

    /// Lets the connection stand idle for longer, where the protocol's clients keep theirs.
    pub fn stay(&self, idle: Span) {
        lock(&self.line.gate).idle = idle;
    }
}

/// All connections from clients.
pub struct Clients {
    front: Arc<dyn RequestHandler>,
    events: Sender<Event>,
    clock: Clock,
    lines: Mutex<HashMap<ClientId, Arc<Line>>>,
    places: Arc<SharedConnectionLimiter>,
    rests: Rests,
    bytes: Arc<AtomicUsize>,
    passed: Arc<Budget>,
    most: AtomicUsize,
    watched: bool,
    stopped: AtomicBool,
    /// What waits to be taken is another process's.
    left: AtomicBool,
    /// A thread accepts.
    accepts: AtomicBool,
    /// Since when the program is to end.
    exits: Mutex<Option<Instant>>,
}

/// What all clients together may take up.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Of requests that are open; as many of answers on their way to clients.
    pub bytes: usize,
    /// Somebody counts what is refused here.
    pub watched: bool,
}

/// Connections that may wait to be taken: a crowd comes at once, and what does not fit here is turned away by the machine.
const QUEUE: i32 = 1024;

/// Listens on an address, and on no other; where it is `shared`, a second process of the same user may listen there too.
///
/// # Errors
/// The address cannot be listened on.
pub fn listener(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.bind(&address.into())?;
    socket.listen(QUEUE)?;
    Ok(socket.into())
}

impl Clients {
    pub fn new(
        front: Arc<dyn RequestHandler>,
        events: Sender<Event>,
        clock: Clock,
        places: Arc<SharedConnectionLimiter>,
        limits: Limits,
    ) -> io::Result<Arc<Self>> {
        let (lines, bytes, most) = (Mutex::default(), Arc::default(), limits.bytes.into());
        let [stopped, left, accepts] = [false; 3].map(AtomicBool::new);
        let watched = limits.watched;
        let passed = Arc::new(Budget::new(limits.bytes));
        let rests = Rests::new(clock.now())?;
        Ok(Arc::new(Self {
            front,
            events,
            clock,
            lines,
            places,
            rests,
            bytes,
            passed,
            most,
            watched,
            stopped,
            left,
            accepts,
            exits: Mutex::default(),
        }))
    }

    /// Takes connections from a listener.
    pub fn listen(self: &Arc<Self>, listener: TcpListener) -> io::Result<SocketAddr> {
        let bound = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        self.attend()?;
        let all = Arc::clone(self);
        self.accepts.store(true, Ordering::Relaxed);
        spawn("accept", move || {
            all.accept(&listener, bound);
            drop(listener);
            all.accepts.store(false, Ordering::Relaxed);
        })?;
        Ok(bound)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, bound: SocketAddr) {
        let (mut next, mut stopped) = (0, None::<Instant>);
        loop {
            self.wait_for_room();
            // Read before it is asked for the next: what the machine has accepted for this listener by then counts as taken,
            // and is not left to a reset.
            if self.stopped.load(Ordering::Relaxed) {
                stopped.get_or_insert_with(Instant::now);
                if self.left.load(Ordering::Relaxed) {
                    return;
                }
            }
            let last = stopped.is_some_and(|since| since.elapsed() > STILL_COME);
            match listener.accept() {
                Ok((stream, _)) => {
                    next += 1;
                    if let Err(e) = self.begin(ClientId(next), stream) {
                        tracing::warn!("a connection from a client could not be served: {e}");
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    // Another process may listen on the same socket, so nobody waits in `accept` itself.
                    let come = poll(&mut [PollFd::new(&listener, PollFlags::IN)], Some(&ACCEPTS));
                    if last || stopped.is_some() && come == Ok(0) {
                        return;
                    }
                }
                Err(e) => {
                    tracing::warn!("accept on {bound}: {e}");
                    if last {
                        return;
                    }
                    sleep(Duration::from_millis(5));
                }
            }
        }
    }

    /// Waits until one more connection may be let in.
    fn wait_for_room(&self) {
        while !self.places.may_enter() && !self.left.load(Ordering::Relaxed) {
            self.make_room();
        }
    }

    /// Ends idle connections as long as others need their places.
    fn make_room(&self) {
        while let Some((id, doing)) = self.places.make_way() {
            let line = lock(&self.lines).get(&ClientId(id)).cloned();
            if let Some(line) = line {
                line.make_way(doing);
            }
        }
    }

    fn begin(self: &Arc<Self>, id: ClientId, stream: TcpStream) -> io::Result<()> {
        let now = self.clock.now();
        self.places.enter(id.0, now);
        let line = Arc::new(Line {
            id,
            stream,
            gate: Mutex::new(Gate::new(now)),
            eased: Condvar::new(),
            outbox: Outbox::new(Arc::clone(&self.passed)),
            front: Arc::clone(&self.front),
            clock: self.clock,
            places: Arc::clone(&self.places),
        });
        line.stream.set_nodelay(true)?;
        line.stream.set_read_timeout(Some(LOOK))?;
        line.stream.set_write_timeout(Some(STUCK))?;
        lock(&self.lines).insert(id, Arc::clone(&line));
        self.make_room();
        let _ = self.events.send(Event::ClientConnected(id));
        let from = Incoming::new(Arc::clone(&line));
        let session = Session {
            id,
            events: self.events.clone(),
            line,
            all: Arc::clone(self),
        };
        self.rest(Resting {
            from,
            session,
            at: Progress::default(),
            known: false,
        });
        Ok(())
    }

    /// A connection is over: the client has left, or has been listened to for long enough.
    fn finish(&self, resting: &Resting) {
        self.end(resting.session.id);
        resting.session.line.break_off();
    }

    fn end(&self, id: ClientId) {
        let _ = self.events.send(Event::ClientDisconnected(id));
        lock(&self.lines).remove(&id);
    }

    /// Passes an answer on; never waits.
    pub fn answer(&self, client: ClientId, ticket: u64, answer: FinalAnswer) {
        if let Some(line) = lock(&self.lines).get(&client).cloned() {
            line.put(Some(ticket), self.front.encode(ticket, answer));
        }
    }

    /// The way to a client for an answer that is passed on as it comes; `None` if the client has left.
    pub fn passage(&self, client: ClientId, ticket: u64) -> Option<ResponseBody> {
        let line = lock(&self.lines).get(&client).cloned()?;
        Some(ResponseBody::new(line, ticket, self.events.clone()))
    }

    /// Ends a connection if nothing is open on it and it has rested for a moment: a last word right behind an answer
    /// would pass for a second answer.
    pub fn close(&self, client: ClientId) {
        let Some(line) = lock(&self.lines).get(&client).cloned() else {
            return;
        };
        let settled = self.clock.now() - ANSWER_SETTLE_TIME;
        line.end_if(AT_ONCE, |g| g.since < settled);
    }

    /// Ends all connections on which nothing is open, however short a time ago they were answered: the program is about to
    /// end.
    pub fn close_all(&self) {
        self.all().iter().for_each(Line::end_unless_open);
    }

    /// Whether the program may end: what has come is answered or told that it did not run, and all that was said has left.
    /// Not for long: whoever waits is asked again. What comes meanwhile is taken in, since bytes that nobody takes make a
    /// reset of the end.
    pub fn may_exit(&self) -> bool {
        let asked = *lock(&self.exits).get_or_insert_with(Instant::now);
        self.close_all();
        let lines = self.all();
        let busy = self.accepts.load(Ordering::Relaxed) || lines.iter().any(|l| l.is_busy());
        if busy && asked.elapsed() < EXITS {
            return false;
        }
        for line in lines.iter().filter(|l| l.over().is_some()) {
            line.swallow(&mut { LINGER_BYTES });
        }
        true
    }

    fn all(&self) -> Vec<Arc<Line>> {
        lock(&self.lines).values().cloned().collect()
    }

    /// Takes no more connections, but those that wait; these are left to another process where it takes them.
    pub fn stop(&self, left: bool) {
        self.left.fetch_or(left, Ordering::Relaxed);
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// So many bytes of open requests, and of answers on their way, from now on.
    pub fn limit(&self, bytes: usize) {
        self.most.store(bytes, Ordering::Relaxed);
        self.passed.set(bytes);
    }
}

#[cfg(test)]
mod tests;
