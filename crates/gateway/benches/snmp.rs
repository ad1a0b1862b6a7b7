//! What the agent costs the clients: requests a second, p50 and p99 without the agent, with a walk a second, and under
//! 20,000 datagrams a second, in one run and in turns; and how long a walk over many members takes.
//!
//! `cargo bench -p valehatch --bench snmp`; a few minutes, so it is kept out of CI. Give it idle cores.

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
/// Requests a second in all while latencies are taken: a good part of what the gateway can do, not all of it.
const PACE: u64 = 4_000;
const PACED: Duration = Duration::from_millis(4_000);
const FULL: Duration = Duration::from_millis(1_000);
const PAIRS: usize = 5;
const FLOOD: u64 = 20_000;

#[derive(Clone, Copy, Debug)]
struct Figures {
    per_s: f64,
    p50: u64,
    p99: u64,
}

/// Latencies at a fixed pace, each from when it should have been sent; then requests a second with no pace.
fn measure(address: SocketAddr) -> Figures {
    let one = |n: u64| {
        let mut client = Client::connect(address);
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).unwrap();
        let gap = Duration::from_nanos(1_000_000_000 * CONNECTIONS as u64 / PACE);
        let began = Instant::now() + gap / CONNECTIONS as u32 * u32::try_from(n).unwrap();
        for k in 0.. {
            let due = began + gap * k;
            if due > began + PACED {
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
            .map(|n| scope.spawn(move || one(n)))
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
                while began.elapsed() < FULL {
                    client.query(&workload_query(1));
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    #[allow(clippy::cast_precision_loss)]
    let per_s = count.into_inner() as f64 / began.elapsed().as_secs_f64();
    Figures {
        per_s,
        p50: times.value_at_quantile(0.5),
        p99: times.value_at_quantile(0.99),
    }
}

/// Does something beside until the measurement is over.
fn beside<T>(work: impl Fn(&AtomicBool) + Sync, measured: impl FnOnce() -> T) -> T {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| work(&stop));
        let out = measured();
        stop.store(true, Ordering::Relaxed);
        out
    })
}

fn walks(agent: SocketAddr, stop: &AtomicBool) {
    let mut session = v2c(agent);
    while !stop.load(Ordering::Relaxed) {
        Walk::fetch(&mut session, &[1, 3, 6, 1]).expect("a walk");
        thread::sleep(Duration::from_secs(1));
    }
}

/// Half of them the right question, half of them nonsense.
fn flood(agent: SocketAddr, stop: &AtomicBool) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let question = [
        0x30, 0x27, 2, 1, 1, 4, 5, b's', b't', b'a', b'y', b's', 0xa5, 0x1b, 2, 1, 1, 2, 1, 0, 2,
        4, 0x7f, 0xff, 0xff, 0xff, 0x30, 0x0d, 0x30, 0x0b, 6, 7, 0x2b, 6, 1, 4, 1, 0xbf, 8, 5, 0,
    ];
    let began = Instant::now();
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        let wanted = u64::try_from(began.elapsed().as_micros()).unwrap() * FLOOD / 1_000_000;
        while sent < wanted {
            let _ = if sent % 2 == 0 {
                socket.send_to(&question, agent)
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
    let plan = GatewayConfig {
        pg,
        cql: vec![],
        state: String::new(),
        more: String::new(),
        user: false,
    };
    let with = plan.start();
    // The agent's limits are those that the file has by default.
    let text = std::fs::read_to_string(&with.file)
        .unwrap()
        .replace(limits, "");
    std::fs::write(&with.file, &text).unwrap();
    with.program.wait_for_log("limits were read again");
    // The same file, without the agent.
    let listen = free_address();
    let bare =
        text[..text.find("[snmp]").unwrap()].replace(&with.pg.to_string(), &listen.to_string());
    let place = temp_folder();
    let bare = bare.replace(
        &with.dir.display().to_string(),
        &place.join("state").display().to_string(),
    );
    let file = place.join("gateway.toml");
    std::fs::write(&file, bare).unwrap();
    let without = run_gateway(&file, listen);
    (with, listen, without)
}

fn compare() {
    let (with, bare, _without) = gateways();
    let (_, _) = (measure(bare), measure(with.pg));
    println!("{CONNECTIONS} connections; latencies at {PACE} requests a second, in microseconds");
    println!(
        "{:>4} {:>28} {:>28} {:>28}",
        "", "no agent", "a walk a second", "20,000 datagrams a second"
    );
    let mut ratios = [vec![], vec![], vec![], vec![], vec![]];
    for pair in 0..PAIRS {
        let none = measure(bare);
        let idle = measure(with.pg);
        let walked = beside(|stop| walks(with.agent, stop), || measure(with.pg));
        let flooded = beside(|stop| flood(with.agent, stop), || measure(with.pg));
        let shown = |f: Figures| format!("{:.0}/s p50 {} p99 {}", f.per_s, f.p50, f.p99);
        println!(
            "{:>4} {:>28} {:>28} {:>28}",
            pair + 1,
            shown(none),
            shown(walked),
            shown(flooded)
        );
        #[allow(clippy::cast_precision_loss)]
        let ratio = |f: Figures| f.p99 as f64 / none.p99 as f64;
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
        "p99 against no agent, median of {PAIRS}: agent not asked {idle:.3}, walks {walked:.3} (wanted 1.05), flood {flooded:.3} (wanted 1.25)"
    );
    println!(
        "requests a second against no agent: walks {walked_per_s:.3}, flood {flooded_per_s:.3}"
    );
}

/// A gateway with so many members that nobody asks for; how long a walk over their table takes.
fn walk_over(members: u32) -> f64 {
    let (listen, agent, place) = (free_address(), free_address(), temp_folder());
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
    let file: PathBuf = place.join("gateway.toml");
    std::fs::write(&file, text).unwrap();
    let _program = run_gateway(&file, listen);
    let mut session = v2c(agent);
    let mut times = vec![];
    support::wait_until("the members are shown", || {
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
    println!("a walk over the members' table, 10 columns, 40 repetitions a GETBULK:");
    let mut first = None;
    for members in [1_000, 2_000, 5_000, 10_000] {
        let ms = walk_over(members);
        let each = ms * 1000.0 / f64::from(members);
        let of = *first.get_or_insert(each);
        println!(
            "{members:>6} members {ms:>8.1} ms, {each:.1} us a member, {:.2} of 1,000's",
            each / of
        );
    }
}
