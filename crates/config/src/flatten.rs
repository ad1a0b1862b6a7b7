//! Nested JSON to settings text: lines of the form `path=value`, as the simulator's first message
//! has them.
//!
//! A list of plain values is joined with commas; a list of objects gets its length under `.count`.
//! Spaces and commas in values become `_`, as do line breaks, and `=` in keys, so that no value can
//! write another key. A list of one value, where no list belongs, keeps its brackets, so that it is
//! not taken for the value.

use serde_json::Value;

/// Paths that hold lists of plain values.
const LISTS: [&str; 6] = [
    "areas",
    "skus",
    "tiers",
    "telemetry.fields",
    "family-info.needs-by-class",
    "family-info.staleness-bound-ms",
];

/// The settings text of a JSON value.
#[must_use]
pub fn flatten(value: &Value) -> String {
    let mut out = String::new();
    append(&mut out, "", value);
    out
}

/// A value that is neither a list nor an object, as text.
fn plain(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.replace([' ', ',', '\n', '\r'], "_")),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        Value::Null => Some(String::new()),
        Value::Array(_) | Value::Object(_) => None,
    }
}

/// The path of a key, which may neither begin a line nor end itself.
fn child(path: &str, key: &str) -> String {
    let key = key.replace(['=', '\n', '\r'], "_");
    if path.is_empty() {
        key
    } else {
        format!("{path}.{key}")
    }
}

fn append(out: &mut String, path: &str, value: &Value) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                append(out, &child(path, key), value);
            }
        }
        Value::Array(items) => append_list(out, path, items),
        other => append_line(out, path, &plain(other).unwrap_or_default()),
    }
}

fn append_list(out: &mut String, path: &str, items: &[Value]) {
    let Some(values) = items.iter().map(plain).collect::<Option<Vec<_>>>() else {
        append_line(out, &child(path, "count"), &items.len().to_string());
        for (n, item) in items.iter().enumerate() {
            append(out, &child(path, &n.to_string()), item);
        }
        return;
    };
    // An empty list may be one of objects, whose length is read.
    if values.is_empty() {
        append_line(out, &child(path, "count"), "0");
    }
    let joined = values.join(",");
    if items.len() == 1 && !LISTS.contains(&path) {
        append_line(out, path, &format!("[{joined}]"));
    } else {
        append_line(out, path, &joined);
    }
}

fn append_line(out: &mut String, path: &str, value: &str) {
    out.push_str(path);
    out.push('=');
    out.push_str(value);
    out.push('\n');
}
