//! The one place where configuration is read, checked and given defaults. What is wrong is told by its key.

#![expect(clippy::too_many_lines, reason = "not yet split and documented")]

pub mod operators;
pub mod peers;
pub mod reader;
pub mod settings;
pub mod snmp;

use std::net::SocketAddr;
use std::str::FromStr;

use serde_json::Value;

use self::settings::WireSettings;
use valehatch_policy::{EndpointId, Settings};

/// What the platform tells a gateway.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators call, if they may.
    pub mgmt: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Memory that it may take, in megabytes.
    pub memory_mb: usize,
    /// The list as last held, in discovery's form.
    pub known: Value,
    /// What the front and the servers need to know of the settings.
    pub site: Site,
}

/// A deployment: the module's settings and the names that go with them.
#[derive(Clone, Debug)]
pub struct Site {
    /// The module's settings.
    pub settings: Settings,
    /// How reports are told.
    pub wire: WireSettings,
    /// Classes by name, in the settings' order.
    pub classes: Vec<String>,
    /// Tenants by name, in the settings' order.
    pub tenants: Vec<String>,
    /// Zones by name, in the settings' order.
    pub zones: Vec<String>,
    /// Kinds of machine by name, in the settings' order.
    pub kinds: Vec<String>,
    /// A connection that is not up by then counts as failed, in milliseconds.
    pub connect_timeout_ms: u64,
}

/// A member's number from its name, the same at every gateway and whatever else the list holds: the hexadecimal
/// digits that the name ends in, or else a hash of it.
#[must_use]
pub fn endpoint_id(name: &str) -> EndpointId {
    let digits = name.rsplit('-').next().filter(|h| h.len() == 8);
    let hash = |h: u32, b: u8| (h ^ u32::from(b)).wrapping_mul(16_777_619);
    let hashed = || name.bytes().fold(2_166_136_261, hash);
    EndpointId(
        digits
            .and_then(|h| u32::from_str_radix(h, 16).ok())
            .unwrap_or_else(hashed),
    )
}

/// The names that clients and discovery use, as they use them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Classes, in the settings' order.
    pub classes: Vec<String>,
    /// Tenants, in the settings' order.
    pub tenants: Vec<String>,
    /// Zones, in the settings' order.
    pub zones: Vec<String>,
    /// Kinds of machine, in the settings' order.
    pub kinds: Vec<String>,
}

/// Whether a request's comment can hold a name: it ends one at a comma and itself at `*/`, and what stands around a
/// name is passed over.
///
/// # Errors
/// What is wrong with the name.
pub fn validate_request_name(name: &str) -> Result<(), String> {
    let whole =
        !name.is_empty() && name.trim() == name && !name.contains(',') && !name.contains("*/");
    let whole = whole && !name.contains(char::is_control);
    let wrong = "which no request can say: empty, with a space around it, or with ',', '*/' or a control character";
    whole
        .then_some(())
        .ok_or_else(|| format!("is {name:?}, {wrong}"))
}

impl Names {
    /// From the settings as JSON: their flat form does not keep names as they are.
    ///
    /// # Errors
    /// The key of a name that is missing, no text, there twice, or not to be said.
    fn read(settings: &Value) -> Result<Self, String> {
        let (classes, tenants) = (
            Self::of_items(settings, "classes")?,
            Self::of_items(settings, "tenants")?,
        );
        let (zones, kinds) = (
            Self::listed(settings, "areas")?,
            Self::listed(settings, "skus")?,
        );
        Ok(Self {
            classes,
            tenants,
            zones,
            kinds,
        })
    }

    /// The names of a list of objects, none of which may be without: what comes after it would be taken for another.
    fn of_items(settings: &Value, list: &str) -> Result<Vec<String>, String> {
        let items = settings
            .get(list)
            .and_then(Value::as_array)
            .map_or(&[][..], Vec::as_slice);
        let mut names: Vec<String> = vec![];
        for (n, item) in items.iter().enumerate() {
            let at = |what: &str| format!("settings: {list}.{n}.name {what}");
            let name = match item.get("name") {
                None | Some(Value::Null) => return Err(at("is missing")),
                Some(Value::String(name)) => name,
                Some(other) => return Err(at(&format!("is {other}, not a text"))),
            };
            validate_request_name(name).map_err(|what| at(&what))?;
            if let Some(other) = names.iter().position(|known| known == name) {
                return Err(at(&format!("is {name:?}, as {list}.{other}.name")));
            }
            names.push(name.clone());
        }
        Ok(names)
    }

