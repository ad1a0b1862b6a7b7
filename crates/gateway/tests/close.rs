//! How the gateway ends connections: what is owed is answered, nothing behind the end runs, and no reset tears the last word away.

mod support;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rstest::rstest;
use support::*;

/// A database that answers once it is let go.
fn held() -> (std::net::SocketAddr, Arc<StubDatabase>, Arc<AtomicBool>) {
    let go = Arc::new(AtomicBool::new(false));
    let goes = Arc::clone(&go);
    let (at, seen) = stub_database("read-write", move |_, q| {
        wait_until("it is let go", || goes.load(Ordering::SeqCst));
        Reply::Send(echo_oid(q))
    });
    (at, seen, go)
}

fn value(id: u32) -> Answer {
    Answer::Value(format!("x{id}"))
}

#[rstest]
#[case::terminates(message(b'X', b""), None)]
#[case::extended(message(b'P', b"\0\0\0\0"), Some("0A000"))]
#[case::unknown_type(message(b'?', b"abc"), Some("08P01"))]
#[case::too_long(vec![b'Q', 0x7f, 0xff, 0xff, 0xff], Some("54000"))]
fn a_session_that_ends_itself_is_answered_first_and_then_ends_without_a_reset(
    #[case] ends: Vec<u8>,
    #[case] code: Option<&str>,
) {
    let (at, seen, go) = held();
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    let mut client = Client::connect(gateway.address);
    // More than the gateway reads at once comes behind it.
    client
        .0
        .write_all(&[pipelined_reads(1..4, 5_000), ends, pipelined_reads(4..400, 5_000)].concat())
        .unwrap();
    wait_until("the database has the first", || seen.count() > 0);
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
    let queries = seen.queries.lock().unwrap();
    let sent: Vec<u32> = queries
        .iter()
        .map(|(_, q, _)| query_id(q))
        .filter(|id| *id != 999)
        .collect();
    assert!(
        sent.iter().all(|id| *id < 4),
        "nothing behind the end runs: {sent:?}"
    );
}

#[test]
fn answers_that_a_client_is_slow_to_take_reach_it_before_its_session_ends() {
    // More than all buffers on the way hold; the end of the session is read while answers wait here.
    const ANSWERS: u32 = 300;
    let (at, _) = stub_database("read-write", |_, q| {
        let oid = q.split('\'').nth(1).unwrap();
        Reply::Send(row(&format!("{oid}{}", "v".repeat(60_000))))
    });
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    let mut client = Client::connect(gateway.address);
    client
        .0
        .write_all(&[pipelined_reads(0..ANSWERS, 5_000), message(b'X', b"")].concat())
        .unwrap();
    let mut sent = 0;
    wait_until("nothing more leaves while nobody reads", || {
        let before = std::mem::replace(&mut sent, client.0.peek(&mut vec![0; 16 << 20]).unwrap());
        std::thread::sleep(std::time::Duration::from_millis(100));
        sent == before
    });
    for id in 0..ANSWERS {
        let Answer::Value(value) = client.answer() else {
            panic!("answer {id} is none")
        };
        assert!(
            value.len() > 60_000 && value.starts_with(&format!("x{id}v")),
            "answer {id}"
        );
    }
    client.expect_clean_close();
}

#[rstest]
#[case::a_byte(|whole: &[u8]| whole[..1].to_vec(), vec![])]
#[case::half_a_message(|whole: &[u8]| whole[..40].to_vec(), vec![])]
#[case::a_message_in_two(|whole: &[u8]| whole[..40].to_vec(), pipelined_reads(1..2, 5_000)[40..].to_vec())]
#[case::a_message(|whole: &[u8]| whole.to_vec(), vec![])]
#[case::more_than_is_read_at_once(|whole: &[u8]| whole.repeat(200), pipelined_reads(1..2, 5_000).repeat(200))]
#[case::the_end_of_the_session(|_: &[u8]| message(b'X', b""), vec![])]
fn what_crosses_the_end_of_a_resting_connection_has_the_last_word_for_its_answer(
    #[case] crosses: fn(&[u8]) -> Vec<u8>,
    #[case] then: Vec<u8>,
) {
    let (at, seen) = stub_database("read-write", |_, q| Reply::Send(echo_oid(q)));
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    let mut client = Client::connect(gateway.address);
    // The end is on its way, and here; the client has not looked.
    client.0.peek(&mut [0]).unwrap();
    client
        .0
        .write_all(&crosses(&pipelined_reads(1..2, 5_000)))
        .unwrap();
    assert!(is_retryable_refusal(&client.answer()), "nothing ran");
    client.0.write_all(&then).unwrap();
    client.expect_clean_close();
    assert_eq!(seen.count(), 0);
}

#[rstest]
#[case::a_cancel_request([16_u32, 80_877_102, 7, 9].map(u32::to_be_bytes).concat(), None)]
#[case::encryption_three_times([8_u32, 80_877_103].map(u32::to_be_bytes).concat().repeat(3), Some("08P01"))]
#[case::an_old_version(vec![0, 0, 0, 8, 0, 2, 0, 0], Some("0A000"))]
fn an_opening_that_is_turned_away_ends_without_a_reset(
    #[case] opening: Vec<u8>,
    #[case] code: Option<&str>,
) {
    let gateway = start_gateway(
        &target("s-00000001", free_address(), "read-write", "active"),
        15_000,
    );
    let mut client = Client::connect_and_send(gateway.address, &[opening, vec![b'v'; 20_000]].concat());
    if let Some(code) = code {
        let mut first = [0];
        while client.0.peek(&mut first).unwrap() == 1 && first == *b"N" {
            std::io::Read::read_exact(&mut client.0, &mut first).unwrap();
        }
        assert!(matches!(client.answer(), Answer::Error(got, _) if got == code));
    }
    client.expect_clean_close();
}

/// Requests that the gateway takes from one connection before it has answered the first.
const PIPELINE: u32 = 256;

#[test]
fn a_long_answer_that_breaks_ends_what_was_asked_behind_it_and_resets_nothing() {
    // Long values are passed on as they come; this one's database ends in the middle of it.
    let (at, seen) = stub_database("read-write", |_, q| match query_id(q) {
        1 => Reply::Send(echo_oid(q)),
        2 => Reply::SendThenClose(row(&"v".repeat(400_000))[..200_000].to_vec()),
        _ => Reply::SendThenStall(vec![]),
    });
    let gateway = start_gateway(&target("s-00000001", at, "read-write", "active"), 15_000);
    let mut client = Client::connect(gateway.address);
    client
        .0
        .write_all(&pipelined_reads(1..2 * PIPELINE, 5_000))
        .unwrap();
    assert_eq!(client.answer(), value(1));
    let mut rest = vec![];
    let end = std::io::Read::read_to_end(&mut client.0, &mut rest);
    assert!(end.is_ok(), "an end, and no reset: {end:?}");
    assert!(
        rest.len() < 400_000,
        "it can tell that the answer is not whole"
    );
    // All but the connection that the first was answered on.
    wait_until("what was asked behind it is called off", || {
        seen.closed.load(Ordering::SeqCst) + 1 >= seen.count()
    });
    let queries = seen.queries.lock().unwrap();
    assert!(
        queries.iter().all(|(_, q, _)| query_id(q) <= PIPELINE + 2),
        "no room was made for more"
    );
}
