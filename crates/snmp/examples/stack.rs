//! Measures the stack that the agent's engine and a JSON log line need. Each runs in child
//! processes on stacks of growing size, until one survives.
//!
//! `cargo run --release --example stack -p valehatch-snmp`

#[path = "../tests/support/mod.rs"]
mod support;

use std::process::{Command, Stdio};
use std::thread::Builder;

use support::{AgentFixture, Operation, V3Sender, request, snmp};
use valehatch_config::operators::{LogLevel, LogSettings};

fn agent() {
    // The fixture is created on the main thread, so that only the engine's work is measured.
    let mut agent = AgentFixture::new(snmp(""), 1, 500);
    let run = move || {
        for id in 0..200 {
            agent.advance_past_cache();
            let walk = request(Operation::GetBulk(0, 1000), id, &[vec![1, 3, 6, 1]]);
            let with = V3Sender::user("secret", 1);
            assert!(agent.send_datagram(&with.write(walk)).is_some());
            agent.send_datagram(&[0x30; 1400]);
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

/// Uses 60 KiB, to verify the measurement itself.
fn known_use() {
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
        Some("known") => known_use(),
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
