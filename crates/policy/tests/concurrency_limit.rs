//! How many attempts an endpoint may have in flight.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn slow_responses_reduce_the_limit() {
    let out_at_most = |latency: i64| {
        let mut script = Script::group(settings(), 2, 1);
        for id in 1..=40 {
            script.request(id, EVENTUAL);
            script.advance(latency);
            if script.sent_to(id).is_some() && !script.answers.contains_key(&RequestId(id)) {
                script.end(id, Outcome::Ok, REPLICA);
            }
        }
        let before = script.sends.len();
        for id in 101..=140 {
            script.request(id, EVENTUAL);
        }
        script.sends.len() - before
    };
    assert!(out_at_most(20) > out_at_most(500) && out_at_most(500) >= 1);
}

/// Requests in flight at the only endpoint of a group, while more wait.
fn in_flight_at_the_primary(script: &mut Script, from: u64) -> usize {
    let before = script.sends.len();
    (from..from + 60).for_each(|id| script.request(id, WRITE));
    script.sends.len() - before
}

/// Two processes of one gateway have no more in flight at an endpoint together than one may: the
/// limit it had reached, or the initial one if that is higher.
#[rstest::rstest]
#[case::nothing_learned(0, 0)]
#[case::a_quick_member(300, 0)]
#[case::a_slow_member(90, 1_000)]
fn second_router_keeps_the_sum_of_limits(#[case] answers: u64, #[case] after_ms: i64) {
    let learned = || {
        let mut script = Script::group(settings(), 1, 1);
        for last in (9..=answers).step_by(9) {
            // Nine at a time: a limit grows by what is needed.
            (last - 8..=last).for_each(|id| script.request(id, WRITE));
            script.advance(after_ms);
            for id in last - 8..=last {
                let end = script
                    .sent_to(id)
                    .and_then(|_| script.end_event(id, Outcome::Ok, PRIMARY, None));
                script.step(&end.into_iter().collect::<Vec<_>>());
            }
            script.advance(4_000);
        }
        script
    };
    let alone = in_flight_at_the_primary(&mut learned(), 10_000);
    let start = in_flight_at_the_primary(&mut Script::group(settings(), 1, 1), 10_000);
    let (mut old, mut new) = (learned(), Script::group(settings(), 1, 1));
    old.step(&[PolicyEvent::RouterCount(2 * settings().routers)]);
    new.step(&[PolicyEvent::RouterCount(2 * settings().routers)]);
    let both =
        in_flight_at_the_primary(&mut old, 10_000) + in_flight_at_the_primary(&mut new, 10_000);
    assert!(
        both <= alone.max(start) && both >= 2,
        "{both} by two routers, {alone} and {start} by one"
    );
    // Fewer routers raise nothing: their number may be wrong.
    let mut fewer = learned();
    fewer.step(&[
        PolicyEvent::RouterCount(2 * settings().routers),
        PolicyEvent::RouterCount(settings().routers),
    ]);
    assert!(
        in_flight_at_the_primary(&mut fewer, 10_000) <= alone.div_ceil(2) + 1,
        "a limit grows by answers"
    );
}

#[test]
fn repeatedly_reduced_limit_admits_a_read() {
    let mut script = Script::group(settings(), 1, 1);
    (0..20)
        .flat_map(|_| [4, 2])
        .for_each(|n| script.step(&[PolicyEvent::RouterCount(n)]));
    script.request(1, EVENTUAL);
    assert_eq!(script.sent_to(1), Some(1));
}

#[test]
fn short_client_timeouts_keep_the_limit() {
    let mut script = Script::group(settings(), 2, 1);
    for id in 1..=30 {
        script.request_with(id, EVENTUAL, 20, None);
        script.advance(20);
    }
    (101..=106).for_each(|id| script.request(id, EVENTUAL));
    assert!(
        (101..=106).all(|id| script.sent_to(id) == Some(2)),
        "six at once, of the eight that it may have at first"
    );
}
