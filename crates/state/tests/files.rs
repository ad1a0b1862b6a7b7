//! Names of the files in the state directory, by which tools and later versions find them.

use std::path::{Path, PathBuf};

use valehatch_config::operators::StateSettings;
use valehatch_request_log::{FinalOutcome, RequestRecord};
use valehatch_state::{snapshot, start};

fn names(dir: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(dir).unwrap();
    let mut names: Vec<String> = entries
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}

/// Writes one record to the directory and waits until it is on the disk.
fn write_record(dir: &Path) {
    let state = StateSettings {
        dir: PathBuf::from(dir),
        sync_ms: 1,
        checkpoint_ms: 3_600_000,
        segment_bytes: 4096,
        segments: 8,
        max_queued: 16,
        snapshot_ms: 1_000,
    };
    let writer = start(Some(&state)).unwrap();
    let record = RequestRecord {
        front: "f".into(),
        class: "read".into(),
        tenant: None,
        group: 0,
        outcome: FinalOutcome::InTime,
        attempts: vec![],
        queued_us: 0,
        total_us: 1,
    };
    writer.recorder().record(Box::new(record));
    writer.finish();
}

#[test]
fn state_directory_contains_files_with_fixed_names() {
    let dir = std::env::temp_dir().join(format!("valehatch-state-files-{}", std::process::id()));
    write_record(&dir);
    snapshot::write(&dir, b"snapshot").unwrap();
    let first = [
        "checkpoint",
        "checkpoint.old",
        "lock",
        "marks.old",
        "requests-00000001.log",
        "snapshot",
    ];
    assert_eq!(names(&dir), first);
    write_record(&dir);
    let second = [&first[..5], &["requests-00000002.log", "snapshot"]].concat();
    assert_eq!(names(&dir), second);
    assert_eq!(snapshot::read(&dir, 64).unwrap().unwrap(), b"snapshot");
    std::fs::remove_dir_all(dir).unwrap();
}
