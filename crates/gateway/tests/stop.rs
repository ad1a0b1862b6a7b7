//! Planned stops and restarts: accepted requests are answered before the exit, and no connection is
//! reset.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rstest::rstest;
use support::*;

fn value(id: u32) -> Answer {
    Answer::Value(format!("x{id}"))
}

#[test]
fn planned_stop_answers_in_flight_partial_pipelined_and_unaccepted_requests() {
    let go = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&go);
    let (db_address, db) = stub_database("read-write", move |_, q| {
        wait_until("the answers are released", || {
            released.load(Ordering::SeqCst)
        });
        Reply::Send(echo_oid(q))
    });
    let mut gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut in_flight = Client::connect(gateway.address);
    in_flight.send(&unsafe_write_query(1, 4_000));
    let mut pipelining = Client::connect(gateway.address);
    // More than the gateway processes at once.
    pipelining
        .0
        .write_all(&pipelined_reads(100..140, 4_000))
        .unwrap();
    let whole = pipelined_reads(2..3, 4_000);
    let mut partial = Client::connect(gateway.address);
    partial.0.write_all(&whole[..40]).unwrap();
    wait_until("the database has some requests", || db.count() > 1);
    // Connections opened while the gateway is paused wait to be accepted.
    gateway.program.pause();
    let session = |id| {
        [
            Client::startup_message(),
            pipelined_reads(id..id + 1, 4_000),
        ]
        .concat()
    };
    let mut waiting: Vec<(u32, Client)> = (200..260)
        .map(|id| (id, Client::connect_and_send(gateway.address, &session(id))))
        .collect();
    gateway.program.terminate();
    gateway.program.signal("CONT");
    gateway.program.wait_for_log("planned shutdown requested");
    partial.0.write_all(&whole[40..]).unwrap();
    go.store(true, Ordering::SeqCst);
    assert_eq!(in_flight.answer(), value(1));
    assert_eq!(partial.answer(), value(2));
    for id in 100..140 {
        assert_eq!(pipelining.answer(), value(id));
    }
    for (id, client) in &mut waiting {
        client.read_until_ready();
        assert_eq!(client.answer(), value(*id));
    }
    drop(waiting);
    for client in [&mut in_flight, &mut pipelining, &mut partial] {
        // The connection is closed between requests.
        while client.answer() != Answer::Ended {}
    }
    assert!(gateway.program.wait_for_exit().success());
}

#[test]
fn planned_stop_begins_new_connections_are_still_served() {
    let (db_address, _) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let mut gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    gateway.program.terminate();
    let (next, began) = (AtomicU32::new(1), Instant::now());
    // New connections keep coming for up to 0.4 s (PROTOCOL-valehatch.md, figures), some for
    // longer.
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while began.elapsed() < Duration::from_millis(750) {
                    let id = next.fetch_add(1, Ordering::SeqCst);
                    let session = [
                        Client::startup_message(),
                        pipelined_reads(id..id + 1, 4_000),
                    ]
                    .concat();
                    let mut client = Client::connect_and_send(gateway.address, &session);
                    client.read_until_ready();
                    assert_eq!(client.answer(), value(id));
                }
            });
        }
    });
    wait_until("the gateway no longer listens", || {
        TcpStream::connect(gateway.address).is_err()
    });
    assert!(gateway.program.wait_for_exit().success());
}

/// The gateway is paused from the signal until its time is over, and finds everything that arrived
/// meanwhile when it is about to exit.
#[test]
fn requests_arrive_just_before_exit_they_are_answered() {
    let (db_address, db) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let mut gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut clients: Vec<Client> = (0..12).map(|_| Client::connect(gateway.address)).collect();
    for (id, client) in (1..).zip(&mut clients) {
        assert_eq!(client.query(&read_query(id, 4_000)), value(id));
    }
    gateway.program.terminate();
    gateway.program.wait_for_log("planned shutdown requested");
    gateway.program.pause();
    std::thread::sleep(Duration::from_millis(3_650));
    let whole = pipelined_reads(100..101, 4_000);
    for (n, client) in clients.iter_mut().enumerate() {
        // A whole message, a partial one, and more than is read at once.
        let bytes = [
            whole.clone(),
            whole[..40].to_vec(),
            pipelined_reads(200..300, 4_000),
        ];
        client.0.write_all(&bytes[n % 3]).unwrap();
    }
    gateway.program.signal("CONT");
    for (n, client) in clients.iter_mut().enumerate() {
        let answer = client.answer();
        let refused =
            matches!(&answer, Answer::Error(code, _) if code == "53300" || code == "42710");
        assert!(
            refused || matches!(answer, Answer::Value(_)),
            "client {n}: {answer:?}"
        );
        let mut rest = vec![];
        let end = std::io::Read::read_to_end(&mut client.0, &mut rest);
        assert!(end.is_ok(), "client {n}: {end:?}");
    }
    assert!(gateway.program.wait_for_exit().success());
    println!("{} were sent on", db.count());
}

