//! The server side of the protocol: serves clients that send simple queries.
//!
//! [`PostgresHandler`] reads a connection's messages and submits requests to the core. The handler
//! is stateless; [`SessionProgress`] holds a connection's state between two messages.

mod request;
mod request_comment;
mod responses;

pub(crate) use request_comment::with_deadline;

use std::io;

use valehatch_config::Site;
use valehatch_core::FinalAnswer;
use valehatch_net::Clock;
use valehatch_net::clients::{
    Framing, Message, NextMessage, NotReserved, RequestHandler, RequestReader, Session,
    SessionProgress, SessionStatus,
};
use valehatch_policy::Span;

use crate::codec::error_response::{MESSAGE_FIELD, error_field, sqlstate};
use crate::codec::framing::{FramingError, HEADER_BYTES, message_length};
use crate::codec::message_types::{backend, frontend};
use crate::codec::startup::{
    FirstMessage, decode_first_message, encoding_status, first_message_length, startup_reply,
};
use responses::{fatal_error, final_response, retry_later, unqueued_response};

/// Maximum body of a client message in bytes: a value of 64 KiB as hexadecimal digits, and the
/// statement around it.
const MAX_MESSAGE_BYTES: usize = 160 * 1024;
/// Maximum of open requests per connection; further ones stay unread.
const PIPELINE_LIMIT: usize = 256;
/// Malformed queries that are tolerated per connection; the next one closes the connection.
const MAX_MALFORMED_QUERIES: usize = 64;
/// Maximum of encryption requests per connection: one each for TLS and GSSAPI.
const MAX_ENCRYPTION_REQUESTS: usize = 2;
/// Reply that declines encryption; the client continues in plain text.
const ENCRYPTION_DECLINED: &[u8] = b"N";

/// Serves clients that speak PostgreSQL's protocol.
pub struct PostgresHandler {
    /// Names of classes and tenants, and the settings that requests are validated against.
    pub site: Site,
    /// Source of the requests' receive times.
    pub clock: Clock,
}

/// How handling a message ended.
enum Handled {
    /// The next message may be handled.
    Completely,
    /// The message cannot be handled before a response is written; it is returned to the reader.
    Stalled(Message),
    /// The session ends.
    SessionEnds(SessionStatus),
}

impl Handled {
    fn fatal(code: &str, message: &str) -> Self {
        Self::SessionEnds(SessionStatus::ClosedWithError(fatal_error(code, message)))
    }
}

fn query_length(received: &[u8]) -> Result<Option<usize>, FramingError> {
    message_length(received, MAX_MESSAGE_BYTES)
}

/// Handles a message of the handshake.
fn on_first_message(
    message: &[u8],
    progress: &mut SessionProgress,
    reader: &RequestReader,
    session: &Session,
) -> io::Result<Handled> {
    match decode_first_message(message) {
        Ok(FirstMessage::Startup) => {
            session.send(startup_reply())?;
            progress.handshake_complete = true;
            progress.malformed_messages = 0;
            Ok(Handled::Completely)
        }
        Ok(FirstMessage::EncryptionRequest)
            if progress.malformed_messages < MAX_ENCRYPTION_REQUESTS =>
        {
            progress.malformed_messages += 1;
            reader.write_unqueued(ENCRYPTION_DECLINED)?;
            Ok(Handled::Completely)
        }
        Ok(FirstMessage::EncryptionRequest) => Ok(Handled::fatal(
            sqlstate::PROTOCOL_VIOLATION,
            "no encryption is offered",
        )),
        Ok(FirstMessage::CancelRequest) => Ok(Handled::SessionEnds(SessionStatus::Closed)),
        Ok(FirstMessage::UnsupportedVersion(version)) => {
            let (major, minor) = (version >> 16, version & 0xffff);
            let message = format!("protocol version {major}.{minor} is not spoken");
            Ok(Handled::fatal(sqlstate::FEATURE_NOT_SUPPORTED, &message))
        }
        Err(error) => Ok(Handled::fatal(
            sqlstate::PROTOCOL_VIOLATION,
            &error.to_string(),
        )),
    }
}

/// The end of a session because of a message that is not served.
fn on_unsupported_message(message_type: u8) -> Handled {
    match message_type {
        frontend::TERMINATE => Handled::SessionEnds(SessionStatus::Closed),
        frontend::PARSE
        | frontend::BIND
        | frontend::DESCRIBE
        | frontend::EXECUTE
        | frontend::CLOSE
        | frontend::FLUSH
        | frontend::FUNCTION_CALL
        | frontend::SYNC => Handled::fatal(
            sqlstate::FEATURE_NOT_SUPPORTED,
            "only simple queries are served",
        ),
        other => Handled::fatal(
            sqlstate::PROTOCOL_VIOLATION,
            &format!("a message of type {other:#04x} is not known"),
        ),
    }
}

