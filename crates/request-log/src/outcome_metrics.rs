//! Metrics of the running process: counts since the process started, and gauges. Operators' tools
//! scrape the metric names, so they must not change.
//!
//! Each event is counted in one place, when it happens: the reducer counts a final answer as it
//! decides on it, and the writer of an attempt's last byte counts the attempt. The reducer sets the
//! gauges once each turn. There is one set of counts for each class; the number of classes is
//! fixed.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::outcomes::FinalOutcome;

/// The counts of a class.
#[derive(Debug, Default)]
struct ClassCounts {
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    attempts_sent: AtomicU64,
}

/// Sums of [`ClassCounts`] over all fronts.
struct ClassTotals<'a> {
    class: &'a str,
    served: u64,
    rejected: u64,
    failed: u64,
    attempts_sent: u64,
}

impl<'a> ClassTotals<'a> {
    const fn zero(class: &'a str) -> Self {
        Self {
            class,
            served: 0,
            rejected: 0,
            failed: 0,
            attempts_sent: 0,
        }
    }

    fn add(&mut self, counts: &ClassCounts) {
        self.served += counts.served.load(Relaxed);
        self.rejected += counts.rejected.load(Relaxed);
        self.failed += counts.failed.load(Relaxed);
        self.attempts_sent += counts.attempts_sent.load(Relaxed);
    }

    fn render(&self, out: &mut String) {
        let metrics = [
            ("fulfilled", self.served),
            ("throttled", self.rejected),
            ("faulted", self.failed),
            ("relayed", self.attempts_sent),
        ];
        for (name, value) in metrics {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "balancer.operations.{}.{name}:{value}|c", self.class);
        }
    }
}

/// Counts and gauges of one front.
#[derive(Debug, Default)]
pub struct OutcomeMetrics {
    class_names: Vec<Arc<str>>,
    classes: Vec<ClassCounts>,
    open_requests: AtomicU64,
    listed_endpoints: AtomicU64,
    ejected_endpoints: AtomicU64,
}

impl OutcomeMetrics {
    /// Creates metrics for classes with these names, with all values at 0.
    #[must_use]
    pub fn new(class_names: &[String]) -> Self {
        Self {
            class_names: class_names
                .iter()
                .map(|name| Arc::from(name.as_str()))
                .collect(),
            classes: class_names.iter().map(|_| ClassCounts::default()).collect(),
            ..Self::default()
        }
    }

    /// Counts the final answer of a request; an aborted request has none. Unknown classes are
    /// ignored.
    pub fn count_final_answer(&self, class: usize, outcome: &FinalOutcome) {
        let Some(class) = self.classes.get(class) else {
            return;
        };
        let count = match outcome {
            FinalOutcome::InTime | FinalOutcome::Late => &class.served,
            FinalOutcome::Rejected(_) => &class.rejected,
            FinalOutcome::Failed(_) => &class.failed,
            FinalOutcome::Aborted => return,
        };
        count.fetch_add(1, Relaxed);
    }

    /// Counts an attempt whose last byte was written to an endpoint. Unknown classes are ignored.
    pub fn count_attempt_sent(&self, class: usize) {
        if let Some(class) = self.classes.get(class) {
            class.attempts_sent.fetch_add(1, Relaxed);
        }
    }

    /// Sets the gauges: open requests, endpoints on the list, and ejected endpoints on the list.
    pub fn set_gauges(&self, open: usize, listed: usize, ejected: usize) {
        self.open_requests.store(open as u64, Relaxed);
        self.listed_endpoints.store(listed as u64, Relaxed);
        self.ejected_endpoints.store(ejected as u64, Relaxed);
    }

    /// Renders one metric per line, `name:value|c` for counts and `name:value|g` for gauges, in the
    /// order of the classes.
    #[must_use]
    pub fn text(&self) -> String {
        text([self])
    }
}

/// Renders the metrics of a process with several fronts in the form of [`OutcomeMetrics::text`].
/// Values are summed over the fronts. Classes with the same name are one class; classes are in the
/// order in which their names first occur.
#[must_use]
pub fn text<'a>(fronts: impl IntoIterator<Item = &'a OutcomeMetrics>) -> String {
    let mut totals: Vec<ClassTotals<'_>> = vec![];
    let mut open = 0;
    let mut listed = 0;
    let mut ejected = 0;
    for front in fronts {
        for (name, counts) in front.class_names.iter().zip(&front.classes) {
            let known = totals.iter().position(|total| *total.class == **name);
            let index = known.unwrap_or_else(|| {
                totals.push(ClassTotals::zero(name));
                totals.len() - 1
            });
            totals[index].add(counts);
        }
        open += front.open_requests.load(Relaxed);
        listed += front.listed_endpoints.load(Relaxed);
        ejected += front.ejected_endpoints.load(Relaxed);
    }
    let mut out = String::new();
    for total in &totals {
        total.render(&mut out);
    }
    let gauges = [
        ("open_requests", open),
        ("registry_entries", listed),
        ("out_of_rotation", ejected),
    ];
    for (name, value) in gauges {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "balancer.{name}:{value}|g");
    }
    out
}
