//! Decodes a query into a request: validates its comment against the settings, and its statement
//! against the request class.

use std::collections::hash_map::DefaultHasher;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use valehatch_core::{IncomingRequest, Payload};
use valehatch_net::clients::{NotReserved, Session};
use valehatch_policy::{Consistency, GroupId, Idempotency, RequestClass, SessionKey, Span};

use super::PostgresHandler;
use super::request_comment::CommentedQuery;

/// Valid length of a request's name in bytes.
const NAME_BYTES: std::ops::RangeInclusive<usize> = 1..=64;
/// Valid client timeouts in milliseconds: up to 24 hours.
const CLIENT_TIMEOUT_MS: std::ops::RangeInclusive<u32> = 1..=86_400_000;

/// Reasons why a query is not a valid request. The error text is sent to the client.
#[derive(Debug)]
pub(super) enum RequestError {
    /// The query is not UTF-8.
    NotUtf8,
    /// The query does not begin with a comment.
    MissingComment,
    /// The comment is not a list of names and values.
    MalformedComment,
    /// The comment contains a name twice.
    DuplicateField,
    /// The comment lacks the field with this name.
    MissingField(&'static str),
    /// The request's name is empty or too long.
    InvalidName,
    /// No request class has this name.
    UnknownClass(String),
    /// The client timeout is not a number or out of range.
    InvalidClientTimeout,
    /// The endpoint group is not a number.
    InvalidGroup,
    /// The idempotency key is empty.
    EmptyIdempotencyKey,
    /// The statement does not begin with this verb, which the request class requires.
    WrongStatement(&'static str),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotUtf8 => f.write_str("the query is not UTF-8"),
            Self::MissingComment => f.write_str("the query has no leading comment"),
            Self::MalformedComment => f.write_str("the comment is not made of names and values"),
            Self::DuplicateField => f.write_str("the comment holds a name twice"),
            Self::MissingField(name) => write!(f, "the comment has no {name}"),
            Self::InvalidName => f.write_str("the id is empty or longer than 64 bytes"),
            Self::UnknownClass(class) => write!(f, "no class {class:?} is known"),
            Self::InvalidClientTimeout => f.write_str("d is not a number of milliseconds"),
            Self::InvalidGroup => f.write_str("cluster is not a number"),
            Self::EmptyIdempotencyKey => f.write_str("the key is empty"),
            Self::WrongStatement(verb) => {
                write!(f, "the class takes statements that begin with {verb}")
            }
        }
    }
}

impl std::error::Error for RequestError {}

impl PostgresHandler {
    /// Decodes a query and reserves memory for its request, whose message has `body_bytes`, after all
    /// validation. The inner error says why nothing was reserved.
    pub(super) fn decode_request(
        &self,
        session: &Session,
        query: &[u8],
        body_bytes: usize,
    ) -> Result<Result<IncomingRequest, NotReserved>, RequestError> {
        let commented = CommentedQuery::parse(query)?;
        let name = commented.required("id")?;
        if !NAME_BYTES.contains(&name.len()) {
            return Err(RequestError::InvalidName);
        }
        let class_name = commented.required("c")?;
        let class = index_of(&self.site.classes, class_name)
            .ok_or_else(|| RequestError::UnknownClass(class_name.to_owned()))?;
        let client_timeout = parse_client_timeout(commented.required("d")?)?;
        let group = commented.required("cluster")?.parse();
        let group = GroupId(group.map_err(|_| RequestError::InvalidGroup)?);
        let contract = &self.site.settings.classes[class];
        check_contract(contract, &commented)?;
        let session_key = self.session_key(contract.consistency, commented.statement);
        let tenant = commented
            .optional("t")
            .and_then(|tenant| index_of(&self.site.tenants, tenant));
        let memory = match session.reserve(body_bytes) {
            Ok(memory) => memory,
            Err(reason) => {
                if let NotReserved::Rejected(reason) = reason {
                    session.report_rejection(class, tenant, group, reason);
                }
                return Ok(Err(reason));
            }
        };
        let last_write_ms = commented
            .optional("after")
            .and_then(|unix_ms| unix_ms.parse().ok());
        Ok(Ok(IncomingRequest {
            name: Some(Arc::from(name)),
            class,
            tenant,
            group,
            session: session_key,
            received: session.received_at(),
            // The class's deadline bounds how long a request stays open, even if the client would
            // wait longer.
            client_timeout: client_timeout.min(contract.deadline),
            is_client_retry: commented.optional("r") == Some("1"),
            last_write_at: last_write_ms.map(|unix_ms| self.clock.at_unix_ms(unix_ms)),
            client: session.client_number(),
            payload: Arc::new(Payload {
                bytes: query.to_vec(),
                write: contract.consistency == Consistency::Write,
                class,
            }),
            memory: memory.request,
            response_memory: memory.response,
        }))
    }

    /// Session of a read or write, identified by the key in the statement. `None` if no class has
    /// session consistency, since sessions then need not be tracked.
    fn session_key(&self, consistency: Consistency, statement: &str) -> Option<SessionKey> {
        let classes = &self.site.settings.classes;
        let uses_sessions = classes
            .iter()
            .any(|class| class.consistency == Consistency::Session);
        let has_session = matches!(consistency, Consistency::Write | Consistency::Session);
        if !uses_sessions || !has_session {
            return None;
        }
        let mut hasher = DefaultHasher::new();
        first_quoted(statement)?.hash(&mut hasher);
        Some(SessionKey(hasher.finish()))
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn parse_client_timeout(text: &str) -> Result<Span, RequestError> {
    let timeout_ms = text.parse::<u32>().ok();
    timeout_ms
        .filter(|timeout_ms| CLIENT_TIMEOUT_MS.contains(timeout_ms))
        .map(|timeout_ms| Span::from_millis(timeout_ms.into()))
        .ok_or(RequestError::InvalidClientTimeout)
}

/// Checks a query against the requirements of its class: an idempotency key, if needed, and a
/// matching statement.
fn check_contract(class: &RequestClass, query: &CommentedQuery) -> Result<(), RequestError> {
    let needs_key = matches!(class.idempotency, Idempotency::IdempotencyKey { .. });
    if needs_key && query.required("k")?.is_empty() {
        return Err(RequestError::EmptyIdempotencyKey);
    }
    let verb = if class.consistency == Consistency::Write {
        "INSERT "
    } else {
        "SELECT "
    };
    let beginning = query.statement.trim_start().get(..verb.len());
    if beginning.is_none_or(|beginning| !beginning.eq_ignore_ascii_case(verb)) {
        return Err(RequestError::WrongStatement(verb));
    }
    Ok(())
}

/// Returns the first quoted text of a statement, which is the key that the statement accesses.
fn first_quoted(statement: &str) -> Option<&str> {
    statement.split('\'').nth(1)
}
