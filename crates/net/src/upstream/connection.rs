//! An upstream connection, which carries one job at a time.
//!
//! A job runs on its own thread: it connects if necessary, writes the request, reads the reply and
//! reports the outcome to the core. The core's thread may close the connection at any time. State:
//! the open connection, which is kept for the next job while it is idle.

use std::cell::RefCell;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::Deref;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use valehatch_core::{ConnectionId, Event, UpstreamJob, UpstreamReply};
use valehatch_policy::{Outcome, Time};
use valehatch_request_log::OutcomeMetrics;

use super::clock_check::{ReplyWindow, check_times};
use super::{BodyOpener, Protocol, ReceivedReply};
use crate::clients::ResponseBody;
use crate::connection_limits::{SharedConnectionLimiter, UpstreamSlot};
use crate::{Clock, lock};

/// How long a connect that fails for lack of a local resource is retried.
const LOCAL_RETRY_TIMEOUT: Duration = Duration::from_millis(200);
/// The first pause between such retries; doubled after each.
const LOCAL_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The shortest socket timeout: the kernel takes zero for no timeout.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Settings and services shared by all connections of a front.
#[derive(Clone)]
pub(super) struct UpstreamContext {
    pub protocol: Arc<dyn Protocol>,
    pub events: Sender<Event>,
    pub clock: Clock,
    pub connect_timeout: Duration,
    pub requires_verified_clock: bool,
    pub metrics: Option<Arc<OutcomeMetrics>>,
    pub limiter: Arc<SharedConnectionLimiter>,
}

/// State through which the core's thread controls a connection at any time: it may close the
/// connection, and pass on a response to stream to.
#[derive(Default)]
pub(super) struct ConnectionControl {
    pub closed: bool,
    pub stream: Option<Arc<PooledConnection>>,
    /// Sender to the job's thread while that waits for a response to stream to.
    pub body_waiter: Option<Sender<ResponseBody>>,
}

/// An established connection. Fields are dropped in order, so the slot is released after the
/// descriptor.
pub(super) struct PooledConnection {
    stream: TcpStream,
    _slot: UpstreamSlot,
}

impl Deref for PooledConnection {
    type Target = TcpStream;
    fn deref(&self) -> &TcpStream {
        &self.stream
    }
}

pub(super) struct UpstreamConnection {
    pub id: ConnectionId,
    pub context: Arc<UpstreamContext>,
    /// `None` if the endpoint's address is invalid; every attempt then fails.
    address: Option<SocketAddr>,
    control: Mutex<ConnectionControl>,
    /// The open connection that the last job left for the next one.
    idle: Mutex<Option<Arc<PooledConnection>>>,
}

/// Result of an attempt.
struct Exchange {
    received: ReceivedReply,
    /// When the request was written; `None` if it was not.
    sent_at: Option<Time>,
}

impl Exchange {
    /// No request was written, and the connection cannot be reused.
    const fn failed(outcome: Outcome) -> Self {
        Self {
            received: ReceivedReply {
                reply: UpstreamReply::without_details(outcome),
                reusable: false,
            },
            sent_at: None,
        }
    }

    /// The request must not be sent any more; the connection can carry the next one.
    const fn not_sent() -> Self {
        Self {
            received: ReceivedReply {
                reply: UpstreamReply::without_details(Outcome::NotSent),
                reusable: true,
            },
            sent_at: None,
        }
    }
}

