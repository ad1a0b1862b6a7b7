//! Membership views of a fleet under a virtual clock: after each fault scenario all views converge
//! on exactly the running gateways, and no claim of convergence is wrong meanwhile. Faults injected
//! into the merge of views must be detected.

use rstest::rstest;
use valehatch_membership::view::InjectedFault;
use valehatch_policy::Span;
use valehatch_testbed::view::{Case, Plan, Play};

fn plan() -> Plan {
    Plan::parse(
        "kind = \"view\"\nname = \"case\"\nabout = \"\"\nsizes = [12]\ncases = [\"start\"]\nlost = 0.01\nseeds = 3\n\
         period-ms = 500\nbytes-s = 8192\ndelay-ms = 20\nquiet-s = 5\nwithin-s = 30\n",
    )
    .unwrap()
}

#[rstest]
fn views_converge_after_fault_case(
    #[values(
        Case::Start,
        Case::Halves,
        Case::Islands,
        Case::OneWay,
        Case::Unheard,
        Case::Killed,
        Case::CrashLoop,
        Case::Flapping,
        Case::Stopped,
        Case::ClockBack,
        Case::Weather,
        Case::Rolling,
        Case::Foreign,
        Case::Namesakes
    )]
    case: Case,
) {
    for seed in 1..6 {
        let row = plan()
            .play(12, case, seed)
            .unwrap_or_else(|b| panic!("seed {seed}: {}", b.0));
        assert!(row.claims >= 12 && row.quiet_bytes_s < 300.0, "{row:?}");
    }
}

/// With many members, the part of the view that is sent still fits into one datagram.
#[rstest]
#[case(Case::CrashLoop, 2)]
#[case(Case::Rolling, 3)]
fn views_of_hundred_gateways_converge_within_datagram_size(#[case] case: Case, #[case] seed: u64) {
    let row = plan()
        .play(100, case, seed)
        .unwrap_or_else(|b| panic!("{}", b.0));
    assert!(row.start_s < 5.0 && row.quiet_bytes_s < 200.0, "{row:?}");
}

/// During a partition, the gateways that reach each other in both directions converge among
/// themselves.
#[rstest]
#[case::both_ways(false)]
#[case::one_way(true)]
fn each_side_of_partition_converges_by_itself(#[case] one_way: bool) {
    let within = Span::from_millis(60_000);
    let mut play = Play::new(&plan(), 12, 3);
    play.start_all(within).unwrap();
    play.fleet
        .partition((0..14).map(|n| n % 2).collect(), one_way);
    play.await_convergence(within).unwrap();
    play.fleet.heal();
    play.await_convergence(within).unwrap();
}

#[test]
fn gateways_with_same_address_both_report_duplicate_and_views_converge() {
    use valehatch_membership::MembershipEvent;
    let mut play = Play::new(&plan(), 12, 5);
    play.start_all(Span::from_millis(60_000)).unwrap();
    play.fleet.notes.clear();
    play.fleet.share_address(13, 4);
    play.fleet.start(13, 0).unwrap();
    let duplicates_reported = |play: &Play, n| {
        play.fleet
            .notes
            .iter()
            .filter(|s| s.by == n && matches!(s.note, MembershipEvent::DuplicateIdentity(_)))
            .count()
    };
    play.fleet
        .run(Span::from_millis(20_000), |_| false)
        .unwrap();
    assert_eq!(
        (
            duplicates_reported(&play, 4),
            duplicates_reported(&play, 13)
        ),
        (1, 1)
    );
    play.await_convergence(Span::from_millis(20_000)).unwrap();
    // Neither keeps raising its incarnation above the other's.
    let before: Vec<_> = [4, 13]
        .map(|n| play.fleet.membership(n).unwrap().incarnation())
        .to_vec();
    play.fleet
        .run(Span::from_millis(60_000), |_| false)
        .unwrap();
    let after: Vec<_> = [4, 13]
        .map(|n| play.fleet.membership(n).unwrap().incarnation())
        .to_vec();
    assert_eq!(before, after);
}

/// Each fault injected into the merge of views is detected, and again with the same seed.
#[rstest]
#[case::member_counted_twice(InjectedFault::DoubleCount, Case::Killed, 30)]
#[case::stale_update_accepted(InjectedFault::AcceptStale, Case::Killed, 30)]
#[case::partition_forgotten(InjectedFault::ForgetPartition, Case::Halves, 12)]
fn injected_merge_fault_is_detected(
    #[case] mutant: InjectedFault,
    #[case] case: Case,
    #[case] size: usize,
) {
    let run_case = |mutant: Option<InjectedFault>, seed| {
        let within = Span::from_millis(30_000);
        let mut play = Play::new(&plan(), size, seed);
        if let Some(mutant) = mutant {
            play.fleet.start_hook =
                Some(Box::new(move |membership| membership.inject_fault(mutant)));
        }
        play.start_all(within)
            .and_then(|_| play.apply_case(case))
            .and_then(|()| play.await_convergence(within))
            .map_err(|b| b.0)
    };
    let detected: Vec<(u64, String)> = (1..6)
        .filter_map(|s| Some((s, run_case(Some(mutant), s).err()?)))
        .collect();
    assert!(!detected.is_empty(), "not detected with five seeds");
    let (seed, what) = &detected[0];
    assert_eq!(
        run_case(Some(mutant), *seed).as_ref().err(),
        Some(what),
        "the same seed reproduces the violation"
    );
    assert!(
        (1..6).all(|s| run_case(None, s).is_ok()),
        "no violation without the injected fault"
    );
}
