//! Fixtures of the end-to-end tests: the gateway as a process, stub databases, a stub discovery
//! service and scripted clients, all on loopback.
#![allow(dead_code)]

pub(crate) mod cql;
pub(crate) mod faults;
pub(crate) mod hot_restart;
pub(crate) mod long_values;
pub(crate) mod manager;
pub(crate) mod memory;
pub(crate) mod monitored;
pub(crate) mod recording_node;
pub(crate) mod scripted_discovery;
pub(crate) mod slow_clients;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upper bound on a wait for one condition, and the read timeout of clients.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls until the condition holds; fails the test after [`TEST_TIMEOUT`].
pub(crate) fn wait_until(condition: &str, holds: impl FnMut() -> bool) {
    wait_until_within(TEST_TIMEOUT, condition, holds);
}

/// Polls until the condition holds; fails the test after `timeout`.
pub(crate) fn wait_until_within(
    timeout: Duration,
    condition: &str,
    mut holds: impl FnMut() -> bool,
) {
    let end = Instant::now() + timeout;
    while !holds() {
        assert!(
            Instant::now() < end,
            "condition not met within {timeout:?}: {condition}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

/// Sets a stop flag when dropped, so that a failing test does not wait forever for its threads.
pub(crate) struct StopOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A loopback address that no other caller gets, with a port outside the ephemeral range. An
/// ephemeral port could be taken by the very connection that checks whether the gateway listens
/// yet.
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

/// Creates a temporary folder that no other caller gets.
pub(crate) fn temp_folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("valehatch-test-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

/// The gateway as a child process, with its captured log. Dropping it kills the process.
pub(crate) struct GatewayProcess(pub Child, Arc<Mutex<String>>);

impl GatewayProcess {
    /// Spawns the gateway and waits until it accepts connections at `address`.
    pub(crate) fn start(args: &[&str], config: Option<&PathBuf>, address: SocketAddr) -> Self {
        let mut program = Self::spawn(args, config, &[]);
        wait_until("the gateway listens", || {
            assert!(
                program.0.try_wait().unwrap().is_none(),
                "the gateway exited during start-up"
            );
            TcpStream::connect(address).is_ok()
        });
        program
    }

    /// Spawns the gateway with these environment variables and returns without waiting for it.
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
        let sink = Arc::clone(&log);
        thread::spawn(move || {
            let mut buffer = [0; 1024];
            while let Ok(n @ 1..) = errors.read(&mut buffer) {
                sink.lock()
                    .unwrap()
                    .push_str(&String::from_utf8_lossy(&buffer[..n]));
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

    /// Sends SIGSTOP and waits until every thread has stopped, since a signal takes a moment to
    /// arrive.
    pub(crate) fn pause(&self) {
        self.signal("STOP");
        let is_stopped = |task: std::io::Result<std::fs::DirEntry>| {
            let stat =
                std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap_or_default();
            stat.rsplit(") ")
                .next()
                .is_none_or(|rest| rest.starts_with('T') || rest.is_empty())
        };
        wait_until("all threads of the gateway are stopped", || {
            std::fs::read_dir(format!("/proc/{}/task", self.0.id()))
                .unwrap()
                .all(is_stopped)
        });
    }

    /// The log output so far.
    pub(crate) fn log(&self) -> String {
        self.1.lock().unwrap().clone()
    }

    /// Waits until the log contains `text`.
    pub(crate) fn wait_for_log(&self, text: &str) {
        wait_until(text, || self.1.lock().unwrap().contains(text));
    }

    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the gateway exits", || {
            status = self.0.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("log of the gateway: {}", self.1.lock().unwrap());
        }
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Accepts connections on a free port and serves each one in a thread of its own.
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

/// How a stub database replies to a query.
pub(crate) enum Reply {
    /// Writes the bytes, then its role and `ReadyForQuery`, and reads the next query.
    Send(Vec<u8>),
    /// Like `Send`, but in pieces of this many bytes with a pause between them.
    SendSlowly(Vec<u8>, usize, Duration),
    /// Writes the bytes and closes the connection.
    SendThenClose(Vec<u8>),
    /// Closes the connection unanswered and sets `delay_greetings` for all later connections.
    CloseAndDelayNew,
    /// Writes the bytes over and over until the peer closes the connection.
    SendEndlessly(Vec<u8>),
    /// Writes the bytes and nothing more until the peer closes the connection.
    SendThenStall(Vec<u8>),
}

/// What a stub database has recorded, and the switches that change how it behaves.
#[derive(Default)]
pub(crate) struct StubDatabase {
    /// Each query with its arrival time and the number of its connection, without probes.
    pub queries: Mutex<Vec<(Instant, String, usize)>>,
    /// If set, the reply to probes in place of the actual status.
    pub probe_reply: Mutex<Option<String>>,
    /// Number of probes received.
    pub probes: AtomicUsize,
    /// Number of connections accepted.
    pub opened: AtomicUsize,
    /// Number of connections that have ended.
    pub closed: AtomicUsize,
    /// While set, new connections get no greeting, so that dials complete late.
    pub delay_greetings: AtomicBool,
    /// Number of connections whose greeting was delayed.
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

/// Starts a stub database that answers probes itself and other queries by `reply_to`, which gets
/// the number of the query, counted from 0, and its text.
pub(crate) fn stub_database(
    role: &'static str,
    reply_to: impl Fn(usize, &str) -> Reply + Send + Sync + 'static,
) -> (SocketAddr, Arc<StubDatabase>) {
    let database = Arc::new(StubDatabase::default());
    let shared = Arc::clone(&database);
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
                match reply_to(n, &query) {
                    Reply::Send(bytes) => {
                        let _ = stream
                            .write_all(&[bytes, mode_status(role), ready_for_query()].concat());
                    }
                    Reply::SendSlowly(bytes, piece, pause) => {
                        for (n, part) in [bytes, mode_status(role), ready_for_query()]
                            .concat()
                            .chunks(piece)
                            .enumerate()
                        {
                            thread::sleep(if n > 0 { pause } else { Duration::ZERO });
                            if stream.write_all(part).is_err() {
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
        // The connection is closed before it is counted as closed.
        drop(stream);
        shared.closed.fetch_add(1, Ordering::SeqCst);
    });
    (address, database)
}

/// A PostgreSQL client session.
pub(crate) struct Client(pub TcpStream);

/// Answer to a query.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// Value of the only column of the only row.
    Value(String),
    /// SQLSTATE and detail of an error; the detail of a refusal is the retry hint in milliseconds.
    Error(String, Option<String>),
    /// `EmptyQueryResponse`.
    Empty,
    /// A completion without a row, or the end of the connection.
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

    /// Connects and sends the bytes at once.
    pub(crate) fn connect_and_send(address: SocketAddr, bytes: &[u8]) -> Self {
        let mut client = Self::connect_raw(address);
        client.0.write_all(bytes).unwrap();
        client
    }

    /// Opens a session: connects, sends the startup message and reads up to `ReadyForQuery`.
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

// ---- Queries, and how clients disconnect ----

/// A read that any endpoint serves; the oid in the answer identifies the request.
pub(crate) fn read_query(id: u32, d: u32) -> String {
    format!(
        "/* id={id},c=read,t=acme,d={d},cluster=0 */ SELECT body FROM objects WHERE oid = 'x{id}'"
    )
}

/// A write that must not be retried.
pub(crate) fn unsafe_write_query(id: u32, d: u32) -> String {
    format!(
        "/* id={id},c=once,t=acme,d={d},cluster=0 */ INSERT INTO objects (oid, body) VALUES ('x{id}', '1') RETURNING body"
    )
}

/// Reads with these ids, as a client sends them that does not wait for answers.
pub(crate) fn pipelined_reads(ids: std::ops::Range<u32>, d: u32) -> Vec<u8> {
    ids.flat_map(|id| message(b'Q', format!("{}\0", read_query(id, d)).as_bytes()))
        .collect()
}

/// An answer whose value is the oid in the query.
pub(crate) fn echo_oid(query: &str) -> Vec<u8> {
    let tag = if query.contains("INSERT") {
        "INSERT 0 1"
    } else {
        "SELECT 1"
    };
    row_with_tag(query.split('\'').nth(1).unwrap(), tag)
}

/// The id in the comment of a query.
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

/// Whether the answer is a refusal: nothing was executed, and the hint says when to retry. It is
/// also the last message on a connection that the gateway closes.
pub(crate) fn is_retryable_refusal(answer: &Answer) -> bool {
    matches!(answer, Answer::Error(code, Some(after)) if code == "53300" && after != "0")
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disconnect {
    /// Closes its connection with nothing unread.
    Close,
    /// Shuts down its sending side and can still read.
    HalfClose,
    /// Closes with bytes unread, which resets the connection.
    Reset,
}

impl Client {
    /// Disconnects; returns the client if its connection is only half closed.
    pub(crate) fn disconnect(mut self, how: Disconnect) -> Option<Self> {
        match how {
            Disconnect::Close => None,
            Disconnect::HalfClose => {
                self.0.shutdown(std::net::Shutdown::Write).unwrap();
                Some(self)
            }
            Disconnect::Reset => {
                // Leaves the answer to an empty query, or what came before it, unread.
                self.send("");
                self.0.peek(&mut [0]).unwrap();
                None
            }
        }
    }

    /// Asserts that nothing more arrives and that the connection ends without a reset.
    pub(crate) fn expect_clean_close(&mut self) {
        let end = self.0.read(&mut [0]);
        assert!(
            matches!(end, Ok(0)),
            "expected the end of the connection, got {end:?}"
        );
    }
}

impl GatewayProcess {
    /// Number of open file descriptors.
    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.0.id())).map_or(0, Iterator::count)
    }
}

// ---- Discovery and the JSON configuration ----

/// A stub discovery service.
#[derive(Default)]
pub(crate) struct Discovery {
    /// The changes to the list, each of which makes a newer version.
    pub changes: Mutex<Vec<String>>,
    /// While set, no call is answered.
    pub silent: AtomicBool,
    /// If not 0, the only connection, counted from 1, that gets the changes.
    pub only_connection: AtomicUsize,
    /// Time from the end of each answer to the next call on its connection.
    pub rearm_delays: Mutex<Vec<Duration>>,
    /// When each answer with changes was written.
    pub update_times: Mutex<Vec<Instant>>,
    /// Number of watch calls answered.
    pub watches: AtomicUsize,
    /// Number of connections with at least one call.
    pub connections_used: AtomicUsize,
}

/// An entry of the list that discovery serves.
pub(crate) fn target(uid: &str, address: SocketAddr, mode: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0,"mode":"{mode}"}}"#
    )
}

impl Discovery {
    /// Starts the service with this list as version 0; each change pushed to `changes` makes a
    /// newer version.
    pub(crate) fn start(list: String) -> (SocketAddr, Arc<Self>) {
        let discovery = Arc::new(Self::default());
        let shared = Arc::clone(&discovery);
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
                let mut changed;
                let body = loop {
                    let changes = shared.changes.lock().unwrap();
                    let only = shared.only_connection.load(Ordering::SeqCst);
                    let excluded = only != 0 && only != number;
                    let rev = if excluded {
                        from.unwrap_or(0)
                    } else {
                        changes.len()
                    };
                    changed = from.is_some_and(|from| rev > from);
                    if shared.silent.load(Ordering::SeqCst) {
                        drop(changes);
                        thread::sleep(Duration::from_millis(5));
                        continue;
                    }
                    match from {
                        // The initial list: the watch that follows gets the later changes.
                        None => break format!(r#"{{"rev":0,"all":true,"targets":[{list}]}}"#),
                        Some(from) if rev > from || Instant::now() >= end => {
                            let targets = changes[from..].join(",");
                            break format!(r#"{{"rev":{rev},"all":false,"targets":[{targets}]}}"#);
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
                    .extend(answered.filter(|_| changed));
            }
        });
        (address, discovery)
    }
}

/// A JSON configuration with the classes `read` (any endpoint), `book` (a keyed write) and `once`
/// (a write that must not be retried). The connect timeout is 2 s, so that an endpoint on a slow
/// machine does not count as unreachable.
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

/// A running gateway with its stub discovery service.
pub(crate) struct TestGateway {
    pub address: SocketAddr,
    pub config: PathBuf,
    pub program: GatewayProcess,
    pub discovery: Arc<Discovery>,
}

/// Starts a gateway whose initial list is `known`.
pub(crate) fn start_gateway(known: &str, conn_idle_ms: u32) -> TestGateway {
    start_gateway_with(known, conn_idle_ms, false)
}

/// Like [`start_gateway`], with a discovery service that answers no call if `silent` is set.
pub(crate) fn start_gateway_with(known: &str, conn_idle_ms: u32, silent: bool) -> TestGateway {
    start_gateway_with_config(known, conn_idle_ms, silent, |text| text)
}

/// Like [`start_gateway_with`], with an edited configuration.
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