impl PostgresHandler {
    /// Handles messages until no complete one is left, the turn is over or the session ends.
    fn serve_messages(
        &self,
        progress: &mut SessionProgress,
        reader: &mut RequestReader,
        session: &Session,
    ) -> io::Result<SessionStatus> {
        loop {
            let (framing, invalid_length): (Framing<FramingError>, _) =
                if progress.handshake_complete {
                    (query_length as _, sqlstate::PROGRAM_LIMIT_EXCEEDED)
                } else {
                    (first_message_length as _, sqlstate::PROTOCOL_VIOLATION)
                };
            let message = match reader.next_message(framing)? {
                NextMessage::Message(message) => message,
                NextMessage::Incomplete => return Ok(SessionStatus::Idle),
                NextMessage::Stalled => return Ok(SessionStatus::Stalled),
                NextMessage::TurnOver => return Ok(SessionStatus::TurnOver),
                NextMessage::Closed => return Ok(SessionStatus::Closed),
                NextMessage::Invalid(error) => {
                    let error = fatal_error(invalid_length, &error.to_string());
                    return Ok(SessionStatus::ClosedWithError(error));
                }
                NextMessage::OutOfMemory { .. } => {
                    return Ok(SessionStatus::ClosedWithError(self.out_of_memory()));
                }
            };
            match self.on_message(message, progress, reader, session)? {
                Handled::Completely => reader.finish_message(),
                Handled::Stalled(message) => {
                    reader.put_back(message);
                    return Ok(SessionStatus::Stalled);
                }
                Handled::SessionEnds(status) => return Ok(status),
            }
        }
    }

    fn on_message(
        &self,
        message: Message,
        progress: &mut SessionProgress,
        reader: &RequestReader,
        session: &Session,
    ) -> io::Result<Handled> {
        if !progress.handshake_complete {
            return on_first_message(&message.bytes, progress, reader, session);
        }
        match message.bytes[0] {
            frontend::QUERY => self.on_query(message, progress, session),
            other => Ok(on_unsupported_message(other)),
        }
    }

    fn out_of_memory(&self) -> Vec<u8> {
        retry_later(
            self.site.settings.limits.max_retry_after,
            "refused: nothing ran, there is no room for it",
        )
    }

    /// Submits a query as a request, or responds to it at once.
    fn on_query(
        &self,
        message: Message,
        progress: &mut SessionProgress,
        session: &Session,
    ) -> io::Result<Handled> {
        let body = &message.bytes[HEADER_BYTES..];
        let query = body.strip_suffix(b"\0").unwrap_or(body);
        let ticket = progress.next_ticket;
        match self.decode_request(session, query, body.len()) {
            Ok(Ok(request)) => session.submit(ticket, request)?,
            Ok(Err(NotReserved::Stalled)) => return Ok(Handled::Stalled(message)),
            Ok(Err(NotReserved::Rejected(_))) => {
                let error = SessionStatus::ClosedWithError(self.out_of_memory());
                return Ok(Handled::SessionEnds(error));
            }
            Err(error) => {
                let response = unqueued_response(query, &error);
                let is_malformed = response.first() == Some(&backend::ERROR_RESPONSE);
                progress.malformed_messages += usize::from(is_malformed);
                if progress.malformed_messages > MAX_MALFORMED_QUERIES {
                    return Ok(Handled::fatal(
                        sqlstate::PROTOCOL_VIOLATION,
                        "too much on this connection could not be understood",
                    ));
                }
                session.reply(ticket, response)?;
            }
        }
        progress.next_ticket += 1;
        Ok(Handled::Completely)
    }
}

impl RequestHandler for PostgresHandler {
    fn serve(
        &self,
        progress: &mut SessionProgress,
        reader: &mut RequestReader,
        session: &Session,
    ) -> io::Result<SessionStatus> {
        let status = self.serve_messages(progress, reader, session)?;
        if let SessionStatus::ClosedWithError(response) = &status {
            let error = error_field(&response[HEADER_BYTES..], MESSAGE_FIELD);
            tracing::info!(
                client = session.client_number(),
                error = error.unwrap_or_default(),
                "client rejected"
            );
        }
        Ok(status)
    }

    fn encode(&self, _ticket: u64, answer: FinalAnswer) -> Vec<u8> {
        final_response(answer)
    }

    fn has_ordered_responses(&self) -> bool {
        true
    }

    /// Many requests are read ahead because a request's deadline runs from when the client sent it.
    /// A request left unread behind others would use up its client's remaining time unnoticed, and
    /// its endpoint would get a deadline that is too late. [`Session::reserve`] bounds the bytes of
    /// all open requests.
    fn pipeline_limit(&self) -> usize {
        PIPELINE_LIMIT
    }

    fn liveness_probe(&self) -> Vec<u8> {
        encoding_status()
    }

    fn closing_error(&self, retry_after: Span) -> Vec<u8> {
        retry_later(
            retry_after,
            "the connection is ended; what was asked on it meanwhile did not run",
        )
    }
}
