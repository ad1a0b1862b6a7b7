//! A picture: all that the agent shows, at one moment, found by name without being made first. It holds what the cores and
//! the ledger published, by reference; a name is searched in the sorted rows of its table, and nothing is copied.

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
use crate::schema::{self, At, Object, Rows, Scalars, TABLES, Table};

/// A value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A whole number.
    Integer(i64),
    /// Bytes, or text.
    Bytes(Vec<u8>),
    /// A name.
    Name(Vec<u32>),
    /// 32 bits, never falls.
    Counter32(u32),
    /// 32 bits.
    Gauge(u32),
    /// Hundredths of a second.
    Ticks(u32),
    /// 64 bits, never falls.
    Counter64(u64),
    /// There is no such object.
    NoSuchObject,
    /// The object has no such instance.
    NoSuchInstance,
    /// Nothing comes behind.
    EndOfView,
}

/// A name in the tree.
pub type Oid = Vec<u32>;

/// What a static row is about.
#[derive(Clone, Copy, Debug)]
struct Place {
    front: usize,
    /// A class or a tenant.
    item: usize,
    /// A reason, an outcome, a bucket: its place.
    part: usize,
}

/// The rows of a table that stay the same while the program runs, sorted by index.
type Fixed = Vec<(Oid, Place)>;

/// An object's place in the tree, and where its value comes from.
#[derive(Clone, Copy, Debug)]
enum Source {
    Scalar(&'static Scalars, &'static Object),
    Column(&'static Table, &'static Object),
}

/// What does not change while the program runs: the objects in their order and the rows of most tables.
pub struct Layout {
    objects: Vec<(Oid, Source)>,
    fixed: Vec<(Rows, Fixed)>,
    /// Fronts in the order of their index.
    fronts: Vec<(Oid, usize)>,
    keys: [Vec<Vec<RowKey>>; 2],
}

fn text_index(text: &str) -> Oid {
    let mut oid = vec![u32::try_from(text.len()).unwrap_or(0)];
    oid.extend(text.bytes().map(u32::from));
    oid
}

