//! A machine's wall clock may be off, or be stepped while the gateway runs; its monotonic clock runs on. Positions,
//! commit times and starts of endpoints are told as Unix times of their own clock and must be understood all the same.

mod support;

use std::time::{Duration, Instant, UNIX_EPOCH};

use rstest::rstest;
use support::faults::{FaultyGateway, start_faulty_gateway};
use support::*;
use valehatch_fault_control::Switch;

const SECOND: i64 = 1_000_000;
/// How old the data of a bounded read may be, and how far the replica is behind where it is too far.
const BOUND: Duration = Duration::from_millis(500);
const BEHIND: Duration = Duration::from_millis(1_200);

/// A gateway of a site where endpoints check nothing themselves, on a machine whose wall clock is off by so much.
fn skewed(members: &str, offset: i64) -> FaultyGateway {
    let edit = |text: String| {
        let bounded = r#""staleness-bound-ms":[500,0,0],"needs-by-class":["lag_bound","#;
        text.replace(r#""needs-by-class":["eventual","#, bounded)
            .replace(
                r#""server-checks":"await","catch-up-wait-ms":20.0"#,
                r#""server-checks":"off""#,
            )
    };
    start_faulty_gateway(members, edit, Some((Switch::WallClockOffset, offset)))
}

/// What an endpoint reports that is so far behind.
fn report(primary: bool, behind: Duration) -> String {
    let position = (UNIX_EPOCH.elapsed().unwrap() - behind).as_secs_f64();
    format!("x0={position},x1={},util=0.1,inflight=0", u8::from(primary))
}

/// A group of a primary and a replica that is so far behind; how often the replica has served.
struct Group {
    members: String,
    replica: std::sync::Arc<StubDatabase>,
    _primary: std::sync::Arc<StubDatabase>,
    stop: std::sync::Arc<std::sync::atomic::AtomicBool>,
}

impl Drop for Group {
    fn drop(&mut self) {
        self.stop.store(true, std::sync::atomic::Ordering::Relaxed);
    }
}

fn group(behind: Duration) -> Group {
    let (primary_at, primary) = stub_database("read-write", |_, query| {
        std::thread::sleep(Duration::from_millis(2));
        Reply::Send(echo_oid(query))
    });
    let (replica_at, replica) = stub_database("read-only", |_, query| Reply::Send(echo_oid(query)));
    let members = [
        target("s-00000001", primary_at, "read-write", "active"),
        target("s-00000002", replica_at, "read-only", "active"),
    ];
    let stop = std::sync::Arc::<std::sync::atomic::AtomicBool>::default();
    let (told, ends) = (
        std::sync::Arc::clone(&replica),
        std::sync::Arc::clone(&stop),
    );
    *told.probe_reply.lock().unwrap() = Some(report(false, behind));
    std::thread::spawn(move || {
        while !ends.load(std::sync::atomic::Ordering::Relaxed) {
            *told.probe_reply.lock().unwrap() = Some(report(false, behind));
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    Group {
        members: members.join(","),
        replica,
        _primary: primary,
        stop,
    }
}

/// Asks until a moment, or until the replica has served so many; how many it has.
fn served_by_replica(
    gateway: &FaultyGateway,
    group: &Group,
    enough: usize,
    wait: Duration,
) -> usize {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(1);
    let mut client = Client::connect(gateway.address);
    let (before, end) = (group.replica.count(), Instant::now() + wait);
    while Instant::now() < end && group.replica.count() - before < enough {
        let id = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let answer = client.query(&read_query(id, 4_000));
        assert_eq!(
            answer,
            Answer::Value(format!("x{id}")),
            "the primary serves what the replica must not"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    group.replica.count() - before
}

#[test]
fn wall_clock_off_at_start_replica_within_bound_serves() {
    for seconds in [3_600, -3_600, 2, -2] {
        let group = group(BOUND / 5);
        let gateway = skewed(&group.members, seconds * SECOND);
        let served = served_by_replica(&gateway, &group, 20, Duration::from_secs(10));
        assert!(
            served >= 20,
            "{seconds} s off: the replica served {served} reads in 10 s"
        );
    }
}

#[test]
fn wall_clock_off_at_start_replica_behind_bound_serves_nothing() {
    for offset_ms in [-3_600_000, -2_000, -900, -700, 900, 3_600_000] {
        let group = group(BEHIND);
        let gateway = skewed(&group.members, offset_ms * 1_000);
        let served = served_by_replica(&gateway, &group, 1, Duration::from_secs(2));
        assert_eq!(
            served, 0,
            "{offset_ms} ms off: stale reads from a replica that is {BEHIND:?} behind"
        );
    }
}

#[rstest]
fn wall_clock_stepped_while_running_changes_nothing(#[values(3_600, -3_600, 2, -2)] seconds: i64) {
    let group = group(BOUND / 5);
    let gateway = skewed(&group.members, 0);
    assert!(served_by_replica(&gateway, &group, 20, Duration::from_secs(10)) >= 20);
    gateway
        .control
        .set(Switch::WallClockOffset, seconds * SECOND)
        .unwrap();
    let served = served_by_replica(&gateway, &group, 20, Duration::from_secs(10));
    assert!(served >= 20, "the replica served {served} reads in 10 s");
}
