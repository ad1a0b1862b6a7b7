//! Membership experiments: bandwidth and detection times of fleets of several sizes, at several
//! rates of datagram loss.

use std::path::Path;

use serde::{Deserialize, Serialize};
use valehatch_membership::MembershipEvent;
use valehatch_policy::{Span, Time};

use crate::fleet::{Fleet, Network, Violation, address};

/// An experiment, in TOML.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Always "membership"; tells this kind of experiment from others.
    pub kind: String,
    /// Name of the experiment.
    pub name: String,
    /// Purpose of the experiment.
    pub about: String,
    /// Fleet sizes to run, in gateways.
    pub sizes: Vec<usize>,
    /// Loss rates to run, from 0 to below 1; half as many datagrams are duplicated.
    pub lost: Vec<f64>,
    /// Number of seed gateways that each gateway knows at its start.
    pub seeds: usize,
    /// Probe interval.
    pub period_ms: i64,
    /// Bandwidth limit of a gateway, in bytes per second.
    pub bytes_s: u32,
    /// Longest one-way network delay.
    pub delay_ms: i64,
    /// Length of the phase without faults in which false suspicions and bandwidth are measured.
    pub quiet_s: i64,
    /// Number of gateways that are killed, one after the other.
    pub kills: usize,
    /// Time within which all other gateways must have noticed a kill.
    pub kill_s: i64,
}

/// Result of one run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    pub size: usize,
    pub lost: f64,
    pub seed: u64,
    /// Seconds from the start of all gateways until all know each other; `None` if not within a
    /// minute.
    pub together_s: Option<f64>,
    /// False suspicions per hour in the whole fleet, without faults.
    pub suspicions_h: f64,
    /// False failure reports per hour in the whole fleet, without faults.
    pub deaths_h: f64,
    /// Mean bytes per second of a gateway.
    pub bytes_s: f64,
    /// Highest bytes per second of any gateway.
    pub most_bytes_s: f64,
    /// Seconds from each kill to the first suspicion.
    pub suspected_s: Vec<f64>,
    /// Seconds from each kill until the first gateway reports the failure.
    pub failed_s: Vec<f64>,
    /// Seconds from each kill until all gateways have noticed the failure.
    pub known_s: Vec<f64>,
    /// Kills that not all gateways noticed in time.
    pub unseen: usize,
}

impl Plan {
    /// Parses and validates an experiment in TOML.
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

    /// Simulates one fleet.
    pub fn play(&self, size: usize, lost: f64, seed: u64) -> Result<Row, Violation> {
        let network = Network {
            lost,
            duplicated: lost / 2.0,
            delay: (Span(200), Span::from_millis(self.delay_ms)),
        };
        let period = Span::from_millis(self.period_ms);
        let mut fleet = Fleet::new(size, self.seeds, period, self.bytes_s, network, seed);
        for n in 0..size {
            fleet.start(n, 0).map_err(Violation)?;
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
        // Every gateway reports an event once, so the count is divided by the number of receivers.
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
            // Seed gateways are not killed; the seed of the run selects one of the others.
            let n = size
                - 1
                - (kill * 7 + usize::try_from(seed).unwrap_or(0))
                    % size.saturating_sub(self.seeds).max(1);
            if fleet.membership(n).is_none() {
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
            fleet.start(n, 0).map_err(Violation)?;
            fleet.run(period.times(20.0), |_| false)?;
        }
        Ok(row)
    }
}

fn seconds(from: Time, to: Time) -> f64 {
    (to - from).as_f64() / 1e6
}

/// Value at a quantile from 0 to 1 (nearest rank); NaN without values.
#[must_use]
pub fn quantile(mut values: Vec<f64>, part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (part * values.len().saturating_sub(1) as f64).round();
    values.get(at as usize).copied().unwrap_or(f64::NAN)
}

/// Formats the results as the table that is printed.
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

/// Writes the experiment, the rows and the table into a folder.
pub fn write(dir: &Path, plan: &Plan, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let mut csv = crate::report::create_result_folder(dir, plan, &rows, &table(rows))?;
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
