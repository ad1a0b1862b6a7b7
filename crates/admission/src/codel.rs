//! When a queue has stood for too long, after CoDel (RFC 8289): once the shortest wait of an
//! interval is above the target, requests are dropped from the head at ever shorter intervals until
//! it no longer is.
//!
//! Unlike CoDel, the last request in the queue is never dropped. Times are whole microseconds; the
//! state has a fixed size.

use valehatch_policy::{Span, Time};

/// A wait that may stand.
const TARGET: Span = Span::from_millis(100);
/// How long the wait may stay above the target.
const INTERVAL: Span = Span::from_millis(500);
/// Dropping that starts again within so many intervals goes on near its former rate.
const MEMORY_INTERVALS: i64 = 16;

/// The CoDel controller of a lane's queue.
#[derive(Debug, Default)]
pub struct CodelController {
    /// When the wait will have been above the target for an interval.
    above_until: Option<Time>,
    is_dropping: bool,
    next_drop: Time,
    /// Drops since dropping began.
    drops: u32,
}

impl CodelController {
    /// A request leaves the queue after a wait, with so many behind it. Returns whether it is to be
    /// dropped.
    pub fn should_drop(&mut self, now: Time, waited: Span, behind: usize) -> bool {
        let is_standing = self.has_stood_for_interval(now, waited, behind);
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

    fn has_stood_for_interval(&mut self, now: Time, waited: Span, behind: usize) -> bool {
        let is_above_target = waited >= TARGET && behind > 0;
        if !is_above_target {
            self.above_until = None;
            return false;
        }
        let above_until = *self.above_until.get_or_insert(now + INTERVAL);
        now >= above_until
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

    /// Falls with the root of the drops, as CoDel's control law has it.
    fn drop_interval(drops: u32) -> Span {
        Span(1).times(INTERVAL.as_f64() / f64::from(drops).sqrt())
    }
}
