//! Writes, syncs and renames in the state folder fail for a while, and a kill interrupts a write: a
//! counter that was once shown must never decrease.

mod support;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use support::manager::*;
use support::monitored::{GatewayConfig, database_members, load_pg, sleep_for};
use support::*;
use valehatch_fault_control::{CONTROL_FILE_VARIABLE, FaultControl, Switch};

const ROUNDS: usize = 16;
/// Failures per thousand calls during a fault period.
const FAILURE_RATE: i64 = 400;
const DISK_SWITCHES: [Switch; 3] = [
    Switch::FileWriteFails,
    Switch::SyncFails,
    Switch::RenameFails,
];
/// Length of a period in which disk calls fail.
const FAULT_PERIOD: Duration = Duration::from_millis(120);
/// Length of the period without faults after it.
const FAULT_FREE_PERIOD: Duration = Duration::from_millis(60);

#[test]
fn disk_fails_and_gateway_is_killed_counters_never_decrease() {
    let (pg, cql, agent, folder) = (
        free_address(),
        free_address(),
        free_address(),
        temp_folder(),
    );
    let state = "sync-ms = 5\ncheckpoint-ms = 20\nsegment-kb = 16\nsegments = 10000".to_owned();
    let config = GatewayConfig {
        pg: database_members(),
        cql: vec![],
        state,
        more: String::new(),
        user: false,
    };
    let file = folder.join("gateway.toml");
    std::fs::write(&file, config.to_toml(pg, cql, agent, &folder.join("state"))).unwrap();
    let control = FaultControl::create(&folder.join("faults")).unwrap();
    let control_file = folder.join("faults").display().to_string();
    let variables = [
        (
            "LD_PRELOAD",
            support::faults::preload_library().to_str().unwrap(),
        ),
        (CONTROL_FILE_VARIABLE, control_file.as_str()),
    ];
    let set_failure_rate = |rate: i64| {
        DISK_SWITCHES
            .iter()
            .for_each(|switch| control.set(*switch, rate).unwrap())
    };
    let mut shown = Walk::default();
    let mut random = 17_u64;
    for round in 0..ROUNDS {
        set_failure_rate(0);
        let program = GatewayProcess::spawn(&["serve", file.to_str().unwrap()], None, &variables);
        wait_until("the gateway listens", || {
            std::net::TcpStream::connect(pg).is_ok()
        });
        let first = Walk::fetch(&mut v2c(agent), &ROOT).unwrap();
        first
            .check_not_below(&shown)
            .unwrap_or_else(|e| panic!("round {round}: {e}"));
        let (stop, last_walk) = (AtomicBool::new(false), Mutex::new(first));
        thread::scope(|scope| {
            let _stop_on_drop = StopOnDrop(&stop);
            for n in 0..2 {
                let stop = &stop;
                scope.spawn(move || load_pg(pg, round * 1000 + n * 100, stop));
            }
            let (stop, last_walk) = (&stop, &last_walk);
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let session = snmp2::SyncSession::new_v2c(
                        agent,
                        b"stays",
                        Some(Duration::from_millis(200)),
                        1,
                    );
                    // A walk that the kill interrupts is incomplete and not counted as shown.
                    if let Ok(walk) = Walk::fetch(&mut session.unwrap(), &ROOT) {
                        *last_walk.lock().unwrap() = walk;
                    }
                }
            });
            for _ in 0..3 {
                set_failure_rate(FAILURE_RATE);
                sleep_for(FAULT_PERIOD);
                set_failure_rate(0);
                sleep_for(FAULT_FREE_PERIOD);
            }
            // The kill comes during faults in even rounds and after them in odd ones.
            set_failure_rate(if round % 2 == 0 { FAILURE_RATE } else { 0 });
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            sleep_for(Duration::from_micros(1_000 + (random >> 33) % 40_000));
            program.signal("KILL");
        });
        shown = last_walk.into_inner().unwrap();
    }
    let served: u64 = shown.request_counters().map(|(_, n)| *n).sum();
    println!("{served} requests counted in the rows that were shown");
    assert!(
        served > 200,
        "only {served} requests counted, too few for this test"
    );
}
