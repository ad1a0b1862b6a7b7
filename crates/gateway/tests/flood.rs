//! Idle crowds and slow writers that fill the descriptors while discovery is down: it is heard again, and good clients get in.

mod support;

use std::collections::VecDeque;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;
use support::*;

const SOCKETS: usize = 192;
/// Of new connections, one in so many may be closed with no answer (STANDING.md, days at full size).
const CLOSED: usize = 200;
const GOOD: u32 = 400;

/// Whether a new connection was answered: served or refused.
fn answered(gateway: &TestGateway, id: u32) -> bool {
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

/// A flood that goes on: `sent` on each connection, written in pieces of so many bytes. The crowd comes at once, and two more
/// with each good client, however fast the machine is; at most so many are held open.
fn flood(
    gateway: &TestGateway,
    sent: &[u8],
    piece: usize,
    held: usize,
    asked: &AtomicUsize,
    over: &AtomicBool,
) {
    let (mut open, mut opened) = (VecDeque::new(), 0);
    while !over.load(Ordering::SeqCst) {
        if opened >= 2 * SOCKETS + 2 * asked.load(Ordering::SeqCst) {
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
        if open.len() > held {
            open.pop_front();
        }
    }
}

#[rstest]
#[case::silent(vec![], usize::MAX)]
#[case::greeted(Client::startup_message(), usize::MAX)]
#[case::half_a_request([Client::startup_message(), pipelined_reads(1..2, 4_000)[..60].to_vec()].concat(), usize::MAX)]
#[case::slow_writers([Client::startup_message(), pipelined_reads(1..2, 4_000)[..60].to_vec()].concat(), 1)]
#[case::many_commands_and_gone([Client::startup_message(), pipelined_reads(5_000..5_060, 500)].concat(), usize::MAX)]
fn a_flood_while_discovery_is_down_keeps_out_neither_discovery_nor_good_clients(
    #[case] sent: Vec<u8>,
    #[case] piece: usize,
) {
    let (at, _) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let small = |text: String| {
        text.replace(
            "\"sockets\":1024",
            &format!("\"sockets\":{SOCKETS},\"memory_mb\":24"),
        )
    };
    let gateway = start_gateway_with_config(
        &target("s-00000001", at, "read-write", "active"),
        15_000,
        true,
        small,
    );
    let held = if sent.len() > 1_000 { 8 } else { 2 * SOCKETS };
    let (over, asked) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        let _stops = StopOnDrop(&over);
        let (gateway, over, asked, sent) = (&gateway, &over, &asked, &sent);
        scope.spawn(move || flood(gateway, sent, piece, held, asked, over));
        wait_until("the crowd is there", || {
            gateway.program.descriptors() > SOCKETS / 2 || held < SOCKETS
        });
        let answered = |id: &u32| {
            asked.fetch_add(1, Ordering::SeqCst);
            answered(gateway, *id)
        };
        let lost = (1..=GOOD).filter(|id| !answered(id)).count();
        assert!(
            lost <= usize::try_from(GOOD).unwrap() / CLOSED,
            "{lost} of {GOOD} closed with no answer"
        );
        assert!(
            gateway.program.descriptors() <= SOCKETS,
            "{}",
            gateway.program.descriptors()
        );
        // It comes back while the crowd stands.
        gateway.discovery.silent.store(false, Ordering::SeqCst);
        wait_until("discovery is heard", || {
            gateway.discovery.watches.load(Ordering::SeqCst) > 0
        });
    });
}
