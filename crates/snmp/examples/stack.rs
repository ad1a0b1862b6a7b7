//! How much stack the deepest use of a thread takes: the agent's engine, and a line of the log as JSON. Each is done in
//! child processes on ever smaller stacks, until one no longer survives it.
//!
//! `cargo run --release --example stack -p valehatch-snmp`

#[path = "../tests/support/mod.rs"]
mod support;

use std::process::{Command, Stdio};
use std::thread::Builder;

use support::{Scene, Secure, Verb, request, snmp};
use valehatch_config::operators::{LogLevel, LogSettings};

fn agent() {
    // What is made beforehand is made on the main thread; the engine's own work is what counts.
    let mut scene = Scene::new(snmp(""), 1, 500);
    let run = move || {
        for id in 0..200 {
            scene.later();
            let walk = request(Verb::Bulk(0, 1000), id, &[vec![1, 3, 6, 1]]);
            let with = Secure::user("secret", 1);
            assert!(scene.raw(&with.write(walk)).is_some());
            scene.raw(&[0x30; 1400]);
        }
    };
    on_stack(run);
}

fn log() {
    valehatch_net::log::init(LogSettings {
        level: LogLevel::Debug,
        json: true,
        lines_per_s: 1000,
    });
    on_stack(|| {
        for n in 0..200 {
            let long = "x".repeat(n * 20);
            tracing::warn!(n, long, what = ?(n, "several", 7.5), "a line with fields: {long}");
        }
    });
}

/// Uses 60 KiB, so that it can be seen that the measurement finds what it should.
fn known() {
    on_stack(|| {
        let large = std::hint::black_box([1_u8; 60 * 1024]);
        assert_eq!(large.iter().filter(|b| **b == 1).count(), large.len());
    });
}

fn on_stack(run: impl FnOnce() + Send + 'static) {
    let size: usize = std::env::args()
        .nth(2)
        .and_then(|s| s.parse().ok())
        .unwrap_or(1 << 20);
    Builder::new()
        .stack_size(size)
        .spawn(run)
        .unwrap()
        .join()
        .unwrap();
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("agent") => agent(),
        Some("log") => log(),
        Some("known") => known(),
        _ => {
            for what in ["agent", "log", "known"] {
                let survives = |kib: usize| {
                    let child = Command::new(std::env::current_exe().unwrap())
                        .args([what, &(kib * 1024).to_string()])
                        .stderr(Stdio::null())
                        .status();
                    child.is_ok_and(|s| s.success())
                };
                let least = (16..=256).step_by(4).find(|kib| survives(*kib));
                println!(
                    "{what}: {least:?} KiB are enough (the system gives no thread less than 16)"
                );
            }
        }
    }
}
