//! Polls discovery for the endpoint list over HTTP.
//!
//! One thread drives all calls. A call without news waits at discovery for a change; the next one
//! begins when it is answered, has failed or is late, so that a change arrives in time even if
//! single calls fail. State: the calls in flight, an idle connection, the version reached, and the
//! backoff after failures.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use serde_json::Value;
use valehatch_backoff::Backoff;
use valehatch_config::Site;
use valehatch_core::Event;
use valehatch_policy::{DiscoveryMode, Span};
use valehatch_recovery::endpoint_list::{
    DiscoveredEndpoint, EndpointListCache, ListVersion, PROPAGATION_DEADLINE,
    PROPAGATION_DEADLINE_AFTER_WAIT,
};

use super::endpoint_list::{EndpointListStore, ListResponse, complete_list};
use super::error::PollError;
use super::watch::{
    AnsweredCall, CallKind, CallTimeouts, DiscoveryAddress, DiscoveryCall, DiscoveryConnection,
    first_response,
};
use crate::{Clock, lock, spawn};

/// Maximum rate at which all gateways together call a discovery service that has no news.
const FLEET_CALLS_PER_SECOND: u32 = 5;
/// The shortest wait for news that a call asks a service for.
const MIN_WATCH_WAIT: Span = Span::from_millis(2_000);
/// The longest wait for news that a call asks a service for, in a large fleet.
const MAX_WATCH_WAIT: Span = Span::from_millis(20_000);
/// How long a call waits for news at an agent on this machine. Calls to it cost nothing, and short
/// ones detect sooner that it has stopped responding and come back during a call.
const AGENT_WATCH_WAIT: Duration = Duration::from_millis(100);
/// Time after which a call to an agent is late; an agent answers at once.
const AGENT_STALLED_AFTER: Duration = Duration::from_millis(100);
/// Time after which a call to a service is late, and an outage of an agent or a service is logged.
const STALLED_AFTER: Duration = Duration::from_millis(700);
/// Maximum number of calls in flight: as many as become late one after the other until
/// [`STALLED_AFTER`].
const MAX_CALLS: usize = 7;
/// Shortest pause after a failed call.
const MIN_BACKOFF: Span = Span::from_millis(50);
/// Longest pause after failed calls to an agent on this machine.
const MAX_AGENT_BACKOFF: Span = Span::from_millis(100);
/// Longest pause after failed calls to a service that pushes lists.
const MAX_PUSH_BACKOFF: Span = Span::from_millis(2_500);

/// Location of the discovery that pushes lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentLocation {
    /// An agent on this machine, which no other gateway calls.
    ThisMachine,
    /// A service on another machine.
    Remote,
}

/// The kind of discovery that answers the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiscoverySource {
    /// An agent on this machine: calls cost nothing, and its list is valid at once.
    Agent,
    /// A service that answers calls as soon as the list changes.
    PushService,
    /// A service for all gateways, which answers a limited number of calls per second: a call is
    /// queued until then.
    PollService,
}

/// Time limits of calls, chosen so that a change arrives in time.
#[derive(Clone, Copy, Debug)]
struct PropagationDeadlines {
    complete_list: CallTimeouts,
    changes: CallTimeouts,
    min_backoff: Span,
    max_backoff: Span,
    /// Maximum time from the beginning of a failed call to the beginning of the next one.
    max_call_interval: Span,
}

