//! `valehatch serve FILE`: runs all fronts of an operators' file, each with its own core. The
//! fronts share the request log, the SNMP agent, membership and the snapshot writer.
//!
//! The file is reloaded on SIGHUP and when it changes. A reload applies endpoints, tenant quotas
//! and the agent's users, views, receivers and limits; all other settings keep their values from
//! the start.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use arc_swap::ArcSwapOption;
use crossbeam_channel::{Receiver, Sender, bounded};
use tracing::{error, info};
use valehatch_config::operators::{self, EndpointSource, OperatorConfig};
use valehatch_core::{Event, Observability};
use valehatch_net::clients::{AddressSharing, bind_listener};
use valehatch_net::discovery::configured::ConfiguredEndpoints;
use valehatch_net::discovery::{
    AgentLocation, DiscoveryAddress, DiscoveryPoller, PollerConfig, configured,
};
use valehatch_net::gossip_transport::{GossipConfig, GossipTransport, GossipedList, ServicePhase};
use valehatch_net::{Clock, signals};
use valehatch_policy::Span;
use valehatch_recovery::snapshot::Snapshot;
use valehatch_snmp::Agent;
use valehatch_snmp::instrumentation::{self, CoreSnapshot, Instrumentation};
use valehatch_state::RecordWriter;

use crate::error::StartError;
use crate::front::{Front, FrontParts, HandoffHandleCell, Observer, admission_settings};
use crate::platform::has_endpoints;
use crate::protocols::protocol_stack;
use crate::recovery::{self, RecoverableFront, SharedEndpointList, SharedService, unix_ms};
use crate::resources::{EVENT_QUEUE_LENGTH, affordable_descriptors, memory_budget};
use crate::snapshot_writer::SnapshotWriter;
use crate::status::ProcessStatus;

/// Interval at which a core publishes its view.
const PUBLISH_INTERVAL: Span = Span::from_millis(100);

/// A front's event queue, the names used in its records, and the view that its core publishes.
struct FrontChannels {
    inbox: (Sender<Event>, Receiver<Event>),
    names: Arc<Observability>,
    board: Arc<ArcSwapOption<CoreSnapshot>>,
}

impl FrontChannels {
    fn new(front: &operators::FrontSettings) -> Self {
        let shared = |names: &[String]| names.iter().map(|name| Arc::from(name.as_str())).collect();
        let names = Observability {
            front: Arc::clone(&front.name),
            classes: shared(&front.site.classes),
            tenants: shared(&front.site.tenants),
            publish_interval: PUBLISH_INTERVAL,
        };
        Self {
            inbox: bounded(EVENT_QUEUE_LENGTH),
            names: Arc::new(names),
            board: Arc::default(),
        }
    }
}

/// A listening front, with its endpoint list if it uses discovery.
struct StartedFront {
    name: Arc<str>,
    front: Front,
    endpoint_list: Option<SharedEndpointList>,
}

/// Serves the fronts of a file until all of them have stopped.
///
/// # Errors
/// The fronts cannot start; the error names the invalid key or the unusable resource.
pub(crate) fn serve(path: PathBuf) -> Result<(), StartError> {
    let signals = signals::catch().map_err(StartError::resource("signals"))?;
    let mut file = OperatorConfig::load(&path).map_err(StartError::configuration)?;
    valehatch_net::log::init(file.log);
    for front in &mut file.fronts {
        front.sockets = affordable_descriptors(front.memory_mb, front.sockets);
    }
    let (clock, started_at) = (Clock::start(), Instant::now());
    let channels: Vec<FrontChannels> = file.fronts.iter().map(FrontChannels::new).collect();
    let sites = file.fronts.iter().map(|f| (Arc::clone(&f.name), &f.site));
    let status = ProcessStatus::new(sites);
    if let Some(address) = file.management {
        status.serve("mgmt.listen", address)?;
    }
    let writer = start_record_writer(&file)?;
    let state = file.state.as_ref();
    let snapshot = state.and_then(|state| recovery::read_snapshot(&state.dir, &file.name));
    let service = recovery::service(&file, clock);
    let agent = start_agent(&file, &channels, writer.as_ref(), clock, started_at)?;

    let starter = FrontStarter {
        file: &file,
        clock,
        status: &status,
        writer: writer.as_ref(),
        snapshot: snapshot.as_ref(),
        service: &service,
        gateway_count: Arc::new(AtomicU32::new(file.gateways)),
    };
    let mut fronts = vec![];
    for (index, channels) in channels.iter().enumerate() {
        fronts.push(starter.start(index, channels)?);
    }
    status.on_listening();

    let agent = Arc::new(agent);
    let events: Vec<Sender<Event>> = channels.iter().map(|c| c.inbox.0.clone()).collect();
    let reload_requested = watch_file(path, &file, &channels, &agent)?;
    let gossip = starter.start_gossip(&fronts, &events)?;
    let snapshots = starter.start_snapshots(&channels, &fronts, gossip.as_ref())?;
    drop(channels);

    let on_reload = move || reload_requested.store(true, Ordering::Relaxed);
    let on_shutdown = move || {
        status.on_shutdown();
        gossip.iter().for_each(|gossip| gossip.leave());
    };
    signals::watch(signals, events, on_reload, on_shutdown)
        .map_err(StartError::resource("signals"))?;
    info!(gateway = %file.name, fronts = fronts.len(), "serving");
    run_until_stopped(fronts)?;
    finish(agent, snapshots, writer);
    Ok(())
}

