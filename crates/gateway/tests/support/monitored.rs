//! A gateway on a TOML configuration with both fronts, an SNMP agent and a state folder, and load
//! generators for it.
#![allow(dead_code)]

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use valehatch_request_log::{RowKey, Scope};

use super::cql;
use super::{
    Client, GatewayProcess, Reply, StubDatabase, free_address, row_with_tag, stub_database,
    temp_folder,
};

pub(crate) const PASSWORD: &str = "a long password";

/// A running gateway with the addresses of its fronts and of its agent.
pub(crate) struct MonitoredGateway {
    pub pg: SocketAddr,
    pub cql: SocketAddr,
    pub agent: SocketAddr,
    pub dir: PathBuf,
    pub file: PathBuf,
    pub program: GatewayProcess,
}

/// The localized keys of a password, as `valehatch snmp key` prints them.
pub(crate) fn snmp_keys(gateway: &str, password: &str) -> String {
    use std::io::Write;
    use std::process::{Command, Stdio};
    let mut child = Command::new(env!("CARGO_BIN_EXE_valehatch"))
        .args(["snmp", "key", "--gateway", gateway])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    writeln!(child.stdin.take().unwrap(), "{password}\n{password}").unwrap();
    String::from_utf8(child.wait_with_output().unwrap().stdout).unwrap()
}

fn members(front: &[(&str, SocketAddr, bool)]) -> String {
    let one = |(name, address, primary): &(&str, SocketAddr, bool)| {
        format!(
            "[[front.member]]\nname = \"{name}\"\naddress = \"{address}\"\nprimary = {primary}\n"
        )
    };
    front.iter().map(one).collect()
}

fn contract(name: &str, need: &str, effect: &str, more: &str) -> String {
    format!(
        "[[front.contract]]\nname = \"{name}\"\nneed = \"{need}\"\neffect = \"{effect}\"\naim-ms = 200\ndeadline-ms = 600\nlate-worth = 0.5\n{more}"
    )
}

