//! Hot restart: what this process takes over from its predecessor, and what it hands on to its
//! successor.
//!
//! The steps and who holds what at each are `valehatch_hot_restart`'s; the socket between the two
//! processes is `valehatch_net::hot_restart`'s. This module connects them with the front.

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
use valehatch_net::Clock;
use valehatch_net::clients::{AddressSharing, BacklogOwner, Clients, bind_listener};
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_net::hot_restart::{
    HandoffHandle, HandoffHandler, HandoffOutcome, HotRestart, request_handoff,
};
use valehatch_recovery::endpoint_list::EndpointListCache;
use valehatch_recovery::snapshot::Snapshot;

use crate::error::StartError;
use crate::recovery::{RecoverableFront, decode_inherited, unix_ms};
use crate::resources::{
    RESERVED_DESCRIPTORS, platform_limits, request_memory, upstream_connections,
};

/// Name of the platform's front in snapshots.
pub(crate) const PLATFORM_FRONT: &str = "platform";
/// How long a handoff waits for the core's view; without it the endpoint list is handed on alone.
const VIEW_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two looks at whether the view has been published.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Where the processes of a gateway that listens at this address meet; `None` without `TMPDIR`.
pub(crate) fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("handover-{listen}")))
}

/// What a process begins with.
pub(crate) struct Inheritance {
    listener: TcpListener,
    /// What the predecessor knew, if it could be used.
    pub(crate) snapshot: Option<Snapshot>,
    /// The connection to the predecessor, while that lives.
    predecessor: Option<UnixStream>,
}

/// Takes over from the predecessor, or begins as after a crash.
///
/// # Errors
/// The address cannot be listened on, or two processes of this gateway run already.
pub(crate) fn inherit(
    path: Option<&PathBuf>,
    gateway: &str,
    listen: SocketAddr,
) -> Result<Inheritance, StartError> {
    let fresh = |snapshot, predecessor| {
        let listener = bind_listener(listen, AddressSharing::SameUser)
            .map_err(StartError::resource(format!("listen: {listen}")))?;
        Ok(Inheritance {
            listener,
            snapshot,
            predecessor,
        })
    };
    let Some(path) = path else {
        return fresh(None, None);
    };
    match request_handoff(path, gateway) {
        HandoffOutcome::NoProcess => fresh(None, None),
        HandoffOutcome::Inherited(inherited) => {
            let snapshot = decode_inherited(&inherited.snapshot, gateway);
            let bytes = inherited.snapshot.len();
            let (listener, predecessor) = (inherited.listener, inherited.connection);
            let Some(listener) = listener else {
                info!(
                    bytes,
                    "hot restart: predecessor is ending, inherited its snapshot"
                );
                return fresh(snapshot, Some(predecessor));
            };
            info!(
                bytes,
                "hot restart: inherited the listening socket and the snapshot"
            );
            Ok(Inheritance {
                listener,
                snapshot,
                predecessor: Some(predecessor),
            })
        }
        HandoffOutcome::Busy => Err(StartError::HotRestartInProgress),
        HandoffOutcome::Failed { error, connection } => {
            warn!(%error, "hot restart: nothing inherited, starting as after a crash");
            fresh(None, connection)
        }
    }
}

impl Inheritance {
    /// A second handle of the listening socket, for the front.
    ///
    /// # Errors
    /// No descriptor is left.
    pub(crate) fn listener(&self) -> std::io::Result<TcpListener> {
        self.listener.try_clone()
    }

    /// Whether a predecessor serves beside this process.
    pub(crate) const fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Tells the predecessor that this process serves, and listens for a successor. `None` if there
    /// is nowhere to listen.
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

/// This process as the hot restart sees it: what can be divided between two processes, and what can
/// be handed on.
pub(crate) struct SharedProcess {
    /// The gateway's name; processes of another name hand nothing on to each other.
    pub(crate) gateway: String,
    /// What both processes may use together.
    pub(crate) limits: ProcessLimits,
    /// Gateways of the deployment, this one counted once.
    pub(crate) gateway_count: u32,
    /// The core.
    pub(crate) events: Sender<Event>,
    /// The clients.
    pub(crate) clients: Arc<Clients>,
    /// The limiter of all connections.
    pub(crate) connections: Arc<SharedConnectionLimiter>,
    /// What a snapshot is made of.
    pub(crate) front: RecoverableFront,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Reads the configuration again, for discovery's address.
    pub(crate) reload_discovery: Arc<dyn Fn() + Send + Sync>,
}

impl SharedProcess {
    /// Asks the core for its view and waits for it, [`VIEW_TIMEOUT`] at most.
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
        let resident_pages = procfs::process::Process::myself()
            .and_then(|process| process.statm())
            .map_or(0, |memory| memory.resident);
        let resident_bytes = resident_pages * procfs::page_size();
        ProcessLimits {
            descriptors: RESERVED_DESCRIPTORS + open.clients + open.upstream,
            bytes: usize::try_from(resident_bytes).unwrap_or(0),
        }
    }

    fn snapshot(&self) -> Option<Vec<u8>> {
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
        // Connections that are open already are not cut to meet a smaller limit: they go as they
        // become idle.
        let descriptors = limits.descriptors.max(self.usage().descriptors);
        self.connections.resize(platform_limits(descriptors));
        self.clients.set_memory_limit(request_memory(limits.bytes));
        let upstream = upstream_connections(limits.descriptors);
        let _ = self.events.send(Event::UpstreamConnectionLimit(upstream));
        let gateways = self.gateway_count.saturating_mul(processes);
        let _ = self.events.send(Event::GatewayCount(gateways));
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
        // The other process has been sent SIGHUP and polls another address now. The signal was
        // meant for the gateway, so this process reads the configuration too; it takes no list of
        // the new address but from there itself.
        let received_source = received.version.map(|version| version.source);
        if received_source != cached_source {
            (self.reload_discovery)();
        }
    }

    fn stop_accepting(&self, backlog: BacklogOwner) {
        self.clients.stop_accepting(backlog);
        let _ = self.events.send(Event::HandoffStarted);
    }
}
