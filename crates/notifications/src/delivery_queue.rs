//! The queue of notifications for one receiver.
//!
//! Traps are sent once. Informs stay until they are acknowledged: each is sent again after a pause
//! that doubles, up to a number of times, and only [`MAX_IN_FLIGHT`] are in flight at once, so that
//! a dead receiver costs next to nothing. The queue is bounded: when it is full, the oldest that is
//! not in flight is dropped and counted.

use std::collections::VecDeque;

use valehatch_policy::{Span, Time};

/// Informs in flight at once.
pub const MAX_IN_FLIGHT: usize = 8;
/// The longest pause before an inform is sent again, unless the first is longer.
const MAX_PAUSE: Span = Span::from_millis(60_000);
/// Doublings of the pause that are counted: further ones would not fit, and are above [`MAX_PAUSE`]
/// anyway.
const MAX_DOUBLINGS: u32 = 20;

#[derive(Debug)]
struct QueuedNotification<T> {
    content: T,
    id: i32,
    /// How often the notification was sent.
    sent: u32,
    due: Time,
}

/// A notification to be sent now.
#[derive(Debug, PartialEq, Eq)]
pub struct Delivery<T> {
    /// The notification.
    pub content: T,
    /// The request ID, which stays the same when an inform is sent again.
    pub id: i32,
}

/// Counts of a receiver's notifications by their fate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeliveryCounts {
    /// Datagrams sent, retransmissions included.
    pub sent: u64,
    /// Informs that were acknowledged.
    pub acknowledged: u64,
    /// Informs given up after the last retransmission was not acknowledged in time.
    pub given_up: u64,
    /// Notifications dropped because the queue was full.
    pub dropped: u64,
}

/// How unacknowledged informs are sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retransmission {
    /// Pause before the first retransmission; each further pause is twice as long,
    /// up to 60 s or the first pause, whichever is longer.
    pub first_pause: Span,
    /// Maximum number of retransmissions of an inform.
    pub retries: u32,
}

impl Retransmission {
    /// Returns the pause after a transmission of an inform that `sent_before` others preceded.
    fn pause(&self, sent_before: u32) -> Span {
        let doublings = sent_before.min(MAX_DOUBLINGS);
        let pause = Span(self.first_pause.0.saturating_mul(1 << doublings));
        pause.min(MAX_PAUSE.max(self.first_pause))
    }
}

/// The queue of one receiver.
#[derive(Debug)]
pub struct DeliveryQueue<T> {
    queue: VecDeque<QueuedNotification<T>>,
    max_queued: usize,
    /// `None` for traps.
    informs: Option<Retransmission>,
    last_id: i32,
    counts: DeliveryCounts,
}

impl<T: Clone> DeliveryQueue<T> {
    /// Holds at most `max_queued`. `informs` says how informs are sent again; `None` for traps. Ids
    /// follow `last_id`.
    #[must_use]
    pub fn new(max_queued: usize, informs: Option<Retransmission>, last_id: i32) -> Self {
        Self {
            queue: VecDeque::new(),
            max_queued,
            informs,
            last_id,
            counts: DeliveryCounts::default(),
        }
    }

    /// Queues a notification.
    pub fn push(&mut self, now: Time, content: T) {
        if self.queue.len() >= self.max_queued {
            // An inform in flight may still be acknowledged.
            let oldest_unsent = self.queue.iter().position(|queued| queued.sent == 0);
            self.queue.remove(oldest_unsent.unwrap_or(0));
            self.counts.dropped += 1;
        }
        self.last_id = self.last_id.checked_add(1).unwrap_or(1);
        self.queue.push_back(QueuedNotification {
            content,
            id: self.last_id,
            sent: 0,
            due: now,
        });
    }

    /// Returns the notifications to be sent now. Removes traps, and informs that are given up.
    pub fn due(&mut self, now: Time) -> Vec<Delivery<T>> {
        let deliveries = match self.informs {
            None => self.take_traps(),
            Some(retransmission) => self.due_informs(now, retransmission),
        };
        self.counts.sent += deliveries.len() as u64;
        deliveries
    }

    fn take_traps(&mut self) -> Vec<Delivery<T>> {
        let traps = self.queue.drain(..).map(|queued| Delivery {
            content: queued.content,
            id: queued.id,
        });
        traps.collect()
    }

    fn due_informs(&mut self, now: Time, retransmission: Retransmission) -> Vec<Delivery<T>> {
        let before = self.queue.len();
        self.queue
            .retain(|queued| queued.due > now || queued.sent <= retransmission.retries);
        self.counts.given_up += (before - self.queue.len()) as u64;
        let mut deliveries = vec![];
        for queued in self.queue.iter_mut().take(MAX_IN_FLIGHT) {
            if queued.due > now {
                continue;
            }
            queued.due = now + retransmission.pause(queued.sent);
            queued.sent += 1;
            deliveries.push(Delivery {
                content: queued.content.clone(),
                id: queued.id,
            });
        }
        deliveries
    }

    /// Makes an inform due now: the receiver has reported what the next message needs to be
    /// accepted.
    pub fn resend(&mut self, now: Time, id: i32) {
        for queued in &mut self.queue {
            if queued.id == id {
                queued.due = now;
            }
        }
    }

    /// Removes an acknowledged inform; false if none in flight has this id.
    pub fn acknowledge(&mut self, id: i32) -> bool {
        let before = self.queue.len();
        self.queue
            .retain(|queued| queued.id != id || queued.sent == 0);
        let removed = self.queue.len() < before;
        self.counts.acknowledged += u64::from(removed);
        removed
    }

    /// When the next notification is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        let in_flight = self.queue.iter().take(MAX_IN_FLIGHT);
        in_flight.map(|queued| queued.due).min()
    }

    /// Number of queued notifications.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the counts since the queue was created.
    #[must_use]
    pub const fn counts(&self) -> DeliveryCounts {
        self.counts
    }
}
