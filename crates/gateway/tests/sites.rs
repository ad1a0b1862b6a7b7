//! End-to-end tests of the gateway on the settings of two deployments that have nothing in common.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Instant;

use rstest::rstest;
use serde_json::{Value, json};
use support::*;

/// Settings of a class, with times in milliseconds.
fn class(name: &str, effect: &str, window_ms: u32, deadline_ms: u32) -> Value {
    json!({"name": name, "effect": effect, "group": "cell", "deadline-ms": deadline_ms, "slo-ms": deadline_ms / 3,
        "late-worth": 0.3, "window-ms": window_ms, "worth": 1.0})
}

/// Settings with names that contain spaces and non-ASCII letters; the gateway is in the second zone
/// and probes are allowed.
fn hall_settings() -> Value {
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

/// Settings that use the same names with other meanings, without tenants, zones, probes or retry
/// windows, and with short deadlines.
fn yard_settings() -> Value {
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

/// Starts a gateway with these settings and endpoints.
fn start_with_settings(settings: &Value, members: &[String]) -> TestGateway {
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

/// Reply of an endpoint that executes the query.
fn execute(query: &str) -> Reply {
    Reply::Send(row_with_tag(
        "done",
        if query.contains("INSERT") {
            "INSERT 0 1"
        } else {
            "SELECT 1"
        },
    ))
}

/// Starts a stub database that closes the connection at the first query of each id, without an
/// answer, and executes the later ones.
fn fail_first_attempts(role: &'static str) -> (SocketAddr, std::sync::Arc<StubDatabase>) {
    let known_ids = std::sync::Mutex::new(std::collections::BTreeSet::new());
    stub_database(role, move |_, query| {
        let id = query
            .split("id=")
            .nth(1)
            .unwrap()
            .split(',')
            .next()
            .unwrap()
            .to_owned();
        if known_ids.lock().unwrap().insert(id) {
            Reply::SendThenClose(vec![])
        } else {
            execute(query)
        }
    })
}

fn attempts(db: &StubDatabase, id: &str) -> usize {
    let id = format!("id={id},");
    db.queries
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, query, _)| query.contains(&id))
        .count()
}

#[test]
fn retries_follow_the_effects_in_the_settings() {
    let done = Answer::Value("done".into());
    let broken = Answer::Error("58000".into(), None);
    // Safe requests, and keyed ones within their window, are retried; unsafe ones are not.
    let (primary, db) = fail_first_attempts("read-write");
    let gateway = start_with_settings(
        &hall_settings(),
        &[target("s-00000001", primary, "read-write", "active")],
    );
    let mut client = Client::connect(gateway.address);
    assert_eq!(client.query(&read(1, "plads check")), done);
    assert_eq!(client.query(&write(2, "køb & betal")), done);
    assert_eq!(client.query(&write(3, "én gang")), broken);
    assert_eq!(
        [
            attempts(&db, "r1"),
            attempts(&db, "w2"),
            attempts(&db, "w3")
        ],
        [2, 2, 1]
    );
    // Here the same names stand for a keyed class without a window and an unsafe one: neither is
    // retried.
    let (primary, db) = fail_first_attempts("read-write");
    let gateway = start_with_settings(
        &yard_settings(),
        &[target("s-00000001", primary, "read-write", "active")],
    );
    let mut client = Client::connect(gateway.address);
    assert_eq!(client.query(&write(1, "én gang")), broken);
    assert_eq!(client.query(&write(2, "plads check")), broken);
    assert_eq!(client.query(&read(3, "42")), done);
    assert_eq!(
        [
            attempts(&db, "w1"),
            attempts(&db, "w2"),
            attempts(&db, "r3")
        ],
        [1, 1, 2]
    );
}

/// Sends a query and returns the text of the error in its answer, if any.
fn query_error(client: &mut Client, query: &str) -> Option<String> {
    client.send(query);
    let mut error = None;
    loop {
        match read_message(&mut client.0).expect("an answer") {
            (b'E', body) => error = Some(String::from_utf8(body).unwrap()),
            (b'Z', _) => return error,
            _ => {}
        }
    }
}

#[test]
fn unknown_class_name_is_reported_in_the_error() {
    let (primary, db) = stub_database("read-write", |_, query| execute(query));
    let gateway = start_with_settings(
        &hall_settings(),
        &[target("s-00000001", primary, "read-write", "active")],
    );
    let mut client = Client::connect(gateway.address);
    // A normalized or misspelt form of a name does not match it.
    for (n, name) in ["plads_check", "plads", "Plads check", "kob", "42"]
        .into_iter()
        .enumerate()
    {
        let error =
            query_error(&mut client, &read(u32::try_from(n).unwrap(), name)).expect("an error");
        assert!(error.contains(&format!("{name:?}")), "{error}");
    }
    assert_eq!(db.count(), 0, "no such query was relayed");
    assert_eq!(query_error(&mut client, &read(10, "plads check")), None);
    // A request of an unknown tenant has no budget and is served like one without a tenant.
    assert_eq!(
        query_error(
            &mut client,
            &write(11, "køb & betal").replace("strand lejren", "nobody")
        ),
        None
    );
    assert!(
        db.query_text(0).contains("c=plads check,d="),
        "names are relayed unchanged"
    );
}

/// Guards against a rewrite of the deadline field that matches inside a value of another field.
#[test]
fn class_name_that_looks_like_a_deadline_is_unchanged() {
    let (primary, db) = stub_database("read-write", |_, query| execute(query));
    let mut settings = hall_settings();
    settings["classes"][0]["name"] = json!("plads d=7");
    let gateway = start_with_settings(
        &settings,
        &[target("s-00000001", primary, "read-write", "active")],
    );
    assert_eq!(
        query_error(&mut Client::connect(gateway.address), &read(1, "plads d=7")),
        None
    );
    let query = db.query_text(0);
    assert!(
        query.contains("c=plads d=7,d=") && !query.contains("d=4000"),
        "{query}"
    );
}

/// Of two sampled replicas without open requests the one in the gateway's own zone is preferred; a
/// zone that the settings do not list counts as another zone.
#[rstest]
#[case(1, "hal ø", "hal a")]
#[case(0, "hal a", "hal ø")]
#[case(0, "hal a", "hal c")]
fn replica_in_the_gateways_zone_is_preferred(
    #[case] zone: u8,
    #[case] own: &str,
    #[case] other: &str,
) {
    let (near, near_database) = stub_database("read-only", |_, _| Reply::Send(row("near")));
    let (far, far_database) = stub_database("read-only", |_, _| Reply::Send(row("far")));
    let (primary, _) = stub_database("read-write", |_, _| Reply::Send(row("primary")));
    let members = [
        in_zone(&target("s-00000001", primary, "read-write", "active"), own),
        in_zone(&target("s-00000002", far, "read-only", "active"), other),
        in_zone(&target("s-00000003", near, "read-only", "active"), own),
    ];
    let mut settings = hall_settings();
    settings["zone"] = json!(zone);
    let gateway = start_with_settings(&settings, &members);
    let mut client = Client::connect(gateway.address);
    for id in 0..300 {
        assert!(matches!(
            client.query(&read(id, "plads check")),
            Answer::Value(_)
        ));
    }
    // Three in four are expected; without a preference it would be one in two.
    let (near, far) = (near_database.count(), far_database.count());
    assert!(near >= 190, "{near} to its own zone, {far} to the other");
}

#[test]
fn probes_are_sent_only_if_the_settings_allow_them() {
    for (settings, allowed) in [(hall_settings(), true), (yard_settings(), false)] {
        let (primary, _) = stub_database("read-write", |_, _| Reply::Send(row("primary")));
        let (replica, db) = stub_database("read-only", |_, _| Reply::Send(row("replica")));
        let members = [
            target("s-00000001", primary, "read-write", "active"),
            target("s-00000002", replica, "read-only", "active"),
        ];
        let gateway = start_with_settings(&settings, &members);
        let mut client = Client::connect(gateway.address);
        let mut id = 0;
        let mut query_class = || {
            id += 1;
            client.query(&read(id, "frisk læsning"))
        };
        if allowed {
            wait_until(
                "a replica serves whose position a probe has reported",
                || query_class() == Answer::Value("replica".into()),
            );
        } else {
            // Without probes the positions of replicas are unknown: only the primary may serve.
            (0..50).for_each(|_| assert_eq!(query_class(), Answer::Value("primary".into())));
        }
        assert_eq!(db.probes.load(Ordering::SeqCst) > 0, allowed);
    }
}

#[test]
fn unanswered_request_fails_after_the_deadline_of_its_class() {
    let time_to_failure = |settings: &Value| {
        let (primary, _) = stub_database("read-write", |_, _| Reply::SendThenStall(vec![]));
        let gateway = start_with_settings(
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
    let (hall_ms, yard_ms) = (
        time_to_failure(&hall_settings()),
        time_to_failure(&yard_settings()),
    );
    assert!(hall_ms >= 4_900, "{hall_ms} ms of 5,000");
    assert!((800..4_900).contains(&yard_ms), "{yard_ms} ms of 900");
}

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
fn invalid_setting_fails_the_start_with_its_key(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] key: &str,
) {
    let text = config(free_address(), free_address(), "", 15_000);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["settings"] = hall_settings();
    *config["settings"].pointer_mut(pointer).unwrap() = value;
    let path = temp_folder().join("config.json");
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = GatewayProcess::spawn(&[], Some(&path), &[]);
    assert_eq!(program.wait_for_exit().code(), Some(2));
    program.wait_for_log(&format!("settings: {key}"));
}

/// The statistics end a class name at a colon, so that with a management endpoint no name may hold
/// one.
#[test]
fn class_name_with_a_colon_fails_the_start_with_management() {
    let text = config(free_address(), free_address(), "", 15_000);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["settings"] = hall_settings();
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

#[rstest]
#[case("memory_mb", json!(1e18))]
#[case("memory_mb", json!(18_446_744_073_709_551_615_u64))]
#[case("sockets", json!(1e300))]
#[case("sockets", json!("1024"))]
fn invalid_machine_limit_fails_the_start_with_its_key(#[case] key: &str, #[case] value: Value) {
    let text = config(free_address(), free_address(), "", 15_000);
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["limits"][key] = value;
    let path = temp_folder().join("config.json");
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = GatewayProcess::spawn(&[], Some(&path), &[]);
    assert_eq!(program.wait_for_exit().code(), Some(2));
    program.wait_for_log(&format!("limits.{key}"));
}