/// Starts the request log's writer; `None` if neither the SNMP agent nor a state folder uses it.
fn start_record_writer(file: &OperatorConfig) -> Result<Option<RecordWriter>, StartError> {
    if file.snmp.is_none() && file.state.is_none() {
        return Ok(None);
    }
    let writer = valehatch_state::start(file.state.as_ref());
    writer.map(Some).map_err(StartError::resource("state.dir"))
}

/// Starts fronts; holds what all of them share.
struct FrontStarter<'a> {
    file: &'a OperatorConfig,
    clock: Clock,
    status: &'a Arc<ProcessStatus>,
    writer: Option<&'a RecordWriter>,
    snapshot: Option<&'a Snapshot>,
    service: &'a SharedService,
    /// Number of gateways known to be alive; updated by membership.
    gateway_count: Arc<AtomicU32>,
}

impl FrontStarter<'_> {
    fn start(&self, index: usize, channels: &FrontChannels) -> Result<StartedFront, StartError> {
        let front = &self.file.fronts[index];
        let metrics = self.file.management.map(|_| self.status.metrics(index));
        let events = channels.inbox.0.clone();
        let memory = memory_budget(front.memory_mb, front.sockets);
        self.status.set_memory(index, &memory);
        let protocol = protocol_stack(front, self.clock, events, metrics.clone(), &memory)
            .map_err(StartError::resource(format!("front.{index}")))?;
        self.status.set_connections(index, &protocol.connections);
        let seed =
            self.clock.now().0.unsigned_abs() ^ u64::from(std::process::id()) << 32 ^ index as u64;
        let endpoint_list = self.start_endpoint_list(index, channels, seed)?;
        let key = format!("front.{index}.listen: {}", front.listen);
        let quotas = self.file.quota_shares.clone();
        let admission = self.file.admission;
        let parts = FrontParts {
            site: front.site.clone(),
            descriptors: front.sockets,
            memory,
            response_bytes: protocol.response_bytes,
            seed,
            listener: bind_listener(front.listen, AddressSharing::Exclusive)
                .map_err(StartError::resource(key))?,
            clock: self.clock,
            handler: protocol.handler,
            upstream: protocol.upstream,
            connections: protocol.connections,
            max_in_flight: protocol.max_in_flight,
            inbox: channels.inbox.clone(),
            observer: self.writer.map(|writer| Observer {
                names: Arc::clone(&channels.names),
                recorder: writer.recorder(),
                service: Arc::clone(self.service),
            }),
            admission: admission.map(|sizes| admission_settings(sizes, &front.site, quotas)),
            metrics,
            decisions: self.status.decisions(index),
            board: Arc::clone(&channels.board),
            handoff: HandoffHandleCell::default(),
        };
        let listening = Front::listen(parts)
            .map_err(|error| StartError::Configuration(format!("front.{index}.{error}").into()))?;
        Ok(StartedFront {
            name: Arc::clone(&front.name),
            front: listening,
            endpoint_list,
        })
    }

    /// Starts discovery for a front that uses it. Configured endpoints are sent to the core by
    /// [`watch_file`].
    fn start_endpoint_list(
        &self,
        index: usize,
        channels: &FrontChannels,
        seed: u64,
    ) -> Result<Option<SharedEndpointList>, StartError> {
        let front = &self.file.fronts[index];
        let EndpointSource::Discovery(address) = front.endpoints else {
            self.status.on_endpoint_list(index);
            return Ok(None);
        };
        let poller = DiscoveryPoller::new(PollerConfig {
            address: Arc::new(DiscoveryAddress::new(address)),
            agent: AgentLocation::Remote,
            site: front.site.clone(),
            clock: self.clock,
            events: channels.inbox.0.clone(),
            gateway_count: Arc::clone(&self.gateway_count),
            seed,
        });
        let (service, status) = (Arc::clone(self.service), Arc::clone(self.status));
        let (clock, list_index) = (self.clock, self.discovery_index(index));
        let poller = poller.on_confirmed(move || {
            status.on_endpoint_list(index);
            valehatch_net::lock(&service).list_confirmed(list_index, clock.now());
        });
        let endpoint_list = poller.store();
        let started = match recovery::restore_front(self.snapshot, &front.name).list {
            Some(list) => poller.resume(list.endpoints, list.version),
            None => poller.start(&serde_json::Value::Null),
        };
        started.map_err(StartError::resource(format!("front.{index}")))?;
        if has_endpoints(&endpoint_list) {
            self.status.on_endpoint_list(index);
        }
        Ok(Some(endpoint_list))
    }

    /// Index of a front among those that use discovery, in the order of [`recovery::service`].
    fn discovery_index(&self, index: usize) -> usize {
        let before = self.file.fronts[..index].iter();
        before
            .filter(|front| matches!(front.endpoints, EndpointSource::Discovery(_)))
            .count()
    }

    /// Starts the snapshot writer, if a state folder is configured.
    fn start_snapshots(
        &self,
        channels: &[FrontChannels],
        fronts: &[StartedFront],
        gossip: Option<&Arc<GossipTransport>>,
    ) -> Result<Option<SnapshotWriter>, StartError> {
        let recoverable = recoverable_fronts(self.file, channels, fronts);
        let service = Arc::clone(self.service);
        let writer =
            SnapshotWriter::start(self.file, recoverable, gossip.cloned(), service, self.clock)
                .map_err(StartError::resource("recovery"))?;
        if let (None, Some(gossip)) = (&writer, gossip) {
            // Without a state folder, service recovery is not tracked; the other gateways are told
            // that it is complete.
            gossip.set_service_phase(ServicePhase::Full);
        }
        Ok(writer)
    }

    /// Starts membership among the gateways, if the file configures it.
    fn start_gossip(
        &self,
        fronts: &[StartedFront],
        events: &[Sender<Event>],
    ) -> Result<Option<Arc<GossipTransport>>, StartError> {
        let Some(mut peers) = self.file.peers.clone() else {
            return Ok(None);
        };
        for address in recovery::remembered_gateways(self.snapshot) {
            if peers.allows(&address) {
                peers.seeds.push(address);
            }
        }
        let seed =
            getrandom::u64().map_err(StartError::resource("peers: cannot get a random seed"))?;
        let lists = fronts.iter().filter_map(|front| {
            Some(GossipedList {
                front: Arc::clone(&front.name),
                store: front.endpoint_list.clone()?,
            })
        });
        let gossip = GossipTransport::start(GossipConfig {
            peers,
            configured_gateways: self.file.gateways,
            seed,
            cores: events.to_vec(),
            gateway_count: Arc::clone(&self.gateway_count),
            lists: lists.collect(),
        });
        gossip.map(Some).map_err(StartError::configuration)
    }
}

