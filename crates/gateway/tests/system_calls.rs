//! System calls of the gateway fail briefly with errors that Linux documents; neither clients nor
//! the state of endpoints may be affected.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::faults::start_faulty_gateway;
use support::*;
use valehatch_fault_control::Switch;

fn is_served(client: &mut Client, id: u32) -> bool {
    client.query(&read_query(id, 4_000)) == Answer::Value(format!("x{id}"))
}

/// A failed accept call must not delay a client by more than some milliseconds.
#[rstest]
fn accept_fails_intermittently_clients_are_served_at_once(#[values(200, 500)] permille: i64) {
    let (at, _) = stub_database("read-write", |_, query| Reply::Send(echo_oid(query)));
    let gateway = start_faulty_gateway(
        &target("s-00000001", at, "read-write", "active"),
        |text| text,
        None,
    );
    gateway.control.set(Switch::AcceptFails, permille).unwrap();
    let began = Instant::now();
    for id in 1..=300 {
        assert!(is_served(&mut Client::connect(gateway.address), id));
    }
    let average = began.elapsed() / 300;
    println!("{average:?} per connection and request");
    assert!(
        average < Duration::from_millis(25),
        "{average:?} per connection and request"
    );
}

/// Local errors say nothing about the endpoint: once they end, it is used as before.
#[rstest]
fn connects_fail_for_a_second_endpoint_is_used_at_once_afterwards(
    #[values(Switch::ConnectFails, Switch::SocketFails)] switch: Switch,
) {
    // Each answer ends its connection, so that each request needs a new one.
    let (at, database) = stub_database("read-write", |_, query| {
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
    (1..=5).for_each(|id| assert!(is_served(&mut client, id), "served before the fault"));
    gateway.control.set(switch, 1_000).unwrap();
    let requests_during_fault: Vec<_> = (0..8)
        .map(|n| {
            let address = gateway.address;
            std::thread::spawn(move || Client::connect(address).query(&read_query(100 + n, 900)))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_000));
    let before = database.opened.load(Ordering::SeqCst);
    gateway.control.set(switch, 0).unwrap();
    let fault_ended = Instant::now();
    assert!(is_served(&mut client, 1_000), "served after the fault");
    let took = fault_ended.elapsed();
    println!("{took:?} until the first answer");
    assert!(
        took < Duration::from_millis(150),
        "{took:?} until the first answer"
    );
    assert!(database.opened.load(Ordering::SeqCst) > before);
    // The endpoint does not count as restarted, so there is no slow start.
    (2_000..2_150).for_each(|id| assert!(is_served(&mut client, id), "served without slow start"));
    let took = fault_ended.elapsed();
    println!("{took:?} until the first 150 answers");
    assert!(
        took < Duration::from_millis(1_200),
        "{took:?} until the first 150 answers"
    );
    requests_during_fault
        .into_iter()
        .for_each(|request| drop(request.join().unwrap()));
}
