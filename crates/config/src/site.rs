//! A site: the settings and names of one deployment.

use serde_json::Value;
use valehatch_policy::Settings;

use crate::error::{KeyProblem, SettingsError};
use crate::flatten::flatten;
use crate::names::{Names, fits_metrics};
use crate::settings::{self, WireSettings};

/// The decision module's settings and the names that go with them.
#[derive(Clone, Debug)]
pub struct Site {
    /// The decision module's settings.
    pub settings: Settings,
    /// How load reports and sessions look on the wire.
    pub wire: WireSettings,
    /// Request classes by name, in the settings' order.
    pub classes: Vec<String>,
    /// Tenants by name, in the settings' order.
    pub tenants: Vec<String>,
    /// Zones by name, in the settings' order.
    pub zones: Vec<String>,
    /// Machine kinds by name, in the settings' order.
    pub kinds: Vec<String>,
    /// A connection attempt that takes longer has failed, in milliseconds.
    pub connect_timeout_ms: u64,
}

impl Site {
    /// From settings text, and the names that go with it.
    ///
    /// # Errors
    /// The key at fault.
    pub fn new(text: &str, names: Names) -> Result<Self, SettingsError> {
        let (settings, wire) = settings::parse(text)?;
        // Keys that the settings' JSON already writes flat bring no names.
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

    /// From the platform's settings as JSON, which must be an object.
    ///
    /// # Errors
    /// The key at fault.
    pub fn from_json(settings: &Value) -> Result<Self, SettingsError> {
        if !settings.is_object() {
            return Err(SettingsError::NotAnObject(settings.to_string()));
        }
        let text = flatten(settings);
        // A fault of a list says more than the fault of its names that follows from it.
        settings::parse(&text)?;
        Self::new(&text, Names::read(settings)?)
    }

    /// Checks that metrics can hold the names of the classes.
    ///
    /// # Errors
    /// The key of the first name that they cannot hold.
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
