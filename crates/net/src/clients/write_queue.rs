//! What is on its way to a client: whole answers in their turn, and long ones that are passed on as they come.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use crossbeam_channel::Sender;
use socket2::SockRef;
use valehatch_core::Event;

use super::buffer_budget::{Budget, Piece};
use super::connection::Line;
use crate::{lock, spawn};

/// What the machine may hold of a long answer on either side: it would hold megabytes where a client is slow to read.
pub(crate) const BUFFER: usize = 64 * 1024;

/// What is to be written to a client.
pub(super) struct Outbox {
    state: Mutex<State>,
    /// An answer has left, or nothing more is taken.
    moved: Condvar,
    budget: Arc<Budget>,
}

#[derive(Default)]
struct State {
    /// In an ordered protocol: the ticket whose answer leaves next, and those that wait for it.
    next: u64,
    waiting: BTreeMap<u64, Vec<u8>>,
    /// What leaves now, and how many answers that are.
    ready: Vec<u8>,
    count: usize,
    /// Of the budget, what whole answers hold.
    held: usize,
    /// A thread is at it: the client did not take all at once, or is given a long answer.
    writing: bool,
    /// Nothing will be added any more.
    complete: bool,
}

impl Outbox {
    pub(super) fn new(budget: Arc<Budget>) -> Self {
        Self {
            state: Mutex::default(),
            moved: Condvar::new(),
            budget,
        }
    }

    fn written(&self, state: &mut State, bytes: usize) {
        state.held -= bytes;
        self.budget.give_back(bytes);
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        let held = self
            .state
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner)
            .held;
        self.budget.give_back(held);
    }
}

impl State {
    /// Takes up those answers whose turn has come.
    fn turn(&mut self) {
        while let Some(bytes) = self.waiting.remove(&self.next) {
            self.ready.extend_from_slice(&bytes);
            self.next += 1;
            self.count += 1;
        }
    }
}

impl Line {
    /// Passes on what the client is owed, in its turn. Never waits: what the client does not take at once is
    /// left to a thread.
    pub(super) fn put(self: &Arc<Self>, ticket: Option<u64>, bytes: Vec<u8>) {
        self.outbox.budget.add(bytes.len());
        let mut state = lock(&self.outbox.state);
        state.held += bytes.len();
        match ticket.filter(|_| self.front.ordered()) {
            Some(ticket) => drop(state.waiting.insert(ticket, bytes)),
            None => {
                state.ready.extend_from_slice(&bytes);
                state.count += 1;
            }
        }
        state.turn();
        self.write_now(state);
    }

