//! The log: structured lines on standard error, limited in number.
//!
//! Any thread may log. State: the lines of the current second, and the number of suppressed lines,
//! all atomic.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use valehatch_config::operators::{LogLevel, LogSettings};

/// Target of the lines that report suppressed lines; these are not limited themselves.
const LIMIT_TARGET: &str = "valehatch::log";
/// The bits of [`LineLimit::window`] that count lines.
const LINE_BITS: u32 = 24;
const LINE_MASK: u64 = (1 << LINE_BITS) - 1;

static SUPPRESSED: AtomicU64 = AtomicU64::new(0);

/// Number of lines suppressed since the start.
pub fn suppressed_lines() -> u64 {
    SUPPRESSED.load(Ordering::Relaxed)
}

/// Limits the number of lines per second and suppresses the rest; the first line of a later second
/// reports how many were suppressed.
struct LineLimit {
    lines_per_s: u64,
    started_at: Instant,
    /// The current second, and in the lower [`LINE_BITS`] the number of lines logged in it.
    window: AtomicU64,
    /// Number of suppressed lines that have not been reported yet.
    unreported: AtomicU64,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineDecision {
    /// The line is written, as the first one of its second.
    WriteFirst,
    Write,
    Suppress,
}

impl LineLimit {
    fn new(lines_per_s: u32) -> Self {
        Self {
            lines_per_s: u64::from(lines_per_s),
            started_at: Instant::now(),
            window: AtomicU64::new(0),
            unreported: AtomicU64::new(0),
        }
    }

    /// Counts a line logged in `second`; seconds are counted from 1.
    fn decide(&self, second: u64) -> LineDecision {
        let count_line = |window: u64| {
            if window >> LINE_BITS == second {
                (window & LINE_MASK < LINE_MASK).then_some(window + 1)
            } else {
                Some((second << LINE_BITS) + 1)
            }
        };
        let previous = self
            .window
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, count_line)
            .unwrap_or_else(|full| full);
        if previous >> LINE_BITS != second {
            LineDecision::WriteFirst
        } else if previous & LINE_MASK < self.lines_per_s {
            LineDecision::Write
        } else {
            LineDecision::Suppress
        }
    }
}

impl<S: Subscriber> Layer<S> for LineLimit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        if event.metadata().target() == LIMIT_TARGET {
            return true;
        }
        match self.decide(self.started_at.elapsed().as_secs() + 1) {
            LineDecision::WriteFirst => {
                let lines = self.unreported.swap(0, Ordering::Relaxed);
                if lines > 0 {
                    tracing::warn!(target: LIMIT_TARGET, lines, "log lines were suppressed");
                }
                true
            }
            LineDecision::Write => true,
            LineDecision::Suppress => {
                self.unreported.fetch_add(1, Ordering::Relaxed);
                SUPPRESSED.fetch_add(1, Ordering::Relaxed);
                false
            }
        }
    }
}

/// Sets up the log of the whole program; further calls have no effect.
pub fn init(log: LogSettings) {
    let level = match log.level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
    };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .log_internal_errors(false);
    let limited = tracing_subscriber::registry()
        .with(level)
        .with(LineLimit::new(log.lines_per_s));
    // Fails only on a second call.
    let _ = if log.json {
        let json = lines.json().flatten_event(true);
        limited.with(json).try_init()
    } else {
        limited.with(lines).try_init()
    };
}

#[cfg(test)]
mod tests;
