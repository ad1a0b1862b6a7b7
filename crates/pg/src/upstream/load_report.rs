//! Load reports and replication positions of endpoints.

use valehatch_net::Clock;
use valehatch_policy::{LoadReport, Time};

/// Accepted replication positions in Unix milliseconds: from 1970 to the year 2286.
const VALID_POSITIONS_MS: std::ops::Range<f64> = 1.0..1e13;
/// Accepted utilizations.
const VALID_UTILIZATIONS: std::ops::RangeInclusive<f64> = 0.0..=1000.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Parses a report such as `x0=1767225600.1,x1=1,busy=0.61,rif=7`, with fields in any order. The
/// position (`x0`) is in Unix seconds. A report with any invalid field is discarded: zeros in its
/// place would be mistaken for an idle endpoint.
pub(super) fn parse_load_report(clock: Clock, text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for field in text.split(',') {
        let (name, value) = field.split_once('=')?;
        let value = value.trim().parse::<f64>().ok()?;
        if !value.is_finite() {
            return None;
        }
        match name.trim() {
            "x0" => {
                report.position = Some(position_from_unix_ms(clock, value * MILLIS_PER_SECOND)?)
            }
            "x1" => report.primary = Some(value > 0.0),
            "busy" | "util" if VALID_UTILIZATIONS.contains(&value) => report.busy = Some(value),
            "busy" | "util" => return None,
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}

/// Converts a replication position in Unix milliseconds. Its plausibility is checked elsewhere,
/// where the times of sending and receiving are known.
pub(super) fn position_from_unix_ms(clock: Clock, unix_ms: f64) -> Option<Time> {
    if !VALID_POSITIONS_MS.contains(&unix_ms) {
        return None;
    }
    let unix_micros = (unix_ms * MICROS_PER_MILLI).floor() as i64;
    Some(clock.at_uncorrected_unix_micros(unix_micros))
}
