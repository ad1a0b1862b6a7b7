//! `valehatch` without a command: runs the platform's front, configured by the JSON file that
//! `BALANCER_CONFIG` names.
//!
//! The file is read at the start. A reload on SIGHUP applies only discovery's address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use crossbeam_channel::{Receiver, Sender, bounded};
use tracing::{info, warn};
use valehatch_config::operators::{AdmissionSettings, LogLevel, LogSettings};
use valehatch_config::{PlatformConfig, Site};
use valehatch_core::Event;
use valehatch_hot_restart::ProcessLimits;
use valehatch_memory_budget::MemoryBudget;
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_net::discovery::{AgentLocation, DiscoveryAddress, DiscoveryPoller, PollerConfig};
use valehatch_net::upstream::EndpointPools;
use valehatch_net::{Clock, signals};
use valehatch_pg::upstream::MAX_BUFFERED_RESPONSE_BYTES;
use valehatch_policy::StaleReadPolicy;
use valehatch_recovery::endpoint_list::ListVersion;
use valehatch_request_log::OutcomeMetrics;
use valehatch_snmp::instrumentation::CoreSnapshot;

use crate::error::StartError;
use crate::front::{Front, FrontParts, HandoffHandleCell, admission_settings};
use crate::hot_restart::{self, Inheritance, PLATFORM_FRONT, SharedProcess};
use crate::recovery::{RecoverableFront, SharedEndpointList, restore_front};
use crate::resources::{
    EVENT_QUEUE_LENGTH, FrontResources, affordable_descriptors, memory_budget, platform_limits,
};
use crate::status::ProcessStatus;

/// Index of the platform's only front.
const FRONT_INDEX: usize = 0;

/// Sizes of the platform's admission queue; they fit into the smallest memory that the platform
/// gives.
pub(crate) const ADMISSION_QUEUE: AdmissionSettings = AdmissionSettings {
    max_waiting: 4_000,
    client_buckets: 1024,
    max_active_groups: 64,
};

/// Serves the platform's front until it has stopped, with an admission queue of the given sizes, if
/// any.
///
/// # Errors
/// The front cannot start.
pub(crate) fn serve(admission: Option<AdmissionSettings>) -> Result<(), StartError> {
    let signals = signals::catch().map_err(StartError::resource("signals"))?;
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| StartError::NoConfiguration)?;
    let config = load_for_start(&path)?;
    valehatch_net::log::init(LogSettings {
        level: log_level()?,
        ..LogSettings::default()
    });
    let platform = Platform::new(config, path)?;
    let (inheritance, endpoint_list) = platform.start_discovery()?;
    info!(gateway = %platform.config.name, "serving the platform");
    // The core's first event, before any request is accepted.
    let _ = platform.inbox.0.send(Event::PeerProcess(inheritance.peer));
    let front = Front::listen(platform.front_parts(admission, &inheritance)?)?;

    let reloader = platform.reloader(&endpoint_list);
    let has_predecessor = inheritance.has_predecessor();
    let shared = platform.shared_process(&front, &endpoint_list, &reloader);
    let handle = inheritance.announce(hot_restart::socket_path(platform.config.listen), shared);
    if let Some(handle) = &handle {
        let _ = platform.handoff.set(handle.clone());
        // A list received from discovery before the handle existed was not forwarded; the other
        // process may not poll the same list until seconds later.
        let encoded = valehatch_net::lock(&endpoint_list).cache().encode();
        handle.forward_list(encoded);
    }
    // Not earlier: once health reports "ready", the next process may be started at once, and it has
    // to find this process's handoff socket.
    platform.status.on_listening();
    if has_predecessor {
        // The predecessor may have received SIGHUP after this process read the configuration.
        reloader.reload("looked at with the other process");
    }
    let (status, events) = (Arc::clone(&platform.status), platform.inbox.0.clone());
    // The front's event loop owns the queue from here on.
    drop(platform);
    let on_shutdown = move || {
        status.on_shutdown();
        if let Some(handle) = &handle {
            handle.stop();
        }
    };
    let on_reload = move || reloader.on_sighup();
    signals::watch(signals, vec![events], on_reload, on_shutdown)
        .map_err(StartError::resource("signals"))?;
    front.run();
    Ok(())
}

/// Reads the configuration and applies the environment's overrides.
fn load_for_start(path: &str) -> Result<PlatformConfig, StartError> {
    let mut config = load(path)?;
    config.management = management_address(config.management)?;
    if config.management.is_some() {
        let names = config.site.validate_metric_names();
        names.map_err(StartError::configuration)?;
    }
    Ok(config)
}

fn load(path: &str) -> Result<PlatformConfig, StartError> {
    let text =
        std::fs::read_to_string(path).map_err(StartError::resource(format!("config: {path}")))?;
    PlatformConfig::parse(&text).map_err(StartError::configuration)
}

