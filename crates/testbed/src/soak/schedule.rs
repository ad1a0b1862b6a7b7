//! Faults as data: a schedule is drawn from a seed, printed, read again from a file, and made smaller.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// SIGTERM; the next process starts when this one has ended.
    PlannedRestart,
    /// A second process starts over the same folder, then the first gets SIGTERM.
    HotRestart,
    /// SIGKILL; the next process starts at once.
    Kill,
    /// SIGHUP with discovery at another address.
    Reload,
    /// SIGSTOP and SIGCONT, 0.12 s apart, again and again.
    Pauses,
    /// The wall clock of a gateway's machine is an hour or some seconds off.
    WallClock,
    /// Calls of accept fail for a moment.
    AcceptFails,
    /// Calls of connect and socket fail with errors of the own machine.
    ConnectFails,
    /// Reads and writes are short or interrupted.
    ShortTransfers,
    /// 0.1 s pass between reading the clock and writing.
    LateWrites,
    /// The agent says nothing on any connection.
    AgentSilent,
    /// Connections to the agent are reset.
    AgentResets,
    /// An endpoint takes requests and says nothing.
    EndpointHangs,
    /// It resets connections in the middle of its answers.
    EndpointResets,
    /// Connections to it come up late.
    EndpointDialsLate,
    /// Its answers are cut short or cannot be read.
    EndpointSpoils,
    /// It ends and starts again, cold.
    EndpointRestarts,
    /// It is told to drain, and is active again at the end.
    EndpointDrains,
    /// Replicas of a group apply nothing.
    ReplicasLag,
    /// A group's primary changes; for a moment there is none.
    PrimaryMoves,
    /// Clients close under their requests.
    ClientsLeave,
    /// Clients stop in the middle of a request and stay.
    ClientsStop,
    /// Clients send many requests at once.
    ClientsPipeline,
}

impl FaultKind {
    /// All of them.
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

/// One fault, for some time, at some gateways or endpoints.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    /// When it begins, in milliseconds from when all gateways were ready.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    pub kind: FaultKind,
    /// Numbers that choose whom it meets: gateways or endpoints, modulo how many there are.
    pub targets: Vec<usize>,
}

impl Fault {
    /// Whether two are on at the same time.
    #[must_use]
    pub const fn overlaps(&self, other: &Self) -> bool {
        self.at_ms < other.at_ms + other.for_ms && other.at_ms < self.at_ms + self.for_ms
    }
}

/// All that goes wrong in one run.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct Schedule {
    pub fault: Vec<Fault>,
}

/// Faults of one cluster of overlapping faults, and clusters of a schedule.
const CLUSTER_SIZES: std::ops::RangeInclusive<usize> = 2..=3;
const CLUSTERS: u64 = 3;
/// Where a cluster begins behind the one before it, and how long its faults last.
const CLUSTER_EACH_MS: u64 = 3_000;
const LASTS_MS: std::ops::Range<u64> = 700..2_200;
/// Faults of a cluster mostly meet the same few gateways and endpoints.
const SHARED_TARGETS: usize = 3;
const MEETS_SHARED: f64 = 0.75;
/// How far apart the beginnings of a cluster's faults are.
const APART_MS: u64 = 600;

/// Pairs and triples of kinds that were on at the same time, and how often.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    pub pairs: BTreeMap<(FaultKind, FaultKind), u32>,
    pub triples: BTreeSet<(FaultKind, FaultKind, FaultKind)>,
}

impl Coverage {
    /// Adds what a schedule covers.
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

    /// Pairs of different kinds that there are.
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
    /// Draws clusters of faults that overlap in time. Kinds that have met seldom so far are drawn together.
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
                let met = |kind: &FaultKind| -> u32 {
                    kinds
                        .iter()
                        .map(|k| covered.pairs.get(&ordered(*k, *kind)).copied().unwrap_or(0))
                        .sum()
                };
                let others = FaultKind::ALL.iter().filter(|kind| !kinds.contains(kind));
                let others: Vec<(u32, FaultKind)> = others.map(|kind| (met(kind), *kind)).collect();
                let least = others.iter().map(|(met, _)| *met).min().unwrap_or(0);
                let seldom: Vec<FaultKind> = others
                    .iter()
                    .filter(|(met, _)| *met == least)
                    .map(|(_, kind)| *kind)
                    .collect();
                kinds.extend(seldom.choose(&mut rng));
            }
            let from = 500 + cluster * CLUSTER_EACH_MS;
            let shared: [usize; SHARED_TARGETS] =
                std::array::from_fn(|_| rng.random_range(0..1_000));
            for kind in kinds {
                let mut target = || match rng.random_bool(MEETS_SHARED) {
                    true => shared[rng.random_range(0..SHARED_TARGETS)],
                    false => rng.random_range(0..1_000),
                };
                let mut targets = vec![target(), target(), target()];
                targets.truncate(rng.random_range(1..=3));
                let at_ms = from + rng.random_range(0..APART_MS);
                fault.push(Fault {
                    at_ms,
                    for_ms: rng.random_range(LASTS_MS),
                    kind,
                    targets,
                });
            }
        }
        fault.sort_by_key(|f: &Fault| f.at_ms);
        Self { fault }
    }

    /// When the last fault is over.
    #[must_use]
    pub fn ends_ms(&self) -> u64 {
        self.fault
            .iter()
            .map(|f| f.at_ms + f.for_ms)
            .max()
            .unwrap_or(0)
    }

    /// Drops faults one by one for as long as the rest still breaks; `breaks` plays a schedule.
    #[must_use]
    pub fn shrink(mut self, mut breaks: impl FnMut(&Self) -> bool) -> Self {
        let mut at = 0;
        while at < self.fault.len() && self.fault.len() > 1 {
            let mut smaller = self.clone();
            smaller.fault.remove(at);
            if breaks(&smaller) {
                self = smaller;
            } else {
                at += 1;
            }
        }
        self
    }
}
