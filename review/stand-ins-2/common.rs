//! Stand-ins of the second review: a record, the gateway as a process, PostgreSQL databases and
//! clients, and the agent of discovery. Everything listens on loopback; standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case may not run longer than this.
const WATCHDOG: Duration = Duration::from_secs(110);

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

struct World {
    begun: Instant,
    record: Mutex<File>,
    children: Mutex<Vec<Child>>,
    folder: PathBuf,
}

static WORLD: OnceLock<World> = OnceLock::new();

fn world() -> &'static World {
    WORLD.get().expect("begin() comes first")
}

/// Opens the record, and ends everything after the longest time that a case may take.
/// `RECORD` names the file.
pub fn begin() {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let nanos = UNIX_EPOCH.elapsed().unwrap().subsec_nanos();
    let folder = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let made = World {
        begun: Instant::now(),
        record: Mutex::new(File::create(path).expect("the record")),
        children: Mutex::default(),
        folder,
    };
    assert!(WORLD.set(made).is_ok());
    std::panic::set_hook(Box::new(|info| {
        note(&format!("stand-in failed: {info}"));
        finish(CANNOT_RUN, "a stand-in failed");
    }));
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        finish(CANNOT_RUN, "the case took too long");
    });
    note(&format!("trouble: {}", if trouble() { "yes" } else { "no (TROUBLE=0)" }));
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Writes a line to the record, with the milliseconds since the begin.
pub fn note(text: &str) {
    let ms = world().begun.elapsed().as_millis();
    let _ = writeln!(world().record.lock().unwrap(), "{ms:>6} {text}");
}

/// Ends all processes of the case, writes the verdict and exits.
pub fn finish(code: i32, why: &str) -> ! {
    for child in world().children.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let verdict = match code {
        HELD => "HELD",
        BROKEN => "BROKEN",
        _ => "COULD NOT RUN",
    };
    note(&format!("verdict: {verdict}: {why}"));
    println!("{verdict}: {why}");
    let _ = std::fs::remove_dir_all(&world().folder);
    std::process::exit(code)
}

pub fn temp_file(name: &str) -> PathBuf {
    world().folder.join(name)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A loopback address that is free now, with a port below those that connections are given: none of the
/// case's own connections can take it before the gateway does.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    for _ in 0..1_000 {
        let step = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 20_000 + (std::process::id() as usize * 17 + step) % 10_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().unwrap();
        }
    }
    finish(CANNOT_RUN, "no free port")
}

// ---- The gateway ----

#[derive(Clone, Copy)]
pub struct Gateway {
    index: usize,
    pub address: SocketAddr,
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).expect("run");
    line.split('"').next().unwrap().to_owned()
}

impl Gateway {
    /// Starts the program as the platform does and waits until it answers an empty query.
    pub fn start(address: SocketAddr, config: &PathBuf) -> Self {
        let gateway = Self::spawn(address, config, "");
        gateway.wait_until_ready();
        gateway
    }

    /// Starts the program beside a running one, as for an upgrade, and waits until its own second address
    /// says yes.
    pub fn start_beside(address: SocketAddr, config: &PathBuf) -> Self {
        let mgmt = free_address();
        let gateway = Self::spawn_with(address, config, "", &[("BALANCER_MGMT", mgmt.to_string())]);
        for _ in 0..300 {
            if is_healthy(mgmt) {
                note("gateway: the new process has said yes");
                return gateway;
            }
            sleep_ms(20);
        }
        finish(CANNOT_RUN, "the new process did not say yes within 6 s")
    }

    pub fn spawn(address: SocketAddr, config: &PathBuf, arguments: &str) -> Self {
        Self::spawn_with(address, config, arguments, &[])
    }

