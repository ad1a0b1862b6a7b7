//! Stub members that answer at once, and clients that send one request at a time, for load on
//! sockets.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::Builder;
use std::time::Duration;

use socket2::SockRef;

use crate::load::Front;

const STACK_BYTES: usize = 128 * 1024;

/// Starts a stub member that serves until the process exits.
pub(crate) fn start(front: Front, primary: bool) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Builder::new().spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = move || match front {
                Front::Postgresql => serve_postgresql(&stream, primary),
                Front::Cassandra => serve_cassandra(&stream),
            };
            let _ = Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || drop(serve()));
        }
    })?;
    Ok(address)
}

/// Serves the Cassandra protocol; answers all frames that are buffered with one write.
fn serve_cassandra(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut from, mut out) = (BufReader::with_capacity(64 * 1024, stream), vec![]);
    loop {
        let (head, _) = read_frame(&mut from)?;
        let (op, body): (u8, &[u8]) = match head[4] {
            0x01 => (0x02, &[]),
            0x05 => (0x06, &[0, 0]),
            // A result of one row and one column, without metadata.
            _ => (
                0x08,
                &[
                    0, 0, 0, 2, 0, 0, 0, 4, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 4, b's', b't', b'a',
                    b'y',
                ],
            ),
        };
        out.extend_from_slice(&[0x84, 0, head[2], head[3], op]);
        out.extend_from_slice(&u32::try_from(body.len()).unwrap_or(0).to_be_bytes());
        out.extend_from_slice(body);
        if from.buffer().is_empty() {
            (&mut &*stream).write_all(&out)?;
            out.clear();
        }
    }
}

/// Reads a frame: header and body.
fn read_frame(from: &mut impl Read) -> io::Result<([u8; 9], Vec<u8>)> {
    let mut head = [0; 9];
    from.read_exact(&mut head)?;
    let mut body = vec![0; u32::from_be_bytes([head[5], head[6], head[7], head[8]]) as usize];
    from.read_exact(&mut body)?;
    Ok((head, body))
}

fn serve_postgresql(stream: &TcpStream, primary: bool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut from = BufReader::with_capacity(16 * 1024, stream);
    let mut head = [0; 4];
    from.read_exact(&mut head)?;
    io::copy(
        &mut from.by_ref().take(u64::from(u32::from_be_bytes(head)) - 4),
        &mut io::sink(),
    )?;
    let ready = message(b'Z', b"I");
    let mode = format!(
        "mode\0{}\0",
        if primary { "read-write" } else { "read-only" }
    );
    (&mut &*stream).write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())?;
    let answer = [
        row("pitch 7", "SELECT 1"),
        message(b'S', mode.as_bytes()),
        ready.clone(),
    ]
    .concat();
    loop {
        let (kind, body) = pg_message(&mut from)?;
        let bytes = match kind {
            b'Q' if body.starts_with(b"SHOW stats") => {
                let now = std::time::UNIX_EPOCH
                    .elapsed()
                    .map_or(0.0, |d| d.as_secs_f64());
                [
                    row(
                        &format!("x0={now},x1={},util=0.1,inflight=0", u8::from(primary)),
                        "SELECT 1",
                    ),
                    ready.clone(),
                ]
                .concat()
            }
            b'Q' => answer.clone(),
            _ => return Ok(()),
        };
        (&mut &*stream).write_all(&bytes)?;
    }
}

pub(crate) fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap_or(0).to_be_bytes();
    [&[kind], &length[..], body].concat()
}

pub(crate) fn pg_message(from: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]);
    let mut body = vec![0; (length as usize).saturating_sub(4)];
    from.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Whether the peer has closed or reset a connection.
pub(crate) fn is_ended(stream: &TcpStream) -> bool {
    let mut one = [std::mem::MaybeUninit::uninit()];
    match SockRef::from(stream).recv_with_flags(&mut one, libc::MSG_PEEK | libc::MSG_DONTWAIT) {
        Ok(more) => more == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// PostgreSQL messages of a result with one row and one column.
pub(crate) fn row(value: &str, tag: &str) -> Vec<u8> {
    let length = u32::try_from(value.len()).unwrap_or(0).to_be_bytes();
    let description = message(b'T', &[&[0, 1], &b"body\0"[..], &[0; 18]].concat());
    let data = message(b'D', &[&[0, 1], &length[..], value.as_bytes()].concat());
    [
        description,
        data,
        message(b'C', format!("{tag}\0").as_bytes()),
    ]
    .concat()
}

/// Reads the head of an HTTP request.
pub(crate) fn http_head(from: &mut impl Read) -> io::Result<String> {
    let mut head = vec![];
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        from.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// A client connection to a gateway.
pub(crate) struct Client {
    front: Front,
    stream: TcpStream,
    from: BufReader<TcpStream>,
}

impl Client {
    /// Connects and completes the startup handshake of the protocol.
    pub(crate) fn connect(front: Front, address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut client = Self {
            front,
            from: BufReader::new(stream.try_clone()?),
            stream,
        };
        match front {
            Front::Cassandra => {
                let body = b"\0\x01\0\x0bCQL_VERSION\0\x053.0.0";
                client.stream.write_all(
                    &[&[4, 0, 0, 0, 1, 0, 0, 0, body.len() as u8], &body[..]].concat(),
                )?;
                read_frame(&mut client.from)?;
            }
            Front::Postgresql => {
                let fields = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
                let length = u32::try_from(fields.len() + 4).unwrap_or(0).to_be_bytes();
                client.stream.write_all(&[&length[..], fields].concat())?;
                while pg_message(&mut client.from)?.0 != b'Z' {}
            }
        }
        Ok(client)
    }

    /// Sends a request and waits for the answer; returns whether it was served.
    pub(crate) fn ask(&mut self, id: u64) -> io::Result<bool> {
        match self.front {
            Front::Cassandra => {
                let text = b"SELECT * FROM stays.pitch WHERE n = 7";
                let body = [
                    &u32::try_from(text.len()).unwrap_or(0).to_be_bytes()[..],
                    text,
                    &[0, 1, 0],
                ]
                .concat();
                let stream = ((id & 0x7f) as u16).to_be_bytes();
                let head = [4, 0, stream[0], stream[1], 7, 0, 0, 0, body.len() as u8];
                self.stream.write_all(&[&head, &body[..]].concat())?;
                let (head, _) = read_frame(&mut self.from)?;
                Ok(head[4] == 0x08 && head[2..4] == stream)
            }
            Front::Postgresql => {
                let text =
                    format!("/* id=l{id},c=read,d=5000,cluster=0 */ SELECT pitch FROM pitches\0");
                self.query(&text).map(|value| value.is_some())
            }
        }
    }

    /// Sends a PostgreSQL query and waits for the answer; `None` if it failed.
    pub(crate) fn query(&mut self, text: &str) -> io::Result<Option<String>> {
        self.stream.write_all(&message(b'Q', text.as_bytes()))?;
        let mut value = None;
        loop {
            match pg_message(&mut self.from)? {
                (b'D', body) => {
                    value = body
                        .get(6..)
                        .map(|v| String::from_utf8_lossy(v).into_owned())
                }
                (b'Z', _) => return Ok(value),
                _ => {}
            }
        }
    }
}
