//! Sessions across hot restarts: a read sees its session's last write, whichever process confirmed
//! the write and whichever serves the read. Replicas lag on command.

mod support;

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::UNIX_EPOCH;

use rstest::rstest;
use support::hot_restart::{GatewaySetup, Process};
use support::{
    Answer, Client, Reply, StubDatabase, message, row, row_with_tag, stub_database, target,
};

const KEY: &str = "guest";
const REPLICAS: usize = 3;
/// Position of replicas that do not lag.
const UP_TO_DATE: i64 = i64::MAX;

fn unix_ms() -> i64 {
    i64::try_from(UNIX_EPOCH.elapsed().unwrap().as_millis()).unwrap()
}

struct Commit {
    at_ms: i64,
    value: String,
}

/// The data of one key, and how far the replicas have applied it.
struct Group {
    commits: Mutex<Vec<Commit>>,
    /// Unix milliseconds up to which the replicas have applied all commits.
    replicas_at_ms: AtomicI64,
}

impl Group {
    fn commit(&self, value: &str) -> i64 {
        let mut commits = self.commits.lock().unwrap();
        let last_ms = commits.last().map_or(0, |commit| commit.at_ms);
        let at_ms = unix_ms().max(last_ms + 1);
        commits.push(Commit {
            at_ms,
            value: value.to_owned(),
        });
        at_ms
    }

    fn value_at(&self, position_ms: i64) -> String {
        let commits = self.commits.lock().unwrap();
        let applied = commits
            .iter()
            .rev()
            .find(|commit| commit.at_ms <= position_ms);
        applied.map_or_else(|| "none".to_owned(), |commit| commit.value.clone())
    }

    fn answer_primary(&self, query: &str) -> Reply {
        if !query.contains("INSERT") {
            return Reply::Send(row(&self.value_at(i64::MAX)));
        }
        let value = query.split('\'').nth(3).unwrap();
        // Reported commits are rounded up.
        let commit = format!("wal_time\0{}\0", self.commit(value) + 1);
        let answer = [
            row_with_tag(value, "INSERT 0 1"),
            message(b'S', commit.as_bytes()),
        ];
        Reply::Send(answer.concat())
    }

    fn answer_replica(&self) -> Reply {
        Reply::Send(row(
            &self.value_at(self.replicas_at_ms.load(Ordering::SeqCst))
        ))
    }
}

/// A gateway that remembers its sessions' writes, between databases that do not check how old
/// their data is.
struct Scene {
    setup: GatewaySetup,
    group: Arc<Group>,
    replicas: Vec<Arc<StubDatabase>>,
}

impl Scene {
    fn new() -> Self {
        let group = Arc::new(Group {
            commits: Mutex::default(),
            replicas_at_ms: AtomicI64::new(UP_TO_DATE),
        });
        let shared = Arc::clone(&group);
        let (primary, _) = stub_database("read-write", move |_, q| shared.answer_primary(q));
        let mut targets = vec![target("s-00000000", primary, "read-write", "active")];
        let mut replicas = vec![];
        for n in 1..=REPLICAS {
            let shared = Arc::clone(&group);
            let (address, replica) =
                stub_database("read-only", move |_, _| shared.answer_replica());
            let uid = format!("s-{n:08x}");
            targets.push(target(&uid, address, "read-only", "active"));
            replicas.push(replica);
        }
        let setup = GatewaySetup::with_config(&targets.join(","), |text| {
            text.replace(
                r#""needs-by-class":["eventual","#,
                r#""needs-by-class":["causal","#,
            )
            .replace(r#""server-checks":"await""#, r#""server-checks":"off""#)
        });
        Self {
            setup,
            group,
            replicas,
        }
    }

    /// From now on, the replicas apply nothing and report the position that they have.
    fn stop_replication(&self) {
        let position_ms = unix_ms() - 1;
        self.group
            .replicas_at_ms
            .store(position_ms, Ordering::SeqCst);
        let report = format!(
            "x0={:.3},x1=0,util=0.1,inflight=0",
            position_ms as f64 / 1000.0
        );
        for replica in &self.replicas {
            *replica.probe_reply.lock().unwrap() = Some(report.clone());
        }
    }

    /// Opens a connection that the only running process serves.
    fn connect(&self) -> Session {
        Session {
            client: Client::connect(self.setup.listen),
            next_id: 0,
        }
    }

    /// Opens a connection that is not served by `other`: that process is stopped meanwhile.
    fn connect_past(&self, other: &Process) -> Session {
        other.program.pause();
        let session = self.connect();
        other.program.signal("CONT");
        session
    }
}

/// A connection of the session's client.
struct Session {
    client: Client,
    next_id: u32,
}

impl Session {
    fn query(&mut self, class: &str, statement: &str) -> Answer {
        self.next_id += 1;
        // Unique over all connections of a test.
        let id = format!(
            "{}-{}",
            self.client.0.local_addr().unwrap().port(),
            self.next_id
        );
        self.client.query(&format!(
            "/* id={id},c={class},t=acme,d=20000,k={id},cluster=0 */ {statement}"
        ))
    }

