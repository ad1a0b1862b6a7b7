//! Parses settings text into the decision module's settings.
//!
//! Input: lines of the form `key=value`, from the platform's JSON ([`mod@crate::flatten`]), the
//! operators' file ([`crate::operators`]) or the simulator. Output: [`Settings`] and
//! [`WireSettings`], or the first key at fault. Unknown keys are ignored.
//!
//! Only this module maps the keys that operators write to the terms of the code.
//! "required" means that a missing key is an error; `30 d` is [`MAX_SPAN_MS`]; `classes.N` and
//! `tenants.N` count from 0.
//!
//! | key | field | unit | bounds | default |
//! | --- | --- | --- | --- | --- |
//! | `classes.count` | number of `classes` | | 1 to 65,536 | required |
//! | `classes.N.effect` | `idempotency` | | `safe`, `keyed`, `unsafe` | required |
//! | `classes.N.group` | `IdempotencyKey::scope` | | `cell`, `all`, `zone` | required if `keyed` |
//! | `classes.N.window-ms` | `IdempotencyKey::window` | ms | 0 to 30 d | required if `keyed` |
//! | `classes.N.slo-ms` | `latency_objective` | ms | 0.001 to 30 d | required |
//! | `classes.N.aim-stretch` | `latency_objective_stretch` | | 0 to 1e6 | 0 |
//! | `classes.N.deadline-ms` | `deadline` | ms | 10 to 30 d | required |
//! | `classes.N.worth` | `priority_weight` | | 0 to 1e9 | required |
//! | `classes.N.late-worth` | `late_priority_weight` | | 0 to 1 | required |
//! | `tenants.count` | number of `tenants` | | 0 to 65,536 | 0 |
//! | `tenants.N.allowance-per-s` | `allowance` | requests/s | 0 to 1e9 | required |
//! | `over-share-worth` | `over_quota_priority_weight` | | 0 to 1 | required with tenants |
//! | `family-info.needs-by-class` | `consistency` of each class | | `mutate`, `strong`, `causal`, `eventual`, `lag_bound` | required |
//! | `family-info.staleness-bound-ms` | `Consistency::BoundedStaleness` | ms | 0 to 30 d | required if `lag_bound` |
//! | `family-info.server-checks` | `stale_read_policy` | | `off`, `bounce`, `await` | required |
//! | `family-info.catch-up-wait-ms` | `StaleReadPolicy::WaitThenReject` | ms | 0 to 30 d | required if `await` |
//! | `family-info.role-listed` | `listed_role` | | `trailing`, `static`, `off` | required |
//! | `family-info.token-mode` | `sessions` | | `brought`, `kept` | required |
//! | `family-info.position-zero-ms` | `WireSettings::position_zero` | ms | -1e15 to 1e15 | required |
//! | `membership-mode` | `discovery_mode` | | `push`: watch, `ask`: poll | required |
//! | `fleet-size` | `routers` | gateways | 1 to 1e6 | required |
//! | `zone` | `zone` | | 0 to 254 | required |
//! | `tick-ms` | `tick` | ms | 0.1 to 1000 | required |
//! | `limits.cancel` | `limits.cancel` | | `true`, `false` | required |
//! | `limits.probing` | `limits.health_checks` | | `true`, `false` | required |
//! | `limits.second-copies` | `limits.hedged_requests` | | `true`, `false` | required |
//! | `limits.retry-after` | `limits.retry_after` | | `true`, `false` | required |
//! | `limits.max-attempts` | `limits.max_attempts` | attempts | 1 to 1e9, at most [`MAX_ATTEMPTS`] are made | required |
//! | `limits.max-retry-after-ms` | `limits.max_retry_after` | ms | 0 to 30 d | required |
//! | `limits.most-held` | `limits.max_open_requests` | requests | 1 to 1e7 | required |
//! | `limits.conn-idle-ms` | `limits.idle_connection_timeout` | ms | 0 to 30 d | required |
//! | `limits.connect-timeout-ms` | [`connect_timeout_ms`] | ms | 1 to 60,000 | 250 |
//! | `rules.ask-within-ms` | `rules.max_poll_interval` | ms | `ask`: 100 to 30 d; `push`: 0 to 30 d, 0 is the default | `ask`: required; `push`: 10,000 |
//! | `rules.cold-from` | `rules.slow_start_initial_capacity` | share | 0 to 1 | required |
//! | `rules.cold-ms` | `rules.slow_start_duration` | ms | 0 to 30 d | required |
//! | `rules.tip-multiple` | `rules.overload_multiple` | | 0.001 to 1e6 | required |
//! | `rules.tip-after-ms` | `rules.overload_duration` | ms | 0.001 to 30 d | required |
//! | `rules.removal-not-binding` | `rules.removal_is_advisory` | | `true`, `false` | `false` |
//! | `telemetry.source` | whether `WireSettings::fields` has any | | `off`, `inline`, `on_probe` | required |
//! | `telemetry.fields` | `WireSettings::fields` | | names: `x0` position, `x1` primary, `busy` | required unless `off` |

