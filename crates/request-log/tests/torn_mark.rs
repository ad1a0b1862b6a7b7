//! A torn mark after writes to a full disk.

mod support;

use support::{Memory, SIZES, record};
use valehatch_request_log::RequestLog;

/// Counts of records that were never written to the request log are in the marks only. The disk is
/// full twice, the second time in the middle of a mark, and then has space again. If the next mark
/// were appended to the torn one, neither could be parsed after a power loss, and published counts
/// would decrease.
#[test]
fn mark_after_torn_mark_survives_power_loss() {
    let memory = Memory::default();
    let mut request_log = RequestLog::open(memory.clone(), SIZES, 1);
    let batch = |request_log: &mut RequestLog<Memory>, from: u64| {
        for n in from..from + 3 {
            request_log.record(&record(n), 0);
        }
        request_log.flush();
    };
    batch(&mut request_log, 0);
    // Nothing can be written: the counts of this batch are in memory only.
    memory.limit(Some(0), false);
    batch(&mut request_log, 3);
    // Space for the log and for half a mark.
    memory.limit(Some(1), true);
    batch(&mut request_log, 6);
    memory.limit(None, false);
    batch(&mut request_log, 9);
    let published = request_log.durable_counters().clone();
    assert_eq!(published.unlogged, 3, "three records are not in the log");
    drop(request_log);
    let again = RequestLog::open(memory, SIZES, 2);
    assert_eq!(
        *again.durable_counters(),
        published,
        "published counts decreased"
    );
}