/// What goes into the configuration file: `state` into its section of this name, `more` at the end.
pub(crate) struct GatewayConfig {
    pub pg: Vec<(&'static str, SocketAddr, bool)>,
    pub cql: Vec<(&'static str, SocketAddr, bool)>,
    pub state: String,
    pub more: String,
    pub user: bool,
}

impl GatewayConfig {
    pub(crate) fn to_toml(
        &self,
        pg: SocketAddr,
        cql: SocketAddr,
        agent: SocketAddr,
        dir: &std::path::Path,
    ) -> String {
        let mut text = format!(
            "[gateway]\nname = \"watched\"\n[state]\ndir = {:?}\n{}\n[[budget]]\nname = \"acme\"\nshare = 1.0\nallowance-per-s = 100000\n",
            dir.display().to_string(),
            self.state
        );
        if !self.pg.is_empty() {
            text += &format!(
                "[[front]]\nname = \"bookings\"\nprotocol = \"postgresql\"\nlisten = \"{pg}\"\n"
            );
            text += &members(&self.pg);
            text += &contract("read", "any", "safe", "");
            text += &contract("once", "write", "unsafe", "");
        }
        if !self.cql.is_empty() {
            text += &format!(
                "[[front]]\nname = \"stays\"\nprotocol = \"cassandra\"\nlisten = \"{cql}\"\n"
            );
            text += &members(&self.cql);
            text += &contract(
                "stay-read",
                "any",
                "safe",
                "budget = \"acme\"\nstatements = [\"SELECT\"]\n",
            );
            text += &contract(
                "stay-write",
                "write",
                "unsafe",
                "budget = \"acme\"\nstatements = [\"INSERT\"]\n",
            );
        }
        text += &format!("[snmp]\nlisten = \"{agent}\"\n[[snmp.community]]\nname = \"stays\"\n");
        if self.user {
            text += &format!(
                "[[snmp.user]]\nname = \"facilities\"\n{}",
                snmp_keys("watched", PASSWORD)
            );
        }
        text + "[snmp.limits]\nper-source-per-s = 100000\ntotal-per-s = 100000\ncpu-share = 1.0\n"
            + &self.more
    }

    pub(crate) fn start(&self) -> MonitoredGateway {
        let (pg, cql, agent, folder) = (
            free_address(),
            free_address(),
            free_address(),
            temp_folder(),
        );
        let (dir, file) = (folder.join("state"), folder.join("gateway.toml"));
        std::fs::write(&file, self.to_toml(pg, cql, agent, &dir)).unwrap();
        let program = run_gateway(&file, if self.pg.is_empty() { cql } else { pg });
        MonitoredGateway {
            pg,
            cql,
            agent,
            dir,
            file,
            program,
        }
    }
}

/// Starts the gateway on a configuration file and waits until it listens at `address`.
pub(crate) fn run_gateway(file: &std::path::Path, address: SocketAddr) -> GatewayProcess {
    GatewayProcess::start(&["serve", file.to_str().unwrap()], None, address)
}

/// Name, address and whether it is the primary, for each member of a front.
pub(crate) type Members = Vec<(&'static str, SocketAddr, bool)>;

/// Stub databases that answer late, with errors, partly or not at all where the text of the query
/// says so.
pub(crate) fn database_members() -> Members {
    stub_databases().0
}

/// Like [`database_members`], with what each database records.
pub(crate) fn stub_databases() -> (Members, [Arc<StubDatabase>; 2]) {
    let serve = |_: usize, query: &str| {
        let insert = query.contains("INSERT");
        let tag = if insert { "INSERT 0 1" } else { "SELECT 1" };
        let has = |marker: &str| query.contains(marker);
        if has("'slow'") {
            thread::sleep(Duration::from_millis(230));
        }
        match query {
            _ if has("'error'") => Reply::Send(super::error("XX000")),
            _ if has("'fault'") => Reply::Send(super::error("42601")),
            _ if has("'full'") => Reply::Send(super::error("53300")),
            _ if has("'cut'") => Reply::SendThenClose(vec![]),
            _ if has("'stall'") => Reply::SendThenStall(vec![]),
            _ => Reply::Send(row_with_tag("x", tag)),
        }
    };
    let (one, two) = (
        stub_database("read-write", serve),
        stub_database("read-only", serve),
    );
    (
        vec![("db-1", one.0, true), ("db-2", two.0, false)],
        [one.1, two.1],
    )
}

/// Stub nodes with the faults of [`database_members`].
pub(crate) fn node_members() -> Members {
    stub_nodes().0
}

/// Like [`node_members`], with what each node records.
pub(crate) fn stub_nodes() -> (Members, [Arc<cql::StubNode>; 2]) {
    let serve = |frame: &cql::Frame, _: &cql::StubNode| {
        let text = String::from_utf8_lossy(&frame.body).into_owned();
        let has = |marker: &str| text.contains(marker);
        if has("'slow'") {
            thread::sleep(Duration::from_millis(230));
        }
        match () {
            () if has("'error'") => cql::Reply::Send(cql::ERROR, cql::error_body(0, &[])),
            () if has("'fault'") => cql::Reply::Send(cql::ERROR, cql::error_body(0x2000, &[])),
            () if has("'full'") => cql::Reply::Send(cql::ERROR, cql::error_body(0x1001, &[])),
            () if has("'cut'") => cql::Reply::PartialThenClose,
            () if has("'stall'") => cql::Reply::PartialThenStall,
            () => cql::Reply::Send(cql::RESULT, cql::rows_body("x")),
        }
    };
    let (one, two) = (cql::stub_node(serve), cql::stub_node(serve));
    (
        vec![("node-1", one.0, true), ("node-2", two.0, false)],
        [one.1, two.1],
    )
}

/// The marker in the text of the n-th request that selects its fault; most are served.
pub(crate) fn marker(n: usize) -> &'static str {
    match n % 97 {
        7 => "'slow'",
        19 | 57 => "'error'",
        31 => "'fault'",
        43 => "'full'",
        61 | 62 => "'cut'",
        83 => "'stall'",
        _ => "'x'",
    }
}

/// The next request id: no two open requests share one.
static NEXT: AtomicUsize = AtomicUsize::new(0);

/// The n-th query of the generated load.
pub(crate) fn workload_query(n: usize) -> String {
    let (class, statement) = if n.is_multiple_of(3) {
        ("once", format!("INSERT INTO o (a) VALUES ({})", marker(n)))
    } else {
        ("read", format!("SELECT a FROM o WHERE a = {}", marker(n)))
    };
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let tenant = if n.is_multiple_of(4) {
        "nobody"
    } else {
        "acme"
    };
    format!("/* id={id:016x},c={class},t={tenant},d=500,cluster=0 */ {statement}")
}

/// Sends queries over PostgreSQL until `stop` is set; now and then a client disconnects before its
/// answer. Returns the number of queries sent.
pub(crate) fn load_pg(address: SocketAddr, seed: usize, stop: &AtomicBool) -> usize {
    let mut sent = 0;
    let mut client: Option<Client> = None;
    for n in seed.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let Some(mut current) = client.take().or_else(|| connect_pg(address)) else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        use std::io::Write;
        let query = workload_query(n);
        if current
            .0
            .write_all(&super::message(b'Q', format!("{query}\0").as_bytes()))
            .is_err()
        {
            continue;
        }
        sent += 1;
        if n % 211 == 0 {
            continue; // Drops the client, which disconnects.
        }
        if current.answer() != super::Answer::Ended {
            client = Some(current);
        }
    }
    sent
}

fn connect_pg(address: SocketAddr) -> Option<Client> {
    use std::io::Write;
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(super::TEST_TIMEOUT)).ok()?;
    let mut client = Client(stream);
    client.0.write_all(&Client::startup_message()).ok()?;
    while super::read_message(&mut client.0)?.0 != b'Z' {}
    Some(client)
}