    fn spawn_with(address: SocketAddr, config: &PathBuf, arguments: &str, variables: &[(&str, String)]) -> Self {
        let index = world().children.lock().unwrap().len();
        let folder = temp_file("tmp");
        std::fs::create_dir_all(&folder).unwrap();
        let log = File::create(temp_file(&format!("gateway-{index}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &format!("{} {arguments}", run_command())])
            .env("TMPDIR", &folder)
            .envs(variables.iter().map(|(name, value)| (*name, value.as_str())))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if arguments.is_empty() {
            command.env("BALANCER_CONFIG", config);
        } else {
            command.env_remove("BALANCER_CONFIG");
        }
        let child = command.spawn().expect("the gateway starts");
        let mut children = world().children.lock().unwrap();
        children.push(child);
        note("gateway: started");
        Self { index: children.len() - 1, address }
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.has_ended() {
                finish(CANNOT_RUN, "the gateway ended at its start");
            }
            if let Ok(stream) = TcpStream::connect(self.address) {
                stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
                let mut client = Client { stream, name: "front".to_owned() };
                client.startup();
                client.write(&message(b'Q', b"\0"));
                while let Some((kind, _)) = client.read() {
                    if kind == b'I' {
                        note("gateway: ready");
                        return;
                    }
                }
            }
            sleep_ms(20);
        }
        finish(CANNOT_RUN, "the gateway did not become ready");
    }

    pub fn pid(&self) -> u32 {
        world().children.lock().unwrap()[self.index].id()
    }

    pub fn signal(&self, name: &str) {
        note(&format!("platform: SIG{name} to the gateway"));
        let done = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.pid())]).status();
        if !done.is_ok_and(|status| status.success()) {
            note("platform: the signal could not be sent");
        }
    }

    pub fn has_ended(&self) -> bool {
        world().children.lock().unwrap()[self.index].try_wait().unwrap().is_some()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(temp_file(&format!("gateway-{}.log", self.index))).unwrap_or_default()
    }

    /// Copies the gateway's own log into the record.
    pub fn record_log(&self) {
        for line in self.log().lines().take(40) {
            let text: String = line.chars().filter(|c| !c.is_control()).collect();
            note(&format!("gateway's log: {}", text.split_once(' ').map_or("", |(_, rest)| rest)));
        }
    }
}

fn is_healthy(mgmt: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(mgmt) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(b"GET /admin/health HTTP/1.1\r\nHost: gateway\r\n\r\n");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.starts_with("HTTP/1.1 2")
}

// ---- PostgreSQL's messages ----

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap().to_be_bytes();
    [&[kind], &length[..], body].concat()
}

pub fn read_message(from: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    from.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[1..].try_into().unwrap()) as usize;
    let mut body = vec![0; length.checked_sub(4)?];
    from.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

pub fn row_description() -> Vec<u8> {
    let mut column = vec![0, 1];
    column.extend_from_slice(b"body\0");
    column.extend_from_slice(&[0; 4]); // table
    column.extend_from_slice(&[0; 2]); // column
    column.extend_from_slice(&17_u32.to_be_bytes()); // bytea
    column.extend_from_slice(&(-1_i16).to_be_bytes());
    column.extend_from_slice(&(-1_i32).to_be_bytes());
    column.extend_from_slice(&1_u16.to_be_bytes()); // binary
    message(b'T', &column)
}

/// Head of a DataRow with one column of this many bytes.
pub fn row_head(value_length: usize) -> Vec<u8> {
    let mut out = vec![b'D'];
    out.extend_from_slice(&u32::try_from(value_length + 10).unwrap().to_be_bytes());
    out.extend_from_slice(&[0, 1]);
    out.extend_from_slice(&u32::try_from(value_length).unwrap().to_be_bytes());
    out
}

pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    [row_description(), row_head(value.len()), value.to_vec(), complete(tag)].concat()
}

pub fn complete(tag: &str) -> Vec<u8> {
    message(b'C', format!("{tag}\0").as_bytes())
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0M{text}\0\0").as_bytes())
}

pub fn status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn tag_of(query: &str) -> &'static str {
    if query.contains("INSERT") { "INSERT 0 1" } else { "SELECT 1" }
}

/// The value of a name in the comment of a query.
pub fn field(query: &str, name: &str) -> String {
    let comment = query.split("*/").next().unwrap_or("").trim_start_matches("/*");
    let value = comment.split(',').find_map(|f| f.trim().strip_prefix(&format!("{name}=")));
    value.unwrap_or("").trim().to_owned()
}

// ---- Databases ----

