//! Connections between a reading thread and its client, without the protocol of any front.

use socket2::SockRef;
use valehatch_connection_limits::ConnectionActivity;

use super::*;

struct Mute;

impl RequestHandler for Mute {
    fn serve(&self, _: &mut Progress, _: &mut Incoming, _: &Session) -> io::Result<Talk> {
        Ok(Talk::Over)
    }
    fn encode(&self, _: u64, _: FinalAnswer) -> Vec<u8> {
        vec![]
    }
    fn ordered(&self) -> bool {
        false
    }
    fn pipeline(&self) -> usize {
        16
    }
    fn farewell(&self, after: Span) -> Vec<u8> {
        (after.0 / 1000).to_string().into_bytes()
    }
}

const PLACES: valehatch_connection_limits::ConnectionLimits =
    valehatch_connection_limits::ConnectionLimits {
        total: 0,
        overflow: 0,
        upstream: 0,
        active_clients: usize::MAX,
        settle_time: ANSWER_SETTLE_TIME,
    };

/// A connection as its reading thread has it, and the client's end of it.
fn connection() -> (Arc<Line>, Incoming, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let stream = listener.accept().unwrap().0;
    stream.set_read_timeout(Some(LOOK)).unwrap();
    let clock = Clock::start();
    let places = SharedConnectionLimiter::new(clock, PLACES);
    places.admit(1, clock.now());
    let line = Arc::new(Line {
        id: ClientId(1),
        stream,
        gate: Mutex::new(Gate {
            asked: 1,
            ..Gate::new(clock.now())
        }),
        eased: Condvar::new(),
        outbox: Outbox::new(Arc::new(Budget::new(1024))),
        front: Arc::new(Mute),
        clock,
        places,
    });
    let incoming = Incoming::new(Arc::clone(&line));
    (line, incoming, client)
}

/// It was answered only now, however long this thread was kept from going on.
fn only_now(line: &Line) {
    lock(&line.gate).since = line.clock.now() + Span::from_millis(60_000);
}

#[test]
fn no_last_word_follows_an_answer_at_once() {
    let (events, _inbox) = crossbeam_channel::bounded(8);
    let limits = Limits {
        bytes: 1024,
        watched: false,
    };
    let (line, _, mut client) = connection();
    let clients = Clients::new(
        Arc::new(Mute),
        events,
        line.clock,
        Arc::clone(&line.places),
        limits,
    )
    .unwrap();
    lock(&clients.lines).insert(ClientId(1), Arc::clone(&line));
    line.owe().unwrap();
    line.put(None, b"answer;".to_vec());
    only_now(&line);
    clients.close(ClientId(1));
    assert!(
        lock(&line.gate).over.is_none(),
        "it would pass for a second answer"
    );
    lock(&line.gate).since = line.clock.now() - ANSWER_SETTLE_TIME - Span::from_millis(1);
    clients.close(ClientId(1));
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "answer;1");
}

#[test]
fn what_has_come_in_keeps_its_connection_from_being_ended_message_by_message() {
    let (line, mut incoming, mut client) = connection();
    client.write_all(b"askask").unwrap();
    while !line.has_come() {
        std::thread::yield_now();
    }
    assert!(
        !line.end_if(AT_ONCE, |g| !g.ended),
        "it lies in the machine's buffer"
    );
    // The reading thread has taken both in, and has dealt with the first.
    assert_eq!(incoming.begins().unwrap(), Next::Message);
    assert!(!line.end_if(AT_ONCE, |g| !g.ended));
    incoming.read_exact(&mut [0; 3]).unwrap();
    incoming.ends();
    assert!(
        !line.end_if(AT_ONCE, |g| !g.ended),
        "the second came along with it"
    );
    assert_eq!(incoming.begins().unwrap(), Next::Message);
    incoming.read_exact(&mut [0; 3]).unwrap();
    incoming.ends();
    assert!(line.end_if(AT_ONCE, |g| !g.ended));
    assert!(!line.end_if(AT_ONCE, |_| true), "once");
}

#[test]
fn what_is_written_as_a_connection_ends_is_answered_by_the_last_word_and_no_reset() {
    let (line, mut incoming, mut client) = connection();
    assert!(line.end_if(AT_ONCE, |g| !g.ended));
    // The client does not know yet.
    client.write_all(b"ask").unwrap();
    let reader = std::thread::spawn(move || {
        loop {
            match incoming.begins().unwrap() {
                Next::Nothing => std::thread::yield_now(),
                other => return other,
            }
        }
    });
    let mut all = vec![];
    client.read_to_end(&mut all).unwrap();
    assert_eq!(all, b"1", "the time to come back, in this front's words");
    client.write_all(b"more").unwrap();
    drop(client);
    assert_eq!(reader.join().unwrap(), Next::End, "it is over");
}

