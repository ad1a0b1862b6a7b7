//! The gateway's wall clock may be wrong, or be stepped while the gateway runs; its monotonic clock
//! is unaffected. Endpoints report positions, commit times and start times as Unix times of their
//! own clock, which the gateway must interpret correctly all the same.

mod support;

use std::time::{Duration, Instant, UNIX_EPOCH};

use rstest::rstest;
use support::faults::{FaultyGateway, start_faulty_gateway};
use support::*;
use valehatch_fault_control::Switch;

/// One second in the unit of [`Switch::WallClockOffset`], microseconds.
const SECOND: i64 = 1_000_000;
/// Staleness bound of reads.
const STALENESS_BOUND: Duration = Duration::from_millis(500);
/// Lag of a replica that must not serve such reads.
const EXCESSIVE_LAG: Duration = Duration::from_millis(1_200);

/// Starts a gateway whose wall clock is off by `offset_us` and whose endpoints do not check
/// staleness themselves.
fn start_skewed_gateway(members: &str, offset_us: i64) -> FaultyGateway {
    let edit = |text: String| {
        let bounded = r#""staleness-bound-ms":[500,0,0],"needs-by-class":["lag_bound","#;
        text.replace(r#""needs-by-class":["eventual","#, bounded)
            .replace(
                r#""server-checks":"await","catch-up-wait-ms":20.0"#,
                r#""server-checks":"off""#,
            )
    };
    start_faulty_gateway(members, edit, Some((Switch::WallClockOffset, offset_us)))
}

/// The probe reply of an endpoint that lags by `lag`.
fn probe_reply(primary: bool, lag: Duration) -> String {
    let position = (UNIX_EPOCH.elapsed().unwrap() - lag).as_secs_f64();
    format!("x0={position},x1={},util=0.1,inflight=0", u8::from(primary))
}

/// A group of a primary and a lagging replica, whose probe reply a thread updates.
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

/// Starts a group whose replica lags by `replica_lag`.
fn start_group(replica_lag: Duration) -> Group {
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
    let (reporting_replica, stop_reports) = (
        std::sync::Arc::clone(&replica),
        std::sync::Arc::clone(&stop),
    );
    *reporting_replica.probe_reply.lock().unwrap() = Some(probe_reply(false, replica_lag));
    std::thread::spawn(move || {
        while !stop_reports.load(std::sync::atomic::Ordering::Relaxed) {
            *reporting_replica.probe_reply.lock().unwrap() = Some(probe_reply(false, replica_lag));
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

/// Sends reads until the replica has served `target_count` of them or `timeout` has passed; returns
/// how many the replica has served.
fn served_by_replica(
    gateway: &FaultyGateway,
    group: &Group,
    target_count: usize,
    timeout: Duration,
) -> usize {
    static NEXT_ID: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(1);
    let mut client = Client::connect(gateway.address);
    let (before, end) = (group.replica.count(), Instant::now() + timeout);
    while Instant::now() < end && group.replica.count() - before < target_count {
        let id = NEXT_ID.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let answer = client.query(&read_query(id, 4_000));
        assert_eq!(
            answer,
            Answer::Value(format!("x{id}")),
            "the primary serves reads that the replica must not serve"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    group.replica.count() - before
}

#[test]
fn wall_clock_off_at_start_replica_within_bound_serves() {
    for seconds in [3_600, -3_600, 2, -2] {
        let group = start_group(STALENESS_BOUND / 5);
        let gateway = start_skewed_gateway(&group.members, seconds * SECOND);
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
        let group = start_group(EXCESSIVE_LAG);
        let gateway = start_skewed_gateway(&group.members, offset_ms * 1_000);
        let served = served_by_replica(&gateway, &group, 1, Duration::from_secs(2));
        assert_eq!(
            served, 0,
            "{offset_ms} ms off: stale reads from a replica that is {EXCESSIVE_LAG:?} behind"
        );
    }
}

#[rstest]
fn wall_clock_stepped_while_running_replica_within_bound_serves(
    #[values(3_600, -3_600, 2, -2)] seconds: i64,
) {
    let group = start_group(STALENESS_BOUND / 5);
    let gateway = start_skewed_gateway(&group.members, 0);
    assert!(served_by_replica(&gateway, &group, 20, Duration::from_secs(10)) >= 20);
    gateway
        .control
        .set(Switch::WallClockOffset, seconds * SECOND)
        .unwrap();
    let served = served_by_replica(&gateway, &group, 20, Duration::from_secs(10));
    assert!(served >= 20, "the replica served {served} reads in 10 s");
}
