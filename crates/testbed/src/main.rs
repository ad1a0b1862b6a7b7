//! `valehatch-testbed`: experiments under a virtual clock with the real reducer, admission control
//! and decision module, load on sockets, and fault tests with real processes.

#![forbid(unsafe_code)]
#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use indicatif::ProgressBar;
use valehatch_testbed::experiment::{AdmissionMode, Experiment};
use valehatch_testbed::world::{Outcome, World};
use valehatch_testbed::{cluster_test, load, membership, report, soak, view};

/// Experiments with gateways: emulation under a virtual clock, load on sockets, and fault tests.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment with each of its admission modes and seeds; write table, CSV, JSON and
    /// charts.
    Run {
        /// Experiment file in TOML.
        experiment: PathBuf,
        /// Seeds, such as 1..20 (both included) or 7.
        #[arg(long, default_value = "1..20")]
        seeds: String,
        /// Folder for the results.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Run several real gateway processes under scripted faults; write table, CSV and JSON.
    #[command(name = "cluster-test", alias = "stage")]
    ClusterTest {
        /// Experiment file in TOML.
        experiment: PathBuf,
        /// Seeds, such as 1..5 (both included) or 7.
        #[arg(long, default_value = "1..5")]
        seed: String,
        /// Gateway executable.
        #[arg(long, default_value = "target/release/valehatch")]
        program: PathBuf,
        /// Another build that runs the variant `plain` in place of the program.
        #[arg(long)]
        before: Option<PathBuf>,
        /// Folder for the results.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Run real gateway processes under random schedules of overlapping faults, and check
    /// invariants.
    Soak(soak::command::Soak),
    /// Run one seed again; print the last steps if an invariant is violated.
    Replay {
        /// Experiment file in TOML.
        experiment: PathBuf,
        /// Seed to run.
        #[arg(long)]
        seed: u64,
        /// Admission mode; the first one of the experiment by default.
        #[arg(long)]
        door: Option<String>,
        /// Number of last steps to print even without a violation, 400 at most.
        #[arg(long, default_value_t = 0)]
        steps: usize,
    },
    /// List the experiments in a folder.
    List {
        /// Folder with experiment files.
        #[arg(default_value = "experiments")]
        folder: PathBuf,
    },
    /// Measure a real gateway process under load on sockets, and the stub members directly for
    /// comparison.
    Load(load::Load),
    /// Compare the results in two folders, by bootstrap over the seeds.
    Compare {
        /// Folder with the first results.
        first: PathBuf,
        /// Folder with the second results.
        second: PathBuf,
    },
}

fn seeds(text: &str) -> Result<Vec<u64>, String> {
    let number = |t: &str| {
        t.parse::<u64>()
            .map_err(|_| format!("--seeds: {t:?} is not a number"))
    };
    match text.split_once("..") {
        None => Ok(vec![number(text)?]),
        Some((from, to)) => {
            let (from, to) = (number(from)?, number(to)?);
            if from > to {
                Err(format!("--seeds: {text} is empty"))
            } else {
                Ok((from..=to).collect())
            }
        }
    }
}

/// Runs one seed; the error of a violation names the seed and admission mode that reproduce it.
fn run_seed(
    plan: &Experiment,
    mode: AdmissionMode,
    seed: u64,
    trace: bool,
) -> Result<Outcome, String> {
    World::new(plan, mode, seed, trace)?
        .run()
        .map_err(|broken| {
            let again = format!("seed {seed}, door {}: {}", mode.name(), broken.rule);
            if broken.last.is_empty() {
                again
            } else {
                format!("{}\n{again}", broken.last.join("\n"))
            }
        })
}

/// Runs all jobs on all cores; results are in the order of the jobs.
fn run_parallel<J: Sync, R: Send>(jobs: &[J], work: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let bar = ProgressBar::new(jobs.len() as u64);
    let next = std::sync::atomic::AtomicUsize::new(0);
    let done = std::sync::Mutex::new(vec![]);
    let threads = std::thread::available_parallelism()
        .map_or(1, usize::from)
        .min(jobs.len());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(job) = jobs.get(at) else { break };
                    let result = work(job);
                    done.lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner)
                        .push((at, result));
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut done = done
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    done.sort_by_key(|(at, _)| *at);
    done.into_iter().map(|(_, result)| result).collect()
}

