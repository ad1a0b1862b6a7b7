//! The leading comment of a query: `/* name=value, ... */`, with unique names.
//!
//! | name | meaning |
//! | --- | --- |
//! | `id` | the request's name, 1 to 64 bytes |
//! | `c` | request class, by name |
//! | `d` | client timeout in milliseconds, 1 ms to 24 h |
//! | `cluster` | number of the endpoint group |
//! | `k` | idempotency key |
//! | `t` | tenant, by name |
//! | `r` | `1` if the client retries the request |
//! | `after` | Unix milliseconds of the session's last write |

use super::request::RequestError;

/// Extra capacity in bytes for a new deadline that has more digits than the replaced one; avoids a
/// reallocation.
const DEADLINE_GROWTH_BYTES: usize = 8;
/// Start of the deadline field in the comment.
const DEADLINE_PREFIX: &[u8] = b"d=";

struct CommentField<'a> {
    name: &'a str,
    value: &'a str,
}

/// Fields of a query's leading comment, and the statement after the comment.
pub(super) struct CommentedQuery<'a> {
    fields: Vec<CommentField<'a>>,
    pub statement: &'a str,
}

impl<'a> CommentedQuery<'a> {
    pub(super) fn parse(query: &'a [u8]) -> Result<Self, RequestError> {
        let text = std::str::from_utf8(query).map_err(|_| RequestError::NotUtf8)?;
        let opened = text.trim_start().strip_prefix("/*");
        let (comment, statement) = opened
            .and_then(|opened| opened.split_once("*/"))
            .ok_or(RequestError::MissingComment)?;
        let fields: Option<Vec<_>> = comment.split(',').map(parse_field).collect();
        let fields = fields.ok_or(RequestError::MalformedComment)?;
        let mut names: Vec<_> = fields.iter().map(|field| field.name).collect();
        names.sort_unstable();
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(RequestError::DuplicateField);
        }
        Ok(Self { fields, statement })
    }

    pub(super) fn optional(&self, name: &str) -> Option<&'a str> {
        let field = self.fields.iter().find(|field| field.name == name)?;
        Some(field.value)
    }

    pub(super) fn required(&self, name: &'static str) -> Result<&'a str, RequestError> {
        self.optional(name).ok_or(RequestError::MissingField(name))
    }
}

fn parse_field(text: &str) -> Option<CommentField<'_>> {
    let (name, value) = text.trim().split_once('=')?;
    Some(CommentField { name, value })
}

/// Returns the query with the deadline in its comment replaced by `deadline_ms`. A query without a
/// deadline is returned unchanged.
pub(crate) fn with_deadline(query: &[u8], deadline_ms: i64) -> Vec<u8> {
    let comment_end = query.windows(2).position(|pair| pair == b"*/").unwrap_or(0);
    let is_deadline = |at: &usize| {
        let before = query[..*at].trim_ascii_end().last();
        query[*at..].starts_with(DEADLINE_PREFIX) && matches!(before, None | Some(b',' | b'*'))
    };
    let Some(at) = (0..comment_end).find(is_deadline) else {
        return query.to_vec();
    };
    let value_start = at + DEADLINE_PREFIX.len();
    let value_length = query[value_start..comment_end]
        .iter()
        .take_while(|byte| !matches!(byte, b',' | b' '))
        .count();
    let mut out = Vec::with_capacity(query.len() + DEADLINE_GROWTH_BYTES);
    out.extend_from_slice(&query[..value_start]);
    out.extend_from_slice(deadline_ms.to_string().as_bytes());
    out.extend_from_slice(&query[value_start + value_length..]);
    out
}
