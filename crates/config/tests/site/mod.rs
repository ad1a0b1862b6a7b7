//! A complete settings object, as in the platform's JSON.
#![allow(dead_code)]

use serde_json::{Value, json};

/// Four classes, two tenants and two zones, with names that contain spaces and non-ASCII letters;
/// all optional keys are present.
pub(crate) fn settings() -> Value {
    let class = |name: &str, idempotency: &str, priority_weight: f64| {
        json!({"name": name, "effect": idempotency, "group": "cell", "deadline-ms": 3000.0, "slo-ms": 600.0,
            "late-worth": 0.3, "window-ms": 2000.0, "worth": priority_weight, "aim-stretch": 1.5, "stream": false})
    };
    json!({
        "areas": ["hal a", "hal ø"],
        "skus": ["std 4"],
        "classes": [class("plads check", "safe", 2.0), class("køb", "keyed", 4.0), class("én gang", "unsafe", 4.0),
            class("42", "safe", 1.0)],
        "family-info": {"needs-by-class": ["lag_bound", "mutate", "mutate", "eventual"],
            "staleness-bound-ms": [300.0, 0.0, 0.0, 0.0], "position-zero-ms": 0.0, "role-listed": "trailing",
            "server-checks": "await", "catch-up-wait-ms": 20.0, "token-mode": "kept"},
        "fleet-size": 3,
        "zone": 1,
        "tick-ms": 5.0,
        "membership-mode": "push",
        "some-new": {"key": [7, "a,b"]},
        "limits": {"cancel": true, "conn-idle-ms": 15000.0, "connect-timeout-ms": 400.0, "max-attempts": 5,
            "max-retry-after-ms": 2000.0, "most-held": 20000, "probing": true, "retry-after": false,
            "second-copies": false},
        "rules": {"ask-within-ms": 8000.0, "cold-from": 0.24, "cold-ms": 17000.0, "tip-after-ms": 2000.0,
            "tip-multiple": 3.0, "removal-not-binding": true},
        "telemetry": {"fields": ["x0", "x1", "busy", "rif"], "source": "on_probe"},
        "tenants": [{"name": "strand lejren", "allowance-per-s": 161.0, "share": 0.6},
            {"name": "skovbakken", "allowance-per-s": 97.0, "share": 0.4}],
        "over-share-worth": 0.2
    })
}

/// The JSON pointer of a key with dots.
pub(crate) fn pointer(key: &str) -> String {
    format!("/{}", key.replace('.', "/"))
}

/// The settings with another value for a key.
pub(crate) fn with(key: &str, value: Value) -> Value {
    let mut all = settings();
    *all.pointer_mut(&pointer(key))
        .unwrap_or_else(|| panic!("{key} is there")) = value;
    all
}

/// The settings without a key.
pub(crate) fn without(key: &str) -> Value {
    let mut all = settings();
    let (parent, name) = key
        .rsplit_once('.')
        .map_or((String::new(), key), |(a, n)| (pointer(a), n));
    let object = all
        .pointer_mut(&parent)
        .and_then(Value::as_object_mut)
        .expect("an object");
    object
        .remove(name)
        .unwrap_or_else(|| panic!("{key} is there"));
    all
}
