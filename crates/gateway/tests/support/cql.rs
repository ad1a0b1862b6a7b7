//! Stub nodes and a client that speak the Cassandra native protocol.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use super::{TEST_TIMEOUT, spawn_server};

pub(crate) const ERROR: u8 = 0x00;
pub(crate) const READY: u8 = 0x02;
pub(crate) const SUPPORTED: u8 = 0x06;
pub(crate) const RESULT: u8 = 0x08;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Frame {
    pub version: u8,
    pub flags: u8,
    pub stream: i16,
    pub op: u8,
    pub body: Vec<u8>,
}

impl Frame {
    pub(crate) fn bytes(&self) -> Vec<u8> {
        let length = u32::try_from(self.body.len()).unwrap().to_be_bytes();
        let s = self.stream.to_be_bytes();
        [
            &[self.version, self.flags, s[0], s[1], self.op],
            &length[..],
            &self.body,
        ]
        .concat()
    }
    pub(crate) fn read(from: &mut impl Read) -> Option<Self> {
        let mut h = [0; 9];
        from.read_exact(&mut h).ok()?;
        let mut body = vec![0; u32::from_be_bytes(h[5..].try_into().unwrap()) as usize];
        from.read_exact(&mut body).ok()?;
        Some(Self {
            version: h[0],
            flags: h[1],
            stream: i16::from_be_bytes([h[2], h[3]]),
            op: h[4],
            body,
        })
    }
    /// Code and message of an error, which follow the custom payload if there is one.
    pub(crate) fn error(&self) -> (u32, String) {
        assert_eq!(self.op, ERROR, "{self:?}");
        let mut at = &self.body[..];
        if self.flags & 4 != 0 {
            let key = usize::from(at[3]);
            let value = usize::from(at[4 + key + 3]);
            at = &at[4 + key + 4 + value..];
        }
        let text =
            String::from_utf8(at[6..6 + usize::from(at[5]) + 256 * usize::from(at[4])].to_vec());
        (
            u32::from_be_bytes(at[..4].try_into().unwrap()),
            text.unwrap(),
        )
    }
}

pub(crate) fn long(text: &str) -> Vec<u8> {
    [
        &u32::try_from(text.len()).unwrap().to_be_bytes()[..],
        text.as_bytes(),
    ]
    .concat()
}

pub(crate) fn short(bytes: &[u8]) -> Vec<u8> {
    [
        &u16::try_from(bytes.len()).unwrap().to_be_bytes()[..],
        bytes,
    ]
    .concat()
}

/// Opcode and body of a QUERY.
pub(crate) fn query(text: &str) -> (u8, Vec<u8>) {
    (0x07, [&long(text)[..], &[0, 1, 0]].concat())
}

/// Body of a rows result: one row of one column, without metadata.
pub(crate) fn rows_body(value: &str) -> Vec<u8> {
    [
        &[0, 0, 0, 2, 0, 0, 0, 4, 0, 0, 0, 1, 0, 0, 0, 1][..],
        &long(value),
    ]
    .concat()
}

pub(crate) fn error_body(code: u32, more: &[u8]) -> Vec<u8> {
    [&code.to_be_bytes()[..], &short(b"no"), more].concat()
}

/// How a stub node replies to a request.
pub(crate) enum Reply {
    /// A frame with this opcode and body.
    Send(u8, Vec<u8>),
    /// Part of a frame, then the end of the connection.
    PartialThenClose,
    /// Closes the connection without a reply.
    Close,
    /// Part of a frame, then nothing more on this connection, whatever is requested.
    PartialThenStall,
    /// No reply to this request; the connection stays in use.
    Unanswered,
}

/// What a stub node has recorded.
#[derive(Default)]
pub(crate) struct StubNode {
    /// Each request with its arrival time and the number of its connection.
    pub requests: Mutex<Vec<(Instant, usize, Frame)>>,
    /// Number of connections accepted.
    pub opened: AtomicUsize,
    /// Number of connections that have ended.
    pub closed: AtomicUsize,
}

/// Starts a stub node that, like a real one, processes the requests of a connection concurrently
/// and answers them in any order.
pub(crate) fn stub_node(
    reply_to: impl Fn(&Frame, &StubNode) -> Reply + Send + Sync + 'static,
) -> (SocketAddr, Arc<StubNode>) {
    let node = Arc::new(StubNode::default());
    let (shared, reply_to) = (Arc::clone(&node), Arc::new(reply_to));
    let address = spawn_server(move |mut stream| {
        let connection = shared.opened.fetch_add(1, Ordering::SeqCst);
        let out = Arc::new(Mutex::new(stream.try_clone().unwrap()));
        while let Some(frame) = Frame::read(&mut stream) {
            if !matches!(frame.op, 0x01 | 0x05) {
                shared
                    .requests
                    .lock()
                    .unwrap()
                    .push((Instant::now(), connection, frame.clone()));
            }
            let (shared, reply_to, out) =
                (Arc::clone(&shared), Arc::clone(&reply_to), Arc::clone(&out));
            std::thread::spawn(move || answer(&frame, &shared, &*reply_to, &out));
        }
        shared.closed.fetch_add(1, Ordering::SeqCst);
    });
    (address, node)
}

