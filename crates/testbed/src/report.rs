//! Results of runs: table, CSV, JSON and charts, and comparisons by bootstrap over the seeds.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::path::Path;

use plotters::prelude::*;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

use crate::experiment::Experiment;
use crate::world::Outcome;

/// Results of one tenant in one run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Line {
    pub door: String,
    pub seed: u64,
    pub tenant: String,
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    /// Work done for the tenant, as a share of the capacity of all members.
    pub work: f64,
    /// Work done relative to the work due: the smaller of the requested work and the tenant's
    /// share; at most 1.
    pub of_due: f64,
    pub wait_p50_ms: f64,
    pub wait_p99_ms: f64,
    pub answer_p99_ms: f64,
    pub hints_kept: u64,
    pub hints_right: u64,
    pub too_late: u64,
    pub memory_first_kb: u64,
    pub memory_last_kb: u64,
    /// Peak of the retries over their mean, over sliding windows of half a second.
    pub returns_peak: f64,
}

/// Result lines of a run, one for each tenant.
pub fn lines(plan: &Experiment, door: &str, seed: u64, outcome: &Outcome) -> Vec<Line> {
    let seconds = (plan.seconds - plan.measured_from) as f64;
    let parts: f64 = plan.class.iter().map(|c| c.part).sum();
    let mean_work = plan.class.iter().map(|c| c.part * c.work_ms).sum::<f64>() / parts;
    let capacity = (plan.members * plan.cores) as f64 * seconds * 1000.0;
    let shares: f64 = plan.tenant.iter().map(|t| t.share).sum();
    let all: f64 = outcome.tenants.iter().map(|t| t.work_ms).sum();
    let from = usize::try_from(plan.measured_from * 10).unwrap_or(0);
    let returns = outcome.returns.get(from..).unwrap_or(&[]);
    let filled: Vec<f64> = returns
        .windows(5)
        .map(|w| w.iter().sum::<u32>() as f64)
        .collect();
    let mean = filled.iter().sum::<f64>() / filled.len().max(1) as f64;
    let peak = filled.iter().copied().fold(0.0, f64::max) / mean.max(1.0);
    plan.tenant
        .iter()
        .zip(&outcome.tenants)
        .map(|(t, seen)| {
            let share = all.max(capacity * 0.5).min(capacity) * t.share / shares;
            let due = (seen.asked as f64 * mean_work).min(share).max(1e-9);
            Line {
                door: door.into(),
                seed,
                tenant: t.name.clone(),
                asked: seen.asked,
                in_time: seen.in_time,
                late: seen.late,
                refused: seen.refused,
                failed: seen.failed,
                work: seen.work_ms / capacity,
                of_due: (seen.work_ms / due).min(1.0),
                wait_p50_ms: seen.waits.value_at_quantile(0.5) as f64 / 1000.0,
                wait_p99_ms: seen.waits.value_at_quantile(0.99) as f64 / 1000.0,
                answer_p99_ms: seen.answers.value_at_quantile(0.99) as f64 / 1000.0,
                hints_kept: seen.hints_kept,
                hints_right: seen.hints_right,
                too_late: outcome.too_late,
                memory_first_kb: outcome.memory_kb.first().copied().unwrap_or(0),
                memory_last_kb: outcome.memory_kb.last().copied().unwrap_or(0),
                returns_peak: peak,
            }
        })
        .collect()
}

