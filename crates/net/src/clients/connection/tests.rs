//! Tests of client connections without a protocol: closing, writing and detecting a disconnect.

use std::io::Read;
use std::net::TcpListener;
use std::thread::sleep;

use valehatch_connection_limits::ConnectionLimits;
use valehatch_core::FinalAnswer;

use super::super::session::{RequestReader, Session};
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

/// A connection, its reader and the client's end of it.
fn connection() -> (Arc<ClientConnection>, RequestReader, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let stream = listener.accept().unwrap().0;
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let clock = Clock::start();
    let limiter = SharedConnectionLimiter::new(clock, CONNECTION_LIMITS);
    let now = clock.now();
    limiter.admit(1, now);
    let connection = Arc::new(ClientConnection::new(
        ClientId(1),
        stream,
        now,
        memory_budget(),
        Arc::new(EmptyProtocol),
        clock,
        limiter,
    ));
    connection.state().requests = 1;
    let reader = RequestReader::new(Arc::clone(&connection));
    (connection, reader, client)
}

/// Marks the connection as just used, however long this thread is not scheduled.
fn mark_used_now(connection: &ClientConnection) {
    connection.state().last_used = connection.clock.now() + Span::from_millis(60_000);
}

#[test]
fn recently_answered_connection_is_not_closed_until_settled() {
    let (events, _inbox) = crossbeam_channel::bounded(8);
    let limits = ClientLimits {
        memory: memory_budget(),
        response_bytes: 1024,
        reports_rejections: false,
    };
    let (connection, _, mut client) = connection();
    let clients = Clients::new(
        Arc::new(EmptyProtocol),
        events,
        connection.clock,
        Arc::clone(&connection.limiter),
        limits,
    )
    .unwrap();
    lock(&clients.registry.connections).insert(ClientId(1), Arc::clone(&connection));
    connection.reserve_response().unwrap();
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
    assert_eq!(reader.next_input().unwrap(), NextInput::Message);
    assert!(!connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| !state.is_aborted()));
    reader.read_exact(&mut [0; 3]).unwrap();
    reader.finish_message();
    assert!(
        !connection.close_idle_if(CLOSING_ERROR_RETRY_AFTER, |state| !state.is_aborted()),
        "the second message was received with the first"
    );
    assert_eq!(reader.next_input().unwrap(), NextInput::Message);
    reader.read_exact(&mut [0; 3]).unwrap();
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
            match reader.next_input().unwrap() {
                NextInput::Pending => std::thread::yield_now(),
                other => return other,
            }
        }
    });
    let mut all = vec![];
    client.read_to_end(&mut all).unwrap();
    assert_eq!(all, b"1", "the closing error with its retry time");
    client.write_all(b"more").unwrap();
    drop(client);
    assert_eq!(
        reading.join().unwrap(),
        NextInput::Closed,
        "the client has closed too"
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
    assert_eq!(reader.next_input().unwrap(), NextInput::Message);
    reader.read_exact(&mut [0; 3]).unwrap();
    settle();
    connection.evict(ConnectionActivity::IdleAfterOne);
    assert!(!is_closing(), "a request is being read");
    reader.finish_message();
    settle();
    connection.evict(ConnectionActivity::IdleAfterOne);
    assert!(is_closing());
    assert!(
        connection.reserve_response().is_err(),
        "a request received during the close is not executed"
    );
}

