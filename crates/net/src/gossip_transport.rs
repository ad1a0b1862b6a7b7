//! Gossip between gateways over UDP: membership, and endpoint lists for gateways that have none.
//!
//! A datagram has at most 256 bytes: a header with a version, a channel and the fleet, followed by
//! a message. Messages are opaque to this module, and the packages that encode them know neither
//! sockets nor the header. A datagram of another version or fleet, or from an address that is not
//! allowed for gateways, is counted and dropped.
//!
//! One thread receives datagrams and runs the timers. Any thread may report a change, and sends the
//! resulting datagrams itself. State: the membership and the requests for lists, each behind a
//! mutex that is not held while a datagram is sent.

use std::error::Error;
use std::fmt;
use std::hash::Hasher;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::Sender;
use rustix::time::{ClockId, clock_gettime};
use siphasher::sip::SipHasher13;
use valehatch_config::peers::PeerSettings;
use valehatch_core::Event;
use valehatch_membership::view_changes::{ChangeReason, ViewChange};
use valehatch_membership::wire::Phase;
use valehatch_membership::{Effect, InvalidSettings, Load, Membership, MembershipEvent, Settings};
use valehatch_policy::{Span, Time};
use valehatch_recovery::list_exchange::{self as lists, ConfirmedList, ListExchange};

use crate::discovery::EndpointListStore;
use crate::{lock, spawn};

/// The longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The version of the header; datagrams with another version are dropped.
const VERSION: u8 = 2;
/// Length of the header: version, channel, and four bytes for the fleet.
const HEADER_BYTES: usize = 6;
/// The channel of membership datagrams.
const MEMBERSHIP_CHANNEL: u8 = 1;
/// The channel of requests for endpoint lists and their answers.
const LISTS_CHANNEL: u8 = 2;
/// The shortest wait for a datagram.
const MIN_WAIT: Span = Span::from_millis(1);
/// The longest wait for a datagram; bounded because other threads may have started an earlier
/// timer.
const MAX_WAIT: Span = Span::from_millis(100);
/// Pause after a failed receive.
const RECEIVE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Numbers of dropped datagrams, by reason.
#[derive(Debug, Default)]
pub struct DroppedDatagrams {
    /// Received from an address that is not allowed for gateways.
    pub foreign: AtomicU64,
    /// Received with too many or too few bytes.
    pub size: AtomicU64,
    /// Received with another version or fleet, or an unknown channel.
    pub other: AtomicU64,
    /// Not sent, because the kernel refused it or the address is not allowed for gateways.
    pub unsent: AtomicU64,
}

/// A front whose endpoint list is requested from other gateways and sent to them.
pub struct GossipedList {
    /// The front's name, which identifies it among gateways.
    pub front: Arc<str>,
    /// The front's endpoint list.
    pub store: Arc<Mutex<EndpointListStore>>,
}

/// Settings and dependencies of a gossip transport.
pub struct GossipConfig {
    /// Peer settings of the operators' configuration.
    pub peers: PeerSettings,
    /// Number of gateways by the operators' settings; shared budgets are divided by at least this
    /// number.
    pub configured_gateways: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// Cores that are notified when the number of gateways changes.
    pub cores: Vec<Sender<Event>>,
    /// The number of gateways by which shared budgets are divided; kept up to date by the
    /// transport.
    pub gateway_count: Arc<AtomicU32>,
    /// The fronts whose lists are gossiped.
    pub lists: Vec<GossipedList>,
}

/// Quality of this gateway's service, as announced to other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServicePhase {
    /// The gateway was started and has not recovered all of its earlier state.
    Starting,
    /// The gateway serves as well as before the start.
    Full,
}

/// Reason why gossip could not be started.
#[derive(Debug)]
pub enum GossipStartError {
    /// The membership protocol does not accept the settings.
    Settings(InvalidSettings),
    /// The address cannot be bound.
    Bind {
        /// The address in the settings.
        address: SocketAddr,
        /// The cause of the failure.
        error: io::Error,
    },
    /// The transport's thread cannot be started.
    Thread(io::Error),
}

