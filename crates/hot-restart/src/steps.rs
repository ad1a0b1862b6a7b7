//! Who is what to whom, from a process's start to its end.
//!
//! No more than two processes are one gateway at any time: who asks during an upgrade is told to ask again. Nothing here waits
//! for the other side, and each step has an end if that one dies: see the table in `docs/design/handover.md`.

use crate::share::{self, ProcessLimits};

/// A process that has asked this one, by number.
pub type Peer = u64;

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffStage {
    /// The only one.
    Alone,
    /// Beside an old one, which holds so much, as far as it has said; `grows` until it takes on nothing more.
    New {
        old: Option<ProcessLimits>,
        grows: bool,
    },
    /// It has handed over to a new one, which does not serve yet.
    Sharing(Peer),
    /// The new one serves.
    Followed(Peer),
}

/// What it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffEvent {
    /// By the old one.
    Old { holds: ProcessLimits, grows: bool },
    /// The old one has ended, or cannot be heard any more.
    OldGone,
    /// A new one asks to be handed everything, whether or not this one is to end.
    Asked(Peer),
    /// The new one serves.
    Ready(Peer),
    /// The new one has ended.
    Gone(Peer),
    /// A planned stop was asked for.
    Stop,
    /// Some time has passed; the process holds so much now.
    Tick(ProcessLimits),
}

/// What it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffAction {
    /// Hands the socket, unless it was given back with a planned stop, and what it knows to the new one.
    Hand(Peer),
    /// Tells it to ask again later.
    TurnAway(Peer),
    /// Tells the new one what this process holds.
    Tell {
        peer: Peer,
        holds: ProcessLimits,
        grows: bool,
    },
    /// Takes up no more than this, and divides what a fleet shares by so many processes for each gateway.
    Share { room: ProcessLimits, processes: u32 },
    /// Takes no connections from now on: the new one does, from the same queue.
    Leave,
    /// Listens for new ones where they ask, in place of whoever did.
    Own,
}

/// The steps of one process.
#[derive(Clone, Debug)]
pub struct HandoffStateMachine {
    whole: ProcessLimits,
    stage: HandoffStage,
    stopping: bool,
    told: Option<(ProcessLimits, bool)>,
}

impl HandoffStateMachine {
    /// A process that was handed everything by an old one (`beside` it), or not.
    #[must_use]
    pub const fn new(whole: ProcessLimits, beside: bool) -> Self {
        let stage = if beside {
            HandoffStage::New {
                old: None,
                grows: true,
            }
        } else {
            HandoffStage::Alone
        };
        Self {
            whole,
            stage,
            stopping: false,
            told: None,
        }
    }

    /// What it is now.
    #[must_use]
    pub const fn stage(&self) -> HandoffStage {
        self.stage
    }

    /// What it may take up now.
    #[must_use]
    pub fn room(&self) -> ProcessLimits {
        match self.stage {
            HandoffStage::Alone => self.whole,
            HandoffStage::New { old, grows } => share::of_new(self.whole, old, grows),
            HandoffStage::Sharing(_) => share::of_old(self.whole, false, false),
            HandoffStage::Followed(_) => share::of_old(self.whole, true, self.stopping),
        }
    }

    /// Begins: what it may take up, and that it can be asked from now on. To be called once it serves.
    pub fn serves(&self, out: &mut Vec<HandoffAction>) {
        out.push(self.share());
        out.push(HandoffAction::Own);
    }

    fn share(&self) -> HandoffAction {
        let processes = if self.stage == HandoffStage::Alone {
            1
        } else {
            2
        };
        HandoffAction::Share {
            room: self.room(),
            processes,
        }
    }

    fn enter(&mut self, stage: HandoffStage, out: &mut Vec<HandoffAction>) {
        let before = self.share();
        self.stage = stage;
        let now = self.share();
        if before != now {
            out.push(now);
        }
    }

    /// Takes what it is told.
    pub fn take(&mut self, heard: HandoffEvent, out: &mut Vec<HandoffAction>) {
        match (heard, self.stage) {
            (HandoffEvent::Old { holds, grows }, HandoffStage::New { .. }) => {
                self.enter(
                    HandoffStage::New {
                        old: Some(holds),
                        grows,
                    },
                    out,
                );
            }
            (HandoffEvent::OldGone, HandoffStage::New { .. }) => {
                self.enter(HandoffStage::Alone, out)
            }
            // One that is to end hands on what it knows, and its socket if it still takes connections.
            (HandoffEvent::Asked(peer), HandoffStage::Alone) => {
                self.told = None;
                out.push(HandoffAction::Hand(peer));
                self.enter(HandoffStage::Sharing(peer), out);
            }
            (HandoffEvent::Asked(peer), _) => out.push(HandoffAction::TurnAway(peer)),
            (HandoffEvent::Ready(peer), HandoffStage::Sharing(with)) if peer == with => {
                self.enter(HandoffStage::Followed(peer), out);
                if self.stopping {
                    out.push(HandoffAction::Leave);
                }
            }
            // Whoever it was handed to has gone: this one is the gateway again, as if nothing had been.
            (
                HandoffEvent::Gone(peer),
                HandoffStage::Sharing(with) | HandoffStage::Followed(with),
            ) if peer == with => {
                self.enter(HandoffStage::Alone, out);
                out.push(HandoffAction::Own);
            }
            (HandoffEvent::Stop, stage) => {
                self.stopping = true;
                if matches!(stage, HandoffStage::Followed(_)) {
                    out.extend([HandoffAction::Leave, self.share()]);
                }
            }
            (
                HandoffEvent::Tick(holds),
                HandoffStage::Sharing(peer) | HandoffStage::Followed(peer),
            ) => {
                let grows = !self.stopping;
                if self.told != Some((holds, grows)) {
                    self.told = Some((holds, grows));
                    out.push(HandoffAction::Tell { peer, holds, grows });
                }
            }
            (
                HandoffEvent::Old { .. }
                | HandoffEvent::OldGone
                | HandoffEvent::Ready(_)
                | HandoffEvent::Gone(_)
                | HandoffEvent::Tick(_),
                _,
            ) => {}
        }
    }
}
