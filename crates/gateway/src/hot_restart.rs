//! Hot restart: takes over the listening socket and state from the predecessor process, and hands
//! them on to the successor.
//!
//! `valehatch_hot_restart` defines the steps and which process holds which resources at each step.
//! `valehatch_net::hot_restart` implements the socket between the two processes. This module
//! connects them with the front.

use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use tracing::{info, warn};
use valehatch_core::Event;
use valehatch_hot_restart::ProcessLimits;
use valehatch_memory_budget::MemoryBudget;
use valehatch_net::Clock;
use valehatch_net::clients::{AddressSharing, BacklogOwner, Clients, bind_listener};
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_net::hot_restart::{
    HandoffHandle, HandoffHandler, HandoffOutcome, HotRestart, request_handoff,
};
use valehatch_pg::upstream::MAX_BUFFERED_RESPONSE_BYTES;
use valehatch_policy::PeerProcess;
use valehatch_recovery::endpoint_list::EndpointListCache;
use valehatch_recovery::snapshot::Snapshot;

use crate::error::StartError;
use crate::recovery::{RecoverableFront, decode_inherited, unix_ms};
use crate::resources::{
    FrontResources, RESERVED_DESCRIPTORS, platform_limits, resident_bytes, upstream_connections,
};

/// Name of the platform's front in snapshots.
pub(crate) const PLATFORM_FRONT: &str = "platform";
/// Maximum wait of a handoff for a fresh view from the core. Without one, only the endpoint list is
/// current in the snapshot.
const VIEW_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of the checks for a newly published view.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Path of the handoff socket of the gateway that listens at this address; `None` if `TMPDIR` is
/// not set.
pub(crate) fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("handover-{listen}")))
}

/// Resources that a process starts with.
pub(crate) struct Inheritance {
    listener: TcpListener,
    /// The predecessor's snapshot, if it is usable.
    pub(crate) snapshot: Option<Snapshot>,
    /// Connection to the predecessor, if one is running.
    predecessor: Option<UnixStream>,
    /// Whether a predecessor may still be serving, even if it cannot be reached.
    pub(crate) peer: PeerProcess,
}

/// Takes over from the predecessor, or starts without one as after a crash.
///
/// # Errors
/// The address cannot be bound, or two processes of this gateway are already running.
pub(crate) fn inherit(
    path: Option<&PathBuf>,
    gateway: &str,
    listen: SocketAddr,
) -> Result<Inheritance, StartError> {
    let bind_new = |snapshot, predecessor, peer| {
        let listener = bind_listener(listen, AddressSharing::SameUser)
            .map_err(StartError::resource(format!("listen: {listen}")))?;
        Ok(Inheritance {
            listener,
            snapshot,
            predecessor,
            peer,
        })
    };
    let Some(path) = path else {
        return bind_new(None, None, PeerProcess::Gone);
    };
    match request_handoff(path, gateway) {
        HandoffOutcome::NoProcess => bind_new(None, None, PeerProcess::Gone),
        HandoffOutcome::Inherited(inherited) => {
            let snapshot = decode_inherited(&inherited.snapshot, gateway);
            let bytes = inherited.snapshot.len();
            let (listener, predecessor) = (inherited.listener, inherited.connection);
            let Some(listener) = listener else {
                info!(
                    bytes,
                    "hot restart: predecessor is ending, inherited its snapshot"
                );
                return bind_new(snapshot, Some(predecessor), PeerProcess::Serving);
            };
            info!(
                bytes,
                "hot restart: inherited the listening socket and the snapshot"
            );
            Ok(Inheritance {
                listener,
                snapshot,
                predecessor: Some(predecessor),
                peer: PeerProcess::Serving,
            })
        }
        HandoffOutcome::Busy => Err(StartError::HotRestartInProgress),
        HandoffOutcome::Failed { error, connection } => {
            warn!(%error, "hot restart: nothing inherited, starting as after a crash");
            bind_new(None, connection, PeerProcess::Serving)
        }
    }
}

impl Inheritance {
    /// Duplicates the listening socket for the front.
    ///
    /// # Errors
    /// The descriptor cannot be duplicated.
    pub(crate) fn listener(&self) -> std::io::Result<TcpListener> {
        self.listener.try_clone()
    }

    /// Whether a predecessor is connected.
    pub(crate) const fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Notifies the predecessor that this process is serving, and listens for a successor. `None`
    /// without a socket path, or if the socket cannot be opened.
    pub(crate) fn announce(
        self,
        path: Option<PathBuf>,
        process: SharedProcess,
    ) -> Option<HandoffHandle> {
        let hot_restart = HotRestart {
            path: path?,
            gateway: process.gateway.clone(),
            listener: Some(self.listener),
            total_limits: process.limits,
        };
        match hot_restart.start(self.predecessor, Box::new(process)) {
            Ok(handle) => Some(handle),
            Err(error) => {
                warn!(%error, "hot restart: cannot listen for a successor");
                None
            }
        }
    }
}

