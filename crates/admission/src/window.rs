//! How many of a lane may be inside: what the decision module has room for, and no more, so that the queue stands here,
//! where it is fair, and not there.

/// What the decision module has room for in a lane.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Attempts that the members which can be used may have at once: their limits, the cold ones' by their warm part.
    pub limit: f64,
    /// Requests of the lane that wait inside.
    pub waiting: usize,
    /// The lane's primary is being searched for: writes wait for it and not for room.
    pub searching: bool,
}

/// Writes that are let in while a primary is searched for: one leads the search, the others are there when it is found.
const SEEKERS: f64 = 2.0;
/// Before anything is known of the members.
const AT_FIRST: f64 = 8.0;
/// Let in beyond the limits, so that a place that comes free is not empty until the door has heard of it.
const AHEAD: f64 = 0.0;

/// The window.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    open: f64,
}

impl Default for Window {
    fn default() -> Self {
        Self { open: AT_FIRST }
    }
}

impl Window {
    /// Follows what there is room for. It closes at once to what is inside and not waiting, and opens again step by step.
    #[allow(clippy::cast_precision_loss)]
    pub fn follow(&mut self, room: Capacity, out: u64) {
        let limit = if room.searching {
            SEEKERS
        } else {
            (room.limit + AHEAD).max(1.0)
        };
        // What waits inside was let in too soon.
        let busy = (out as f64 - room.waiting as f64 + AHEAD).max(1.0);
        let wanted = if room.waiting > 1 {
            limit.min(busy)
        } else {
            limit
        };
        self.open = if wanted < self.open {
            wanted
        } else {
            wanted.min(self.open * 1.25 + 1.0)
        };
    }

    /// Whether one more may be let in, with so many inside.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn admits(&self, out: u64) -> bool {
        (out as f64) < self.open
    }

    /// How many may be inside.
    #[must_use]
    pub const fn open(&self) -> f64 {
        self.open
    }
}
