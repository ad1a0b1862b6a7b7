//! ErrorResponse: its fields, and the error codes (SQLSTATE) that the gateway sends or
//! distinguishes.

use super::framing::put_message;
use super::message_types::backend;

/// Type of the field with the error code.
pub(crate) const CODE_FIELD: u8 = b'C';
/// Type of the field with the message.
pub(crate) const MESSAGE_FIELD: u8 = b'M';

/// Error codes of PostgreSQL.
pub(crate) mod sqlstate {
    pub(crate) const PROTOCOL_VIOLATION: &str = "08P01";
    pub(crate) const FEATURE_NOT_SUPPORTED: &str = "0A000";
    pub(crate) const READ_ONLY_SQL_TRANSACTION: &str = "25006";
    pub(crate) const SYNTAX_ERROR: &str = "42601";
    pub(crate) const DUPLICATE_OBJECT: &str = "42710";
    pub(crate) const TOO_MANY_CONNECTIONS: &str = "53300";
    pub(crate) const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
    pub(crate) const QUERY_CANCELED: &str = "57014";
    pub(crate) const CANNOT_CONNECT_NOW: &str = "57P03";
    pub(crate) const SYSTEM_ERROR: &str = "58000";
    pub(crate) const SNAPSHOT_TOO_OLD: &str = "72000";
}

/// Whether an error ends the query or the connection.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Severity {
    /// Ends the query; the session continues.
    Error,
    /// Ends the connection.
    Fatal,
}

impl Severity {
    const fn name(self) -> &'static str {
        match self {
            Self::Error => "ERROR",
            Self::Fatal => "FATAL",
        }
    }
}

/// An ErrorResponse to send.
pub(crate) struct ErrorResponse<'a> {
    pub severity: Severity,
    /// SQLSTATE, five characters.
    pub code: &'a str,
    pub message: &'a str,
    /// For a rejected request, the time until a retry in milliseconds.
    pub detail: Option<&'a str>,
}

impl ErrorResponse<'_> {
    /// Appends the encoded ErrorResponse to `out`.
    pub(crate) fn put(&self, out: &mut Vec<u8>) {
        let severity = self.severity.name();
        let Self { code, message, .. } = self;
        let mut fields = format!("S{severity}\0V{severity}\0C{code}\0M{message}\0");
        if let Some(detail) = self.detail {
            fields.push_str(&format!("D{detail}\0"));
        }
        let parts: [&[u8]; 2] = [fields.as_bytes(), b"\0"];
        put_message(out, backend::ERROR_RESPONSE, &parts);
    }
}

/// Returns a field of an ErrorResponse or NoticeResponse; `None` if the field is missing or the
/// body is malformed.
pub(crate) fn error_field(body: &[u8], name: u8) -> Option<&str> {
    let fields = body.strip_suffix(b"\0\0")?;
    let field = fields
        .split(|byte| *byte == 0)
        .find(|field| field.first() == Some(&name))?;
    std::str::from_utf8(&field[1..]).ok()
}
