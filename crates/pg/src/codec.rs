//! PostgreSQL's protocol, version 3, as far as simple queries need it. Lengths are checked before anything is
//! taken into memory.

use std::io::{self, Read, Write};

/// The longest message that a client may send: a value of 64 KiB in hexadecimal digits, and its statement.
pub const FROM_CLIENT: usize = 160 * 1024;
/// The longest message that a server may send, but for rows: it is held whole.
pub const FROM_SERVER: usize = 1024 * 1024;
/// The longest row that a server may send: values have up to 4 MiB.
pub const LONGEST: usize = 16 * 1024 * 1024;
/// Rows with values above this are passed on as they come, and are never held.
pub const LONG: usize = 64 * 1024;
/// Up to here memory for a message is taken at once: growing it bit by bit leaves the heap in pieces.
const USUAL: usize = 64 * 1024;
/// The longest startup message.
const STARTUP: usize = 10_000;

/// What a connection begins with.
#[derive(Debug, PartialEq, Eq)]
pub enum Opening {
    /// A session.
    Startup,
    /// A wish for encryption, which is answered with a plain no.
    Encryption,
    /// Calls off what another connection does; nothing here can be named that way.
    Cancel,
    /// Another version of the protocol.
    Unknown(u32),
}

fn invalid(what: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn word(from: &mut impl Read) -> io::Result<u32> {
    let mut bytes = [0; 4];
    from.read_exact(&mut bytes)?;
    Ok(u32::from_be_bytes(bytes))
}

/// The length of what a message holds.
fn length(from: &mut impl Read, most: usize) -> io::Result<usize> {
    let length = word(from)? as usize;
    if !(4..=most + 4).contains(&length) {
        return Err(invalid(format!(
            "a message of {length} bytes, where {most} are the most"
        )));
    }
    Ok(length - 4)
}

/// Reads what a message holds.
pub fn read_body(from: &mut impl Read, length: usize, most: usize) -> io::Result<Vec<u8>> {
    if length > most {
        return Err(invalid(format!(
            "a message of {} bytes, where {most} are the most",
            length + 4
        )));
    }
    // Beyond what values usually have, memory is taken as bytes come, not for what a length claims.
    let mut bytes = Vec::with_capacity(length.min(USUAL));
    if from.take(length as u64).read_to_end(&mut bytes)? < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(bytes)
}

/// Reads what a connection begins with.
pub fn read_opening(from: &mut impl Read) -> io::Result<Opening> {
    let length = length(from, STARTUP)?;
    let bytes = read_body(from, length, STARTUP)?;
    let code = bytes.first_chunk().map(|b| u32::from_be_bytes(*b));
    Ok(
        match code.ok_or_else(|| invalid("a startup message without a version".into()))? {
            80_877_103 | 80_877_104 => Opening::Encryption,
            80_877_102 => Opening::Cancel,
            version if version >> 16 == 3 => Opening::Startup,
            other => Opening::Unknown(other),
        },
    )
}

/// Reads a message: its type and what it holds.
pub fn read_message(from: &mut impl Read, most: usize) -> io::Result<(u8, Vec<u8>)> {
    let (kind, length) = read_head(from, most)?;
    Ok((kind, read_body(from, length, most)?))
}

/// Reads the head of a message: its type and the length of what it holds.
pub fn read_head(from: &mut impl Read, most: usize) -> io::Result<(u8, usize)> {
    let mut kind = [0];
    from.read_exact(&mut kind)?;
    Ok((kind[0], length(from, most)?))
}

/// The head of a message that holds so much.
#[allow(clippy::cast_possible_truncation)]
pub fn head(kind: u8, length: usize) -> [u8; 5] {
    let mut head = [kind, 0, 0, 0, 0];
    head[1..].copy_from_slice(&((length + 4) as u32).to_be_bytes());
    head
}

/// Appends a message.
pub fn put(out: &mut Vec<u8>, kind: u8, parts: &[&[u8]]) {
    out.extend_from_slice(&head(kind, parts.iter().map(|p| p.len()).sum()));
    parts.iter().for_each(|p| out.extend_from_slice(p));
}

/// Ready for the next query.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

/// An error, with its code and, where there is one, its detail.
pub fn put_error(out: &mut Vec<u8>, severity: &str, code: &str, text: &str, detail: Option<&str>) {
    let mut fields = format!("S{severity}\0V{severity}\0C{code}\0M{text}\0");
    if let Some(detail) = detail {
        fields.push_str(&format!("D{detail}\0"));
    }
    put(out, b'E', &[fields.as_bytes(), b"\0"]);
}

/// What a session is greeted with.
pub fn greeting() -> Vec<u8> {
    let mut out = vec![];
    put(&mut out, b'R', &[&0_u32.to_be_bytes()]);
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
    ] {
        put(
            &mut out,
            b'S',
            &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"],
        );
    }
    put(&mut out, b'K', &[&[0; 8]]);
    put_ready(&mut out);
    out
}

