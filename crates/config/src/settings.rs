//! The settings text of the wire, to the module's settings. What is missing is an error, but for the few keys that
//! `docs/operators/settings.md` gives a default; what no operator can mean is one too, and is named by its key.

use std::collections::BTreeMap;
use std::ops::{Bound, RangeInclusive};

use valehatch_policy::{
    Consistency, DedupScope, DiscoveryMode, Idempotency, Limits, ListedRole, LoadReport,
    RequestClass, Rules, SessionTracking, Settings, Span, StaleReadPolicy, Tenant, Time, ZoneId,
};

/// Milliseconds, as the settings and the simulator's wire give them, to microseconds.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn ms_to_micros(ms: f64) -> i64 {
    (ms * 1000.0).round() as i64
}

/// A place in a load report.
#[derive(Clone, Copy, Debug)]
pub enum LoadReportField {
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
pub struct WireSettings {
    /// The values of a load report, in their order.
    pub fields: Vec<LoadReportField>,
    /// Where the count of positions starts.
    pub position_zero: Time,
    /// Session reads bring the age of their last write.
    pub client_provided_sessions: bool,
    /// Number of classes.
    pub classes: usize,
    /// Number of tenants.
    pub tenants: usize,
}

impl WireSettings {
    /// The report that a node's values make, where `place` turns a position in seconds into a time.
    pub fn report(&self, values: &[f64], place: impl Fn(f64) -> Time) -> Option<LoadReport> {
        let mut out = LoadReport::default();
        for (field, value) in self.fields.iter().zip(values) {
            match field {
                LoadReportField::Position => out.position = Some(place(*value)),
                LoadReportField::Primary => out.primary = Some(*value > 0.0),
                LoadReportField::Busy => out.busy = Some(*value),
                LoadReportField::Other => {}
            }
        }
        (!values.is_empty()).then_some(out)
    }
}

/// The longest length of time that a key may hold, in milliseconds: thirty days.
pub const LONGEST_MS: f64 = 2_592_000_000.0;
/// The shortest that counts as one, in milliseconds: the module counts microseconds.
const SHORTEST_MS: f64 = 0.001;
/// The shortest deadline, in milliseconds: a final answer leaves some before the client stops waiting, and something must
/// be left of its time.
pub const SHORTEST_DEADLINE_MS: f64 = 10.0;
/// Attempts for one request, whatever the settings allow: more only add to the load that made the first ones fail.
pub const MOST_ATTEMPTS: u32 = 6;
/// How long a connection may take to come up, in milliseconds, where nothing says so.
const CONNECT_TIMEOUT_MS: f64 = 250.0;
/// How often the list is asked for where nothing says so and it comes unasked, in milliseconds.
const ASK_WITHIN_MS: f64 = 10_000.0;
/// Classes, and tenants, at the most.
const MOST_ITEMS: f64 = 65_536.0;

struct Text<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Text<'a> {
    fn read(source: &'a str) -> Result<Self, String> {
        let mut text = Self(BTreeMap::new());
        for line in source.lines().filter(|l| !l.trim().is_empty()) {
            let (key, value) = line
                .split_once('=')
                .ok_or_else(|| format!("settings: no '=' in line {line:?}"))?;
            text.0.insert(key.trim(), value.trim());
        }
        Ok(text)
    }
    /// What a key holds; one that holds nothing, as JSON's null does, is missing, and one that others begin with is none.
    fn find(&self, key: &str) -> Option<&'a str> {
        let below = format!("{key}.");
        match self.0.get(key) {
            Some(text) => Some(*text).filter(|text| !text.is_empty()),
            None => {
                let next = self
                    .0
                    .range::<str, _>((Bound::Included(below.as_str()), Bound::Unbounded))
                    .next();
                next.filter(|(name, _)| name.starts_with(&below))
                    .map(|_| "an object")
            }
        }
    }
    fn get(&self, key: &str) -> Result<&'a str, String> {
        self.find(key)
            .ok_or_else(|| format!("settings: {key} is missing"))
    }
    fn number(&self, key: &str, bounds: RangeInclusive<f64>) -> Result<f64, String> {
        within(key, self.get(key)?, bounds)
    }
    fn number_or(&self, key: &str, usual: f64, bounds: RangeInclusive<f64>) -> Result<f64, String> {
        self.find(key)
            .map_or(Ok(usual), |text| within(key, text, bounds))
    }
    /// A whole number; JSON may write it with a point and a nought.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn whole(&self, key: &str, bounds: RangeInclusive<f64>) -> Result<u32, String> {
        let value = self.number(key, bounds)?;
        let whole = (value.fract() == 0.0).then_some(value as u32);
        whole.ok_or_else(|| format!("settings: {key} is {value}, not a whole number"))
    }
    fn span(&self, key: &str, least_ms: f64) -> Result<Span, String> {
        self.number(key, least_ms..=LONGEST_MS)
            .map(|ms| Span(ms_to_micros(ms)))
    }
    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, String> {
        choice(key, self.get(key)?, choices)
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        self.choice(key, &[("true", true), ("false", false)])
    }
    fn item(&self, key: &str, place: usize) -> Result<&'a str, String> {
        self.get(key)?
            .split(',')
            .nth(place)
            .ok_or_else(|| format!("settings: {key} has no item {place}"))
    }
}

