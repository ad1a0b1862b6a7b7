//! Clients that leave while the gateway has requests of theirs: what has not begun is not sent on, and what they held is given
//! back.

mod support;

use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use procfs::net::TcpState;
use rstest::rstest;
use support::*;

/// Requests that the gateway takes from one connection before it has answered the first.
const PIPELINE: u32 = 256;
/// Queries from here on come from clients that stay.
const STAYS: u32 = 1_000;

/// A database that holds what is asked by those who leave, until the gateway gives it up.
fn holding() -> (SocketAddr, Arc<StubDatabase>) {
    stub_database("read-write", |_, q| {
        if query_id(q) < STAYS {
            Reply::SendThenStall(vec![])
        } else {
            Reply::Send(echo_oid(q))
        }
    })
}

fn ids(seen: &StubDatabase) -> Vec<u32> {
    seen.queries
        .lock()
        .unwrap()
        .iter()
        .map(|(_, q, _)| query_id(q))
        .collect()
}

/// Asks for something by a client that stays, and is served; a refusal may come first where the only member was just hung.
fn serves(gateway: &TestGateway, id: u32) {
    wait_until("who stays is served", || {
        let answer = Client::connect(gateway.address).query(&read_query(id, 4000));
        assert!(
            answer == Answer::Value(format!("x{id}")) || is_retryable_refusal(&answer),
            "{answer:?}"
        );
        matches!(answer, Answer::Value(_))
    });
}

/// Writes that must not be repeated: what has begun of them is answered only at its time limit.
fn pipelined_writes(ids: std::ops::Range<u32>, d: u32) -> Vec<u8> {
    ids.flat_map(|id| message(b'Q', format!("{}\0", unsafe_write_query(id, d)).as_bytes()))
        .collect()
}

#[rstest]
fn nothing_waiting_behind_the_pipelines_bound_is_sent_on_for_a_client_that_has_left(
    #[values(Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset)] how: Disconnect,
    #[values(PIPELINE + 4, 2 * PIPELINE)] commands: u32,
) {
    let (at, seen) = holding();
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    serves(&gateway, STAYS);
    let held = || {
        let open = seen.opened.load(Ordering::SeqCst) - seen.closed.load(Ordering::SeqCst);
        gateway.program.descriptors().saturating_sub(open)
    };
    let mut before = 0;
    wait_until("only the database's connections are left", || {
        std::mem::replace(&mut before, held()) == held()
    });
    let mut client = Client::connect_and_send(gateway.address, &Client::startup_message());
    if how != Disconnect::Reset {
        client.read_until_ready();
    }
    client
        .0
        .write_all(&pipelined_writes(1..commands + 1, 2_500))
        .unwrap();
    wait_until("the database has the first", || seen.count() > 1);
    let left = Instant::now();
    let _half = client.disconnect(how);
    wait_until("its end is noticed, and its place given back", || {
        held() <= before
    });
    assert!(
        left.elapsed() < Duration::from_millis(1_500),
        "only by a time limit: {:?}",
        left.elapsed()
    );
    // What has begun may run, since it must not be repeated.
    wait_until("nothing of it is left", || {
        seen.closed.load(Ordering::SeqCst) + 1 >= seen.count()
    });
    let began = seen.count();
    serves(&gateway, STAYS + 1);
    let sent = ids(&seen);
    assert_eq!(
        sent.len(),
        began + 1,
        "nothing is sent on any more: {sent:?}"
    );
    let begun = sent.iter().filter(|id| **id < STAYS);
    assert!(
        begun.into_iter().all(|id| *id <= PIPELINE),
        "none of those behind the bound: {sent:?}"
    );
}

