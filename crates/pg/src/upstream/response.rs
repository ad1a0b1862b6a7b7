//! Reads the response to one query, up to ReadyForQuery.
//!
//! [`ResponseReader`] tracks the progress of the response and keeps the messages for the client. A
//! response that violates the protocol counts as an error, since the query may have run, and its
//! connection is not reused. Memory is bounded by [`MAX_BUFFERED_RESPONSE_BYTES`] for the client's
//! messages, which was reserved before the query was sent, and by one parameter.

use std::fmt;
use std::io::{self, BufReader, ErrorKind, Read};
use std::sync::Arc;

use valehatch_core::{UpstreamJob, UpstreamReply};
use valehatch_net::Clock;
use valehatch_net::clients::ResponseBody;
use valehatch_net::upstream::{BodyOpener, ReceivedReply};
use valehatch_policy::{Outcome, Role};

use super::load_report::{parse_load_report, position_from_unix_ms};
use super::response_stream::ResponseStream;
use super::streamed_row::{StreamedRowError, is_streamed, stream_row};
use super::{MAX_ASYNCHRONOUS_BYTES, MAX_BUFFERED_RESPONSE_BYTES, MAX_MESSAGE_BYTES, outcome_of};
use crate::codec::error_response::{CODE_FIELD, error_field};
use crate::codec::framing::{
    HEADER_BYTES, Message, MessageHeader, header, put_message, read_body, read_header,
};
use crate::codec::message_types::backend;
use crate::codec::rows::{describes_one_column, only_column};
use crate::codec::strings::{command_tag, parameter_status};
use crate::codec::{READY_FOR_QUERY_BYTES, put_ready_for_query};

/// Maximum size of a row in bytes; values have up to 4 MiB.
const MAX_ROW_BYTES: usize = 16 * 1024 * 1024;
/// Length of an error code (SQLSTATE) in bytes.
const SQLSTATE_BYTES: usize = 5;
/// Size in bytes of the messages that follow a row: CommandComplete and ReadyForQuery.
const COMPLETION_BYTES: usize = 32 + READY_FOR_QUERY_BYTES;
/// Body of a ReadyForQuery outside of a transaction.
const IDLE: &[u8] = b"I";

/// Progress of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Neither a RowDescription nor an error has been received.
    Start,
    /// A RowDescription of one column has been received.
    Described,
    /// The only row has been received.
    RowReceived,
    /// CommandComplete has been received: the response is valid even if the connection fails now.
    Complete,
    /// An ErrorResponse has been received: it is valid even if the connection fails now.
    Failed,
}

/// Reasons why a response was not read to its end.
#[derive(Debug)]
enum ResponseError {
    /// The connection was closed before ReadyForQuery.
    Disconnected,
    /// A message could not be read, or the connection stalled.
    Unreadable(io::Error),
    /// The messages for the client exceed [`MAX_BUFFERED_RESPONSE_BYTES`].
    TooLong,
    /// Notices and parameters exceed [`MAX_ASYNCHRONOUS_BYTES`].
    TooManyAsynchronousBytes,
    /// A message of this type is not valid at this point of the response.
    UnexpectedMessage(u8),
    /// A row does not consist of exactly one non-null column.
    MalformedRow,
    /// An ErrorResponse has no valid SQLSTATE.
    MalformedError,
    /// A ParameterStatus does not consist of a name and a value.
    MalformedParameter,
    /// A row was not streamed completely.
    StreamedRow(StreamedRowError),
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disconnected => f.write_str("connection closed before ReadyForQuery"),
            Self::Unreadable(error) => write!(f, "cannot read a message: {error}"),
            Self::TooLong => f.write_str("response is too long to be buffered"),
            Self::TooManyAsynchronousBytes => f.write_str("too many notices and parameters"),
            Self::UnexpectedMessage(message_type) => {
                write!(f, "unexpected message of type {message_type:#04x}")
            }
            Self::MalformedRow => f.write_str("row does not have exactly one non-null column"),
            Self::MalformedError => f.write_str("ErrorResponse without a valid SQLSTATE"),
            Self::MalformedParameter => f.write_str("malformed ParameterStatus"),
            Self::StreamedRow(error) => write!(f, "streamed row incomplete: {error}"),
        }
    }
}

impl std::error::Error for ResponseError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Unreadable(error) => Some(error),
            Self::StreamedRow(error) => Some(error),
            _ => None,
        }
    }
}

impl From<io::Error> for ResponseError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset => Self::Disconnected,
            _ => Self::Unreadable(error),
        }
    }
}

