//! What the next start begins with, and whether this one's service is whole: the state folder's `snapshot` and
//! `recovery.json`. A thread of its own looks and writes; no core waits for it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use tracing::{info, warn};
use valehatch_config::operators::{Members, Operators};
use valehatch_net::discovery::EndpointListStore;
use valehatch_net::gossip_transport::{GossipTransport, ServicePhase};
use valehatch_net::{Clock, lock};
use valehatch_policy::{PrimaryEvidence, Settings, Time};
use valehatch_recovery::service::{Service, State};
use valehatch_recovery::snapshot::{Cold, Front, MOST, Primary, Snapshot};
use valehatch_recovery::trust::{Belief, Source, Trust, trust};
use valehatch_recovery::{Restored, cold_since, restore};
use valehatch_request_log::FinalOutcome;
use valehatch_snmp::world::Board;
use valehatch_state::snapshot;

/// How often service is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// Gateways of the last run that are asked beside the seeds.
const ASKED: usize = 8;

/// Unix time in milliseconds.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// What was kept for this start, if it can be used; said in the log where it cannot.
pub(crate) fn read(dir: &Path, gateway: &str) -> Option<Snapshot> {
    let bytes = match snapshot::read(dir, MOST) {
        Ok(Some(bytes)) => bytes,
        Ok(None) => {
            info!("recovery: no snapshot was kept");
            return None;
        }
        Err(e) => {
            warn!("recovery: the snapshot cannot be read: {e}");
            return None;
        }
    };
    match Snapshot::decode(&bytes, gateway, wall_ms()) {
        Ok(read) => Some(read),
        Err(why) => {
            warn!("recovery: nothing is taken from the snapshot: {why}");
            None
        }
    }
}

/// What the process before this one handed over, if it can be used; said in the log where it cannot.
pub(crate) fn told(bytes: &[u8], gateway: &str) -> Option<Snapshot> {
    match Snapshot::decode(bytes, gateway, wall_ms()) {
        Ok(read) => Some(read),
        Err(why) => {
            warn!("upgrade: nothing is taken from what was handed over: {why}");
            None
        }
    }
}

/// What of it goes for a front.
pub(crate) fn restored(kept: Option<&Snapshot>, front: &str) -> Restored {
    let Some(kept) = kept else {
        return Restored::default();
    };
    let restored = restore(kept, front, wall_ms());
    restored
        .left
        .iter()
        .for_each(|why| info!("recovery: front {front}: {why}"));
    if let Some((listed, (from, rev))) = &restored.list {
        let (servers, hints) = (listed.len(), restored.primaries.len());
        info!(
            "recovery: front {front}: {servers} servers of {from} at version {rev}, {hints} primaries to try first"
        );
    }
    restored
}

/// Gateways to ask beside the seeds.
pub(crate) fn fleet(kept: Option<&Snapshot>) -> Vec<SocketAddr> {
    let Some(kept) = kept else { return vec![] };
    let age = wall_ms()
        .checked_sub(kept.at_ms)
        .and_then(|ms| i64::try_from(ms).ok());
    let age = age.map(valehatch_policy::Span::from_millis);
    let ask = trust(Belief::Fleet, Source::Snapshot, age) >= Trust::Guess;
    kept.fleet
        .iter()
        .copied()
        .filter(|_| ask)
        .take(ASKED)
        .collect()
}

/// Service since this start, told by fronts and lists.
pub(crate) type Shared = Arc<Mutex<Service>>;

/// A request of a front had its final answer.
pub(crate) fn answered(service: &Shared, clock: Clock, ending: &FinalOutcome) {
    let served = match ending {
        FinalOutcome::InTime | FinalOutcome::Late => true,
        FinalOutcome::Refused(_) | FinalOutcome::Failed(_) => false,
        FinalOutcome::Aborted => return,
    };
    lock(service).answered(served, clock.now());
}

