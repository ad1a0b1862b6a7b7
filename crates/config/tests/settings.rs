//! Every key of the platform's settings, with values that are missing, null, 0, negative, huge or
//! of another type: the result is the documented default or an error that names the key.

mod site;

use rstest::rstest;
use serde_json::{Value, json};
use site::{settings, with, without};
use valehatch_config::Site;
use valehatch_policy::{Consistency, DedupScope, Idempotency, Span, StaleReadPolicy};

fn read(settings: &Value) -> Result<Site, String> {
    Site::from_json(settings).map_err(|e| e.to_string())
}

fn shown(settings: &Value) -> String {
    format!("{:?}", read(settings).expect("valid settings"))
}

/// The variants of a key, in the order of the letters in a row.
fn variants(key: &str) -> [(&'static str, Value); 9] {
    [
        ("missing", without(key)),
        ("null", with(key, Value::Null)),
        ("0", with(key, json!(0))),
        ("negative", with(key, json!(-1.5))),
        ("huge", with(key, json!(1e300))),
        ("a text", with(key, json!("NaN"))),
        ("a list", with(key, json!([5]))),
        ("an object", with(key, json!({"a": 5}))),
        ("a Boolean", with(key, json!(true))),
    ]
}

/// E: an error that names the key. A: accepted as given. D: the same result as with the default.
#[rstest]
#[case("areas", "DDEEEEEEE", json!([]))]
#[case("skus", "DDEEEEEEE", json!([]))]
#[case("classes", "EEEEEEEEE", Value::Null)]
#[case("classes.1.name", "EEEEEAEEE", Value::Null)]
#[case("classes.1.effect", "EEEEEEEEE", Value::Null)]
#[case("classes.1.group", "EEEEEEEEE", Value::Null)]
#[case("classes.1.window-ms", "EEAEEEEEE", Value::Null)]
#[case("classes.0.slo-ms", "EEEEEEEEE", Value::Null)]
#[case("classes.0.deadline-ms", "EEEEEEEEE", Value::Null)]
#[case("classes.0.worth", "EEAEEEEEE", Value::Null)]
#[case("classes.0.late-worth", "EEAEEEEEE", Value::Null)]
#[case("classes.0.aim-stretch", "DDDEEEEEE", json!(0.0))]
#[case("family-info.needs-by-class", "EEEEEEEEE", Value::Null)]
#[case("family-info.staleness-bound-ms", "EEAEEEAEE", Value::Null)]
#[case("family-info.position-zero-ms", "EEAAEEEEE", Value::Null)]
#[case("family-info.role-listed", "EEEEEEEEE", Value::Null)]
#[case("family-info.server-checks", "EEEEEEEEE", Value::Null)]
#[case("family-info.catch-up-wait-ms", "EEAEEEEEE", Value::Null)]
#[case("family-info.token-mode", "EEEEEEEEE", Value::Null)]
#[case("fleet-size", "EEEEEEEEE", Value::Null)]
#[case("zone", "EEAEEEEEE", Value::Null)]
#[case("tick-ms", "EEEEEEEEE", Value::Null)]
#[case("membership-mode", "EEEEEEEEE", Value::Null)]
#[case("limits.cancel", "EEEEEEEEA", Value::Null)]
#[case("limits.probing", "EEEEEEEEA", Value::Null)]
#[case("limits.retry-after", "EEEEEEEEA", Value::Null)]
#[case("limits.second-copies", "EEEEEEEEA", Value::Null)]
#[case("limits.conn-idle-ms", "EEAEEEEEE", Value::Null)]
#[case("limits.connect-timeout-ms", "DDEEEEEEE", json!(250))]
#[case("limits.max-attempts", "EEEEEEEEE", Value::Null)]
#[case("limits.max-retry-after-ms", "EEAEEEEEE", Value::Null)]
#[case("limits.most-held", "EEEEEEEEE", Value::Null)]
#[case("rules.ask-within-ms", "DDDEEEEEE", json!(10_000))]
#[case("rules.cold-from", "EEAEEEEEE", Value::Null)]
#[case("rules.cold-ms", "EEAEEEEEE", Value::Null)]
#[case("rules.tip-after-ms", "EEEEEEEEE", Value::Null)]
#[case("rules.tip-multiple", "EEEEEEEEE", Value::Null)]
#[case("rules.removal-not-binding", "DDEEEEEEA", json!(false))]
#[case("telemetry.fields", "EEEEEAEEA", Value::Null)]
#[case("telemetry.source", "EEEEEEEEE", Value::Null)]
#[case("tenants", "DDEEEEEEE", json!([]))]
#[case("tenants.0.name", "EEEEEAEEE", Value::Null)]
#[case("tenants.0.allowance-per-s", "EEAEEEEEE", Value::Null)]
#[case("over-share-worth", "EEAEEEEEE", Value::Null)]
fn key_has_default_or_error_names_it(#[case] key: &str, #[case] row: &str, #[case] default: Value) {
    for ((what, tried), expected) in variants(key).into_iter().zip(row.chars()) {
        let got = read(&tried);
        match expected {
            'E' => {
                let message = got.expect_err(&format!("{key}, {what}, is rejected"));
                assert!(message.contains(key), "{key}, {what}: {message}");
            }
            'A' => assert!(got.is_ok(), "{key}, {what}: {got:?}"),
            _ => assert_eq!(
                shown(&tried),
                shown(&with(key, default.clone())),
                "{key}, {what}"
            ),
        }
    }
}

/// Values at both ends of the bounds, and beyond them.
#[rstest]
#[case("classes.0.slo-ms", &[0.001, 2.592e9], &[0.0001, 2.6e9])]
#[case("classes.0.deadline-ms", &[10.0, 172_800_000.0], &[9.9, 2.6e9])]
#[case("classes.0.worth", &[0.0, 1e9], &[1.1e9])]
#[case("classes.0.late-worth", &[0.0, 1.0], &[1.01])]
#[case("fleet-size", &[1.0, 100_000.0, 1e6], &[1.5, 1_000_001.0])]
#[case("zone", &[0.0, 1.0], &[2.0, 0.5, 255.0])]
#[case("tick-ms", &[0.1, 1000.0], &[0.05, 1001.0])]
#[case("limits.most-held", &[1.0, 1e7], &[0.5, 1.1e7])]
#[case("limits.connect-timeout-ms", &[1.0, 60_000.0], &[0.9, 60_001.0])]
#[case("rules.ask-within-ms", &[0.0, 100.0, 2.592e9], &[2.6e9])]
#[case("rules.cold-from", &[0.0, 1.0], &[1.01])]
#[case("rules.tip-multiple", &[0.001, 1e6], &[0.0, 1.1e6])]
#[case("tenants.0.allowance-per-s", &[0.0, 1e9], &[1.1e9])]
#[case("over-share-worth", &[0.0, 1.0], &[1.01])]
fn values_within_bounds_are_accepted_and_others_rejected(
    #[case] key: &str,
    #[case] good: &[f64],
    #[case] bad: &[f64],
) {
    for value in good {
        let got = read(&with(key, json!(value)));
        assert!(got.is_ok(), "{key}={value}: {got:?}");
    }
    for value in bad {
        let message = read(&with(key, json!(value))).expect_err(&format!("{key}={value}"));
        assert!(message.contains(key), "{key}={value}: {message}");
    }
}

#[test]
fn names_are_taken_from_json() {
    let site = read(&settings()).unwrap();
    assert_eq!(site.classes, ["plads check", "køb", "én gang", "42"]);
    assert_eq!(site.tenants, ["strand lejren", "skovbakken"]);
    assert_eq!(site.zones, ["hal a", "hal ø"]);
    assert_eq!(site.kinds, ["std 4"]);
}

/// These names are not distinct in settings text; names are read from the JSON.
#[rstest]
#[case("areas", json!(["hal a", "hal_a"]))]
#[case("areas", json!(["a,b", "c"]))]
#[case("areas", json!(["a=b", "c\nd"]))]
fn zone_names_may_be_any_text(#[case] key: &str, #[case] names: Value) {
    let site = read(&with(key, names.clone())).unwrap();
    assert_eq!(json!(site.zones), names);
}

#[rstest]
#[case("classes.1.name", json!("plads check"), "classes.0.name")]
#[case("classes.1.name", json!("a,b"), "a,b")]
#[case("classes.1.name", json!("a */ b"), "a */ b")]
#[case("classes.1.name", json!(""), "empty")]
#[case("classes.1.name", json!(" køb"), "space")]
#[case("classes.1.name", json!("køb\n"), "space")]
#[case("classes.1.name", json!("køb\nx"), "control")]
#[case("classes.1.name", json!("køb\u{0}"), "control")]
#[case("classes.1.name", json!(7), "7")]
#[case("tenants.1.name", json!("strand lejren"), "tenants.0.name")]
#[case("tenants.1.name", json!("a,b"), "a,b")]
#[case("areas", json!(["hal a", "hal a"]), "hal a")]
#[case("areas", json!(["hal a", 7]), "7")]
fn unusable_name_is_reported(#[case] key: &str, #[case] name: Value, #[case] what: &str) {
    let message = read(&with(key, name)).expect_err("rejected");
    assert!(message.contains(key) && message.contains(what), "{message}");
}

#[test]
fn name_unusable_in_metrics_is_reported() {
    assert_eq!(read(&settings()).unwrap().validate_metric_names(), Ok(()));
    for name in ["plads:check", "plads|check"] {
        let site = read(&with("classes.1.name", json!(name))).unwrap();
        let message = site
            .validate_metric_names()
            .expect_err("rejected")
            .to_string();
        assert!(
            message.contains("classes.1.name") && message.contains(name),
            "{message}"
        );
    }
}

#[test]
fn class_without_name_is_reported() {
    let message = read(&without("classes.1.name")).expect_err("rejected");
    assert!(message.contains("classes.1.name"), "{message}");
}

/// A request has at most six attempts, even if the settings allow more.
#[rstest]
#[case(1, 1)]
#[case(6, 6)]
#[case(7, 6)]
#[case(100, 6)]
fn attempts_are_capped_at_six(#[case] allowed: u32, #[case] expected: u32) {
    let site = read(&with("limits.max-attempts", json!(allowed))).unwrap();
    assert_eq!(site.settings.limits.max_attempts, expected);
}

/// A key at another place of the JSON is missing at its own.
#[rstest]
#[case("limits.max-attempts")]
#[case("family-info.needs-by-class")]
#[case("rules.cold-ms")]
#[case("tick-ms")]
fn moved_key_is_reported_missing(#[case] key: &str) {
    let mut moved = without(key);
    let value = settings().pointer(&site::pointer(key)).unwrap().clone();
    moved["elsewhere"] = json!({ "moved": value });
    assert!(
        read(&moved)
            .expect_err("rejected")
            .contains(&format!("{key} is missing"))
    );
}

#[test]
fn polling_requires_poll_interval() {
    for value in [json!(null), json!(0), json!(99)] {
        let mut asked = with("rules.ask-within-ms", value);
        asked["membership-mode"] = json!("ask");
        assert!(
            read(&asked)
                .expect_err("rejected")
                .contains("rules.ask-within-ms")
        );
    }
}

#[test]
fn disabled_features_need_no_keys() {
    let mut bare = without("telemetry.fields");
    bare["telemetry"]["source"] = json!("off");
    bare["family-info"]["server-checks"] = json!("off");
    bare["family-info"]
        .as_object_mut()
        .unwrap()
        .remove("catch-up-wait-ms");
    bare["tenants"] = json!([]);
    bare.as_object_mut().unwrap().remove("over-share-worth");
    let site = read(&bare).unwrap();
    assert!(site.wire.report_fields.is_empty() && site.tenants.is_empty());
    assert_eq!(
        (
            site.settings.stale_read_policy,
            site.settings.over_quota_priority_weight
        ),
        (StaleReadPolicy::Serve, None)
    );
}

#[test]
fn sites_do_not_share_settings() {
    let first = read(&settings()).unwrap();
    let mut other = with("classes.0.effect", json!("unsafe"));
    other["classes"][1]["group"] = json!("zone");
    other["classes"][1]["window-ms"] = json!(90_000);
    other["family-info"]["needs-by-class"] = json!(["mutate", "mutate", "strong", "causal"]);
    let second = read(&other).unwrap();
    let (one, two) = (&first.settings.classes, &second.settings.classes);
    assert_eq!(
        (one[0].idempotency, one[0].consistency),
        (
            Idempotency::Idempotent,
            Consistency::BoundedStaleness(Span::from_millis(300))
        )
    );
    assert_eq!(
        (two[0].idempotency, two[0].consistency),
        (Idempotency::NonIdempotent, Consistency::Write)
    );
    assert_eq!(
        one[1].idempotency,
        Idempotency::IdempotencyKey {
            scope: DedupScope::Group,
            window: Span::from_millis(2_000)
        }
    );
    assert_eq!(
        two[1].idempotency,
        Idempotency::IdempotencyKey {
            scope: DedupScope::Zone,
            window: Span::from_millis(90_000)
        }
    );
    assert_eq!(
        (two[2].consistency, two[3].consistency),
        (Consistency::Strong, Consistency::Session)
    );
}

#[rstest]
#[case(json!(5))]
#[case(json!("x"))]
#[case(json!([]))]
#[case(Value::Null)]
#[case(json!({}))]
fn settings_that_are_not_an_object_are_reported(#[case] value: Value) {
    let message = read(&value).expect_err("rejected");
    assert!(message.contains("settings"), "{message}");
}

/// A key of the JSON may contain a line break or `=`. If it were copied unchanged, it would set
/// another key.
#[test]
fn json_key_cannot_forge_another() {
    let mut forged = without("limits.cancel");
    forged["x\nlimits.cancel"] = json!(true);
    assert!(
        read(&forged)
            .expect_err("rejected")
            .contains("limits.cancel is missing")
    );
    let mut named = settings();
    named["tick-ms=7"] = json!(5);
    assert_eq!(read(&named).unwrap().settings.tick, Span::from_millis(5));
}