#[test]
fn one_that_was_chosen_to_make_way_is_ended_only_if_it_still_idles() {
    let (line, mut incoming, mut client) = connection();
    let settled =
        || lock(&line.gate).since = line.clock.now() - ANSWER_SETTLE_TIME - Span::from_millis(1);
    let over = || lock(&line.gate).over.is_some();
    only_now(&line);
    line.make_way(ConnectionActivity::IdleAfterOne);
    assert!(!over(), "it was answered only now");
    settled();
    client.write_all(b"ask").unwrap();
    while !line.has_come() {
        std::thread::yield_now();
    }
    line.make_way(ConnectionActivity::IdleAfterOne);
    assert!(!over(), "a request has come in");
    assert_eq!(incoming.begins().unwrap(), Next::Message);
    incoming.read_exact(&mut [0; 3]).unwrap();
    settled();
    line.make_way(ConnectionActivity::IdleAfterOne);
    assert!(!over(), "it is being read");
    incoming.ends();
    settled();
    line.make_way(ConnectionActivity::IdleAfterOne);
    assert!(over());
    assert!(
        line.owe().is_err(),
        "what came in as it was ended does not run: it has its answer"
    );
}

#[test]
fn connections_hold_no_small_writes_back() {
    let (events, _inbox) = crossbeam_channel::bounded(8);
    let limits = Limits {
        bytes: 1024,
        watched: false,
    };
    let (line, _, _client) = connection();
    let clients = Clients::new(
        Arc::new(Mute),
        events,
        line.clock,
        Arc::clone(&line.places),
        limits,
    )
    .unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _other = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    clients
        .begin(ClientId(2), listener.accept().unwrap().0)
        .unwrap();
    assert!(lock(&clients.lines)[&ClientId(2)].stream.nodelay().unwrap());
}

#[test]
fn the_last_word_waits_for_a_client_that_is_slow_to_take_what_came_before_it() {
    let (line, _, mut client) = connection();
    let socket = SockRef::from(&line.stream);
    socket.set_send_buffer_size(4096).unwrap();
    let mut sent = 0;
    // Some of it is on its way for a moment.
    for _ in 0..20 {
        while let Ok(n) = socket.send_with_flags(&[b'v'; 1000], libc::MSG_DONTWAIT) {
            sent += n;
        }
        sleep(Duration::from_millis(5));
    }
    assert!(line.end_if(AT_ONCE, |g| !g.ended));
    assert!(line.writes(), "it does not fit any more");
    let long_ago = line.clock.now() + Span::from_millis(60_000);
    assert!(!line.has_lingered(long_ago), "nobody was listened to yet");
    let mut all = vec![];
    client.read_to_end(&mut all).unwrap();
    assert_eq!((all.len(), all.last()), (sent + 1, Some(&b'1')));
    while line.writes() {
        std::thread::yield_now();
    }
    assert!(line.has_lingered(long_ago));
}

#[test]
fn a_client_that_leaves_ends_the_wait_for_its_answers() {
    let (line, _, client) = connection();
    (0..16).for_each(|_| line.owe().unwrap());
    let (give, take) = crossbeam_channel::bounded(2);
    for least in [16, 1] {
        let (line, give) = (Arc::clone(&line), give.clone());
        std::thread::spawn(move || give.send(line.owed_less(least).map(drop).is_err()));
    }
    drop(client);
    for _ in 0..2 {
        assert_eq!(
            take.recv_timeout(Duration::from_secs(10)),
            Ok(true),
            "its end is noticed"
        );
    }
}

#[test]
fn what_a_client_had_sent_before_it_left_is_only_counted() {
    let (line, mut incoming, mut client) = connection();
    client.write_all(b"askask").unwrap();
    while !line.has_come() {
        std::thread::yield_now();
    }
    assert_eq!(incoming.begins().unwrap(), Next::Message);
    incoming.read_exact(&mut [0; 3]).unwrap();
    incoming.ends();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while line.waits() != Waits::End {
        std::thread::yield_now();
    }
    assert_eq!(
        incoming.begins().unwrap(),
        Next::Message,
        "it came in along with the first, and is counted"
    );
    assert!(lock(&line.gate).left, "it does not run");
    incoming.read_exact(&mut [0; 3]).unwrap();
    incoming.ends();
    assert_eq!(incoming.begins().unwrap(), Next::End);
    assert_eq!(incoming.finish(vec![]), Talk::Over);
}

#[test]
fn an_end_is_a_shutdown_and_what_comes_behind_it_is_taken_in() {
    let (line, mut incoming, mut client) = connection();
    line.owe().unwrap();
    line.put(None, b"answer;".to_vec());
    assert_eq!(incoming.finish(b"word".to_vec()), Talk::Rests);
    let mut all = String::new();
    client.read_to_string(&mut all).unwrap();
    assert_eq!(all, "answer;word");
    client.write_all(&[b'v'; 100_000]).unwrap();
    assert_eq!(client.read(&mut [0]).unwrap(), 0, "and no reset");
    assert!(line.owe().is_err(), "nothing of it runs");
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while incoming.finish(vec![]) == Talk::Rests {
        std::thread::yield_now();
    }
}
