//! This gateway as a member: its incarnation, its announced metadata, and the refutation of claims
//! that others make about it.
//!
//! Inputs are updates about this gateway. The state has a fixed size.

use std::net::SocketAddr;

use crate::member_table::{member_digest, view_member_digest};
use crate::wire::{Incarnation, MemberMetadata, MemberState, MemberUpdate, Phase};

/// Number of refutations that another process must have answered with the very next incarnation
/// number to be reported as a second gateway with the same address. An earlier process of this
/// gateway no longer runs and cannot answer.
const DUPLICATE_AFTER_ANSWERS: u32 = 2;
/// Number of such answers after which this gateway stops refuting the other process.
const YIELD_AFTER_ANSWERS: u32 = 3;

/// Another process that uses this gateway's address.
#[derive(Clone, Copy, Debug)]
struct ConflictingProcess {
    nonce: u32,
    /// Number of refutations it has answered, at most [`YIELD_AFTER_ANSWERS`].
    answers: u32,
}

/// Incarnation and metadata under which other gateways know this gateway's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Identity {
    pub(crate) incarnation: Incarnation,
    pub(crate) metadata: MemberMetadata,
}

/// Outcome of an update about this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnUpdateOutcome {
    /// The update is true, or was deliberately not refuted.
    Accepted,
    /// This gateway took a later incarnation to refute the update.
    Refuted,
}

/// Result of handling an update about this gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnUpdate {
    pub(crate) outcome: OwnUpdateOutcome,
    /// Whether this update revealed a second gateway with the same address.
    pub(crate) duplicate_detected: bool,
}

/// This gateway as a member.
#[derive(Debug)]
pub(crate) struct LocalMember {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) metadata: MemberMetadata,
    pub(crate) state: MemberState,
    conflict: Option<ConflictingProcess>,
    /// Identity of the conflicting process, once this gateway no longer refutes it.
    yielded_to: Option<Identity>,
}

impl LocalMember {
    pub(crate) const fn new(
        address: SocketAddr,
        incarnation: Incarnation,
        metadata: MemberMetadata,
    ) -> Self {
        Self {
            address,
            incarnation,
            metadata,
            state: MemberState::Alive,
            conflict: None,
            yielded_to: None,
        }
    }

    pub(crate) fn has_left(&self) -> bool {
        self.state == MemberState::Left
    }

    /// The identity under which other gateways know this address.
    pub(crate) fn identity(&self) -> Identity {
        self.yielded_to.unwrap_or(Identity {
            incarnation: self.incarnation,
            metadata: self.metadata,
        })
    }

    /// The update by which this gateway announces itself.
    pub(crate) const fn update(&self) -> MemberUpdate {
        MemberUpdate {
            address: self.address,
            incarnation: self.incarnation,
            state: self.state,
            reporter: 0,
            metadata: self.metadata,
        }
    }

    /// Contribution of this gateway to the digest of the member table.
    pub(crate) fn digest(&self) -> u64 {
        if !self.state.is_live() {
            return 0;
        }
        let identity = self.identity();
        member_digest(&self.address, identity.incarnation, identity.metadata)
    }

    /// Contribution of this gateway to the digest of the view.
    pub(crate) fn view_digest(&self) -> u64 {
        if !self.state.is_live() {
            return 0;
        }
        let identity = self.identity();
        view_member_digest(&self.address, identity.incarnation, identity.metadata)
    }

    /// Sets the announced phase. Returns whether it has changed.
    pub(crate) fn set_phase(&mut self, phase: Phase) -> bool {
        if self.metadata.phase == phase || self.has_left() {
            return false;
        }
        self.metadata.phase = phase;
        self.metadata.epoch += 1;
        self.incarnation.number += 1;
        true
    }

    /// Handles an update about this gateway. A claim greater than this gateway's own is refuted by
    /// taking a later incarnation.
    pub(crate) fn on_update(&mut self, update: &MemberUpdate) -> OwnUpdate {
        let mut result = OwnUpdate {
            outcome: OwnUpdateOutcome::Accepted,
            duplicate_detected: false,
        };
        let own = MemberUpdate {
            state: MemberState::Alive,
            ..self.update()
        };
        if self.has_left() || update.claim() <= own.claim() {
            return result;
        }
        if update.incarnation.nonce != self.incarnation.nonce {
            let answers = self.count_answer(update.incarnation, &mut result);
            // Two gateways that keep refuting each other would flood the fleet. Once this one
            // yields, other gateways see only the other process at this address.
            if answers == YIELD_AFTER_ANSWERS && update.state.is_live() {
                let other = Identity {
                    incarnation: update.incarnation,
                    metadata: update.metadata,
                };
                self.yielded_to = self.yielded_to.max(Some(other));
                return result;
            }
        }
        self.yielded_to = None;
        // A later epoch keeps a gateway that was declared dead or departed from being counted in a
        // view that was agreed on without it.
        if !update.state.is_live() {
            self.metadata.epoch += 1;
        }
        self.incarnation.number = update.incarnation.number + 1;
        result.outcome = OwnUpdateOutcome::Refuted;
        result
    }

    /// Counts the refutations that the same process has answered with the very next incarnation
    /// number, and returns their number.
    fn count_answer(&mut self, other: Incarnation, result: &mut OwnUpdate) -> u32 {
        let known = self.conflict.filter(|known| known.nonce == other.nonce);
        let is_answer = other.number == self.incarnation.number + 1;
        let answers = match known {
            Some(known) => (known.answers + u32::from(is_answer)).min(YIELD_AFTER_ANSWERS),
            None => 0,
        };
        self.conflict = Some(ConflictingProcess {
            nonce: other.nonce,
            answers,
        });
        result.duplicate_detected = answers == DUPLICATE_AFTER_ANSWERS
            && known.is_some_and(|known| known.answers < answers);
        answers
    }
}