/// What takes a front's list in, where discovery tells it, and the front's board.
pub(crate) type Held = (
    Option<Arc<Mutex<EndpointListStore>>>,
    Arc<ArcSwapOption<Board>>,
);

/// A front as the next start is to find it.
pub(crate) struct Kept {
    pub name: String,
    pub taker: Option<Arc<Mutex<EndpointListStore>>>,
    pub board: Arc<ArcSwapOption<Board>>,
    pub settings: Settings,
}

/// Writes down what the next start begins with, until it is told to finish.
pub(crate) struct Keeper {
    over: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

struct Keeping {
    dir: PathBuf,
    gateway: String,
    every: Duration,
    fronts: Vec<Kept>,
    link: Option<Arc<GossipTransport>>,
    service: Shared,
    clock: Clock,
    began_ms: u64,
    /// Snapshots cannot be written, or the file that tells the state.
    failing: bool,
    untold: bool,
}

/// Service of a start, in which fronts that ask discovery wait for its word.
pub(crate) fn service(read: &Operators, clock: Clock) -> Shared {
    let asks = read
        .fronts
        .iter()
        .filter(|f| matches!(f.members, Members::Discovery(_)))
        .count();
    Arc::new(Mutex::new(Service::new(asks, clock.now())))
}

impl Keeper {
    /// Begins; `fronts` are, in the file's order, the lists and the boards of the fronts. `None` without a state folder.
    pub(crate) fn start(
        read: &Operators,
        fronts: Vec<Held>,
        link: Option<Arc<GossipTransport>>,
        service: Shared,
        clock: Clock,
    ) -> std::io::Result<Option<Self>> {
        let Some(state) = &read.state else {
            return Ok(None);
        };
        let kept = |(front, (taker, board)): (&valehatch_config::operators::Front, Held)| Kept {
            name: front.name.to_string(),
            taker,
            board,
            settings: front.site.settings.clone(),
        };
        let mut keeping = Keeping {
            dir: state.dir.clone(),
            gateway: read.name.to_string(),
            every: Duration::from_millis(state.snapshot_ms),
            fronts: read.fronts.iter().zip(fronts).map(kept).collect(),
            link,
            service,
            clock,
            began_ms: wall_ms(),
            failing: false,
            untold: false,
        };
        let over = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&over);
        let work = move || keeping.run(&told);
        let thread = std::thread::Builder::new()
            .name("recovery".into())
            .stack_size(256 * 1024)
            .spawn(work)?;
        Ok(Some(Self { over, thread }))
    }

