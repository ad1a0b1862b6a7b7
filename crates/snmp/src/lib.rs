//! The SNMP agent: read-only access by SNMPv2c and SNMPv3 to what the cores and the request log
//! publish, and notifications as traps and informs.
//!
//! | module | contents |
//! | --- | --- |
//! | [`schema`] | definitions of all objects, for answers and the printed MIB |
//! | [`snapshot`] | the values of all objects at one moment, looked up by OID |
//! | [`message`] | encoding and decoding of messages, with rasn |
//! | [`usm`] | the User-based Security Model: keys, digests, encryption |
//! | [`engine`] | request processing: versions, users, views, walks |
//! | [`notify`] | traps and informs |
//! | [`instrumentation`] | the sources of the managed values |

#![forbid(unsafe_code)]
#![expect(clippy::too_many_lines, reason = "not yet split and documented")]

pub mod engine;
pub mod instrumentation;
pub mod message;
pub mod notify;
pub mod schema;
pub mod snapshot;
pub mod usm;

use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::num::NonZeroUsize;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{Builder, JoinHandle, sleep};
use std::time::Duration;

use arc_swap::ArcSwap;
use tracing::{error, info, warn};
use valehatch_config::snmp::{Limits, SnmpSettings};
use valehatch_rate_limit::{CpuShare, RateLimitDecision, SourceRateLimiter};

use engine::{Engine, Shared, Stat};
use instrumentation::Instrumentation;
use notify::Notifier;

/// Stack size of the agent's threads, which decode whole messages. A release build needs 16 KiB
/// (`cargo run --release --example stack -p valehatch-snmp`); other builds may need more.
const STACK_SIZE: usize = 256 * 1024;
/// Maximum number of source addresses with a rate limit of their own.
const MAX_SOURCES: NonZeroUsize = NonZeroUsize::new(1024).unwrap();
/// Read timeout of the agent's socket, after which it checks for a stop and removes ended walks;
/// also the pause before a thread that panicked is restarted.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of datagrams between two measurements of the CPU time used.
const DATAGRAMS_PER_CPU_CHECK: u32 = 8;
/// Minimum interval between two log lines about unanswered datagrams, in microseconds.
const LOG_INTERVAL_US: i64 = 10_000_000;

/// A running agent.
pub struct Agent {
    shared: Arc<Shared>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Agent {
    /// Binds the agent's socket and starts its threads. `boots` is snmpEngineBoots.
    ///
    /// # Errors
    /// Fails if the socket cannot be bound or a thread cannot be started.
    pub fn start(
        snmp: SnmpSettings,
        instrumentation: Arc<Instrumentation>,
        boots: u32,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(snmp.listen)?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        info!("snmp: agent listening on {}", socket.local_addr()?);
        let shared = Arc::new(Shared {
            instrumentation,
            settings: ArcSwap::from_pointee(snmp),
            stats: engine::Stats::default(),
            boots,
            receivers: ArcSwap::default(),
        });
        let stop = Arc::new(AtomicBool::new(false));
        let (thread_shared, stopping) = (Arc::clone(&shared), Arc::clone(&stop));
        let agent = Builder::new().name("snmp".into()).stack_size(STACK_SIZE);
        let agent = agent.spawn(move || {
            run_with_restarts("agent", &thread_shared.stats, &stopping, || {
                serve(&socket, &thread_shared, &stopping)
            })
        })?;
        let (thread_shared, stopping) = (Arc::clone(&shared), Arc::clone(&stop));
        let notifier = Builder::new().name("notify".into()).stack_size(STACK_SIZE);
        let notifier = notifier.spawn(move || {
            run_with_restarts("notifier", &thread_shared.stats, &stopping, || {
                Notifier::new(Arc::clone(&thread_shared), Arc::clone(&stopping)).run()
            });
        })?;
        Ok(Self {
            shared,
            stop,
            threads: vec![agent, notifier],
        })
    }

    /// Applies new users, communities, views, receivers, thresholds and limits. The listen address
    /// and the engine ID keep their values until the next start.
    pub fn reload(&self, snmp: SnmpSettings) {
        let old = self.shared.settings.load();
        if (old.listen, &old.engine) != (snmp.listen, &snmp.engine) {
            warn!("snmp: a change of listen or engine-id takes effect at the next start only");
        }
        let snmp = SnmpSettings {
            listen: old.listen,
            engine: old.engine.clone(),
            ..snmp
        };
        if **old != snmp {
            info!("snmp: users, views, receivers and limits were read again");
            self.shared.settings.store(Arc::new(snmp));
        }
    }

    /// Sends the last notifications and ends the agent's threads.
    pub fn shutdown(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            if thread.join().is_err() {
                error!("snmp: a thread of the agent panicked");
            }
        }
    }
}