#[test]
fn clients_send_requests_until_exit_none_is_reset() {
    let (db_address, _) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let mut gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let next = AtomicU32::new(1);
    let mut clients: Vec<Client> = (0..12).map(|_| Client::connect(gateway.address)).collect();
    gateway.program.terminate();
    std::thread::scope(|scope| {
        for client in &mut clients {
            scope.spawn(|| {
                loop {
                    let id = next.fetch_add(1, Ordering::SeqCst);
                    client
                        .0
                        .write_all(&pipelined_reads(id..id + 1, 4_000))
                        .unwrap();
                    // A request that crosses the close may be retried elsewhere; a reset would be
                    // an error here.
                    if client
                        .0
                        .peek(&mut [0])
                        .unwrap_or_else(|e| panic!("request {id}: {e}"))
                        == 0
                    {
                        return;
                    }
                    loop {
                        match read_message(&mut client.0).expect("the answer is incomplete") {
                            (b'D', body) => assert_eq!(body[6..], *format!("x{id}").as_bytes()),
                            (b'E', body) => {
                                let text = String::from_utf8(body).unwrap();
                                // Requests that a database still has at the exit are answered too.
                                let is_final = ["\0C53300\0", "\0C57014\0"]
                                    .iter()
                                    .any(|c| text.contains(c));
                                assert!(is_final, "request {id}: {text}");
                                if text.starts_with("SFATAL") {
                                    return;
                                }
                            }
                            (b'Z', _) => break,
                            _ => {}
                        }
                    }
                }
            });
        }
    });
    assert!(gateway.program.wait_for_exit().success());
}

/// What a client receives after a request.
enum Outcome {
    Answer,
    /// An answer that ends the connection.
    LastAnswer,
    /// The end of the connection in place of an answer.
    Closed,
}

fn outcome(client: &mut Client, id: u32) -> Outcome {
    loop {
        match read_message(&mut client.0) {
            Some((b'D', body)) => assert_eq!(body[6..], *format!("x{id}").as_bytes()),
            Some((b'E', body)) => {
                let text = String::from_utf8(body).unwrap();
                // Requests that a database still has at the exit are answered too.
                let is_final = ["\0C53300\0", "\0C57014\0"]
                    .iter()
                    .any(|code| text.contains(code));
                assert!(is_final, "request {id}: {text}");
                if text.starts_with("SFATAL") {
                    return Outcome::LastAnswer;
                }
            }
            Some((b'Z', _)) => return Outcome::Answer,
            None => return Outcome::Closed,
            Some(_) => {}
        }
    }
}

/// Guards against closing a connection without a message shortly after an answer: a request that is
/// already on its way would then be read and dropped.
#[test]
fn clients_ignore_the_close_their_requests_are_answered_until_exit() {
    // The process checks whether it may exit 0.1 s before the kill, which comes 3.7 s after the
    // signal.
    const ANSWERED_UNTIL: Duration = Duration::from_millis(3_590);
    const LONGEST_PAUSE_MS: u64 = 300;
    let (db_address, _) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let mut gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let next = AtomicU32::new(1);
    let clients: Vec<Client> = (0..40).map(|_| Client::connect(gateway.address)).collect();
    let began = Instant::now();
    gateway.program.terminate();
    let unanswered: Vec<Duration> = std::thread::scope(|scope| {
        let senders = clients.into_iter().map(|mut client| {
            let next = &next;
            scope.spawn(move || {
                loop {
                    let id = next.fetch_add(1, Ordering::SeqCst);
                    let pause = u64::from(id) * 7_919 % LONGEST_PAUSE_MS;
                    std::thread::sleep(Duration::from_millis(pause));
                    let sent = client.0.write_all(&pipelined_reads(id..id + 1, 4_000));
                    let sent_at = began.elapsed();
                    match sent.map_or(Outcome::Closed, |()| outcome(&mut client, id)) {
                        Outcome::Answer => {}
                        Outcome::LastAnswer => return None,
                        Outcome::Closed => return Some(sent_at),
                    }
                }
            })
        });
        let senders: Vec<_> = senders.collect();
        let unanswered = senders.into_iter().filter_map(|s| s.join().unwrap());
        unanswered.collect()
    });
    assert!(gateway.program.wait_for_exit().success());
    println!("send times of unanswered requests: {unanswered:?}");
    let too_early = unanswered
        .iter()
        .filter(|sent_at| **sent_at < ANSWERED_UNTIL);
    assert_eq!(too_early.count(), 0, "{unanswered:?}");
}

