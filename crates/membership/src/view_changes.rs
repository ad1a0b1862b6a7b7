//! Changes of the view as reported to readers: each exactly once, in order, with its reason.
//!
//! Inputs are merged updates; times are whole microseconds. No state.

use std::net::SocketAddr;

use valehatch_policy::Time;

use crate::member_table::{Merge, MergeOutcome, PriorState};
use crate::wire::{Incarnation, MemberMetadata, MemberState, MemberUpdate, Phase};

/// Maximum number of changes that are kept for readers.
pub const MAX_CHANGES: usize = 512;

/// Status of a member in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// The member is alive, and has announced this phase.
    Active(Phase),
    /// The member does not answer, but may still refute the suspicion.
    Suspected,
    /// The member has left or was declared dead.
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

/// A member of the view, as returned by [`crate::Membership::members`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Address of the member, which identifies it.
    pub address: SocketAddr,
    /// Latest known incarnation of the member.
    pub incarnation: Incarnation,
    /// Metadata that the member announced in that incarnation.
    pub metadata: MemberMetadata,
    /// Status of the member in the view of this gateway.
    pub status: MemberStatus,
}

/// Reason of a view change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// The member is alive and was unknown, dead or departed before.
    Joined,
    /// The member is a new process: state and commitments of the earlier one are lost.
    Restarted,
    /// The member announced another phase, zone or version.
    MetadataChanged,
    /// The member did not answer a gateway's probe.
    Suspected,
    /// The member refuted the suspicion.
    SuspicionCleared,
    /// The member did not refute the suspicion in time.
    Failed,
    /// The member announced its graceful shutdown.
    Left,
}

/// A change of one member in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// Version of the view after the change; versions are consecutive.
    pub version: u64,
    /// When this gateway learned of the change.
    pub at: Time,
    /// Address of the changed member.
    pub address: SocketAddr,
    /// Incarnation of the member after the change.
    pub incarnation: Incarnation,
    /// Metadata of the member after the change.
    pub metadata: MemberMetadata,
    /// Status before the change; `None` if the member was unknown.
    pub before: Option<MemberStatus>,
    /// Status after the change.
    pub after: MemberStatus,
    /// Reason of the change.
    pub reason: ChangeReason,
}

impl ViewChange {
    /// The change that a merged update causes; `None` if it is no change for readers. The view
    /// assigns the version.
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

/// Whether zone, version or phase differ. A new epoch alone is not a change for readers.
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
