//! Cost of the SNMP agent for clients: requests per second, p50 and p99 without the agent, with one
//! walk per second, and under 20,000 datagrams per second, measured alternately in one run; and the
//! duration of a walk over many members.
//!
//! Run with `cargo bench -p valehatch --bench snmp` on idle cores; it takes a few minutes, so that
//! CI does not run it.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use support::manager::{Walk, v2c, vh_oid};
use support::monitored::{GatewayConfig, run_gateway, workload_query};
use support::{Client, Reply, free_address, row_with_tag, stub_database, temp_folder};

const CONNECTIONS: usize = 8;
/// Total requests per second while latencies are measured, below the capacity of the gateway.
const REQUEST_RATE: u64 = 4_000;
const LATENCY_PHASE: Duration = Duration::from_millis(4_000);
const THROUGHPUT_PHASE: Duration = Duration::from_millis(1_000);
const ROUNDS: usize = 5;
const FLOOD_RATE: u64 = 20_000;

#[derive(Clone, Copy, Debug)]
struct Measurement {
    per_s: f64,
    p50: u64,
    p99: u64,
}

/// Measures latencies at a fixed request rate, each from the scheduled send time, and then the
/// throughput without a limit on the rate.
fn measure(address: SocketAddr) -> Measurement {
    let run_paced = |n: u64| {
        let mut client = Client::connect(address);
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).unwrap();
        let gap = Duration::from_nanos(1_000_000_000 * CONNECTIONS as u64 / REQUEST_RATE);
        let began = Instant::now() + gap / CONNECTIONS as u32 * u32::try_from(n).unwrap();
        for k in 0.. {
            let due = began + gap * k;
            if due > began + LATENCY_PHASE {
                break;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            client.query(&workload_query(1));
            times.saturating_record(u64::try_from(due.elapsed().as_micros()).unwrap());
        }
        times
    };
    let times = thread::scope(|scope| {
        let all: Vec<_> = (0..CONNECTIONS as u64)
            .map(|n| scope.spawn(move || run_paced(n)))
            .collect();
        let mut sum = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).unwrap();
        all.into_iter()
            .for_each(|t| sum.add(t.join().unwrap()).unwrap());
        sum
    });
    let count = AtomicU64::new(0);
    let began = Instant::now();
    thread::scope(|scope| {
        for _ in 0..CONNECTIONS {
            scope.spawn(|| {
                let mut client = Client::connect(address);
                while began.elapsed() < THROUGHPUT_PHASE {
                    client.query(&workload_query(1));
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    #[allow(clippy::cast_precision_loss)]
    let per_s = count.into_inner() as f64 / began.elapsed().as_secs_f64();
    Measurement {
        per_s,
        p50: times.value_at_quantile(0.5),
        p99: times.value_at_quantile(0.99),
    }
}

/// Runs `background` in another thread for the duration of the measurement.
fn with_background<T>(background: impl Fn(&AtomicBool) + Sync, measure: impl FnOnce() -> T) -> T {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| background(&stop));
        let out = measure();
        stop.store(true, Ordering::Relaxed);
        out
    })
}

fn walk_repeatedly(agent: SocketAddr, stop: &AtomicBool) {
    let mut session = v2c(agent);
    while !stop.load(Ordering::Relaxed) {
        Walk::fetch(&mut session, &[1, 3, 6, 1]).expect("a walk");
        thread::sleep(Duration::from_secs(1));
    }
}

/// Sends datagrams at the flood rate, alternately a valid GETBULK request and garbage.
fn flood(agent: SocketAddr, stop: &AtomicBool) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let getbulk = [
        0x30, 0x27, 2, 1, 1, 4, 5, b's', b't', b'a', b'y', b's', 0xa5, 0x1b, 2, 1, 1, 2, 1, 0, 2,
        4, 0x7f, 0xff, 0xff, 0xff, 0x30, 0x0d, 0x30, 0x0b, 6, 7, 0x2b, 6, 1, 4, 1, 0xbf, 8, 5, 0,
    ];
    let began = Instant::now();
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        let due = u64::try_from(began.elapsed().as_micros()).unwrap() * FLOOD_RATE / 1_000_000;
        while sent < due {
            let _ = if sent % 2 == 0 {
                socket.send_to(&getbulk, agent)
            } else {
                socket.send_to(&[7; 200], agent)
            };
            sent += 1;
        }
        thread::sleep(Duration::from_micros(200));
    }
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}