mod classes;
mod text;
mod wire;

use valehatch_policy::{
    DiscoveryMode, Limits, ListedRole, Rules, SessionTracking, Settings, Span, StaleReadPolicy,
    Tenant, ZoneId,
};

use self::text::SettingsText;
pub use self::wire::{LoadReportField, WireSettings};
use crate::error::{KeyProblem, SettingsError};

/// The longest duration, in milliseconds: 30 days.
pub const MAX_SPAN_MS: f64 = 2_592_000_000.0;
/// The shortest duration above 0, in milliseconds: the decision module counts in microseconds.
const MIN_SPAN_MS: f64 = 0.001;
/// The shortest deadline, in milliseconds. A final answer is sent some time before the deadline,
/// and attempts need time before that.
pub const MIN_DEADLINE_MS: f64 = 10.0;
/// Upper limit on the attempts of a request, even if the settings allow more: further attempts only
/// add to the load that made the first ones fail.
pub const MAX_ATTEMPTS: u32 = 6;
const MAX_ATTEMPTS_SETTING: f64 = 1e9;
/// Default of `limits.connect-timeout-ms`, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
const MIN_CONNECT_TIMEOUT_MS: f64 = 1.0;
const MAX_CONNECT_TIMEOUT_MS: f64 = 60_000.0;
/// Default of `rules.ask-within-ms` if the endpoint list is watched, in milliseconds.
const DEFAULT_POLL_INTERVAL_MS: f64 = 10_000.0;
/// The shortest `rules.ask-within-ms` if the endpoint list is polled, in milliseconds: a poll waits
/// a quarter of it.
const MIN_POLL_INTERVAL_MS: f64 = 100.0;
/// Maximum number of classes, and of tenants.
const MAX_ITEMS: f64 = 65_536.0;
const MAX_GATEWAYS: f64 = 1e6;
const MAX_ZONE: f64 = 254.0;
/// Pending requests are scheduled every other tick: shorter ticks would use a whole core.
const MIN_TICK_MS: f64 = 0.1;
const MAX_TICK_MS: f64 = 1000.0;
const MAX_OPEN_REQUESTS: f64 = 1e7;
const MAX_ALLOWANCE_PER_S: f64 = 1e9;
const MIN_OVERLOAD_MULTIPLE: f64 = 0.001;
const MAX_OVERLOAD_MULTIPLE: f64 = 1e6;

/// Converts milliseconds, as in settings and on the simulator's wire, to whole microseconds.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn ms_to_micros(ms: f64) -> i64 {
    (ms * 1000.0).round() as i64
}

/// The time-out of a connection attempt, in milliseconds: 1 to 60,000, default 250.
///
/// # Errors
/// The key, if its value is invalid.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn connect_timeout_ms(source: &str) -> Result<u64, SettingsError> {
    let text = SettingsText::parse(source)?;
    let ms = text.number_or(
        "limits.connect-timeout-ms",
        DEFAULT_CONNECT_TIMEOUT_MS,
        MIN_CONNECT_TIMEOUT_MS..=MAX_CONNECT_TIMEOUT_MS,
    )?;
    Ok(ms.round() as u64)
}

/// Parses settings text. Unknown keys are ignored.
///
/// # Errors
/// The first key that is missing or invalid.
pub fn parse(source: &str) -> Result<(Settings, WireSettings), SettingsError> {
    let text = SettingsText::parse(source)?;
    let class_count = text.integer("classes.count", 1.0..=MAX_ITEMS)? as usize;
    let tenants = parse_tenants(&text)?;
    let tenant_count = tenants.len();
    let discovery_mode = text.choice(
        "membership-mode",
        &[("push", DiscoveryMode::Watch), ("ask", DiscoveryMode::Poll)],
    )?;
    let mut classes = vec![];
    for n in 0..class_count {
        classes.push(classes::parse_class(&text, n)?);
    }
    let over_quota_priority_weight = match tenant_count {
        0 => None,
        _ => Some(text.number("over-share-worth", 0.0..=1.0)?),
    };
    let settings = Settings {
        classes,
        over_quota_priority_weight,
        tenants,
        discovery_mode,
        listed_role: parse_listed_role(&text)?,
        stale_read_policy: parse_stale_read_policy(&text)?,
        sessions: parse_sessions(&text)?,
        routers: text.integer("fleet-size", 1.0..=MAX_GATEWAYS)?,
        zone: ZoneId(u8::try_from(text.integer("zone", 0.0..=MAX_ZONE)?).unwrap_or(u8::MAX)),
        tick: Span(ms_to_micros(
            text.number("tick-ms", MIN_TICK_MS..=MAX_TICK_MS)?,
        )),
        limits: parse_limits(&text)?,
        rules: parse_rules(&text, discovery_mode)?,
    };
    let wire = wire::parse(&text, settings.sessions, class_count, tenant_count)?;
    Ok((settings, wire))
}

