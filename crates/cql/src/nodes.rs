//! Nodes that speak the Cassandra native protocol: few connections to each, many requests on every one. What goes where
//! is decided by [`valehatch_stream_multiplexing`]; here it is written and read.
//!
//! The core's thread queues frames and writes them at the end of its turn, without waiting; what a node does not take at
//! once is left to a thread. Each connection has a thread that reads: it tells the core of all that came with one read.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crossbeam_channel::Sender;
use socket2::SockRef;
use valehatch_core::{ConnectionId, Event, UpstreamJob, UpstreamReply};
use valehatch_net::upstream::Upstream;
use valehatch_net::{Clock, lock, spawn};
use valehatch_policy::{Outcome, Span, Time};
use valehatch_request_log::OutcomeMetrics;
use valehatch_stream_multiplexing::{
    AttemptFailure, FrameOwner, JobId, MultiplexedConnectionId, MultiplexerAction, MultiplexerSize,
    Settings, StreamMultiplexer,
};

use super::Prepared;
use super::codec::{self, Fault, Frame, op};
use super::exchange::{self, Exchange, Next};

/// How often a reading thread that has nothing to read looks at the time.
const LOOK: Duration = Duration::from_millis(50);
/// An answer that has begun may stand still for so long.
const STANDS: Span = Span::from_millis(400);
/// How long a node may take nothing of what is written to it.
const STUCK: Duration = Duration::from_millis(2_000);
/// What is read, and written, at once.
const CHUNK: usize = 64 * 1024;
/// Nodes that are remembered though nothing stands open to them.
const REMEMBERED: usize = 64;

/// What all connections to nodes share.
struct Context {
    prepared: Arc<Prepared>,
    events: Sender<Event>,
    clock: Clock,
    connect_timeout: Duration,
    settings: Settings,
    figures: Option<Arc<OutcomeMetrics>>,
    /// Connections to all nodes, and how many there may be.
    held: AtomicUsize,
    most: usize,
}

/// The nodes of a front.
pub struct Nodes {
    context: Arc<Context>,
    nodes: HashMap<Arc<str>, Arc<Node>>,
    jobs: HashMap<ConnectionId, Arc<Node>>,
    /// Those that have something to be written at the end of the turn.
    touched: Vec<Arc<Node>>,
}

/// One node.
struct Node {
    address: Option<SocketAddr>,
    context: Arc<Context>,
    inner: Mutex<Inner>,
}

struct Inner {
    streams: StreamMultiplexer,
    links: BTreeMap<MultiplexedConnectionId, Line>,
    exchanges: HashMap<JobId, Exchange>,
}

/// A frame that is to be written, under its stream.
struct Queued {
    stream: i16,
    bytes: Vec<u8>,
    /// The class of the attempt that has left with its last byte; none where the frame is not an attempt's first.
    attempt: Option<usize>,
}

impl Queued {
    fn new(stream: i16, frame: Frame, attempt: Option<usize>) -> Self {
        Self {
            stream,
            bytes: frame.on_stream(stream).into_bytes(),
            attempt,
        }
    }
}

/// A connection: what is to be written to it, and how much of the first has left.
#[derive(Default)]
struct Line {
    stream: Option<Arc<TcpStream>>,
    queue: VecDeque<Queued>,
    left: usize,
    /// A thread is at it, since the node did not take all at once.
    writing: bool,
}

/// What the core is told once nothing is locked any more.
type Told = Vec<Event>;

fn ended(job: JobId, reply: UpstreamReply) -> Event {
    let reusable = matches!(
        reply.outcome,
        Outcome::Ok | Outcome::Rejected | Outcome::Misdirected | Outcome::Error
    );
    Event::AttemptEnded {
        connection: ConnectionId(job.0),
        reply,
        reusable,
    }
}

fn bare(job: JobId, end: AttemptFailure) -> Event {
    let outcome = if end == AttemptFailure::NotSent {
        Outcome::ConnectFailed
    } else {
        Outcome::Reset
    };
    ended(job, UpstreamReply::without_details(outcome))
}

