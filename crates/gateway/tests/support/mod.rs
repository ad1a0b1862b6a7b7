//! What the gateway's tests stand on: the program as a process, and small stand-ins for those it talks to.
#![allow(dead_code)]

pub(crate) mod cql;
pub(crate) mod faults;
pub(crate) mod manager;
pub(crate) mod scripted_discovery;
pub(crate) mod monitored;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until something holds; that it never does fails the test.
pub(crate) fn wait_until(what: &str, holds: impl FnMut() -> bool) {
    wait_until_within(TEST_TIMEOUT, what, holds);
}

/// The same where it may take longer.
pub(crate) fn wait_until_within(wait: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + wait;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Tells threads to stop when it goes: a test that fails must not wait for them for ever.
pub(crate) struct StopOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// On an address of its own, with a port that the machine gives nobody: one that it may give can be taken by the
/// very connection that looks whether the gateway listens there yet.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let (n, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let address = format!(
        "127.{}.{}.{}:21000",
        64 + process % 100,
        process / 100 % 250,
        1 + n % 250
    );
    address.parse().expect("an address")
}

/// A folder of the test's own.
pub(crate) fn temp_folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("valehatch-test-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

/// The gateway as a process, and what it logs; it is ended with the test.
pub(crate) struct GatewayProcess(pub Child, Arc<Mutex<String>>);

impl GatewayProcess {
    pub(crate) fn start(args: &[&str], config: Option<&PathBuf>, address: SocketAddr) -> Self {
        let mut program = Self::spawn(args, config, &[]);
        wait_until("the gateway listens", || {
            assert!(
                program.0.try_wait().unwrap().is_none(),
                "the gateway ended at its start"
            );
            TcpStream::connect(address).is_ok()
        });
        program
    }

    /// Starts it, with these variables, and does not wait for it.
    pub(crate) fn spawn(
        args: &[&str],
        config: Option<&PathBuf>,
        variables: &[(&str, &str)],
    ) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_valehatch"));
        command
            .args(args)
            .env_remove("BALANCER_CONFIG")
            .env_remove("TMPDIR")
            .stderr(Stdio::piped());
        command.envs(variables.iter().copied());
        if let Some(path) = config {
            command.env("BALANCER_CONFIG", path);
        }
        let mut child = command.spawn().expect("the gateway starts");
        let (mut errors, log) = (
            child.stderr.take().unwrap(),
            Arc::<Mutex<String>>::default(),
        );
        let said = Arc::clone(&log);
        thread::spawn(move || {
            let mut some = [0; 1024];
            while let Ok(n @ 1..) = errors.read(&mut some) {
                said.lock()
                    .unwrap()
                    .push_str(&String::from_utf8_lossy(&some[..n]));
            }
        });
        Self(child, log)
    }

    pub(crate) fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args([&format!("-{name}"), &self.0.id().to_string()])
            .status();
        assert!(done.unwrap().success());
    }

    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Stops it, and waits until all its threads stand still: a signal is on its way for a moment.
    pub(crate) fn pause(&self) {
        self.signal("STOP");
        let stands = |task: std::io::Result<std::fs::DirEntry>| {
            let stat =
                std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap_or_default();
            stat.rsplit(") ")
                .next()
                .is_none_or(|rest| rest.starts_with('T') || rest.is_empty())
        };
        wait_until("it stands still", || {
            std::fs::read_dir(format!("/proc/{}/task", self.0.id()))
                .unwrap()
                .all(stands)
        });
    }

    /// What it has logged.
    pub(crate) fn log(&self) -> String {
        self.1.lock().unwrap().clone()
    }

    /// Waits until the log holds something.
    pub(crate) fn wait_for_log(&self, what: &str) {
        wait_until(what, || self.1.lock().unwrap().contains(what));
    }

    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the gateway ends", || {
            status = self.0.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("the gateway had said: {}", self.1.lock().unwrap());
        }
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Accepts connections in a thread each.
pub(crate) fn spawn_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

// ---- PostgreSQL ----

pub(crate) fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap().to_be_bytes();
    [&[kind], &length[..], body].concat()
}