    /// A list of names that only discovery uses; it may be missing. The last of 256 places stands for those not listed.
    fn listed(settings: &Value, list: &str) -> Result<Vec<String>, String> {
        let value = settings.get(list).unwrap_or(&Value::Null);
        if value.is_null() {
            return Ok(vec![]);
        }
        let items: Option<Vec<&str>> = value
            .as_array()
            .and_then(|items| items.iter().map(Value::as_str).collect());
        let items =
            items.ok_or_else(|| format!("settings: {list} is {value}, not a list of names"))?;
        if items.len() >= usize::from(u8::MAX) {
            return Err(format!(
                "settings: {list} holds {} names, more than 254",
                items.len()
            ));
        }
        let again = items
            .iter()
            .enumerate()
            .find(|(n, name)| items[..*n].contains(name));
        again.map_or(Ok(()), |(_, name)| {
            Err(format!("settings: {list} holds {name:?} twice"))
        })?;
        Ok(items.into_iter().map(str::to_owned).collect())
    }
}

impl Site {
    /// From the settings as `path=value` lines, and the names that go with them.
    ///
    /// # Errors
    /// The key at fault.
    pub fn new(flat: &str, names: Names) -> Result<Self, String> {
        let (settings, wire) = settings::parse(flat)?;
        let Names {
            classes,
            tenants,
            zones,
            kinds,
        } = names;
        // Keys that the settings' JSON writes flat bring no names.
        for (list, names, count) in [
            ("classes", &classes, wire.classes),
            ("tenants", &tenants, wire.tenants),
        ] {
            if names.len() != count {
                return Err(format!(
                    "settings: {list} has {} names for {count} items",
                    names.len()
                ));
            }
        }
        let zone = usize::from(settings.zone.0);
        if !zones.is_empty() && zone >= zones.len() {
            return Err(format!(
                "settings: zone is {zone}, and areas has {} names, from 0 on",
                zones.len()
            ));
        }
        let connect_timeout_ms = settings::connect_timeout_ms(flat)?;
        Ok(Self {
            settings,
            wire,
            classes,
            tenants,
            zones,
            kinds,
            connect_timeout_ms,
        })
    }

    /// Whether figures can tell its classes apart: they end a class's name at `:`, and a value at `|`.
    ///
    /// # Errors
    /// The key of the name that cannot be told.
    pub fn validate_metric_names(&self) -> Result<(), String> {
        let wrong = self
            .classes
            .iter()
            .enumerate()
            .find(|(_, name)| name.contains([':', '|']));
        let what = "with figures for operators it must hold neither ':' nor '|'";
        wrong.map_or(Ok(()), |(n, name)| {
            Err(format!("settings: classes.{n}.name is {name:?}: {what}"))
        })
    }

    /// From the settings as the platform's JSON has them.
    ///
    /// # Errors
    /// The key at fault.
    pub fn from_json(settings: &Value) -> Result<Self, String> {
        if !settings.is_object() {
            return Err(format!("config: settings is {settings}, not an object"));
        }
        let flat = flatten(settings);
        // What is wrong with a list is better told than what is wrong with its names.
        settings::parse(&flat)?;
        Self::new(&flat, Names::read(settings)?)
    }
}

/// Paths that hold lists of plain values.
const LISTS: [&str; 6] = [
    "areas",
    "skus",
    "tiers",
    "telemetry.fields",
    "family-info.needs-by-class",
    "family-info.staleness-bound-ms",
];

