//! Convergence time and bandwidth of a fleet's membership view after faults, by fleet size: the
//! real membership code under a virtual clock, with all invariants checked.

use std::path::Path;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use valehatch_membership::wire::Phase;
use valehatch_policy::Span;

use crate::fleet::{Fleet, Network, Violation};
use crate::membership::quantile;

/// A fault scenario for a fleet whose view has converged.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// No fault after the simultaneous start of all gateways.
    Start,
    /// Network partition into two groups for 10 s.
    Halves,
    /// Network partition into three groups for 20 s.
    Islands,
    /// One-way partition for 20 s: one half does not receive from the other.
    OneWay,
    /// One gateway receives from all and reaches none for 30 s.
    Unheard,
    /// 7 of 10 gateways are killed at once and restart with the same addresses 2 s later.
    Killed,
    /// One gateway is killed and restarted every 1.4 s for 30 s.
    CrashLoop,
    /// Partition into two groups for one second of every two, for 60 s.
    Flapping,
    /// A tenth of the gateways is paused for 20 s.
    Stopped,
    /// A tenth of the gateways restarts with wall clocks set back by an hour.
    ClockBack,
    /// All gateways restart while half of the datagrams are lost, half are duplicated and all are
    /// delayed.
    Weather,
    /// Rolling restart, a tenth of the gateways at a time.
    Rolling,
    /// An extra gateway of another fleet has the seeds of this one; no datagrams pass between them.
    Foreign,
    /// Two gateways use the same address.
    Namesakes,
}

impl Case {
    /// All cases.
    pub const ALL: [Self; 14] = [
        Self::Start,
        Self::Halves,
        Self::Islands,
        Self::OneWay,
        Self::Unheard,
        Self::Killed,
        Self::CrashLoop,
        Self::Flapping,
        Self::Stopped,
        Self::ClockBack,
        Self::Weather,
        Self::Rolling,
        Self::Foreign,
        Self::Namesakes,
    ];
}

/// An experiment, in TOML.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Always "view"; tells this kind of experiment from others.
    pub kind: String,
    /// Name of the experiment.
    pub name: String,
    /// Purpose of the experiment.
    pub about: String,
    /// Fleet sizes to run, in gateways.
    pub sizes: Vec<usize>,
    /// Cases to run.
    pub cases: Vec<Case>,
    /// Share of datagrams that is lost; half as many are duplicated.
    pub lost: f64,
    /// Number of seed gateways that each gateway knows at its start.
    pub seeds: usize,
    /// Probe interval.
    pub period_ms: i64,
    /// Bandwidth limit of a gateway, in bytes per second.
    pub bytes_s: u32,
    /// Longest one-way network delay.
    pub delay_ms: i64,
    /// Length of the phase without faults in which bandwidth is measured.
    pub quiet_s: i64,
    /// Time within which the view must converge after the last fault.
    pub within_s: i64,
}

/// Result of one run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    pub size: usize,
    pub case: String,
    pub seed: u64,
    /// Seconds from the start of all gateways until all views have converged.
    pub start_s: f64,
    /// Seconds from the end of the last fault until all views have converged.
    pub settled_s: f64,
    /// Mean bytes per second of a gateway without faults.
    pub quiet_bytes_s: f64,
    /// Highest bytes per second of any gateway without faults.
    pub most_bytes_s: f64,
    /// Mean bytes per second of a gateway from the first fault until convergence.
    pub fault_bytes_s: f64,
    /// Number of checked convergence claims.
    pub claims: u64,
    /// Number of simulation steps.
    pub steps: u64,
    /// Growth of resident memory during the run, per gateway; meaningful only if runs are not
    /// concurrent.
    pub memory_kb: f64,
}

const fn s(seconds: i64) -> Span {
    Span::from_millis(seconds * 1000)
}

fn resident() -> f64 {
    let status = procfs::process::Process::myself().and_then(|p| p.status());
    status.ok().and_then(|s| s.vmrss).unwrap_or(0) as f64
}

/// A simulation of one fleet.
pub struct Play {
    pub fleet: Fleet,
    size: usize,
    rng: Xoshiro256PlusPlus,
    network: Network,
}

