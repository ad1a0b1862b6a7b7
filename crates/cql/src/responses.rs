//! Encodes responses that the gateway itself sends to clients.

use crate::frame::{Direction, Frame};
use crate::opcodes::{error_code, flag, opcode};

/// Appends a `[string]`. Text that exceeds the range of the length field is truncated at a
/// character boundary.
pub fn put_string(out: &mut Vec<u8>, text: &str) {
    let mut end = text.len().min(usize::from(u16::MAX));
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    out.extend_from_slice(&u16::try_from(end).unwrap_or(0).to_be_bytes());
    out.extend_from_slice(&text.as_bytes()[..end]);
}

/// Encodes an ERROR; `details` are the code-specific fields after the message.
pub fn error(stream_id: i16, code: u32, message: &str, details: &[u8]) -> Vec<u8> {
    let mut body = code.to_be_bytes().to_vec();
    put_string(&mut body, message);
    body.extend_from_slice(details);
    response(stream_id, opcode::ERROR, &body)
}

/// Encodes a response without flags.
pub(crate) fn response(stream_id: i16, opcode: u8, body: &[u8]) -> Vec<u8> {
    Frame::new(Direction::Response, 0, stream_id, opcode, body).into_bytes()
}

/// Encodes the response to OPTIONS.
pub(crate) fn supported(stream_id: i16) -> Vec<u8> {
    let mut body = 3_u16.to_be_bytes().to_vec();
    for (name, values) in [
        ("CQL_VERSION", &["3.0.0"][..]),
        ("COMPRESSION", &[]),
        ("PROTOCOL_VERSIONS", &["4/v4"]),
    ] {
        put_string(&mut body, name);
        body.extend_from_slice(&u16::try_from(values.len()).unwrap_or(0).to_be_bytes());
        for value in values {
            put_string(&mut body, value);
        }
    }
    response(stream_id, opcode::SUPPORTED, &body)
}

/// Encodes a rejection. The time until a retry, in milliseconds, is given in the message and, for
/// programs, in the custom payload. `overloaded` adds to the message that more requests are waiting
/// than can be served by then.
pub fn overloaded(stream_id: i16, retry_after_ms: i64, overloaded: bool) -> Vec<u8> {
    let mut body = 1_u16.to_be_bytes().to_vec();
    put_string(&mut body, "retry-after-ms");
    let value = retry_after_ms.to_string();
    body.extend_from_slice(&u32::try_from(value.len()).unwrap_or(0).to_be_bytes());
    body.extend_from_slice(value.as_bytes());
    body.extend_from_slice(&error_code::OVERLOADED.to_be_bytes());
    let reason = if overloaded {
        "; more wait than can be served by then"
    } else {
        ""
    };
    put_string(
        &mut body,
        &format!("refused, trying again is harmless: retry after {retry_after_ms} ms{reason}"),
    );
    Frame::new(
        Direction::Response,
        flag::PAYLOAD,
        stream_id,
        opcode::ERROR,
        &body,
    )
    .into_bytes()
}
