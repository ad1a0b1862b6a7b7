//! What has lost its reason while a connection to its database came up does not begin: the program as a process, between
//! stand-ins that greet late.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rstest::rstest;
use socket2::SockRef;
use support::*;

/// STANDING: a client that closes its connection has gone; no attempt begins for it from so long after.
const GONE: Duration = Duration::from_millis(100);
/// STANDING: an attempt that tells its database so much more than its client has left is at fault.
const MORE: Duration = Duration::from_millis(150);
/// PROTOCOL, `drain_grace_ms` and its slack: nothing new goes to a database from so long after its drain was told.
const GRACE: Duration = Duration::from_millis(550);

fn read(id: u32, d: u32) -> String {
    format!(
        "/* id={id},c=read,t=acme,d={d},cluster=0 */ SELECT body FROM objects WHERE oid = 'x{id}'"
    )
}

fn write(class: &str, id: u32, d: u32) -> String {
    format!(
        "/* id={id},c={class},t=acme,d={d},k=5c0f{id},cluster=0 */ INSERT INTO objects (oid, body) VALUES ('x{id}', '1') RETURNING body"
    )
}

fn query(class: &str) -> String {
    if class == "read" {
        read(1, 4_000)
    } else {
        write(class, 1, 4_000)
    }
}

/// The oid of a query as the value, so that an answer shows whose it is.
fn echo(query: &str) -> Vec<u8> {
    let tag = if query.contains("INSERT") {
        "INSERT 0 1"
    } else {
        "SELECT 1"
    };
    row_with_tag(query.split('\'').nth(1).unwrap(), tag)
}

/// What a query was told that its client will wait.
fn told(query: &str) -> Duration {
    let d = query
        .split(",d=")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap();
    Duration::from_millis(d.parse().unwrap())
}

/// Waits for a moment, which is true time: what is forbidden is forbidden from then on.
fn pass(since: Instant, time: Duration) {
    wait_until("the time passes", || since.elapsed() > time);
}

/// Every connection has ended, or something has come that must not.
fn settled(seen: &StubDatabase) -> bool {
    seen.count() > 0 || seen.closed.load(Ordering::SeqCst) == seen.opened.load(Ordering::SeqCst)
}

