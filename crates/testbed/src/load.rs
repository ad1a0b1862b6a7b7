//! Load on sockets: a real gateway process between stub members and clients, and the same load
//! directly on the stub members.
//!
//! Closed loop: each connection sends its next request as soon as the last one is answered. Open
//! loop: each connection has a schedule, and latencies count from the scheduled send time, so that
//! delays behind a slow request are included (corrected for coordinated omission). CPU time is user
//! and system time of the gateway process, accounted in ticks of 10 ms.

use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, Builder, sleep};
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::members;

/// Client protocol.
#[derive(Clone, Copy, Debug, ValueEnum, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Front {
    /// PostgreSQL's simple queries.
    Postgresql,
    /// The Cassandra native protocol, version 4.
    Cassandra,
}

/// Options of the load measurement.
#[derive(Args)]
pub struct Load {
    /// Front to measure.
    #[arg(long, value_enum)]
    front: Front,
    /// Numbers of client connections to measure.
    #[arg(long, value_delimiter = ',', default_value = "1,8,64,256")]
    connections: Vec<usize>,
    /// Open-loop rate over all connections, in requests per second. Without it: a closed-loop
    /// measurement, then an open-loop one at half of its throughput.
    #[arg(long)]
    rate: Option<u64>,
    /// Length of each measurement in seconds, after half a second of warm-up.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Number of stub members behind the gateway; they answer at once.
    #[arg(long, default_value_t = 3)]
    members: usize,
    /// Rounds: each one measures every program once; medians are printed.
    #[arg(long, default_value_t = 1)]
    turns: usize,
    /// Gateway executable, or several to compare.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "target/release/valehatch"
    )]
    program: Vec<PathBuf>,
    /// Files with additional configuration for each program, in the same order; `-` for none.
    #[arg(long, value_delimiter = ',')]
    more: Vec<PathBuf>,
    /// File for the results as JSON.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Results of a measurement.
#[derive(Clone, Debug, Default, Serialize)]
struct Figures {
    per_s: f64,
    p50_us: f64,
    p99_us: f64,
    cpu_us: f64,
    failed: f64,
}

/// Results of one program in one round.
#[derive(Debug, Serialize)]
struct Line {
    connections: usize,
    #[serde(rename = "way")]
    program: String,
    closed: Option<Figures>,
    /// Throughput relative to the same load directly on the stub members.
    of_direct: f64,
    open_rate: u64,
    open: Figures,
    /// Directly on the stub members, at the same rate.
    open_direct: Figures,
}

/// A running gateway process and its folder; dropping it kills the process and removes the folder.
struct Program(Child, PathBuf);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_dir_all(&self.1);
    }
}

impl Program {
    fn start(
        path: &Path,
        front: Front,
        members: &[SocketAddr],
        number: usize,
        more: &str,
    ) -> Result<(Self, SocketAddr), String> {
        let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
        let listen = free.map_err(|e| format!("no free port: {e}"))?;
        let folder =
            std::env::temp_dir().join(format!("valehatch-load-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let protocol = if front == Front::Postgresql {
            "postgresql"
        } else {
            "cassandra"
        };
        let statements = if front == Front::Postgresql {
            ""
        } else {
            "statements = [\"SELECT\"]\n"
        };
        let mut text = format!(
            "[gateway]\nsockets = 4096\n[[front]]\nname = \"load\"\nprotocol = \"{protocol}\"\nlisten = \"{listen}\"\n\
             [[front.contract]]\nname = \"read\"\n{statements}need = \"any\"\neffect = \"safe\"\naim-ms = 2000\n\
             deadline-ms = 5000\nworth = 1\n"
        );
        for (n, member) in members.iter().enumerate() {
            text += &format!(
                "[[front.member]]\nname = \"member-{n}\"\naddress = \"{member}\"\nprimary = {}\n",
                n == 0
            );
        }
        text += more;
        let file = folder.join("gateway.toml");
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        let child = Command::new(path)
            .arg("serve")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| format!("--program {}: {e}", path.display()))?;
        let mut program = Self(child, folder);
        let end = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect(listen).is_err() {
            if let Ok(Some(status)) = program.0.try_wait() {
                return Err(format!("--program {} ended: {status}", path.display()));
            }
            if Instant::now() > end {
                return Err(format!("--program {} does not listen", path.display()));
            }
            sleep(Duration::from_millis(10));
        }
        Ok((program, listen))
    }

    /// User and system time of the process so far, in microseconds.
    fn cpu_us(&self) -> f64 {
        let stat = i32::try_from(self.0.id())
            .ok()
            .and_then(|id| procfs::process::Process::new(id).ok()?.stat().ok());
        let ticks = stat.map_or(0, |s| s.utime + s.stime);
        ticks as f64 * 1e6 / procfs::ticks_per_second() as f64
    }
}