impl PropagationDeadlines {
    fn new(source: DiscoverySource, site: &Site) -> Self {
        let max_poll_interval = site.settings.rules.max_poll_interval;
        // A change has to arrive within `PROPAGATION_DEADLINE`, regardless of earlier failures: the
        // next call begins earlier by the time that its response may take.
        let max_call_interval = (PROPAGATION_DEADLINE - PROPAGATION_DEADLINE_AFTER_WAIT)
            .min(max_poll_interval.times(0.4));
        let total = duration(PROPAGATION_DEADLINE_AFTER_WAIT);
        match source {
            DiscoverySource::Agent => {
                let timeouts = CallTimeouts {
                    stalled: AGENT_STALLED_AFTER,
                    trickling: STALLED_AFTER,
                    total,
                };
                Self {
                    complete_list: timeouts,
                    changes: timeouts,
                    min_backoff: MIN_BACKOFF,
                    max_backoff: MAX_AGENT_BACKOFF,
                    max_call_interval,
                }
            }
            DiscoverySource::PushService => {
                let timeouts = CallTimeouts {
                    stalled: STALLED_AFTER,
                    trickling: STALLED_AFTER,
                    total,
                };
                Self {
                    complete_list: timeouts,
                    changes: timeouts,
                    min_backoff: MIN_BACKOFF,
                    max_backoff: MAX_PUSH_BACKOFF.min(max_poll_interval.times(0.25)),
                    max_call_interval,
                }
            }
            DiscoverySource::PollService => {
                // Abandoning a call that is queued at the service would only waste its place in the
                // queue.
                let queue_timeout = duration(max_poll_interval.times(0.25).min(max_call_interval));
                let complete_list = CallTimeouts {
                    stalled: queue_timeout,
                    trickling: queue_timeout,
                    total: queue_timeout,
                };
                let changes = CallTimeouts {
                    stalled: STALLED_AFTER.min(queue_timeout),
                    ..complete_list
                };
                let fleet_call_interval = valehatch_backoff::fleet_call_interval(
                    site.settings.routers,
                    FLEET_CALLS_PER_SECOND,
                )
                .min(max_call_interval);
                Self {
                    complete_list,
                    changes,
                    min_backoff: fleet_call_interval.max(MIN_BACKOFF),
                    max_backoff: max_call_interval,
                    max_call_interval,
                }
            }
        }
    }

    const fn timeouts(&self, kind: CallKind) -> CallTimeouts {
        match kind {
            CallKind::CompleteList => self.complete_list,
            CallKind::Changes { .. } => self.changes,
        }
    }
}

const fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0.unsigned_abs())
}

/// Settings and dependencies of a poller.
pub struct PollerConfig {
    /// Address of discovery, which may change while the poller runs.
    pub address: Arc<DiscoveryAddress>,
    /// Location of a discovery that pushes lists; ignored for one that is polled.
    pub agent: AgentLocation,
    /// The front's settings.
    pub site: Site,
    /// The gateway's clock.
    pub clock: Clock,
    /// Sends the lists to the front's core.
    pub events: Sender<Event>,
    /// Number of gateways that call the same service; may change while the poller runs.
    pub gateway_count: Arc<AtomicU32>,
    /// Seed for the jitter of the backoff.
    pub seed: u64,
}

/// Polls discovery and keeps an [`EndpointListStore`] up to date.
pub struct DiscoveryPoller {
    address: Arc<DiscoveryAddress>,
    store: Arc<Mutex<EndpointListStore>>,
    source: DiscoverySource,
    clock: Clock,
    gateway_count: Arc<AtomicU32>,
    deadlines: PropagationDeadlines,
    backoff: Backoff,
    on_confirmed: Box<dyn Fn() + Send>,
    on_changed: Box<dyn Fn(EndpointListCache) + Send>,
}

/// State of the poller's thread.
struct PollState {
    calls: Vec<DiscoveryCall>,
    idle_connection: Option<DiscoveryConnection>,
    /// The version reached with the discovery that is currently polled.
    reached: Option<ListVersion>,
}

/// A list, the version from which it was requested, and the connection if it can be reused.
struct PollResponse {
    list: ListResponse,
    since: Option<u64>,
    connection: Option<DiscoveryConnection>,
}

/// A period without successful polls.
#[derive(Default)]
struct Outage {
    since: Option<Instant>,
    logged: bool,
}

impl Outage {
    /// Logs each outage once: at once if discovery fails, and after [`STALLED_AFTER`] if it does
    /// not respond.
    fn on_failure(&mut self, error: &PollError, address: SocketAddr) {
        let lasted = self.since.get_or_insert_with(Instant::now).elapsed();
        if !self.logged && (!error.is_timeout() || lasted >= STALLED_AFTER) {
            self.logged = true;
            tracing::warn!(%error, %address, "discovery poll failed, keeping the cached endpoint list");
        }
    }

    fn on_success(&mut self, address: SocketAddr) {
        if std::mem::take(self).logged {
            tracing::info!(%address, "discovery poll succeeded again");
        }
    }
}

