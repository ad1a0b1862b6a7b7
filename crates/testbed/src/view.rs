//! How soon a fleet's view settles after faults, what it costs, by size: the real heart in virtual time, judged throughout.

use std::path::Path;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use valehatch_membership::wire::Phase;
use valehatch_policy::Span;

use crate::fleet::{Broken, Fleet, Network};
use crate::membership::quantile;

/// What happens to a fleet that is settled.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// Nothing but the start of all at once.
    Start,
    /// Two halves for 10 s, and three islands for 20 s.
    Halves,
    Islands,
    /// One half does not hear the other for 20 s.
    OneWay,
    /// One hears all and is heard by none for 30 s.
    Unheard,
    /// 7 of 10 are killed at once and back under the same names 2 s later.
    Killed,
    /// One is started again every 1.4 s for 30 s.
    CrashLoop,
    /// Between two halves nothing passes for a second of each two, for 60 s.
    Flapping,
    /// A tenth stands still for 20 s.
    Stopped,
    /// A tenth starts again with its clock an hour back.
    ClockBack,
    /// Half of the datagrams are lost, the rest late and doubled, while all start.
    Weather,
    /// Each ends as planned and starts again, one tenth after the other.
    Rolling,
    /// One more whose seeds are this fleet's, and to which nobody speaks: it is of another.
    Foreign,
    /// Two under one name.
    Namesakes,
}

impl Case {
    /// All.
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
    /// Always "view".
    pub kind: String,
    /// Its name, and what it is to show.
    pub name: String,
    pub about: String,
    /// Gateways, cases, and the part of datagrams that is lost; half as many come twice.
    pub sizes: Vec<usize>,
    pub cases: Vec<Case>,
    pub lost: f64,
    /// Gateways that each begins with.
    pub seeds: usize,
    /// Time between two questions, bytes a second, one way over the network at the most.
    pub period_ms: i64,
    pub bytes_s: u32,
    pub delay_ms: i64,
    /// How long bytes are counted in rest, and within what time after the last fault the view must be settled.
    pub quiet_s: i64,
    pub within_s: i64,
}

/// One fleet of one seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    pub size: usize,
    pub case: String,
    pub seed: u64,
    /// From the start of all, and from the end of the last fault, until all say rightly that their view is settled.
    pub start_s: f64,
    pub settled_s: f64,
    /// Bytes a second of one gateway in rest, the mean and the most of any; and from the first fault until settled.
    pub quiet_bytes_s: f64,
    pub most_bytes_s: f64,
    pub fault_bytes_s: f64,
    /// Claims to be settled that were judged, and steps that were played.
    pub claims: u64,
    pub steps: u64,
    /// Resident memory that the play added, for each gateway. Means something only where one play runs at a time.
    pub memory_kb: f64,
}

const fn s(seconds: i64) -> Span {
    Span::from_millis(seconds * 1000)
}

fn resident() -> f64 {
    let status = procfs::process::Process::myself().and_then(|p| p.status());
    status.ok().and_then(|s| s.vmrss).unwrap_or(0) as f64
}

/// One fleet that is played.
pub struct Play {
    pub fleet: Fleet,
    size: usize,
    rng: Xoshiro256PlusPlus,
    network: Network,
}

