//! The engine: a datagram in, an answer out or none. It does no I/O; the time comes in.

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
    self, AUTH, Incoming, PRIV, REPORTABLE, Request, Said, Sealing, Secured, Verb,
};
use crate::picture::{Layout, Oid, Own, Picture, Value};

/// Errors of a response (RFC 3416, section 3).
const TOO_BIG: u32 = 1;
const NOT_WRITABLE: u32 = 17;
/// What a message needs beside its bindings, at the most: heads, engine ids, names, digest, salt.
const FRAME: usize = 220;
/// Walks that pictures are kept for; a walk that is silent for longer has ended; none keeps one for longer.
const WALKS: NonZeroUsize = NonZeroUsize::new(16).unwrap();
const SILENT: i64 = 5_000_000;
const LONGEST: i64 = 60_000_000;
/// A picture may be as old as this when a walk begins or a question comes, in microseconds.
const FRESH: i64 = 10_000;
/// How often the process's own figures are read, in microseconds.
const PROCESS: i64 = 1_000_000;
/// Bindings that one answer has at the most, whatever was asked.
const MOST_BINDINGS: u32 = 100_000;

/// What the engine counts. The order is that of the objects.
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
    LimitedInAll,
    PausedMicros,
    TooMany,
    BadSources,
    Restarts,
    Notices,
}

const STATS: usize = Stat::Notices as usize + 1;

/// Counters of the engine, which outlive its thread.
#[derive(Debug)]
pub struct Stats([AtomicU64; STATS]);