/// Watches the file and applies the settings that can change at run time. Setting the returned flag
/// requests a reload.
fn watch_file(
    path: PathBuf,
    file: &OperatorConfig,
    channels: &[FrontChannels],
    agent: &Arc<Option<Agent>>,
) -> Result<Arc<AtomicBool>, StartError> {
    let reload_requested = Arc::new(AtomicBool::new(false));
    let configured = channels.iter().map(|front| ConfiguredEndpoints {
        front: Arc::clone(&front.names.front),
        events: front.inbox.0.clone(),
    });
    let cores: Vec<Sender<Event>> = channels.iter().map(|c| c.inbox.0.clone()).collect();
    let has_admission = file.admission.is_some();
    let agent = Arc::downgrade(agent);
    let on_change = move |file: OperatorConfig| {
        if has_admission {
            for core in &cores {
                let _ = core.send(Event::TenantQuotas(file.quota_shares.clone()));
            }
        }
        let Some(agent) = agent.upgrade() else { return };
        if let (Some(agent), Some(snmp)) = (&*agent, file.snmp) {
            agent.reload(snmp);
        }
    };
    configured::watch(
        path,
        file,
        configured.collect(),
        Arc::clone(&reload_requested),
        on_change,
    )
    .map_err(StartError::resource("file watch"))?;
    Ok(reload_requested)
}

