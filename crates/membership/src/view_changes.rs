//! Changes of the view, as readers get them: each once, in order, with its reason.
//!
//! Inputs are merged updates; times are whole microseconds. No state.

use std::net::SocketAddr;

use valehatch_policy::Time;

use crate::member_table::{Merge, MergeOutcome, PriorState};
use crate::wire::{Incarnation, MemberMetadata, MemberState, MemberUpdate, Phase};

/// Changes that are kept for readers.
pub const MAX_CHANGES: usize = 512;

/// How a member counts in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// It answers, and has announced this phase.
    Active(Phase),
    /// It does not answer, and may still refute.
    Suspected,
    /// It has left, or is declared dead.
    Gone,
}

impl MemberStatus {
    /// The status of a member in this state and with this metadata.
    #[must_use]
    pub const fn new(state: MemberState, metadata: MemberMetadata) -> Self {
        match state {
            MemberState::Alive => Self::Active(metadata.phase),
            MemberState::Suspect => Self::Suspected,
            MemberState::Dead | MemberState::Left => Self::Gone,
        }
    }
}

/// A member of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its address.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its metadata.
    pub metadata: MemberMetadata,
    /// How it counts.
    pub status: MemberStatus,
}

/// Why the view changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// The member was unknown or gone.
    Joined,
    /// Another process of it: state and promises of the earlier one are lost.
    Restarted,
    /// It announced another phase, zone or version.
    MetadataChanged,
    /// It did not answer some gateway.
    Suspected,
    /// It refuted the suspicion.
    SuspicionCleared,
    /// It did not refute the suspicion in time.
    Failed,
    /// It announced its shutdown.
    Left,
}

/// One change of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// The version of the view after it, one more than after the change before.
    pub version: u64,
    /// When this gateway learned of it.
    pub at: Time,
    /// The member's address.
    pub address: SocketAddr,
    /// The member's incarnation after it.
    pub incarnation: Incarnation,
    /// The member's metadata after it.
    pub metadata: MemberMetadata,
    /// The status before it; `None` if the member was unknown.
    pub before: Option<MemberStatus>,
    /// The status after it.
    pub after: MemberStatus,
    /// Why the view changed.
    pub reason: ChangeReason,
}

impl ViewChange {
    /// The change to which a merged update leads, if it is one. The view sets the version.
    pub(crate) fn from_merge(update: &MemberUpdate, merge: Merge, now: Time) -> Option<Self> {
        let reason = change_reason(merge.outcome, update.state)?;
        let before = merge
            .before
            .map(|prior| MemberStatus::new(prior.state, prior.metadata));
        let after = MemberStatus::new(update.state, update.metadata);
        let is_change = match reason {
            ChangeReason::MetadataChanged => merge
                .before
                .is_none_or(|prior| announces_other_metadata(prior, update.metadata)),
            ChangeReason::Failed | ChangeReason::Left | ChangeReason::Suspected => {
                before.is_some_and(|before| before != after)
            }
            ChangeReason::Joined | ChangeReason::Restarted | ChangeReason::SuspicionCleared => true,
        };
        is_change.then_some(Self {
            version: 0,
            at: now,
            address: update.address,
            incarnation: update.incarnation,
            metadata: update.metadata,
            before,
            after,
            reason,
        })
    }
}

/// Whether zone, version or phase differ; the epoch alone is no change for readers.
fn announces_other_metadata(prior: PriorState, metadata: MemberMetadata) -> bool {
    let prior = prior.metadata;
    prior.zone != metadata.zone
        || prior.version != metadata.version
        || prior.phase != metadata.phase
}

const fn change_reason(outcome: MergeOutcome, state: MemberState) -> Option<ChangeReason> {
    Some(match (outcome, state) {
        (MergeOutcome::Unchanged | MergeOutcome::TableFull, _) => return None,
        (_, MemberState::Dead) => ChangeReason::Failed,
        (_, MemberState::Left) => ChangeReason::Left,
        (MergeOutcome::Restarted, _) => ChangeReason::Restarted,
        (MergeOutcome::Joined, _) => ChangeReason::Joined,
        (_, MemberState::Suspect) => ChangeReason::Suspected,
        (MergeOutcome::StateChanged(MemberState::Suspect), MemberState::Alive) => {
            ChangeReason::SuspicionCleared
        }
        (MergeOutcome::StateChanged(_), MemberState::Alive) => ChangeReason::Joined,
        (MergeOutcome::Refreshed, MemberState::Alive) => ChangeReason::MetadataChanged,
    })
}
