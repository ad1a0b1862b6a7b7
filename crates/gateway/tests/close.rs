//! How the gateway closes client connections: requests before the close are answered, requests
//! after it are not executed, and no reset discards the last message.

mod support;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rstest::rstest;
use support::*;

/// A stub database that answers once the flag is set.
fn held_database() -> (std::net::SocketAddr, Arc<StubDatabase>, Arc<AtomicBool>) {
    let go = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&go);
    let (db_address, db) = stub_database("read-write", move |_, q| {
        wait_until("the answers are released", || {
            released.load(Ordering::SeqCst)
        });
        Reply::Send(echo_oid(q))
    });
    (db_address, db, go)
}

fn value(id: u32) -> Answer {
    Answer::Value(format!("x{id}"))
}

#[rstest]
#[case::terminate(message(b'X', b""), None)]
#[case::extended(message(b'P', b"\0\0\0\0"), Some("0A000"))]
#[case::unknown_type(message(b'?', b"abc"), Some("08P01"))]
#[case::too_long(vec![b'Q', 0x7f, 0xff, 0xff, 0xff], Some("54000"))]
fn message_ends_session_earlier_requests_are_answered_and_no_reset_follows(
    #[case] end: Vec<u8>,
    #[case] code: Option<&str>,
) {
    let (db_address, db, go) = held_database();
    let gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut client = Client::connect(gateway.address);
    // After it come more bytes than the gateway reads at once.
    client
        .0
        .write_all(
            &[
                pipelined_reads(1..4, 5_000),
                end,
                pipelined_reads(4..400, 5_000),
            ]
            .concat(),
        )
        .unwrap();
    wait_until("the database has the first request", || db.count() > 0);
    go.store(true, Ordering::SeqCst);
    assert_eq!(
        [client.answer(), client.answer(), client.answer()],
        [value(1), value(2), value(3)]
    );
    if let Some(code) = code {
        assert!(matches!(client.answer(), Answer::Error(got, _) if got == code));
    }
    client.expect_clean_close();
    assert_eq!(
        Client::connect(gateway.address).query(&read_query(999, 4_000)),
        value(999)
    );
    let queries = db.queries.lock().unwrap();
    let sent: Vec<u32> = queries
        .iter()
        .map(|(_, q, _)| query_id(q))
        .filter(|id| *id != 999)
        .collect();
    assert!(
        sent.iter().all(|id| *id < 4),
        "requests after the end were sent: {sent:?}"
    );
}

#[test]
fn client_reads_slowly_all_answers_arrive_before_the_session_ends() {
    // More than all buffers on the way hold, so that the gateway reads the end of the session while
    // answers still wait in it.
    const ANSWERS: u32 = 300;
    let (db_address, _) = stub_database("read-write", |_, q| {
        let oid = q.split('\'').nth(1).unwrap();
        Reply::Send(row(&format!("{oid}{}", "v".repeat(60_000))))
    });
    let gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut client = Client::connect(gateway.address);
    client
        .0
        .write_all(&[pipelined_reads(0..ANSWERS, 5_000), message(b'X', b"")].concat())
        .unwrap();
    let mut sent = 0;
    wait_until("the gateway sends nothing more to the client", || {
        let before = std::mem::replace(&mut sent, client.0.peek(&mut vec![0; 16 << 20]).unwrap());
        std::thread::sleep(std::time::Duration::from_millis(100));
        sent == before
    });
    for id in 0..ANSWERS {
        let Answer::Value(value) = client.answer() else {
            panic!("answer {id} has no value")
        };
        assert!(
            value.len() > 60_000 && value.starts_with(&format!("x{id}v")),
            "answer {id}"
        );
    }
    client.expect_clean_close();
}