#[test]
fn partial_message_at_exit_is_refused_without_reset() {
    let (db_address, db) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let mut gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut busy = Client::connect(gateway.address);
    gateway.program.terminate();
    let began = Instant::now();
    // As late as possible, so that the time limit of the partial message ends only after the exit.
    let mut id = 0;
    while began.elapsed() < Duration::from_millis(2_500) {
        id += 1;
        assert_eq!(busy.query(&read_query(id, 4_000)), value(id));
    }
    let whole = pipelined_reads(4_000_000..4_000_001, 4_000);
    busy.0.write_all(&whole[..40]).unwrap();
    assert!(
        is_retryable_refusal(&busy.answer()),
        "the partial message is not refused"
    );
    busy.expect_clean_close();
    assert!(gateway.program.wait_for_exit().success());
    let queries = db.queries.lock().unwrap();
    assert!(
        queries.iter().all(|(_, q, _)| query_id(q) != 4_000_000),
        "the partial message was sent"
    );
}

#[rstest]
#[case::missing("")]
#[case::stale("s-00000009")]
fn start_with_missing_or_stale_list_is_ready_at_once(#[case] known: &str) {
    // Discovery does not answer, so only the list in the configuration is known.
    let list = if known.is_empty() {
        String::new()
    } else {
        target(known, free_address(), "read-write", "active")
    };
    let (db_address, _) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let gateway = start_gateway_with(&list, 15_000, true);
    let mut client = Client::connect(gateway.address);
    let began = Instant::now();
    assert_eq!(client.query(""), Answer::Empty, "the ready check");
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
    gateway.discovery.changes.lock().unwrap().push(target(
        "s-00000001",
        db_address,
        "read-write",
        "active",
    ));
    gateway.discovery.silent.store(false, Ordering::SeqCst);
    let mut id = 0;
    wait_until("the list from discovery is used", || {
        id += 1;
        Client::connect(gateway.address).query(&read_query(id, 500)) == value(id)
    });
}

#[test]
fn process_is_killed_while_accepting_next_one_serves_at_once() {
    let (db_address, db) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let mut gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    for round in 1..6 {
        // When the process is killed, it has accepted some connections and others wait for it.
        let session = |id| {
            [
                Client::startup_message(),
                pipelined_reads(id..id + 1, 4_000),
            ]
            .concat()
        };
        let crowd: Vec<TcpStream> = (0..40)
            .filter_map(|n| {
                let mut stream = TcpStream::connect(gateway.address).ok()?;
                stream.write_all(&session(round * 100 + n)).ok()?;
                Some(stream)
            })
            .collect();
        gateway.program.signal("KILL");
        assert!(!gateway.program.wait_for_exit().success());
        gateway.program = GatewayProcess::start(&[], Some(&gateway.config), gateway.address);
        drop(crowd);
        assert_eq!(Client::connect(gateway.address).query(""), Answer::Empty);
        let id = round * 1_000;
        assert_eq!(
            Client::connect(gateway.address).query(&read_query(id, 4_000)),
            value(id)
        );
    }
    let queries = db.queries.lock().unwrap();
    let mut ids: Vec<u32> = queries.iter().map(|(_, q, _)| query_id(q)).collect();
    let all = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(
        ids.len(),
        all,
        "a request was sent again by a later process"
    );
}
