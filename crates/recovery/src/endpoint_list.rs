//! The cached endpoint list: what discovery listed last, with the version up to which it is known.
//!
//! Inputs are full lists and changes, each with a version. The cache holds one record per listed
//! endpoint, by name; endpoints that left are removed, so its size is bounded by what discovery
//! lists. Spans are whole microseconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valehatch_policy::{Span, Time};

/// Longest time from a change at discovery until it counts as known to a gateway, whether or not it
/// arrived.
pub const PROPAGATION_DEADLINE: Span = Span::from_millis(6_000);
/// The same for a long poll, counted from the end of its wait, if that is later.
pub const PROPAGATION_DEADLINE_AFTER_WAIT: Span = Span::from_millis(2_000);
/// How long a list forwarded by the other process goes before discovery's own answers: after that
/// both processes count as knowing the same changes.
const FORWARDED_LIST_PRECEDENCE: Span = PROPAGATION_DEADLINE;

/// An endpoint as discovery lists it. The fields have the names of discovery's JSON keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DiscoveredEndpoint {
    /// Unique name.
    pub uid: String,
    /// Address and port, as text.
    pub endpoint: String,
    /// Availability zone; empty if not listed.
    #[serde(default)]
    pub az: String,
    /// Machine type; empty if not listed.
    #[serde(default)]
    pub model: String,
    /// Replication group.
    #[serde(default)]
    pub pod_group: u16,
    /// `active`, `leaving` or `left`.
    pub state: String,
    /// Relative capacity; 0 if not listed.
    #[serde(default)]
    pub capacity_hint: f64,
    /// Start time in Unix milliseconds; 0 if not listed.
    #[serde(default)]
    pub boot_ms: f64,
    /// `read-write` for a primary.
    #[serde(default)]
    pub mode: String,
}

/// A version of the endpoint list. Revisions of different sources cannot be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// The discovery address that counts the revisions.
    pub source: SocketAddr,
    /// Grows with each change at that source, but may start again when the source restarts.
    pub revision: u64,
}

/// What an update of the list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All endpoints.
    Full,
    /// Only the endpoints that changed; those that left have the state `left`.
    Changes,
}

/// The version up to which the other process of this gateway has forwarded the list. What discovery
/// answers with an older revision is included already, and applying it would undo later changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedListGuard {
    version: ListVersion,
    until: Time,
}

impl ForwardedListGuard {
    /// Guards a list that was forwarded now; `None` if it has no version.
    #[must_use]
    pub fn new(forwarded: &EndpointListCache, now: Time) -> Option<Self> {
        forwarded.version.map(|version| Self {
            version,
            until: now + FORWARDED_LIST_PRECEDENCE,
        })
    }

    /// Whether an update of this version is included already. Holds only for
    /// [`PROPAGATION_DEADLINE`], since a source may start to count anew.
    #[must_use]
    pub fn covers(&self, update: ListVersion, now: Time) -> bool {
        self.is_newer_than(update) && now < self.until
    }

    /// Whether the forwarded list is a later revision of the same source.
    #[must_use]
    pub fn is_newer_than(&self, update: ListVersion) -> bool {
        self.version.source == update.source && update.revision < self.version.revision
    }
}

/// The endpoint list as full lists and changes have made it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointListCache {
    /// The version up to which the list is known; `None` before the first update.
    pub version: Option<ListVersion>,
    endpoints: BTreeMap<String, DiscoveredEndpoint>,
}

impl EndpointListCache {
    /// Applies an update.
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

    /// The byte form (postcard), for the other process of the same gateway.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the byte form; `None` if the bytes are no list.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Whether this list is a later revision of the same source than `other`.
    #[must_use]
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        let (Some(own), Some(other)) = (self.version, other.version) else {
            return false;
        };
        own.source == other.source && own.revision > other.revision
    }

    /// The endpoints, in order of their names.
    pub fn endpoints(&self) -> impl Iterator<Item = &DiscoveredEndpoint> {
        self.endpoints.values()
    }

    pub(crate) fn endpoints_mut(&mut self) -> impl Iterator<Item = &mut DiscoveredEndpoint> {
        self.endpoints.values_mut()
    }
}