/// A number within bounds, which neither NaN nor an infinity is.
fn within(key: &str, text: &str, bounds: RangeInclusive<f64>) -> Result<f64, String> {
    let value = text.parse().ok().filter(|v| bounds.contains(v));
    value.ok_or_else(|| {
        format!(
            "settings: {key} is {text:?}, not a number from {} to {}",
            bounds.start(),
            bounds.end()
        )
    })
}

fn choice<T: Copy>(key: &str, text: &str, choices: &[(&str, T)]) -> Result<T, String> {
    choices
        .iter()
        .find(|(name, _)| *name == text)
        .map(|(_, value)| *value)
        .ok_or_else(|| {
            let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
            format!(
                "settings: {key} is {text:?}, not one of {}",
                names.join(", ")
            )
        })
}

fn consistency(text: &Text<'_>, n: usize) -> Result<Consistency, String> {
    let key = "family-info.needs-by-class";
    let names = [
        ("mutate", Consistency::Write),
        ("strong", Consistency::Strong),
        ("causal", Consistency::Session),
        ("eventual", Consistency::Eventual),
        ("lag_bound", Consistency::BoundedStaleness(Span(0))),
    ];
    let found = choice(&format!("{key} item {n}"), text.item(key, n)?, &names)?;
    let Consistency::BoundedStaleness(_) = found else {
        return Ok(found);
    };
    let bound = "family-info.staleness-bound-ms";
    let ms = within(
        &format!("{bound} item {n}"),
        text.item(bound, n)?,
        0.0..=LONGEST_MS,
    )?;
    Ok(Consistency::BoundedStaleness(Span(ms_to_micros(ms))))
}

fn class(text: &Text<'_>, n: usize) -> Result<RequestClass, String> {
    let key = |name: &str| format!("classes.{n}.{name}");
    let scopes = [
        ("cell", DedupScope::Group),
        ("all", DedupScope::All),
        ("zone", DedupScope::Zone),
    ];
    Ok(RequestClass {
        consistency: consistency(text, n)?,
        idempotency: match text
            .choice(&key("effect"), &[("safe", 0), ("keyed", 1), ("unsafe", 2)])?
        {
            0 => Idempotency::Idempotent,
            // A window of 0 is one in which nothing is repeated.
            1 => Idempotency::IdempotencyKey {
                scope: text.choice(&key("group"), &scopes)?,
                window: text.span(&key("window-ms"), 0.0)?,
            },
            _ => Idempotency::NonIdempotent,
        },
        latency_objective: text.span(&key("slo-ms"), SHORTEST_MS)?,
        latency_objective_stretch: text.number_or(&key("aim-stretch"), 0.0, 0.0..=1e6)?,
        deadline: text.span(&key("deadline-ms"), SHORTEST_DEADLINE_MS)?,
        priority_weight: text.number(&key("worth"), 0.0..=1e9)?,
        late_priority_weight: text.number(&key("late-worth"), 0.0..=1.0)?,
    })
}

/// Tenants, of which there may be none; a list of anything else is no list of tenants.
fn tenants(text: &Text<'_>) -> Result<Vec<Tenant>, String> {
    let count = match (text.find("tenants.count"), text.find("tenants")) {
        (Some(_), _) => text.whole("tenants.count", 0.0..=MOST_ITEMS)?,
        (None, None) => 0,
        (None, Some(other)) => {
            return Err(format!(
                "settings: tenants is {other:?}, not a list of tenants"
            ));
        }
    };
    let allowance = |n| text.number(&format!("tenants.{n}.allowance-per-s"), 0.0..=1e9);
    (0..count)
        .map(|n| {
            Ok(Tenant {
                allowance: allowance(n)?,
            })
        })
        .collect()
}

/// How often the list has to be asked for. Where it comes unasked that bounds pauses only, and 0 is no bound.
fn max_poll_interval(text: &Text<'_>, mode: DiscoveryMode) -> Result<Span, String> {
    let key = "rules.ask-within-ms";
    if mode == DiscoveryMode::Poll {
        // An answer is waited for over a quarter of it.
        return text.span(key, 100.0);
    }
    let ms = text.number_or(key, 0.0, 0.0..=LONGEST_MS)?;
    Ok(Span(ms_to_micros(if ms > 0.0 {
        ms
    } else {
        ASK_WITHIN_MS
    })))
}