    /// The last one is written.
    pub(crate) fn finish(self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

/// Trouble with a kind of file is said once, and that it is over.
fn said(failing: &mut bool, what: &str, done: std::io::Result<()>) {
    match done {
        Ok(()) if std::mem::take(failing) => info!("recovery: {what}s are written again"),
        Ok(()) => {}
        Err(e) if !std::mem::replace(failing, true) => {
            warn!("recovery: no {what} can be written, service goes on: {e}");
        }
        Err(_) => {}
    }
}

impl Keeping {
    fn run(&mut self, over: &AtomicBool) {
        let first = lock(&self.service).state();
        self.tell(first);
        let mut written = Instant::now();
        loop {
            let last = over.load(Ordering::Relaxed);
            let change = lock(&self.service).look(self.clock.now());
            change.into_iter().for_each(|state| self.tell(state));
            if last || written.elapsed() >= self.every {
                written = Instant::now();
                self.write();
            }
            if last {
                return;
            }
            std::thread::sleep(LOOK);
        }
    }

    fn write(&mut self) {
        let bytes = self.snapshot().encode();
        let done = bytes.map_or_else(
            || Err(std::io::Error::other("it is too large")),
            |bytes| snapshot::write(&self.dir, &bytes),
        );
        said(&mut self.failing, "snapshot", done);
    }

    fn tell(&mut self, state: State) {
        let told = match state {
            State::Recovering(why) => {
                info!("recovery: recovering, for want of: {}", why.name());
                serde_json::json!({ "state": "recovering", "why": why.name(), "started-ms": self.began_ms })
            }
            State::Full { took, .. } => {
                let took = took.0 / 1000;
                info!("recovery: full, {took} ms after the start");
                serde_json::json!({ "state": "full", "took-ms": took, "started-ms": self.began_ms })
            }
        };
        let phase = match state {
            State::Full { .. } => ServicePhase::Full,
            _ => ServicePhase::Starting,
        };
        if let Some(link) = &self.link {
            link.set_service_phase(phase);
        }
        let done = snapshot::replace(
            &self.dir,
            "recovery.new",
            "recovery.json",
            told.to_string().as_bytes(),
        );
        said(&mut self.untold, "state file", done);
    }

    fn snapshot(&self) -> Snapshot {
        let (at_ms, now) = (wall_ms(), self.clock.now());
        let fronts = self
            .fronts
            .iter()
            .map(|front| front.kept(at_ms, now))
            .collect();
        let fleet = self
            .link
            .as_ref()
            .map(|link| link.live_gateways())
            .unwrap_or_default();
        Snapshot {
            gateway: self.gateway.clone(),
            at_ms,
            fronts,
            fleet,
        }
    }
}

impl Kept {
    /// What is kept of it.
    pub(crate) fn kept(&self, at_ms: u64, now: Time) -> Front {
        let book = self
            .taker
            .as_ref()
            .map(|taker| lock(taker).cache().clone())
            .unwrap_or_default();
        let board = self.board.load_full();
        let live = board.as_ref().map(|b| &b.live);
        let members = live.map(|l| l.members.as_slice()).unwrap_or_default();
        let groups = live.map(|l| l.groups.as_slice()).unwrap_or_default();
        let primaries = groups
            .iter()
            .filter(|g| g.known != PrimaryEvidence::Unknown)
            .filter_map(|group| {
                let member = members
                    .iter()
                    .find(|m| Some(m.view.endpoint) == group.primary)?;
                let age_ms = u64::try_from((now - group.since).0 / 1000).unwrap_or(0);
                Some(Primary {
                    group: group.group.0,
                    member: member.name.to_string(),
                    since_ms: at_ms.saturating_sub(age_ms),
                    proved: group.known != PrimaryEvidence::EndpointList,
                })
            });
        let rules = &self.settings.rules;
        let warming_up = members.iter().filter_map(|member| {
            let since_ms = cold_since(
                member.view.warm?,
                rules.slow_start_duration,
                rules.slow_start_initial_capacity,
                at_ms,
            );
            Some(Cold {
                member: member.name.to_string(),
                since_ms,
            })
        });
        Front {
            name: self.name.clone(),
            book,
            primaries: primaries.collect(),
            cold: warming_up.collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn that_the_state_can_be_told_does_not_say_that_snapshots_can_be_written() {
        let dir = std::env::temp_dir().join(format!("valehatch-keeping-{}", std::process::id()));
        // In the way of the file that is written aside.
        std::fs::create_dir_all(dir.join("snapshot.new")).unwrap();
        let clock = Clock::start();
        let service = Arc::new(Mutex::new(Service::new(0, clock.now())));
        let mut keeping = Keeping {
            dir: dir.clone(),
            gateway: "one".into(),
            every: LOOK,
            fronts: vec![],
            link: None,
            service,
            clock,
            began_ms: wall_ms(),
            failing: false,
            untold: false,
        };
        keeping.write();
        assert!(keeping.failing, "said");
        let state = lock(&keeping.service).state();
        keeping.tell(state);
        assert!(dir.join("recovery.json").exists() && !keeping.untold);
        assert!(keeping.failing, "it is not over, and is not said again");
        std::fs::remove_dir(dir.join("snapshot.new")).unwrap();
        keeping.write();
        assert!(!keeping.failing);
        std::fs::remove_dir_all(dir).unwrap();
    }
}
