//! The fleet size by which shared quotas are divided (slow start budgets, poll intervals).
//!
//! Inputs are the number of live gateways and whether the view has converged; times are whole
//! microseconds. The state has a fixed size.

use valehatch_policy::{Span, Time};

use crate::events::Load;
use crate::view::Convergence;

/// The fleet size as it is used.
///
/// Too small a size lets each gateway take too much, so that together they overload the endpoints;
/// too large a size only leaves capacity unused. So the size rises at once, on this gateway's own
/// count. It falls only after the count has been lower for the shrink delay while the view was
/// converged, that is, while all gateways agreed on who is missing. While the count is unknown, and
/// under overload, it is never below the configured size.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    configured: u32,
    shrink_delay: Span,
    current: u32,
    pending_shrink: Option<PendingShrink>,
}

/// A lower count that has not lasted long enough yet.
#[derive(Clone, Copy, Debug)]
struct PendingShrink {
    since: Time,
    /// The greatest count since then.
    greatest: u32,
}

impl FleetSize {
    /// A size that is not known yet; `configured` counts as 1 at least.
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

    /// Takes in the number of live gateways, this one included; `None` while it is unknown.
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
                greatest: pending.greatest.max(live),
                ..pending
            },
            None => PendingShrink {
                since: now,
                greatest: live,
            },
        };
        self.pending_shrink = Some(shrink);
        if now - shrink.since >= self.shrink_delay {
            self.current = shrink.greatest;
            self.pending_shrink = None;
        }
    }

    /// The number by which a quota is divided.
    #[must_use]
    pub fn divisor(&self, load: Load) -> u32 {
        match load {
            Load::Normal => self.current,
            Load::Overloaded => self.current.max(self.configured),
        }
    }
}
