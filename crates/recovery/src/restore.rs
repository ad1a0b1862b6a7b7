//! Restores the state of a front from a snapshot.
//!
//! Inputs are the snapshot, a front's name and the wall clock in Unix milliseconds; the maximum
//! ages are defined in [`crate::trust`]. Pure functions, no state.

use valehatch_policy::Span;

use crate::endpoint_list::{DiscoveredEndpoint, ListVersion};
use crate::snapshot::{FrontSnapshot, Snapshot};
use crate::trust::{KnowledgeKind, KnowledgeSource, TrustLevel, trust};

/// The endpoint list with which a front starts until discovery answers.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredList {
    /// Endpoints with their states, start times and modes as recorded in the snapshot.
    pub endpoints: Vec<DiscoveredEndpoint>,
    /// Version from which to continue watching discovery.
    pub version: ListVersion,
}

/// An endpoint to try first in the search for a group's primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryHint {
    /// Number of the replication group.
    pub group: u16,
    /// Name of the endpoint.
    pub endpoint: String,
}

/// Reason why a part of a snapshot was not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// The snapshot does not contain the front.
    NoSuchFront,
    /// The primaries are older than [`crate::trust::MAX_PRIMARY_AGE`].
    PrimariesTooOld,
    /// The list is older than [`crate::trust::MAX_LIST_AGE`].
    ListTooOld,
}

impl std::fmt::Display for DiscardReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NoSuchFront => "the snapshot does not contain this front",
            Self::PrimariesTooOld => "the primaries are too old",
            Self::ListTooOld => "the list is too old",
        })
    }
}

/// State restored for one front.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredState {
    /// Endpoint list; `None` if the snapshot has no usable one.
    pub list: Option<RestoredList>,
    /// Endpoints to try first in the search for primaries.
    pub primaries: Vec<PrimaryHint>,
    /// Parts of the snapshot that were not used, for the log.
    pub discarded: Vec<DiscardReason>,
}

fn span_from_ms(ms: u64) -> Span {
    let ms = i64::try_from(ms).unwrap_or(i64::MAX / 1000);
    Span(ms.saturating_mul(1000))
}

/// Returns when the slow start of an endpoint must have begun for it to have reached this fraction
/// of its capacity, in Unix milliseconds. The result is never earlier than the fraction proves.
///
/// `initial_capacity`, less than 1, is the fraction at the beginning of a slow start, and
/// `duration` is the time that a slow start takes.
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

/// Restores the state of a front from a snapshot. `now_ms` is the wall clock in Unix milliseconds.
///
/// Draining endpoints remain draining. An endpoint in slow start continues it from its recorded
/// beginning and is never regarded as warmed up: its start time is moved to that beginning. A
/// primary is marked only in the list's `mode`, which is the weakest evidence, and only if the
/// endpoint is listed and active.
#[must_use]
pub fn restore(snapshot: &Snapshot, front: &str, now_ms: u64) -> RestoredState {
    let Some(stored) = snapshot.fronts.iter().find(|f| f.name == front) else {
        return RestoredState {
            discarded: vec![DiscardReason::NoSuchFront],
            ..RestoredState::default()
        };
    };
    // All knowledge in the snapshot was current when the snapshot was made.
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
