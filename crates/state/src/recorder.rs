//! The thread that keeps the ledger, and the handle by which a core feeds it without ever waiting.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use tracing::{info, warn};
use valehatch_config::operators::StateSettings;
use valehatch_request_log::{
    Counters, FinalOutcome, LatencySamples, LogStatus, RequestLog, RequestRecord, RowKey,
    SegmentLimits,
};

use crate::folder::StateDirectory;

/// Rows whose quantiles are measured.
const MEASURED: usize = 256;
/// How often quantiles are shown.
const QUANTILES: Duration = Duration::from_secs(1);
/// Without a folder: how often counters are shown, and records that may wait.
const FLEETING: Duration = Duration::from_millis(100);
const QUEUE: usize = 16_384;
/// Records that one batch takes at the most.
const BATCH: usize = 4096;

/// What a core hands over.
pub enum Entry {
    /// A final answer.
    Record(Box<RequestRecord>),
    /// Final answers that found the queue full, counted and not written down.
    Missed(Counters),
}

/// What is shown: durable counters, and figures that need not be.
#[derive(Clone, Debug, Default)]
pub struct PublishedCounters {
    /// Counters of what is durable.
    pub counters: Counters,
    /// The 99th percentile of the time that those served in the last minute took, in microseconds.
    pub p99: Arc<BTreeMap<RowKey, u64>>,
    /// How the ledger does.
    pub status: LogStatus,
}

/// A core's end of the queue.
pub struct Recorder {
    queue: Sender<Entry>,
    missed: Counters,
    dropped: Arc<AtomicU64>,
}

