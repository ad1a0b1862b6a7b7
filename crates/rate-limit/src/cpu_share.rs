//! Bounds the share of one core that requests take.

use crate::{Micros, SECOND};

/// Unused time that may be saved up, in microseconds of the clock.
const MAX_SAVED: Micros = SECOND / 10;

/// A share of one core. Time used beyond the share has to pass before more is used; the share of a
/// tenth of a second may be saved up.
#[derive(Debug)]
pub struct CpuShare {
    /// The share in millionths.
    share: i64,
    /// Time that may be used, in millionths of a microsecond; negative if too much was used.
    credit: i64,
    updated_at: Micros,
}

impl CpuShare {
    /// A share of a core, above 0 and at most 1.
    #[must_use]
    #[allow(clippy::cast_possible_truncation)]
    pub fn new(share: f64, now: Micros) -> Self {
        let share = ((share * 1e6) as i64).clamp(1, SECOND);
        Self {
            share,
            credit: MAX_SAVED * share,
            updated_at: now,
        }
    }

    /// Records microseconds of CPU time used up to now. Returns the pause in microseconds until
    /// more may be used; 0 for none.
    pub fn record_used(&mut self, now: Micros, used: Micros) -> Micros {
        let elapsed = (now - self.updated_at).max(0);
        self.updated_at = self.updated_at.max(now);
        let earned = elapsed.saturating_mul(self.share);
        let saved = self.credit.saturating_add(earned);
        let spent = used.max(0).saturating_mul(SECOND);
        self.credit = saved.min(MAX_SAVED * self.share).saturating_sub(spent);
        if self.credit >= 0 {
            return 0;
        }
        (-self.credit).div_euclid(self.share) + 1
    }
}
