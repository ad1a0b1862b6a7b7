//! A stub node of the Cassandra protocol that records when each attempt was out.
#![allow(dead_code)]

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::cql::{Frame, READY, RESULT, SUPPORTED, rows_body};
use super::spawn_server;

/// Opcodes of requests that are answered without work.
const STARTUP: u8 = 0x01;
const OPTIONS: u8 = 0x05;

/// An attempt, from its last byte to its answer or the end of its connection.
#[derive(Clone, Debug)]
pub(crate) struct RecordedAttempt {
    pub node: usize,
    pub statement: String,
    pub received: Instant,
    pub answered: Option<Instant>,
    pub connection_ended: Option<Instant>,
}

impl RecordedAttempt {
    /// When the attempt was no longer out; `None` if it still is.
    pub(crate) fn out_until(&self) -> Option<Instant> {
        self.answered.into_iter().chain(self.connection_ended).min()
    }
}

/// The attempts that several nodes have received, in the order of their arrival.
#[derive(Clone, Default)]
pub(crate) struct AttemptLog(Arc<Mutex<Vec<RecordedAttempt>>>);

impl AttemptLog {
    fn add(&self, node: usize, statement: String) -> usize {
        let mut attempts = self.0.lock().unwrap();
        attempts.push(RecordedAttempt {
            node,
            statement,
            received: Instant::now(),
            answered: None,
            connection_ended: None,
        });
        attempts.len() - 1
    }

    fn change(&self, index: usize, change: impl FnOnce(&mut RecordedAttempt)) {
        change(&mut self.0.lock().unwrap()[index]);
    }

    /// The attempts of a statement.
    pub(crate) fn of(&self, statement: &str) -> Vec<RecordedAttempt> {
        let attempts = self.0.lock().unwrap();
        let of_statement = attempts.iter().filter(|a| a.statement == statement);
        of_statement.cloned().collect()
    }

    /// Asserts that no statement was out twice at a time. Each time limit of the protocol page is
    /// 50 ms longer on sockets.
    pub(crate) fn assert_no_overlap(&self) {
        const SLACK: Duration = Duration::from_millis(50);
        let attempts = self.0.lock().unwrap().clone();
        for (n, later) in attempts.iter().enumerate() {
            for earlier in &attempts[..n] {
                let overlaps = earlier.statement == later.statement
                    && earlier
                        .out_until()
                        .is_none_or(|until| until > later.received + SLACK);
                assert!(!overlaps, "{earlier:?} was out when {later:?} came");
            }
        }
    }
}

/// What a node leaves unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hang {
    /// Nothing is answered.
    Process,
    /// Heartbeats are answered.
    Work,
}

/// A node that answers each request with its statement.
pub(crate) struct RecordingNode {
    number: usize,
    log: AttemptLog,
    hangs: AtomicBool,
    hang: Hang,
}

impl RecordingNode {
    pub(crate) fn start(number: usize, log: &AttemptLog, hang: Hang) -> (SocketAddr, Arc<Self>) {
        let node = Arc::new(Self {
            number,
            log: log.clone(),
            hangs: AtomicBool::new(false),
            hang,
        });
        let shared = Arc::clone(&node);
        let address = spawn_server(move |stream| shared.serve(stream));
        (address, node)
    }

    pub(crate) fn set_hanging(&self, hangs: bool) {
        self.hangs.store(hangs, Ordering::SeqCst);
    }

    /// Reads, and records what arrives, also while the node hangs.
    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
        let mut reader = stream;
        let mut recorded = vec![];
        while let Some(frame) = Frame::read(&mut reader) {
            let attempt = match frame.op {
                STARTUP | OPTIONS => None,
                _ => Some(self.log.add(self.number, statement(&frame))),
            };
            recorded.extend(attempt);
            let (node, writer) = (Arc::clone(self), Arc::clone(&writer));
            thread::spawn(move || node.answer(&frame, attempt, &writer));
        }
        for attempt in recorded {
            self.log
                .change(attempt, |a| a.connection_ended = Some(Instant::now()));
        }
    }

    fn answer(&self, frame: &Frame, attempt: Option<usize>, writer: &Mutex<TcpStream>) {
        while self.hangs.load(Ordering::SeqCst) && (self.hang == Hang::Process || attempt.is_some())
        {
            thread::sleep(Duration::from_millis(1));
        }
        let (op, body) = match frame.op {
            STARTUP => (READY, vec![]),
            OPTIONS => (SUPPORTED, vec![0, 0]),
            _ => (RESULT, rows_body(&statement(frame))),
        };
        let response = Frame {
            version: 0x84,
            flags: 0,
            stream: frame.stream,
            op,
            body,
        };
        if let Some(attempt) = attempt {
            self.log
                .change(attempt, |a| a.answered = Some(Instant::now()));
        }
        let bytes = response.bytes();
        let _ = std::io::Write::write_all(&mut *writer.lock().unwrap(), &bytes);
    }
}

/// The statement of a QUERY.
fn statement(frame: &Frame) -> String {
    let length = u32::from_be_bytes(frame.body[..4].try_into().unwrap()) as usize;
    String::from_utf8_lossy(&frame.body[4..4 + length]).into_owned()
}
