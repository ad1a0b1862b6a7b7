//! Backoff of many gateways side by side, each with its own seed: how many calls they make
//! together.

use std::collections::BTreeSet;

use rstest::rstest;
use valehatch_backoff::{Backoff, long_poll_wait};
use valehatch_policy::Span;

const FIRST: Span = Span::from_millis(50);
const LONGEST: Span = Span::from_millis(2_500);

/// What the simulated service saw.
struct Calls {
    /// Calls in each 100 ms.
    asked: Vec<u32>,
    /// When each gateway had its answer, in microseconds.
    answered: Vec<Option<i64>>,
}

/// A service that answers one call in each 20 ms and rejects calls that come meanwhile; all
/// gateways start at once. Returns the calls in each 100 ms of a minute, and when each gateway had
/// its answer.
fn simulate(gateways: u64) -> Calls {
    let mut backoffs: Vec<Backoff> = (0..gateways)
        .map(|n| Backoff::new(FIRST, LONGEST, n))
        .collect();
    let mut calls: BTreeSet<(i64, u64)> = (0..gateways).map(|n| (0, n)).collect();
    let mut asked = vec![0; 600];
    let mut answered = vec![None; backoffs.len()];
    let mut busy_until = 0;
    while let Some((at, n)) = calls.pop_first() {
        if at >= 60_000_000 {
            break;
        }
        asked[usize::try_from(at / 100_000).unwrap()] += 1;
        let index = usize::try_from(n).unwrap();
        if at >= busy_until {
            busy_until = at + 20_000;
            answered[index] = Some(at);
        } else {
            calls.insert((at + backoffs[index].next_pause().0, n));
        }
    }
    Calls { asked, answered }
}

/// All gateways of a fleet fail together, for instance when discovery restarts. With the same pause
/// they would all call again together; drawn pauses spread them until each has its answer.
#[rstest]
#[case(1)]
#[case(3)]
#[case(100)]
fn gateways_failing_together_are_all_answered(#[case] gateways: u64) {
    let Calls { asked, answered } = simulate(gateways);
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
    // Once all have failed some times, no more come in a window than twice the fleet by the longest
    // pause.
    let most = asked[20..].iter().max().copied().unwrap();
    assert!(
        f64::from(most) <= 4.0 + 4.0 * gateways as f64 / 25.0,
        "{most} calls in 100 ms of {gateways}"
    );
}

#[test]
fn first_calls_are_spread_over_first_bound() {
    let starts: Vec<Span> = (0..100)
        .map(|n| Backoff::new(LONGEST, LONGEST, n).initial_pause())
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
fn pauses_grow_to_longest_and_reset_makes_them_short() {
    let mut backoff = Backoff::new(FIRST, LONGEST, 7);
    let early: Vec<Span> = (0..4).map(|_| backoff.next_pause()).collect();
    assert!(
        early
            .iter()
            .zip([50, 100, 200, 400])
            .all(|(p, most)| *p < Span::from_millis(most)),
        "{early:?}"
    );
    let late: Vec<i64> = (0..1_000)
        .map(|_| backoff.next_pause().0)
        .skip(10)
        .collect();
    assert!(late.iter().all(|p| *p < LONGEST.0));
    let mean = late.iter().sum::<i64>() / 990;
    assert!(
        (mean - LONGEST.0 / 2).abs() < LONGEST.0 / 10,
        "a mean pause of {mean} us"
    );
    backoff.reset();
    assert!(backoff.next_pause() < FIRST);
}

/// Many gateways must call again within the same time. Cutting the pause to it would make them all
/// call at its end.
#[test]
fn limited_pause_is_drawn_evenly_and_bound_still_grows() {
    let room = Span::from_millis(300);
    let mut backoffs: Vec<Backoff> = (0..100)
        .map(|n| Backoff::new(LONGEST, LONGEST, n))
        .collect();
    let pauses: Vec<Span> = backoffs
        .iter_mut()
        .map(|backoff| backoff.next_pause_within(room))
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
    let mut backoff = Backoff::new(FIRST, LONGEST, 7);
    assert_eq!(
        (
            backoff.next_pause_within(Span(0)),
            backoff.next_pause_within(Span(-5))
        ),
        (Span(0), Span(0))
    );
    assert!(
        (0..100)
            .map(|_| backoff.next_pause())
            .any(|p| p > FIRST.times(4.0))
    );
}

#[rstest]
#[case::zero(Span(0), Span(0))]
#[case::longest_below_first(LONGEST, FIRST)]
#[case::negative(Span(-5), Span(-7))]
#[case::unbounded(FIRST, Span(i64::MAX))]
fn unusual_bounds_give_a_valid_pause(#[case] first: Span, #[case] longest: Span) {
    let mut backoff = Backoff::new(first, longest, 1);
    for _ in 0..200 {
        let pause = backoff.next_pause();
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
fn long_poll_wait_grows_with_gateways(#[case] gateways: u32, #[case] ms: i64) {
    assert_eq!(
        long_poll_wait(
            gateways,
            5,
            Span::from_millis(2_000),
            Span::from_millis(20_000)
        ),
        Span::from_millis(ms)
    );
}
