//! Encodes the responses that the gateway itself sends to clients: errors, and replies to settings.

use valehatch_core::{Failure, FinalAnswer};
use valehatch_policy::Span;

use super::request::RequestError;
use crate::codec::error_response::{ErrorResponse, Severity, sqlstate};
use crate::codec::framing::put_message;
use crate::codec::message_types::backend;
use crate::codec::{READY_FOR_QUERY_BYTES, put_ready_for_query};

/// Formats the time until a retry in whole milliseconds, at least 1.
fn retry_after_ms(retry_after: Span) -> String {
    (retry_after.0 / 1000).max(1).to_string()
}

/// Appends an ErrorResponse that ends the query.
fn put_query_error(out: &mut Vec<u8>, code: &str, message: &str) {
    let error = ErrorResponse {
        severity: Severity::Error,
        code,
        message,
        detail: None,
    };
    error.put(out);
}

/// Encodes the error sent before closing the connection of a client that violated the protocol.
pub(super) fn fatal_error(code: &str, message: &str) -> Vec<u8> {
    let mut out = vec![];
    let error = ErrorResponse {
        severity: Severity::Fatal,
        code,
        message,
        detail: None,
    };
    error.put(&mut out);
    out
}

/// Encodes the error sent before closing a connection through no fault of its client, which may
/// retry after the given time.
pub(super) fn retry_later(retry_after: Span, message: &str) -> Vec<u8> {
    let mut out = vec![];
    let error = ErrorResponse {
        severity: Severity::Fatal,
        code: sqlstate::TOO_MANY_CONNECTIONS,
        message,
        detail: Some(&retry_after_ms(retry_after)),
    };
    error.put(&mut out);
    out
}

/// Encodes the response to a query that is not a valid request: setting statements succeed without
/// an effect, an empty query gets an EmptyQueryResponse, and any other query an error.
pub(super) fn unqueued_response(query: &[u8], error: &RequestError) -> Vec<u8> {
    let mut out = vec![];
    let text = String::from_utf8_lossy(query);
    let statement = text.trim().trim_end_matches(';');
    let verb = statement.split_whitespace().next().unwrap_or_default();
    match verb.to_ascii_uppercase().as_str() {
        "" => put_message(&mut out, backend::EMPTY_QUERY_RESPONSE, &[]),
        tag @ ("SET" | "RESET" | "DISCARD") => {
            let parts: [&[u8]; 2] = [tag.as_bytes(), b"\0"];
            put_message(&mut out, backend::COMMAND_COMPLETE, &parts);
        }
        _ => put_query_error(&mut out, sqlstate::SYNTAX_ERROR, &error.to_string()),
    }
    put_ready_for_query(&mut out);
    out
}

/// Encodes the final response to a request, up to ReadyForQuery.
pub(super) fn final_response(answer: FinalAnswer) -> Vec<u8> {
    let mut out = vec![];
    match answer {
        FinalAnswer::Served(response) => out = response,
        FinalAnswer::Rejected {
            retry_after,
            overloaded,
        } => {
            let message = if overloaded {
                "refused: nothing ran; more wait than can be served by the time that is given"
            } else {
                "refused: nothing ran, or running it again does no harm"
            };
            let error = ErrorResponse {
                severity: Severity::Error,
                code: sqlstate::TOO_MANY_CONNECTIONS,
                message,
                detail: Some(&retry_after_ms(retry_after)),
            };
            error.put(&mut out);
        }
        FinalAnswer::Failed(failure) => put_failure(&mut out, failure),
    }
    out.reserve_exact(READY_FOR_QUERY_BYTES);
    put_ready_for_query(&mut out);
    out
}

fn put_failure(out: &mut Vec<u8>, failure: Failure) {
    match failure {
        Failure::UpstreamError(response) => *out = response,
        Failure::Timeout => put_query_error(
            out,
            sqlstate::QUERY_CANCELED,
            "no answer in time; it may have run",
        ),
        Failure::DuplicateName => put_query_error(
            out,
            sqlstate::DUPLICATE_OBJECT,
            "a request with this id is open",
        ),
        Failure::ConnectionLost => put_query_error(
            out,
            sqlstate::SYSTEM_ERROR,
            "the answer was lost; it may have run",
        ),
    }
}
