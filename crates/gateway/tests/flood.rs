//! Floods of idle connections and slow writers that exhaust the file descriptors while discovery is
//! down: the gateway reaches discovery again, and well-behaved clients are answered.

mod support;

use std::collections::VecDeque;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;
use support::*;

const SOCKETS: usize = 192;
/// One in this many new connections may be closed without an answer (STANDING.md, days at full
/// size).
const CONNECTIONS_PER_CLOSED: usize = 200;
const CLIENTS: u32 = 400;

/// Whether a request on a new connection is answered, with a result or a refusal.
fn request_is_answered(gateway: &TestGateway, id: u32) -> bool {
    let Ok(mut stream) = TcpStream::connect(gateway.address) else {
        return false;
    };
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    if stream
        .write_all(
            &[
                Client::startup_message(),
                pipelined_reads(id..id + 1, 4_000),
            ]
            .concat(),
        )
        .is_err()
    {
        return false;
    }
    while let Some((kind, _)) = read_message(&mut stream) {
        match kind {
            b'D' | b'E' => return true,
            _ => {}
        }
    }
    false
}

/// Opens connections until `stop` is set and writes `sent` on each, in pieces of `piece` bytes.
/// Opens twice [`SOCKETS`] at once and two more for each well-behaved client, so that the load does
/// not depend on the speed of the machine; keeps at most `max_open` open.
fn flood(
    gateway: &TestGateway,
    sent: &[u8],
    piece: usize,
    max_open: usize,
    clients_started: &AtomicUsize,
    stop: &AtomicBool,
) {
    let (mut open, mut opened) = (VecDeque::new(), 0);
    while !stop.load(Ordering::SeqCst) {
        if opened >= 2 * SOCKETS + 2 * clients_started.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        } else if let Ok(mut stream) = TcpStream::connect(gateway.address) {
            opened += 1;
            if piece >= sent.len() {
                let _ = stream.write_all(sent);
            }
            open.push_back((stream, 0));
        }
        if piece < sent.len() {
            for (stream, written) in &mut open {
                let end = sent.len().min(*written + piece);
                if stream.write_all(&sent[*written..end]).is_ok() {
                    *written = end;
                }
            }
        }
        if open.len() > max_open {
            open.pop_front();
        }
    }
}

#[rstest]
#[case::silent(vec![], usize::MAX)]
#[case::startup_only(Client::startup_message(), usize::MAX)]
#[case::partial_request([Client::startup_message(), pipelined_reads(1..2, 4_000)[..60].to_vec()].concat(), usize::MAX)]
#[case::slow_writers([Client::startup_message(), pipelined_reads(1..2, 4_000)[..60].to_vec()].concat(), 1)]
#[case::pipeline_then_close([Client::startup_message(), pipelined_reads(5_000..5_060, 500)].concat(), usize::MAX)]
fn flood_while_discovery_is_down_blocks_neither_discovery_nor_clients(
    #[case] sent: Vec<u8>,
    #[case] piece: usize,
) {
    let (db_address, _) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let small = |text: String| {
        text.replace(
            "\"sockets\":1024",
            &format!("\"sockets\":{SOCKETS},\"memory_mb\":24"),
        )
    };
    let gateway = start_gateway_with_config(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
        true,
        small,
    );
    let max_open = if sent.len() > 1_000 { 8 } else { 2 * SOCKETS };
    let (stop, clients_started) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        let _stop_on_drop = StopOnDrop(&stop);
        let (gateway, stop, clients_started, sent) = (&gateway, &stop, &clients_started, &sent);
        scope.spawn(move || flood(gateway, sent, piece, max_open, clients_started, stop));
        wait_until("the flood holds its descriptors", || {
            gateway.program.descriptors() > SOCKETS / 2 || max_open < SOCKETS
        });
        let is_answered = |id: &u32| {
            clients_started.fetch_add(1, Ordering::SeqCst);
            request_is_answered(gateway, *id)
        };
        let lost = (1..=CLIENTS).filter(|id| !is_answered(id)).count();
        assert!(
            lost <= usize::try_from(CLIENTS).unwrap() / CONNECTIONS_PER_CLOSED,
            "{lost} of {CLIENTS} closed without an answer"
        );
        assert!(
            gateway.program.descriptors() <= SOCKETS,
            "{}",
            gateway.program.descriptors()
        );
        // Discovery recovers during the flood.
        gateway.discovery.silent.store(false, Ordering::SeqCst);
        wait_until("discovery is reached", || {
            gateway.discovery.watches.load(Ordering::SeqCst) > 0
        });
    });
}
