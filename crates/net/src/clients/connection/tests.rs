//! Tests of client connections without a protocol: closing, writing and detecting a disconnect.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread::sleep;

use crossbeam_channel::Receiver;
use valehatch_connection_limits::{ANSWER_SETTLE_TIME, ConnectionActivity, ConnectionLimits};
use valehatch_core::{Event, FinalAnswer};

use super::super::message_reader::{NextMessage, RequestReader};
use super::super::session::Session;
use super::super::{ClientLimits, Clients, SessionProgress, SessionStatus};
use super::*;

struct EmptyProtocol;

impl RequestHandler for EmptyProtocol {
    fn serve(
        &self,
        _: &mut SessionProgress,
        _: &mut RequestReader,
        _: &Session,
    ) -> io::Result<SessionStatus> {
        Ok(SessionStatus::Closed)
    }
    fn encode(&self, _: u64, _: FinalAnswer) -> Vec<u8> {
        vec![]
    }
    fn has_ordered_responses(&self) -> bool {
        false
    }
    fn pipeline_limit(&self) -> usize {
        16
    }
    fn liveness_probe(&self) -> Vec<u8> {
        b"probe;".to_vec()
    }
    fn closing_error(&self, retry_after: Span) -> Vec<u8> {
        (retry_after.0 / 1000).to_string().into_bytes()
    }
}

const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    total: 0,
    overflow: 0,
    upstream: 0,
    active_clients: usize::MAX,
    settle_time: ANSWER_SETTLE_TIME,
};

fn memory_budget() -> Arc<MemoryBudget> {
    Arc::new(MemoryBudget::new(1024 * 1024))
}

/// Length of the messages of these tests, in bytes.
const MESSAGE_BYTES: usize = 3;

#[allow(clippy::unnecessary_wraps, reason = "the signature of a framing")]
const fn message_length(_received: &[u8]) -> Result<Option<usize>, ()> {
    Ok(Some(MESSAGE_BYTES))
}

fn next_message(reader: &mut RequestReader) -> NextMessage<()> {
    reader.next_message(message_length).unwrap()
}

fn expect_message(reader: &mut RequestReader) {
    let next = next_message(reader);
    assert!(matches!(next, NextMessage::Message(_)), "{next:?}");
}

/// A connection, its reader and the client's end of it.
fn connection() -> (Arc<ClientConnection>, RequestReader, TcpStream) {
    let (connection, reader, client, _) = connection_with_wakeups();
    (connection, reader, client)
}

/// As [`connection`], with the ids of connections that are woken.
fn connection_with_wakeups() -> (
    Arc<ClientConnection>,
    RequestReader,
    TcpStream,
    Receiver<ClientId>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let stream = listener.accept().unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let (wakeups, woken) = crossbeam_channel::unbounded();
    let clock = Clock::start();
    let limiter = SharedConnectionLimiter::new(clock, CONNECTION_LIMITS);
    let now = clock.now();
    limiter.admit(1, now);
    let connection = Arc::new(ClientConnection::new(
        ClientId(1),
        stream,
        now,
        ConnectionContext {
            memory: memory_budget(),
            handler: Arc::new(EmptyProtocol),
            clock,
            limiter,
            blocked_writers: BlockedWriters::new().unwrap(),
            wakeups,
        },
    ));
    connection.state().requests = 1;
    let reader = RequestReader::new(Arc::clone(&connection));
    (connection, reader, client, woken)
}

/// A front that has this connection, and the events that it sends to the core.
fn front_of(connection: &Arc<ClientConnection>) -> (Arc<Clients>, Receiver<Event>) {
    let (events, inbox) = crossbeam_channel::bounded(8);
    let limits = ClientLimits {
        memory: memory_budget(),
        response_bytes: 1024,
        reports_rejections: false,
    };
    let limiter = Arc::clone(&connection.limiter);
    let clients = Clients::new(
        Arc::new(EmptyProtocol),
        events,
        connection.clock,
        limiter,
        limits,
    )
    .unwrap();
    lock(&clients.registry.connections).insert(connection.id, Arc::clone(connection));
    (clients, inbox)
}

/// Marks the connection as just used, however long this thread is not scheduled.
fn mark_used_now(connection: &ClientConnection) {
    connection.state().last_used = connection.clock.now() + Span::from_millis(60_000);
}

