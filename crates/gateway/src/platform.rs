//! The platform's front, told by the platform's JSON.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use crossbeam_channel::bounded;
use tracing::{info, warn};
use valehatch_config::PlatformConfig;
use valehatch_config::operators::{AdmissionSettings, LogLevel, LogSettings};
use valehatch_hot_restart::ProcessLimits;
use valehatch_net::connection_limits::SharedConnectionLimiter;
use valehatch_net::hot_restart::HandoffHandle;
use valehatch_net::servers::EndpointPools;
use valehatch_net::{Clock, list, signals};
use valehatch_snmp::world::Board;

use crate::front::{Front, Parts, QUEUE, platform_limits};
use crate::management::Told;
use crate::recovery::Kept;
use crate::upgrade::{FRONT, Shares};

/// Where operators call: the environment's word goes before the file's.
fn management(file: Option<SocketAddr>) -> Result<Option<SocketAddr>, String> {
    match std::env::var("BALANCER_MGMT") {
        Ok(text) if !text.is_empty() => {
            let wrong = |_| format!("BALANCER_MGMT is {text:?}, not an address with a port");
            text.parse().map(Some).map_err(wrong)
        }
        _ => Ok(file),
    }
}

/// How much is logged: the environment's word, or what is usual.
fn level() -> Result<LogLevel, String> {
    match std::env::var("VALEHATCH_LOG").as_deref() {
        Err(_) | Ok("" | "info") => Ok(LogLevel::Info),
        Ok("debug") => Ok(LogLevel::Debug),
        Ok("warn") => Ok(LogLevel::Warn),
        Ok("error") => Ok(LogLevel::Error),
        Ok(other) => Err(format!(
            "VALEHATCH_LOG is {other:?}, not error, warn, info or debug"
        )),
    }
}

fn load(path: &str) -> Result<PlatformConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("config: {path}: {e}"))?;
    PlatformConfig::parse(&text).map_err(|e| e.to_string())
}

/// The door's sizes on the platform, within its memory.
const DOOR: AdmissionSettings = AdmissionSettings {
    max_waiting: 4_000,
    client_buckets: 1024,
    max_active_groups: 64,
};

