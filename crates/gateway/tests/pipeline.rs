//! Many requests on one connection at once: each begins as it comes, whatever is before it, and is answered in its turn.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use support::*;

/// STANDING: an attempt that tells its database so much more than its client has left is at fault.
const MORE: Duration = Duration::from_millis(150);

fn read(id: u32, d: u32) -> String {
    format!(
        "/* id={id},c=read,t=acme,d={d},cluster=0 */ SELECT body FROM objects WHERE oid = 'x{id}'"
    )
}

/// The oid of a query as the value, so that an answer shows whose it is.
fn echo(query: &str) -> Vec<u8> {
    row(query.split('\'').nth(1).unwrap())
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

#[test]
fn what_is_asked_behind_a_slow_request_begins_at_once_and_is_told_what_is_left() {
    const ASKED: usize = 40;
    let go = Arc::new(AtomicBool::new(false));
    let may = Arc::clone(&go);
    let (at, seen) = stub_database("read-only", move |_, q| {
        if q.contains("id=1,") {
            wait_until("the first may be answered", || may.load(Ordering::SeqCst));
        }
        Reply::Send(echo(q))
    });
    let members: Vec<_> = (1..=8)
        .map(|n| target(&format!("s-{n:08x}"), at, "read-only", "active"))
        .collect();
    let gateway = start_gateway(&members.join(","), 15_000);
    let mut client = Client::connect(gateway.address);
    let asked = Instant::now();
    for id in 1..=ASKED {
        client.send(&read(u32::try_from(id).unwrap(), 4_000));
    }
    wait_until("all have begun though the first has no answer", || {
        seen.count() == ASKED
    });
    go.store(true, Ordering::SeqCst);
    for id in 1..=ASKED {
        assert_eq!(
            client.answer(),
            Answer::Value(format!("x{id}")),
            "in their order"
        );
    }
    for (when, passed, _) in &*seen.queries.lock().unwrap() {
        let left = Duration::from_millis(4_000).saturating_sub(*when - asked);
        assert!(told(passed) <= left + MORE, "{passed}: {left:?} are left");
    }
}