#[test]
fn recently_answered_connection_is_not_closed_until_settled() {
    let (connection, _, mut client) = connection();
    let (clients, _inbox) = front_of(&connection);
    connection.add_pending_response().unwrap();
    connection.enqueue(None, b"answer;".to_vec(), ResponseMemory::default());
    mark_used_now(&connection);
    clients.close_if_idle(ClientId(1));
    assert!(
        connection.closing_since().is_none(),
        "the client would take the closing error for a second response"
    );
    connection.state().last_used =
        connection.clock.now() - ANSWER_SETTLE_TIME - Span::from_millis(1);
    clients.close_if_idle(ClientId(1));
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "answer;1");
}

#[test]
fn received_messages_keep_connection_open() {
    let (connection, mut reader, mut client) = connection();
    client.write_all(b"askask").unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    assert!(
        !connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| !state.is_aborted()),
        "the messages are in the receive buffer"
    );
    // The reader reads both from the socket and handles the first.
    expect_message(&mut reader);
    assert!(!connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| !state.is_aborted()));
    reader.finish_message();
    assert!(
        !connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| !state.is_aborted()),
        "the second message was received with the first"
    );
    expect_message(&mut reader);
    reader.finish_message();
    assert!(connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| !state.is_aborted()));
    assert!(
        !connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |_| true),
        "a connection is closed only once"
    );
}

#[test]
fn request_sent_during_close_gets_closing_error_without_reset() {
    let (connection, mut reader, mut client) = connection();
    assert!(connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| !state.is_aborted()));
    // The client has not seen the close yet.
    client.write_all(b"ask").unwrap();
    let reading = std::thread::spawn(move || {
        loop {
            match next_message(&mut reader) {
                NextMessage::Incomplete => std::thread::yield_now(),
                other => return other,
            }
        }
    });
    let mut all = vec![];
    client.read_to_end(&mut all).unwrap();
    assert_eq!(all, b"1", "the closing error with its retry time");
    client.write_all(b"more").unwrap();
    drop(client);
    let end = reading.join().unwrap();
    assert!(
        matches!(end, NextMessage::Closed),
        "the client has closed too, not {end:?}"
    );
}

#[test]
fn eviction_closes_only_idle_connection() {
    let (connection, mut reader, mut client) = connection();
    let settle = || {
        connection.state().last_used =
            connection.clock.now() - ANSWER_SETTLE_TIME - Span::from_millis(1)
    };
    let is_closing = || connection.closing_since().is_some();
    mark_used_now(&connection);
    connection.evict(ConnectionActivity::IdleAfterOne);
    assert!(!is_closing(), "the connection was just used");
    settle();
    client.write_all(b"ask").unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    connection.evict(ConnectionActivity::IdleAfterOne);
    assert!(!is_closing(), "a request was received");
    expect_message(&mut reader);
    settle();
    connection.evict(ConnectionActivity::IdleAfterOne);
    assert!(!is_closing(), "a request is being read");
    reader.finish_message();
    settle();
    connection.evict(ConnectionActivity::IdleAfterOne);
    assert!(is_closing());
    assert!(
        connection.add_pending_response().is_err(),
        "a request received during the close is not executed"
    );
}

#[test]
fn accepted_connection_disables_nagle() {
    let (connection, _, _client) = connection();
    let (clients, _inbox) = front_of(&connection);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _other = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    clients
        .begin(ClientId(2), listener.accept().unwrap().0)
        .unwrap();
    assert!(
        lock(&clients.registry.connections)[&ClientId(2)]
            .stream
            .nodelay()
            .unwrap()
    );
}

#[test]
fn closing_error_waits_for_slow_reader() {
    let (connection, _, mut client) = connection();
    let socket = SockRef::from(&connection.stream);
    socket.set_send_buffer_size(4096).unwrap();
    let (mut sent, mut full_rounds) = (0, 0);
    // Bytes in transit free space in the send buffer, after a delay on a busy machine: the buffer
    // counts as full once nothing could be written for 100 ms.
    while full_rounds < 20 {
        full_rounds += 1;
        while let Ok(n) = socket.send_with_flags(&[b'v'; 1000], libc::MSG_DONTWAIT) {
            (sent, full_rounds) = (sent + n, 0);
        }
        sleep(Duration::from_millis(5));
    }
    assert!(connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| !state.is_aborted()));
    assert!(
        connection.is_writing(),
        "the closing error does not fit into the send buffer"
    );
    let much_later = connection.clock.now() + Span::from_millis(60_000);
    assert!(
        !connection.has_lingered(much_later),
        "the linger timeout has not begun"
    );
    let mut all = vec![];
    client.read_to_end(&mut all).unwrap();
    assert_eq!((all.len(), all.last()), (sent + 1, Some(&b'1')));
    while connection.is_writing() {
        std::thread::yield_now();
    }
    assert!(connection.has_lingered(much_later));
}

