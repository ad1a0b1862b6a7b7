//! Restores state from the snapshot of an earlier process, and collects a front's state for the
//! next snapshot.
//!
//! Snapshots come from the state folder ([`read_snapshot`]) or from the predecessor of a hot
//! restart ([`decode_inherited`]). `valehatch_recovery` decides how far a snapshot of a given age
//! is trusted. Unix times are in milliseconds.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use tracing::{info, warn};
use valehatch_config::operators::{EndpointSource, OperatorConfig};
use valehatch_core::LiveView;
use valehatch_net::discovery::EndpointListStore;
use valehatch_net::{Clock, lock};
use valehatch_policy::{PrimaryEvidence, Settings, Span, Time};
use valehatch_recovery::service::{RequestResult, ServiceRecovery};
use valehatch_recovery::snapshot::{
    FrontSnapshot, MAX_BYTES, PrimarySnapshot, Snapshot, WarmingEndpoint,
};
use valehatch_recovery::trust::{KnowledgeKind, KnowledgeSource, TrustLevel, trust};
use valehatch_recovery::{RestoredState, restore, slow_start_began_ms};
use valehatch_request_log::FinalOutcome;
use valehatch_snmp::instrumentation::CoreSnapshot;
use valehatch_state::snapshot;

/// Maximum of gateways from the last run that are contacted in addition to the seeds.
const MAX_REMEMBERED_GATEWAYS: usize = 8;

/// Whether service is complete since this start; shared by all fronts and the snapshot writer.
pub(crate) type SharedService = Arc<Mutex<ServiceRecovery>>;

/// The endpoint list of a front that uses discovery.
pub(crate) type SharedEndpointList = Arc<Mutex<EndpointListStore>>;

/// Current Unix time in milliseconds, from the wall clock.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

/// Reads the snapshot in the state folder. If there is no usable one, logs the reason.
pub(crate) fn read_snapshot(folder: &Path, gateway: &str) -> Option<Snapshot> {
    let bytes = match snapshot::read(folder, MAX_BYTES) {
        Ok(Some(bytes)) => bytes,
        Ok(None) => {
            info!("recovery: no snapshot found");
            return None;
        }
        Err(error) => {
            warn!(%error, "recovery: snapshot not readable");
            return None;
        }
    };
    Snapshot::decode(&bytes, gateway, unix_ms())
        .inspect_err(|error| warn!(%error, "recovery: snapshot ignored"))
        .ok()
}

/// Decodes the predecessor's snapshot. If it cannot be used, logs the reason.
pub(crate) fn decode_inherited(bytes: &[u8], gateway: &str) -> Option<Snapshot> {
    Snapshot::decode(bytes, gateway, unix_ms())
        .inspect_err(|error| warn!(%error, "hot restart: inherited snapshot ignored"))
        .ok()
}

/// Returns the parts of a snapshot that are still trusted for a front.
pub(crate) fn restore_front(snapshot: Option<&Snapshot>, front: &str) -> RestoredState {
    let Some(snapshot) = snapshot else {
        return RestoredState::default();
    };
    let restored = restore(snapshot, front, unix_ms());
    for reason in &restored.discarded {
        info!(front, %reason, "recovery: part of the snapshot not used");
    }
    if let Some(list) = &restored.list {
        info!(
            front,
            source = %list.version.source,
            version = list.version.revision,
            endpoints = list.endpoints.len(),
            primary_hints = restored.primaries.len(),
            "recovery: endpoint list restored"
        );
    }
    restored
}

/// Gateways of the last run to contact in addition to the seeds; empty if the snapshot is too old
/// to serve even as a hint.
pub(crate) fn remembered_gateways(snapshot: Option<&Snapshot>) -> Vec<SocketAddr> {
    let Some(snapshot) = snapshot else {
        return vec![];
    };
    let age = unix_ms()
        .checked_sub(snapshot.at_ms)
        .and_then(|ms| i64::try_from(ms).ok())
        .map(Span::from_millis);
    if trust(KnowledgeKind::Gateways, KnowledgeSource::Snapshot, age) < TrustLevel::Hint {
        return vec![];
    }
    let gateways = snapshot.gateways.iter().copied();
    gateways.take(MAX_REMEMBERED_GATEWAYS).collect()
}

