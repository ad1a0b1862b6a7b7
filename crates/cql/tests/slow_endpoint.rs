//! Attempts at an endpoint that reads nothing for a while: what was written completely is counted,
//! and nothing else.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, bounded};
use valehatch_core::permission::SendPermit;
use valehatch_core::{ConnectionId, Event, Payload, UpstreamJob};
use valehatch_cql::PreparedStatements;
use valehatch_cql::pool::EndpointPools;
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

/// Does the handshake of the first connection, reads nothing more until it may, and then
/// everything: how many complete requests. It answers none: an answer to a closed peer would cause
/// a reset, which drops what was not read yet.
fn endpoint(listener: &TcpListener, may: &Receiver<()>) -> u64 {
    let (mut stream, _) = listener.accept().unwrap();
    assert_eq!(read(&mut stream), Some(STARTUP));
    stream.write_all(&frame(0x84, READY, &[])).unwrap();
    may.recv().unwrap();
    std::iter::from_fn(|| read(&mut stream))
        .filter(|op| *op == QUERY)
        .count() as u64
}

#[test]
fn slow_endpoint_counts_only_completely_written_attempts() {
    // More than the socket buffers hold.
    const JOBS: u64 = 200;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: Arc<str> = listener.local_addr().unwrap().to_string().into();
    let (events, inbox) = bounded(8192);
    let (clock, figures) = (
        Clock::start(),
        Arc::new(OutcomeMetrics::new(&["write".into()])),
    );
    let (timeout, idle) = (Duration::from_secs(5), Span::from_millis(60_000));
    let prepared = Arc::<PreparedStatements>::default();
    let mut pools = EndpointPools::new(
        prepared,
        events,
        clock,
        timeout,
        idle,
        1,
        Some(Arc::clone(&figures)),
    )
    .unwrap();
    let (may_read, may) = bounded(1);
    let seen = thread::spawn(move || endpoint(&listener, &may));
    let bytes = frame(4, QUERY, &vec![b'9'; 250_000]);
    let payload = Arc::new(Payload {
        bytes,
        write: true,
        class: 0,
    });
    for connection in (0..JOBS).map(ConnectionId) {
        pools.connect(connection, &address);
        let until = clock.now() + Span::from_millis(60_000);
        let (payload, permit) = (Arc::clone(&payload), SendPermit::new(until));
        pools.submit(
            connection,
            UpstreamJob::Request {
                payload,
                deadline: until,
                permit,
            },
        );
    }
    pools.flush();
    // The endpoint answers nothing: the connection is given up, and each attempt ends.
    let mut unsent = 0;
    for _ in 0..JOBS {
        match inbox.recv_timeout(WAIT).expect("an end for each") {
            Event::AttemptEnded { reply, .. } => {
                unsent += u64::from(reply.outcome == Outcome::ConnectFailed)
            }
            other => panic!("{other:?}"),
        }
    }
    may_read.send(()).unwrap();
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
