//! The sending end of the queue, one for each core. Sending never blocks: if the queue is full, a
//! record is counted but not logged.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam_channel::Sender;
use valehatch_request_log::{Counters, RequestRecord};

/// An entry of the queue.
pub(crate) enum QueueEntry {
    /// Record of a final answer, to be logged and counted.
    Record(Box<RequestRecord>),
    /// Counts of records that were not logged because the queue was full.
    Unlogged(Counters),
}

/// Sending end of the queue for one core.
pub struct Recorder {
    queue: Sender<QueueEntry>,
    /// Counts of records that were dropped because the queue was full, not sent to the writer yet.
    unlogged: Counters,
    dropped: Arc<AtomicU64>,
}

impl Recorder {
    /// Creates a recorder; `dropped` counts the records that are dropped because the queue is full.
    pub(crate) fn new(queue: Sender<QueueEntry>, dropped: Arc<AtomicU64>) -> Self {
        Self {
            queue,
            unlogged: Counters::default(),
            dropped,
        }
    }

    /// Queues a record without blocking. If the queue is full, the record is counted but not
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

    /// Queues the counts of dropped records if the queue has space. Must be called regularly, so
    /// that these counts are published even if no further request arrives.
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
