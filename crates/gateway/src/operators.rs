//! All fronts of an operators' file, each on a core of its own, with the ledger and the agent that they share.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use crossbeam_channel::{Receiver, Sender, bounded};
use tracing::{error, info};
use valehatch_config::operators::{self, Members, Operators, Protocol};
use valehatch_core::{Event, Observability};
use valehatch_net::clients::{AddressSharing, RequestHandler, bind_listener};
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_net::discovery::configured::ConfiguredEndpoints;
use valehatch_net::discovery::{
    AgentLocation, DiscoveryAddress, DiscoveryPoller, PollerConfig, configured,
};
use valehatch_net::gossip_transport::{GossipConfig, GossipTransport, GossipedList, ServicePhase};
use valehatch_net::upstream::{EndpointPools, Upstream};
use valehatch_net::{Clock, signals};
use valehatch_policy::Span;
use valehatch_request_log::OutcomeMetrics;
use valehatch_snmp::Agent;
use valehatch_snmp::world::{self, Board, World};
use valehatch_state::RecordWriter;

use crate::front::{Front, Parts, QUEUE, Watcher, connections, places};
use crate::management::Told;
use crate::recovery::{self, Keeper};

/// How often what a core believes is published to the agent.
const PUBLISH: Span = Span::from_millis(100);

/// What a front's records and the agent's rows are named by.
fn names(front: &operators::Front) -> Arc<Observability> {
    let all = |names: &[String]| names.iter().map(|n| Arc::from(n.as_str())).collect();
    Arc::new(Observability {
        front: Arc::clone(&front.name),
        classes: all(&front.site.classes),
        tenants: all(&front.site.tenants),
        publish: PUBLISH,
    })
}

/// A front as the agent shows it.
fn shown(
    front: &operators::Front,
    names: &Observability,
    board: Arc<ArcSwapOption<Board>>,
) -> world::Front {
    let routers = f64::from(front.site.settings.routers.max(1));
    let allowances = front
        .site
        .settings
        .tenants
        .iter()
        .map(|t| t.allowance / routers);
    world::Front {
        name: Arc::clone(&names.front),
        protocol: front.protocol.name(),
        listen: front.listen.to_string(),
        classes: names.classes.clone(),
        tenants: names.tenants.iter().cloned().zip(allowances).collect(),
        board,
    }
}

/// What speaks a front's protocol on both sides.
struct Speakers {
    clients: Arc<dyn RequestHandler>,
    servers: Box<dyn Upstream>,
    places: Arc<SharedConnectionLimiter>,
    /// Requests that connections to servers carry at once, where one carries many.
    streams: Option<usize>,
}

fn speakers(
    front: &operators::Front,
    clock: Clock,
    events: Sender<Event>,
    figures: Option<Arc<OutcomeMetrics>>,
) -> Result<Speakers, String> {
    let site = front.site.clone();
    let timeout = Duration::from_millis(site.connect_timeout_ms);
    let places = places(clock, front.sockets, front.protocol == Protocol::Postgresql);
    Ok(match front.protocol {
        Protocol::Postgresql => Speakers {
            clients: Arc::new(valehatch_pg::clients::Front { site, clock }),
            servers: Box::new(
                EndpointPools::new(
                    Arc::new(valehatch_pg::servers::Databases { clock }),
                    events,
                    clock,
                    timeout,
                    Arc::clone(&places),
                )
                .count_attempts(figures),
            ),
            places,
            streams: None,
        },
        Protocol::Cassandra => {
            let prepared = Arc::new(valehatch_cql::Prepared::default());
            let limits = &site.settings.limits;
            let (idle, streams) = (
                limits.idle_connection_timeout,
                Some(limits.max_open_requests.max(1)),
            );
            let most = connections(front.sockets);
            let known = Arc::clone(&prepared);
            let nodes = valehatch_cql::nodes::Nodes::new(
                known, events, clock, timeout, idle, most, figures,
            )?;
            let contracts = front.contracts.clone();
            let clients = Arc::new(valehatch_cql::clients::Front {
                site,
                contracts,
                prepared,
                clock,
            });
            Speakers {
                clients,
                servers: Box::new(nodes),
                places,
                streams,
            }
        }
    })
}

/// What a front is made of beside the file.
struct Made {
    inbox: (Sender<Event>, Receiver<Event>),
    names: Arc<Observability>,
    board: Arc<ArcSwapOption<Board>>,
}

