//! System calls of the gateway's machine fail for a moment in ways that Linux documents: neither clients nor endpoints
//! may pay for that.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::faults::start_faulty_gateway;
use support::*;
use valehatch_fault_control::Switch;

fn served(client: &mut Client, id: u32) -> bool {
    client.query(&read_query(id, 4_000)) == Answer::Value(format!("x{id}"))
}

/// A call of accept that fails costs no client more than some milliseconds.
#[rstest]
fn accept_fails_now_and_then_clients_are_served_at_once(#[values(200, 500)] in_a_thousand: i64) {
    let (at, _) = stub_database("read-write", |_, query| Reply::Send(echo_oid(query)));
    let gateway = start_faulty_gateway(
        &target("s-00000001", at, "read-write", "active"),
        |text| text,
        None,
    );
    gateway
        .control
        .set(Switch::AcceptFails, in_a_thousand)
        .unwrap();
    let began = Instant::now();
    for id in 1..=300 {
        assert!(served(&mut Client::connect(gateway.address), id));
    }
    let each = began.elapsed() / 300;
    println!("{each:?} for a connection and a request");
    assert!(
        each < Duration::from_millis(25),
        "{each:?} for a connection and a request"
    );
}

/// Errors of this machine say nothing of the endpoint: as soon as they are over it is used as before.
#[rstest]
fn connects_fail_for_a_second_endpoint_is_used_at_once_afterwards(
    #[values(Switch::ConnectFails, Switch::SocketFails)] switch: Switch,
) {
    // Each answer ends its connection, so that each request needs a new one.
    let (at, seen) = stub_database("read-write", |_, query| {
        Reply::SendThenClose(
            [
                echo_oid(query),
                mode_status("read-write"),
                ready_for_query(),
            ]
            .concat(),
        )
    });
    let gateway = start_faulty_gateway(
        &target("s-00000001", at, "read-write", "active"),
        |text| text,
        None,
    );
    let mut client = Client::connect(gateway.address);
    (1..=5).for_each(|id| assert!(served(&mut client, id), "all is well"));
    gateway.control.set(switch, 1_000).unwrap();
    let meanwhile: Vec<_> = (0..8)
        .map(|n| {
            let address = gateway.address;
            std::thread::spawn(move || Client::connect(address).query(&read_query(100 + n, 900)))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_000));
    let before = seen.opened.load(Ordering::SeqCst);
    gateway.control.set(switch, 0).unwrap();
    let back = Instant::now();
    assert!(served(&mut client, 1_000), "it is served again");
    let took = back.elapsed();
    println!("{took:?} until the first answer");
    assert!(
        took < Duration::from_millis(150),
        "{took:?} until the first answer"
    );
    assert!(seen.opened.load(Ordering::SeqCst) > before);
    // It has not started anew: no slow start.
    (2_000..2_150).for_each(|id| assert!(served(&mut client, id), "it is served"));
    let took = back.elapsed();
    println!("{took:?} until the first 150 answers");
    assert!(
        took < Duration::from_millis(1_200),
        "{took:?} until the first 150 answers"
    );
    meanwhile
        .into_iter()
        .for_each(|asked| drop(asked.join().unwrap()));
}
