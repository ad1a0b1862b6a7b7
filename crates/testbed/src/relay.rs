//! Relays between real gateways: every datagram from one to another goes through here and may be lost, delayed, doubled,
//! reordered or cut. Each gateway is known to the others by its relay's address.

use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// How datagrams fare.
#[derive(Clone, Debug, Default)]
pub struct NetworkConditions {
    /// Parts of all that are lost and that come twice.
    pub lost: f64,
    pub duplicated: f64,
    /// Drawn for each from nothing to this: later ones overtake earlier ones.
    pub delay: Duration,
    /// Pairs, from and to, between which nothing passes.
    pub cut: Vec<(usize, usize)>,
    /// One that goes by another's address: what it sends comes from there, and what is sent there reaches either.
    pub shared_address: Option<(usize, usize)>,
}

struct Held {
    due: Instant,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Ord for Held {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.due.cmp(&self.due)
    }
}
impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}
impl Eq for Held {}

/// All relays of a fleet.
pub struct Relays {
    sockets: Vec<UdpSocket>,
    /// Where the gateways themselves listen.
    real: Vec<SocketAddr>,
    weather: Mutex<NetworkConditions>,
    rng: Mutex<Xoshiro256PlusPlus>,
    held: Mutex<BinaryHeap<Held>>,
    /// Datagrams that each gateway sent, and their bytes.
    pub sent: Vec<AtomicU64>,
    pub bytes: Vec<AtomicU64>,
    over: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relays {
    /// Listens for so many gateways on an address each; `real` is where they listen themselves.
    ///
    /// # Errors
    /// An address cannot be listened on, or there is no thread.
    pub fn start(real: Vec<SocketAddr>, seed: u64) -> io::Result<Arc<Self>> {
        let sockets = real
            .iter()
            .map(|r| UdpSocket::bind((r.ip(), 0)))
            .collect::<io::Result<Vec<_>>>()?;
        let count = || real.iter().map(|_| AtomicU64::new(0)).collect();
        let (sent, bytes) = (count(), count());
        let relays = Arc::new(Self {
            sockets,
            real,
            weather: Mutex::default(),
            rng: Mutex::new(Xoshiro256PlusPlus::seed_from_u64(seed)),
            held: Mutex::default(),
            sent,
            bytes,
            over: AtomicBool::new(false),
        });
        for to in 0..relays.sockets.len() {
            let ours = Arc::clone(&relays);
            ours.sockets[to].set_read_timeout(Some(Duration::from_millis(100)))?;
            Builder::new()
                .stack_size(128 * 1024)
                .spawn(move || ours.receive(to))?;
        }
        let ours = Arc::clone(&relays);
        Builder::new()
            .stack_size(128 * 1024)
            .spawn(move || ours.deliver())?;
        Ok(relays)
    }

    /// The address by which the others know a gateway.
    ///
    /// # Errors
    /// The machine does not tell it.
    pub fn address(&self, n: usize) -> io::Result<SocketAddr> {
        self.sockets[n].local_addr()
    }

    /// From now on.
    pub fn set(&self, weather: NetworkConditions) {
        *lock(&self.weather) = weather;
    }

    fn receive(&self, to: usize) {
        let mut bytes = [0; 2048];
        while !self.over.load(Ordering::Relaxed) {
            let Ok((length, source)) = self.sockets[to].recv_from(&mut bytes) else {
                continue;
            };
            let Some(from) = self.real.iter().position(|r| *r == source) else {
                continue;
            };
            self.sent[from].fetch_add(1, Ordering::Relaxed);
            self.bytes[from].fetch_add(length as u64, Ordering::Relaxed);
            let weather = lock(&self.weather).clone();
            let mut rng = lock(&self.rng);
            if weather.cut.contains(&(from, to)) || rng.random_bool(weather.lost) {
                continue;
            }
            let (other, name) = weather.shared_address.unwrap_or((from, from));
            let shown = if other == from { name } else { from };
            let to = if weather.shared_address.is_some()
                && name == to
                && (from == to || rng.random_bool(0.5))
            {
                other
            } else {
                to
            };
            let copies = 1 + usize::from(rng.random_bool(weather.duplicated));
            for _ in 0..copies {
                let due = Instant::now() + weather.delay.mul_f64(rng.random());
                lock(&self.held).push(Held {
                    due,
                    from: shown,
                    to,
                    bytes: bytes[..length].to_vec(),
                });
            }
        }
    }

    fn deliver(&self) {
        while !self.over.load(Ordering::Relaxed) {
            let now = Instant::now();
            loop {
                let mut held = lock(&self.held);
                if held.peek().is_none_or(|h| h.due > now) {
                    break;
                }
                let Some(next) = held.pop() else { break };
                drop(held);
                // It comes from the address by which its sender is known.
                let _ = self.sockets[next.from].send_to(&next.bytes, self.real[next.to]);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Ends the relays' threads.
    pub fn stop(&self) {
        self.over.store(true, Ordering::Relaxed);
    }
}
