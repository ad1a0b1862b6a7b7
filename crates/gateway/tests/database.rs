//! Databases whose answers never end: the attempt fails at once, and memory and connection are
//! released.

mod support;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rstest::rstest;
use support::*;

fn read(id: u32, d: u32) -> String {
    format!(
        "/* id={id},c=read,t=acme,d={d},cluster=0 */ SELECT body FROM objects WHERE oid = 'x{id}'"
    )
}

fn echo(query: &str) -> Vec<u8> {
    row(query.split('\'').nth(1).unwrap())
}

fn notice() -> Vec<u8> {
    message(
        b'N',
        &[&b"SNOTICE\0C00000\0M"[..], &[b'n'; 900], b"\0\0"].concat(),
    )
}

#[rstest]
#[case::notices_before_the_answer(vec![], notice())]
#[case::short_notices_before_the_answer(vec![], message(b'N', b"\0"))]
#[case::notices_after_the_row(row("broken"), notice())]
#[case::parameters(vec![], mode_status("read-write"))]
fn answer_never_ends_attempt_fails_at_once(#[case] first: Vec<u8>, #[case] endless: Vec<u8>) {
    let (db_address, db) = stub_database("read-write", move |n, q| {
        if n == 0 {
            Reply::SendEndlessly([first.clone(), endless.repeat(100)].concat())
        } else {
            Reply::Send(echo(q))
        }
    });
    let gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut client = Client::connect(gateway.address);
    let sent = Instant::now();
    assert_eq!(
        client.query(&read(1, 4_000)),
        Answer::Value("x1".into()),
        "the read is retried"
    );
    assert!(
        sent.elapsed() < Duration::from_secs(2),
        "{:?}",
        sent.elapsed()
    );
    wait_until("the gateway closes the connection", || {
        db.closed.load(Ordering::SeqCst) > 0
    });
}

#[test]
fn greeting_never_ends_another_endpoint_serves() {
    let closed = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&closed);
    let endless = spawn_server(move |mut stream| {
        let greeting = mode_status("read-only").repeat(100);
        while stream.write_all(&greeting).is_ok() {}
        count.fetch_add(1, Ordering::SeqCst);
    });
    let (good, _) = stub_database("read-write", |_, q| Reply::Send(echo(q)));
    let list = [
        target("s-00000001", good, "read-write", "active"),
        target("s-00000002", endless, "read-only", "active"),
    ];
    let gateway = start_gateway(&list.join(","), 15_000);
    let mut client = Client::connect(gateway.address);
    let sent = Instant::now();
    assert_eq!(
        client.query(&read(1, 4_000)),
        Answer::Value("x1".into()),
        "the other endpoint serves the read"
    );
    assert!(
        sent.elapsed() < Duration::from_secs(1),
        "{:?}",
        sent.elapsed()
    );
    wait_until("the gateway closes the connection", || {
        closed.load(Ordering::SeqCst) > 0
    });
}