/// Returns the management address; `BALANCER_MGMT` overrides the file.
fn management_address(file: Option<SocketAddr>) -> Result<Option<SocketAddr>, StartError> {
    let value = std::env::var("BALANCER_MGMT").unwrap_or_default();
    if value.is_empty() {
        return Ok(file);
    }
    let address = value.parse().map_err(|_| StartError::Environment {
        variable: "BALANCER_MGMT",
        value,
        expected: "an address with a port",
    })?;
    Ok(Some(address))
}

/// Returns the lowest level that is logged: `VALEHATCH_LOG`, or info by default.
fn log_level() -> Result<LogLevel, StartError> {
    match std::env::var("VALEHATCH_LOG").as_deref() {
        Err(_) | Ok("" | "info") => Ok(LogLevel::Info),
        Ok("debug") => Ok(LogLevel::Debug),
        Ok("warn") => Ok(LogLevel::Warn),
        Ok("error") => Ok(LogLevel::Error),
        Ok(other) => Err(StartError::Environment {
            variable: "VALEHATCH_LOG",
            value: other.to_owned(),
            expected: "error, warn, info or debug",
        }),
    }
}

/// Whether an endpoint list contains any endpoint.
pub(crate) fn has_endpoints(endpoint_list: &SharedEndpointList) -> bool {
    let endpoint_list = valehatch_net::lock(endpoint_list);
    endpoint_list.cache().endpoints().next().is_some()
}

/// Components shared by the parts of the process.
struct Platform {
    config: PlatformConfig,
    path: String,
    clock: Clock,
    inbox: (Sender<Event>, Receiver<Event>),
    status: Arc<ProcessStatus>,
    discovery_address: Arc<DiscoveryAddress>,
    handoff: HandoffHandleCell,
    connections: Arc<SharedConnectionLimiter>,
    memory: Arc<MemoryBudget>,
    board: Arc<ArcSwapOption<CoreSnapshot>>,
}

impl Platform {
    /// Starts the clock, and the management endpoint if one is configured.
    fn new(mut config: PlatformConfig, path: String) -> Result<Self, StartError> {
        let clock = Clock::start();
        config.sockets = affordable_descriptors(config.memory_mb, config.sockets);
        let memory = memory_budget(config.memory_mb, config.sockets);
        let resources = FrontResources {
            descriptors: config.sockets,
            max_active_clients: memory.max_active_clients(MAX_BUFFERED_RESPONSE_BYTES),
        };
        let status = ProcessStatus::new([(Arc::from(config.name.as_str()), &config.site)]);
        let connections = SharedConnectionLimiter::new(clock, platform_limits(resources));
        status.set_memory(FRONT_INDEX, &memory);
        status.set_connections(FRONT_INDEX, &connections);
        if let Some(address) = config.management {
            status.serve("mgmt", address)?;
        }
        Ok(Self {
            path,
            clock,
            inbox: bounded(EVENT_QUEUE_LENGTH),
            status,
            discovery_address: Arc::new(DiscoveryAddress::new(config.discovery)),
            handoff: HandoffHandleCell::default(),
            connections,
            memory,
            board: Arc::default(),
            config,
        })
    }

    /// Takes over from the predecessor and starts to poll discovery. The initial list is the
    /// predecessor's, or else that of the configuration. Each changed list is also forwarded to the
    /// other process of a hot restart.
    fn start_discovery(&self) -> Result<(Inheritance, SharedEndpointList), StartError> {
        let config = &self.config;
        let poller = DiscoveryPoller::new(PollerConfig {
            address: Arc::clone(&self.discovery_address),
            agent: AgentLocation::ThisMachine,
            site: config.site.clone(),
            clock: self.clock,
            events: self.inbox.0.clone(),
            gateway_count: Arc::new(AtomicU32::new(config.site.settings.routers)),
            seed: config.seed,
        });
        let (status, handoff) = (Arc::clone(&self.status), Arc::clone(&self.handoff));
        let poller = poller
            .on_confirmed(move || status.on_endpoint_list(FRONT_INDEX))
            .on_changed(move |endpoint_list| {
                if let Some(handle) = handoff.get() {
                    handle.forward_list(endpoint_list.encode());
                }
            });
        let endpoint_list = poller.store();
        let socket_path = hot_restart::socket_path(config.listen);
        let inheritance = hot_restart::inherit(socket_path.as_ref(), &config.name, config.listen)?;
        let restored = restore_front(inheritance.snapshot.as_ref(), PLATFORM_FRONT);
        let started = match restored.list {
            Some(list) => poller.resume(list.endpoints, list.version),
            None => poller.start(&config.cached_endpoints),
        };
        started.map_err(StartError::resource("list"))?;
        if has_endpoints(&endpoint_list) {
            self.status.on_endpoint_list(FRONT_INDEX);
        }
        Ok((inheritance, endpoint_list))
    }