impl Play {
    /// A fleet of `size` gateways, none started, and two extra ones that some cases need.
    pub fn new(plan: &Plan, size: usize, seed: u64) -> Self {
        let delay = (Span(200), Span::from_millis(plan.delay_ms));
        let network = Network {
            lost: plan.lost,
            duplicated: plan.lost / 2.0,
            delay,
        };
        let period = Span::from_millis(plan.period_ms);
        let fleet = Fleet::new(
            size + 2,
            plan.seeds.min(size),
            period,
            plan.bytes_s,
            network,
            seed,
        );
        Self {
            fleet,
            size,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x5eed),
            network,
        }
    }

    fn wait(&mut self, span: Span) -> Result<(), Violation> {
        self.fleet.run(span, |_| false).map(drop)
    }

    fn start(&mut self, n: usize, off_ms: i64) -> Result<(), Violation> {
        self.fleet.start(n, off_ms).map_err(Violation)
    }

    /// Starts all gateways at once; returns the seconds until all views have converged, or an error
    /// after `within`.
    pub fn start_all(&mut self, within: Span) -> Result<f64, Violation> {
        for n in 0..self.size {
            self.start(n, 0)?;
        }
        self.await_convergence(within)
    }

    /// Seconds until all views have converged; an error after `within`.
    pub fn await_convergence(&mut self, within: Span) -> Result<f64, Violation> {
        let began = self.fleet.now;
        if self.fleet.run(within, Fleet::converged)? {
            return Ok((self.fleet.now - began).as_f64() / 1e6);
        }
        let mut said: Vec<_> = self.fleet.running().map(|(_, h)| h.view_status()).collect();
        said.sort_by_key(|s| (s.digest, s.agreeing_members));
        said.dedup_by_key(|s| s.digest);
        said.truncate(8);
        Err(Violation(format!(
            "views not converged after {} s: {said:?}",
            within.0 / 1_000_000
        )))
    }

    fn drawn(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.size).collect();
        all.shuffle(&mut self.rng);
        all.truncate(count.max(1));
        all
    }

    /// Applies a fault scenario. Afterwards the network is healthy and all gateways run.
    pub fn apply_case(&mut self, case: Case) -> Result<(), Violation> {
        let size = self.size;
        let part: Vec<usize> = (0..size + 2).map(|_| self.rng.random_range(0..6)).collect();
        let half = part.clone();
        match case {
            Case::Start => {}
            Case::Halves | Case::Islands => {
                let parts = if case == Case::Halves { 2 } else { 3 };
                self.fleet
                    .partition_by(move |a, b| part[a] % parts == part[b] % parts);
                self.wait(s(if parts == 2 { 10 } else { 20 }))?;
            }
            Case::OneWay => {
                let half: Vec<usize> = part.iter().map(|p| p % 2).collect();
                self.fleet
                    .partition_by(move |a, b| half[a] == half[b] || half[a] == 0);
                self.wait(s(20))?;
            }
            Case::Unheard => {
                let one = self.drawn(1)[0];
                self.fleet.partition_by(move |a, _| a != one);
                self.wait(s(30))?;
            }
            Case::Killed => {
                let which = self.drawn(size * 7 / 10);
                which.iter().for_each(|n| self.fleet.kill(*n));
                self.wait(s(2))?;
                which.iter().try_for_each(|n| self.start(*n, 0))?;
            }
            Case::CrashLoop => {
                let one = self.drawn(1)[0];
                for _ in 0..21 {
                    self.fleet.kill(one);
                    self.wait(Span::from_millis(700))?;
                    self.start(one, 0)?;
                    self.wait(Span::from_millis(700))?;
                }
            }
            Case::Flapping => {
                for _ in 0..30 {
                    let part = half.clone();
                    self.fleet
                        .partition_by(move |a, b| part[a] % 2 == part[b] % 2);
                    self.wait(s(1))?;
                    self.fleet.heal();
                    self.wait(s(1))?;
                }
            }
            Case::Stopped => {
                let which = self.drawn(size / 10);
                which.iter().for_each(|n| self.fleet.pause(*n, s(20)));
                self.wait(s(20))?;
            }
            Case::ClockBack => {
                let which = self.drawn(size / 10);
                which.iter().for_each(|n| self.fleet.kill(*n));
                let pause = self.rng.random_range(100..10_000);
                self.wait(Span::from_millis(pause))?;
                which.iter().try_for_each(|n| self.start(*n, -3_600_000))?;
            }
            Case::Weather => {
                (0..size).for_each(|n| self.fleet.kill(n));
                let delay = (Span(200), Span::from_millis(80));
                self.fleet.network = Network {
                    lost: 0.5,
                    duplicated: 0.5,
                    delay,
                };
                (0..size).try_for_each(|n| self.start(n, 0))?;
                self.wait(s(20))?;
            }
            Case::Rolling => {
                let tenth = size.div_ceil(10);
                let all = self.drawn(size);
                for some in all.chunks(tenth) {
                    some.iter()
                        .try_for_each(|n| self.fleet.set_phase(*n, Phase::Draining))?;
                    self.wait(s(1))?;
                    some.iter().try_for_each(|n| self.fleet.leave(*n))?;
                    self.wait(s(1))?;
                    some.iter().try_for_each(|n| self.start(*n, 0))?;
                    self.wait(s(1))?;
                    some.iter()
                        .try_for_each(|n| self.fleet.set_phase(*n, Phase::Full))?;
                }
            }
            Case::Foreign => {
                // Gateways drop datagrams of another fleet, so none pass in either direction.
                self.fleet
                    .partition_by(move |a, b| (a == size) == (b == size));
                self.start(size, 0)?;
                self.wait(s(20))?;
                self.fleet.kill(size);
            }
            Case::Namesakes => {
                let one = self.drawn(1)[0];
                self.fleet.share_address(size + 1, one);
                let off = self.rng.random_range(-60_000..60_000);
                self.start(size + 1, off)?;
                self.wait(s(20))?;
            }
        }
        (self.fleet.network, self.fleet.notes) = (self.network, vec![]);
        self.fleet.heal();
        Ok(())
    }

    fn bytes(&mut self) -> Vec<f64> {
        (0..self.size)
            .map(|n| self.fleet.take_bytes(n) as f64)
            .collect()
    }
}