/// Reads one response.
pub(super) struct ResponseReader<'a> {
    clock: Clock,
    job: &'a UpstreamJob,
    open_body: BodyOpener<'a>,
    phase: Phase,
    reply: UpstreamReply,
    /// Messages for the client that have not been streamed.
    client_messages: Vec<u8>,
    /// Value of the row that answers a health check.
    health_check_row: Option<Vec<u8>>,
    /// The client's response, once a row has been streamed to it.
    streamed: Option<Arc<ResponseBody>>,
    /// Bytes of notices and parameters received so far.
    asynchronous_bytes: usize,
}

impl<'a> ResponseReader<'a> {
    pub(super) fn new(clock: Clock, job: &'a UpstreamJob, open_body: BodyOpener<'a>) -> Self {
        Self {
            clock,
            job,
            open_body,
            phase: Phase::Start,
            reply: UpstreamReply::without_details(Outcome::Reset),
            client_messages: vec![],
            health_check_row: None,
            streamed: None,
            asynchronous_bytes: 0,
        }
    }

    /// Reads messages up to ReadyForQuery. The connection is reusable only if ReadyForQuery was
    /// received.
    pub(super) fn read(mut self, reader: &mut BufReader<ResponseStream>) -> ReceivedReply {
        let failed = |outcome| ReceivedReply {
            reply: UpstreamReply::without_details(outcome),
            reusable: false,
        };
        match self.read_messages(reader) {
            Ok(()) => ReceivedReply {
                reply: self.into_reply(),
                reusable: true,
            },
            // A complete response or an error is valid although ReadyForQuery is missing; an
            // incomplete response is not.
            Err(ResponseError::Disconnected) => ReceivedReply {
                reply: self.into_reply(),
                reusable: false,
            },
            Err(error) => {
                tracing::warn!(%error, "response from endpoint discarded");
                match error {
                    ResponseError::StreamedRow(error) => failed(error.outcome()),
                    _ => failed(Outcome::Error),
                }
            }
        }
    }

    fn read_messages(
        &mut self,
        reader: &mut BufReader<ResponseStream>,
    ) -> Result<(), ResponseError> {
        loop {
            let header = read_header(reader, MAX_ROW_BYTES)?;
            if self.is_streamed_row(&header) {
                self.stream_row(reader, header.body_length)?;
                continue;
            }
            if header.message_type == backend::DATA_ROW && self.phase == Phase::Described {
                self.read_row(reader, header.body_length)?;
                continue;
            }
            let message = Message {
                message_type: header.message_type,
                body: read_body(reader, header.body_length, MAX_MESSAGE_BYTES)?,
            };
            if self.is_ready(&message) {
                return Ok(());
            }
            self.on_message(&message)?;
        }
    }

    const fn is_streamed_row(&self, header: &MessageHeader) -> bool {
        header.message_type == backend::DATA_ROW
            && is_streamed(header.body_length)
            && matches!(self.job, UpstreamJob::Request { .. })
    }

    fn is_ready(&self, message: &Message) -> bool {
        message.message_type == backend::READY_FOR_QUERY
            && message.body == IDLE
            && matches!(self.phase, Phase::Complete | Phase::Failed)
    }

    /// Streams a row to the client, preceded by the messages kept so far.
    fn stream_row(
        &mut self,
        reader: &mut BufReader<ResponseStream>,
        body_length: usize,
    ) -> Result<(), ResponseError> {
        if self.phase != Phase::Described {
            return Err(ResponseError::UnexpectedMessage(backend::DATA_ROW));
        }
        let preceding = std::mem::take(&mut self.client_messages);
        let streamed = stream_row(reader, &preceding, body_length, self.open_body)
            .map_err(ResponseError::StreamedRow)?;
        self.streamed = Some(streamed);
        self.phase = Phase::RowReceived;
        Ok(())
    }

    fn on_message(&mut self, message: &Message) -> Result<(), ResponseError> {
        let Message { message_type, body } = message;
        match (*message_type, self.phase) {
            (backend::NOTICE_RESPONSE, _) => self.count_asynchronous(body),
            (backend::PARAMETER_STATUS, _) => {
                self.count_asynchronous(body)?;
                self.on_parameter_status(body)
            }
            (backend::ROW_DESCRIPTION, Phase::Start) if describes_one_column(body) => {
                self.phase = Phase::Described;
                self.keep_for_client(message)
            }
            (backend::COMMAND_COMPLETE, Phase::RowReceived) if self.matches_job(body) => {
                self.phase = Phase::Complete;
                self.keep_for_client(message)
            }
            (backend::ERROR_RESPONSE, Phase::Start | Phase::Described | Phase::RowReceived) => {
                self.on_error(message)
            }
            (unexpected, _) => Err(ResponseError::UnexpectedMessage(unexpected)),
        }
    }

    fn keep_for_client(&mut self, message: &Message) -> Result<(), ResponseError> {
        self.reserve_for_client(message.body.len())?;
        let out = &mut self.client_messages;
        put_message(out, message.message_type, &[&message.body]);
        Ok(())
    }

