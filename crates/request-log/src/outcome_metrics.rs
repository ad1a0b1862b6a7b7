//! The figures that operators read: counts from the start of the process, and gauges of what is so now.
//!
//! Each count is taken in one place, where the thing becomes true: final answers by the reducer as it decides them, attempts by
//! whoever has written an attempt's last byte. Gauges are the reducer's own, set once a turn.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::FinalOutcome;

/// What is told of each class, and of the whole.
const COUNTS: [&str; 4] = ["fulfilled", "throttled", "faulted", "relayed"];
const GAUGES: [&str; 3] = ["open_requests", "registry_entries", "out_of_rotation"];

/// What is counted of a class.
#[derive(Debug, Default)]
struct Class {
    fulfilled: AtomicU64,
    throttled: AtomicU64,
    faulted: AtomicU64,
    relayed: AtomicU64,
}

/// Counts and gauges of one front. Their number is that of the classes, which is fixed.
#[derive(Debug, Default)]
pub struct OutcomeMetrics {
    names: Vec<Arc<str>>,
    classes: Vec<Class>,
    open: AtomicU64,
    listed: AtomicU64,
    avoided: AtomicU64,
}

impl OutcomeMetrics {
    /// All at 0, for classes of these names.
    #[must_use]
    pub fn new(names: &[String]) -> Self {
        Self {
            names: names.iter().map(|n| Arc::from(n.as_str())).collect(),
            classes: names.iter().map(|_| Class::default()).collect(),
            ..Self::default()
        }
    }

    /// A request of a class had its final answer; what its client abandoned has none.
    pub fn ended(&self, class: usize, how: &FinalOutcome) {
        let Some(class) = self.classes.get(class) else {
            return;
        };
        let count = match how {
            FinalOutcome::InTime | FinalOutcome::Late => &class.fulfilled,
            FinalOutcome::Rejected(_) => &class.throttled,
            FinalOutcome::Failed(_) => &class.faulted,
            FinalOutcome::Aborted => return,
        };
        count.fetch_add(1, Relaxed);
    }

    /// The last byte of an attempt at a request of a class was written to a member.
    pub fn relayed(&self, class: usize) {
        if let Some(class) = self.classes.get(class) {
            class.relayed.fetch_add(1, Relaxed);
        }
    }

    /// Requests that are open, members on the list, and those among them that are avoided.
    pub fn gauges(&self, open: usize, listed: usize, avoided: usize) {
        for (gauge, value) in [
            (&self.open, open),
            (&self.listed, listed),
            (&self.avoided, avoided),
        ] {
            gauge.store(value as u64, Relaxed);
        }
    }

    /// One a line, `name:value|c` for counts and `name:value|g` for gauges, in the order of the classes.
    #[must_use]
    pub fn text(&self) -> String {
        text([self])
    }
}

/// The figures of a process with several fronts, in the form of [`OutcomeMetrics::text`]: the one place where they are added up. Each
/// front counts for itself, so nothing is in two of them; classes of one name are one class, in the order in which names come.
#[must_use]
pub fn text<'a>(fronts: impl IntoIterator<Item = &'a OutcomeMetrics>) -> String {
    let mut names: Vec<(&str, [u64; COUNTS.len()])> = vec![];
    let mut gauges = [0; GAUGES.len()];
    for outcome_metrics in fronts {
        for (name, class) in outcome_metrics.names.iter().zip(&outcome_metrics.classes) {
            let at = names
                .iter()
                .position(|(known, _)| **known == **name)
                .unwrap_or_else(|| {
                    names.push((name, [0; COUNTS.len()]));
                    names.len() - 1
                });
            let counts = [
                &class.fulfilled,
                &class.throttled,
                &class.faulted,
                &class.relayed,
            ];
            names[at]
                .1
                .iter_mut()
                .zip(counts)
                .for_each(|(sum, count)| *sum += count.load(Relaxed));
        }
        let own = [
            &outcome_metrics.open,
            &outcome_metrics.listed,
            &outcome_metrics.avoided,
        ];
        gauges
            .iter_mut()
            .zip(own)
            .for_each(|(sum, gauge)| *sum += gauge.load(Relaxed));
    }
    let mut out = String::new();
    for (name, counts) in names {
        for (what, count) in COUNTS.iter().zip(counts) {
            let _ = writeln!(out, "balancer.operations.{name}.{what}:{count}|c");
        }
    }
    for (what, value) in GAUGES.iter().zip(gauges) {
        let _ = writeln!(out, "balancer.{what}:{value}|g");
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{FailureReason, RejectionReason};

    #[test]
    fn each_final_answer_is_in_one_count_and_what_was_abandoned_in_none() {
        let outcome_metrics = OutcomeMetrics::new(&["basket".into(), "order".into()]);
        let all = [
            FinalOutcome::InTime,
            FinalOutcome::Late,
            FinalOutcome::Rejected(RejectionReason::TooManyOpen),
            FinalOutcome::Aborted,
        ];
        all.iter().for_each(|how| outcome_metrics.ended(1, how));
        outcome_metrics.ended(1, &FinalOutcome::Failed(FailureReason::Timeout));
        outcome_metrics.ended(7, &FinalOutcome::InTime);
        (0..3).for_each(|_| outcome_metrics.relayed(0));
        outcome_metrics.gauges(14, 5, 1);
        let text = outcome_metrics.text();
        let want = "balancer.operations.basket.fulfilled:0|c\nbalancer.operations.basket.throttled:0|c\n\
             balancer.operations.basket.faulted:0|c\nbalancer.operations.basket.relayed:3|c\n\
             balancer.operations.order.fulfilled:2|c\nbalancer.operations.order.throttled:1|c\n\
             balancer.operations.order.faulted:1|c\nbalancer.operations.order.relayed:0|c\n\
             balancer.open_requests:14|g\nbalancer.registry_entries:5|g\nbalancer.out_of_rotation:1|g\n";
        assert_eq!(text, want);
    }

    #[test]
    fn fronts_are_added_up_by_the_names_of_their_classes() {
        let (one, two) = (
            OutcomeMetrics::new(&["read".into(), "book".into()]),
            OutcomeMetrics::new(&["stay".into(), "read".into()]),
        );
        one.ended(0, &FinalOutcome::InTime);
        one.relayed(0);
        two.ended(1, &FinalOutcome::Late);
        two.ended(0, &FinalOutcome::Rejected(RejectionReason::TooManyOpen));
        one.gauges(3, 2, 1);
        two.gauges(4, 3, 0);
        let both = text([&one, &two]);
        let wants = [
            "read.fulfilled:2|c",
            "read.relayed:1|c",
            "book.fulfilled:0|c",
            "stay.throttled:1|c",
        ];
        assert!(
            wants
                .iter()
                .all(|want| both.contains(&format!("balancer.operations.{want}\n"))),
            "{both}"
        );
        assert_eq!(
            both.matches("operations.read.").count(),
            COUNTS.len(),
            "one class of a name"
        );
        assert!(both.ends_with(
            "open_requests:7|g\nbalancer.registry_entries:5|g\nbalancer.out_of_rotation:1|g\n"
        ));
        assert_eq!(text([&one]), one.text());
    }
}
