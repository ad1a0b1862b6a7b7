//! Who is what to whom, from a process's start to its end.
//!
//! No more than two processes are one gateway at any time: who asks during an upgrade is told to ask again. Nothing here waits
//! for the other side, and each step has an end if that one dies: see the table in `docs/design/handover.md`.

use crate::share::{self, Room};

/// A process that has asked this one, by number.
pub type Peer = u64;

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The only one.
    Alone,
    /// Beside an old one, which holds so much, as far as it has said; `grows` until it takes on nothing more.
    New { old: Option<Room>, grows: bool },
    /// It has handed over to a new one, which does not serve yet.
    Sharing(Peer),
    /// The new one serves.
    Followed(Peer),
}

/// What it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// By the old one.
    Old { holds: Room, grows: bool },
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
    Tick(Room),
}

/// What it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    /// Hands the socket, unless it was given back with a planned stop, and what it knows to the new one.
    Hand(Peer),
    /// Tells it to ask again later.
    TurnAway(Peer),
    /// Tells the new one what this process holds.
    Tell { peer: Peer, holds: Room, grows: bool },
    /// Takes up no more than this, and divides what a fleet shares by so many processes for each gateway.
    Share { room: Room, processes: u32 },
    /// Takes no connections from now on: the new one does, from the same queue.
    Leave,
    /// Listens for new ones where they ask, in place of whoever did.
    Own,
}

/// The steps of one process.
#[derive(Clone, Debug)]
pub struct Steps {
    whole: Room,
    stage: Stage,
    stopping: bool,
    told: Option<(Room, bool)>,
}

impl Steps {
    /// A process that was handed everything by an old one (`beside` it), or not.
    #[must_use]
    pub const fn new(whole: Room, beside: bool) -> Self {
        let stage = if beside { Stage::New { old: None, grows: true } } else { Stage::Alone };
        Self { whole, stage, stopping: false, told: None }
    }

    /// What it is now.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// What it may take up now.
    #[must_use]
    pub fn room(&self) -> Room {
        match self.stage {
            Stage::Alone => self.whole,
            Stage::New { old, grows } => share::of_new(self.whole, old, grows),
            Stage::Sharing(_) => share::of_old(self.whole, false, false),
            Stage::Followed(_) => share::of_old(self.whole, true, self.stopping),
        }
    }

    /// Begins: what it may take up, and that it can be asked from now on. To be called once it serves.
    pub fn serves(&self, out: &mut Vec<Does>) {
        out.push(self.share());
        out.push(Does::Own);
    }

    fn share(&self) -> Does {
        let processes = if self.stage == Stage::Alone { 1 } else { 2 };
        Does::Share { room: self.room(), processes }
    }

    fn enter(&mut self, stage: Stage, out: &mut Vec<Does>) {
        let before = self.share();
        self.stage = stage;
        let now = self.share();
        if before != now {
            out.push(now);
        }
    }

    /// Takes what it is told.
    pub fn take(&mut self, heard: Heard, out: &mut Vec<Does>) {
        match (heard, self.stage) {
            (Heard::Old { holds, grows }, Stage::New { .. }) => {
                self.enter(Stage::New { old: Some(holds), grows }, out);
            }
            (Heard::OldGone, Stage::New { .. }) => self.enter(Stage::Alone, out),
            // One that is to end hands on what it knows, and its socket if it still takes connections.
            (Heard::Asked(peer), Stage::Alone) => {
                self.told = None;
                out.push(Does::Hand(peer));
                self.enter(Stage::Sharing(peer), out);
            }
            (Heard::Asked(peer), _) => out.push(Does::TurnAway(peer)),
            (Heard::Ready(peer), Stage::Sharing(with)) if peer == with => {
                self.enter(Stage::Followed(peer), out);
                if self.stopping {
                    out.push(Does::Leave);
                }
            }
            // Whoever it was handed to has gone: this one is the gateway again, as if nothing had been.
            (Heard::Gone(peer), Stage::Sharing(with) | Stage::Followed(with)) if peer == with => {
                self.enter(Stage::Alone, out);
                out.push(Does::Own);
            }
            (Heard::Stop, stage) => {
                self.stopping = true;
                if matches!(stage, Stage::Followed(_)) {
                    out.extend([Does::Leave, self.share()]);
                }
            }
            (Heard::Tick(holds), Stage::Sharing(peer) | Stage::Followed(peer)) => {
                let grows = !self.stopping;
                if self.told != Some((holds, grows)) {
                    self.told = Some((holds, grows));
                    out.push(Does::Tell { peer, holds, grows });
                }
            }
            (Heard::Old { .. } | Heard::OldGone | Heard::Ready(_) | Heard::Gone(_) | Heard::Tick(_), _) => {}
        }
    }
}