#[test]
fn disconnect_ends_stall() {
    let (connection, mut reader, client, _woken) = stalled_connection(b"ask");
    drop(client);
    while connection.receive_status() != ReceiveStatus::PeerClosed {
        std::thread::yield_now();
    }
    // What it had sent is read, but not executed.
    expect_message(&mut reader);
    assert!(!connection.state().is_client_connected());
    let end = next_message(&mut reader);
    assert!(matches!(end, NextMessage::Closed), "{end:?}");
}

/// A connection with as many pending responses as it may have, which waits for one to be written, with
/// `bytes` of input behind them.
fn stalled_connection(
    bytes: &[u8],
) -> (
    Arc<ClientConnection>,
    RequestReader,
    TcpStream,
    Receiver<ClientId>,
) {
    let (connection, mut reader, mut client, woken) = connection_with_wakeups();
    client.write_all(bytes).unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    for _ in 0..16 {
        connection.add_pending_response().unwrap();
    }
    let stalled = next_message(&mut reader);
    assert!(matches!(stalled, NextMessage::Stalled), "{stalled:?}");
    connection.wake_when_written();
    (connection, reader, client, woken)
}

/// All memory for what is read ahead.
fn read_ahead_memory(connection: &ClientConnection) -> Vec<Reservation> {
    let memory = &connection.memory;
    std::iter::from_fn(|| memory.try_reserve(MemoryUse::ReadAhead, 1024)).collect()
}

/// The next message in further turns, once it is not the end of one.
fn next_message_in_any_turn(reader: &mut RequestReader) -> NextMessage<()> {
    loop {
        reader.begin_turn();
        match next_message(reader) {
            NextMessage::TurnOver => {}
            next => return next,
        }
    }
}

#[test]
fn evidence_of_presence_expires_input_is_read_ahead_and_kept_in_order() {
    let (connection, mut reader, mut client, woken) = stalled_connection(b"askmor");
    connection.check_presence_if_stalled(connection.clock.now() + EVIDENCE_TIMEOUT * 2);
    assert_eq!(woken.try_recv(), Ok(connection.id));
    let next = next_message(&mut reader);
    assert!(matches!(next, NextMessage::Stalled), "{next:?}");
    assert!(reader.has_caught_up());
    assert!(connection.memory.used(MemoryUse::ReadAhead) >= 6);
    client.write_all(b"eol").unwrap();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while connection.receive_status() != ReceiveStatus::PeerClosed {
        std::thread::yield_now();
    }
    for expected in [b"ask", b"mor", b"eol"] {
        let NextMessage::Message(message) = next_message(&mut reader) else {
            panic!("all messages have been received");
        };
        assert_eq!(&message.bytes, expected);
        assert!(!connection.state().is_client_connected());
        reader.finish_message();
    }
    assert_eq!(connection.memory.used(MemoryUse::ReadAhead), 0);
    let end = next_message(&mut reader);
    assert!(matches!(end, NextMessage::Closed), "{end:?}");
}

#[test]
fn input_was_just_read_to_its_end_it_is_not_read_ahead_again() {
    let (connection, _reader, _client, woken) = stalled_connection(b"ask");
    let read = connection.confirm_presence_by_read();
    connection.check_presence_if_stalled(read + EVIDENCE_TIMEOUT);
    assert!(woken.try_recv().is_err(), "the evidence is recent");
    connection.check_presence_if_stalled(read + EVIDENCE_TIMEOUT + Span(1));
    assert_eq!(woken.try_recv(), Ok(connection.id));
}

