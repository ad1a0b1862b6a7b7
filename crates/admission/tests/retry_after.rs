//! Retry-After hints are spread over future capacity, and reservations are usable only within their
//! tolerance.

use std::collections::BTreeMap;

use valehatch_admission::retry_after::{Reservation, RetryAfterCalendar};
use valehatch_policy::{Span, Time};

const fn ms(n: i64) -> Span {
    Span::from_millis(n)
}

/// Reservation of a 50 ms check behind a backlog, at a rate of 400 checks per second.
const fn reservation(client: u64, backlog: Span) -> Reservation {
    Reservation {
        client,
        cost: ms(50),
        backlog,
        cost_per_microsecond: 20.0,
        max_retry_after: ms(2000),
    }
}

#[test]
fn simultaneous_rejections_get_spread_hints_until_calendar_is_full() {
    let mut calendar = RetryAfterCalendar::new(Time(0));
    // 20 checks of 50 ms run at once, which is 400 per second; 1,000 clients are rejected together.
    let hints: Vec<Option<Span>> = (0..1000)
        .map(|n| calendar.reserve(Time(0), &reservation(n, ms(1000))))
        .collect();
    let reserved_hints: Vec<i64> = hints.iter().flatten().map(|h| h.0).collect();
    assert!(
        (350..550).contains(&reserved_hints.len()),
        "{}",
        reserved_hints.len()
    );
    assert!(
        hints[reserved_hints.len()..].iter().all(Option::is_none),
        "the longest Retry-After leaves no capacity for the rest"
    );
    assert!(*reserved_hints.first().unwrap() >= 300_000, "shortest hint");
    let mut by_slot = BTreeMap::new();
    for hint in &reserved_hints {
        *by_slot.entry(hint / 50_000).or_insert(0) += 1;
    }
    let mean = reserved_hints.len() / by_slot.len();
    assert!(
        by_slot.values().all(|n| *n <= mean * 3 / 2 + 1),
        "{by_slot:?}"
    );
    // Unused reservations lapse, so the capacity is free again.
    let later = calendar
        .reserve(Time(2_100_000), &reservation(5000, Span(0)))
        .unwrap();
    assert!(
        later <= ms(400),
        "hint after the reservations lapsed: {later:?}"
    );
}

#[test]
fn early_return_does_not_use_reservation() {
    let mut calendar = RetryAfterCalendar::new(Time(0));
    let hint = calendar
        .reserve(Time(0), &reservation(1, ms(20_000)))
        .unwrap();
    assert_eq!(calendar.use_reservation(Time(0) + hint - ms(51), 1), None);
    assert_eq!(
        calendar.use_reservation(Time(0) + hint - ms(50), 1),
        Some(Time(0) + hint)
    );
    assert_eq!(
        calendar.use_reservation(Time(0) + hint, 1),
        None,
        "used once only"
    );
}
