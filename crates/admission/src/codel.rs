//! Detection of standing queues with CoDel (RFC 8289): once the shortest wait of an interval is
//! above the target, requests are dropped from the head at ever shorter intervals until a wait is
//! below the target again.
//!
//! Unlike in CoDel, the last request in the queue is never dropped. Times are whole microseconds;
//! the state has a fixed size.

use valehatch_policy::{Span, Time};

/// Acceptable wait in a standing queue.
const TARGET: Span = Span::from_millis(100);
/// Time that the wait may stay above the target before dropping starts.
const INTERVAL: Span = Span::from_millis(500);
/// Dropping that restarts within this many intervals resumes near its previous rate.
const MEMORY_INTERVALS: i64 = 16;

/// The CoDel controller of a lane's queue.
#[derive(Debug, Default)]
pub struct CodelController {
    /// When the wait will have been above the target for one interval; `None` while it is below.
    first_above_time: Option<Time>,
    is_dropping: bool,
    next_drop: Time,
    /// Drops since dropping started, which sets the drop rate.
    drops: u32,
}

impl CodelController {
    /// Whether to drop a request that leaves the queue after waiting for `waited`, with `behind`
    /// requests left in the queue.
    pub fn should_drop(&mut self, now: Time, waited: Span, behind: usize) -> bool {
        let is_standing = self.is_above_target_for_interval(now, waited, behind);
        if !is_standing {
            self.is_dropping = false;
            return false;
        }
        if !self.is_dropping {
            self.begin_dropping(now);
            return true;
        }
        if now < self.next_drop {
            return false;
        }
        self.drops += 1;
        self.next_drop = self.next_drop + Self::drop_interval(self.drops);
        true
    }

    fn is_above_target_for_interval(&mut self, now: Time, waited: Span, behind: usize) -> bool {
        let is_above_target = waited >= TARGET && behind > 0;
        if !is_above_target {
            self.first_above_time = None;
            return false;
        }
        let first_above_time = *self.first_above_time.get_or_insert(now + INTERVAL);
        now >= first_above_time
    }

    fn begin_dropping(&mut self, now: Time) {
        self.is_dropping = true;
        let is_recent = now - self.next_drop < Span(INTERVAL.0 * MEMORY_INTERVALS);
        self.drops = if is_recent && self.drops > 2 {
            self.drops - 2
        } else {
            1
        };
        self.next_drop = now + Self::drop_interval(self.drops);
    }

    /// The CoDel control law: the interval shrinks with the square root of the number of drops.
    fn drop_interval(drops: u32) -> Span {
        Span(1).times(INTERVAL.as_f64() / f64::from(drops).sqrt())
    }
}