impl fmt::Display for GossipStartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(e) => write!(f, "peers: {e}"),
            Self::Bind { address, error } => write!(f, "peers.listen: {address}: {error}"),
            Self::Thread(e) => write!(f, "peers: {e}"),
        }
    }
}

impl Error for GossipStartError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Settings(e) => Some(e),
            Self::Bind { error, .. } | Self::Thread(error) => Some(error),
        }
    }
}

/// The boot-time clock, which continues while the machine sleeps: a gateway that was suspended has
/// to detect it.
fn now() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    let micros = now.tv_sec.saturating_mul(1_000_000);
    Time(micros.saturating_add(now.tv_nsec / 1000))
}

/// The hash that identifies a name among gateways.
fn name_hash(name: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    u32::try_from(hasher.finish() >> 32).unwrap_or(0)
}

fn header(channel: u8, fleet: &str) -> [u8; HEADER_BYTES] {
    let [a, b, c, d] = name_hash(fleet).to_be_bytes();
    [VERSION, channel, a, b, c, d]
}

/// A received message.
#[derive(Clone, Copy, Debug)]
struct Received<'a> {
    channel: u8,
    message: &'a [u8],
}

/// The gossip transport of one gateway.
pub struct GossipTransport {
    socket: UdpSocket,
    peers: PeerSettings,
    membership: Mutex<Membership>,
    /// The version of the membership view up to which changes were logged.
    logged_view: AtomicU64,
    list_requests: Mutex<ListExchange>,
    lists: Vec<GossipedList>,
    cores: Vec<Sender<Event>>,
    gateway_count: Arc<AtomicU32>,
    /// Numbers of datagrams dropped since the start.
    pub dropped: DroppedDatagrams,
}