#[test]
fn accepted_connection_disables_nagle() {
    let (events, _inbox) = crossbeam_channel::bounded(8);
    let limits = ClientLimits {
        memory: memory_budget(),
        response_bytes: 1024,
        reports_rejections: false,
    };
    let (connection, _, _client) = connection();
    let clients = Clients::new(
        Arc::new(EmptyProtocol),
        events,
        connection.clock,
        Arc::clone(&connection.limiter),
        limits,
    )
    .unwrap();
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
fn disconnect_ends_wait_for_responses() {
    let (connection, _, client) = connection();
    for _ in 0..16 {
        connection.reserve_response().unwrap();
    }
    let (results, outcomes) = crossbeam_channel::bounded(2);
    for limit in [16, 1] {
        let (connection, results) = (Arc::clone(&connection), results.clone());
        std::thread::spawn(move || {
            results.send(connection.wait_for_pending_below(limit).map(drop).is_err())
        });
    }
    drop(client);
    for _ in 0..2 {
        assert_eq!(
            outcomes.recv_timeout(Duration::from_secs(10)),
            Ok(true),
            "the disconnect is noticed"
        );
    }
}

#[test]
fn messages_before_disconnect_are_read_but_not_executed() {
    let (connection, mut reader, mut client) = connection();
    client.write_all(b"askask").unwrap();
    while !connection.has_received() {
        std::thread::yield_now();
    }
    assert_eq!(reader.next_input().unwrap(), NextInput::Message);
    reader.read_exact(&mut [0; 3]).unwrap();
    reader.finish_message();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while connection.receive_status() != ReceiveStatus::PeerClosed {
        std::thread::yield_now();
    }
    assert_eq!(
        reader.next_input().unwrap(),
        NextInput::Message,
        "the second message was received with the first"
    );
    assert!(
        !connection.state().is_client_connected(),
        "the second message is not executed"
    );
    reader.read_exact(&mut [0; 3]).unwrap();
    reader.finish_message();
    assert_eq!(reader.next_input().unwrap(), NextInput::Closed);
    assert_eq!(reader.close_gracefully(vec![]), SessionStatus::Closed);
}

#[test]
fn graceful_close_discards_later_bytes_without_reset() {
    let (connection, mut reader, mut client) = connection();
    connection.reserve_response().unwrap();
    connection.enqueue(None, b"answer;".to_vec(), ResponseMemory::default());
    assert_eq!(
        reader.close_gracefully(b"error".to_vec()),
        SessionStatus::Idle
    );
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
        connection.reserve_response().is_err(),
        "no later request is executed"
    );
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while reader.close_gracefully(vec![]) == SessionStatus::Idle {
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
    let (connection, reader, client) = connection();
    connection.reserve_response().unwrap();
    connection.state().input = input;
    (connection, reader, client)
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
fn rejection_that_waits_for_reader_is_written_before_reader_closes() {
    let (connection, mut reader, mut client) = connection_with_request(RequestInput::Complete);
    connection.reject_and_close(last_rejection());
    let closing = std::thread::spawn(move || reader.close_gracefully(b"error".to_vec()));
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "rejected;error");
    assert_eq!(closing.join().unwrap(), SessionStatus::Idle);
}

// As above, with a rejection that arrives while the reader already waits for pending responses.
#[test]
fn rejection_is_written_while_reader_closes() {
    let (connection, mut reader, mut client) = connection_with_request(RequestInput::Complete);
    let closing = std::thread::spawn(move || reader.close_gracefully(b"error".to_vec()));
    while !connection.state().has_waiting_reader {
        std::thread::yield_now();
    }
    connection.reject_and_close(last_rejection());
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "rejected;error");
    assert_eq!(closing.join().unwrap(), SessionStatus::Idle);
}

// Guards against a rejection that waits for the reader, which waits for memory until the rejection
// is written.
#[test]
fn rejection_is_written_before_and_while_reader_waits_for_memory() {
    for rejected_before in [true, false] {
        let (connection, _reader, mut client) = connection_with_request(RequestInput::Complete);
        if rejected_before {
            connection.reject_and_close(last_rejection());
        }
        let waiting = Arc::clone(&connection);
        let reserving = std::thread::spawn(move || {
            let without_pending = |pending| (pending == PendingResponses::None).then_some(());
            waiting.reserve_memory(without_pending)
        });
        if !rejected_before {
            while !connection.state().has_waiting_reader {
                std::thread::yield_now();
            }
            connection.reject_and_close(last_rejection());
        }
        let mut answer = [0; 9];
        client.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"rejected;");
        assert!(matches!(reserving.join().unwrap(), Ok(Some(()))));
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
    let (events, _inbox) = crossbeam_channel::bounded(8);
    let limits = ClientLimits {
        memory: memory_budget(),
        response_bytes: 1024,
        reports_rejections: false,
    };
    let (connection, _, mut client) = connection();
    let clients = Clients::new(
        Arc::new(EmptyProtocol),
        events,
        connection.clock,
        Arc::clone(&connection.limiter),
        limits,
    )
    .unwrap();
    lock(&clients.registry.connections).insert(ClientId(1), Arc::clone(&connection));
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