/// Runs `work` until `stop` is set. A panic is logged and counted, and `work` is started again.
fn run_with_restarts(name: &str, stats: &engine::Stats, stop: &AtomicBool, work: impl Fn()) {
    while !stop.load(Ordering::Relaxed) {
        let ended = catch_unwind(AssertUnwindSafe(&work));
        if stop.load(Ordering::Relaxed) && ended.is_ok() {
            return;
        }
        stats.add(Stat::Restarts);
        error!("snmp: restarting the {name}'s thread after it ended unexpectedly");
        sleep(POLL_INTERVAL);
    }
}

/// CPU time used by the current thread, in microseconds.
fn cpu_time() -> i64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1000
}

fn serve(socket: &UdpSocket, shared: &Arc<Shared>, stop: &AtomicBool) {
    let mut engine = Engine::new(Arc::clone(shared));
    let mut limiter = RequestLimiter::new(&shared.settings.load().limits, engine.now());
    let mut buffer = vec![0; 65_536];
    let (mut cpu_used, mut datagrams, mut last_check) = (cpu_time(), 0_u32, engine.now());
    while !stop.load(Ordering::Relaxed) {
        let received = socket.recv_from(&mut buffer);
        let now = engine.now();
        match received {
            Ok((length, from)) => {
                limiter.update_limits(&shared.settings.load().limits, now);
                match limiter.sources.admit(now, from.ip().to_canonical()) {
                    RateLimitDecision::Granted => {
                        let before = shared.stats.get(Stat::Answered);
                        if let Some(answer) = engine.answer(now, from, &buffer[..length]) {
                            let _ = socket.send_to(&answer, from);
                        }
                        if shared.stats.get(Stat::Answered) == before {
                            limiter.log_unanswered(now, from, "was not answered");
                        }
                    }
                    RateLimitDecision::Source => {
                        shared.stats.add(Stat::LimitedBySource);
                        limiter.log_unanswered(now, from, "exceeded the rate limit of its source");
                    }
                    RateLimitDecision::Total => {
                        shared.stats.add(Stat::LimitedInTotal);
                        limiter.log_unanswered(now, from, "exceeded the rate limit of all sources");
                    }
                }
                datagrams += 1;
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => {
                warn!("snmp: {e}");
                sleep(Duration::from_millis(50));
            }
        }
        if datagrams >= DATAGRAMS_PER_CPU_CHECK || now - last_check > 200_000 {
            (datagrams, last_check) = (0, now);
            engine.remove_ended_walks(now);
            let cpu_now = cpu_time();
            // Datagrams that arrive during the pause wait in the socket's buffer or are dropped by
            // it, at no cost to other threads.
            let pause = limiter
                .share
                .record_used(now, cpu_now - cpu_used)
                .min(1_000_000);
            cpu_used = cpu_now;
            if pause > 0 {
                shared
                    .stats
                    .add_many(Stat::PausedMicros, pause.unsigned_abs());
                sleep(Duration::from_micros(pause.unsigned_abs()));
            }
        }
    }
}

/// Limits requests by source, in total and by CPU share, and logs unanswered datagrams.
struct RequestLimiter {
    limits: Limits,
    sources: SourceRateLimiter<IpAddr>,
    share: CpuShare,
    last_logged: Option<i64>,
    unlogged: u64,
}

impl RequestLimiter {
    fn new(limits: &Limits, now: i64) -> Self {
        Self {
            sources: SourceRateLimiter::new(limits.per_source, limits.total, MAX_SOURCES, now),
            share: CpuShare::new(limits.cpu_share, now),
            limits: limits.clone(),
            last_logged: None,
            unlogged: 0,
        }
    }

    /// Applies changed limits. Rates and CPU use are counted anew.
    fn update_limits(&mut self, limits: &Limits, now: i64) {
        if self.limits != *limits {
            *self = Self {
                last_logged: self.last_logged,
                unlogged: self.unlogged,
                ..Self::new(limits, now)
            };
        }
    }

    /// Logs at most one line in [`LOG_INTERVAL_US`], so that a flood of datagrams cannot use up the
    /// log's line limit.
    fn log_unanswered(&mut self, now: i64, from: SocketAddr, reason: &str) {
        self.unlogged += 1;
        if self
            .last_logged
            .is_none_or(|at| now - at >= LOG_INTERVAL_US)
        {
            let others = std::mem::take(&mut self.unlogged) - 1;
            self.last_logged = Some(now);
            info!(%from, others, "snmp: a datagram {reason}");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::atomic::AtomicUsize;

    #[test]
    fn panic_is_counted_and_work_restarted() {
        let (stop, stats, runs) = (
            AtomicBool::new(false),
            engine::Stats::default(),
            AtomicUsize::new(0),
        );
        run_with_restarts("agent", &stats, &stop, || {
            if runs.fetch_add(1, Ordering::Relaxed) < 2 {
                panic!("on purpose");
            }
            stop.store(true, Ordering::Relaxed);
        });
        assert_eq!((runs.into_inner(), stats.get(Stat::Restarts)), (3, 2));
    }
}
