//! Pipelined requests on one connection: each is sent on as it arrives, whatever precedes it, and
//! the answers keep the order of the requests.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use support::*;

/// STANDING: by how much the deadline sent to the database may exceed the time the client has left.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);

fn read(id: u32, d: u32) -> String {
    format!(
        "/* id={id},c=read,t=acme,d={d},cluster=0 */ SELECT body FROM objects WHERE oid = 'x{id}'"
    )
}

/// An answer whose value is the oid in the query, which identifies the request.
fn echo(query: &str) -> Vec<u8> {
    row(query.split('\'').nth(1).unwrap())
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

#[test]
fn slow_request_is_first_later_ones_are_sent_at_once_with_remaining_time() {
    const REQUESTS: usize = 40;
    let go = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&go);
    let (db_address, db) = stub_database("read-only", move |_, q| {
        if q.contains("id=1,") {
            wait_until("the first answer is released", || {
                released.load(Ordering::SeqCst)
            });
        }
        Reply::Send(echo(q))
    });
    let members: Vec<_> = (1..=8)
        .map(|n| target(&format!("s-{n:08x}"), db_address, "read-only", "active"))
        .collect();
    let gateway = start_gateway(&members.join(","), 15_000);
    let mut client = Client::connect(gateway.address);
    let sent = Instant::now();
    for id in 1..=REQUESTS {
        client.send(&read(u32::try_from(id).unwrap(), 4_000));
    }
    wait_until(
        "all requests are sent although the first has no answer",
        || db.count() == REQUESTS,
    );
    go.store(true, Ordering::SeqCst);
    for id in 1..=REQUESTS {
        assert_eq!(
            client.answer(),
            Answer::Value(format!("x{id}")),
            "answers in the order of the requests"
        );
    }
    for (when, passed, _) in &*db.queries.lock().unwrap() {
        let left = Duration::from_millis(4_000).saturating_sub(*when - sent);
        assert!(
            stated_deadline(passed) <= left + DEADLINE_TOLERANCE,
            "{passed}: {left:?} left"
        );
    }
}
