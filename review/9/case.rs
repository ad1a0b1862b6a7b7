//! A client of the Cassandra front sends many long reports at once and goes. Are reports given to a node
//! after their client has gone?

#[path = "../stand-ins-2/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const STARTUP: u8 = 1;
const READY: u8 = 2;
const OPTIONS: u8 = 5;
const SUPPORTED: u8 = 6;
const QUERY: u8 = 7;
const RESULT: u8 = 8;
const NODES: usize = 3;
/// What a season-report is for a node: 800 to 1,400 ms.
const WORK_MS: u64 = 800;
/// Reports that the client sends at once, and the guests that each asks for.
const REPORTS: usize = 400;
const GUESTS: usize = 4_000;
/// Time from the first byte to the client's close.
const STAYS_MS: u64 = 100;
/// An attempt may still begin so long after the close: 0.1 s, and 50 ms on sockets, and what a gateway may
/// be held up.
const GRACE: Duration = Duration::from_millis(100 + 50 + 150);
const WATCHED_MS: u64 = 4_000;

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

fn report(n: usize) -> Vec<u8> {
    let guests: Vec<String> = (0..GUESTS).map(|guest| format!("{}", 100_000_000 + n * GUESTS + guest)).collect();
    let guests = guests.join(",");
    let text = format!("SELECT pitch, nights FROM stays.guest WHERE report = 'report-{n}' AND id IN ({guests})");
    let mut body = (text.len() as u32).to_be_bytes().to_vec();
    body.extend_from_slice(text.as_bytes());
    body.extend_from_slice(&[0, 1, 0]); // consistency ONE, no flags
    frame(4, n as i16, QUERY, &body)
}

type Received = Arc<Mutex<Vec<Instant>>>;

fn start_node(name: &'static str, received: &Received, running: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (received, running) = (Arc::clone(received), Arc::clone(running));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (received, running) = (Arc::clone(&received), Arc::clone(&running));
            thread::spawn(move || serve(name, stream, &received, &running));
        }
    });
    address
}

fn serve(name: &'static str, stream: TcpStream, received: &Received, running: &Arc<AtomicUsize>) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let mut stream = stream;
    while let Some((id, opcode, body)) = read_frame(&mut stream) {
        let reply = match opcode {
            STARTUP => frame(0x84, id, READY, &[]),
            OPTIONS => frame(0x84, id, SUPPORTED, &[0, 0]),
            _ => {
                let text = String::from_utf8_lossy(&body);
                let report = text.split('\'').nth(1).unwrap_or("?").to_owned();
                received.lock().unwrap().push(Instant::now());
                note(&format!("{name}: received {report}"));
                let (writer, running) = (Arc::clone(&writer), Arc::clone(running));
                running.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    sleep_ms(WORK_MS);
                    note(&format!("{name}: ran {report}"));
                    running.fetch_sub(1, Ordering::SeqCst);
                    let reply = frame(0x84, id, RESULT, &1_u32.to_be_bytes());
                    let _ = writer.lock().unwrap().write_all(&reply);
                });
                continue;
            }
        };
        let _ = writer.lock().unwrap().write_all(&reply);
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let mut body = vec![0, 1];
    for text in ["CQL_VERSION", "3.0.0"] {
        body.extend_from_slice(&(text.len() as u16).to_be_bytes());
        body.extend_from_slice(text.as_bytes());
    }
    stream.write_all(&frame(4, 0, STARTUP, &body)).ok()?;
    read_frame(&mut stream)?;
    Some(stream)
}

fn main() {
    begin();
    let received = Received::default();
    let running = Arc::default();
    let names = ["stay-1", "stay-2", "stay-3"];
    let nodes: [SocketAddr; NODES] = names.map(|name| start_node(name, &received, &running));
    let member = |(n, address): (usize, &SocketAddr)| {
        format!("[[front.member]]\nname = {:?}\naddress = \"{address}\"\nprimary = {}\n", names[n], n == 0)
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
{members}
[[front.contract]]
name = "season-report"
statements = ["SELECT"]
need = "any"
effect = "safe"
aim-ms = 6000
deadline-ms = 12000
worth = 4
"#
    );
    std::fs::write(&path, file).unwrap();
    let gateway = Gateway::spawn(listen, &path, &format!("serve {}", path.display()));
    let mut client = None;
    for _ in 0..200 {
        if client.is_none() {
            client = connect(listen);
            sleep_ms(20);
        }
    }
    let Some(mut client) = client else {
        finish(CANNOT_RUN, "the front does not answer");
    };
    // One report at a time first.
    for n in 0..3 {
        let _ = client.write_all(&report(n));
        if read_frame(&mut client).is_none() {
            finish(CANNOT_RUN, "a report was not answered");
        }
    }
    note(&format!("client: sends {REPORTS} reports at once"));
    let sending = client.try_clone().unwrap();
    sending.set_nonblocking(true).unwrap();
    let bytes: Vec<u8> = (0..REPORTS).flat_map(|n| report(1_000 + n)).collect();
    let mut sent = 0;
    let until = Instant::now() + Duration::from_millis(STAYS_MS);
    while Instant::now() < until {
        match (&sending).write(&bytes[sent..]) {
            Ok(count) => sent += count,
            Err(_) => sleep_ms(1),
        }
    }
    note(&format!("client: has sent {sent} of {} bytes", bytes.len()));
    let gone_at = Instant::now();
    if trouble() {
        note("client: closes its connection");
        drop(sending);
        drop(client);
        sleep_ms(WATCHED_MS);
    } else {
        drop(sending);
        client.set_nonblocking(false).unwrap();
        let mut answers = 0;
        client.set_read_timeout(Some(Duration::from_millis(1_000))).unwrap();
        while gone_at.elapsed() < Duration::from_millis(WATCHED_MS) && read_frame(&mut client).is_some() {
            answers += 1;
        }
        note(&format!("client: has read {answers} answers, and stays"));
        finish(HELD, "the client stayed: its reports may be given to nodes");
    }
    gateway.record_log();
    let received = received.lock().unwrap();
    let late: Vec<Duration> = received.iter().map(|at| at.saturating_duration_since(gone_at)).filter(|after| *after > GRACE).collect();
    note(&format!("reports that a node received later than {GRACE:?} after the close: {late:?}"));
    match late.iter().max() {
        Some(last) => finish(
            BROKEN,
            &format!("{} reports were given to nodes up to {} ms after their client had gone", late.len(), last.as_millis()),
        ),
        None => finish(HELD, "no report began after its client had gone"),
    }
}
