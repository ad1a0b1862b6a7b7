//! One program, and the settings of two sites that have nothing in common: it does for each what that one asks.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Instant;

use rstest::rstest;
use serde_json::{Value, json};
use support::*;

/// A class whose name, effect, window and deadline a site chooses.
fn class(name: &str, effect: &str, window_ms: u32, deadline_ms: u32) -> Value {
    json!({"name": name, "effect": effect, "group": "cell", "deadline-ms": deadline_ms, "slo-ms": deadline_ms / 3,
        "late-worth": 0.3, "window-ms": window_ms, "worth": 1.0})
}

/// Names with spaces and letters that ASCII lacks; its gateway stands in the second zone; probes are allowed.
fn hall() -> Value {
    json!({
        "areas": ["hal a", "hal ø"], "skus": ["std 4"],
        "classes": [class("plads check", "safe", 0, 5000), class("køb & betal", "keyed", 4000, 5000),
            class("én gang", "unsafe", 0, 5000), class("frisk læsning", "safe", 0, 5000)],
        "family-info": {"needs-by-class": ["eventual", "mutate", "mutate", "lag_bound"],
            "staleness-bound-ms": [0, 0, 0, 500], "position-zero-ms": 0.0, "role-listed": "trailing",
            "server-checks": "off", "token-mode": "kept"},
        "fleet-size": 1, "zone": 1, "tick-ms": 5.0, "membership-mode": "push",
        "limits": {"cancel": true, "conn-idle-ms": 15000, "connect-timeout-ms": 2000, "max-attempts": 6,
            "max-retry-after-ms": 2000, "most-held": 20000, "probing": true, "retry-after": false, "second-copies": false},
        "rules": {"ask-within-ms": 10000, "cold-from": 0.24, "cold-ms": 17000, "tip-after-ms": 2000, "tip-multiple": 3},
        "telemetry": {"fields": ["x0", "x1", "busy", "rif"], "source": "on_probe"},
        "tenants": [{"name": "strand lejren", "allowance-per-s": 100, "share": 0.5},
            {"name": "skovbakken", "allowance-per-s": 50, "share": 0.5}],
        "over-share-worth": 0.2
    })
}

/// The same names for other things, no tenants, no zones, no probes, no windows, short deadlines.
fn yard() -> Value {
    json!({
        "classes": [class("én gang", "keyed", 0, 900), class("plads check", "unsafe", 0, 900),
            class("42", "safe", 0, 900), class("frisk læsning", "safe", 0, 900)],
        "family-info": {"needs-by-class": ["mutate", "mutate", "eventual", "lag_bound"],
            "staleness-bound-ms": [0, 0, 0, 500], "position-zero-ms": 0.0, "role-listed": "trailing",
            "server-checks": "off", "token-mode": "brought"},
        "fleet-size": 1, "zone": 0, "tick-ms": 5.0, "membership-mode": "push",
        "limits": {"cancel": false, "conn-idle-ms": 0, "max-attempts": 2,
            "max-retry-after-ms": 0, "most-held": 20000, "probing": false, "retry-after": true, "second-copies": false},
        "rules": {"cold-from": 1.0, "cold-ms": 0, "tip-after-ms": 2000, "tip-multiple": 3},
        "telemetry": {"source": "off"}
    })
}

fn in_zone(target: &str, zone: &str) -> String {
    target.replace(r#""az":"a""#, &format!(r#""az":"{zone}""#))
}

/// A gateway with a site's settings, between these members.
fn served(settings: &Value, members: &[String]) -> TestGateway {
    start_gateway_with_config(&members.join(","), 15_000, false, |text| {
        let mut config: Value = serde_json::from_str(&text).unwrap();
        config["settings"] = settings.clone();
        config.to_string()
    })
}

fn read(id: u32, class: &str) -> String {
    format!("/* id=r{id},c={class},d=4000,cluster=0 */ SELECT body FROM objects WHERE oid = 'x'")
}

fn write(id: u32, class: &str) -> String {
    format!(
        "/* id=w{id},c={class},t=strand lejren,d=4000,k=k{id},cluster=0 */ INSERT INTO objects VALUES ('x')"
    )
}

/// What a member that serves a query answers.
fn done(query: &str) -> Reply {
    Reply::Send(row_with_tag(
        "done",
        if query.contains("INSERT") {
            "INSERT 0 1"
        } else {
            "SELECT 1"
        },
    ))
}

/// A member that breaks the connection at the first query of each id, with no answer, and serves the next.
fn breaking(role: &'static str) -> (SocketAddr, std::sync::Arc<StubDatabase>) {
    let met = std::sync::Mutex::new(std::collections::BTreeSet::new());
    stub_database(role, move |_, query| {
        let id = query
            .split("id=")
            .nth(1)
            .unwrap()
            .split(',')
            .next()
            .unwrap()
            .to_owned();
        if met.lock().unwrap().insert(id) {
            Reply::SendThenClose(vec![])
        } else {
            done(query)
        }
    })
}

fn asked(seen: &StubDatabase, id: &str) -> usize {
    let id = format!("id={id},");
    seen.queries
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, query, _)| query.contains(&id))
        .count()
}

