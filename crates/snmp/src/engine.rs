//! The SNMP engine: takes a request datagram and returns the response datagram, if any. It does no
//! I/O; the caller passes the time.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use arc_swap::ArcSwap;
use rasn_snmp::v2::{Pdus, VarBind};
use valehatch_config::snmp::{ROOT, SnmpSettings, SnmpUser, SnmpView};
use valehatch_notifications::DeliveryCounts;
use valehatch_rate_limit::{EngineTime, SnapshotCache};

use crate::instrumentation::{Instrumentation, ProcessStatus};
use crate::message::{
    self, AUTH, Incoming, Operation, PRIV, PduContent, REPORTABLE, Request, V3Message, V3Security,
};
use crate::snapshot::{AgentState, MibLayout, MibSnapshot, Oid, Value};

/// Values of error-status in a response (RFC 3416, section 3).
const TOO_BIG: u32 = 1;
const NOT_WRITABLE: u32 = 17;
/// Upper bound of a message's size without its variable bindings: headers, engine IDs, user and
/// context names, digest, salt.
const MESSAGE_OVERHEAD: usize = 220;
/// Maximum number of walks with a snapshot of their own.
const MAX_WALKS: NonZeroUsize = NonZeroUsize::new(16).unwrap();
/// Time without a request after which a walk has ended, in microseconds.
const MAX_WALK_SILENCE_US: i64 = 5_000_000;
/// Maximum time for which a walk keeps its snapshot, in microseconds.
const MAX_WALK_AGE_US: i64 = 60_000_000;
/// Maximum age of the snapshot from which a new walk or a GET is answered, in microseconds.
const MAX_SNAPSHOT_AGE_US: i64 = 10_000;
/// Minimum interval between two reads of the process's status, in microseconds.
const PROCESS_READ_INTERVAL_US: i64 = 1_000_000;
/// Upper bound of the repetitions of a GETBULK, whatever max-repetitions it requests.
const MAX_REPETITIONS: u32 = 100_000;

/// Events that the engine counts, in the order of the objects that show them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Stat {
    InPkts,
    BadVersions,
    BadCommunityNames,
    BadCommunityUses,
    ParseErrs,
    SilentDrops,
    UnknownSecurityModels,
    InvalidMsgs,
    UnknownPduHandlers,
    UnsupportedSecLevels,
    NotInTimeWindows,
    UnknownUserNames,
    UnknownEngineIds,
    WrongDigests,
    DecryptionErrors,
    UnknownContexts,
    Answered,
    LimitedBySource,
    LimitedInTotal,
    PausedMicros,
    TooManyBindings,
    BadSources,
    Restarts,
    Notifications,
}

const STAT_COUNT: usize = Stat::Notifications as usize + 1;

/// The engine's counters. They keep their values when its thread is restarted.
#[derive(Debug)]
pub struct Stats([AtomicU64; STAT_COUNT]);

