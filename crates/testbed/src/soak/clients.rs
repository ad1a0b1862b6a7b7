//! Simulated clients of one gateway: they send requests, disconnect, stall in the middle of a
//! request and pipeline, and report each request and answer to the invariant checker.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use socket2::SockRef;

use super::processes::ProcessExits;
use super::world::{CLASSES, Class, World};
use crate::members::{message, pg_message};

/// Requests in a pipelined batch.
const PIPELINE: usize = 8;
/// Mean time between two requests of a client.
const MEAN_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a request's deadline at which a client stops waiting for the answer.
const ANSWER_GRACE: Duration = Duration::from_millis(900);
/// A request written at most this long before its connection closed may have raced with the exit of
/// the gateway process; it is not counted as lost, since a client may send it again.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(5);
/// Longest delay between the exit of a process and its detection by the harness.
const EXIT_DETECTION_DELAY: Duration = Duration::from_millis(100);
/// Time within which the gateway must close the connection of a client that stalls in the middle of
/// a request.
const STALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A client of one gateway that uses one connection at a time.
pub struct Client {
    pub world: Arc<World>,
    pub gateway: usize,
    pub address: SocketAddr,
    pub process_exits: Arc<ProcessExits>,
    pub groups: usize,
    /// Mean time between two requests.
    pub mean_interval: Duration,
    /// Whether the client checks an idle connection for a close before it sends on it.
    pub checks_before_reuse: bool,
    pub rng: Xoshiro256PlusPlus,
}

/// A request that was sent.
struct SentRequest {
    id: String,
    at: Duration,
    deadline: Duration,
}

enum Answer {
    Value(String),
    Error,
    /// A FATAL error; the gateway closes the connection after it.
    ConnectionClosing,
}

impl Client {
    /// A client with its own random number generator.
    #[must_use]
    pub fn new(
        world: &Arc<World>,
        gateway: usize,
        address: SocketAddr,
        process_exits: &Arc<ProcessExits>,
        seed: u64,
    ) -> Self {
        let groups = super::world::lock(&world.primaries).len();
        let (world, process_exits) = (Arc::clone(world), Arc::clone(process_exits));
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let checks_before_reuse = rng.random_bool(0.5);
        Self {
            world,
            gateway,
            address,
            process_exits,
            groups,
            mean_interval: MEAN_REQUEST_INTERVAL,
            checks_before_reuse,
            rng,
        }
    }

    /// Sends requests until the run is over.
    pub fn run(mut self) {
        let mut connection = None;
        while !self.world.is_over() {
            sleep(self.mean_interval.mul_f64(0.5 + self.rng.random::<f64>()));
            let idle = connection.take();
            let stream = match idle
                .filter(|stream| !self.checks_before_reuse || !has_pending_input(stream))
            {
                Some(stream) => stream,
                None => match connect(self.address) {
                    Ok(stream) => stream,
                    // The gateway is down or stopping; the injector checks that it becomes ready in
                    // time.
                    Err(_) => continue,
                },
            };
            connection = self.send_requests(stream);
        }
    }

