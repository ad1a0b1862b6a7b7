//! The SNMP agent: v2c and v3, read-only, over what the cores and the ledger publish, and the notifications.
//!
//! | module | holds |
//! | --- | --- |
//! | [`schema`] | every object once: the agent answers from it, and the MIB is printed from it |
//! | [`picture`] | all that is shown at one moment, found by name |
//! | [`message`] | messages, by rasn |
//! | [`usm`] | keys, digests, encryption |
//! | [`engine`] | a datagram in, an answer out: versions, users, views, walks |
//! | [`notify`] | traps and informs |
//! | [`instrumentation`] | what is looked at |

#![forbid(unsafe_code)]
#![expect(clippy::too_many_lines, reason = "not yet split and documented")]

pub mod engine;
pub mod instrumentation;
pub mod message;
pub mod notify;
pub mod picture;
pub mod schema;
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

/// The agent's threads take whole messages apart. 16 KiB were found to be enough in a release build
/// (`cargo run --release --example stack -p valehatch-snmp`); this leaves room for others.
const STACK: usize = 256 * 1024;
/// Sources whose rates are told apart.
const SOURCES: NonZeroUsize = NonZeroUsize::new(1024).unwrap();
/// How often the agent looks whether it is to stop, and lets go of what ended walks held.
const LOOK: Duration = Duration::from_millis(200);
/// Datagrams between two looks at the CPU time that was used.
const MEASURED: u32 = 8;
/// Between two lines of the log about datagrams that were not answered.
const GRUDGE: i64 = 10_000_000;

/// The agent, while it runs.
pub struct Agent {
    shared: Arc<Shared>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Agent {
    /// Listens, and starts the agent's threads.
    ///
    /// # Errors
    /// That it cannot listen, or that the system has no thread for it.
    pub fn start(
        snmp: SnmpSettings,
        instrumentation: Arc<Instrumentation>,
        boots: u32,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(snmp.listen)?;
        socket.set_read_timeout(Some(LOOK))?;
        info!("the agent listens on {}", socket.local_addr()?);
        let shared = Arc::new(Shared {
            instrumentation,
            access: ArcSwap::from_pointee(snmp),
            stats: engine::Stats::default(),
            boots,
            receivers: ArcSwap::default(),
        });
        let stop = Arc::new(AtomicBool::new(false));
        let (own, halt) = (Arc::clone(&shared), Arc::clone(&stop));
        let agent = Builder::new().name("snmp".into()).stack_size(STACK);
        let agent = agent
            .spawn(move || keep("agent", &own.stats, &halt, || serve(&socket, &own, &halt)))?;
        let (own, halt) = (Arc::clone(&shared), Arc::clone(&stop));
        let notifier = Builder::new().name("notify".into()).stack_size(STACK);
        let notifier = notifier.spawn(move || {
            keep("notifier", &own.stats, &halt, || {
                Notifier::new(Arc::clone(&own), Arc::clone(&halt)).run()
            });
        })?;
        Ok(Self {
            shared,
            stop,
            threads: vec![agent, notifier],
        })
    }

    /// Takes over users, communities, views, receivers, thresholds and limits; where it listens stays.
    pub fn reload(&self, snmp: SnmpSettings) {
        let old = self.shared.access.load();
        if (old.listen, &old.engine) != (snmp.listen, &snmp.engine) {
            warn!("snmp: listen and engine-id are read at the start only");
        }
        let snmp = SnmpSettings {
            listen: old.listen,
            engine: old.engine.clone(),
            ..snmp
        };
        if **old != snmp {
            info!("snmp: users, views, receivers and limits were read again");
            self.shared.access.store(Arc::new(snmp));
        }
    }

    /// Says the last word and ends.
    pub fn shutdown(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            if thread.join().is_err() {
                error!("snmp: a thread of the agent's had ended before its time");
            }
        }
    }
}

/// A thread of the agent's never ends in silence: a panic is logged and counted, and the work begins anew.
fn keep(what: &str, stats: &engine::Stats, stop: &AtomicBool, work: impl Fn()) {
    while !stop.load(Ordering::Relaxed) {
        let ended = catch_unwind(AssertUnwindSafe(&work));
        if stop.load(Ordering::Relaxed) && ended.is_ok() {
            return;
        }
        stats.add(Stat::Restarts);
        error!("snmp: the {what}'s thread had to begin anew");
        sleep(LOOK);
    }
}

