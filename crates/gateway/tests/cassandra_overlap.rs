//! A request of the Cassandra front is never out at two nodes at a time.
//!
//! Its connections are shared. An attempt that the gateway has cancelled is still out while its
//! connection is open and its answer has not come, and the node may execute it. The request must
//! not be sent to another node before that has ended.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::cql::{Client, Contract, ERROR, Frame, Member, RESULT, front_config, query};
use support::recording_node::*;
use support::{GatewayProcess, free_address, temp_folder, wait_until};

const NODES: usize = 6;
/// Time within which the answer to a request has to come.
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
const DEADLINE_MS: u64 = 3_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Six nodes behind a gateway, which knows from earlier requests how fast they answer.
struct Cluster {
    nodes: Vec<Arc<RecordingNode>>,
    log: AttemptLog,
    addresses: Vec<SocketAddr>,
    listen: SocketAddr,
    path: PathBuf,
    program: GatewayProcess,
}

impl Cluster {
    fn start(hang: Hang) -> Self {
        let log = AttemptLog::default();
        let (addresses, nodes): (Vec<_>, Vec<_>) = (0..NODES)
            .map(|n| RecordingNode::start(n, &log, hang))
            .unzip();
        let listen = free_address();
        let path = temp_folder().join("gateway.toml");
        std::fs::write(&path, config(listen, &addresses, "active")).unwrap();
        let program = GatewayProcess::start(&["serve", path.to_str().unwrap()], None, listen);
        let cluster = Self {
            nodes,
            log,
            addresses,
            listen,
            path,
            program,
        };
        let mut client = Client::connect(listen);
        for n in 0..30 {
            assert_eq!(client.request(1, query(&insert("keyed", n))).op, RESULT);
        }
        cluster
    }

    /// The first node, which the writes go to.
    fn first(&self) -> &RecordingNode {
        &self.nodes[0]
    }

    /// Begins to drain the first node.
    fn drain_first(&self) {
        let text = config(self.listen, &self.addresses, "leaving");
        let fresh = self.path.with_extension("new");
        std::fs::write(&fresh, text).unwrap();
        std::fs::rename(fresh, &self.path).unwrap();
    }

    /// Waits until the first node has received this statement.
    fn wait_for(&self, statement: &str) {
        wait_until("the attempt arrives", || {
            let attempts = self.log.of(statement);
            attempts.iter().any(|attempt| attempt.node == 0)
        });
    }
}

fn config(listen: SocketAddr, nodes: &[SocketAddr], first_state: &'static str) -> String {
    let member = |(n, address): (usize, &SocketAddr)| Member {
        address: *address,
        state: if n == 0 { first_state } else { "active" },
    };
    let members: Vec<Member> = nodes.iter().enumerate().map(member).collect();
    let contract = |name, statements, need, effect| Contract {
        name,
        statements,
        need,
        effect,
        deadline_ms: DEADLINE_MS,
    };
    let contracts = [
        contract("keyed", "INSERT INTO keyed.", "write", "keyed"),
        contract("unsafe", "INSERT INTO unsafe.", "write", "unsafe"),
        contract("read", "SELECT", "any", "safe"),
    ];
    front_config(listen, &members, &contracts)
}

fn insert(keyspace: &str, id: usize) -> String {
    format!("INSERT INTO {keyspace}.guest (id, pitch) VALUES ({id}, 'p')")
}

fn send(client: &mut Client, statement: &str) {
    client.send(1, query(statement));
}

/// Guards against a write that is given to a second node while the first one has it on an open
/// connection: it ran twice.
#[rstest]
#[case::heartbeats_unanswered(Hang::Process)]
#[case::heartbeats_answered(Hang::Work)]
fn node_hangs_write_is_retried_after_its_connection_is_closed(#[case] hang: Hang) {
    let cluster = Cluster::start(hang);
    let mut client = Client::connect(cluster.listen);
    cluster.first().set_hanging(true);
    let asked_at = Instant::now();
    let answer = client.request(1, query(&insert("keyed", 1_000)));
    let latency = asked_at.elapsed();
    assert_eq!(answer.op, RESULT);
    assert!(latency < DEADLINE, "{latency:?}");
    sleep(ms(1_000));
    cluster.first().set_hanging(false);
    sleep(ms(100));
    let attempts = cluster.log.of(&insert("keyed", 1_000));
    assert_eq!(attempts.len(), 2, "{attempts:?}");
    cluster.log.assert_no_overlap();
    println!("answered after {latency:?}");
}

#[rstest]
#[case::heartbeats_unanswered(Hang::Process)]
#[case::heartbeats_answered(Hang::Work)]
fn node_hangs_with_writes_of_eight_clients_each_is_served_without_overlap(#[case] hang: Hang) {
    let cluster = Cluster::start(hang);
    let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(cluster.listen)).collect();
    cluster.first().set_hanging(true);
    for (n, client) in clients.iter_mut().enumerate() {
        send(client, &insert("keyed", 1_000 + n));
    }
    let asked_at = Instant::now();
    for client in &mut clients {
        assert_eq!(client.answer().op, RESULT);
    }
    println!("all answered after {:?}", asked_at.elapsed());
    cluster.log.assert_no_overlap();
}

