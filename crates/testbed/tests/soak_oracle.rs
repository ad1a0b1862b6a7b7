//! The soak's invariant checker reports each violation, and reports nothing for the closest history
//! without one.

use std::time::Duration;

use rstest::rstest;
use valehatch_testbed::soak::oracle::{Attempt, Effect, Invariant, Oracle};
use valehatch_testbed::soak::schedule::{Coverage, Fault, FaultKind, Schedule};
use valehatch_testbed::soak::world::slow_start;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const DEADLINE: Duration = ms(1_000);

fn attempt(id: &str, connection: u64) -> Attempt<'_> {
    Attempt {
        id,
        endpoint: 2,
        gateway: 1,
        connection,
        remaining_ms: 900,
        work: 1.0,
        age: None,
        earlier_ended: false,
    }
}

/// A checker that has recorded a request with this effect sent at 1 s.
fn checker_with_request(effect: Effect) -> Oracle {
    let mut oracle = Oracle::new(slow_start(40.0));
    oracle.on_request("a", effect, DEADLINE, ms(1_000));
    oracle
}

fn violated(oracle: &Oracle) -> Vec<Invariant> {
    let mut found: Vec<Invariant> = oracle.violations.iter().map(|v| v.invariant).collect();
    found.dedup();
    found
}

/// Asserts that exactly this invariant was violated if `broken`, and none otherwise.
fn assert_violation(oracle: &Oracle, invariant: Invariant, broken: bool) {
    assert_eq!(
        violated(oracle),
        if broken { vec![invariant] } else { vec![] },
        "{:?}",
        oracle.violations
    );
}

#[rstest]
fn overlapping_attempts_are_reported_as_second_copy(
    #[values(false, true)] broken: bool,
    #[values(false, true)] by_end: bool,
) {
    let mut oracle = checker_with_request(Effect::Safe);
    oracle.on_attempt(&attempt("a", 1), ms(1_010));
    if !broken && !by_end {
        oracle.on_attempt_over("a", 1, false);
    }
    let second = Attempt {
        earlier_ended: !broken && by_end,
        ..attempt("a", 2)
    };
    oracle.on_attempt(&second, ms(1_020));
    assert_violation(&oracle, Invariant::SecondCopy, broken);
}

#[rstest]
#[case::unsafe_repeated(Effect::Unsafe, 30, false, true)]
#[case::unsafe_that_never_ran(Effect::Unsafe, 30, true, false)]
#[case::keyed_inside_its_window(Effect::Keyed(ms(500)), 400, false, false)]
#[case::keyed_behind_its_window(Effect::Keyed(ms(500)), 600, false, true)]
#[case::safe(Effect::Safe, 600, false, false)]
fn repeat_against_class_is_reported(
    #[case] effect: Effect,
    #[case] after: u64,
    #[case] never_ran: bool,
    #[case] broken: bool,
) {
    let mut oracle = checker_with_request(effect);
    oracle.on_attempt(&attempt("a", 1), ms(1_010));
    oracle.on_attempt_over("a", 1, never_ran);
    oracle.on_attempt(
        &Attempt {
            remaining_ms: 100,
            ..attempt("a", 2)
        },
        ms(1_010 + after),
    );
    assert_violation(&oracle, Invariant::Repeated, broken);
}

#[rstest]
fn write_that_ran_then_refused_still_counts_as_run() {
    let mut oracle = checker_with_request(Effect::Keyed(ms(500)));
    oracle.on_attempt(&attempt("a", 1), ms(1_010));
    oracle.on_attempt_over("a", 1, false);
    oracle.on_attempt(
        &Attempt {
            remaining_ms: 100,
            ..attempt("a", 2)
        },
        ms(1_100),
    );
    oracle.on_attempt_over("a", 2, true);
    oracle.on_attempt(
        &Attempt {
            remaining_ms: 100,
            ..attempt("a", 3)
        },
        ms(1_600),
    );
    assert_violation(&oracle, Invariant::Repeated, true);
}

#[rstest]
#[case(100, false)]
#[case(200, true)]
fn attempt_after_disconnect_is_reported(#[case] after: u64, #[case] broken: bool) {
    let mut oracle = checker_with_request(Effect::Safe);
    oracle.on_client_left("a", ms(1_050));
    oracle.on_attempt(
        &Attempt {
            remaining_ms: 500,
            ..attempt("a", 1)
        },
        ms(1_050 + after),
    );
    assert_violation(&oracle, Invariant::BeganForNobody, broken);
}

#[rstest]
#[case(1_100, false)]
#[case(1_200, true)]
fn deadline_beyond_client_is_reported(#[case] remaining_ms: u64, #[case] broken: bool) {
    let mut oracle = checker_with_request(Effect::Safe);
    oracle.on_attempt(
        &Attempt {
            remaining_ms,
            ..attempt("a", 1)
        },
        ms(1_020),
    );
    assert_violation(&oracle, Invariant::DeadlineTooLong, broken);
}

