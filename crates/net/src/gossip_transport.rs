//! The link between gateways: datagrams of at most 256 bytes over UDP, each with a version, the fleet and a channel in front.
//!
//! Nothing here knows what is said, and who speaks on a channel knows neither sockets nor what is in front. A datagram that
//! is not of this version and fleet, or comes from nowhere that a gateway may be, is counted and dropped.

use std::hash::Hasher;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::Sender;
use rustix::time::{ClockId, clock_gettime};
use siphasher::sip::SipHasher13;
use valehatch_config::peers::PeerSettings;
use valehatch_core::Event;
use valehatch_membership::view_changes::{ChangeReason, ViewChange};
use valehatch_membership::wire::Phase;
use valehatch_membership::{Effect, Load, Membership, MembershipEvent, Settings};
use valehatch_policy::{Span, Time};
use valehatch_recovery::list_exchange as lists;

use crate::discovery::EndpointListStore;
use crate::lock;

/// Bytes of a datagram at the most.
pub const MOST: usize = 256;
/// The version that is spoken here; others are dropped.
const VERSION: u8 = 2;
/// What is in front: version, channel, fleet.
const FRONT: usize = 6;
/// The channels: membership, and lists asked of others.
const MEMBERSHIP: u8 = 1;
const LISTS: u8 = 2;
/// How long is waited for a datagram before the time is looked at again.
const LOOK: Span = Span::from_millis(100);

/// Why datagrams were dropped, by count.
#[derive(Debug, Default)]
pub struct Dropped {
    /// From nowhere that a gateway may be.
    pub foreign: AtomicU64,
    /// Too long or too short.
    pub size: AtomicU64,
    /// Of another version, fleet, or an unknown channel.
    pub other: AtomicU64,
    /// Not sent: the machine would not take it.
    pub unsent: AtomicU64,
}

/// Time that goes on while the machine sleeps: whoever stood still has to see that it did.
fn now() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    Time(
        now.tv_sec
            .saturating_mul(1_000_000)
            .saturating_add(now.tv_nsec / 1000),
    )
}

/// A number by which a name is known over gateways.
fn mark(name: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    u32::try_from(hasher.finish() >> 32).unwrap_or(0)
}

fn front(channel: u8, fleet: &str) -> [u8; FRONT] {
    let [a, b, c, d] = mark(fleet).to_be_bytes();
    [VERSION, channel, a, b, c, d]
}

/// The fronts whose lists are asked of others, and told to them: name, and what takes their lists in.
pub type Lists = Vec<(Arc<str>, Arc<Mutex<EndpointListStore>>)>;

/// The link, and the membership that speaks on it.
pub struct GossipTransport {
    socket: UdpSocket,
    peers: PeerSettings,
    heart: Mutex<Membership>,
    /// The version of the view up to which its changes were told.
    told: AtomicU64,
    asks: Mutex<lists::ListExchange>,
    takers: Lists,
    cores: Vec<Sender<Event>>,
    /// Gateways by which what is shared is divided.
    fleet: Arc<AtomicU32>,
    pub dropped: Dropped,
}