/// Writes the startup message of a session.
#[allow(clippy::cast_possible_truncation)]
pub fn write_startup(to: &mut impl Write) -> io::Result<()> {
    let fields = b"user\0worker\0database\0catalog\0\0";
    let mut out = ((8 + fields.len()) as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&(3_u32 << 16).to_be_bytes());
    out.extend_from_slice(fields);
    to.write_all(&out)
}

/// A field of an error or a notice; `None` also where these are not fields up to the end.
pub fn field(body: &[u8], name: u8) -> Option<&str> {
    let fields = body.strip_suffix(b"\0\0")?;
    let mut parts = fields.split(|b| *b == 0);
    parts
        .find(|p| p.first() == Some(&name))
        .and_then(|p| std::str::from_utf8(&p[1..]).ok())
}

/// Texts that each end with a zero byte: exactly so many, and nothing behind them.
fn texts<const N: usize>(body: &[u8]) -> Option<[&str; N]> {
    let text = std::str::from_utf8(body.strip_suffix(b"\0")?).ok()?;
    text.split('\0').collect::<Vec<_>>().try_into().ok()
}

/// Name and value of a ParameterStatus.
pub fn parameter(body: &[u8]) -> Option<[&str; 2]> {
    texts(body)
}

/// The head of a row of one column, whose value has `length` bytes.
#[allow(clippy::cast_possible_truncation)]
pub fn value_head(length: usize) -> [u8; 6] {
    let mut head = [0, 1, 0, 0, 0, 0];
    head[2..].copy_from_slice(&(length as u32).to_be_bytes());
    head
}

/// The tag of a CommandComplete.
pub fn tag(body: &[u8]) -> Option<&str> {
    texts(body).map(|[tag]| tag)
}

/// Whether a RowDescription describes one column.
pub fn one_column(body: &[u8]) -> bool {
    let name = body
        .strip_prefix(&[0, 1])
        .and_then(|rest| rest.split_at_checked(rest.len().checked_sub(18)?));
    name.is_some_and(|(name, _)| name.iter().position(|b| *b == 0) == name.len().checked_sub(1))
}

/// The only column of a DataRow; `None` where there are more or it is null.
pub fn column(body: &[u8]) -> Option<&[u8]> {
    let (count, rest) = body.split_first_chunk::<2>()?;
    let (length, value) = rest.split_first_chunk::<4>()?;
    (*count == [0, 1] && u32::from_be_bytes(*length) as usize == value.len()).then_some(value)
}

/// The leading comment's content and where the statement goes on behind it.
pub fn comment(query: &str) -> Option<(&str, &str)> {
    query.trim_start().strip_prefix("/*")?.split_once("*/")
}

/// The query with another `d` in its comment; all else stays as it is.
pub fn with_deadline(query: &[u8], ms: i64) -> Vec<u8> {
    let mut out = Vec::with_capacity(query.len() + 8);
    let end = query.windows(2).position(|w| w == b"*/").unwrap_or(0);
    let starts = |at: &usize| {
        query[*at..].starts_with(b"d=")
            && matches!(
                query[..*at].trim_ascii_end().last(),
                None | Some(b',' | b'*')
            )
    };
    let Some(at) = (0..end).find(starts) else {
        return query.to_vec();
    };
    let value = query[at + 2..end]
        .iter()
        .take_while(|b| !matches!(b, b',' | b' '))
        .count();
    out.extend_from_slice(&query[..at + 2]);
    out.extend_from_slice(ms.to_string().as_bytes());
    out.extend_from_slice(&query[at + 2 + value..]);
    out
}