impl Default for Stats {
    fn default() -> Self {
        Self(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl Stats {
    /// Counts one.
    pub fn add(&self, stat: Stat) {
        self.more(stat, 1);
    }

    /// Counts some.
    pub fn more(&self, stat: Stat, n: u64) {
        self.0[stat as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// So many.
    #[must_use]
    pub fn get(&self, stat: Stat) -> u64 {
        self.0[stat as usize].load(Ordering::Relaxed)
    }

    /// In 32 bits, as the standard's counters wrap.
    #[allow(clippy::cast_possible_truncation)]
    fn wrapped(&self, stat: Stat) -> u32 {
        self.get(stat) as u32
    }
}

/// What the agent and the notifier share.
pub struct Shared {
    /// What is looked at.
    pub instrumentation: Arc<Instrumentation>,
    /// `[snmp]`, which SIGHUP may replace.
    pub access: ArcSwap<SnmpSettings>,
    /// Counters.
    pub stats: Stats,
    /// snmpEngineBoots.
    pub boots: u32,
    /// How each receiver does.
    pub receivers: ArcSwap<Vec<(String, usize, DeliveryCounts)>>,
}

impl Shared {
    /// The engine's boots and time now (RFC 3414, section 2.2.1).
    #[must_use]
    pub fn window(&self) -> EngineTime {
        let time = u32::try_from(self.instrumentation.started_at.elapsed().as_secs() % (1 << 31))
            .unwrap_or(0);
        EngineTime {
            boots: self.boots,
            time,
        }
    }
}

/// A salt that is never used twice by one process, and by two only if they draw the same first one.
pub struct Salt(u64);

impl Default for Salt {
    fn default() -> Self {
        let mut bytes = [0; 8];
        // Without the system's random numbers the time will do: the salt need not be secret, only new.
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
    /// The next one.
    #[must_use]
    pub fn draw(&mut self) -> [u8; 8] {
        self.0 = self.0.wrapping_add(1);
        self.0.to_be_bytes()
    }
}

/// Who asks, once that is known.
enum Asker<'a> {
    Community(&'a [u8]),
    User(&'a SnmpUser, u8, usize, i32),
}

/// Answers datagrams.
pub struct Engine {
    shared: Arc<Shared>,
    layout: Arc<Layout>,
    pins: SnapshotCache<(SocketAddr, Vec<u8>), Arc<Picture>>,
    latest: Option<(i64, Arc<Picture>)>,
    process: Option<(i64, ProcessStatus)>,
    salt: Salt,
    began: Instant,
}

impl Engine {
    /// For what is shared with the notifier.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        let layout = Arc::new(Layout::new(&shared.instrumentation, &ROOT));
        Self {
            shared,
            layout,
            pins: SnapshotCache::new(WALKS, SILENT, LONGEST),
            latest: None,
            process: None,
            salt: Salt::default(),
            began: Instant::now(),
        }
    }

    /// Microseconds since the engine was made: the time that [`Self::answer`] takes.
    #[must_use]
    pub fn now(&self) -> i64 {
        i64::try_from(self.began.elapsed().as_micros()).unwrap_or(i64::MAX)
    }

    /// Lets go of what ended walks held.
    pub fn sweep(&mut self, now: i64) {
        self.pins.remove_ended(now);
        self.latest.take_if(|(at, _)| now - *at > SILENT);
    }

    /// The answer to a datagram, if it is owed one.
    pub fn answer(&mut self, now: i64, from: SocketAddr, datagram: &[u8]) -> Option<Vec<u8>> {
        self.shared.stats.add(Stat::InPkts);
        let answer = match message::read(datagram) {
            None => {
                self.shared.stats.add(Stat::ParseErrs);
                None
            }
            Some(Incoming::Version(_)) => {
                self.shared.stats.add(Stat::BadVersions);
                None
            }
            Some(Incoming::V2c(community, pdus)) => self.v2c(now, from, &community, pdus),
            Some(Incoming::V3(secured)) => self.v3(now, from, datagram, &secured),
        };
        if answer.is_some() {
            self.shared.stats.add(Stat::Answered);
        }
        answer
    }

    fn v2c(&mut self, now: i64, from: SocketAddr, community: &[u8], pdus: Pdus) -> Option<Vec<u8>> {
        let access = self.shared.access.load_full();
        let stats = &self.shared.stats;
        let Some(known) = access
            .communities
            .iter()
            .find(|c| c.name.as_bytes() == community)
        else {
            stats.add(Stat::BadCommunityNames);
            return None;
        };
        if !known.from.holds(from.ip()) {
            stats.add(Stat::BadSources);
            return None;
        }
        let Said::Request(request) = message::said(pdus) else {
            stats.add(Stat::UnknownPduHandlers);
            return None;
        };
        if request.verb == Verb::Set {
            stats.add(Stat::BadCommunityUses);
        }
        self.respond(
            now,
            from,
            &access,
            &Asker::Community(community),
            &known.view,
            &request,
        )
    }

    /// RFC 3414, section 3.2, in its order.
    fn v3(
        &mut self,
        now: i64,
        from: SocketAddr,
        datagram: &[u8],
        secured: &Secured,
    ) -> Option<Vec<u8>> {
        let access = self.shared.access.load_full();
        let shared = Arc::clone(&self.shared);
        let stats = &shared.stats;
        if secured.model != 3 {
            stats.add(Stat::UnknownSecurityModels);
            return None;
        }
        let level = secured.flags & (AUTH | PRIV);
        if level == PRIV {
            stats.add(Stat::InvalidMsgs);
            return None;
        }
        // Discovery comes with no engine, or a wrong one.
        if secured.engine != access.engine {
            return self.report(&access, secured, Stat::UnknownEngineIds, None);
        }
        let Some(user) = access
            .users
            .iter()
            .find(|u| u.name.as_bytes() == secured.user)
        else {
            return self.report(&access, secured, Stat::UnknownUserNames, None);
        };
        let supported = match level {
            0 => false,
            AUTH => user.allow_unencrypted,
            _ => user.privacy_key.is_some(),
        };
        if !supported {
            return self.report(&access, secured, Stat::UnsupportedSecLevels, None);
        }
        if !message::authentic(datagram, &secured.digest, &user.auth_key) {
            return self.report(&access, secured, Stat::WrongDigests, None);
        }
        if !shared
            .window()
            .is_timely(secured.window.0, secured.window.1)
        {
            // This report is signed: it tells the sender the time that it needs.
            return self.report(&access, secured, Stat::NotInTimeWindows, Some(user));
        }
        let key = if level & PRIV != 0 {
            user.privacy_key.as_ref()
        } else {
            None
        };
        let Some(scoped) = message::scoped(secured, key) else {
            return self.report(&access, secured, Stat::DecryptionErrors, None);
        };
        if !user.from.holds(from.ip()) {
            stats.add(Stat::BadSources);
            return None;
        }
        if !scoped.name.is_empty() {
            return self.report(&access, secured, Stat::UnknownContexts, Some(user));
        }
        if scoped.engine_id.as_ref() != access.engine.as_slice() {
            return self.report(&access, secured, Stat::UnknownPduHandlers, Some(user));
        }
        let Said::Request(request) = message::said(scoped.data) else {
            return self.report(&access, secured, Stat::UnknownPduHandlers, Some(user));
        };
        let asker = Asker::User(user, level, secured.max_size, secured.id);
        self.respond(now, from, &access, &asker, &user.view, &request)
    }

    /// Counts what is wrong with a message and says so, where the sender takes reports.
    fn report(
        &self,
        access: &SnmpSettings,
        secured: &Secured,
        stat: Stat,
        signed: Option<&SnmpUser>,
    ) -> Option<Vec<u8>> {
        self.shared.stats.add(stat);
        if secured.flags & REPORTABLE == 0 {
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
        let id = match &secured.data {
            rasn_snmp::v3::ScopedPduData::CleartextPdu(scoped) => message::request_id(&scoped.data),
            rasn_snmp::v3::ScopedPduData::EncryptedPdu(_) => 0,
        };
        let pdus = message::report(id, name, self.shared.stats.wrapped(stat));
        let window = self.shared.window();
        let sealing = Sealing {
            id: secured.id,
            max_size: access.limits.max_size,
            reportable: false,
            engine: &access.engine,
            window: (window.boots, window.time),
            user: &secured.user,
            auth: signed.map(|u| &u.auth_key),
            privacy: None,
        };
        message::write_v3(&sealing, &access.engine, b"", pdus)
    }

    fn respond(
        &mut self,
        now: i64,
        from: SocketAddr,
        access: &SnmpSettings,
        asker: &Asker<'_>,
        view: &SnmpView,
        request: &Request,
    ) -> Option<Vec<u8>> {
        let taken = match asker {
            Asker::Community(_) => access.limits.max_size,
            Asker::User(_, _, size, _) => access.limits.max_size.min(*size),
        };
        let room = taken.saturating_sub(FRAME);
        let pdus = if request.names.len() > access.limits.max_bindings {
            self.shared.stats.add(Stat::TooMany);
            message::response(request.id, TOO_BIG, 0, vec![])
        } else if request.verb == Verb::Set {
            let same = request
                .names
                .iter()
                .map(|n| message::binding(n, Value::NoSuchObject))
                .collect();
            message::response(
                request.id,
                NOT_WRITABLE,
                u32::from(!request.names.is_empty()),
                same,
            )
        } else {
            let picture = self.picture(now, from, asker, request);
            match bindings(&picture, view, request, room) {
                Some(bindings) => message::response(request.id, 0, 0, bindings),
                None => message::response(request.id, TOO_BIG, 0, vec![]),
            }
        };
        let bytes = match asker {
            Asker::Community(community) => message::write_v2c(community, pdus),
            Asker::User(user, level, _, id) => {
                let window = self.shared.window();
                let salt = self.salt.draw();
                let sealing = Sealing {
                    id: *id,
                    max_size: access.limits.max_size,
                    reportable: false,
                    engine: &access.engine,
                    window: (window.boots, window.time),
                    user: user.name.as_bytes(),
                    auth: Some(&user.auth_key),
                    privacy: user
                        .privacy_key
                        .as_ref()
                        .filter(|_| level & PRIV != 0)
                        .map(|key| (key, salt)),
                };
                message::write_v3(&sealing, &access.engine, b"", pdus)
            }
        };
        if bytes.is_none() {
            self.shared.stats.add(Stat::SilentDrops);
        }
        bytes
    }

    /// Walks see what they began with; what is asked for by its name is what there is now.
    fn picture(
        &mut self,
        now: i64,
        from: SocketAddr,
        asker: &Asker<'_>,
        request: &Request,
    ) -> Arc<Picture> {
        let fresh = self.fresh(now);
        let (Verb::Next | Verb::Bulk(..), Some(first)) = (request.verb, request.names.first())
        else {
            return fresh;
        };
        let who = match asker {
            Asker::Community(community) => community.to_vec(),
            Asker::User(user, ..) => user.name.as_bytes().to_vec(),
        };
        self.pins
            .step(now, (from, who), request.id, first, || fresh)
    }

    fn fresh(&mut self, now: i64) -> Arc<Picture> {
        if let Some((_, picture)) = self.latest.as_ref().filter(|(at, _)| now - at <= FRESH) {
            return Arc::clone(picture);
        }
        let process = match self.process {
            Some((at, process)) if now - at <= PROCESS => process,
            _ => {
                let process = ProcessStatus::read();
                self.process = Some((now, process));
                process
            }
        };
        let own = Own {
            scalars: self.scalars(),
            receivers: self.shared.receivers.load().to_vec(),
            process,
        };
        let picture = Arc::new(Picture::take(
            &self.shared.instrumentation,
            &self.layout,
            own,
        ));
        self.latest = Some((now, Arc::clone(&picture)));
        picture
    }

    /// Values that only the engine knows.
    fn scalars(&self) -> Vec<(&'static str, u32, Value)> {
        let access = self.shared.access.load();
        let (stats, instrumentation, window) = (
            &self.shared.stats,
            &self.shared.instrumentation,
            self.shared.window(),
        );
        let text = |t: &str| Value::Bytes(t.as_bytes().to_vec());
        let mut all = vec![
            (
                "system",
                1,
                text(&format!(
                    "valehatch {}, a gateway to database groups",
                    instrumentation.version
                )),
            ),
            ("system", 2, Value::Name(ROOT.to_vec())),
            ("system", 3, Value::Ticks(instrumentation.uptime_ticks())),
            ("system", 4, text(&access.contact)),
            ("system", 5, text(&instrumentation.name)),
            ("system", 6, text(&access.location)),
            // Layer 7: an application.
            ("system", 7, Value::Integer(64)),
            ("snmp", 30, Value::Integer(2)),
            ("snmp", 32, Value::Counter32(0)),
            ("snmpEngine", 1, Value::Bytes(access.engine.clone())),
            ("snmpEngine", 2, Value::Integer(window.boots.into())),
            ("snmpEngine", 3, Value::Integer(window.time.into())),
            (
                "snmpEngine",
                4,
                Value::Integer(i64::try_from(access.limits.max_size).unwrap_or(0)),
            ),
            (
                "vhAgent",
                4,
                Value::Counter64(stats.get(Stat::PausedMicros) / 1000),
            ),
            (
                "vhAgent",
                7,
                Value::Gauge(u32::try_from(self.pins.len()).unwrap_or(u32::MAX)),
            ),
        ];
        for (group, arc, stat) in [
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
            all.push((group, arc, Value::Counter32(stats.wrapped(stat))));
        }
        for (arc, stat) in [
            (1, Stat::Answered),
            (2, Stat::LimitedBySource),
            (3, Stat::LimitedInAll),
            (5, Stat::TooMany),
            (6, Stat::BadSources),
            (8, Stat::Restarts),
            (9, Stat::Notices),
        ] {
            all.push(("vhAgent", arc, Value::Counter64(stats.get(stat))));
        }
        all
    }
}

/// The bindings of an answer; `None` where those that must be there have no room.
fn bindings(
    picture: &Picture,
    view: &SnmpView,
    request: &Request,
    room: usize,
) -> Option<Vec<VarBind>> {
    let mut out = vec![];
    let mut left = room;
    let mut put = |name: &[u32], value: Value| -> bool {
        let size = message::room(name, &value);
        let fits = size <= left;
        if fits {
            left -= size;
            out.push(message::binding(name, value));
        }
        fits
    };
    let seen = |name: &[u32]| view.holds(name);
    // Below an object something may be seen if the object itself may, or if a subtree of the view begins below it.
    let any = |oid: &[u32]| {
        view.holds(oid) || view.include.iter().any(|subtree| subtree.starts_with(oid))
    };
    let next = |name: &[u32]| picture.next(name, seen, any);
    let (single, often) = match request.verb {
        Verb::Get => {
            for name in &request.names {
                let value = if view.holds(name) {
                    picture.get(name)
                } else {
                    Value::NoSuchObject
                };
                if !put(name, value) {
                    return None;
                }
            }
            return Some(out);
        }
        Verb::Bulk(single, often) => (usize::try_from(single).unwrap_or(usize::MAX), often),
        Verb::Next | Verb::Set => (usize::MAX, 0),
    };
    let (once, repeated) = request.names.split_at(single.min(request.names.len()));
    for name in once {
        let (found, value) = next(name).unwrap_or_else(|| (name.clone(), Value::EndOfView));
        if !put(&found, value) {
            return None;
        }
    }
    // What has no room is asked for again; the time that this takes is bounded by the room.
    let mut names: Vec<Oid> = repeated.to_vec();
    let mut ended = vec![false; names.len()];
    for _ in 0..often.min(MOST_BINDINGS) {
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
                    Value::EndOfView
                }
            };
            if !put(name, value) {
                return Some(out);
            }
        }
    }
    Some(out)
}