    /// Makes room for one more message, and for what follows it: a vector that grows by itself
    /// would double its capacity.
    fn reserve_for_client(&mut self, body_length: usize) -> Result<(), ResponseError> {
        let message_bytes = HEADER_BYTES + body_length;
        if self.client_messages.len() + message_bytes > MAX_BUFFERED_RESPONSE_BYTES {
            return Err(ResponseError::TooLong);
        }
        self.client_messages
            .reserve_exact(message_bytes + COMPLETION_BYTES);
        Ok(())
    }

    const fn count_asynchronous(&mut self, body: &[u8]) -> Result<(), ResponseError> {
        self.asynchronous_bytes += body.len() + HEADER_BYTES;
        if self.asynchronous_bytes > MAX_ASYNCHRONOUS_BYTES {
            return Err(ResponseError::TooManyAsynchronousBytes);
        }
        Ok(())
    }

    /// Reads a row into the messages for the client.
    fn read_row(
        &mut self,
        reader: &mut BufReader<ResponseStream>,
        body_length: usize,
    ) -> Result<(), ResponseError> {
        self.reserve_for_client(body_length)?;
        let out = &mut self.client_messages;
        out.extend_from_slice(&header(backend::DATA_ROW, body_length));
        let begin = out.len();
        out.resize(begin + body_length, 0);
        reader.read_exact(&mut out[begin..])?;
        let value = only_column(&out[begin..]).ok_or(ResponseError::MalformedRow)?;
        if matches!(self.job, UpstreamJob::HealthCheck) {
            self.health_check_row = Some(value.to_vec());
        }
        self.phase = Phase::RowReceived;
        Ok(())
    }

    fn on_error(&mut self, message: &Message) -> Result<(), ResponseError> {
        let code = error_field(&message.body, CODE_FIELD)
            .filter(|code| code.len() == SQLSTATE_BYTES)
            .ok_or(ResponseError::MalformedError)?;
        if self.phase == Phase::Start {
            self.reply.outcome = outcome_of(code);
            self.reply.is_final_error = is_statement_error(code);
        } else {
            // The statement had begun to run, so the code does not prove that it had no effect.
            self.reply.outcome = Outcome::Error;
        }
        if self.reply.is_final_error {
            self.keep_for_client(message)?;
        }
        self.phase = Phase::Failed;
        Ok(())
    }

    fn on_parameter_status(&mut self, body: &[u8]) -> Result<(), ResponseError> {
        let parameter = parameter_status(body).ok_or(ResponseError::MalformedParameter)?;
        let value = parameter.value;
        match (parameter.name, value) {
            ("mode", "read-write") => self.reply.role = Some(Role::Primary),
            ("mode", "read-only") => self.reply.role = Some(Role::Replica),
            ("wal_time", _) => {
                let unix_ms = value.parse().ok();
                self.reply.position =
                    unix_ms.and_then(|unix_ms| position_from_unix_ms(self.clock, unix_ms));
            }
            ("stats", _) => self.reply.report = parse_load_report(self.clock, value),
            _ => {}
        }
        Ok(())
    }

    /// Whether a CommandComplete matches the job's statement. A health check accepts any.
    fn matches_job(&self, body: &[u8]) -> bool {
        let Some(tag) = command_tag(body) else {
            return false;
        };
        match self.job {
            UpstreamJob::Request { payload, .. } if payload.write => tag.starts_with("INSERT "),
            UpstreamJob::Request { .. } => tag.starts_with("SELECT "),
            UpstreamJob::HealthCheck => true,
        }
    }

    fn into_reply(self) -> UpstreamReply {
        let mut reply = self.reply;
        if reply.is_final_error {
            reply.body = Some(self.client_messages);
            return reply;
        }
        if self.phase != Phase::Complete {
            return reply;
        }
        reply.outcome = Outcome::Ok;
        match self.job {
            UpstreamJob::Request { .. } => {
                let mut last_messages = self.client_messages;
                // The end of a streamed response is sent unchanged, so it needs ReadyForQuery here.
                // A buffered response gets it when the final answer is encoded.
                if self.streamed.is_some() {
                    put_ready_for_query(&mut last_messages);
                }
                reply.body = Some(last_messages);
            }
            UpstreamJob::HealthCheck => {
                let text = self
                    .health_check_row
                    .and_then(|row| String::from_utf8(row).ok());
                let report = text.and_then(|text| parse_load_report(self.clock, &text));
                reply.report = report.or(reply.report);
            }
        }
        reply
    }
}

/// Whether an error code means that the statement itself is invalid, so that every endpoint would
/// report the same error.
fn is_statement_error(code: &str) -> bool {
    ["08P01", "0A", "42"]
        .iter()
        .any(|class| code.starts_with(class))
}