#[test]
fn read_ahead_is_out_of_memory_response_was_just_written_nothing_is_sent() {
    let (connection, mut reader, client, _woken) = stalled_connection(b"ask");
    let _used = read_ahead_memory(&connection);
    connection.state().reads_ahead = true;
    let written = connection.clock.now() + Span::from_millis(60_000);
    connection.state().confirm_presence_by_write(written);
    let next = next_message_in_any_turn(&mut reader);
    assert!(matches!(next, NextMessage::Stalled), "{next:?}");
    client.set_nonblocking(true).unwrap();
    let received = client.peek(&mut [0]);
    assert!(received.is_err(), "the client got {received:?} bytes");
}

#[test]
fn read_ahead_is_out_of_memory_probe_is_sent() {
    let (connection, mut reader, mut client, _woken) = stalled_connection(b"ask");
    let _used = read_ahead_memory(&connection);
    sleep(Duration::from_micros(EVIDENCE_TIMEOUT.0.unsigned_abs() * 2));
    connection.check_presence_if_stalled(connection.clock.now());
    let next = next_message_in_any_turn(&mut reader);
    assert!(matches!(next, NextMessage::Stalled), "{next:?}");
    let mut probe = [0; 6];
    client.read_exact(&mut probe).unwrap();
    assert_eq!(&probe, b"probe;");
    assert_eq!(connection.state().pending_responses, 16);
}

// Guards against a connection that counts as having sent part of a message, and is closed early,
// since as much as may be pending was pending when its last message had been handled.
#[test]
fn nothing_is_unread_at_pipeline_limit_connection_waits_for_input() {
    let (connection, mut reader, _client) = connection();
    for _ in 0..16 {
        connection.add_pending_response().unwrap();
    }
    let next = next_message(&mut reader);
    assert!(matches!(next, NextMessage::Incomplete), "{next:?}");
    assert_eq!(connection.state().input, RequestInput::None);
}

// Guards against a connection that stays stalled since its response was written before it began to
// wait for that.
#[test]
fn stalled_connection_is_woken_by_response_written_before_or_after() {
    for written_before in [true, false] {
        let (connection, mut reader, mut client, woken) = connection_with_wakeups();
        client.write_all(b"ask").unwrap();
        while !connection.has_received() {
            std::thread::yield_now();
        }
        for _ in 0..16 {
            connection.add_pending_response().unwrap();
        }
        let stalled = next_message(&mut reader);
        assert!(matches!(stalled, NextMessage::Stalled), "{stalled:?}");
        let write = || connection.enqueue(None, b"answer".to_vec(), ResponseMemory::default());
        if written_before {
            write();
            connection.wake_when_written();
        } else {
            connection.wake_when_written();
            assert!(woken.try_recv().is_err(), "nothing is written yet");
            write();
        }
        assert_eq!(woken.try_recv(), Ok(connection.id));
        expect_message(&mut reader);
    }
}

#[test]
fn partial_message_is_kept_until_it_is_complete() {
    let (connection, mut reader, mut client) = connection();
    for piece in [&b"a"[..], b"s"] {
        client.write_all(piece).unwrap();
        while !connection.has_received() {
            std::thread::yield_now();
        }
        let next = next_message(&mut reader);
        assert!(matches!(next, NextMessage::Incomplete), "{next:?}");
    }
    assert_eq!(reader.received_bytes(), 2);
    assert!(
        connection.memory.used(MemoryUse::PartialRequests) >= 2,
        "what was received is reserved"
    );
    client.write_all(b"k").unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    let NextMessage::Message(message) = next_message(&mut reader) else {
        panic!("the message is complete");
    };
    assert_eq!(message.bytes, b"ask");
    drop(message);
    reader.finish_message();
    assert_eq!(connection.memory.used(MemoryUse::PartialRequests), 0);
}

#[test]
fn message_that_was_put_back_is_returned_again() {
    let (connection, mut reader, mut client) = connection();
    client.write_all(b"askmor").unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    for expected in [&b"ask"[..], b"ask", b"mor"] {
        let NextMessage::Message(message) = next_message(&mut reader) else {
            panic!("both messages have been received");
        };
        assert_eq!(message.bytes, expected);
        if connection.state().requests == 1 {
            connection.state().requests = 2;
            reader.put_back(message);
        }
    }
}