impl GossipTransport {
    /// Listens, and speaks from then on until the program ends. Whenever the size of the fleet changes, `cores` and `fleet`
    /// are told.
    ///
    /// # Errors
    /// The address cannot be listened on, or the settings cannot be worked with.
    pub fn start(
        peers: PeerSettings,
        configured: u32,
        seed: u64,
        cores: Vec<Sender<Event>>,
        fleet: Arc<AtomicU32>,
        takers: Lists,
    ) -> Result<Arc<Self>, String> {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis());
        let set = Settings {
            local_address: peers.advertise,
            seeds: peers.seeds.clone(),
            zone: 0,
            version: version(env!("CARGO_PKG_VERSION")),
            probe_interval: Span::from_millis(peers.probe_interval_ms),
            max_members: peers.max_gateways,
            max_bytes_per_second: peers.bytes_per_s,
            configured_fleet_size: configured,
            shrink_delay: Span::from_millis(peers.shrink_delay_ms),
        };
        let heart = Membership::new(set, u64::try_from(wall).unwrap_or(0), seed, now());
        let heart = heart.map_err(|e| format!("peers: {e}"))?;
        let bound = UdpSocket::bind(peers.listen)
            .map_err(|e| format!("peers.listen: {}: {e}", peers.listen))?;
        let marks: Vec<u32> = takers.iter().map(|(name, _)| mark(name)).collect();
        let asks = Mutex::new(lists::ListExchange::new(&marks, seed, now()));
        let (heart, told, dropped) = (Mutex::new(heart), AtomicU64::new(0), Dropped::default());
        let link = Self {
            socket: bound,
            peers,
            heart,
            told,
            asks,
            takers,
            cores,
            fleet,
            dropped,
        };
        let link = Arc::new(link);
        let ours = Arc::clone(&link);
        crate::spawn("peers", move || ours.run()).map_err(|e| format!("peers: {e}"))?;
        tracing::info!(
            "peers: listens on {}, known as {}",
            link.peers.listen,
            link.peers.advertise
        );
        Ok(link)
    }

    /// This gateway is about to end: others are told.
    pub fn leave(&self) {
        self.tend(|heart, out| heart.leave(now(), out));
    }

    /// Whether service is as good as before this start: all in the view hear of it.
    pub fn full(&self, full: bool) {
        let phase = if full { Phase::Full } else { Phase::Starting };
        self.tend(|heart, out| heart.set_phase(phase, now(), out));
    }

    fn tend(&self, what: impl FnOnce(&mut Membership, &mut Vec<Effect>)) {
        let mut out = vec![];
        let changes: Vec<ViewChange> = {
            let mut heart = lock(&self.heart);
            what(&mut heart, &mut out);
            let told = self
                .told
                .swap(heart.view_status().version, Ordering::Relaxed);
            // All else has a note of its own.
            heart
                .changes_since(told)
                .filter(|c| c.reason == ChangeReason::MetadataChanged)
                .copied()
                .collect()
        };
        changes
            .iter()
            .for_each(|c| tracing::info!("peers: {} is {}", c.address, named(c.metadata.phase)));
        self.carry_out(out);
    }

    /// The other gateways that are taken to live.
    pub fn living(&self) -> Vec<SocketAddr> {
        lock(&self.heart).live_members().collect()
    }

    fn run(&self) {
        let mut bytes = [0; MOST + 1];
        loop {
            let asks = lock(&self.asks).next_due();
            let due = asks
                .into_iter()
                .fold(lock(&self.heart).next_due(), Time::min);
            let wait = (due - now()).clamp(Span(1_000), LOOK);
            let wait = Duration::from_micros(wait.0.unsigned_abs());
            let came = self
                .socket
                .set_read_timeout(Some(wait))
                .and_then(|()| self.socket.recv_from(&mut bytes));
            // Whether this gateway has stood still comes before all else.
            self.tend(|heart, out| {
                if heart.next_due() <= now() {
                    heart.tick(now(), out);
                }
            });
            match came {
                Ok((length, from)) => match self.open(&bytes[..length], from) {
                    Some((MEMBERSHIP, said)) => {
                        self.tend(|heart, out| heart.receive(now(), from, said, out))
                    }
                    Some((_, said)) => self.hear_of_lists(from, said),
                    None => {}
                },
                // A port that nobody listens on any more is told of by an error: silence says the same.
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::ConnectionRefused | ErrorKind::Interrupted
                    ) => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => {
                    tracing::warn!("peers: {}: {e}", self.peers.listen);
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
            self.ask_for_lists();
            let share = lock(&self.heart).quota_divisor(Load::Overloaded);
            if self.fleet.swap(share, Ordering::Relaxed) != share {
                tracing::info!("peers: what is shared is divided by {share}");
                self.cores
                    .iter()
                    .for_each(|core| drop(core.send(Event::GatewayCount(share))));
            }
        }
    }

    /// Whoever holds no list asks others for theirs.
    fn ask_for_lists(&self) {
        let wants = |n: usize| lock(&self.takers[n].1).cache().version.is_none();
        let mut out = vec![];
        lock(&self.asks).tick(now(), wants, || self.living(), &mut out);
        self.carry_out_lists(out);
    }

    fn hear_of_lists(&self, from: SocketAddr, said: &[u8]) {
        let mut out = vec![];
        let held: Vec<_> = self.takers.iter().map(|(_, taker)| lock(taker)).collect();
        let tells = |n: usize| {
            let store = held.get(n)?;
            Some(lists::ConfirmedList {
                list: store.cache(),
                age: store.confirmation_age()?,
            })
        };
        lock(&self.asks).receive(now(), from, said, tells, &mut out);
        drop(held);
        self.carry_out_lists(out);
    }

    fn carry_out_lists(&self, out: Vec<lists::Effect>) {
        for effect in out {
            match effect {
                lists::Effect::Send { to, bytes } => self.send(LISTS, to, &bytes),
                lists::Effect::ListReceived {
                    front,
                    endpoints,
                    version,
                } => {
                    let (name, taker) = &self.takers[front];
                    let count = endpoints.len();
                    if lock(taker).apply_unconfirmed(endpoints, version) {
                        tracing::info!(
                            "peers: front {name}: {count} servers at version {} from another gateway",
                            version.revision
                        );
                    }
                }
            }
        }
    }

    /// What a datagram says, on which channel, if it may be heard.
    fn open<'a>(&self, bytes: &'a [u8], from: SocketAddr) -> Option<(u8, &'a [u8])> {
        let drop_for = |why: &AtomicU64| {
            why.fetch_add(1, Ordering::Relaxed);
            None
        };
        if !self.peers.allows(&from) {
            return drop_for(&self.dropped.foreign);
        }
        if !(FRONT..=MOST).contains(&bytes.len()) {
            return drop_for(&self.dropped.size);
        }
        let channel = bytes[1];
        match bytes.strip_prefix(&front(channel, &self.peers.fleet)) {
            Some(said) if [MEMBERSHIP, LISTS].contains(&channel) => Some((channel, said)),
            _ => drop_for(&self.dropped.other),
        }
    }

    fn send(&self, channel: u8, to: SocketAddr, said: &[u8]) {
        let sent = if self.peers.allows(&to) {
            self.socket
                .send_to(&[&front(channel, &self.peers.fleet)[..], said].concat(), to)
        } else {
            Err(io::Error::from(ErrorKind::PermissionDenied))
        };
        if sent.is_err() {
            self.dropped.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn carry_out(&self, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send { to, bytes } => self.send(MEMBERSHIP, to, &bytes),
                Effect::Event(note) => {
                    if matches!(note, MembershipEvent::ProcessPaused(_)) {
                        // The clock by which lists are dated may have stood still too.
                        self.takers
                            .iter()
                            .for_each(|(_, taker)| lock(taker).forget_confirmation());
                    }
                    say(note);
                }
            }
        }
    }
}