impl DiscoveryPoller {
    /// Creates a poller that does not poll yet.
    pub fn new(config: PollerConfig) -> Self {
        let source = match (config.site.settings.discovery_mode, config.agent) {
            (DiscoveryMode::Poll, _) => DiscoverySource::PollService,
            (DiscoveryMode::Watch, AgentLocation::ThisMachine) => DiscoverySource::Agent,
            (DiscoveryMode::Watch, AgentLocation::Remote) => DiscoverySource::PushService,
        };
        let deadlines = PropagationDeadlines::new(source, &config.site);
        let backoff = Backoff::new(deadlines.min_backoff, deadlines.max_backoff, config.seed);
        let store = EndpointListStore::new(config.site, config.clock, config.events);
        Self {
            address: config.address,
            store: Arc::new(Mutex::new(store)),
            source,
            clock: config.clock,
            gateway_count: config.gateway_count,
            deadlines,
            backoff,
            on_confirmed: Box::new(|| {}),
            on_changed: Box::new(drop),
        }
    }

    /// The list that the poller keeps up to date.
    pub fn store(&self) -> Arc<Mutex<EndpointListStore>> {
        Arc::clone(&self.store)
    }

    /// Sets a callback that runs on the poller's thread whenever discovery has confirmed the list.
    #[must_use]
    pub fn on_confirmed(mut self, callback: impl Fn() + Send + 'static) -> Self {
        self.on_confirmed = Box::new(callback);
        self
    }

    /// Sets a callback that runs on the poller's thread, with the list, whenever discovery has
    /// changed it.
    #[must_use]
    pub fn on_changed(mut self, callback: impl Fn(EndpointListCache) + Send + 'static) -> Self {
        self.on_changed = Box::new(callback);
        self
    }

    /// Starts with the list of a previous process, which had it from `version.source` at this
    /// version. Polls for changes since then if discovery is still at that address, and for the
    /// complete list otherwise.
    ///
    /// # Errors
    /// Returns an error if the poller's thread cannot be started.
    pub fn resume(
        self,
        endpoints: Vec<DiscoveredEndpoint>,
        version: ListVersion,
    ) -> std::io::Result<()> {
        let source = version.source;
        let list = complete_list(version.revision, endpoints);
        let revision = lock(&self.store).apply(source, list);
        let reached = ListVersion { source, revision };
        let is_current = source == self.address.current();
        self.spawn(is_current.then_some(reached))
    }

    /// Starts with the list in the configuration, which may be null.
    ///
    /// # Errors
    /// Returns an error if the poller's thread cannot be started.
    pub fn start(self, known: &Value) -> std::io::Result<()> {
        let reached = self.apply_known(known);
        self.spawn(reached)
    }

    fn apply_known(&self, known: &Value) -> Option<ListVersion> {
        if known.is_null() {
            return None;
        }
        let list = match serde_json::from_value::<ListResponse>(known.clone()) {
            Ok(list) => list,
            Err(e) => {
                tracing::warn!(error = %e, "ignoring the configuration's known endpoint list");
                return None;
            }
        };
        // Changes alone or an empty list are no base from which to request further changes.
        let is_base = list.complete && !list.endpoints.is_empty();
        let source = self.address.current();
        let revision = lock(&self.store).apply(source, list);
        is_base.then_some(ListVersion { source, revision })
    }

    fn spawn(self, reached: Option<ListVersion>) -> std::io::Result<()> {
        spawn("discovery", move || self.run(reached))
    }

    fn run(mut self, reached: Option<ListVersion>) {
        let mut state = PollState {
            calls: vec![],
            idle_connection: None,
            reached,
        };
        let mut outage = Outage::default();
        if self.source == DiscoverySource::PollService {
            let pause = self.backoff.initial_pause();
            self.address.pause(self.address.current(), duration(pause));
        }
        loop {
            let address = self.address.current();
            state.idle_connection = state.idle_connection.filter(|c| c.is_to(address));
            state.calls.retain(|call| call.is_to(address));
            let began_at = Instant::now();
            let kind = self.next_call(&state, address, &outage);
            match self.poll(&mut state, address, kind) {
                Ok(()) => {
                    // Calls that are still in flight began earlier, so their responses would be
                    // older.
                    state.calls.clear();
                    outage.on_success(address);
                    self.backoff.reset();
                    (self.on_confirmed)();
                }
                Err(_) if self.address.current() != address => self.backoff.reset(),
                Err(e) => {
                    outage.on_failure(&e, address);
                    self.pause_after_failure(address, &e, began_at, kind);
                }
            }
        }
    }

