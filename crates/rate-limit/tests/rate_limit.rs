//! Each bound at its edge.

use std::num::NonZeroUsize;

use proptest::prelude::*;
use valehatch_rate_limit::*;

fn size(n: usize) -> NonZeroUsize {
    NonZeroUsize::new(n).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_source_gets_more_than_its_rate_and_all_not_more_than_theirs(
        asked in prop::collection::vec((0..8_u8, 0..40_000_i64), 1..600), each in 1..20_u32, total in 1..40_u32,
    ) {
        let mut sources = SourceRateLimiter::new(each, total, size(4), 0);
        let (mut now, mut granted) = (0, vec![]);
        for (source, gap) in asked {
            now += gap;
            if sources.admit(now, source) == RateLimitDecision::Granted {
                granted.push((now, source));
            }
            prop_assert!(sources.len() <= 4);
        }
        // Within any second: what a full bucket holds and what flows in.
        for (n, (from, _)) in granted.iter().enumerate() {
            let within = granted[n..].iter().take_while(|(at, _)| at - from < 1_000_000).count();
            prop_assert!(within <= 2 * total as usize, "{within} of all");
        }
    }

    #[test]
    fn the_share_of_a_core_is_kept(uses in prop::collection::vec((0..50_000_i64, 0..30_000_i64), 1..200), part in 0.01..1.0_f64) {
        let mut share = TimeShare::new(part, 0);
        let (mut now, mut used) = (0_i64, 0_i64);
        for (gap, time) in uses {
            now += gap + time;
            used += time;
            now += share.used(now, time);
        }
        // All that was used fits in what was earned, and what was saved up at the start.
        #[allow(clippy::cast_precision_loss)]
        let earned = now as f64 * part + 100_000.0 * part + 1.0;
        #[allow(clippy::cast_precision_loss)]
        { prop_assert!(used as f64 <= earned + 200.0, "{used} of {earned}"); }
    }
}

#[test]
fn one_source_alone_is_bounded_and_another_is_not_hurt() {
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
        "a fifth of a second earns one"
    );
    assert_eq!(sources.admit(200_000, 1), RateLimitDecision::Source);
}

#[test]
fn a_window_is_150_seconds_wide_on_both_sides_and_of_one_boot() {
    let window = Window {
        boots: 3,
        time: 1000,
    };
    for (boots, time, holds) in [
        (3, 850, true),
        (3, 849, false),
        (3, 1150, true),
        (3, 1151, false),
        (2, 1000, false),
        (4, 1000, false),
    ] {
        assert_eq!(window.holds(boots, time), holds, "{boots}, {time}");
    }
    let stuck = Window {
        boots: BOOTS_STUCK,
        time: 5,
    };
    assert!(!stuck.holds(BOOTS_STUCK, 5));
    assert_eq!(window.learn(3, 999), window);
    assert_eq!(window.learn(4, 1), Window { boots: 4, time: 1 });
}

#[test]
fn a_walk_keeps_its_picture_and_a_step_back_takes_a_new_one() {
    let mut pins: SnapshotCache<u8, u32> = SnapshotCache::new(size(2), 100, 1000);
    let mut next = 0;
    let mut step = |pins: &mut SnapshotCache<u8, u32>, now, source, request, name: &[u32]| {
        pins.step(now, source, request, name, || {
            next += 1;
            next
        })
    };
    assert_eq!(step(&mut pins, 0, 1, 1, &[1]), 1);
    assert_eq!(step(&mut pins, 10, 1, 2, &[1, 5]), 1, "forward");
    assert_eq!(
        step(&mut pins, 20, 1, 2, &[1, 5]),
        1,
        "the same datagram once more"
    );
    assert_eq!(step(&mut pins, 20, 2, 9, &[1]), 2, "another source");
    assert_eq!(
        step(&mut pins, 30, 1, 3, &[1, 5]),
        3,
        "the same name, asked anew"
    );
    assert_eq!(step(&mut pins, 40, 1, 4, &[1]), 4, "back");
    assert_eq!(step(&mut pins, 141, 1, 5, &[2]), 5, "after a silence");
    for at in 1..12 {
        step(
            &mut pins,
            141 + at * 90,
            1,
            6,
            &[2 + u32::try_from(at).unwrap()],
        );
    }
    assert_eq!(
        step(&mut pins, 1230, 1, 7, &[90]),
        6,
        "none is kept for longer than the longest"
    );
    step(&mut pins, 1230, 3, 1, &[1]);
    assert_eq!(pins.len(), 2, "no more than its size");
    pins.sweep(1331);
    assert!(pins.is_empty());
}
