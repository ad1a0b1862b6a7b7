//! Writes `snapshot` and `recovery.json` in the state folder, on a thread of its own that no core
//! waits for.
//!
//! `snapshot` is the state that the next start restores; it is written every `state.snapshot-ms`
//! and at shutdown. `recovery.json` states whether service is complete since this start; it is
//! written whenever that changes.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use tracing::{info, warn};
use valehatch_config::operators::OperatorConfig;
use valehatch_net::gossip_transport::{GossipTransport, ServicePhase};
use valehatch_net::{Clock, lock};
use valehatch_recovery::service::ServiceState;
use valehatch_recovery::snapshot::Snapshot;
use valehatch_state::snapshot;

use crate::recovery::{RecoverableFront, SharedService, unix_ms};

/// Interval at which the service state is checked.
const SERVICE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Stack size of the writer thread, in bytes.
const STACK_SIZE: usize = 256 * 1024;

/// Handle to the running snapshot writer.
pub(crate) struct SnapshotWriter {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl SnapshotWriter {
    /// Starts the writer; `None` without a state folder. `fronts` are in the order of the file.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub(crate) fn start(
        file: &OperatorConfig,
        fronts: Vec<RecoverableFront>,
        gossip: Option<Arc<GossipTransport>>,
        service: SharedService,
        clock: Clock,
    ) -> io::Result<Option<Self>> {
        let Some(state) = &file.state else {
            return Ok(None);
        };
        let mut worker = Worker {
            folder: state.dir.clone(),
            gateway: file.name.to_string(),
            interval: Duration::from_millis(state.snapshot_ms),
            fronts,
            gossip,
            service,
            clock,
            started_ms: unix_ms(),
            snapshots: WriteStatus::new("snapshot"),
            service_state: WriteStatus::new("state file"),
        };
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::Builder::new()
            .name("recovery".into())
            .stack_size(STACK_SIZE)
            .spawn(move || worker.run(&stopped))?;
        Ok(Some(Self { stop, thread }))
    }

    /// Writes a last snapshot and stops the thread.
    pub(crate) fn finish(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

/// Tracks whether the last write of one file failed. Only the first failure and the recovery are
/// logged.
struct WriteStatus {
    file: &'static str,
    failing: bool,
}

impl WriteStatus {
    const fn new(file: &'static str) -> Self {
        Self {
            file,
            failing: false,
        }
    }

    fn on_write(&mut self, result: io::Result<()>) {
        let was_failing = std::mem::replace(&mut self.failing, result.is_err());
        let file = self.file;
        match result {
            Ok(()) if was_failing => info!("recovery: {file} writing works again"),
            Err(error) if !was_failing => {
                warn!(%error, "recovery: {file} write failed, service continues");
            }
            _ => {}
        }
    }
}

struct Worker {
    folder: PathBuf,
    gateway: String,
    interval: Duration,
    fronts: Vec<RecoverableFront>,
    gossip: Option<Arc<GossipTransport>>,
    service: SharedService,
    clock: Clock,
    started_ms: u64,
    snapshots: WriteStatus,
    service_state: WriteStatus,
}

impl Worker {
    fn run(&mut self, stop: &AtomicBool) {
        let first = lock(&self.service).state();
        self.on_service_state(first);
        let mut written_at = Instant::now();
        loop {
            let is_last = stop.load(Ordering::Relaxed);
            let change = lock(&self.service).update(self.clock.now());
            if let Some(state) = change {
                self.on_service_state(state);
            }
            if is_last || written_at.elapsed() >= self.interval {
                written_at = Instant::now();
                self.write_snapshot();
            }
            if is_last {
                return;
            }
            sleep(SERVICE_CHECK_INTERVAL);
        }
    }

    fn write_snapshot(&mut self) {
        let result = match self.snapshot().encode() {
            Some(bytes) => snapshot::write(&self.folder, &bytes),
            None => Err(io::Error::other("snapshot exceeds its size limit")),
        };
        self.snapshots.on_write(result);
    }

    fn on_service_state(&mut self, state: ServiceState) {
        let json = match state {
            ServiceState::Recovering(why) => {
                info!(missing = why.name(), "recovery: service not complete yet");
                serde_json::json!({ "state": "recovering", "why": why.name(), "started-ms": self.started_ms })
            }
            ServiceState::Full { took, .. } => {
                let took_ms = took.0 / 1000;
                info!(took_ms, "recovery: service complete");
                serde_json::json!({ "state": "full", "took-ms": took_ms, "started-ms": self.started_ms })
            }
        };
        if let Some(gossip) = &self.gossip {
            gossip.set_service_phase(match state {
                ServiceState::Full { .. } => ServicePhase::Full,
                ServiceState::Recovering(_) => ServicePhase::Starting,
            });
        }
        let text = json.to_string();
        let result = snapshot::replace(
            &self.folder,
            "recovery.new",
            "recovery.json",
            text.as_bytes(),
        );
        self.service_state.on_write(result);
    }

    fn snapshot(&self) -> Snapshot {
        let (at_ms, now) = (unix_ms(), self.clock.now());
        let fronts = self.fronts.iter();
        let gossip = self.gossip.as_ref();
        Snapshot {
            gateway: self.gateway.clone(),
            at_ms,
            fronts: fronts.map(|front| front.snapshot(at_ms, now)).collect(),
            gateways: gossip
                .map(|gossip| gossip.live_gateways())
                .unwrap_or_default(),
        }
    }
}

#[cfg(test)]
#[path = "snapshot_writer/tests.rs"]
mod tests;
