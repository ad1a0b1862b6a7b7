//! The log: structured, on standard error, with a limit on its rate that says how much it left out.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use valehatch_config::operators::{LogLevel, LogSettings};

/// What the limit itself says is not limited.
const OWN: &str = "valehatch::log";

static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Lines left out since the start.
pub fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Lets so many lines a second through, counts the rest, and says in the next second that does get a line how many
/// those were.
struct Limit {
    per_s: u64,
    began: Instant,
    /// The second in the upper part, the lines asked for in it in the lower 24 bits.
    window: AtomicU64,
    /// Lines left out that were not told of yet.
    untold: AtomicU64,
}

const LINES: u64 = 0xff_ffff;

impl Limit {
    fn new(per_s: u32) -> Self {
        let (window, untold) = (AtomicU64::new(0), AtomicU64::new(0));
        Self {
            per_s: u64::from(per_s),
            began: Instant::now(),
            window,
            untold,
        }
    }

    /// Whether a line may be written in a second, counted from 1; `None` says the same and that it is the first.
    fn allows(&self, second: u64) -> (bool, bool) {
        let turn = |old: u64| {
            if old >> 24 == second {
                (old & LINES < LINES).then_some(old + 1)
            } else {
                Some((second << 24) + 1)
            }
        };
        let last = self
            .window
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, turn)
            .unwrap_or_else(|e| e);
        let first = last >> 24 != second;
        (first || last & LINES < self.per_s, first)
    }
}

impl<S: Subscriber> Layer<S> for Limit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        if event.metadata().target() == OWN {
            return true;
        }
        let (allowed, first) = self.allows(self.began.elapsed().as_secs() + 1);
        if !allowed {
            self.untold.fetch_add(1, Ordering::Relaxed);
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        } else if first {
            let lines = self.untold.swap(0, Ordering::Relaxed);
            if lines > 0 {
                tracing::warn!(target: OWN, lines, "lines were left out of the log");
            }
        }
        allowed
    }
}

/// Sets the log up, once, for the whole program.
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
    let all = tracing_subscriber::registry()
        .with(level)
        .with(Limit::new(log.lines_per_s));
    // Only a second call fails, and the first one goes on to hold.
    let _ = if log.json {
        all.with(lines.json().flatten_event(true)).try_init()
    } else {
        all.with(lines).try_init()
    };
}

#[cfg(test)]
mod tests {
    use super::Limit;

    #[test]
    fn a_second_has_so_many_lines_and_the_next_begins_anew() {
        let limit = Limit::new(2);
        let said: Vec<_> = [1, 1, 1, 1, 2, 2, 2]
            .into_iter()
            .map(|s| limit.allows(s))
            .collect();
        let (first, more, none) = ((true, true), (true, false), (false, false));
        assert_eq!(said, [first, more, none, none, first, more, none]);
    }
}