/// A database. `answer` gets the connection, the query and the number of the connection, and says
/// whether the connection stays open.
pub struct Database {
    pub name: &'static str,
    pub address: SocketAddr,
    pub is_primary: AtomicBool,
    /// While set, the process hangs: it takes connections and requests and does nothing.
    pub hangs: AtomicBool,
    /// How far behind the log it is, in milliseconds.
    pub lag_ms: AtomicUsize,
}

pub type Answer = dyn Fn(&Database, &mut TcpStream, &str, usize) -> bool + Send + Sync;

impl Database {
    pub fn start(name: &'static str, is_primary: bool, answer: Box<Answer>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let database = Arc::new(Self {
            name,
            address: listener.local_addr().unwrap(),
            is_primary: AtomicBool::new(is_primary),
            hangs: AtomicBool::new(false),
            lag_ms: AtomicUsize::new(5),
        });
        let (shared, answer) = (Arc::clone(&database), Arc::new(answer));
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (shared, answer) = (Arc::clone(&shared), Arc::clone(&answer));
                thread::spawn(move || shared.serve(stream, number, &**answer));
            }
        });
        database
    }

    pub fn mode(&self) -> &'static str {
        if self.is_primary.load(Ordering::SeqCst) { "read-write" } else { "read-only" }
    }

    /// What ends an answer: the role, and that the next query may come.
    pub fn end(&self) -> Vec<u8> {
        [status("mode", self.mode()), ready()].concat()
    }

    pub fn wait_while_hanging(&self) {
        while self.hangs.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
    }

    fn stats(&self) -> String {
        let primary = self.is_primary.load(Ordering::SeqCst);
        let lag = if primary { 0 } else { self.lag_ms.load(Ordering::SeqCst) as u64 };
        let position = (unix_ms() - lag) as f64 / 1000.0;
        format!("x0={position:.3},x1={},util=0.2,inflight=1", u8::from(primary))
    }

    fn serve(&self, mut stream: TcpStream, number: usize, answer: &Answer) {
        let _ = stream.set_nodelay(true);
        let mut head = [0; 4];
        if stream.read_exact(&mut head).is_err() {
            return;
        }
        let mut rest = vec![0; u32::from_be_bytes(head) as usize - 4];
        if stream.read_exact(&mut rest).is_err() {
            return;
        }
        self.wait_while_hanging();
        let welcome = [message(b'R', &[0; 4]), status("mode", self.mode()), ready()].concat();
        if stream.write_all(&welcome).is_err() {
            return;
        }
        while let Some((b'Q', body)) = read_message(&mut stream) {
            let query = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
            if query.starts_with("/*") {
                note(&format!("{}: received on connection {number}: {}", self.name, head_of(&query)));
            }
            self.wait_while_hanging();
            if query == "SHOW stats" || query == "SELECT 1" {
                let _ = stream.write_all(&[row(self.stats().as_bytes(), "SHOW"), self.end()].concat());
                continue;
            }
            if !query.starts_with("/*") {
                let _ = stream.write_all(&[message(b'I', &[]), ready()].concat());
                continue;
            }
            if !answer(self, &mut stream, &query, number) {
                return;
            }
        }
    }
}

fn head_of(query: &str) -> String {
    query.chars().take(110).collect()
}

/// The usual answer: a write at a replica is turned away, all else gets this value.
pub fn usual_answer(database: &Database, stream: &mut TcpStream, query: &str, value: &[u8]) -> bool {
    let id = field(query, "id");
    if query.contains("INSERT") && !database.is_primary.load(Ordering::SeqCst) {
        note(&format!("{}: 25006 to {id}", database.name));
        return stream.write_all(&[error("25006", "read-only"), database.end()].concat()).is_ok();
    }
    note(&format!("{}: ran {id}", database.name));
    stream.write_all(&[row(value, tag_of(query)), database.end()].concat()).is_ok()
}

// ---- Clients ----

pub struct Client {
    pub stream: TcpStream,
    pub name: String,
}

/// What a client got for one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    Served(Vec<u8>),
    /// 53300 or 57P03.
    Refused(String),
    Failed(String),
    Empty,
    /// The connection ended before the answer was whole; so many bytes of a value had come.
    Ended(usize),
}

