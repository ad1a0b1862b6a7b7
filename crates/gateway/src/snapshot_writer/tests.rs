//! Each kind of file fails and recovers on its own.

use std::sync::Mutex;

use valehatch_recovery::service::ServiceRecovery;

use super::*;

/// The folder takes `recovery.json` but no snapshot. A log line that writing works again would be
/// wrong then: an operator would believe that the next start finds a snapshot.
#[test]
fn written_state_file_does_not_end_snapshot_failure() {
    let folder = std::env::temp_dir().join(format!("valehatch-snapshot-{}", std::process::id()));
    // In the way of the file that is written first and renamed then.
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
        snapshots: FileKind::new("snapshot"),
        service_state: FileKind::new("state file"),
    };
    worker.write_snapshot();
    assert!(worker.snapshots.failing, "logged");
    let state = lock(&worker.service).state();
    worker.on_service_state(state);
    assert!(folder.join("recovery.json").exists() && !worker.service_state.failing);
    assert!(worker.snapshots.failing, "not over, and not logged again");
    std::fs::remove_dir(folder.join("snapshot.new")).unwrap();
    worker.write_snapshot();
    assert!(!worker.snapshots.failing);
    std::fs::remove_dir_all(folder).unwrap();
}
