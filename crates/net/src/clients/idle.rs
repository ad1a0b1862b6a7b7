//! Connections that rest, or wait for their answers: some few threads wait for all of them, and whoever of these gets one deals
//! with what has come on it.

use std::collections::BTreeMap;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use rustix::buffer::spare_capacity;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use valehatch_core::ClientId;
use valehatch_policy::Time;

use super::connection::{AT_ONCE, Line};
use super::{Clients, Incoming, Progress, Session, Talk};
use crate::{lock, spawn};

/// How often those that have rested for too long are looked for.
const LOOK: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 50_000_000,
};
/// Threads that wait while nothing comes: the second one takes what comes while the first is held up.
const SPARE: usize = 2;

/// A connection between two messages.
pub(super) struct Resting {
    pub from: Incoming,
    pub session: Session,
    pub at: Progress,
    /// It has been waited for before.
    pub known: bool,
}

/// All that rest.
pub(super) struct Rests {
    epoll: OwnedFd,
    held: Mutex<BTreeMap<ClientId, Resting>>,
    /// Threads that wait for them.
    waiting: AtomicUsize,
    /// When those that have rested for too long were last looked for.
    looked: Mutex<Time>,
}

impl Rests {
    pub(super) fn new(now: Time) -> io::Result<Self> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Self {
            epoll,
            held: Mutex::default(),
            waiting: AtomicUsize::new(0),
            looked: Mutex::new(now),
        })
    }

    /// The next connection on which something has come, if one does within a moment.
    fn next(&self) -> Option<Resting> {
        let mut one = Vec::with_capacity(1);
        epoll::wait(&self.epoll, spare_capacity(&mut one), Some(&LOOK)).ok()?;
        let event = one.first()?;
        lock(&self.held).remove(&ClientId(event.data.u64()))
    }

    /// Waits for what comes on a connection, once: only one thread has it then.
    fn arm(&self, line: &Line, known: bool) -> io::Result<()> {
        let events = EventFlags::IN | EventFlags::RDHUP | EventFlags::ONESHOT;
        let data = EventData::new_u64(line.id.0);
        let armed = if known {
            epoll::modify(&self.epoll, &line.stream, data, events)
        } else {
            epoll::add(&self.epoll, &line.stream, data, events)
        };
        Ok(armed?)
    }
}

impl Clients {
    /// Starts the threads that wait.
    pub(super) fn attend(self: &Arc<Self>) -> io::Result<()> {
        (0..SPARE).try_for_each(|_| self.one_more())
    }

    fn one_more(self: &Arc<Self>) -> io::Result<()> {
        self.rests.waiting.fetch_add(1, Ordering::Relaxed);
        let all = Arc::clone(self);
        let started = spawn("client", move || all.wait());
        if started.is_err() {
            self.rests.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        started
    }

    fn wait(self: &Arc<Self>) {
        let waiting = &self.rests.waiting;
        loop {
            let next = self.rests.next();
            self.look();
            let Some(resting) = next else { continue };
            // Nobody would wait any more: a client that is slow to write would hold up all others.
            if waiting.fetch_sub(1, Ordering::Relaxed) == 1 && self.one_more().is_err() {
                tracing::warn!("no thread is left to wait for clients while one is dealt with");
            }
            self.go_on(resting);
            let more = |w| (w < SPARE).then_some(w + 1);
            if waiting
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, more)
                .is_err()
            {
                return;
            }
        }
    }

    /// Deals with what has come on a connection.
    fn go_on(&self, mut resting: Resting) {
        let talk = self
            .front
            .serve(&mut resting.at, &mut resting.from, &resting.session);
        if matches!(talk, Ok(Talk::Rests)) || resting.from.finish(vec![]) == Talk::Rests {
            self.rest(resting);
        } else {
            self.finish(&resting);
        }
    }

    /// Waits for the next message of a connection, or for its end.
    pub(super) fn rest(&self, mut resting: Resting) {
        let line = Arc::clone(&resting.session.line);
        let known = std::mem::replace(&mut resting.known, true);
        lock(&self.rests.held).insert(line.id, resting);
        if let Err(e) = self.rests.arm(&line, known) {
            tracing::warn!("a connection from a client cannot be waited for: {e}");
            self.drop_one(line.id);
        }
    }

    fn drop_one(&self, id: ClientId) {
        let held = lock(&self.rests.held).remove(&id);
        if let Some(resting) = held {
            self.finish(&resting);
        }
    }

    /// Ends those that have rested for too long, and gives up those that do not take their last word.
    fn look(&self) {
        let now = self.clock.now();
        let mut looked = lock(&self.rests.looked);
        if now - *looked < valehatch_policy::Span::from_millis(LOOK.tv_nsec / 1_000_000) {
            return;
        }
        *looked = now;
        drop(looked);
        self.make_room();
        for line in self.all() {
            line.end_if(AT_ONCE, |g| g.since + g.idle < now);
            if line.has_lingered(now) {
                self.drop_one(line.id);
            }
        }
    }
}