#[test]
fn turn_ends_while_more_messages_are_received() {
    const MESSAGES: usize = 100;
    let (connection, mut reader, mut client) = connection();
    client.write_all(&b"ask".repeat(MESSAGES)).unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    let mut received = 0;
    while let NextMessage::Message(_) = next_message(&mut reader) {
        received += 1;
    }
    assert!(received < MESSAGES, "other connections get their turn");
    let next = next_message(&mut reader);
    assert!(matches!(next, NextMessage::TurnOver), "{next:?}");
    reader.begin_turn();
    expect_message(&mut reader);
}

// Guards against requests whose time runs from an earlier stall, or from the end of a wait in which
// they had already arrived.
#[test]
fn time_of_input_runs_from_stall_until_reader_has_caught_up() {
    const MESSAGES: usize = 100;
    let (connection, mut reader, mut client) = connection();
    client.write_all(&b"ask".repeat(MESSAGES)).unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    let turn_began = connection.clock.now();
    while let NextMessage::Message(_) = next_message(&mut reader) {}
    let turn_ended = connection.clock.now();
    sleep(Duration::from_millis(2));
    let received_at = connection.input_received_at();
    assert!(
        (turn_began..=turn_ended).contains(&received_at),
        "the rest had arrived when the turn ended"
    );
    loop {
        reader.begin_turn();
        match next_message(&mut reader) {
            NextMessage::Message(_) => {}
            next => {
                assert!(matches!(next, NextMessage::Incomplete), "{next:?}");
                break;
            }
        }
    }
    let caught_up = connection.clock.now();
    assert!(connection.input_received_at() >= caught_up);
}

#[test]
fn incomplete_message_closes_connection_after_its_timeout() {
    let (connection, mut reader, mut client) = connection();
    client.write_all(b"as").unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    let next = next_message(&mut reader);
    assert!(matches!(next, NextMessage::Incomplete), "{next:?}");
    let received = connection.state().last_used;
    assert!(!connection.close_if_incomplete_for_too_long(received + Span::from_millis(2_400)));
    // What arrives meanwhile does not extend the timeout, which the protocol gives from the start.
    assert!(connection.close_if_incomplete_for_too_long(received + Span::from_millis(2_600)));
    let mut all = vec![];
    client.read_to_end(&mut all).unwrap();
    assert_eq!(all, b"1", "the closing error with its retry time");
}

#[test]
fn messages_before_disconnect_are_read_but_not_executed() {
    let (connection, mut reader, mut client) = connection();
    client.write_all(b"askask").unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    expect_message(&mut reader);
    reader.finish_message();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while connection.receive_status() != ReceiveStatus::PeerClosed {
        std::thread::yield_now();
    }
    // The second message was received with the first.
    expect_message(&mut reader);
    assert!(
        !connection.state().is_client_connected(),
        "the second message is not executed"
    );
    reader.finish_message();
    let end = next_message(&mut reader);
    assert!(matches!(end, NextMessage::Closed), "{end:?}");
    assert_eq!(reader.discard_received(), NextInput::Closed);
}

#[test]
fn graceful_close_discards_later_bytes_without_reset() {
    let (connection, mut reader, mut client) = connection();
    connection.add_pending_response().unwrap();
    connection.enqueue(None, b"answer;".to_vec(), ResponseMemory::default());
    connection.close_after_responses(b"error".to_vec());
    assert_eq!(reader.discard_received(), NextInput::Pending);
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "answer;error");
    client.write_all(&[b'v'; 100_000]).unwrap();
    assert_eq!(
        client.read(&mut [0]).unwrap(),
        0,
        "the connection is not reset"
    );
    assert!(
        connection.add_pending_response().is_err(),
        "no later request is executed"
    );
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while reader.discard_received() == NextInput::Pending {
        std::thread::yield_now();
    }
}

/// The rejection of a client's only pending request, as the core sends it before the process exits.
fn last_rejection() -> LastRejection {
    LastRejection {
        ticket: 0,
        response: b"rejected;".to_vec(),
        closing_error: b"closing error".to_vec(),
        memory: ResponseMemory::default(),
    }
}

/// A connection on which one request was submitted and not yet answered.
fn connection_with_request(
    input: RequestInput,
) -> (Arc<ClientConnection>, RequestReader, TcpStream) {
    let (connection, reader, client, _) = connection_with_wakeups_and_request(input);
    (connection, reader, client)
}