type Metric = (&'static str, fn(&Line) -> f64);

/// Metrics that [`compare`] compares.
pub const METRICS: [Metric; 6] = [
    ("of-due", |l| l.of_due),
    ("wait-p99-ms", |l| l.wait_p99_ms),
    ("answer-p99-ms", |l| l.answer_p99_ms),
    ("in-time", |l| l.in_time as f64 / l.asked.max(1) as f64),
    ("hints-right", |l| {
        if l.hints_kept > 0 {
            l.hints_right as f64 / l.hints_kept as f64
        } else {
            1.0
        }
    }),
    ("work", |l| l.work),
];

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn grouped(lines: &[Line]) -> BTreeMap<(String, String), Vec<&Line>> {
    let mut groups: BTreeMap<(String, String), Vec<&Line>> = BTreeMap::new();
    lines.iter().for_each(|l| {
        groups
            .entry((l.door.clone(), l.tenant.clone()))
            .or_default()
            .push(l)
    });
    groups
}

/// Formats the results as the table that is printed: means over the seeds, and the worst seed for
/// the work due.
pub fn table(lines: &[Line]) -> String {
    let mut out = format!(
        "{:<12} {:<14} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>9} {:>9} {:>9} {:>7} {:>8} {:>8}\n",
        "door",
        "tenant",
        "asked",
        "in time",
        "late",
        "refused",
        "of due",
        "worst",
        "p50 ms",
        "p99 ms",
        "ans p99",
        "hints",
        "right",
        "too late"
    );
    for ((door, tenant), all) in grouped(lines) {
        let of = |f: &dyn Fn(&Line) -> f64| mean(&all.iter().map(|l| f(l)).collect::<Vec<_>>());
        let worst = all.iter().map(|l| l.of_due).fold(1.0, f64::min);
        let (kept, right): (u64, u64) = all
            .iter()
            .fold((0, 0), |(k, r), l| (k + l.hints_kept, r + l.hints_right));
        out += &format!(
            "{door:<12} {tenant:<14} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>7.3} {worst:>7.3} {:>9.1} {:>9.1} {:>9.1} {kept:>7} {:>8.3} {:>8}\n",
            of(&|l| l.asked as f64),
            of(&|l| l.in_time as f64),
            of(&|l| l.late as f64),
            of(&|l| l.refused as f64),
            of(&|l| l.of_due),
            of(&|l| l.wait_p50_ms),
            of(&|l| l.wait_p99_ms),
            of(&|l| l.answer_p99_ms),
            right as f64 / kept.max(1) as f64,
            all.iter().map(|l| l.too_late).max().unwrap_or(0),
        );
    }
    out
}

/// Writes the experiment, results and charts into a folder.
pub fn write(
    dir: &Path,
    plan: &Experiment,
    lines: &[Line],
    memory: &[Vec<u64>],
) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(dir)?;
    fs::write(dir.join("experiment.toml"), toml::to_string(plan)?)?;
    fs::write(
        dir.join("results.json"),
        serde_json::to_string_pretty(lines)?,
    )?;
    let mut csv = String::from(
        "door,seed,tenant,asked,in_time,late,refused,failed,work,of_due,wait_p50_ms,wait_p99_ms,answer_p99_ms,hints_kept,hints_right,too_late,memory_first_kb,memory_last_kb,returns_peak\n",
    );
    for l in lines {
        csv += &format!(
            "{},{},{},{},{},{},{},{},{:.5},{:.5},{:.3},{:.3},{:.3},{},{},{},{},{},{:.3}\n",
            l.door,
            l.seed,
            l.tenant,
            l.asked,
            l.in_time,
            l.late,
            l.refused,
            l.failed,
            l.work,
            l.of_due,
            l.wait_p50_ms,
            l.wait_p99_ms,
            l.answer_p99_ms,
            l.hints_kept,
            l.hints_right,
            l.too_late,
            l.memory_first_kb,
            l.memory_last_kb,
            l.returns_peak
        );
    }
    fs::write(dir.join("results.csv"), csv)?;
    fs::write(dir.join("table.txt"), table(lines))?;
    let (svg, png) = (dir.join("shares.svg"), dir.join("shares.png"));
    draw_due_chart(
        SVGBackend::new(&svg, (900, 420)).into_drawing_area(),
        lines,
        true,
    )?;
    // The bitmap backend has no font here, so the PNG has no text; bars are in the order of the
    // table.
    draw_due_chart(
        BitMapBackend::new(&png, (900, 420)).into_drawing_area(),
        lines,
        false,
    )?;
    let svg = dir.join("memory.svg");
    draw_memory_chart(
        SVGBackend::new(&svg, (900, 420)).into_drawing_area(),
        memory,
    )?;
    Ok(())
}

/// Bar chart of the work done relative to the work due, by admission mode and tenant, mean over the
/// seeds.
fn draw_due_chart<B: DrawingBackend>(
    area: DrawingArea<B, plotters::coord::Shift>,
    lines: &[Line],
    with_text: bool,
) -> Result<(), Box<dyn Error>>
where
    B::ErrorType: 'static,
{
    area.fill(&WHITE)?;
    let groups: Vec<_> = grouped(lines).into_iter().collect();
    let mut builder = ChartBuilder::on(&area);
    builder.margin(20);
    if with_text {
        builder.caption(
            "part of min(asked, share) that each got",
            ("sans-serif", 18),
        );
        builder.x_label_area_size(60).y_label_area_size(40);
    }
    let count = i32::try_from(groups.len())?;
    let mut chart = builder.build_cartesian_2d(0..count, 0.0..1.05)?;
    if with_text {
        let names: Vec<String> = groups
            .iter()
            .map(|((d, t), _)| format!("{d}/{t}"))
            .collect();
        let label = |n: &i32| {
            usize::try_from(*n)
                .ok()
                .and_then(|n| names.get(n).cloned())
                .unwrap_or_default()
        };
        let style = ("sans-serif", 10)
            .into_font()
            .transform(FontTransform::None);
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(groups.len())
            .x_label_formatter(&label)
            .x_label_style(style)
            .draw()?;
    }
    for (n, ((_, _), all)) in (0..).zip(&groups) {
        let height = mean(&all.iter().map(|l| l.of_due).collect::<Vec<_>>());
        let colour = Palette99::pick(usize::try_from(n)?).mix(0.8);
        chart.draw_series(std::iter::once(Rectangle::new(
            [(n, 0.0), (n + 1, height)],
            colour.filled(),
        )))?;
    }
    area.present()?;
    Ok(())
}

