//! What operators are told of this process at their own address: whether it is ready to serve, and its figures.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tracing::info;
use valehatch_config::Site;
use valehatch_core::permission::Decisions;
use valehatch_management::{ManagementEndpoint, Source};
use valehatch_request_log::{OutcomeMetrics, outcome_metrics};

/// One front: its own figures, and whether it holds a list of members.
struct Part {
    name: Arc<str>,
    outcome_metrics: Arc<OutcomeMetrics>,
    decisions: Arc<Decisions>,
    listed: AtomicBool,
}

/// What is told of all fronts of this process.
pub(crate) struct Told {
    fronts: Vec<Part>,
    listens: AtomicBool,
    stopping: AtomicBool,
}

impl Told {
    /// Nothing is so yet.
    pub(crate) fn new<'a>(fronts: impl IntoIterator<Item = (Arc<str>, &'a Site)>) -> Arc<Self> {
        let part = |(name, site): (Arc<str>, &Site)| {
            let outcome_metrics = Arc::new(OutcomeMetrics::new(&site.classes));
            Part {
                name,
                outcome_metrics,
                decisions: Arc::default(),
                listed: AtomicBool::new(false),
            }
        };
        let fronts = fronts.into_iter().map(part).collect();
        Arc::new(Self {
            fronts,
            listens: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        })
    }

    /// Answers there from now on.
    pub(crate) fn serve(self: &Arc<Self>, listen: SocketAddr) -> Result<(), String> {
        let source: Arc<dyn Source> = Arc::clone(self) as _;
        let bound = valehatch_management::start(ManagementEndpoint::new(listen), source);
        info!(
            "operators call at {}",
            bound.map_err(|e| format!("{listen}: {e}"))?
        );
        Ok(())
    }

    /// The book of a front.
    pub(crate) fn outcome_metrics(&self, front: usize) -> Arc<OutcomeMetrics> {
        Arc::clone(&self.fronts[front].outcome_metrics)
    }

    /// What a front denies, and why.
    pub(crate) fn decisions(&self, front: usize) -> Arc<Decisions> {
        Arc::clone(&self.fronts[front].decisions)
    }

    /// A front holds a list.
    pub(crate) fn listed(&self, front: usize) {
        self.fronts[front].listed.store(true, Ordering::Relaxed);
    }

    /// All fronts listen.
    pub(crate) fn listens(&self) {
        self.listens.store(true, Ordering::Relaxed);
    }

    /// A planned stop was asked for.
    pub(crate) fn stops(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

impl Source for Told {
    fn health(&self) -> Result<String, String> {
        let is = |what: &AtomicBool| what.load(Ordering::Relaxed);
        if is(&self.stopping) {
            return Err("stopping: a planned stop was asked for".into());
        }
        if let Some(front) = self.fronts.iter().find(|front| !is(&front.listed)) {
            let whose = if self.fronts.len() > 1 {
                format!(" by front {}", front.name)
            } else {
                String::new()
            };
            return Err(format!("starting: no list of databases is held{whose}"));
        }
        if !is(&self.listens) {
            return Err("starting: does not listen yet".into());
        }
        Ok("ready".into())
    }

    fn decisions(&self) -> String {
        let text = |front: &Part| match self.fronts.len() {
            1 => front.decisions.text(),
            _ => format!("front {}\n{}", front.name, front.decisions.text()),
        };
        self.fronts.iter().map(text).collect()
    }

    fn stats(&self) -> String {
        outcome_metrics::text(self.fronts.iter().map(|front| &*front.outcome_metrics))
    }
}