impl Plan {
    /// Parses and validates an experiment in TOML.
    pub fn parse(text: &str) -> Result<Self, String> {
        let read: Self = toml::from_str(text).map_err(|e| e.to_string())?;
        if read.sizes.is_empty() || read.sizes.iter().any(|s| !(3..=10_000).contains(s)) {
            return Err("sizes must each be from 3 to 10,000".into());
        }
        if read.cases.is_empty() || !(0.0..1.0).contains(&read.lost) {
            return Err("cases must name one at least, lost must be from 0 to below 1".into());
        }
        if read.seeds == 0 || read.delay_ms < 1 || read.quiet_s < 1 || read.within_s < 1 {
            return Err("seeds, delay-ms, quiet-s, within-s must be above 0".into());
        }
        Ok(read)
    }

    /// Simulates one fleet: start and convergence, a phase without faults, the fault scenario,
    /// convergence again.
    pub fn play(&self, size: usize, case: Case, seed: u64) -> Result<Row, Violation> {
        let (before, within) = (resident(), s(self.within_s));
        let mut play = Play::new(self, size, seed);
        let start_s = play.start_all(within)?;
        play.wait(s(10))?;
        play.bytes();
        play.wait(s(self.quiet_s))?;
        let quiet: Vec<f64> = play
            .bytes()
            .iter()
            .map(|b| b / self.quiet_s as f64)
            .collect();
        let memory_kb = (resident() - before) / size as f64;
        let began = play.fleet.now;
        play.apply_case(case)?;
        let settled_s = if case == Case::Start {
            0.0
        } else {
            play.await_convergence(within)?
        };
        play.fleet.check_changes()?;
        let took = ((play.fleet.now - began).as_f64() / 1e6).max(1.0);
        let fault = play.bytes().iter().sum::<f64>() / size as f64 / took;
        Ok(Row {
            size,
            case: serde_json::to_value(case)
                .ok()
                .and_then(|v| v.as_str().map(str::to_owned))
                .unwrap_or_default(),
            seed,
            start_s,
            settled_s,
            quiet_bytes_s: quiet.iter().sum::<f64>() / size as f64,
            most_bytes_s: quiet.iter().copied().fold(0.0, f64::max),
            fault_bytes_s: fault,
            claims: play.fleet.checker.claims,
            steps: play.fleet.steps,
            memory_kb,
        })
    }
}

/// Formats the results as the table that is printed.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let head = [
        "size",
        "case",
        "seeds",
        "start",
        "worst",
        "settled",
        "worst",
        "rest B/s",
        "most",
        "fault B/s",
        "kB",
    ];
    let line =
        |cells: Vec<String>| cells.iter().map(|c| format!("{c:>11}")).collect::<String>() + "\n";
    let mut out = line(head.iter().map(|h| (*h).to_owned()).collect());
    let mut kinds: Vec<(usize, String)> = rows.iter().map(|r| (r.size, r.case.clone())).collect();
    kinds.dedup();
    for (size, case) in kinds {
        let ours: Vec<&Row> = rows
            .iter()
            .filter(|r| r.size == size && r.case == case)
            .collect();
        let of = |f: fn(&Row) -> f64, part| quantile(ours.iter().map(|r| f(r)).collect(), part);
        out += &line(vec![
            size.to_string(),
            case,
            ours.len().to_string(),
            format!("{:.1}", of(|r| r.start_s, 0.5)),
            format!("{:.1}", of(|r| r.start_s, 1.0)),
            format!("{:.1}", of(|r| r.settled_s, 0.5)),
            format!("{:.1}", of(|r| r.settled_s, 1.0)),
            format!("{:.0}", of(|r| r.quiet_bytes_s, 0.5)),
            format!("{:.0}", of(|r| r.most_bytes_s, 1.0)),
            format!("{:.0}", of(|r| r.fault_bytes_s, 0.5)),
            format!("{:.0}", of(|r| r.memory_kb, 0.5)),
        ]);
    }
    out
}

/// Writes the experiment, the rows and the table into a folder.
pub fn write(dir: &Path, plan: &Plan, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let mut csv = crate::report::create_result_folder(dir, plan, &rows, &table(rows))?;
    rows.iter().try_for_each(|row| csv.serialize(row))?;
    csv.flush()?;
    Ok(())
}