pub(crate) fn read_message(from: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    from.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
    from.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

pub(crate) fn row(value: &str) -> Vec<u8> {
    row_with_tag(value, "SELECT 1")
}

pub(crate) fn row_with_tag(value: &str, tag: &str) -> Vec<u8> {
    let length = u32::try_from(value.len()).unwrap().to_be_bytes();
    let column = [&[0, 1], &b"body\0"[..], &[0; 18]].concat();
    let data = [&[0, 1], &length[..], value.as_bytes()].concat();
    let done = format!("{tag}\0");
    [
        message(b'T', &column),
        message(b'D', &data),
        message(b'C', done.as_bytes()),
    ]
    .concat()
}

pub(crate) fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

pub(crate) fn mode_status(name: &str) -> Vec<u8> {
    message(b'S', format!("mode\0{name}\0").as_bytes())
}

pub(crate) fn ready_for_query() -> Vec<u8> {
    message(b'Z', b"I")
}

/// What a stand-in does with a query.
pub(crate) enum Reply {
    /// Writes this and goes on.
    Send(Vec<u8>),
    /// Writes this in pieces of so many bytes, with a pause between them, and goes on.
    SendSlowly(Vec<u8>, usize, Duration),
    /// Writes this and ends the connection.
    SendThenClose(Vec<u8>),
    /// The same, and from then on connections come up late.
    CloseAndDelayNew,
    /// Writes this over and over, until the other side ends the connection.
    SendEndlessly(Vec<u8>),
    /// Writes this and nothing more, until the other side ends the connection.
    SendThenStall(Vec<u8>),
}

#[derive(Default)]
pub(crate) struct StubDatabase {
    /// The queries, with the time, and the number of their connection.
    pub queries: Mutex<Vec<(Instant, String, usize)>>,
    /// What probes are told instead of the truth, and how many came.
    pub probe_reply: Mutex<Option<String>>,
    pub probes: AtomicUsize,
    pub opened: AtomicUsize,
    pub closed: AtomicUsize,
    /// While set no connection is greeted: dials come up late. How many have waited for that.
    pub delay_greetings: AtomicBool,
    pub delayed_greetings: AtomicUsize,
}

impl StubDatabase {
    pub(crate) fn count(&self) -> usize {
        self.queries.lock().unwrap().len()
    }
    pub(crate) fn query_text(&self, n: usize) -> String {
        self.queries.lock().unwrap()[n].1.clone()
    }
}

/// A database: probes are answered, other queries as `does` says.
pub(crate) fn stub_database(
    role: &'static str,
    does: impl Fn(usize, &str) -> Reply + Send + Sync + 'static,
) -> (SocketAddr, Arc<StubDatabase>) {
    let seen = Arc::new(StubDatabase::default());
    let shared = Arc::clone(&seen);
    let address = spawn_server(move |mut stream| {
        let connection = shared.opened.fetch_add(1, Ordering::SeqCst);
        let mut head = [0; 4];
        if stream.read_exact(&mut head).is_ok() {
            let mut rest = vec![0; u32::from_be_bytes(head) as usize - 4];
            stream.read_exact(&mut rest).unwrap();
            if shared.delay_greetings.load(Ordering::SeqCst) {
                shared.delayed_greetings.fetch_add(1, Ordering::SeqCst);
                while shared.delay_greetings.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(1));
                }
            }
            let _ = stream.write_all(&[message(b'R', &[0; 4]), ready_for_query()].concat());
            while let Some((b'Q', body)) = read_message(&mut stream) {
                let query = String::from_utf8(body)
                    .unwrap()
                    .trim_end_matches('\0')
                    .to_owned();
                if query == "SHOW stats" {
                    let primary = u8::from(role == "read-write");
                    let now = std::time::UNIX_EPOCH.elapsed().unwrap().as_secs_f64();
                    let stats = shared.probe_reply.lock().unwrap().clone();
                    let stats =
                        stats.unwrap_or(format!("x0={now},x1={primary},util=0.1,inflight=0"));
                    shared.probes.fetch_add(1, Ordering::SeqCst);
                    let _ = stream.write_all(&[row(&stats), ready_for_query()].concat());
                    continue;
                }
                let n = {
                    let mut queries = shared.queries.lock().unwrap();
                    queries.push((Instant::now(), query.clone(), connection));
                    queries.len() - 1
                };
                match does(n, &query) {
                    Reply::Send(bytes) => {
                        let _ = stream.write_all(&[bytes, mode_status(role), ready_for_query()].concat());
                    }
                    Reply::SendSlowly(bytes, piece, pause) => {
                        for (n, some) in [bytes, mode_status(role), ready_for_query()]
                            .concat()
                            .chunks(piece)
                            .enumerate()
                        {
                            thread::sleep(if n > 0 { pause } else { Duration::ZERO });
                            if stream.write_all(some).is_err() {
                                break;
                            }
                        }
                    }
                    Reply::SendThenClose(bytes) => {
                        let _ = stream.write_all(&bytes);
                        break;
                    }
                    Reply::SendEndlessly(bytes) => {
                        while stream.write_all(&bytes).is_ok() {}
                        break;
                    }
                    Reply::CloseAndDelayNew => {
                        shared.delay_greetings.store(true, Ordering::SeqCst);
                        break;
                    }
                    Reply::SendThenStall(bytes) => {
                        let _ = stream.write_all(&bytes);
                        let _ = stream.read(&mut [0]);
                        break;
                    }
                }
            }
        }
        // Whoever sees it counted finds it ended.
        drop(stream);
        shared.closed.fetch_add(1, Ordering::SeqCst);
    });
    (address, seen)
}

