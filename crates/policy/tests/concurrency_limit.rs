//! How many attempts an endpoint may have in flight.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn slow_responses_reduce_the_limit() {
    let out_at_most = |latency: i64| {
        let mut s = Script::group(settings(), 2, 1);
        for id in 1..=40 {
            s.request(id, ANY);
            s.run(latency);
            if s.at(id).is_some() && !s.answers.contains_key(&RequestId(id)) {
                s.end(id, Outcome::Ok, REPLICA);
            }
        }
        let before = s.sends.len();
        for id in 101..=140 {
            s.request(id, ANY);
        }
        s.sends.len() - before
    };
    assert!(out_at_most(20) > out_at_most(500) && out_at_most(500) >= 1);
}

/// Requests that are out at the one member of a group, with as many waiting as there may be.
fn in_flight_at_the_primary(s: &mut Script, from: u64) -> usize {
    let before = s.sends.len();
    (from..from + 60).for_each(|id| s.request(id, WRITE));
    s.sends.len() - before
}

/// Two processes that are one gateway have no more out at a member together than one may: what it had learned, or what
/// it begins with if that is more.
#[rstest::rstest]
#[case::nothing_learned(0, 0)]
#[case::a_quick_member(300, 0)]
#[case::a_slow_member(90, 1_000)]
fn second_router_keeps_the_sum_of_limits(#[case] answers: u64, #[case] after_ms: i64) {
    let learned = || {
        let mut s = Script::group(settings(), 1, 1);
        for last in (9..=answers).step_by(9) {
            // Nine at a time: a limit grows by what is needed.
            (last - 8..=last).for_each(|id| s.request(id, WRITE));
            s.run(after_ms);
            for id in last - 8..=last {
                let end = s
                    .at(id)
                    .and_then(|_| s.ended(id, Outcome::Ok, PRIMARY, None));
                s.step(&end.into_iter().collect::<Vec<_>>());
            }
            s.run(4_000);
        }
        s
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
        "{both} by two, {alone} and {start} by one"
    );
    // Fewer routers raise nothing: what is heard of them may be wrong.
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
    let mut s = Script::group(settings(), 1, 1);
    (0..20)
        .flat_map(|_| [4, 2])
        .for_each(|n| s.step(&[PolicyEvent::RouterCount(n)]));
    s.request(1, ANY);
    assert_eq!(s.at(1), Some(1));
}

#[test]
fn short_client_timeouts_keep_the_limit() {
    let mut s = Script::group(settings(), 2, 1);
    for id in 1..=30 {
        s.request_with(id, ANY, 20, None);
        s.run(20);
    }
    (101..=106).for_each(|id| s.request(id, ANY));
    assert!(
        (101..=106).all(|id| s.at(id) == Some(2)),
        "six at once, of the eight that it may have at first"
    );
}
