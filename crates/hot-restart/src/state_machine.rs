//! The handoff state machine of one process, from its start to its end. Both processes of a hot
//! restart run it, one as the old process and one as the new.
//!
//! Inputs are [`HandoffEvent`]s, outputs are [`HandoffAction`]s in the order of execution; there is
//! no clock. At most two processes form one gateway: a third that requests a handoff is rejected.
//! No step waits for the other process, and every step ends when that process dies (its socket
//! closes).
//!
//! Resources by stage:
//!
//! | stage | this process | the other process |
//! | --- | --- | --- |
//! | `Sole` | listening socket, all resources | - |
//! | `HandingOver` | listening socket, all but the minimum | new: socket, the minimum |
//! | `Superseded` | listening socket, half of the resources | new: socket, the rest |
//! | `Superseded`, draining | a quarter of the resources | new: socket, the rest |
//! | `Successor` | listening socket, what the old process leaves | old: see the rows above |
//!
//! The socket is not handed over if a shutdown request has already closed it.
//!
//! Transitions:
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
//! | all but `Superseded` | `ShutdownRequested` | the same | none; the request is stored |
//!
//! [^1]: only after a shutdown request.
//!
//! [^2]: unless the usage and phase equal those of the last report.
//!
//! `ApplyLimits` is omitted if a change of stage does not change the limits. Events that are not
//! listed for a stage are ignored.
//!
//! Effect of the death of the other process:
//!
//! | process that died | stage | effect |
//! | --- | --- | --- |
//! | new process | `HandingOver`, `Superseded` | this process is the only one again |
//! | old process | `Successor` | this process is the only one |
//!
//! After the death of a new process, this process accepts the next handoff request, even while it
//! drains.

use crate::limits::{
    OldProcessPhase, OldProcessStep, ProcessLimits, new_process_limits, old_process_limits,
};

/// Identifies a process that requested a handoff from this one; unique within this process.
pub type PeerId = u64;

/// How a process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStart {
    /// No old process runs: there was none, or it ended without handing its state over.
    Sole,
    /// An old process still runs, whether or not it has handed its state over.
    Successor,
}

/// The role of a process in a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffStage {
    /// The only process of the gateway.
    Sole,
    /// The new process, while the old one still runs.
    Successor {
        /// Usage of the old process; `None` before its first report.
        old_usage: Option<ProcessLimits>,
        /// Whether the old process still accepts new work.
        old_phase: OldProcessPhase,
    },
    /// The old process, after it has handed its state to this peer, which does not serve yet.
    HandingOver(PeerId),
    /// The old process, while this peer serves.
    Superseded(PeerId),
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffEvent {
    /// The old process reported its usage.
    OldProcessReported {
        /// Resources that the old process uses.
        usage: ProcessLimits,
        /// Whether the old process still accepts new work.
        phase: OldProcessPhase,
    },
    /// The connection to the old process closed: the process ended or cannot be reached any more.
    OldProcessGone,
    /// A new process requested a handoff, whether or not this process is shutting down.
    HandoffRequested(PeerId),
    /// The new process reported that it serves.
    NewProcessReady(PeerId),
    /// The connection to the new process closed.
    NewProcessGone(PeerId),
    /// A graceful shutdown was requested.
    ShutdownRequested,
    /// Current usage of this process, sampled at an interval that the caller chooses.
    UsageSampled(ProcessLimits),
}

/// An output of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffAction {
    /// Send the snapshot and the listening socket to the peer; omit the socket if a shutdown has
    /// closed it.
    HandOver(PeerId),
    /// Tell the peer that another handoff is in progress.
    RejectBusy(PeerId),
    /// Send this process's usage to the new process.
    ReportUsage {
        /// New process that receives the report.
        peer: PeerId,
        /// Resources that this process uses.
        usage: ProcessLimits,
        /// Whether this process still accepts new work.
        phase: OldProcessPhase,
    },
    /// Change the limits of this process.
    ApplyLimits {
        /// Limits of this process from now on.
        limits: ProcessLimits,
        /// Number of processes that form this gateway. The gateway's part of fleet-wide quotas is
        /// divided by it.
        processes: u32,
    },
    /// Stop accepting connections; the new process accepts them from the same socket queue.
    StopAccepting,
    /// Listen for handoff requests, replacing any other process that does.
    ListenForSuccessor,
}

/// Contents of a usage report, kept to detect changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UsageReport {
    usage: ProcessLimits,
    phase: OldProcessPhase,
}

/// The handoff state of one process; see the tables in the module documentation.
#[derive(Clone, Debug)]
pub struct HandoffStateMachine {
    /// Limits of the whole gateway.
    total: ProcessLimits,
    stage: HandoffStage,
    shutdown_requested: bool,
    last_report: Option<UsageReport>,
}

impl HandoffStateMachine {
    /// Creates the state of a process that has just started; `total` is the limit of the gateway.
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

    /// Current stage of the handoff.
    #[must_use]
    pub const fn stage(&self) -> HandoffStage {
        self.stage
    }

    /// Current resource limits of this process.
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

    /// Appends the first actions of a process. Called once, when the process starts to serve.
    pub fn start_serving(&self, actions: &mut Vec<HandoffAction>) {
        actions.push(self.apply_limits());
        actions.push(HandoffAction::ListenForSuccessor);
    }

    /// Handles one event and appends the resulting actions.
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
            // Late or repeated events from a process that is not the current peer.
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

    /// Changes the stage; applies the new limits if they differ from the old ones.
    fn enter(&mut self, stage: HandoffStage, actions: &mut Vec<HandoffAction>) {
        let before = self.apply_limits();
        self.stage = stage;
        let after = self.apply_limits();
        if before != after {
            actions.push(after);
        }
    }

    /// Reports the usage to the new process unless it equals the last report.
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
