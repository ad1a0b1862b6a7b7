//! Seeded random events: the checks of the script hold for all outcomes, and the same events give
//! the same actions.

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::*;
use valehatch_policy::*;

#[derive(Clone, Debug)]
enum Step {
    Request(usize, i64, Option<i64>),
    End(u8, u8),
    LoadReport(u32, i64, bool),
    HealthCheckFails(u32, bool),
    List(u32, u8),
    Disconnect(u8),
    Advance(i64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0..7_usize, 100..3000_i64, prop::option::of(1..900_i64)).prop_map(|(c, l, w)| Step::Request(c, l, w)),
        5 => (any::<u8>(), 0..9_u8).prop_map(|(r, o)| Step::End(r, o)),
        3 => (1..6_u32, 0..800_i64, any::<bool>()).prop_map(|(n, a, p)| Step::LoadReport(n, a, p)),
        1 => (1..6_u32, any::<bool>()).prop_map(|(n, c)| Step::HealthCheckFails(n, c)),
        1 => (1..6_u32, 0..3_u8).prop_map(|(n, s)| Step::List(n, s)),
        1 => any::<u8>().prop_map(Step::Disconnect),
        5 => (5..400_i64).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..120)
}

fn run_steps(
    steps: &[Step],
    stale_read_policy: StaleReadPolicy,
    sessions: SessionTracking,
    polled_by_router: bool,
) -> Script {
    let mut cfg = settings();
    cfg.stale_read_policy = stale_read_policy;
    cfg.sessions = sessions;
    cfg.discovery_mode = if polled_by_router {
        DiscoveryMode::Poll
    } else {
        DiscoveryMode::Watch
    };
    let mut script = Script::group(cfg, 5, 2);
    let mut next = 0;
    for step in steps {
        match *step {
            Step::Request(class, time_left_ms, since_last_write) => {
                next += 1;
                script.request_with(
                    next,
                    ClassId(class),
                    time_left_ms,
                    since_last_write.filter(|_| sessions == SessionTracking::ClientProvided),
                );
            }
            Step::End(request, outcome) if next > 0 => {
                let id = u64::from(request) % next + 1;
                let (outcome, role) = match outcome {
                    0 | 1 => (Outcome::Ok, Some(Role::Primary)),
                    2 => (Outcome::Misdirected, Some(Role::Replica)),
                    3 => (Outcome::Rejected, None),
                    4 => (Outcome::Error, Some(Role::Replica)),
                    5 => (Outcome::ConnectFailed, None),
                    6 => (Outcome::Reset, None),
                    7 => (Outcome::Cancelled, None),
                    _ => (Outcome::NotSent, None),
                };
                if let Some(event) = script.end_event(id, outcome, role, None) {
                    script.step(&[event]);
                }
            }
            Step::End(..) => {}
            Step::LoadReport(endpoint, age, primary) => script.report(endpoint, age, primary),
            Step::HealthCheckFails(endpoint, connect) => {
                script.health_check_ended(
                    endpoint,
                    if connect {
                        Outcome::ConnectFailed
                    } else {
                        Outcome::Timeout
                    },
                    None,
                );
            }
            Step::List(endpoint, state) => {
                let state = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][usize::from(state)];
                script.list(false, vec![record(endpoint, false, state)]);
            }
            Step::Disconnect(request) if next > 0 => {
                script.disconnect(u64::from(request) % next + 1)
            }
            Step::Disconnect(_) => script.step(&[PolicyEvent::DiscoveryFailed]),
            Step::Advance(span) => script.advance(span),
        }
    }
    script.advance(3100);
    script
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
            &(steps(), stale_read_policy, sessions, any::<bool>()),
            |(steps, stale_read_policy, sessions, polled_by_router)| {
                let script = run_steps(&steps, stale_read_policy, sessions, polled_by_router);
                prop_assert!(
                    script.unfinished().is_empty(),
                    "no final answer for {:?}",
                    script.unfinished()
                );
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn same_events_give_same_actions() {
    runner()
        .run(&steps(), |steps| {
            let first = run_steps(
                &steps,
                StaleReadPolicy::Serve,
                SessionTracking::ClientProvided,
                true,
            )
            .actions;
            let second = run_steps(
                &steps,
                StaleReadPolicy::Serve,
                SessionTracking::ClientProvided,
                true,
            )
            .actions;
            prop_assert_eq!(first, second);
            Ok(())
        })
        .unwrap();
}
