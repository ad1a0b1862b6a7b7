//! Status of this process for the management address: readiness and counters.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use tracing::info;
use valehatch_config::Site;
use valehatch_core::permission::Decisions;
use valehatch_management::{ManagementEndpoint, Source};
use valehatch_memory_budget::{MemoryBudget, MemoryUse};
use valehatch_request_log::{OutcomeMetrics, outcome_metrics};

use crate::error::StartError;
use crate::resources::resident_bytes;

/// Prefix of the names of the memory figures.
const MEMORY_PREFIX: &str = "balancer.memory";

/// Counters of one front, and whether the front has an endpoint list.
struct FrontStatus {
    name: Arc<str>,
    metrics: Arc<OutcomeMetrics>,
    decisions: Arc<Decisions>,
    /// Set once the front has started.
    memory: OnceLock<Arc<MemoryBudget>>,
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

    fn stats(&self) -> String {
        outcome_metrics::text(self.fronts.iter().map(|front| &*front.metrics))
    }
}
