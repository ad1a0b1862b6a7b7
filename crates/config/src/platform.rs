//! The platform's JSON, which configures one front and its settings.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde_json::Value;

use crate::error::SettingsError;
use crate::site::Site;

/// Default limit on descriptors.
const DEFAULT_SOCKETS: usize = 1024;
/// Default limit on memory, in megabytes.
const DEFAULT_MEMORY_MB: usize = 192;
/// Lowest limit on descriptors.
const MIN_SOCKETS: f64 = 64.0;
/// Lowest limit on memory, in megabytes.
const MIN_MEMORY_MB: f64 = 16.0;
/// Highest limit on descriptors, and on memory in megabytes.
const MAX_LIMIT: f64 = 1_048_576.0;

/// The platform's configuration of a gateway.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Name of the gateway.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the management endpoint; `None` if there is none.
    pub management: Option<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Limit on descriptors: 64 to 1,048,576, default 1,024.
    pub sockets: usize,
    /// Limit on memory, in megabytes: 16 to 1,048,576, default 192.
    pub memory_mb: usize,
    /// The cached endpoint list, in the form that discovery sends; null if there is none.
    pub cached_endpoints: Value,
    /// Settings and names of the deployment.
    pub site: Site,
}

/// Why the platform's configuration is invalid. The texts are shown to operators; each names the
/// key at fault.
#[derive(Debug)]
pub enum PlatformConfigError {
    /// The text is not JSON.
    NotJson(serde_json::Error),
    /// A key is missing.
    Missing(&'static str),
    /// A key is not a text.
    NotAText {
        /// The key.
        key: &'static str,
        /// The value as JSON.
        value: String,
    },
    /// A text cannot be parsed.
    Unparsable {
        /// The key.
        key: &'static str,
        /// The text.
        text: String,
        /// Description of a valid text.
        expected: &'static str,
    },
    /// A limit is not a whole number within its bounds.
    Limit {
        /// The key under `limits`.
        key: &'static str,
        /// The value as JSON.
        value: String,
        /// The lower bound, inclusive.
        min: f64,
        /// The upper bound, inclusive.
        max: f64,
    },
    /// The settings are invalid.
    Settings(SettingsError),
}

impl fmt::Display for PlatformConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotJson(error) => write!(f, "config: not JSON: {error}"),
            Self::Missing(key) => write!(f, "config: {key} is missing"),
            Self::NotAText { key, value } => write!(f, "config: {key} is {value}, not a text"),
            Self::Unparsable {
                key,
                text,
                expected,
            } => write!(f, "config: {key} is {text:?}, not {expected}"),
            Self::Limit {
                key,
                value,
                min,
                max,
            } => write!(
                f,
                "config: limits.{key} is {value}, not a whole number from {min} to {max}"
            ),
            Self::Settings(error) => error.fmt(f),
        }
    }
}

impl Error for PlatformConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::NotJson(error) => Some(error),
            Self::Settings(error) => Some(error),
            _ => None,
        }
    }
}

impl PlatformConfig {
    /// Parses the platform's JSON.
    ///
    /// # Errors
    /// The key at fault.
    pub fn parse(source: &str) -> Result<Self, PlatformConfigError> {
        let config: Value = serde_json::from_str(source).map_err(PlatformConfigError::NotJson)?;
        let seed = text(&config, "seed")?;
        let settings = config
            .get("settings")
            .ok_or(PlatformConfigError::Missing("settings"))?;
        let sockets = limit(&config, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS..=MAX_LIMIT)?;
        let memory_mb = limit(
            &config,
            "memory_mb",
            DEFAULT_MEMORY_MB,
            MIN_MEMORY_MB..=MAX_LIMIT,
        )?;
        Ok(Self {
            name: text(&config, "name")?.to_owned(),
            listen: address(&config, "listen")?,
            discovery: address(&config, "discovery")?,
            management: match config.get("mgmt") {
                None | Some(Value::Null) => None,
                Some(_) => Some(address(&config, "mgmt")?),
            },
            seed: u64::from_str_radix(seed, 16).map_err(|_| PlatformConfigError::Unparsable {
                key: "seed",
                text: seed.to_owned(),
                expected: "a hexadecimal number",
            })?,
            sockets,
            memory_mb,
            cached_endpoints: config.get("known").cloned().unwrap_or(Value::Null),
            site: Site::from_json(settings).map_err(PlatformConfigError::Settings)?,
        })
    }
}

fn text<'a>(config: &'a Value, key: &'static str) -> Result<&'a str, PlatformConfigError> {
    let value = config.get(key).ok_or(PlatformConfigError::Missing(key))?;
    value.as_str().ok_or_else(|| PlatformConfigError::NotAText {
        key,
        value: value.to_string(),
    })
}

fn address(config: &Value, key: &'static str) -> Result<SocketAddr, PlatformConfigError> {
    let text = text(config, key)?;
    text.parse().map_err(|_| PlatformConfigError::Unparsable {
        key,
        text: text.to_owned(),
        expected: "an address with a port",
    })
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn limit(
    config: &Value,
    key: &'static str,
    default: usize,
    bounds: RangeInclusive<f64>,
) -> Result<usize, PlatformConfigError> {
    let value = match config.pointer(&format!("/limits/{key}")) {
        None | Some(Value::Null) => return Ok(default),
        Some(value) => value,
    };
    let number = value
        .as_f64()
        .filter(|n| bounds.contains(n) && n.fract() == 0.0);
    match number {
        Some(number) => Ok(number as usize),
        None => Err(PlatformConfigError::Limit {
            key,
            value: value.to_string(),
            min: *bounds.start(),
            max: *bounds.end(),
        }),
    }
}
