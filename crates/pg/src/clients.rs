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
    BodyError, NextInput, RequestBody, RequestHandler, RequestReader, Session, SessionProgress,
    SessionStatus,
};
use valehatch_policy::Span;

use crate::codec::error_response::{MESSAGE_FIELD, error_field, sqlstate};
use crate::codec::framing::{HEADER_BYTES, read_header};
use crate::codec::message_types::{backend, frontend};
use crate::codec::startup::{FirstMessage, read_first_message, startup_reply};
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

/// State of a session after the received messages have been handled.
enum SessionStep {
    /// The handshake is complete, and queries may follow.
    Ready,
    /// The next message has not been received yet.
    Pending,
    /// The session has ended.
    Closed,
    /// The session has to be closed, after this error has been sent to the client.
    ClosedWithError(Vec<u8>),
}

impl SessionStep {
    fn fatal(code: &str, message: &str) -> Self {
        Self::ClosedWithError(fatal_error(code, message))
    }
}

/// A received message, by the action that it requests.
enum ClientMessage {
    /// Runs a query; holds the message body.
    Query(RequestBody),
    /// Closes the session.
    Terminate,
    /// A message that is not served; holds the error to send to the client.
    Unsupported(Vec<u8>),
    /// A message for which there is no memory; it is not read completely.
    OutOfMemory,
}

/// Advances the handshake as far as received messages allow.
fn open_session(
    progress: &mut SessionProgress,
    reader: &mut RequestReader,
    session: &Session,
) -> io::Result<SessionStep> {
    loop {
        reader.finish_message();
        match reader.next_input()? {
            NextInput::Message => {}
            NextInput::Pending => return Ok(SessionStep::Pending),
            NextInput::Closed => return Ok(SessionStep::Closed),
        }
        let step = match read_first_message(reader) {
            Ok(FirstMessage::Startup) => break,
            Ok(FirstMessage::EncryptionRequest)
                if progress.malformed_messages < MAX_ENCRYPTION_REQUESTS =>
            {
                progress.malformed_messages += 1;
                reader.write_unqueued(ENCRYPTION_DECLINED)?;
                continue;
            }
            Ok(FirstMessage::EncryptionRequest) => {
                SessionStep::fatal(sqlstate::PROTOCOL_VIOLATION, "no encryption is offered")
            }
            Ok(FirstMessage::CancelRequest) => SessionStep::Closed,
            Ok(FirstMessage::UnsupportedVersion(version)) => {
                let (major, minor) = (version >> 16, version & 0xffff);
                let message = format!("protocol version {major}.{minor} is not spoken");
                SessionStep::fatal(sqlstate::FEATURE_NOT_SUPPORTED, &message)
            }
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                SessionStep::fatal(sqlstate::PROTOCOL_VIOLATION, &error.to_string())
            }
            Err(error) => return Err(error),
        };
        return Ok(step);
    }
    session.send(startup_reply())?;
    progress.handshake_complete = true;
    progress.malformed_messages = 0;
    Ok(SessionStep::Ready)
}

fn read_client_message(reader: &mut RequestReader) -> io::Result<ClientMessage> {
    let header = match read_header(reader, MAX_MESSAGE_BYTES) {
        Ok(header) => header,
        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
            let response = fatal_error(sqlstate::PROGRAM_LIMIT_EXCEEDED, &error.to_string());
            return Ok(ClientMessage::Unsupported(response));
        }
        Err(error) => return Err(error),
    };
    let body = match reader.read_body(&[], header.body_length) {
        Ok(body) => body,
        Err(BodyError::OutOfMemory { .. }) => return Ok(ClientMessage::OutOfMemory),
        Err(BodyError::Io(error)) => return Err(error),
    };
    Ok(match header.message_type {
        frontend::QUERY => ClientMessage::Query(body),
        frontend::TERMINATE => ClientMessage::Terminate,
        frontend::PARSE
        | frontend::BIND
        | frontend::DESCRIBE
        | frontend::EXECUTE
        | frontend::CLOSE
        | frontend::FLUSH
        | frontend::FUNCTION_CALL
        | frontend::SYNC => ClientMessage::Unsupported(fatal_error(
            sqlstate::FEATURE_NOT_SUPPORTED,
            "only simple queries are served",
        )),
        other => ClientMessage::Unsupported(fatal_error(
            sqlstate::PROTOCOL_VIOLATION,
            &format!("a message of type {other:#04x} is not known"),
        )),
    })
}

