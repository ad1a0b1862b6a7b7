//! How load reports and sessions look on the wire.

use valehatch_policy::{LoadReport, SessionTracking, Time};

use super::ms_to_micros;
use super::text::SettingsText;
use crate::error::{KeyProblem, SettingsError};

/// Bounds of the time at which positions begin to count, in milliseconds.
const MAX_POSITION_ZERO_MS: f64 = 1e15;

/// What a value of a load report means.
#[derive(Clone, Copy, Debug)]
pub enum LoadReportField {
    /// The log position.
    Position,
    /// Whether the endpoint was the primary.
    Primary,
    /// Share of its cores in use.
    Busy,
    /// Nothing that the decision module uses.
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

/// What reading the wire needs beside the decision module's settings.
#[derive(Clone, Debug)]
pub struct WireSettings {
    /// The values of a load report, in their order; empty if there are no reports.
    pub report_fields: Vec<LoadReportField>,
    /// The time at which positions begin to count.
    pub position_zero: Time,
    /// Session reads carry the age of their last write.
    pub client_provided_sessions: bool,
    /// Number of request classes.
    pub classes: usize,
    /// Number of tenants.
    pub tenants: usize,
}

impl WireSettings {
    /// The load report that an endpoint's values make; `None` without values. `position_time` turns
    /// a position in seconds into a time.
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