    fn front_parts(
        &self,
        admission: Option<AdmissionSettings>,
        inheritance: &Inheritance,
    ) -> Result<FrontParts, StartError> {
        let (config, clock) = (&self.config, self.clock);
        let site = config.site.clone();
        let metrics = config.management.map(|_| self.status.metrics(FRONT_INDEX));
        let listener = inheritance
            .listener()
            .map_err(StartError::resource(format!("listen: {}", config.listen)))?;
        let handler = valehatch_pg::clients::PostgresHandler {
            site: site.clone(),
            clock,
        };
        Ok(FrontParts {
            admission: admission
                .map(|sizes| admission_settings(sizes, &site, tenant_weights(&site))),
            descriptors: config.sockets,
            memory: Arc::clone(&self.memory),
            response_bytes: MAX_BUFFERED_RESPONSE_BYTES,
            seed: config.seed,
            listener,
            clock,
            handler: Arc::new(handler),
            upstream: Box::new(self.endpoint_pools(metrics.clone())),
            connections: Arc::clone(&self.connections),
            max_in_flight: None,
            inbox: self.inbox.clone(),
            observer: None,
            metrics,
            decisions: self.status.decisions(FRONT_INDEX),
            board: Arc::clone(&self.board),
            handoff: Arc::clone(&self.handoff),
            site,
        })
    }

    fn endpoint_pools(&self, metrics: Option<Arc<OutcomeMetrics>>) -> EndpointPools {
        let site = &self.config.site;
        // If replicas serve stale reads, only the replication position in an answer shows whether
        // the answer is fresh enough.
        let needs_verified_clock = site.settings.stale_read_policy == StaleReadPolicy::Serve;
        let pools = EndpointPools::new(
            Arc::new(valehatch_pg::upstream::PostgresProtocol { clock: self.clock }),
            self.inbox.0.clone(),
            self.clock,
            Duration::from_millis(site.connect_timeout_ms),
            Arc::clone(&self.connections),
        );
        pools
            .count_attempts(metrics)
            .require_verified_clock(needs_verified_clock)
    }

    fn reloader(&self, endpoint_list: &SharedEndpointList) -> Arc<Reloader> {
        Arc::new(Reloader {
            path: self.path.clone(),
            discovery_address: Arc::clone(&self.discovery_address),
            endpoint_list: Arc::clone(endpoint_list),
            handoff: Arc::clone(&self.handoff),
        })
    }

    /// Builds the handler of handoff requests for this process.
    fn shared_process(
        &self,
        front: &Front,
        endpoint_list: &SharedEndpointList,
        reloader: &Arc<Reloader>,
    ) -> SharedProcess {
        let config = &self.config;
        SharedProcess {
            gateway: config.name.clone(),
            limits: ProcessLimits {
                descriptors: config.sockets,
                bytes: config.memory_mb * 1024 * 1024,
            },
            gateway_count: config.site.settings.routers,
            events: self.inbox.0.clone(),
            clients: front.clients(),
            memory: Arc::clone(&self.memory),
            connections: Arc::clone(&self.connections),
            front: RecoverableFront {
                name: PLATFORM_FRONT.to_owned(),
                endpoint_list: Some(Arc::clone(endpoint_list)),
                board: Arc::clone(&self.board),
                settings: config.site.settings.clone(),
            },
            clock: self.clock,
            reload_discovery: reloader.reload_discovery_callback(),
        }
    }
}

/// Tenants' weights in the admission queue: each tenant's configured rate as a fraction of the sum
/// of all rates.
fn tenant_weights(site: &Site) -> Vec<f64> {
    let rates: Vec<f64> = site.settings.tenants.iter().map(|t| t.allowance).collect();
    let total: f64 = rates.iter().sum::<f64>().max(1e-9);
    rates.into_iter().map(|rate| rate / total).collect()
}

/// Reloads discovery's address from the configuration.
struct Reloader {
    path: String,
    discovery_address: Arc<DiscoveryAddress>,
    endpoint_list: SharedEndpointList,
    handoff: HandoffHandleCell,
}

impl Reloader {
    /// Switches discovery to the address in the file. An unusable file changes nothing.
    fn reload(&self, cause: &str) -> Option<SocketAddr> {
        match load(&self.path) {
            Ok(config) => {
                info!(discovery = %config.discovery, "configuration {cause}");
                self.discovery_address.set(config.discovery);
                Some(config.discovery)
            }
            Err(error) => {
                warn!(%error, "configuration not usable, keeping the old one");
                None
            }
        }
    }

    /// Handles SIGHUP. The signal is meant for the whole gateway, so the other process of a hot
    /// restart is notified at once: it is sent the current list with the new address as its source.
    /// Waiting for the new address to answer would be unsafe, since this process may end before
    /// then.
    fn on_sighup(&self) {
        let Some(address) = self.reload("read again") else {
            return;
        };
        let Some(handle) = self.handoff.get() else {
            return;
        };
        let mut endpoint_list = valehatch_net::lock(&self.endpoint_list).cache().clone();
        endpoint_list.version = Some(ListVersion {
            source: address,
            revision: 0,
        });
        handle.forward_list(endpoint_list.encode());
    }

    /// Returns [`Self::reload`] as the callback that the hot restart calls when the other process
    /// polls a different address.
    fn reload_discovery_callback(self: &Arc<Self>) -> Arc<dyn Fn() + Send + Sync> {
        let reloader = Arc::clone(self);
        Arc::new(move || {
            let _ = reloader.reload("looked at with the other process");
        })
    }
}