/// Whether the end of a client's connection has reached the gateway's side of it. On a busy machine
/// the kernel delivers it some time after the client's call has returned. A reset leaves no socket.
fn end_has_arrived(how: Disconnect, gateway: SocketAddr, client: SocketAddr) -> bool {
    let sockets = procfs::net::tcp().unwrap();
    let side = sockets
        .iter()
        .find(|entry| entry.local_address == gateway && entry.remote_address == client);
    match side {
        Some(entry) => entry.state == TcpState::CloseWait,
        None => how == Disconnect::Reset,
    }
}

#[rstest]
fn messages_that_arrive_together_with_their_clients_end_do_not_begin(
    #[values(Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset)] how: Disconnect,
    #[values(1, 10)] commands: u32,
) {
    // The gateway stands still until both are there.
    let (at, seen) = holding();
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    let mut client = Client::connect_and_send(gateway.address, &Client::startup_message());
    if how == Disconnect::Reset {
        client.0.peek(&mut [0]).unwrap();
    } else {
        client.read_until_ready();
    }
    serves(&gateway, STAYS);
    gateway.program.pause();
    let from = client.0.local_addr().unwrap();
    client
        .0
        .write_all(&pipelined_reads(1..commands + 1, 5_000))
        .unwrap();
    let _half = if how == Disconnect::Reset {
        drop(client);
        None
    } else {
        client.disconnect(how)
    };
    wait_until("the end is there as well", || {
        end_has_arrived(how, gateway.address, from)
    });
    gateway.program.signal("CONT");
    (1..10).for_each(|n| serves(&gateway, STAYS + n));
    let sent = ids(&seen);
    assert!(
        sent.iter().all(|id| *id >= STAYS),
        "nobody waits for what was sent on: {sent:?}"
    );
}

#[rstest]
fn a_request_that_waits_for_a_member_is_not_sent_on_once_its_client_has_left(
    #[values(Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset)] how: Disconnect,
) {
    // The only member ends each connection before it says a word: that proves that nothing ran.
    let tried = Arc::new(AtomicUsize::new(0));
    let counts = Arc::clone(&tried);
    let nobody = spawn_server(move |stream| {
        counts.fetch_add(1, Ordering::SeqCst);
        drop(stream);
    });
    let (at, seen) = holding();
    let gateway = start_gateway(
        &target("s-00000001", nobody, "read-write", "active"),
        15_000,
    );
    wait_until("the watch runs", || {
        gateway.discovery.watches.load(Ordering::SeqCst) > 0
    });
    let mut client = Client::connect_and_send(gateway.address, &Client::startup_message());
    if how != Disconnect::Reset {
        client.read_until_ready();
    }
    client.send(&unsafe_write_query(1, 5_000));
    wait_until("it was taken, and found no member", || {
        tried.load(Ordering::SeqCst) > 0
    });
    let _half = client.disconnect(how);
    // Behind its end: whoever comes now is dealt with after it.
    let mut next = Client::connect(gateway.address);
    (0..3).for_each(|_| assert_eq!(next.query(""), Answer::Empty));
    gateway.discovery.changes.lock().unwrap().push(
        [
            target("s-00000001", nobody, "read-write", "left"),
            target("s-00000002", at, "read-write", "active"),
        ]
        .join(","),
    );
    let mut id = STAYS;
    wait_until("the new member is used", || {
        id += 1;
        Client::connect(gateway.address).query(&unsafe_write_query(id, 1_000)) == Answer::Value(format!("x{id}"))
    });
    let sent = ids(&seen);
    assert!(sent.iter().all(|id| *id > STAYS), "{sent:?}");
}

