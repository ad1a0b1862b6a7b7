//! Cluster test: several real gateway processes between stub endpoints and a stub discovery
//! service, under a scripted sequence of fault events. The stubs check the invariants during the
//! run, in real time.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, Builder, sleep};
use std::time::{Duration, Instant, UNIX_EPOCH};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

use crate::load::Front;
use crate::members::{Client, http_head, is_ended, message, pg_message, row};
use crate::relay::{NetworkConditions, Relays};

/// Width of the bins in which events are counted.
const BIN_WIDTH: Duration = Duration::from_millis(100);
/// Share of the success rate before the fault that counts as full service.
const FULL_SERVICE_SHARE: f64 = 0.98;
/// Number of consecutive bins for which service must be full.
const STEADY_BINS: usize = 20;
const STACK_BYTES: usize = 128 * 1024;

/// An experiment, in TOML.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Always "stage"; tells this kind of experiment from others.
    pub kind: String,
    /// Name of the experiment; error messages begin with it.
    pub name: String,
    /// Purpose of the experiment.
    pub about: String,
    /// Fleet sizes to run, in gateways.
    pub gateways: Vec<usize>,
    /// Number of groups, of three stub endpoints each.
    pub groups: usize,
    /// Duration of a run.
    pub seconds: f64,
    /// Requests per second at each gateway; one in ten is a write that must not be repeated.
    pub rate: f64,
    /// Time that discovery takes for a call; it answers one call at a time.
    pub discovery_ms: u64,
    /// Delays the first event until service is full, by `seconds` at most, and ends the run as soon
    /// as service is full again after the last event, so that the result does not depend on the
    /// speed of the machine.
    #[serde(default)]
    pub until_full: bool,
    /// Variants to compare.
    pub ways: Vec<Variant>,
    /// Fault events in order of time; measurement begins at the first.
    #[serde(default)]
    pub event: Vec<FaultEvent>,
}

/// Setup of the gateways.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Variant {
    /// No state folder and no peers.
    Plain,
    /// A state folder, and the other gateways as peers.
    Kept,
}

impl Variant {
    /// Name in experiment files and results.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Kept => "kept",
        }
    }
}

/// A fault event at a point in time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultEvent {
    /// Seconds from the start of the run.
    pub at_s: f64,
    pub what: FaultKind,
    /// Share of the gateways that is affected, drawn from the seed; without it, the gateways
    /// drawn last.
    #[serde(default)]
    pub share: Option<f64>,
    /// Share of datagrams that is lost and share that is duplicated, for
    /// [`FaultKind::DegradeNetwork`].
    #[serde(default)]
    pub lost: f64,
    /// Longest delay of a datagram, for [`FaultKind::DegradeNetwork`].
    #[serde(default)]
    pub delay_ms: u64,
}

/// A kind of fault event.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Term,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Cont,
    /// Restart with the state folder.
    Start,
    /// Restart with the state folder removed.
    #[serde(rename = "start-bare")]
    StartWithoutState,
    /// Restart with one bit of the snapshot flipped.
    #[serde(rename = "start-spoilt")]
    StartWithCorruptSnapshot,
    /// Discovery stops answering.
    #[serde(rename = "silence")]
    DiscoverySilent,
    /// Discovery answers again.
    #[serde(rename = "speak")]
    DiscoveryBack,
    /// Datagrams between gateways are lost, duplicated and delayed.
    #[serde(rename = "weather")]
    DegradeNetwork,
    /// Network partition between the drawn gateways and the others.
    #[serde(rename = "cut")]
    Partition,
    /// The network between gateways is healthy again.
    #[serde(rename = "fair")]
    HealNetwork,
    /// The primary role of each group moves to its next member.
    Primaries,
}

/// Result of one run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    /// Name of the variant.
    pub way: String,
    pub gateways: usize,
    pub seed: u64,
    /// Seconds from the first fault until service was full again; `None` if it never was.
    pub full_s: Option<f64>,
    /// Share of requests that were served, from the first fault on.
    pub served: f64,
    /// Peak number of connections to stub endpoints in a bin after the first fault.
    pub connects: u64,
    /// Peak number of probes in a bin after the first fault.
    pub probes: u64,
    /// Peak number of discovery calls in a bin after the first fault.
    pub lists: u64,
    /// Violations that the stubs and the clients found.
    pub broken: Vec<String>,
    /// Requests sent and requests served in each bin.
    pub curve: Vec<(u64, u64)>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Observations of the stubs and clients.
