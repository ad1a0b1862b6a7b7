//! What a start takes over from a snapshot.
//!
//! Inputs are the snapshot, a front's name and the wall clock in Unix milliseconds; what is trusted
//! how long is in [`crate::trust`]. Pure functions, no state.

use valehatch_policy::Span;

use crate::endpoint_list::{DiscoveredEndpoint, ListVersion};
use crate::snapshot::{FrontSnapshot, Snapshot};
use crate::trust::{KnowledgeKind, KnowledgeSource, TrustLevel, trust};

/// An endpoint list with which service begins.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredList {
    /// The endpoints, with states, start times and modes as the snapshot knew them.
    pub endpoints: Vec<DiscoveredEndpoint>,
    /// The version from which discovery may be watched on.
    pub version: ListVersion,
}

/// An endpoint to try first when a group's primary is searched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryHint {
    /// The replication group.
    pub group: u16,
    /// The endpoint's name.
    pub endpoint: String,
}

/// Why a part of a snapshot was not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// The snapshot does not contain the front.
    NoSuchFront,
    /// Primaries are older than [`crate::trust::MAX_PRIMARY_AGE`].
    PrimariesTooOld,
    /// The list is older than [`crate::trust::MAX_LIST_AGE`].
    ListTooOld,
}

impl std::fmt::Display for DiscardReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NoSuchFront => "nothing was kept for this front",
            Self::PrimariesTooOld => "primaries were believed too long ago",
            Self::ListTooOld => "the list is too old",
        })
    }
}

/// What a start takes over for one front.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredState {
    /// The endpoint list; `None` if none is usable.
    pub list: Option<RestoredList>,
    /// Where to look for primaries first.
    pub primaries: Vec<PrimaryHint>,
    /// What was not used, for the log.
    pub discarded: Vec<DiscardReason>,
}

fn span_from_ms(ms: u64) -> Span {
    let ms = i64::try_from(ms).unwrap_or(i64::MAX / 1000);
    Span(ms.saturating_mul(1000))
}

/// When the slow start of an endpoint that has this fraction of its capacity must have begun, in
/// Unix milliseconds: no earlier than the fraction proves.
///
/// `initial_capacity` (below 1) is the fraction at the begin of a slow start of this `duration`.
#[must_use]
pub fn slow_start_began_ms(
    capacity: f64,
    duration: Span,
    initial_capacity: f64,
    now_ms: u64,
) -> u64 {
    let progress = ((capacity - initial_capacity) / (1.0 - initial_capacity)).clamp(0.0, 1.0);
    now_ms.saturating_sub((duration.as_f64() / 1000.0 * progress) as u64)
}

/// What of a snapshot is used for a front, at this time by the wall clock.
///
/// Draining endpoints stay draining. An endpoint in slow start continues it from its recorded begin
/// and never counts as warmed up: its start time is moved to that begin. A primary is marked only
/// in the list's `mode`, the weakest evidence there is, and only if the endpoint is listed and
/// active.
#[must_use]
pub fn restore(snapshot: &Snapshot, front: &str, now_ms: u64) -> RestoredState {
    let Some(stored) = snapshot.fronts.iter().find(|f| f.name == front) else {
        return RestoredState {
            discarded: vec![DiscardReason::NoSuchFront],
            ..RestoredState::default()
        };
    };
    // Knowledge was last checked when the snapshot was made.
    let age = now_ms.checked_sub(snapshot.at_ms).map(span_from_ms);
    let trust = |kind| trust(kind, KnowledgeSource::Snapshot, age);
    let mut restored = RestoredState::default();
    if trust(KnowledgeKind::Primary) >= TrustLevel::Hint {
        restored.primaries = stored.primary_hints();
    } else if !stored.primaries.is_empty() {
        restored.discarded.push(DiscardReason::PrimariesTooOld);
    }
    let Some(version) = stored.list.version else {
        return restored;
    };
    if trust(KnowledgeKind::EndpointList) < TrustLevel::Trusted {
        restored.discarded.push(DiscardReason::ListTooOld);
        restored.primaries.clear();
        return restored;
    }
    restored.list = Some(RestoredList {
        endpoints: restored_endpoints(stored, &restored.primaries),
        version,
    });
    restored
}

impl FrontSnapshot {
    fn primary_hints(&self) -> Vec<PrimaryHint> {
        let hint = |primary: &crate::snapshot::PrimarySnapshot| PrimaryHint {
            group: primary.group,
            endpoint: primary.endpoint.clone(),
        };
        self.primaries.iter().map(hint).collect()
    }
}

fn restored_endpoints(
    stored: &FrontSnapshot,
    primaries: &[PrimaryHint],
) -> Vec<DiscoveredEndpoint> {
    let mut list = stored.list.clone();
    let hint = |endpoint: &DiscoveredEndpoint| PrimaryHint {
        group: endpoint.pod_group,
        endpoint: endpoint.uid.clone(),
    };
    let listed_primaries: Vec<PrimaryHint> = list
        .endpoints()
        .filter(|endpoint| endpoint.state == "active")
        .map(hint)
        .filter(|endpoint| primaries.contains(endpoint))
        .collect();
    for endpoint in list.endpoints_mut() {
        let warming = stored.warming.iter().find(|w| w.endpoint == endpoint.uid);
        if let Some(warming) = warming {
            endpoint.boot_ms = endpoint.boot_ms.max(warming.since_ms as f64);
        }
        if listed_primaries
            .iter()
            .any(|p| p.group == endpoint.pod_group)
        {
            let is_primary = listed_primaries.contains(&hint(endpoint));
            endpoint.mode = if is_primary {
                "read-write"
            } else {
                "read-only"
            }
            .to_owned();
        }
    }
    list.endpoints().cloned().collect()
}
