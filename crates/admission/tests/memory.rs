//! Memory of an admission queue, counted by the allocator, with 100,000 new clients per second for
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

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 10_000;
/// Upper bound of the queue's memory in bytes: 1.5 KiB for each request, since each comes from a
/// new client, plus 1 MiB.
const MAX_BYTES: usize = MAX_WAITING * 1536 + 1024 * 1024;

/// Bytes allocated since the start of the region and still in use.
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
    let (mut bytes_by_second, mut max_waiting_seen, mut peak) = (vec![], 0, 0);
    // Each arrival is from a new client and for one of eight groups; each group serves 100 per
    // second.
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
        while in_flight
            .front()
            .is_some_and(|(ends_at, _)| *ends_at <= now)
        {
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
        max_waiting_seen = max_waiting_seen.max(queue.len());
        if n % 100_000 == 99_999 {
            queue.check_invariants().unwrap();
            bytes_by_second.push(bytes_in_use(&region));
        }
    }
    assert!(
        in_flight.capacity() == 4 * MAX_WAITING && decisions.capacity() == 4 * MAX_WAITING,
        "the test's own buffers have not grown"
    );
    println!(
        "bytes by second {bytes_by_second:?}, peak {peak}; at most {max_waiting_seen} waiting"
    );
    assert!(max_waiting_seen > 1_000, "the queue holds waiting requests");
    // At 6 s the Retry-After calendars already hold their maximum number of clients.
    let (early, late) = (bytes_by_second[5], *bytes_by_second.last().unwrap());
    assert!(peak <= MAX_BYTES, "{peak}");
    assert!(late <= early + early / 10, "{bytes_by_second:?}");
    drop(queue);
    assert!(
        bytes_in_use(&region) < 64 * 1024,
        "all memory is released: {}",
        bytes_in_use(&region)
    );
}
