//! Status of this process for the management address: readiness and counters.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use tracing::info;
use valehatch_config::Site;
use valehatch_connection_limits::ConnectionActivity;
use valehatch_core::permission::Decisions;
use valehatch_management::{ManagementEndpoint, Source};
use valehatch_memory_budget::{MemoryBudget, MemoryUse};
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_net::running_jobs;
use valehatch_request_log::{OutcomeMetrics, outcome_metrics};

use crate::error::StartError;
use crate::resources::{resident_bytes, thread_count};

/// Prefix of the names of the memory figures.
const MEMORY_PREFIX: &str = "balancer.memory";
/// Prefix of the names of the connection figures.
const CONNECTIONS_PREFIX: &str = "balancer.connections";
/// Prefix of the names of the thread figures.
const THREADS_PREFIX: &str = "balancer.threads";

/// Counters of one front, and whether the front has an endpoint list.
struct FrontStatus {
    name: Arc<str>,
    metrics: Arc<OutcomeMetrics>,
    decisions: Arc<Decisions>,
    /// Set once the front has started.
    memory: OnceLock<Arc<MemoryBudget>>,
    /// Set once the front has started.
    connections: OnceLock<Arc<SharedConnectionLimiter>>,
    has_endpoint_list: AtomicBool,
}

/// Status of all fronts of this process, shared with the management thread. Flags are set once and
/// never cleared.
pub(crate) struct ProcessStatus {
    fronts: Vec<FrontStatus>,
    listening: AtomicBool,
    shutting_down: AtomicBool,
}

impl ProcessStatus {
    /// Creates the initial status; fronts keep their order, which gives them their indices.
    pub(crate) fn new<'a>(fronts: impl IntoIterator<Item = (Arc<str>, &'a Site)>) -> Arc<Self> {
        let fronts = fronts
            .into_iter()
            .map(|(name, site)| FrontStatus {
                name,
                metrics: Arc::new(OutcomeMetrics::new(&site.classes)),
                decisions: Arc::default(),
                memory: OnceLock::new(),
                connections: OnceLock::new(),
                has_endpoint_list: AtomicBool::new(false),
            })
            .collect();
        Arc::new(Self {
            fronts,
            listening: AtomicBool::new(false),
            shutting_down: AtomicBool::new(false),
        })
    }

    /// Starts the management endpoint at this address; `key` is the address's configuration key.
    ///
    /// # Errors
    /// The address cannot be bound; the error names `key`.
    pub(crate) fn serve(self: &Arc<Self>, key: &str, listen: SocketAddr) -> Result<(), StartError> {
        let source: Arc<dyn Source> = Arc::clone(self) as _;
        let bound = valehatch_management::start(ManagementEndpoint::new(listen), source)
            .map_err(StartError::resource(format!("{key}: {listen}")))?;
        info!(address = %bound, "management endpoint listening");
        Ok(())
    }

    /// Concatenates the texts of all fronts; each has its name above it if there are several.
    fn text_by_front(&self, text: impl Fn(&FrontStatus) -> String) -> String {
        let with_name = |front: &FrontStatus| match self.fronts.len() {
            1 => text(front),
            _ => format!("front {}\n{}", front.name, text(front)),
        };
        self.fronts.iter().map(with_name).collect()
    }

    /// Outcome counters of a front.
    pub(crate) fn metrics(&self, front: usize) -> Arc<OutcomeMetrics> {
        Arc::clone(&self.fronts[front].metrics)
    }

    /// Denials of a front's core, by reason.
    pub(crate) fn decisions(&self, front: usize) -> Arc<Decisions> {
        Arc::clone(&self.fronts[front].decisions)
    }

    /// Records the memory budget of a front.
    pub(crate) fn set_memory(&self, front: usize, memory: &Arc<MemoryBudget>) {
        let _ = self.fronts[front].memory.set(Arc::clone(memory));
    }

    /// Records the connection limiter of a front.
    pub(crate) fn set_connections(&self, front: usize, connections: &Arc<SharedConnectionLimiter>) {
        let _ = self.fronts[front].connections.set(Arc::clone(connections));
    }

    /// Records that a front has an endpoint list.
    pub(crate) fn on_endpoint_list(&self, front: usize) {
        let front = &self.fronts[front];
        front.has_endpoint_list.store(true, Ordering::Relaxed);
    }

    /// Records that all fronts listen.
    pub(crate) fn on_listening(&self) {
        self.listening.store(true, Ordering::Relaxed);
    }

    /// Records that a graceful shutdown has begun.
    pub(crate) fn on_shutdown(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
    }
}

impl FrontStatus {
    /// The front's memory limit and what it holds for its callers, in bytes.
    fn memory_text(&self) -> String {
        let mut text = String::new();
        let Some(memory) = self.memory.get() else {
            return text;
        };
        let _ = writeln!(text, "{MEMORY_PREFIX}.limit:{}|g", memory.memory());
        for usage in MemoryUse::ALL {
            let (name, used) = (usage.name(), memory.used(usage));
            let _ = writeln!(text, "{MEMORY_PREFIX}.held.{name}:{used}|g");
        }
        text
    }

    /// The front's connections by activity, and their limit.
    fn connections_text(&self) -> String {
        let mut text = String::new();
        let Some(connections) = self.connections.get() else {
            return text;
        };
        let (limit, upstream) = (connections.limit(), connections.counts().upstream);
        let _ = writeln!(text, "{CONNECTIONS_PREFIX}.limit:{limit}|g");
        let _ = writeln!(text, "{CONNECTIONS_PREFIX}.upstream:{upstream}|g");
        let counts = connections.counts_by_activity();
        for (activity, count) in ConnectionActivity::ALL.iter().zip(counts) {
            let name = activity.name();
            let _ = writeln!(text, "{CONNECTIONS_PREFIX}.client.{name}:{count}|g");
        }
        text
    }
}

/// Threads of the process, and those that run a job, by its name.
fn threads_text() -> String {
    let mut text = format!("{THREADS_PREFIX}.total:{}|g\n", thread_count());
    for (name, count) in running_jobs() {
        let name = name.replace(' ', "_");
        let _ = writeln!(text, "{THREADS_PREFIX}.job.{name}:{count}|g");
    }
    text
}

impl Source for ProcessStatus {
    fn health(&self) -> Result<String, String> {
        let is_set = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        if is_set(&self.shutting_down) {
            return Err("stopping: a planned stop was asked for".into());
        }
        let without_list = |front: &&FrontStatus| !is_set(&front.has_endpoint_list);
        if let Some(front) = self.fronts.iter().find(without_list) {
            let front_suffix = if self.fronts.len() > 1 {
                format!(" by front {}", front.name)
            } else {
                String::new()
            };
            return Err(format!(
                "starting: no list of databases is held{front_suffix}"
            ));
        }
        if !is_set(&self.listening) {
            return Err("starting: does not listen yet".into());
        }
        Ok("ready".into())
    }

    fn decisions(&self) -> String {
        self.text_by_front(|front| front.decisions.text())
    }

    fn memory(&self) -> String {
        let resident = format!("{MEMORY_PREFIX}.resident:{}|g\n", resident_bytes());
        resident + &self.text_by_front(FrontStatus::memory_text)
    }

    fn connections(&self) -> String {
        threads_text() + &self.text_by_front(FrontStatus::connections_text)
    }

    fn stats(&self) -> String {
        outcome_metrics::text(self.fronts.iter().map(|front| &*front.metrics))
    }
}
