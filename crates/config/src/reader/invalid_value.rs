//! Invalid values in a file, and the texts in which operators see them.

use std::fmt;
use std::ops::RangeInclusive;

use toml_edit::Value;

/// Why a value is invalid.
pub(super) enum InvalidValue {
    /// A table where a value is expected.
    Table,
    /// A value of another type, with the value as TOML.
    WrongType {
        value: String,
        expected: &'static str,
    },
    NotAName(String),
    WholeOutOfBounds(i64, RangeInclusive<i64>),
    NumberOutOfBounds(f64, RangeInclusive<f64>),
    NotAboveZero {
        value: f64,
        max: f64,
    },
    NotAnAddress(String),
    NotAChoice {
        text: String,
        choices: Vec<String>,
    },
    /// A list with an item that is not a text.
    ItemNotAText,
}

impl fmt::Display for InvalidValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Table => f.write_str("is a table, not a value"),
            Self::WrongType { value, expected } => write!(f, "is {value}, not {expected}"),
            Self::NotAName(text) => write!(
                f,
                "is {text:?}, not a name of 1 to 32 printable ASCII characters"
            ),
            Self::WholeOutOfBounds(n, bounds) => {
                write!(f, "is {n}, not from {} to {}", bounds.start(), bounds.end())
            }
            Self::NumberOutOfBounds(n, bounds) => {
                write!(f, "is {n}, not from {} to {}", bounds.start(), bounds.end())
            }
            Self::NotAboveZero { value, max } => {
                write!(f, "is {value}, not above 0 and at most {max}")
            }
            Self::NotAnAddress(text) => write!(f, "is {text:?}, not an address with a port"),
            Self::NotAChoice { text, choices } => {
                write!(f, "is {text:?}, not one of {}", choices.join(", "))
            }
            Self::ItemNotAText => f.write_str("holds something that is no text"),
        }
    }
}

pub(super) fn wrong_type(value: &Value, expected: &'static str) -> InvalidValue {
    InvalidValue::WrongType {
        value: value.to_string().trim().to_owned(),
        expected,
    }
}

pub(super) fn as_text(value: &Value) -> Result<&str, InvalidValue> {
    value.as_str().ok_or_else(|| wrong_type(value, "a text"))
}

/// A number, with or without a fraction.
#[allow(clippy::cast_precision_loss)]
pub(super) fn as_number(value: &Value) -> Result<f64, InvalidValue> {
    let integer = value.as_integer().map(|n| n as f64);
    value
        .as_float()
        .or(integer)
        .ok_or_else(|| wrong_type(value, "a number"))
}
