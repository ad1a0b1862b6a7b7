//! What a request of a class costs, learned from how long its requests take. Costs are whole
//! microseconds of work; the state has one mean a class.

use valehatch_policy::Span;

/// Weight of the newest latency in a class's mean.
const GAIN: f64 = 0.05;
/// Least cost of a class, as a multiple of the cheapest class's.
const MIN_COST_RATIO: f64 = 0.25;
/// Most cost of a class in that measure: one that is slow for a while keeps a usable quota.
const MAX_COST_RATIO: f64 = 64.0;
/// Until a class is measured, its mean is its latency objective over this.
const OBJECTIVE_DIVISOR: f64 = 4.0;

/// The costs of all classes.
#[derive(Debug)]
pub struct ClassCosts {
    classes: Vec<MeanLatency>,
}

/// A class's mean latency, in microseconds.
#[derive(Clone, Copy, Debug)]
struct MeanLatency {
    mean: f64,
    /// Whether it was measured, and not only assumed.
    is_measured: bool,
}

impl ClassCosts {
    /// Costs before anything was measured, by the classes' latency objectives.
    #[must_use]
    pub fn new(latency_objectives: impl Iterator<Item = Span>) -> Self {
        let classes = latency_objectives.map(|objective| MeanLatency {
            mean: (objective.as_f64() / OBJECTIVE_DIVISOR).max(1.0),
            is_measured: false,
        });
        Self {
            classes: classes.collect(),
        }
    }

    /// A request of a class was served in this time.
    pub fn record_latency(&mut self, class: usize, latency: Span) {
        let latency = latency.as_f64().max(1.0);
        let class = &mut self.classes[class];
        if class.is_measured {
            class.mean += GAIN * (latency - class.mean);
        } else {
            class.mean = latency;
            class.is_measured = true;
        }
    }

    /// Mean latency of a class.
    #[must_use]
    pub fn latency(&self, class: usize) -> Span {
        Span(self.classes[class].mean as i64)
    }

    /// What a request of a class costs, within the bounds.
    #[must_use]
    pub fn cost(&self, class: usize) -> Span {
        let mean = self.classes[class].mean;
        let measured = self.classes.iter().filter(|class| class.is_measured);
        let cheapest = measured
            .map(|class| class.mean)
            .reduce(f64::min)
            .unwrap_or(mean);
        let bounded = mean.clamp(cheapest * MIN_COST_RATIO, cheapest * MAX_COST_RATIO);
        Span(bounded.max(1.0) as i64)
    }
}
