//! The form of load reports and sessions on the wire.

use valehatch_policy::{LoadReport, SessionTracking, Time};

use super::ms_to_micros;
use super::text::SettingsText;
use crate::error::{KeyProblem, SettingsError};

/// Largest distance of position zero from time 0, in milliseconds.
const MAX_POSITION_ZERO_MS: f64 = 1e15;

/// The meaning of a value in a load report.
#[derive(Clone, Copy, Debug)]
pub enum LoadReportField {
    /// The log position of the endpoint, in seconds.
    Position,
    /// Whether the endpoint was the primary: a value above 0.
    Primary,
    /// Share of the endpoint's cores in use.
    Busy,
    /// A value that the decision module does not use.
    Other,
}

impl LoadReportField {
    fn from_name(name: &str) -> Self {
        match name {
            "x0" => Self::Position,
            "x1" => Self::Primary,
            "busy" => Self::Busy,
            _ => Self::Other,
        }
    }
}

/// Settings that are needed to parse messages, in addition to those of the decision module.
#[derive(Clone, Debug)]
pub struct WireSettings {
    /// The meaning of each value of a load report, in order; empty if endpoints send no reports.
    pub report_fields: Vec<LoadReportField>,
    /// The time of log position 0.
    pub position_zero: Time,
    /// Whether session reads carry the age of the session's last write.
    pub client_provided_sessions: bool,
    /// Number of request classes.
    pub classes: usize,
    /// Number of tenants.
    pub tenants: usize,
}

impl WireSettings {
    /// Creates a load report from the values that an endpoint sent; `None` if there are no values.
    /// `position_time` converts a position in seconds to a time.
    pub fn report(
        &self,
        values: &[f64],
        position_time: impl Fn(f64) -> Time,
    ) -> Option<LoadReport> {
        if values.is_empty() {
            return None;
        }
        let mut report = LoadReport::default();
        for (field, value) in self.report_fields.iter().zip(values) {
            match field {
                LoadReportField::Position => report.position = Some(position_time(*value)),
                LoadReportField::Primary => report.primary = Some(*value > 0.0),
                LoadReportField::Busy => report.busy = Some(*value),
                LoadReportField::Other => {}
            }
        }
        Some(report)
    }
}

/// Whether endpoints send load reports.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LoadReports {
    Sent,
    NotSent,
}

pub(super) fn parse(
    text: &SettingsText<'_>,
    sessions: SessionTracking,
    classes: usize,
    tenants: usize,
) -> Result<WireSettings, SettingsError> {
    let report_fields = parse_fields(text)?;
    let zero_ms = text.number(
        "family-info.position-zero-ms",
        -MAX_POSITION_ZERO_MS..=MAX_POSITION_ZERO_MS,
    )?;
    Ok(WireSettings {
        report_fields,
        position_zero: Time(ms_to_micros(zero_ms)),
        client_provided_sessions: sessions == SessionTracking::ClientProvided,
        classes,
        tenants,
    })
}

fn parse_fields(text: &SettingsText<'_>) -> Result<Vec<LoadReportField>, SettingsError> {
    let sources = [
        ("off", LoadReports::NotSent),
        ("inline", LoadReports::Sent),
        ("on_probe", LoadReports::Sent),
    ];
    if text.choice("telemetry.source", &sources)? == LoadReports::NotSent {
        return Ok(vec![]);
    }
    let key = "telemetry.fields";
    let mut report_fields = vec![];
    for name in text.get(key)?.split(',') {
        if !is_value_name(name) {
            let problem = KeyProblem::NotAValueName(name.to_owned());
            return Err(SettingsError::key(key, problem));
        }
        report_fields.push(LoadReportField::from_name(name));
    }
    Ok(report_fields)
}

fn is_value_name(name: &str) -> bool {
    name.starts_with(char::is_alphabetic) && name.chars().all(|c| c.is_alphanumeric() || c == '_')
}