fn connection_with_wakeups_and_request(
    input: RequestInput,
) -> (
    Arc<ClientConnection>,
    RequestReader,
    TcpStream,
    Receiver<ClientId>,
) {
    let (connection, reader, client, woken) = connection_with_wakeups();
    connection.add_pending_response().unwrap();
    connection.state().input = input;
    (connection, reader, client, woken)
}

#[test]
fn rejection_of_only_request_closes_connection() {
    let (connection, _, mut client) = connection_with_request(RequestInput::None);
    connection.reject_and_close(last_rejection());
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "closing error");
}

#[test]
fn rejection_waits_for_reader_and_closes_connection() {
    let (connection, reader, mut client) = connection_with_request(RequestInput::Complete);
    connection.reject_and_close(last_rejection());
    assert!(
        connection.is_open(),
        "more input may have arrived with the request"
    );
    reader.finish_message();
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "closing error");
}

#[test]
fn rejection_keeps_connection_open_for_request_that_has_arrived() {
    let (connection, _, mut client) = connection_with_request(RequestInput::None);
    client.write_all(b"ask").unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    connection.reject_and_close(last_rejection());
    let mut answer = [0; 9];
    client.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"rejected;");
    assert!(connection.is_open());
}

// Guards against a held rejection that is never written, so that the close waits for it forever.
#[test]
fn rejection_that_waits_for_reader_is_written_before_connection_closes() {
    let (connection, _, mut client) = connection_with_request(RequestInput::Complete);
    connection.reject_and_close(last_rejection());
    connection.close_after_responses(b"error".to_vec());
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "rejected;error");
}

// As above, with a rejection that arrives while the close already waits for pending responses.
#[test]
fn rejection_is_written_while_close_waits_for_responses() {
    let (connection, _, mut client, woken) =
        connection_with_wakeups_and_request(RequestInput::Complete);
    connection.close_after_responses(b"error".to_vec());
    assert!(connection.closing_since().is_none(), "a response is owed");
    connection.wake_when_written();
    assert!(woken.try_recv().is_err(), "nothing is written yet");
    connection.reject_and_close(last_rejection());
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "rejected;error");
    assert_eq!(
        woken.try_recv(),
        Ok(connection.id),
        "what arrives during the close is discarded"
    );
}

// Guards against a rejection that waits for the reader, which waits for memory until the rejection
// is written.
#[test]
fn rejection_is_written_before_and_while_reader_is_stalled_for_memory() {
    for rejected_before in [true, false] {
        let (connection, _reader, mut client, woken) =
            connection_with_wakeups_and_request(RequestInput::Complete);
        if rejected_before {
            connection.reject_and_close(last_rejection());
        }
        let without_pending = |pending| (pending == PendingResponses::None).then_some(());
        let grant = connection.reserve_memory(without_pending);
        assert_eq!(grant, MemoryGrant::Stalled);
        if !rejected_before {
            connection.reject_and_close(last_rejection());
        }
        connection.wake_when_written();
        let mut answer = [0; 9];
        client.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"rejected;");
        assert_eq!(woken.try_recv(), Ok(connection.id));
        let grant = connection.reserve_memory(without_pending);
        assert_eq!(grant, MemoryGrant::Granted(()));
    }
}

#[test]
fn recently_answered_connection_stays_open_until_exit() {
    let (connection, _, mut client) = connection();
    mark_used_now(&connection);
    connection.close_for_exit();
    assert!(
        connection.is_open(),
        "the client could take the closing error for a second response"
    );
    connection.finish_for_exit();
    assert_eq!(
        client.read(&mut [0]).unwrap(),
        0,
        "the stream ends without a closing error"
    );
}

// Guards against a reset that destroys the closing error: a request that crosses the error would
// otherwise stay unread at the exit.
#[test]
fn request_crossing_closing_error_at_exit_does_not_reset_connection() {
    const MAX_WAIT: Duration = Duration::from_secs(10);
    let (connection, _, mut client) = connection();
    let (clients, _inbox) = front_of(&connection);
    connection.state().last_used = connection.clock.now() - ANSWER_SETTLE_TIME;
    assert!(!clients.can_exit(), "the connection was just closed");
    let closed_at = std::time::Instant::now();
    client.write_all(b"ask").unwrap();
    while !clients.can_exit() {
        assert!(closed_at.elapsed() < MAX_WAIT);
        sleep(Duration::from_millis(1));
    }
    drop(clients);
    drop(connection);
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "1", "the closing error, and no reset");
}