#[derive(Default)]
struct Observations {
    /// Counts in each bin: connects, probes, discovery calls, requests sent, requests served.
    bins: Vec<[u64; 5]>,
    /// Open attempts by request id, each with its connection.
    out: BTreeMap<String, TcpStream>,
    /// Ids of executed writes.
    ran: BTreeSet<String>,
    broken: Vec<String>,
}

struct Cluster {
    began: Instant,
    observed: Mutex<Observations>,
    /// Index of the primary within each group.
    primaries: Mutex<Vec<usize>>,
    silent: AtomicBool,
    over: AtomicBool,
}

impl Cluster {
    fn count(&self, what: usize) {
        let bin = (self.began.elapsed().as_millis() / BIN_WIDTH.as_millis()) as usize;
        let mut seen = lock(&self.observed);
        if seen.bins.len() <= bin {
            seen.bins.resize(bin + 1, [0; 5]);
        }
        seen.bins[bin][what] += 1;
    }

    fn record_violation(&self, what: String) {
        lock(&self.observed).broken.push(what);
    }

    /// Stub endpoint: reports its role with each answer and accepts writes only as primary.
    fn database(&self, group: usize, place: usize, stream: &TcpStream) -> io::Result<()> {
        self.count(0);
        stream.set_nodelay(true)?;
        let mut from = io::BufReader::new(stream);
        let mut head = [0; 4];
        from.read_exact(&mut head)?;
        io::copy(
            &mut from.by_ref().take(u64::from(u32::from_be_bytes(head)) - 4),
            &mut io::sink(),
        )?;
        (&mut &*stream).write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
        loop {
            let (kind, body) = pg_message(&mut from)?;
            if kind != b'Q' {
                return Ok(());
            }
            let primary = lock(&self.primaries)[group] == place;
            let text = String::from_utf8_lossy(&body).into_owned();
            let mode = format!(
                "mode\0{}\0",
                if primary { "read-write" } else { "read-only" }
            );
            let (mode, ready) = (message(b'S', mode.as_bytes()), message(b'Z', b"I"));
            if text.starts_with("SHOW stats") {
                self.count(1);
                let now = UNIX_EPOCH.elapsed().map_or(0.0, |d| d.as_secs_f64());
                let stats = format!("x0={now},x1={},util=0.1,inflight=0", u8::from(primary));
                (&mut &*stream).write_all(&[row(&stats, "SELECT 1"), ready].concat())?;
                continue;
            }
            let id = text
                .split("id=")
                .nth(1)
                .and_then(|r| r.split(',').next())
                .unwrap_or_default()
                .to_owned();
            let write = text.contains("INSERT");
            // A cancelled attempt counts as ended once its connection closed, even if work on it
            // continues here.
            let before = lock(&self.observed)
                .out
                .insert(id.clone(), stream.try_clone()?);
            if before.is_some_and(|before| !is_ended(&before)) {
                self.record_violation(format!("two attempts of {id} out at once"));
            }
            // Simulated work: leaves time for a duplicate attempt to arrive while this one is open.
            sleep(Duration::from_millis(3));
            let refused = write && !primary;
            if write && primary && !lock(&self.observed).ran.insert(id.clone()) {
                self.record_violation(format!("{id} was booked twice"));
            }
            lock(&self.observed).out.remove(&id);
            let answer = if refused {
                message(b'E', b"SERROR\0C25006\0Mreplica\0\0")
            } else {
                row(&id, if write { "INSERT 0 1" } else { "SELECT 1" })
            };
            (&mut &*stream).write_all(&[answer, mode, ready].concat())?;
        }
    }

