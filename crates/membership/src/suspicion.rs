//! How long a suspected gateway has to say that it lives, and how far one's own word is to be trusted.

use std::collections::BTreeSet;

use valehatch_policy::{Span, Time};

use crate::wire::Incarnation;

/// Others who have to suspect the same before the shortest time holds.
pub const CONFIRMATIONS: usize = 3;
/// The longest time in shortest ones, where only one suspects.
pub const LONGEST: f64 = 6.0;
/// The worst mark for oneself: times and patience are up to this much and once longer.
pub const WORST: u32 = 8;

/// A suspicion under way (Lifeguard): it begins with the longest time, and each further one that suspects the same
/// shortens it towards the shortest. One whose own messages are lost is thus not believed for long.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// Of which life.
    pub incarnation: Incarnation,
    began: Time,
    accusers: BTreeSet<u16>,
    wanted: usize,
    least: Span,
    /// From `began` until it is over.
    lasts: Span,
}

impl Suspicion {
    /// `others` is how many gateways there are that could confirm it; with none the shortest time holds.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        accuser: u16,
        others: usize,
        least: Span,
        now: Time,
    ) -> Self {
        let wanted = CONFIRMATIONS.min(others);
        let accusers = BTreeSet::from([accuser]);
        let mut new = Self {
            incarnation,
            began: now,
            accusers,
            wanted,
            least,
            lasts: least,
        };
        new.lasts = new.time();
        new
    }

    /// Somebody suspects the same; whether that is news. More than are wanted are not remembered.
    pub fn confirm(&mut self, accuser: u16) -> bool {
        let news = self.accusers.len() <= self.wanted && self.accusers.insert(accuser);
        self.lasts = self.time();
        news
    }

    /// When the time is over.
    #[must_use]
    pub fn over(&self) -> Time {
        self.began + self.lasts
    }

    #[allow(clippy::cast_precision_loss)]
    fn time(&self) -> Span {
        let (heard, wanted) = (
            (self.accusers.len() - 1).min(self.wanted) as f64,
            self.wanted as f64,
        );
        let part = if self.wanted == 0 {
            1.0
        } else {
            (heard + 1.0).ln() / (wanted + 1.0).ln()
        };
        self.least.times(LONGEST - (LONGEST - 1.0) * part)
    }

    /// Time passed in which nobody could be heard: it does not count.
    pub fn postpone(&mut self, by: Span) {
        self.began = self.began + by;
    }
}

/// How well one hears oneself (Lifeguard's local health multiplier): who gets no answers from many is slow itself, asks
/// less often and waits longer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// So many signs that it is oneself who is slow.
    pub fn worse(&mut self, by: u32) {
        self.0 = (self.0 + by).min(WORST);
    }

    /// A question was answered in time.
    pub fn better(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// As bad as it gets: nothing was heard for long.
    pub fn worst(&mut self) {
        self.0 = WORST;
    }

    /// The mark, 0 for well.
    #[must_use]
    pub const fn mark(self) -> u32 {
        self.0
    }

    /// A time, made longer by it.
    #[must_use]
    pub fn stretch(self, time: Span) -> Span {
        time.times(f64::from(1 + self.0))
    }
}