    /// Writes what the client takes at once; the rest is left to a thread.
    fn write_now(self: &Arc<Self>, mut state: MutexGuard<'_, State>) {
        if state.writing || state.ready.is_empty() {
            return;
        }
        let socket = SockRef::from(&self.stream);
        loop {
            match socket.send_with_flags(&state.ready, libc::MSG_DONTWAIT) {
                Ok(n) => {
                    self.outbox.written(&mut state, n);
                    if n == state.ready.len() {
                        break;
                    }
                    state.ready.drain(..n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    state.writing = true;
                    drop(state);
                    let line = Arc::clone(self);
                    if spawn("client out", move || line.write_rest()).is_err() {
                        self.break_off();
                    }
                    return;
                }
                Err(_) => {
                    drop(state);
                    return self.break_off();
                }
            }
        }
        state.ready.clear();
        let count = std::mem::take(&mut state.count);
        drop(state);
        // It may be a long answer's turn.
        self.outbox.moved.notify_all();
        self.note(|g| g.open -= count);
    }

    /// Writes to a client that is slow to take things, until it has them all.
    fn write_rest(&self) {
        loop {
            let mut state = lock(&self.outbox.state);
            let (bytes, count) = (
                std::mem::take(&mut state.ready),
                std::mem::take(&mut state.count),
            );
            if bytes.is_empty() {
                return self.wrote(state);
            }
            drop(state);
            if (&self.stream).write_all(&bytes).is_err() {
                return self.break_off();
            }
            self.outbox
                .written(&mut lock(&self.outbox.state), bytes.len());
            self.note(|g| g.open -= count);
        }
    }

    /// The thread that was at it is done.
    fn wrote(&self, mut state: MutexGuard<'_, State>) {
        state.writing = false;
        let complete = state.complete;
        if complete {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        drop(state);
        self.outbox.moved.notify_all();
        if complete {
            // The client is listened to from now on, not from when the last word had to wait.
            let now = self.clock.now();
            lock(&self.gate)
                .over
                .iter_mut()
                .for_each(|since| *since = now);
        }
    }

    /// Writes some of a long answer, in its turn; waits for as long as the client is slow to take it. Nothing of it is
    /// ever left behind here.
    fn pass(self: &Arc<Self>, ticket: u64, bytes: &[u8]) -> io::Result<()> {
        let waits = |s: &mut State| !s.complete && (s.writing || s.next != ticket);
        let state = self
            .outbox
            .moved
            .wait_while(lock(&self.outbox.state), waits);
        let mut state = state.unwrap_or_else(PoisonError::into_inner);
        if state.complete {
            return Err(ErrorKind::BrokenPipe.into());
        }
        state.writing = true;
        drop(state);
        let written = (&self.stream).write_all(bytes);
        if written.is_err() {
            self.break_off();
        }
        self.wrote(lock(&self.outbox.state));
        written
    }

    /// A long answer has left whole: those that waited for it may follow.
    fn passed(self: &Arc<Self>) {
        self.note(|g| g.open -= 1);
        let mut state = lock(&self.outbox.state);
        state.next += 1;
        state.turn();
        self.write_now(state);
        self.outbox.moved.notify_all();
    }

    /// The client takes nothing more.
    pub(super) fn break_off(&self) {
        let mut gate = lock(&self.gate);
        gate.ended = true;
        self.tell(&mut gate);
        drop(gate);
        lock(&self.outbox.state).complete = true;
        let _ = self.stream.shutdown(Shutdown::Both);
        self.eased.notify_all();
        self.outbox.moved.notify_all();
    }

    /// Nothing more will be said: sending ends once all is written.
    pub(super) fn complete(&self) {
        let mut state = lock(&self.outbox.state);
        state.complete = true;
        if !state.writing {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        drop(state);
        self.outbox.moved.notify_all();
    }

    /// Whether a thread is at it: something is on its way to a client that is slow to take things.
    pub(super) fn writes(&self) -> bool {
        let writing = lock(&self.outbox.state).writing;
        writing && !lock(&self.gate).ended
    }
}

/// The way of one long answer to its client. What has begun is finished, or the connection is ended in the middle of it,
/// so that the client can tell.
pub struct ResponseBody {
    line: Arc<Line>,
    ticket: u64,
    piece: Piece,
    whole: AtomicBool,
    events: Sender<Event>,
}

impl ResponseBody {
    pub(super) fn new(line: Arc<Line>, ticket: u64, events: Sender<Event>) -> Self {
        let piece = line.outbox.budget.piece();
        Self {
            line,
            ticket,
            piece,
            whole: AtomicBool::new(false),
            events,
        }
    }

    /// How much may be taken up of the answer at once.
    pub const fn piece(&self) -> usize {
        self.piece.bytes()
    }

    /// Waits for the turn of the answer, and begins it.
    ///
    /// # Errors
    /// The client takes nothing more.
    pub fn begin(&self, bytes: &[u8]) -> io::Result<()> {
        SockRef::from(&self.line.stream).set_send_buffer_size(BUFFER)?;
        self.pass(bytes)
    }

    /// Hands on some of the answer; waits for as long as the client is slow to take it.
    ///
    /// # Errors
    /// The client takes nothing more.
    pub fn pass(&self, bytes: &[u8]) -> io::Result<()> {
        self.line.pass(self.ticket, bytes)
    }

    /// Hands on the last of it.
    ///
    /// # Errors
    /// The client takes nothing more.
    pub fn finish(&self, bytes: &[u8]) -> io::Result<()> {
        self.pass(bytes)?;
        self.whole.store(true, Ordering::Relaxed);
        self.line.passed();
        Ok(())
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if !*self.whole.get_mut() {
            self.line.cut_short();
            // What was asked behind it can have no answer: it need not be sent on. May be the core's own thread, which must not
            // wait for itself.
            let _ = self
                .events
                .try_send(Event::ClientDisconnected(self.line.id));
        }
    }
}