    /// Stub discovery: handles one call at a time, so that concurrent calls queue. The list never
    /// changes.
    fn discovery(
        &self,
        turn: &Mutex<()>,
        takes: Duration,
        list: &str,
        stream: &TcpStream,
    ) -> io::Result<()> {
        let mut from = io::BufReader::new(stream);
        loop {
            let head = http_head(&mut from)?;
            self.count(2);
            {
                let _turn = lock(turn);
                while self.silent.load(Ordering::Relaxed) && !self.over.load(Ordering::Relaxed) {
                    sleep(Duration::from_millis(10));
                }
                sleep(takes);
            }
            let hold = head
                .split("hold_ms=")
                .nth(1)
                .and_then(|r| r.split(' ').next()?.parse().ok());
            let body = match hold {
                None => format!("{{\"rev\":1,\"all\":true,\"targets\":[{list}]}}"),
                Some(ms) => {
                    sleep(Duration::from_millis(ms));
                    "{\"rev\":1,\"all\":false,\"targets\":[]}".to_owned()
                }
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            (&mut &*stream).write_all((head + &body).as_bytes())?;
        }
    }

    /// Client of a gateway. Requests have fixed send times; a late answer does not move the
    /// following ones.
    fn clients(&self, n: usize, groups: usize, rate: f64, front: SocketAddr) {
        let (mut client, mut id) = (None, 0_u64);
        let first = Instant::now();
        while !self.over.load(Ordering::Relaxed) {
            let at = first + Duration::from_secs_f64(id as f64 / rate);
            sleep(at.saturating_duration_since(Instant::now()));
            id += 1;
            let (group, write) = ((id / 10) as usize % groups, id % 10 == 0);
            self.count(3);
            if client.is_none() {
                client = Client::connect(Front::Postgresql, front).ok();
            }
            let Some(open) = &mut client else { continue };
            let name = format!("g{n}r{id}");
            let (class, verb) = if write {
                ("once", "INSERT INTO")
            } else {
                ("read", "SELECT body FROM")
            };
            let query = format!(
                "/* id={name},c={class},d=1000,cluster={group} */ {verb} pitches WHERE n = 'x'\0"
            );
            match open.query(&query) {
                Ok(Some(value)) if value == name => self.count(4),
                Ok(Some(value)) => self.record_violation(format!("{name} was answered by {value}")),
                Ok(None) => {}
                // The gateway was killed or closed the connection; its request is not sent again.
                Err(_) => client = None,
            }
        }
    }
}

fn serve(
    cluster: &Arc<Cluster>,
    address: SocketAddr,
    each: impl Fn(&Cluster, &TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let (cluster, each, at) = (Arc::clone(cluster), Arc::new(each), listener.local_addr()?);
    Builder::new().stack_size(STACK_BYTES).spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (cluster, each) = (Arc::clone(&cluster), Arc::clone(&each));
            if cluster.over.load(Ordering::Relaxed) {
                return;
            }
            let _ = Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || drop(each(&cluster, &stream)));
        }
    })?;
    Ok(at)
}

/// The gateway processes of a run.
struct Gateways {
    program: PathBuf,
    dir: PathBuf,
    files: Vec<PathBuf>,
    running: Vec<Option<Child>>,
}

