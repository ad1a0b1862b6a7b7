//! Several processes of the real program between stand-in databases and discovery, under a timetable of faults. Rules are
//! judged at the stand-ins while it plays, by true time.

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

/// The width of what rates are counted in.
const BIN: Duration = Duration::from_millis(100);
/// The part of what was served before that has to be served again, and for how many bins on end.
const FULL: f64 = 0.98;
const STEADY: usize = 20;
const STACK: usize = 128 * 1024;

/// An experiment, in TOML.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Always "stage".
    pub kind: String,
    /// Its name, and what it is to show.
    pub name: String,
    pub about: String,
    /// Gateways, by size of fleet.
    pub gateways: Vec<usize>,
    /// Groups of three databases each.
    pub groups: usize,
    pub seconds: f64,
    /// Requests a second at each gateway; one in ten is a write that must not be repeated.
    pub rate: f64,
    /// What a call takes discovery, which answers one at a time.
    pub discovery_ms: u64,
    /// Waits with the first fault until service is whole, at the most for `seconds`, and ends as soon as it is whole again behind the
    /// last one: for a verdict that does not hang on how fast the machine is.
    #[serde(default)]
    pub until_full: bool,
    /// The ways that are compared.
    pub ways: Vec<Variant>,
    /// When what is measured begins: the first fault.
    #[serde(default)]
    pub event: Vec<FaultEvent>,
}

/// How gateways are set up.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Variant {
    /// Nothing kept, nobody known.
    Plain,
    /// With a state folder, and knowing each other.
    Kept,
}

impl Variant {
    /// Its name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Kept => "kept",
        }
    }
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultEvent {
    pub at_s: f64,
    pub what: What,
    /// To what part of the gateways, drawn by the seed; those that were drawn last time unless it is given.
    #[serde(default)]
    pub share: Option<f64>,
    /// Of the datagrams, for `weather`: what part is lost and comes twice, and how late they are at the most.
    #[serde(default)]
    pub lost: f64,
    #[serde(default)]
    pub delay_ms: u64,
}

/// Kinds of happenings.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// SIGKILL, SIGTERM, SIGSTOP, SIGCONT.
    Kill,
    Term,
    Stop,
    Cont,
    /// The program is started again, with its folder; without it; with one byte of its snapshot flipped.
    Start,
    StartBare,
    StartSpoilt,
    /// Discovery says nothing; it answers again.
    Silence,
    Speak,
    /// Datagrams are lost and late; gateways that are drawn and the others do not hear each other; all is well again.
    Weather,
    Cut,
    Fair,
    /// The primaries hand over to the next of their group.
    Primaries,
}

/// One play.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    pub way: String,
    pub gateways: usize,
    pub seed: u64,
    /// From the first fault until service was full again, if it was.
    pub full_s: Option<f64>,
    /// Served of what was asked, from the first fault on.
    pub served: f64,
    /// Most in a bin after the first fault, over all stand-ins.
    pub connects: u64,
    pub probes: u64,
    pub lists: u64,
    /// Rules that were broken, as said at the stand-ins and the clients.
    pub broken: Vec<String>,
    /// Served of asked, by bin.
    pub curve: Vec<(u64, u64)>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the stand-ins saw.
#[derive(Default)]
struct Seen {
    /// By bin: connects, probes, calls for the list, asked, served.
    bins: Vec<[u64; 5]>,
    /// Requests that are out, each with the connection that carries it, and writes that ran.
    out: BTreeMap<String, TcpStream>,
    ran: BTreeSet<String>,
    broken: Vec<String>,
}

struct Stage {
    began: Instant,
    seen: Mutex<Seen>,
    /// The primary of each group, by place in it.
    primaries: Mutex<Vec<usize>>,
    silent: AtomicBool,
    over: AtomicBool,
}

impl Stage {
    fn count(&self, what: usize) {
        let bin = (self.began.elapsed().as_millis() / BIN.as_millis()) as usize;
        let mut seen = lock(&self.seen);
        if seen.bins.len() <= bin {
            seen.bins.resize(bin + 1, [0; 5]);
        }
        seen.bins[bin][what] += 1;
    }

    fn breaks(&self, what: String) {
        lock(&self.seen).broken.push(what);
    }