#[rstest]
#[case::heartbeats_unanswered(Hang::Process)]
#[case::heartbeats_answered(Hang::Work)]
fn nodes_hang_read_is_retried_without_overlap(#[case] hang: Hang) {
    let cluster = Cluster::start(hang);
    let mut client = Client::connect(cluster.listen);
    for n in 0..30 {
        assert_eq!(client.request(1, query(&format!("SELECT {n}"))).op, RESULT);
    }
    // A third of the nodes; reads go to any.
    for node in &cluster.nodes[..2] {
        node.set_hanging(true);
    }
    for n in 100..130 {
        assert_eq!(client.request(1, query(&format!("SELECT {n}"))).op, RESULT);
    }
    cluster.log.assert_no_overlap();
}

#[test]
fn node_hangs_and_drains_write_is_retried_without_overlap() {
    let cluster = Cluster::start(Hang::Work);
    let mut client = Client::connect(cluster.listen);
    cluster.first().set_hanging(true);
    send(&mut client, &insert("keyed", 1_000));
    cluster.wait_for(&insert("keyed", 1_000));
    cluster.drain_first();
    assert_eq!(client.answer().op, RESULT);
    cluster.log.assert_no_overlap();
}

/// A write that must not be repeated shares the connection. Closing that would leave its outcome
/// unknown, so the other write waits until the node is known to be silent, or has answered.
#[rstest]
#[case::node_stays_silent(Hang::Process, None, ERROR, 2)]
#[case::node_answers_again(Hang::Work, Some(ms(900)), RESULT, 1)]
fn node_hangs_with_unrepeatable_write_repeatable_one_waits(
    #[case] hang: Hang,
    #[case] hangs_for: Option<Duration>,
    #[case] expected: u8,
    #[case] attempts: usize,
) {
    let cluster = Cluster::start(hang);
    let mut unrepeatable = Client::connect(cluster.listen);
    let mut repeatable = Client::connect(cluster.listen);
    cluster.first().set_hanging(true);
    send(&mut unrepeatable, &insert("unsafe", 1));
    cluster.wait_for(&insert("unsafe", 1));
    send(&mut repeatable, &insert("keyed", 1_000));
    cluster.wait_for(&insert("keyed", 1_000));
    let asked_at = Instant::now();
    if let Some(duration) = hangs_for {
        sleep(duration);
        cluster.first().set_hanging(false);
    }
    assert_eq!(repeatable.answer().op, RESULT);
    println!("answered after {:?}", asked_at.elapsed());
    assert_eq!(unrepeatable.answer().op, expected);
    cluster.log.assert_no_overlap();
    assert_eq!(cluster.log.of(&insert("keyed", 1_000)).len(), attempts);
    assert_eq!(cluster.log.of(&insert("unsafe", 1)).len(), 1);
}

/// As long as the node answers heartbeats, nothing shows that the other write is lost.
#[test]
fn only_heartbeats_are_answered_repeatable_write_beside_unrepeatable_one_is_answered_in_time() {
    let cluster = Cluster::start(Hang::Work);
    let mut unrepeatable = Client::connect(cluster.listen);
    let mut repeatable = Client::connect(cluster.listen);
    cluster.first().set_hanging(true);
    send(&mut unrepeatable, &insert("unsafe", 1));
    cluster.wait_for(&insert("unsafe", 1));
    let asked_at = Instant::now();
    send(&mut repeatable, &insert("keyed", 1_000));
    let answer = Frame::read(&mut repeatable.0).expect("a final answer");
    let latency = asked_at.elapsed();
    println!("opcode {} after {latency:?}", answer.op);
    assert!(latency < DEADLINE + ms(50), "{latency:?}");
    assert!(Frame::read(&mut unrepeatable.0).is_some());
    cluster.log.assert_no_overlap();
}

/// The client may repeat what a planned stop has failed, so the attempts have ended before that.
#[test]
fn planned_stop_closes_connections_before_it_fails_open_requests() {
    let mut cluster = Cluster::start(Hang::Work);
    let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(cluster.listen)).collect();
    cluster.program.terminate();
    // Their deadline is behind the moment at which a stop fails what is open.
    sleep(ms(2_600));
    cluster.first().set_hanging(true);
    for (n, client) in clients.iter_mut().enumerate() {
        send(client, &insert("unsafe", n));
    }
    let mut answered_at = vec![];
    for client in &mut clients {
        let answer = Frame::read(&mut client.0).expect("a final answer");
        assert_eq!(answer.op, ERROR);
        answered_at.push(Instant::now());
    }
    assert!(cluster.program.wait_for_exit().success());
    for (n, answered) in answered_at.into_iter().enumerate() {
        let attempts = cluster.log.of(&insert("unsafe", n));
        assert_eq!(attempts.len(), 1);
        let out_until = attempts[0].out_until().expect("the connection is closed");
        assert!(out_until <= answered + ms(50), "{attempts:?}");
    }
}

/// A client that has left leaves no attempt behind that is sent to a second node.
#[test]
fn client_disconnects_while_node_hangs_write_is_not_retried() {
    let cluster = Cluster::start(Hang::Work);
    let mut client = Client::connect(cluster.listen);
    cluster.first().set_hanging(true);
    send(&mut client, &insert("keyed", 1_000));
    cluster.wait_for(&insert("keyed", 1_000));
    drop(client);
    sleep(DEADLINE);
    assert_eq!(cluster.log.of(&insert("keyed", 1_000)).len(), 1);
    let mut next = Client::connect(cluster.listen);
    let answer = next.request(1, query(&insert("keyed", 1_001)));
    assert_eq!(answer.op, RESULT, "other nodes serve");
    cluster.log.assert_no_overlap();
}
