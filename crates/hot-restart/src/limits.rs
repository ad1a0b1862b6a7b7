//! Resource limits of each of two processes, chosen so that both together stay under the limit of
//! one gateway.
//!
//! Inputs are the gateway's limit and the usage that the old process reported; all quantities are
//! file descriptors and bytes of memory. Pure functions, no state.
//!
//! | step | old process | new process |
//! | --- | --- | --- |
//! | one process | everything | - |
//! | new process does not serve yet | everything but the minimum | the minimum |
//! | both serve | half | at most half, less if the old one uses more |
//! | old process drains | a quarter | everything the old one does not use |
//! | old process has not reported | counts as half | half |
//!
//! The minimum is [`MIN_PROCESS_LIMITS`]. Usage above a limit is released as connections become
//! idle.

use serde::{Deserialize, Serialize};

/// Resources that a process uses, or may use at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessLimits {
    /// File descriptors of every kind.
    pub descriptors: usize,
    /// Memory, in bytes.
    pub bytes: usize,
}

/// What a process needs to start, and the least that it is left with: its own files, the management
/// connections and discovery.
pub const MIN_PROCESS_LIMITS: ProcessLimits = ProcessLimits {
    descriptors: 40,
    bytes: 6 * 1024 * 1024,
};

/// Whether the old process still takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldProcessPhase {
    /// It accepts connections, so its usage may grow up to its limit.
    Serving,
    /// It accepts no connections, so its usage only falls.
    Draining,
}

/// Where the old process is in the handoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldProcessStep {
    /// It has handed its state over; the new process does not serve yet.
    HandingOver,
    /// The new process serves beside it.
    Superseded(OldProcessPhase),
}

impl ProcessLimits {
    /// Combines descriptors with descriptors and bytes with bytes.
    fn zip_with(self, other: Self, combine: impl Fn(usize, usize) -> usize) -> Self {
        Self {
            descriptors: combine(self.descriptors, other.descriptors),
            bytes: combine(self.bytes, other.bytes),
        }
    }

    /// Half of each resource, rounded down.
    #[must_use]
    pub const fn half(self) -> Self {
        Self {
            descriptors: self.descriptors / 2,
            bytes: self.bytes / 2,
        }
    }
}

/// The old process's limit after it has handed its state over, out of the gateway's `total`.
///
/// A draining process needs upstream connections only for requests in flight, so a quarter is
/// enough for it.
#[must_use]
pub fn old_process_limits(total: ProcessLimits, step: OldProcessStep) -> ProcessLimits {
    match step {
        OldProcessStep::HandingOver => total
            .zip_with(MIN_PROCESS_LIMITS, usize::saturating_sub)
            .zip_with(total.half(), usize::max),
        OldProcessStep::Superseded(OldProcessPhase::Serving) => total.half(),
        OldProcessStep::Superseded(OldProcessPhase::Draining) => total.half().half(),
    }
}

/// The new process's limit out of the gateway's `total`, beside an old process with this usage;
/// `None` if it has not reported any. Never below [`MIN_PROCESS_LIMITS`] unless `total` is.
#[must_use]
pub fn new_process_limits(
    total: ProcessLimits,
    old_usage: Option<ProcessLimits>,
    old_phase: OldProcessPhase,
) -> ProcessLimits {
    let half = total.half();
    let reserved = match (old_usage, old_phase) {
        (None, _) => half,
        (Some(usage), OldProcessPhase::Serving) => usage.zip_with(half, usize::max),
        (Some(usage), OldProcessPhase::Draining) => usage,
    };
    total
        .zip_with(reserved, usize::saturating_sub)
        .zip_with(MIN_PROCESS_LIMITS, usize::max)
        .zip_with(total, usize::min)
}