impl Play {
    /// So many gateways, none started, and two more that some cases need.
    pub fn new(plan: &Plan, size: usize, seed: u64) -> Self {
        let delay = (Span(200), Span::from_millis(plan.delay_ms));
        let network = Network {
            lost: plan.lost,
            doubled: plan.lost / 2.0,
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

    fn wait(&mut self, span: Span) -> Result<(), Broken> {
        self.fleet.run(span, |_| false).map(drop)
    }

    fn start(&mut self, n: usize, off_ms: i64) -> Result<(), Broken> {
        self.fleet.start(n, off_ms).map_err(Broken)
    }

    /// All start at once; how long until it is settled, if that was in time.
    pub fn begin(&mut self, within: Span) -> Result<f64, Broken> {
        for n in 0..self.size {
            self.start(n, 0)?;
        }
        self.settle(within)
    }

    /// Seconds until all say rightly that their view is settled.
    pub fn settle(&mut self, within: Span) -> Result<f64, Broken> {
        let began = self.fleet.now;
        if self.fleet.run(within, Fleet::settled)? {
            return Ok((self.fleet.now - began).as_f64() / 1e6);
        }
        let mut said: Vec<_> = self.fleet.running().map(|(_, h)| h.view_status()).collect();
        said.sort_by_key(|s| (s.digest, s.agreeing_members));
        said.dedup_by_key(|s| s.digest);
        said.truncate(8);
        Err(Broken(format!(
            "not settled after {} s: {said:?}",
            within.0 / 1_000_000
        )))
    }

    fn drawn(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.size).collect();
        all.shuffle(&mut self.rng);
        all.truncate(count.max(1));
        all
    }

    /// What happens. After it the network is well and all run.
    pub fn happens(&mut self, case: Case) -> Result<(), Broken> {
        let size = self.size;
        let part: Vec<usize> = (0..size + 2).map(|_| self.rng.random_range(0..6)).collect();
        let half = part.clone();
        match case {
            Case::Start => {}
            Case::Halves | Case::Islands => {
                let parts = if case == Case::Halves { 2 } else { 3 };
                self.fleet
                    .cut_by(move |a, b| part[a] % parts == part[b] % parts);
                self.wait(s(if parts == 2 { 10 } else { 20 }))?;
            }
            Case::OneWay => {
                let half: Vec<usize> = part.iter().map(|p| p % 2).collect();
                self.fleet
                    .cut_by(move |a, b| half[a] == half[b] || half[a] == 0);
                self.wait(s(20))?;
            }
            Case::Unheard => {
                let one = self.drawn(1)[0];
                self.fleet.cut_by(move |a, _| a != one);
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
                    self.fleet.cut_by(move |a, b| part[a] % 2 == part[b] % 2);
                    self.wait(s(1))?;
                    self.fleet.heal();
                    self.wait(s(1))?;
                }
            }
            Case::Stopped => {
                let which = self.drawn(size / 10);
                which.iter().for_each(|n| self.fleet.stop(*n, s(20)));
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
                    doubled: 0.5,
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
                        .try_for_each(|n| self.fleet.phase(*n, Phase::Draining))?;
                    self.wait(s(1))?;
                    some.iter().try_for_each(|n| self.fleet.leave(*n))?;
                    self.wait(s(1))?;
                    some.iter().try_for_each(|n| self.start(*n, 0))?;
                    self.wait(s(1))?;
                    some.iter()
                        .try_for_each(|n| self.fleet.phase(*n, Phase::Full))?;
                }
            }
            Case::Foreign => {
                // The link drops what is of another fleet: neither hears the other, whoever asks.
                self.fleet.cut_by(move |a, b| (a == size) == (b == size));
                self.start(size, 0)?;
                self.wait(s(20))?;
                self.fleet.kill(size);
            }
            Case::Namesakes => {
                let one = self.drawn(1)[0];
                self.fleet.rename(size + 1, one);
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
    /// Reads and checks a text.
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

    /// Plays one fleet: it starts and settles, rests, the case happens, it settles again.
    pub fn play(&self, size: usize, case: Case, seed: u64) -> Result<Row, Broken> {
        let (before, within) = (resident(), s(self.within_s));
        let mut play = Play::new(self, size, seed);
        let start_s = play.begin(within)?;
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
        play.happens(case)?;
        let settled_s = if case == Case::Start {
            0.0
        } else {
            play.settle(within)?
        };
        play.fleet.followed()?;
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
            claims: play.fleet.judge.claims,
            steps: play.fleet.steps,
            memory_kb,
        })
    }
}

/// The table that is printed.
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

/// Writes results into a folder.
pub fn write(dir: &Path, plan: &Plan, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let mut csv = crate::report::folder(dir, plan, &rows, &table(rows))?;
    rows.iter().try_for_each(|row| csv.serialize(row))?;
    csv.flush()?;
    Ok(())
}
