//! The settings text of the wire, to the module's settings. No defaults: what is missing is an error.

use std::collections::BTreeMap;
use std::str::FromStr;

use valehatch_policy::{
    Checks, Class, DedupScope, Effect, Limits, ListMode, ListedRole, Need, Report, Rules, Sessions, Settings,
    Span, Tenant, Time, ZoneId,
};

/// Milliseconds, as the settings and the simulator's wire give them, to microseconds.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn micros(ms: f64) -> i64 {
    (ms * 1000.0).round() as i64
}

/// A place in a load report.
#[derive(Clone, Copy, Debug)]
pub enum Field {
    /// The log position.
    Position,
    /// Whether the node was the primary.
    Primary,
    /// Share of its cores in use.
    Busy,
    /// Nothing that the module asks for.
    Other,
}

/// What translating needs to know beside the module's own settings.
#[derive(Clone, Debug)]
pub struct WireFacts {
    /// The values of a load report, in their order.
    pub fields: Vec<Field>,
    /// Where the count of positions starts.
    pub zero: Time,
    /// Session reads bring the age of their last write.
    pub brought: bool,
    /// Number of classes.
    pub classes: usize,
    /// Number of tenants.
    pub tenants: usize,
}

impl WireFacts {
    /// The report that a node's values make, where `place` turns a position in seconds into a time.
    pub fn report(&self, values: &[f64], place: impl Fn(f64) -> Time) -> Option<Report> {
        let mut out = Report::default();
        for (field, value) in self.fields.iter().zip(values) {
            match field {
                Field::Position => out.position = Some(place(*value)),
                Field::Primary => out.primary = Some(*value > 0.0),
                Field::Busy => out.busy = Some(*value),
                Field::Other => {}
            }
        }
        (!values.is_empty()).then_some(out)
    }
}

struct Text<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Text<'a> {
    fn get(&self, key: &str) -> Result<&'a str, String> {
        self.0.get(key).copied().ok_or_else(|| format!("settings: {key} is missing"))
    }
    fn number<T: FromStr>(&self, key: &str) -> Result<T, String> {
        let text = self.get(key)?;
        text.parse().map_err(|_| format!("settings: {key} is {text:?}, not a number"))
    }
    fn float(&self, key: &str) -> Result<f64, String> {
        let value: f64 = self.number(key)?;
        if value.is_finite() { Ok(value) } else { Err(format!("settings: {key} is {value}")) }
    }
    fn span(&self, key: &str) -> Result<Span, String> {
        self.float(key).map(|ms| Span(micros(ms)))
    }
    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, String> {
        let text = self.get(key)?;
        choices.iter().find(|(name, _)| *name == text).map(|(_, value)| *value).ok_or_else(|| {
            let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
            format!("settings: {key} is {text:?}, not one of {}", names.join(", "))
        })
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        self.choice(key, &[("true", true), ("false", false)])
    }
    fn item(&self, key: &str, place: usize) -> Result<&'a str, String> {
        self.get(key)?.split(',').nth(place).ok_or_else(|| format!("settings: {key} has no item {place}"))
    }
}

fn need(text: &Text<'_>, n: usize) -> Result<Need, String> {
    let key = "family-info.needs-by-class";
    Ok(match text.item(key, n)? {
        "mutate" => Need::Write,
        "strong" => Need::Fresh,
        "causal" => Need::Session,
        "eventual" => Need::Any,
        "lag_bound" => {
            let bound = "family-info.staleness-bound-ms";
            let ms: f64 = text
                .item(bound, n)?
                .parse()
                .map_err(|_| format!("settings: {bound} item {n} is not a number"))?;
            Need::Bounded(Span(micros(ms)))
        }
        other => return Err(format!("settings: {key} item {n} is {other:?}")),
    })
}

