//! Connections to servers. One that carries a request has a thread, which connects, writes, reads the whole answer and
//! tells the core; one that stands idle has none. A connection carries one request at a time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::Deref;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam_channel::{Sender, bounded};
use socket2::SockRef;
use valehatch_policy::{Outcome, Role, Span, Time};
use valehatch_request_log::OutcomeMetrics;

use crate::Clock;
use crate::clients::{ResponseBody, STREAMING_SOCKET_BUFFER};
use crate::connection_limits::{Member, SharedConnectionLimiter};
use crate::lock;
use valehatch_core::cluster_clock::{ClockSample, ClusterClock};
use valehatch_core::{ConnectionId, Event, UpstreamJob, UpstreamReply};

/// How long a connect that fails for want of something on this machine is tried again, and the first pause: each is twice
/// the one before.
const LOCAL_PATIENCE: Duration = Duration::from_millis(200);
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// How far ahead of now a time that an endpoint tells may lie: it is rounded, and clocks drift.
const TIME_ROUNDING: Span = Span::from_millis(5);
/// How far back a position may lie.
const OLDEST_POSITION: Span = Span::from_millis(86_400_000);

/// Opens the way of an answer to its client. What is not finished on it is cut when the last hold on it goes.
pub type Begin<'a> = &'a dyn Fn() -> Option<Arc<ResponseBody>>;

/// A session with a server, in the protocol of one front.
pub trait Protocol: Send + Sync + 'static {
    /// Makes a new connection ready for requests.
    fn open(&self, stream: &TcpStream) -> Result<(), Outcome>;
    /// The bytes of a job; `left` is how long the gateway will wait, in milliseconds.
    fn request(&self, job: &UpstreamJob, left_ms: i64) -> Vec<u8>;
    /// Reads the whole answer to what was sent; the flag tells whether the connection can carry another request. One that
    /// is too long to be held goes the way that `begin` opens (`None` if nobody waits for it any more) but for its last
    /// bytes, which are the reply's body and are written once the core knows that the connection is free.
    fn answer(
        &self,
        stream: &TcpStream,
        job: &UpstreamJob,
        sent: &[u8],
        begin: Begin,
    ) -> (UpstreamReply, bool);
}

/// All connections to servers, as the core's thread uses them: it never waits for any of them.
pub trait Upstream: Send {
    /// A connection that the core will use; nothing need be opened before it carries something.
    fn connect(&mut self, connection: ConnectionId, address: &Arc<str>);
    /// A connection is to carry this; it carries nothing else meanwhile.
    fn submit(&mut self, connection: ConnectionId, job: UpstreamJob);
    /// The answer that has begun on a connection goes this way; if there is none, the client is gone.
    fn pass(&mut self, _conn: ConnectionId, _way: Option<ResponseBody>) {}
    /// Ends a connection, whatever it carries.
    fn close(&mut self, connection: ConnectionId);
    /// The turn is over: what was put together in it leaves now.
    fn flush(&mut self) {}
}

/// What the core's thread may do to a connection at any time: end it.
#[derive(Default)]
struct Line {
    ended: bool,
    stream: Option<Arc<Kept>>,
    /// Who waits for the way of an answer that has begun.
    waits: Option<Sender<ResponseBody>>,
}

