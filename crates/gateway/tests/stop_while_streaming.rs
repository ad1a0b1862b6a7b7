//! A planned stop while a long value is streamed to its client.
//!
//! The process is killed no sooner than 3.7 s after SIGTERM, and possibly much later. What the kill
//! finds unanswered is not lost if it was requested before SIGTERM, but what the gateway cuts off by
//! ending itself is. So a value that has begun is completed however late that is, and a process that
//! owes nothing ends as before.

mod support;

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::hot_restart::GatewaySetup;
use support::long_values::*;
use support::*;

/// Earliest time of the kill after SIGTERM, with a longest deadline of 3 s or more.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// How long a client that receives nothing keeps a response open.
const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a database that sends nothing keeps a streamed value open.
const DATABASE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a process ends that owes nothing any more.
const EXIT_TIME: Duration = Duration::from_secs(2);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn streamed_value() -> String {
    long_value(2 * LONGEST_BUFFERED)
}

/// Takes about 6 s, well beyond the earliest kill.
fn slow_reply() -> Reply {
    Reply::SendSlowly(row(&streamed_value()), 8 * 1024, ms(350))
}

/// Requests with the id 1 are answered by `reply`, all others at once.
fn database(reply: impl Fn() -> Reply + Send + Sync + 'static) -> (SocketAddr, Arc<StubDatabase>) {
    stub_database("read-write", move |_, query| match query_id(query) {
        1 => reply(),
        _ => Reply::Send(echo_oid(query)),
    })
}

fn gateway(database: SocketAddr) -> TestGateway {
    let known = target("s-00000001", database, "read-write", "active");
    start_gateway(&known, 15_000)
}

/// Reads a limited number of bytes in 100 ms.
struct SlowReader {
    stream: TcpStream,
    bytes: usize,
}

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        sleep(ms(100));
        let length = buffer.len().min(self.bytes);
        self.stream.read(&mut buffer[..length])
    }
}

/// Expects the end of the connection, with or without the error that closes an idle one.
fn expect_end(client: &mut Client) {
    match client.answer() {
        Answer::Ended => {}
        closing => assert!(is_retryable_refusal(&closing), "{closing:?}"),
    }
    client.expect_clean_close();
}

/// When the value is requested.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Request {
    /// Its first bytes arrive before SIGTERM.
    Begun,
    /// Before SIGTERM; its first bytes arrive 1 s after that.
    Waiting,
    /// Within the 0.7 s after SIGTERM in which a request may not be lost.
    AfterSignal,
}

/// Guards against a process that ends itself at the earliest moment of the kill and cuts off a value
/// that its database still sends.
#[rstest]
#[case::value_has_begun(Request::Begun, 1)]
#[case::value_waits_for_first_byte(Request::Waiting, 1)]
#[case::value_is_requested_after_signal(Request::AfterSignal, 1)]
#[case::signal_is_repeated(Request::Begun, 3)]
fn planned_stop_completes_streamed_value(#[case] request: Request, #[case] signals: u32) {
    let first_byte_after = if request == Request::Waiting {
        ms(1_000)
    } else {
        Duration::ZERO
    };
    let (address, _) = database(move || {
        sleep(first_byte_after);
        slow_reply()
    });
    let mut gateway = gateway(address);
    let mut client = Client::connect(gateway.address);
    if request == Request::AfterSignal {
        gateway.program.terminate();
        sleep(ms(600));
    }
    client.send(&read_query(1, 4_000));
    client.send(&read_query(2, 4_000));
    if request == Request::Begun {
        client.0.peek(&mut [0]).unwrap();
    }
    let signalled_at = Instant::now();
    for _ in 0..signals {
        gateway.program.terminate();
        sleep(ms(200));
    }
    sleep((signalled_at + EARLIEST_KILL).saturating_duration_since(Instant::now()));
    client.send(&read_query(3, 4_000));
    assert!(client.answer() == Answer::Value(streamed_value()));
    assert!(
        signalled_at.elapsed() > EARLIEST_KILL,
        "the value was too fast"
    );
    assert_eq!(
        client.answer(),
        Answer::Value("x2".into()),
        "asked behind it"
    );
    let late = client.answer();
    assert!(is_retryable_refusal(&late), "asked too late: {late:?}");
    expect_end(&mut client);
    let answered_at = Instant::now();
    assert!(gateway.program.wait_for_exit().success());
    assert!(answered_at.elapsed() < EXIT_TIME, "nothing was owed");
}