/// Parses the tenants; the list may be missing or empty. A value that is not a list is an error and
/// does not count as an empty list.
fn parse_tenants(text: &SettingsText<'_>) -> Result<Vec<Tenant>, SettingsError> {
    let count = if text.find("tenants.count").is_some() {
        text.integer("tenants.count", 0.0..=MAX_ITEMS)?
    } else if let Some(value) = text.find("tenants") {
        let problem = KeyProblem::NotAListOfTenants(value.to_owned());
        return Err(SettingsError::key("tenants", problem));
    } else {
        0
    };
    let mut tenants = vec![];
    for n in 0..count {
        let key = format!("tenants.{n}.allowance-per-s");
        let allowance = text.number(&key, 0.0..=MAX_ALLOWANCE_PER_S)?;
        tenants.push(Tenant { allowance });
    }
    Ok(tenants)
}

fn parse_listed_role(text: &SettingsText<'_>) -> Result<ListedRole, SettingsError> {
    let roles = [
        ("trailing", ListedRole::Trailing),
        ("static", ListedRole::Static),
        ("off", ListedRole::Ignored),
    ];
    text.choice("family-info.role-listed", &roles)
}

fn parse_stale_read_policy(text: &SettingsText<'_>) -> Result<StaleReadPolicy, SettingsError> {
    let policies = [
        ("off", StaleReadPolicy::Serve),
        ("bounce", StaleReadPolicy::Reject),
        ("await", StaleReadPolicy::WaitThenReject(Span(0))),
    ];
    let policy = text.choice("family-info.server-checks", &policies)?;
    let StaleReadPolicy::WaitThenReject(_) = policy else {
        return Ok(policy);
    };
    let wait = text.span("family-info.catch-up-wait-ms", 0.0)?;
    Ok(StaleReadPolicy::WaitThenReject(wait))
}

fn parse_sessions(text: &SettingsText<'_>) -> Result<SessionTracking, SettingsError> {
    let modes = [
        ("brought", SessionTracking::ClientProvided),
        ("kept", SessionTracking::RouterTracked),
    ];
    text.choice("family-info.token-mode", &modes)
}

fn parse_limits(text: &SettingsText<'_>) -> Result<Limits, SettingsError> {
    Ok(Limits {
        cancel: text.flag("limits.cancel")?,
        health_checks: text.flag("limits.probing")?,
        hedged_requests: text.flag("limits.second-copies")?,
        retry_after: text.flag("limits.retry-after")?,
        max_attempts: text
            .integer("limits.max-attempts", 1.0..=MAX_ATTEMPTS_SETTING)?
            .min(MAX_ATTEMPTS),
        max_retry_after: text.span("limits.max-retry-after-ms", 0.0)?,
        max_open_requests: text.integer("limits.most-held", 1.0..=MAX_OPEN_REQUESTS)? as usize,
        idle_connection_timeout: text.span("limits.conn-idle-ms", 0.0)?,
    })
}

fn parse_rules(
    text: &SettingsText<'_>,
    discovery_mode: DiscoveryMode,
) -> Result<Rules, SettingsError> {
    let removal = "rules.removal-not-binding";
    Ok(Rules {
        max_poll_interval: parse_max_poll_interval(text, discovery_mode)?,
        slow_start_initial_capacity: text.number("rules.cold-from", 0.0..=1.0)?,
        slow_start_duration: text.span("rules.cold-ms", 0.0)?,
        overload_multiple: text.number(
            "rules.tip-multiple",
            MIN_OVERLOAD_MULTIPLE..=MAX_OVERLOAD_MULTIPLE,
        )?,
        overload_duration: text.span("rules.tip-after-ms", MIN_SPAN_MS)?,
        removal_is_advisory: text.find(removal).is_some() && text.flag(removal)?,
    })
}

/// The interval within which the endpoint list has to be polled. If the list is watched, this
/// limits only the pauses between tries, and 0 means the default.
fn parse_max_poll_interval(
    text: &SettingsText<'_>,
    mode: DiscoveryMode,
) -> Result<Span, SettingsError> {
    let key = "rules.ask-within-ms";
    if mode == DiscoveryMode::Poll {
        return text.span(key, MIN_POLL_INTERVAL_MS);
    }
    let ms = text.number_or(key, 0.0, 0.0..=MAX_SPAN_MS)?;
    let ms = if ms > 0.0 {
        ms
    } else {
        DEFAULT_POLL_INTERVAL_MS
    };
    Ok(Span(ms_to_micros(ms)))
}