impl Context {
    /// The last byte of a frame was written: the one place where an attempt at a node is counted.
    fn left(&self, attempt: Option<usize>) {
        if let (Some(class), Some(figures)) = (attempt, &self.figures) {
            figures.count_attempt_sent(class);
        }
    }
}

impl Nodes {
    /// No nodes yet. `most` connections may be open to all of them; one that is idle goes after `idle`. Attempts whose last
    /// byte was written are counted in `figures`.
    ///
    /// # Errors
    /// That a time is none.
    pub fn new(
        prepared: Arc<Prepared>,
        events: Sender<Event>,
        clock: Clock,
        connect_timeout: Duration,
        idle: Span,
        most: usize,
        figures: Option<Arc<OutcomeMetrics>>,
    ) -> Result<Self, String> {
        let request_timeout =
            Span(i64::try_from(connect_timeout.as_micros()).unwrap_or(250_000)).min(STANDS);
        let settings = Settings::new(request_timeout, idle);
        StreamMultiplexer::new(settings).map_err(|e| e.to_string())?;
        let held = AtomicUsize::new(0);
        let context = Context {
            prepared,
            events,
            clock,
            connect_timeout,
            settings,
            figures,
            held,
            most,
        };
        let (nodes, jobs) = (HashMap::new(), HashMap::new());
        Ok(Self {
            context: Arc::new(context),
            nodes,
            jobs,
            touched: vec![],
        })
    }

    /// From the core's own thread: its queue must not be waited for.
    fn tell(&self, told: Told) {
        for event in told {
            if self.context.events.try_send(event).is_err() {
                tracing::warn!("the core's queue is full: an outcome waits for its time-out");
            }
        }
    }

    fn node(&mut self, address: &Arc<str>) -> Option<Arc<Node>> {
        if let Some(node) = self.nodes.get(address) {
            return Some(Arc::clone(node));
        }
        if self.nodes.len() >= REMEMBERED {
            self.nodes
                .retain(|_, node| lock(&node.inner).streams.size() != MultiplexerSize::default());
        }
        let streams = StreamMultiplexer::new(self.context.settings).ok()?;
        let inner = Inner {
            streams,
            links: BTreeMap::new(),
            exchanges: HashMap::new(),
        };
        let node = Arc::new(Node {
            address: address.parse().ok(),
            context: Arc::clone(&self.context),
            inner: Mutex::new(inner),
        });
        self.nodes.insert(Arc::clone(address), Arc::clone(&node));
        Some(node)
    }

    fn touch(&mut self, node: &Arc<Node>) {
        if !self.touched.iter().any(|n| Arc::ptr_eq(n, node)) {
            self.touched.push(Arc::clone(node));
        }
    }
}

impl Upstream for Nodes {
    fn connect(&mut self, connection: ConnectionId, address: &Arc<str>) {
        if let Some(node) = self.node(address) {
            self.jobs.insert(connection, node);
        }
    }

    fn submit(&mut self, connection: ConnectionId, job: UpstreamJob) {
        let Some(node) = self.jobs.get(&connection).cloned() else {
            return;
        };
        let now = self.context.clock.now();
        let mut told = vec![];
        node.with(&mut told, |inner, out| {
            inner
                .exchanges
                .insert(JobId(connection.0), Exchange::new(job, now));
            inner.streams.submit(now, JobId(connection.0), out);
        });
        self.touch(&node);
        self.tell(told);
    }

    fn close(&mut self, connection: ConnectionId) {
        let Some(node) = self.jobs.remove(&connection) else {
            return;
        };
        let now = self.context.clock.now();
        let mut told = vec![];
        node.with(&mut told, |inner, out| {
            if inner.exchanges.remove(&JobId(connection.0)).is_some() {
                inner.streams.cancel(now, JobId(connection.0), out);
            }
        });
        self.touch(&node);
        self.tell(told);
    }

    fn flush(&mut self) {
        for node in std::mem::take(&mut self.touched) {
            let mut told = vec![];
            node.flush(&mut told);
            self.tell(told);
        }
    }
}