#[test]
fn planned_stop_slow_reader_gets_whole_value() {
    let value = long_value(4 * MIB);
    let answer = row(&value);
    let (address, db) = database(move || Reply::Send(answer.clone()));
    let mut gateway = gateway(address);
    let mut client = Client::connect(gateway.address);
    client.send(&read_query(1, 4_000));
    client.0.peek(&mut [0]).unwrap();
    gateway.program.terminate();
    let mut slow = SlowReader {
        stream: client.0.try_clone().unwrap(),
        bytes: 64 * 1024,
    };
    let started_at = Instant::now();
    let mut received = None;
    while let Some((kind, body)) = read_message(&mut slow) {
        match kind {
            b'D' => received = Some(body[6..].to_vec()),
            b'Z' => break,
            _ => {}
        }
    }
    assert!(received == Some(value.into_bytes()));
    assert!(
        started_at.elapsed() > EARLIEST_KILL,
        "the reader was too fast"
    );
    assert_eq!(db.count(), 1);
    expect_end(&mut client);
    assert!(gateway.program.wait_for_exit().success());
}

#[test]
fn planned_stop_database_is_silent_for_seconds_within_value() {
    let (address, _) = database(|| Reply::SendSlowly(row(&streamed_value()), 100_000, ms(5_000)));
    let mut gateway = gateway(address);
    let mut client = Client::connect(gateway.address);
    client.send(&read_query(1, 4_000));
    client.0.peek(&mut [0]).unwrap();
    gateway.program.terminate();
    assert!(client.answer() == Answer::Value(streamed_value()));
    expect_end(&mut client);
    assert!(gateway.program.wait_for_exit().success());
}

/// The exit has a bound: nobody waits for a value that its client no longer receives.
#[rstest]
#[case::client_disconnects(true, EARLIEST_KILL)]
#[case::client_reads_nothing(false, CLIENT_WRITE_TIMEOUT)]
fn planned_stop_client_takes_no_more_of_value_process_ends(
    #[case] disconnects: bool,
    #[case] ends_after: Duration,
) {
    let answer = row(&long_value(4 * MIB));
    let (address, _) = database(move || Reply::Send(answer.clone()));
    let mut gateway = gateway(address);
    let mut client = Client::connect(gateway.address);
    client.send(&read_query(1, 4_000));
    client.0.read_exact(&mut [0; 1024]).unwrap();
    let signalled_at = Instant::now();
    gateway.program.terminate();
    let _open = (!disconnects).then_some(client);
    assert!(gateway.program.wait_for_exit().success());
    let ended_after = signalled_at.elapsed();
    println!("ended after {ended_after:?}");
    assert!(ended_after < ends_after + EXIT_TIME, "{ended_after:?}");
}

/// The other bound: a database that sends nothing more ends the value, and with it the wait.
#[test]
fn planned_stop_database_sends_no_more_of_value_process_ends() {
    let begun = row(&streamed_value())[..LONGEST_BUFFERED].to_vec();
    let (address, _) = database(move || Reply::SendThenStall(begun.clone()));
    let mut gateway = gateway(address);
    let mut client = Client::connect(gateway.address);
    client.send(&read_query(1, 4_000));
    client.0.read_exact(&mut [0; 1024]).unwrap();
    let stalled_at = Instant::now();
    gateway.program.terminate();
    let latest = DATABASE_STALL_TIMEOUT + EXIT_TIME;
    wait_until_within(latest, "the gateway exits", || {
        gateway.program.0.try_wait().unwrap().is_some()
    });
    let ended_after = stalled_at.elapsed();
    println!("ended after {ended_after:?}");
    assert!(ended_after > EARLIEST_KILL, "{ended_after:?}");
    assert!(gateway.program.wait_for_exit().success());
}

