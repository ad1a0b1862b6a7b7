//! HTTP/1.1 answers (RFC 9112), as much as a client needs that reads short ones: no I/O.

/// The longest body that is read, in bytes.
const MOST: usize = 1024 * 1024;
/// The longest head, and the longest line between chunks, in bytes.
const LINE: usize = 16 * 1024;
/// What an answer may take at the most, in bytes: no body needs more, in chunks of a reasonable size.
const WHOLE: usize = 2 * MOST + LINE;
/// Header fields of an answer, at the most.
const FIELDS: usize = 64;

/// A whole answer with status 200.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    pub body: Vec<u8>,
    /// Whether the connection can be used again: nothing stands behind this answer that the next would be read from.
    pub keep: bool,
}

/// How an answer's end is told.
enum Framing {
    Chunked,
    Length(usize),
    /// By the end of the connection: its regular end, never a reset.
    Close,
}

struct Head {
    framing: Framing,
    keep: bool,
}

/// Whether this is more than any answer may take.
#[must_use]
pub const fn is_too_long(bytes: &[u8]) -> bool {
    bytes.len() > WHOLE
}

/// The answer that these bytes are; `None` while there is more to come. `ended`: the other side has ended its sending.
///
/// # Errors
/// It is no HTTP, not status 200, too long (1 MiB of body, 16 KiB of head), or ends in the middle.
pub fn answer(bytes: &[u8], ended: bool) -> Result<Option<Answer>, String> {
    if is_too_long(bytes) {
        return Err("the answer is too long".into());
    }
    match whole(bytes, ended)? {
        None if ended => Err("the answer ends in the middle".into()),
        whole => Ok(whole),
    }
}

fn whole(bytes: &[u8], ended: bool) -> Result<Option<Answer>, String> {
    let Some((head, at)) = head(bytes)? else {
        return Ok(None);
    };
    let rest = &bytes[at..];
    let body = match head.framing {
        Framing::Chunked => chunks(rest)?,
        Framing::Length(length) if length > MOST => {
            return Err(format!("a body of {length} bytes"));
        }
        Framing::Length(length) => rest.get(..length).map(|body| (body.to_vec(), length)),
        Framing::Close if rest.len() > MOST => return Err("a body without an end".into()),
        Framing::Close => ended.then(|| (rest.to_vec(), rest.len())),
    };
    Ok(body.map(|(body, used)| Answer {
        body,
        keep: head.keep && !ended && used == rest.len(),
    }))
}

/// The head of the final answer, behind any interim ones, and where its body begins.
fn head(bytes: &[u8]) -> Result<Option<(Head, usize)>, String> {
    let mut at = 0;
    loop {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let parsed = response
            .parse(&bytes[at..])
            .map_err(|e| format!("no HTTP: {e}"))?;
        let httparse::Status::Complete(size) = parsed else {
            let endless = bytes.len() - at > LINE;
            return if endless {
                Err("the answer has no end of its head".into())
            } else {
                Ok(None)
            };
        };
        at += size;
        match response.code {
            Some(100 | 102..=199) => {}
            Some(200) => return Ok(Some((read_head(&response)?, at))),
            code => return Err(format!("HTTP status {code:?}")),
        }
    }
}

fn read_head(response: &httparse::Response) -> Result<Head, String> {
    // Fields may come more than once, and each may be a list.
    let values = |name: &str| {
        let named = response
            .headers
            .iter()
            .filter(|f| f.name.eq_ignore_ascii_case(name));
        let text = named
            .filter_map(|f| std::str::from_utf8(f.value).ok())
            .collect::<Vec<_>>()
            .join(",");
        let all: Vec<_> = text
            .split(',')
            .map(|v| v.trim().to_ascii_lowercase())
            .collect();
        all.into_iter()
            .filter(|v| !v.is_empty())
            .collect::<Vec<_>>()
    };
    let (connection, coding, lengths) = (
        values("connection"),
        values("transfer-encoding"),
        values("content-length"),
    );
    let says = |word: &str| connection.iter().any(|v| v == word);
    // Without a word, HTTP/1.1 keeps its connections and HTTP/1.0 does not.
    let keep = !says("close") && (response.version == Some(1) || says("keep-alive"));
    let framing = match (coding.last(), lengths.first()) {
        (Some(last), _) if last == "chunked" => Framing::Chunked,
        (Some(_), _) | (None, None) => Framing::Close,
        (None, Some(length)) => Framing::Length(read_length(length, &lengths)?),
    };
    Ok(Head { framing, keep })
}

fn read_length(length: &str, all: &[String]) -> Result<usize, String> {
    let digits =
        length.bytes().all(|b| b.is_ascii_digit()) && all.iter().all(|other| other == length);
    length
        .parse()
        .ok()
        .filter(|_| digits)
        .ok_or_else(|| format!("a length of {}", all.join(",")))
}

/// The line that these bytes begin with, without its end, and what it takes with it; `None` while it is not whole.
fn line(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, String> {
    match bytes.iter().take(LINE).position(|b| *b == b'\n') {
        Some(at) => Ok(Some((
            bytes[..at].strip_suffix(b"\r").unwrap_or(&bytes[..at]),
            at + 1,
        ))),
        None if bytes.len() >= LINE => Err("a line between chunks has no end".into()),
        None => Ok(None),
    }
}

/// The body that these chunks are, and what they take with their trailers.
fn chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, String> {
    let (mut body, mut at) = (vec![], 0);
    loop {
        let Some((text, used)) = line(&bytes[at..])? else {
            return Ok(None);
        };
        let size = chunk_size(text)?;
        at += used;
        if size == 0 {
            return Ok(trailers(&bytes[at..])?.map(|used| (body, at + used)));
        }
        if size > MOST - body.len() {
            return Err("the answer is too long".into());
        }
        let Some(chunk) = bytes.get(at..at + size) else {
            return Ok(None);
        };
        let Some((after, used)) = line(&bytes[at + size..])? else {
            return Ok(None);
        };
        if !after.is_empty() {
            return Err("a chunk is longer than it says".into());
        }
        body.extend_from_slice(chunk);
        at += size + used;
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, String> {
    let size = line
        .split(|b| *b == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let hex = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(size).ok().filter(|_| hex);
    let size = text.and_then(|text| usize::from_str_radix(text, 16).ok());
    size.ok_or_else(|| format!("no size of a chunk: {:?}", String::from_utf8_lossy(line)))
}

/// What fields behind the last chunk take, with the empty line that ends them.
fn trailers(bytes: &[u8]) -> Result<Option<usize>, String> {
    let mut at = 0;
    while let Some((text, used)) = line(&bytes[at..])? {
        at += used;
        if text.is_empty() {
            return Ok(Some(at));
        }
    }
    Ok(None)
}