/// A connection that is not up by then counts as failed, in milliseconds: 1 to 60,000, 250 where nothing says so.
///
/// # Errors
/// The key, where it holds anything else.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn connect_timeout_ms(source: &str) -> Result<u64, String> {
    let text = Text::read(source)?;
    let ms = text.number_or(
        "limits.connect-timeout-ms",
        CONNECT_TIMEOUT_MS,
        1.0..=60_000.0,
    )?;
    Ok(ms.round() as u64)
}

/// Reads the settings of an instance. Keys that nothing here asks for are skipped.
///
/// # Errors
/// What is missing or wrong, by its key.
pub fn parse(source: &str) -> Result<(Settings, WireSettings), String> {
    let text = Text::read(source)?;
    let classes = text.whole("classes.count", 1.0..=MOST_ITEMS)? as usize;
    let tenants = tenants(&text)?;
    let removal = "rules.removal-not-binding";
    let discovery_mode = text.choice(
        "membership-mode",
        &[("push", DiscoveryMode::Watch), ("ask", DiscoveryMode::Poll)],
    )?;
    let settings = Settings {
        classes: (0..classes)
            .map(|n| class(&text, n))
            .collect::<Result<_, _>>()?,
        over_quota_priority_weight: match tenants.len() {
            0 => None,
            _ => Some(text.number("over-share-worth", 0.0..=1.0)?),
        },
        tenants,
        discovery_mode,
        listed_role: text.choice(
            "family-info.role-listed",
            &[
                ("trailing", ListedRole::Trailing),
                ("static", ListedRole::Static),
                ("off", ListedRole::Ignored),
            ],
        )?,
        stale_read_policy: match text.choice(
            "family-info.server-checks",
            &[("off", 0), ("bounce", 1), ("await", 2)],
        )? {
            0 => StaleReadPolicy::Serve,
            1 => StaleReadPolicy::Reject,
            _ => StaleReadPolicy::WaitThenReject(text.span("family-info.catch-up-wait-ms", 0.0)?),
        },
        sessions: text.choice(
            "family-info.token-mode",
            &[
                ("brought", SessionTracking::ClientProvided),
                ("kept", SessionTracking::RouterTracked),
            ],
        )?,
        routers: text.whole("fleet-size", 1.0..=1e6)?,
        zone: ZoneId(u8::try_from(text.whole("zone", 0.0..=254.0)?).unwrap_or(u8::MAX)),
        // Twice as long is waited between looks at what waits: shorter turns would take the whole core.
        tick: Span(ms_to_micros(text.number("tick-ms", 0.1..=1000.0)?)),
        limits: Limits {
            cancel: text.flag("limits.cancel")?,
            health_checks: text.flag("limits.probing")?,
            hedged_requests: text.flag("limits.second-copies")?,
            retry_after: text.flag("limits.retry-after")?,
            max_attempts: text
                .whole("limits.max-attempts", 1.0..=1e9)?
                .min(MOST_ATTEMPTS),
            max_retry_after: text.span("limits.max-retry-after-ms", 0.0)?,
            max_open_requests: text.whole("limits.most-held", 1.0..=1e7)? as usize,
            idle_connection_timeout: text.span("limits.conn-idle-ms", 0.0)?,
        },
        rules: Rules {
            max_poll_interval: max_poll_interval(&text, discovery_mode)?,
            slow_start_initial_capacity: text.number("rules.cold-from", 0.0..=1.0)?,
            slow_start_duration: text.span("rules.cold-ms", 0.0)?,
            overload_multiple: text.number("rules.tip-multiple", 0.001..=1e6)?,
            overload_duration: text.span("rules.tip-after-ms", SHORTEST_MS)?,
            removal_is_advisory: text.find(removal).is_some() && text.flag(removal)?,
        },
    };
    let field = |name: &str| match name {
        "x0" => LoadReportField::Position,
        "x1" => LoadReportField::Primary,
        "busy" => LoadReportField::Busy,
        _ => LoadReportField::Other,
    };
    let reports = text.choice(
        "telemetry.source",
        &[("off", false), ("inline", true), ("on_probe", true)],
    )?;
    let key = "telemetry.fields";
    let is_name = |name: &str| {
        name.starts_with(char::is_alphabetic)
            && name.chars().all(|c| c.is_alphanumeric() || c == '_')
    };
    let names: Vec<&str> = if reports {
        text.get(key)?.split(',').collect()
    } else {
        vec![]
    };
    if let Some(name) = names.iter().find(|name| !is_name(name)) {
        return Err(format!(
            "settings: {key} holds {name:?}, not the name of a value"
        ));
    }
    let wire = WireSettings {
        fields: names.into_iter().map(field).collect(),
        position_zero: Time(ms_to_micros(
            text.number("family-info.position-zero-ms", -1e15..=1e15)?,
        )),
        client_provided_sessions: settings.sessions == SessionTracking::ClientProvided,
        classes,
        tenants: settings.tenants.len(),
    };
    Ok((settings, wire))
}
