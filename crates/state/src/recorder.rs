//! A core's end of the queue. It never waits: a record that finds the queue full is counted, and
//! not logged.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam_channel::Sender;
use valehatch_request_log::{Counters, RequestRecord};

/// An entry of the queue.
pub(crate) enum QueueEntry {
    /// A final answer.
    Record(Box<RequestRecord>),
    /// Counts of final answers that found the queue full.
    Unlogged(Counters),
}

/// A core's end of the queue.
pub struct Recorder {
    queue: Sender<QueueEntry>,
    /// Counts of records that found the queue full, not handed over yet.
    unlogged: Counters,
    dropped: Arc<AtomicU64>,
}

impl Recorder {
    /// `dropped` counts the records that found the queue full.
    pub(crate) fn new(queue: Sender<QueueEntry>, dropped: Arc<AtomicU64>) -> Self {
        Self {
            queue,
            unlogged: Counters::default(),
            dropped,
        }
    }

    /// Queues a record without waiting. If the queue is full, the record is counted here and not
    /// logged.
    pub fn record(&mut self, record: Box<RequestRecord>) {
        self.send_unlogged();
        let Err(error) = self.queue.try_send(QueueEntry::Record(record)) else {
            return;
        };
        if let QueueEntry::Record(record) = error.into_inner() {
            self.unlogged.count(&record);
            self.unlogged.unlogged += 1;
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queues the counts of records that found the queue full, if there is space now. To be called
    /// regularly, so that they are published even if no further request comes.
    pub fn send_unlogged(&mut self) {
        if self.unlogged.is_empty() {
            return;
        }
        let counts = std::mem::take(&mut self.unlogged);
        let Err(error) = self.queue.try_send(QueueEntry::Unlogged(counts)) else {
            return;
        };
        if let QueueEntry::Unlogged(counts) = error.into_inner() {
            self.unlogged = counts;
        }
    }
}
