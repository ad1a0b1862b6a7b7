//! This gateway as a member: its incarnation, its announced metadata, and the refutation of what
//! others claim about it.
//!
//! Inputs are updates about this gateway. The state has a fixed size.

use std::net::SocketAddr;

use crate::member_table::{member_digest, view_member_digest};
use crate::wire::{Incarnation, MemberMetadata, MemberState, MemberUpdate, Phase};

/// Refutations that another process answered with the very next number, after which it counts as a
/// second gateway with the same address. An earlier process of this gateway cannot answer.
const DUPLICATE_AFTER_ANSWERS: u32 = 2;
/// Answers after which this gateway no longer refutes the other one.
const YIELD_AFTER_ANSWERS: u32 = 3;

/// Another process that uses this gateway's address, and how many refutations it has answered.
#[derive(Clone, Copy, Debug)]
struct Rival {
    nonce: u32,
    answers: u32,
}

/// Incarnation and metadata by which the others know this gateway's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Identity {
    pub(crate) incarnation: Incarnation,
    pub(crate) metadata: MemberMetadata,
}

/// What an update about this gateway led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnUpdateOutcome {
    /// It is true, or was left unanswered.
    Accepted,
    /// It was refuted by a later incarnation.
    Refuted,
}

/// An update about this gateway as it was handled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnUpdate {
    pub(crate) outcome: OwnUpdateOutcome,
    /// A second gateway with the same address was detected by this update.
    pub(crate) duplicate_detected: bool,
}

/// This gateway as a member.
#[derive(Debug)]
pub(crate) struct LocalMember {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) metadata: MemberMetadata,
    pub(crate) state: MemberState,
    rival: Option<Rival>,
    /// The rival's identity, once this gateway has yielded to it.
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
            rival: None,
            yielded_to: None,
        }
    }

    pub(crate) fn has_left(&self) -> bool {
        self.state == MemberState::Left
    }

    /// The identity by which the others know this address.
    pub(crate) fn identity(&self) -> Identity {
        self.yielded_to.unwrap_or(Identity {
            incarnation: self.incarnation,
            metadata: self.metadata,
        })
    }

    /// This gateway's statement about itself.
    pub(crate) const fn update(&self) -> MemberUpdate {
        MemberUpdate {
            address: self.address,
            incarnation: self.incarnation,
            state: self.state,
            reporter: 0,
            metadata: self.metadata,
        }
    }

    /// What this gateway adds to the digest of the member table.
    pub(crate) fn digest(&self) -> u64 {
        if !self.state.is_live() {
            return 0;
        }
        let identity = self.identity();
        member_digest(&self.address, identity.incarnation, identity.metadata)
    }

    /// What this gateway adds to the digest of the view.
    pub(crate) fn view_digest(&self) -> u64 {
        if !self.state.is_live() {
            return 0;
        }
        let identity = self.identity();
        view_member_digest(&self.address, identity.incarnation, identity.metadata)
    }

    /// Announces a phase; whether it is another one than before.
    pub(crate) fn set_phase(&mut self, phase: Phase) -> bool {
        if self.metadata.phase == phase || self.has_left() {
            return false;
        }
        self.metadata.phase = phase;
        self.metadata.epoch += 1;
        self.incarnation.number += 1;
        true
    }

    /// Handles an update about this gateway. A greater claim is refuted by a later incarnation.
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
            // Two gateways that refute each other for ever would flood the fleet. The others know
            // this address by the other process then, and its state stands for both.
            if answers == YIELD_AFTER_ANSWERS && update.state.is_live() {
                let rival = Identity {
                    incarnation: update.incarnation,
                    metadata: update.metadata,
                };
                self.yielded_to = self.yielded_to.max(Some(rival));
                return result;
            }
        }
        self.yielded_to = None;
        // A gateway that was declared gone must not be taken for part of a view that was agreed on
        // without it.
        if !update.state.is_live() {
            self.metadata.epoch += 1;
        }
        self.incarnation.number = update.incarnation.number + 1;
        result.outcome = OwnUpdateOutcome::Refuted;
        result
    }

    /// Counts refutations that the same rival has answered with the very next number.
    fn count_answer(&mut self, rival: Incarnation, result: &mut OwnUpdate) -> u32 {
        let known = self.rival.filter(|known| known.nonce == rival.nonce);
        let is_answer = rival.number == self.incarnation.number + 1;
        let answers = match known {
            Some(known) => (known.answers + u32::from(is_answer)).min(YIELD_AFTER_ANSWERS),
            None => 0,
        };
        self.rival = Some(Rival {
            nonce: rival.nonce,
            answers,
        });
        result.duplicate_detected = answers == DUPLICATE_AFTER_ANSWERS
            && known.is_some_and(|known| known.answers < answers);
        answers
    }
}