/// CPU time that this thread has used, in microseconds.
fn cpu_time() -> i64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1000
}

fn serve(socket: &UdpSocket, shared: &Arc<Shared>, stop: &AtomicBool) {
    let mut engine = Engine::new(Arc::clone(shared));
    let mut door = Door::new(&shared.access.load().limits, engine.now());
    let mut datagram = vec![0; 65_536];
    let (mut used, mut count, mut swept) = (cpu_time(), 0_u32, engine.now());
    while !stop.load(Ordering::Relaxed) {
        let got = socket.recv_from(&mut datagram);
        let now = engine.now();
        match got {
            Ok((length, from)) => {
                door.follow(&shared.access.load().limits, now);
                match door.sources.admit(now, from.ip().to_canonical()) {
                    RateLimitDecision::Granted => {
                        let before = shared.stats.get(Stat::Answered);
                        if let Some(answer) = engine.answer(now, from, &datagram[..length]) {
                            let _ = socket.send_to(&answer, from);
                        }
                        if shared.stats.get(Stat::Answered) == before {
                            door.grudge(now, from, "was not answered");
                        }
                    }
                    RateLimitDecision::Source => {
                        shared.stats.add(Stat::LimitedBySource);
                        door.grudge(now, from, "asks too much");
                    }
                    RateLimitDecision::Total => {
                        shared.stats.add(Stat::LimitedInAll);
                        door.grudge(now, from, "finds too much asked by all");
                    }
                }
                count += 1;
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => {
                warn!("snmp: {e}");
                sleep(Duration::from_millis(50));
            }
        }
        if count >= MEASURED || now - swept > 200_000 {
            (count, swept) = (0, now);
            engine.sweep(now);
            let spent = cpu_time();
            // What comes meanwhile waits in the socket or is lost there, which costs nobody anything.
            let pause = door.share.record_used(now, spent - used).min(1_000_000);
            used = spent;
            if pause > 0 {
                shared.stats.more(Stat::PausedMicros, pause.unsigned_abs());
                sleep(Duration::from_micros(pause.unsigned_abs()));
            }
        }
    }
}

/// What is let in, and what is said of the rest.
struct Door {
    limits: Limits,
    sources: SourceRateLimiter<IpAddr>,
    share: CpuShare,
    told: Option<i64>,
    untold: u64,
}

impl Door {
    fn new(limits: &Limits, now: i64) -> Self {
        Self {
            sources: SourceRateLimiter::new(limits.per_source, limits.total, SOURCES, now),
            share: CpuShare::new(limits.cpu_share, now),
            limits: limits.clone(),
            told: None,
            untold: 0,
        }
    }

    /// Other limits from now on.
    fn follow(&mut self, limits: &Limits, now: i64) {
        if self.limits != *limits {
            *self = Self {
                told: self.told,
                untold: self.untold,
                ..Self::new(limits, now)
            };
        }
    }

    /// One line now and then, so that a flood cannot take the log's lines from others.
    fn grudge(&mut self, now: i64, from: SocketAddr, what: &str) {
        self.untold += 1;
        if self.told.is_none_or(|at| now - at >= GRUDGE) {
            let others = std::mem::take(&mut self.untold) - 1;
            self.told = Some(now);
            info!(%from, others, "snmp: a datagram {what}");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::atomic::AtomicUsize;

    #[test]
    fn a_panic_of_a_thread_is_counted_and_the_work_begins_anew() {
        let (stop, stats, begun) = (
            AtomicBool::new(false),
            engine::Stats::default(),
            AtomicUsize::new(0),
        );
        keep("agent", &stats, &stop, || {
            if begun.fetch_add(1, Ordering::Relaxed) < 2 {
                panic!("on purpose");
            }
            stop.store(true, Ordering::Relaxed);
        });
        assert_eq!((begun.into_inner(), stats.get(Stat::Restarts)), (3, 2));
    }
}