/// Line chart of the resident memory of each run over time.
fn draw_memory_chart<B: DrawingBackend>(
    area: DrawingArea<B, plotters::coord::Shift>,
    runs: &[Vec<u64>],
) -> Result<(), Box<dyn Error>>
where
    B::ErrorType: 'static,
{
    area.fill(&WHITE)?;
    let most = runs.iter().flatten().copied().max().unwrap_or(1) as f64 / 1024.0;
    let length = runs.iter().map(Vec::len).max().unwrap_or(1);
    let mut builder = ChartBuilder::on(&area);
    builder
        .margin(20)
        .caption("resident memory, MB, by second", ("sans-serif", 18));
    builder.x_label_area_size(30).y_label_area_size(50);
    let mut chart = builder.build_cartesian_2d(0..length, 0.0..most * 1.1)?;
    chart.configure_mesh().draw()?;
    for (n, run) in runs.iter().enumerate() {
        let points = run
            .iter()
            .enumerate()
            .map(|(s, kb)| (s, *kb as f64 / 1024.0));
        chart.draw_series(LineSeries::new(points, Palette99::pick(n).mix(0.9)))?;
    }
    area.present()?;
    Ok(())
}

/// Creates a folder with the experiment, the results as JSON and the table; returns the writer for
/// its CSV file.
pub fn create_result_folder(
    dir: &Path,
    plan: &impl Serialize,
    rows: &impl Serialize,
    table: &str,
) -> Result<csv::Writer<fs::File>, Box<dyn Error>> {
    fs::create_dir_all(dir)?;
    fs::write(dir.join("experiment.toml"), toml::to_string(plan)?)?;
    fs::write(dir.join("results.json"), serde_json::to_string(rows)?)?;
    fs::write(dir.join("table.txt"), table)?;
    Ok(csv::Writer::from_path(dir.join("results.csv"))?)
}

/// Line chart of the served share of requests by second, for each variant, summed over its runs of
/// the largest fleet.
pub fn draw_served_chart(
    path: &Path,
    rows: &[crate::cluster_test::Row],
) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let size = rows.iter().map(|r| r.gateways).max().unwrap_or(0);
    let length = rows.iter().map(|r| r.curve.len()).max().unwrap_or(1) as f64 / 10.0;
    let mut builder = ChartBuilder::on(&area);
    let caption = format!("served of asked, {size} gateways, by second");
    builder
        .margin(20)
        .caption(caption, ("sans-serif", 18))
        .x_label_area_size(30)
        .y_label_area_size(50);
    let mut chart = builder.build_cartesian_2d(0.0..length, 0.0..1.05)?;
    chart.configure_mesh().draw()?;
    let mut variants: Vec<&str> = rows.iter().map(|r| r.way.as_str()).collect();
    variants.sort_unstable();
    variants.dedup();
    for (n, variant) in variants.into_iter().enumerate() {
        let ours: Vec<_> = rows
            .iter()
            .filter(|r| r.way == variant && r.gateways == size)
            .collect();
        let bins = ours.iter().map(|r| r.curve.len()).min().unwrap_or(0);
        let point = |bin: usize| {
            let sum = ours
                .iter()
                .map(|r| r.curve[bin])
                .fold((0, 0), |(a, s), (x, y)| (a + x, s + y));
            (bin as f64 / 10.0, sum.1 as f64 / sum.0.max(1) as f64)
        };
        let colour = Palette99::pick(n).mix(0.9);
        let series = chart.draw_series(LineSeries::new((0..bins).map(point), colour))?;
        series
            .label(variant)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}

/// Compares the results of two folders: 95 % confidence intervals of the differences of the means,
/// by bootstrap over the seeds.
pub fn compare(a: &Path, b: &Path) -> Result<String, Box<dyn Error>> {
    let read = |dir: &Path| -> Result<Vec<Line>, Box<dyn Error>> {
        let path = dir.join("results.json");
        let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(serde_json::from_str(&text)?)
    };
    let (first, second) = (read(a)?, read(b)?);
    let (first, second) = (grouped(&first), grouped(&second));
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut out = format!(
        "{:<12} {:<14} {:<12} {:>10} {:>10}  difference, 95 %\n",
        "door", "tenant", "what", "first", "second"
    );
    for (key, ours) in &first {
        let Some(theirs) = second.get(key) else {
            continue;
        };
        for (name, metric) in METRICS {
            let x: Vec<f64> = ours.iter().map(|l| metric(l)).collect();
            let y: Vec<f64> = theirs.iter().map(|l| metric(l)).collect();
            let mut draw = |v: &[f64]| {
                mean(
                    &(0..v.len())
                        .map(|_| v[rng.random_range(0..v.len())])
                        .collect::<Vec<_>>(),
                )
            };
            let mut differences: Vec<f64> = (0..2000).map(|_| draw(&y) - draw(&x)).collect();
            differences.sort_by(f64::total_cmp);
            let (low, high) = (differences[50], differences[1949]);
            let said = if low <= 0.0 && high >= 0.0 {
                "no difference".into()
            } else {
                format!("{low:+.4} to {high:+.4}")
            };
            out += &format!(
                "{:<12} {:<14} {name:<12} {:>10.4} {:>10.4}  {said}\n",
                key.0,
                key.1,
                mean(&x),
                mean(&y)
            );
        }
    }
    Ok(out)
}
