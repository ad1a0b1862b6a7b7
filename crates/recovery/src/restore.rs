//! What a start takes over from a snapshot.

use std::net::SocketAddr;

use valehatch_policy::Span;

use crate::book::DiscoveredEndpoint;
use crate::snapshot::{Front, Snapshot};
use crate::trust::{Belief, Source, Trust, trust};

/// What a start takes over for one front.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restored {
    /// The list with which service begins, and where a watch may go on from; `None`: none is held.
    pub list: Option<(Vec<DiscoveredEndpoint>, (SocketAddr, u64))>,
    /// Members that were believed to be primaries, by group: where to look first.
    pub primaries: Vec<(u16, String)>,
    /// What was left behind, and why: for the log.
    pub left: Vec<&'static str>,
}

fn span(ms: u64) -> Span {
    Span(
        i64::try_from(ms)
            .unwrap_or(i64::MAX / 1000)
            .saturating_mul(1000),
    )
}

/// From when on a member's warming counts, where it was this warm (a part, below 1) at a time, in milliseconds: never
/// earlier than by what it surely has of its capacity.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn cold_since(warm: f64, cold: Span, cold_from: f64, now_ms: u64) -> u64 {
    let grown = ((warm - cold_from) / (1.0 - cold_from)).clamp(0.0, 1.0);
    now_ms.saturating_sub((cold.as_f64() / 1000.0 * grown) as u64)
}

/// What of a snapshot goes for a front, at this time by the wall clock.
///
/// A member that drained goes on draining. One that was warming counts as having begun when it did, and never as warm: its
/// start is moved up to that time. A primary is marked in the list, whose word is the weakest there is, and only if it is
/// listed and in use.
#[must_use]
pub fn restore(snapshot: &Snapshot, front: &str, now_ms: u64) -> Restored {
    let Some(kept) = snapshot.fronts.iter().find(|f| f.name == front) else {
        return Restored {
            left: vec!["nothing was kept for this front"],
            ..Restored::default()
        };
    };
    let age = |at: u64| now_ms.checked_sub(at).map(span);
    let mut left = vec![];
    let mut primaries = vec![];
    for primary in &kept.primaries {
        // How old it is counts from when it was last so, which is when the snapshot was made.
        if trust(Belief::Primary, Source::Snapshot, age(snapshot.at_ms)) >= Trust::Guess {
            primaries.push((primary.group, primary.member.clone()));
        } else if !left.contains(&"primaries were believed too long ago") {
            left.push("primaries were believed too long ago");
        }
    }
    let list = match kept.book.told {
        Some(_) if trust(Belief::List, Source::Snapshot, age(snapshot.at_ms)) < Trust::Held => {
            left.push("the list is too old");
            None
        }
        told => told.map(|told| (listed(kept, &primaries), told)),
    };
    if list.is_none() && kept.book.told.is_some() {
        primaries.clear();
    }
    Restored {
        list,
        primaries,
        left,
    }
}

#[allow(clippy::cast_precision_loss)]
fn listed(kept: &Front, primaries: &[(u16, String)]) -> Vec<DiscoveredEndpoint> {
    let mut book = kept.book.clone();
    let uses = |l: &DiscoveredEndpoint| l.state == "active";
    let believed: Vec<(u16, String)> = book
        .members()
        .filter(|l| uses(l) && primaries.contains(&(l.pod_group, l.uid.clone())))
        .map(|l| (l.pod_group, l.uid.clone()))
        .collect();
    for server in book.members_mut() {
        if let Some(cold) = kept.cold.iter().find(|c| c.member == server.uid) {
            server.boot_ms = server.boot_ms.max(cold.since_ms as f64);
        }
        if believed.iter().any(|(group, _)| *group == server.pod_group) {
            let primary = believed.contains(&(server.pod_group, server.uid.clone()));
            server.mode = if primary { "read-write" } else { "read-only" }.to_owned();
        }
    }
    book.members().cloned().collect()
}