const fn named(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Full => "full",
        Phase::Draining => "draining",
    }
}

/// A version such as 1.2.3 as a number: its last two parts, which tell the builds of one fleet apart.
fn version(text: &str) -> u16 {
    let mut parts = text
        .split('.')
        .skip(1)
        .map(|part| part.parse::<u16>().unwrap_or(0) & 0xff);
    parts.next().unwrap_or(0) << 8 | parts.next().unwrap_or(0)
}

fn say(note: MembershipEvent) {
    match note {
        MembershipEvent::Joined(peer) => tracing::info!("peers: {peer} is there"),
        MembershipEvent::Restarted(peer) => tracing::info!("peers: {peer} has started anew"),
        MembershipEvent::Suspected(peer) => tracing::info!("peers: {peer} does not answer"),
        MembershipEvent::SuspicionCleared(peer) => {
            tracing::info!("peers: {peer} answers after all")
        }
        MembershipEvent::Failed(peer) => tracing::warn!("peers: {peer} counts as dead"),
        MembershipEvent::Left(peer) => tracing::info!("peers: {peer} has ended as planned"),
        MembershipEvent::ProcessPaused(span) => {
            tracing::warn!("peers: this gateway stood still for {} ms", span.0 / 1000)
        }
        MembershipEvent::Refuted => {
            tracing::info!("peers: was taken for gone or for a former self, and says otherwise")
        }
        MembershipEvent::DuplicateIdentity(life) => tracing::warn!(
            "peers: another gateway has this one's address (start {} of it): give each its own",
            life.number
        ),
        MembershipEvent::ViewConverged(view) => tracing::info!(
            "peers: the view is settled: {} gateways hold {:016x}, {} ms after it changed",
            view.members,
            view.digest,
            view.converged_at.map_or(0, |at| (at - view.since).0 / 1000)
        ),
        MembershipEvent::ViewDiverged => tracing::info!("peers: the view is not settled"),
        MembershipEvent::Synced => {
            tracing::info!("peers: all that another gateway knew is known here")
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn builds_are_told_apart_by_number() {
        assert_eq!(
            [
                version("0.4.0"),
                version("0.4.1"),
                version("1"),
                version("")
            ],
            [1024, 1025, 0, 0]
        );
    }

    #[test]
    fn fleets_are_told_apart_in_front_and_all_fits_a_datagram() {
        assert_ne!(
            front(MEMBERSHIP, "vestera"),
            front(MEMBERSHIP, "vestera-test")
        );
        const {
            assert!(
                FRONT + valehatch_membership::wire::MAX_DATAGRAM_BYTES <= MOST
                    && FRONT + lists::MAX_DATAGRAM_BYTES <= MOST
            )
        };
    }
}