/// Latencies in microseconds and failed requests of a connection.
struct ConnectionStats {
    times: Histogram<u64>,
    failed: u64,
}

impl ConnectionStats {
    fn new() -> Result<Self, String> {
        Ok(Self {
            times: Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?,
            failed: 0,
        })
    }
}

/// Start and end of a measurement, and in open loop the interval between the requests of a
/// connection.
#[derive(Clone, Copy)]
struct MeasurementWindow {
    from: Instant,
    until: Instant,
    interval: Option<Duration>,
}

/// Sends the requests of one connection.
fn run_connection(
    front: Front,
    address: SocketAddr,
    number: usize,
    of: usize,
    plan: MeasurementWindow,
    stop: &AtomicBool,
) -> Result<ConnectionStats, String> {
    let mut stats = ConnectionStats::new()?;
    let mut client =
        members::Client::connect(front, address).map_err(|e| format!("{address}: {e}"))?;
    let began = Instant::now();
    for n in 0_u32.. {
        let due = match plan.interval {
            // The connections are spread evenly over an interval.
            Some(interval) => {
                began
                    + interval * n
                    + interval * u32::try_from(number).unwrap_or(0) / u32::try_from(of).unwrap_or(1)
            }
            None => Instant::now(),
        };
        if due > plan.until || stop.load(Ordering::Relaxed) {
            break;
        }
        sleep(due.saturating_duration_since(Instant::now()));
        let answered = client.ask(u64::from(n) * of as u64 + number as u64);
        if due < plan.from {
            continue;
        }
        match answered {
            Ok(true) if Instant::now() <= plan.until || plan.interval.is_some() => {
                let _ = stats
                    .times
                    .record(u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX));
            }
            Ok(true) => {}
            Ok(false) => stats.failed += 1,
            Err(_) => {
                stats.failed += 1;
                client = members::Client::connect(front, address)
                    .map_err(|e| format!("{address}: {e}"))?;
            }
        }
    }
    Ok(stats)
}

