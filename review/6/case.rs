//! A node of the Cassandra front hangs with a keyed write out. Is the write given to another node
//! while the first attempt is still out on an open connection?

#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const STARTUP: u8 = 1;
const READY: u8 = 2;
const OPTIONS: u8 = 5;
const SUPPORTED: u8 = 6;
const QUERY: u8 = 7;
const RESULT: u8 = 8;
const WORK_MS: u64 = 20;
/// What a time limit on sockets is longer by.
const SLACK: Duration = Duration::from_millis(50);
const NODES: usize = 6;
/// The write is waited for, and then the node goes on this much later.
const HANG_MS: u64 = 5_000;

fn frame(version: u8, stream: i16, opcode: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![version, 0];
    out.extend_from_slice(&stream.to_be_bytes());
    out.push(opcode);
    out.extend_from_slice(&u32::try_from(body.len()).unwrap().to_be_bytes());
    out.extend_from_slice(body);
    out
}

fn read_frame(from: &mut impl Read) -> Option<(i16, u8, Vec<u8>)> {
    let mut head = [0; 9];
    from.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[5..9].try_into().unwrap()) as usize;
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((i16::from_be_bytes([head[2], head[3]]), head[4], body))
}

fn string_map(entries: &[(&str, &str)]) -> Vec<u8> {
    let mut out = (entries.len() as u16).to_be_bytes().to_vec();
    for text in entries.iter().flat_map(|(name, value)| [name, value]) {
        out.extend_from_slice(&(text.len() as u16).to_be_bytes());
        out.extend_from_slice(text.as_bytes());
    }
    out
}

fn query_body(statement: &str) -> Vec<u8> {
    let mut out = (statement.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(statement.as_bytes());
    out.extend_from_slice(&[0, 1, 0]); // consistency ONE, no flags
    out
}

fn statement(body: &[u8]) -> String {
    let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
    String::from_utf8_lossy(&body[4..4 + length]).into_owned()
}

/// When a node got a statement, and when the connection that it came on was ended.
#[derive(Clone)]
struct Attempt {
    node: &'static str,
    statement: String,
    received: Instant,
    connection_ended: Option<Instant>,
    answered: Option<Instant>,
    ran: bool,
}

struct Node {
    name: &'static str,
    hangs: AtomicBool,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    next_connection: AtomicUsize,
}

impl Node {
    fn start(name: &'static str, attempts: &Arc<Mutex<Vec<Attempt>>>) -> (SocketAddr, Arc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let node = Arc::new(Self {
            name,
            hangs: AtomicBool::new(false),
            attempts: Arc::clone(attempts),
            next_connection: AtomicUsize::new(0),
        });
        let shared = Arc::clone(&node);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        (address, node)
    }

    fn wait_while_hanging(&self) {
        while self.hangs.load(Ordering::SeqCst) {
            sleep_ms(1);
        }
    }

    /// The thread that reads stands for the wire: it notes what has come, even while the node hangs.
    fn serve(self: Arc<Self>, stream: TcpStream) {
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        let _ = stream.set_nodelay(true);
        let mut own = vec![];
        let mut reading = stream.try_clone().unwrap();
        while let Some((id, opcode, body)) = read_frame(&mut reading) {
            if opcode == QUERY {
                let statement = statement(&body);
                note(&format!("{}: received on connection {number}, stream {id}: {statement}", self.name));
                let mut attempts = self.attempts.lock().unwrap();
                own.push(attempts.len());
                attempts.push(Attempt { node: self.name, statement, received: Instant::now(), connection_ended: None, answered: None, ran: false });
            }
            let (node, writing) = (Arc::clone(&self), stream.try_clone().unwrap());
            let attempt = own.last().copied();
            thread::spawn(move || node.answer(writing, id, opcode, attempt));
        }
        note(&format!("{}: the gateway has ended connection {number}", self.name));
        let mut attempts = self.attempts.lock().unwrap();
        for index in own {
            attempts[index].connection_ended = Some(Instant::now());
        }
    }

    fn answer(&self, mut stream: TcpStream, id: i16, opcode: u8, attempt: Option<usize>) {
        self.wait_while_hanging();
        let reply = match opcode {
            STARTUP => frame(0x84, id, READY, &[]),
            OPTIONS => frame(0x84, id, SUPPORTED, &[0, 0]),
            _ => {
                sleep_ms(WORK_MS);
                self.wait_while_hanging();
                if let Some(index) = attempt {
                    let mut attempts = self.attempts.lock().unwrap();
                    attempts[index].ran = true;
                    attempts[index].answered = Some(Instant::now());
                    note(&format!("{}: ran {}", self.name, attempts[index].statement));
                }
                frame(0x84, id, RESULT, &1_u32.to_be_bytes())
            }
        };
        let _ = stream.write_all(&reply);
    }
}

