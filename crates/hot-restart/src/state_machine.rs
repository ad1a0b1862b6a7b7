//! The steps of one process, from its start to its end. Both processes of a hot restart run this
//! state machine, one as the old process and one as the new.
//!
//! Inputs are [`HandoffEvent`]s, outputs are [`HandoffAction`]s in the order in which they are to
//! be done; there is no clock. At most two processes are one gateway: a third that requests a
//! handoff is rejected. No step waits for the other process, and every step ends when that process
//! dies (its socket closes).
//!
//! Who holds what:
//!
//! | stage | this process | the other process |
//! | --- | --- | --- |
//! | `Sole` | listening socket, all resources | - |
//! | `HandingOver` | listening socket, nearly all resources | new: socket, minimum resources |
//! | `Superseded` | listening socket, half of the resources | new: socket, the rest |
//! | `Superseded`, draining | a quarter of the resources | new: socket, the rest |
//! | `Successor` | listening socket, what the old process leaves | old: see above |
//!
//! The socket is not handed over if a shutdown request has closed it before.
//!
//! Which events lead where:
//!
//! | stage | event | next stage | actions |
//! | --- | --- | --- | --- |
//! | `Sole` | `HandoffRequested` | `HandingOver` | `HandOver`, `ApplyLimits` |
//! | `HandingOver` | `NewProcessReady` | `Superseded` | `ApplyLimits`, `StopAccepting` [^1] |
//! | `HandingOver` | `NewProcessGone` | `Sole` | `ApplyLimits`, `ListenForSuccessor` |
//! | `Superseded` | `ShutdownRequested` | `Superseded` | `StopAccepting`, `ApplyLimits` |
//! | `Superseded` | `NewProcessGone` | `Sole` | `ApplyLimits`, `ListenForSuccessor` |
//! | `Successor` | `OldProcessReported` | `Successor` | `ApplyLimits` |
//! | `Successor` | `OldProcessGone` | `Sole` | `ApplyLimits` |
//! | all but `Sole` | `HandoffRequested` | the same | `RejectBusy` |
//! | `HandingOver`, `Superseded` | `UsageSampled` | the same | `ReportUsage` [^2] |
//! | all but `Superseded` | `ShutdownRequested` | the same | none; it is remembered |
//!
//! [^1]: only after a shutdown request.
//!
//! [^2]: unless the last report was the same.
//!
//! `ApplyLimits` is left out if a change of stage leaves the limits as they were. Events that are
//! not listed for a stage are ignored.
//!
//! What a death means:
//!
//! | death of | in stage | means |
//! | --- | --- | --- |
//! | new process | `HandingOver`, `Superseded` | this process is the only one again |
//! | old process | `Successor` | this process is the only one |
//!
//! After the death of a new process this one accepts the next handoff request, also while it
//! drains.

use crate::limits::{
    OldProcessPhase, OldProcessStep, ProcessLimits, new_process_limits, old_process_limits,
};

/// Identifies a process that requested a handoff from this one; unique within this process.
pub type PeerId = u64;

/// How a process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStart {
    /// There was no process to take over from, or it handed nothing over and is gone.
    Sole,
    /// An old process still runs.
    Successor,
}

/// The role of a process in a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffStage {
    /// The only process.
    Sole,
    /// The new process, beside an old one.
    Successor {
        /// What the old process uses; `None` before its first report.
        old_usage: Option<ProcessLimits>,
        /// Whether the old process still takes new work.
        old_phase: OldProcessPhase,
    },
    /// The old process; it has handed its state to this peer, which does not serve yet.
    HandingOver(PeerId),
    /// The old process; this peer serves.
    Superseded(PeerId),
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffEvent {
    /// The old process reported its usage.
    OldProcessReported {
        /// What it uses.
        usage: ProcessLimits,
        /// Whether it still takes new work.
        phase: OldProcessPhase,
    },
    /// The connection to the old process closed: it ended, or cannot be reached any more.
    OldProcessGone,
    /// A new process requested a handoff, whether or not this process is to shut down.
    HandoffRequested(PeerId),
    /// The new process serves.
    NewProcessReady(PeerId),
    /// The connection to the new process closed.
    NewProcessGone(PeerId),
    /// A graceful shutdown was requested.
    ShutdownRequested,
    /// Usage of this process, sampled at an interval that the caller chooses.
    UsageSampled(ProcessLimits),
}

/// An output of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffAction {
    /// Send the snapshot and the listening socket to the peer; without the socket if a shutdown has
    /// closed it.
    HandOver(PeerId),
    /// Answer the peer that it must request again later.
    RejectBusy(PeerId),
    /// Send this process's usage to the new process.
    ReportUsage {
        /// The new process.
        peer: PeerId,
        /// What this process uses.
        usage: ProcessLimits,
        /// Whether this process still takes new work.
        phase: OldProcessPhase,
    },
    /// Change the limits of this process.
    ApplyLimits {
        /// What this process may use from now on.
        limits: ProcessLimits,
        /// Processes that are this gateway: fleet-wide quotas are divided by this number per
        /// gateway.
        processes: u32,
    },
    /// Accept no more connections; the new process accepts them from the same queue.
    StopAccepting,
    /// Listen for handoff requests in place of any other process.
    ListenForSuccessor,
}

/// A usage report as it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UsageReport {
    usage: ProcessLimits,
    phase: OldProcessPhase,
}

