//! A snapshot of all managed objects at one moment. It refers to what the cores and the request log
//! published and copies nothing: the value of an instance is computed when it is requested, and its
//! row is found by binary search in the sorted rows of its table.

use std::cmp::Ordering;
use std::sync::Arc;

use valehatch_core::{LiveEndpoint, OpenCounts};
use valehatch_policy::{
    EndpointHealth, EndpointState, GroupView, PrimaryEvidence, Role, Span, Time,
};
use valehatch_request_log::counters::{LATENCY_BOUNDS_US, LATENCY_BUCKETS};
use valehatch_request_log::{Counter, CounterRow, RowKey, Scope};
use valehatch_state::PublishedCounters;

use crate::instrumentation::{CoreSnapshot, Instrumentation, ProcessStatus};
use crate::schema::{self, Object, Parent, ScalarGroup, TABLES, Table, TableKind};

/// The value of a variable binding (RFC 3416, section 3).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// INTEGER, also of an enumeration or a TruthValue.
    Integer(i64),
    /// OCTET STRING, also of a text in UTF-8.
    OctetString(Vec<u8>),
    /// OBJECT IDENTIFIER.
    ObjectIdentifier(Vec<u32>),
    /// Counter32, which wraps at 2^32.
    Counter32(u32),
    /// Gauge32; larger values are shown as the maximum.
    Gauge32(u32),
    /// TimeTicks: hundredths of a second.
    TimeTicks(u32),
    /// Counter64.
    Counter64(u64),
    /// noSuchObject: no object has this OID, or the view excludes it.
    NoSuchObject,
    /// noSuchInstance: the object exists, without this instance.
    NoSuchInstance,
    /// endOfMibView: no visible instance follows.
    EndOfMibView,
}

/// An object identifier as its subidentifiers.
pub type Oid = Vec<u32>;

/// The positions of a static row's data.
#[derive(Clone, Copy, Debug)]
struct StaticRow {
    front: usize,
    /// Position of the class or tenant in its front; 0 for a front's own row.
    name_index: usize,
    /// Position of the reason, outcome or bucket; 0 for rows without one.
    sub_index: usize,
}

/// Conceptual rows that stay the same while the program runs, sorted by index.
type StaticRows = Vec<(Oid, StaticRow)>;

/// The definition of an object: a scalar, or a columnar object of a table.
#[derive(Clone, Copy, Debug)]
enum ObjectSource {
    Scalar(&'static ScalarGroup, &'static Object),
    Column(&'static Table, &'static Object),
}

/// The part of the MIB view that stays the same while the program runs: all objects sorted by OID,
/// and the rows of most tables.
pub struct MibLayout {
    objects: Vec<(Oid, ObjectSource)>,
    static_rows: Vec<(TableKind, StaticRows)>,
    /// The fronts' index values, sorted, each with the front's position.
    fronts: Vec<(Oid, usize)>,
    row_keys: [Vec<Vec<RowKey>>; 2],
}

/// Encodes a text in an index: its length, then its bytes (RFC 2578, section 7.7).
fn text_index(text: &str) -> Oid {
    let mut oid = vec![u32::try_from(text.len()).unwrap_or(0)];
    oid.extend(text.bytes().map(u32::from));
    oid
}

