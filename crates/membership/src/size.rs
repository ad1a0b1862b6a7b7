//! How many gateways share what a fleet shares.

use valehatch_policy::{Span, Time};

/// The fleet's live size, for whatever is divided by it (cold budgets, pauses).
///
/// Too small a number lets each gateway take too much, so that the sum pushes members over; too large a one only leaves
/// something unused. So it rises at once, on this gateway's own word; it falls when it has been lower for `settle` and the
/// view was settled all that time, which is all gateways' word that those that are missing are missed by all; and it is the
/// configured size while it is not known; and while there is overload it is never below that.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    configured: u32,
    settle: Span,
    shown: u32,
    /// The most that was counted since it is lower than what is shown.
    lower: Option<(Time, u32)>,
}

impl FleetSize {
    /// A size that is not known yet.
    #[must_use]
    pub fn new(configured: u32, settle: Span) -> Self {
        let configured = configured.max(1);
        Self {
            configured,
            settle,
            shown: configured,
            lower: None,
        }
    }

    /// What was counted now, oneself included; `None` while it cannot be known. `settled`: all that are counted hold the same.
    pub fn count(&mut self, counted: Option<u32>, settled: bool, now: Time) {
        let Some(counted) = counted else {
            (self.shown, self.lower) = (self.shown.max(self.configured), None);
            return;
        };
        if counted >= self.shown {
            (self.shown, self.lower) = (counted, None);
            return;
        }
        if !settled {
            self.lower = None;
            return;
        }
        let (since, most) = self
            .lower
            .map_or((now, counted), |(since, most)| (since, most.max(counted)));
        self.lower = Some((since, most));
        if now - since >= self.settle {
            (self.shown, self.lower) = (most, None);
        }
    }

    /// The number to divide by.
    #[must_use]
    pub fn share(&self, overload: bool) -> u32 {
        if overload {
            self.shown.max(self.configured)
        } else {
            self.shown
        }
    }
}
