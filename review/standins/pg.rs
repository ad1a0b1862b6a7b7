//! PostgreSQL's protocol, as far as the pages use it: messages, a client, and the frame of a
//! database.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::common::{millis, serve};

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[kind], &length[..], body].concat()
}

pub fn read_message(from: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    from.read_exact(&mut body)?;
    Ok((head[0], body))
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// The description of the one column.
pub fn description() -> Vec<u8> {
    message(b'T', &[&[0, 1], &b"body\0"[..], &[0; 18]].concat())
}

pub fn complete(tag: &str) -> Vec<u8> {
    message(b'C', format!("{tag}\0").as_bytes())
}

/// A whole answer with one row of one column, without ReadyForQuery.
pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let length = (value.len() as u32).to_be_bytes();
    let data = message(b'D', &[&[0, 1], &length[..], value].concat());
    [description(), data, complete(tag)].concat()
}

/// The value of a name in the comment of a query.
pub fn field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let comment = query.split_once("/*")?.1.split_once("*/")?.0;
    let mut pairs = comment.split(',').filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
}

/// The first quoted text of a query.
pub fn quoted(query: &str) -> &str {
    query.split('\'').nth(1).unwrap_or_default()
}

/// A database's session: welcomes any user, and hands each query to `answer`, which writes the
/// whole answer itself. A session ends with the first error.
pub fn database(
    answer: impl Fn(&str, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let answer = Arc::new(answer);
    serve(move |mut stream| {
        let _ = serve_session(&mut stream, &*answer);
    })
}

fn serve_session(
    stream: &mut TcpStream,
    answer: &dyn Fn(&str, &mut TcpStream) -> io::Result<()>,
) -> io::Result<()> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut rest = vec![0; (u32::from_be_bytes(head) as usize).saturating_sub(4)];
    stream.read_exact(&mut rest)?;
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat())?;
    loop {
        let (kind, body) = read_message(stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        let query = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
        answer(&query, stream)?;
    }
}

/// What a client was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served(Vec<u8>),
    /// 53300 or 57P03.
    Refused,
    Failed(String),
    Empty,
    /// The connection ended, or nothing came in time.
    Cut(String),
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Self::Served(value) if value.len() <= 64 => {
                format!("served {}", String::from_utf8_lossy(value))
            }
            Self::Served(value) => format!("served {} bytes", value.len()),
            other => format!("{other:?}"),
        }
    }
}

/// The startup message of a client.
pub fn startup() -> Vec<u8> {
    let fields = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    [&(fields.len() as u32 + 4).to_be_bytes()[..], fields].concat()
}

pub struct Client(pub TcpStream);

impl Client {
    /// Connects and opens a session.
    pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&address, millis(1000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.write_all(&startup())?;
        while read_message(&mut stream)?.0 != b'Z' {}
        Ok(Self(stream))
    }

    pub fn send(&mut self, query: &str) -> io::Result<()> {
        self.0.write_all(&message(b'Q', format!("{query}\0").as_bytes()))
    }

    /// Reads one answer up to ReadyForQuery.
    pub fn answer(&mut self) -> Answer {
        let mut answer = None;
        loop {
            let (kind, body) = match read_message(&mut self.0) {
                Ok(message) => message,
                Err(e) => return answer.unwrap_or(Answer::Cut(e.kind().to_string())),
            };
            match kind {
                b'D' => answer = Some(Answer::Served(body.get(6..).unwrap_or_default().to_vec())),
                b'I' => answer = Some(Answer::Empty),
                b'E' => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let code = text.split('\0').find_map(|f| f.strip_prefix('C'));
                    answer = Some(match code {
                        Some("53300" | "57P03") => Answer::Refused,
                        code => Answer::Failed(code.unwrap_or("no code").to_owned()),
                    });
                }
                b'Z' => return answer.unwrap_or(Answer::Empty),
                _ => {}
            }
        }
    }

    pub fn query(&mut self, query: &str) -> Answer {
        match self.send(query) {
            Ok(()) => self.answer(),
            Err(e) => Answer::Cut(e.kind().to_string()),
        }
    }
}

/// Whether a gateway answers an empty query, as the front asks before it takes a gateway in.
pub fn is_ready(address: SocketAddr) -> bool {
    let client = Client::connect(address, millis(1000));
    client.is_ok_and(|mut client| client.query("") == Answer::Empty)
}
