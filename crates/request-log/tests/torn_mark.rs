//! A mark that was written half while the disk was full must not spoil the one that follows it.

mod memory;

use memory::{Memory, SIZES, record};
use valehatch_request_log::RequestLog;

/// Counts that the request log never had are in the marks alone. After the disk was full twice, the second time in the
/// middle of a mark, and had room again, what was shown is found again after a power loss.
#[test]
fn mark_behind_a_torn_one_survives_a_power_loss() {
    let memory = Memory::default();
    let mut ledger = RequestLog::open(memory.clone(), SIZES, 1);
    let batch = |ledger: &mut RequestLog<Memory>, from: u64| {
        (from..from + 3).for_each(|n| ledger.record(&record(n), 0));
        ledger.flush();
    };
    batch(&mut ledger, 0);
    // Nothing can be written: the counts of this batch are nowhere but in memory.
    memory.limit(Some(0), false);
    batch(&mut ledger, 3);
    // Room for the log and for half a mark.
    memory.limit(Some(1), true);
    batch(&mut ledger, 6);
    memory.limit(None, false);
    batch(&mut ledger, 9);
    let shown = ledger.shown().clone();
    assert_eq!(shown.missed, 3, "three records are not in the log");
    drop(ledger);
    let again = RequestLog::open(memory, SIZES, 2);
    assert_eq!(*again.shown(), shown, "what was shown goes back");
}