impl Node {
    /// Changes what is known, and does what comes of it, but for writing.
    fn with(
        self: &Arc<Self>,
        told: &mut Told,
        change: impl FnOnce(&mut Inner, &mut Vec<MultiplexerAction>),
    ) {
        let mut inner = lock(&self.inner);
        let mut out = vec![];
        change(&mut inner, &mut out);
        self.carry_out(&mut inner, out, told);
    }

    fn carry_out(
        self: &Arc<Self>,
        inner: &mut Inner,
        mut todo: Vec<MultiplexerAction>,
        told: &mut Told,
    ) {
        while !todo.is_empty() {
            for what in std::mem::take(&mut todo) {
                match what {
                    MultiplexerAction::Open(link) => {
                        if !self.open(inner, link) {
                            inner.links.remove(&link);
                            inner.streams.connection_lost(
                                self.context.clock.now(),
                                link,
                                &mut todo,
                            );
                        }
                    }
                    MultiplexerAction::Send {
                        connection: link,
                        stream,
                        job,
                    } => {
                        let now = self.context.clock.now();
                        if inner
                            .exchanges
                            .get_mut(&job)
                            .is_some_and(|e| !e.may_begin(now))
                        {
                            inner.exchanges.remove(&job);
                            inner.streams.cancel(now, job, &mut todo);
                            told.push(ended(job, UpstreamReply::without_details(Outcome::NotSent)));
                            continue;
                        }
                        let asked = inner.exchanges.get(&job).map(|e| (e.opening(), e.class()));
                        if let (Some(line), Some((frame, class))) =
                            (inner.links.get_mut(&link), asked)
                        {
                            line.queue.push_back(Queued::new(stream, frame, class));
                        }
                    }
                    MultiplexerAction::Unqueue {
                        connection: link,
                        stream,
                    } => {
                        if let Some(line) = inner.links.get_mut(&link) {
                            line.queue.retain(|queued| queued.stream != stream);
                        }
                    }
                    MultiplexerAction::Heartbeat {
                        connection: link,
                        stream,
                    } => {
                        if let Some(line) = inner.links.get_mut(&link) {
                            line.queue
                                .push_back(Queued::new(stream, exchange::heartbeat(), None));
                        }
                    }
                    MultiplexerAction::Close(link) => {
                        if let Some(stream) = inner.links.remove(&link).and_then(|line| line.stream)
                        {
                            let _ = stream.shutdown(Shutdown::Both);
                        }
                    }
                    MultiplexerAction::AttemptFailed(job, end) => {
                        let exchange = inner.exchanges.remove(&job);
                        // While a statement is told again nothing of the request itself is out.
                        let unsent = exchange.is_some_and(|e| e.is_telling());
                        told.push(bare(
                            job,
                            if unsent { AttemptFailure::NotSent } else { end },
                        ));
                    }
                }
            }
        }
    }

    /// Starts the thread of a connection, if there may be one more.
    fn open(self: &Arc<Self>, inner: &mut Inner, link: MultiplexedConnectionId) -> bool {
        let held = &self.context.held;
        if held.fetch_add(1, Ordering::Relaxed) >= self.context.most {
            held.fetch_sub(1, Ordering::Relaxed);
            return false;
        }
        inner.links.insert(link, Line::default());
        let node = Arc::clone(self);
        let started = spawn("node", move || {
            node.run(link);
            node.context.held.fetch_sub(1, Ordering::Relaxed);
        });
        if let Err(e) = &started {
            held.fetch_sub(1, Ordering::Relaxed);
            tracing::warn!("no thread for a connection to a node: {e}");
        }
        started.is_ok()
    }

