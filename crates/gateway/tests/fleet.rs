//! What a gateway does so that a whole fleet of them can: the program as a process, between stand-ins.

mod support;

use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use support::*;

#[test]
fn an_overbooked_discovery_is_asked_for_what_changed_and_waited_for() {
    let calls = Arc::new(Mutex::new(vec![]));
    let (one, first) = stub_database("read-write", |_, _| Reply::Send(row("one")));
    let (two, _) = stub_database("read-write", |_, _| Reply::Send(row("two")));
    let news = [
        target("s-00000001", one, "read-write", "leaving"),
        target("s-00000002", two, "read-write", "active"),
    ];
    let (news, seen) = (news.join(","), Arc::clone(&calls));
    // Three calls are turned away, the fourth has to wait for its turn, and those after it for news.
    let overbooked = spawn_server(move |mut stream| {
        loop {
            let mut head = vec![];
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                if stream.read_exact(&mut byte).is_err() {
                    seen.lock().unwrap().push("hung up".to_owned());
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
            let nth = {
                let mut seen = seen.lock().unwrap();
                seen.push(path);
                seen.iter().filter(|path| *path != "hung up").count()
            };
            let answer = match nth {
                1..=3 => "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(),
                4 => {
                    std::thread::sleep(Duration::from_millis(1_200));
                    let body = format!(r#"{{"rev":7,"all":false,"targets":[{news}]}}"#);
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
            let own = text
                .split("\"discovery\":\"")
                .nth(1)
                .unwrap()
                .split('"')
                .next()
                .unwrap()
                .to_owned();
            text.replace(&own, &overbooked.to_string()).replace(
                "\"membership-mode\":\"push\"",
                "\"membership-mode\":\"ask\"",
            )
        },
    );
    let mut client = Client::connect(gateway.address);
    let mut ask =
        || client.query("/* id=1,c=read,t=acme,d=4000,cluster=0 */ SELECT body FROM objects");
    assert_eq!(
        ask(),
        Answer::Value("one".into()),
        "the list that is known serves meanwhile"
    );
    wait_until("the news are acted on", || {
        ask() == Answer::Value("two".into())
    });
    assert!(first.count() > 0);
    wait_until("the watch goes on", || calls.lock().unwrap().len() >= 5);
    let calls: Vec<String> = calls
        .lock()
        .unwrap()
        .iter()
        .filter(|c| *c != "hung up")
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

/// Threads of a process.
fn threads(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/task")).map_or(0, Iterator::count)
}

#[test]
fn connections_that_stand_idle_have_no_threads() {
    let (at, seen) = stub_database("read-only", |_, _| Reply::Send(row("one")));
    let members = (1..=40).map(|n| target(&format!("s-{n:08x}"), at, "read-only", "active"));
    let gateway = start_gateway(&members.collect::<Vec<_>>().join(","), 60_000);
    let mut client = Client::connect(gateway.address);
    let open = || seen.opened.load(Ordering::SeqCst) - seen.closed.load(Ordering::SeqCst);
    wait_until("most members are met", || {
        client.query("/* id=1,c=read,t=acme,d=4000,cluster=0 */ SELECT body FROM objects");
        open() >= 25
    });
    wait_until("few threads are left", || {
        threads(gateway.program.0.id()) <= 15
    });
    assert!(open() >= 25, "the connections stay");
}