/// A client's session.
pub(crate) struct Client(pub TcpStream);

/// What a query was answered: the value, or code and detail of the error.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Value(String),
    Error(String, Option<String>),
    Empty,
    Ended,
}

impl Client {
    pub(crate) fn startup_message() -> Vec<u8> {
        let fields = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
        [
            &u32::try_from(fields.len() + 4).unwrap().to_be_bytes()[..],
            fields,
        ]
        .concat()
    }

    pub(crate) fn connect_raw(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the gateway listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self(stream)
    }

    /// The bytes leave with the connection.
    pub(crate) fn connect_and_send(address: SocketAddr, bytes: &[u8]) -> Self {
        let mut client = Self::connect_raw(address);
        client.0.write_all(bytes).unwrap();
        client
    }

    pub(crate) fn connect(address: SocketAddr) -> Self {
        let mut client = Self::connect_and_send(address, &Self::startup_message());
        client.read_until_ready();
        client
    }

    pub(crate) fn read_until_ready(&mut self) {
        while read_message(&mut self.0).expect("a greeting").0 != b'Z' {}
    }

    pub(crate) fn send(&mut self, query: &str) {
        self.0
            .write_all(&message(b'Q', format!("{query}\0").as_bytes()))
            .unwrap();
    }

    pub(crate) fn answer(&mut self) -> Answer {
        let mut answer = Answer::Ended;
        loop {
            match read_message(&mut self.0) {
                Some((b'D', body)) => {
                    answer = Answer::Value(String::from_utf8(body[6..].to_vec()).unwrap())
                }
                Some((b'E', body)) => {
                    let text = String::from_utf8(body).unwrap();
                    let field = |c| {
                        text.split('\0')
                            .find_map(|f| f.strip_prefix(c))
                            .map(str::to_owned)
                    };
                    answer = Answer::Error(field('C').unwrap(), field('D'));
                }
                Some((b'I', _)) => answer = Answer::Empty,
                Some((b'Z', _)) | None => return answer,
                Some(_) => {}
            }
        }
    }

    pub(crate) fn query(&mut self, query: &str) -> Answer {
        self.send(query);
        self.answer()
    }
}

// ---- Queries, and how connections end ----

/// A read that any member serves; the oid shows whose answer it is.
pub(crate) fn read_query(id: u32, d: u32) -> String {
    format!(
        "/* id={id},c=read,t=acme,d={d},cluster=0 */ SELECT body FROM objects WHERE oid = 'x{id}'"
    )
}

/// A write that must not be repeated.
pub(crate) fn unsafe_write_query(id: u32, d: u32) -> String {
    format!(
        "/* id={id},c=once,t=acme,d={d},cluster=0 */ INSERT INTO objects (oid, body) VALUES ('x{id}', '1') RETURNING body"
    )
}

/// Reads one behind the other, as a client sends them that does not wait for answers.
pub(crate) fn pipelined_reads(ids: std::ops::Range<u32>, d: u32) -> Vec<u8> {
    ids.flat_map(|id| message(b'Q', format!("{}\0", read_query(id, d)).as_bytes()))
        .collect()
}