/// Kind of an experiment, if its file names one.
fn kind(path: &Path) -> Result<Option<String>, String> {
    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(&e))?;
    let table: toml::Table = toml::from_str(&text).map_err(|e| named(&e))?;
    Ok(table
        .get("kind")
        .and_then(|k| k.as_str())
        .map(str::to_owned))
}

fn run_membership(path: &Path, seeds: &[u64], out: Option<PathBuf>) -> Result<(), String> {
    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(&e))?;
    let plan = membership::Plan::parse(&text).map_err(|e| named(&e))?;
    let kinds = plan
        .sizes
        .iter()
        .flat_map(|s| plan.lost.iter().map(|l| (*s, *l)));
    let jobs: Vec<(usize, f64, u64)> = kinds
        .flat_map(|(s, l)| seeds.iter().map(move |n| (s, l, *n)))
        .collect();
    let rows = run_parallel(&jobs, |(size, lost, seed)| {
        let row = plan.play(*size, *lost, *seed);
        row.map_err(|b| format!("size {size}, lost {lost}, seed {seed}: {}", b.0))
    });
    let rows = rows.into_iter().collect::<Result<Vec<_>, _>>()?;
    print!("{}", membership::table(&rows));
    println!(
        "{}: {} fleets, nothing promised was broken",
        plan.name,
        rows.len()
    );
    out.map_or(Ok(()), |dir| {
        membership::write(&dir, &plan, &rows).map_err(|e| format!("{}: {e}", dir.display()))
    })
}

fn run_view(path: &Path, seeds: &[u64], out: Option<PathBuf>) -> Result<(), String> {
    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(&e))?;
    let plan = view::Plan::parse(&text).map_err(|e| named(&e))?;
    let kinds = plan
        .sizes
        .iter()
        .flat_map(|s| plan.cases.iter().map(|c| (*s, *c)));
    let jobs: Vec<_> = kinds
        .flat_map(|(s, c)| seeds.iter().map(move |n| (s, c, *n)))
        .collect();
    let rows = run_parallel(&jobs, |(size, case, seed)| {
        let row = plan.play(*size, *case, *seed);
        row.map_err(|b| format!("size {size}, case {case:?}, seed {seed}: {}", b.0))
    });
    let (rows, broken): (Vec<_>, Vec<_>) = rows.into_iter().partition(Result::is_ok);
    let rows: Vec<view::Row> = rows.into_iter().flatten().collect();
    print!("{}", view::table(&rows));
    if let Some(dir) = out {
        view::write(&dir, &plan, &rows).map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    let broken: Vec<String> = broken.into_iter().filter_map(Result::err).collect();
    let claims: u64 = rows.iter().map(|r| r.claims).sum();
    println!(
        "{}: {} plays, {claims} claims judged, {} plays broken",
        plan.name,
        jobs.len(),
        broken.len()
    );
    if broken.is_empty() {
        Ok(())
    } else {
        Err(broken.join("\n"))
    }
}

/// Runs one after the other, since concurrent runs would compete for CPU time.
fn run_cluster_test(
    path: &Path,
    seeds: &[u64],
    program: &Path,
    before: &Path,
    out: Option<PathBuf>,
) -> Result<(), String> {
    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(&e))?;
    let plan = cluster_test::Plan::parse(&text).map_err(|e| named(&e))?;
    let mut rows = vec![];
    for size in &plan.gateways {
        for (seed, variant) in seeds
            .iter()
            .flat_map(|s| plan.ways.iter().map(move |w| (*s, *w)))
        {
            let program = if variant == cluster_test::Variant::Plain {
                before
            } else {
                program
            };
            rows.push(plan.play(program, variant, *size, seed)?);
        }
    }
    print!("{}", cluster_test::table(&rows));
    let broken: Vec<String> = rows
        .iter()
        .flat_map(|r| {
            r.broken
                .iter()
                .map(|b| format!("{} seed {}: {b}", r.way, r.seed))
        })
        .collect();
    if let Some(dir) = out {
        cluster_test::write(&dir, &plan, &rows).map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    if broken.is_empty() {
        println!("{}: {} plays, no rule broken", plan.name, rows.len());
        return Ok(());
    }
    Err(broken.join("\n"))
}

