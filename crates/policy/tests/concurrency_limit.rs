//! How many attempts an endpoint may have in flight.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn slow_responses_reduce_the_limit() {
    let sent_at_once = |latency: i64| {
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
    assert!(sent_at_once(20) > sent_at_once(500) && sent_at_once(500) >= 1);
}

/// Sends 60 writes to the only endpoint of a group. Returns how many are in flight while the others
/// wait.
fn in_flight_at_primary(script: &mut Script, from: u64) -> usize {
    let before = script.sends.len();
    (from..from + 60).for_each(|id| script.request(id, WRITE));
    script.sends.len() - before
}

/// Two processes of one gateway together have no more attempts in flight at an endpoint than one
/// process may have: the limit that it had reached, or the initial limit if that is higher.
#[rstest::rstest]
#[case::no_responses(0, 0)]
#[case::quick_endpoint(300, 0)]
#[case::slow_endpoint(90, 1_000)]
fn second_router_keeps_the_sum_of_limits(#[case] responses: u64, #[case] after_ms: i64) {
    let trained_router = || {
        let mut script = Script::group(settings(), 1, 1);
        for last in (9..=responses).step_by(9) {
            // Nine at a time: a limit grows only as far as it is used.
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
    let alone = in_flight_at_primary(&mut trained_router(), 10_000);
    let start = in_flight_at_primary(&mut Script::group(settings(), 1, 1), 10_000);
    let (mut old, mut new) = (trained_router(), Script::group(settings(), 1, 1));
    old.step(&[PolicyEvent::RouterCount(2 * settings().routers)]);
    new.step(&[PolicyEvent::RouterCount(2 * settings().routers)]);
    let both = in_flight_at_primary(&mut old, 10_000) + in_flight_at_primary(&mut new, 10_000);
    assert!(
        both <= alone.max(start) && both >= 2,
        "{both} in flight from two routers; from one: {alone} after responses, {start} at first"
    );
    // A smaller number of routers raises no limit, because the number may be wrong.
    let mut fewer = trained_router();
    fewer.step(&[
        PolicyEvent::RouterCount(2 * settings().routers),
        PolicyEvent::RouterCount(settings().routers),
    ]);
    assert!(
        in_flight_at_primary(&mut fewer, 10_000) <= alone.div_ceil(2) + 1,
        "a limit grows only with responses"
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
        "six attempts at once are below the initial limit of eight"
    );
}
