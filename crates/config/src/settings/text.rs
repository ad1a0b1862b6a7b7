//! Settings text: lines of the form `key=value`, read by key and checked against bounds.

use std::collections::BTreeMap;
use std::ops::{Bound, RangeInclusive};

use valehatch_policy::Span;

use super::{MAX_SPAN_MS, ms_to_micros};
use crate::error::{KeyProblem, SettingsError};

/// The value of a key that has further keys below it.
const OBJECT: &str = "an object";

/// The values of a settings text, by key.
pub(super) struct SettingsText<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> SettingsText<'a> {
    pub(super) fn parse(source: &'a str) -> Result<Self, SettingsError> {
        let mut lines = BTreeMap::new();
        for line in source.lines() {
            if line.trim().is_empty() {
                continue;
            }
            let Some((key, value)) = line.split_once('=') else {
                return Err(SettingsError::NotAKeyValueLine(line.to_owned()));
            };
            lines.insert(key.trim(), value.trim());
        }
        Ok(Self(lines))
    }

    /// The value of a key. An empty value, which results from a JSON null, counts as missing. A key
    /// that has further keys below it has the value [`OBJECT`], which no check accepts.
    pub(super) fn find(&self, key: &str) -> Option<&'a str> {
        if let Some(value) = self.0.get(key) {
            return Some(*value).filter(|value| !value.is_empty());
        }
        let prefix = format!("{key}.");
        let (next, _) = self
            .0
            .range::<str, _>((Bound::Included(prefix.as_str()), Bound::Unbounded))
            .next()?;
        next.starts_with(&prefix).then_some(OBJECT)
    }

    pub(super) fn get(&self, key: &str) -> Result<&'a str, SettingsError> {
        self.find(key)
            .ok_or_else(|| SettingsError::key(key, KeyProblem::Missing))
    }

    pub(super) fn number(
        &self,
        key: &str,
        bounds: RangeInclusive<f64>,
    ) -> Result<f64, SettingsError> {
        parse_number(key, self.get(key)?, bounds)
    }

    pub(super) fn number_or(
        &self,
        key: &str,
        default: f64,
        bounds: RangeInclusive<f64>,
    ) -> Result<f64, SettingsError> {
        match self.find(key) {
            None => Ok(default),
            Some(text) => parse_number(key, text, bounds),
        }
    }

    /// A whole number, which JSON may write as `3.0`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn integer(
        &self,
        key: &str,
        bounds: RangeInclusive<f64>,
    ) -> Result<u32, SettingsError> {
        let value = self.number(key, bounds)?;
        if value.fract() != 0.0 {
            return Err(SettingsError::key(key, KeyProblem::NotWhole(value)));
        }
        Ok(value as u32)
    }

    /// A duration in milliseconds, from `min_ms` to [`MAX_SPAN_MS`].
    pub(super) fn span(&self, key: &str, min_ms: f64) -> Result<Span, SettingsError> {
        let ms = self.number(key, min_ms..=MAX_SPAN_MS)?;
        Ok(Span(ms_to_micros(ms)))
    }

    pub(super) fn choice<T: Copy>(
        &self,
        key: &str,
        choices: &[(&str, T)],
    ) -> Result<T, SettingsError> {
        parse_choice(key, self.get(key)?, choices)
    }

    pub(super) fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        self.choice(key, &[("true", true), ("false", false)])
    }

    /// An item of a list whose values are joined with commas.
    pub(super) fn item(&self, key: &str, index: usize) -> Result<&'a str, SettingsError> {
        self.get(key)?
            .split(',')
            .nth(index)
            .ok_or_else(|| SettingsError::key(key, KeyProblem::MissingItem(index)))
    }
}

/// Parses a number within bounds; NaN and infinities are never within them.
pub(super) fn parse_number(
    key: &str,
    text: &str,
    bounds: RangeInclusive<f64>,
) -> Result<f64, SettingsError> {
    let number = text.parse().ok().filter(|number| bounds.contains(number));
    number.ok_or_else(|| {
        let problem = KeyProblem::NotANumberWithin {
            value: text.to_owned(),
            min: *bounds.start(),
            max: *bounds.end(),
        };
        SettingsError::key(key, problem)
    })
}

pub(super) fn parse_choice<T: Copy>(
    key: &str,
    text: &str,
    choices: &[(&str, T)],
) -> Result<T, SettingsError> {
    if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text) {
        return Ok(*value);
    }
    let problem = KeyProblem::NotAChoice {
        value: text.to_owned(),
        choices: choices.iter().map(|(name, _)| (*name).to_owned()).collect(),
    };
    Err(SettingsError::key(key, problem))
}