/// The oid of a query as the value.
pub(crate) fn echo_oid(query: &str) -> Vec<u8> {
    let tag = if query.contains("INSERT") {
        "INSERT 0 1"
    } else {
        "SELECT 1"
    };
    row_with_tag(query.split('\'').nth(1).unwrap(), tag)
}

/// The number of a query.
pub(crate) fn query_id(query: &str) -> u32 {
    query
        .split("id=")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap()
        .parse()
        .unwrap()
}

/// The last word on a connection that is ended: nothing ran, and when to come back.
pub(crate) fn is_retryable_refusal(answer: &Answer) -> bool {
    matches!(answer, Answer::Error(code, Some(after)) if code == "53300" && after != "0")
}

/// How a client goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disconnect {
    /// It closes its connection, with nothing unread.
    Close,
    /// It ends its sending, and still listens.
    HalfClose,
    /// It closes over bytes that it has not read, which resets the connection.
    Reset,
}

impl Client {
    /// Goes; what is given back keeps a connection that is only half closed.
    pub(crate) fn disconnect(mut self, how: Disconnect) -> Option<Self> {
        match how {
            Disconnect::Close => None,
            Disconnect::HalfClose => {
                self.0.shutdown(std::net::Shutdown::Write).unwrap();
                Some(self)
            }
            Disconnect::Reset => {
                // The answer to an empty query waits unread, or what came before it.
                self.send("");
                self.0.peek(&mut [0]).unwrap();
                None
            }
        }
    }

    /// Nothing more comes but the end, and that is no reset.
    pub(crate) fn expect_clean_close(&mut self) {
        let end = self.0.read(&mut [0]);
        assert!(
            matches!(end, Ok(0)),
            "{end:?} where the connection was to end"
        );
    }
}

impl GatewayProcess {
    /// Descriptors that it has open.
    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.0.id())).map_or(0, Iterator::count)
    }
}

// ---- Discovery and the platform's configuration ----

#[derive(Default)]
pub(crate) struct Discovery {
    pub changes: Mutex<Vec<String>>,
    pub silent: AtomicBool,
    /// If not 0, the only connection, counted from 1, on which changes are told.
    pub only_connection: AtomicUsize,
    /// From the end of each answer to the next call.
    pub rearm_delays: Mutex<Vec<Duration>>,
    /// When each answer with news was written.
    pub update_times: Mutex<Vec<Instant>>,
    pub watches: AtomicUsize,
    /// Connections on which something was asked.
    pub connections_used: AtomicUsize,
}

pub(crate) fn target(uid: &str, address: SocketAddr, mode: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0,"mode":"{mode}"}}"#
    )
}

