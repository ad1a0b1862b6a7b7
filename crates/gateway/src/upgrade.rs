//! Two processes that are one gateway: what this one takes over from the one before, and hands on to the next.

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
use valehatch_recovery::book::EndpointListCache;
use valehatch_recovery::snapshot::Snapshot;

use crate::front::{SPARE, bytes, connections, platform_limits};
use crate::recovery::{Kept, told, wall_ms};

/// How long the core may take to say what it believes: what discovery told and the list are handed on without it.
const BELIEFS: Duration = Duration::from_millis(250);

/// Where the processes of a gateway that listens there meet, if the platform gives a folder for that.
pub(crate) fn path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|d| !d.is_empty())?;
    Some(PathBuf::from(folder).join(format!("handover-{listen}")))
}

/// What a start begins with.
pub(crate) struct Begin {
    pub listener: TcpListener,
    pub known: Option<Snapshot>,
    /// The line to the process before, while that lives.
    old: Option<UnixStream>,
}

/// Takes over from the process before this one, or begins as after a crash.
///
/// # Errors
/// The address cannot be listened on, or an upgrade is under way that does not end.
pub(crate) fn begin(
    path: Option<&PathBuf>,
    gateway: &str,
    listen: SocketAddr,
) -> Result<Begin, String> {
    let own = |known, old| match bind_listener(listen, AddressSharing::SameUser) {
        Ok(listener) => Ok(Begin {
            listener,
            known,
            old,
        }),
        Err(e) => Err(format!("listen: {listen}: {e}")),
    };
    match path.map_or(HandoffOutcome::NoProcess, |path| {
        request_handoff(path, gateway)
    }) {
        HandoffOutcome::NoProcess => own(None, None),
        HandoffOutcome::Inherited(handed) => {
            let known = told(&handed.snapshot, gateway);
            let bytes = handed.snapshot.len();
            let (listener, old) = (handed.listener, handed.connection);
            let Some(listener) = listener else {
                info!("upgrade: the process before is about to end, and handed {bytes} bytes over");
                return own(known, Some(old));
            };
            info!("upgrade: the process before handed its socket over, and {bytes} bytes");
            Ok(Begin {
                listener,
                known,
                old: Some(old),
            })
        }
        HandoffOutcome::Busy => {
            Err("an upgrade is under way, and two processes are enough for one gateway".into())
        }
        HandoffOutcome::Failed { error, connection } => {
            warn!("upgrade: nothing was handed over, the start goes on as after a crash: {error}");
            own(None, connection)
        }
    }
}

/// What is shared out and handed on.
pub(crate) struct Shares {
    pub gateway: String,
    pub whole: ProcessLimits,
    pub routers: u32,
    pub events: Sender<Event>,
    pub clients: Arc<Clients>,
    pub places: Arc<SharedConnectionLimiter>,
    pub kept: Kept,
    pub clock: Clock,
    /// Looks at the configuration again, for where discovery is now.
    pub look: Arc<dyn Fn() + Send + Sync>,
}

impl HandoffHandler for Shares {
    fn usage(&self) -> ProcessLimits {
        let counts = self.places.counts();
        let descriptors = SPARE + counts.clients + counts.upstream;
        let resident = procfs::process::Process::myself()
            .and_then(|p| p.statm())
            .map(|m| m.resident);
        let page = procfs::page_size();
        ProcessLimits {
            descriptors,
            bytes: resident.map_or(0, |pages| usize::try_from(pages * page).unwrap_or(0)),
        }
    }

    fn snapshot(&self) -> Option<Vec<u8>> {
        let (asked, until) = (self.clock.now(), Instant::now() + BELIEFS);
        let _ = self.events.try_send(Event::PublishView);
        let fresh = || {
            self.kept
                .board
                .load()
                .as_ref()
                .is_some_and(|b| b.live.at >= asked)
        };
        while !fresh() && Instant::now() < until {
            sleep(Duration::from_millis(1));
        }
        let at_ms = wall_ms();
        let fronts = vec![self.kept.kept(at_ms, self.clock.now())];
        Snapshot {
            gateway: self.gateway.clone(),
            at_ms,
            fronts,
            fleet: vec![],
        }
        .encode()
    }

    fn set_limits(&self, room: ProcessLimits, processes: u32) {
        // What is held already is not refused for it: it goes as it rests.
        let held = room.descriptors.max(self.usage().descriptors);
        self.places.resize(platform_limits(held));
        self.clients.set_memory_limit(bytes(room.bytes));
        let _ = self.events.send(Event::UpstreamConnectionLimit(connections(
            room.descriptors,
        )));
        let _ = self
            .events
            .send(Event::GatewayCount(self.routers.saturating_mul(processes)));
    }

    fn on_list_forwarded(&self, list: &[u8]) {
        let (Some(taker), Some(book)) = (&self.kept.taker, EndpointListCache::decode(list)) else {
            return;
        };
        let mut taker = valehatch_net::lock(taker);
        taker.apply_forwarded(&book);
        let held = taker.cache().told;
        drop(taker);
        // Discovery has moved for the other process, which was told to read the configuration again; that was told the
        // gateway, so this one looks too. What the new address tells is not taken from here: this one asks there itself.
        let at = |told: Option<(SocketAddr, u64)>| told.map(|(at, _)| at);
        if at(book.told) != at(held) {
            (self.look)();
        }
    }

    fn stop_accepting(&self, backlog: BacklogOwner) {
        self.clients.stop_accepting(backlog);
        let _ = self.events.send(Event::HandoffStarted);
    }
}

impl Begin {
    /// A socket for the front, and what is needed to hand it on.
    pub(crate) fn split(&self) -> std::io::Result<TcpListener> {
        self.listener.try_clone()
    }

    /// There is a process before this one, which serves as well.
    pub(crate) const fn is_second(&self) -> bool {
        self.old.is_some()
    }

    /// This process serves: it says so to the one before it, and can be asked by the next.
    pub(crate) fn serves(self, path: Option<PathBuf>, shares: Shares) -> Option<HandoffHandle> {
        let path = path?;
        let (gateway, whole) = (shares.gateway.clone(), shares.whole);
        let upgrade = HotRestart {
            path,
            gateway,
            listener: Some(self.listener),
            total_limits: whole,
        };
        match upgrade.start(self.old, Box::new(shares)) {
            Ok(stops) => Some(stops),
            Err(e) => {
                warn!("upgrade: nothing can be handed on: {e}");
                None
            }
        }
    }
}

/// What the list and the beliefs are kept by, for the next process.
pub(crate) const FRONT: &str = "platform";
