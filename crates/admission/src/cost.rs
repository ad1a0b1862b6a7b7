//! What a class costs, learned from how long its requests take inside, and how fast a lane drains.

use valehatch_policy::{Span, Time};

/// Smoothing: the last twenty or so count.
const GAIN: f64 = 0.05;
/// A class costs at least and at most so many times the cheapest class's mean: one slow day of a class must not make it
/// cost the world.
const BOUNDS: (f64, f64) = (0.25, 64.0);
/// The drain is measured over about so long.
const OVER: f64 = 2_000_000.0;

/// Mean times by class.
#[derive(Debug)]
pub struct Costs {
    means: Vec<f64>,
    learned: Vec<bool>,
}

impl Costs {
    /// Before anything was measured a class costs a quarter of its aim.
    #[must_use]
    pub fn new(aims: impl Iterator<Item = Span>) -> Self {
        let means: Vec<f64> = aims.map(|aim| (aim.as_f64() / 4.0).max(1.0)).collect();
        Self {
            learned: vec![false; means.len()],
            means,
        }
    }

    /// A request of a class was served in this time.
    pub fn learn(&mut self, class: usize, time: Span) {
        let time = time.as_f64().max(1.0);
        let mean = &mut self.means[class];
        *mean = if std::mem::replace(&mut self.learned[class], true) {
            *mean + GAIN * (time - *mean)
        } else {
            time
        };
    }

    /// How long a request of a class takes inside.
    #[must_use]
    #[allow(clippy::cast_possible_truncation)]
    pub fn latency(&self, class: usize) -> Span {
        Span(self.means[class] as i64)
    }

    /// What it costs, within the bounds.
    #[must_use]
    #[allow(clippy::cast_possible_truncation)]
    pub fn of(&self, class: usize) -> Span {
        let learned = self
            .means
            .iter()
            .zip(&self.learned)
            .filter(|(_, l)| **l)
            .map(|(m, _)| *m);
        let cheapest = learned.reduce(f64::min).unwrap_or(self.means[class]);
        Span(
            self.means[class]
                .clamp(cheapest * BOUNDS.0, cheapest * BOUNDS.1)
                .max(1.0) as i64,
        )
    }
}

/// How much cost a lane gets done in a microsecond, while something waits: an idle lane tells nothing of what it could do.
#[derive(Debug)]
pub struct Drain {
    rate: f64,
    done: f64,
    since: Time,
}

impl Drain {
    /// Nothing is known: whatever waits is taken to be served soon.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            rate: 0.0,
            done: 0.0,
            since: now,
        }
    }

    /// So much was done; `busy` if more waits.
    pub fn done(&mut self, now: Time, cost: Span, busy: bool) {
        if !busy {
            (self.done, self.since) = (0.0, now);
            return;
        }
        self.done += cost.as_f64();
        let passed = (now - self.since).as_f64();
        if passed >= OVER / 20.0 {
            let sample = self.done / passed;
            let gain = if self.rate > 0.0 {
                (passed / OVER).min(1.0)
            } else {
                1.0
            };
            self.rate += gain * (sample - self.rate);
            (self.done, self.since) = (0.0, now);
        }
    }

    /// Cost a microsecond; 0 while it is not known.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }
}
