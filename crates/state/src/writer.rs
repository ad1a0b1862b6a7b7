//! The thread that writes the request log and publishes the counters.
//!
//! Input: the queue that the [`Recorder`]s fill. Output: files in the state directory,
//! [`PublishedCounters`], and lines in the program's log. The thread takes at most
//! [`BATCH_ENTRIES`] entries between two flushes.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use tracing::{error, info, warn};
use valehatch_config::operators::StateSettings;
use valehatch_request_log::{
    Counters, LatencySamples, LogEvent, LogStatus, RequestLog, RowKey, SegmentLimits,
};

use crate::directory::StateDirectory;
use crate::recorder::{QueueEntry, Recorder};

/// Maximum number of rows with latency quantiles.
const MEASURED_ROWS: usize = 256;
/// Published latency quantile, in thousandths.
const QUANTILE_PER_MILLE: u32 = 990;
/// Interval at which quantiles are updated.
const QUANTILE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which counters are published without a state directory.
const IN_MEMORY_FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Length of the queue without a state directory.
const IN_MEMORY_QUEUE: usize = 16_384;
/// Maximum number of queue entries between two flushes.
const BATCH_ENTRIES: usize = 4096;
/// Stack size of the writer thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// Durable counters and further figures for publication.
#[derive(Clone, Debug, Default)]
pub struct PublishedCounters {
    /// Counters that are durable, or held in memory without a state directory.
    pub counters: Counters,
    /// The 99th percentile of the latency of served requests over the last 30 to 60 s, in
    /// microseconds, by row.
    pub p99: Arc<BTreeMap<RowKey, u64>>,
    /// Status of the request log.
    pub status: LogStatus,
}

/// Handle of the writer thread.
pub struct RecordWriter {
    queue: Sender<QueueEntry>,
    entries: Receiver<QueueEntry>,
    /// Most recently published counters, replaced after each flush.
    pub published: Arc<ArcSwap<PublishedCounters>>,
    /// Number of records that were not logged because the queue was full.
    pub dropped: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl RecordWriter {
    /// Creates a recorder for one more core.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        Recorder::new(self.queue.clone(), Arc::clone(&self.dropped))
    }

    /// Returns a function that counts the entries in the queue, without keeping the queue open.
    #[must_use]
    pub fn queue_length(&self) -> Box<dyn Fn() -> usize + Send + Sync> {
        let entries = self.entries.clone();
        Box::new(move || entries.len())
    }

    /// Writes all queued entries, then ends the thread. All recorders must be dropped first.
    pub fn finish(self) {
        drop(self.queue);
        if self.thread.join().is_err() {
            error!("state: writer thread panicked");
        }
    }
}

/// Opens the request log and starts the writer thread. Without settings, counters are kept in
/// memory and lost when the process ends.
///
/// # Errors
/// Returns an error if the state directory cannot be created or locked, or if the thread cannot be
/// started.
pub fn start(settings: Option<&StateSettings>) -> io::Result<RecordWriter> {
    let writer = match settings {
        None => WriterThread::in_memory(),
        Some(settings) => WriterThread::open(settings)?,
    };
    let (queue, entries) = bounded(settings.map_or(IN_MEMORY_QUEUE, |s| s.max_queued));
    let published = Arc::new(ArcSwap::from_pointee(writer.current()));
    let input = entries.clone();
    let output = Arc::clone(&published);
    let thread = std::thread::Builder::new()
        .name("state".into())
        .stack_size(STACK_BYTES)
        .spawn(move || writer.run(&input, &output))?;
    Ok(RecordWriter {
        queue,
        entries,
        published,
        dropped: Arc::default(),
        thread,
    })
}

/// Current Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}

/// Whether any recorder is left that may send entries.
#[derive(Clone, Copy, PartialEq, Eq)]
enum QueueState {
    Open,
    Closed,
}

struct WriterThread {
    request_log: RequestLog<StateDirectory>,
    latencies: LatencySamples,
    p99: Arc<BTreeMap<RowKey, u64>>,
    started: Instant,
    flush_interval: Duration,
    checkpoint_interval: Duration,
}

impl WriterThread {
    fn in_memory() -> Self {
        let request_log = RequestLog::in_memory(unix_ms());
        Self::new(request_log, IN_MEMORY_FLUSH_INTERVAL, Duration::MAX)
    }

    fn open(settings: &StateSettings) -> io::Result<Self> {
        let now_ms = unix_ms();
        let limits = SegmentLimits {
            segment_bytes: settings.segment_bytes,
            segments: settings.segments,
        };
        let directory = StateDirectory::acquire(settings.dir.clone())?;
        Ok(Self::new(
            RequestLog::open(directory, limits, now_ms),
            Duration::from_millis(settings.sync_ms),
            Duration::from_millis(settings.checkpoint_ms),
        ))
    }

