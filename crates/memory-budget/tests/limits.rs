//! Tests of the limits of each use, and of what leaves room for which other use.

use std::sync::Arc;

use valehatch_memory_budget::{
    CHUNK_BYTES, CONNECTION_BYTES, MIN_CHUNK_BYTES, MemoryBudget, MemoryUse, UnwrittenResponses,
};

const MEMORY: usize = 1024 * 1024;

fn budget() -> Arc<MemoryBudget> {
    Arc::new(MemoryBudget::new(MEMORY))
}

/// Bytes that can be reserved for a use, in steps of 1 KiB.
fn available(budget: &Arc<MemoryBudget>, usage: MemoryUse) -> usize {
    let steps = std::iter::from_fn(|| budget.try_reserve(usage, 1024));
    let all: Vec<_> = steps.collect();
    all.iter().map(|reservation| reservation.bytes()).sum()
}

#[test]
fn each_use_is_limited_to_its_part_of_the_memory() {
    let parts = MemoryUse::ALL.map(|usage| MEMORY / available(&budget(), usage));
    assert_eq!(parts, [8, 8, 16, 4, 8, 8, 8, 16]);
}

/// The sum over all uses leaves a quarter of the memory to the program itself.
#[test]
fn all_uses_at_their_limits_take_three_quarters_of_the_memory() {
    let budget = budget();
    let mut held = vec![];
    for usage in MemoryUse::ALL {
        held.extend(std::iter::from_fn(|| budget.try_reserve(usage, 1024)));
    }
    let used: usize = MemoryUse::ALL.iter().map(|usage| budget.used(*usage)).sum();
    assert_eq!(used, MEMORY / 4 * 3);
    drop(held);
    assert!(MemoryUse::ALL.iter().all(|usage| budget.used(*usage) == 0));
}

#[test]
fn pipelined_requests_at_their_limit_leave_room_for_single_ones() {
    let budget = budget();
    let pipelined: Vec<_> =
        std::iter::from_fn(|| budget.try_reserve(MemoryUse::PipelinedRequests, 1024)).collect();
    assert_eq!(available(&budget, MemoryUse::Requests), MEMORY / 16);
    drop(pipelined);
    assert_eq!(available(&budget, MemoryUse::Requests), MEMORY / 8);
}

#[test]
fn bytes_read_ahead_at_their_limit_leave_room_for_partial_requests() {
    let budget = budget();
    let read_ahead: Vec<_> =
        std::iter::from_fn(|| budget.try_reserve(MemoryUse::ReadAhead, 1024)).collect();
    assert_eq!(available(&budget, MemoryUse::PartialRequests), MEMORY / 16);
    drop(read_ahead);
    assert_eq!(available(&budget, MemoryUse::PartialRequests), MEMORY / 8);
}

#[test]
fn reservation_grows_within_its_limit_and_releases_what_it_no_longer_needs() {
    let budget = budget();
    let mut reservation = budget
        .try_reserve(MemoryUse::PartialRequests, MEMORY / 8 - 1)
        .unwrap();
    assert!(!reservation.try_grow(2), "beyond the limit");
    assert!(reservation.try_grow(1));
    assert_eq!(budget.used(MemoryUse::PartialRequests), MEMORY / 8);
    reservation.shrink_to(10);
    reservation.shrink_to(1000);
    assert_eq!(budget.used(MemoryUse::PartialRequests), 10);
    drop(reservation);
    assert_eq!(budget.used(MemoryUse::PartialRequests), 0);
}

#[test]
fn lower_memory_denies_new_reservations_and_keeps_existing_ones() {
    let budget = budget();
    let held = budget
        .try_reserve(MemoryUse::Responses, MEMORY / 4)
        .unwrap();
    budget.set_limits(MEMORY / 2, 0);
    assert!(budget.try_reserve(MemoryUse::Responses, 1).is_none());
    assert_eq!(budget.used(MemoryUse::Responses), MEMORY / 4);
    drop(held);
    assert_eq!(available(&budget, MemoryUse::Responses), MEMORY / 8);
}

#[test]
fn chunks_leave_half_of_the_limit_to_large_responses_and_are_always_granted() {
    let budget = Arc::new(MemoryBudget::new(8 * 8 * CHUNK_BYTES));
    let mut chunks: Vec<_> = (0..6).map(|_| budget.reserve_chunk()).collect();
    let lengths: Vec<_> = chunks.iter().map(|chunk| chunk.bytes()).collect();
    let expected = [
        CHUNK_BYTES,
        CHUNK_BYTES,
        CHUNK_BYTES,
        CHUNK_BYTES,
        MIN_CHUNK_BYTES,
        MIN_CHUNK_BYTES,
    ];
    assert_eq!(lengths, expected);
    let rest = 4 * CHUNK_BYTES - 2 * MIN_CHUNK_BYTES;
    let large = budget
        .try_reserve(MemoryUse::LargeResponses, rest)
        .expect("half of the limit is left to large responses");
    assert!(budget.try_reserve(MemoryUse::LargeResponses, 1).is_none());
    assert_eq!(
        budget.reserve_chunk().bytes(),
        MIN_CHUNK_BYTES,
        "an exhausted budget still gives the smallest chunk"
    );
    drop(large);
    chunks.truncate(2);
    assert_eq!(
        budget.reserve_chunk().bytes(),
        CHUNK_BYTES,
        "released bytes can be reserved again"
    );
}

#[test]
fn active_clients_and_responses_of_a_client_follow_the_memory() {
    let budget = budget();
    assert_eq!(budget.max_active_clients(64 * 1024), 4);
    assert_eq!(budget.max_responses_of_client(8 * 1024), 4);
    assert_eq!(budget.max_active_clients(MEMORY), 1);
    assert_eq!(budget.max_responses_of_client(MEMORY), 1);
}

#[test]
fn unwritten_responses_are_counted_until_dropped() {
    let responses = UnwrittenResponses::default();
    let (first, second) = (responses.add(), responses.clone().add());
    assert_eq!(responses.count(), 2);
    drop(first);
    assert_eq!(responses.count(), 1);
    drop(second);
    assert_eq!(responses.count(), 0);
}

#[test]
fn memory_of_connections_is_set_aside_before_the_rest_is_divided() {
    const CONNECTIONS: usize = 32;
    let budget = Arc::new(MemoryBudget::with_connections(MEMORY, CONNECTIONS));
    let rest = MEMORY - CONNECTIONS * CONNECTION_BYTES;
    assert_eq!(available(&budget, MemoryUse::Responses), rest / 4);
    budget.set_limits(MEMORY, 0);
    assert_eq!(available(&budget, MemoryUse::Responses), MEMORY / 4);
}

#[test]
fn connections_take_at_most_half_of_the_memory() {
    let max = MemoryBudget::max_connections(MEMORY);
    for connections in [max, 2 * max, 100 * max] {
        let budget = Arc::new(MemoryBudget::with_connections(MEMORY, connections));
        assert_eq!(budget.connection_memory(), MEMORY / 2);
        assert_eq!(available(&budget, MemoryUse::Responses), MEMORY / 2 / 4);
    }
}
