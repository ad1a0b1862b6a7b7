//! Resource limits of the old and the new process, chosen so that both together stay under the
//! limit of one gateway.
//!
//! Inputs are the gateway's limit and the usage that the old process reported; all quantities are
//! file descriptors and bytes of memory. Pure functions, no state.
//!
//! | step | old process | new process |
//! | --- | --- | --- |
//! | only one process | everything | - |
//! | new process does not serve yet | everything but the minimum | the minimum |
//! | both serve | half | half, or less if the old process uses more than half |
//! | old process drains | a quarter | everything the old process does not use |
//! | old process has not reported usage | assumed to use half | half |
//!
//! The minimum is [`MIN_PROCESS_LIMITS`]. A process above its limit releases resources as its
//! connections become idle.

use serde::{Deserialize, Serialize};

/// Amount of each resource: the usage of a process, or its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessLimits {
    /// File descriptors of every kind.
    pub descriptors: usize,
    /// Memory, in bytes.
    pub bytes: usize,
}

/// Least limit of a process, enough to start: its own files, the management connections and
/// discovery.
pub const MIN_PROCESS_LIMITS: ProcessLimits = ProcessLimits {
    descriptors: 40,
    bytes: 6 * 1024 * 1024,
};

/// Whether the old process still accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldProcessPhase {
    /// The old process accepts connections, so its usage may grow up to its limit.
    Serving,
    /// The old process accepts no connections, so its usage only falls.
    Draining,
}

/// Progress of the handoff, as seen by the old process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OldProcessStep {
    /// The old process has handed its state over; the new process does not serve yet.
    HandingOver,
    /// The new process serves beside the old one.
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

/// Limit of the old process after it has handed its state over, as a part of the gateway's `total`.
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

/// Limit of the new process as a part of the gateway's `total`. `old_usage` is the last usage that
/// the old process reported, or `None` before its first report. The result is never below
/// [`MIN_PROCESS_LIMITS`] unless `total` is.
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
