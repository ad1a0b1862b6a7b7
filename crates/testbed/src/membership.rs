//! What membership costs and how soon it sees: fleets of several sizes, on networks that lose more or less.

use std::path::Path;

use serde::{Deserialize, Serialize};
use valehatch_membership::MembershipEvent;
use valehatch_policy::{Span, Time};

use crate::fleet::{Broken, Fleet, Network, address};

/// An experiment, in TOML.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Always "membership": what tells it from other experiments.
    pub kind: String,
    /// Its name.
    pub name: String,
    /// What it is to show.
    pub about: String,
    /// Gateways.
    pub sizes: Vec<usize>,
    /// Parts of the datagrams that are lost; half as many come twice.
    pub lost: Vec<f64>,
    /// Gateways that each begins with.
    pub seeds: usize,
    /// Time between two questions, and bytes a second.
    pub period_ms: i64,
    pub bytes_s: u32,
    /// One way over the network at the most.
    pub delay_ms: i64,
    /// How long nothing happens, for false suspicions and bytes.
    pub quiet_s: i64,
    /// Gateways that are killed one after the other, and how long each time is given.
    pub kills: usize,
    pub kill_s: i64,
}

/// One fleet of one seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    pub size: usize,
    pub lost: f64,
    pub seed: u64,
    /// From the start of all until all know all, or nothing if that was not within a minute.
    pub together_s: Option<f64>,
    /// False words an hour, over the whole fleet, while nothing happened.
    pub suspicions_h: f64,
    pub deaths_h: f64,
    /// Bytes a second of one gateway, in the mean and the most of any.
    pub bytes_s: f64,
    pub most_bytes_s: f64,
    /// From a kill until the first suspects, the first takes it for dead, and all do.
    pub suspected_s: Vec<f64>,
    pub failed_s: Vec<f64>,
    pub known_s: Vec<f64>,
    /// Kills that not all had seen in their time.
    pub unseen: usize,
}

impl Plan {
    /// Reads and checks a text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let read: Self = toml::from_str(text).map_err(|e| e.to_string())?;
        let fault = |key: &str, what: &str| Err(format!("{key} {what}"));
        if read.sizes.iter().any(|s| !(2..=10_000).contains(s)) || read.sizes.is_empty() {
            return fault("sizes", "must each be from 2 to 10,000");
        }
        if read.lost.iter().any(|l| !(0.0..1.0).contains(l)) || read.lost.is_empty() {
            return fault("lost", "must each be from 0 to below 1");
        }
        if read.seeds == 0 || read.delay_ms < 1 || read.quiet_s < 1 || read.kill_s < 1 {
            return fault("seeds, delay-ms, quiet-s, kill-s", "must be above 0");
        }
        Ok(read)
    }

    /// Plays one fleet.
    pub fn play(&self, size: usize, lost: f64, seed: u64) -> Result<Row, Broken> {
        let network = Network {
            lost,
            doubled: lost / 2.0,
            delay: (Span(200), Span::from_millis(self.delay_ms)),
        };
        let period = Span::from_millis(self.period_ms);
        let mut fleet = Fleet::new(size, self.seeds, period, self.bytes_s, network, seed);
        for n in 0..size {
            fleet.start(n, 0).map_err(Broken)?;
        }
        let began = fleet.now;
        let together = fleet.run(Span::from_millis(60_000), Fleet::agreed)?;
        let together_s = together.then(|| seconds(began, fleet.now));
        fleet.run(period.times(20.0), |_| false)?;
        for n in 0..size {
            fleet.take_bytes(n);
        }
        fleet.notes.clear();
        fleet.run(Span::from_millis(self.quiet_s * 1000), |_| false)?;
        let said = |what: fn(MembershipEvent) -> bool| {
            fleet.notes.iter().filter(|n| what(n.note)).count() as f64 / self.quiet_s as f64
                * 3600.0
        };
        // Each hears of it: what was said first by whoever it was counts once.
        let suspicions_h = said(|n| matches!(n, MembershipEvent::Suspected(_))) / (size - 1) as f64;
        let deaths_h = said(|n| matches!(n, MembershipEvent::Failed(_))) / (size - 1) as f64;
        let all: Vec<f64> = (0..size)
            .map(|n| fleet.take_bytes(n) as f64 / self.quiet_s as f64)
            .collect();
        let mut row = Row {
            size,
            lost,
            seed,
            together_s,
            suspicions_h,
            deaths_h,
            bytes_s: all.iter().sum::<f64>() / size as f64,
            most_bytes_s: all.iter().copied().fold(0.0, f64::max),
            suspected_s: vec![],
            failed_s: vec![],
            known_s: vec![],
            unseen: 0,
        };
        for kill in 0..self.kills.min(size.saturating_sub(2)) {
            // Those that all begin with stay; which goes is drawn by the seed.
            let n = size
                - 1
                - (kill * 7 + usize::try_from(seed).unwrap_or(0))
                    % size.saturating_sub(self.seeds).max(1);
            if fleet.heart(n).is_none() {
                continue;
            }
            fleet.notes.clear();
            let at = fleet.now;
            fleet.kill(n);
            let knows = |f: &Fleet| {
                f.running()
                    .all(|(_, h)| h.live_members().all(|a| a != address(n)))
            };
            let known = fleet.run(Span::from_millis(self.kill_s * 1000), knows)?;
            let first = |what: MembershipEvent| {
                fleet
                    .notes
                    .iter()
                    .find(|s| s.note == what)
                    .map(|s| seconds(at, s.at))
            };
            row.suspected_s
                .extend(first(MembershipEvent::Suspected(address(n))));
            row.failed_s
                .extend(first(MembershipEvent::Failed(address(n))));
            let last = fleet
                .notes
                .iter()
                .rev()
                .find(|s| s.note == MembershipEvent::Failed(address(n)));
            row.known_s
                .extend(last.filter(|_| known).map(|s| seconds(at, s.at)));
            row.unseen += usize::from(!known);
            fleet.start(n, 0).map_err(Broken)?;
            fleet.run(period.times(20.0), |_| false)?;
        }
        Ok(row)
    }
}

