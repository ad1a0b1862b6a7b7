//! Tests of each limit at its boundary.

use std::num::NonZeroUsize;

use proptest::prelude::*;
use valehatch_rate_limit::*;

fn size(n: usize) -> NonZeroUsize {
    NonZeroUsize::new(n).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sources_stay_within_total_rate(
        requests in prop::collection::vec((0..8_u8, 0..40_000_i64), 1..600), source_rate in 1..20_u32, total_rate in 1..40_u32,
    ) {
        let mut sources = SourceRateLimiter::new(source_rate, total_rate, size(4), 0);
        let (mut now, mut granted) = (0, vec![]);
        for (source, gap) in requests {
            now += gap;
            if sources.admit(now, source) == RateLimitDecision::Granted {
                granted.push((now, source));
            }
            prop_assert!(sources.len() <= 4);
        }
        // Within any second at most the tokens of a full bucket and those added in that second are
        // granted.
        for (n, (from, _)) in granted.iter().enumerate() {
            let within = granted[n..].iter().take_while(|(at, _)| at - from < 1_000_000).count();
            prop_assert!(within <= 2 * total_rate as usize, "{within} requests granted within a second");
        }
    }

    #[test]
    fn used_time_stays_within_cpu_share(uses in prop::collection::vec((0..50_000_i64, 0..30_000_i64), 1..200), fraction in 0.01..1.0_f64) {
        let mut share = CpuShare::new(fraction, 0);
        let (mut now, mut used) = (0_i64, 0_i64);
        for (gap, time) in uses {
            now += gap + time;
            used += time;
            now += share.record_used(now, time);
        }
        // The used time fits into the share of the elapsed time plus the time saved at the start.
        #[allow(clippy::cast_precision_loss)]
        let earned = now as f64 * fraction + 100_000.0 * fraction + 1.0;
        #[allow(clippy::cast_precision_loss)]
        { prop_assert!(used as f64 <= earned + 200.0, "{used} of {earned}"); }
    }
}

#[test]
fn busy_source_is_limited_and_another_is_not() {
    let mut sources = SourceRateLimiter::new(5, 100, size(16), 0);
    let first: Vec<_> = (0..7).map(|_| sources.admit(0, 1)).collect();
    assert_eq!(
        first,
        [
            [RateLimitDecision::Granted; 5].as_slice(),
            &[RateLimitDecision::Source; 2]
        ]
        .concat()
    );
    assert_eq!(sources.admit(0, 2), RateLimitDecision::Granted);
    assert_eq!(
        sources.admit(200_000, 1),
        RateLimitDecision::Granted,
        "a fifth of a second earns one token"
    );
    assert_eq!(sources.admit(200_000, 1), RateLimitDecision::Source);
}

#[test]
fn message_is_timely_within_150_seconds_of_same_boot() {
    let engine_time = EngineTime {
        boots: 3,
        time: 1000,
    };
    for (boots, time, timely) in [
        (3, 850, true),
        (3, 849, false),
        (3, 1150, true),
        (3, 1151, false),
        (2, 1000, false),
        (4, 1000, false),
    ] {
        assert_eq!(
            engine_time.is_timely(boots, time),
            timely,
            "{boots}, {time}"
        );
    }
    let exhausted = EngineTime {
        boots: MAX_BOOTS,
        time: 5,
    };
    assert!(!exhausted.is_timely(MAX_BOOTS, 5));
    assert_eq!(engine_time.updated_by(3, 999), engine_time);
    assert_eq!(
        engine_time.updated_by(4, 1),
        EngineTime { boots: 4, time: 1 }
    );
}

#[test]
fn walk_keeps_its_snapshot_until_it_steps_back() {
    let mut cache: SnapshotCache<u8, u32> = SnapshotCache::new(size(2), 100, 1000);
    let mut next = 0;
    let mut step = |cache: &mut SnapshotCache<u8, u32>, now, source, request, name: &[u32]| {
        cache.step(now, source, request, name, || {
            next += 1;
            next
        })
    };
    assert_eq!(step(&mut cache, 0, 1, 1, &[1]), 1);
    assert_eq!(
        step(&mut cache, 10, 1, 2, &[1, 5]),
        1,
        "a step forward continues the walk"
    );
    assert_eq!(
        step(&mut cache, 20, 1, 2, &[1, 5]),
        1,
        "a retransmission of the same datagram"
    );
    assert_eq!(
        step(&mut cache, 20, 2, 9, &[1]),
        2,
        "another source has its own walk"
    );
    assert_eq!(
        step(&mut cache, 30, 1, 3, &[1, 5]),
        3,
        "the same name in a new request"
    );
    assert_eq!(
        step(&mut cache, 40, 1, 4, &[1]),
        4,
        "a step back begins a new walk"
    );
    assert_eq!(
        step(&mut cache, 141, 1, 5, &[2]),
        5,
        "a walk ends after the maximum silence"
    );
    for at in 1..12 {
        step(
            &mut cache,
            141 + at * 90,
            1,
            6,
            &[2 + u32::try_from(at).unwrap()],
        );
    }
    assert_eq!(
        step(&mut cache, 1230, 1, 7, &[90]),
        6,
        "no walk is kept for longer than the maximum age"
    );
    step(&mut cache, 1230, 3, 1, &[1]);
    assert_eq!(cache.len(), 2, "the cache stays within its size");
    cache.remove_ended(1331);
    assert!(cache.is_empty());
}
