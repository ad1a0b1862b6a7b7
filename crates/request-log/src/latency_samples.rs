//! Latency quantiles of the last 30 to 60 seconds. Each row has two histograms, which are filled in
//! turn for half of the window each.
//!
//! Input: latencies and times in microseconds. Rows beyond the limit given to the constructor are
//! not measured.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::counters::RowKey;

/// Half of the window, in microseconds.
const HALF_WINDOW_US: i64 = 30_000_000;
/// Longest latency that is told apart, in microseconds; longer ones are recorded as this one.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits: quantiles are off by 1 % at most, and a histogram takes about 13 KB.
const SIGNIFICANT_DIGITS: u8 = 2;

struct LatencyWindow {
    /// The first is filled in even half windows, the second in odd ones.
    halves: [Histogram<u32>; 2],
    /// Number of the half window that is being filled.
    current: i64,
}

impl LatencyWindow {
    fn new(current: i64) -> Option<Self> {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok();
        Some(Self {
            halves: [histogram()?, histogram()?],
            current,
        })
    }

    /// Advances to a half window, and clears the histograms of half windows that have passed.
    fn advance_to(&mut self, half_window: i64) {
        let passed = half_window - self.current;
        if passed >= 1 {
            self.halves[parity(half_window)].reset();
        }
        if passed >= 2 {
            self.halves[1 - parity(half_window)].reset();
        }
        self.current = self.current.max(half_window);
    }
}

fn parity(half_window: i64) -> usize {
    usize::from(half_window % 2 != 0)
}

/// Latencies of served requests, by row.
pub struct LatencySamples {
    rows: BTreeMap<RowKey, LatencyWindow>,
    max_rows: usize,
}

impl LatencySamples {
    /// Measures at most `max_rows` rows, about 26 KB each once used.
    #[must_use]
    pub const fn new(max_rows: usize) -> Self {
        Self {
            rows: BTreeMap::new(),
            max_rows,
        }
    }

    /// Adds a latency, in microseconds, at a monotonic time in microseconds.
    pub fn record(&mut self, now_us: i64, key: &RowKey, latency_us: u64) {
        let half_window = now_us / HALF_WINDOW_US;
        if !self.rows.contains_key(key) {
            if self.rows.len() >= self.max_rows {
                return;
            }
            let Some(window) = LatencyWindow::new(half_window) else {
                return;
            };
            self.rows.insert(key.clone(), window);
        }
        let Some(window) = self.rows.get_mut(key) else {
            return;
        };
        window.advance_to(half_window);
        let half = &mut window.halves[parity(window.current)];
        half.saturating_record(latency_us.clamp(1, MAX_LATENCY_US));
    }

    /// The latency quantile of the recent requests in microseconds, for a quantile in thousandths;
    /// `None` if there were no requests.
    pub fn quantile(&mut self, now_us: i64, key: &RowKey, per_mille: u32) -> Option<u64> {
        let window = self.rows.get_mut(key)?;
        window.advance_to(now_us / HALF_WINDOW_US);
        let mut both = window.halves[0].clone();
        // Both histograms have the same bounds: adding cannot fail.
        both.add(&window.halves[1]).ok()?;
        if both.is_empty() {
            return None;
        }
        Some(both.value_at_quantile(f64::from(per_mille) / 1000.0))
    }
}
