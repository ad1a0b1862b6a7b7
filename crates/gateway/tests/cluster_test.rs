//! Hard cases of coming back, played on the stage with several processes of the program. Each has to end with service
//! whole again and no rule broken, as the stand-ins saw it.

use std::path::Path;

use rstest::rstest;
use valehatch_testbed::cluster_test::{Plan, Variant};

fn plan(seconds: f64, events: &str) -> Result<Plan, String> {
    // The fault waits until service is whole, and the play ends when it is whole again: on a loaded machine it takes longer.
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
#[case::most_killed_and_back(&[(4.0, "kill", "share = 0.7"), (4.1, "start", "")])]
#[case::all_killed_and_back(&[(4.0, "kill", "share = 1.0"), (4.1, "start", "")])]
#[case::all_with_every_folder_gone(&[(4.0, "kill", "share = 1.0"), (4.1, "start-bare", "")])]
#[case::all_with_every_snapshot_spoilt(&[(4.0, "kill", "share = 1.0"), (4.1, "start-spoilt", "")])]
#[case::while_the_primaries_change(&[(4.0, "kill", "share = 0.8"), (4.1, "primaries", ""), (4.2, "start", "")])]
#[case::with_discovery_silent_and_then_back(
    &[(4.0, "silence", ""), (4.0, "kill", "share = 1.0"), (4.1, "start", ""), (7.0, "speak", "")]
)]
#[case::into_a_cut(&[(4.0, "kill", "share = 1.0"), (4.0, "cut", "share = 0.4"), (4.1, "start", "share = 1.0"), (7.0, "fair", "")])]
#[case::one_in_a_crash_loop(
    &[
        (4.0, "kill", "share = 0.2"), (4.2, "start", ""), (4.5, "kill", ""), (4.7, "start", ""), (5.0, "kill", ""),
        (5.2, "start", ""), (5.5, "kill", ""), (5.7, "start", ""),
    ]
)]
#[case::stopped_as_it_comes_back(&[(4.0, "kill", "share = 0.4"), (4.1, "start", ""), (4.4, "stop", ""), (6.5, "cont", "")])]
#[case::with_half_the_datagrams_lost_and_the_rest_late_and_doubled(
    &[(3.0, "weather", "lost = 0.5\ndelay-ms = 80"), (4.0, "kill", "share = 1.0"), (4.1, "start", "")]
)]
fn service_is_whole_again_and_no_rule_is_broken(#[case] events: &[(f64, &str, &str)]) {
    let events: String = events
        .iter()
        .map(|(at, what, more)| event(*at, what, more))
        .collect();
    let plan = plan(60.0, &events).unwrap();
    let row = plan
        .play(
            Path::new(env!("CARGO_BIN_EXE_valehatch")),
            Variant::Kept,
            5,
            1,
        )
        .unwrap();
    assert_eq!(row.broken, Vec::<String>::new());
    assert!(row.full_s.is_some(), "never whole again: {:?}", row.curve);
}

#[test]
fn the_stage_sees_a_fleet_that_does_not_come_back() {
    let plan = plan(11.0, &event(4.0, "kill", "share = 0.6")).unwrap();
    let row = plan
        .play(
            Path::new(env!("CARGO_BIN_EXE_valehatch")),
            Variant::Kept,
            5,
            1,
        )
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
fn what_is_wrong_with_an_experiment_is_named(#[case] events: &str, #[case] said: &str) {
    let fault = plan(11.0, events).unwrap_err();
    assert!(fault.contains(said), "{fault}");
}
