//! The fleet's view in virtual time: after each of the hard cases it settles, on just those that run, and no claim to be
//! settled is wrong on the way. What judges that sees a join that is spoilt.

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
fn the_view_settles_after(
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

/// Where a part of what is known is long, what is named of it still fits a datagram.
#[rstest]
#[case(Case::CrashLoop, 2)]
#[case(Case::Rolling, 3)]
fn a_hundred_settle_and_all_fits_a_datagram(#[case] case: Case, #[case] seed: u64) {
    let row = plan()
        .play(100, case, seed)
        .unwrap_or_else(|b| panic!("{}", b.0));
    assert!(row.start_s < 5.0 && row.quiet_bytes_s < 200.0, "{row:?}");
}

/// While a cut lasts each side settles by itself: those that hear each other both ways.
#[rstest]
#[case::both_ways(false)]
#[case::one_way(true)]
fn each_half_of_a_cut_settles_by_itself(#[case] one_way: bool) {
    let within = Span::from_millis(60_000);
    let mut play = Play::new(&plan(), 12, 3);
    play.begin(within).unwrap();
    play.fleet.cut((0..14).map(|n| n % 2).collect(), one_way);
    play.settle(within).unwrap();
    play.fleet.heal();
    play.settle(within).unwrap();
}

#[test]
fn two_under_one_name_are_both_told_and_all_are_settled_with_them() {
    use valehatch_membership::MembershipEvent;
    let mut play = Play::new(&plan(), 12, 5);
    play.begin(Span::from_millis(60_000)).unwrap();
    play.fleet.notes.clear();
    play.fleet.rename(13, 4);
    play.fleet.start(13, 0).unwrap();
    let told = |play: &Play, n| {
        play.fleet
            .notes
            .iter()
            .filter(|s| s.by == n && matches!(s.note, MembershipEvent::DuplicateIdentity(_)))
            .count()
    };
    play.fleet
        .run(Span::from_millis(20_000), |_| false)
        .unwrap();
    assert_eq!((told(&play, 4), told(&play, 13)), (1, 1));
    play.settle(Span::from_millis(20_000)).unwrap();
    // Neither goes on outbidding the other.
    let before: Vec<_> = [4, 13]
        .map(|n| play.fleet.heart(n).unwrap().incarnation())
        .to_vec();
    play.fleet
        .run(Span::from_millis(60_000), |_| false)
        .unwrap();
    let after: Vec<_> = [4, 13]
        .map(|n| play.fleet.heart(n).unwrap().incarnation())
        .to_vec();
    assert_eq!(before, after);
}

/// Each fault in the join is seen, and seen again with the same seed.
#[rstest]
#[case::a_holder_counted_twice(InjectedFault::DoubleCount, Case::Killed, 30)]
#[case::an_old_word_taken(InjectedFault::AcceptStale, Case::Killed, 30)]
#[case::a_half_forgotten(InjectedFault::ForgetPartition, Case::Halves, 12)]
fn a_spoilt_join_is_seen(#[case] mutant: InjectedFault, #[case] case: Case, #[case] size: usize) {
    let judged = |mutant: Option<InjectedFault>, seed| {
        let within = Span::from_millis(30_000);
        let mut play = Play::new(&plan(), size, seed);
        if let Some(mutant) = mutant {
            play.fleet.prepare = Some(Box::new(move |heart| heart.inject_fault(mutant)));
        }
        play.begin(within)
            .and_then(|_| play.happens(case))
            .and_then(|()| play.settle(within))
            .map_err(|b| b.0)
    };
    let seen: Vec<(u64, String)> = (1..6)
        .filter_map(|s| Some((s, judged(Some(mutant), s).err()?)))
        .collect();
    assert!(!seen.is_empty(), "not seen on five seeds");
    let (seed, what) = &seen[0];
    assert_eq!(
        judged(Some(mutant), *seed).as_ref().err(),
        Some(what),
        "the seed shows it again"
    );
    assert!(
        (1..6).all(|s| judged(None, s).is_ok()),
        "and without it nothing is seen"
    );
}
