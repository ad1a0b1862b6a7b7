//! What is tried: a TOML file. Times are in milliseconds, rates in requests a second, unless their names say otherwise.

use std::path::Path;

use serde::{Deserialize, Serialize};

/// An experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is to show.
    pub about: String,
    /// How long it lasts, in seconds.
    pub seconds: u64,
    /// From when on it is measured, in seconds.
    #[serde(default)]
    pub measured_from: u64,
    /// Gateways, each with a reducer of its own.
    pub gateways: usize,
    /// Members of the one group, the first of them its primary.
    pub members: usize,
    /// Cores of each.
    pub cores: usize,
    /// Requests that may wait at each.
    pub queue: usize,
    /// One way over the network.
    pub net_ms: f64,
    /// How far replicas are behind.
    pub lag_ms: f64,
    /// The longest time to come back that clients heed.
    pub max_hint_ms: f64,
    /// Requests that may wait at a door.
    #[serde(default = "most")]
    pub most: usize,
    /// The ways that are compared.
    pub doors: Vec<Way>,
    /// The classes.
    pub class: Vec<Class>,
    /// The tenants.
    pub tenant: Vec<Tenant>,
    /// What happens.
    #[serde(default)]
    pub event: Vec<FaultEvent>,
}

const fn most() -> usize {
    10_000
}

/// What stands before the decision module.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// Nothing, as before there was a door.
    None,
    /// One queue for all.
    Fifo,
    /// Tenants in turn, whatever their share, and no more.
    RoundRobin,
    /// The door.
    Fair,
    /// The door, on a day on which no tenant asks for more than usual.
    Calm,
}

impl Way {
    /// Its name.
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

/// A class.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Only the primary takes it, and it must not be repeated.
    #[serde(default)]
    pub write: bool,
    /// How much of what is asked is of it.
    pub part: f64,
    /// Mean time of work.
    pub work_ms: f64,
    /// How much that varies: the coefficient of variation of a log-normal distribution.
    #[serde(default = "spread")]
    pub spread: f64,
    /// Wanted within.
    pub aim_ms: f64,
    /// Given up after.
    pub deadline_ms: f64,
    /// Worth of one.
    #[serde(default = "one")]
    pub worth: f64,
    /// Part of it that a late one earns.
    #[serde(default)]
    pub late_worth: f64,
}

const fn spread() -> f64 {
    0.3
}

const fn one() -> f64 {
    1.0
}

/// What a client does with a time to come back.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Heeds {
    /// Comes back then, to the microsecond.
    Hint,
    /// Does not come back.
    Nothing,
    /// Comes back at once, again and again.
    Abuses,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share.
    pub share: f64,
    /// Requests a second, as a Poisson process.
    pub rate: f64,
    /// Clients that they come from; 0: each from a new one.
    pub clients: u64,
    /// What these do when they are refused.
    pub heeds: Heeds,
    /// From when to when, in seconds, it asks so many times as often.
    #[serde(default)]
    pub burst: Option<(f64, f64, f64)>,
    /// Requests a second that it may ask of all gateways together, where that is told: from these the decision module
    /// takes what a member can do at the least.
    #[serde(default = "no_limit")]
    pub allowance_per_s: f64,
}

const fn no_limit() -> f64 {
    1e9
}

/// What happens to a member.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultEvent {
    /// When, in seconds.
    pub at_s: f64,
    /// To which.
    pub member: usize,
    /// What.
    pub what: What,
}

/// Kinds of happenings.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// It dies: its connections break, new ones are refused. Of the group the next member takes over 2 s later.
    Dies,
    /// It comes back, cold, as a replica.
    Starts,
    /// It is listed for the first time, cold, as a replica.
    Joins,
    /// The list says that it drains.
    Drains,
    /// It works at a third of its speed.
    Slows,
    /// At its usual speed.
    Recovers,
}

impl Experiment {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let read: Self = toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        let fault = |key: &str, what: &str| Err(format!("{}: {key} {what}", path.display()));
        if read.class.is_empty() || read.tenant.is_empty() || read.doors.is_empty() {
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
