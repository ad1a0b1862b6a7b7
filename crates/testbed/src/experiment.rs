//! Experiment files in TOML. Times are in milliseconds and rates in requests per second, unless
//! their names say otherwise.

use std::path::Path;

use serde::{Deserialize, Serialize};

/// An experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// Purpose of the experiment.
    pub about: String,
    /// Duration in seconds.
    pub seconds: u64,
    /// Start of the measurement, in seconds.
    #[serde(default)]
    pub measured_from: u64,
    /// Number of gateways, each with its own reducer.
    pub gateways: usize,
    /// Number of members in the single group; the first one is the initial primary.
    pub members: usize,
    /// Cores of each member.
    pub cores: usize,
    /// Queue length of each member.
    pub queue: usize,
    /// Mean one-way network delay.
    pub net_ms: f64,
    /// Replication lag of the replicas.
    pub lag_ms: f64,
    /// Longest retry-after time that gateways send to clients.
    pub max_hint_ms: f64,
    /// Limit on requests that wait in the admission control of a gateway.
    #[serde(rename = "most", default = "default_max_waiting")]
    pub max_waiting: usize,
    /// Admission modes to compare.
    #[serde(rename = "doors")]
    pub admission_modes: Vec<AdmissionMode>,
    /// Request classes; at least one.
    pub class: Vec<Class>,
    /// Tenants; at least one.
    pub tenant: Vec<Tenant>,
    /// Fault events, in any order.
    #[serde(default)]
    pub event: Vec<FaultEvent>,
}

const fn default_max_waiting() -> usize {
    10_000
}

/// Admission control in front of the decision module.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionMode {
    /// No admission control.
    None,
    /// One first-in, first-out queue for all tenants.
    Fifo,
    /// One queue per tenant, served round-robin with equal shares.
    RoundRobin,
    /// Weighted fair queueing by the tenants' shares.
    Fair,
    /// Like [`AdmissionMode::Fair`], without the tenants' bursts.
    Calm,
}

impl AdmissionMode {
    /// Name in experiment files, results and the `--door` flag.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Fifo => "fifo",
            Self::RoundRobin => "round-robin",
            Self::Fair => "fair",
            Self::Calm => "calm",
        }
    }
}

/// A request class.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Whether only the primary may run it, and a repeat is forbidden.
    #[serde(default)]
    pub write: bool,
    /// Weight of the class in the request mix.
    pub part: f64,
    /// Mean service time.
    pub work_ms: f64,
    /// Coefficient of variation of the log-normal service time.
    #[serde(default = "spread")]
    pub spread: f64,
    /// Latency objective.
    pub aim_ms: f64,
    /// Deadline; clients draw their timeouts from 0.7 of it up to all of it.
    pub deadline_ms: f64,
    /// Priority weight of a request.
    #[serde(default = "one")]
    pub worth: f64,
    /// Priority weight of a request that is answered after its latency objective.
    #[serde(default)]
    pub late_worth: f64,
}

const fn spread() -> f64 {
    0.3
}

const fn one() -> f64 {
    1.0
}

/// Reaction of clients to a rejection with a retry-after hint.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RetryBehavior {
    /// Retries exactly at the hinted time.
    #[serde(rename = "hint")]
    FollowHint,
    /// Does not retry.
    #[serde(rename = "nothing")]
    GiveUp,
    /// Ignores the hint and retries after 20 ms each time.
    #[serde(rename = "abuses")]
    RetryAtOnce,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Weight of the tenant in fair queueing.
    pub share: f64,
    /// Mean rate of a Poisson process, in requests per second.
    pub rate: f64,
    /// Number of clients; 0: a new client for each request.
    pub clients: u64,
    /// Reaction of the clients to a rejection.
    #[serde(rename = "heeds")]
    pub retry_behavior: RetryBehavior,
    /// Burst: start and end in seconds, and the factor on the rate.
    #[serde(default)]
    pub burst: Option<(f64, f64, f64)>,
    /// Allowance over all gateways, in requests per second; unlimited by default. The decision
    /// module derives a lower bound on the capacity of a member from the allowances.
    #[serde(default = "no_limit")]
    pub allowance_per_s: f64,
}

const fn no_limit() -> f64 {
    1e9
}

/// A fault event at a member.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultEvent {
    /// Time in seconds.
    pub at_s: f64,
    /// Affected member, counted from 0.
    pub member: usize,
    /// Kind of the event.
    pub what: FaultKind,
}

/// A kind of fault event.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The member dies: its connections are reset, new ones are refused. If it was the primary, the
    /// next member takes over 2 s later.
    Dies,
    /// The member restarts cold, as a replica.
    Starts,
    /// The member is listed for the first time, cold, as a replica.
    Joins,
    /// The endpoint list marks the member as draining.
    Drains,
    /// The member runs at a third of its speed.
    Slows,
    /// The member runs at its usual speed again.
    Recovers,
}

impl Experiment {
    /// Reads and validates an experiment file.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let read: Self = toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        let fault = |key: &str, what: &str| Err(format!("{}: {key} {what}", path.display()));
        if read.class.is_empty() || read.tenant.is_empty() || read.admission_modes.is_empty() {
            return fault("class, tenant, doors", "must each have one at least");
        }
        if read.members == 0
            || read.gateways == 0
            || read.cores == 0
            || read.seconds <= read.measured_from
        {
            return fault(
                "members, gateways, cores, seconds",
                "must be above 0, and measured-from below seconds",
            );
        }
        if read.event.iter().any(|e| e.member >= read.members) {
            return fault("event.member", "is none of the members, which count from 0");
        }
        Ok(read)
    }
}