impl Reply {
    pub fn short(&self) -> String {
        match self {
            Self::Served(value) if value.len() > 40 => format!("served, {} bytes", value.len()),
            Self::Served(value) => format!("served {:?}", String::from_utf8_lossy(value)),
            other => format!("{other:?}"),
        }
    }
}

impl Client {
    pub fn connect(address: SocketAddr, name: &str) -> Self {
        let stream = TcpStream::connect(address).expect("the gateway listens");
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(40))).unwrap();
        let mut client = Self { stream, name: name.to_owned() };
        client.startup();
        client
    }

    fn startup(&mut self) {
        let fields = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
        let length = u32::try_from(fields.len() + 4).unwrap().to_be_bytes();
        self.write(&[&length[..], fields].concat());
        while let Some((kind, _)) = self.read() {
            if kind == b'Z' {
                return;
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    pub fn read(&mut self) -> Option<(u8, Vec<u8>)> {
        read_message(&mut self.stream)
    }

    pub fn send(&mut self, query: &str) {
        note(&format!("client {}: sends {}", self.name, head_of(query)));
        self.write(&message(b'Q', format!("{query}\0").as_bytes()));
    }

    /// Like [`Client::reply`], without a line in the record.
    pub fn quiet(&mut self) -> Reply {
        self.read_reply()
    }

    /// Reads one answer, up to ReadyForQuery.
    pub fn reply(&mut self) -> Reply {
        let reply = self.read_reply();
        note(&format!("client {}: {}", self.name, reply.short()));
        reply
    }

    fn read_reply(&mut self) -> Reply {
        let (mut value, mut is_complete, mut failed) = (None, false, None);
        loop {
            let mut head = [0; 5];
            if self.stream.read_exact(&mut head).is_err() {
                return failed.unwrap_or(Reply::Ended(0));
            }
            let length = u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4;
            let mut body = vec![0; length];
            let mut got = 0;
            while got < length {
                match self.stream.read(&mut body[got..]) {
                    Ok(count @ 1..) => got += count,
                    _ => return Reply::Ended(got),
                }
            }
            match head[0] {
                b'D' => value = Some(body[6..].to_vec()),
                b'C' => is_complete = true,
                b'I' => failed = Some(Reply::Empty),
                b'E' => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let code = text.split('\0').find_map(|f| f.strip_prefix('C')).unwrap_or("");
                    let is_refusal = code == "53300" || code == "57P03";
                    let text = text.replace('\0', " ");
                    failed = Some(if is_refusal { Reply::Refused(text) } else { Reply::Failed(text) });
                }
                b'Z' => {
                    return match (failed, value) {
                        (Some(failed), _) => failed,
                        (None, Some(value)) if is_complete => Reply::Served(value),
                        _ => Reply::Failed("no row".to_owned()),
                    };
                }
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, query: &str) -> Reply {
        self.send(query);
        self.reply()
    }
}

// ---- Discovery ----

/// The agent of discovery, or a discovery service.
pub struct Discovery {
    pub address: SocketAddr,
    /// The whole list by uid, and the changes: each has a version.
    state: Mutex<DiscoveryState>,
    pub indented: AtomicBool,
    /// While set, no call is answered.
    pub silent: AtomicBool,
    /// How long each answer is held back beyond the wait that a call asks for, in milliseconds.
    pub delay_ms: AtomicUsize,
    pub closed: AtomicBool,
    pub full_answers: AtomicUsize,
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    entries: BTreeMap<String, Entry>,
    changes: Vec<(u64, Entry)>,
}

#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: String,
    pub group: u16,
    pub state: &'static str,
    pub mode: &'static str,
    pub boot_ms: u64,
}

impl Entry {
    pub fn of(database: &Database, uid: &str) -> Self {
        Self {
            uid: uid.to_owned(),
            endpoint: database.address.to_string(),
            group: 0,
            state: "active",
            mode: database.mode(),
            boot_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"forsyningshuset","model":"std-4","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":{},"mode":"{}"}}"#,
            self.uid, self.endpoint, self.group, self.state, self.boot_ms, self.mode
        )
    }
}

