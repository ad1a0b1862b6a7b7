//! Recovering or full: since when, why, and how long it took.

use std::collections::VecDeque;

use valehatch_policy::{Span, Time};

/// How long service must have been whole before it counts as full.
pub const STEADY: Span = Span::from_millis(2_000);
/// The part of the requests that have to be served in that time.
pub const SERVED: f64 = 0.98;
/// How fine the time is looked at.
const STEP: Span = Span::from_millis(100);

/// Why service is not full yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveringReason {
    /// Of so many fronts nobody has confirmed the list: it is from the snapshot, or there is none.
    List(usize),
    /// Too few requests were served of late.
    Served,
    /// It has not been whole for long enough.
    Steady,
}

impl RecoveringReason {
    /// In one word.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::List(_) => "list",
            Self::Served => "served",
            Self::Steady => "steady",
        }
    }
}

/// How service is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Coming back, and what is wanting.
    Recovering(RecoveringReason),
    /// Whole since, and how long that took from the start.
    Full { since: Time, took: Span },
}

/// Service since a start. Once full it stays so: what goes wrong later is no recovery.
#[derive(Debug)]
pub struct Service {
    began: Time,
    /// Fronts whose list is not confirmed.
    unconfirmed: Vec<bool>,
    confirmed_at: Time,
    /// Requests answered and served, by step, of the last `STEADY`.
    steps: VecDeque<(Time, u64, u64)>,
    state: State,
}

impl Service {
    /// A start with so many fronts whose lists have to be confirmed.
    #[must_use]
    pub fn new(fronts: usize, now: Time) -> Self {
        let why = if fronts == 0 {
            RecoveringReason::Steady
        } else {
            RecoveringReason::List(fronts)
        };
        let (steps, state) = (VecDeque::new(), State::Recovering(why));
        Self {
            began: now,
            unconfirmed: vec![true; fronts],
            confirmed_at: now,
            steps,
            state,
        }
    }

    /// A front's list was confirmed.
    pub fn confirmed(&mut self, front: usize, now: Time) {
        if let Some(waits) = self.unconfirmed.get_mut(front).filter(|w| **w) {
            *waits = false;
            self.confirmed_at = self.confirmed_at.max(now);
        }
    }

    /// A request had its final answer.
    pub fn answered(&mut self, served: bool, now: Time) {
        if matches!(self.state, State::Full { .. }) {
            return;
        }
        let step = Time(now.0 - now.0.rem_euclid(STEP.0));
        if self.steps.back().is_none_or(|(at, ..)| *at < step) {
            self.steps.push_back((step, 0, 0));
        }
        if let Some((_, asked, ok)) = self.steps.back_mut() {
            *asked += 1;
            *ok += u64::from(served);
        }
    }

    /// How service is now; `Some` if that is not what it was.
    #[allow(clippy::cast_precision_loss)]
    pub fn look(&mut self, now: Time) -> Option<State> {
        if matches!(self.state, State::Full { .. }) {
            return None;
        }
        while self
            .steps
            .front()
            .is_some_and(|(at, ..)| *at + STEP <= now - STEADY)
        {
            self.steps.pop_front();
        }
        let waits = self.unconfirmed.iter().filter(|w| **w).count();
        let (asked, served) = self
            .steps
            .iter()
            .fold((0, 0), |(a, s), (_, asked, ok)| (a + asked, s + ok));
        let whole = asked == 0 || served as f64 >= SERVED * asked as f64;
        // The first moment from which on it was whole: nobody was turned away since, or too few.
        let since = self.confirmed_at;
        let state = match () {
            () if waits > 0 => State::Recovering(RecoveringReason::List(waits)),
            () if !whole => State::Recovering(RecoveringReason::Served),
            () if now - since < STEADY => State::Recovering(RecoveringReason::Steady),
            () => {
                let since = since.max(now - STEADY);
                State::Full {
                    since,
                    took: since - self.began,
                }
            }
        };
        (std::mem::replace(&mut self.state, state) != state).then_some(state)
    }

    /// How service was when it was last looked at.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }
}