/// Nested JSON to the `path=value` lines of the simulator's first message: a list of plain values is joined
/// with commas, a list of objects gets its length under `.count`, spaces and commas in values become `_`. A list of one
/// where no list belongs keeps its brackets, so that it is not taken for what it holds.
#[must_use]
pub fn flatten(value: &Value) -> String {
    fn plain(value: &Value) -> Option<String> {
        match value {
            Value::String(s) => Some(s.replace([' ', ',', '\n', '\r'], "_")),
            Value::Number(n) => Some(n.to_string()),
            Value::Bool(b) => Some(b.to_string()),
            Value::Null => Some(String::new()),
            Value::Array(_) | Value::Object(_) => None,
        }
    }
    fn walk(path: &str, value: &Value, out: &mut String) {
        // No key may begin a line, or end itself.
        let key = |key: &str| key.replace(['=', '\n', '\r'], "_");
        let under = |name: &str| {
            if path.is_empty() {
                key(name)
            } else {
                format!("{path}.{}", key(name))
            }
        };
        match value {
            Value::Object(map) => map.iter().for_each(|(key, v)| walk(&under(key), v, out)),
            Value::Array(items) => {
                if let Some(values) = items.iter().map(plain).collect::<Option<Vec<_>>>() {
                    // An empty list has no items to say whether it held objects.
                    if values.is_empty() {
                        out.push_str(&format!("{}=0\n", under("count")));
                    }
                    let values = values.join(",");
                    let alone = items.len() == 1 && !LISTS.contains(&path);
                    out.push_str(&if alone {
                        format!("{path}=[{values}]\n")
                    } else {
                        format!("{path}={values}\n")
                    });
                } else {
                    out.push_str(&format!("{}={}\n", under("count"), items.len()));
                    items
                        .iter()
                        .enumerate()
                        .for_each(|(n, v)| walk(&under(&n.to_string()), v, out));
                }
            }
            other => out.push_str(&format!("{path}={}\n", plain(other).unwrap_or_default())),
        }
    }
    let mut out = String::new();
    walk("", value, &mut out);
    out
}

/// Descriptors, and megabytes, at the most.
const MOST: f64 = 1_048_576.0;

fn text<'a>(config: &'a Value, key: &str) -> Result<&'a str, String> {
    let value = config
        .get(key)
        .ok_or_else(|| format!("config: {key} is missing"))?;
    value
        .as_str()
        .ok_or_else(|| format!("config: {key} is {value}, not a text"))
}

fn parsed<T: FromStr>(config: &Value, key: &str, what: &str) -> Result<T, String> {
    let value = text(config, key)?;
    value
        .parse()
        .map_err(|_| format!("config: {key} is {value:?}, not {what}"))
}

impl PlatformConfig {
    /// Reads the platform's JSON.
    ///
    /// # Errors
    /// The key at fault.
    pub fn parse(source: &str) -> Result<Self, String> {
        let config: Value =
            serde_json::from_str(source).map_err(|e| format!("config: no JSON: {e}"))?;
        let seed = text(&config, "seed")?;
        let settings = config
            .get("settings")
            .ok_or("config: settings is missing")?;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit =
            |key: &str, usual: usize, least: f64| match config.pointer(&format!("/limits/{key}")) {
                None | Some(Value::Null) => Ok(usual),
                Some(v) => {
                    let number = v
                        .as_f64()
                        .filter(|n| (least..=MOST).contains(n) && n.fract() == 0.0);
                    number.map(|n| n as usize).ok_or_else(|| {
                        format!(
                            "config: limits.{key} is {v}, not a whole number from {least} to {MOST}"
                        )
                    })
                }
            };
        let (sockets, memory_mb) = (
            limit("sockets", 1024, 64.0)?,
            limit("memory_mb", 192, 16.0)?,
        );
        Ok(Self {
            name: text(&config, "name")?.to_owned(),
            listen: parsed(&config, "listen", "an address with a port")?,
            discovery: parsed(&config, "discovery", "an address with a port")?,
            mgmt: match config.get("mgmt") {
                None | Some(Value::Null) => None,
                Some(_) => Some(parsed(&config, "mgmt", "an address with a port")?),
            },
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| format!("config: seed is {seed:?}, not a hexadecimal number"))?,
            sockets,
            memory_mb,
            known: config.get("known").cloned().unwrap_or(Value::Null),
            site: Site::from_json(settings)?,
        })
    }
}
