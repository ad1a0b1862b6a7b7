//! Encodes requests that the gateway itself sends to endpoints.

use crate::frame::{Direction, Frame};
use crate::opcodes::opcode;
use crate::responses::put_string;

/// Encodes an OPTIONS request, which every endpoint answers at once.
pub fn heartbeat() -> Frame {
    request(opcode::OPTIONS, &[])
}

/// Encodes a STARTUP request, which opens a session.
pub fn startup() -> Frame {
    let mut body = 1_u16.to_be_bytes().to_vec();
    put_string(&mut body, "CQL_VERSION");
    put_string(&mut body, "3.0.0");
    request(opcode::STARTUP, &body)
}

/// Encodes a PREPARE request for a statement.
pub(crate) fn prepare(statement: &str) -> Frame {
    let length = u32::try_from(statement.len()).unwrap_or(0);
    let mut body = length.to_be_bytes().to_vec();
    body.extend_from_slice(statement.as_bytes());
    request(opcode::PREPARE, &body)
}

/// Encodes a request with stream id 0; the sender replaces the id.
fn request(opcode: u8, body: &[u8]) -> Frame {
    Frame::new(Direction::Request, 0, 0, opcode, body)
}