/// A client that never stops to ask is answered, but does not keep the process from ending.
#[test]
fn planned_stop_client_sends_without_end_behind_value_process_ends() {
    let (address, _) = database(slow_reply);
    let mut gateway = gateway(address);
    let mut client = Client::connect(gateway.address);
    client.send(&read_query(1, 4_000));
    client.0.peek(&mut [0]).unwrap();
    let mut sender = Client(client.0.try_clone().unwrap());
    gateway.program.terminate();
    let sending = std::thread::spawn(move || {
        for id in 2.. {
            let query = pipelined_reads(id..id + 4, 4_000);
            if std::io::Write::write_all(&mut sender.0, &query).is_err() {
                return;
            }
            sleep(ms(1));
        }
    });
    assert!(client.answer() == Answer::Value(streamed_value()));
    let completed_at = Instant::now();
    while client.answer() != Answer::Ended {}
    assert!(gateway.program.wait_for_exit().success());
    let ended_after = completed_at.elapsed();
    println!("ended after {ended_after:?}");
    assert!(ended_after < EXIT_TIME, "{ended_after:?}");
    sending.join().unwrap();
}

/// The old process of a hot restart drains by itself, and then receives SIGTERM too.
#[test]
fn planned_stop_behind_upgrade_completes_streamed_value() {
    let (address, _) = database(slow_reply);
    let known = target("s-00000001", address, "read-write", "active");
    let setup = GatewaySetup::new(&known);
    let mut old = setup.start();
    let mut client = Client::connect(setup.listen);
    client.send(&read_query(1, 20_000));
    client.0.peek(&mut [0]).unwrap();
    let _new = setup.start();
    let signalled_at = Instant::now();
    old.program.terminate();
    assert!(client.answer() == Answer::Value(streamed_value()));
    assert!(
        signalled_at.elapsed() > EARLIEST_KILL,
        "the value was too fast"
    );
    let mut next = Client::connect(setup.listen);
    assert_eq!(
        next.query(&read_query(2, 4_000)),
        Answer::Value("x2".into())
    );
    expect_end(&mut client);
    assert!(old.program.wait_for_exit().success());
}

/// Starts a Cassandra front, as operators run it.
fn cassandra_gateway(node: SocketAddr) -> (SocketAddr, GatewayProcess) {
    let listen = free_address();
    let path = temp_folder().join("gateway.toml");
    let member = cql::Member {
        address: node,
        state: "active",
    };
    let contract = cql::Contract {
        name: "read",
        statements: "SELECT",
        need: "any",
        effect: "safe",
        deadline_ms: 3_000,
    };
    let front = cql::front_config(listen, &[member], &[contract]);
    let text = format!("[gateway]\nmemory-mb = 512\n{front}");
    std::fs::write(&path, text).unwrap();
    let program = GatewayProcess::start(&["serve", path.to_str().unwrap()], None, listen);
    (listen, program)
}

#[test]
fn planned_stop_slow_reader_of_cassandra_front_gets_all_answers() {
    // More than the sockets hold together: the kernel would deliver that after the exit too.
    const REQUESTS: i16 = 6;
    let body = cql::rows_body(&long_value(7 * MIB / 4));
    let answer = body.clone();
    let (node, _) = cql::stub_node(move |_, _| cql::Reply::Send(cql::RESULT, answer.clone()));
    let (listen, mut program) = cassandra_gateway(node);
    let mut client = cql::Client::connect(listen);
    let socket = socket2::SockRef::from(&client.0);
    socket.set_recv_buffer_size(64 * 1024).unwrap();
    for stream in 0..REQUESTS {
        client.send(stream, cql::query("SELECT 1"));
    }
    client.0.peek(&mut [0]).unwrap();
    program.terminate();
    let started_at = Instant::now();
    let mut slow = SlowReader {
        stream: client.0.try_clone().unwrap(),
        bytes: 128 * 1024,
    };
    for _ in 0..REQUESTS {
        let answer = cql::Frame::read(&mut slow).expect("the whole answer");
        assert_eq!(answer.op, cql::RESULT);
        assert!(answer.body == body);
    }
    assert!(
        started_at.elapsed() > EARLIEST_KILL,
        "the reader was too fast"
    );
    let answered_at = Instant::now();
    assert!(program.wait_for_exit().success());
    assert!(answered_at.elapsed() < EXIT_TIME, "nothing was owed");
}