    fn write(&mut self, value: &str) {
        let statement =
            format!("INSERT INTO objects (oid, body) VALUES ('{KEY}', '{value}') RETURNING body");
        let answer = self.query("book", &statement);
        assert_eq!(
            answer,
            Answer::Value(value.to_owned()),
            "the write is served"
        );
    }

    #[track_caller]
    fn sees(&mut self, value: &str) {
        let statement = format!("SELECT body FROM objects WHERE oid = '{KEY}'");
        assert_eq!(
            self.query("read", &statement),
            Answer::Value(value.to_owned()),
            "the session's last write is read"
        );
    }
}

/// How the write, the processes' lives and the read follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crossing {
    /// The old process confirms the write before the new one starts.
    WrittenBeforeNewProcess,
    /// The old process confirms the write while both serve.
    WrittenByOldProcess,
    /// The new process confirms the write, and the old one serves the read.
    WrittenByNewProcess,
    /// As above, after the new process has died.
    NewProcessDied,
    /// The old process confirms the write and ends.
    OldProcessEnded,
    /// As above, and a third process follows.
    ThirdProcess,
}

/// Guards against session reads that a replica answers although the other process of a hot restart
/// has confirmed a later write.
#[rstest]
#[case(Crossing::WrittenBeforeNewProcess)]
#[case(Crossing::WrittenByOldProcess)]
#[case(Crossing::WrittenByNewProcess)]
#[case(Crossing::NewProcessDied)]
#[case(Crossing::OldProcessEnded)]
#[case(Crossing::ThirdProcess)]
fn session_read_sees_write_that_other_process_confirmed(#[case] crossing: Crossing) {
    let scene = Scene::new();
    let mut old = scene.setup.start();
    let mut with_old = scene.connect();
    with_old.write("first");
    with_old.sees("first");
    if crossing == Crossing::WrittenBeforeNewProcess {
        scene.stop_replication();
        with_old.write("last");
    }
    let mut new = scene.setup.start();
    let mut with_new = scene.connect_past(&old);
    with_new.sees(match crossing {
        Crossing::WrittenBeforeNewProcess => "last",
        _ => "first",
    });
    if crossing == Crossing::WrittenBeforeNewProcess {
        return;
    }
    scene.stop_replication();
    match crossing {
        Crossing::WrittenByNewProcess => {
            with_new.write("last");
            with_old.sees("last");
        }
        Crossing::NewProcessDied => {
            with_new.write("last");
            new.program.0.kill().unwrap();
            new.program.wait_for_exit();
            with_old.sees("last");
        }
        _ => {
            with_old.write("last");
            with_new.sees("last");
        }
    }
    if !matches!(crossing, Crossing::OldProcessEnded | Crossing::ThirdProcess) {
        return;
    }
    old.program.terminate();
    old.program.wait_for_exit();
    scene.connect().sees("last");
    if crossing == Crossing::ThirdProcess {
        let _third = scene.setup.start();
        scene.connect_past(&new).sees("last");
    }
}

/// Once the old process has ended and the replicas have caught up, they serve session reads again.
#[test]
fn replicas_serve_session_reads_after_hot_restart() {
    let scene = Scene::new();
    let mut old = scene.setup.start();
    scene.connect().write("first");
    let _new = scene.setup.start();
    old.program.terminate();
    old.program.wait_for_exit();
    let mut session = scene.connect();
    let served = || -> usize { scene.replicas.iter().map(|r| r.count()).sum() };
    let before = served();
    support::wait_until("a replica serves a session read", || {
        session.sees("first");
        served() > before
    });
}