impl Load {
    /// Applies load over a number of connections, each on its own thread, and measures it.
    fn measure(
        &self,
        addresses: &[SocketAddr],
        connections: usize,
        rate: Option<u64>,
        program: Option<&Program>,
    ) -> Result<Figures, String> {
        let from = Instant::now() + Duration::from_millis(500);
        let until = from + Duration::from_secs_f64(self.seconds);
        let interval = rate.map(|r| Duration::from_secs_f64(connections as f64 / r.max(1) as f64));
        let (plan, stop) = (
            MeasurementWindow {
                from,
                until,
                interval,
            },
            AtomicBool::new(false),
        );
        let mut cpu = 0.0;
        let all = thread::scope(|scope| {
            let stop = &stop;
            let one = |n: usize| {
                let address = addresses[n % addresses.len()];
                let work = move || run_connection(self.front, address, n, connections, plan, stop);
                Builder::new()
                    .stack_size(128 * 1024)
                    .spawn_scoped(scope, work)
                    .map_err(|e| e.to_string())
            };
            let threads: Vec<_> = (0..connections).map(one).collect();
            if let Some(program) = program {
                sleep(from.saturating_duration_since(Instant::now()));
                let before = program.cpu_us();
                sleep(until.saturating_duration_since(Instant::now()));
                cpu = program.cpu_us() - before;
            }
            let join = |t: Result<thread::ScopedJoinHandle<'_, _>, String>| {
                t?.join()
                    .map_err(|_| "a client thread panicked".to_owned())?
            };
            threads
                .into_iter()
                .map(join)
                .collect::<Result<Vec<ConnectionStats>, String>>()
        })?;
        let mut sum = ConnectionStats::new()?;
        for stats in all {
            sum.times.add(stats.times).map_err(|e| e.to_string())?;
            sum.failed += stats.failed;
        }
        let count = sum.times.len() as f64;
        Ok(Figures {
            per_s: count / self.seconds,
            p50_us: sum.times.value_at_quantile(0.5) as f64,
            p99_us: sum.times.value_at_quantile(0.99) as f64,
            cpu_us: cpu / count.max(1.0),
            failed: sum.failed as f64,
        })
    }

    fn line(
        &self,
        connections: usize,
        path: &Path,
        address: SocketAddr,
        direct: &[SocketAddr],
        program: &Program,
        direct_per_s: Option<f64>,
    ) -> Result<Line, String> {
        let closed = match self.rate {
            Some(_) => None,
            None => Some(self.measure(&[address], connections, None, Some(program))?),
        };
        let half = closed.as_ref().map_or(0.0, |c| c.per_s / 2.0);
        let open_rate = self.rate.unwrap_or(half as u64);
        let open = self.measure(&[address], connections, Some(open_rate), Some(program))?;
        let open_direct = self.measure(direct, connections, Some(open_rate), None)?;
        let of_direct = closed
            .as_ref()
            .zip(direct_per_s)
            .map_or(open.per_s / open_direct.per_s, |(c, d)| c.per_s / d);
        Ok(Line {
            connections,
            program: path.display().to_string(),
            closed,
            of_direct,
            open_rate,
            open,
            open_direct,
        })
    }

    /// Runs all measurements and prints the table.
    pub fn run(&self) -> Result<(), String> {
        if self.members == 0
            || self.turns == 0
            || self.seconds <= 0.0
            || self.connections.contains(&0)
        {
            return Err("--members, --turns, --seconds and --connections must be above 0".into());
        }
        if self.rate == Some(0) {
            return Err("--rate must be above 0".into());
        }
        let members: Vec<SocketAddr> = (0..self.members)
            .map(|n| {
                members::start(self.front, n == 0)
                    .map_err(|e| format!("cannot start a stub member: {e}"))
            })
            .collect::<Result<_, _>>()?;
        let mut lines: Vec<Vec<Line>> = vec![];
        for &connections in &self.connections {
            for _ in 0..self.turns {
                let direct_per_s = match self.rate {
                    Some(_) => None,
                    None => Some(self.measure(&members, connections, None, None)?.per_s),
                };
                let mut turn = vec![];
                for (n, path) in self.program.iter().enumerate() {
                    let more = self.more.get(n).filter(|m| m.as_os_str() != "-");
                    let more = more.map_or(Ok(String::new()), std::fs::read_to_string);
                    let more = more.map_err(|e| format!("--more: {e}"))?;
                    let (program, address) = Program::start(path, self.front, &members, n, &more)?;
                    turn.push(self.line(
                        connections,
                        path,
                        address,
                        &members,
                        &program,
                        direct_per_s,
                    )?);
                }
                lines.push(turn);
            }
        }
        let stdout = std::io::stdout();
        let mut out = stdout.lock();
        let text = self.table(&lines);
        out.write_all(text.as_bytes()).map_err(|e| e.to_string())?;
        if let Some(path) = &self.out {
            let all: Vec<&Line> = lines.iter().flatten().collect();
            let json = serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?;
            std::fs::write(path, json).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        Ok(())
    }

    fn table(&self, turns: &[Vec<Line>]) -> String {
        let front = if self.front == Front::Postgresql {
            "postgresql"
        } else {
            "cassandra"
        };
        let mut text = format!(
            "{front}, {} members that answer at once, {} s each, median of {} turns; times in us\n\
             {:>5} {:<28} {:>8} {:>7} {:>7} {:>7} {:>7} {:>9} | {:>8} {:>7} {:>7} {:>10} {:>7} {:>7}\n",
            self.members,
            self.seconds,
            self.turns,
            "conns",
            "program",
            "req/s",
            "p50",
            "p99",
            "cpu/req",
            "failed",
            "of direct",
            "rate",
            "p50",
            "p99",
            "p99 direct",
            "cpu/req",
            "failed"
        );
        for (chunk, &connections) in turns.chunks(self.turns).zip(&self.connections) {
            for (n, path) in self.program.iter().enumerate() {
                let of = |f: &dyn Fn(&Line) -> f64| {
                    median(chunk.iter().map(|turn| f(&turn[n])).collect())
                };
                let closed = |f: fn(&Figures) -> f64| of(&|l| l.closed.as_ref().map_or(0.0, f));
                text += &format!(
                    "{connections:>5} {:<28} {:>8.0} {:>7.0} {:>7.0} {:>7.1} {:>7.0} {:>9.3} | {:>8.0} {:>7.0} {:>7.0} {:>10.0} {:>7.1} {:>7.0}\n",
                    path.file_name()
                        .map_or_else(String::new, |p| p.to_string_lossy().into_owned()),
                    closed(|c| c.per_s),
                    closed(|c| c.p50_us),
                    closed(|c| c.p99_us),
                    closed(|c| c.cpu_us),
                    closed(|c| c.failed),
                    of(&|l| l.of_direct),
                    of(&|l| l.open_rate as f64),
                    of(&|l| l.open.p50_us),
                    of(&|l| l.open.p99_us),
                    of(&|l| l.open_direct.p99_us),
                    of(&|l| l.open.cpu_us),
                    of(&|l| l.open.failed),
                );
            }
        }
        text
    }
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}
