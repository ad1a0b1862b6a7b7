//! What the agent looks at: the fronts' boards, which their cores publish to, and the counters, which the ledger does.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use valehatch_core::LiveView;
use valehatch_net::Clock;
use valehatch_state::PublishedCounters;

/// What a core published last, and what stood in its queue then.
#[derive(Debug)]
pub struct CoreSnapshot {
    /// Beliefs and burdens.
    pub live: LiveView,
    /// Events that wait for the core.
    pub queue_length: usize,
}

/// A front, as the agent knows it from the start on.
#[derive(Debug)]
pub struct Front {
    /// Its name.
    pub name: Arc<str>,
    /// What it speaks.
    pub protocol: &'static str,
    /// Where its clients connect.
    pub listen: String,
    /// Its classes.
    pub classes: Vec<Arc<str>>,
    /// Its tenants, with this gateway's part of their allowance, in requests a second.
    pub tenants: Vec<(Arc<str>, f64)>,
    /// What its core published last.
    pub core_snapshot: Arc<ArcSwapOption<CoreSnapshot>>,
}

/// All of it.
pub struct Instrumentation {
    /// The gateway's name.
    pub name: Arc<str>,
    /// The program's version.
    pub version: &'static str,
    /// The clock that boards are dated by.
    pub clock: Clock,
    /// When the program started.
    pub started_at: Instant,
    /// The same in Unix milliseconds.
    pub started_ms: u64,
    /// The fronts.
    pub fronts: Vec<Front>,
    /// Durable counters.
    pub counters: Arc<ArcSwap<PublishedCounters>>,
    /// Records that found the ledger's queue full.
    pub dropped_records: Arc<AtomicU64>,
    /// Records that wait for the ledger.
    pub queued_records: Box<dyn Fn() -> usize + Send + Sync>,
}

impl Instrumentation {
    /// sysUpTime: hundredths of a second since the start.
    #[must_use]
    pub fn uptime_ticks(&self) -> u32 {
        u32::try_from(self.started_at.elapsed().as_millis() / 10 % (1 << 32)).unwrap_or(0)
    }

    /// Records that found the queue full.
    #[must_use]
    pub fn dropped_record_count(&self) -> u64 {
        self.dropped_records.load(Ordering::Relaxed)
    }
}

/// The process's own figures, as of a second or so.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessStatus {
    /// Resident memory in kilobytes.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
    /// CPU time in milliseconds.
    pub cpu_ms: u64,
}

impl ProcessStatus {
    /// Reads them. What the system does not tell is 0.
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
