//! The event loop of a front's core, which runs on the caller's thread.
//!
//! Each turn takes the events that have arrived, reads the clock once, has the core reduce the
//! events, and carries out the effects.

use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use valehatch_core::{Effect, Event, State};

use crate::Clock;

/// Maximum number of events that one turn takes, in addition to the one that it waited for.
const MAX_BATCH: usize = 512;
/// The longest wait for an event, in microseconds.
const MAX_WAIT_MICROS: i64 = 1_000_000;

/// A step of the event loop, which is passed to its caller.
pub enum TurnStep {
    /// An effect to carry out.
    Effect(Effect),
    /// All effects of the turn have been carried out: collected writes are to be sent now.
    EndOfTurn,
}

/// Whether the event loop continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoopControl {
    /// The loop continues.
    Continue,
    /// The loop returns at once; further effects are dropped.
    Exit,
}

/// Runs a core until `execute` returns [`LoopControl::Exit`], or until no thread can send events
/// any more. The value that `execute` returns for [`TurnStep::EndOfTurn`] is ignored.
pub fn run(
    state: &mut State,
    clock: Clock,
    events: &Receiver<Event>,
    mut execute: impl FnMut(TurnStep) -> LoopControl,
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
            if execute(TurnStep::Effect(effect)) == LoopControl::Exit {
                return;
            }
        }
        execute(TurnStep::EndOfTurn);
    }
}
