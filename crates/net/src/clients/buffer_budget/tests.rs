//! Tests of chunk reservations in the response budget.

use super::*;

#[test]
fn chunks_leave_half_of_the_budget_to_complete_responses_and_are_always_granted() {
    let budget = Arc::new(BufferBudget::new(8 * CHUNK_BYTES));
    let mut chunks: Vec<_> = (0..6).map(|_| budget.reserve_chunk()).collect();
    let lengths: Vec<_> = chunks.iter().map(ChunkReservation::bytes).collect();
    let expected = [
        CHUNK_BYTES,
        CHUNK_BYTES,
        CHUNK_BYTES,
        CHUNK_BYTES,
        MIN_CHUNK_BYTES,
        MIN_CHUNK_BYTES,
    ];
    assert_eq!(lengths, expected);
    assert!(!budget.is_exhausted());
    budget.add(4 * CHUNK_BYTES);
    assert!(budget.is_exhausted());
    assert_eq!(
        budget.reserve_chunk().bytes(),
        MIN_CHUNK_BYTES,
        "an exhausted budget still gives the smallest chunk"
    );
    budget.release(4 * CHUNK_BYTES);
    chunks.truncate(2);
    assert_eq!(
        budget.reserve_chunk().bytes(),
        CHUNK_BYTES,
        "released bytes can be reserved again"
    );
    drop(chunks);
    assert_eq!(budget.used.load(Ordering::Relaxed), 0);
}
