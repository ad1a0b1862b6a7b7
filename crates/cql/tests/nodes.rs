//! Attempts at a node that takes nothing for a while: what left whole is counted, and nothing else.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, bounded};
use valehatch_core::permission::SendPermit;
use valehatch_core::{ConnectionId, Event, Payload, UpstreamJob};
use valehatch_cql::Prepared;
use valehatch_cql::nodes::Nodes;
use valehatch_net::Clock;
use valehatch_net::upstream::Upstream;
use valehatch_policy::{Outcome, Span};
use valehatch_request_log::OutcomeMetrics;

const STARTUP: u8 = 0x01;
const READY: u8 = 0x02;
const QUERY: u8 = 0x07;
const WAIT: Duration = Duration::from_secs(30);

fn frame(version: u8, op: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).unwrap().to_be_bytes();
    [&[version, 0, 0, 0, op], &length[..], body].concat()
}

fn read(from: &mut impl Read) -> Option<u8> {
    let mut head = [0; 9];
    from.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes(head[5..].try_into().unwrap()) as usize];
    from.read_exact(&mut body).ok()?;
    Some(head[4])
}

/// Greets the first connection, reads nothing more until it may, and then all that came: how many whole requests. What it
/// reads it does not answer: an answer to who has closed would be answered by a reset, which takes along what was not read.
fn node(listener: &TcpListener, may: &Receiver<()>) -> u64 {
    let (mut stream, _) = listener.accept().unwrap();
    assert_eq!(read(&mut stream), Some(STARTUP));
    stream.write_all(&frame(0x84, READY, &[])).unwrap();
    may.recv().unwrap();
    std::iter::from_fn(|| read(&mut stream))
        .filter(|op| *op == QUERY)
        .count() as u64
}

#[test]
fn of_what_a_node_does_not_take_only_attempts_that_left_whole_are_counted() {
    // More than the machine holds of what is not read.
    const JOBS: u64 = 200;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: Arc<str> = listener.local_addr().unwrap().to_string().into();
    let (events, told) = bounded(8192);
    let (clock, figures) = (
        Clock::start(),
        Arc::new(OutcomeMetrics::new(&["write".into()])),
    );
    let (timeout, idle) = (Duration::from_secs(5), Span::from_millis(60_000));
    let prepared = Arc::<Prepared>::default();
    let mut nodes = Nodes::new(
        prepared,
        events,
        clock,
        timeout,
        idle,
        1,
        Some(Arc::clone(&figures)),
    )
    .unwrap();
    let (lets, may) = bounded(1);
    let seen = thread::spawn(move || node(&listener, &may));
    let bytes = frame(4, QUERY, &vec![b'9'; 250_000]);
    let payload = Arc::new(Payload {
        bytes,
        write: true,
        class: 0,
    });
    for connection in (0..JOBS).map(ConnectionId) {
        nodes.connect(connection, &address);
        let until = clock.now() + Span::from_millis(60_000);
        let (payload, permit) = (Arc::clone(&payload), SendPermit::new(until));
        nodes.submit(
            connection,
            UpstreamJob::Request {
                payload,
                deadline: until,
                permit,
            },
        );
    }
    nodes.flush();
    // The node says nothing: the connection is given up, and each attempt has its end.
    let mut unsent = 0;
    for _ in 0..JOBS {
        match told.recv_timeout(WAIT).expect("an end for each") {
            Event::AttemptEnded { reply, .. } => {
                unsent += u64::from(reply.outcome == Outcome::ConnectFailed)
            }
            other => panic!("{other:?}"),
        }
    }
    lets.send(()).unwrap();
    let came = seen.join().unwrap();
    println!("{came} of {JOBS} came whole, {unsent} never began to leave");
    let relayed = format!("balancer.operations.write.relayed:{came}|c\n");
    assert!(
        figures.text().contains(&relayed),
        "{} came: {}",
        came,
        figures.text()
    );
    assert!(
        came > 0 && came + unsent <= JOBS && unsent > 0,
        "some left whole, and some did not"
    );
}