struct CqlClient(TcpStream);

impl CqlClient {
    fn connect(address: SocketAddr) -> Option<Self> {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
        let startup = frame(4, 0, STARTUP, &string_map(&[("CQL_VERSION", "3.0.0")]));
        stream.write_all(&startup).ok()?;
        read_frame(&mut stream)?;
        Some(Self(stream))
    }

    fn ask(&mut self, text: &str) -> Option<u8> {
        note(&format!("client: sends {text}"));
        self.0.write_all(&frame(4, 1, QUERY, &query_body(text))).ok()?;
        let (_, opcode, body) = read_frame(&mut self.0)?;
        let text = String::from_utf8_lossy(&body).chars().filter(|c| !c.is_control()).collect::<String>();
        note(&format!("client: answer with opcode {opcode} {text}"));
        Some(opcode)
    }
}

fn insert(n: usize) -> String {
    format!("INSERT INTO stays.guest (id, pitch) VALUES ({n}, 'p-{n}')")
}

fn main() {
    begin();
    let attempts = Arc::default();
    let names = ["stay-1", "stay-2", "stay-3", "stay-4", "stay-5", "stay-6"];
    let nodes: [_; NODES] = names.map(|name| Node::start(name, &attempts));
    let first = Arc::clone(&nodes[0].1);
    let member = |(n, (address, node)): (usize, &(SocketAddr, Arc<Node>))| {
        format!("[[front.member]]\nname = {:?}\naddress = \"{address}\"\nprimary = {}\n", node.name, n == 0)
    };
    let members: String = nodes.iter().enumerate().map(member).collect();
    let listen = free_address();
    let path = temp_file("gateway.toml");
    let file = format!(
        r#"
[gateway]
name = "gateway-1"
[[front]]
name = "stays"
protocol = "cassandra"
listen = "{listen}"
{members}[[front.contract]]
name = "stay-write"
statements = ["INSERT INTO stays.", "UPDATE stays."]
need = "write"
effect = "keyed"
window-ms = 5000
aim-ms = 600
deadline-ms = 5000
worth = 4
late-worth = 0.3
"#
    );
    std::fs::write(&path, file).unwrap();
    let gateway = Gateway::spawn(listen, &path, &format!("serve {}", path.display()));
    let mut client = None;
    for _ in 0..200 {
        if client.is_none() {
            client = CqlClient::connect(listen);
            sleep_ms(20);
        }
    }
    let Some(mut client) = client else {
        finish(CANNOT_RUN, "the front does not answer");
    };
    for n in 0..30 {
        client.ask(&insert(n));
        sleep_ms(20);
    }
    if trouble() {
        note("stay-1 hangs");
        first.hangs.store(true, Ordering::SeqCst);
    }
    let asked = insert(1_000);
    client.ask(&asked);
    sleep_ms(HANG_MS);
    note("stay-1 goes on");
    first.hangs.store(false, Ordering::SeqCst);
    sleep_ms(500);
    gateway.record_log();
    let attempts = attempts.lock().unwrap();
    let of_request: Vec<&Attempt> = attempts.iter().filter(|a| a.statement == asked).collect();
    for attempt in &of_request {
        let ended = attempt.connection_ended.map(|at| at.saturating_duration_since(attempt.received).as_millis());
        note(&format!("attempt at {}: its connection ended after {ended:?} ms, ran: {}", attempt.node, attempt.ran));
    }
    if of_request.is_empty() {
        finish(CANNOT_RUN, "no attempt came");
    }
    for pair in of_request.windows(2) {
        let (earlier, later) = (pair[0], pair[1]);
        let ends = [earlier.connection_ended, earlier.answered];
        let out_until = ends.into_iter().flatten().min();
        if out_until.is_none_or(|until| until > later.received + SLACK) {
            let ms = out_until.map_or(-1, |ended| ended.duration_since(later.received).as_millis() as i64);
            finish(
                BROKEN,
                &format!(
                    "the write was out at {} and {} at once: the first attempt's connection stayed open for {ms} ms after the second attempt had come; it ran {} times",
                    earlier.node,
                    later.node,
                    of_request.iter().filter(|a| a.ran).count()
                ),
            );
        }
    }
    finish(HELD, &format!("{} attempts, never two at once", of_request.len()))
}
