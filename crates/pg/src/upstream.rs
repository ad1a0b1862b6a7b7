//! The client side of the protocol: endpoints that speak it.
//!
//! [`PostgresProtocol`] opens connections, encodes requests and has responses read by a
//! `ResponseReader`, one for each attempt. It has no state of its own.

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

/// Bytes of the longest message from an endpoint, except for streamed rows: it is buffered whole.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// Bytes of notices and parameters that an endpoint may send with one response or at the start of a
/// session: nothing else bounds their number.
const MAX_ASYNCHRONOUS_BYTES: usize = 64 * 1024;
/// Bytes that are read from an endpoint at once.
const READ_BUFFER_BYTES: usize = 4096;

/// Speaks PostgreSQL's protocol with endpoints.
pub struct PostgresProtocol {
    /// Converts the positions that endpoints report.
    pub clock: Clock,
}

/// The outcome of an attempt that an endpoint answered with this error code.
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
            // Unbuffered: what follows ReadyForQuery belongs to the first response.
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
                // The header counts too: empty messages must not go on for ever.
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
        _sent: &[u8],
        open_body: BodyOpener,
    ) -> ReceivedReply {
        let stream = ResponseStream::new(stream);
        let mut buffered = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
        let received = ResponseReader::new(self.clock, job, open_body).read(&mut buffered);
        // Bytes after the response would be taken for the next one.
        let is_drained = received.reusable && buffered.buffer().is_empty();
        let is_untimed = buffered.get_ref().clear_timeout().is_ok();
        ReceivedReply {
            reply: received.reply,
            reusable: is_drained && is_untimed,
        }
    }
}