fn run(path: &Path, seeds: &[u64], out: Option<PathBuf>) -> Result<(), String> {
    match kind(path)?.as_deref() {
        Some("membership") => return run_membership(path, seeds, out),
        Some("view") => return run_view(path, seeds, out),
        Some(other) => return Err(format!("{}: unknown kind {other:?}", path.display())),
        None => {}
    }
    let plan = Experiment::load(path)?;
    let jobs: Vec<(AdmissionMode, u64)> = plan
        .admission_modes
        .iter()
        .flat_map(|d| seeds.iter().map(|s| (*d, *s)))
        .collect();
    let outcomes = run_parallel(&jobs, |(mode, seed)| run_seed(&plan, *mode, *seed, false));
    let (mut lines, mut memory, mut steps) = (vec![], vec![], 0);
    for ((mode, seed), outcome) in jobs.iter().zip(outcomes) {
        let outcome = outcome.map_err(|e| {
            format!(
                "{e}\nsee it again: valehatch-testbed replay {} --seed {seed} --door {}",
                path.display(),
                mode.name()
            )
        })?;
        lines.extend(report::lines(&plan, mode.name(), *seed, &outcome));
        steps += outcome.steps;
        memory.push(outcome.memory_kb);
    }
    print!("{}", report::table(&lines));
    println!(
        "{}: {} runs, {steps} steps, no rule broken",
        plan.name,
        jobs.len()
    );
    if let Some(dir) = out {
        report::write(&dir, &plan, &lines, &memory)
            .map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let outcome = match Arguments::parse().command {
        Command::Run {
            experiment,
            seeds: text,
            out,
        } => seeds(&text).and_then(|s| run(&experiment, &s, out)),
        Command::ClusterTest {
            experiment,
            seed,
            program,
            before,
            out,
        } => {
            let before = before.unwrap_or_else(|| program.clone());
            seeds(&seed).and_then(|s| run_cluster_test(&experiment, &s, &program, &before, out))
        }
        Command::Replay {
            experiment,
            seed,
            door,
            steps,
        } => Experiment::load(&experiment).and_then(|plan| {
            let named = |name: &String| {
                plan.admission_modes
                    .iter()
                    .find(|d| d.name() == name)
                    .copied()
            };
            let mode = match &door {
                None => plan.admission_modes[0],
                Some(name) => named(name)
                    .ok_or_else(|| format!("--door: {name:?} is none of the experiment's"))?,
            };
            let outcome = run_seed(&plan, mode, seed, true)?;
            outcome
                .last
                .iter()
                .rev()
                .take(steps)
                .rev()
                .for_each(|step| println!("{step}"));
            print!(
                "{}",
                report::table(&report::lines(&plan, mode.name(), seed, &outcome))
            );
            Ok(())
        }),
        Command::Soak(soak) => seeds(&soak.seeds).and_then(|seeds| soak.run(&seeds)),
        Command::List { folder } => list(&folder),
        Command::Load(load) => load.run(),
        Command::Compare { first, second } => report::compare(&first, &second)
            .map(|t| print!("{t}"))
            .map_err(|e| e.to_string()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("{text}");
            ExitCode::from(2)
        }
    }
}

fn list(folder: &Path) -> Result<(), String> {
    let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|e| e.ok().map(|e| e.path())).collect();
    paths.retain(|p| p.extension().is_some_and(|e| e == "toml"));
    paths.sort();
    for path in paths {
        let about = match kind(&path)? {
            None => Experiment::load(&path)?.about,
            Some(kind) => format!("({kind})"),
        };
        println!("{:<36} {about}", path.display());
    }
    Ok(())
}