impl MibLayout {
    /// Creates the layout for the fronts of `instrumentation`, below the OID `root`.
    #[must_use]
    pub fn new(instrumentation: &Instrumentation, root: &[u32]) -> Self {
        let mut objects = vec![];
        for group in schema::SCALAR_GROUPS {
            let base = match group.parent {
                Parent::Standard(oid) => oid.to_vec(),
                Parent::Enterprise(subid) => [root, &[schema::OBJECTS_SUBID, subid]].concat(),
            };
            for object in group.objects {
                let oid = [&base[..], &[object.subid]].concat();
                objects.push((oid, ObjectSource::Scalar(group, object)));
            }
        }
        for table in TABLES {
            for column in table.columns {
                let oid = [root, &[schema::OBJECTS_SUBID, table.subid, 1, column.subid]].concat();
                objects.push((oid, ObjectSource::Column(table, column)));
            }
        }
        objects.sort_by(|a, b| a.0.cmp(&b.0));
        let names = |front: &crate::instrumentation::Front, scope| -> Vec<Arc<str>> {
            match scope {
                Scope::Class => front.classes.clone(),
                Scope::Tenant => front
                    .tenants
                    .iter()
                    .map(|(name, _)| Arc::clone(name))
                    .collect(),
            }
        };
        let row_keys = [Scope::Class, Scope::Tenant].map(|scope| {
            let of = |front: &crate::instrumentation::Front| {
                let key = |name: Arc<str>| RowKey {
                    scope,
                    front: Arc::clone(&front.name),
                    name,
                };
                names(front, scope).into_iter().map(key).collect()
            };
            instrumentation.fronts.iter().map(of).collect()
        });
        let mut fronts: Vec<(Oid, usize)> = instrumentation
            .fronts
            .iter()
            .enumerate()
            .map(|(n, f)| (text_index(&f.name), n))
            .collect();
        fronts.sort();
        let static_rows = |scope: Option<Scope>, sub_count: usize| -> StaticRows {
            let mut all = vec![];
            for (n, front) in instrumentation.fronts.iter().enumerate() {
                let names_of_scope = scope.map_or_else(|| vec![Arc::from("")], |s| names(front, s));
                for (name_index, name) in names_of_scope.iter().enumerate() {
                    let mut index = text_index(&front.name);
                    if scope.is_some() {
                        index.extend(text_index(name));
                    }
                    if sub_count == 0 {
                        all.push((
                            index,
                            StaticRow {
                                front: n,
                                name_index,
                                sub_index: 0,
                            },
                        ));
                    } else {
                        for sub_index in 0..sub_count {
                            let mut index = index.clone();
                            index.push(u32::try_from(sub_index + 1).unwrap_or(u32::MAX));
                            all.push((
                                index,
                                StaticRow {
                                    front: n,
                                    name_index,
                                    sub_index,
                                },
                            ));
                        }
                    }
                }
            }
            all.sort_by(|a, b| a.0.cmp(&b.0));
            all
        };
        let (class, tenant) = (Some(Scope::Class), Some(Scope::Tenant));
        let (rejections, failures, outcomes) = (
            schema::rejection_reasons().count(),
            schema::failure_reasons().count(),
            schema::attempt_outcomes().count(),
        );
        let tables = vec![
            (TableKind::Front, static_rows(None, 0)),
            (TableKind::Class, static_rows(class, 0)),
            (TableKind::ClassRefused, static_rows(class, rejections)),
            (TableKind::ClassFailed, static_rows(class, failures)),
            (TableKind::ClassAttempt, static_rows(class, outcomes)),
            (TableKind::ClassTime, static_rows(class, LATENCY_BUCKETS)),
            (TableKind::Tenant, static_rows(tenant, 0)),
            (TableKind::TenantRefused, static_rows(tenant, rejections)),
            (TableKind::TenantFailed, static_rows(tenant, failures)),
            (TableKind::TenantAttempt, static_rows(tenant, outcomes)),
            (TableKind::TenantTime, static_rows(tenant, LATENCY_BUCKETS)),
        ];
        Self {
            objects,
            static_rows: tables,
            fronts,
            row_keys,
        }
    }

    /// Returns the object whose OID is a prefix of `name`.
    fn object(&self, name: &[u32]) -> Option<&(Oid, ObjectSource)> {
        let at = self
            .objects
            .partition_point(|(oid, _)| oid.as_slice() <= name);
        self.objects[..at]
            .last()
            .filter(|(oid, _)| name.starts_with(oid))
    }
}

