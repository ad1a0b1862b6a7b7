//! Converts nested JSON to settings text: lines of the form `path=value`, as in the first message
//! of the simulator.
//!
//! A list of plain values becomes one line, joined with commas. A list of objects becomes one line
//! for each value, and its length under `.count`. Spaces, commas and line breaks in values and `=`
//! and line breaks in keys become `_`, so that no key or value can set another key. A list of one
//! value in a place that takes no list keeps its brackets, so that it is not taken for the value.

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

/// Converts a JSON value to settings text.
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

/// The path of a key. `=` and line breaks in the key are replaced, so that it can neither end early
/// nor start another line.
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
    // An empty list may be a list of objects, for which the parser reads the length.
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
