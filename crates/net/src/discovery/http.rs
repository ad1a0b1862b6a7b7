//! Parser for HTTP/1.1 responses (RFC 9112), limited to what a client that reads short responses
//! needs. Without I/O and without state: a response is parsed again from its first byte whenever
//! more bytes have arrived.

use std::error::Error;
use std::fmt;

/// Maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum length of the head, and of a line between chunks, in bytes.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// Maximum length of a response, in bytes: enough for the longest body in chunks of a reasonable
/// size.
const MAX_RESPONSE_BYTES: usize = 2 * MAX_BODY_BYTES + MAX_LINE_BYTES;
/// Maximum number of header fields of a response.
const MAX_FIELDS: usize = 64;

/// A complete response with status 200.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// The body, with its chunks joined.
    pub body: Vec<u8>,
    /// Whether the connection can carry another request: the server keeps it open, and no bytes
    /// follow this response.
    pub reusable: bool,
}

/// Whether the server may still send bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sending {
    /// More bytes may follow.
    Open,
    /// The server has closed the connection without a reset.
    Ended,
}

/// Reason why bytes are not a usable response.
#[derive(Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The response or its body exceeds the limits of this module (1 MiB of body, 16 KiB of head).
    TooLong,
    /// The connection was closed in the middle of the response.
    Incomplete,
    /// The head is not HTTP/1.
    Malformed(httparse::Error),
    /// The status is not 200; `None` if there is no status.
    Status(Option<u16>),
    /// `Content-Length` is not a number, or has several values that differ: the values, joined by
    /// commas.
    ContentLength(String),
    /// The size of a chunk is not a hexadecimal number: the line with the size.
    ChunkSize(String),
    /// A chunk's data is longer than its declared size.
    ChunkTooLong,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("the response is too long"),
            Self::Incomplete => {
                f.write_str("the connection was closed in the middle of the response")
            }
            Self::Malformed(e) => write!(f, "not HTTP: {e}"),
            Self::Status(Some(status)) => write!(f, "HTTP status {status}"),
            Self::Status(None) => f.write_str("no HTTP status"),
            Self::ContentLength(values) => write!(f, "invalid Content-Length {values:?}"),
            Self::ChunkSize(line) => write!(f, "invalid chunk size {line:?}"),
            Self::ChunkTooLong => f.write_str("a chunk is longer than its size"),
        }
    }
}

impl Error for HttpError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Malformed(e) => Some(e),
            _ => None,
        }
    }
}

/// How the end of a body is determined.
enum Framing {
    Chunked,
    ContentLength(usize),
    /// The server closes the connection without a reset; a reset does not end a body.
    ConnectionClose,
}

struct Head {
    framing: Framing,
    keep_alive: bool,
}

/// A parsed part of a response, and the number of input bytes that it occupies.
struct Parsed<T> {
    value: T,
    bytes: usize,
}

/// Whether there are more bytes than a response may have.
#[must_use]
pub const fn is_too_long(bytes: &[u8]) -> bool {
    bytes.len() > MAX_RESPONSE_BYTES
}

/// Parses the response at the beginning of `bytes`. Returns `None` while more bytes are needed.
///
/// # Errors
/// Returns an error if the bytes are not a response, have a status other than 200, are too long, or
/// end in the middle of a response.
pub fn parse_response(bytes: &[u8], sending: Sending) -> Result<Option<Response>, HttpError> {
    if is_too_long(bytes) {
        return Err(HttpError::TooLong);
    }
    let response = parse_complete(bytes, sending)?;
    if response.is_none() && sending == Sending::Ended {
        return Err(HttpError::Incomplete);
    }
    Ok(response)
}

fn parse_complete(bytes: &[u8], sending: Sending) -> Result<Option<Response>, HttpError> {
    let Some(head) = parse_head(bytes)? else {
        return Ok(None);
    };
    let rest = &bytes[head.bytes..];
    let Some(body) = parse_body(&head.value.framing, rest, sending)? else {
        return Ok(None);
    };
    let is_last = body.bytes == rest.len();
    Ok(Some(Response {
        body: body.value,
        reusable: head.value.keep_alive && sending == Sending::Open && is_last,
    }))
}

fn parse_body(
    framing: &Framing,
    bytes: &[u8],
    sending: Sending,
) -> Result<Option<Parsed<Vec<u8>>>, HttpError> {
    match *framing {
        Framing::Chunked => parse_chunks(bytes),
        Framing::ContentLength(length) if length > MAX_BODY_BYTES => Err(HttpError::TooLong),
        Framing::ContentLength(length) => Ok(bytes.get(..length).map(parsed_bytes)),
        Framing::ConnectionClose if bytes.len() > MAX_BODY_BYTES => Err(HttpError::TooLong),
        Framing::ConnectionClose => Ok((sending == Sending::Ended).then(|| parsed_bytes(bytes))),
    }
}

fn parsed_bytes(bytes: &[u8]) -> Parsed<Vec<u8>> {
    Parsed {
        value: bytes.to_vec(),
        bytes: bytes.len(),
    }
}

