//! Errors of the adapter. Their texts go to stderr; only [`StartError`] goes onto the wire.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::str::Utf8Error;

use crate::host::InstanceId;

/// Why the adapter stops before the end of its input.
#[derive(Debug)]
pub(crate) enum AdapterError {
    /// The input ended inside a frame's header.
    HeaderTruncated {
        /// The frame before it, if there was one.
        previous_frame: Option<u32>,
        /// Bytes of the header that were received.
        received: usize,
        /// Bytes of a header.
        length: usize,
    },
    /// A frame's header could not be read.
    HeaderUnreadable {
        /// The frame before it, if there was one.
        previous_frame: Option<u32>,
        /// Why not.
        source: io::Error,
    },
    /// A frame's clock is infinite or NaN.
    ClockNotFinite {
        /// The frame.
        frame: u32,
        /// The clock, in milliseconds.
        clock_ms: f64,
    },
    /// The input ended inside a frame's body.
    BodyTruncated {
        /// The frame.
        frame: u32,
        /// Bytes of the body that were received.
        received: usize,
        /// Bytes of the body, as its header announced.
        length: u32,
    },
    /// A frame's body could not be read.
    BodyUnreadable(io::Error),
    /// A reply could not be written.
    ReplyUnwritable(io::Error),
    /// A record does not fit into its frame's body.
    RecordTruncated {
        /// The frame.
        frame: u32,
        /// Where the record begins, in bytes from the start of the body.
        offset: usize,
        /// The part of the record that does not fit.
        source: FieldError,
    },
    /// A record is malformed or not allowed where it stands.
    Record {
        /// The frame.
        frame: u32,
        /// Where the record begins, in bytes from the start of the body.
        offset: usize,
        /// The record's code.
        code: u8,
        /// What is at fault.
        source: RecordError,
    },
}

/// Writes which header is meant: the first frame's, or the one after `previous_frame`.
fn write_header_place(f: &mut Formatter<'_>, previous_frame: Option<u32>) -> fmt::Result {
    match previous_frame {
        None => f.write_str("header of the first frame"),
        Some(frame) => write!(f, "header after frame {frame}"),
    }
}

impl Display for AdapterError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::HeaderTruncated {
                previous_frame,
                received,
                length,
            } => {
                write_header_place(f, *previous_frame)?;
                write!(f, ": the input ended after {received} of {length} bytes")
            }
            Self::HeaderUnreadable {
                previous_frame,
                source,
            } => {
                write_header_place(f, *previous_frame)?;
                write!(f, ": {source}")
            }
            Self::ClockNotFinite { frame, clock_ms } => {
                write!(f, "frame {frame}: clock is {clock_ms}")
            }
            Self::BodyTruncated {
                frame,
                received,
                length,
            } => write!(
                f,
                "frame {frame}: the input ended after {received} of {length} bytes of its body"
            ),
            Self::BodyUnreadable(source) | Self::ReplyUnwritable(source) => source.fmt(f),
            Self::RecordTruncated {
                frame,
                offset,
                source,
            } => write!(f, "frame {frame}, record at byte {offset}: {source}"),
            Self::Record {
                frame,
                offset,
                code,
                source,
            } => write!(
                f,
                "frame {frame}, record at byte {offset} (code {code}): {source}"
            ),
        }
    }
}

impl Error for AdapterError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::HeaderTruncated { .. }
            | Self::ClockNotFinite { .. }
            | Self::BodyTruncated { .. } => None,
            Self::HeaderUnreadable { source, .. }
            | Self::BodyUnreadable(source)
            | Self::ReplyUnwritable(source) => Some(source),
            Self::RecordTruncated { source, .. } => Some(source),
            Self::Record { source, .. } => Some(source),
        }
    }
}

/// Why a field cannot be read. Fields have their names of the wire.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FieldError {
    /// The bytes end inside the field.
    Truncated {
        /// The field.
        field: &'static str,
        /// Bytes of the field.
        needed: usize,
        /// Bytes that are left.
        left: usize,
    },
    /// A number is infinite or NaN.
    NotFinite {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
}

impl Display for FieldError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated {
                field,
                needed,
                left,
            } => write!(f, "{field} needs {needed} bytes, {left} are left"),
            Self::NotFinite { field, value } => write!(f, "{field} is {value}"),
        }
    }
}

impl Error for FieldError {}

/// Why a record cannot be taken in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RecordError {
    /// A field cannot be read.
    Field(FieldError),
    /// The settings are not UTF-8.
    SettingsNotUtf8(Utf8Error),
    /// No record has this code.
    UnknownCode,
    /// No outcome has this code.
    UnknownOutcome(u16),
    /// No endpoint state has this code.
    UnknownEndpointState(u8),
    /// No kind of endpoint list update has this code.
    UnknownUpdateKind(u8),
    /// The record continues after its last field, by this many bytes.
    TrailingBytes(usize),
    /// No endpoint table with this number has been received.
    UnknownTable(u16),
    /// The instance's settings have no such request class.
    UnknownClass {
        /// The class.
        class: usize,
        /// How many classes the settings have.
        known: usize,
    },
    /// No record before it in the frame selected an instance.
    NoInstanceSelected,
    /// The instance does not run.
    NotAttached(InstanceId),
}

impl Display for RecordError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Field(source) => source.fmt(f),
            Self::SettingsNotUtf8(source) => write!(f, "settings: {source}"),
            Self::UnknownCode => f.write_str("unknown code"),
            Self::UnknownOutcome(code) => write!(f, "unknown outcome {code}"),
            Self::UnknownEndpointState(code) => write!(f, "unknown stage-state {code}"),
            Self::UnknownUpdateKind(code) => write!(f, "unknown kind of list {code}"),
            Self::TrailingBytes(count) => write!(f, "{count} bytes too many"),
            Self::UnknownTable(number) => write!(f, "no table {number} was sent"),
            Self::UnknownClass { class, known } => {
                write!(f, "class {class} is not among the {known} known")
            }
            Self::NoInstanceSelected => f.write_str("no instance was named before it"),
            Self::NotAttached(InstanceId(instance)) => {
                write!(f, "instance {instance} was never attached")
            }
        }
    }
}

impl Error for RecordError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Field(source) => Some(source),
            Self::SettingsNotUtf8(source) => Some(source),
            _ => None,
        }
    }
}

impl From<FieldError> for RecordError {
    fn from(error: FieldError) -> Self {
        Self::Field(error)
    }
}

/// Why an instance does not start. Its text is the instance's crash report.
#[derive(Debug)]
pub(crate) enum StartError {
    /// The settings' text is at fault.
    Text(valehatch_config::SettingsError),
    /// The decision module rejects the settings.
    Settings(valehatch_policy::SettingsError),
}

impl Display for StartError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(source) => source.fmt(f),
            Self::Settings(source) => source.fmt(f),
        }
    }
}

impl Error for StartError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Text(source) => Some(source),
            Self::Settings(source) => Some(source),
        }
    }
}
