//! One front: its core on its loop, and what the core asks for carried out.

use std::net::TcpListener;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use crossbeam_channel::{Receiver, Sender};
use tracing::{debug, error, info, warn};
use valehatch_config::Site;
use valehatch_config::operators::AdmissionSettings;
use valehatch_connection_limits::ANSWER_SETTLE_TIME;
use valehatch_core::permission::Decisions;
use valehatch_core::{CoreConfig, Effect, Event, LogEvent, Observability, State};
use valehatch_net::Clock;
use valehatch_net::clients::{Clients, Limits, RequestHandler};
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_net::servers::Upstream;
use valehatch_policy::{Consistency, Span};
use valehatch_request_log::OutcomeMetrics;
use valehatch_snmp::world::Board;
use valehatch_state::Recorder;

/// Events that may wait for the core; who brings more waits.
pub(crate) const QUEUE: usize = 8192;
/// Descriptors kept for everything but connections of clients and servers.
pub(crate) const SPARE: usize = 32;
/// The part of the memory that requests which are open may take: one in so many.
const OPEN_PART: usize = 8;

/// Bytes of open requests, of the memory.
pub(crate) const fn bytes(memory: usize) -> usize {
    memory / OPEN_PART
}

/// The part of those that clients and servers may take at need: one in so many.
const EXTRA: usize = 4;

const fn spare(sockets: usize) -> usize {
    if SPARE < sockets / 4 {
        SPARE
    } else {
        sockets / 4
    }
}

/// Of the descriptors, those for connections to servers at the most.
pub(crate) const fn connections(sockets: usize) -> usize {
    (sockets - spare(sockets)) / 2
}

/// The descriptors for connections from clients and to servers, as they need them; `shared` is unset where those to servers
/// are counted elsewhere and have their half.
pub(crate) fn places(clock: Clock, sockets: usize, shared: bool) -> Arc<SharedConnectionLimiter> {
    SharedConnectionLimiter::new(clock, place_limits(sockets, shared))
}

/// The part of the descriptors that clients of the platform hold at the most to ask on: one in so many.
const ASKING: usize = 3;

/// Of so many descriptors of the platform's.
pub(crate) fn platform_limits(sockets: usize) -> valehatch_connection_limits::Limits {
    valehatch_connection_limits::Limits {
        asking: sockets / ASKING,
        ..place_limits(sockets, true)
    }
}

/// Of so many descriptors.
fn place_limits(sockets: usize, shared: bool) -> valehatch_connection_limits::Limits {
    let (members, extra) = (connections(sockets), spare(sockets) / EXTRA);
    let most = if shared {
        sockets - spare(sockets)
    } else {
        members
    };
    let members = if shared { members } else { 0 };
    // Cassandra's protocol has no last word: what is ended there must have rested for longer.
    let settles = if shared {
        ANSWER_SETTLE_TIME
    } else {
        Span::from_millis(2_000)
    };
    valehatch_connection_limits::Limits {
        most,
        extra,
        members,
        asking: usize::MAX,
        settles,
    }
}

/// Who watches a front: the names that its records carry, the ledger, and where beliefs are published.
pub(crate) struct Watcher {
    pub names: Arc<Observability>,
    pub recorder: Recorder,
    pub service: crate::recovery::Shared,
}

/// A door for a front, with the tenants' shares.
pub(crate) fn door(
    door: AdmissionSettings,
    site: &Site,
    shares: Vec<f64>,
) -> valehatch_admission::Settings {
    let class = |c: &valehatch_policy::RequestClass| valehatch_admission::Class {
        worth: c.priority_weight,
        aim: c.latency_objective,
        late_counts: c.consistency == Consistency::Write && c.late_priority_weight > 0.0,
        write: c.consistency == Consistency::Write,
    };
    valehatch_admission::Settings {
        shares,
        classes: site.settings.classes.iter().map(class).collect(),
        most: door.max_waiting.min(site.settings.limits.max_open_requests),
        buckets: door.client_buckets,
        max_hint: site.settings.limits.max_retry_after,
        lanes: door.max_active_groups,
    }
}

/// What one front needs to serve.
pub(crate) struct Parts {
    pub site: Site,
    pub sockets: usize,
    pub memory_mb: usize,
    pub seed: u64,
    pub listener: TcpListener,
    pub clock: Clock,
    pub front: Arc<dyn RequestHandler>,
    pub upstream: Box<dyn Upstream>,
    pub places: Arc<SharedConnectionLimiter>,
    /// Requests that connections to servers may carry at once, where that is not one for each descriptor.
    pub streams: Option<usize>,
    pub inbox: (Sender<Event>, Receiver<Event>),
    pub watcher: Option<Watcher>,
    pub door: Option<valehatch_admission::Settings>,
    /// What operators read, if anybody does.
    pub figures: Option<Arc<OutcomeMetrics>>,
    /// What is denied, and why.
    pub decisions: Arc<Decisions>,
    /// Where what is believed is published.
    pub board: Arc<ArcSwapOption<Board>>,
}

