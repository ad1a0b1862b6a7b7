//! A mark that was written half while the disk was full must not spoil the one that follows it.

mod memory;

use memory::{Memory, SIZES, record};
use valehatch_request_log::RequestLog;

/// Counts that the request log never had are in the marks alone. After the disk was full twice, the second time in the
/// middle of a mark, and had room again, what was shown is found again after a power loss.
#[test]
fn mark_behind_a_torn_one_survives_a_power_loss() {
    let memory = Memory::default();
    let mut request_log = RequestLog::open(memory.clone(), SIZES, 1);
    let batch = |request_log: &mut RequestLog<Memory>, from: u64| {
        (from..from + 3).for_each(|n| request_log.record(&record(n), 0));
        request_log.flush();
    };
    batch(&mut request_log, 0);
    // Nothing can be written: the counts of this batch are nowhere but in memory.
    memory.limit(Some(0), false);
    batch(&mut request_log, 3);
    // Room for the log and for half a mark.
    memory.limit(Some(1), true);
    batch(&mut request_log, 6);
    memory.limit(None, false);
    batch(&mut request_log, 9);
    let shown = request_log.shown().clone();
    assert_eq!(shown.missed, 3, "three records are not in the log");
    drop(request_log);
    let again = RequestLog::open(memory, SIZES, 2);
    assert_eq!(*again.shown(), shown, "what was shown goes back");
}
