//! Session startup: the client's first message, the reply to it, and the startup message for
//! endpoints.

use std::io::{self, Write};

use super::framing::{FramingError, LENGTH_BYTES, put_message, untyped_length};
use super::message_types::backend;
use super::put_ready_for_query;

/// Maximum size of a startup message in bytes; the same limit as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Request codes, sent in place of a protocol version, of messages that do not start a session.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSSAPI_REQUEST_CODE: u32 = 80_877_104;
/// Supported major version of the protocol; it is the upper half of the version field.
const MAJOR_VERSION: u32 = 3;

/// The first message of a connection.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FirstMessage {
    /// Opens a session with a supported protocol version.
    Startup,
    /// Requests encryption by TLS or GSSAPI; the reply `N` declines it.
    EncryptionRequest,
    /// Requests cancellation of a query on another connection. The gateway issues no valid cancel
    /// keys, so the request cannot name a query.
    CancelRequest,
    /// Requests a session with this unsupported protocol version.
    UnsupportedVersion(u32),
}

/// Length of the first message of a connection, or of the next one after encryption was declined.
/// `None` if too little of it has been received.
pub(crate) fn first_message_length(received: &[u8]) -> Result<Option<usize>, FramingError> {
    untyped_length(received, MAX_STARTUP_BYTES)
}

/// Decodes a whole first message.
pub(crate) fn decode_first_message(message: &[u8]) -> Result<FirstMessage, FramingError> {
    let code = message.get(LENGTH_BYTES..).and_then(<[u8]>::first_chunk);
    let Some(code) = code else {
        return Err(FramingError::MissingVersion);
    };
    Ok(match u32::from_be_bytes(*code) {
        SSL_REQUEST_CODE | GSSAPI_REQUEST_CODE => FirstMessage::EncryptionRequest,
        CANCEL_REQUEST_CODE => FirstMessage::CancelRequest,
        version if version >> 16 == MAJOR_VERSION => FirstMessage::Startup,
        version => FirstMessage::UnsupportedVersion(version),
    })
}

/// Encodes the reply to a startup message, up to the first ReadyForQuery.
pub(crate) fn startup_reply() -> Vec<u8> {
    let mut out = vec![];
    let authentication_ok = 0_u32.to_be_bytes();
    put_message(&mut out, backend::AUTHENTICATION, &[&authentication_ok]);
    put_parameter_status(&mut out, "server_version", "15.0");
    put_parameter_status(&mut out, "server_encoding", "UTF8");
    out.extend_from_slice(&encoding_status());
    put_message(&mut out, backend::BACKEND_KEY_DATA, &[&[0; 8]]);
    put_ready_for_query(&mut out);
    out
}

/// Encodes the status of the client's encoding, which never changes. Clients expect a status at any
/// time.
pub(crate) fn encoding_status() -> Vec<u8> {
    let mut out = vec![];
    put_parameter_status(&mut out, "client_encoding", "UTF8");
    out
}

fn put_parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    let parts: [&[u8]; 4] = [name.as_bytes(), b"\0", value.as_bytes(), b"\0"];
    put_message(out, backend::PARAMETER_STATUS, &parts);
}

/// Writes the startup message of a session with an endpoint.
pub(crate) fn write_startup(writer: &mut impl Write) -> io::Result<()> {
    let parameters = b"user\0worker\0database\0catalog\0\0";
    let length = (8 + parameters.len()) as u32;
    let mut out = length.to_be_bytes().to_vec();
    out.extend_from_slice(&(MAJOR_VERSION << 16).to_be_bytes());
    out.extend_from_slice(parameters);
    writer.write_all(&out)
}