    /// A database: tells its role with each answer, takes writes as a primary alone.
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
            // One that was called off ended with its connection, whatever is still done for it here.
            let before = lock(&self.seen).out.insert(id.clone(), stream.try_clone()?);
            if before.is_some_and(|before| !is_ended(&before)) {
                self.breaks(format!("two attempts of {id} out at once"));
            }
            // Some work, in which the next of a doubled attempt would be seen.
            sleep(Duration::from_millis(3));
            let refused = write && !primary;
            if write && primary && !lock(&self.seen).ran.insert(id.clone()) {
                self.breaks(format!("{id} was booked twice"));
            }
            lock(&self.seen).out.remove(&id);
            let answer = if refused {
                message(b'E', b"SERROR\0C25006\0Mreplica\0\0")
            } else {
                row(&id, if write { "INSERT 0 1" } else { "SELECT 1" })
            };
            (&mut &*stream).write_all(&[answer, mode, ready].concat())?;
        }
    }

    /// Discovery: one call at a time, so that many wait for each other. The list never changes.
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

    /// A gateway's clients: each request has its time, whatever became of those before.
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
                Ok(Some(value)) => self.breaks(format!("{name} was answered by {value}")),
                Ok(None) => {}
                // Its gateway was killed, or ended the connection: what was asked on it is asked no more.
                Err(_) => client = None,
            }
        }
    }
}

fn serve(
    stage: &Arc<Stage>,
    address: SocketAddr,
    each: impl Fn(&Stage, &TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let (stage, each, at) = (Arc::clone(stage), Arc::new(each), listener.local_addr()?);
    Builder::new().stack_size(STACK).spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (stage, each) = (Arc::clone(&stage), Arc::clone(&each));
            if stage.over.load(Ordering::Relaxed) {
                return;
            }
            let _ = Builder::new()
                .stack_size(STACK)
                .spawn(move || drop(each(&stage, &stream)));
        }
    })?;
    Ok(at)
}

/// The gateways as processes.
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

/// The number of a play of this process: several may be under way.
fn next_play() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// An address of this play's own, with a port that the machine gives nobody by itself.
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
    /// Reads and checks a text.
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

    fn file(
        &self,
        way: Variant,
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
            if way == Variant::Kept {
                kept
            } else {
                String::new()
            },
            contract("read", "any", "safe"),
            contract("once", "write", "unsafe"),
        )
    }

    /// Plays one fleet with one seed.
    pub fn play(
        &self,
        program: &Path,
        way: Variant,
        size: usize,
        seed: u64,
    ) -> Result<Row, String> {
        let named = |e: io::Error| format!("{}: {e}", self.name);
        let play = next_play();
        let stage = Arc::new(Stage {
            began: Instant::now(),
            seen: Mutex::default(),
            primaries: Mutex::new(vec![0; self.groups]),
            silent: AtomicBool::new(false),
            over: AtomicBool::new(false),
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut targets = vec![];
        for (group, place) in (0..self.groups).flat_map(|g| (0..3).map(move |p| (g, p))) {
            let at = serve(&stage, any, move |s, c| s.database(group, place, c)).map_err(named)?;
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
        let discovery =
            serve(&stage, any, move |s, c| s.discovery(&turn, takes, &list, c)).map_err(named)?;
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
            let text = self.file(
                way,
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
                let (stage, front, groups, rate) =
                    (Arc::clone(&stage), fronts[n], self.groups, self.rate);
                thread::Builder::new()
                    .stack_size(STACK)
                    .spawn(move || stage.clients(n, groups, rate, front))
            })
            .collect::<io::Result<_>>()
            .map_err(named)?;
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let (mut drawn, mut begins) = (vec![], stage.began);
        let pause = |until: Instant| sleep(until.saturating_duration_since(Instant::now()));
        if self.until_full {
            let (first, patience) = (
                Duration::from_secs_f64(self.event[0].at_s),
                Duration::from_secs_f64(self.seconds),
            );
            pause(begins + first);
            while share(last(&lock(&stage.seen).bins)) < FULL
                && stage.began.elapsed() < first + patience
            {
                sleep(BIN);
            }
            begins = Instant::now() - first;
        }
        let at = |event: &FaultEvent| bin((begins - stage.began).as_secs_f64() + event.at_s);
        let fault = at(&self.event[0]);
        let from = if self.until_full {
            self.event.last().map_or(fault, at)
        } else {
            fault
        };
        for event in &self.event {
            pause(begins + Duration::from_secs_f64(event.at_s));
            self.happens(event, &stage, &relays, &mut gateways, &mut drawn, &mut rng)
                .map_err(named)?;
        }
        let end = begins + Duration::from_secs_f64(self.seconds);
        while self.until_full
            && Instant::now() < end
            && full(&lock(&stage.seen).bins, fault, from).is_none()
        {
            sleep(BIN);
        }
        if !self.until_full {
            pause(end);
        }
        stage.over.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|c| drop(c.join()));
        relays.stop();
        drop(gateways);
        let mut seen = lock(&stage.seen);
        Ok(judge(
            way,
            size,
            seed,
            (fault, from),
            std::mem::take(&mut *seen),
        ))
    }

    fn happens(
        &self,
        event: &FaultEvent,
        stage: &Stage,
        relays: &Relays,
        gateways: &mut Gateways,
        drawn: &mut Vec<usize>,
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
            *drawn = all;
        }
        let folder = |n: usize| gateways.dir.join(format!("g{n}"));
        match event.what {
            What::Kill => drawn.iter().for_each(|n| gateways.end(*n)),
            What::Term => drawn.iter().for_each(|n| gateways.signal(*n, "TERM")),
            What::Stop => drawn.iter().for_each(|n| gateways.signal(*n, "STOP")),
            What::Cont => drawn.iter().for_each(|n| gateways.signal(*n, "CONT")),
            What::Start | What::StartBare | What::StartSpoilt => {
                for n in drawn.iter().copied() {
                    let dir = folder(n);
                    if event.what == What::StartBare {
                        let _ = std::fs::remove_dir_all(&dir);
                    }
                    if let (What::StartSpoilt, Ok(mut bytes)) =
                        (event.what, std::fs::read(dir.join("snapshot")))
                    {
                        let at = rng.random_range(0..bytes.len().max(1));
                        bytes[at] ^= 1;
                        std::fs::write(dir.join("snapshot"), bytes)?;
                    }
                }
                drawn.iter().for_each(|n| gateways.end(*n));
                drawn
                    .clone()
                    .into_iter()
                    .try_for_each(|n| gateways.start(n))?;
            }
            What::Silence => stage.silent.store(true, Ordering::Relaxed),
            What::Speak => stage.silent.store(false, Ordering::Relaxed),
            What::Weather => relays.set(NetworkConditions {
                lost: event.lost,
                duplicated: event.lost,
                delay: Duration::from_millis(event.delay_ms),
                ..NetworkConditions::default()
            }),
            What::Cut => {
                let pairs = (0..size).flat_map(|a| (0..size).map(move |b| (a, b)));
                let cut = pairs
                    .filter(|(a, b)| drawn.contains(a) != drawn.contains(b))
                    .collect();
                relays.set(NetworkConditions {
                    cut,
                    ..NetworkConditions::default()
                });
            }
            What::Fair => relays.set(NetworkConditions::default()),
            What::Primaries => lock(&stage.primaries)
                .iter_mut()
                .for_each(|p| *p = (*p + 1) % 3),
        }
        Ok(())
    }
}