#[rstest]
fn what_a_client_held_is_given_back_once_when_it_leaves(
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    // An eighth of 16 MB is for open requests: those who leave hold all of it.
    let (at, seen) = holding();
    let edit = |text: String| text.replace("\"sockets\":1024", "\"sockets\":256,\"memory_mb\":16");
    let gateway = start_gateway_with_config(
        &target("s-00000001", at, "read-write", "active"),
        15_000,
        false,
        edit,
    );
    let large =
        |id| read_query(id, 5_000).replace("WHERE", &format!("/*{}*/ WHERE", "v".repeat(100_000)));
    serves(&gateway, STAYS);
    let before = gateway.program.descriptors();
    for round in 1..4 {
        let mut leaving = vec![];
        for id in 0..30 {
            let mut client = Client::connect_and_send(gateway.address, &Client::startup_message());
            if how != Disconnect::Reset {
                client.read_until_ready();
            }
            client.send(&large(round * 100 + id));
            leaving.push(client);
        }
        wait_until("the database has one", || {
            ids(&seen).iter().any(|id| id / 100 == round)
        });
        leaving.into_iter().for_each(|client| {
            // One that was refused has been told so, and may have been ended.
            if how == Disconnect::Reset {
                client.0.peek(&mut [0]).unwrap();
            }
            drop(client);
        });
        wait_until("their descriptors come back", || {
            gateway.program.descriptors() <= before + 2
        });
        let mut client = Client::connect(gateway.address);
        let id = STAYS + round;
        assert_eq!(
            client.query(&large(id)),
            Answer::Value(format!("x{id}")),
            "so does what their bytes took"
        );
    }
    let sent: Vec<u32> = ids(&seen);
    let distinct: BTreeSet<&u32> = sent.iter().collect();
    assert_eq!(
        distinct.len(),
        sent.len(),
        "nothing is sent on twice: {sent:?}"
    );
}

#[test]
fn half_a_message_of_a_client_that_leaves_is_nothing() {
    let (at, seen) = holding();
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    let whole = pipelined_reads(1..2, 5_000);
    // At each kind of place: in the head, behind it, in the text, before the last byte.
    for cut in [1, 4, 5, 40, whole.len() - 1] {
        for how in [Disconnect::Close, Disconnect::HalfClose] {
            let mut client = Client::connect(gateway.address);
            client.0.write_all(&whole[..cut]).unwrap();
            let mut half = client.disconnect(how);
            half.iter_mut().for_each(Client::expect_clean_close);
        }
    }
    serves(&gateway, STAYS);
    assert_eq!(ids(&seen), [STAYS]);
}

#[test]
fn many_that_send_much_at_once_and_go_leave_room_for_who_stays() {
    let (at, seen) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let edit = |text: String| text.replace("\"sockets\":1024", "\"sockets\":192,\"memory_mb\":24");
    let gateway = start_gateway_with_config(
        &target("s-00000001", at, "read-write", "active"),
        15_000,
        false,
        edit,
    );
    serves(&gateway, STAYS);
    let before = gateway.program.descriptors();
    let (over, next) = (AtomicBool::new(false), AtomicUsize::new(1));
    let mut served = 0;
    std::thread::scope(|scope| {
        let _stops = StopOnDrop(&over);
        for _ in 0..8 {
            scope.spawn(|| {
                while !over.load(Ordering::SeqCst) {
                    let id = 1 + u32::try_from(next.fetch_add(1, Ordering::SeqCst)).unwrap() % 800;
                    let all = [Client::startup_message(), pipelined_reads(id..id + 60, 1_000)].concat();
                    // It may have been turned away meanwhile.
                    let _ = Client::connect_raw(gateway.address).0.write_all(&all);
                }
            });
        }
        for id in STAYS + 1..STAYS + 101 {
            let answer = Client::connect(gateway.address).query(&read_query(id, 4_000));
            let value = Answer::Value(format!("x{id}"));
            assert!(answer == value || is_retryable_refusal(&answer), "{answer:?}");
            served += usize::from(answer == value);
        }
    });
    assert!(served >= 95, "{served} of 100 were served");
    wait_until("all is given back", || {
        gateway.program.descriptors() <= before + 2
    });
    let began = seen.count();
    serves(&gateway, STAYS + 200);
    // Who stays may have been refused and have asked once more.
    let since = ids(&seen).split_off(began);
    assert!(
        since.iter().all(|id| *id == STAYS + 200),
        "nothing of theirs waits any more: {since:?}"
    );
}
