//! Request classes of a settings text.

use valehatch_policy::{Consistency, DedupScope, Idempotency, RequestClass, Span};

use super::text::{SettingsText, parse_choice, parse_number};
use super::{MAX_SPAN_MS, MIN_DEADLINE_MS, MIN_SPAN_MS, ms_to_micros};
use crate::error::SettingsError;

const MAX_PRIORITY_WEIGHT: f64 = 1e9;
const MAX_OBJECTIVE_STRETCH: f64 = 1e6;

/// The values of `effect`.
#[derive(Clone, Copy)]
enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

pub(super) fn parse_class(
    text: &SettingsText<'_>,
    n: usize,
) -> Result<RequestClass, SettingsError> {
    let key = |name: &str| format!("classes.{n}.{name}");
    Ok(RequestClass {
        consistency: parse_consistency(text, n)?,
        idempotency: parse_idempotency(text, n)?,
        latency_objective: text.span(&key("slo-ms"), MIN_SPAN_MS)?,
        latency_objective_stretch: text.number_or(
            &key("aim-stretch"),
            0.0,
            0.0..=MAX_OBJECTIVE_STRETCH,
        )?,
        deadline: text.span(&key("deadline-ms"), MIN_DEADLINE_MS)?,
        priority_weight: text.number(&key("worth"), 0.0..=MAX_PRIORITY_WEIGHT)?,
        late_priority_weight: text.number(&key("late-worth"), 0.0..=1.0)?,
    })
}

fn parse_idempotency(text: &SettingsText<'_>, n: usize) -> Result<Idempotency, SettingsError> {
    let key = |name: &str| format!("classes.{n}.{name}");
    let effects = [
        ("safe", Effect::Safe),
        ("keyed", Effect::Keyed),
        ("unsafe", Effect::Unsafe),
    ];
    let scopes = [
        ("cell", DedupScope::Group),
        ("all", DedupScope::All),
        ("zone", DedupScope::Zone),
    ];
    match text.choice(&key("effect"), &effects)? {
        Effect::Safe => Ok(Idempotency::Idempotent),
        Effect::Keyed => Ok(Idempotency::IdempotencyKey {
            scope: text.choice(&key("group"), &scopes)?,
            // With a window of 0 nothing is retried.
            window: text.span(&key("window-ms"), 0.0)?,
        }),
        Effect::Unsafe => Ok(Idempotency::NonIdempotent),
    }
}

fn parse_consistency(text: &SettingsText<'_>, n: usize) -> Result<Consistency, SettingsError> {
    let key = "family-info.needs-by-class";
    let levels = [
        ("mutate", Consistency::Write),
        ("strong", Consistency::Strong),
        ("causal", Consistency::Session),
        ("eventual", Consistency::Eventual),
        ("lag_bound", Consistency::BoundedStaleness(Span(0))),
    ];
    let level = parse_choice(&format!("{key} item {n}"), text.item(key, n)?, &levels)?;
    let Consistency::BoundedStaleness(_) = level else {
        return Ok(level);
    };
    let key = "family-info.staleness-bound-ms";
    let ms = parse_number(
        &format!("{key} item {n}"),
        text.item(key, n)?,
        0.0..=MAX_SPAN_MS,
    )?;
    Ok(Consistency::BoundedStaleness(Span(ms_to_micros(ms))))
}
