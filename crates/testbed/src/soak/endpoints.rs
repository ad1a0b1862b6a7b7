//! Stub endpoints: they serve the PostgreSQL protocol, misbehave as the schedule says, and report
//! each attempt to the invariant checker when its last byte has arrived.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{Builder, sleep};
use std::time::{Duration, UNIX_EPOCH};

use socket2::SockRef;

use super::oracle::Attempt;
use super::world::{CLASSES, World, lock, mean_work};
use crate::members::{is_ended, message, pg_message, row};

const STACK_BYTES: usize = 128 * 1024;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Handshake delay while connections come up late.
const DIAL_DELAY: Duration = Duration::from_millis(700);

/// A connection from a gateway to a stub endpoint.
struct Exchange<'a> {
    world: &'a World,
    endpoint: usize,
    gateway: usize,
    connection: u64,
    stream: &'a TcpStream,
}

/// Starts the listener of a stub endpoint for one gateway and serves until the run is over. Each
/// pair of gateway and endpoint has its own address, which identifies the sender of a request.
///
/// # Errors
/// Binding the address or starting the thread failed.
pub fn start(world: &Arc<World>, endpoint: usize, gateway: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let world = Arc::clone(world);
    Builder::new().stack_size(STACK_BYTES).spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if world.is_over() {
                return;
            }
            let down = world.endpoints[endpoint].down.load(Ordering::SeqCst);
            if down {
                reset(&stream);
                continue;
            }
            let world = Arc::clone(&world);
            let _ = Builder::new().stack_size(STACK_BYTES).spawn(move || {
                let connection = world.next_id();
                let exchange = Exchange {
                    world: &world,
                    endpoint,
                    gateway,
                    connection,
                    stream: &stream,
                };
                let _ = exchange.serve();
            });
        }
    })?;
    Ok(address)
}