/// Creates the tracker of service recovery. Service is complete once every front that uses
/// discovery has a confirmed list and serves.
pub(crate) fn service(file: &OperatorConfig, clock: Clock) -> SharedService {
    let uses_discovery = |front: &&valehatch_config::operators::FrontSettings| {
        matches!(front.endpoints, EndpointSource::Discovery(_))
    };
    let waiting_for = file.fronts.iter().filter(uses_discovery).count();
    Arc::new(Mutex::new(ServiceRecovery::new(waiting_for, clock.now())))
}

/// Counts a request's final outcome towards service recovery. Requests aborted by their client are
/// not counted.
pub(crate) fn count_outcome(service: &SharedService, clock: Clock, outcome: &FinalOutcome) {
    let result = match outcome {
        FinalOutcome::InTime | FinalOutcome::Late => RequestResult::Served,
        FinalOutcome::Rejected(_) | FinalOutcome::Failed(_) => RequestResult::Failed,
        FinalOutcome::Aborted => return,
    };
    lock(service).request_finished(result, clock.now());
}

/// Source of a front's part of a snapshot.
pub(crate) struct RecoverableFront {
    /// Name of the front in snapshots.
    pub(crate) name: String,
    /// Endpoint list; `None` if the configuration names the endpoints.
    pub(crate) endpoint_list: Option<SharedEndpointList>,
    /// View that the front's core publishes.
    pub(crate) board: Arc<ArcSwapOption<CoreSnapshot>>,
    /// Settings of the front's decision module.
    pub(crate) settings: Settings,
}

impl RecoverableFront {
    /// Builds the front's part of a snapshot. `at_ms` and `now` are the same moment on the wall
    /// clock and on the monotonic clock.
    pub(crate) fn snapshot(&self, at_ms: u64, now: Time) -> FrontSnapshot {
        let endpoint_list = self
            .endpoint_list
            .as_ref()
            .map(|store| lock(store).cache().clone())
            .unwrap_or_default();
        let board = self.board.load_full();
        let view = board.as_ref().map(|board| &board.live);
        FrontSnapshot {
            name: self.name.clone(),
            list: endpoint_list,
            primaries: view.map_or(vec![], |view| known_primaries(view, at_ms, now)),
            warming: view.map_or(vec![], |view| self.warming_endpoints(view, at_ms)),
        }
    }

    /// Endpoints in slow start, each with the start time that corresponds to its present warmth.
    fn warming_endpoints(&self, view: &LiveView, at_ms: u64) -> Vec<WarmingEndpoint> {
        let rules = &self.settings.rules;
        let warming = view.endpoints.iter().filter_map(|endpoint| {
            let since_ms = slow_start_began_ms(
                endpoint.view.warm?,
                rules.slow_start_duration,
                rules.slow_start_initial_capacity,
                at_ms,
            );
            Some(WarmingEndpoint {
                endpoint: endpoint.name.to_string(),
                since_ms,
            })
        });
        warming.collect()
    }
}

fn known_primaries(view: &LiveView, at_ms: u64, now: Time) -> Vec<PrimarySnapshot> {
    let mut primaries = vec![];
    for group in &view.groups {
        if group.known == PrimaryEvidence::Unknown {
            continue;
        }
        let is_primary = |id| Some(id) == group.primary;
        let primary = view.endpoints.iter().find(|m| is_primary(m.view.endpoint));
        let Some(primary) = primary else { continue };
        let age_ms = u64::try_from((now - group.since).0 / 1000).unwrap_or(0);
        primaries.push(PrimarySnapshot {
            group: group.group.0,
            endpoint: primary.name.to_string(),
            since_ms: at_ms.saturating_sub(age_ms),
            proved: group.known != PrimaryEvidence::EndpointList,
        });
    }
    primaries
}
