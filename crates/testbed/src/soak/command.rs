//! `valehatch-testbed soak`: runs the schedules of a range of seeds, or one schedule from a file,
//! reports violated invariants, and shrinks failing schedules.

use std::path::PathBuf;

use clap::Args;

use super::schedule::{Coverage, FaultKind, Schedule};
use super::{Plan, Report, play};

/// Real processes under schedules of overlapping faults.
#[derive(Args)]
pub struct Soak {
    /// Seeds, such as 1..20 (both included) or 7.
    #[arg(long, default_value = "1..5")]
    pub seeds: String,
    /// Schedule file in TOML, used instead of schedules drawn from the seeds.
    #[arg(long)]
    pub schedule: Option<PathBuf>,
    /// Shrink failing schedules: drop faults one by one while the rest still fails in one of this
    /// many runs; 0: do not shrink.
    #[arg(long, default_value_t = 0)]
    pub shrink: usize,
    /// Number of gateways, from 1 to 40.
    #[arg(long, default_value_t = 12)]
    pub gateways: usize,
    /// Number of groups of three endpoints each, from 1 to 8.
    #[arg(long, default_value_t = 2)]
    pub groups: usize,
    /// Gateway executable.
    #[arg(long, default_value = "target/release/valehatch")]
    pub program: PathBuf,
    /// Folder that keeps the logs of failing runs.
    #[arg(long, default_value = "target/soak")]
    pub out: PathBuf,
}

/// Capacity of an endpoint for each gateway that sends to it, in requests of mean work per second.
const CAPACITY_FOR_EACH_GATEWAY: f64 = 8.0;

impl Soak {
    /// Runs all seeds and prints the result of each to standard output.
    ///
    /// # Errors
    /// A run could not be set up, or the number of runs that violated an invariant.
    pub fn run(&self, seeds: &[u64]) -> Result<(), String> {
        let plan = self.plan()?;
        let given = self.schedule.as_ref().map(|path| {
            let text =
                std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            toml::from_str::<Schedule>(&text).map_err(|e| format!("{}: {e}", path.display()))
        });
        let given = given.transpose()?;
        let (mut coverage, mut broken) = (Coverage::default(), 0);
        for seed in seeds {
            let schedule = given
                .clone()
                .unwrap_or_else(|| Schedule::draw(*seed, &coverage));
            coverage.add(&schedule);
            let report = play(&plan, *seed, &schedule)?;
            println!("{}", line(&report, &schedule));
            report
                .violations
                .iter()
                .take(12)
                .for_each(|v| println!("  {:?} at {} ms: {}", v.invariant, v.at_ms, v.what));
            if report.violations.is_empty() {
                let _ = std::fs::remove_dir_all(&report.folder);
                continue;
            }
            broken += 1;
            if self.shrink > 0 {
                self.shrink(&plan, *seed, schedule, &report)?;
            }
        }
        let (pairs, triples) = (
            coverage.pairs.keys().filter(|(a, b)| a != b).count(),
            coverage.triples.len(),
        );
        println!(
            "covered: {pairs} of {} pairs of faults, {triples} triples",
            Coverage::possible_pairs()
        );
        if broken == 0 {
            Ok(())
        } else {
            Err(format!(
                "{broken} of {} runs broke an invariant",
                seeds.len()
            ))
        }
    }

    fn plan(&self) -> Result<Plan, String> {
        if !(1..=40).contains(&self.gateways) || !(1..=8).contains(&self.groups) {
            return Err("--gateways must be from 1 to 40, --groups from 1 to 8".into());
        }
        let library = valehatch_fault_control::build_library()?;
        let capacity = CAPACITY_FOR_EACH_GATEWAY * self.gateways as f64 / self.groups as f64;
        let (program, folder) = (self.program.clone(), self.out.clone());
        Ok(Plan {
            program,
            library,
            folder,
            gateways: self.gateways,
            groups: self.groups,
            capacity,
        })
    }

    /// Writes the smallest schedule found that still violates the first violated invariant next to
    /// the logs.
    fn shrink(
        &self,
        plan: &Plan,
        seed: u64,
        schedule: Schedule,
        report: &Report,
    ) -> Result<(), String> {
        let first = report.violations[0].invariant;
        let mut replays = Plan {
            folder: plan.folder.join("shrink"),
            ..plan.clone()
        };
        replays.folder.push(seed.to_string());
        let smaller = schedule.shrink(|smaller| {
            (0..self.shrink).any(|_| {
                let again = play(&replays, seed, smaller);
                again.is_ok_and(|again| again.violations.iter().any(|v| v.invariant == first))
            })
        });
        let path = report.folder.join("smallest.toml");
        let text = toml::to_string(&smaller).map_err(|e| e.to_string())?;
        std::fs::write(&path, &text).map_err(|e| format!("{}: {e}", path.display()))?;
        println!(
            "  smallest schedule that still breaks {first:?}: {}",
            kinds(&smaller)
        );
        Ok(())
    }
}

fn kinds(schedule: &Schedule) -> String {
    let named = |kind: FaultKind| format!("{kind:?}");
    schedule
        .fault
        .iter()
        .map(|fault| named(fault.kind))
        .collect::<Vec<_>>()
        .join(" + ")
}

fn line(report: &Report, schedule: &Schedule) -> String {
    let verdict = if report.violations.is_empty() {
        "kept"
    } else {
        "BROKEN"
    };
    format!(
        "seed {}: {verdict}, {} violations, {} attempts, {} answers, load {:.1}: {}",
        report.seed,
        report.violations.len(),
        report.attempts,
        report.answers,
        report.load,
        kinds(schedule)
    )
}
