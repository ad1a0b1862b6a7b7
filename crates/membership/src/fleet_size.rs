//! The fleet size by which shared quotas are divided (slow start budgets, poll intervals).
//!
//! Inputs are the number of live gateways and whether the view has converged; times are whole
//! microseconds. The state has a fixed size.

use valehatch_policy::{Span, Time};

use crate::events::Load;
use crate::view::Convergence;

/// The fleet size by which shared quotas are divided.
///
/// A size that is too small gives each gateway too large a share, so that together they overload
/// the endpoints; a size that is too large only leaves capacity unused. The size therefore rises
/// immediately with this gateway's own count of live gateways. It falls only after the count has
/// been lower for the shrink delay while the view was converged, that is, while all gateways agreed
/// on which of them are missing. While the count is unknown, and under overload, the size is never
/// below the configured one.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    configured: u32,
    shrink_delay: Span,
    current: u32,
    pending_shrink: Option<PendingShrink>,
}

/// A lower count that has not lasted for the shrink delay yet.
#[derive(Clone, Copy, Debug)]
struct PendingShrink {
    since: Time,
    /// Maximum count since then.
    max_live: u32,
}

impl FleetSize {
    /// Starts at the configured size, since the live count is not known yet; 0 is taken as 1.
    #[must_use]
    pub fn new(configured: u32, shrink_delay: Span) -> Self {
        let configured = configured.max(1);
        Self {
            configured,
            shrink_delay,
            current: configured,
            pending_shrink: None,
        }
    }

    /// Updates the number of live gateways, including this one; `None` while it is unknown.
    pub fn update(&mut self, live: Option<u32>, convergence: Convergence, now: Time) {
        let Some(live) = live else {
            self.current = self.current.max(self.configured);
            self.pending_shrink = None;
            return;
        };
        if live >= self.current {
            self.current = live;
            self.pending_shrink = None;
            return;
        }
        if convergence == Convergence::Diverged {
            self.pending_shrink = None;
            return;
        }
        let shrink = match self.pending_shrink {
            Some(pending) => PendingShrink {
                max_live: pending.max_live.max(live),
                ..pending
            },
            None => PendingShrink {
                since: now,
                max_live: live,
            },
        };
        self.pending_shrink = Some(shrink);
        if now - shrink.since >= self.shrink_delay {
            self.current = shrink.max_live;
            self.pending_shrink = None;
        }
    }

    /// Number of gateways by which a quota is divided; under overload at least the configured size.
    #[must_use]
    pub fn divisor(&self, load: Load) -> u32 {
        match load {
            Load::Normal => self.current,
            Load::Overloaded => self.current.max(self.configured),
        }
    }
}
