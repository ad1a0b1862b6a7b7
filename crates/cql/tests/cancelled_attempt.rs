//! A cancelled attempt is reported to have ended only when the endpoint can no longer execute it.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use crossbeam_channel::Receiver;
use valehatch_core::permission::SendPermit;
use valehatch_core::{ConnectionId, Event, Payload, UpstreamJob};
use valehatch_cql::PreparedStatements;
use valehatch_cql::exchange::{Exchange, NextStep};
use valehatch_cql::frame::{Direction, Frame, MAX_ENDPOINT_BODY};
use valehatch_cql::opcodes::{error_code, opcode};
use valehatch_cql::pool::{EndpointPools, PoolConfig};
use valehatch_memory_budget::MemoryBudget;
use valehatch_net::Clock;
use valehatch_net::upstream::Upstream;
use valehatch_policy::{Outcome, Span, Time};

const STATEMENT_ID: &[u8] = b"id";
const CONNECTION: ConnectionId = ConnectionId(1);
const LIMIT: Duration = Duration::from_secs(10);

fn execute_job() -> UpstreamJob {
    let body = [&[0, 2][..], STATEMENT_ID, &[0, 1, 0]].concat();
    let frame = Frame::new(Direction::Request, 0, 0, opcode::EXECUTE, &body);
    UpstreamJob::Request {
        payload: Arc::new(Payload {
            bytes: frame.into_bytes(),
            write: true,
            class: 0,
        }),
        deadline: Time(i64::MAX),
        permit: SendPermit::new(Time(i64::MAX)),
    }
}

fn unprepared(stream: i16) -> Frame {
    let code = error_code::UNPREPARED.to_be_bytes();
    let body = [&code[..], &[0, 0, 0, 2], STATEMENT_ID].concat();
    Frame::new(Direction::Response, 0, stream, opcode::ERROR, &body)
}

fn prepared_statements() -> Arc<PreparedStatements> {
    let prepared = PreparedStatements::new(1024 * 1024);
    prepared.insert(STATEMENT_ID, "INSERT INTO a");
    Arc::new(prepared)
}

/// A pool, its events, and the endpoint's end of the connection on which the job has arrived.
struct Fixture {
    pools: EndpointPools,
    inbox: Receiver<Event>,
    endpoint: TcpStream,
    stream_id: i16,
}

impl Fixture {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address: Arc<str> = listener.local_addr().unwrap().to_string().into();
        let (accepted, connections) = mpsc::channel();
        std::thread::spawn(move || {
            let mut stream = listener.accept().unwrap().0;
            read_frame(&mut stream);
            let ready = Frame::new(Direction::Response, 0, 0, opcode::READY, &[]);
            stream.write_all(ready.bytes()).unwrap();
            let job = read_frame(&mut stream);
            accepted.send((stream, job.stream_id())).unwrap();
        });
        let (events, inbox) = crossbeam_channel::bounded(8);
        let mut pools = EndpointPools::new(PoolConfig {
            prepared: prepared_statements(),
            events,
            clock: Clock::start(),
            connect_timeout: LIMIT,
            idle_timeout: Span::from_millis(60_000),
            max_connections: 8,
            metrics: None,
            memory: Arc::new(MemoryBudget::new(1024 * 1024)),
        })
        .unwrap();
        pools.connect(CONNECTION, &address);
        pools.submit(CONNECTION, execute_job());
        pools.flush();
        let (endpoint, stream_id) = connections.recv_timeout(LIMIT).unwrap();
        Self {
            pools,
            inbox,
            endpoint,
            stream_id,
        }
    }

    /// Outcome of the attempt.
    fn outcome(&self) -> Outcome {
        match self.inbox.recv_timeout(LIMIT).unwrap() {
            Event::AttemptEnded {
                connection, reply, ..
            } => {
                assert_eq!(connection, CONNECTION);
                reply.outcome
            }
            other => panic!("{other:?}"),
        }
    }
}

fn read_frame(stream: &mut TcpStream) -> Frame {
    Frame::read(stream, Direction::Request, MAX_ENDPOINT_BODY).unwrap()
}

#[test]
fn written_attempt_is_cancelled_its_connection_is_closed() {
    let mut fixture = Fixture::new();
    fixture.pools.cancel(CONNECTION);
    assert_eq!(fixture.outcome(), Outcome::Cancelled);
    fixture.endpoint.set_read_timeout(Some(LIMIT)).unwrap();
    let end = fixture.endpoint.read(&mut [0]);
    assert!(matches!(end, Ok(0)), "{end:?}");
}

/// The request itself was answered with UNPREPARED, so it is not out, and is not sent again.
#[test]
fn attempt_is_cancelled_while_its_statement_is_prepared_it_has_not_run() {
    let mut fixture = Fixture::new();
    let unprepared = unprepared(fixture.stream_id);
    fixture.endpoint.write_all(unprepared.bytes()).unwrap();
    assert_eq!(read_frame(&mut fixture.endpoint).opcode(), opcode::PREPARE);
    fixture.pools.cancel(CONNECTION);
    assert_eq!(fixture.outcome(), Outcome::NotSent);
}

#[test]
fn cancelled_attempt_is_unprepared_statement_is_not_prepared_again() {
    let prepared = prepared_statements();
    let mut exchange = Exchange::new(execute_job(), Time(0));
    exchange.cancel();
    let next = exchange.on_response(Time(1), unprepared(0), &prepared);
    let NextStep::Finished { reply, .. } = next else {
        panic!("the attempt would be sent again");
    };
    assert_eq!(reply.outcome, Outcome::Misdirected);
    let mut exchange = Exchange::new(execute_job(), Time(0));
    let next = exchange.on_response(Time(1), unprepared(0), &prepared);
    assert!(matches!(next, NextStep::Send(_)), "usually it is");
}
