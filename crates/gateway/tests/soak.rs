//! Short fault soaks with a few gateway processes; `valehatch-testbed soak` runs longer ones.

use std::path::{Path, PathBuf};

use rstest::rstest;
use valehatch_testbed::soak::schedule::{Fault, FaultKind, Schedule};
use valehatch_testbed::soak::{Plan, play};

fn fault(at_ms: u64, for_ms: u64, kind: FaultKind, targets: &[usize]) -> Fault {
    Fault {
        at_ms,
        for_ms,
        kind,
        targets: targets.to_vec(),
    }
}

#[rstest]
#[case::restart_while_endpoint_hangs_and_clock_is_off(&[
    fault(300, 1_500, FaultKind::WallClock, &[1]),
    fault(400, 1_500, FaultKind::EndpointHangs, &[0]),
    fault(600, 1_000, FaultKind::PlannedRestart, &[1]),
])]
#[case::connects_fail_while_primary_moves_and_clients_leave(&[
    fault(300, 1_500, FaultKind::ConnectFails, &[0, 1, 2]),
    fault(500, 1_000, FaultKind::PrimaryMoves, &[0]),
    fault(500, 1_200, FaultKind::ClientsLeave, &[0]),
])]
#[case::kill_while_replicas_lag_and_endpoint_restarts(&[
    fault(300, 1_500, FaultKind::ReplicasLag, &[1, 2]),
    fault(500, 1_000, FaultKind::EndpointRestarts, &[2]),
    fault(700, 1_000, FaultKind::Kill, &[0]),
])]
#[case::writes_are_delayed_while_clients_pipeline(&[
    fault(300, 3_000, FaultKind::LateWrites, &[0, 1, 2]),
    fault(300, 3_000, FaultKind::ClientsPipeline, &[0]),
])]
#[case::planned_stops_and_hot_restart_while_clients_keep_sending(&[
    fault(300, 1_000, FaultKind::PlannedRestart, &[0, 2]),
    fault(600, 1_000, FaultKind::HotRestart, &[1]),
])]
fn overlapping_faults_break_no_invariant(#[case] faults: &[Fault]) {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_valehatch"));
    let library = valehatch_fault_control::build_library().unwrap();
    let name = format!(
        "valehatch-soak-{}-{}",
        std::process::id(),
        faults[0].kind as usize
    );
    let folder = std::env::temp_dir().join(name);
    let plan = Plan {
        program,
        library,
        folder: folder.clone(),
        gateways: 3,
        groups: 1,
        capacity: 24.0,
    };
    let report = play(
        &plan,
        1,
        &Schedule {
            fault: faults.to_vec(),
        },
    )
    .unwrap();
    assert!(
        report.answers > 50 && report.attempts > 50,
        "{report:?}: too little traffic for a result"
    );
    assert!(
        report.violations.is_empty(),
        "{:#?}; logs in {}",
        report.violations,
        Path::new(&folder).display()
    );
    std::fs::remove_dir_all(folder).unwrap();
}