    /// Sends one request or one pipelined batch; returns the connection if it can be reused.
    fn send_requests(&mut self, mut stream: TcpStream) -> Option<TcpStream> {
        let client_behavior = &self.world.client_behavior;
        if client_behavior.stall.load(Ordering::Relaxed) && self.rng.random_bool(0.15) {
            return self.stall_mid_request(stream);
        }
        let disconnects =
            client_behavior.disconnect.load(Ordering::Relaxed) && self.rng.random_bool(0.4);
        let pipelines =
            client_behavior.pipeline.load(Ordering::Relaxed) && self.rng.random_bool(0.3);
        let count = if pipelines { PIPELINE } else { 1 };
        let mut sent = vec![];
        let mut bytes = vec![];
        for _ in 0..count {
            let class = self.draw_class();
            let id = format!("q{}x{}", self.gateway, self.world.next_id());
            let at = self.world.now();
            bytes.extend(self.query(&id, class));
            // Recorded before the write, since the endpoint may receive the request at once.
            self.world
                .oracle()
                .on_request(&id, class.effect, class.deadline, at);
            sent.push(SentRequest {
                id,
                at,
                deadline: class.deadline,
            });
        }
        if stream.write_all(&bytes).is_err() {
            // The gateway cannot have accepted a request that was not written completely.
            sent.iter()
                .for_each(|sent| self.world.oracle().on_excused(&sent.id));
            return None;
        }
        if disconnects {
            sleep(Duration::from_millis(self.rng.random_range(0..60)));
            if self.rng.random_bool(0.5) {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            drop(stream);
            let at = self.world.now();
            sent.iter()
                .for_each(|sent| self.world.oracle().on_client_left(&sent.id, at));
            return None;
        }
        self.read_answers(stream, &sent)
    }

    fn read_answers(&self, mut stream: TcpStream, sent: &[SentRequest]) -> Option<TcpStream> {
        let mut ahead = Duration::ZERO;
        for (n, request) in sent.iter().enumerate() {
            let end = request.at + request.deadline + ahead + ANSWER_GRACE;
            match answer(&mut stream, end.saturating_sub(self.world.now())) {
                Ok(Answer::ConnectionClosing) => {
                    let at = self.world.now();
                    self.world.oracle().on_answer(&request.id, None, ahead, at);
                    // A FATAL error answers all requests pipelined behind this one as well.
                    sent[n + 1..]
                        .iter()
                        .for_each(|rest| self.world.oracle().on_excused(&rest.id));
                    return None;
                }
                Ok(given) => {
                    let at = self.world.now();
                    let value = if let Answer::Value(value) = &given {
                        Some(value.as_str())
                    } else {
                        None
                    };
                    self.world.oracle().on_answer(&request.id, value, ahead, at);
                    ahead = at - request.at;
                }
                Err(e) => {
                    self.resolve_unanswered(
                        &sent[n..],
                        &format!("its connection ended with no answer: {e}"),
                    );
                    return None;
                }
            }
        }
        Some(stream)
    }

    /// Handles requests whose connection closed: they are lost unless the gateway was killed or
    /// they raced with its exit.
    fn resolve_unanswered(&self, sent: &[SentRequest], why: &str) {
        let now = self.world.now();
        sleep(EXIT_DETECTION_DELAY);
        for request in sent {
            let killed = self
                .process_exits
                .killed_between(self.gateway, request.at, now);
            let crossed = now.saturating_sub(request.at) < CLOSE_RACE_WINDOW
                && self.process_exits.ended_between(
                    self.gateway,
                    request.at,
                    now + EXIT_DETECTION_DELAY,
                );
            if killed || crossed || self.world.is_over() {
                self.world.oracle().on_excused(&request.id);
            } else {
                self.world.oracle().on_lost(
                    &request.id,
                    &format!("gateway {}: {why}", self.gateway),
                    now,
                );
                self.world.oracle().on_excused(&request.id);
            }
        }
    }

    /// Sends half a request and keeps the connection open; the gateway must close it in time.
    fn stall_mid_request(&mut self, mut stream: TcpStream) -> Option<TcpStream> {
        let class = self.draw_class();
        let bytes = self.query("half", class);
        let from = self.world.now();
        let _ = stream.write_all(&bytes[..bytes.len() / 2]);
        let _ = stream.set_read_timeout(Some(STALL_TIMEOUT));
        let ended =
            !matches!(stream.read(&mut [0; 512]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        let now = self.world.now();
        let excused =
            self.process_exits.killed_between(self.gateway, from, now) || self.world.is_over();
        if !ended && !excused {
            self.world.oracle().on_lost(
                "half",
                "the connection of a client that stalled in the middle of a request was not closed in time",
                now,
            );
        }
        None
    }

    fn draw_class(&mut self) -> &'static Class {
        let mut at = self.rng.random_range(0..100);
        for class in &CLASSES {
            if at < class.share {
                return class;
            }
            at -= class.share;
        }
        &CLASSES[0]
    }

    fn query(&mut self, id: &str, class: &Class) -> Vec<u8> {
        let group = self.rng.random_range(0..self.groups);
        let d = class.deadline.as_millis();
        let verb = if class.need == "mutate" {
            "INSERT INTO objects VALUES ('x')"
        } else {
            "SELECT body FROM objects"
        };
        let key = if class.need == "mutate" {
            format!(",k=k{id}")
        } else {
            String::new()
        };
        let text = format!(
            "/* id={id},c={},t=acme,d={d}{key},cluster={group} */ {verb}\0",
            class.name
        );
        message(b'Q', text.as_bytes())
    }
}

/// Whether an idle connection has unread bytes or was closed.
fn has_pending_input(stream: &TcpStream) -> bool {
    let mut one = [std::mem::MaybeUninit::uninit()];
    let got = SockRef::from(stream).recv_with_flags(&mut one, libc::MSG_PEEK | libc::MSG_DONTWAIT);
    !matches!(got, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Connects and completes the PostgreSQL startup handshake.
///
/// # Errors
/// The gateway does not accept the connection.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let fields = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    let length = u32::try_from(fields.len() + 4).unwrap_or(0).to_be_bytes();
    stream.write_all(&[&length[..], fields].concat())?;
    while pg_message(&mut stream)?.0 != b'Z' {}
    Ok(stream)
}

/// Reads the next answer; fails after `wait` without input.
fn answer(stream: &mut TcpStream, wait: Duration) -> io::Result<Answer> {
    stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))))?;
    let mut given = Answer::Error;
    loop {
        match pg_message(stream)? {
            (b'D', body) => {
                given = Answer::Value(
                    body.get(6..)
                        .map(|v| String::from_utf8_lossy(v).into_owned())
                        .unwrap_or_default(),
                );
            }
            (b'E', body) if String::from_utf8_lossy(&body).starts_with("SFATAL") => {
                return Ok(Answer::ConnectionClosing);
            }
            (b'E', _) => given = Answer::Error,
            (b'Z', _) => return Ok(given),
            _ => {}
        }
    }
}