    /// Determines what the next call requests. Versions are specific to the address that counted
    /// them, so the complete list is requested first from another address.
    fn next_call(&self, state: &PollState, address: SocketAddr, outage: &Outage) -> CallKind {
        let max_wait = self.max_wait(outage);
        match state.reached {
            Some(reached) if reached.source == address => CallKind::Changes {
                since: reached.revision,
                max_wait,
            },
            _ => CallKind::CompleteList,
        }
    }

    /// How long a call may wait for news; short during an outage, so that the next call is not
    /// delayed for long either.
    fn max_wait(&self, outage: &Outage) -> Duration {
        if self.source == DiscoverySource::Agent {
            return AGENT_WATCH_WAIT;
        }
        if outage.since.is_some() {
            return duration(MIN_WATCH_WAIT);
        }
        duration(valehatch_backoff::long_poll_wait(
            self.gateway_count.load(Ordering::Relaxed),
            FLEET_CALLS_PER_SECOND,
            MIN_WATCH_WAIT,
            MAX_WATCH_WAIT,
        ))
    }

    /// Makes one more call and applies the first list that arrives.
    fn poll(
        &self,
        state: &mut PollState,
        address: SocketAddr,
        kind: CallKind,
    ) -> Result<(), PollError> {
        let connection = state.idle_connection.take();
        let response = self.call(&mut state.calls, connection, address, kind)?;
        state.idle_connection = response.connection;
        // A version below the one in the request comes from a discovery that has restarted its
        // count or lags behind. The complete list, which is requested next, resolves this: it is
        // accepted regardless of its version.
        state.reached = None;
        let version = response.list.version;
        if let Some(since) = response.since.filter(|since| version < *since) {
            return Err(PollError::VersionWentBack { version, since });
        }
        let version = self.apply(address, response.list)?;
        state.reached = Some(ListVersion {
            source: address,
            revision: version,
        });
        Ok(())
    }

    /// Begins a call in addition to those in flight and waits for the first response to any of
    /// them.
    fn call(
        &self,
        calls: &mut Vec<DiscoveryCall>,
        connection: Option<DiscoveryConnection>,
        address: SocketAddr,
        kind: CallKind,
    ) -> Result<PollResponse, PollError> {
        let connection = match connection {
            Some(connection) => connection,
            None => DiscoveryConnection::connect(address)?,
        };
        let timeouts = self.deadlines.timeouts(kind);
        calls.push(DiscoveryCall::begin(
            &self.address,
            connection,
            kind,
            timeouts,
        )?);
        calls.drain(..calls.len().saturating_sub(MAX_CALLS));
        let AnsweredCall { call, response } = first_response(calls)?;
        let list = serde_json::from_slice(&response.body).map_err(PollError::InvalidList)?;
        Ok(PollResponse {
            list,
            since: call.kind.since(),
            connection: response.reusable.then(|| call.into_connection()),
        })
    }

    /// Applies a list from discovery; returns the version reached.
    fn apply(&self, address: SocketAddr, list: ListResponse) -> Result<u64, PollError> {
        let has_changes = list.has_changes();
        let mut store = lock(&self.store);
        let Some(version) = store.apply_discovered(address, list) else {
            return Err(PollError::OlderThanForwarded);
        };
        store.set_confirmed(self.clock.now());
        let changed = has_changes.then(|| store.cache().clone());
        drop(store);
        if let Some(changed) = changed {
            (self.on_changed)(changed);
        }
        Ok(version)
    }

    /// Pauses between a failed call and the next one.
    fn pause_after_failure(
        &mut self,
        address: SocketAddr,
        error: &PollError,
        began_at: Instant,
        kind: CallKind,
    ) {
        // A late agent has already been waited for, and calls to it cost nothing.
        if self.source == DiscoverySource::Agent && error.is_timeout() {
            return;
        }
        // The next call has to begin early enough to report changes made before this call began,
        // and before it failed, in time.
        let max_interval = duration(self.deadlines.max_call_interval);
        let after_wait = kind.max_wait() + duration(PROPAGATION_DEADLINE_AFTER_WAIT) / 2;
        let latest = began_at + max_interval.max(after_wait);
        let remaining = latest
            .saturating_duration_since(Instant::now())
            .min(max_interval);
        let remaining = Span(i64::try_from(remaining.as_micros()).unwrap_or(i64::MAX));
        let pause = self.backoff.next_pause_within(remaining);
        self.address.pause(address, duration(pause));
    }
}
