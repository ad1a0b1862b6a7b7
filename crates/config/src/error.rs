//! What can be wrong with settings. The texts are shown to operators; each names the key.

use std::error::Error;
use std::fmt;

use crate::names::UnusableName;

/// Settings that cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// A line of the settings text is not of the form `key=value`.
    NotAKeyValueLine(String),
    /// The settings are not a JSON object; the value as JSON.
    NotAnObject(String),
    /// A key is at fault.
    Key {
        /// The key with its path.
        key: String,
        /// What is wrong with it.
        problem: KeyProblem,
    },
}

impl SettingsError {
    /// A key at fault.
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

/// What is wrong with a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyProblem {
    /// It is missing.
    Missing,
    /// It is not a number within its bounds.
    NotANumberWithin {
        /// The value as given.
        value: String,
        /// The lower bound, included.
        min: f64,
        /// The upper bound, included.
        max: f64,
    },
    /// It is not a whole number.
    NotWhole(f64),
    /// It is none of its choices.
    NotAChoice {
        /// The value as given.
        value: String,
        /// The choices.
        choices: Vec<String>,
    },
    /// It is a list with too few items.
    MissingItem(usize),
    /// It is not a list of tenants.
    NotAListOfTenants(String),
    /// It is not a list of names; the value as JSON.
    NotAListOfNames(String),
    /// It is not a text; the value as JSON.
    NotAText(String),
    /// It holds a text that cannot name a value of a load report.
    NotAValueName(String),
    /// It is a name that no request can hold.
    Unusable(UnusableName),
    /// It is a name that another key has.
    DuplicateOf {
        /// The name.
        name: String,
        /// The other key.
        other: String,
    },
    /// It holds a name twice.
    RepeatedName(String),
    /// It holds more names than there are numbers for them.
    TooManyNames(usize),
    /// It has another number of names than of items.
    NameCount {
        /// Names.
        names: usize,
        /// Items.
        items: usize,
    },
    /// It is the index of a zone that the list of zones does not have.
    NoSuchZone {
        /// The index.
        zone: usize,
        /// Zones on the list.
        zones: usize,
    },
    /// It is a name that metrics cannot hold.
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
                write!(f, "is {zone}, and areas has {zones} names, from 0 on")
            }
            Self::UnusableInMetrics(name) => write!(
                f,
                "is {name:?}: with figures for operators it must hold neither ':' nor '|'"
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