#[rstest]
fn nothing_begins_for_a_client_that_left_while_its_dial_was_late(
    #[values("read", "book", "once")] class: &str,
    #[values(false, true)] reset: bool,
) {
    let (at, seen) = stub_database("read-write", |_, q| Reply::Send(echo(q)));
    seen.delay_greetings.store(true, Ordering::SeqCst);
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    let mut client = Client::connect(gateway.address);
    client.send(&query(class));
    wait_until("its database is dialled", || {
        seen.delayed_greetings.load(Ordering::SeqCst) > 0
    });
    if reset {
        SockRef::from(&client.0)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    drop(client);
    pass(Instant::now(), GONE);
    seen.delay_greetings.store(false, Ordering::SeqCst);
    wait_until("it is settled", || settled(&seen));
    assert_eq!(
        seen.count(),
        0,
        "it began though its client had gone: {:?}",
        seen.queries.lock().unwrap()
    );
    let mut other = Client::connect(gateway.address);
    assert_eq!(
        other.query(&query(class)),
        Answer::Value("x1".into()),
        "the id is free again"
    );
}

#[rstest]
fn nothing_begins_at_a_member_that_was_told_to_drain_while_its_dial_was_late(
    #[values("leaving", "left")] state: &str,
) {
    let (old, seen) = stub_database("read-only", |_, q| Reply::Send(echo(q)));
    let (new, _) = stub_database("read-only", |_, q| Reply::Send(echo(q)));
    let (primary, _) = stub_database("read-write", |_, q| Reply::Send(echo(q)));
    seen.delay_greetings.store(true, Ordering::SeqCst);
    let known = [
        target("s-00000000", primary, "read-write", "active"),
        target("s-00000001", old, "read-only", "active"),
    ];
    let gateway = start_gateway(&known.join(","), 15_000);
    let mut client = Client::connect(gateway.address);
    client.send(&read(1, 4_000));
    wait_until("its database is dialled", || {
        seen.delayed_greetings.load(Ordering::SeqCst) > 0
    });
    gateway.discovery.changes.lock().unwrap().extend([
        target("s-00000001", old, "read-only", state),
        target("s-00000002", new, "read-only", "active"),
    ]);
    wait_until("that is told", || {
        !gateway.discovery.update_times.lock().unwrap().is_empty()
    });
    pass(Instant::now(), GRACE);
    seen.delay_greetings.store(false, Ordering::SeqCst);
    assert_eq!(
        client.answer(),
        Answer::Value("x1".into()),
        "the other member serves it"
    );
    wait_until("it is settled", || settled(&seen));
    assert_eq!(
        seen.count(),
        0,
        "sent after the grace: {:?}",
        seen.queries.lock().unwrap()
    );
}

#[test]
fn a_repeat_does_not_begin_behind_its_window_however_late_its_dial_came_up() {
    const WINDOW: Duration = Duration::from_millis(600);
    // The first one runs, and its answer is lost; from then on dials come up late.
    let (at, seen) = stub_database("read-write", |n, q| {
        if n == 0 {
            Reply::CloseAndDelayNew
        } else {
            Reply::Send(echo(q))
        }
    });
    let gateway = start_gateway_with_config(
        &target("s-00000001", at, "read-write", "active"),
        15_000,
        false,
        |text| text.replace("\"window-ms\":5000.0", "\"window-ms\":600.0"),
    );
    let mut client = Client::connect(gateway.address);
    client.send(&write("book", 1, 4_000));
    wait_until("its repeat is dialled", || {
        seen.delayed_greetings.load(Ordering::SeqCst) > 0
    });
    let ran = seen.queries.lock().unwrap()[0].0;
    pass(ran, WINDOW);
    seen.delay_greetings.store(false, Ordering::SeqCst);
    let answer = client.answer();
    assert!(
        matches!(&answer, Answer::Error(code, _) if code != "53300"),
        "it may have run: {answer:?}"
    );
    assert_eq!(
        seen.count(),
        1,
        "repeated behind the window: {:?}",
        seen.queries.lock().unwrap()
    );
}

#[test]
fn what_is_dialled_late_tells_its_database_what_the_client_has_left() {
    let (at, seen) = stub_database("read-write", |_, q| Reply::Send(echo(q)));
    seen.delay_greetings.store(true, Ordering::SeqCst);
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    let mut client = Client::connect(gateway.address);
    let asked = Instant::now();
    client.send(&write("book", 1, 3_000));
    wait_until("its database is dialled", || {
        seen.delayed_greetings.load(Ordering::SeqCst) > 0
    });
    pass(asked, Duration::from_millis(700));
    seen.delay_greetings.store(false, Ordering::SeqCst);
    assert_eq!(client.answer(), Answer::Value("x1".into()));
    let (when, passed, _) = seen.queries.lock().unwrap()[0].clone();
    let left = Duration::from_millis(3_000).saturating_sub(when - asked);
    assert!(told(&passed) <= left + MORE, "{passed}: {left:?} are left");
}

#[test]
fn a_dial_that_outlives_its_request_is_not_written_to() {
    let (at, seen) = stub_database("read-write", |_, q| Reply::Send(echo(q)));
    seen.delay_greetings.store(true, Ordering::SeqCst);
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    let mut client = Client::connect(gateway.address);
    let asked = Instant::now();
    let answer = client.query(&write("once", 1, 400));
    assert!(
        matches!(&answer, Answer::Error(code, _) if code == "53300"),
        "it never ran: {answer:?}"
    );
    assert!(
        asked.elapsed() < Duration::from_millis(900),
        "{:?}",
        asked.elapsed()
    );
    seen.delay_greetings.store(false, Ordering::SeqCst);
    wait_until("it is settled", || settled(&seen));
    assert_eq!(seen.count(), 0, "{:?}", seen.queries.lock().unwrap());
}