type Bins = [[u64; 5]];

fn bin(s: f64) -> usize {
    (s * 1000.0 / BIN.as_millis() as f64) as usize
}

/// Served of what was asked.
fn share(bins: &Bins) -> f64 {
    let (asked, served) = bins.iter().fold((0, 0), |(a, s), b| (a + b[3], s + b[4]));
    if asked == 0 {
        1.0
    } else {
        served as f64 / asked as f64
    }
}

/// The last of them, for as long as service has to be steady.
fn last(bins: &Bins) -> &Bins {
    &bins[bins.len().saturating_sub(STEADY)..]
}

/// From a fault on. The last bins are left out: what was asked in them may be answered after the end.
fn after(bins: &Bins, fault: usize) -> &Bins {
    bins.get(fault..bins.len().saturating_sub(5)).unwrap_or(&[])
}

/// How many bins after a fault service was full again, if it was: looked for `from` a bin on.
fn full(bins: &Bins, fault: usize, from: usize) -> Option<usize> {
    // What was asked before those bins and answered in them makes more than all of it: no more than all can be wanted.
    let wanted = FULL * share(last(&bins[..fault.min(bins.len())])).min(1.0);
    let after = after(bins, from);
    let full = (0..after.len().saturating_sub(STEADY)).find(|at| {
        // From there on for so long, and with no bin in it in which nearly nothing was served.
        after[*at..].len() >= STEADY
            && share(&after[*at..*at + STEADY]) >= wanted
            && share(&after[*at..=*at]) >= wanted / 2.0
    });
    full.map(|at| from + at - fault)
}

fn judge(
    way: Variant,
    gateways: usize,
    seed: u64,
    (fault, from): (usize, usize),
    seen: Seen,
) -> Row {
    let after = after(&seen.bins, fault);
    let most = |what: usize| after.iter().map(|b| b[what]).max().unwrap_or(0);
    Row {
        way: way.name().into(),
        gateways,
        seed,
        full_s: full(&seen.bins, fault, from).map(|bins| bins as f64 * BIN.as_secs_f64()),
        served: share(after),
        connects: most(0),
        probes: most(1),
        lists: most(2),
        broken: seen.broken,
        curve: seen.bins.iter().map(|b| (b[3], b[4])).collect(),
    }
}