    /// Writes what waits, as far as nodes take it without waiting.
    fn flush(self: &Arc<Self>, told: &mut Told) {
        let mut inner = lock(&self.inner);
        let mut lost = vec![];
        let Inner { streams, links, .. } = &mut *inner;
        for (&link, line) in links.iter_mut() {
            if !line.queue.is_empty()
                && !line.writing
                && line.write(link, streams, &self.context).is_err()
            {
                lost.push(link);
            }
            if !line.queue.is_empty() && !line.writing && line.stream.is_some() {
                line.writing = true;
                let node = Arc::clone(self);
                if spawn("node out", move || node.write_rest(link)).is_err() {
                    lost.push(link);
                }
            }
        }
        for link in lost {
            self.lose(&mut inner, link, told);
        }
    }

    fn lose(self: &Arc<Self>, inner: &mut Inner, link: MultiplexedConnectionId, told: &mut Told) {
        let mut todo = vec![MultiplexerAction::Close(link)];
        inner
            .streams
            .connection_lost(self.context.clock.now(), link, &mut todo);
        self.carry_out(inner, todo, told);
    }

    /// Writes to a node that is slow to take things, frame by frame, until it has them all.
    fn write_rest(self: &Arc<Self>, link: MultiplexedConnectionId) {
        loop {
            let mut inner = lock(&self.inner);
            let Inner { streams, links, .. } = &mut *inner;
            let Some(line) = links.get_mut(&link) else {
                return;
            };
            let (Some(first), Some(socket)) = (line.queue.front(), line.stream.clone()) else {
                line.writing = false;
                return;
            };
            streams.write_started(link, first.stream);
            let (stream, attempt, rest) = (
                first.stream,
                first.attempt,
                first.bytes[line.left..].to_vec(),
            );
            line.left = first.bytes.len();
            drop(inner);
            let written = (&*socket).write_all(&rest).is_ok();
            if written {
                self.context.left(attempt);
            }
            let mut told = vec![];
            let mut inner = lock(&self.inner);
            if !written {
                self.lose(&mut inner, link, &mut told);
            } else if let Some(line) = inner.links.get_mut(&link) {
                line.left = 0;
                if line
                    .queue
                    .front()
                    .is_some_and(|first| first.stream == stream)
                {
                    line.queue.pop_front();
                }
            }
            drop(inner);
            self.tell(told);
            if !written {
                return;
            }
        }
    }

    /// From threads of connections, which may wait for the core.
    fn tell(&self, told: Told) {
        told.into_iter()
            .for_each(|event| drop(self.context.events.send(event)));
    }

    /// A connection's thread: connects, greets, reads until it ends.
    fn run(self: &Arc<Self>, link: MultiplexedConnectionId) {
        let opened = self.greet(link);
        if let Ok(stream) = &opened {
            let mut told = vec![];
            let mut wanted = false;
            self.with(&mut told, |inner, out| {
                wanted = inner
                    .streams
                    .connection_opened(self.context.clock.now(), link, out);
            });
            self.flush(&mut told);
            self.tell(told);
            if wanted {
                self.read(link, stream);
            }
        }
        let mut told = vec![];
        let mut inner = lock(&self.inner);
        self.lose(&mut inner, link, &mut told);
        drop(inner);
        // Those that waited for it may have been given another connection.
        self.flush(&mut told);
        self.tell(told);
    }