#[test]
fn effects_are_those_of_the_site() {
    let done = Answer::Value("done".into());
    let broken = Answer::Error("58000".into(), None);
    // What is safe or, within its window, keyed is repeated; what is not is not.
    let (primary, seen) = breaking("read-write");
    let gateway = served(
        &hall(),
        &[target("s-00000001", primary, "read-write", "active")],
    );
    let mut client = Client::connect(gateway.address);
    assert_eq!(client.query(&read(1, "plads check")), done);
    assert_eq!(client.query(&write(2, "køb & betal")), done);
    assert_eq!(client.query(&write(3, "én gang")), broken);
    assert_eq!(
        [asked(&seen, "r1"), asked(&seen, "w2"), asked(&seen, "w3")],
        [2, 2, 1]
    );
    // The same names stand for other things elsewhere: keyed without a window, and not to be repeated.
    let (primary, seen) = breaking("read-write");
    let gateway = served(
        &yard(),
        &[target("s-00000001", primary, "read-write", "active")],
    );
    let mut client = Client::connect(gateway.address);
    assert_eq!(client.query(&write(1, "én gang")), broken);
    assert_eq!(client.query(&write(2, "plads check")), broken);
    assert_eq!(client.query(&read(3, "42")), done);
    assert_eq!(
        [asked(&seen, "w1"), asked(&seen, "w2"), asked(&seen, "r3")],
        [1, 1, 2]
    );
}

/// The text of the error that a query is answered with, if it is.
fn fault(client: &mut Client, query: &str) -> Option<String> {
    client.send(query);
    let mut said = None;
    loop {
        match read_message(&mut client.0).expect("an answer") {
            (b'E', body) => said = Some(String::from_utf8(body).unwrap()),
            (b'Z', _) => return said,
            _ => {}
        }
    }
}

#[test]
fn a_name_that_no_setting_has_is_named() {
    let (primary, seen) = stub_database("read-write", |_, query| done(query));
    let gateway = served(
        &hall(),
        &[target("s-00000001", primary, "read-write", "active")],
    );
    let mut client = Client::connect(gateway.address);
    // Neither the flat form of a name nor another letter is that name.
    for (n, name) in ["plads_check", "plads", "Plads check", "kob", "42"]
        .into_iter()
        .enumerate()
    {
        let said = fault(&mut client, &read(u32::try_from(n).unwrap(), name)).expect("an error");
        assert!(said.contains(&format!("{name:?}")), "{said}");
    }
    assert_eq!(seen.count(), 0, "nothing of that went on");
    assert_eq!(fault(&mut client, &read(10, "plads check")), None);
    // A tenant that is not known has no budget; it is served like those that name none.
    assert_eq!(
        fault(
            &mut client,
            &write(11, "køb & betal").replace("strand lejren", "nobody")
        ),
        None
    );
    assert!(
        seen.query_text(0).contains("c=plads check,d="),
        "the names pass on as they came"
    );
}

/// A value of the comment that looks like another name is none.
#[test]
fn a_name_that_looks_like_a_time_stays_as_it_is() {
    let (primary, seen) = stub_database("read-write", |_, query| done(query));
    let mut settings = hall();
    settings["classes"][0]["name"] = json!("plads d=7");
    let gateway = served(
        &settings,
        &[target("s-00000001", primary, "read-write", "active")],
    );
    assert_eq!(
        fault(&mut Client::connect(gateway.address), &read(1, "plads d=7")),
        None
    );
    let query = seen.query_text(0);
    assert!(
        query.contains("c=plads d=7,d=") && !query.contains("d=4000"),
        "{query}"
    );
}

/// Of two replicas that are drawn with nothing out the one in the gateway's own zone goes first; one in a zone that the
/// settings do not list is in no zone of theirs.
#[rstest]
#[case(1, "hal ø", "hal a")]
#[case(0, "hal a", "hal ø")]
#[case(0, "hal a", "hal c")]
fn zones_are_told_apart_by_their_names(#[case] zone: u8, #[case] own: &str, #[case] other: &str) {
    let (near, by_near) = stub_database("read-only", |_, _| Reply::Send(row("near")));
    let (far, by_far) = stub_database("read-only", |_, _| Reply::Send(row("far")));
    let (primary, _) = stub_database("read-write", |_, _| Reply::Send(row("primary")));
    let members = [
        in_zone(&target("s-00000001", primary, "read-write", "active"), own),
        in_zone(&target("s-00000002", far, "read-only", "active"), other),
        in_zone(&target("s-00000003", near, "read-only", "active"), own),
    ];
    let mut settings = hall();
    settings["zone"] = json!(zone);
    let gateway = served(&settings, &members);
    let mut client = Client::connect(gateway.address);
    for id in 0..300 {
        assert!(matches!(
            client.query(&read(id, "plads check")),
            Answer::Value(_)
        ));
    }
    // Three in four, where it were one in two.
    let (near, far) = (by_near.count(), by_far.count());
    assert!(near >= 190, "{near} to its own zone, {far} to the other");
}

