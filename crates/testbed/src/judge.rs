//! Judges what gateways say of their view, from the digests that all of them have held and from who really runs. It takes
//! nothing from the heart but what a gateway says: its digest, its members, that it is settled, its changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use valehatch_membership::Membership;
use valehatch_membership::view_changes::MemberStatus;

/// What each process has held, by its number.
#[derive(Debug, Default)]
pub struct Judge {
    held: Vec<BTreeSet<u64>>,
    last: Vec<u64>,
    /// The last claim of each that was judged: digest, and when it became settled.
    judged: Vec<Option<(u64, i64)>>,
    /// How each stands at a gateway, by the changes that it told.
    told: Vec<(u64, BTreeMap<SocketAddr, MemberStatus>)>,
    /// Claims that were judged.
    pub claims: u64,
}

impl Judge {
    /// Of so many processes.
    pub fn new(count: usize) -> Self {
        Self {
            held: vec![BTreeSet::new(); count],
            last: vec![0; count],
            judged: vec![None; count],
            told: vec![(0, BTreeMap::new()); count],
            claims: 0,
        }
    }

    /// A process was started: it has told nothing yet. What its former self held stays said: its life is in the digest.
    pub fn started(&mut self, n: usize) {
        (self.judged[n], self.last[n], self.told[n]) = (None, 0, (0, BTreeMap::new()));
    }

    /// Looks at a gateway after each of its steps; `named` are the processes under an address.
    pub fn look(
        &mut self,
        n: usize,
        heart: &Membership,
        named: impl Fn(&SocketAddr) -> Vec<usize>,
    ) -> Result<(), String> {
        let shared = heart.view_status();
        if self.last[n] != shared.digest {
            self.last[n] = shared.digest;
            self.held[n].insert(shared.digest);
        }
        self.follow(n, heart)?;
        let claim = shared.converged_at.map(|at| (shared.digest, at.0));
        if claim.is_none() || claim == self.judged[n] {
            return Ok(());
        }
        self.judged[n] = claim;
        self.claims += 1;
        let living: Vec<SocketAddr> = heart
            .members()
            .filter(|m| m.status != MemberStatus::Gone)
            .map(|m| m.address)
            .collect();
        if living.len() != shared.members || shared.agreeing_members != shared.members {
            let said = (shared.members, shared.agreeing_members);
            return Err(format!(
                "settled with {said:?} members and holders, its view has {}",
                living.len()
            ));
        }
        for member in &living {
            if !named(member)
                .iter()
                .any(|p| self.held[*p].contains(&shared.digest))
            {
                return Err(format!(
                    "settled at {:x}, which {member} has never held",
                    shared.digest
                ));
            }
        }
        Ok(())
    }

    /// Changes come once, in order, each from where the one before has led.
    fn follow(&mut self, n: usize, heart: &Membership) -> Result<(), String> {
        let (version, standing) = &mut self.told[n];
        let missed = heart.missed_changes(*version);
        if missed > 0 {
            return Err(format!("{missed} changes were let go of in one step"));
        }
        for change in heart.changes_since(*version) {
            *version += 1;
            let before = standing.insert(change.address, change.after);
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

    /// Whether what a gateway's changes have led to is what its view says.
    pub fn followed(&self, n: usize, heart: &Membership, me: SocketAddr) -> Result<(), String> {
        let there = |s: &MemberStatus| *s != MemberStatus::Gone;
        let told: BTreeMap<_, _> = self.told[n]
            .1
            .iter()
            .filter(|(_, s)| there(s))
            .map(|(a, s)| (*a, *s))
            .collect();
        let view: BTreeMap<_, _> = heart
            .members()
            .filter(|m| m.address != me && there(&m.status))
            .map(|m| (m.address, m.status))
            .collect();
        if told == view {
            Ok(())
        } else {
            Err(format!("its changes led to {told:?}, its view is {view:?}"))
        }
    }
}