/// Makes the next close of the connection send a reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Value of a field in the request's leading comment.
fn field<'t>(text: &'t str, name: &str) -> Option<&'t str> {
    let comment = text.strip_prefix("/* ")?.split(" */").next()?;
    comment
        .split(',')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl Exchange<'_> {
    fn serve(&self) -> io::Result<()> {
        let state = &self.world.endpoints[self.endpoint];
        let incarnation = state.incarnation.load(Ordering::SeqCst);
        self.stream.set_nodelay(true)?;
        let mut from = BufReader::new(self.stream);
        let mut head = [0; 4];
        from.read_exact(&mut head)?;
        io::copy(
            &mut from.by_ref().take(u64::from(u32::from_be_bytes(head)) - 4),
            &mut io::sink(),
        )?;
        if state.delays_handshake.load(Ordering::SeqCst) {
            sleep(DIAL_DELAY);
        }
        self.write(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
        // The timeout lets the loop notice an endpoint restart, which resets all connections.
        self.stream.set_read_timeout(Some(POLL_INTERVAL))?;
        loop {
            if self.world.is_over() || state.incarnation.load(Ordering::SeqCst) != incarnation {
                reset(self.stream);
                return Ok(());
            }
            match self.stream.peek(&mut [0]) {
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    continue;
                }
                other => other?,
            };
            self.stream.set_read_timeout(None)?;
            let (kind, body) = pg_message(&mut from)?;
            self.stream.set_read_timeout(Some(POLL_INTERVAL))?;
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body)
                .trim_end_matches('\0')
                .to_owned();
            if text.starts_with("SHOW stats") {
                self.report()?;
            } else if !self.answer(&text, incarnation)? {
                return Ok(());
            }
        }
    }

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&mut &*self.stream).write_all(bytes)
    }

    fn position(&self) -> Duration {
        UNIX_EPOCH
            .elapsed()
            .unwrap_or_default()
            .saturating_sub(self.world.age(self.endpoint))
    }

    fn report(&self) -> io::Result<()> {
        if self.hangs() {
            return Ok(());
        }
        let (position, primary) = (
            self.position().as_secs_f64(),
            self.world.is_primary(self.endpoint),
        );
        let stats = format!(
            "x0={position:.3},x1={},util=0.1,inflight=0",
            u8::from(primary)
        );
        self.write(&[row(&stats, "SELECT 1"), message(b'Z', b"I")].concat())
    }

    fn hangs(&self) -> bool {
        self.world.endpoints[self.endpoint]
            .hangs
            .load(Ordering::SeqCst)
    }

    /// Serves a request; returns whether the connection stays open.
    fn answer(&self, text: &str, incarnation: u64) -> io::Result<bool> {
        let (world, state) = (self.world, &self.world.endpoints[self.endpoint]);
        let id = field(text, "id").unwrap_or_default().to_owned();
        let remaining_ms = field(text, "d")
            .and_then(|d| d.parse().ok())
            .unwrap_or(u64::MAX / 2);
        let class = CLASSES
            .iter()
            .find(|class| field(text, "c") == Some(class.name))
            .unwrap_or(&CLASSES[0]);
        let write = class.need == "mutate";
        // Read first: the data age when the request arrived.
        let age = class.bound.map(|bound| (world.age(self.endpoint), bound));
        let earlier_ended = self.note_out(&id);
        let attempt = Attempt {
            id: &id,
            endpoint: self.endpoint,
            gateway: self.gateway,
            connection: self.connection,
            remaining_ms,
            work: class.work.as_secs_f64() / mean_work().as_secs_f64(),
            age,
            earlier_ended,
        };
        let now = world.now();
        world.oracle().on_attempt(&attempt, now);
        let over = |never_ran: bool| self.note_over(&id, never_ran);
        sleep(class.work);
        while self.hangs() && !is_ended(self.stream) && !world.is_over() {
            if state.incarnation.load(Ordering::SeqCst) != incarnation {
                break;
            }
            sleep(POLL_INTERVAL);
        }
        let primary = world.is_primary(self.endpoint);
        let refused = write && !primary;
        let tag = if write { "INSERT 0 1" } else { "SELECT 1" };
        let answer = if refused {
            message(b'E', b"SERROR\0C25006\0Mreplica\0\0")
        } else {
            row(&id, tag)
        };
        if state.resets.load(Ordering::SeqCst) && world.next_id().is_multiple_of(2) {
            self.write(&answer[..answer.len() / 2])?;
            over(false);
            reset(self.stream);
            return Ok(false);
        }
        if state.corrupts_answers.load(Ordering::SeqCst) && world.next_id().is_multiple_of(2) {
            self.write(&[0, 0xff, 0xff, 0xff, 0xff, 1, 2, 3])?;
            over(false);
            return Ok(false);
        }
        let mode = format!(
            "mode\0{}\0",
            if primary { "read-write" } else { "read-only" }
        );
        let mut bytes = [answer, message(b'S', mode.as_bytes())].concat();
        if write && primary {
            let position = format!("wal_time\0{}\0", self.position().as_millis() + 1);
            bytes.extend(message(b'S', position.as_bytes()));
        }
        bytes.extend(message(b'Z', b"I"));
        // Recorded before the answer is sent, since the gateway's next attempt may arrive at once.
        over(refused);
        self.write(&bytes)?;
        Ok(true)
    }

    /// Records this connection as that of the newest attempt; returns whether the previous
    /// attempt's connection has ended.
    fn note_out(&self, id: &str) -> bool {
        let Ok(stream) = self.stream.try_clone() else {
            return true;
        };
        let before =
            lock(&self.world.open_attempts).insert(id.to_owned(), (self.connection, stream));
        before.is_none_or(|(_, before)| is_ended(&before))
    }

    /// Records that the attempt has ended, or that its connection is about to close.
    fn note_over(&self, id: &str, never_ran: bool) {
        let mut open_attempts = lock(&self.world.open_attempts);
        if open_attempts
            .get(id)
            .is_some_and(|(connection, _)| *connection == self.connection)
        {
            open_attempts.remove(id);
        }
        drop(open_attempts);
        self.world
            .oracle()
            .on_attempt_over(id, self.connection, never_ran);
    }
}
