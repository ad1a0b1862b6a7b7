//! Fault soak: real gateway processes on loopback between misbehaving stub endpoints, stub
//! discovery agents and clients, under schedules of faults that overlap in time. Invariants are
//! checked against what the stubs and clients observed, by the clock of the test harness.
//!
//! | module | contents |
//! | --- | --- |
//! | [`schedule`] | fault schedules: generation, TOML form, shrinking, coverage of overlaps |
//! | [`oracle`] | the invariant checker |
//! | [`world`] | state shared by all stubs |
//! | [`endpoints`], [`agents`], [`clients`] | stub endpoints, stub agents, simulated clients |
//! | [`processes`] | the gateway processes |
//! | [`inject`] | starts and ends each fault |

pub mod agents;
pub mod clients;
pub mod command;
pub mod endpoints;
pub mod inject;
pub mod oracle;
pub mod processes;
pub mod schedule;
pub mod world;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::{Builder, sleep};
use std::time::Duration;

use serde::Serialize;

use agents::AgentPath;
use inject::Injector;
use oracle::{Invariant, Violation};
use processes::{CommonConfig, Gateway, MAX_DESCRIPTORS, MAX_MEMORY_MB, ProcessExits};
use schedule::Schedule;
use world::{GROUP_SIZE, World};

const STACK_BYTES: usize = 256 * 1024;
/// Interval at which the injector advances and the resource limits are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the end of the last fault to the end of the load: the longest deadline with a margin.
const SETTLE_TIME: Duration = Duration::from_millis(4_500);
const CLIENTS_PER_GATEWAY: usize = 2;

/// Setup of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Gateway executable.
    pub program: PathBuf,
    /// Fault-injection library that is preloaded into each gateway.
    pub library: PathBuf,
    /// Parent of the folders of the runs.
    pub folder: PathBuf,
    pub gateways: usize,
    pub groups: usize,
    /// Capacity of each endpoint, in requests per second.
    pub capacity: f64,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    pub violations: Vec<Violation>,
    pub attempts: u64,
    pub answers: u64,
    /// Load average of the machine at the end of the run.
    pub load: f64,
    /// Folder with the logs and the schedule of the run.
    pub folder: PathBuf,
}

/// A loopback address unique to this run, with a port outside the ephemeral range.
fn gateway_address(n: usize) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, run) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let ip = [
        127,
        220 + (process % 30) as u8,
        (run / 250 % 250) as u8,
        (1 + run % 250) as u8,
    ];
    SocketAddr::from((ip, (20_000 + process / 30 % 9_000) as u16 + (n % 2) as u16))
}

/// Runs a schedule against real gateway processes.
///
/// # Errors
/// The run could not be set up.
pub fn play(plan: &Plan, seed: u64, schedule: &Schedule) -> Result<Report, String> {
    let named = |e: std::io::Error| format!("soak, seed {seed}: {e}");
    let folder =
        processes::create_empty_folder(&plan.folder.join(format!("seed-{seed}"))).map_err(named)?;
    std::fs::write(
        folder.join("schedule.toml"),
        toml::to_string(schedule).unwrap_or_default(),
    )
    .map_err(named)?;
    let world = Arc::new(World::new(plan.groups, plan.capacity));
    let process_exits = Arc::new(ProcessExits::default());
    let common = CommonConfig {
        program: plan.program.clone(),
        library: plan.library.clone(),
        folder: folder.clone(),
        gateways: plan.gateways,
        allowance: plan.capacity * (plan.groups * GROUP_SIZE) as f64,
    };
    let (mut gateways, mut paths) = (vec![], vec![]);
    for n in 0..plan.gateways {
        let endpoints =
            (0..world.endpoints.len()).map(|endpoint| endpoints::start(&world, endpoint, n));
        let endpoints: Vec<SocketAddr> = endpoints.collect::<Result<_, _>>().map_err(named)?;
        let path = Arc::new(AgentPath::default());
        let first = agents::start(&world, &path, &endpoints).map_err(named)?;
        let second = agents::start(&world, &path, &endpoints).map_err(named)?;
        let known = world.discovery_list(&endpoints);
        let mut gateway =
            Gateway::new(&common, n, gateway_address(n), [first, second], &known).map_err(named)?;
        gateway.start().map_err(named)?;
        gateways.push(gateway);
        paths.push(path);
    }
    for (n, gateway) in gateways.iter().enumerate() {
        if !gateway.is_ready() {
            world.oracle().record_violation(
                Invariant::NotInTime,
                world.now(),
                format!("gateway {n} was not ready"),
            );
        }
    }
    let mut clients = vec![];
    for (n, gateway) in gateways.iter().enumerate() {
        for client in 0..CLIENTS_PER_GATEWAY {
            let seed = seed.wrapping_mul(1_000) + (n * CLIENTS_PER_GATEWAY + client) as u64;
            let client = clients::Client::new(&world, n, gateway.address, &process_exits, seed);
            clients.push(
                Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn(move || client.run())
                    .map_err(named)?,
            );
        }
    }
    let mut injector = Injector::new(Arc::clone(&world), process_exits, gateways, paths);
    let began = world.now();
    let end = Duration::from_millis(schedule.ends_ms()) + SETTLE_TIME;
    while world.now() - began < end {
        injector.step(world.now() - began, schedule);
        check_limits(&world, &injector);
        sleep(POLL_INTERVAL);
    }
    injector.finish();
    world.over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let now = world.now();
    let mut oracle = world.oracle();
    oracle.finish(now);
    for (n, gateway) in injector.gateways.iter().enumerate() {
        for line in gateway.faults_in_log() {
            oracle.record_violation(Invariant::Crash, now, format!("gateway {n}: {line}"));
        }
    }
    let (attempts, answers) = (oracle.attempts, oracle.answers);
    let violations = std::mem::take(&mut oracle.violations);
    drop(oracle);
    let load = std::fs::read_to_string("/proc/loadavg").ok();
    let load = load
        .and_then(|text| text.split(' ').next()?.parse().ok())
        .unwrap_or(0.0);
    Ok(Report {
        seed,
        violations,
        attempts,
        answers,
        load,
        folder,
    })
}

fn check_limits(world: &World, injector: &Injector) {
    for (n, gateway) in injector.gateways.iter().enumerate() {
        let Some((descriptors, megabytes)) = gateway.usage() else {
            continue;
        };
        if descriptors > MAX_DESCRIPTORS || megabytes > MAX_MEMORY_MB {
            let what = format!("gateway {n} has {descriptors} descriptors and {megabytes} MB");
            world
                .oracle()
                .record_violation(Invariant::OverLimit, world.now(), what);
        }
    }
}
