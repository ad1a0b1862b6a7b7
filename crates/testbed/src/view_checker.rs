//! Invariant checker for membership views. It compares each gateway's claim that its view has
//! converged with the digests that the other gateways have held. Of each membership it uses only
//! the public reports: digest, members, convergence and changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use valehatch_membership::Membership;
use valehatch_membership::view_changes::MemberStatus;

/// History of the views of all gateways, by index.
#[derive(Debug, Default)]
pub struct ViewChecker {
    /// All digests that each gateway has held.
    held: Vec<BTreeSet<u64>>,
    /// Latest digest of each gateway.
    last: Vec<u64>,
    /// Last checked claim of each gateway: digest, and time of convergence.
    checked_claims: Vec<Option<(u64, i64)>>,
    /// Version and member states of each gateway's view, reconstructed from its reported changes.
    reported: Vec<(u64, BTreeMap<SocketAddr, MemberStatus>)>,
    /// Number of checked convergence claims.
    pub claims: u64,
}

impl ViewChecker {
    /// A checker for `count` gateways.
    pub fn new(count: usize) -> Self {
        Self {
            held: vec![BTreeSet::new(); count],
            last: vec![0; count],
            checked_claims: vec![None; count],
            reported: vec![(0, BTreeMap::new()); count],
            claims: 0,
        }
    }

    /// Records a start of a gateway: it has reported nothing yet. Digests of its earlier processes
    /// stay valid, since a digest includes the incarnation.
    pub fn started(&mut self, n: usize) {
        (self.checked_claims[n], self.last[n], self.reported[n]) = (None, 0, (0, BTreeMap::new()));
    }

    /// Checks a gateway after a step; `named` returns the gateways that use an address.
    pub fn check(
        &mut self,
        n: usize,
        membership: &Membership,
        named: impl Fn(&SocketAddr) -> Vec<usize>,
    ) -> Result<(), String> {
        let shared = membership.view_status();
        if self.last[n] != shared.digest {
            self.last[n] = shared.digest;
            self.held[n].insert(shared.digest);
        }
        self.check_new_changes(n, membership)?;
        let claim = shared.converged_at.map(|at| (shared.digest, at.0));
        if claim.is_none() || claim == self.checked_claims[n] {
            return Ok(());
        }
        self.checked_claims[n] = claim;
        self.claims += 1;
        let living: Vec<SocketAddr> = membership
            .members()
            .filter(|m| m.status != MemberStatus::Gone)
            .map(|m| m.address)
            .collect();
        if living.len() != shared.members || shared.agreeing_members != shared.members {
            let said = (shared.members, shared.agreeing_members);
            return Err(format!(
                "converged with {said:?} members and agreeing members, but its view has {}",
                living.len()
            ));
        }
        for member in &living {
            if !named(member)
                .iter()
                .any(|p| self.held[*p].contains(&shared.digest))
            {
                return Err(format!(
                    "converged at {:x}, which {member} has never held",
                    shared.digest
                ));
            }
        }
        Ok(())
    }

    /// Checks that changes arrive once and in order, each from the state that the previous one led
    /// to.
    fn check_new_changes(&mut self, n: usize, membership: &Membership) -> Result<(), String> {
        let (version, states) = &mut self.reported[n];
        let missed = membership.missed_changes(*version);
        if missed > 0 {
            return Err(format!("{missed} changes were discarded in one step"));
        }
        for change in membership.changes_since(*version) {
            *version += 1;
            let before = states.insert(change.address, change.after);
            let was = change.before.filter(|was| *was != MemberStatus::Gone);
            let before = before.filter(|was| *was != MemberStatus::Gone);
            if change.version != *version || was != before {
                return Err(format!(
                    "{change:?} does not follow {before:?} at {version}"
                ));
            }
        }
        Ok(())
    }

    /// Checks that a gateway's reported changes add up to its view.
    pub fn check_changes(
        &self,
        n: usize,
        membership: &Membership,
        me: SocketAddr,
    ) -> Result<(), String> {
        let there = |s: &MemberStatus| *s != MemberStatus::Gone;
        let reported: BTreeMap<_, _> = self.reported[n]
            .1
            .iter()
            .filter(|(_, s)| there(s))
            .map(|(a, s)| (*a, *s))
            .collect();
        let view: BTreeMap<_, _> = membership
            .members()
            .filter(|m| m.address != me && there(&m.status))
            .map(|m| (m.address, m.status))
            .collect();
        if reported == view {
            Ok(())
        } else {
            Err(format!(
                "changes lead to {reported:?}, but the view is {view:?}"
            ))
        }
    }
}