impl UpstreamConnection {
    pub(super) fn new(id: ConnectionId, address: &Arc<str>, context: Arc<UpstreamContext>) -> Self {
        Self {
            id,
            context,
            address: address.parse().ok(),
            control: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    pub(super) fn control(&self) -> MutexGuard<'_, ConnectionControl> {
        lock(&self.control)
    }

    /// Closes the connection, even if it carries a job. Called by the core's thread.
    pub(super) fn close(&self) {
        let mut control = self.control();
        control.closed = true;
        control.body_waiter = None;
        if let Some(stream) = control.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Runs a job and reports its outcome to the core.
    pub(super) fn run(&self, job: &UpstreamJob) {
        // If an endpoint has closed an idle connection or was restarted, this is detected before
        // anything is written: the request has not been sent then, and uses a new connection.
        let idle = lock(&self.idle).take();
        let connection = match idle.filter(|idle| is_reusable(idle)) {
            Some(connection) => Ok(connection),
            None => self.open(job),
        };
        // An unfinished streamed response is truncated when this function returns, after the reason
        // was reported to the core.
        let body = RefCell::new(None);
        let exchange = match connection {
            Err(outcome) => Exchange::failed(outcome),
            Ok(connection) => {
                let open_body = || {
                    let opened = self.open_body(&connection)?;
                    *body.borrow_mut() = Some(Arc::clone(&opened));
                    Some(opened)
                };
                let exchange = self.exchange(&connection, job, &open_body);
                let idle = exchange.received.reusable.then_some(connection);
                *lock(&self.idle) = idle;
                exchange
            }
        };
        if !exchange.received.reusable {
            self.control().stream = None;
        }
        self.report(exchange, body.into_inner());
    }

    /// Reports the outcome to the core, and then writes the last bytes of a streamed response: the
    /// client may send its next request as soon as it receives them, and this connection has to be
    /// free by then.
    fn report(&self, exchange: Exchange, body: Option<Arc<ResponseBody>>) {
        let ReceivedReply {
            mut reply,
            reusable,
        } = exchange.received;
        let mut last_bytes = None;
        if body.is_some() && reply.outcome == Outcome::Ok {
            last_bytes = reply.body.take();
        }
        // Held until the event is queued, so that the core learns of a clock correction before or
        // after all times of this reply, but not in between.
        let mut cluster = self.context.clock.cluster();
        if let Some(sent_at) = exchange.sent_at {
            let window = ReplyWindow {
                sent_at,
                received_at: self.context.clock.now(),
            };
            check_times(
                &mut cluster,
                &mut reply,
                window,
                self.context.clock,
                &self.context.events,
                self.context.requires_verified_clock,
            );
        }
        let _ = self.context.events.send(Event::AttemptEnded {
            connection: self.id,
            reply,
            reusable,
        });
        drop(cluster);
        if let (Some(body), Some(last_bytes)) = (body, last_bytes) {
            // A failure means that the client has disconnected, which its own connection reports.
            let _ = body.finish(&last_bytes);
        }
    }

    /// Connects and performs the protocol's handshake, both within the connect timeout and the
    /// job's deadline.
    fn open(&self, job: &UpstreamJob) -> Result<Arc<PooledConnection>, Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        let address = self.address.ok_or(Outcome::ConnectFailed)?;
        let slot = self
            .context
            .limiter
            .acquire_upstream()
            .ok_or(Outcome::LocalFailure)?;
        let began_at = self.context.clock.now();
        let job_timeout = match job {
            UpstreamJob::Request { deadline, .. } => {
                Duration::from_micros((*deadline - began_at).0.max(1_000).unsigned_abs())
            }
            UpstreamJob::HealthCheck => self.context.connect_timeout,
        };
        let timeout = job_timeout.min(self.context.connect_timeout);
        let stream = self.connect(&address, timeout)?;
        stream.set_nodelay(true).map_err(failed)?;
        let connection = Arc::new(PooledConnection {
            stream,
            _slot: slot,
        });
        {
            let mut control = self.control();
            if control.closed {
                return Err(Outcome::ConnectFailed);
            }
            control.stream = Some(Arc::clone(&connection));
        }
        let spent_micros = (self.context.clock.now() - began_at).0.unsigned_abs();
        let left = timeout.saturating_sub(Duration::from_micros(spent_micros));
        connection
            .set_read_timeout(Some(left.max(MIN_TIMEOUT)))
            .map_err(failed)?;
        self.context.protocol.open(&connection)?;
        connection.set_read_timeout(None).map_err(failed)?;
        Ok(connection)
    }

    /// Connects to the endpoint. A failure for lack of a local resource says nothing about the
    /// endpoint and usually does not last, so the connect is retried.
    fn connect(&self, address: &SocketAddr, timeout: Duration) -> Result<TcpStream, Outcome> {
        let began_at = Instant::now();
        let mut pause = LOCAL_RETRY_INTERVAL;
        loop {
            let left = timeout.saturating_sub(began_at.elapsed()).max(MIN_TIMEOUT);
            let error = match TcpStream::connect_timeout(address, left) {
                Ok(stream) => return Ok(stream),
                Err(e) if !is_local_failure(&e) => return Err(Outcome::ConnectFailed),
                Err(e) => e,
            };
            let gives_up = began_at.elapsed() + pause > timeout.min(LOCAL_RETRY_TIMEOUT);
            if gives_up || self.control().closed {
                tracing::warn!(%error, %address, "connect failed for lack of a local resource");
                return Err(Outcome::LocalFailure);
            }
            sleep(pause);
            pause *= 2;
        }
    }

    /// Writes a job's request and reads the reply.
    fn exchange(&self, stream: &TcpStream, job: &UpstreamJob, open_body: BodyOpener) -> Exchange {
        let sent_at = self.context.clock.now();
        let left_ms = match job {
            // The request, the endpoint's permit or the window for a retry may have expired during
            // the connect.
            UpstreamJob::Request { permit, .. } if permit.try_acquire(sent_at).is_err() => {
                return Exchange::not_sent();
            }
            UpstreamJob::Request { deadline, .. } => (*deadline - sent_at).0 / 1000,
            UpstreamJob::HealthCheck => {
                i64::try_from(self.context.connect_timeout.as_millis()).unwrap_or(i64::MAX)
            }
        };
        let request = self.context.protocol.request(job, left_ms.max(1));
        // If writing fails before the last byte, the request was not executed; after the last byte,
        // it may have been.
        let mut writer = stream;
        if writer.write_all(&request).is_err() {
            return Exchange::failed(Outcome::ConnectFailed);
        }
        // The wait for the reply may be long.
        drop(request);
        if let (UpstreamJob::Request { payload, .. }, Some(metrics)) = (job, &self.context.metrics)
        {
            metrics.count_attempt_sent(payload.class);
        }
        let received = self.context.protocol.answer(stream, job, open_body);
        Exchange {
            received,
            sent_at: Some(sent_at),
        }
    }
}

/// Whether a connect failed for lack of a local resource: descriptors, ports, memory or a route.
fn is_local_failure(error: &io::Error) -> bool {
    const LOCAL_ERRORS: [i32; 8] = [
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
        .is_some_and(|number| LOCAL_ERRORS.contains(&number))
}

/// Whether an idle connection is open and has received no unsolicited bytes.
fn is_reusable(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = stream.peek(&mut [0]);
    let is_empty = matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock);
    is_empty && stream.set_nonblocking(false).is_ok()
}