/// A connection that is up, with its place: it is given back behind the descriptor.
struct Kept(TcpStream, #[allow(dead_code)] Member);

impl Deref for Kept {
    type Target = TcpStream;
    fn deref(&self) -> &TcpStream {
        &self.0
    }
}

/// All connections to servers.
pub struct EndpointPools {
    protocol: Arc<dyn Protocol>,
    events: Sender<Event>,
    clock: Clock,
    connect_timeout: Duration,
    /// Positions count only once primaries have confirmed this machine's clock.
    verifies: bool,
    figures: Option<Arc<OutcomeMetrics>>,
    places: Arc<SharedConnectionLimiter>,
    handles: HashMap<ConnectionId, Arc<GossipTransport>>,
}

impl EndpointPools {
    pub fn new(
        protocol: Arc<dyn Protocol>,
        events: Sender<Event>,
        clock: Clock,
        timeout: Duration,
        places: Arc<SharedConnectionLimiter>,
    ) -> Self {
        let (figures, handles) = (None, HashMap::new());
        let verifies = false;
        Self {
            protocol,
            events,
            clock,
            connect_timeout: timeout,
            verifies,
            figures,
            places,
            handles,
        }
    }

    /// Positions count only once primaries have confirmed this machine's clock: where endpoints do not check the age of their
    /// own data, nobody else would notice that it is taken for newer than it is.
    #[must_use]
    pub const fn verifying(mut self, verifies: bool) -> Self {
        self.verifies = verifies;
        self
    }

    /// Counts attempts there whose last byte was written.
    #[must_use]
    pub fn counting(mut self, figures: Option<Arc<OutcomeMetrics>>) -> Self {
        self.figures = figures;
        self
    }
}

impl Upstream for EndpointPools {
    /// Notes a connection; it connects when the first job comes.
    fn connect(&mut self, connection: ConnectionId, address: &Arc<str>) {
        let link = GossipTransport {
            connection,
            address: address.parse().ok(),
            protocol: Arc::clone(&self.protocol),
            events: self.events.clone(),
            clock: self.clock,
            connect_timeout: self.connect_timeout,
            verifies: self.verifies,
            figures: self.figures.clone(),
            places: Arc::clone(&self.places),
            line: Mutex::default(),
            held: Mutex::default(),
        };
        self.handles.insert(connection, Arc::new(link));
    }

    /// Hands a job of an idle connection to a thread: one that stands idle has none, since a gateway of a large fleet
    /// holds a connection to nearly every server and uses each seldom.
    fn submit(&mut self, connection: ConnectionId, job: UpstreamJob) {
        let Some(link) = self.handles.get(&connection).map(Arc::clone) else {
            return;
        };
        if let Err(e) = crate::spawn("server", move || link.run(&job)) {
            tracing::warn!("no thread for a connection to a server: {e}");
            let reply = UpstreamReply::bare(Outcome::LocalFailure);
            // The core's own thread: its queue must not be waited for.
            if self
                .events
                .try_send(Event::AttemptEnded {
                    connection,
                    reply,
                    reusable: false,
                })
                .is_err()
            {
                tracing::warn!("the core's queue is full: an outcome waits for its time-out");
            }
        }
    }

    fn pass(&mut self, connection: ConnectionId, way: Option<ResponseBody>) {
        let waits = self
            .handles
            .get(&connection)
            .and_then(|link| lock(&link.line).waits.take());
        if let (Some(waits), Some(way)) = (waits, way) {
            let _ = waits.send(way);
        }
    }

    /// Ends a connection, whatever it carries.
    fn close(&mut self, connection: ConnectionId) {
        let Some(link) = self.handles.remove(&connection) else {
            return;
        };
        let mut line = lock(&link.line);
        (line.ended, line.waits) = (true, None);
        if let Some(stream) = line.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A connection, which carries one job at a time.
struct GossipTransport {
    connection: ConnectionId,
    address: Option<SocketAddr>,
    protocol: Arc<dyn Protocol>,
    events: Sender<Event>,
    clock: Clock,
    connect_timeout: Duration,
    verifies: bool,
    figures: Option<Arc<OutcomeMetrics>>,
    places: Arc<SharedConnectionLimiter>,
    line: Mutex<Line>,
    /// What the last job left for the next.
    held: Mutex<Option<Arc<Kept>>>,
}

impl GossipTransport {
    fn run(&self, job: &UpstreamJob) {
        // A server that closed an idle connection, or started anew, shows it before anything is written:
        // the request then goes over a new connection and has not been sent yet.
        let held = lock(&self.held).take();
        let stream = match held.filter(|s| quiet(s)) {
            Some(stream) => Ok(stream),
            None => self.open(job),
        };
        // An answer that breaks off cuts its client off only once the core has been told why.
        let way = RefCell::new(None);
        let (mut reply, reusable, asked) = match stream {
            Err(outcome) => (UpstreamReply::bare(outcome), false, None),
            Ok(stream) => {
                let begin = || way.borrow_mut().insert(self.begin(&stream)?).clone().into();
                let (reply, reusable, asked) = self.carry(&stream, job, &begin);
                *lock(&self.held) = reusable.then_some(stream);
                (reply, reusable, asked)
            }
        };
        if !reusable {
            lock(&self.line).stream = None;
        }
        let streamed = way.into_inner();
        let last = streamed
            .as_ref()
            .filter(|_| reply.outcome == Outcome::Ok)
            .and_then(|_| reply.body.take());
        // The core hears of a correction of the clock before or behind the whole of this, never in between: its times would
        // be of neither.
        let mut cluster = self.clock.cluster();
        asked
            .into_iter()
            .for_each(|asked| self.check_times(&mut cluster, &mut reply, asked));
        // The core hears of it first: the client may ask again as soon as it has the last byte, on this connection.
        let _ = self.events.send(Event::AttemptEnded {
            connection: self.connection,
            reply,
            reusable,
        });
        drop(cluster);
        if let (Some(way), Some(last)) = (streamed, last) {
            // That the client has left is told by its own connection.
            let _ = way.finish(&last);
        }
    }

    /// Connects. An error of this machine says nothing of the server, and is mostly over in a moment: it is tried again.
    fn connect(&self, address: &SocketAddr, most: Duration) -> Result<TcpStream, Outcome> {
        let (began, mut pause) = (Instant::now(), FIRST_PAUSE);
        loop {
            let left = most
                .saturating_sub(began.elapsed())
                .max(Duration::from_millis(1));
            match TcpStream::connect_timeout(address, left) {
                Ok(stream) => return Ok(stream),
                Err(e) if !is_local(&e) => return Err(Outcome::ConnectFailed),
                Err(e)
                    if began.elapsed() + pause > most.min(LOCAL_PATIENCE)
                        || lock(&self.line).ended =>
                {
                    tracing::warn!("no connection to {address}, by a fault of this machine: {e}");
                    return Err(Outcome::LocalFailure);
                }
                Err(_) => std::thread::sleep(pause),
            }
            pause *= 2;
        }
    }

    /// Connects and greets, within the one time limit for both, and for no longer than the job is waited for.
    fn open(&self, job: &UpstreamJob) -> Result<Arc<Kept>, Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        let address = self.address.ok_or(Outcome::ConnectFailed)?;
        let place = self.places.member().ok_or(Outcome::LocalFailure)?;
        let began = self.clock.now();
        let most = match job {
            UpstreamJob::Request { until, .. } => {
                Duration::from_micros((*until - began).0.max(1_000).unsigned_abs())
            }
            UpstreamJob::HealthCheck => self.connect_timeout,
        };
        let most = most.min(self.connect_timeout);
        let stream = self.connect(&address, most)?;
        stream.set_nodelay(true).map_err(failed)?;
        let stream = Arc::new(Kept(stream, place));
        {
            let mut line = lock(&self.line);
            if line.ended {
                return Err(Outcome::ConnectFailed);
            }
            line.stream = Some(Arc::clone(&stream));
        }
        let spent = Duration::from_micros((self.clock.now() - began).0.unsigned_abs());
        let left = most.saturating_sub(spent).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).map_err(failed)?;
        self.protocol.open(&stream)?;
        stream.set_read_timeout(None).map_err(failed)?;
        Ok(stream)
    }

    #[allow(clippy::cast_possible_truncation)]
    /// Writes a job and reads its answer; when it was written, if it was.
    fn carry(
        &self,
        stream: &TcpStream,
        job: &UpstreamJob,
        begin: Begin,
    ) -> (UpstreamReply, bool, Option<Time>) {
        let now = self.clock.now();
        let left = match job {
            // The dial may have outlived the request, its member's time or the window for its repeat.
            UpstreamJob::Request { permit, .. } if permit.try_acquire(now).is_err() => {
                return (UpstreamReply::bare(Outcome::NotSent), true, None);
            }
            UpstreamJob::Request { until, .. } => (*until - now).0 / 1000,
            UpstreamJob::HealthCheck => self.connect_timeout.as_millis() as i64,
        };
        let bytes = self.protocol.request(job, left.max(1));
        // A break before the last byte is written means that nothing ran; after it, that it may have.
        if (&mut &*stream).write_all(&bytes).is_err() {
            return (UpstreamReply::bare(Outcome::ConnectFailed), false, None);
        }
        if let (UpstreamJob::Request { payload, .. }, Some(figures)) = (job, &self.figures) {
            figures.relayed(payload.class);
        }
        let (reply, reusable) = self.protocol.answer(stream, job, &bytes, begin);
        (reply, reusable, Some(now))
    }

    /// Learns from the times that came with an answer how this machine's clock is off, and drops those that cannot be.
    fn check_times(&self, cluster: &mut ClusterClock, reply: &mut UpstreamReply, asked: Time) {
        let came = self.clock.now();
        let observe = |cluster: &mut ClusterClock, unix: i64, told: ClockSample| {
            if let Some(grew) = cluster.observe(unix, asked, came, told) {
                let by = Span(-grew);
                let error_ms = by.0 / 1_000;
                tracing::warn!(
                    error_ms,
                    "the wall clock of this machine is off; endpoints' times correct it"
                );
                let _ = self.events.send(Event::ClockCorrected(by));
            }
        };
        let answered = reply
            .position
            .map(|at| self.clock.uncorrected_unix_micros(at));
        let reported = reply
            .report
            .and_then(|report| report.position)
            .map(|at| self.clock.uncorrected_unix_micros(at));
        if let Some(unix) = answered {
            let primary = reply.role == Some(Role::Primary);
            observe(
                cluster,
                unix,
                if primary {
                    ClockSample::PrimaryAnswer
                } else {
                    ClockSample::Replica
                },
            );
        }
        if let Some(unix) = reported {
            let primary = reply
                .report
                .is_some_and(|report| report.primary == Some(true));
            observe(
                cluster,
                unix,
                if primary {
                    ClockSample::PrimaryReport
                } else {
                    ClockSample::Replica
                },
            );
        }
        // Until a primary has shown that the clock is right, no data may pass for newer than it is.
        let known = !self.verifies || cluster.is_verified();
        let place = |unix: i64| Time(unix.saturating_sub(cluster.offset()));
        let possible = |unix: i64| {
            let at = place(unix);
            let within = at <= came + TIME_ROUNDING && at >= came - OLDEST_POSITION;
            (known && within).then_some(at.min(came))
        };
        reply.position = if reply.role == Some(Role::Primary) {
            // Whatever the clock says, a primary stood there between these two.
            answered.map(|unix| place(unix).clamp(asked, came))
        } else {
            answered.and_then(possible)
        };
        if let Some(report) = &mut reply.report {
            report.position = reported.and_then(possible);
        }
    }

    /// Tells the core that an answer has begun which is passed on, and waits for its way.
    fn begin(&self, stream: &TcpStream) -> Option<Arc<ResponseBody>> {
        let (give, take) = bounded(1);
        {
            let mut line = lock(&self.line);
            if line.ended {
                return None;
            }
            line.waits = Some(give);
        }
        self.events
            .send(Event::ResponseStarted(self.connection))
            .ok()?;
        SockRef::from(stream)
            .set_recv_buffer_size(STREAMING_SOCKET_BUFFER)
            .ok()?;
        take.recv().ok().map(Arc::new)
    }
}

/// Whether a connect failed for want of something on this machine: descriptors, ports, memory, a route.
fn is_local(error: &io::Error) -> bool {
    const LOCAL: [i32; 8] = [
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::ENETDOWN,
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EAGAIN,
    ];
    error
        .raw_os_error()
        .is_some_and(|number| LOCAL.contains(&number))
}

/// An idle connection on which nothing has come: neither its end nor bytes that nobody asked for.
fn quiet(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let waits = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    waits && stream.set_nonblocking(false).is_ok()
}
