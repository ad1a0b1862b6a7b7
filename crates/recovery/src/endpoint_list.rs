//! The cached endpoint list: the last list from discovery, and its version.
//!
//! Inputs are full lists and changes, each with a version. The cache holds one record per listed
//! endpoint, by name. Endpoints that have left are removed, so its size is bounded by what
//! discovery lists. Spans are whole microseconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valehatch_policy::{Span, Time};

/// Time after a change at discovery from which the change counts as known to a gateway, whether or
/// not it has arrived.
pub const PROPAGATION_DEADLINE: Span = Span::from_millis(6_000);
/// Same as [`PROPAGATION_DEADLINE`] for a long poll, counted from the end of its wait; the later of
/// the two deadlines applies.
pub const PROPAGATION_DEADLINE_AFTER_WAIT: Span = Span::from_millis(2_000);
/// How long a list forwarded by the other process of this gateway takes precedence over answers
/// from discovery. After that, both processes count as knowing the same changes.
const FORWARDED_LIST_PRECEDENCE: Span = PROPAGATION_DEADLINE;

/// An endpoint as listed by discovery. The fields are named like the JSON keys of discovery.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiscoveredEndpoint {
    /// Unique name of the endpoint.
    pub uid: String,
    /// IP address and port, as text.
    pub endpoint: String,
    /// Availability zone; empty if not listed.
    #[serde(default)]
    pub az: String,
    /// Machine type; empty if not listed.
    #[serde(default)]
    pub model: String,
    /// Number of the replication group; 0 if not listed.
    #[serde(default)]
    pub pod_group: u16,
    /// Lifecycle state: `active`, `leaving` or `left`.
    pub state: String,
    /// Relative capacity; 0 if not listed.
    #[serde(default)]
    pub capacity_hint: f64,
    /// Start time in Unix milliseconds; 0 if not listed.
    #[serde(default)]
    pub boot_ms: f64,
    /// Access mode: `read-write` for a primary; empty if not listed.
    #[serde(default)]
    pub mode: String,
}

/// A version of the endpoint list. Revisions of different sources cannot be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Address of the discovery server that assigns the revisions.
    pub source: SocketAddr,
    /// Increases with each change at that source, but may start over when the source restarts.
    pub revision: u64,
}

/// Scope of an update of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The update lists all endpoints.
    Full,
    /// The update lists only endpoints that changed; those that left have the state `left`.
    Changes,
}

/// Version of the list that the other process of this gateway has forwarded. Answers from discovery
/// with an older revision are already included in it, and applying them would undo later changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedListGuard {
    version: ListVersion,
    until: Time,
}

impl ForwardedListGuard {
    /// Guards a list that was forwarded at `now`; `None` if the list has no version.
    #[must_use]
    pub fn new(forwarded: &EndpointListCache, now: Time) -> Option<Self> {
        forwarded.version.map(|version| Self {
            version,
            until: now + FORWARDED_LIST_PRECEDENCE,
        })
    }

    /// Whether an update of this version is already included in the forwarded list. Always `false`
    /// once [`PROPAGATION_DEADLINE`] has passed, since a source may start its revisions over.
    #[must_use]
    pub fn covers(&self, update: ListVersion, now: Time) -> bool {
        self.is_newer_than(update) && now < self.until
    }

    /// Whether the forwarded list is a later revision from the same source.
    #[must_use]
    pub fn is_newer_than(&self, update: ListVersion) -> bool {
        self.version.source == update.source && update.revision < self.version.revision
    }
}

/// The endpoint list that results from all updates so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointListCache {
    /// Version of the last update; `None` before the first one.
    pub version: Option<ListVersion>,
    endpoints: BTreeMap<String, DiscoveredEndpoint>,
}

impl EndpointListCache {
    /// Applies an update. Endpoints with the state `left` are removed.
    pub fn apply(&mut self, version: ListVersion, scope: ListScope, update: &[DiscoveredEndpoint]) {
        self.version = Some(version);
        if scope == ListScope::Full {
            self.endpoints.clear();
        }
        for endpoint in update {
            if endpoint.state == "left" {
                self.endpoints.remove(&endpoint.uid);
            } else {
                self.endpoints
                    .insert(endpoint.uid.clone(), endpoint.clone());
            }
        }
    }

    /// Encodes the list with postcard, for the other process of the same gateway.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a list; `None` if the bytes are not a valid encoding.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Whether this list is a later revision than `other`, from the same source.
    #[must_use]
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        let (Some(own), Some(other)) = (self.version, other.version) else {
            return false;
        };
        own.source == other.source && own.revision > other.revision
    }

    /// The listed endpoints in order of their names.
    pub fn endpoints(&self) -> impl Iterator<Item = &DiscoveredEndpoint> {
        self.endpoints.values()
    }

    pub(crate) fn endpoints_mut(&mut self) -> impl Iterator<Item = &mut DiscoveredEndpoint> {
        self.endpoints.values_mut()
    }
}