/// The table that is printed.
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
        let most = |f: fn(&Row) -> u64| ours.iter().map(|r| f(r)).max().unwrap_or(0);
        out += &format!(
            "{way:<6} {gateways:>8} {:>6} {:>10.2} {:>10.2} {:>8.3} {:>10} {:>8} {:>8} {:>8}\n",
            ours.len(),
            crate::membership::quantile(full.clone(), 0.5),
            full.iter().copied().fold(0.0, f64::max),
            ours.iter().map(|r| r.served).sum::<f64>() / ours.len() as f64,
            most(|r| r.connects),
            most(|r| r.probes),
            most(|r| r.lists),
            ours.iter().map(|r| r.broken.len()).sum::<usize>(),
        );
    }
    out
}

/// Writes results into a folder: the experiment, a table, all of it in JSON, and served of asked by bin in CSV and a chart.
pub fn write(dir: &Path, plan: &Plan, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let mut csv = crate::report::folder(dir, plan, &rows, &table(rows))?;
    csv.write_record(["way", "gateways", "seed", "ms", "asked", "served"])?;
    for row in rows {
        for (bin, (asked, served)) in row.curve.iter().enumerate() {
            let ms = bin as u128 * BIN.as_millis();
            csv.serialize((&row.way, row.gateways, row.seed, ms, asked, served))?;
        }
    }
    csv.flush()?;
    crate::report::served(&dir.join("served.svg"), rows)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A stage of one database, and where it listens.
    fn stage() -> (Arc<Stage>, SocketAddr) {
        let stage = Arc::new(Stage {
            began: Instant::now(),
            seen: Mutex::default(),
            primaries: Mutex::new(vec![0]),
            silent: AtomicBool::new(false),
            over: AtomicBool::new(false),
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let at = serve(&stage, any, |s, c| s.database(0, 0, c)).unwrap();
        (stage, at)
    }

    fn asks(id: &str, verb: &str) -> String {
        format!("/* id={id},c=x,d=1000,cluster=0 */ {verb} pitches WHERE n = 'x'\0")
    }

    #[test]
    fn two_attempts_out_at_once_are_seen_and_one_behind_the_other_are_none() {
        let (stage, at) = stage();
        let client = || Client::connect(Front::Postgresql, at).unwrap();
        let (mut one, mut two) = (client(), client());
        for n in 0..50 {
            // One behind the other, over two connections.
            assert!(
                one.query(&asks(&format!("a{n}"), "SELECT body FROM"))
                    .unwrap()
                    .is_some()
            );
            assert!(
                two.query(&asks(&format!("a{n}"), "SELECT body FROM"))
                    .unwrap()
                    .is_some()
            );
        }
        assert_eq!(lock(&stage.seen).broken, Vec::<String>::new());
        let seen = || {
            lock(&stage.seen)
                .broken
                .iter()
                .any(|b| b.contains("two attempts of b"))
        };
        for n in 0..1000 {
            let text = asks(&format!("b{n}"), "SELECT body FROM");
            let other = text.clone();
            let late = thread::spawn(move || (two.query(&other).unwrap(), two));
            one.query(&text).unwrap();
            two = late.join().unwrap().1;
            if seen() {
                return;
            }
        }
        panic!("a thousand pairs at once, and none was seen");
    }

    #[test]
    fn late_answers_before_a_fault_do_not_make_more_than_all_be_wanted_after_it() {
        let [steady, none, late] = [[0, 0, 0, 5, 5], [0, 0, 0, 5, 0], [0, 0, 0, 5, 10]];
        // Of two seconds before the fault the first bin brings what was asked before them.
        let before = [vec![none; 3], vec![late; 3], vec![steady; 17]].concat();
        let fault = before.len();
        let back = [&before[..], &[none; 4], &[steady; 40]].concat();
        assert!(share(last(&back[..fault])) * FULL > 1.0);
        assert_eq!(full(&back, fault, fault), Some(4));
        let away = [&before[..], &[none; 44]].concat();
        assert_eq!(full(&away, fault, fault), None);
    }

    #[test]
    fn a_write_that_runs_twice_is_seen() {
        let (stage, at) = stage();
        let mut client = Client::connect(Front::Postgresql, at).unwrap();
        client.query(&asks("w", "INSERT INTO")).unwrap();
        assert_eq!(lock(&stage.seen).broken, Vec::<String>::new());
        client.query(&asks("w", "INSERT INTO")).unwrap();
        assert_eq!(lock(&stage.seen).broken, ["w was booked twice"]);
    }
}
