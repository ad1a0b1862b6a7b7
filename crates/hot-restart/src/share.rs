//! What each of two processes may take up, so that both together stay under the one limit.
//!
//! | stage | the old one | the new one |
//! | --- | --- | --- |
//! | alone | all | - |
//! | handed over, the new one does not serve yet | all but the least | the least |
//! | both serve | half; what it holds beyond that it gives back as it rests | all but half, or but what the old one holds if that is more |
//! | the old one takes no connections any more | a quarter; what it holds beyond that only falls | all but what the old one holds |
//! | the old one does not answer | unknown: half at the most is taken to be its | half |

use serde::{Deserialize, Serialize};

/// What a process takes up, or may.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessLimits {
    /// File descriptors, all of them.
    pub descriptors: usize,
    /// Bytes of memory.
    pub bytes: usize,
}

/// What a process needs to start, and the least that it is left with: its files, its operators' callers, discovery.
pub const LEAST: ProcessLimits = ProcessLimits {
    descriptors: 40,
    bytes: 6 * 1024 * 1024,
};

impl ProcessLimits {
    fn map2(self, other: Self, f: impl Fn(usize, usize) -> usize) -> Self {
        Self {
            descriptors: f(self.descriptors, other.descriptors),
            bytes: f(self.bytes, other.bytes),
        }
    }

    /// Half of it.
    #[must_use]
    pub const fn half(self) -> Self {
        Self {
            descriptors: self.descriptors / 2,
            bytes: self.bytes / 2,
        }
    }
}

/// What the old process takes on once it has handed over, before and after the new one serves, and once it `leaves`: then
/// it needs connections to members only for what is open.
#[must_use]
pub fn of_old(whole: ProcessLimits, followed: bool, leaves: bool) -> ProcessLimits {
    if followed && leaves {
        return whole.half().half();
    }
    if followed {
        whole.half()
    } else {
        whole
            .map2(LEAST, usize::saturating_sub)
            .map2(whole.half(), usize::max)
    }
}

/// What the new process may take up beside an old one that holds so much, and may grow up to its half if it `grows`;
/// `None`: it has not said.
#[must_use]
pub fn of_new(whole: ProcessLimits, old: Option<ProcessLimits>, grows: bool) -> ProcessLimits {
    let half = whole.half();
    let old = match old {
        None => half,
        Some(held) if grows => held.map2(half, usize::max),
        Some(held) => held,
    };
    whole
        .map2(old, usize::saturating_sub)
        .map2(LEAST, usize::max)
        .map2(whole, usize::min)
}