/// Starts a gateway with an agent and one without, on the same stub databases. Returns the first,
/// the address of the second, and its process.
fn gateways() -> (
    support::monitored::MonitoredGateway,
    SocketAddr,
    support::GatewayProcess,
) {
    let serve = |_: usize, _: &str| Reply::Send(row_with_tag("x", "SELECT 1"));
    let pg = vec![
        ("db-1", stub_database("read-write", serve).0, true),
        ("db-2", stub_database("read-only", serve).0, false),
    ];
    let limits = "per-source-per-s = 100000\ntotal-per-s = 100000\ncpu-share = 1.0";
    let config = GatewayConfig {
        pg,
        cql: vec![],
        state: String::new(),
        more: String::new(),
        user: false,
    };
    let with = config.start();
    // Without the limits of the test configuration, the defaults apply to the agent.
    let text = std::fs::read_to_string(&with.file)
        .unwrap()
        .replace(limits, "");
    std::fs::write(&with.file, &text).unwrap();
    with.program.wait_for_log("limits were read again");
    // The same file, without the agent.
    let listen = free_address();
    let text_without_agent =
        text[..text.find("[snmp]").unwrap()].replace(&with.pg.to_string(), &listen.to_string());
    let folder = temp_folder();
    let text_without_agent = text_without_agent.replace(
        &with.dir.display().to_string(),
        &folder.join("state").display().to_string(),
    );
    let file = folder.join("gateway.toml");
    std::fs::write(&file, text_without_agent).unwrap();
    let without = run_gateway(&file, listen);
    (with, listen, without)
}

fn compare() {
    let (with, without_agent, _without) = gateways();
    let (_, _) = (measure(without_agent), measure(with.pg));
    println!(
        "{CONNECTIONS} connections; latencies at {REQUEST_RATE} requests per second, in microseconds"
    );
    println!(
        "{:>4} {:>28} {:>28} {:>28}",
        "", "no agent", "one walk per second", "20,000 datagrams per second"
    );
    let mut ratios = [vec![], vec![], vec![], vec![], vec![]];
    for round in 0..ROUNDS {
        let none = measure(without_agent);
        let idle = measure(with.pg);
        let walked = with_background(
            |stop| walk_repeatedly(with.agent, stop),
            || measure(with.pg),
        );
        let flooded = with_background(|stop| flood(with.agent, stop), || measure(with.pg));
        let format_measurement =
            |f: Measurement| format!("{:.0}/s p50 {} p99 {}", f.per_s, f.p50, f.p99);
        println!(
            "{:>4} {:>28} {:>28} {:>28}",
            round + 1,
            format_measurement(none),
            format_measurement(walked),
            format_measurement(flooded)
        );
        #[allow(clippy::cast_precision_loss)]
        let ratio = |f: Measurement| f.p99 as f64 / none.p99 as f64;
        for (list, value) in ratios.iter_mut().zip([
            ratio(idle),
            ratio(walked),
            ratio(flooded),
            walked.per_s / none.per_s,
            flooded.per_s / none.per_s,
        ]) {
            list.push(value);
        }
    }
    let [idle, walked, flooded, walked_per_s, flooded_per_s] = ratios.map(median);
    println!(
        "p99 against no agent, median of {ROUNDS}: idle agent {idle:.3}, walks {walked:.3} (target 1.05), flood {flooded:.3} (target 1.25)"
    );
    println!(
        "requests per second against no agent: walks {walked_per_s:.3}, flood {flooded_per_s:.3}"
    );
}

/// Median duration in milliseconds of a walk over the member table of a gateway with this many idle
/// members.
fn measure_member_walk(members: u32) -> f64 {
    let (listen, agent, folder) = (free_address(), free_address(), temp_folder());
    let mut text = format!(
        "[[front]]\nname = \"stays\"\nprotocol = \"cassandra\"\nlisten = \"{listen}\"\n\
         [[front.contract]]\nname = \"read\"\nstatements = [\"SELECT\"]\nneed = \"any\"\neffect = \"safe\"\naim-ms = 100\ndeadline-ms = 200\n\
         [snmp]\nlisten = \"{agent}\"\n[[snmp.community]]\nname = \"stays\"\n\
         [snmp.limits]\nper-source-per-s = 1000000\ntotal-per-s = 1000000\ncpu-share = 1.0\n"
    );
    for n in 0..members {
        text += &format!(
            "[[front.member]]\nname = \"node-{n:08x}\"\naddress = \"127.0.0.1:{}\"\n",
            1024 + n % 60_000
        );
    }
    let file: PathBuf = folder.join("gateway.toml");
    std::fs::write(&file, text).unwrap();
    let _program = run_gateway(&file, listen);
    let mut session = v2c(agent);
    let mut times = vec![];
    support::wait_until("the table shows all members", || {
        Walk::fetch(&mut session, &vh_oid(&[14, 1, 3]))
            .is_ok_and(|w| w.texts.len() == members as usize)
    });
    for _ in 0..5 {
        let began = Instant::now();
        let walk = Walk::fetch(&mut session, &vh_oid(&[14])).unwrap();
        assert_eq!(walk.texts.len(), 2 * members as usize);
        times.push(began.elapsed().as_secs_f64() * 1000.0);
    }
    median(times)
}

fn main() {
    compare();
    println!("walk over the member table, 10 columns, 40 repetitions per GETBULK:");
    let mut first = None;
    for members in [1_000, 2_000, 5_000, 10_000] {
        let ms = measure_member_walk(members);
        let per_member = ms * 1000.0 / f64::from(members);
        let reference = *first.get_or_insert(per_member);
        println!(
            "{members:>6} members {ms:>8.1} ms, {per_member:.1} us per member, {:.2} of the time per member at 1,000",
            per_member / reference
        );
    }
}
