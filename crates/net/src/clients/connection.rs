//! One connection from a client: what is under way on it, and the one way in which this side ends it.
//!
//! That way is a lingering close: what the client is owed is written, then the last word; sending is shut down; what still
//! comes is taken in up to the client's end or a bound, and none of it runs; only then is the descriptor given back. A
//! close over unread bytes would reset the connection and tear away what was said last.

use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;

use valehatch_connection_limits::{ANSWER_SETTLE_TIME, ConnectionActivity};
use valehatch_core::ClientId;
use valehatch_policy::{Span, Time};

use super::write_queue::Outbox;
use super::{Next, RequestHandler};
use crate::connection_limits::SharedConnectionLimiter;
use crate::{Clock, lock};

/// A connection that has asked nothing is closed after this long.
const IDLE: Span = Span::from_millis(2_000);
/// A message that has begun must be whole by then: some take 2 s to write one, and whoever stops half-way is owed an end
/// within 3 s of connecting.
const HALF: Span = Span::from_millis(2_500);
/// When whoever asked on a connection as it was ended should come back: it had only been silent.
pub(super) const AT_ONCE: Span = Span::from_millis(1);
/// How long, and for how many bytes, a client is listened to after the last word to it.
const LINGER: Span = Span::from_millis(300);
pub(super) const LINGER_BYTES: usize = 1024 * 1024;
/// How often whoever waits for a client's answers looks whether the client is still there: what begins more than 0.1 s after
/// a client has closed is a break (STANDING.md, days at full size).
const STILL_THERE: Duration = Duration::from_millis(20);

/// What waits to be read on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Waits {
    Nothing,
    Bytes,
    /// The client's end, whether or not bytes wait before it. A half-close counts as well: nothing is answered behind it.
    End,
}

/// What a connection is doing, so that it is never ended under a request that has been read.
pub(super) struct Gate {
    /// A message has begun to come in.
    pub reading: bool,
    /// One is whole, and is about to be taken or refused.
    pub whole: bool,
    /// What the client is owed.
    pub open: usize,
    /// How often the client has asked something; it writes in pieces.
    pub asked: u32,
    pub slow: bool,
    /// What the places know of it.
    pub told: ConnectionActivity,
    /// When the connection came up or was last used, and how long it may go on without an open request.
    pub since: Time,
    pub idle: Span,
    /// Its reading thread waits until the client is owed less.
    pub waits: bool,
    /// This side is ending the connection (a lingering close), since when: what still comes is taken in, and does not run.
    pub over: Option<Time>,
    /// Nothing can be written to it any more.
    pub ended: bool,
    /// The client has left: what it had sent before is counted, and does not run; whether the core was told.
    pub left: bool,
    pub called_off: bool,
}

impl Gate {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            reading: false,
            whole: false,
            open: 0,
            asked: 0,
            slow: false,
            told: ConnectionActivity::Unused,
            since: now,
            idle: IDLE,
            waits: false,
            over: None,
            ended: false,
            left: false,
            called_off: false,
        }
    }

    pub(super) const fn doing(&self) -> ConnectionActivity {
        match self {
            Self { over: Some(_), .. } | Self { ended: true, .. } => ConnectionActivity::Closing,
            Self { open: 1.., .. } | Self { whole: true, .. } => ConnectionActivity::Active,
            Self { reading: true, .. } => ConnectionActivity::PartialRequest,
            Self { asked: 1, .. } => ConnectionActivity::IdleAfterOne,
            Self { asked: 2.., .. } => ConnectionActivity::IdleReused,
            // What a slow client writes next is on its way.
            Self { slow: true, .. } => ConnectionActivity::PartialRequest,
            _ => ConnectionActivity::Unused,
        }
    }
}

/// A connection; it has its place until its descriptor is given back.
pub(super) struct Line {
    pub id: ClientId,
    pub stream: TcpStream,
    pub gate: Mutex<Gate>,
    pub eased: Condvar,
    pub outbox: Outbox,
    pub front: Arc<dyn RequestHandler>,
    pub clock: Clock,
    pub places: Arc<SharedConnectionLimiter>,
}

