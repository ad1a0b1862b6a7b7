//! Cost of a request of each class, learned from latencies. Costs are whole microseconds of work;
//! the state is one mean for each class.

use valehatch_policy::Span;

/// Weight of the newest latency in the moving average of a class.
const GAIN: f64 = 0.05;
/// Lower bound of a class's cost, relative to the cheapest class.
const MIN_COST_RATIO: f64 = 0.25;
/// Upper bound, relative to the cheapest class: a class that is slow for a while stays usable.
const MAX_COST_RATIO: f64 = 64.0;
/// The mean of a class without a measurement is its latency objective divided by this.
const OBJECTIVE_DIVISOR: f64 = 4.0;

/// Moving averages of the latency of all classes.
#[derive(Debug)]
pub struct ClassCosts {
    classes: Vec<MeanLatency>,
}

/// Moving average of the latency of one class.
#[derive(Clone, Copy, Debug)]
struct MeanLatency {
    /// Mean latency, in microseconds.
    mean: f64,
    /// Whether the mean comes from measurements and not from the latency objective.
    is_measured: bool,
}

impl ClassCosts {
    /// Initial costs, estimated from the latency objectives of the classes.
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

    /// Adds the latency of a served request to the mean of its class.
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

    /// Mean latency of a class, estimated until the class is measured.
    #[must_use]
    pub fn latency(&self, class: usize) -> Span {
        Span(self.classes[class].mean as i64)
    }

    /// Cost of a request of a class, bounded relative to the cheapest measured class.
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