fn answer(
    frame: &Frame,
    node: &StubNode,
    reply_to: &dyn Fn(&Frame, &StubNode) -> Reply,
    out: &Mutex<TcpStream>,
) {
    let response = |op, body| {
        Frame {
            version: 0x84,
            flags: 0,
            stream: frame.stream,
            op,
            body,
        }
        .bytes()
    };
    let reply = match frame.op {
        0x01 => Reply::Send(READY, vec![]),
        0x05 => Reply::Send(SUPPORTED, vec![0, 0]),
        _ => reply_to(frame, node),
    };
    let mut out = out.lock().unwrap();
    let (bytes, closes) = match reply {
        Reply::Unanswered => return,
        Reply::Send(op, body) => (response(op, body), false),
        Reply::Close => (vec![], true),
        Reply::PartialThenClose => (
            response(RESULT, rows_body("incomplete"))[..14].to_vec(),
            true,
        ),
        Reply::PartialThenStall => {
            let _ = out.write_all(&response(RESULT, rows_body("incomplete"))[..14]);
            // Holds the output, so that nothing more is sent before the peer closes the connection.
            while out.peek(&mut [0; 4096]).is_ok_and(|n| n > 0) {
                std::thread::sleep(std::time::Duration::from_millis(5));
            }
            return;
        }
    };
    let _ = out.write_all(&bytes);
    if closes {
        let _ = out.shutdown(std::net::Shutdown::Both);
    }
}

/// Replies with a row that holds the body of the request.
pub(crate) fn echo_query(frame: &Frame, _: &StubNode) -> Reply {
    let text = String::from_utf8_lossy(&frame.body).into_owned();
    Reply::Send(RESULT, rows_body(&text))
}

/// Starts a stub node that echoes, and holds its replies while the switch is set.
pub(crate) fn node_that_can_be_silent() -> (SocketAddr, Arc<AtomicBool>) {
    let silent = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&silent);
    let (address, _) = stub_node(move |frame, node| {
        while switch.load(Ordering::SeqCst) {
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        echo_query(frame, node)
    });
    (address, silent)
}

/// A request as encoded on the wire.
pub(crate) fn request_frame(op: u8, body: Vec<u8>) -> Vec<u8> {
    let frame = Frame {
        version: 4,
        flags: 0,
        stream: 1,
        op,
        body,
    };
    frame.bytes()
}

/// The message that opens a session.
pub(crate) fn startup_body() -> Vec<u8> {
    [&[0, 1][..], &short(b"CQL_VERSION"), &short(b"3.0.0")].concat()
}

pub(crate) struct Client(pub TcpStream);

impl Client {
    pub(crate) fn connect_raw(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self(stream)
    }
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let mut client = Self::connect_raw(address);
        assert_eq!(client.request(1, (0x01, startup_body())).op, READY);
        client
    }
    pub(crate) fn send(&mut self, stream: i16, (op, body): (u8, Vec<u8>)) {
        self.0
            .write_all(
                &Frame {
                    version: 4,
                    flags: 0,
                    stream,
                    op,
                    body,
                }
                .bytes(),
            )
            .unwrap();
    }
    pub(crate) fn answer(&mut self) -> Frame {
        Frame::read(&mut self.0).expect("an answer")
    }
    pub(crate) fn request(&mut self, stream: i16, request: (u8, Vec<u8>)) -> Frame {
        self.send(stream, request);
        let answer = self.answer();
        assert_eq!((answer.version, answer.stream), (0x84, stream));
        answer
    }
}

/// A node in a front's configuration.
pub(crate) struct Member {
    pub address: SocketAddr,
    pub state: &'static str,
}

/// A request class in a front's configuration, with a latency objective of 600 ms.
pub(crate) struct Contract {
    pub name: &'static str,
    pub statements: &'static str,
    pub need: &'static str,
    pub effect: &'static str,
    pub deadline_ms: u64,
}

/// The configuration of a front whose first member is the primary.
pub(crate) fn front_config(
    listen: SocketAddr,
    members: &[Member],
    contracts: &[Contract],
) -> String {
    let mut text =
        format!("[[front]]\nname = \"stays\"\nprotocol = \"cassandra\"\nlisten = \"{listen}\"\n");
    for (n, Member { address, state }) in members.iter().enumerate() {
        let primary = n == 0;
        text += &format!(
            "[[front.member]]\nname = \"m{n}\"\naddress = \"{address}\"\nprimary = {primary}\nstate = \"{state}\"\n"
        );
    }
    for contract in contracts {
        let Contract {
            name,
            statements,
            need,
            effect,
            deadline_ms,
        } = contract;
        text += &format!(
            "[[front.contract]]\nname = \"{name}\"\nstatements = [\"{statements}\"]\nneed = \"{need}\"\neffect = \"{effect}\"\naim-ms = 600\ndeadline-ms = {deadline_ms}\nworth = 4\nlate-worth = 0.3\n"
        );
        if *effect == "keyed" {
            text += "window-ms = 5000\n";
        }
    }
    text
}