/// A front that listens.
pub(crate) struct Front {
    state: State,
    servers: Box<dyn Upstream>,
    clients: Arc<Clients>,
    inbox: Receiver<Event>,
    clock: Clock,
    watcher: Option<Watcher>,
    board: Arc<ArcSwapOption<Board>>,
}

impl Front {
    /// Makes the core and listens.
    pub(crate) fn listen(parts: Parts) -> Result<Self, String> {
        let Parts {
            site,
            sockets,
            memory_mb,
            seed,
            listener,
            clock,
            front,
            inbox,
            watcher,
            door,
            ..
        } = parts;
        let Parts {
            figures,
            board,
            decisions,
            ..
        } = parts;
        let Parts {
            upstream,
            streams,
            places,
            ..
        } = parts;
        let (events, inbox) = inbox;
        let facts = CoreConfig {
            settings: site.settings,
            decisions,
            traced: tracing::enabled!(tracing::Level::DEBUG),
            door,
            figures: figures.clone(),
            watched: watcher.as_ref().map(|w| Arc::clone(&w.names)),
            upstream_connection_limit: streams.unwrap_or(connections(sockets)),
            probe_timeout: Span::from_millis(i64::try_from(site.connect_timeout_ms).unwrap_or(250)),
        };
        let state = State::new(facts, seed).map_err(|e| e.to_string())?;
        let watched = watcher.is_some() || figures.is_some();
        let limits = Limits {
            bytes: bytes(memory_mb * 1024 * 1024),
            watched,
        };
        let listens = Clients::new(front, events, clock, places, limits)
            .and_then(|clients| clients.listen(listener).map(|bound| (clients, bound)));
        let (clients, bound) = listens.map_err(|e| format!("listen: {e}"))?;
        info!("listens on {bound}");
        Ok(Self {
            state,
            servers: upstream,
            clients,
            inbox,
            clock,
            watcher,
            board,
        })
    }

    /// Its clients, which are beside its loop.
    pub(crate) fn clients(&self) -> Arc<Clients> {
        Arc::clone(&self.clients)
    }

    /// Serves until it has stopped.
    pub(crate) fn run(self) {
        let Self {
            mut state,
            mut servers,
            clients,
            inbox,
            clock,
            mut watcher,
            board,
        } = self;
        valehatch_net::run(&mut state, clock, &inbox, |effect| {
            let Some(effect) = effect else {
                servers.flush();
                return true;
            };
            match effect {
                Effect::Connect {
                    connection,
                    address,
                } => servers.connect(connection, &address),
                Effect::Submit { connection, job } => servers.submit(connection, job),
                Effect::CloseUpstream(connection) => servers.close(connection),
                Effect::ForwardBody {
                    connection,
                    client,
                    ticket,
                } => servers.pass(connection, clients.passage(client, ticket)),
                Effect::Answer {
                    client,
                    ticket,
                    answer,
                } => clients.answer(client, ticket, answer),
                Effect::CloseClient(client) => clients.close(client),
                Effect::CloseIdleClients => clients.close_all(),
                Effect::StopListening => clients.stop(false),
                Effect::Log(LogEvent::InvalidQuotas(what)) => {
                    warn!("door: shares stay as they were: {what}")
                }
                Effect::Log(LogEvent::UpstreamConnectionsExhausted(n)) => {
                    warn!("all {n} connections to servers are in use")
                }
                Effect::Log(LogEvent::InvariantViolated {
                    why,
                    request,
                    endpoint,
                }) => {
                    error!(%request, %endpoint, "invariant violated: {}; it was not sent", why.name());
                }
                Effect::Log(LogEvent::RequestStep { request, what }) => {
                    debug!(%request, "{what:?}")
                }
                Effect::RecordOutcome(record) => {
                    if let Some(watcher) = &mut watcher {
                        crate::recovery::answered(&watcher.service, clock, &record.outcome);
                        watcher.recorder.record(record.clone());
                    }
                }
                Effect::PublishView(live) => {
                    if let Some(watcher) = &mut watcher {
                        watcher.recorder.send_unlogged();
                    }
                    board.store(Some(Arc::new(Board {
                        live: *live,
                        queue: inbox.len(),
                    })));
                }
                Effect::Exit => return !clients.may_exit(),
            }
            true
        });
    }
}
