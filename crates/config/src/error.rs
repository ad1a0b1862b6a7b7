//! Errors in settings. The texts are shown to operators; each names the key at fault.

use std::error::Error;
use std::fmt;

use crate::names::UnusableName;

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// A line of the settings text is not of the form `key=value`.
    NotAKeyValueLine(String),
    /// The settings are not a JSON object but this value, as JSON.
    NotAnObject(String),
    /// A key is missing or its value is invalid.
    Key {
        /// The key with its path.
        key: String,
        /// Why the key is at fault.
        problem: KeyProblem,
    },
}

impl SettingsError {
    /// An error of a key.
    pub(crate) fn key(key: impl Into<String>, problem: KeyProblem) -> Self {
        Self::Key {
            key: key.into(),
            problem,
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAKeyValueLine(line) => write!(f, "settings: no '=' in line {line:?}"),
            Self::NotAnObject(value) => write!(f, "config: settings is {value}, not an object"),
            Self::Key { key, problem } => write!(f, "settings: {key} {problem}"),
        }
    }
}

impl Error for SettingsError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::NotAKeyValueLine(_) | Self::NotAnObject(_) => None,
            Self::Key { problem, .. } => Some(problem),
        }
    }
}

/// Why a key is at fault.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyProblem {
    /// The key is missing.
    Missing,
    /// The value is not a number within the bounds.
    NotANumberWithin {
        /// The value as given.
        value: String,
        /// The lower bound, inclusive.
        min: f64,
        /// The upper bound, inclusive.
        max: f64,
    },
    /// The value is not a whole number.
    NotWhole(f64),
    /// The value is not one of the choices.
    NotAChoice {
        /// The value as given.
        value: String,
        /// All valid values.
        choices: Vec<String>,
    },
    /// The list has no item at this index.
    MissingItem(usize),
    /// The value, as given, is not a list of tenants.
    NotAListOfTenants(String),
    /// The value, as JSON, is not a list of names.
    NotAListOfNames(String),
    /// The value, as JSON, is not a text.
    NotAText(String),
    /// The list contains a text that cannot be the name of a load report value.
    NotAValueName(String),
    /// The name cannot occur in a request comment.
    Unusable(UnusableName),
    /// Another key has the same name as its value.
    DuplicateOf {
        /// The name that both keys have.
        name: String,
        /// The other key, with its path.
        other: String,
    },
    /// The list contains this name twice.
    RepeatedName(String),
    /// The list contains this many names, more than an 8-bit number can identify.
    TooManyNames(usize),
    /// The number of names is not the number of items.
    NameCount {
        /// Number of names.
        names: usize,
        /// Number of items.
        items: usize,
    },
    /// The list of zones has no zone at this index.
    NoSuchZone {
        /// Index of the zone, from 0.
        zone: usize,
        /// Number of zones on the list.
        zones: usize,
    },
    /// The name cannot occur in metrics.
    UnusableInMetrics(String),
}

impl fmt::Display for KeyProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("is missing"),
            Self::NotANumberWithin { value, min, max } => {
                write!(f, "is {value:?}, not a number from {min} to {max}")
            }
            Self::NotWhole(value) => write!(f, "is {value}, not a whole number"),
            Self::NotAChoice { value, choices } => {
                write!(f, "is {value:?}, not one of {}", choices.join(", "))
            }
            Self::MissingItem(index) => write!(f, "has no item {index}"),
            Self::NotAListOfTenants(value) => write!(f, "is {value:?}, not a list of tenants"),
            Self::NotAListOfNames(value) => write!(f, "is {value}, not a list of names"),
            Self::NotAText(value) => write!(f, "is {value}, not a text"),
            Self::NotAValueName(name) => write!(f, "holds {name:?}, not the name of a value"),
            Self::Unusable(name) => name.fmt(f),
            Self::DuplicateOf { name, other } => write!(f, "is {name:?}, as {other}"),
            Self::RepeatedName(name) => write!(f, "holds {name:?} twice"),
            Self::TooManyNames(count) => write!(f, "holds {count} names, more than 254"),
            Self::NameCount { names, items } => write!(f, "has {names} names for {items} items"),
            Self::NoSuchZone { zone, zones } => {
                write!(
                    f,
                    "is {zone}, but areas has only {zones} names, counted from 0"
                )
            }
            Self::UnusableInMetrics(name) => write!(
                f,
                "is {name:?}: where metrics are served, it must contain neither ':' nor '|'"
            ),
        }
    }
}

impl Error for KeyProblem {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Unusable(name) => Some(name),
            _ => None,
        }
    }
}