    /// Connects and greets, within the one time limit for both.
    fn greet(&self, link: MultiplexedConnectionId) -> io::Result<Arc<TcpStream>> {
        let address = self.address.ok_or(ErrorKind::InvalidInput)?;
        let began = self.context.clock.now();
        let stream = Arc::new(TcpStream::connect_timeout(
            &address,
            self.context.connect_timeout,
        )?);
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(STUCK))?;
        let spent = Duration::from_micros((self.context.clock.now() - began).0.unsigned_abs());
        let left = self
            .context
            .connect_timeout
            .saturating_sub(spent)
            .max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left))?;
        (&*stream).write_all(exchange::startup().bytes())?;
        let frame = Frame::read(&mut &*stream, true, codec::FROM_NODE)
            .map_err(|_| ErrorKind::InvalidData)?;
        exchange::greeted(&frame).map_err(|_| ErrorKind::ConnectionRefused)?;
        stream.set_read_timeout(Some(LOOK))?;
        // Only now may anything be written to it by others.
        let mut inner = lock(&self.inner);
        let line = inner.links.get_mut(&link).ok_or(ErrorKind::NotConnected)?;
        line.stream = Some(Arc::clone(&stream));
        Ok(stream)
    }

    /// Reads answers until the connection ends or is of no more use.
    fn read(self: &Arc<Self>, link: MultiplexedConnectionId, stream: &TcpStream) {
        let (mut buffer, mut chunk) = (vec![], vec![0; CHUNK]);
        let mut last = self.context.clock.now();
        loop {
            let got = (&*stream).read(&mut chunk);
            let now = self.context.clock.now();
            let mut told = vec![];
            let goes_on = match got {
                Ok(0) => return,
                Ok(n) => {
                    last = now;
                    buffer.extend_from_slice(&chunk[..n]);
                    self.take(link, now, &mut buffer, &mut told)
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                    ) =>
                {
                    buffer.is_empty() || last + STANDS > now
                }
                Err(_) => false,
            };
            self.with(&mut told, |inner, out| inner.streams.tick(now, out));
            if !goes_on {
                // Before the core hears of it: what it sends next must not go out on a connection that is about to end.
                self.lose(&mut lock(&self.inner), link, &mut told);
            }
            self.flush(&mut told);
            self.tell(told);
            if !goes_on {
                return;
            }
        }
    }

    /// Takes the whole frames of what has come in; false if the connection is of no more use.
    fn take(
        self: &Arc<Self>,
        link: MultiplexedConnectionId,
        now: Time,
        buffer: &mut Vec<u8>,
        told: &mut Told,
    ) -> bool {
        let mut at = 0;
        let mut good = true;
        self.with(told, |inner, out| {
            inner.streams.bytes_received(now, link, out)
        });
        while good {
            match Frame::split(buffer, at, codec::FROM_NODE) {
                Ok(None) => break,
                Ok(Some((frame, end))) => {
                    at = end;
                    good = self.answered(link, now, frame, told);
                }
                Err(fault) => {
                    match fault {
                        Fault::Version(version, _) => {
                            tracing::warn!("a node answered in version {version:#04x}");
                        }
                        Fault::Bad(_, text) => tracing::warn!("a node's answer: {text}"),
                        Fault::Io(_) => {}
                    }
                    good = false;
                }
            }
        }
        buffer.drain(..at);
        // One large answer must not keep its memory for ever.
        if buffer.is_empty() && buffer.capacity() > 4 * CHUNK {
            *buffer = vec![];
        }
        good
    }

    fn answered(
        self: &Arc<Self>,
        link: MultiplexedConnectionId,
        now: Time,
        frame: Frame,
        told: &mut Told,
    ) -> bool {
        if frame.opcode() == op::EVENT {
            return true;
        }
        let number = frame.stream();
        let mut inner = lock(&self.inner);
        let job = match inner.streams.frame_received(now, link, number) {
            FrameOwner::Job(job) => job,
            FrameOwner::Abandoned => return true,
            FrameOwner::Unexpected => {
                tracing::warn!("a node answered on stream {number}, where nothing was asked");
                return false;
            }
        };
        let mut todo = vec![];
        let next = inner
            .exchanges
            .get_mut(&job)
            .map(|e| e.take(now, frame, &self.context.prepared));
        let mut good = true;
        match next {
            None => inner.streams.finish(now, job, &mut todo),
            Some(Next::Over { reply, spoilt }) => {
                inner.exchanges.remove(&job);
                inner.streams.finish(now, job, &mut todo);
                let mut event = ended(job, reply);
                if let Event::AttemptEnded { reusable, .. } = &mut event {
                    *reusable &= !spoilt;
                }
                told.push(event);
                good = !spoilt;
            }
            Some(Next::Ask(frame)) => {
                let mut sends = vec![];
                if inner.streams.resubmit(now, job, &mut sends) {
                    for send in sends {
                        match send {
                            MultiplexerAction::Send {
                                connection: link,
                                stream,
                                ..
                            } => {
                                if let Some(line) = inner.links.get_mut(&link) {
                                    line.queue
                                        .push_back(Queued::new(stream, frame.clone(), None));
                                }
                            }
                            other => todo.push(other),
                        }
                    }
                } else {
                    inner.exchanges.remove(&job);
                    told.push(bare(job, AttemptFailure::NotSent));
                }
            }
        }
        self.carry_out(&mut inner, todo, told);
        good
    }
}

