//! Memory of an admission queue, counted by the allocator, under 100,000 new clients a second for
//! 10 s.

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
const MAX_WAITING: usize = 10_000;
/// Bytes that a queue of that size may take: 1.5 KiB for each request, since each is of a new
/// client, and 1 MiB.
const MAX_BYTES: usize = MAX_WAITING * 1536 + 1024 * 1024;

/// Bytes that are in use beyond those at the region's beginning.
fn bytes_in_use(region: &Region<'_, System>) -> usize {
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
fn sustained_new_clients_keep_memory_constant() {
    let class = |write| Class {
        priority_weight: 1.0,
        latency_objective: Span::from_millis(400),
        late_answer_counts: write,
        write,
    };
    let settings = Settings {
        quotas: vec![0.48, 0.29, 0.23],
        classes: vec![class(false), class(true)],
        max_waiting: MAX_WAITING,
        client_buckets: 4096,
        max_retry_after: Span::from_millis(2_000),
        max_lanes: 64,
    };
    let mut in_flight: VecDeque<(Time, RequestId)> = VecDeque::with_capacity(4 * MAX_WAITING);
    let mut decisions: Vec<AdmissionDecision> = Vec::with_capacity(4 * MAX_WAITING);
    let region = Region::new(COUNTED);
    let mut queue = AdmissionQueue::new(settings, 7);
    let (mut seconds, mut most_waiting, mut peak) = (vec![], 0, 0);
    // Each arrival is a new client, in one of eight groups; each group serves a hundred a second.
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
        queue.on_arrival(now, arrival, &mut decisions);
        if n % 500 == 0 {
            for group in 0..8 {
                let capacity = Capacity {
                    limit: 5.0,
                    waiting: 0,
                    searching: false,
                };
                queue.set_capacity(now, lane(group, LaneKind::Reads), capacity, &mut decisions);
                queue.set_capacity(now, lane(group, LaneKind::Writes), capacity, &mut decisions);
            }
            queue.tick(now, &mut decisions);
            peak = peak.max(bytes_in_use(&region));
        }
        while in_flight.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, id)) = in_flight.pop_front() else {
                break;
            };
            queue.on_finished(now, id, Completion::Served, &mut decisions);
        }
        for decision in decisions.drain(..) {
            if let AdmissionDecision::Admit(id) = decision {
                in_flight.push_back((now + Span::from_millis(50), id));
            }
        }
        most_waiting = most_waiting.max(queue.len());
        if n % 100_000 == 99_999 {
            queue.check_invariants().unwrap();
            seconds.push(bytes_in_use(&region));
        }
    }
    assert!(
        in_flight.capacity() == 4 * MAX_WAITING && decisions.capacity() == 4 * MAX_WAITING,
        "the test's own lists have not grown"
    );
    println!("bytes by second {seconds:?}, {peak} at the most; {most_waiting} waited at the most");
    assert!(most_waiting > 1_000, "there was something to hold");
    // By then as many clients are remembered for their hints as may be.
    let (early, late) = (seconds[5], *seconds.last().unwrap());
    assert!(peak <= MAX_BYTES, "{peak}");
    assert!(late <= early + early / 10, "{seconds:?}");
    drop(queue);
    assert!(
        bytes_in_use(&region) < 64 * 1024,
        "all of it is given back: {}",
        bytes_in_use(&region)
    );
}