    fn new(
        request_log: RequestLog<StateDirectory>,
        flush_interval: Duration,
        checkpoint_interval: Duration,
    ) -> Self {
        Self {
            request_log,
            latencies: LatencySamples::new(MEASURED_ROWS),
            p99: Arc::default(),
            started: Instant::now(),
            flush_interval,
            checkpoint_interval,
        }
    }

    /// Takes batches from the queue, flushing and publishing after each, until all recorders are
    /// dropped.
    fn run(mut self, entries: &Receiver<QueueEntry>, published: &ArcSwap<PublishedCounters>) {
        let mut last_checkpoint = Instant::now();
        let mut last_quantiles = Instant::now();
        loop {
            let flush_at = Instant::now() + self.flush_interval;
            let queue = self.take_batch(entries, flush_at);
            self.request_log.flush();
            if queue == QueueState::Closed || last_checkpoint.elapsed() >= self.checkpoint_interval
            {
                self.request_log.checkpoint();
                last_checkpoint = Instant::now();
            }
            if last_quantiles.elapsed() >= QUANTILE_INTERVAL {
                last_quantiles = Instant::now();
                self.update_quantiles();
            }
            for event in self.request_log.take_events() {
                log_event(&event);
            }
            published.store(Arc::new(self.current()));
            if queue == QueueState::Closed {
                return;
            }
        }
    }

    /// Counts entries until the batch is full, `flush_at` is reached or the queue is closed.
    fn take_batch(&mut self, entries: &Receiver<QueueEntry>, flush_at: Instant) -> QueueState {
        let mut taken = 0;
        loop {
            match entries.recv_deadline(flush_at) {
                Ok(entry) => taken += self.count_available(entry, entries, BATCH_ENTRIES - taken),
                Err(RecvTimeoutError::Timeout) => return QueueState::Open,
                Err(RecvTimeoutError::Disconnected) => return QueueState::Closed,
            }
            if taken >= BATCH_ENTRIES || Instant::now() >= flush_at {
                return QueueState::Open;
            }
        }
    }

    /// Counts an entry and the entries queued behind it, at most `max_entries` in total. Returns
    /// the number of counted entries.
    fn count_available(
        &mut self,
        first: QueueEntry,
        entries: &Receiver<QueueEntry>,
        max_entries: usize,
    ) -> usize {
        let unix_ms = unix_ms();
        let now_us = self.now_us();
        self.count(first, unix_ms, now_us);
        let mut taken = 1;
        while taken < max_entries {
            let Ok(entry) = entries.try_recv() else {
                break;
            };
            self.count(entry, unix_ms, now_us);
            taken += 1;
        }
        taken
    }

    fn count(&mut self, entry: QueueEntry, unix_ms: u64, now_us: i64) {
        match entry {
            QueueEntry::Record(record) => {
                if record.outcome.is_served() {
                    for key in Counters::row_keys(&record) {
                        self.latencies.record(now_us, &key, record.total_us);
                    }
                }
                self.request_log.record(&record, unix_ms);
            }
            QueueEntry::Unlogged(counts) => self.request_log.add_unlogged(&counts),
        }
    }

    fn update_quantiles(&mut self) {
        let now_us = self.now_us();
        let mut p99 = BTreeMap::new();
        for (key, _) in self.request_log.durable_counters().rows() {
            if let Some(latency_us) = self.latencies.quantile(now_us, key, QUANTILE_PER_MILLE) {
                p99.insert(key.clone(), latency_us);
            }
        }
        self.p99 = Arc::new(p99);
    }

    fn current(&self) -> PublishedCounters {
        PublishedCounters {
            counters: self.request_log.durable_counters().clone(),
            p99: Arc::clone(&self.p99),
            status: self.request_log.status().clone(),
        }
    }

    /// Microseconds since the writer was created, on the monotonic clock.
    fn now_us(&self) -> i64 {
        i64::try_from(self.started.elapsed().as_micros()).unwrap_or(i64::MAX)
    }
}

fn log_event(event: &LogEvent) {
    match event {
        LogEvent::Opened {
            boots,
            records,
            faults,
        } => info!(boots, records, faults, "state: request log opened"),
        LogEvent::ReadFailed(error) => warn!(%error, "state: read failed"),
        LogEvent::Replay(issue) => warn!(%issue, "state: stored data damaged"),
        LogEvent::TruncateFailed { segment, error } => {
            warn!(segment, %error, "state: truncating a torn segment failed");
        }
        LogEvent::WritesFailing(fault) => {
            warn!(error = %fault, "state: writes fail, counting continues in memory");
        }
        LogEvent::WritesRecovered => info!("state: writes recovered"),
        LogEvent::RemoveFailed { file, error } => {
            warn!(file, %error, "state: removing an old segment failed");
        }
    }
}
