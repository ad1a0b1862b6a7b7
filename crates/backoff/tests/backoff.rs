//! Gateways side by side, under one seed: what they ask for together.

use std::collections::BTreeMap;

use rstest::rstest;
use valehatch_backoff::{Backoff, hold};
use valehatch_policy::Span;

const FIRST: Span = Span::from_millis(50);
const LONGEST: Span = Span::from_millis(2_500);

/// A service that answers one call in each 20 ms and turns away what comes meanwhile; all gateways start at once.
/// How many calls came in each 100 ms of a minute, and when each gateway had its answer.
fn herd(gateways: u64) -> (Vec<u32>, Vec<Option<i64>>) {
    let mut paces: Vec<Backoff> = (0..gateways)
        .map(|n| Backoff::new(FIRST, LONGEST, n))
        .collect();
    let mut calls: BTreeMap<(i64, u64), ()> = (0..gateways).map(|n| ((0, n), ())).collect();
    let (mut asked, mut answered, mut busy_until) = (vec![0; 600], vec![None; paces.len()], 0);
    while let Some(((at, n), ())) = calls.pop_first() {
        if at >= 60_000_000 {
            break;
        }
        asked[usize::try_from(at / 100_000).unwrap()] += 1;
        let n_place = usize::try_from(n).unwrap();
        if at >= busy_until {
            busy_until = at + 20_000;
            answered[n_place] = Some(at);
        } else {
            calls.insert((at + paces[n_place].failed().0, n), ());
        }
    }
    (asked, answered)
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(100)]
fn a_fleet_that_starts_at_once_is_answered_whole_and_asks_less_and_less(#[case] gateways: u64) {
    let (asked, answered) = herd(gateways);
    let last = answered
        .iter()
        .map(|at| at.expect("every gateway is answered"))
        .max()
        .unwrap();
    // At 50 answers a second, a hundred would take two if none were lost.
    assert!(
        last <= 12_000_000,
        "the last of {gateways} is answered after {last} us"
    );
    // Once all have failed some times, no more come in a window than twice the fleet by the longest pause.
    let most = asked[20..].iter().max().copied().unwrap();
    assert!(
        f64::from(most) <= 4.0 + 4.0 * gateways as f64 / 25.0,
        "{most} calls in 100 ms of {gateways}"
    );
}

#[test]
fn first_calls_of_a_fleet_are_spread_over_the_first_bound() {
    let starts: Vec<Span> = (0..100)
        .map(|n| Backoff::new(LONGEST, LONGEST, n).start())
        .collect();
    let mut tenths = [0; 10];
    for at in &starts {
        assert!(*at >= Span(0) && *at < LONGEST, "{at:?}");
        tenths[usize::try_from(at.0 * 10 / LONGEST.0).unwrap()] += 1;
    }
    assert!(
        tenths.iter().all(|n| *n <= 25),
        "{tenths:?} calls in each tenth"
    );
}

#[test]
fn pauses_grow_to_the_longest_and_are_short_again_after_an_answer() {
    let mut pace = Backoff::new(FIRST, LONGEST, 7);
    let early: Vec<Span> = (0..4).map(|_| pace.failed()).collect();
    assert!(
        early
            .iter()
            .zip([50, 100, 200, 400])
            .all(|(p, most)| *p < Span::from_millis(most)),
        "{early:?}"
    );
    let late: Vec<i64> = (0..1_000).map(|_| pace.failed().0).skip(10).collect();
    assert!(late.iter().all(|p| *p < LONGEST.0));
    let mean = late.iter().sum::<i64>() / 990;
    assert!(
        (mean - LONGEST.0 / 2).abs() < LONGEST.0 / 10,
        "a mean pause of {mean} us"
    );
    pace.answered();
    assert!(pace.failed() < FIRST);
}

/// A call that has to go out in time does, and those that have to at the same time do not all go out at its end.
#[test]
fn a_pause_within_so_much_is_drawn_from_it_and_the_next_bound_grows_all_the_same() {
    let room = Span::from_millis(300);
    let mut paces: Vec<Backoff> = (0..100)
        .map(|n| Backoff::new(LONGEST, LONGEST, n))
        .collect();
    let pauses: Vec<Span> = paces
        .iter_mut()
        .map(|pace| pace.failed_within(room))
        .collect();
    assert!(
        pauses.iter().all(|p| *p >= Span(0) && *p < room),
        "{pauses:?}"
    );
    assert!(
        pauses
            .iter()
            .filter(|p| p.0 > room.0 / 2)
            .count()
            .abs_diff(50)
            < 25,
        "{pauses:?}"
    );
    let mut pace = Backoff::new(FIRST, LONGEST, 7);
    assert_eq!(
        (pace.failed_within(Span(0)), pace.failed_within(Span(-5))),
        (Span(0), Span(0))
    );
    assert!(
        (0..100)
            .map(|_| pace.failed())
            .any(|p| p > FIRST.times(4.0))
    );
}

#[rstest]
#[case::nothing_to_draw_from(Span(0), Span(0))]
#[case::the_wrong_way_round(LONGEST, FIRST)]
#[case::below_nothing(Span(-5), Span(-7))]
#[case::without_bound(FIRST, Span(i64::MAX))]
fn odd_bounds_still_give_a_pause(#[case] first: Span, #[case] longest: Span) {
    let mut pace = Backoff::new(first, longest, 1);
    for _ in 0..200 {
        let pause = pace.failed();
        assert!(
            pause >= Span(0) && pause <= longest.max(first).max(Span(1)),
            "{pause:?}"
        );
    }
}

#[rstest]
#[case::none(0, 2_000)]
#[case::one(1, 2_000)]
#[case::three(3, 2_000)]
#[case::a_hundred(100, 20_000)]
#[case::half(50, 10_000)]
#[case::any_number(u32::MAX, 20_000)]
fn a_call_waits_longer_the_more_gateways_there_are(#[case] gateways: u32, #[case] ms: i64) {
    assert_eq!(
        hold(
            gateways,
            5,
            Span::from_millis(2_000),
            Span::from_millis(20_000)
        ),
        Span::from_millis(ms)
    );
}
