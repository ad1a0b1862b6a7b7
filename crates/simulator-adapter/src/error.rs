//! Errors of the adapter. Their messages are written to stderr, except for [`StartError`], which is
//! sent over the wire.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::str::Utf8Error;

use crate::host::InstanceId;

/// Error that ends the adapter before the end of its input.
#[derive(Debug)]
pub(crate) enum AdapterError {
    /// The input ended inside a frame's header.
    HeaderTruncated {
        /// Number of the preceding frame; `None` for the first frame.
        previous_frame: Option<u32>,
        /// Bytes of the header that were received.
        received: usize,
        /// Bytes of a complete header.
        length: usize,
    },
    /// A frame's header could not be read.
    HeaderUnreadable {
        /// Number of the preceding frame; `None` for the first frame.
        previous_frame: Option<u32>,
        /// Error of the read call.
        source: io::Error,
    },
    /// A frame's clock is infinite or NaN.
    ClockNotFinite {
        /// Number of the frame.
        frame: u32,
        /// Clock in the header, in milliseconds.
        clock_ms: f64,
    },
    /// The input ended inside a frame's body.
    BodyTruncated {
        /// Number of the frame.
        frame: u32,
        /// Bytes of the body that were received.
        received: usize,
        /// Length of the body in bytes, as announced in the header.
        length: u32,
    },
    /// A frame's body could not be read.
    BodyUnreadable(io::Error),
    /// A reply could not be written.
    ReplyUnwritable(io::Error),
    /// A record exceeds its frame's body.
    RecordTruncated {
        /// Number of the frame.
        frame: u32,
        /// Offset of the record in the body, in bytes.
        offset: usize,
        /// The code, length or fields, whichever is cut off.
        source: FieldError,
    },
    /// A record is malformed or not allowed at its position.
    Record {
        /// Number of the frame.
        frame: u32,
        /// Offset of the record in the body, in bytes.
        offset: usize,
        /// Code of the record.
        code: u8,
        /// Reason for the rejection.
        source: RecordError,
    },
}

/// Describes the position of a header: first frame, or after `previous_frame`.
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

/// Error in a field. Fields are identified by their names on the wire.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FieldError {
    /// The bytes end before or inside the field.
    Truncated {
        /// Name of the field.
        field: &'static str,
        /// Size of the field in bytes.
        needed: usize,
        /// Number of unread bytes.
        left: usize,
    },
    /// A number is infinite or NaN.
    NotFinite {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
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

/// Error in a record that was framed correctly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RecordError {
    /// A field is truncated or not finite.
    Field(FieldError),
    /// The settings are not UTF-8.
    SettingsNotUtf8(Utf8Error),
    /// The record code is unknown.
    UnknownCode,
    /// The outcome code is unknown.
    UnknownOutcome(u16),
    /// The endpoint state code is unknown.
    UnknownEndpointState(u8),
    /// The update kind code is unknown.
    UnknownUpdateKind(u8),
    /// The record has this many bytes after its last field.
    TrailingBytes(usize),
    /// No endpoint table with this number has been received.
    UnknownTable(u16),
    /// The instance's settings have no such request class.
    UnknownClass {
        /// Class number in the record.
        class: usize,
        /// Number of classes in the settings.
        known: usize,
    },
    /// No earlier record in the frame selected an instance.
    NoInstanceSelected,
    /// The instance is not running.
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
            Self::UnknownUpdateKind(code) => {
                write!(f, "unknown kind of endpoint list update {code}")
            }
            Self::TrailingBytes(count) => write!(f, "{count} bytes after the last field"),
            Self::UnknownTable(number) => write!(f, "no table {number} has been received"),
            Self::UnknownClass { class, known } => {
                write!(
                    f,
                    "class {class} is unknown, the settings have {known} classes"
                )
            }
            Self::NoInstanceSelected => f.write_str("no instance is selected for this record"),
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

/// Error that prevents an instance from starting. The message becomes the instance's crash report.
#[derive(Debug)]
pub(crate) enum StartError {
    /// The settings' text cannot be parsed.
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