impl Discovery {
    /// Serves the list; each change pushed to `changes` is a newer version.
    pub(crate) fn start(list: String) -> (SocketAddr, Arc<Self>) {
        let all = Arc::new(Self::default());
        let shared = Arc::clone(&all);
        let count = AtomicUsize::new(0);
        let address = spawn_server(move |mut stream| {
            let number = 1 + count.fetch_add(1, Ordering::SeqCst);
            let mut answered: Option<Instant> = None;
            loop {
                let mut head = vec![];
                while !head.ends_with(b"\r\n\r\n") {
                    let mut byte = [0];
                    if stream.read_exact(&mut byte).is_err() {
                        return;
                    }
                    head.push(byte[0]);
                }
                if answered.is_none() {
                    shared.connections_used.fetch_add(1, Ordering::SeqCst);
                }
                if let Some(at) = answered {
                    shared.rearm_delays.lock().unwrap().push(at.elapsed());
                }
                let head = String::from_utf8(head).unwrap();
                let from = head
                    .split_once("from=")
                    .map(|(_, r)| r.split('&').next().unwrap().parse().unwrap());
                let hold = head
                    .split_once("hold_ms=")
                    .map(|(_, r)| r.split(' ').next().unwrap().parse().unwrap());
                let end = Instant::now() + Duration::from_millis(hold.unwrap_or(0));
                let mut news;
                let body = loop {
                    let changes = shared.changes.lock().unwrap();
                    let only = shared.only_connection.load(Ordering::SeqCst);
                    let deaf = only != 0 && only != number;
                    let rev = if deaf {
                        from.unwrap_or(0)
                    } else {
                        changes.len()
                    };
                    news = from.is_some_and(|from| rev > from);
                    if shared.silent.load(Ordering::SeqCst) {
                        drop(changes);
                        thread::sleep(Duration::from_millis(5));
                        continue;
                    }
                    match from {
                        // The list as it was at first: what has changed since is told to the watch that follows.
                        None => break format!(r#"{{"rev":0,"all":true,"targets":[{list}]}}"#),
                        Some(from) if rev > from || Instant::now() >= end => {
                            let news = changes[from..].join(",");
                            break format!(r#"{{"rev":{rev},"all":false,"targets":[{news}]}}"#);
                        }
                        Some(_) => drop(changes),
                    }
                    thread::sleep(Duration::from_millis(5));
                };
                shared
                    .watches
                    .fetch_add(usize::from(from.is_some()), Ordering::SeqCst);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if stream.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
                answered = Some(Instant::now());
                shared
                    .update_times
                    .lock()
                    .unwrap()
                    .extend(answered.filter(|_| news));
            }
        });
        (address, all)
    }
}

/// A machine that is slow to connect is no member that is away: that has 2 s.
/// Classes: `read` (any member), `book` (a keyed write), `once` (a write that must not be repeated).
pub(crate) fn config(
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    conn_idle_ms: u32,
) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"cell","deadline-ms":5000.0,"slo-ms":2000.0,"late-worth":0.3,"window-ms":5000.0,"worth":1.0}}"#
        )
    };
    let classes = [
        class("read", "safe"),
        class("book", "keyed"),
        class("once", "unsafe"),
    ]
    .join(",");
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"sockets":1024}},"known":{{"rev":0,"all":true,"targets":[{known}]}},
        "settings":{{"areas":["a"],"skus":["m"],"classes":[{classes}],
        "family-info":{{"needs-by-class":["eventual","mutate","mutate"],"position-zero-ms":0.0,
            "role-listed":"trailing","server-checks":"await","catch-up-wait-ms":20.0,"token-mode":"kept"}},
        "fleet-size":1,"zone":0,"tick-ms":5.0,"membership-mode":"push","some-new":{{"key":7}},
        "limits":{{"cancel":true,"conn-idle-ms":{conn_idle_ms},"connect-timeout-ms":2000.0,"max-attempts":6,
            "max-retry-after-ms":2000.0,"most-held":20000,"probing":true,"retry-after":false,"second-copies":false}},
        "rules":{{"ask-within-ms":10000.0,"cold-from":0.24,"cold-ms":17000.0,"tip-after-ms":2000.0,"tip-multiple":3.0}},
        "telemetry":{{"fields":["x0","x1","busy","rif"],"source":"on_probe"}},
        "tenants":[{{"name":"acme","allowance-per-s":100.0,"share":1.0}}],"over-share-worth":0.2}}}}"#
    )
}

pub(crate) struct TestGateway {
    pub address: SocketAddr,
    pub config: PathBuf,
    pub program: GatewayProcess,
    pub discovery: Arc<Discovery>,
}

/// A gateway between databases, listed as `known` says, and the clients of a test.
pub(crate) fn start_gateway(known: &str, conn_idle_ms: u32) -> TestGateway {
    start_gateway_with(known, conn_idle_ms, false)
}

pub(crate) fn start_gateway_with(known: &str, conn_idle_ms: u32, silent: bool) -> TestGateway {
    start_gateway_with_config(known, conn_idle_ms, silent, |text| text)
}

/// The same with another configuration.
pub(crate) fn start_gateway_with_config(
    known: &str,
    conn_idle_ms: u32,
    silent: bool,
    edit: impl Fn(String) -> String,
) -> TestGateway {
    let (discovery_at, discovery) = Discovery::start(known.to_owned());
    discovery.silent.store(silent, Ordering::SeqCst);
    let address = free_address();
    let path = temp_folder().join("config.json");
    std::fs::write(
        &path,
        edit(config(address, discovery_at, known, conn_idle_ms)),
    )
    .unwrap();
    let program = GatewayProcess::start(&[], Some(&path), address);
    TestGateway {
        address,
        config: path,
        program,
        discovery,
    }
}
