//! What a call asks and what is answered, as bytes.

use crate::Source;
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The longest head that is read.
pub(crate) const HEAD: usize = 8 * 1024;
const HEADERS: usize = 64;

/// What the bytes so far say.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Call {
    /// The head is not whole.
    More,
    Health {
        body: bool,
    },
    Stats {
        body: bool,
    },
    /// What was denied, and why.
    Decisions {
        body: bool,
    },
    /// Nothing is given; only the status says why.
    No {
        status: u16,
        body: bool,
    },
}

impl Call {
    /// Reads a head; `end` says that nothing more will come.
    pub(crate) fn read(bytes: &[u8], end: bool) -> Self {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(bytes) {
            Ok(httparse::Status::Complete(_)) => Self::asked(
                request.method.unwrap_or_default(),
                request.path.unwrap_or_default(),
            ),
            Ok(httparse::Status::Partial) if bytes.len() >= HEAD => Self::No {
                status: 431,
                body: true,
            },
            Ok(httparse::Status::Partial) if !end => Self::More,
            Err(httparse::Error::TooManyHeaders) => Self::No {
                status: 431,
                body: true,
            },
            _ => Self::No {
                status: 400,
                body: true,
            },
        }
    }

    fn asked(method: &str, target: &str) -> Self {
        let body = method != "HEAD";
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let path = match path.strip_prefix("http://") {
            Some(rest) => rest.find('/').map_or("/", |at| &rest[at..]),
            None => path,
        };
        match (path, method) {
            ("/admin/health", "GET" | "HEAD") => Self::Health { body },
            ("/admin/stats", "GET" | "HEAD") => Self::Stats { body },
            ("/admin/decisions", "GET" | "HEAD") => Self::Decisions { body },
            ("/admin/health" | "/admin/stats" | "/admin/decisions", _) => {
                Self::No { status: 405, body }
            }
            _ => Self::No { status: 404, body },
        }
    }

    /// Writes the whole answer to `out`.
    pub(crate) fn answer(&self, source: &dyn Source, out: &mut Vec<u8>) {
        let asked = catch_unwind(AssertUnwindSafe(|| match *self {
            Self::Health { body } => {
                let (status, text) = source
                    .health()
                    .map_or_else(|no| (503, no), |yes| (200, yes));
                (status, text, body)
            }
            Self::Stats { body } => (200, source.stats(), body),
            Self::Decisions { body } => (200, source.decisions(), body),
            Self::No { status, body } => (status, reason(status).to_lowercase(), body),
            Self::More => (408, reason(408).to_lowercase(), true),
        }));
        let (status, mut text, body) =
            asked.unwrap_or_else(|_| (500, "no answer could be made".into(), true));
        if !text.ends_with('\n') {
            text.push('\n');
        }
        out.clear();
        let allow = if status == 405 {
            "Allow: GET, HEAD\r\n"
        } else {
            ""
        };
        let _ = write!(
            out,
            "HTTP/1.1 {status} {}\r\n{allow}Content-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
             Cache-Control: no-store\r\nConnection: close\r\n\r\n",
            reason(status),
            text.len()
        );
        if body {
            out.extend_from_slice(text.as_bytes());
        }
    }
}

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
