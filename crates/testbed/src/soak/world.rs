//! State shared by all stubs of a run: the clock of the test harness, endpoint and group states,
//! and the invariant checker.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::oracle::{Effect, Oracle, SlowStart};

/// Endpoints in a group; the first one is the initial primary.
pub const GROUP_SIZE: usize = 3;

/// A request class, as configured in all gateways.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Class name in the gateways' settings and in requests.
    pub name: &'static str,
    pub effect: Effect,
    pub need: &'static str,
    /// Maximum age of the data that a request may read; `None` if any age is accepted.
    pub bound: Option<Duration>,
    pub deadline: Duration,
    pub work: Duration,
    /// Share of the load, in percent.
    pub share: u32,
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// All request classes, in the order of the settings.
pub const CLASSES: [Class; 5] = [
    Class {
        name: "read",
        effect: Effect::Safe,
        need: "eventual",
        bound: None,
        deadline: ms(1_500),
        work: ms(5),
        share: 40,
    },
    Class {
        name: "fresh",
        effect: Effect::Safe,
        need: "lag_bound",
        bound: Some(ms(400)),
        deadline: ms(1_500),
        work: ms(5),
        share: 28,
    },
    Class {
        name: "book",
        effect: Effect::Keyed(ms(2_000)),
        need: "mutate",
        bound: None,
        deadline: ms(2_500),
        work: ms(5),
        share: 15,
    },
    Class {
        name: "once",
        effect: Effect::Unsafe,
        need: "mutate",
        bound: None,
        deadline: ms(2_000),
        work: ms(5),
        share: 13,
    },
    Class {
        name: "report",
        effect: Effect::Safe,
        need: "eventual",
        bound: None,
        deadline: ms(3_000),
        work: ms(120),
        share: 4,
    },
];

/// Mean work of a request over the mix of classes.
#[must_use]
pub fn mean_work() -> Duration {
    CLASSES
        .iter()
        .map(|class| class.work * class.share)
        .sum::<Duration>()
        / 100
}

/// Slow-start rule for restarted endpoints, as in the settings; `capacity` is the tenants'
/// allowance for each endpoint.
#[must_use]
pub const fn slow_start(capacity: f64) -> SlowStart {
    SlowStart {
        capacity,
        slow_start_initial_capacity: 0.25,
        cold: ms(8_000),
        multiple: 2.0,
        window: ms(2_000),
    }
}

/// State of an endpoint; the fault injector changes it, the stub endpoint acts on it.
#[derive(Debug, Default)]
pub struct Endpoint {
    pub hangs: AtomicBool,
    pub resets: AtomicBool,
    pub delays_handshake: AtomicBool,
    pub corrupts_answers: AtomicBool,
    /// Process generation; a stub thread resets its connection when this has grown since it was
    /// accepted.
    pub incarnation: AtomicU64,
    pub down: AtomicBool,
    /// Time since which the replica applies no changes, in microseconds of the harness clock; 0 if
    /// it applies all.
    pub lag_started_us: AtomicU64,
    /// Last start, in Unix milliseconds; 0 for long ago.
    pub boot_ms: AtomicU64,
    pub draining: AtomicBool,
}

/// Client misbehavior that is switched on by faults.
#[derive(Debug, Default)]
pub struct ClientBehavior {
    pub disconnect: AtomicBool,
    pub stall: AtomicBool,
    pub pipeline: AtomicBool,
}

/// Shared state of a run.
#[derive(Debug)]
pub struct World {
    began: Instant,
    pub endpoints: Vec<Endpoint>,
    /// Index of the primary within each group; `None` while it changes.
    pub primaries: Mutex<Vec<Option<usize>>>,
    /// Version of the endpoint list that discovery serves.
    pub version: AtomicU64,
    pub client_behavior: ClientBehavior,
    pub over: AtomicBool,
    /// Connection id and stream of the newest open attempt of each request.
    pub open_attempts: Mutex<BTreeMap<String, (u64, TcpStream)>>,
    next_id: AtomicU64,
    oracle: Mutex<Oracle>,
}

/// Locks a mutex, ignoring poisoning by a thread that panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    /// A cluster without faults.
    #[must_use]
    pub fn new(groups: usize, capacity: f64) -> Self {
        Self {
            began: Instant::now(),
            endpoints: (0..groups * GROUP_SIZE)
                .map(|_| Endpoint::default())
                .collect(),
            primaries: Mutex::new(vec![Some(0); groups]),
            version: AtomicU64::new(1),
            client_behavior: ClientBehavior::default(),
            over: AtomicBool::new(false),
            open_attempts: Mutex::default(),
            next_id: AtomicU64::new(0),
            oracle: Mutex::new(Oracle::new(slow_start(capacity))),
        }
    }

    /// Time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn oracle(&self) -> MutexGuard<'_, Oracle> {
        lock(&self.oracle)
    }

    /// Returns an id that is unique within the run.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub fn is_primary(&self, endpoint: usize) -> bool {
        lock(&self.primaries)[endpoint / GROUP_SIZE] == Some(endpoint % GROUP_SIZE)
    }

    /// Age of the data at an endpoint.
    pub fn age(&self, endpoint: usize) -> Duration {
        let since = self.endpoints[endpoint]
            .lag_started_us
            .load(Ordering::SeqCst);
        if since == 0 || self.is_primary(endpoint) {
            return Duration::ZERO;
        }
        self.now().saturating_sub(Duration::from_micros(since))
    }

    /// Advances the version of the endpoint list.
    pub fn list_changed(&self) {
        self.version.fetch_add(1, Ordering::SeqCst);
    }

    /// Full endpoint list as a discovery response.
    pub fn discovery_list(&self, addresses: &[std::net::SocketAddr]) -> String {
        let entry = |(n, at): (usize, &std::net::SocketAddr)| {
            let endpoint = &self.endpoints[n];
            let state = if endpoint.draining.load(Ordering::SeqCst) {
                "leaving"
            } else {
                "active"
            };
            let mode = if self.is_primary(n) {
                "read-write"
            } else {
                "read-only"
            };
            let (boot, group) = (endpoint.boot_ms.load(Ordering::SeqCst), n / GROUP_SIZE);
            format!(
                r#"{{"uid":"s-{n:08x}","endpoint":"{at}","az":"a","model":"m","pod_group":{group},"state":"{state}","capacity_hint":1.0,"boot_ms":{boot},"mode":"{mode}"}}"#
            )
        };
        let entries: Vec<String> = addresses.iter().enumerate().map(entry).collect();
        let version = self.version.load(Ordering::SeqCst);
        format!(
            r#"{{"rev":{version},"all":true,"targets":[{}]}}"#,
            entries.join(",")
        )
    }
}