/// The state of one process; see the table of steps in the module documentation.
#[derive(Clone, Debug)]
pub struct HandoffStateMachine {
    /// Limits of the whole gateway.
    total: ProcessLimits,
    stage: HandoffStage,
    shutdown_requested: bool,
    last_report: Option<UsageReport>,
}

impl HandoffStateMachine {
    /// The state of a process that has just started; `total` is the limit of the whole gateway.
    #[must_use]
    pub const fn new(total: ProcessLimits, start: ProcessStart) -> Self {
        let stage = match start {
            ProcessStart::Sole => HandoffStage::Sole,
            ProcessStart::Successor => HandoffStage::Successor {
                old_usage: None,
                old_phase: OldProcessPhase::Serving,
            },
        };
        Self {
            total,
            stage,
            shutdown_requested: false,
            last_report: None,
        }
    }

    /// The current stage.
    #[must_use]
    pub const fn stage(&self) -> HandoffStage {
        self.stage
    }

    /// What this process may use now.
    #[must_use]
    pub fn limits(&self) -> ProcessLimits {
        match self.stage {
            HandoffStage::Sole => self.total,
            HandoffStage::Successor {
                old_usage,
                old_phase,
            } => new_process_limits(self.total, old_usage, old_phase),
            HandoffStage::HandingOver(_) => {
                old_process_limits(self.total, OldProcessStep::HandingOver)
            }
            HandoffStage::Superseded(_) => {
                old_process_limits(self.total, OldProcessStep::Superseded(self.phase()))
            }
        }
    }

    /// The first actions of a process. Called once, when it serves.
    pub fn start_serving(&self, actions: &mut Vec<HandoffAction>) {
        actions.push(self.apply_limits());
        actions.push(HandoffAction::ListenForSuccessor);
    }

    /// Handles one event and appends what is to be done.
    pub fn handle(&mut self, event: HandoffEvent, actions: &mut Vec<HandoffAction>) {
        match (event, self.stage) {
            (HandoffEvent::OldProcessReported { usage, phase }, HandoffStage::Successor { .. }) => {
                let stage = HandoffStage::Successor {
                    old_usage: Some(usage),
                    old_phase: phase,
                };
                self.enter(stage, actions);
            }
            (HandoffEvent::OldProcessGone, HandoffStage::Successor { .. }) => {
                self.enter(HandoffStage::Sole, actions);
            }
            (HandoffEvent::HandoffRequested(peer), HandoffStage::Sole) => {
                self.last_report = None;
                actions.push(HandoffAction::HandOver(peer));
                self.enter(HandoffStage::HandingOver(peer), actions);
            }
            (HandoffEvent::HandoffRequested(peer), _) => {
                actions.push(HandoffAction::RejectBusy(peer));
            }
            (HandoffEvent::NewProcessReady(peer), HandoffStage::HandingOver(current))
                if peer == current =>
            {
                self.enter(HandoffStage::Superseded(peer), actions);
                if self.shutdown_requested {
                    actions.push(HandoffAction::StopAccepting);
                }
            }
            (
                HandoffEvent::NewProcessGone(peer),
                HandoffStage::HandingOver(current) | HandoffStage::Superseded(current),
            ) if peer == current => {
                self.enter(HandoffStage::Sole, actions);
                actions.push(HandoffAction::ListenForSuccessor);
            }
            (HandoffEvent::ShutdownRequested, stage) => {
                self.shutdown_requested = true;
                if matches!(stage, HandoffStage::Superseded(_)) {
                    actions.push(HandoffAction::StopAccepting);
                    actions.push(self.apply_limits());
                }
            }
            (
                HandoffEvent::UsageSampled(usage),
                HandoffStage::HandingOver(peer) | HandoffStage::Superseded(peer),
            ) => self.report_usage(peer, usage, actions),
            // Late or repeated events of a process that is not the current peer.
            (
                HandoffEvent::OldProcessReported { .. }
                | HandoffEvent::OldProcessGone
                | HandoffEvent::NewProcessReady(_)
                | HandoffEvent::NewProcessGone(_)
                | HandoffEvent::UsageSampled(_),
                _,
            ) => {}
        }
    }

    const fn phase(&self) -> OldProcessPhase {
        if self.shutdown_requested {
            OldProcessPhase::Draining
        } else {
            OldProcessPhase::Serving
        }
    }

    fn apply_limits(&self) -> HandoffAction {
        let processes = if self.stage == HandoffStage::Sole {
            1
        } else {
            2
        };
        HandoffAction::ApplyLimits {
            limits: self.limits(),
            processes,
        }
    }

    /// Changes the stage, and the limits if they differ in it.
    fn enter(&mut self, stage: HandoffStage, actions: &mut Vec<HandoffAction>) {
        let before = self.apply_limits();
        self.stage = stage;
        let after = self.apply_limits();
        if before != after {
            actions.push(after);
        }
    }

    /// Reports the usage to the new process unless the last report says the same.
    fn report_usage(
        &mut self,
        peer: PeerId,
        usage: ProcessLimits,
        actions: &mut Vec<HandoffAction>,
    ) {
        let phase = self.phase();
        let report = UsageReport { usage, phase };
        if self.last_report == Some(report) {
            return;
        }
        self.last_report = Some(report);
        actions.push(HandoffAction::ReportUsage { peer, usage, phase });
    }
}