pub(crate) fn serve(path: PathBuf) -> Result<(), String> {
    let signals = signals::catch().map_err(|e| format!("signals: {e}"))?;
    let read = Operators::load(&path).map_err(|e| e.to_string())?;
    valehatch_net::log::init(read.log);
    let (clock, began) = (Clock::start(), Instant::now());
    let made: Vec<Made> = read
        .fronts
        .iter()
        .map(|f| Made {
            inbox: bounded(QUEUE),
            names: names(f),
            board: Arc::default(),
        })
        .collect();
    let mgmt = Told::new(read.fronts.iter().map(|f| (Arc::clone(&f.name), &f.site)));
    if let Some(listen) = read.mgmt {
        mgmt.serve(listen)
            .map_err(|e| format!("mgmt.listen: {e}"))?;
    }
    let watched = read.snmp.is_some() || read.state.is_some();
    let writer = if watched {
        let started = valehatch_state::start(read.state.as_ref());
        Some(started.map_err(|e| format!("state.dir: {e}"))?)
    } else {
        None
    };
    let kept = read
        .state
        .as_ref()
        .and_then(|state| recovery::read(&state.dir, &read.name));
    let service = recovery::service(&read, clock);
    let agent = agent(&read, &made, writer.as_ref(), clock, began)?;
    let fleet = Arc::new(AtomicU32::new(read.routers));
    let mut fronts = vec![];
    let mut asking = 0;
    let mut takers = vec![None; made.len()];
    for (n, (front, made)) in read.fronts.iter().zip(&made).enumerate() {
        let watcher = writer.as_ref().map(|w| Watcher {
            names: Arc::clone(&made.names),
            recorder: w.recorder(),
            service: Arc::clone(&service),
        });
        let figures = read.mgmt.map(|_| mgmt.figures(n));
        let speakers = speakers(front, clock, made.inbox.0.clone(), figures.clone());
        let speakers = speakers.map_err(|e| format!("front.{n}: {e}"))?;
        let seed = clock.now().0.unsigned_abs() ^ u64::from(std::process::id()) << 32 ^ n as u64;
        if let Members::Fixed(_) = front.members {
            mgmt.listed(n);
        }
        if let Members::Discovery(address) = front.members {
            let poller = DiscoveryPoller::new(PollerConfig {
                address: Arc::new(DiscoveryAddress::new(address)),
                agent: AgentLocation::Remote,
                site: front.site.clone(),
                clock,
                events: made.inbox.0.clone(),
                gateway_count: Arc::clone(&fleet),
                seed,
            });
            let (service, asks, tells) = (Arc::clone(&service), asking, Arc::clone(&mgmt));
            asking += 1;
            let confirmed = move || {
                tells.listed(n);
                valehatch_net::lock(&service).confirmed(asks, clock.now());
            };
            let taker = poller.store();
            let poller = poller.on_confirmed(confirmed);
            let started = match recovery::restored(kept.as_ref(), &front.name).list {
                Some((listed, told)) => poller.resume(listed, told),
                None => poller.start(&serde_json::Value::Null),
            };
            started.map_err(|e| format!("front.{n}: {e}"))?;
            if valehatch_net::lock(&taker)
                .cache()
                .members()
                .next()
                .is_some()
            {
                mgmt.listed(n);
            }
            takers[n] = Some(taker);
        }
        let parts = Parts {
            site: front.site.clone(),
            sockets: front.sockets,
            memory_mb: front.memory_mb,
            seed,
            listener: bind_listener(front.listen, AddressSharing::Exclusive)
                .map_err(|e| format!("front.{n}.listen: {}: {e}", front.listen))?,
            clock,
            front: speakers.clients,
            upstream: speakers.servers,
            places: speakers.places,
            streams: speakers.streams,
            inbox: made.inbox.clone(),
            watcher,
            figures,
            decisions: mgmt.decisions(n),
            board: Arc::clone(&made.board),
            door: read
                .door
                .map(|door| crate::front::door(door, &front.site, read.shares.clone())),
        };
        fronts.push((
            Arc::clone(&front.name),
            Front::listen(parts).map_err(|e| format!("front.{n}.{e}"))?,
        ));
    }
    mgmt.listens();
    let events: Vec<Sender<Event>> = made.iter().map(|m| m.inbox.0.clone()).collect();
    let again = Arc::new(AtomicBool::new(false));
    let named = made.iter().map(|m| ConfiguredEndpoints {
        front: Arc::clone(&m.names.front),
        events: m.inbox.0.clone(),
    });
    let agent = Arc::new(agent);
    let told = Arc::downgrade(&agent);
    let doors: Vec<Sender<Event>> = made.iter().map(|m| m.inbox.0.clone()).collect();
    let with_door = read.door.is_some();
    let reread = move |read: Operators| {
        if with_door {
            doors
                .iter()
                .for_each(|core| drop(core.send(Event::TenantQuotas(read.shares.clone()))));
        }
        if let (Some(agent), Some(snmp)) = (told.upgrade(), read.snmp) {
            agent.iter().for_each(|agent| agent.reread(snmp.clone()));
        }
    };
    configured::watch(path, &read, named.collect(), Arc::clone(&again), reread)
        .map_err(|e| format!("members: {e}"))?;
    let reload = move || again.store(true, Ordering::Relaxed);
    let link = match read.peers.clone() {
        Some(mut peers) => {
            let known = recovery::fleet(kept.as_ref())
                .into_iter()
                .filter(|a| peers.allows(a));
            let known: Vec<_> = known.collect();
            peers.seeds.extend(known);
            let seed = getrandom::u64().map_err(|e| format!("peers: no random number: {e}"))?;
            let lists = fronts.iter().zip(&takers);
            let lists = lists.filter_map(|((name, _), taker)| {
                Some(GossipedList {
                    front: Arc::clone(name),
                    store: taker.clone()?,
                })
            });
            let transport = GossipTransport::start(GossipConfig {
                peers,
                configured_gateways: read.routers,
                seed,
                cores: events.clone(),
                gateway_count: fleet,
                lists: lists.collect(),
            });
            Some(transport.map_err(|e| e.to_string())?)
        }
        None => None,
    };
    let keeps = made
        .iter()
        .zip(&takers)
        .map(|(m, taker)| (taker.clone(), Arc::clone(&m.board)))
        .collect();
    let keeper = Keeper::start(&read, keeps, link.clone(), service, clock);
    let keeper = keeper.map_err(|e| format!("recovery: {e}"))?;
    if keeper.is_none() {
        // Nothing tells how service is: there is no state folder.
        link.iter()
            .for_each(|link| link.set_service_phase(ServicePhase::Full));
    }
    drop(made);
    let leave = move || {
        mgmt.stops();
        link.iter().for_each(|link| link.leave());
    };
    signals::watch(signals, events, reload, leave).map_err(|e| format!("signals: {e}"))?;
    info!("{}: serves {} front(s)", read.name, fronts.len());
    let cores: Vec<_> = fronts
        .into_iter()
        .map(|(name, front)| {
            (
                name,
                thread::Builder::new()
                    .name("core".into())
                    .spawn(move || front.run()),
            )
        })
        .collect();
    for (name, core) in cores {
        match core {
            Ok(core) => {
                if core.join().is_err() {
                    error!("front {name}: its core ended before its time");
                }
            }
            Err(e) => return Err(format!("front {name}: no thread: {e}")),
        }
    }
    // The agent tells of the stop; the ledger writes what was recorded last.
    while Arc::strong_count(&agent) > 1 {
        thread::yield_now();
    }
    Arc::into_inner(agent)
        .flatten()
        .into_iter()
        .for_each(Agent::finish);
    keeper.into_iter().for_each(Keeper::finish);
    writer.into_iter().for_each(RecordWriter::finish);
    Ok(())
}

fn agent(
    read: &Operators,
    made: &[Made],
    writer: Option<&RecordWriter>,
    clock: Clock,
    began: Instant,
) -> Result<Option<Agent>, String> {
    let (Some(snmp), Some(writer)) = (&read.snmp, writer) else {
        return Ok(None);
    };
    let started = SystemTime::now().duration_since(UNIX_EPOCH);
    let world = World {
        name: Arc::clone(&read.name),
        version: env!("CARGO_PKG_VERSION"),
        clock,
        began,
        started_ms: started.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0)),
        fronts: read
            .fronts
            .iter()
            .zip(made)
            .map(|(f, m)| shown(f, &m.names, Arc::clone(&m.board)))
            .collect(),
        shown: Arc::clone(&writer.shown),
        dropped: Arc::clone(&writer.dropped),
        waiting: writer.waiting(),
    };
    let boots = writer.shown.load().status.boots;
    let agent = Agent::start(snmp.clone(), Arc::new(world), boots);
    agent
        .map(Some)
        .map_err(|e| format!("snmp.listen: {}: {e}", snmp.listen))
}