impl PostgresHandler {
    /// Handles queries until no complete message is left or the session ends.
    fn serve_queries(
        &self,
        progress: &mut SessionProgress,
        reader: &mut RequestReader,
        session: &Session,
    ) -> io::Result<SessionStep> {
        loop {
            reader.finish_message();
            match reader.next_input()? {
                NextInput::Message => {}
                NextInput::Pending => return Ok(SessionStep::Pending),
                NextInput::Closed => return Ok(SessionStep::Closed),
            }
            let ticket = progress.next_ticket;
            progress.next_ticket += 1;
            let body = match read_client_message(reader)? {
                ClientMessage::Query(body) => body,
                ClientMessage::Terminate => return Ok(SessionStep::Closed),
                ClientMessage::Unsupported(error) => {
                    return Ok(SessionStep::ClosedWithError(error));
                }
                ClientMessage::OutOfMemory => {
                    return Ok(SessionStep::ClosedWithError(self.out_of_memory()));
                }
            };
            let closing = self.serve_query(progress, session, ticket, &body.bytes)?;
            if let Some(error) = closing {
                return Ok(SessionStep::ClosedWithError(error));
            }
        }
    }

    fn out_of_memory(&self) -> Vec<u8> {
        retry_later(
            self.site.settings.limits.max_retry_after,
            "refused: nothing ran, there is no room for it",
        )
    }

    /// Submits a query as a request, or responds to it at once. Returns an error if the session has
    /// to be closed with it.
    fn serve_query(
        &self,
        progress: &mut SessionProgress,
        session: &Session,
        ticket: u64,
        body: &[u8],
    ) -> io::Result<Option<Vec<u8>>> {
        let query = body.strip_suffix(b"\0").unwrap_or(body);
        let reserve = |class, tenant, group| {
            let rejected = |reason| session.report_rejection(class, tenant, group, reason);
            session.reserve(body.len()).map_err(rejected).ok()
        };
        match self.decode_request(session, query, reserve) {
            Ok(Some(request)) => session.submit(ticket, request)?,
            Ok(None) => return Ok(Some(self.out_of_memory())),
            Err(error) => {
                let response = unqueued_response(query, &error);
                let is_malformed = response.first() == Some(&backend::ERROR_RESPONSE);
                progress.malformed_messages += usize::from(is_malformed);
                if progress.malformed_messages > MAX_MALFORMED_QUERIES {
                    return Ok(Some(fatal_error(
                        sqlstate::PROTOCOL_VIOLATION,
                        "too much on this connection could not be understood",
                    )));
                }
                session.reply(ticket, response)?;
            }
        }
        Ok(None)
    }
}

impl RequestHandler for PostgresHandler {
    fn serve(
        &self,
        progress: &mut SessionProgress,
        reader: &mut RequestReader,
        session: &Session,
    ) -> io::Result<SessionStatus> {
        let mut step = SessionStep::Ready;
        if !progress.handshake_complete {
            step = open_session(progress, reader, session)?;
        }
        if matches!(step, SessionStep::Ready) {
            step = self.serve_queries(progress, reader, session)?;
        }
        Ok(match step {
            SessionStep::Ready | SessionStep::Pending => SessionStatus::Idle,
            SessionStep::Closed => SessionStatus::Closed,
            SessionStep::ClosedWithError(response) => {
                let error = error_field(&response[HEADER_BYTES..], MESSAGE_FIELD);
                tracing::info!(error = error.unwrap_or_default(), "client rejected");
                reader.close_gracefully(response)
            }
        })
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

    fn closing_error(&self, retry_after: Span) -> Vec<u8> {
        retry_later(
            retry_after,
            "the connection is ended; what was asked on it meanwhile did not run",
        )
    }
}
