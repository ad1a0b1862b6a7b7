//! Parses HTTP requests and builds the bytes of their responses. No I/O.

use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};

use crate::Source;

/// Maximum size of a request head, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// The resource that a request reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resource {
    /// `/admin/health`
    Health,
    /// `/admin/stats`
    Stats,
    /// `/admin/decisions`
    Decisions,
    /// `/admin/memory`
    Memory,
    /// `/admin/connections`
    Connections,
}

/// Whether the response includes its body, which it omits for HEAD.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseBody {
    Sent,
    Omitted,
}

/// The result of parsing the bytes received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ManagementRequest {
    /// The head is not complete. If the connection expires in this state, the response is a 408.
    Incomplete,
    /// A valid request for a resource.
    Read(Resource, ResponseBody),
    /// A request that is answered with this error status.
    Rejected(u16, ResponseBody),
}

impl ManagementRequest {
    /// Parses a request head; `is_end` means that the client sends no more bytes.
    pub(crate) fn parse(bytes: &[u8], is_end: bool) -> Self {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(bytes) {
            Ok(httparse::Status::Complete(_)) => Self::route(
                request.method.unwrap_or_default(),
                request.path.unwrap_or_default(),
            ),
            Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD_BYTES => {
                Self::Rejected(431, ResponseBody::Sent)
            }
            Ok(httparse::Status::Partial) if !is_end => Self::Incomplete,
            Err(httparse::Error::TooManyHeaders) => Self::Rejected(431, ResponseBody::Sent),
            _ => Self::Rejected(400, ResponseBody::Sent),
        }
    }

    fn route(method: &str, target: &str) -> Self {
        let body = match method {
            "HEAD" => ResponseBody::Omitted,
            _ => ResponseBody::Sent,
        };
        let resource = match path_of(target) {
            "/admin/health" => Resource::Health,
            "/admin/stats" => Resource::Stats,
            "/admin/decisions" => Resource::Decisions,
            "/admin/memory" => Resource::Memory,
            "/admin/connections" => Resource::Connections,
            _ => return Self::Rejected(404, body),
        };
        match method {
            "GET" | "HEAD" => Self::Read(resource, body),
            _ => Self::Rejected(405, body),
        }
    }

    /// Writes the complete response to `out`, replacing its content.
    pub(crate) fn respond(self, source: &dyn Source, out: &mut Vec<u8>) {
        let body = match self {
            Self::Read(_, body) | Self::Rejected(_, body) => body,
            Self::Incomplete => ResponseBody::Sent,
        };
        // A panic in the source must not end the thread, which serves all other clients.
        let content = catch_unwind(AssertUnwindSafe(|| self.content(source)));
        match content {
            Ok((status, text)) => write_response(out, status, text, body),
            Err(_) => write_response(
                out,
                500,
                "no answer could be made".into(),
                ResponseBody::Sent,
            ),
        }
    }

    fn content(self, source: &dyn Source) -> (u16, String) {
        match self {
            Self::Read(Resource::Health, _) => match source.health() {
                Ok(ready) => (200, ready),
                Err(reason) => (503, reason),
            },
            Self::Read(Resource::Stats, _) => (200, source.stats()),
            Self::Read(Resource::Decisions, _) => (200, source.decisions()),
            Self::Read(Resource::Memory, _) => (200, source.memory()),
            Self::Read(Resource::Connections, _) => (200, source.connections()),
            Self::Rejected(status, _) => (status, reason(status).to_lowercase()),
            Self::Incomplete => (408, reason(408).to_lowercase()),
        }
    }
}

/// The path of a request target, which may be in absolute form and have a query.
fn path_of(target: &str) -> &str {
    let path = target.split(['?', '#']).next().unwrap_or_default();
    match path.strip_prefix("http://") {
        Some(rest) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => path,
    }
}

fn write_response(out: &mut Vec<u8>, status: u16, mut text: String, body: ResponseBody) {
    if !text.ends_with('\n') {
        text.push('\n');
    }
    out.clear();
    let allow = if status == 405 {
        "Allow: GET, HEAD\r\n"
    } else {
        ""
    };
    // Writing to memory cannot fail.
    let _ = write!(
        out,
        "HTTP/1.1 {status} {}\r\n{allow}Content-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
         Cache-Control: no-store\r\nConnection: close\r\n\r\n",
        reason(status),
        text.len()
    );
    if body == ResponseBody::Sent {
        out.extend_from_slice(text.as_bytes());
    }
}

/// The reason phrase of a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}
