//! Recovery from severe faults, as cluster tests with several gateway processes. Each has to end
//! with full service and without a violated invariant, as observed by the stub endpoints.

use std::path::Path;

use rstest::rstest;
use valehatch_testbed::cluster_test::{Plan, Way};

fn plan(seconds: f64, events: &str) -> Result<Plan, String> {
    // With until-full the events wait for full service and the run ends once it is restored, which
    // takes longer on a loaded machine.
    let text = format!(
        "kind = \"stage\"\nname = \"case\"\nabout = \"\"\ngateways = [5]\ngroups = 2\nseconds = {seconds:.1}\nrate = 10.0\n\
         discovery-ms = 20\nuntil-full = true\nways = [\"kept\"]\n{events}"
    );
    Plan::parse(&text)
}

fn event(at: f64, what: &str, more: &str) -> String {
    format!("[[event]]\nat-s = {at:.1}\nwhat = \"{what}\"\n{more}\n")
}

#[rstest]
#[case::most_killed_and_restarted(&[(4.0, "kill", "share = 0.7"), (4.1, "start", "")])]
#[case::all_killed_and_restarted(&[(4.0, "kill", "share = 1.0"), (4.1, "start", "")])]
#[case::all_restarted_without_state_folders(&[(4.0, "kill", "share = 1.0"), (4.1, "start-bare", "")])]
#[case::all_restarted_with_corrupt_snapshots(&[(4.0, "kill", "share = 1.0"), (4.1, "start-spoilt", "")])]
#[case::killed_during_a_change_of_primaries(&[(4.0, "kill", "share = 0.8"), (4.1, "primaries", ""), (4.2, "start", "")])]
#[case::killed_while_discovery_is_silent(
    &[(4.0, "silence", ""), (4.0, "kill", "share = 1.0"), (4.1, "start", ""), (7.0, "speak", "")]
)]
#[case::restarted_into_a_partition(&[(4.0, "kill", "share = 1.0"), (4.0, "cut", "share = 0.4"), (4.1, "start", "share = 1.0"), (7.0, "fair", "")])]
#[case::one_in_a_crash_loop(
    &[
        (4.0, "kill", "share = 0.2"), (4.2, "start", ""), (4.5, "kill", ""), (4.7, "start", ""), (5.0, "kill", ""),
        (5.2, "start", ""), (5.5, "kill", ""), (5.7, "start", ""),
    ]
)]
#[case::suspended_during_recovery(&[(4.0, "kill", "share = 0.4"), (4.1, "start", ""), (4.4, "stop", ""), (6.5, "cont", "")])]
#[case::half_of_the_datagrams_lost_and_the_rest_delayed(
    &[(3.0, "weather", "lost = 0.5\ndelay-ms = 80"), (4.0, "kill", "share = 1.0"), (4.1, "start", "")]
)]
fn full_service_is_restored_and_no_invariant_is_violated(#[case] events: &[(f64, &str, &str)]) {
    let events: String = events
        .iter()
        .map(|(at, what, more)| event(*at, what, more))
        .collect();
    let plan = plan(60.0, &events).unwrap();
    let row = plan
        .play(Path::new(env!("CARGO_BIN_EXE_valehatch")), Way::Kept, 5, 1)
        .unwrap();
    assert_eq!(row.broken, Vec::<String>::new());
    assert!(
        row.full_s.is_some(),
        "full service was not restored: {:?}",
        row.curve
    );
}

#[test]
fn cluster_test_detects_gateways_that_do_not_restart() {
    let plan = plan(11.0, &event(4.0, "kill", "share = 0.6")).unwrap();
    let row = plan
        .play(Path::new(env!("CARGO_BIN_EXE_valehatch")), Way::Kept, 5, 1)
        .unwrap();
    assert!(row.full_s.is_none(), "{:?}", row.curve);
}

#[rstest]
#[case::no_event("", "event")]
#[case::out_of_order(
    "[[event]]\nat-s = 5.0\nwhat = \"kill\"\n[[event]]\nat-s = 4.0\nwhat = \"start\"",
    "order"
)]
#[case::too_late("[[event]]\nat-s = 99.0\nwhat = \"kill\"", "within seconds")]
#[case::unknown("[[event]]\nat-s = 1.0\nwhat = \"burn\"", "burn")]
#[case::share("[[event]]\nat-s = 1.0\nwhat = \"kill\"\nshare = 7.0", "share")]
fn invalid_experiment_is_rejected_with_the_cause(#[case] events: &str, #[case] cause: &str) {
    let error = plan(11.0, events).unwrap_err();
    assert!(error.contains(cause), "{error}");
}