fn recoverable_fronts(
    file: &OperatorConfig,
    channels: &[FrontChannels],
    fronts: &[StartedFront],
) -> Vec<RecoverableFront> {
    let fronts = file.fronts.iter().zip(channels).zip(fronts);
    let recoverable = fronts.map(|((front, channels), started)| RecoverableFront {
        name: front.name.to_string(),
        endpoint_list: started.endpoint_list.clone(),
        board: Arc::clone(&channels.board),
        settings: front.site.settings.clone(),
    });
    recoverable.collect()
}

/// Runs each front's core on its own thread until all have stopped.
fn run_until_stopped(fronts: Vec<StartedFront>) -> Result<(), StartError> {
    let mut cores: Vec<(Arc<str>, std::io::Result<JoinHandle<()>>)> = vec![];
    for StartedFront { name, front, .. } in fronts {
        let thread = thread::Builder::new().name("core".into());
        cores.push((name, thread.spawn(move || front.run())));
    }
    for (name, core) in cores {
        let core = core.map_err(StartError::resource(format!(
            "front {name}: cannot start its thread"
        )))?;
        if core.join().is_err() {
            error!(front = %name, "core thread panicked");
        }
    }
    Ok(())
}

/// Stops what outlives the cores. The order matters: the agent first sends its last notification,
/// then the writers write the last records.
fn finish(
    agent: Arc<Option<Agent>>,
    snapshots: Option<SnapshotWriter>,
    writer: Option<RecordWriter>,
) {
    // The file watcher holds a reference to the agent only during a reload.
    while Arc::strong_count(&agent) > 1 {
        thread::yield_now();
    }
    if let Some(agent) = Arc::into_inner(agent).flatten() {
        agent.shutdown();
    }
    if let Some(snapshots) = snapshots {
        snapshots.finish();
    }
    if let Some(writer) = writer {
        writer.finish();
    }
}

/// Starts the SNMP agent, if the file configures one.
fn start_agent(
    file: &OperatorConfig,
    channels: &[FrontChannels],
    writer: Option<&RecordWriter>,
    clock: Clock,
    started_at: Instant,
) -> Result<Option<Agent>, StartError> {
    let (Some(snmp), Some(writer)) = (&file.snmp, writer) else {
        return Ok(None);
    };
    let fronts = file.fronts.iter().zip(channels);
    let instrumentation = Instrumentation {
        name: Arc::clone(&file.name),
        version: env!("CARGO_PKG_VERSION"),
        clock,
        started_at,
        started_ms: unix_ms(),
        fronts: fronts
            .map(|(front, channels)| agent_front(front, channels))
            .collect(),
        counters: Arc::clone(&writer.published),
        dropped_records: Arc::clone(&writer.dropped),
        queued_records: writer.queue_length(),
    };
    let engine_boots = writer.published.load().status.boots;
    let agent = Agent::start(snmp.clone(), Arc::new(instrumentation), engine_boots);
    agent.map(Some).map_err(StartError::resource(format!(
        "snmp.listen: {}",
        snmp.listen
    )))
}

/// A front as shown by the agent. Tenants' rates are this gateway's shares of them.
fn agent_front(
    front: &operators::FrontSettings,
    channels: &FrontChannels,
) -> instrumentation::Front {
    let settings = &front.site.settings;
    let gateways = f64::from(settings.routers.max(1));
    let rates = settings.tenants.iter().map(|t| t.allowance / gateways);
    let names = &channels.names;
    instrumentation::Front {
        name: Arc::clone(&names.front),
        protocol: front.protocol.name(),
        listen: front.listen.to_string(),
        classes: names.classes.clone(),
        tenants: names.tenants.iter().cloned().zip(rates).collect(),
        core_snapshot: Arc::clone(&channels.board),
    }
}