impl Default for Stats {
    fn default() -> Self {
        Self(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl Stats {
    /// Counts one event.
    pub fn add(&self, stat: Stat) {
        self.add_many(stat, 1);
    }

    /// Counts `n` events, or adds `n` microseconds to [`Stat::PausedMicros`].
    pub fn add_many(&self, stat: Stat, n: u64) {
        self.0[stat as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Returns a counter's value since the start.
    #[must_use]
    pub fn get(&self, stat: Stat) -> u64 {
        self.0[stat as usize].load(Ordering::Relaxed)
    }

    /// Returns a counter's value modulo 2^32, as a Counter32 wraps.
    #[allow(clippy::cast_possible_truncation)]
    fn get_wrapped(&self, stat: Stat) -> u32 {
        self.get(stat) as u32
    }
}

/// State shared by the agent's and the notifier's threads.
pub struct Shared {
    /// The sources of the managed values.
    pub instrumentation: Arc<Instrumentation>,
    /// The `[snmp]` section, replaced by [`Agent::reload`](crate::Agent::reload).
    pub settings: ArcSwap<SnmpSettings>,
    /// The engine's counters.
    pub stats: Stats,
    /// snmpEngineBoots (RFC 3411), which grows at each start of the program.
    pub boots: u32,
    /// Each receiver's address, number of queued notifications and delivery counts.
    pub receivers: ArcSwap<Vec<(String, usize, DeliveryCounts)>>,
}

impl Shared {
    /// Returns the current snmpEngineBoots and snmpEngineTime (RFC 3414, section 2.2.1).
    #[must_use]
    pub fn engine_time(&self) -> EngineTime {
        let time = u32::try_from(self.instrumentation.started_at.elapsed().as_secs() % (1 << 31))
            .unwrap_or(0);
        EngineTime {
            boots: self.boots,
            time,
        }
    }
}

/// Generates the salts of encrypted messages. One process never repeats a salt, and two processes
/// only do so if their random start values overlap.
pub struct Salt(u64);

impl Default for Salt {
    fn default() -> Self {
        let mut bytes = [0; 8];
        // Without a random source, the time serves: a salt need not be secret, only unused.
        if getrandom::fill(&mut bytes).is_err() {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            bytes = now
                .map_or(0, |d| u64::try_from(d.as_nanos()).unwrap_or(0))
                .to_be_bytes();
        }
        Self(u64::from_be_bytes(bytes))
    }
}

impl Salt {
    /// Returns an unused salt.
    #[must_use]
    pub fn next_salt(&mut self) -> [u8; 8] {
        self.0 = self.0.wrapping_add(1);
        self.0.to_be_bytes()
    }
}

/// The authenticated sender of a request: a community, or a user with the message's security level,
/// msgMaxSize and msgID.
enum Principal<'a> {
    Community(&'a [u8]),
    User(&'a SnmpUser, u8, usize, i32),
}

/// Answers requests, each walk from one snapshot.
pub struct Engine {
    shared: Arc<Shared>,
    layout: Arc<MibLayout>,
    walk_snapshots: SnapshotCache<(SocketAddr, Vec<u8>), Arc<MibSnapshot>>,
    cached_snapshot: Option<(i64, Arc<MibSnapshot>)>,
    process: Option<(i64, ProcessStatus)>,
    salt: Salt,
    created_at: Instant,
}

impl Engine {
    /// Creates an engine on state that it shares with the notifier.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        let layout = Arc::new(MibLayout::new(&shared.instrumentation, &ROOT));
        Self {
            shared,
            layout,
            walk_snapshots: SnapshotCache::new(MAX_WALKS, MAX_WALK_SILENCE_US, MAX_WALK_AGE_US),
            cached_snapshot: None,
            process: None,
            salt: Salt::default(),
            created_at: Instant::now(),
        }
    }

    /// Returns the microseconds since the engine was created, for [`Self::answer`].
    #[must_use]
    pub fn now(&self) -> i64 {
        i64::try_from(self.created_at.elapsed().as_micros()).unwrap_or(i64::MAX)
    }

    /// Drops the snapshots of ended walks, and the cached snapshot once it is too old.
    pub fn remove_ended_walks(&mut self, now: i64) {
        self.walk_snapshots.remove_ended(now);
        self.cached_snapshot
            .take_if(|(at, _)| now - *at > MAX_WALK_SILENCE_US);
    }

    /// Processes a datagram; returns the response or report to be sent back, if any.
    pub fn answer(&mut self, now: i64, from: SocketAddr, datagram: &[u8]) -> Option<Vec<u8>> {
        self.shared.stats.add(Stat::InPkts);
        let answer = match message::decode(datagram) {
            None => {
                self.shared.stats.add(Stat::ParseErrs);
                None
            }
            Some(Incoming::UnsupportedVersion(_)) => {
                self.shared.stats.add(Stat::BadVersions);
                None
            }
            Some(Incoming::V2c(community, pdus)) => self.v2c(now, from, &community, pdus),
            Some(Incoming::V3(message_v3)) => self.v3(now, from, datagram, &message_v3),
        };
        if answer.is_some() {
            self.shared.stats.add(Stat::Answered);
        }
        answer
    }

    fn v2c(&mut self, now: i64, from: SocketAddr, community: &[u8], pdus: Pdus) -> Option<Vec<u8>> {
        let settings = self.shared.settings.load_full();
        let stats = &self.shared.stats;
        let Some(community_settings) = settings
            .communities
            .iter()
            .find(|c| c.name.as_bytes() == community)
        else {
            stats.add(Stat::BadCommunityNames);
            return None;
        };
        if !community_settings.from.holds(from.ip()) {
            stats.add(Stat::BadSources);
            return None;
        }
        let PduContent::Request(request) = message::parse_pdu(pdus) else {
            stats.add(Stat::UnknownPduHandlers);
            return None;
        };
        if request.operation == Operation::Set {
            stats.add(Stat::BadCommunityUses);
        }
        self.respond(
            now,
            from,
            &settings,
            &Principal::Community(community),
            &community_settings.view,
            &request,
        )
    }

    /// Checks a v3 message in the order of RFC 3414, section 3.2, and answers it.
    fn v3(
        &mut self,
        now: i64,
        from: SocketAddr,
        datagram: &[u8],
        message_v3: &V3Message,
    ) -> Option<Vec<u8>> {
        let settings = self.shared.settings.load_full();
        let shared = Arc::clone(&self.shared);
        let stats = &shared.stats;
        if message_v3.model != 3 {
            stats.add(Stat::UnknownSecurityModels);
            return None;
        }
        let level = message_v3.flags & (AUTH | PRIV);
        if level == PRIV {
            stats.add(Stat::InvalidMsgs);
            return None;
        }
        // Engine discovery sends an empty or an unknown engine ID.
        if message_v3.engine != settings.engine {
            return self.report(&settings, message_v3, Stat::UnknownEngineIds, None);
        }
        let Some(user) = settings
            .users
            .iter()
            .find(|u| u.name.as_bytes() == message_v3.user)
        else {
            return self.report(&settings, message_v3, Stat::UnknownUserNames, None);
        };
        let supported = match level {
            0 => false,
            AUTH => user.allow_unencrypted,
            _ => user.privacy_key.is_some(),
        };
        if !supported {
            return self.report(&settings, message_v3, Stat::UnsupportedSecLevels, None);
        }
        if !message::has_valid_digest(datagram, &message_v3.digest, &user.auth_key) {
            return self.report(&settings, message_v3, Stat::WrongDigests, None);
        }
        if !shared
            .engine_time()
            .is_timely(message_v3.engine_time.0, message_v3.engine_time.1)
        {
            // This report is authenticated: from it the sender learns the engine's time.
            return self.report(&settings, message_v3, Stat::NotInTimeWindows, Some(user));
        }
        let key = if level & PRIV != 0 {
            user.privacy_key.as_ref()
        } else {
            None
        };
        let Some(scoped) = message::scoped_pdu(message_v3, key) else {
            return self.report(&settings, message_v3, Stat::DecryptionErrors, None);
        };
        if !user.from.holds(from.ip()) {
            stats.add(Stat::BadSources);
            return None;
        }
        if !scoped.name.is_empty() {
            return self.report(&settings, message_v3, Stat::UnknownContexts, Some(user));
        }
        if scoped.engine_id.as_ref() != settings.engine.as_slice() {
            return self.report(&settings, message_v3, Stat::UnknownPduHandlers, Some(user));
        }
        let PduContent::Request(request) = message::parse_pdu(scoped.data) else {
            return self.report(&settings, message_v3, Stat::UnknownPduHandlers, Some(user));
        };
        let principal = Principal::User(user, level, message_v3.max_size, message_v3.id);
        self.respond(now, from, &settings, &principal, &user.view, &request)
    }

    /// Counts an error, and returns a report of the counter if the message has the reportable flag.
    fn report(
        &self,
        settings: &SnmpSettings,
        message_v3: &V3Message,
        stat: Stat,
        signing_user: Option<&SnmpUser>,
    ) -> Option<Vec<u8>> {
        self.shared.stats.add(stat);
        if message_v3.flags & REPORTABLE == 0 {
            return None;
        }
        let name: &[u32] = match stat {
            Stat::UnsupportedSecLevels => &[1, 3, 6, 1, 6, 3, 15, 1, 1, 1, 0],
            Stat::NotInTimeWindows => &[1, 3, 6, 1, 6, 3, 15, 1, 1, 2, 0],
            Stat::UnknownUserNames => &[1, 3, 6, 1, 6, 3, 15, 1, 1, 3, 0],
            Stat::UnknownEngineIds => &[1, 3, 6, 1, 6, 3, 15, 1, 1, 4, 0],
            Stat::WrongDigests => &[1, 3, 6, 1, 6, 3, 15, 1, 1, 5, 0],
            Stat::DecryptionErrors => &[1, 3, 6, 1, 6, 3, 15, 1, 1, 6, 0],
            Stat::UnknownContexts => &[1, 3, 6, 1, 6, 3, 12, 1, 5, 0],
            _ => &[1, 3, 6, 1, 6, 3, 11, 2, 1, 3, 0],
        };
        let id = match &message_v3.data {
            rasn_snmp::v3::ScopedPduData::CleartextPdu(scoped) => message::request_id(&scoped.data),
            rasn_snmp::v3::ScopedPduData::EncryptedPdu(_) => 0,
        };
        let pdus = message::report(id, name, self.shared.stats.get_wrapped(stat));
        let engine_time = self.shared.engine_time();
        let security = V3Security {
            id: message_v3.id,
            max_size: settings.limits.max_size,
            reportable: false,
            engine: &settings.engine,
            engine_time: (engine_time.boots, engine_time.time),
            user: &message_v3.user,
            auth: signing_user.map(|u| &u.auth_key),
            privacy: None,
        };
        message::encode_v3(&security, &settings.engine, b"", pdus)
    }

    fn respond(
        &mut self,
        now: i64,
        from: SocketAddr,
        settings: &SnmpSettings,
        principal: &Principal<'_>,
        view: &SnmpView,
        request: &Request,
    ) -> Option<Vec<u8>> {
        let max_message_size = match principal {
            Principal::Community(_) => settings.limits.max_size,
            Principal::User(_, _, size, _) => settings.limits.max_size.min(*size),
        };
        let max_size = max_message_size.saturating_sub(MESSAGE_OVERHEAD);
        let pdus = if request.names.len() > settings.limits.max_bindings {
            self.shared.stats.add(Stat::TooManyBindings);
            message::response(request.id, TOO_BIG, 0, vec![])
        } else if request.operation == Operation::Set {
            let unchanged = request
                .names
                .iter()
                .map(|n| message::var_bind(n, Value::NoSuchObject))
                .collect();
            message::response(
                request.id,
                NOT_WRITABLE,
                u32::from(!request.names.is_empty()),
                unchanged,
            )
        } else {
            let snapshot = self.snapshot(now, from, principal, request);
            match response_bindings(&snapshot, view, request, max_size) {
                Some(list) => message::response(request.id, 0, 0, list),
                None => message::response(request.id, TOO_BIG, 0, vec![]),
            }
        };
        let bytes = match principal {
            Principal::Community(community) => message::encode_v2c(community, pdus),
            Principal::User(user, level, _, id) => {
                let engine_time = self.shared.engine_time();
                let salt = self.salt.next_salt();
                let security = V3Security {
                    id: *id,
                    max_size: settings.limits.max_size,
                    reportable: false,
                    engine: &settings.engine,
                    engine_time: (engine_time.boots, engine_time.time),
                    user: user.name.as_bytes(),
                    auth: Some(&user.auth_key),
                    privacy: user
                        .privacy_key
                        .as_ref()
                        .filter(|_| level & PRIV != 0)
                        .map(|key| (key, salt)),
                };
                message::encode_v3(&security, &settings.engine, b"", pdus)
            }
        };
        if bytes.is_none() {
            self.shared.stats.add(Stat::SilentDrops);
        }
        bytes
    }

    /// Returns the snapshot for a request: GETNEXT and GETBULK get the one with which their walk
    /// began, GET gets the current one.
    fn snapshot(
        &mut self,
        now: i64,
        from: SocketAddr,
        principal: &Principal<'_>,
        request: &Request,
    ) -> Arc<MibSnapshot> {
        let current_snapshot = self.current_snapshot(now);
        let (Operation::GetNext | Operation::GetBulk(..), Some(first)) =
            (request.operation, request.names.first())
        else {
            return current_snapshot;
        };
        let principal_name = match principal {
            Principal::Community(community) => community.to_vec(),
            Principal::User(user, ..) => user.name.as_bytes().to_vec(),
        };
        self.walk_snapshots
            .step(now, (from, principal_name), request.id, first, || {
                current_snapshot
            })
    }

    fn current_snapshot(&mut self, now: i64) -> Arc<MibSnapshot> {
        if let Some((_, snapshot)) = self
            .cached_snapshot
            .as_ref()
            .filter(|(at, _)| now - at <= MAX_SNAPSHOT_AGE_US)
        {
            return Arc::clone(snapshot);
        }
        let process = match self.process {
            Some((at, process)) if now - at <= PROCESS_READ_INTERVAL_US => process,
            _ => {
                let process = ProcessStatus::read();
                self.process = Some((now, process));
                process
            }
        };
        let state = AgentState {
            scalars: self.scalars(),
            receivers: self.shared.receivers.load().to_vec(),
            process,
        };
        let snapshot = Arc::new(MibSnapshot::take(
            &self.shared.instrumentation,
            &self.layout,
            state,
        ));
        self.cached_snapshot = Some((now, Arc::clone(&snapshot)));
        snapshot
    }

    /// Returns the scalars whose values the engine itself holds, by group and subidentifier.
    fn scalars(&self) -> Vec<(&'static str, u32, Value)> {
        let settings = self.shared.settings.load();
        let (stats, instrumentation, engine_time) = (
            &self.shared.stats,
            &self.shared.instrumentation,
            self.shared.engine_time(),
        );
        let text = |t: &str| Value::OctetString(t.as_bytes().to_vec());
        let mut values = vec![
            (
                "system",
                1,
                text(&format!(
                    "valehatch {}, a gateway to database groups",
                    instrumentation.version
                )),
            ),
            ("system", 2, Value::ObjectIdentifier(ROOT.to_vec())),
            (
                "system",
                3,
                Value::TimeTicks(instrumentation.uptime_ticks()),
            ),
            ("system", 4, text(&settings.contact)),
            ("system", 5, text(&instrumentation.name)),
            ("system", 6, text(&settings.location)),
            // 2^(7-1): an application, layer 7 (RFC 3418).
            ("system", 7, Value::Integer(64)),
            ("snmp", 30, Value::Integer(2)),
            ("snmp", 32, Value::Counter32(0)),
            ("snmpEngine", 1, Value::OctetString(settings.engine.clone())),
            ("snmpEngine", 2, Value::Integer(engine_time.boots.into())),
            ("snmpEngine", 3, Value::Integer(engine_time.time.into())),
            (
                "snmpEngine",
                4,
                Value::Integer(i64::try_from(settings.limits.max_size).unwrap_or(0)),
            ),
            (
                "vhAgent",
                4,
                Value::Counter64(stats.get(Stat::PausedMicros) / 1000),
            ),
            (
                "vhAgent",
                7,
                Value::Gauge32(u32::try_from(self.walk_snapshots.len()).unwrap_or(u32::MAX)),
            ),
        ];
        for (group_name, subid, stat) in [
            ("snmp", 1, Stat::InPkts),
            ("snmp", 3, Stat::BadVersions),
            ("snmp", 4, Stat::BadCommunityNames),
            ("snmp", 5, Stat::BadCommunityUses),
            ("snmp", 6, Stat::ParseErrs),
            ("snmp", 31, Stat::SilentDrops),
            ("snmpMPDStats", 1, Stat::UnknownSecurityModels),
            ("snmpMPDStats", 2, Stat::InvalidMsgs),
            ("snmpMPDStats", 3, Stat::UnknownPduHandlers),
            ("usmStats", 1, Stat::UnsupportedSecLevels),
            ("usmStats", 2, Stat::NotInTimeWindows),
            ("usmStats", 3, Stat::UnknownUserNames),
            ("usmStats", 4, Stat::UnknownEngineIds),
            ("usmStats", 5, Stat::WrongDigests),
            ("usmStats", 6, Stat::DecryptionErrors),
        ] {
            values.push((group_name, subid, Value::Counter32(stats.get_wrapped(stat))));
        }
        for (subid, stat) in [
            (1, Stat::Answered),
            (2, Stat::LimitedBySource),
            (3, Stat::LimitedInTotal),
            (5, Stat::TooManyBindings),
            (6, Stat::BadSources),
            (8, Stat::Restarts),
            (9, Stat::Notifications),
        ] {
            values.push(("vhAgent", subid, Value::Counter64(stats.get(stat))));
        }
        values
    }
}

/// Returns the variable bindings of a response; `None` if bindings that may not be left out do not
/// fit into `max_size` bytes.
fn response_bindings(
    snapshot: &MibSnapshot,
    view: &SnmpView,
    request: &Request,
    max_size: usize,
) -> Option<Vec<VarBind>> {
    let mut out = vec![];
    let mut left = max_size;
    let mut push = |name: &[u32], value: Value| -> bool {
        let size = message::max_encoded_size(name, &value);
        let fits = size <= left;
        if fits {
            left -= size;
            out.push(message::var_bind(name, value));
        }
        fits
    };
    let visible = |name: &[u32]| view.holds(name);
    // An object may have visible instances if it is in the view itself, or if a subtree of the view
    // begins below it.
    let any_visible = |oid: &[u32]| {
        view.holds(oid) || view.include.iter().any(|subtree| subtree.starts_with(oid))
    };
    let next = |name: &[u32]| snapshot.next(name, visible, any_visible);
    let (non_repeaters, max_repetitions) = match request.operation {
        Operation::Get => {
            for name in &request.names {
                let value = if view.holds(name) {
                    snapshot.get(name)
                } else {
                    Value::NoSuchObject
                };
                if !push(name, value) {
                    return None;
                }
            }
            return Some(out);
        }
        Operation::GetBulk(non_repeaters, max_repetitions) => (
            usize::try_from(non_repeaters).unwrap_or(usize::MAX),
            max_repetitions,
        ),
        Operation::GetNext | Operation::Set => (usize::MAX, 0),
    };
    let (non_repeated, repeated) = request
        .names
        .split_at(non_repeaters.min(request.names.len()));
    for name in non_repeated {
        let (found, value) = next(name).unwrap_or_else(|| (name.clone(), Value::EndOfMibView));
        if !push(&found, value) {
            return None;
        }
    }
    // A manager requests again what does not fit. The time this takes is bounded by `max_size`.
    let mut names: Vec<Oid> = repeated.to_vec();
    let mut ended = vec![false; names.len()];
    for _ in 0..max_repetitions.min(MAX_REPETITIONS) {
        if ended.iter().all(|e| *e) {
            break;
        }
        for (name, ended) in names.iter_mut().zip(&mut ended) {
            let found = if *ended { None } else { next(name) };
            let value = match found {
                Some((found, value)) => {
                    *name = found;
                    value
                }
                None => {
                    *ended = true;
                    Value::EndOfMibView
                }
            };
            if !push(name, value) {
                return Some(out);
            }
        }
    }
    Some(out)
}
