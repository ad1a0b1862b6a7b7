//! The sources of the managed values: the snapshots that the cores publish, the counters that the
//! request log publishes, and the process's own status.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use valehatch_core::LiveView;
use valehatch_net::Clock;
use valehatch_state::PublishedCounters;

/// A core's last published state, with the length of its queue at that time.
#[derive(Debug)]
pub struct CoreSnapshot {
    /// Groups, endpoints, request rates and open requests as the core sees them.
    pub live: LiveView,
    /// Number of events that waited for the core.
    pub queue_length: usize,
}

/// A front: its settings, which stay the same while the program runs, and its core's last snapshot.
#[derive(Debug)]
pub struct Front {
    /// The front's name in the operators' file, an index of its tables.
    pub name: Arc<str>,
    /// The name of its client protocol.
    pub protocol: &'static str,
    /// The address on which it accepts clients.
    pub listen: String,
    /// The names of its request classes.
    pub classes: Vec<Arc<str>>,
    /// The names of its tenants, each with this gateway's share of the tenant's quota in requests
    /// per second.
    pub tenants: Vec<(Arc<str>, f64)>,
    /// The last snapshot of its core; empty until the core first publishes.
    pub core_snapshot: Arc<ArcSwapOption<CoreSnapshot>>,
}

/// All sources of the managed values.
pub struct Instrumentation {
    /// The gateway's name in the operators' file.
    pub name: Arc<str>,
    /// The program's version.
    pub version: &'static str,
    /// The clock by which core snapshots are dated.
    pub clock: Clock,
    /// When the program started, by the monotonic clock.
    pub started_at: Instant,
    /// When the program started, in Unix milliseconds.
    pub started_ms: u64,
    /// The fronts in the order of the operators' file.
    pub fronts: Vec<Front>,
    /// The counters that the request log published last.
    pub counters: Arc<ArcSwap<PublishedCounters>>,
    /// Number of records dropped because the request log's queue was full.
    pub dropped_records: Arc<AtomicU64>,
    /// Returns the number of records that wait to be written to the request log.
    pub queued_records: Box<dyn Fn() -> usize + Send + Sync>,
}

impl Instrumentation {
    /// Returns sysUpTime: hundredths of a second since the start, modulo 2^32.
    #[must_use]
    pub fn uptime_ticks(&self) -> u32 {
        u32::try_from(self.started_at.elapsed().as_millis() / 10 % (1 << 32)).unwrap_or(0)
    }

    /// Returns the number of records dropped because the request log's queue was full.
    #[must_use]
    pub fn dropped_record_count(&self) -> u64 {
        self.dropped_records.load(Ordering::Relaxed)
    }
}

/// Resource use of the gateway's process, read about once a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessStatus {
    /// Resident memory in kilobytes.
    pub memory_kb: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
    /// Number of threads.
    pub threads: u64,
    /// CPU time used since the start, in milliseconds.
    pub cpu_ms: u64,
}

impl ProcessStatus {
    /// Reads the current values; 0 for a value that the system does not provide.
    #[must_use]
    pub fn read() -> Self {
        let Ok(own) = procfs::process::Process::myself() else {
            return Self::default();
        };
        let status = own.status().ok();
        let cpu = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
        let cpu = Duration::new(
            u64::try_from(cpu.tv_sec).unwrap_or(0),
            u32::try_from(cpu.tv_nsec).unwrap_or(0),
        );
        Self {
            memory_kb: status.as_ref().and_then(|s| s.vmrss).unwrap_or(0),
            threads: status.as_ref().map_or(0, |s| s.threads),
            descriptors: own.fd_count().unwrap_or(0) as u64,
            cpu_ms: u64::try_from(cpu.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
