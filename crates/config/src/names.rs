//! Names that clients and discovery use, for classes, tenants, zones and machine kinds.

use std::error::Error;
use std::fmt;

use serde_json::Value;
use valehatch_policy::EndpointId;

use crate::error::{KeyProblem, SettingsError};

/// The id of an endpoint, derived from its name alone, so that it is the same at every gateway and
/// does not depend on the rest of the endpoint list. A name whose last part (parts are separated by
/// `-`) is eight hexadecimal digits has these digits as its id, any other name its FNV-1a hash.
#[must_use]
pub fn endpoint_id(name: &str) -> EndpointId {
    const FNV_OFFSET_BASIS: u32 = 2_166_136_261;
    const FNV_PRIME: u32 = 16_777_619;
    let digits = name.rsplit('-').next().filter(|part| part.len() == 8);
    if let Some(id) = digits.and_then(|digits| u32::from_str_radix(digits, 16).ok()) {
        return EndpointId(id);
    }
    let mut hash = FNV_OFFSET_BASIS;
    for byte in name.bytes() {
        hash = (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
    }
    EndpointId(hash)
}

/// A name that cannot occur in a request comment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusableName(pub String);

impl fmt::Display for UnusableName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "is {:?}, which cannot occur in a request comment: empty, with a space around it, or with ',', '*/' or a control character",
            self.0
        )
    }
}

impl Error for UnusableName {}

/// Checks that a name can occur in a request comment, where a comma ends a name, `*/` ends the
/// comment, and space around a name is ignored.
///
/// # Errors
/// The name, if it cannot occur there.
pub fn validate_request_name(name: &str) -> Result<(), UnusableName> {
    let trimmed = name.trim() == name;
    let ends_comment = name.contains(',') || name.contains("*/");
    let has_control = name.contains(char::is_control);
    if name.is_empty() || !trimmed || ends_comment || has_control {
        return Err(UnusableName(name.to_owned()));
    }
    Ok(())
}

/// Whether a name can occur in metrics, where `:` ends a name and `|` ends a value.
pub(crate) fn fits_metrics(name: &str) -> bool {
    !name.contains([':', '|'])
}

/// The names of a deployment; each list is in the order of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

impl Names {
    /// Reads names from the settings as JSON, since settings text does not keep them unchanged.
    ///
    /// # Errors
    /// The key of a name that is missing, not a text, used twice, or cannot occur in a request.
    pub(crate) fn read(settings: &Value) -> Result<Self, SettingsError> {
        Ok(Self {
            classes: item_names(settings, "classes")?,
            tenants: item_names(settings, "tenants")?,
            zones: listed_names(settings, "areas")?,
            kinds: listed_names(settings, "skus")?,
        })
    }
}

/// The names of a list of objects. Each object must have a name; the order of the list numbers
/// them.
fn item_names(settings: &Value, list: &str) -> Result<Vec<String>, SettingsError> {
    let items = settings
        .get(list)
        .and_then(Value::as_array)
        .map_or(&[][..], Vec::as_slice);
    let mut names: Vec<String> = vec![];
    for (n, item) in items.iter().enumerate() {
        let name = item_name(item, &names, list)
            .map_err(|problem| SettingsError::key(format!("{list}.{n}.name"), problem))?;
        names.push(name);
    }
    Ok(names)
}

fn item_name(item: &Value, earlier: &[String], list: &str) -> Result<String, KeyProblem> {
    let name = match item.get("name") {
        None | Some(Value::Null) => return Err(KeyProblem::Missing),
        Some(Value::String(name)) => name,
        Some(other) => return Err(KeyProblem::NotAText(other.to_string())),
    };
    validate_request_name(name).map_err(KeyProblem::Unusable)?;
    if let Some(other) = earlier.iter().position(|known| known == name) {
        return Err(KeyProblem::DuplicateOf {
            name: name.clone(),
            other: format!("{list}.{other}.name"),
        });
    }
    Ok(name.clone())
}

/// A list of names that only discovery uses; it may be missing. The names have 8-bit numbers, the
/// last of which is reserved for names that are not listed.
fn listed_names(settings: &Value, list: &str) -> Result<Vec<String>, SettingsError> {
    let value = settings.get(list).unwrap_or(&Value::Null);
    if value.is_null() {
        return Ok(vec![]);
    }
    let fault = |problem| SettingsError::key(list, problem);
    let items: Option<Vec<&str>> = value
        .as_array()
        .and_then(|items| items.iter().map(Value::as_str).collect());
    let Some(items) = items else {
        return Err(fault(KeyProblem::NotAListOfNames(value.to_string())));
    };
    if items.len() >= usize::from(u8::MAX) {
        return Err(fault(KeyProblem::TooManyNames(items.len())));
    }
    for (n, name) in items.iter().enumerate() {
        if items[..n].contains(name) {
            return Err(fault(KeyProblem::RepeatedName((*name).to_owned())));
        }
    }
    Ok(items.into_iter().map(str::to_owned).collect())
}