/// Like [`load_pg`], over the Cassandra native protocol.
pub(crate) fn load_cql(address: SocketAddr, seed: usize, stop: &AtomicBool) -> usize {
    use std::io::Write;
    let mut sent = 0;
    let mut client: Option<cql::Client> = None;
    for n in seed.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let Some(mut current) = client.take().or_else(|| connect_cql(address)) else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        let text = match n % 5 {
            0 => format!("INSERT INTO s (a) VALUES ({})", marker(n)),
            1 if n % 45 == 1 => "DELETE FROM s".into(),
            _ => format!("SELECT a FROM s WHERE a = {}", marker(n)),
        };
        let (op, body) = cql::query(&text);
        let frame = cql::Frame {
            version: 4,
            flags: 0,
            stream: 1,
            op,
            body,
        };
        if current.0.write_all(&frame.bytes()).is_err() {
            continue;
        }
        sent += 1;
        if n % 211 == 0 {
            continue;
        }
        client = cql::Frame::read(&mut current.0).map(|_| current);
    }
    sent
}

fn connect_cql(address: SocketAddr) -> Option<cql::Client> {
    use std::io::Write;
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(super::TEST_TIMEOUT)).ok()?;
    let body = [
        &[0, 1][..],
        &cql::short(b"CQL_VERSION"),
        &cql::short(b"3.0.0"),
    ]
    .concat();
    stream
        .write_all(
            &cql::Frame {
                version: 4,
                flags: 0,
                stream: 1,
                op: 1,
                body,
            }
            .bytes(),
        )
        .ok()?;
    (cql::Frame::read(&mut stream)?.op == cql::READY).then_some(cql::Client(stream))
}

/// The keys of all rows of the request tables for these fronts.
pub(crate) fn request_rows(fronts: &[&str]) -> Vec<RowKey> {
    let key = |scope, front: &str, name: &str| RowKey {
        scope,
        front: front.into(),
        name: name.into(),
    };
    let mut all = vec![];
    for front in fronts {
        let classes: &[&str] = if *front == "bookings" {
            &["read", "once"]
        } else {
            &["stay-read", "stay-write", "unknown", "prepare"]
        };
        all.extend(classes.iter().map(|c| key(Scope::Class, front, c)));
        all.push(key(Scope::Tenant, front, "acme"));
    }
    all
}

/// Sleeps for this time in steps of 1 ms.
pub(crate) fn sleep_for(time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(1));
    }
}