/// JSON with four spaces for each level; no text in it holds a brace, a bracket or a comma.
fn indent(json: &str) -> String {
    let (mut out, mut depth) = (String::new(), 0);
    let line = |out: &mut String, depth: usize| {
        out.push('\n');
        out.push_str(&" ".repeat(4 * depth));
    };
    for letter in json.chars() {
        match letter {
            '{' | '[' => {
                depth += 1;
                out.push(letter);
                line(&mut out, depth);
            }
            '}' | ']' => {
                depth -= 1;
                line(&mut out, depth);
                out.push(letter);
            }
            ',' => {
                out.push(',');
                line(&mut out, depth);
            }
            other => out.push(other),
        }
    }
    out.replace("\":", "\": ")
}

pub fn list_json(version: u64, all: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"rev":{version},"all":{all},"targets":[{}]}}"#, entries.join(","))
}

impl Discovery {
    pub fn start(version: u64, entries: &[Entry]) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = DiscoveryState {
            version,
            entries: entries.iter().map(|e| (e.uid.clone(), e.clone())).collect(),
            changes: vec![],
        };
        let discovery = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(state),
            indented: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            delay_ms: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
            full_answers: AtomicUsize::new(0),
        });
        let shared = Arc::clone(&discovery);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.closed.load(Ordering::SeqCst) {
                    return;
                }
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        discovery
    }

    /// Changes an entry, as a new version.
    pub fn change(&self, entry: Entry) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        note(&format!("discovery: version {version}: {} is {}, {}", entry.uid, entry.state, entry.mode));
        if entry.state == "left" {
            state.entries.remove(&entry.uid);
        } else {
            state.entries.insert(entry.uid.clone(), entry.clone());
        }
        state.changes.push((version, entry));
    }

    /// Accepts no new connection; the open ones are ended 1.5 s later.
    pub fn retire(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut closes_at = None;
        loop {
            let mut head = vec![];
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                if stream.read_exact(&mut byte).is_err() {
                    return;
                }
                head.push(byte[0]);
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let number = |name: &str| -> Option<u64> {
                let rest = head.split_once(&format!("{name}="))?.1;
                rest.split(['&', ' ']).next()?.parse().ok()
            };
            let (from, hold) = (number("from"), number("hold_ms").unwrap_or(0).min(60_000));
            let until = Instant::now() + Duration::from_millis(hold);
            let body = loop {
                if self.closed.load(Ordering::SeqCst) {
                    let at = *closes_at.get_or_insert_with(|| Instant::now() + Duration::from_millis(1_500));
                    if Instant::now() >= at {
                        return;
                    }
                }
                if !self.silent.load(Ordering::SeqCst) {
                    let state = self.state.lock().unwrap();
                    let entries: Vec<Entry> = match from {
                        None => state.entries.values().cloned().collect(),
                        Some(from) => {
                            let newer = state.changes.iter().filter(|(version, _)| *version > from);
                            newer.map(|(_, entry)| entry.clone()).collect()
                        }
                    };
                    if from.is_none() || !entries.is_empty() || Instant::now() >= until {
                        break list_json(state.version, from.is_none(), &entries);
                    }
                }
                sleep_ms(5);
            };
            let delay = self.delay_ms.load(Ordering::SeqCst) as u64;
            sleep_ms(delay);
            let body = if self.indented.load(Ordering::SeqCst) { indent(&body) } else { body };
            if from.is_none() {
                self.full_answers.fetch_add(1, Ordering::SeqCst);
                if self.full_answers.load(Ordering::SeqCst) <= 3 {
                    note(&format!("discovery: whole list asked for, {} bytes", body.len()));
                }
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ---- The configuration ----

/// A class of the settings.
pub struct Class {
    pub name: &'static str,
    /// `mutate`, `strong`, `lag_bound`, `eventual`.
    pub need: &'static str,
    /// `safe`, `keyed`, `unsafe`.
    pub effect: &'static str,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    pub bound_ms: f64,
}

pub struct Deployment {
    pub classes: Vec<Class>,
    /// `off`, `bounce`, `await`.
    pub checks: &'static str,
    /// `push` or `ask`.
    pub membership: &'static str,
    pub ask_within_ms: f64,
    pub gateways: u32,
}

impl Deployment {
    /// The configuration as the platform writes it.
    pub fn config(&self, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
        let class = |c: &Class| {
            let late = if c.need == "mutate" { 0.3 } else { 0.0 };
            let group = if c.effect == "keyed" { "cell" } else { "all" };
            format!(
                r#"{{"name":"{}","effect":"{}","group":"{group}","deadline-ms":{:?},"slo-ms":{:?},"late-worth":{late:?},"window-ms":5000.0,"worth":2.0,"stream":false}}"#,
                c.name, c.effect, c.deadline_ms, c.aim_ms
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let needs: Vec<String> = self.classes.iter().map(|c| format!("{:?}", c.need)).collect();
        let bounds: Vec<String> = self.classes.iter().map(|c| format!("{:?}", c.bound_ms)).collect();
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{{"areas":["forsyningshuset"],"skus":["std-4"],"classes":[{}],"clients":{{"marks-retry":false}},
"family":"replicas","family-info":{{"needs-by-class":[{}],"staleness-bound-ms":[{}],"position-zero-ms":0.0,
"role-listed":"trailing","server-checks":"{}","catch-up-wait-ms":20.0,"token-mode":"kept","stamps":false,"sync":false}},
"fleet-size":{},"self-index":0,"zone":0,"tick-ms":5.0,"membership-mode":"{}","weights":"off",
"limits":{{"cancel":true,"conn-idle-ms":15000.0,"connect-timeout-ms":250.0,"max-attempts":6,
"max-retry-after-ms":2000.0,"most-held":20000,"probing":true,"retry-after":false,"second-copies":false,"streams-per-conn":1}},
"rules":{{"answer-slack-ms":50.0,"ask-within-ms":{:?},"cold-from":0.24,"cold-ms":17000.0,"drain-grace-ms":500.0,"tip-after-ms":2000.0,"tip-multiple":3.0}},
"telemetry":{{"fields":["x0","x1","util","inflight"],"source":"on_probe"}},
"tenants":[{{"name":"strandlejren","allowance-per-s":100.0,"share":0.6}},{{"name":"skovbakken","allowance-per-s":60.0,"share":0.4}}],"over-share-worth":0.2}}}}"#,
            classes.join(","),
            needs.join(","),
            bounds.join(","),
            self.checks,
            self.gateways,
            self.membership,
            self.ask_within_ms,
        )
    }
}

/// The classes of the campsites' deployment.
pub fn campsite() -> Deployment {
    let class = |name, need, effect, aim_ms, deadline_ms, bound_ms| Class {
        name,
        need,
        effect,
        aim_ms,
        deadline_ms,
        bound_ms,
    };
    Deployment {
        classes: vec![
            class("pitch-check", "lag_bound", "safe", 300.0, 1200.0, 300.0),
            class("site-browse", "eventual", "safe", 400.0, 1500.0, 0.0),
            class("season-report", "eventual", "safe", 6000.0, 12000.0, 0.0),
            class("booking-write", "mutate", "keyed", 600.0, 5000.0, 0.0),
        ],
        checks: "await",
        membership: "push",
        ask_within_ms: 10_000.0,
        gateways: 3,
    }
}

pub fn read_query(id: &str, class: &str, deadline_ms: u32) -> String {
    format!(
        "/* id={id},c={class},t=strandlejren,d={deadline_ms},cluster=0 */ SELECT body FROM objects WHERE oid = 'oid-{id}'"
    )
}

pub fn write_query(id: &str, class: &str, deadline_ms: u32) -> String {
    format!(
        "/* id={id},c={class},t=strandlejren,d={deadline_ms},k=key-{id},cluster=0 */ INSERT INTO objects (oid, body) VALUES ('oid-{id}', '\\x9f03') RETURNING body"
    )
}

pub fn write_config(text: &str) -> PathBuf {
    let path = temp_file("config.json");
    let next = temp_file("config.json.next");
    std::fs::write(&next, text).unwrap();
    std::fs::rename(&next, &path).unwrap();
    path
}