#[test]
fn probes_are_sent_where_the_site_allows_them() {
    for (settings, allowed) in [(hall(), true), (yard(), false)] {
        let (primary, _) = stub_database("read-write", |_, _| Reply::Send(row("primary")));
        let (replica, seen) = stub_database("read-only", |_, _| Reply::Send(row("replica")));
        let members = [
            target("s-00000001", primary, "read-write", "active"),
            target("s-00000002", replica, "read-only", "active"),
        ];
        let gateway = served(&settings, &members);
        let mut client = Client::connect(gateway.address);
        let mut id = 0;
        let mut ask = || {
            id += 1;
            client.query(&read(id, "frisk læsning"))
        };
        if allowed {
            wait_until("a replica that was asked how far it is serves", || {
                ask() == Answer::Value("replica".into())
            });
        } else {
            // How far a replica is nobody knows, so that only the primary may serve.
            (0..50).for_each(|_| assert_eq!(ask(), Answer::Value("primary".into())));
        }
        assert_eq!(seen.probes.load(Ordering::SeqCst) > 0, allowed);
    }
}

#[test]
fn a_client_waits_for_as_long_as_its_site_says() {
    let took = |settings: &Value| {
        let (primary, _) = stub_database("read-write", |_, _| Reply::SendThenStall(vec![]));
        let gateway = served(
            settings,
            &[target("s-00000001", primary, "read-write", "active")],
        );
        let mut client = Client::connect(gateway.address);
        let began = Instant::now();
        let class = if settings["tenants"].is_null() {
            "plads check"
        } else {
            "én gang"
        };
        let query = write(1, class).replace("d=4000", "d=20000");
        assert!(matches!(client.query(&query), Answer::Error(code, _) if code == "57014"));
        began.elapsed().as_millis()
    };
    let (hall, yard) = (took(&hall()), took(&yard()));
    assert!(hall >= 4_900, "{hall} ms of 5,000");
    assert!((800..4_900).contains(&yard), "{yard} ms of 900");
}

/// What nobody can mean ends the start, and its key is named.
#[rstest]
#[case("/zone", json!(2), "zone")]
#[case("/classes/1/name", json!("plads check"), "classes.1.name")]
#[case("/classes/1/name", json!("køb, betal"), "classes.1.name")]
#[case("/classes/1/name", json!(null), "classes.1.name")]
#[case("/classes/2/effect", json!("once"), "classes.2.effect")]
#[case("/classes/0/deadline-ms", json!(0), "classes.0.deadline-ms")]
#[case("/classes/3/worth", json!(-1), "classes.3.worth")]
#[case("/family-info/staleness-bound-ms/3", json!("inf"), "family-info.staleness-bound-ms")]
#[case("/limits/most-held", json!(0), "limits.most-held")]
#[case("/rules/cold-from", json!(1.5), "rules.cold-from")]
#[case("/tick-ms", json!(1e300), "tick-ms")]
#[case("/tenants/0/allowance-per-s", json!(null), "tenants.0.allowance-per-s")]
#[case("/tenants", json!("strand lejren"), "tenants")]
#[case("/over-share-worth", json!(null), "over-share-worth")]
fn a_setting_that_nobody_can_mean_ends_the_start(
    #[case] at: &str,
    #[case] value: Value,
    #[case] key: &str,
) {
    let text = config(free_address(), free_address(), "", 15_000);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["settings"] = hall();
    *config["settings"].pointer_mut(at).unwrap() = value;
    let path = temp_folder().join("config.json");
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = GatewayProcess::spawn(&[], Some(&path), &[]);
    assert_eq!(program.wait_for_exit().code(), Some(2));
    program.wait_for_log(&format!("settings: {key}"));
}

/// Figures end a class's name at a colon; whoever has them told is told of such a name.
#[test]
fn a_name_that_figures_cannot_tell_ends_the_start_where_they_are_told() {
    let text = config(free_address(), free_address(), "", 15_000);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["settings"] = hall();
    config["settings"]["classes"][0]["name"] = json!("plads:check");
    let path = temp_folder().join("config.json");
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = GatewayProcess::spawn(
        &[],
        Some(&path),
        &[("BALANCER_MGMT", &free_address().to_string())],
    );
    assert_eq!(program.wait_for_exit().code(), Some(2));
    program.wait_for_log("settings: classes.0.name");
}

/// The limits of the machine are checked like the rest.
#[rstest]
#[case("memory_mb", json!(1e18))]
#[case("memory_mb", json!(18_446_744_073_709_551_615_u64))]
#[case("sockets", json!(1e300))]
#[case("sockets", json!("1024"))]
fn a_limit_that_no_machine_has_ends_the_start(#[case] key: &str, #[case] value: Value) {
    let text = config(free_address(), free_address(), "", 15_000);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["limits"][key] = value;
    let path = temp_folder().join("config.json");
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = GatewayProcess::spawn(&[], Some(&path), &[]);
    assert_eq!(program.wait_for_exit().code(), Some(2));
    program.wait_for_log(&format!("limits.{key}"));
}