impl Recorder {
    /// Hands a record over. Never waits: one that finds the queue full is counted, here first, and not written down.
    pub fn record(&mut self, record: Box<RequestRecord>) {
        self.hand_over_missed();
        let back = self
            .queue
            .try_send(Entry::Record(record))
            .map_err(|e| e.into_inner());
        if let Err(Entry::Record(record)) = back {
            self.missed.count(&record);
            self.missed.missed += 1;
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Hands over what was counted here, once there is room for it. To be called now and then.
    pub fn hand_over_missed(&mut self) {
        if !self.missed.is_empty() {
            let missed = std::mem::take(&mut self.missed);
            if let Err(Entry::Missed(back)) = self
                .queue
                .try_send(Entry::Missed(missed))
                .map_err(|e| e.into_inner())
            {
                self.missed = back;
            }
        }
    }
}

/// The writing end.
pub struct RecordWriter {
    queue: Sender<Entry>,
    entries: Receiver<Entry>,
    /// What is shown now.
    pub shown: Arc<ArcSwap<PublishedCounters>>,
    /// Records that found the queue full.
    pub dropped: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl RecordWriter {
    /// A handle for one more core.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        let (queue, dropped) = (self.queue.clone(), Arc::clone(&self.dropped));
        Recorder {
            queue,
            missed: Counters::default(),
            dropped,
        }
    }

    /// Counts the entries that wait; it does not keep the queue open.
    #[must_use]
    pub fn waiting(&self) -> Box<dyn Fn() -> usize + Send + Sync> {
        let queue = self.entries.clone();
        Box::new(move || queue.len())
    }

    /// Writes down all that was handed over; all recorders must be gone.
    pub fn finish(self) {
        drop(self.queue);
        if self.thread.join().is_err() {
            tracing::error!("state: the thread that writes had ended before its time");
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Opens the ledger and starts its thread.
///
/// # Errors
/// That the folder cannot be had at all, or that the system has no thread for it.
pub fn start(state: Option<&StateSettings>) -> io::Result<RecordWriter> {
    let now = unix_ms();
    let (ledger, sync, checkpoint) = match state {
        None => (RequestLog::fleeting(now), FLEETING, Duration::MAX),
        Some(state) => {
            let sizes = SegmentLimits {
                segment_bytes: state.segment_bytes,
                segments: state.segments,
            };
            let disk = StateDirectory::take(state.dir.clone())?;
            let ledger = RequestLog::open(disk, sizes, now);
            (
                ledger,
                Duration::from_millis(state.sync_ms),
                Duration::from_millis(state.checkpoint_ms),
            )
        }
    };
    let (queue, entries) = bounded(state.map_or(QUEUE, |s| s.queue));
    let p99 = Arc::default();
    let first = PublishedCounters {
        counters: ledger.shown().clone(),
        p99,
        status: ledger.status().clone(),
    };
    let shown = Arc::new(ArcSwap::from_pointee(first));
    let show = Arc::clone(&shown);
    let keeper = Keeper {
        ledger,
        times: LatencySamples::new(MEASURED),
        began: Instant::now(),
        sync,
        checkpoint,
    };
    let taken = entries.clone();
    let run = move || keeper.run(&taken, &show);
    let thread = std::thread::Builder::new()
        .name("state".into())
        .stack_size(512 * 1024)
        .spawn(run)?;
    Ok(RecordWriter {
        queue,
        entries,
        shown,
        dropped: Arc::default(),
        thread,
    })
}

struct Keeper {
    ledger: RequestLog<StateDirectory>,
    times: LatencySamples,
    began: Instant,
    sync: Duration,
    checkpoint: Duration,
}

impl Keeper {
    fn now_us(&self) -> i64 {
        i64::try_from(self.began.elapsed().as_micros()).unwrap_or(i64::MAX)
    }

    fn take(&mut self, entry: Entry, unix_ms: u64, now_us: i64) {
        match entry {
            Entry::Record(record) => {
                if matches!(record.outcome, FinalOutcome::InTime | FinalOutcome::Late) {
                    for key in Counters::keys(&record) {
                        self.times.note(now_us, &key, record.total_us);
                    }
                }
                self.ledger.record(&record, unix_ms);
            }
            Entry::Missed(counted) => self.ledger.missed(&counted),
        }
    }

    /// Fills batches until it is time to make them durable.
    fn run(mut self, entries: &Receiver<Entry>, show: &ArcSwap<PublishedCounters>) {
        let mut next = Instant::now() + self.sync;
        let (mut checked, mut measured) = (Instant::now(), Instant::now());
        let mut p99: Arc<BTreeMap<RowKey, u64>> = Arc::default();
        let mut taken = 0;
        loop {
            let got = entries.recv_deadline(next);
            let over = matches!(got, Err(RecvTimeoutError::Disconnected));
            if let Ok(entry) = got {
                let (unix, now) = (unix_ms(), self.now_us());
                self.take(entry, unix, now);
                taken += 1;
                while taken < BATCH {
                    let Ok(entry) = entries.try_recv() else { break };
                    self.take(entry, unix, now);
                    taken += 1;
                }
                if taken < BATCH && Instant::now() < next {
                    continue;
                }
            }
            taken = 0;
            self.ledger.flush();
            if over || checked.elapsed() >= self.checkpoint {
                self.ledger.checkpoint();
                checked = Instant::now();
            }
            if measured.elapsed() >= QUANTILES {
                measured = Instant::now();
                let now = self.now_us();
                let keys: Vec<RowKey> = self
                    .ledger
                    .shown()
                    .rows()
                    .map(|(key, _)| key.clone())
                    .collect();
                let quantile =
                    |key: RowKey| Some((key.clone(), self.times.quantile(now, &key, 990)?));
                p99 = Arc::new(keys.into_iter().filter_map(quantile).collect());
            }
            for note in self.ledger.notes() {
                if note.trouble {
                    warn!("state: {}", note.text)
                } else {
                    info!("state: {}", note.text)
                }
            }
            let (counters, status) = (self.ledger.shown().clone(), self.ledger.status().clone());
            let shown = PublishedCounters {
                counters,
                p99: Arc::clone(&p99),
                status,
            };
            show.store(Arc::new(shown));
            if over {
                return;
            }
            next = Instant::now() + self.sync;
        }
    }
}
