//! Bounds the share of one core that requests take.

use crate::{Micros, SECOND};

/// Maximum unused time that is saved up, in microseconds of the clock.
const MAX_SAVED: Micros = SECOND / 10;

/// Limits CPU use to a share of one core. After excess use, the excess has to be earned back before
/// more is used; the share of up to a tenth of a second may be saved up.
#[derive(Debug)]
pub struct CpuShare {
    /// The share in millionths.
    share: i64,
    /// CPU time that may be used, in millionths of a microsecond; negative after excess use.
    credit: i64,
    updated_at: Micros,
}

impl CpuShare {
    /// Creates a limit of `share` of a core, above 0 and at most 1.
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
    /// more may be used; 0 if there is none.
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