fn seconds(from: Time, to: Time) -> f64 {
    (to - from).as_f64() / 1e6
}

/// Of all values, the one below which this part lies.
#[must_use]
pub fn quantile(mut values: Vec<f64>, part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (part * values.len().saturating_sub(1) as f64).round();
    values.get(at as usize).copied().unwrap_or(f64::NAN)
}

/// The table that is printed.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let mut out = format!(
        "{:>5} {:>5} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>8} {:>8} {:>6}\n",
        "size",
        "lost",
        "together",
        "suspected",
        "p99",
        "failed",
        "p99",
        "all know",
        "p99",
        "false/h",
        "dead/h",
        "B/s",
        "unseen"
    );
    let mut kinds: Vec<(usize, f64)> = rows.iter().map(|r| (r.size, r.lost)).collect();
    kinds.dedup();
    for (size, lost) in kinds {
        let ours: Vec<&Row> = rows
            .iter()
            .filter(|r| r.size == size && r.lost.total_cmp(&lost).is_eq())
            .collect();
        let of = |f: fn(&Row) -> Vec<f64>, part| {
            quantile(ours.iter().flat_map(|r| f(r)).collect(), part)
        };
        let mean = |f: fn(&Row) -> f64| ours.iter().map(|r| f(r)).sum::<f64>() / ours.len() as f64;
        out += &format!(
            "{size:>5} {lost:>5} {:>10.2} {:>10.2} {:>10.2} {:>10.2} {:>10.2} {:>10.2} {:>10.2} {:>10.2} {:>8.2} {:>8.0} {:>6}\n",
            of(|r| vec![r.together_s.unwrap_or(f64::INFINITY)], 0.5),
            of(|r| r.suspected_s.clone(), 0.5),
            of(|r| r.suspected_s.clone(), 0.99),
            of(|r| r.failed_s.clone(), 0.5),
            of(|r| r.failed_s.clone(), 0.99),
            of(|r| r.known_s.clone(), 0.5),
            of(|r| r.known_s.clone(), 0.99),
            mean(|r| r.suspicions_h),
            mean(|r| r.deaths_h),
            mean(|r| r.bytes_s),
            ours.iter().map(|r| r.unseen).sum::<usize>(),
        );
    }
    out
}

/// Writes results into a folder.
pub fn write(dir: &Path, plan: &Plan, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let mut csv = crate::report::folder(dir, plan, &rows, &table(rows))?;
    csv.write_record(["size", "lost", "seed", "what", "value"])?;
    for row in rows {
        let one = |what: &str, value: f64| {
            [
                row.size.to_string(),
                row.lost.to_string(),
                row.seed.to_string(),
                what.into(),
                format!("{value:.4}"),
            ]
        };
        for (what, value) in [
            ("together-s", row.together_s.unwrap_or(f64::INFINITY)),
            ("false-suspicions-h", row.suspicions_h),
            ("false-deaths-h", row.deaths_h),
            ("bytes-s", row.bytes_s),
            ("most-bytes-s", row.most_bytes_s),
        ] {
            csv.write_record(one(what, value))?;
        }
        for (what, values) in [
            ("suspected-s", &row.suspected_s),
            ("failed-s", &row.failed_s),
            ("known-s", &row.known_s),
        ] {
            values
                .iter()
                .try_for_each(|v| csv.write_record(one(what, *v)))?;
        }
    }
    csv.flush()?;
    Ok(())
}