fn class(text: &Text<'_>, n: usize) -> Result<Class, String> {
    let key = |name: &str| format!("classes.{n}.{name}");
    let stretch = key("aim-stretch");
    Ok(Class {
        need: need(text, n)?,
        effect: match text.get(&key("effect"))? {
            "safe" => Effect::Safe,
            "unsafe" => Effect::Unsafe,
            "keyed" => {
                let scopes =
                    [("cell", DedupScope::Group), ("all", DedupScope::All), ("zone", DedupScope::Zone)];
                Effect::Keyed(text.choice(&key("group"), &scopes)?, text.span(&key("window-ms"))?)
            }
            other => return Err(format!("settings: {} is {other:?}", key("effect"))),
        },
        aim: text.span(&key("slo-ms"))?,
        aim_stretch: if text.0.contains_key(stretch.as_str()) { text.float(&stretch)? } else { 0.0 },
        deadline: text.span(&key("deadline-ms"))?,
        worth: text.float(&key("worth"))?,
        late_worth: text.float(&key("late-worth"))?,
    })
}

/// Reads the settings of an instance. Keys that nothing here asks for are skipped.
///
/// # Errors
/// What is missing or wrong, by its key.
pub fn parse(source: &str) -> Result<(Settings, WireFacts), String> {
    let mut text = Text(BTreeMap::new());
    for line in source.lines().filter(|l| !l.trim().is_empty()) {
        let (key, value) =
            line.split_once('=').ok_or_else(|| format!("settings: no '=' in line {line:?}"))?;
        text.0.insert(key.trim(), value.trim());
    }
    let classes: usize = text.number("classes.count")?;
    let tenants: usize = if text.0.contains_key("tenants.count") { text.number("tenants.count")? } else { 0 };
    let removal = "rules.removal-not-binding";
    let settings = Settings {
        classes: (0..classes).map(|n| class(&text, n)).collect::<Result<_, _>>()?,
        tenants: (0..tenants)
            .map(|n| Ok(Tenant { allowance: text.float(&format!("tenants.{n}.allowance-per-s"))? }))
            .collect::<Result<_, String>>()?,
        over_share_worth: if tenants > 0 { Some(text.float("over-share-worth")?) } else { None },
        list_mode: text.choice("membership-mode", &[("push", ListMode::Pushed), ("ask", ListMode::Asked)])?,
        listed_role: text.choice(
            "family-info.role-listed",
            &[("trailing", ListedRole::Trailing), ("static", ListedRole::Static), ("off", ListedRole::Off)],
        )?,
        checks: match text.get("family-info.server-checks")? {
            "off" => Checks::Off,
            "bounce" => Checks::Bounce,
            "await" => Checks::Await(text.span("family-info.catch-up-wait-ms")?),
            other => return Err(format!("settings: family-info.server-checks is {other:?}")),
        },
        sessions: text
            .choice("family-info.token-mode", &[("brought", Sessions::Brought), ("kept", Sessions::Kept)])?,
        routers: match text.number("fleet-size")? {
            0 => return Err("settings: fleet-size is 0, not a number of gateways from 1 on".into()),
            gateways => gateways,
        },
        zone: ZoneId(text.number("zone")?),
        tick: text.span("tick-ms")?,
        limits: Limits {
            cancel: text.flag("limits.cancel")?,
            probing: text.flag("limits.probing")?,
            second_copies: text.flag("limits.second-copies")?,
            retry_after: text.flag("limits.retry-after")?,
            max_attempts: text.number("limits.max-attempts")?,
            max_retry_after: text.span("limits.max-retry-after-ms")?,
            max_open: text.number("limits.most-held")?,
            conn_idle: text.span("limits.conn-idle-ms")?,
        },
        rules: Rules {
            ask_within: text.span("rules.ask-within-ms")?,
            cold_from: text.float("rules.cold-from")?,
            cold: text.span("rules.cold-ms")?,
            tip_multiple: text.float("rules.tip-multiple")?,
            tip_after: text.span("rules.tip-after-ms")?,
            removal_not_binding: text.0.contains_key(removal) && text.flag(removal)?,
        },
    };
    let field = |name: &str| match name {
        "x0" => Field::Position,
        "x1" => Field::Primary,
        "busy" => Field::Busy,
        _ => Field::Other,
    };
    let reports = text.get("telemetry.source")? != "off";
    let wire = WireFacts {
        fields: if reports { text.get("telemetry.fields")?.split(',').map(field).collect() } else { vec![] },
        zero: Time(micros(text.float("family-info.position-zero-ms")?)),
        brought: settings.sessions == Sessions::Brought,
        classes,
        tenants,
    };
    Ok((settings, wire))
}
