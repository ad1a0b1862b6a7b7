//! UDP relays between real gateways: every datagram passes through a relay, which may drop, delay,
//! duplicate or reorder it, or block a direction altogether. Gateways know each other by the
//! addresses of their relays.

use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Builder;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Network conditions for datagrams between gateways.
#[derive(Clone, Debug, Default)]
pub struct NetworkConditions {
    /// Share of datagrams that is dropped, from 0 to 1.
    pub lost: f64,
    /// Share of datagrams that is delivered twice, from 0 to 1.
    pub duplicated: f64,
    /// Longest delay; each datagram's delay is drawn between zero and this, so that datagrams are
    /// reordered.
    pub delay: Duration,
    /// Blocked directions, as pairs of sender and receiver.
    pub cut: Vec<(usize, usize)>,
    /// A gateway (first) that uses the address of another (second): its datagrams carry that source
    /// address, and datagrams to that address reach either of the two.
    pub shared_address: Option<(usize, usize)>,
}

/// A datagram waiting for delivery.
struct DelayedDatagram {
    due: Instant,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Ord for DelayedDatagram {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.due.cmp(&self.due)
    }
}
impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}
impl Eq for DelayedDatagram {}

/// The relays of a fleet, one for each gateway.
pub struct Relays {
    sockets: Vec<UdpSocket>,
    /// Addresses on which the gateways themselves listen.
    real: Vec<SocketAddr>,
    conditions: Mutex<NetworkConditions>,
    rng: Mutex<Xoshiro256PlusPlus>,
    delayed: Mutex<BinaryHeap<DelayedDatagram>>,
    /// Datagrams sent by each gateway.
    pub sent: Vec<AtomicU64>,
    /// Bytes sent by each gateway.
    pub bytes: Vec<AtomicU64>,
    over: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relays {
    /// Starts a relay for each gateway; `real` holds the addresses on which the gateways listen.
    ///
    /// # Errors
    /// Binding an address or starting a thread failed.
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
            conditions: Mutex::default(),
            rng: Mutex::new(Xoshiro256PlusPlus::seed_from_u64(seed)),
            delayed: Mutex::default(),
            sent,
            bytes,
            over: AtomicBool::new(false),
        });
        for to in 0..relays.sockets.len() {
            let shared = Arc::clone(&relays);
            shared.sockets[to].set_read_timeout(Some(Duration::from_millis(100)))?;
            Builder::new()
                .stack_size(128 * 1024)
                .spawn(move || shared.receive(to))?;
        }
        let shared = Arc::clone(&relays);
        Builder::new()
            .stack_size(128 * 1024)
            .spawn(move || shared.deliver())?;
        Ok(relays)
    }

    /// Relay address by which the other gateways reach gateway `n`.
    ///
    /// # Errors
    /// The local address of the socket cannot be read.
    pub fn address(&self, n: usize) -> io::Result<SocketAddr> {
        self.sockets[n].local_addr()
    }

    /// Sets the conditions for datagrams received from now on.
    pub fn set(&self, conditions: NetworkConditions) {
        *lock(&self.conditions) = conditions;
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
            let conditions = lock(&self.conditions).clone();
            let mut rng = lock(&self.rng);
            if conditions.cut.contains(&(from, to)) || rng.random_bool(conditions.lost) {
                continue;
            }
            let (other, name) = conditions.shared_address.unwrap_or((from, from));
            let apparent_sender = if other == from { name } else { from };
            let to = if conditions.shared_address.is_some()
                && name == to
                && (from == to || rng.random_bool(0.5))
            {
                other
            } else {
                to
            };
            let copies = 1 + usize::from(rng.random_bool(conditions.duplicated));
            for _ in 0..copies {
                let due = Instant::now() + conditions.delay.mul_f64(rng.random());
                lock(&self.delayed).push(DelayedDatagram {
                    due,
                    from: apparent_sender,
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
                let mut delayed = lock(&self.delayed);
                if delayed.peek().is_none_or(|h| h.due > now) {
                    break;
                }
                let Some(next) = delayed.pop() else { break };
                drop(delayed);
                // Sent from the relay of the sender, the address by which others know it.
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