impl Layout {
    /// For what the instrumentation has, below a root.
    #[must_use]
    pub fn new(instrumentation: &Instrumentation, root: &[u32]) -> Self {
        let mut objects = vec![];
        for scalars in schema::SCALARS {
            let under = match scalars.at {
                At::Other(oid) => oid.to_vec(),
                At::Own(arc) => [root, &[schema::OBJECTS, arc]].concat(),
            };
            for object in scalars.objects {
                let oid = [&under[..], &[object.arc]].concat();
                objects.push((oid, Source::Scalar(scalars, object)));
            }
        }
        for table in TABLES {
            for column in table.columns {
                let oid = [root, &[schema::OBJECTS, table.arc, 1, column.arc]].concat();
                objects.push((oid, Source::Column(table, column)));
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
        let keys = [Scope::Class, Scope::Tenant].map(|scope| {
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
        let rows = |scope: Option<Scope>, parts: usize| -> Fixed {
            let mut all = vec![];
            for (n, front) in instrumentation.fronts.iter().enumerate() {
                let items = scope.map_or_else(|| vec![Arc::from("")], |s| names(front, s));
                for (item, name) in items.iter().enumerate() {
                    let mut index = text_index(&front.name);
                    if scope.is_some() {
                        index.extend(text_index(name));
                    }
                    if parts == 0 {
                        all.push((
                            index,
                            Place {
                                front: n,
                                item,
                                part: 0,
                            },
                        ));
                    } else {
                        for part in 0..parts {
                            let mut index = index.clone();
                            index.push(u32::try_from(part + 1).unwrap_or(u32::MAX));
                            all.push((
                                index,
                                Place {
                                    front: n,
                                    item,
                                    part,
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
        let (refusals, faults, outcomes) = (
            schema::refusals().count(),
            schema::faults().count(),
            schema::outcomes().count(),
        );
        let fixed = vec![
            (Rows::Front, rows(None, 0)),
            (Rows::Class, rows(class, 0)),
            (Rows::ClassRefused, rows(class, refusals)),
            (Rows::ClassFailed, rows(class, faults)),
            (Rows::ClassAttempt, rows(class, outcomes)),
            (Rows::ClassTime, rows(class, LATENCY_BUCKETS)),
            (Rows::Tenant, rows(tenant, 0)),
            (Rows::TenantRefused, rows(tenant, refusals)),
            (Rows::TenantFailed, rows(tenant, faults)),
            (Rows::TenantAttempt, rows(tenant, outcomes)),
            (Rows::TenantTime, rows(tenant, LATENCY_BUCKETS)),
        ];
        Self {
            objects,
            fixed,
            fronts,
            keys,
        }
    }

    /// Whether there is an object of which this could be an instance.
    fn object(&self, name: &[u32]) -> Option<&(Oid, Source)> {
        let at = self
            .objects
            .partition_point(|(oid, _)| oid.as_slice() <= name);
        self.objects[..at]
            .last()
            .filter(|(oid, _)| name.starts_with(oid))
    }
}

/// The agent's own figures, gathered when a picture is taken.
#[derive(Clone, Debug, Default)]
pub struct Own {
    /// Values of the scalars that the engine itself knows, by group and number.
    pub scalars: Vec<(&'static str, u32, Value)>,
    /// Of each receiver: its address, what waits, and what became of the rest.
    pub receivers: Vec<(String, usize, valehatch_notifications::DeliveryCounts)>,
    /// The process.
    pub process: ProcessStatus,
}

/// All that is shown, at one moment.
pub struct Picture {
    instrumentation: Arc<Instrumentation>,
    layout: Arc<Layout>,
    shown: Arc<PublishedCounters>,
    boards: Vec<Option<Arc<CoreSnapshot>>>,
    own: Own,
    now: Time,
}

fn gauge(n: u64) -> Value {
    Value::Gauge(u32::try_from(n).unwrap_or(u32::MAX))
}

fn text(t: &str) -> Value {
    Value::Bytes(t.as_bytes().to_vec())
}

const fn truth(b: bool) -> Value {
    Value::Integer(if b { 1 } else { 2 })
}

fn millis(span: Span) -> u64 {
    u64::try_from(span.0 / 1000).unwrap_or(0)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn thousandths(n: f64) -> u64 {
    (n * 1000.0).max(0.0) as u64
}

impl Picture {
    /// What is shown now.
    #[must_use]
    pub fn take(instrumentation: &Arc<Instrumentation>, layout: &Arc<Layout>, own: Own) -> Self {
        Self {
            shown: instrumentation.counters.load_full(),
            boards: instrumentation
                .fronts
                .iter()
                .map(|f| f.core_snapshot.load_full())
                .collect(),
            now: instrumentation.clock.now(),
            instrumentation: Arc::clone(instrumentation),
            layout: Arc::clone(layout),
            own,
        }
    }

    /// The value of an instance.
    #[must_use]
    pub fn get(&self, name: &[u32]) -> Value {
        let Some((oid, source)) = self.layout.object(name) else {
            return Value::NoSuchObject;
        };
        let index = &name[oid.len()..];
        let value = match source {
            Source::Scalar(scalars, object) if index == [0] => self.scalar(scalars, object),
            Source::Scalar(..) => None,
            Source::Column(table, column) => self.cell(table, column, index),
        };
        value.unwrap_or(Value::NoSuchInstance)
    }

    /// The first instance behind a name that may be seen, with its value. `seen` is asked of instances, `any` whether
    /// anything below an object may be seen at all.
    #[must_use]
    pub fn next(
        &self,
        name: &[u32],
        seen: impl Fn(&[u32]) -> bool,
        any: impl Fn(&[u32]) -> bool,
    ) -> Option<(Oid, Value)> {
        let objects = &self.layout.objects;
        let from = objects.partition_point(|(oid, _)| oid.as_slice() <= name);
        // The object just before may be the one whose instances the name stands among.
        for (oid, source) in &objects[from.saturating_sub(1)..] {
            if oid.as_slice() < name && !name.starts_with(oid) || !any(oid) {
                continue;
            }
            match source {
                Source::Scalar(scalars, object) => {
                    let instance = [&oid[..], &[0]].concat();
                    let wanted = instance.as_slice() > name && seen(&instance);
                    if let Some(value) = self.scalar(scalars, object).filter(|_| wanted) {
                        return Some((instance, value));
                    }
                }
                Source::Column(table, column) => {
                    let mut after: Option<Oid> =
                        name.strip_prefix(oid.as_slice()).map(<[u32]>::to_vec);
                    while let Some(index) = self.next_row(table.rows, after.as_deref()) {
                        let instance = [&oid[..], &index].concat();
                        let wanted = seen(&instance);
                        if let Some(value) = self.cell(table, column, &index).filter(|_| wanted) {
                            return Some((instance, value));
                        }
                        after = Some(index);
                    }
                }
            }
        }
        None
    }

    /// The index of the first row behind one.
    fn next_row(&self, rows: Rows, after: Option<&[u32]>) -> Option<Oid> {
        match rows {
            Rows::Group => {
                let count = |b: &CoreSnapshot| b.live.groups.len();
                self.next_numbered(after, count, |b, n| u32::from(b.live.groups[n].group.0) + 1)
            }
            Rows::Member => {
                let count = |b: &CoreSnapshot| b.live.endpoints.len();
                self.next_numbered(after, count, |b, n| b.live.endpoints[n].view.endpoint.0)
            }
            Rows::Receiver => {
                let last = after.map_or(0, |a| a.first().copied().unwrap_or(0));
                (usize::try_from(last).ok()? < self.own.receivers.len()).then(|| vec![last + 1])
            }
            _ => {
                let fixed = self.fixed(rows)?;
                let at = after.map_or(0, |a| {
                    fixed.partition_point(|(index, _)| index.as_slice() <= a)
                });
                fixed.get(at).map(|(index, _)| index.clone())
            }
        }
    }

    fn fixed(&self, rows: Rows) -> Option<&Fixed> {
        self.layout
            .fixed
            .iter()
            .find(|(of, _)| *of == rows)
            .map(|(_, fixed)| fixed)
    }

    /// The same where each front has rows of its own, sorted by number.
    fn next_numbered(
        &self,
        after: Option<&[u32]>,
        count: impl Fn(&CoreSnapshot) -> usize,
        number: impl Fn(&CoreSnapshot, usize) -> u32,
    ) -> Option<Oid> {
        for (index, front) in &self.layout.fronts {
            let Some(board) = &self.boards[*front] else {
                continue;
            };
            let from = match after {
                None => 0,
                Some(after) => match after.strip_prefix(index.as_slice()) {
                    // The first number that is beyond, where there is one behind the front's name.
                    Some([]) => 0,
                    Some([last, ..]) => partition(count(board), |n| number(board, n) <= *last),
                    None if index.as_slice().cmp(after) == Ordering::Less => continue,
                    None => 0,
                },
            };
            if from < count(board) {
                return Some([&index[..], &[number(board, from)]].concat());
            }
        }
        None
    }

    /// A front's row, and the number behind its name.
    fn numbered(&self, index: &[u32]) -> Option<(&CoreSnapshot, u32)> {
        let (last, name) = index.split_last()?;
        let front = self
            .layout
            .fronts
            .iter()
            .find(|(oid, _)| oid.as_slice() == name)?
            .1;
        Some((self.boards[front].as_deref()?, *last))
    }

    fn cell(&self, table: &Table, column: &Object, index: &[u32]) -> Option<Value> {
        match table.rows {
            Rows::Group => {
                let (board, number) = self.numbered(index)?;
                let groups = &board.live.groups;
                let at = groups
                    .binary_search_by_key(&number, |g| u32::from(g.group.0) + 1)
                    .ok()?;
                Some(group(column, &groups[at], board))
            }
            Rows::Member => {
                let (board, number) = self.numbered(index)?;
                let members = &board.live.endpoints;
                let at = members
                    .binary_search_by_key(&number, |m| m.view.endpoint.0)
                    .ok()?;
                Some(member(column, &members[at], board.live.taken_at))
            }
            Rows::Receiver => {
                let [number] = index else { return None };
                self.receiver(column, usize::try_from(number.checked_sub(1)?).ok()?)
            }
            rows => {
                let fixed = self.fixed(rows)?;
                let at = fixed
                    .binary_search_by(|(i, _)| i.as_slice().cmp(index))
                    .ok()?;
                self.fixed_cell(rows, column, fixed[at].1)
            }
        }
    }

    fn fixed_cell(&self, rows: Rows, column: &Object, at: Place) -> Option<Value> {
        let scope = match rows {
            Rows::Front => return Some(self.front(column, at.front)),
            Rows::Tenant
            | Rows::TenantRefused
            | Rows::TenantFailed
            | Rows::TenantAttempt
            | Rows::TenantTime => 1,
            _ => 0,
        };
        let key = self.layout.keys[scope].get(at.front)?.get(at.item)?;
        let row = self.shown.counters.get(key);
        let count = |cell: Counter| Value::Counter64(row.map_or(0, |r| r.get(cell)));
        let counted = |mut all: Box<dyn Iterator<Item = (u32, &'static str, Counter)>>| {
            let (_, name, cell) = all.nth(at.part)?;
            Some(if column.arc == 2 {
                text(name)
            } else {
                count(cell)
            })
        };
        match rows {
            Rows::ClassRefused | Rows::TenantRefused => counted(Box::new(schema::refusals())),
            Rows::ClassFailed | Rows::TenantFailed => counted(Box::new(schema::faults())),
            Rows::ClassAttempt | Rows::TenantAttempt => counted(Box::new(schema::outcomes())),
            Rows::ClassTime | Rows::TenantTime => Some(if column.arc == 2 {
                gauge(LATENCY_BOUNDS_US.get(at.part).copied().unwrap_or(u64::MAX))
            } else {
                count(Counter::LatencyBucket(at.part))
            }),
            _ => self
                .ends(column, key, row)
                .or_else(|| self.budget(column, at)),
        }
    }

    fn ends(&self, column: &Object, key: &RowKey, row: Option<&CounterRow>) -> Option<Value> {
        let sum = |of: fn(&CounterRow) -> u64| Value::Counter64(row.map_or(0, of));
        Some(match column.arc {
            3 => sum(CounterRow::finished),
            4 => sum(|r| r.get(Counter::InTime)),
            5 => sum(|r| r.get(Counter::Late)),
            6 => sum(CounterRow::rejected),
            7 => sum(CounterRow::failed),
            8 => sum(|r| r.get(Counter::Aborted)),
            9 => sum(CounterRow::attempts),
            10 => gauge(self.shown.p99.get(key).copied().unwrap_or(0)),
            11 => gauge(row.map_or(0, |r| {
                let parts =
                    u128::from(r.get(Counter::InTime)) * 1000 / u128::from(r.finished().max(1));
                u64::try_from(parts).unwrap_or(0)
            })),
            _ => return None,
        })
    }

    fn budget(&self, column: &Object, at: Place) -> Option<Value> {
        let allowance = self
            .instrumentation
            .fronts
            .get(at.front)?
            .tenants
            .get(at.item)?
            .1;
        let rate = self.boards[at.front]
            .as_ref()
            .and_then(|b| b.live.request_rates.get(at.item))
            .copied()
            .unwrap_or(0);
        #[allow(clippy::cast_precision_loss)]
        let used = rate as f64 / allowance.max(1e-9);
        Some(match column.arc {
            12 => gauge(thousandths(allowance)),
            13 => gauge(rate),
            14 => gauge(thousandths(used)),
            15..=22 => {
                let door = self.boards[at.front]
                    .as_ref()
                    .and_then(|b| b.live.tenant_queues.get(at.item));
                let door = door.copied().unwrap_or_default();
                match column.arc {
                    15 => gauge(door.waiting),
                    16 => gauge(millis(door.oldest)),
                    17 => Value::Counter64(door.received),
                    18 => Value::Counter64(door.admitted),
                    19 => Value::Counter64(door.admitted_cost_us),
                    20 => Value::Counter64(door.hints_given),
                    21 => Value::Counter64(door.hints_honoured),
                    _ => Value::Counter64(u64::try_from(door.hint_lateness.0).unwrap_or(0)),
                }
            }
            _ => return None,
        })
    }

    fn front(&self, column: &Object, n: usize) -> Value {
        let front = &self.instrumentation.fronts[n];
        let board = self.boards[n].as_deref();
        let open = board.map_or_else(OpenCounts::default, |b| b.live.open);
        match column.arc {
            2 => text(front.protocol),
            3 => text(&front.listen),
            4 => gauge(open.requests as u64),
            5 => gauge(open.upstream_connections as u64),
            6 => gauge(open.client_connections as u64),
            7 => gauge(board.map_or(0, |b| b.queue_length as u64)),
            8 => Value::Counter64(board.map_or(0, |b| b.live.turns)),
            9 => gauge(board.map_or(u64::MAX, |b| millis(self.now - b.live.taken_at))),
            _ => truth(board.is_some_and(|b| b.live.shutting_down)),
        }
    }

    fn receiver(&self, column: &Object, n: usize) -> Option<Value> {
        let (address, waiting, tally) = self.own.receivers.get(n)?;
        Some(match column.arc {
            2 => text(address),
            3 => gauge(*waiting as u64),
            4 => Value::Counter64(tally.sent),
            5 => Value::Counter64(tally.acknowledged),
            6 => Value::Counter64(tally.given_up),
            _ => Value::Counter64(tally.dropped),
        })
    }

    fn scalar(&self, scalars: &Scalars, object: &Object) -> Option<Value> {
        let status = &self.shown.status;
        let known = self
            .own
            .scalars
            .iter()
            .find(|(name, arc, _)| *name == scalars.name && *arc == object.arc);
        if let Some((_, _, value)) = known {
            return Some(value.clone());
        }
        Some(match (scalars.name, object.arc) {
            ("vhGateway", 1) => text(&self.instrumentation.name),
            ("vhGateway", 2) => text(self.instrumentation.version),
            ("vhGateway", 3) => Value::Counter64(self.instrumentation.started_ms),
            ("vhGateway", 4) => Value::Counter64(status.since_ms),
            ("vhState", 1) => truth(status.durable),
            ("vhState", 2) => text(status.fault.as_deref().unwrap_or("")),
            ("vhState", 3) => Value::Counter64(status.fault_count),
            ("vhState", 4) => Value::Counter64(status.last_sequence),
            ("vhState", 5) => Value::Counter64(status.records_written),
            ("vhState", 6) => Value::Counter64(status.bytes_written),
            ("vhState", 7) => gauge(status.segment),
            ("vhState", 8) => Value::Counter64(status.checkpoints_written),
            ("vhState", 9) => Value::Counter64(self.instrumentation.dropped_record_count()),
            ("vhState", 10) => Value::Counter64(self.shown.counters.unlogged),
            ("vhState", 11) => gauge((self.instrumentation.queued_records)() as u64),
            ("vhLog", _) => Value::Counter64(valehatch_net::log::suppressed_lines()),
            ("vhProcess", 1) => gauge(self.own.process.memory_kb),
            ("vhProcess", 2) => gauge(self.own.process.descriptors),
            ("vhProcess", 3) => gauge(self.own.process.threads),
            ("vhProcess", 4) => Value::Counter64(self.own.process.cpu_ms),
            _ => return None,
        })
    }
}

/// The first place for which something no longer holds.
fn partition(count: usize, holds: impl Fn(usize) -> bool) -> usize {
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

/// The number of a way of knowing in the MIB.
#[must_use]
pub const fn known(known: PrimaryEvidence) -> i64 {
    match known {
        PrimaryEvidence::Unknown => 1,
        PrimaryEvidence::EndpointList => 2,
        PrimaryEvidence::Answer => 3,
        PrimaryEvidence::LoadReport => 4,
        PrimaryEvidence::Search => 5,
    }
}

/// The number of a reach in the MIB.
#[must_use]
pub const fn reach(reach: EndpointHealth) -> i64 {
    match reach {
        EndpointHealth::Healthy => 1,
        EndpointHealth::Unresponsive => 2,
        EndpointHealth::Unreachable => 3,
    }
}

fn group(column: &Object, group: &GroupView, board: &CoreSnapshot) -> Value {
    let at = board.live.taken_at;
    match column.arc {
        3 => gauge(group.primary.map_or(0, |p| u64::from(p.0))),
        4 => {
            let members = &board.live.endpoints;
            let place = group
                .primary
                .and_then(|p| members.binary_search_by_key(&p, |m| m.view.endpoint).ok());
            place.map_or_else(|| text(""), |n| text(&members[n].name))
        }
        5 => Value::Integer(known(group.known)),
        6 => gauge(millis(at - group.since) / 1000),
        7 => Value::Counter64(group.changes),
        8 => truth(group.searching.is_some()),
        9 => gauge(group.searching.map_or(0, |since| millis(at - since))),
        10 => gauge(group.queued_writes as u64),
        _ => gauge(group.waiting as u64),
    }
}

fn member(column: &Object, member: &LiveEndpoint, at: Time) -> Value {
    let view = &member.view;
    match column.arc {
        3 => text(&member.name),
        4 => text(&member.address),
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
        8 => Value::Integer(reach(view.health)),
        9 => gauge(view.in_flight as u64),
        10 => gauge(thousandths(view.limit)),
        11 => gauge(view.position.map_or(u64::MAX, |p| millis(at - p))),
        _ => gauge(view.warm.map_or(1000, thousandths)),
    }
}