impl Line {
    /// Ends the connection if nothing is open on it, nothing has come in, and `when` holds. What the client writes before
    /// it can know of that is answered by the last word.
    pub(super) fn end_if(self: &Arc<Self>, after: Span, when: impl Fn(&Gate) -> bool) -> bool {
        let gate = lock(&self.gate);
        let rests = !gate.reading && gate.open == 0 && gate.over.is_none();
        // Under the same lock as its reading thread takes things in: none is between the machine's buffer and `reading`.
        if !rests || !when(&gate) || self.has_come() {
            return false;
        }
        self.part(gate, self.front.farewell(after));
        true
    }

    /// Ends the connection so that others find room, if it still does what it was chosen for; else the places hear of it.
    pub(super) fn make_way(self: &Arc<Self>, chosen: ConnectionActivity) {
        let mut gate = lock(&self.gate);
        let (now, come) = (self.clock.now(), self.has_come());
        let settled =
            chosen == ConnectionActivity::Unused || gate.since + ANSWER_SETTLE_TIME <= now;
        if gate.doing() == chosen && settled && !come {
            return self.part(gate, self.front.farewell(AT_ONCE));
        }
        gate.told = if come {
            ConnectionActivity::PartialRequest
        } else {
            gate.doing()
        };
        self.places.set_activity(self.id.0, gate.told, now);
    }

    /// Ends the connection unless something is open on it: the program is about to end, which would reset what is half
    /// read. What has begun to come in is answered by the last word; right behind an answer that would pass for a
    /// second one, so there sending just ends.
    pub(super) fn end_unless_open(self: &Arc<Self>) {
        let gate = lock(&self.gate);
        if gate.whole || gate.open > 0 || gate.over.is_some() {
            return;
        }
        let owed =
            gate.reading || self.has_come() || gate.since + ANSWER_SETTLE_TIME <= self.clock.now();
        let word = if owed {
            self.front.farewell(AT_ONCE)
        } else {
            vec![]
        };
        self.part(gate, word);
    }

    /// Tells the places what the connection does now, under the gate's lock so that they hear it in order.
    pub(super) fn tell(&self, gate: &mut Gate) {
        let doing = gate.doing();
        if doing != gate.told {
            gate.told = doing;
            self.places.set_activity(self.id.0, doing, gate.since);
        }
    }

