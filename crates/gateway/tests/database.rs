//! Databases whose answers come to no end: the attempt is over at once, memory and the connection are given back.

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
#[case::before_the_answer(vec![], notice())]
#[case::before_the_answer_in_small_ones(vec![], message(b'N', b"\0"))]
#[case::behind_the_row(row("spoilt"), notice())]
#[case::parameters(vec![], mode_status("read-write"))]
fn an_answer_that_never_ends_fails_its_attempt_at_once(
    #[case] first: Vec<u8>,
    #[case] endless: Vec<u8>,
) {
    let (at, seen) = stub_database("read-write", move |n, q| {
        if n == 0 {
            Reply::SendEndlessly([first.clone(), endless.repeat(100)].concat())
        } else {
            Reply::Send(echo(q))
        }
    });
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    let mut client = Client::connect(gateway.address);
    let asked = Instant::now();
    assert_eq!(
        client.query(&read(1, 4_000)),
        Answer::Value("x1".into()),
        "a read may be sent again"
    );
    assert!(
        asked.elapsed() < Duration::from_secs(2),
        "{:?}",
        asked.elapsed()
    );
    wait_until("the connection is given up", || {
        seen.closed.load(Ordering::SeqCst) > 0
    });
}

#[test]
fn a_greeting_that_never_ends_is_no_connection() {
    let greeted = Arc::new(AtomicUsize::new(0));
    let ended = Arc::clone(&greeted);
    let endless = spawn_server(move |mut stream| {
        let greeting = mode_status("read-only").repeat(100);
        while stream.write_all(&greeting).is_ok() {}
        ended.fetch_add(1, Ordering::SeqCst);
    });
    let (good, _) = stub_database("read-write", |_, q| Reply::Send(echo(q)));
    let list = [
        target("s-00000001", good, "read-write", "active"),
        target("s-00000002", endless, "read-only", "active"),
    ];
    let gateway = start_gateway(&list.join(","), 15_000);
    let mut client = Client::connect(gateway.address);
    let asked = Instant::now();
    assert_eq!(
        client.query(&read(1, 4_000)),
        Answer::Value("x1".into()),
        "the other member has it"
    );
    assert!(
        asked.elapsed() < Duration::from_secs(1),
        "{:?}",
        asked.elapsed()
    );
    wait_until("the connection is given up", || {
        greeted.load(Ordering::SeqCst) > 0
    });
}