impl Line {
    /// Writes as much as the node takes at once, many frames with one call.
    fn write(
        &mut self,
        link: MultiplexedConnectionId,
        streams: &mut StreamMultiplexer,
        context: &Context,
    ) -> io::Result<()> {
        let Some(stream) = &self.stream else {
            return Ok(());
        };
        let socket = SockRef::from(&**stream);
        let mut chunk = vec![];
        while !self.queue.is_empty() {
            chunk.clear();
            for (n, Queued { bytes, .. }) in self.queue.iter().enumerate() {
                chunk.extend_from_slice(if n == 0 { &bytes[self.left..] } else { bytes });
                if chunk.len() >= CHUNK {
                    break;
                }
            }
            let mut sent = match socket.send_with_flags(&chunk, libc::MSG_DONTWAIT) {
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            };
            let partial = sent < chunk.len();
            while sent > 0 {
                let Some(first) = self.queue.front() else {
                    break;
                };
                streams.write_started(link, first.stream);
                let rest = first.bytes.len() - self.left;
                if sent < rest {
                    self.left += sent;
                    break;
                }
                context.left(first.attempt);
                sent -= rest;
                self.left = 0;
                self.queue.pop_front();
            }
            if partial {
                return Ok(());
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use std::net::TcpListener;
    use std::sync::mpsc;

    use super::*;
    use valehatch_core::Payload;
    use valehatch_core::permission::SendPermit;

    #[test]
    fn a_connection_with_a_spoilt_answer_has_ended_before_the_core_hears_of_it() {
        // A node whose every answer has bytes behind it that belong to nothing; it tells when a connection ends.
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address: Arc<str> = listener.local_addr().unwrap().to_string().into();
        let (ended, ends) = mpsc::channel();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                Frame::read(&mut stream, false, codec::FROM_NODE).unwrap();
                stream
                    .write_all(Frame::new(true, 0, 0, op::READY, &[]).bytes())
                    .unwrap();
                let asked = Frame::read(&mut stream, false, codec::FROM_NODE).unwrap();
                let spoilt = [0, 0, 0, 1, 0, 0, 0, 9];
                stream
                    .write_all(Frame::new(true, 0, asked.stream(), op::RESULT, &spoilt).bytes())
                    .unwrap();
                let _ = stream.read(&mut [0]);
                ended.send(()).unwrap();
            }
        });
        // The core takes an event only when it is asked for here: until then the thread that tells it waits.
        let (events, inbox) = crossbeam_channel::bounded(0);
        let (request_timeout, idle) = (Duration::from_secs(10), Span::from_millis(60_000));
        let mut nodes = Nodes::new(
            Arc::default(),
            events,
            Clock::start(),
            request_timeout,
            idle,
            8,
            None,
        )
        .unwrap();
        for n in 1..=2 {
            let query = Frame::new(false, 0, 0, op::QUERY, b"\0\0\0\x01x\0\x01\0").into_bytes();
            let payload = Arc::new(Payload {
                bytes: query,
                write: true,
                class: 0,
            });
            let until = Clock::start().now() + Span::from_millis(60_000);
            nodes.connect(ConnectionId(n), &address);
            nodes.submit(
                ConnectionId(n),
                UpstreamJob::Request {
                    payload,
                    deadline: until,
                    permit: SendPermit::new(until),
                },
            );
            nodes.flush();
            ends.recv_timeout(request_timeout)
                .expect("what the core sends next cannot go out on it");
            let told = inbox.recv_timeout(request_timeout).unwrap();
            assert!(
                matches!(told, Event::AttemptEnded { connection, reusable: false, .. } if connection == ConnectionId(n))
            );
        }
    }
}
