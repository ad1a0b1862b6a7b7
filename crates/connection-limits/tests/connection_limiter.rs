//! Tests of admission, eviction and the limits of the connection limiter.

use proptest::prelude::*;
use rstest::rstest;

use valehatch_connection_limits::{
    ANSWER_SETTLE_TIME, AdmissionDecision, ConnectionActivity, ConnectionCounts, ConnectionLimiter,
    ConnectionLimits, Eviction,
};
use valehatch_policy::{Span, Time};

const LIMITS: ConnectionLimits = ConnectionLimits {
    total: 64,
    overflow: 8,
    upstream: 32,
    active_clients: usize::MAX,
    settle_time: ANSWER_SETTLE_TIME,
};

fn ms(n: i64) -> Time {
    Time(n * 1000)
}

/// A limiter with connections 1 to `count`, all in `activity` since 0.
fn limiter_with(activity: ConnectionActivity, count: u64) -> ConnectionLimiter {
    let mut limiter = ConnectionLimiter::new(LIMITS);
    for id in 1..=count {
        limiter.admit(ms(0), id);
        limiter.set_activity(id, activity, ms(0));
    }
    limiter
}

fn eviction(id: u64, activity: ConnectionActivity) -> Eviction {
    Eviction { id, activity }
}

/// Evicts until no further connection is chosen.
fn evict_all(limiter: &mut ConnectionLimiter, now: Time) -> Vec<Eviction> {
    std::iter::from_fn(|| limiter.evict_idle(now)).collect()
}

#[rstest]
// Of 64 descriptors, 8 are kept free of unused connections and 2 of others; 2 are reserved for
// upstream connections.
#[case::unused_after_grace(ConnectionActivity::Unused, 57, 50, 3)]
#[case::unused_within_grace(ConnectionActivity::Unused, 57, 49, 0)]
#[case::unused_with_headroom(ConnectionActivity::Unused, 54, 9_000, 0)]
#[case::after_one_within_settle_time(ConnectionActivity::IdleAfterOne, 62, 249, 0)]
#[case::after_one_settled(ConnectionActivity::IdleAfterOne, 62, 250, 2)]
#[case::after_one_with_headroom(ConnectionActivity::IdleAfterOne, 60, 9_000, 0)]
#[case::reused_settled(ConnectionActivity::IdleReused, 62, 250, 2)]
#[case::partial_in_the_majority(ConnectionActivity::PartialRequest, 62, 250, 2)]
#[case::active(ConnectionActivity::Active, 62, 9_000, 0)]
fn idle_connections_short_descriptors_evicts_longest_idle(
    #[case] activity: ConnectionActivity,
    #[case] count: u64,
    #[case] at: i64,
    #[case] evicted_count: usize,
) {
    let mut limiter = limiter_with(activity, count);
    let evicted = evict_all(&mut limiter, ms(at));
    assert_eq!(
        evicted,
        (1..=evicted_count as u64)
            .map(|id| Eviction { id, activity })
            .collect::<Vec<_>>(),
        "longest idle first"
    );
    limiter.check().unwrap();
}

#[rstest]
// Of 32 active clients, 8 are kept free.
#[case::headroom_is_free(ConnectionActivity::IdleAfterOne, 24, 9_000, 0)]
#[case::one_over(ConnectionActivity::IdleAfterOne, 25, 9_000, 1)]
#[case::many_over(ConnectionActivity::IdleAfterOne, 40, 9_000, 16)]
#[case::after_one_within_settle_time(ConnectionActivity::IdleAfterOne, 40, 249, 0)]
#[case::reused_is_exempt(ConnectionActivity::IdleReused, 40, 9_000, 0)]
#[case::active(ConnectionActivity::Active, 40, 9_000, 0)]
#[case::unused_does_not_count(ConnectionActivity::Unused, 40, 9_000, 0)]
fn few_active_clients_left_evicts_idle_after_one(
    #[case] activity: ConnectionActivity,
    #[case] count: u64,
    #[case] at: i64,
    #[case] evicted_count: usize,
) {
    let mut limiter = limiter_with(activity, count);
    limiter.resize(ConnectionLimits {
        active_clients: 32,
        ..LIMITS
    });
    let evicted = evict_all(&mut limiter, ms(at));
    assert_eq!(
        evicted,
        (1..=evicted_count as u64)
            .map(|id| Eviction { id, activity })
            .collect::<Vec<_>>(),
        "longest idle first"
    );
    limiter.check().unwrap();
}

#[test]
fn partial_requests_in_the_minority_are_kept() {
    let mut limiter = limiter_with(ConnectionActivity::PartialRequest, 32);
    for id in 33..=62 {
        limiter.admit(ms(0), id);
    }
    let evicted = evict_all(&mut limiter, ms(9_000));
    assert!(
        evicted.len() == 8
            && evicted
                .iter()
                .all(|e| e.id > 32 && e.activity == ConnectionActivity::Unused),
        "{evicted:?}"
    );
}

#[test]
fn reused_connections_are_evicted_after_those_idle_after_one() {
    let mut limiter = limiter_with(ConnectionActivity::IdleReused, 61);
    limiter.admit(ms(0), 62);
    limiter.set_activity(62, ConnectionActivity::IdleAfterOne, ms(5_000));
    assert_eq!(
        limiter.evict_idle(ms(9_000)),
        Some(eviction(62, ConnectionActivity::IdleAfterOne)),
        "although it has been idle for less time"
    );
}

