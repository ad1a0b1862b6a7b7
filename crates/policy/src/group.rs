//! State that one router keeps of one replication group: a primary and its replicas.
//!
//! Inputs: none; the module that owns a concern updates its part of the state. State: [`Group`],
//! one for each group that has endpoints or waiting requests. Bounds: the endpoint list bounds
//! `endpoints`, the open requests bound `waiting`. Units: microseconds.

use std::collections::BTreeSet;

use crate::ids::{EndpointId, RequestId};
use crate::load_shedding::LatencyUtilization;
use crate::primary_search::PrimarySearch;
use crate::time::Time;
use crate::view::PrimaryEvidence;

/// State that one router keeps of one replication group.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) endpoints: BTreeSet<EndpointId>,
    /// The endpoint that is assumed to be the primary.
    pub(crate) primary: Option<EndpointId>,
    /// How the primary is known.
    pub(crate) primary_evidence: PrimaryEvidence,
    pub(crate) primary_since: Time,
    /// Number of changes of `primary`, including those to `None`.
    pub(crate) primary_changes: u64,
    pub(crate) search: Option<PrimarySearch>,
    /// Requests without an attempt in flight.
    pub(crate) waiting: Vec<RequestId>,
    pub(crate) latency_utilization: LatencyUtilization,
}

impl Group {
    /// Whether there is evidence for the primary; without it, the primary is only a guess.
    pub(crate) fn knows_primary(&self) -> bool {
        self.primary_evidence != PrimaryEvidence::Unknown
    }

    /// The primary, if there is evidence for it.
    pub(crate) fn known_primary(&self) -> Option<EndpointId> {
        self.primary.filter(|_| self.knows_primary())
    }

    /// Sets the primary. Evidence for a primary ends the search.
    pub(crate) fn set_primary(
        &mut self,
        primary: Option<EndpointId>,
        evidence: PrimaryEvidence,
        now: Time,
    ) {
        if self.primary != primary {
            self.primary = primary;
            self.primary_evidence = evidence;
            self.primary_since = now;
            self.primary_changes += 1;
        } else if evidence != PrimaryEvidence::Unknown {
            self.primary_evidence = evidence;
        }
        if self.knows_primary() {
            self.search = None;
        }
    }

    /// Whether the group can be dropped: it has neither endpoints nor waiting requests.
    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.is_empty() && self.waiting.is_empty()
    }
}
