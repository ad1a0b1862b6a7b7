//! What a receiver has not taken yet. Traps leave once. Informs stay until they are acknowledged: each is sent again
//! after a pause that doubles, up to a number of times, and only a few are out at once, so that a receiver which is dead
//! costs next to nothing. The queue is bounded: the oldest that is not out makes room, and is counted.

use std::collections::VecDeque;

use valehatch_policy::{Span, Time};

/// Informs that are out at once.
const OUT: usize = 8;
/// The longest pause before an inform is sent again.
const LONGEST: Span = Span::from_millis(60_000);

#[derive(Debug)]
struct Waiting<T> {
    what: T,
    id: i32,
    sent: u32,
    due: Time,
}

/// Something to be sent.
#[derive(Debug, PartialEq, Eq)]
pub struct Post<T> {
    /// What.
    pub what: T,
    /// Its number: the same each time that it is sent.
    pub id: i32,
}

/// What became of what was to be told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Datagrams sent, again or for the first time.
    pub sent: u64,
    /// Informs that were acknowledged.
    pub acknowledged: u64,
    /// Informs that never were.
    pub given_up: u64,
    /// What found the queue full.
    pub dropped: u64,
}

/// The queue for one receiver.
#[derive(Debug)]
pub struct Outbox<T> {
    queue: VecDeque<Waiting<T>>,
    most: usize,
    inform: Option<(Span, u32)>,
    next: i32,
    tally: Tally,
}

impl<T: Clone> Outbox<T> {
    /// Holds so many at the most. Informs have the first pause and the number of times they are sent again; `None` for
    /// traps. `first` is the number of the first.
    #[must_use]
    pub const fn new(most: usize, inform: Option<(Span, u32)>, first: i32) -> Self {
        let tally = Tally {
            sent: 0,
            acknowledged: 0,
            given_up: 0,
            dropped: 0,
        };
        Self {
            queue: VecDeque::new(),
            most,
            inform,
            next: first,
            tally,
        }
    }

    /// Adds something to be told.
    pub fn push(&mut self, now: Time, what: T) {
        if self.queue.len() >= self.most {
            // What is out may still be acknowledged; the oldest that is not goes.
            let oldest = self.queue.iter().position(|w| w.sent == 0).unwrap_or(0);
            self.queue.remove(oldest);
            self.tally.dropped += 1;
        }
        self.next = self.next.checked_add(1).unwrap_or(1);
        self.queue.push_back(Waiting {
            what,
            id: self.next,
            sent: 0,
            due: now,
        });
    }

    /// What is to be sent now.
    pub fn due(&mut self, now: Time) -> Vec<Post<T>> {
        let Some((pause, again)) = self.inform else {
            let all: Vec<_> = self
                .queue
                .drain(..)
                .map(|w| Post {
                    what: w.what,
                    id: w.id,
                })
                .collect();
            self.tally.sent += all.len() as u64;
            return all;
        };
        let before = self.queue.len();
        self.queue.retain(|w| w.due > now || w.sent <= again);
        self.tally.given_up += (before - self.queue.len()) as u64;
        let mut posts = vec![];
        for waiting in self.queue.iter_mut().take(OUT).filter(|w| w.due <= now) {
            let grown =
                Span(pause.0.saturating_mul(1 << waiting.sent.min(20))).min(LONGEST.max(pause));
            waiting.sent += 1;
            waiting.due = now + grown;
            posts.push(Post {
                what: waiting.what.clone(),
                id: waiting.id,
            });
        }
        self.tally.sent += posts.len() as u64;
        posts
    }

    /// Sends at once what is out: the receiver has told what was needed to be believed.
    pub fn again(&mut self, now: Time, id: i32) {
        self.queue
            .iter_mut()
            .filter(|w| w.id == id)
            .for_each(|w| w.due = now);
    }

    /// An inform was acknowledged; whether it was one that is out.
    pub fn acknowledged(&mut self, id: i32) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.id != id || w.sent == 0);
        let done = self.queue.len() < before;
        self.tally.acknowledged += u64::from(done);
        done
    }

    /// When something is due next.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.queue.iter().take(OUT).map(|w| w.due).min()
    }

    /// What waits.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// What became of all.
    #[must_use]
    pub const fn tally(&self) -> Tally {
        self.tally
    }
}