#[rstest]
#[case::one_byte(|whole: &[u8]| whole[..1].to_vec(), vec![])]
#[case::partial_message(|whole: &[u8]| whole[..40].to_vec(), vec![])]
#[case::message_in_two_parts(|whole: &[u8]| whole[..40].to_vec(), pipelined_reads(1..2, 5_000)[40..].to_vec())]
#[case::whole_message(|whole: &[u8]| whole.to_vec(), vec![])]
#[case::more_than_one_read(|whole: &[u8]| whole.repeat(200), pipelined_reads(1..2, 5_000).repeat(200))]
#[case::terminate(|_: &[u8]| message(b'X', b""), vec![])]
fn bytes_cross_idle_close_client_gets_refusal_and_no_reset(
    #[case] crossing: fn(&[u8]) -> Vec<u8>,
    #[case] rest: Vec<u8>,
) {
    let (db_address, db) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut client = Client::connect(gateway.address);
    // The close has arrived, but the client has not read it.
    client.0.peek(&mut [0]).unwrap();
    client
        .0
        .write_all(&crossing(&pipelined_reads(1..2, 5_000)))
        .unwrap();
    assert!(is_retryable_refusal(&client.answer()));
    client.0.write_all(&rest).unwrap();
    client.expect_clean_close();
    assert_eq!(db.count(), 0);
}

#[rstest]
#[case::cancel_request([16_u32, 80_877_102, 7, 9].map(u32::to_be_bytes).concat(), None)]
#[case::three_ssl_requests([8_u32, 80_877_103].map(u32::to_be_bytes).concat().repeat(3), Some("08P01"))]
#[case::old_version(vec![0, 0, 0, 8, 0, 2, 0, 0], Some("0A000"))]
fn startup_is_rejected_connection_ends_without_reset(
    #[case] opening: Vec<u8>,
    #[case] code: Option<&str>,
) {
    let gateway = start_gateway(
        &target("s-00000001", free_address(), "read-write", "active"),
        15_000,
    );
    let mut client =
        Client::connect_and_send(gateway.address, &[opening, vec![b'v'; 20_000]].concat());
    if let Some(code) = code {
        let mut first = [0];
        while client.0.peek(&mut first).unwrap() == 1 && first == *b"N" {
            std::io::Read::read_exact(&mut client.0, &mut first).unwrap();
        }
        assert!(matches!(client.answer(), Answer::Error(got, _) if got == code));
    }
    client.expect_clean_close();
}

/// Requests that the gateway accepts from one connection before it has answered the first.
const PIPELINE_LIMIT: u32 = 256;

#[test]
fn streamed_answer_breaks_later_requests_are_cancelled_without_reset() {
    // Long values are streamed to the client; the database closes in the middle of this one.
    let (db_address, db) = stub_database("read-write", |_, q| match query_id(q) {
        1 => Reply::Send(echo_oid(q)),
        2 => Reply::SendThenClose(row(&"v".repeat(400_000))[..200_000].to_vec()),
        _ => Reply::SendThenStall(vec![]),
    });
    let gateway = start_gateway(
        &target("s-00000001", db_address, "read-write", "active"),
        15_000,
    );
    let mut client = Client::connect(gateway.address);
    client
        .0
        .write_all(&pipelined_reads(1..2 * PIPELINE_LIMIT, 5_000))
        .unwrap();
    assert_eq!(client.answer(), value(1));
    let mut rest = vec![];
    let end = std::io::Read::read_to_end(&mut client.0, &mut rest);
    assert!(end.is_ok(), "expected a close without a reset: {end:?}");
    assert!(rest.len() < 400_000, "the broken answer looks complete");
    // All but the connection on which the first request was answered.
    wait_until("the later requests are cancelled", || {
        db.closed.load(Ordering::SeqCst) + 1 >= db.count()
    });
    let queries = db.queries.lock().unwrap();
    assert!(
        queries
            .iter()
            .all(|(_, q, _)| query_id(q) <= PIPELINE_LIMIT + 2),
        "requests beyond the limit were accepted"
    );
}