    /// What waits to be read; takes nothing, and waits for nothing.
    pub(super) fn waits(&self) -> Waits {
        let mut one = [PollFd::new(&self.stream, PollFlags::IN | PollFlags::RDHUP)];
        let _ = poll(
            &mut one,
            Some(&Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            }),
        );
        let come = one[0].revents();
        if come.intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR) {
            Waits::End
        } else if come.is_empty() {
            Waits::Nothing
        } else {
            Waits::Bytes
        }
    }

    /// Whether bytes or the client's end wait to be read.
    pub(super) fn has_come(&self) -> bool {
        self.waits() != Waits::Nothing
    }

    /// Since when this side is ending it.
    pub(super) fn over(&self) -> Option<Time> {
        lock(&self.gate).over
    }

    /// Whether it has been listened to for long enough after the last word. While that is still on its way to a client that is
    /// slow to take things, the time has not begun.
    pub(super) fn has_lingered(&self, now: Time) -> bool {
        self.over().is_some_and(|since| since + LINGER < now) && !self.writes()
    }

    /// Whether a request is about to be taken, or something is owed or on its way to the client.
    pub(super) fn is_busy(&self) -> bool {
        let gate = lock(&self.gate);
        let busy = !gate.ended && (gate.whole && gate.over.is_none() || gate.open > 0);
        drop(gate);
        busy || self.writes()
    }

    /// Takes in what has come behind the last word, so that no reset tears that word away; says whether that was the end.
    pub(super) fn swallow(&self, left: &mut usize) -> Next {
        let mut some = [std::mem::MaybeUninit::uninit(); 16 * 1024];
        let socket = SockRef::from(&self.stream);
        while *left > 0 {
            match socket.recv_with_flags(&mut some, libc::MSG_DONTWAIT) {
                Ok(n @ 1..) => *left = left.saturating_sub(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Next::Nothing,
                _ => return Next::End,
            }
        }
        Next::End
    }

    /// Says the last word, behind all that was said before, and ends sending once that has left.
    pub(super) fn part(self: &Arc<Self>, mut gate: MutexGuard<'_, Gate>, word: Vec<u8>) {
        gate.over = Some(self.clock.now());
        gate.open += usize::from(!word.is_empty());
        self.tell(&mut gate);
        drop(gate);
        if !word.is_empty() {
            self.put(None, word);
        }
        self.complete();
    }

    /// Ends sending in the middle of an answer that cannot be finished, so that the client can tell.
    pub(super) fn cut_short(&self) {
        let mut gate = lock(&self.gate);
        gate.over.get_or_insert(self.clock.now());
        self.tell(&mut gate);
        drop(gate);
        self.complete();
        self.eased.notify_all();
    }

    /// Notes that something has begun or ended on the connection.
    pub(super) fn note(&self, what: impl Fn(&mut Gate)) {
        let mut gate = lock(&self.gate);
        what(&mut gate);
        gate.since = self.clock.now();
        self.tell(&mut gate);
        let waits = gate.waits;
        drop(gate);
        // Each call costs the machine's time, whether anybody waits or not.
        if waits {
            self.eased.notify_all();
        }
    }

    /// Waits until the client is owed less than so much. A client that leaves meanwhile is told of at once: nobody else looks
    /// for that while its reading thread waits here.
    ///
    /// # Errors
    /// The client has left, or the connection is over.
    pub(super) fn owed_less(&self, most: usize) -> io::Result<MutexGuard<'_, Gate>> {
        let mut gate = lock(&self.gate);
        loop {
            gate.waits = false;
            // What came in as it was ended has had the last word for its answer: it does not run.
            if gate.ended || gate.over.is_some() {
                return Err(ErrorKind::BrokenPipe.into());
            }
            if gate.open < most {
                return Ok(gate);
            }
            if self.waits() == Waits::End {
                gate.left = true;
                return Err(ErrorKind::ConnectionAborted.into());
            }
            gate.waits = true;
            gate = self
                .eased
                .wait_timeout(gate, STILL_THERE)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Takes a place for something that the client is owed; waits while it is owed too much.
    pub(super) fn owe(&self) -> io::Result<()> {
        let mut gate = self.owed_less(self.front.pipeline())?;
        gate.open += 1;
        self.tell(&mut gate);
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.places.remove(self.id.0);
    }
}

/// Reads from a client, with patience for as long as the connection may stand idle.
pub(super) struct Patient {
    pub line: Arc<Line>,
    /// Bytes that are still taken in behind the last word.
    left: usize,
}

impl Patient {
    pub(super) const fn new(line: Arc<Line>) -> Self {
        Self {
            line,
            left: LINGER_BYTES,
        }
    }

    /// Takes in what has come and does not run; says whether that was the end, or as much as is listened to.
    pub(super) fn swallow(&mut self) -> Next {
        self.line.swallow(&mut self.left)
    }
}

impl Read for Patient {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let line = &self.line;
        loop {
            // Waits without taking anything: what is taken is noted under the same lock under which connections end.
            let waited = line.stream.peek(&mut [0]);
            let now = line.clock.now();
            let mut gate = lock(&line.gate);
            // What came as it was ended is taken in by whoever lingers, and does not run.
            if gate.over.is_some() {
                return Err(ErrorKind::ConnectionAborted.into());
            }
            // What was peeked at is there: reading it does not wait.
            let got = waited.and_then(|_| (&line.stream).read(into));
            // Half a message that comes to no end is ended as silence is, however it drips in; what was asked before it
            // is answered first, and each answer begins that time anew.
            if gate.reading && gate.open == 0 && gate.since + HALF < now {
                line.part(gate, line.front.farewell(AT_ONCE));
                return Err(ErrorKind::ConnectionAborted.into());
            }
            // A process that was stopped for a while comes back from a timed read interrupted.
            let pauses = [
                ErrorKind::WouldBlock,
                ErrorKind::TimedOut,
                ErrorKind::Interrupted,
            ];
            match got {
                Err(e) if pauses.contains(&e.kind()) => {}
                Ok(n @ 1..) if !gate.reading => {
                    (gate.reading, gate.since) = (true, now);
                    line.tell(&mut gate);
                    return Ok(n);
                }
                other => {
                    gate.slow |= gate.asked == 0;
                    return other;
                }
            }
        }
    }
}
