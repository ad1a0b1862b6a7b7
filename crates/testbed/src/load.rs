//! Load on sockets: the real program between stand-in members and clients, and the same load straight to the stand-ins.
//!
//! Closed loop: each connection asks again as soon as it is answered. Open loop: each has a schedule, and a latency
//! counts from when its request should have left, so that what was held up behind a slow one counts too (corrected for
//! coordinated omission). CPU is the program's own, user and system, as the process accounts for it in ticks of 10 ms.

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

/// Which protocol is spoken.
#[derive(Clone, Copy, Debug, ValueEnum, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Front {
    /// PostgreSQL's simple queries.
    Postgresql,
    /// The Cassandra native protocol, version 4.
    Cassandra,
}

/// What is measured.
#[derive(Args)]
pub struct Load {
    /// Which front.
    #[arg(long, value_enum)]
    front: Front,
    /// Connections from clients, one or several numbers.
    #[arg(long, value_delimiter = ',', default_value = "1,8,64,256")]
    connections: Vec<usize>,
    /// Requests a second over all connections, open loop. Without it: closed loop, and then open loop at half of what
    /// that gave.
    #[arg(long)]
    rate: Option<u64>,
    /// How long each measurement lasts, in seconds, behind half a second to warm up.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Members behind the gateway; they answer at once.
    #[arg(long, default_value_t = 3)]
    members: usize,
    /// Turns: in each one every program is measured, and the medians are printed.
    #[arg(long, default_value_t = 1)]
    turns: usize,
    /// The program, or several to be measured side by side.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "target/release/valehatch"
    )]
    program: Vec<PathBuf>,
    /// Parts of an operators' file for each program, in the same order; `-` for none.
    #[arg(long, value_delimiter = ',')]
    more: Vec<PathBuf>,
    /// Where the results go, as JSON.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// A measurement.
#[derive(Clone, Debug, Default, Serialize)]
struct Figures {
    per_s: f64,
    p50_us: f64,
    p99_us: f64,
    cpu_us: f64,
    failed: f64,
}

/// One line of the table.
#[derive(Debug, Serialize)]
struct Line {
    connections: usize,
    way: String,
    closed: Option<Figures>,
    /// Requests a second against the stand-in itself.
    of_direct: f64,
    open_rate: u64,
    open: Figures,
    /// Without the gateway, at the same rate.
    open_direct: Figures,
}

/// The program as it serves.
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

    /// User and system time so far, in microseconds.
    fn cpu_us(&self) -> f64 {
        let stat = i32::try_from(self.0.id())
            .ok()
            .and_then(|id| procfs::process::Process::new(id).ok()?.stat().ok());
        let ticks = stat.map_or(0, |s| s.utime + s.stime);
        ticks as f64 * 1e6 / procfs::ticks_per_second() as f64
    }
}

/// What one connection saw: latencies in microseconds, and requests that were not answered as they should be.
struct Seen {
    times: Histogram<u64>,
    failed: u64,
}

impl Seen {
    fn new() -> Result<Self, String> {
        Ok(Self {
            times: Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?,
            failed: 0,
        })
    }
}

/// When a measurement begins and ends, and how far apart a connection's requests are, if they have a schedule.
#[derive(Clone, Copy)]
struct Plan {
    from: Instant,
    until: Instant,
    gap: Option<Duration>,
}

/// One connection's requests.
fn ask(
    front: Front,
    address: SocketAddr,
    number: usize,
    of: usize,
    plan: Plan,
    stop: &AtomicBool,
) -> Result<Seen, String> {
    let mut seen = Seen::new()?;
    let mut client =
        members::Client::connect(front, address).map_err(|e| format!("{address}: {e}"))?;
    let began = Instant::now();
    for n in 0_u32.. {
        let due = match plan.gap {
            // Connections take turns within a gap.
            Some(gap) => {
                began
                    + gap * n
                    + gap * u32::try_from(number).unwrap_or(0) / u32::try_from(of).unwrap_or(1)
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
            Ok(true) if Instant::now() <= plan.until || plan.gap.is_some() => {
                let _ = seen
                    .times
                    .record(u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX));
            }
            Ok(true) => {}
            Ok(false) => seen.failed += 1,
            Err(_) => {
                seen.failed += 1;
                client = members::Client::connect(front, address)
                    .map_err(|e| format!("{address}: {e}"))?;
            }
        }
    }
    Ok(seen)
}

impl Load {
    /// Loads addresses with so many connections, each on its own thread.
    fn measure(
        &self,
        addresses: &[SocketAddr],
        connections: usize,
        rate: Option<u64>,
        program: Option<&Program>,
    ) -> Result<Figures, String> {
        let from = Instant::now() + Duration::from_millis(500);
        let until = from + Duration::from_secs_f64(self.seconds);
        let gap = rate.map(|r| Duration::from_secs_f64(connections as f64 / r.max(1) as f64));
        let (plan, stop) = (Plan { from, until, gap }, AtomicBool::new(false));
        let mut cpu = 0.0;
        let all = thread::scope(|scope| {
            let stop = &stop;
            let one = |n: usize| {
                let address = addresses[n % addresses.len()];
                let work = move || ask(self.front, address, n, connections, plan, stop);
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
                t?.join().map_err(|_| "a client has panicked".to_owned())?
            };
            threads
                .into_iter()
                .map(join)
                .collect::<Result<Vec<Seen>, String>>()
        })?;
        let mut sum = Seen::new()?;
        for seen in all {
            sum.times.add(seen.times).map_err(|e| e.to_string())?;
            sum.failed += seen.failed;
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
        way: &Path,
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
            way: way.display().to_string(),
            closed,
            of_direct,
            open_rate,
            open,
            open_direct,
        })
    }

    /// Measures and prints.
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
                members::start(self.front, n == 0).map_err(|e| format!("a stand-in member: {e}"))
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