impl GossipTransport {
    /// Binds the address and gossips until the program ends.
    ///
    /// # Errors
    /// See [`GossipStartError`].
    pub fn start(config: GossipConfig) -> Result<Arc<Self>, GossipStartError> {
        let GossipConfig {
            peers,
            configured_gateways,
            seed,
            cores,
            gateway_count,
            lists,
        } = config;
        let wall_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_millis());
        let settings = Settings {
            local_address: peers.advertise,
            seeds: peers.seeds.clone(),
            zone: 0,
            version: build_number(env!("CARGO_PKG_VERSION")),
            probe_interval: Span::from_millis(peers.probe_interval_ms),
            max_members: peers.max_gateways,
            max_bytes_per_second: peers.bytes_per_s,
            configured_fleet_size: configured_gateways,
            shrink_delay: Span::from_millis(peers.shrink_delay_ms),
        };
        let wall_ms = u64::try_from(wall_ms).unwrap_or(0);
        let membership =
            Membership::new(settings, wall_ms, seed, now()).map_err(GossipStartError::Settings)?;
        let socket = UdpSocket::bind(peers.listen).map_err(|error| GossipStartError::Bind {
            address: peers.listen,
            error,
        })?;
        let hashes: Vec<u32> = lists.iter().map(|list| name_hash(&list.front)).collect();
        let list_requests = ListExchange::new(&hashes, seed, now());
        let transport = Arc::new(Self {
            socket,
            peers,
            membership: Mutex::new(membership),
            logged_view: AtomicU64::new(0),
            list_requests: Mutex::new(list_requests),
            lists,
            cores,
            gateway_count,
            dropped: DroppedDatagrams::default(),
        });
        let running = Arc::clone(&transport);
        spawn("gossip", move || running.run()).map_err(GossipStartError::Thread)?;
        let address = transport.peers.listen;
        let advertised = transport.peers.advertise;
        tracing::info!(%address, %advertised, "gossiping with other gateways");
        Ok(transport)
    }

    /// Announces to the other gateways that this one is about to exit.
    pub fn leave(&self) {
        self.with_membership(|membership, effects| membership.leave(now(), effects));
    }

    /// Announces the quality of this gateway's service to the others.
    pub fn set_service_phase(&self, phase: ServicePhase) {
        let phase = match phase {
            ServicePhase::Starting => Phase::Starting,
            ServicePhase::Full => Phase::Full,
        };
        self.with_membership(|membership, effects| membership.set_phase(phase, now(), effects));
    }

    /// The other gateways that are considered alive.
    pub fn live_gateways(&self) -> Vec<SocketAddr> {
        lock(&self.membership).live_members().collect()
    }

    /// Runs an action on the membership, and carries out the resulting effects.
    fn with_membership(&self, action: impl FnOnce(&mut Membership, &mut Vec<Effect>)) {
        let mut effects = vec![];
        let mut membership = lock(&self.membership);
        action(&mut membership, &mut effects);
        let logged = self
            .logged_view
            .swap(membership.view_status().version, Ordering::Relaxed);
        // All other changes are logged by an event of their own.
        let phase_changes: Vec<ViewChange> = membership
            .changes_since(logged)
            .filter(|change| change.reason == ChangeReason::MetadataChanged)
            .copied()
            .collect();
        drop(membership);
        for change in phase_changes {
            let phase = phase_name(change.metadata.phase);
            tracing::info!(phase, peer = %change.address, "gateway changed its phase");
        }
        self.execute(effects);
    }

    fn run(&self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let received = self.receive(&mut buffer);
            // The membership first checks whether this gateway was suspended.
            self.with_membership(|membership, effects| {
                if membership.next_due() <= now() {
                    membership.tick(now(), effects);
                }
            });
            match received {
                Ok((length, from)) => self.on_datagram(&buffer[..length], from),
                Err(e) if is_transient(&e) => {}
                Err(e) => {
                    tracing::warn!(error = %e, address = %self.peers.listen, "gateway gossip receive failed");
                    sleep(RECEIVE_RETRY_INTERVAL);
                }
            }
            self.request_lists();
            self.update_gateway_count();
        }
    }

    /// Waits for a datagram, until the next timer is due.
    fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let lists_due = lock(&self.list_requests).next_due();
        let membership_due = lock(&self.membership).next_due();
        let due = lists_due.into_iter().fold(membership_due, Time::min);
        let wait = (due - now()).clamp(MIN_WAIT, MAX_WAIT);
        let timeout = Duration::from_micros(wait.0.unsigned_abs());
        self.socket.set_read_timeout(Some(timeout))?;
        self.socket.recv_from(buffer)
    }

    fn on_datagram(&self, datagram: &[u8], from: SocketAddr) {
        let Some(received) = self.open(datagram, from) else {
            return;
        };
        if received.channel == MEMBERSHIP_CHANNEL {
            self.with_membership(|membership, effects| {
                membership.receive(now(), from, received.message, effects);
            });
        } else {
            self.on_list_message(from, received.message);
        }
    }

    fn update_gateway_count(&self) {
        let gateways = lock(&self.membership).quota_divisor(Load::Overloaded);
        if self.gateway_count.swap(gateways, Ordering::Relaxed) == gateways {
            return;
        }
        tracing::info!(gateways, "gateway count changed");
        for core in &self.cores {
            let _ = core.send(Event::GatewayCount(gateways));
        }
    }

    /// Requests the lists that are not cached.
    fn request_lists(&self) {
        let is_missing = |front: usize| lock(&self.lists[front].store).cache().version.is_none();
        let mut effects = vec![];
        lock(&self.list_requests).tick(now(), is_missing, || self.live_gateways(), &mut effects);
        self.execute_list_effects(effects);
    }

    fn on_list_message(&self, from: SocketAddr, message: &[u8]) {
        let mut effects = vec![];
        let stores: Vec<_> = self.lists.iter().map(|list| lock(&list.store)).collect();
        let confirmed_list = |front: usize| {
            let store = stores.get(front)?;
            Some(ConfirmedList {
                list: store.cache(),
                age: store.confirmation_age()?,
            })
        };
        lock(&self.list_requests).receive(now(), from, message, confirmed_list, &mut effects);
        drop(stores);
        self.execute_list_effects(effects);
    }

    fn execute_list_effects(&self, effects: Vec<lists::Effect>) {
        for effect in effects {
            match effect {
                lists::Effect::Send { to, bytes } => self.send(LISTS_CHANNEL, to, &bytes),
                lists::Effect::ListReceived {
                    front,
                    endpoints,
                    version,
                } => {
                    let list = &self.lists[front];
                    let count = endpoints.len();
                    if lock(&list.store).apply_unconfirmed(endpoints, version) {
                        tracing::info!(
                            front = &*list.front,
                            endpoints = count,
                            version = version.revision,
                            "took the endpoint list of another gateway"
                        );
                    }
                }
            }
        }
    }

    /// Checks the sender and the header of a datagram, and returns its message.
    fn open<'a>(&self, datagram: &'a [u8], from: SocketAddr) -> Option<Received<'a>> {
        let drop_as = |reason: &AtomicU64| {
            reason.fetch_add(1, Ordering::Relaxed);
            None
        };
        if !self.peers.allows(&from) {
            return drop_as(&self.dropped.foreign);
        }
        if !(HEADER_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len()) {
            return drop_as(&self.dropped.size);
        }
        let channel = datagram[1];
        let is_known = [MEMBERSHIP_CHANNEL, LISTS_CHANNEL].contains(&channel);
        match datagram.strip_prefix(&header(channel, &self.peers.fleet)) {
            Some(message) if is_known => Some(Received { channel, message }),
            _ => drop_as(&self.dropped.other),
        }
    }

    fn send(&self, channel: u8, to: SocketAddr, message: &[u8]) {
        let is_sent = self.peers.allows(&to) && {
            let datagram = [&header(channel, &self.peers.fleet)[..], message].concat();
            self.socket.send_to(&datagram, to).is_ok()
        };
        if !is_sent {
            self.dropped.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn execute(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.send(MEMBERSHIP_CHANNEL, to, &bytes),
                Effect::Event(event) => {
                    if matches!(event, MembershipEvent::ProcessPaused(_)) {
                        // The clock that timestamps the lists may have stood still too.
                        for list in &self.lists {
                            lock(&list.store).forget_confirmation();
                        }
                    }
                    log_event(event);
                }
            }
        }
    }
}