impl Gateways {
    fn start(&mut self, n: usize) -> io::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{n}.log")))?;
        let child = Command::new(&self.program)
            .arg("serve")
            .arg(&self.files[n])
            .stderr(Stdio::from(log))
            .spawn()?;
        self.running[n] = Some(child);
        Ok(())
    }

    fn signal(&self, n: usize, name: &str) {
        if let Some(child) = &self.running[n] {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }

    fn end(&mut self, n: usize) {
        if let Some(mut child) = self.running[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateways {
    fn drop(&mut self) {
        (0..self.running.len()).for_each(|n| self.end(n));
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Number of a run within this process; several runs may be active at once.
fn next_run() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A loopback address unique to this run, with a port outside the ephemeral range.
fn address(play: u32, n: usize) -> SocketAddr {
    let process = std::process::id();
    let ip = [
        127,
        (170 + process % 50) as u8,
        (play % 250) as u8,
        (1 + n % 250) as u8,
    ];
    SocketAddr::from((ip, (21_000 + process / 50 % 5_000) as u16))
}

impl Plan {
    /// Parses and validates an experiment in TOML.
    pub fn parse(text: &str) -> Result<Self, String> {
        let read: Self = toml::from_str(text).map_err(|e| e.to_string())?;
        if read.gateways.is_empty() || read.gateways.iter().any(|g| !(1..=200).contains(g)) {
            return Err("gateways must each be from 1 to 200".into());
        }
        if read.groups == 0
            || read.groups > 50
            || read.ways.is_empty()
            || !(0.1..=10_000.0).contains(&read.rate)
        {
            return Err(
                "groups must be from 1 to 50, rate from 0.1 to 10,000, and ways name one at least"
                    .into(),
            );
        }
        let late = read
            .event
            .iter()
            .any(|e| !(0.0..read.seconds).contains(&e.at_s));
        let unsorted = read.event.windows(2).any(|e| e[1].at_s < e[0].at_s);
        if read.event.is_empty() || late || unsorted {
            return Err("event must hold one at least, in order, each within seconds".into());
        }
        if read.event.iter().any(|e| {
            e.share.is_some_and(|s| !(0.0..=1.0).contains(&s)) || !(0.0..1.0).contains(&e.lost)
        }) {
            return Err("event.share must be from 0 to 1, event.lost from 0 to below 1".into());
        }
        Ok(read)
    }

    fn config_file(
        &self,
        variant: Variant,
        size: usize,
        front: SocketAddr,
        discovery: SocketAddr,
        dir: &Path,
        peers: &str,
    ) -> String {
        let contract = |name: &str, need: &str, effect: &str| {
            format!(
                "[[front.contract]]\nname = \"{name}\"\nneed = \"{need}\"\neffect = \"{effect}\"\naim-ms = 300\ndeadline-ms = 1000\n"
            )
        };
        let kept = format!(
            "[state]\ndir = \"{}\"\nsnapshot-ms = 200\n{peers}",
            dir.display()
        );
        format!(
            "[gateway]\nname = \"{}\"\nrouters = {size}\n[log]\nlines-per-s = 1000\n{}\n[[front]]\nname = \"f\"\nprotocol = \"postgresql\"\n\
             listen = \"{front}\"\ndiscovery = \"{discovery}\"\n{}{}",
            dir.file_name()
                .map(|n| n.to_string_lossy())
                .unwrap_or_default(),
            if variant == Variant::Kept {
                kept
            } else {
                String::new()
            },
            contract("read", "any", "safe"),
            contract("once", "write", "unsafe"),
        )
    }

    /// Runs one fleet size and variant with one seed.
    pub fn play(
        &self,
        program: &Path,
        variant: Variant,
        size: usize,
        seed: u64,
    ) -> Result<Row, String> {
        let named = |e: io::Error| format!("{}: {e}", self.name);
        let play = next_run();
        let cluster = Arc::new(Cluster {
            began: Instant::now(),
            observed: Mutex::default(),
            primaries: Mutex::new(vec![0; self.groups]),
            silent: AtomicBool::new(false),
            over: AtomicBool::new(false),
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut targets = vec![];
        for (group, place) in (0..self.groups).flat_map(|g| (0..3).map(move |p| (g, p))) {
            let at =
                serve(&cluster, any, move |s, c| s.database(group, place, c)).map_err(named)?;
            let mode = if place == 0 {
                "read-write"
            } else {
                "read-only"
            };
            targets.push(format!(
                "{{\"uid\":\"d{group}-{place}\",\"endpoint\":\"{at}\",\"pod_group\":{group},\"state\":\"active\",\"capacity_hint\":4.0,\"boot_ms\":0,\"mode\":\"{mode}\"}}"
            ));
        }
        let (list, turn, takes) = (
            targets.join(","),
            Mutex::new(()),
            Duration::from_millis(self.discovery_ms),
        );
        let discovery = serve(&cluster, any, move |s, c| {
            s.discovery(&turn, takes, &list, c)
        })
        .map_err(named)?;
        let fronts: Vec<SocketAddr> = (0..size).map(|n| address(play, n)).collect();
        let relays = Relays::start(fronts.clone(), seed).map_err(named)?;
        let dir =
            std::env::temp_dir().join(format!("valehatch-stage-{}-{play}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(named)?;
        let mut gateways = Gateways {
            program: program.to_owned(),
            dir: dir.clone(),
            files: vec![],
            running: (0..size).map(|_| None).collect(),
        };
        let known = (0..size)
            .map(|n| relays.address(n))
            .collect::<io::Result<Vec<_>>>()
            .map_err(named)?;
        for n in 0..size {
            let seeds: Vec<String> = known.iter().take(3).map(|s| format!("\"{s}\"")).collect();
            let peers = format!(
                "[peers]\nlisten = \"{}\"\nadvertise = \"{}\"\nfleet = \"stage\"\nseeds = [{}]\nfrom = [\"127.0.0.0/8\"]\nprobe-ms = 250\n",
                fronts[n],
                known[n],
                seeds.join(", ")
            );
            let path = dir.join(format!("{n}.toml"));
            let text = self.config_file(
                variant,
                size,
                fronts[n],
                discovery,
                &dir.join(format!("g{n}")),
                &peers,
            );
            std::fs::write(&path, text).map_err(named)?;
            gateways.files.push(path);
            gateways.start(n).map_err(named)?;
        }
        let clients: Vec<_> = (0..size)
            .map(|n| {
                let (cluster, front, groups, rate) =
                    (Arc::clone(&cluster), fronts[n], self.groups, self.rate);
                thread::Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn(move || cluster.clients(n, groups, rate, front))
            })
            .collect::<io::Result<_>>()
            .map_err(named)?;
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let (mut selected, mut begins) = (vec![], cluster.began);
        let pause = |until: Instant| sleep(until.saturating_duration_since(Instant::now()));
        if self.until_full {
            let (first, limit) = (
                Duration::from_secs_f64(self.event[0].at_s),
                Duration::from_secs_f64(self.seconds),
            );
            pause(begins + first);
            while served_share(last_bins(&lock(&cluster.observed).bins)) < FULL_SERVICE_SHARE
                && cluster.began.elapsed() < first + limit
            {
                sleep(BIN_WIDTH);
            }
            begins = Instant::now() - first;
        }
        let at = |event: &FaultEvent| bin((begins - cluster.began).as_secs_f64() + event.at_s);
        let fault = at(&self.event[0]);
        let from = if self.until_full {
            self.event.last().map_or(fault, at)
        } else {
            fault
        };
        for event in &self.event {
            pause(begins + Duration::from_secs_f64(event.at_s));
            self.apply_event(
                event,
                &cluster,
                &relays,
                &mut gateways,
                &mut selected,
                &mut rng,
            )
            .map_err(named)?;
        }
        let end = begins + Duration::from_secs_f64(self.seconds);
        while self.until_full
            && Instant::now() < end
            && recovery_bins(&lock(&cluster.observed).bins, fault, from).is_none()
        {
            sleep(BIN_WIDTH);
        }
        if !self.until_full {
            pause(end);
        }
        cluster.over.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|c| drop(c.join()));
        relays.stop();
        drop(gateways);
        let mut seen = lock(&cluster.observed);
        Ok(result_row(
            variant,
            size,
            seed,
            (fault, from),
            std::mem::take(&mut *seen),
        ))
    }

    fn apply_event(
        &self,
        event: &FaultEvent,
        cluster: &Cluster,
        relays: &Relays,
        gateways: &mut Gateways,
        selected: &mut Vec<usize>,
        rng: &mut Xoshiro256PlusPlus,
    ) -> io::Result<()> {
        let size = gateways.running.len();
        if let Some(share) = event.share {
            let mut all: Vec<usize> = (0..size).collect();
            let count = ((share * size as f64).round() as usize).min(size);
            for at in 0..count {
                all.swap(at, rng.random_range(at..size));
            }
            all.truncate(count);
            *selected = all;
        }
        let folder = |n: usize| gateways.dir.join(format!("g{n}"));
        match event.what {
            FaultKind::Kill => selected.iter().for_each(|n| gateways.end(*n)),
            FaultKind::Term => selected.iter().for_each(|n| gateways.signal(*n, "TERM")),
            FaultKind::Stop => selected.iter().for_each(|n| gateways.signal(*n, "STOP")),
            FaultKind::Cont => selected.iter().for_each(|n| gateways.signal(*n, "CONT")),
            FaultKind::Start
            | FaultKind::StartWithoutState
            | FaultKind::StartWithCorruptSnapshot => {
                for n in selected.iter().copied() {
                    let dir = folder(n);
                    if event.what == FaultKind::StartWithoutState {
                        let _ = std::fs::remove_dir_all(&dir);
                    }
                    if let (FaultKind::StartWithCorruptSnapshot, Ok(mut bytes)) =
                        (event.what, std::fs::read(dir.join("snapshot")))
                    {
                        let at = rng.random_range(0..bytes.len().max(1));
                        bytes[at] ^= 1;
                        std::fs::write(dir.join("snapshot"), bytes)?;
                    }
                }
                selected.iter().for_each(|n| gateways.end(*n));
                selected
                    .clone()
                    .into_iter()
                    .try_for_each(|n| gateways.start(n))?;
            }
            FaultKind::DiscoverySilent => cluster.silent.store(true, Ordering::Relaxed),
            FaultKind::DiscoveryBack => cluster.silent.store(false, Ordering::Relaxed),
            FaultKind::DegradeNetwork => relays.set(NetworkConditions {
                lost: event.lost,
                duplicated: event.lost,
                delay: Duration::from_millis(event.delay_ms),
                ..NetworkConditions::default()
            }),
            FaultKind::Partition => {
                let pairs = (0..size).flat_map(|a| (0..size).map(move |b| (a, b)));
                let cut = pairs
                    .filter(|(a, b)| selected.contains(a) != selected.contains(b))
                    .collect();
                relays.set(NetworkConditions {
                    cut,
                    ..NetworkConditions::default()
                });
            }
            FaultKind::HealNetwork => relays.set(NetworkConditions::default()),
            FaultKind::Primaries => lock(&cluster.primaries)
                .iter_mut()
                .for_each(|p| *p = (*p + 1) % 3),
        }
        Ok(())
    }
}

type Bins = [[u64; 5]];

fn bin(s: f64) -> usize {
    (s * 1000.0 / BIN_WIDTH.as_millis() as f64) as usize
}

/// Share of requests that were served; 1 if none was sent.
fn served_share(bins: &Bins) -> f64 {
    let (asked, served) = bins.iter().fold((0, 0), |(a, s), b| (a + b[3], s + b[4]));
    if asked == 0 {
        1.0
    } else {
        served as f64 / asked as f64
    }
}

/// The last [`STEADY_BINS`] bins.
fn last_bins(bins: &Bins) -> &Bins {
    &bins[bins.len().saturating_sub(STEADY_BINS)..]
}

/// Bins from a fault on, without the last five: requests sent in those may be answered after the
/// end.
fn bins_after(bins: &Bins, fault: usize) -> &Bins {
    bins.get(fault..bins.len().saturating_sub(5)).unwrap_or(&[])
}

/// Number of bins from a fault until service was full again, searching from bin `from` on; `None`
/// if it never was.
fn recovery_bins(bins: &Bins, fault: usize, from: usize) -> Option<usize> {
    // Answers to requests sent before these bins can push the share above 1; the target is capped
    // at 1.
    let wanted =
        FULL_SERVICE_SHARE * served_share(last_bins(&bins[..fault.min(bins.len())])).min(1.0);
    let after = bins_after(bins, from);
    let full = (0..after.len().saturating_sub(STEADY_BINS)).find(|at| {
        // Full over the next STEADY_BINS bins, and the first of them at no less than half the
        // target.
        after[*at..].len() >= STEADY_BINS
            && served_share(&after[*at..*at + STEADY_BINS]) >= wanted
            && served_share(&after[*at..=*at]) >= wanted / 2.0
    });
    full.map(|at| from + at - fault)
}

fn result_row(
    variant: Variant,
    gateways: usize,
    seed: u64,
    (fault, from): (usize, usize),
    seen: Observations,
) -> Row {
    let after = bins_after(&seen.bins, fault);
    let peak = |what: usize| after.iter().map(|b| b[what]).max().unwrap_or(0);
    Row {
        way: variant.name().into(),
        gateways,
        seed,
        full_s: recovery_bins(&seen.bins, fault, from)
            .map(|bins| bins as f64 * BIN_WIDTH.as_secs_f64()),
        served: served_share(after),
        connects: peak(0),
        probes: peak(1),
        lists: peak(2),
        broken: seen.broken,
        curve: seen.bins.iter().map(|b| (b[3], b[4])).collect(),
    }
}

/// Formats the results as the table that is printed.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let mut out = format!(
        "{:<6} {:>8} {:>6} {:>10} {:>10} {:>8} {:>10} {:>8} {:>8} {:>8}\n",
        "way",
        "gateways",
        "plays",
        "full s",
        "worst",
        "served",
        "connects",
        "probes",
        "lists",
        "broken"
    );
    let mut kinds: BTreeMap<(usize, &str), Vec<&Row>> = BTreeMap::new();
    rows.iter().for_each(|r| {
        kinds
            .entry((r.gateways, r.way.as_str()))
            .or_default()
            .push(r)
    });
    for ((gateways, way), ours) in kinds {
        let full: Vec<f64> = ours
            .iter()
            .map(|r| r.full_s.unwrap_or(f64::INFINITY))
            .collect();
        let peak = |f: fn(&Row) -> u64| ours.iter().map(|r| f(r)).max().unwrap_or(0);
        out += &format!(
            "{way:<6} {gateways:>8} {:>6} {:>10.2} {:>10.2} {:>8.3} {:>10} {:>8} {:>8} {:>8}\n",
            ours.len(),
            crate::membership::quantile(full.clone(), 0.5),
            full.iter().copied().fold(0.0, f64::max),
            ours.iter().map(|r| r.served).sum::<f64>() / ours.len() as f64,
            peak(|r| r.connects),
            peak(|r| r.probes),
            peak(|r| r.lists),
            ours.iter().map(|r| r.broken.len()).sum::<usize>(),
        );
    }
    out
}

/// Writes results into a folder: the experiment, the table, all rows as JSON, and the requests sent
/// and served by bin as CSV and as a chart.
pub fn write(dir: &Path, plan: &Plan, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let mut csv = crate::report::create_result_folder(dir, plan, &rows, &table(rows))?;
    csv.write_record(["way", "gateways", "seed", "ms", "asked", "served"])?;
    for row in rows {
        for (bin, (asked, served)) in row.curve.iter().enumerate() {
            let ms = bin as u128 * BIN_WIDTH.as_millis();
            csv.serialize((&row.way, row.gateways, row.seed, ms, asked, served))?;
        }
    }
    csv.flush()?;
    crate::report::draw_served_chart(&dir.join("served.svg"), rows)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A cluster of one stub endpoint, and its address.
    fn cluster() -> (Arc<Cluster>, SocketAddr) {
        let cluster = Arc::new(Cluster {
            began: Instant::now(),
            observed: Mutex::default(),
            primaries: Mutex::new(vec![0]),
            silent: AtomicBool::new(false),
            over: AtomicBool::new(false),
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let at = serve(&cluster, any, |s, c| s.database(0, 0, c)).unwrap();
        (cluster, at)
    }

    fn query_text(id: &str, verb: &str) -> String {
        format!("/* id={id},c=x,d=1000,cluster=0 */ {verb} pitches WHERE n = 'x'\0")
    }

    #[test]
    fn overlapping_attempts_are_reported_and_sequential_ones_are_not() {
        let (cluster, at) = cluster();
        let client = || Client::connect(Front::Postgresql, at).unwrap();
        let (mut first, mut second) = (client(), client());
        for n in 0..50 {
            // Sequential attempts over two connections.
            assert!(
                first
                    .query(&query_text(&format!("a{n}"), "SELECT body FROM"))
                    .unwrap()
                    .is_some()
            );
            assert!(
                second
                    .query(&query_text(&format!("a{n}"), "SELECT body FROM"))
                    .unwrap()
                    .is_some()
            );
        }
        assert_eq!(lock(&cluster.observed).broken, Vec::<String>::new());
        let seen = || {
            lock(&cluster.observed)
                .broken
                .iter()
                .any(|b| b.contains("two attempts of b"))
        };
        for n in 0..1000 {
            let text = query_text(&format!("b{n}"), "SELECT body FROM");
            let other = text.clone();
            let late = thread::spawn(move || (second.query(&other).unwrap(), second));
            first.query(&text).unwrap();
            second = late.join().unwrap().1;
            if seen() {
                return;
            }
        }
        panic!("no overlap was reported in a thousand concurrent pairs");
    }

    #[test]
    fn late_answers_before_fault_do_not_raise_recovery_target_above_one() {
        let [steady, none, late] = [[0, 0, 0, 5, 5], [0, 0, 0, 5, 0], [0, 0, 0, 5, 10]];
        // In the two seconds before the fault the first bins hold answers to earlier requests.
        let before = [vec![none; 3], vec![late; 3], vec![steady; 17]].concat();
        let fault = before.len();
        let back = [&before[..], &[none; 4], &[steady; 40]].concat();
        assert!(served_share(last_bins(&back[..fault])) * FULL_SERVICE_SHARE > 1.0);
        assert_eq!(recovery_bins(&back, fault, fault), Some(4));
        let away = [&before[..], &[none; 44]].concat();
        assert_eq!(recovery_bins(&away, fault, fault), None);
    }

    #[test]
    fn write_executed_twice_is_reported() {
        let (cluster, at) = cluster();
        let mut client = Client::connect(Front::Postgresql, at).unwrap();
        client.query(&query_text("w", "INSERT INTO")).unwrap();
        assert_eq!(lock(&cluster.observed).broken, Vec::<String>::new());
        client.query(&query_text("w", "INSERT INTO")).unwrap();
        assert_eq!(lock(&cluster.observed).broken, ["w was booked twice"]);
    }
}
