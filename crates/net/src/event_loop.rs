//! The event loop of a front's core, which runs on the caller's thread.
//!
//! Each turn takes the events that have arrived, reads the clock once, lets the core reduce them, and carries out the effects.

use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use valehatch_core::{Effect, Event, State};

use crate::Clock;

/// Events that one turn takes, but for the one that it waited for.
const MAX_BATCH: usize = 512;
/// The longest wait for an event, in microseconds.
const MAX_WAIT_MICROS: i64 = 1_000_000;

/// What the event loop has for its caller.
pub enum TurnStep {
    /// An effect to carry out.
    Effect(Effect),
    /// All effects of the turn are carried out: writes that were collected leave now.
    EndOfTurn,
}

/// Whether the event loop goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoopControl {
    /// It does.
    Continue,
    /// It returns at once; further effects are dropped.
    Exit,
}

/// Runs a core until `carry_out` says to exit, or no thread can send events any more. What `carry_out` returns at the end of a
/// turn is of no account.
#[allow(clippy::cast_sign_loss)]
pub fn run(
    state: &mut State,
    clock: Clock,
    events: &Receiver<Event>,
    mut carry_out: impl FnMut(TurnStep) -> LoopControl,
) {
    let mut effects = vec![];
    let mut now = clock.now();
    loop {
        let until_due = state.next_due().map_or(i64::MAX, |due| (due - now).0);
        let wait_micros = until_due.clamp(0, MAX_WAIT_MICROS) as u64;
        let mut batch = vec![];
        match events.recv_timeout(Duration::from_micros(wait_micros)) {
            Ok(event) => batch.push(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        batch.extend(events.try_iter().take(MAX_BATCH));
        now = clock.now();
        state.reduce(now, batch, &mut effects);
        for effect in effects.drain(..) {
            if carry_out(TurnStep::Effect(effect)) == LoopControl::Exit {
                return;
            }
        }
        carry_out(TurnStep::EndOfTurn);
    }
}
