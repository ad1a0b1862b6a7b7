//! A site: the settings and names of one deployment.

use serde_json::Value;
use valehatch_policy::Settings;

use crate::error::{KeyProblem, SettingsError};
use crate::flatten::flatten;
use crate::names::{Names, fits_metrics};
use crate::settings::{self, WireSettings};

/// The settings of a deployment, and the names of its classes, tenants, zones and machine kinds.
#[derive(Clone, Debug)]
pub struct Site {
    /// The decision module's settings.
    pub settings: Settings,
    /// The form of load reports and sessions on the wire.
    pub wire: WireSettings,
    /// Names of the request classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Names of the machine kinds, in the order of the settings.
    pub kinds: Vec<String>,
    /// Time-out of a connection attempt, in milliseconds.
    pub connect_timeout_ms: u64,
}

impl Site {
    /// Creates a site from settings text and its names.
    ///
    /// # Errors
    /// The key at fault.
    pub fn new(text: &str, names: Names) -> Result<Self, SettingsError> {
        let (settings, wire) = settings::parse(text)?;
        // If the JSON has keys in flat form, there are items without names.
        check_count("classes", &names.classes, wire.classes)?;
        check_count("tenants", &names.tenants, wire.tenants)?;
        let zone = usize::from(settings.zone.0);
        let zones = names.zones.len();
        if zones > 0 && zone >= zones {
            return Err(SettingsError::key(
                "zone",
                KeyProblem::NoSuchZone { zone, zones },
            ));
        }
        let connect_timeout_ms = settings::connect_timeout_ms(text)?;
        Ok(Self {
            settings,
            wire,
            classes: names.classes,
            tenants: names.tenants,
            zones: names.zones,
            kinds: names.kinds,
            connect_timeout_ms,
        })
    }

    /// Creates a site from the platform's settings as JSON, which must be an object.
    ///
    /// # Errors
    /// The key at fault.
    pub fn from_json(settings: &Value) -> Result<Self, SettingsError> {
        if !settings.is_object() {
            return Err(SettingsError::NotAnObject(settings.to_string()));
        }
        let text = flatten(settings);
        // The settings are parsed first: a fault of a list is more specific than the fault of its
        // names that results from it.
        settings::parse(&text)?;
        Self::new(&text, Names::read(settings)?)
    }

    /// Checks that the names of the classes can occur in metrics.
    ///
    /// # Errors
    /// The key of the first name that cannot.
    pub fn validate_metric_names(&self) -> Result<(), SettingsError> {
        for (n, name) in self.classes.iter().enumerate() {
            if !fits_metrics(name) {
                return Err(SettingsError::key(
                    format!("classes.{n}.name"),
                    KeyProblem::UnusableInMetrics(name.clone()),
                ));
            }
        }
        Ok(())
    }
}

fn check_count(list: &str, names: &[String], items: usize) -> Result<(), SettingsError> {
    if names.len() == items {
        return Ok(());
    }
    let names = names.len();
    Err(SettingsError::key(
        list,
        KeyProblem::NameCount { names, items },
    ))
}