/// The agent's own state, collected when a snapshot is taken.
#[derive(Clone, Debug, Default)]
pub struct AgentState {
    /// The scalars whose values the engine itself holds, by group and subidentifier.
    pub scalars: Vec<(&'static str, u32, Value)>,
    /// Each receiver's address, number of queued notifications and delivery counts.
    pub receivers: Vec<(String, usize, valehatch_notifications::DeliveryCounts)>,
    /// Resource use of the process.
    pub process: ProcessStatus,
}

/// The values of all managed objects at one moment.
pub struct MibSnapshot {
    instrumentation: Arc<Instrumentation>,
    layout: Arc<MibLayout>,
    counters: Arc<PublishedCounters>,
    core_snapshots: Vec<Option<Arc<CoreSnapshot>>>,
    state: AgentState,
    now: Time,
}

fn gauge(n: u64) -> Value {
    Value::Gauge32(u32::try_from(n).unwrap_or(u32::MAX))
}

fn text(t: &str) -> Value {
    Value::OctetString(t.as_bytes().to_vec())
}

const fn truth_value(b: bool) -> Value {
    Value::Integer(if b { 1 } else { 2 })
}

fn millis(span: Span) -> u64 {
    u64::try_from(span.0 / 1000).unwrap_or(0)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn per_mille(n: f64) -> u64 {
    (n * 1000.0).max(0.0) as u64
}

impl MibSnapshot {
    /// Takes a snapshot of the current state.
    #[must_use]
    pub fn take(
        instrumentation: &Arc<Instrumentation>,
        layout: &Arc<MibLayout>,
        state: AgentState,
    ) -> Self {
        Self {
            counters: instrumentation.counters.load_full(),
            core_snapshots: instrumentation
                .fronts
                .iter()
                .map(|front| front.core_snapshot.load_full())
                .collect(),
            now: instrumentation.clock.now(),
            instrumentation: Arc::clone(instrumentation),
            layout: Arc::clone(layout),
            state,
        }
    }

    /// Returns the value of the instance `name`, or the exception for it.
    #[must_use]
    pub fn get(&self, name: &[u32]) -> Value {
        let Some((oid, source)) = self.layout.object(name) else {
            return Value::NoSuchObject;
        };
        let index = &name[oid.len()..];
        let value = match source {
            ObjectSource::Scalar(group, object) if index == [0] => self.scalar(group, object),
            ObjectSource::Scalar(..) => None,
            ObjectSource::Column(table, column) => self.column_value(table, column, index),
        };
        value.unwrap_or(Value::NoSuchInstance)
    }

    /// Returns the first visible instance after `name`, with its value. `visible` says whether an
    /// instance is in the view, `any_visible` whether an object may have any instance in it.
    #[must_use]
    pub fn next(
        &self,
        name: &[u32],
        visible: impl Fn(&[u32]) -> bool,
        any_visible: impl Fn(&[u32]) -> bool,
    ) -> Option<(Oid, Value)> {
        let objects = &self.layout.objects;
        let from = objects.partition_point(|(oid, _)| oid.as_slice() <= name);
        // `name` may be an instance of the preceding object, or lie between its instances.
        for (oid, source) in &objects[from.saturating_sub(1)..] {
            if oid.as_slice() < name && !name.starts_with(oid) || !any_visible(oid) {
                continue;
            }
            match source {
                ObjectSource::Scalar(group, object) => {
                    let instance = [&oid[..], &[0]].concat();
                    let is_wanted = instance.as_slice() > name && visible(&instance);
                    if let Some(value) = self.scalar(group, object).filter(|_| is_wanted) {
                        return Some((instance, value));
                    }
                }
                ObjectSource::Column(table, column) => {
                    let mut after: Option<Oid> =
                        name.strip_prefix(oid.as_slice()).map(<[u32]>::to_vec);
                    while let Some(index) = self.next_row(table.kind, after.as_deref()) {
                        let instance = [&oid[..], &index].concat();
                        let is_wanted = visible(&instance);
                        if let Some(value) = self
                            .column_value(table, column, &index)
                            .filter(|_| is_wanted)
                        {
                            return Some((instance, value));
                        }
                        after = Some(index);
                    }
                }
            }
        }
        None
    }

    /// Returns the index of the first row after `after`.
    fn next_row(&self, kind: TableKind, after: Option<&[u32]>) -> Option<Oid> {
        match kind {
            TableKind::Group => {
                let count = |core: &CoreSnapshot| core.live.groups.len();
                self.next_dynamic_row(after, count, |core, n| {
                    u32::from(core.live.groups[n].group.0) + 1
                })
            }
            TableKind::Member => {
                let count = |core: &CoreSnapshot| core.live.endpoints.len();
                self.next_dynamic_row(after, count, |core, n| {
                    core.live.endpoints[n].view.endpoint.0
                })
            }
            TableKind::Receiver => {
                let last = after.map_or(0, |a| a.first().copied().unwrap_or(0));
                (usize::try_from(last).ok()? < self.state.receivers.len()).then(|| vec![last + 1])
            }
            _ => {
                let static_rows = self.static_rows(kind)?;
                let at = after.map_or(0, |a| {
                    static_rows.partition_point(|(index, _)| index.as_slice() <= a)
                });
                static_rows.get(at).map(|(index, _)| index.clone())
            }
        }
    }

    fn static_rows(&self, kind: TableKind) -> Option<&StaticRows> {
        self.layout
            .static_rows
            .iter()
            .find(|(of, _)| *of == kind)
            .map(|(_, static_rows)| static_rows)
    }

    /// [`Self::next_row`] for tables whose rows change while the program runs: each front has its
    /// own, sorted by number.
    fn next_dynamic_row(
        &self,
        after: Option<&[u32]>,
        count: impl Fn(&CoreSnapshot) -> usize,
        number: impl Fn(&CoreSnapshot, usize) -> u32,
    ) -> Option<Oid> {
        for (index, front) in &self.layout.fronts {
            let Some(core) = &self.core_snapshots[*front] else {
                continue;
            };
            let from = match after {
                None => 0,
                Some(after) => match after.strip_prefix(index.as_slice()) {
                    // `after` is the front's name alone, or the name and a number.
                    Some([]) => 0,
                    Some([last, ..]) => partition_point(count(core), |n| number(core, n) <= *last),
                    None if index.as_slice().cmp(after) == Ordering::Less => continue,
                    None => 0,
                },
            };
            if from < count(core) {
                return Some([&index[..], &[number(core, from)]].concat());
            }
        }
        None
    }

    /// Splits the index of a group or endpoint into its front's core snapshot and its number.
    fn dynamic_row(&self, index: &[u32]) -> Option<(&CoreSnapshot, u32)> {
        let (last, name) = index.split_last()?;
        let front = self
            .layout
            .fronts
            .iter()
            .find(|(oid, _)| oid.as_slice() == name)?
            .1;
        Some((self.core_snapshots[front].as_deref()?, *last))
    }

    fn column_value(&self, table: &Table, column: &Object, index: &[u32]) -> Option<Value> {
        match table.kind {
            TableKind::Group => {
                let (core, number) = self.dynamic_row(index)?;
                let groups = &core.live.groups;
                let at = groups
                    .binary_search_by_key(&number, |g| u32::from(g.group.0) + 1)
                    .ok()?;
                Some(group(column, &groups[at], core))
            }
            TableKind::Member => {
                let (core, number) = self.dynamic_row(index)?;
                let endpoints = &core.live.endpoints;
                let at = endpoints
                    .binary_search_by_key(&number, |m| m.view.endpoint.0)
                    .ok()?;
                Some(endpoint(column, &endpoints[at], core.live.taken_at))
            }
            TableKind::Receiver => {
                let [number] = index else { return None };
                self.receiver(column, usize::try_from(number.checked_sub(1)?).ok()?)
            }
            kind => {
                let static_rows = self.static_rows(kind)?;
                let at = static_rows
                    .binary_search_by(|(i, _)| i.as_slice().cmp(index))
                    .ok()?;
                self.static_value(kind, column, static_rows[at].1)
            }
        }
    }

    fn static_value(&self, kind: TableKind, column: &Object, at: StaticRow) -> Option<Value> {
        let scope = match kind {
            TableKind::Front => return Some(self.front(column, at.front)),
            TableKind::Tenant
            | TableKind::TenantRefused
            | TableKind::TenantFailed
            | TableKind::TenantAttempt
            | TableKind::TenantTime => 1,
            _ => 0,
        };
        let key = self.layout.row_keys[scope]
            .get(at.front)?
            .get(at.name_index)?;
        let row = self.counters.counters.get(key);
        let count = |counter: Counter| Value::Counter64(row.map_or(0, |r| r.get(counter)));
        let counted = |mut all: Box<dyn Iterator<Item = (u32, &'static str, Counter)>>| {
            let (_, name, counter) = all.nth(at.sub_index)?;
            Some(if column.subid == 2 {
                text(name)
            } else {
                count(counter)
            })
        };
        match kind {
            TableKind::ClassRefused | TableKind::TenantRefused => {
                counted(Box::new(schema::rejection_reasons()))
            }
            TableKind::ClassFailed | TableKind::TenantFailed => {
                counted(Box::new(schema::failure_reasons()))
            }
            TableKind::ClassAttempt | TableKind::TenantAttempt => {
                counted(Box::new(schema::attempt_outcomes()))
            }
            TableKind::ClassTime | TableKind::TenantTime => Some(if column.subid == 2 {
                gauge(
                    LATENCY_BOUNDS_US
                        .get(at.sub_index)
                        .copied()
                        .unwrap_or(u64::MAX),
                )
            } else {
                count(Counter::LatencyBucket(at.sub_index))
            }),
            _ => self
                .outcome_counts(column, key, row)
                .or_else(|| self.quota_value(column, at)),
        }
    }

    fn outcome_counts(
        &self,
        column: &Object,
        key: &RowKey,
        row: Option<&CounterRow>,
    ) -> Option<Value> {
        let sum = |of: fn(&CounterRow) -> u64| Value::Counter64(row.map_or(0, of));
        Some(match column.subid {
            3 => sum(CounterRow::finished),
            4 => sum(|r| r.get(Counter::InTime)),
            5 => sum(|r| r.get(Counter::Late)),
            6 => sum(CounterRow::rejected),
            7 => sum(CounterRow::failed),
            8 => sum(|r| r.get(Counter::Aborted)),
            9 => sum(CounterRow::attempts),
            10 => gauge(self.counters.p99.get(key).copied().unwrap_or(0)),
            11 => gauge(row.map_or(0, |r| {
                let per_mille =
                    u128::from(r.get(Counter::InTime)) * 1000 / u128::from(r.finished().max(1));
                u64::try_from(per_mille).unwrap_or(0)
            })),
            _ => return None,
        })
    }

    fn quota_value(&self, column: &Object, at: StaticRow) -> Option<Value> {
        let quota_per_s = self
            .instrumentation
            .fronts
            .get(at.front)?
            .tenants
            .get(at.name_index)?
            .1;
        let rate = self.core_snapshots[at.front]
            .as_ref()
            .and_then(|core| core.live.request_rates.get(at.name_index))
            .copied()
            .unwrap_or(0);
        #[allow(clippy::cast_precision_loss)]
        let quota_use = rate as f64 / quota_per_s.max(1e-9);
        Some(match column.subid {
            12 => gauge(per_mille(quota_per_s)),
            13 => gauge(rate),
            14 => gauge(per_mille(quota_use)),
            15..=22 => {
                let queue = self.core_snapshots[at.front]
                    .as_ref()
                    .and_then(|core| core.live.tenant_queues.get(at.name_index));
                let queue = queue.copied().unwrap_or_default();
                match column.subid {
                    15 => gauge(queue.waiting),
                    16 => gauge(millis(queue.oldest)),
                    17 => Value::Counter64(queue.received),
                    18 => Value::Counter64(queue.admitted),
                    19 => Value::Counter64(queue.admitted_cost_us),
                    20 => Value::Counter64(queue.hints_given),
                    21 => Value::Counter64(queue.hints_honoured),
                    _ => Value::Counter64(u64::try_from(queue.hint_lateness.0).unwrap_or(0)),
                }
            }
            _ => return None,
        })
    }

    fn front(&self, column: &Object, n: usize) -> Value {
        let front = &self.instrumentation.fronts[n];
        let core = self.core_snapshots[n].as_deref();
        let open = core.map_or_else(OpenCounts::default, |core| core.live.open);
        match column.subid {
            2 => text(front.protocol),
            3 => text(&front.listen),
            4 => gauge(open.requests as u64),
            5 => gauge(open.upstream_connections as u64),
            6 => gauge(open.client_connections as u64),
            7 => gauge(core.map_or(0, |core| core.queue_length as u64)),
            8 => Value::Counter64(core.map_or(0, |core| core.live.turns)),
            9 => gauge(core.map_or(u64::MAX, |core| millis(self.now - core.live.taken_at))),
            _ => truth_value(core.is_some_and(|core| core.live.shutting_down)),
        }
    }

    fn receiver(&self, column: &Object, n: usize) -> Option<Value> {
        let (address, waiting, counts) = self.state.receivers.get(n)?;
        Some(match column.subid {
            2 => text(address),
            3 => gauge(*waiting as u64),
            4 => Value::Counter64(counts.sent),
            5 => Value::Counter64(counts.acknowledged),
            6 => Value::Counter64(counts.given_up),
            _ => Value::Counter64(counts.dropped),
        })
    }

    fn scalar(&self, group: &ScalarGroup, object: &Object) -> Option<Value> {
        let status = &self.counters.status;
        let from_engine = self
            .state
            .scalars
            .iter()
            .find(|(name, subid, _)| *name == group.name && *subid == object.subid);
        if let Some((_, _, value)) = from_engine {
            return Some(value.clone());
        }
        Some(match (group.name, object.subid) {
            ("vhGateway", 1) => text(&self.instrumentation.name),
            ("vhGateway", 2) => text(self.instrumentation.version),
            ("vhGateway", 3) => Value::Counter64(self.instrumentation.started_ms),
            ("vhGateway", 4) => Value::Counter64(status.since_ms),
            ("vhState", 1) => truth_value(status.durable),
            ("vhState", 2) => text(status.fault.as_deref().unwrap_or("")),
            ("vhState", 3) => Value::Counter64(status.fault_count),
            ("vhState", 4) => Value::Counter64(status.last_sequence),
            ("vhState", 5) => Value::Counter64(status.records_written),
            ("vhState", 6) => Value::Counter64(status.bytes_written),
            ("vhState", 7) => gauge(status.segment),
            ("vhState", 8) => Value::Counter64(status.checkpoints_written),
            ("vhState", 9) => Value::Counter64(self.instrumentation.dropped_record_count()),
            ("vhState", 10) => Value::Counter64(self.counters.counters.unlogged),
            ("vhState", 11) => gauge((self.instrumentation.queued_records)() as u64),
            ("vhLog", _) => Value::Counter64(valehatch_net::log::suppressed_lines()),
            ("vhProcess", 1) => gauge(self.state.process.memory_kb),
            ("vhProcess", 2) => gauge(self.state.process.descriptors),
            ("vhProcess", 3) => gauge(self.state.process.threads),
            ("vhProcess", 4) => Value::Counter64(self.state.process.cpu_ms),
            _ => return None,
        })
    }
}

/// Returns the first position below `count` for which `holds` is false, by binary search.
fn partition_point(count: usize, holds: impl Fn(usize) -> bool) -> usize {
    let (mut low, mut high) = (0, count);
    while low < high {
        let middle = usize::midpoint(low, high);
        if holds(middle) {
            low = middle + 1
        } else {
            high = middle
        }
    }
    low
}

/// The enumeration value of how a primary is known (vhGroupKnown, vhNotifyKnown).
#[must_use]
pub const fn evidence_number(evidence: PrimaryEvidence) -> i64 {
    match evidence {
        PrimaryEvidence::Unknown => 1,
        PrimaryEvidence::EndpointList => 2,
        PrimaryEvidence::Answer => 3,
        PrimaryEvidence::LoadReport => 4,
        PrimaryEvidence::Search => 5,
    }
}

/// The enumeration value of an endpoint's health (vhMemberReach, vhNotifyReach).
#[must_use]
pub const fn health_number(health: EndpointHealth) -> i64 {
    match health {
        EndpointHealth::Healthy => 1,
        EndpointHealth::Unresponsive => 2,
        EndpointHealth::Unreachable => 3,
    }
}

fn group(column: &Object, group: &GroupView, core: &CoreSnapshot) -> Value {
    let at = core.live.taken_at;
    match column.subid {
        3 => gauge(group.primary.map_or(0, |p| u64::from(p.0))),
        4 => {
            let endpoints = &core.live.endpoints;
            let position = group
                .primary
                .and_then(|p| endpoints.binary_search_by_key(&p, |m| m.view.endpoint).ok());
            position.map_or_else(|| text(""), |n| text(&endpoints[n].name))
        }
        5 => Value::Integer(evidence_number(group.known)),
        6 => gauge(millis(at - group.since) / 1000),
        7 => Value::Counter64(group.changes),
        8 => truth_value(group.searching.is_some()),
        9 => gauge(group.searching.map_or(0, |since| millis(at - since))),
        10 => gauge(group.queued_writes as u64),
        _ => gauge(group.waiting as u64),
    }
}

fn endpoint(column: &Object, endpoint: &LiveEndpoint, at: Time) -> Value {
    let view = &endpoint.view;
    match column.subid {
        3 => text(&endpoint.name),
        4 => text(&endpoint.address),
        5 => gauge(u64::from(view.group.0)),
        6 => Value::Integer(match view.role {
            None => 1,
            Some(Role::Primary) => 2,
            Some(Role::Replica) => 3,
        }),
        7 => Value::Integer(match view.state {
            EndpointState::Ready => 1,
            EndpointState::Draining => 2,
            EndpointState::Removed => 3,
        }),
        8 => Value::Integer(health_number(view.health)),
        9 => gauge(view.in_flight as u64),
        10 => gauge(per_mille(view.limit)),
        11 => gauge(view.position.map_or(u64::MAX, |p| millis(at - p))),
        _ => gauge(view.warm.map_or(1000, per_mille)),
    }
}
