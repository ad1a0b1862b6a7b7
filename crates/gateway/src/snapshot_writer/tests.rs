//! Write failures of the two files are tracked independently.

use std::sync::Mutex;

use valehatch_recovery::service::ServiceRecovery;

use super::*;

/// `recovery.json` can be written but the snapshot cannot. A logged recovery would be wrong then:
/// an operator would expect the next start to find a snapshot.
#[test]
fn written_state_file_does_not_end_snapshot_failure() {
    let folder = std::env::temp_dir().join(format!("valehatch-snapshot-{}", std::process::id()));
    // A folder in the place of the temporary file makes the write of the snapshot fail.
    std::fs::create_dir_all(folder.join("snapshot.new")).unwrap();
    let clock = Clock::start();
    let service = Arc::new(Mutex::new(ServiceRecovery::new(0, clock.now())));
    let mut worker = Worker {
        folder: folder.clone(),
        gateway: "one".into(),
        interval: SERVICE_CHECK_INTERVAL,
        fronts: vec![],
        gossip: None,
        service,
        clock,
        started_ms: unix_ms(),
        snapshots: WriteStatus::new("snapshot"),
        service_state: WriteStatus::new("state file"),
    };
    worker.write_snapshot();
    assert!(worker.snapshots.failing, "the failure is logged");
    let state = lock(&worker.service).state();
    worker.on_service_state(state);
    assert!(folder.join("recovery.json").exists() && !worker.service_state.failing);
    assert!(
        worker.snapshots.failing,
        "the failure continues and is not logged again"
    );
    std::fs::remove_dir(folder.join("snapshot.new")).unwrap();
    worker.write_snapshot();
    assert!(!worker.snapshots.failing);
    std::fs::remove_dir_all(folder).unwrap();
}
