//! Requests that have become moot while a connection to their database was being set up are not
//! sent; the stub databases delay their greetings.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rstest::rstest;
use socket2::SockRef;
use support::*;

/// STANDING: no attempt starts for a client later than this after it has closed its connection.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// STANDING: by how much the deadline sent to the database may exceed the time the client has left.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);
/// PROTOCOL, `drain_grace_ms` and its slack: no new request goes to a database later than this
/// after its drain was announced.
const DRAIN_GRACE: Duration = Duration::from_millis(550);

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

/// An answer whose value is the oid in the query, which identifies the request.
fn echo(query: &str) -> Vec<u8> {
    let tag = if query.contains("INSERT") {
        "INSERT 0 1"
    } else {
        "SELECT 1"
    };
    row_with_tag(query.split('\'').nth(1).unwrap(), tag)
}

/// The time left that a query states in its comment.
fn stated_deadline(query: &str) -> Duration {
    let d = query
        .split(",d=")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap();
    Duration::from_millis(d.parse().unwrap())
}

/// Waits until more than `time` has passed since `since`.
fn wait_past(since: Instant, time: Duration) {
    wait_until("the time has passed", || since.elapsed() > time);
}

/// Whether every connection has ended or a query has arrived that must not.
fn is_settled(db: &StubDatabase) -> bool {
    db.count() > 0 || db.closed.load(Ordering::SeqCst) == db.opened.load(Ordering::SeqCst)
}

#[rstest]
fn client_disconnects_during_late_dial_nothing_is_sent(
    #[values("read", "book", "once")] class: &str,
    #[values(false, true)] reset: bool,
) {
    let (db_address, db) = stub_database("read-write", |_, q| Reply::Send(echo(q)));
    db.delay_greetings.store(true, Ordering::SeqCst);
    let gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut client = Client::connect(gateway.address);
    client.send(&query(class));
    wait_until("the database is dialed", || {
        db.delayed_greetings.load(Ordering::SeqCst) > 0
    });
    if reset {
        SockRef::from(&client.0)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    drop(client);
    wait_past(Instant::now(), DISCONNECT_GRACE);
    db.delay_greetings.store(false, Ordering::SeqCst);
    wait_until("all connections have ended or a query has arrived", || {
        is_settled(&db)
    });
    assert_eq!(
        db.count(),
        0,
        "sent after the client had disconnected: {:?}",
        db.queries.lock().unwrap()
    );
    let mut other = Client::connect(gateway.address);
    assert_eq!(
        other.query(&query(class)),
        Answer::Value("x1".into()),
        "the id is still in use"
    );
}

#[rstest]
fn endpoint_drains_during_late_dial_nothing_is_sent_to_it(
    #[values("leaving", "left")] state: &str,
) {
    let (old, db) = stub_database("read-only", |_, q| Reply::Send(echo(q)));
    let (new, _) = stub_database("read-only", |_, q| Reply::Send(echo(q)));
    let (primary, _) = stub_database("read-write", |_, q| Reply::Send(echo(q)));
    db.delay_greetings.store(true, Ordering::SeqCst);
    let known = [
        target("s-00000000", primary, "read-write", "active"),
        target("s-00000001", old, "read-only", "active"),
    ];
    let gateway = start_gateway(&known.join(","), 15_000);
    let mut client = Client::connect(gateway.address);
    client.send(&read(1, 4_000));
    wait_until("the database is dialed", || {
        db.delayed_greetings.load(Ordering::SeqCst) > 0
    });
    gateway.discovery.changes.lock().unwrap().extend([
        target("s-00000001", old, "read-only", state),
        target("s-00000002", new, "read-only", "active"),
    ]);
    wait_until("the drain is announced", || {
        !gateway.discovery.update_times.lock().unwrap().is_empty()
    });
    wait_past(Instant::now(), DRAIN_GRACE);
    db.delay_greetings.store(false, Ordering::SeqCst);
    assert_eq!(
        client.answer(),
        Answer::Value("x1".into()),
        "not served by the other endpoint"
    );
    wait_until("all connections have ended or a query has arrived", || {
        is_settled(&db)
    });
    assert_eq!(
        db.count(),
        0,
        "sent after the drain grace: {:?}",
        db.queries.lock().unwrap()
    );
}

#[test]
fn dial_completes_after_retry_window_retry_is_not_sent() {
    const WINDOW: Duration = Duration::from_millis(600);
    // The first attempt runs and its answer is lost; from then on dials complete late.
    let (db_address, db) = stub_database("read-write", |n, q| {
        if n == 0 {
            Reply::CloseAndDelayNew
        } else {
            Reply::Send(echo(q))
        }
    });
    let gateway = start_gateway_with_config(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
        false,
        |text| text.replace("\"window-ms\":5000.0", "\"window-ms\":600.0"),
    );
    let mut client = Client::connect(gateway.address);
    client.send(&write("book", 1, 4_000));
    wait_until("the retry is dialed", || {
        db.delayed_greetings.load(Ordering::SeqCst) > 0
    });
    let ran = db.queries.lock().unwrap()[0].0;
    wait_past(ran, WINDOW);
    db.delay_greetings.store(false, Ordering::SeqCst);
    let answer = client.answer();
    assert!(
        matches!(&answer, Answer::Error(code, _) if code != "53300"),
        "refused although it may have run: {answer:?}"
    );
    assert_eq!(
        db.count(),
        1,
        "retried after the window: {:?}",
        db.queries.lock().unwrap()
    );
}

#[test]
fn dial_is_late_query_states_remaining_time() {
    let (db_address, db) = stub_database("read-write", |_, q| Reply::Send(echo(q)));
    db.delay_greetings.store(true, Ordering::SeqCst);
    let gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut client = Client::connect(gateway.address);
    let sent = Instant::now();
    client.send(&write("book", 1, 3_000));
    wait_until("the database is dialed", || {
        db.delayed_greetings.load(Ordering::SeqCst) > 0
    });
    wait_past(sent, Duration::from_millis(700));
    db.delay_greetings.store(false, Ordering::SeqCst);
    assert_eq!(client.answer(), Answer::Value("x1".into()));
    let (when, passed, _) = db.queries.lock().unwrap()[0].clone();
    let left = Duration::from_millis(3_000).saturating_sub(when - sent);
    assert!(
        stated_deadline(&passed) <= left + DEADLINE_TOLERANCE,
        "{passed}: {left:?} left"
    );
}

#[test]
fn dial_outlives_request_nothing_is_sent() {
    let (db_address, db) = stub_database("read-write", |_, q| Reply::Send(echo(q)));
    db.delay_greetings.store(true, Ordering::SeqCst);
    let gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut client = Client::connect(gateway.address);
    let sent = Instant::now();
    let answer = client.query(&write("once", 1, 400));
    assert!(
        matches!(&answer, Answer::Error(code, _) if code == "53300"),
        "not refused although it never ran: {answer:?}"
    );
    assert!(
        sent.elapsed() < Duration::from_millis(900),
        "{:?}",
        sent.elapsed()
    );
    db.delay_greetings.store(false, Ordering::SeqCst);
    wait_until("all connections have ended or a query has arrived", || {
        is_settled(&db)
    });
    assert_eq!(db.count(), 0, "{:?}", db.queries.lock().unwrap());
}
