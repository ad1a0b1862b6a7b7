//! Behaviour that lets many gateways share discovery and one machine: tests of the gateway process
//! between stubs.

mod support;

use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use support::*;

#[test]
fn overloaded_discovery_gateway_keeps_serving_and_gets_the_update() {
    let calls = Arc::new(Mutex::new(vec![]));
    let (one, first) = stub_database("read-write", |_, _| Reply::Send(row("one")));
    let (two, _) = stub_database("read-write", |_, _| Reply::Send(row("two")));
    let update = [
        target("s-00000001", one, "read-write", "leaving"),
        target("s-00000002", two, "read-write", "active"),
    ];
    let (update, recorded_calls) = (update.join(","), Arc::clone(&calls));
    // Three calls are rejected, the fourth is answered after 1.2 s, and later ones get no answer.
    let overloaded = spawn_server(move |mut stream| {
        loop {
            let mut head = vec![];
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                if stream.read_exact(&mut byte).is_err() {
                    recorded_calls.lock().unwrap().push("closed".to_owned());
                    return;
                }
                head.push(byte[0]);
            }
            let path = String::from_utf8(head)
                .unwrap()
                .split(' ')
                .nth(1)
                .unwrap()
                .to_owned();
            let call_number = {
                let mut calls = recorded_calls.lock().unwrap();
                calls.push(path);
                calls.iter().filter(|path| *path != "closed").count()
            };
            let answer = match call_number {
                1..=3 => "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(),
                4 => {
                    std::thread::sleep(Duration::from_millis(1_200));
                    let body = format!(r#"{{"rev":7,"all":false,"targets":[{update}]}}"#);
                    format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    )
                }
                _ => {
                    let _ = stream.read(&mut [0]);
                    return;
                }
            };
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    let gateway = start_gateway_with_config(
        &target("s-00000001", one, "read-write", "active"),
        15_000,
        false,
        |text| {
            let discovery = text
                .split("\"discovery\":\"")
                .nth(1)
                .unwrap()
                .split('"')
                .next()
                .unwrap()
                .to_owned();
            text.replace(&discovery, &overloaded.to_string()).replace(
                "\"membership-mode\":\"push\"",
                "\"membership-mode\":\"ask\"",
            )
        },
    );
    let mut client = Client::connect(gateway.address);
    let mut request =
        || client.query("/* id=1,c=read,t=acme,d=4000,cluster=0 */ SELECT body FROM objects");
    assert_eq!(
        request(),
        Answer::Value("one".into()),
        "the initial list is used meanwhile"
    );
    wait_until("the update is applied", || {
        request() == Answer::Value("two".into())
    });
    assert!(first.count() > 0);
    wait_until("the watch continues", || calls.lock().unwrap().len() >= 5);
    let calls: Vec<String> = calls
        .lock()
        .unwrap()
        .iter()
        .filter(|c| *c != "closed")
        .cloned()
        .collect();
    assert!(
        calls[..4]
            .iter()
            .all(|c| c.starts_with("/v1/servers?from=0&hold_ms=")),
        "{calls:?}"
    );
    assert!(
        calls[4].starts_with("/v1/servers?from=7&hold_ms="),
        "{calls:?}"
    );
}

fn thread_count(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/task")).map_or(0, Iterator::count)
}

#[test]
fn idle_upstream_connections_have_no_threads() {
    let (at, database) = stub_database("read-only", |_, _| Reply::Send(row("one")));
    let members = (1..=40).map(|n| target(&format!("s-{n:08x}"), at, "read-only", "active"));
    let gateway = start_gateway(&members.collect::<Vec<_>>().join(","), 60_000);
    let mut client = Client::connect(gateway.address);
    let open = || database.opened.load(Ordering::SeqCst) - database.closed.load(Ordering::SeqCst);
    wait_until("most endpoints are connected", || {
        client.query("/* id=1,c=read,t=acme,d=4000,cluster=0 */ SELECT body FROM objects");
        open() >= 25
    });
    wait_until("the threads of idle connections have ended", || {
        thread_count(gateway.program.0.id()) <= 15
    });
    assert!(open() >= 25, "the connections stay open");
}