#[rstest]
#[case::within_its_grace(1, 600, false)]
#[case::behind_its_grace(1, 800, true)]
#[case::told_to_another_gateway(3, 800, false)]
fn attempt_at_draining_endpoint_is_reported(
    #[case] gateway: usize,
    #[case] after: u64,
    #[case] broken: bool,
) {
    let mut oracle = checker_with_request(Effect::Safe);
    oracle.on_drain_announced(gateway, 2, Some(ms(1_000)));
    oracle.on_attempt(
        &Attempt {
            remaining_ms: 100,
            ..attempt("a", 1)
        },
        ms(1_000 + after),
    );
    assert_violation(&oracle, Invariant::SentToDraining, broken);
    oracle.on_drain_announced(gateway, 2, None);
    oracle.on_attempt_over("a", 1, false);
    oracle.on_attempt(
        &Attempt {
            remaining_ms: 100,
            ..attempt("a", 2)
        },
        ms(1_900),
    );
    assert_violation(&oracle, Invariant::SentToDraining, broken);
}

/// Right after a start the budget of the window is 40 requests of mean work, and 55 with the slack
/// for random variation.
#[rstest]
#[case::spread_over_time(80, 200, 1.0, false)]
#[case::at_once(80, 10, 1.0, true)]
#[case::few_but_long(6, 10, 12.0, true)]
#[case::few(6, 10, 1.0, false)]
fn load_above_slow_start_budget_is_reported(
    #[case] count: u64,
    #[case] gap: u64,
    #[case] work: f64,
    #[case] broken: bool,
) {
    let mut oracle = Oracle::new(slow_start(40.0));
    oracle.on_endpoint_started(2, ms(500));
    for n in 0..count {
        oracle.on_attempt(
            &Attempt {
                work,
                ..attempt("x", n)
            },
            ms(600 + n * gap),
        );
    }
    assert_violation(&oracle, Invariant::SlowStartOverload, broken);
}

#[rstest]
#[case(550, false)]
#[case(700, true)]
fn read_of_data_beyond_age_bound_is_reported(#[case] age: u64, #[case] broken: bool) {
    let mut oracle = checker_with_request(Effect::Safe);
    oracle.on_attempt(
        &Attempt {
            age: Some((ms(age), ms(400))),
            ..attempt("a", 1)
        },
        ms(1_010),
    );
    assert_violation(&oracle, Invariant::StaleRead, broken);
}

#[rstest]
#[case::in_time(Some(2_500), None, false)]
#[case::late(Some(2_700), None, true)]
#[case::never(None, None, true)]
#[case::its_client_left(None, Some(1_200), false)]
fn missing_or_late_answer_is_reported(
    #[case] answered: Option<u64>,
    #[case] left: Option<u64>,
    #[case] broken: bool,
) {
    let mut oracle = checker_with_request(Effect::Safe);
    answered
        .into_iter()
        .for_each(|at| oracle.on_answer("a", Some("a"), Duration::ZERO, ms(at)));
    left.into_iter()
        .for_each(|at| oracle.on_client_left("a", ms(at)));
    oracle.finish(ms(5_000));
    assert_violation(&oracle, Invariant::Unanswered, broken);
}

#[test]
fn second_answer_and_foreign_value_are_reported() {
    let mut oracle = checker_with_request(Effect::Safe);
    oracle.on_answer("a", None, Duration::ZERO, ms(1_010));
    assert_violation(&oracle, Invariant::AnsweredTwice, false);
    oracle.on_answer("a", None, Duration::ZERO, ms(1_020));
    assert_violation(&oracle, Invariant::AnsweredTwice, true);
    let mut oracle = checker_with_request(Effect::Safe);
    oracle.on_answer("a", Some("b"), Duration::ZERO, ms(1_010));
    assert_violation(&oracle, Invariant::WrongValue, true);
}

#[test]
fn schedules_are_reproducible_from_seed_and_file_and_overlap() {
    let mut covered = Coverage::default();
    for seed in 1..=40 {
        let schedule = Schedule::draw(seed, &covered);
        assert_eq!(schedule, Schedule::draw(seed, &covered));
        let text = toml::to_string(&schedule).unwrap();
        assert_eq!(schedule, toml::from_str(&text).unwrap());
        covered.add(&schedule);
    }
    // 40 schedules of three clusters: most draws overlap in a pair that was not covered yet.
    assert!(covered.pairs.len() > 120, "{} pairs", covered.pairs.len());
    assert!(
        covered.triples.len() > 20,
        "{} triples",
        covered.triples.len()
    );
}

#[test]
fn shrinking_keeps_the_failing_faults() {
    let fault = |kind, at_ms| Fault {
        at_ms,
        for_ms: 100,
        kind,
        targets: vec![0],
    };
    let kinds = [
        FaultKind::Kill,
        FaultKind::WallClock,
        FaultKind::Reload,
        FaultKind::EndpointHangs,
    ];
    let all = Schedule {
        fault: kinds
            .iter()
            .zip(0..)
            .map(|(kind, at)| fault(*kind, at))
            .collect(),
    };
    let has = |schedule: &Schedule, kind| schedule.fault.iter().any(|fault| fault.kind == kind);
    let smallest = all.shrink(|s| has(s, FaultKind::WallClock) && has(s, FaultKind::EndpointHangs));
    let left: Vec<FaultKind> = smallest.fault.iter().map(|fault| fault.kind).collect();
    assert_eq!(left, [FaultKind::WallClock, FaultKind::EndpointHangs]);
}
