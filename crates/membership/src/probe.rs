//! Questions that are under way: one's own, and those that others asked to have asked.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use valehatch_policy::{Span, Time};

/// Questions for others that are under way at once; those beyond are not asked, which their askers take for silence.
const RELAYED: usize = 64;

#[derive(Clone, Debug)]
struct Asked {
    target: SocketAddr,
    /// When it is asked once more, and when others are asked to look.
    again: Option<Time>,
    direct: Time,
    /// When it is given up.
    until: Time,
    /// Who was asked to look, and who of them has said that it is there.
    helpers: Option<Vec<SocketAddr>>,
    denied: BTreeSet<SocketAddr>,
}

#[derive(Clone, Copy, Debug)]
struct Relayed {
    whom: SocketAddr,
    seq: u32,
    target: SocketAddr,
    until: Time,
    denied: bool,
}

#[derive(Debug)]
pub(crate) struct Probes {
    seq: u32,
    asked: BTreeMap<u32, Asked>,
    relayed: BTreeMap<u32, Relayed>,
}

impl Probes {
    pub(crate) const fn new(seq: u32) -> Self {
        Self {
            seq,
            asked: BTreeMap::new(),
            relayed: BTreeMap::new(),
        }
    }

    /// The number of a question whose answer is not waited for.
    pub(crate) const fn stray(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    pub(crate) fn begin(
        &mut self,
        target: SocketAddr,
        again: Time,
        direct: Time,
        until: Time,
    ) -> u32 {
        let seq = self.stray();
        self.asked.insert(
            seq,
            Asked {
                target,
                again: Some(again),
                direct,
                until,
                helpers: None,
                denied: BTreeSet::new(),
            },
        );
        seq
    }

    /// An answer; whether somebody waited for it. Others speak for the one that was asked if they were asked to look.
    pub(crate) fn answered(&mut self, seq: u32, from: SocketAddr) -> bool {
        let helped = |a: &Asked| a.helpers.as_ref().is_some_and(|h| h.contains(&from));
        let ours = self
            .asked
            .get(&seq)
            .is_some_and(|a| a.target == from || helped(a));
        ours && self.asked.remove(&seq).is_some()
    }

    /// One that was asked to look is there, and has seen nothing.
    pub(crate) fn denied(&mut self, seq: u32, from: SocketAddr) {
        let asked = self.asked.get_mut(&seq);
        let asked = asked.filter(|a| a.helpers.as_ref().is_some_and(|h| h.contains(&from)));
        if let Some(asked) = asked {
            asked.denied.insert(from);
        }
    }

    /// One to be asked once more: a datagram may be lost, two seldom are.
    pub(crate) fn again(&mut self, now: Time) -> Option<(u32, SocketAddr)> {
        let due =
            |(_, a): &(&u32, &mut Asked)| a.again.is_some_and(|at| at <= now) && now < a.until;
        let (seq, asked) = self.asked.iter_mut().find(due)?;
        asked.again = None;
        Some((*seq, asked.target))
    }

    /// One that has not answered directly in time.
    pub(crate) fn late(&self, now: Time) -> Option<(u32, SocketAddr)> {
        let late =
            |(_, a): &(&u32, &Asked)| a.helpers.is_none() && a.direct <= now && now < a.until;
        self.asked
            .iter()
            .find(late)
            .map(|(seq, a)| (*seq, a.target))
    }

    pub(crate) fn helped_by(&mut self, seq: u32, helpers: &[SocketAddr]) {
        if let Some(asked) = self.asked.get_mut(&seq) {
            asked.helpers = Some(helpers.to_vec());
        }
    }

    /// One that is given up, and how many of those that were asked to look said nothing at all, if any were asked.
    pub(crate) fn lost(&mut self, now: Time) -> Option<(SocketAddr, Option<usize>)> {
        let seq = *self.asked.iter().find(|(_, a)| a.until <= now)?.0;
        let asked = self.asked.remove(&seq)?;
        let silent = asked
            .helpers
            .filter(|h| !h.is_empty())
            .map(|h| h.len() - asked.denied.len());
        Some((asked.target, silent))
    }

    /// A question for another; its own number, if there is room for one more.
    pub(crate) fn relay(
        &mut self,
        whom: SocketAddr,
        seq: u32,
        target: SocketAddr,
        until: Time,
    ) -> Option<u32> {
        if self.relayed.len() >= RELAYED {
            return None;
        }
        let own = self.stray();
        self.relayed.insert(
            own,
            Relayed {
                whom,
                seq,
                target,
                until,
                denied: false,
            },
        );
        Some(own)
    }

    /// The answer to a question for another: who is to hear of it, by which number.
    pub(crate) fn relayed(&mut self, seq: u32, from: SocketAddr) -> Option<(SocketAddr, u32)> {
        self.relayed.get(&seq).filter(|r| r.target == from)?;
        self.relayed.remove(&seq).map(|r| (r.whom, r.seq))
    }

    /// Those for whom nothing was seen in time, each once; an answer that comes within `grace` after is passed on still.
    pub(crate) fn unseen(&mut self, now: Time, grace: Span) -> Vec<(SocketAddr, u32)> {
        let over = |r: &Relayed| r.until <= now;
        let unseen = self
            .relayed
            .values()
            .filter(|r| over(r) && !r.denied)
            .map(|r| (r.whom, r.seq))
            .collect();
        self.relayed.retain(|_, r| !(over(r) && r.denied));
        for relayed in self.relayed.values_mut().filter(|r| over(r)) {
            (relayed.denied, relayed.until) = (true, now + grace);
        }
        unseen
    }

    pub(crate) fn next_due(&self) -> Option<Time> {
        let next = |a: &Asked| {
            a.again.unwrap_or(if a.helpers.is_none() {
                a.direct
            } else {
                a.until
            })
        };
        let asked = self.asked.values().map(next);
        asked.chain(self.relayed.values().map(|r| r.until)).min()
    }

    pub(crate) fn clear(&mut self) {
        self.asked.clear();
        self.relayed.clear();
    }
}