#[test]
fn failed_eviction_restarts_the_settle_time() {
    let mut limiter = limiter_with(ConnectionActivity::IdleAfterOne, 62);
    assert_eq!(
        limiter.evict_idle(ms(1_000)),
        Some(eviction(1, ConnectionActivity::IdleAfterOne))
    );
    limiter.set_activity(1, ConnectionActivity::PartialRequest, ms(1_000));
    assert_eq!(
        evict_all(&mut limiter, ms(1_000)).first(),
        Some(&eviction(2, ConnectionActivity::IdleAfterOne))
    );
}

#[test]
fn exhausted_budget_admits_overflow_after_delay() {
    let mut limiter = limiter_with(ConnectionActivity::PartialRequest, 61);
    assert!(limiter.can_admit(ms(0)));
    limiter.admit(ms(0), 62);
    assert!(!limiter.can_admit(ms(0)) && !limiter.can_admit(ms(49)));
    assert!(
        limiter.can_admit(ms(50)),
        "the overflow is available after the delay"
    );
    for id in 63..=66 {
        limiter.admit(ms(50), id);
    }
    assert!(!limiter.can_admit(ms(60)), "the overflow is bounded");
    for id in 1..=10 {
        limiter.remove(id);
    }
    assert!(limiter.can_admit(ms(60)));
    for id in 11..=20 {
        limiter.admit(ms(60), 100 + id);
    }
    assert!(!limiter.can_admit(ms(60)), "the delay starts again");
}

#[rstest]
#[case::requests_hold_the_budget(30, 10, AdmissionDecision::Reject)]
#[case::partial_requests_hold_the_budget(10, 50, AdmissionDecision::Admit)]
#[case::descriptors_are_free(20, 10, AdmissionDecision::Admit)]
fn complete_request_is_rejected_only_if_requests_hold_the_budget(
    #[case] active: u64,
    #[case] partial: u64,
    #[case] expected: AdmissionDecision,
) {
    let mut limiter = limiter_with(ConnectionActivity::PartialRequest, partial);
    for id in 100..100 + active {
        limiter.admit(ms(0), id);
        limiter.set_activity(id, ConnectionActivity::Active, ms(0));
    }
    assert_eq!(limiter.decide_request(), expected);
}

#[test]
fn upstream_connections_share_the_budget_with_clients() {
    let mut limiter = ConnectionLimiter::new(LIMITS);
    let mut clients = 0;
    while limiter.can_admit(ms(0)) {
        clients += 1;
        limiter.admit(ms(0), clients);
    }
    assert_eq!(clients, 62, "all descriptors but the upstream headroom");
    for _ in 0..10 {
        assert!(limiter.try_acquire_upstream());
    }
    assert!(
        !limiter.try_acquire_upstream(),
        "upstream connections do not exceed the overflow"
    );
    assert_eq!(
        evict_all(&mut limiter, ms(1_000)).len(),
        18,
        "idle clients are evicted for upstream connections"
    );
    limiter.release_upstream();
    assert_eq!(
        limiter.counts(),
        ConnectionCounts {
            clients: 62,
            upstream: 9
        }
    );
}

#[test]
fn smaller_limits_evict_idle_connections() {
    let mut limiter = limiter_with(ConnectionActivity::IdleAfterOne, 60);
    limiter.resize(ConnectionLimits {
        total: 32,
        upstream: 16,
        ..LIMITS
    });
    assert!(!limiter.can_admit(ms(250)));
    assert_eq!(evict_all(&mut limiter, ms(250)).len(), 30);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Accept,
    SetActivity(u64, ConnectionActivity),
    Remove(u64),
    OpenUpstream,
    CloseUpstream,
    Evict,
    Wait(i64),
}

fn step() -> impl Strategy<Value = Step> {
    use ConnectionActivity::{Active, IdleAfterOne, IdleReused, PartialRequest, Unused};
    let activity = prop::sample::select(vec![
        Unused,
        PartialRequest,
        Active,
        IdleAfterOne,
        IdleReused,
    ]);
    prop_oneof![
        6 => Just(Step::Accept),
        6 => (0..400_u64, activity).prop_map(|(id, activity)| Step::SetActivity(id, activity)),
        2 => (0..400_u64).prop_map(Step::Remove),
        2 => any::<bool>().prop_map(|opens| match opens {
            true => Step::OpenUpstream,
            false => Step::CloseUpstream,
        }),
        3 => Just(Step::Evict),
        2 => (0..200_i64).prop_map(Step::Wait),
    ]
}

proptest! {
    #[test]
    fn random_steps_keep_the_limits_and_never_evict_active_connections(
        steps in prop::collection::vec(step(), 1..400),
    ) {
        let mut limiter = ConnectionLimiter::new(LIMITS);
        let (mut now, mut next, mut upstream) = (ms(0), 0, 0_usize);
        for step in steps {
            match step {
                Step::Accept => if limiter.can_admit(now) {
                    limiter.admit(now, next);
                    next += 1;
                },
                Step::SetActivity(id, activity) => limiter.set_activity(id, activity, now),
                Step::Remove(id) => limiter.remove(id),
                Step::OpenUpstream => if upstream < LIMITS.upstream {
                    upstream += usize::from(limiter.try_acquire_upstream());
                },
                Step::CloseUpstream => if upstream > 0 {
                    limiter.release_upstream();
                    upstream -= 1;
                },
                Step::Evict => while let Some(evicted) = limiter.evict_idle(now) {
                    let not_evictable = [ConnectionActivity::Active, ConnectionActivity::Closing];
                    prop_assert!(!not_evictable.contains(&evicted.activity), "{:?}", evicted);
                },
                Step::Wait(n) => now = now + Span::from_millis(n),
            }
            let counts = limiter.counts();
            prop_assert!(counts.clients + counts.upstream <= LIMITS.total + LIMITS.overflow);
            prop_assert!(counts.upstream == upstream);
            prop_assert_eq!(limiter.check(), Ok(()));
        }
    }
}
