//! Seeded random worlds: the checks of the script hold whatever outcomes come, and the same events give the
//! same actions.

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::*;
use valehatch_policy::*;

#[derive(Clone, Debug)]
enum Move {
    Request(usize, i64, Option<i64>),
    End(u8, u8),
    LoadReport(u32, i64, bool),
    ProbeFails(u32, bool),
    List(u32, u8),
    Abort(u8),
    Run(i64),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = prop_oneof![
        5 => (0..7_usize, 100..3000_i64, prop::option::of(1..900_i64)).prop_map(|(c, l, w)| Move::Request(c, l, w)),
        5 => (any::<u8>(), 0..9_u8).prop_map(|(r, o)| Move::End(r, o)),
        3 => (1..6_u32, 0..800_i64, any::<bool>()).prop_map(|(n, a, p)| Move::LoadReport(n, a, p)),
        1 => (1..6_u32, any::<bool>()).prop_map(|(n, c)| Move::ProbeFails(n, c)),
        1 => (1..6_u32, 0..3_u8).prop_map(|(n, s)| Move::List(n, s)),
        1 => any::<u8>().prop_map(Move::Abort),
        5 => (5..400_i64).prop_map(Move::Run),
    ];
    prop::collection::vec(one, 1..120)
}

fn play(
    moves: &[Move],
    stale_read_policy: StaleReadPolicy,
    sessions: SessionTracking,
    asked: bool,
) -> Script {
    let mut cfg = settings();
    cfg.stale_read_policy = stale_read_policy;
    cfg.sessions = sessions;
    cfg.discovery_mode = if asked {
        DiscoveryMode::Poll
    } else {
        DiscoveryMode::Watch
    };
    let mut s = Script::group(cfg, 5, 2);
    let mut next = 0;
    for m in moves {
        match *m {
            Move::Request(class, left, wrote) => {
                next += 1;
                s.request_with(
                    next,
                    ClassId(class),
                    left,
                    wrote.filter(|_| sessions == SessionTracking::ClientProvided),
                );
            }
            Move::End(which, how) if next > 0 => {
                let id = u64::from(which) % next + 1;
                let (outcome, role) = match how {
                    0 | 1 => (Outcome::Ok, Some(Role::Primary)),
                    2 => (Outcome::Misdirected, Some(Role::Replica)),
                    3 => (Outcome::Rejected, None),
                    4 => (Outcome::Error, Some(Role::Replica)),
                    5 => (Outcome::ConnectFailed, None),
                    6 => (Outcome::Reset, None),
                    7 => (Outcome::Cancelled, None),
                    _ => (Outcome::NotSent, None),
                };
                if let Some(event) = s.ended(id, outcome, role, None) {
                    s.step(&[event]);
                }
            }
            Move::End(..) => {}
            Move::LoadReport(endpoint, age, primary) => s.report(endpoint, age, primary),
            Move::ProbeFails(endpoint, connect) => {
                s.probed(
                    endpoint,
                    if connect {
                        Outcome::ConnectFailed
                    } else {
                        Outcome::Timeout
                    },
                    None,
                );
            }
            Move::List(endpoint, state) => {
                let state = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][usize::from(state)];
                s.list(false, vec![entry(endpoint, false, state)]);
            }
            Move::Abort(which) if next > 0 => s.abort(u64::from(which) % next + 1),
            Move::Abort(_) => s.step(&[PolicyEvent::DiscoveryFailed]),
            Move::Run(span) => s.run(span),
        }
    }
    s.run(3100);
    s
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[23; 32]))
}

#[test]
fn random_events_keep_the_rules_and_end_every_request() {
    let stale_read_policy = prop_oneof![
        Just(StaleReadPolicy::Serve),
        Just(StaleReadPolicy::Reject),
        Just(StaleReadPolicy::WaitThenReject(ms(50)))
    ];
    let sessions = prop_oneof![
        Just(SessionTracking::ClientProvided),
        Just(SessionTracking::RouterTracked)
    ];
    runner()
        .run(
            &(moves(), stale_read_policy, sessions, any::<bool>()),
            |(moves, stale_read_policy, sessions, asked)| {
                let s = play(&moves, stale_read_policy, sessions, asked);
                prop_assert!(s.unfinished().is_empty(), "no end for {:?}", s.unfinished());
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn same_events_give_same_actions() {
    runner()
        .run(&moves(), |moves| {
            let one = play(
                &moves,
                StaleReadPolicy::Serve,
                SessionTracking::ClientProvided,
                true,
            )
            .all;
            let two = play(
                &moves,
                StaleReadPolicy::Serve,
                SessionTracking::ClientProvided,
                true,
            )
            .all;
            prop_assert_eq!(one, two);
            Ok(())
        })
        .unwrap();
}
