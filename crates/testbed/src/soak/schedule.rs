//! Fault schedules: generated from a seed, stored as TOML, and shrunk to a minimal failing
//! schedule.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

/// A kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// SIGTERM to a gateway; its next process starts when this one has exited.
    PlannedRestart,
    /// A second process starts on the same folder, then the first one receives SIGTERM.
    HotRestart,
    /// SIGKILL to a gateway; its next process starts at once.
    Kill,
    /// SIGHUP to a gateway whose configuration names another discovery address.
    Reload,
    /// Repeated SIGSTOP and SIGCONT, 0.12 s apart.
    Pauses,
    /// The wall clock of a gateway is off by an hour or by some seconds.
    WallClock,
    /// Some `accept` calls fail.
    AcceptFails,
    /// Some `connect` and `socket` calls fail with local errors.
    ConnectFails,
    /// Reads and writes are short or interrupted.
    ShortTransfers,
    /// Each write is delayed by 0.1 s after the clock was read.
    LateWrites,
    /// The discovery agent sends nothing on any connection.
    AgentSilent,
    /// Connections to the discovery agent are reset.
    AgentResets,
    /// An endpoint accepts requests and does not answer.
    EndpointHangs,
    /// An endpoint resets connections in the middle of its answers.
    EndpointResets,
    /// An endpoint completes the handshake of new connections late.
    EndpointDialsLate,
    /// An endpoint sends answers that cannot be parsed.
    EndpointSpoils,
    /// An endpoint restarts cold.
    EndpointRestarts,
    /// An endpoint drains, and is active again when the fault ends.
    EndpointDrains,
    /// Replicas stop applying changes.
    ReplicasLag,
    /// The primary of a group changes; the group has none for a moment.
    PrimaryMoves,
    /// Clients disconnect while their requests are open.
    ClientsLeave,
    /// Clients stop in the middle of a request and keep the connection open.
    ClientsStop,
    /// Clients send many requests without waiting for answers.
    ClientsPipeline,
}

impl FaultKind {
    /// All kinds, in the order from which schedules draw.
    pub const ALL: [Self; 23] = [
        Self::PlannedRestart,
        Self::HotRestart,
        Self::Kill,
        Self::Reload,
        Self::Pauses,
        Self::WallClock,
        Self::AcceptFails,
        Self::ConnectFails,
        Self::ShortTransfers,
        Self::LateWrites,
        Self::AgentSilent,
        Self::AgentResets,
        Self::EndpointHangs,
        Self::EndpointResets,
        Self::EndpointDialsLate,
        Self::EndpointSpoils,
        Self::EndpointRestarts,
        Self::EndpointDrains,
        Self::ReplicasLag,
        Self::PrimaryMoves,
        Self::ClientsLeave,
        Self::ClientsStop,
        Self::ClientsPipeline,
    ];
}

/// A fault of limited duration at some gateways or endpoints.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    /// Start, in milliseconds after all gateways were ready.
    pub at_ms: u64,
    /// Duration in milliseconds.
    pub for_ms: u64,
    pub kind: FaultKind,
    /// Affected gateways, endpoints or groups: indexes modulo their number.
    pub targets: Vec<usize>,
}

impl Fault {
    /// Whether both faults are active at some point in time.
    #[must_use]
    pub const fn overlaps(&self, other: &Self) -> bool {
        self.at_ms < other.at_ms + other.for_ms && other.at_ms < self.at_ms + self.for_ms
    }
}

/// The faults of one run.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct Schedule {
    pub fault: Vec<Fault>,
}

/// Number of faults in a cluster of overlapping faults.
const CLUSTER_SIZES: std::ops::RangeInclusive<usize> = 2..=3;
/// Number of clusters in a schedule.
const CLUSTERS: u64 = 3;
/// Time from the start of one cluster to the start of the next.
const CLUSTER_INTERVAL_MS: u64 = 3_000;
/// Duration of a fault.
const DURATION_MS: std::ops::Range<u64> = 700..2_200;
/// Targets that the faults of a cluster share, so that most of them hit the same few gateways and
/// endpoints.
const SHARED_TARGETS: usize = 3;
/// Probability that a target is one of the shared ones.
const SHARED_TARGET_PROBABILITY: f64 = 0.75;
/// Range within which the faults of a cluster start.
const START_SPREAD_MS: u64 = 600;

