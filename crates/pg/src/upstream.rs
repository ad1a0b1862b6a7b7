//! The client side of the protocol, towards endpoints.
//!
//! [`PostgresProtocol`] opens sessions, encodes requests and reads responses, with a
//! `ResponseReader` for each attempt. The protocol object itself is stateless.

mod load_report;
mod response;
mod response_stream;
mod streamed_row;

use std::io::BufReader;
use std::net::TcpStream;

use valehatch_core::UpstreamJob;
use valehatch_net::Clock;
use valehatch_net::upstream::{BodyOpener, Protocol, ReceivedReply};
use valehatch_policy::Outcome;

use crate::clients::with_deadline;
use crate::codec::error_response::{CODE_FIELD, error_field, sqlstate};
use crate::codec::framing::{HEADER_BYTES, put_message, read_message};
use crate::codec::message_types::{backend, frontend};
use crate::codec::startup::write_startup;
use response::ResponseReader;
use response_stream::ResponseStream;
use streamed_row::MAX_BUFFERED_VALUE_BYTES;

/// Maximum size in bytes of a response that is buffered: a row with the longest buffered value, its
/// description and its completion. Longer rows are streamed.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = MAX_BUFFERED_VALUE_BYTES + 4 * 1024;
/// Maximum body in bytes of a message from an endpoint. Streamed rows are exempt.
const MAX_MESSAGE_BYTES: usize = MAX_BUFFERED_RESPONSE_BYTES;
/// Maximum bytes of notices and parameters that an endpoint may send with one response or during
/// session startup; nothing else bounds their number.
const MAX_ASYNCHRONOUS_BYTES: usize = 64 * 1024;
/// Size in bytes of the buffer for reading from an endpoint.
const READ_BUFFER_BYTES: usize = 4096;

/// Implements PostgreSQL's protocol towards endpoints.
pub struct PostgresProtocol {
    /// Converts the replication positions that endpoints report.
    pub clock: Clock,
}

/// Outcome of an attempt that an endpoint answered with an error of this SQLSTATE.
fn outcome_of(code: &str) -> Outcome {
    match code {
        sqlstate::READ_ONLY_SQL_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD => Outcome::Misdirected,
        sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

impl Protocol for PostgresProtocol {
    fn open(&self, stream: &TcpStream) -> Result<(), Outcome> {
        write_startup(&mut &*stream).map_err(|_| Outcome::ConnectFailed)?;
        let mut received_bytes = 0;
        while received_bytes <= MAX_ASYNCHRONOUS_BYTES {
            // Unbuffered, since bytes after ReadyForQuery belong to the first response.
            let message = read_message(&mut &*stream, MAX_MESSAGE_BYTES)
                .map_err(|_| Outcome::ConnectFailed)?;
            match message.message_type {
                backend::READY_FOR_QUERY => return Ok(()),
                backend::ERROR_RESPONSE => {
                    let code = error_field(&message.body, CODE_FIELD).unwrap_or_default();
                    return Err(match outcome_of(code) {
                        Outcome::Rejected => Outcome::Rejected,
                        _ => Outcome::ConnectFailed,
                    });
                }
                // Headers are counted too, so that the number of empty messages is bounded.
                _ => received_bytes += message.body.len() + HEADER_BYTES,
            }
        }
        Err(Outcome::ConnectFailed)
    }

    fn request(&self, job: &UpstreamJob, left_ms: i64) -> Vec<u8> {
        let mut out = vec![];
        match job {
            UpstreamJob::Request { payload, .. } => {
                let query = with_deadline(&payload.bytes, left_ms);
                put_message(&mut out, frontend::QUERY, &[&query, b"\0"]);
            }
            UpstreamJob::HealthCheck => {
                put_message(&mut out, frontend::QUERY, &[b"SHOW stats\0"]);
            }
        }
        out
    }

    fn answer(
        &self,
        stream: &TcpStream,
        job: &UpstreamJob,
        open_body: BodyOpener,
    ) -> ReceivedReply {
        let stream = ResponseStream::new(stream);
        let mut buffered = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
        let received = ResponseReader::new(self.clock, job, open_body).read(&mut buffered);
        // Left-over bytes would be mistaken for the start of the next response.
        let is_drained = received.reusable && buffered.buffer().is_empty();
        let is_untimed = buffered.get_ref().clear_timeout().is_ok();
        ReceivedReply {
            reply: received.reply,
            reusable: is_drained && is_untimed,
        }
    }
}
