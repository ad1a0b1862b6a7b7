//! Clients of one gateway: they ask, leave, stop half-way and send many requests at once, and tell the oracle what they
//! were answered.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use socket2::SockRef;

use super::processes::Lifetimes;
use super::world::{CLASSES, Class, World};
use crate::members::{message, pg_message};

/// Requests that are sent at once by a client that does not wait for answers.
const PIPELINE: usize = 8;
/// Time between two of a client's requests, in the mean.
const GAP: Duration = Duration::from_millis(50);
/// How long after its time a client gives an answer up.
const PATIENCE: Duration = Duration::from_millis(900);
/// A request that was written so shortly before its connection ended crossed that end, if its process ended then: it is
/// asked once more.
const CROSSING: Duration = Duration::from_millis(5);
/// So long after a process has ended that is noted at the latest.
const END_NOTED: Duration = Duration::from_millis(100);
/// How long a client that stops in the middle of a request waits for its end: so long it is owed one.
const STOPS: Duration = Duration::from_millis(3_000);

/// One client of a gateway, with connections one after another.
pub struct Client {
    pub world: Arc<World>,
    pub gateway: usize,
    pub address: SocketAddr,
    pub lifetimes: Arc<Lifetimes>,
    pub groups: usize,
    /// Time between two requests.
    pub gap: Duration,
    /// Whether it looks for an end before it sends on a connection that rested.
    pub looks_first: bool,
    pub rng: Xoshiro256PlusPlus,
}

/// A request that was written.
struct Asked {
    id: String,
    at: Duration,
    deadline: Duration,
}

/// An answer: the value, or an error.
enum Answer {
    Value(String),
    Error,
    /// The last word on a connection that ends.
    Farewell,
}

impl Client {
    /// A client with its own random numbers.
    #[must_use]
    pub fn new(
        world: &Arc<World>,
        gateway: usize,
        address: SocketAddr,
        lifetimes: &Arc<Lifetimes>,
        seed: u64,
    ) -> Self {
        let groups = super::world::lock(&world.primaries).len();
        let (world, lifetimes) = (Arc::clone(world), Arc::clone(lifetimes));
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let looks_first = rng.random_bool(0.5);
        Self {
            world,
            gateway,
            address,
            lifetimes,
            groups,
            gap: GAP,
            looks_first,
            rng,
        }
    }

    /// Asks until the run is over.
    pub fn run(mut self) {
        let mut connection = None;
        while !self.world.is_over() {
            sleep(self.gap.mul_f64(0.5 + self.rng.random::<f64>()));
            let rested = connection.take();
            let stream = match rested.filter(|stream| !self.looks_first || !has_come(stream)) {
                Some(stream) => stream,
                None => match connect(self.address) {
                    Ok(stream) => stream,
                    // Down, or about to be: readiness is judged by who starts it.
                    Err(_) => continue,
                },
            };
            connection = self.talk(stream);
        }
    }

    /// Asks on a connection; it, if it can be used again.
    fn talk(&mut self, mut stream: TcpStream) -> Option<TcpStream> {
        let manners = &self.world.manners;
        if manners.stop.load(Ordering::Relaxed) && self.rng.random_bool(0.15) {
            return self.stop_half_way(stream);
        }
        let leaves = manners.leave.load(Ordering::Relaxed) && self.rng.random_bool(0.4);
        let many = manners.pipeline.load(Ordering::Relaxed) && self.rng.random_bool(0.3);
        let count = if many { PIPELINE } else { 1 };
        let mut asked = vec![];
        let mut bytes = vec![];
        for _ in 0..count {
            let class = self.draw_class();
            let id = format!("q{}x{}", self.gateway, self.world.next());
            let at = self.world.now();
            bytes.extend(self.query(&id, class));
            // Noted before it is written: its endpoint may have it at once.
            self.world
                .oracle()
                .on_request(&id, class.effect, class.deadline, at);
            asked.push(Asked {
                id,
                at,
                deadline: class.deadline,
            });
        }
        if stream.write_all(&bytes).is_err() {
            // No gateway has taken what was not written whole.
            asked
                .iter()
                .for_each(|asked| self.world.oracle().on_excused(&asked.id));
            return None;
        }
        if leaves {
            sleep(Duration::from_millis(self.rng.random_range(0..60)));
            if self.rng.random_bool(0.5) {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            drop(stream);
            let at = self.world.now();
            asked
                .iter()
                .for_each(|asked| self.world.oracle().on_client_left(&asked.id, at));
            return None;
        }
        self.read_answers(stream, &asked)
    }

    fn read_answers(&self, mut stream: TcpStream, asked: &[Asked]) -> Option<TcpStream> {
        let mut ahead = Duration::ZERO;
        for (n, request) in asked.iter().enumerate() {
            let end = request.at + request.deadline + ahead + PATIENCE;
            match answer(&mut stream, end.saturating_sub(self.world.now())) {
                Ok(Answer::Farewell) => {
                    let at = self.world.now();
                    self.world.oracle().on_answer(&request.id, None, ahead, at);
                    // One last word answers all that was asked behind it.
                    asked[n + 1..]
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
                    self.give_up(
                        &asked[n..],
                        &format!("its connection ended with no answer: {e}"),
                    );
                    return None;
                }
            }
        }
        Some(stream)
    }

    /// Requests whose connection ended: lost, unless their gateway was killed or they crossed the end of its process.
    fn give_up(&self, asked: &[Asked], why: &str) {
        let now = self.world.now();
        sleep(END_NOTED);
        for request in asked {
            let killed = self.lifetimes.killed_between(self.gateway, request.at, now);
            let crossed = now.saturating_sub(request.at) < CROSSING
                && self
                    .lifetimes
                    .ended_between(self.gateway, request.at, now + END_NOTED);
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

    /// Stops in the middle of a request and stays; the gateway must end that in time.
    fn stop_half_way(&mut self, mut stream: TcpStream) -> Option<TcpStream> {
        let class = self.draw_class();
        let bytes = self.query("half", class);
        let from = self.world.now();
        let _ = stream.write_all(&bytes[..bytes.len() / 2]);
        let _ = stream.set_read_timeout(Some(STOPS));
        let ended =
            !matches!(stream.read(&mut [0; 512]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        let now = self.world.now();
        let excused =
            self.lifetimes.killed_between(self.gateway, from, now) || self.world.is_over();
        if !ended && !excused {
            self.world.oracle().on_lost(
                "half",
                "a client that stopped half-way was left without an end",
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

/// Whether bytes or the end have come on a connection that rests.
fn has_come(stream: &TcpStream) -> bool {
    let mut one = [std::mem::MaybeUninit::uninit()];
    let got = SockRef::from(stream).recv_with_flags(&mut one, libc::MSG_PEEK | libc::MSG_DONTWAIT);
    !matches!(got, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Connects and greets.
///
/// # Errors
/// The gateway does not take the connection.
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

/// The next answer, waited for no longer than this.
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
                return Ok(Answer::Farewell);
            }
            (b'E', _) => given = Answer::Error,
            (b'Z', _) => return Ok(given),
            _ => {}
        }
    }
}