/// Pairs of fault kinds that overlapped, with their counts, and triples that did.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    pub pairs: BTreeMap<(FaultKind, FaultKind), u32>,
    pub triples: BTreeSet<(FaultKind, FaultKind, FaultKind)>,
}

impl Coverage {
    /// Adds the overlaps of a schedule.
    pub fn add(&mut self, schedule: &Schedule) {
        let all = &schedule.fault;
        for (n, first) in all.iter().enumerate() {
            for (m, second) in all
                .iter()
                .enumerate()
                .skip(n + 1)
                .filter(|(_, other)| first.overlaps(other))
            {
                *self
                    .pairs
                    .entry(ordered(first.kind, second.kind))
                    .or_default() += 1;
                let third = all
                    .iter()
                    .skip(m + 1)
                    .filter(|other| first.overlaps(other) && second.overlaps(other));
                self.triples.extend(third.map(|third| {
                    let mut kinds = [first.kind, second.kind, third.kind];
                    kinds.sort_unstable();
                    (kinds[0], kinds[1], kinds[2])
                }));
            }
        }
    }

    /// Number of pairs of different fault kinds.
    #[must_use]
    pub const fn possible_pairs() -> usize {
        FaultKind::ALL.len() * (FaultKind::ALL.len() - 1) / 2
    }
}

fn ordered(first: FaultKind, second: FaultKind) -> (FaultKind, FaultKind) {
    if first <= second {
        (first, second)
    } else {
        (second, first)
    }
}

impl Schedule {
    /// Draws clusters of faults that overlap in time, preferring pairs of kinds that `covered`
    /// holds fewest often.
    #[must_use]
    pub fn draw(seed: u64, covered: &Coverage) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut fault = vec![];
        for cluster in 0..CLUSTERS {
            let mut kinds: Vec<FaultKind> = FaultKind::ALL
                .choose(&mut rng)
                .copied()
                .into_iter()
                .collect();
            let size = rng.random_range(CLUSTER_SIZES);
            while kinds.len() < size {
                let overlaps = |kind: &FaultKind| -> u32 {
                    kinds
                        .iter()
                        .map(|k| covered.pairs.get(&ordered(*k, *kind)).copied().unwrap_or(0))
                        .sum()
                };
                let others = FaultKind::ALL.iter().filter(|kind| !kinds.contains(kind));
                let others: Vec<(u32, FaultKind)> =
                    others.map(|kind| (overlaps(kind), *kind)).collect();
                let fewest = others
                    .iter()
                    .map(|(overlaps, _)| *overlaps)
                    .min()
                    .unwrap_or(0);
                let least_covered: Vec<FaultKind> = others
                    .iter()
                    .filter(|(overlaps, _)| *overlaps == fewest)
                    .map(|(_, kind)| *kind)
                    .collect();
                kinds.extend(least_covered.choose(&mut rng));
            }
            let from = 500 + cluster * CLUSTER_INTERVAL_MS;
            let shared: [usize; SHARED_TARGETS] =
                std::array::from_fn(|_| rng.random_range(0..1_000));
            for kind in kinds {
                let mut target = || match rng.random_bool(SHARED_TARGET_PROBABILITY) {
                    true => shared[rng.random_range(0..SHARED_TARGETS)],
                    false => rng.random_range(0..1_000),
                };
                let mut targets = vec![target(), target(), target()];
                targets.truncate(rng.random_range(1..=3));
                let at_ms = from + rng.random_range(0..START_SPREAD_MS);
                fault.push(Fault {
                    at_ms,
                    for_ms: rng.random_range(DURATION_MS),
                    kind,
                    targets,
                });
            }
        }
        fault.sort_by_key(|f: &Fault| f.at_ms);
        Self { fault }
    }

    /// End of the last fault, in milliseconds.
    #[must_use]
    pub fn ends_ms(&self) -> u64 {
        self.fault
            .iter()
            .map(|f| f.at_ms + f.for_ms)
            .max()
            .unwrap_or(0)
    }

    /// Removes faults one by one while the remaining schedule still fails; `fails` runs a schedule
    /// and says whether it does.
    #[must_use]
    pub fn shrink(mut self, mut fails: impl FnMut(&Self) -> bool) -> Self {
        let mut at = 0;
        while at < self.fault.len() && self.fault.len() > 1 {
            let mut smaller = self.clone();
            smaller.fault.remove(at);
            if fails(&smaller) {
                self = smaller;
            } else {
                at += 1;
            }
        }
        self
    }
}
