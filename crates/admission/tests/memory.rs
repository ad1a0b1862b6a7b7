//! What a door takes, counted by the allocator: a hundred thousand clients within a second, and ten seconds of it.

use std::alloc::System;
use std::collections::VecDeque;

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use valehatch_admission::{
    AdmissionDecision, AdmissionQueue, Arrival, Capacity, Class, Completion, LaneId, LaneKind,
    Settings,
};
use valehatch_policy::{GroupId, RequestId, Span, Time};

#[global_allocator]
static COUNTED: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Requests that may wait.
const MOST: usize = 10_000;
/// What a door of that size may take, in bytes: 1.5 KiB for each that waits, since each is of a client of its own, and 1 MiB.
const BOUND: usize = MOST * 1536 + 1024 * 1024;

/// Bytes that are in use beyond those at the region's beginning.
fn held(region: &Region<'_, System>) -> usize {
    let change = region.change();
    change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated)
}

const fn lane(group: u16, kind: LaneKind) -> LaneId {
    LaneId {
        group: GroupId(group),
        kind,
    }
}

#[test]
fn a_hundred_thousand_clients_a_second_take_no_more_after_ten_seconds_than_after_six() {
    let class = |write| Class {
        priority_weight: 1.0,
        latency_objective: Span::from_millis(400),
        late_answer_counts: write,
        write,
    };
    let settings = Settings {
        quotas: vec![0.48, 0.29, 0.23],
        classes: vec![class(false), class(true)],
        max_waiting: MOST,
        client_buckets: 4096,
        max_retry_after: Span::from_millis(2_000),
        max_lanes: 64,
    };
    let mut inside: VecDeque<(Time, RequestId)> = VecDeque::with_capacity(4 * MOST);
    let mut out: Vec<AdmissionDecision> = Vec::with_capacity(4 * MOST);
    let region = Region::new(COUNTED);
    let mut door = AdmissionQueue::new(settings, 7);
    let (mut seconds, mut most_waiting, mut peak) = (vec![], 0, 0);
    // Each arrival is a client that was never seen before, in one of eight groups; a hundred a second are served of each.
    for n in 0..1_000_000_u64 {
        let now = Time(1_000_000_000 + i64::try_from(n).unwrap() * 10);
        let id = RequestId(n + 1);
        let arrival = Arrival {
            id,
            tenant: Some(usize::try_from(n % 3).unwrap()),
            client: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            class: usize::from(n % 20 == 0),
            group: GroupId(u16::try_from(n % 8).unwrap()),
            deadline: now + Span::from_millis(1_500),
        };
        door.on_arrival(now, arrival, &mut out);
        if n % 500 == 0 {
            for group in 0..8 {
                let room = Capacity {
                    limit: 5.0,
                    waiting: 0,
                    searching: false,
                };
                door.set_capacity(now, lane(group, LaneKind::Reads), room, &mut out);
                door.set_capacity(now, lane(group, LaneKind::Writes), room, &mut out);
            }
            door.tick(now, &mut out);
            peak = peak.max(held(&region));
        }
        while inside.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, id)) = inside.pop_front() else {
                break;
            };
            door.on_finished(now, id, Completion::Served, &mut out);
        }
        for verdict in out.drain(..) {
            if let AdmissionDecision::Admit(id) = verdict {
                inside.push_back((now + Span::from_millis(50), id));
            }
        }
        most_waiting = most_waiting.max(door.len());
        if n % 100_000 == 99_999 {
            door.check_invariants().unwrap();
            seconds.push(held(&region));
        }
    }
    assert!(
        inside.capacity() == 4 * MOST && out.capacity() == 4 * MOST,
        "the test's own lists have not grown"
    );
    println!("bytes by second {seconds:?}, {peak} at the most; {most_waiting} waited at the most");
    assert!(most_waiting > 1_000, "there was something to hold");
    // The clients that are remembered for their hints are as many as may be by then.
    let (early, late) = (seconds[5], *seconds.last().unwrap());
    assert!(peak <= BOUND, "{peak}");
    assert!(late <= early + early / 10, "{seconds:?}");
    drop(door);
    assert!(
        held(&region) < 64 * 1024,
        "all of it is given back: {}",
        held(&region)
    );
}
