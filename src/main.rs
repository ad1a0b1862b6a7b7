#![forbid(unsafe_code)]
//! The gateway: wires configuration, core, fronts and servers together.

mod core;
mod log;
mod net;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::bounded;
use valehatch::Span;
use valehatch::config::Gateway;

use crate::core::{Clock, Effect, Facts, Figures, State};
use crate::net::clients::Clients;
use crate::net::servers::Servers;

/// Events that may wait for the core; who brings more waits.
const QUEUE: usize = 8192;
/// Descriptors kept for everything but connections of clients and servers.
const SPARE: usize = 64;

fn platform(path: &str) -> Result<(), String> {
    let source = std::fs::read_to_string(path).map_err(|e| format!("config: {path}: {e}"))?;
    let config = Gateway::parse(&source)?;
    let clock = Clock::new();
    let (events, inbox) = bounded(QUEUE);
    let site = config.site;
    let budget = config.sockets - SPARE.min(config.sockets / 2);
    let timeout = Duration::from_millis(site.connect_timeout_ms);
    let facts = Facts {
        settings: site.settings.clone(),
        server_conns: budget / 2,
        probe_timeout: Span::from_millis(i64::try_from(site.connect_timeout_ms).unwrap_or(250)),
    };
    let figures = Arc::new(Figures::new(site.classes.len(), site.tenants.len()));
    let mut state = State::new(facts, config.seed, figures).map_err(|e| e.to_string())?;

    net::signals::watch(events.clone()).map_err(|e| format!("signals: {e}"))?;
    let watch = net::list::Watch::new(config.discovery, site.clone(), clock, events.clone());
    watch.start(&config.known).map_err(|e| format!("list: {e}"))?;
    let databases = net::pg_servers::Databases { clock };
    let mut servers = Servers::new(Arc::new(databases), events.clone(), clock, timeout);
    let front = net::pg_clients::Front { site, clock };
    let clients = Clients::new(Arc::new(front), events, budget / 2);
    let bound = clients.listen(config.listen).map_err(|e| format!("listen {}: {e}", config.listen))?;
    log!("{} serves on {bound}", config.name);

    core::run(&mut state, clock, &inbox, |effect| {
        match effect {
            Effect::Connect { conn, address } => servers.connect(conn, &address),
            Effect::Submit { conn, job } => servers.submit(conn, job),
            Effect::Close(conn) => servers.close(conn),
            Effect::Answer { client, ticket, answer } => clients.answer(client, ticket, answer),
            Effect::CloseClient(client) => clients.close(client),
            Effect::StopListening => clients.stop(bound),
            Effect::Exit => return false,
        }
        true
    });
    Ok(())
}

fn main() -> ExitCode {
    let outcome = match std::env::var("BALANCER_CONFIG") {
        Ok(path) => platform(&path),
        Err(_) => Err("BALANCER_CONFIG names no configuration".into()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("valehatch: {text}");
            ExitCode::from(2)
        }
    }
}