pub(crate) fn serve(door: bool) -> Result<(), String> {
    let signals = signals::catch().map_err(|e| format!("signals: {e}"))?;
    let path =
        std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG names no configuration")?;
    let PlatformConfig {
        name,
        listen,
        discovery,
        management: mgmt,
        seed,
        sockets,
        memory_mb,
        cached_endpoints: known,
        site,
    } = load(&path)?;
    let mgmt = management(mgmt)?;
    if mgmt.is_some() {
        site.validate_metric_names().map_err(|e| e.to_string())?;
    }
    valehatch_net::log::init(LogSettings {
        level: level()?,
        ..LogSettings::default()
    });
    let (clock, inbox) = (Clock::start(), bounded(QUEUE));
    let place = Arc::new(list::Place::new(discovery));
    let fleet = Arc::new(AtomicU32::new(site.settings.routers));
    let told = Told::new([(Arc::from(name.as_str()), &site)]);
    if let Some(listen) = mgmt {
        told.serve(listen).map_err(|e| format!("mgmt: {e}"))?;
    }
    let watch = list::Watch::new(
        Arc::clone(&place),
        true,
        site.clone(),
        clock,
        inbox.0.clone(),
        fleet,
        seed,
    );
    let taker = watch.taker();
    let confirms = Arc::clone(&told);
    let both: Arc<OnceLock<HandoffHandle>> = Arc::default();
    let other = Arc::clone(&both);
    let watch = watch
        .telling(move || confirms.listed(0))
        .passing(move |book| {
            other
                .get()
                .into_iter()
                .for_each(|upgrade| upgrade.pass(book.encode()))
        });
    let meets = crate::upgrade::path(listen);
    let begin = crate::upgrade::begin(meets.as_ref(), &name, listen)?;
    let restored = crate::recovery::restored(begin.known.as_ref(), FRONT);
    let started = match restored.list {
        Some((listed, told)) => watch.resume(listed, told),
        None => watch.start(&known),
    };
    started.map_err(|e| format!("list: {e}"))?;
    if valehatch_net::lock(&taker)
        .held()
        .0
        .members()
        .next()
        .is_some()
    {
        told.listed(0);
    }
    // Discovery may move under way; all else is read at the start. Where it is now.
    let read = Arc::new(move |what: &str| match load(&path) {
        Ok(new) => {
            info!("config: {what}, discovery is at {}", new.discovery);
            place.set(new.discovery);
            Some(new.discovery)
        }
        Err(e) => {
            warn!("{e}; what was read before goes on to hold");
            None
        }
    });
    let reads = Arc::clone(&read);
    let look: Arc<dyn Fn() + Send + Sync> = Arc::new(move || {
        let _ = reads("looked at with the other process");
    });
    let (holds, other) = (Arc::clone(&taker), Arc::clone(&both));
    let reload = move || {
        let (Some(at), Some(upgrade)) = (read("read again"), other.get()) else {
            return;
        };
        // The other process is told at once, by what is held under the new address: this one may end before that answers.
        let mut book = valehatch_net::lock(&holds).held().0.clone();
        book.told = Some((at, 0));
        upgrade.pass(book.encode());
    };
    let (events, terminate, board) = (
        inbox.0.clone(),
        inbox.0.clone(),
        Arc::<ArcSwapOption<Board>>::default(),
    );
    let (settings, routers) = (site.settings.clone(), site.settings.routers);
    info!("{name}: serves the platform");
    let front = Arc::new(valehatch_pg::clients::Front {
        site: site.clone(),
        clock,
    });
    let timeout = Duration::from_millis(site.connect_timeout_ms);
    let databases = Arc::new(valehatch_pg::servers::Databases { clock });
    let places = SharedConnectionLimiter::new(clock, platform_limits(sockets));
    let upstream = EndpointPools::new(
        databases,
        inbox.0.clone(),
        clock,
        timeout,
        Arc::clone(&places),
    );
    let figures = mgmt.map(|_| told.outcome_metrics(0));
    let verifies = site.settings.stale_read_policy == valehatch_policy::StaleReadPolicy::Serve;
    let upstream = Box::new(upstream.counting(figures.clone()).verifying(verifies));
    // What a budget allows is its weight: the platform tells no shares.
    let shares = site
        .settings
        .tenants
        .iter()
        .map(|t| t.allowance)
        .collect::<Vec<_>>();
    let all: f64 = shares.iter().sum::<f64>().max(1e-9);
    let shares = shares.into_iter().map(|s| s / all).collect();
    let door = door.then(|| crate::front::door(DOOR, &site, shares));
    let parts = Parts {
        site,
        sockets,
        memory_mb,
        seed,
        listener: begin
            .split()
            .map_err(|e| format!("listen: {listen}: {e}"))?,
        board: Arc::clone(&board),
        clock,
        front,
        upstream,
        places: Arc::clone(&places),
        streams: None,
        inbox,
        watcher: None,
        door,
        figures,
        decisions: told.decisions(0),
    };
    let front = Front::listen(parts)?;
    let clients = front.clients();
    let kept = Kept {
        name: FRONT.to_owned(),
        taker: Some(Arc::clone(&taker)),
        board,
        settings,
    };
    let whole = ProcessLimits {
        descriptors: sockets,
        bytes: memory_mb * 1024 * 1024,
    };
    let second = begin.is_second();
    let shares = Shares {
        gateway: name,
        whole,
        routers,
        events,
        clients,
        places,
        kept,
        clock,
        look: Arc::clone(&look),
    };
    let stops = begin.serves(meets, shares);
    if let Some(upgrade) = stops.clone() {
        let _ = both.set(upgrade.clone());
        // What discovery told this one before there was a line to pass it on: the other one may hear it seconds later.
        let book = valehatch_net::lock(&taker).held().0.encode();
        upgrade.pass(book);
    }
    // Only now: whoever was told yes may start the next process at once, and that has to find this one.
    told.listens();
    // The one before may have been told to read the configuration again since this one read it.
    if second {
        look();
    }
    let ending = Arc::clone(&told);
    let leaves = move || {
        ending.stops();
        stops.iter().for_each(HandoffHandle::stop);
    };
    signals::watch(signals, vec![terminate], reload, leaves)
        .map_err(|e| format!("signals: {e}"))?;
    front.run();
    Ok(())
}
