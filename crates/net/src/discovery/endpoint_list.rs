//! The endpoint list of one front: accepts lists from discovery, from the gateway's other process
//! and from gossip, caches them, and sends them to the core.
//!
//! Shared by the poller's thread, the gossip transport and the hot restart, behind one mutex.
//! State: the cached list and the ids of its endpoints.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::Sender;
use serde::Deserialize;
use valehatch_config::{Site, endpoint_id};
use valehatch_core::{Event, ListedEndpoint};
use valehatch_policy::{
    EndpointId, EndpointRecord, EndpointState, GroupId, KindId, Span, Time, ZoneId,
};
use valehatch_recovery::endpoint_list::{
    DiscoveredEndpoint, EndpointListCache, ForwardedListGuard, ListScope, ListVersion,
};

use crate::Clock;

/// A list as sent by discovery.
#[derive(Deserialize)]
pub(super) struct ListResponse {
    #[serde(rename = "rev")]
    pub version: u64,
    /// Set if the list names all endpoints; otherwise it names those that have changed.
    #[serde(rename = "all")]
    pub complete: bool,
    #[serde(rename = "targets")]
    pub endpoints: Vec<DiscoveredEndpoint>,
}

impl ListResponse {
    /// Whether the list says anything except that nothing has changed.
    pub(super) fn has_changes(&self) -> bool {
        self.complete || !self.endpoints.is_empty()
    }
}

/// The endpoint list of a front, regardless of its source.
pub struct EndpointListStore {
    site: Site,
    clock: Clock,
    events: Sender<Event>,
    ids: HashMap<String, EndpointId>,
    cache: EndpointListCache,
    /// When discovery itself last confirmed the list.
    confirmed_at: Option<Time>,
    /// Version up to which the gateway's other process has forwarded the list.
    forwarded: Option<ForwardedListGuard>,
}

impl EndpointListStore {
    pub(super) fn new(site: Site, clock: Clock, events: Sender<Event>) -> Self {
        Self {
            site,
            clock,
            events,
            ids: HashMap::new(),
            cache: EndpointListCache::default(),
            confirmed_at: None,
            forwarded: None,
        }
    }

    /// The cached list.
    pub const fn cache(&self) -> &EndpointListCache {
        &self.cache
    }

    /// Time since discovery confirmed the list; `None` if it has not, or if the time is no longer
    /// known.
    pub fn confirmation_age(&self) -> Option<Span> {
        Some(self.clock.now() - self.confirmed_at?)
    }

    /// Forgets when discovery confirmed the list, because the clock may have stood still: the list
    /// is not gossiped until discovery confirms it again.
    pub const fn forget_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Applies a list that the gateway's other process received from discovery, if it is ahead of
    /// the cached one.
    pub fn apply_forwarded(&mut self, list: &EndpointListCache) {
        let Some(version) = list.version else {
            return;
        };
        if !list.is_ahead_of(&self.cache) {
            return;
        }
        self.forwarded = ForwardedListGuard::new(list, self.clock.now());
        let endpoints = list.endpoints().cloned().collect();
        self.apply(version.source, complete_list(version.revision, endpoints));
    }

    /// Applies a list from another gateway or a previous process, unless one is cached already.
    /// Returns whether it was applied.
    pub fn apply_unconfirmed(
        &mut self,
        endpoints: Vec<DiscoveredEndpoint>,
        version: ListVersion,
    ) -> bool {
        if self.cache.version.is_some() {
            return false;
        }
        self.apply(version.source, complete_list(version.revision, endpoints));
        true
    }

    /// Applies a list from discovery, unless the other process has forwarded it already. Returns
    /// the version reached, or `None` for changes that do not fit the cached list because discovery
    /// has restarted its version count.
    pub(super) fn apply_discovered(
        &mut self,
        source: SocketAddr,
        list: ListResponse,
    ) -> Option<u64> {
        let now = self.clock.now();
        if let Some(forwarded) = self.forwarded {
            let version = ListVersion {
                source,
                revision: list.version,
            };
            if forwarded.covers(version, now) {
                return Some(list.version);
            }
            self.forwarded = None;
            if forwarded.is_newer_than(version) && !list.complete {
                return None;
            }
        }
        Some(self.apply(source, list))
    }

    pub(super) const fn set_confirmed(&mut self, now: Time) {
        self.confirmed_at = Some(now);
    }

    /// Caches a list and sends it to the core; returns its version.
    pub(super) fn apply(&mut self, source: SocketAddr, list: ListResponse) -> u64 {
        let version = ListVersion {
            source,
            revision: list.version,
        };
        let scope = if list.complete {
            ListScope::Full
        } else {
            ListScope::Changes
        };
        self.cache.apply(version, scope, &list.endpoints);
        if !list.has_changes() {
            return list.version;
        }
        // Endpoints come and go continually, so the ids of those that a complete list no longer
        // names are dropped.
        if list.complete {
            let named: HashSet<&str> = list.endpoints.iter().map(|e| e.uid.as_str()).collect();
            self.ids.retain(|uid, _| named.contains(uid.as_str()));
        }
        let has_left = |endpoint: &&DiscoveredEndpoint| endpoint.state == "left";
        let departed: Vec<String> = list
            .endpoints
            .iter()
            .filter(has_left)
            .map(|endpoint| endpoint.uid.clone())
            .collect();
        let mut endpoints = vec![];
        for endpoint in list.endpoints {
            endpoints.extend(self.listed_endpoint(endpoint));
        }
        self.ids.retain(|uid, _| !departed.contains(uid));
        let _ = self.events.send(Event::EndpointList {
            complete: list.complete,
            endpoints,
        });
        list.version
    }

    fn listed_endpoint(&mut self, discovered: DiscoveredEndpoint) -> Option<ListedEndpoint> {
        let state = match discovered.state.as_str() {
            "active" => EndpointState::Ready,
            "leaving" => EndpointState::Draining,
            "left" => EndpointState::Removed,
            state => {
                tracing::warn!(endpoint = %discovered.uid, state, "unknown endpoint state, ignoring it");
                return None;
            }
        };
        let name = Arc::from(discovered.uid.as_str());
        let started_at_ms = Some(discovered.boot_ms).filter(|ms| *ms > 0.0);
        Some(ListedEndpoint {
            record: EndpointRecord {
                zone: ZoneId(index_of(&self.site.zones, &discovered.az)),
                kind: KindId(index_of(&self.site.kinds, &discovered.model)),
                endpoint: self.endpoint_id(discovered.uid),
                group: GroupId(discovered.pod_group),
                weight: discovered.capacity_hint,
                started: started_at_ms.map(|ms| self.clock.at_unix_ms(ms)),
                primary: discovered.mode == "read-write",
                state,
            },
            name,
            address: Arc::from(discovered.endpoint),
        })
    }

    /// The endpoint's id: the same at every gateway, unless two names have the same hash.
    fn endpoint_id(&mut self, uid: String) -> EndpointId {
        if let Some(id) = self.ids.get(&uid) {
            return *id;
        }
        let mut id = endpoint_id(&uid);
        while self.ids.values().any(|known| *known == id) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        self.ids.insert(uid, id);
        id
    }
}

pub(super) const fn complete_list(
    version: u64,
    endpoints: Vec<DiscoveredEndpoint>,
) -> ListResponse {
    ListResponse {
        version,
        complete: true,
        endpoints,
    }
}

/// The index of a name among those in the settings; `u8::MAX` for an unknown one.
fn index_of(known: &[String], name: &str) -> u8 {
    let index = known.iter().position(|other| other == name);
    index.map_or(u8::MAX, |index| index as u8)
}
