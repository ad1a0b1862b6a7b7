//! Writes, syncs and renames in the state folder fail for a while, and a kill leaves a write half done: what was shown as
//! counted never goes back.

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
/// How many of a thousand calls fail while the disk does.
const FAILS: i64 = 400;
const DISK: [Switch; 3] = [
    Switch::FileWriteFails,
    Switch::SyncFails,
    Switch::RenameFails,
];
/// For how long it fails, and how long it works, in turn.
const BAD: Duration = Duration::from_millis(120);
const GOOD: Duration = Duration::from_millis(60);

#[test]
fn counters_shown_survive_a_failing_disk_and_kills() {
    let (pg, cql, agent, place) = (
        free_address(),
        free_address(),
        free_address(),
        temp_folder(),
    );
    let state = "sync-ms = 5\ncheckpoint-ms = 20\nsegment-kb = 16\nsegments = 10000".to_owned();
    let plan = GatewayConfig {
        pg: database_members(),
        cql: vec![],
        state,
        more: String::new(),
        user: false,
    };
    let file = place.join("gateway.toml");
    std::fs::write(&file, plan.to_toml(pg, cql, agent, &place.join("state"))).unwrap();
    let control = FaultControl::create(&place.join("faults")).unwrap();
    let faults = place.join("faults").display().to_string();
    let variables = [
        (
            "LD_PRELOAD",
            support::faults::preload_library().to_str().unwrap(),
        ),
        (CONTROL_FILE_VARIABLE, faults.as_str()),
    ];
    let set = |rate: i64| {
        DISK.iter()
            .for_each(|switch| control.set(*switch, rate).unwrap())
    };
    let mut shown = Walk::default();
    let mut random = 17_u64;
    for round in 0..ROUNDS {
        set(0);
        let program = GatewayProcess::spawn(&["serve", file.to_str().unwrap()], None, &variables);
        wait_until("it listens", || std::net::TcpStream::connect(pg).is_ok());
        let first = Walk::fetch(&mut v2c(agent), &ROOT).unwrap();
        first
            .check_not_below(&shown)
            .unwrap_or_else(|e| panic!("round {round}: {e}"));
        let (stop, last) = (AtomicBool::new(false), Mutex::new(first));
        thread::scope(|scope| {
            let _stops = StopOnDrop(&stop);
            for n in 0..2 {
                let stop = &stop;
                scope.spawn(move || load_pg(pg, round * 1000 + n * 100, stop));
            }
            let (stop, seen) = (&stop, &last);
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let asked = snmp2::SyncSession::new_v2c(
                        agent,
                        b"stays",
                        Some(Duration::from_millis(200)),
                        1,
                    );
                    // A walk that the kill cuts off shows nothing whole.
                    if let Ok(walk) = Walk::fetch(&mut asked.unwrap(), &ROOT) {
                        *seen.lock().unwrap() = walk;
                    }
                }
            });
            for _ in 0..3 {
                set(FAILS);
                sleep_for(BAD);
                set(0);
                sleep_for(GOOD);
            }
            // In the middle of trouble, or just behind it.
            set(if round % 2 == 0 { FAILS } else { 0 });
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            sleep_for(Duration::from_micros(1_000 + (random >> 33) % 40_000));
            program.signal("KILL");
        });
        shown = last.into_inner().unwrap();
    }
    let served: u64 = shown.request_counters().map(|(_, n)| *n).sum();
    println!("{served} counted in the rows that were shown");
    assert!(served > 200, "{served}: nothing is shown by that");
}
