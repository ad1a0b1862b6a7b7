//! The list of servers as it is held.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valehatch_policy::{Span, Time};

/// A server, in the words of discovery.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiscoveredEndpoint {
    /// Its name.
    pub uid: String,
    /// Where it listens.
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind of machine.
    #[serde(default)]
    pub model: String,
    /// Its group.
    #[serde(default)]
    pub pod_group: u16,
    /// `active`, `leaving` or `left`.
    pub state: String,
    /// Its size.
    #[serde(default)]
    pub capacity_hint: f64,
    /// When it started, in Unix milliseconds; 0 where that is not told.
    #[serde(default)]
    pub boot_ms: f64,
    /// `read-write` for a primary.
    #[serde(default)]
    pub mode: String,
}

/// PROTOCOL-valehatch.md, "Figures", in milliseconds: what discovery has to tell counts as told so much later at the
/// latest, whether or not it arrived.
pub const TOLD: Span = Span::from_millis(6_000);
/// The same page and unit: the same of a call that may wait, from the end of its wait on, if that is later.
pub const TOLD_AFTER_WAIT: Span = Span::from_millis(2_000);
/// How long the other process's word goes before what discovery tells this one: by then it counts as told of the same.
const AHEAD: Span = TOLD;

/// How far the word of the other process has brought the list. What discovery tells this one of the time before that is in
/// already, and would take back what came after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedListGuard {
    from: SocketAddr,
    rev: u64,
    until: Time,
}

impl ForwardedListGuard {
    /// Told now, in a book that was ahead of the one held.
    #[must_use]
    pub fn of(book: &EndpointListCache, now: Time) -> Option<Self> {
        book.told.map(|(from, rev)| Self {
            from,
            rev,
            until: now + AHEAD,
        })
    }

    /// Whether what this source tells at a version is in already. Only for a while: a source may begin to count anew.
    #[must_use]
    pub fn covers(&self, from: SocketAddr, rev: u64, now: Time) -> bool {
        self.is_beyond(from, rev) && now < self.until
    }

    /// Whether it is of a later version of the same source.
    #[must_use]
    pub fn is_beyond(&self, from: SocketAddr, rev: u64) -> bool {
        self.from == from && rev < self.rev
    }
}

/// The list, as whole lists and changes have made it. Bounded by what discovery lists; those that left are not in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointListCache {
    /// Who told it, and up to which version; `None` before anything was told.
    pub told: Option<(SocketAddr, u64)>,
    members: BTreeMap<String, DiscoveredEndpoint>,
}

impl EndpointListCache {
    /// Takes a list, whole or its changes only.
    pub fn take(&mut self, from: SocketAddr, rev: u64, whole: bool, listed: &[DiscoveredEndpoint]) {
        self.told = Some((from, rev));
        if whole {
            self.members.clear();
        }
        for server in listed {
            if server.state == "left" {
                self.members.remove(&server.uid);
            } else {
                self.members.insert(server.uid.clone(), server.clone());
            }
        }
    }

    /// Its bytes, for the other process of the same gateway.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The book that these bytes are.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Whether the same discovery has told this one more than the one that is held.
    #[must_use]
    pub fn is_ahead_of(&self, held: &Self) -> bool {
        let (Some((from, rev)), Some((at, known))) = (self.told, held.told) else {
            return false;
        };
        from == at && rev > known
    }

    /// The servers, by name.
    pub fn members(&self) -> impl Iterator<Item = &DiscoveredEndpoint> {
        self.members.values()
    }

    pub(crate) fn members_mut(&mut self) -> impl Iterator<Item = &mut DiscoveredEndpoint> {
        self.members.values_mut()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HERE: &str = "127.0.0.1:8500";
    const THERE: &str = "127.0.0.2:8500";

    fn book(told: Option<(&str, u64)>) -> EndpointListCache {
        EndpointListCache {
            told: told.map(|(from, rev)| (from.parse().unwrap(), rev)),
            ..EndpointListCache::default()
        }
    }

    #[test]
    fn only_more_from_the_same_source_is_ahead() {
        let cases = [
            (Some((HERE, 6)), Some((HERE, 5)), true),
            (Some((HERE, 5)), Some((HERE, 5)), false),
            (Some((HERE, 4)), Some((HERE, 5)), false),
            (Some((THERE, 6)), Some((HERE, 5)), false),
            (Some((HERE, 6)), None, false),
            (None, Some((HERE, 5)), false),
        ];
        for (told, held, ahead) in cases {
            assert_eq!(
                book(told).is_ahead_of(&book(held)),
                ahead,
                "{told:?} and {held:?}"
            );
        }
        let whole = book(Some((HERE, 6)));
        assert_eq!(EndpointListCache::decode(&whole.encode()), Some(whole));
        assert_eq!(EndpointListCache::decode(b"torn"), None);
    }

    #[test]
    fn what_is_in_already_is_not_taken_again_for_a_while() {
        let (now, end) = (Time(1_000_000), Time(7_000_000));
        let ahead = ForwardedListGuard::of(&book(Some((HERE, 6))), now).unwrap();
        let cases = [
            (HERE, 5, now, true),
            (HERE, 6, now, false),
            (HERE, 7, now, false),
            (THERE, 5, now, false),
            (HERE, 5, Time(end.0 - 1), true),
            (HERE, 5, end, false),
        ];
        for (from, rev, at, covered) in cases {
            assert_eq!(
                ahead.covers(from.parse().unwrap(), rev, at),
                covered,
                "{from} {rev} {at:?}"
            );
        }
        let beyond = |from: &str, rev| ahead.is_beyond(from.parse().unwrap(), rev);
        assert!(beyond(HERE, 5) && !beyond(HERE, 6) && !beyond(THERE, 5));
        assert_eq!(ForwardedListGuard::of(&book(None), now), None);
    }
}
