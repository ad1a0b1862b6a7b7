//! Quantiles of the last minute: two histograms a row, of which the older one is emptied and begun anew every half of
//! the window.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::counters::RowKey;

/// The window, in microseconds: quantiles are of the last 30 to 60 s.
const HALF_US: i64 = 30_000_000;
/// Times beyond this count as this, in microseconds: ten minutes.
const LONGEST_US: u64 = 600_000_000;
/// Two significant digits: a quantile is off by 1 % at the most, and a histogram takes about 13 KB.
const DIGITS: u8 = 2;

struct Window {
    halves: [Histogram<u32>; 2],
    /// Which half of which window is filled now.
    turn: i64,
}

/// Windows of served times, by row. Rows beyond the most that it may hold are not measured.
pub struct LatencySamples {
    rows: BTreeMap<RowKey, Window>,
    most: usize,
}

impl LatencySamples {
    /// Room for so many rows, about 26 KB each once used.
    #[must_use]
    pub const fn new(most: usize) -> Self {
        Self {
            rows: BTreeMap::new(),
            most,
        }
    }

    /// Notes a served time at a moment, both in microseconds.
    pub fn note(&mut self, now_us: i64, key: &RowKey, time_us: u64) {
        if !self.rows.contains_key(key) {
            let half = || Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
            let (true, Ok(a), Ok(b)) = (self.rows.len() < self.most, half(), half()) else {
                return;
            };
            self.rows.insert(
                key.clone(),
                Window {
                    halves: [a, b],
                    turn: now_us / HALF_US,
                },
            );
        }
        if let Some(window) = self.rows.get_mut(key) {
            window.turn_to(now_us / HALF_US);
            let half = usize::from(window.turn % 2 != 0);
            window.halves[half].saturating_record(time_us.clamp(1, LONGEST_US));
        }
    }

    /// The time that so many parts of a thousand of those served of late stay within, in microseconds; `None` where
    /// none was served.
    pub fn quantile(&mut self, now_us: i64, key: &RowKey, per_mille: u32) -> Option<u64> {
        let window = self.rows.get_mut(key)?;
        window.turn_to(now_us / HALF_US);
        let mut both = window.halves[0].clone();
        // The same bounds on both sides: adding cannot fail.
        both.add(&window.halves[1]).ok()?;
        (!both.is_empty()).then(|| both.value_at_quantile(f64::from(per_mille) / 1000.0))
    }
}

impl Window {
    fn turn_to(&mut self, turn: i64) {
        let passed = turn - self.turn;
        if passed >= 1 {
            self.halves[usize::from(turn % 2 != 0)].reset();
        }
        if passed >= 2 {
            self.halves[usize::from(turn % 2 == 0)].reset();
        }
        self.turn = self.turn.max(turn);
    }
}