/// Handles handoff requests for this process: divides resources with the other process and takes
/// the snapshot to hand on.
pub(crate) struct SharedProcess {
    /// Name of the gateway; a handoff takes place only between processes of the same name.
    pub(crate) gateway: String,
    /// Limits for both processes together.
    pub(crate) limits: ProcessLimits,
    /// Number of gateways in the deployment; this gateway's two processes count as one.
    pub(crate) gateway_count: u32,
    /// Event queue of the core.
    pub(crate) events: Sender<Event>,
    /// Client connections of the front.
    pub(crate) clients: Arc<Clients>,
    /// Budget of the bytes that are held for clients.
    pub(crate) memory: Arc<MemoryBudget>,
    /// Limiter of client and upstream connections.
    pub(crate) connections: Arc<SharedConnectionLimiter>,
    /// Source of the snapshot.
    pub(crate) front: RecoverableFront,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Reloads discovery's address from the configuration.
    pub(crate) reload_discovery: Arc<dyn Fn() + Send + Sync>,
}

impl SharedProcess {
    /// Asks the core to publish its view and waits for it, at most [`VIEW_TIMEOUT`].
    fn refresh_view(&self) {
        let (requested_at, give_up_at) = (self.clock.now(), Instant::now() + VIEW_TIMEOUT);
        let _ = self.events.try_send(Event::PublishView);
        let is_fresh = || {
            let board = self.front.board.load();
            board
                .as_ref()
                .is_some_and(|b| b.live.taken_at >= requested_at)
        };
        while !is_fresh() && Instant::now() < give_up_at {
            sleep(VIEW_POLL_INTERVAL);
        }
    }
}

impl HandoffHandler for SharedProcess {
    fn usage(&self) -> ProcessLimits {
        let open = self.connections.counts();
        ProcessLimits {
            descriptors: RESERVED_DESCRIPTORS + open.clients + open.upstream,
            bytes: resident_bytes(),
        }
    }

    fn snapshot(&self) -> Option<Vec<u8>> {
        // Not later: the other process may serve as soon as it has the snapshot.
        let _ = self.events.send(Event::PeerProcess(PeerProcess::Serving));
        self.refresh_view();
        let at_ms = unix_ms();
        let fronts = vec![self.front.snapshot(at_ms, self.clock.now())];
        let snapshot = Snapshot {
            gateway: self.gateway.clone(),
            at_ms,
            fronts,
            gateways: vec![],
        };
        snapshot.encode()
    }

    fn set_limits(&self, limits: ProcessLimits, processes: u32) {
        // Open connections are not closed to meet a smaller limit; the number falls as connections
        // become idle.
        let descriptors = limits.descriptors.max(self.usage().descriptors);
        self.memory.set_limits(limits.bytes, descriptors);
        self.connections.resize(platform_limits(FrontResources {
            descriptors,
            max_active_clients: self.memory.max_active_clients(MAX_BUFFERED_RESPONSE_BYTES),
        }));
        let upstream = upstream_connections(limits.descriptors);
        let _ = self.events.send(Event::UpstreamConnectionLimit(upstream));
        let gateways = self.gateway_count.saturating_mul(processes);
        let _ = self.events.send(Event::GatewayCount(gateways));
        let peer = if processes > 1 {
            PeerProcess::Serving
        } else {
            PeerProcess::Gone
        };
        let _ = self.events.send(Event::PeerProcess(peer));
    }

    fn on_list_forwarded(&self, list: &[u8]) {
        let Some(store) = &self.front.endpoint_list else {
            return;
        };
        let Some(received) = EndpointListCache::decode(list) else {
            return;
        };
        let mut store = valehatch_net::lock(store);
        store.apply_forwarded(&received);
        let cached_source = store.cache().version.map(|version| version.source);
        drop(store);
        // A different source means that the other process received SIGHUP and polls a new address.
        // The signal is meant for the whole gateway, so this process reloads its configuration too.
        // It accepts lists of the new address only by polling that address itself.
        let received_source = received.version.map(|version| version.source);
        if received_source != cached_source {
            (self.reload_discovery)();
        }
    }

    fn on_peer_requests(&self, names: Vec<String>) {
        let names = names.into_iter().map(Arc::from).collect();
        let _ = self.events.send(Event::PeerRequestNames(names));
    }

    fn stop_accepting(&self, backlog: BacklogOwner) {
        self.clients.stop_accepting(backlog);
        let _ = self.events.send(Event::HandoffStarted);
    }
}