/// Parses the head of the final response, skipping interim ones.
fn parse_head(bytes: &[u8]) -> Result<Option<Parsed<Head>>, HttpError> {
    let mut position = 0;
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let parsed = response
            .parse(&bytes[position..])
            .map_err(HttpError::Malformed)?;
        let httparse::Status::Complete(length) = parsed else {
            if bytes.len() - position > MAX_LINE_BYTES {
                return Err(HttpError::TooLong);
            }
            return Ok(None);
        };
        position += length;
        match response.code {
            Some(100 | 102..=199) => {}
            Some(200) => {
                let value = read_head(&response)?;
                return Ok(Some(Parsed {
                    value,
                    bytes: position,
                }));
            }
            status => return Err(HttpError::Status(status)),
        }
    }
}

fn read_head(response: &httparse::Response) -> Result<Head, HttpError> {
    let connection = field_values(response, "connection");
    let transfer_encoding = field_values(response, "transfer-encoding");
    let content_length = field_values(response, "content-length");
    let has_option = |option: &str| connection.iter().any(|value| value == option);
    // HTTP/1.1 keeps connections alive by default, HTTP/1.0 only if the server says so.
    let keep_alive =
        !has_option("close") && (response.version == Some(1) || has_option("keep-alive"));
    let framing = match (transfer_encoding.last(), content_length.first()) {
        (Some(last), _) if last == "chunked" => Framing::Chunked,
        (Some(_), _) | (None, None) => Framing::ConnectionClose,
        (None, Some(first)) => Framing::ContentLength(read_length(first, &content_length)?),
    };
    Ok(Head {
        framing,
        keep_alive,
    })
}

/// All values of a header field in lower case. A field may occur more than once, and each
/// occurrence may be a list.
fn field_values(response: &httparse::Response, name: &str) -> Vec<String> {
    let mut values = vec![];
    for field in response.headers.iter() {
        if !field.name.eq_ignore_ascii_case(name) {
            continue;
        }
        let Ok(text) = std::str::from_utf8(field.value) else {
            continue;
        };
        for value in text.split(',').map(str::trim) {
            if !value.is_empty() {
                values.push(value.to_ascii_lowercase());
            }
        }
    }
    values
}

fn read_length(first: &str, all: &[String]) -> Result<usize, HttpError> {
    let is_number = first.bytes().all(|byte| byte.is_ascii_digit());
    let agree = all.iter().all(|other| other == first);
    let length = first.parse().ok().filter(|_| is_number && agree);
    length.ok_or_else(|| HttpError::ContentLength(all.join(",")))
}

/// Parses the line at the beginning of `bytes`; its value excludes the line end.
fn parse_line(bytes: &[u8]) -> Result<Option<Parsed<&[u8]>>, HttpError> {
    let end = bytes
        .iter()
        .take(MAX_LINE_BYTES)
        .position(|byte| *byte == b'\n');
    let Some(end) = end else {
        if bytes.len() >= MAX_LINE_BYTES {
            return Err(HttpError::TooLong);
        }
        return Ok(None);
    };
    let line = &bytes[..end];
    Ok(Some(Parsed {
        value: line.strip_suffix(b"\r").unwrap_or(line),
        bytes: end + 1,
    }))
}

/// Parses a chunked body with its trailers.
fn parse_chunks(bytes: &[u8]) -> Result<Option<Parsed<Vec<u8>>>, HttpError> {
    let mut body = vec![];
    let mut position = 0;
    loop {
        let Some(size_line) = parse_line(&bytes[position..])? else {
            return Ok(None);
        };
        let size = read_chunk_size(size_line.value)?;
        position += size_line.bytes;
        if size == 0 {
            let trailers = trailer_bytes(&bytes[position..])?;
            return Ok(trailers.map(|trailers| Parsed {
                value: body,
                bytes: position + trailers,
            }));
        }
        if size > MAX_BODY_BYTES - body.len() {
            return Err(HttpError::TooLong);
        }
        let Some(chunk) = bytes.get(position..position + size) else {
            return Ok(None);
        };
        let Some(line_end) = parse_line(&bytes[position + size..])? else {
            return Ok(None);
        };
        if !line_end.value.is_empty() {
            return Err(HttpError::ChunkTooLong);
        }
        body.extend_from_slice(chunk);
        position += size + line_end.bytes;
    }
}

fn read_chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let without_extensions = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = without_extensions.trim_ascii();
    // `from_str_radix` alone would accept a sign.
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
    let size = text.and_then(|text| usize::from_str_radix(text, 16).ok());
    size.ok_or_else(|| HttpError::ChunkSize(String::from_utf8_lossy(line).into_owned()))
}

/// The length of the trailer fields after the last chunk, including the empty line that ends them.
fn trailer_bytes(bytes: &[u8]) -> Result<Option<usize>, HttpError> {
    let mut position = 0;
    while let Some(line) = parse_line(&bytes[position..])? {
        position += line.bytes;
        if line.value.is_empty() {
            return Ok(Some(position));
        }
    }
    Ok(None)
}
