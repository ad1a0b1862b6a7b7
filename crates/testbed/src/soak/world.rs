//! What all stand-ins of a run share: the rig's clock, the state of each endpoint and group, and the oracle.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::oracle::{Effect, Oracle, SlowStart};

/// Endpoints of a group; the first is its primary at the beginning.
pub const GROUP_SIZE: usize = 3;

/// A class of requests as all gateways are configured.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub effect: Effect,
    pub need: &'static str,
    /// How old its data may be, if that is bounded.
    pub bound: Option<Duration>,
    pub deadline: Duration,
    pub work: Duration,
    /// How many of a hundred requests are of it.
    pub share: u32,
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The classes, in the order of the settings.
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

/// Work of the mean request.
#[must_use]
pub fn mean_work() -> Duration {
    CLASSES
        .iter()
        .map(|class| class.work * class.share)
        .sum::<Duration>()
        / 100
}

/// The rule on endpoints that have just started, as the settings give it: the capacity is what tenants may ask of each.
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

/// An endpoint's state; the rig changes it, its stand-in obeys.
#[derive(Debug, Default)]
pub struct Endpoint {
    pub hangs: AtomicBool,
    pub resets: AtomicBool,
    pub dials_late: AtomicBool,
    pub spoils: AtomicBool,
    /// Connections of an earlier process are gone: each stand-in thread ends when this has grown.
    pub incarnation: AtomicU64,
    pub down: AtomicBool,
    /// Since when it applies nothing, in microseconds of the rig's clock; 0 where it applies all.
    pub lags_since_us: AtomicU64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub boot_ms: AtomicU64,
    pub draining: AtomicBool,
}

/// What clients do beside asking one thing at a time.
#[derive(Debug, Default)]
pub struct ClientManners {
    pub leave: AtomicBool,
    pub stop: AtomicBool,
    pub pipeline: AtomicBool,
}

/// All that is shared.
#[derive(Debug)]
pub struct World {
    began: Instant,
    pub endpoints: Vec<Endpoint>,
    /// The primary of each group, by place in it; none while it changes.
    pub primaries: Mutex<Vec<Option<usize>>>,
    /// The version of the list.
    pub version: AtomicU64,
    pub manners: ClientManners,
    pub over: AtomicBool,
    /// The connection that carries the newest attempt of each request, while it is out.
    pub carriers: Mutex<BTreeMap<String, (u64, TcpStream)>>,
    next: AtomicU64,
    oracle: Mutex<Oracle>,
}

/// Locks, also where a thread that held the lock has panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    /// A cluster in which all is well.
    #[must_use]
    pub fn new(groups: usize, capacity: f64) -> Self {
        Self {
            began: Instant::now(),
            endpoints: (0..groups * GROUP_SIZE)
                .map(|_| Endpoint::default())
                .collect(),
            primaries: Mutex::new(vec![Some(0); groups]),
            version: AtomicU64::new(1),
            manners: ClientManners::default(),
            over: AtomicBool::new(false),
            carriers: Mutex::default(),
            next: AtomicU64::new(0),
            oracle: Mutex::new(Oracle::new(slow_start(capacity))),
        }
    }

    /// Time since the beginning.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn oracle(&self) -> MutexGuard<'_, Oracle> {
        lock(&self.oracle)
    }

    /// A number that nobody else has.
    pub fn next(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    pub fn is_primary(&self, endpoint: usize) -> bool {
        lock(&self.primaries)[endpoint / GROUP_SIZE] == Some(endpoint % GROUP_SIZE)
    }

    /// How old an endpoint's data is.
    pub fn age(&self, endpoint: usize) -> Duration {
        let since = self.endpoints[endpoint]
            .lags_since_us
            .load(Ordering::SeqCst);
        if since == 0 || self.is_primary(endpoint) {
            return Duration::ZERO;
        }
        self.now().saturating_sub(Duration::from_micros(since))
    }

    /// The list has changed.
    pub fn list_changed(&self) {
        self.version.fetch_add(1, Ordering::SeqCst);
    }

    /// The whole list in discovery's form.
    pub fn list(&self, addresses: &[std::net::SocketAddr]) -> String {
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