/// Whether a receive failed only because there is no datagram. An unreachable peer causes a refused
/// connection, and is detected by its silence anyway.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::Interrupted
            | ErrorKind::WouldBlock
            | ErrorKind::TimedOut
    )
}

const fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Full => "full",
        Phase::Draining => "draining",
    }
}

/// The number of a build such as 1.2.3, made of its last two parts: these differ between the builds
/// of one fleet.
fn build_number(version: &str) -> u16 {
    let mut parts = version
        .split('.')
        .skip(1)
        .map(|part| part.parse::<u16>().unwrap_or(0) & 0xff);
    parts.next().unwrap_or(0) << 8 | parts.next().unwrap_or(0)
}

fn log_event(event: MembershipEvent) {
    match event {
        MembershipEvent::Joined(peer) => tracing::info!(%peer, "gateway joined"),
        MembershipEvent::Restarted(peer) => tracing::info!(%peer, "gateway restarted"),
        MembershipEvent::Suspected(peer) => tracing::info!(%peer, "gateway suspected"),
        MembershipEvent::SuspicionCleared(peer) => tracing::info!(%peer, "gateway responds again"),
        MembershipEvent::Failed(peer) => tracing::warn!(%peer, "gateway failed"),
        MembershipEvent::Left(peer) => tracing::info!(%peer, "gateway left"),
        MembershipEvent::ProcessPaused(span) => {
            let suspended_ms = span.0 / 1000;
            tracing::warn!(suspended_ms, "this gateway was suspended");
        }
        MembershipEvent::Refuted => tracing::info!("this gateway refuted a suspicion"),
        MembershipEvent::DuplicateIdentity(life) => tracing::warn!(
            incarnation = life.number,
            "another gateway has this one's address, give each its own"
        ),
        MembershipEvent::ViewConverged(view) => tracing::info!(
            gateways = view.members,
            digest = %format_args!("{:016x}", view.digest),
            after_ms = view.converged_at.map_or(0, |at| (at - view.since).0 / 1000),
            "membership view settled"
        ),
        MembershipEvent::ViewDiverged => tracing::info!("membership view not settled"),
        MembershipEvent::Synced => tracing::info!("membership synchronized with a gateway"),
    }
}

#[cfg(test)]
mod tests;
