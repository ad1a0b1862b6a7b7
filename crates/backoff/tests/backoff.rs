//! Backoff of many gateways at the same time, each with its own seed, and the number of calls that
//! they make together.

use std::collections::BTreeSet;

use rstest::rstest;
use valehatch_backoff::{Backoff, long_poll_wait};
use valehatch_policy::Span;

const FIRST: Span = Span::from_millis(50);
const LONGEST: Span = Span::from_millis(2_500);

/// Observations of the simulated service.
struct SimulationResult {
    /// Number of calls in each window of 100 ms.
    calls_per_window: Vec<u32>,
    /// When each gateway was answered, in microseconds; `None` if it was not.
    answered_at: Vec<Option<i64>>,
}

/// Simulates one minute of a service that answers one call per 20 ms and rejects calls that arrive
/// in between. All gateways make their first call at the same time.
fn simulate(gateways: u64) -> SimulationResult {
    let mut backoffs: Vec<Backoff> = (0..gateways)
        .map(|n| Backoff::new(FIRST, LONGEST, n))
        .collect();
    let mut calls: BTreeSet<(i64, u64)> = (0..gateways).map(|n| (0, n)).collect();
    let mut calls_per_window = vec![0; 600];
    let mut answered_at = vec![None; backoffs.len()];
    let mut busy_until = 0;
    while let Some((at, n)) = calls.pop_first() {
        if at >= 60_000_000 {
            break;
        }
        calls_per_window[usize::try_from(at / 100_000).unwrap()] += 1;
        let index = usize::try_from(n).unwrap();
        if at >= busy_until {
            busy_until = at + 20_000;
            answered_at[index] = Some(at);
        } else {
            calls.insert((at + backoffs[index].next_pause().0, n));
        }
    }
    SimulationResult {
        calls_per_window,
        answered_at,
    }
}

/// All gateways of a fleet fail together, for instance when discovery restarts. With equal pauses
/// they would all retry together; random pauses spread the retries until each gateway is answered.
#[rstest]
#[case(1)]
#[case(3)]
#[case(100)]
fn gateways_failing_together_are_all_answered(#[case] gateways: u64) {
    let SimulationResult {
        calls_per_window,
        answered_at,
    } = simulate(gateways);
    let last = answered_at
        .iter()
        .map(|at| at.expect("every gateway is answered"))
        .max()
        .unwrap();
    // At 50 answers per second, 100 gateways would take 2 s if no call were rejected.
    assert!(
        last <= 12_000_000,
        "the last of {gateways} is answered after {last} us"
    );
    // Once the bounds have grown to the longest pause, the mean pause is half of it. A window may
    // have 4 calls plus twice the mean of such a fleet.
    let peak = calls_per_window[20..].iter().max().copied().unwrap();
    assert!(
        f64::from(peak) <= 4.0 + 4.0 * gateways as f64 / 25.0,
        "{peak} calls of {gateways} gateways in 100 ms"
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
            .all(|(p, bound_ms)| *p < Span::from_millis(bound_ms)),
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
        "mean pause of {mean} us"
    );
    backoff.reset();
    assert!(backoff.next_pause() < FIRST);
}

/// Many gateways must retry within the same limit. Truncating their pauses to the limit would make
/// them all call at its end.
#[test]
fn limited_pause_is_drawn_uniformly_and_bound_still_grows() {
    let limit = Span::from_millis(300);
    let mut backoffs: Vec<Backoff> = (0..100)
        .map(|n| Backoff::new(LONGEST, LONGEST, n))
        .collect();
    let pauses: Vec<Span> = backoffs
        .iter_mut()
        .map(|backoff| backoff.next_pause_within(limit))
        .collect();
    assert!(
        pauses.iter().all(|p| *p >= Span(0) && *p < limit),
        "{pauses:?}"
    );
    assert!(
        pauses
            .iter()
            .filter(|p| p.0 > limit.0 / 2)
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
#[case::no_gateway(0, 2_000)]
#[case::one_gateway(1, 2_000)]
#[case::three_gateways(3, 2_000)]
#[case::hundred_gateways_at_maximum(100, 20_000)]
#[case::fifty_gateways_below_maximum(50, 10_000)]
#[case::largest_count_at_maximum(u32::MAX, 20_000)]
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
