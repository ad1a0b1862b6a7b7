//! The primary hangs and a replica takes over, unseen by a gateway that has nothing to send then. Is a
//! read that must be current answered with what the former primary, now a replica, still has?

#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The former primary hangs for so long.
const HANG_MS: u64 = 8_200;
/// It is given up 1.7 s and replaced 5 s after it began to hang. The list names the new primary 4.8 s
/// after that, which this case does not last for.
const TAKEN_OVER_MS: u64 = 5_000;

fn main() {
    begin();
    // What the group has committed, and what the former primary has of it.
    let committed = Arc::new(AtomicUsize::new(1));
    let start = |name: &'static str, is_primary: bool| {
        let committed = Arc::clone(&committed);
        let own = AtomicUsize::new(1);
        Database::start(
            name,
            is_primary,
            Box::new(move |database: &Database, stream: &mut TcpStream, query: &str, _| {
                sleep_ms(30);
                if database.lag_ms.load(Ordering::SeqCst) < 1_000 {
                    own.store(committed.load(Ordering::SeqCst), Ordering::SeqCst);
                }
                let value = format!("version {}", own.load(Ordering::SeqCst));
                if query.contains("INSERT") {
                    return usual_answer(database, stream, query, value.as_bytes());
                }
                note(&format!("{}: answers {} as {} with {value}", database.name, field(query, "id"), database.mode()));
                stream.write_all(&[row(value.as_bytes(), "SELECT 1"), database.end()].concat()).is_ok()
            }),
        )
    };
    let (first, second) = (start("db-1", true), start("db-2", false));
    let others = ["db-3", "db-4", "db-5", "db-6"].map(|name| start(name, false));
    let mut entries = vec![Entry::of(&first, "s-01"), Entry::of(&second, "s-02")];
    for (n, database) in others.iter().enumerate() {
        entries.push(Entry::of(database, &format!("s-0{}", n + 3)));
    }
    let discovery = Discovery::start(41, &entries);
    let listen = free_address();
    let class = |name, need, effect, aim_ms, deadline_ms, bound_ms| Class { name, need, effect, aim_ms, deadline_ms, bound_ms };
    let deployment = Deployment {
        classes: vec![
            class("report-view", "lag_bound", "safe", 250.0, 600.0, 3000.0),
            class("report-fresh", "strong", "safe", 250.0, 750.0, 0.0),
            class("check-order", "mutate", "unsafe", 300.0, 3000.0, 0.0),
        ],
        checks: "off",
        ..campsite()
    };
    let config = deployment.config(listen, discovery.address, &list_json(41, true, &entries));
    let gateway = Gateway::start(listen, &write_config(&config));
    sleep_ms(500);

    let mut client = Client::connect(listen, "a");
    for n in 0..20 {
        client.ask(&read_query(&format!("before{n}"), "report-fresh", 750));
        sleep_ms(40);
    }
    let mut fresh = 1;
    if trouble() {
        note("db-1 hangs");
        first.hangs.store(true, Ordering::SeqCst);
        sleep_ms(TAKEN_OVER_MS);
        note("db-2 has taken over; db-1 is a replica from now on, and behind");
        first.is_primary.store(false, Ordering::SeqCst);
        first.lag_ms.store(5_000, Ordering::SeqCst);
        second.is_primary.store(true, Ordering::SeqCst);
        committed.store(2, Ordering::SeqCst);
        fresh = 2;
        note("another gateway's write is committed at db-2: version 2");
        sleep_ms(HANG_MS - TAKEN_OVER_MS);
        note("db-1 goes on");
        first.hangs.store(false, Ordering::SeqCst);
        sleep_ms(300);
    }
    let mut client = Client::connect(listen, "b");
    let reply = client.ask(&read_query("b1", "report-fresh", 750));
    gateway.record_log();
    match reply {
        Reply::Served(value) if value == format!("version {fresh}").into_bytes() => {
            finish(HELD, "the read saw all that was committed before it")
        }
        Reply::Served(value) => finish(
            BROKEN,
            &format!("the read was served {:?}, a replica's answer, though version {fresh} was committed 3 s before", String::from_utf8_lossy(&value)),
        ),
        Reply::Refused(_) | Reply::Failed(_) => finish(HELD, "the replica's answer was not passed on"),
        other => finish(CANNOT_RUN, &other.short()),
    }
}
