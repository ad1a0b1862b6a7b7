//! The sections `[gateway]`, `[log]`, `[state]`, `[door]` and the list `[[budget]]`.

use std::path::PathBuf;
use std::sync::Arc;

use crate::reader::Section;

/// Bounds of `sockets`.
pub(super) const SOCKETS: std::ops::RangeInclusive<i64> = 64..=1_048_576;
/// Bounds of `memory-mb`.
pub(super) const MEMORY_MB: std::ops::RangeInclusive<i64> = 16..=1_048_576;
const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;
const MAX_GATEWAYS: i64 = 100_000;
const HOUR_MS: i64 = 3_600_000;
const BYTES_PER_KB: u64 = 1024;

/// The section `[gateway]`.
pub(super) struct GatewaySection {
    pub(super) name: Arc<str>,
    /// `routers`: number of gateways that share the endpoints.
    pub(super) gateways: u32,
    /// `sockets`: limit on descriptors of a front without a limit of its own.
    pub(super) sockets: usize,
    /// `memory-mb`: limit on memory of a front without a limit of its own, in megabytes.
    pub(super) memory_mb: usize,
}

impl GatewaySection {
    pub(super) fn read(root: &Section<'_>) -> Self {
        let section = root.section("gateway");
        let name = section.name("name", Some("valehatch")).into();
        let gateways = section.integer("routers", Some(1), 1..=MAX_GATEWAYS);
        let read = Self {
            name,
            gateways: u32::try_from(gateways).unwrap_or(1),
            sockets: section.size("sockets", DEFAULT_SOCKETS, SOCKETS),
            memory_mb: section.size("memory-mb", DEFAULT_MEMORY_MB, MEMORY_MB),
        };
        root.put("gateway", section.finish());
        read
    }
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Faults that require an operator's action.
    Error,
    /// Faults that may require an operator's action.
    Warn,
    /// Normal events, such as starts and changes of state.
    Info,
    /// The handling of each request.
    Debug,
}

/// The section `[log]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// `level`: the least severe level that is logged; default info.
    pub level: LogLevel,
    /// `format`: whether lines are JSON instead of text; default text.
    pub json: bool,
    /// `lines-per-s`: maximum number of lines per second, 1 to 1,000,000, default 50.
    pub lines_per_s: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            json: false,
            lines_per_s: 50,
        }
    }
}

impl LogSettings {
    pub(super) fn read(root: &Section<'_>) -> Self {
        let section = root.section("log");
        let levels = [
            ("error", LogLevel::Error),
            ("warn", LogLevel::Warn),
            ("info", LogLevel::Info),
            ("debug", LogLevel::Debug),
        ];
        let formats = [("text", false), ("json", true)];
        let lines_per_s = section.integer("lines-per-s", Some(50), 1..=1_000_000);
        let read = Self {
            level: section.choice("level", Some("info"), &levels),
            json: section.choice("format", Some("text"), &formats),
            lines_per_s: u32::try_from(lines_per_s).unwrap_or(u32::MAX),
        };
        root.put("log", section.finish());
        read
    }
}

/// `[state]`: the request log and the counters that survive a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateSettings {
    /// `dir`: the state directory.
    pub dir: PathBuf,
    /// `sync-ms`: interval at which records are made durable, in milliseconds, 1 to 10,000, default
    /// 200.
    pub sync_ms: u64,
    /// `checkpoint-ms`: interval at which a checkpoint is written, in milliseconds, 1 to 3,600,000,
    /// default 10,000.
    pub checkpoint_ms: u64,
    /// `segment-kb`: size at which a new segment of the request log is started, here in bytes; 4 to
    /// 4,194,304 KB, default 65,536 KB.
    pub segment_bytes: u64,
    /// `segments`: number of segments to keep, 2 to 10,000, default 8.
    pub segments: usize,
    /// `queue`: maximum number of records that wait to be written, 16 to 1,048,576, default 16,384.
    pub max_queued: usize,
    /// `snapshot-ms`: interval at which the snapshot for the next start is written, in
    /// milliseconds, 1 to 3,600,000, default 1,000.
    pub snapshot_ms: u64,
}

impl StateSettings {
    pub(super) fn read(root: &Section<'_>) -> Option<Self> {
        let section = root.optional_section("state")?;
        let dir = section.text("dir", None);
        if dir.is_empty() && section.has("dir") {
            section.fault("dir", "is empty");
        }
        let ms = |key: &str, default: i64, max: i64| {
            section.integer(key, Some(default), 1..=max).unsigned_abs()
        };
        let sync_ms = ms("sync-ms", 200, 10_000);
        let checkpoint_ms = ms("checkpoint-ms", 10_000, HOUR_MS);
        let segment_kb = section.integer("segment-kb", Some(65_536), 4..=4_194_304);
        let read = Self {
            dir: dir.into(),
            sync_ms,
            checkpoint_ms,
            segment_bytes: segment_kb.unsigned_abs() * BYTES_PER_KB,
            segments: section.size("segments", 8, 2..=10_000),
            max_queued: section.size("queue", 16_384, 16..=1_048_576),
            snapshot_ms: ms("snapshot-ms", 1_000, HOUR_MS),
        };
        root.put("state", section.finish());
        Some(read)
    }
}

/// `[door]`: admission control, fair queues in front of the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// `most`: maximum number of waiting requests of each front, 1 to 1,000,000, default 10,000.
    pub max_waiting: usize,
    /// `buckets`: number of buckets into which the clients of a tenant are hashed, 1 to 65,536,
    /// default 4,096.
    pub client_buckets: u32,
    /// `lanes`: maximum number of endpoint groups with waiting requests, separately for writes and
    /// for reads, 1 to 100,000, default 64.
    pub max_active_groups: usize,
}

impl AdmissionSettings {
    pub(super) fn read(root: &Section<'_>) -> Option<Self> {
        let section = root.optional_section("door")?;
        let client_buckets = section.integer("buckets", Some(4096), 1..=65_536);
        let read = Self {
            max_waiting: section.size("most", 10_000, 1..=1_000_000),
            client_buckets: u32::try_from(client_buckets).unwrap_or(1),
            max_active_groups: section.size("lanes", 64, 1..=100_000),
        };
        root.put("door", section.finish());
        Some(read)
    }
}

/// `[[budget]]`: the quota of a tenant.
pub(super) struct Budget {
    /// `name`: the name of the tenant.
    pub(super) name: String,
    /// `share`: share of the capacity, above 0 to 1.
    pub(super) share: f64,
    /// `allowance-per-s`: requests per second over all gateways, above 0 to 1e9.
    pub(super) allowance_per_s: f64,
}

pub(super) fn read_budgets(root: &Section<'_>) -> Vec<Budget> {
    let mut budgets: Vec<Budget> = vec![];
    let mut completed = vec![];
    for section in root.list("budget") {
        let budget = Budget {
            name: section.name("name", None),
            share: section.above_zero("share", None, 1.0),
            allowance_per_s: section.above_zero("allowance-per-s", None, 1e9),
        };
        if budgets.iter().any(|other| other.name == budget.name) {
            section.fault("name", format!("is {:?}, as another budget's", budget.name));
        }
        budgets.push(budget);
        completed.push(section.finish());
    }
    root.put_list("budget", completed);
    budgets
}
