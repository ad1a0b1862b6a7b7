//! Settings and inputs at the ends of their ranges: each has its documented effect, and no number
//! becomes NaN or infinite.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);

/// Sends requests that are answered at once, one after another; returns how many were rejected.
fn count_rejected(script: &mut Script, class: ClassId, first: u64, count: u64) -> usize {
    for id in first..first + count {
        script.request(id, class);
        if script.sent_to(id).is_some() {
            script.now = script.now + ms(20);
            script.end(id, Outcome::Ok, Some(Role::Replica));
        }
    }
    (first..first + count)
        .filter(|id| script.rejected(*id))
        .count()
}

#[test]
fn zero_priority_class_is_served() {
    let mut cfg = settings();
    cfg.classes[EVENTUAL.0].priority_weight = 0.0;
    let mut script = Script::group(cfg, 3, 1);
    assert_eq!(
        count_rejected(&mut script, EVENTUAL, 1, 100),
        0,
        "rejected of a hundred requests of priority 0"
    );
    assert_eq!(
        count_rejected(&mut script, BOUNDED, 101, 20),
        0,
        "rejected of the requests with a priority above 0"
    );
    assert_eq!(
        count_rejected(&mut script, EVENTUAL, 201, 100),
        0,
        "rejected of a hundred more requests of priority 0"
    );
    assert!(!script.debug_contains("NaN"));
}

#[test]
fn mixed_priority_classes_are_served() {
    let mut cfg = settings();
    (
        cfg.classes[EVENTUAL.0].priority_weight,
        cfg.classes[BOUNDED.0].priority_weight,
    ) = (0.0, 1e9);
    let mut script = Script::group(cfg, 3, 1);
    for n in 0..20 {
        assert_eq!(count_rejected(&mut script, BOUNDED, 1 + 100 * n, 5), 0);
        assert_eq!(count_rejected(&mut script, EVENTUAL, 50 + 100 * n, 5), 0);
    }
}

#[test]
fn zone_dedup_write_is_never_retried() {
    let mut cfg = settings();
    cfg.classes[KEYED.0].idempotency = Idempotency::IdempotencyKey {
        scope: DedupScope::Zone,
        window: ms(2000),
    };
    let mut script = Script::group(cfg, 3, 1);
    script.request(1, KEYED);
    script.end(1, Outcome::Reset, None);
    script.advance(100);
    assert_eq!(
        script.sends.len(),
        1,
        "the next primary may be in another zone"
    );
    assert!(script.failed(1), "the write may have run");
    // A write that certainly did not run is retried.
    script.request(2, KEYED);
    script.end(2, Outcome::Rejected, None);
    script.advance(1000);
    assert!(script.sends.iter().filter(|(id, _)| id.0 == 2).count() > 1);
}

#[test]
fn single_attempt_write_searches() {
    let mut cfg = settings();
    cfg.limits.max_attempts = 1;
    cfg.limits.health_checks = false;
    cfg.listed_role = ListedRole::Ignored;
    let mut script = Script::group(cfg, 3, 1);
    script.request(1, WRITE);
    script.end(1, Outcome::Misdirected, Some(Role::Replica));
    assert!(script.rejected(1));
    script.request(2, WRITE);
    script.advance(20);
    assert_eq!(script.sent_to(2), Some(2), "the next endpoint is tried");
    script.end(2, Outcome::Ok, Some(Role::Primary));
    script.request(3, WRITE);
    assert_eq!(
        script.sent_to(3),
        Some(2),
        "the endpoint that served the write is now the primary"
    );
}

#[test]
fn deadline_of_few_ticks_is_served() {
    let mut cfg = settings();
    (
        cfg.classes[EVENTUAL.0].deadline,
        cfg.classes[EVENTUAL.0].latency_objective,
    ) = (ms(30), ms(10));
    let mut script = Script::group(cfg, 3, 1);
    script.request_with(1, EVENTUAL, 30, None);
    assert!(
        script.sent_to(1).is_some(),
        "the request is not rejected on arrival"
    );
}

#[test]
fn tick_above_deadline_is_served() {
    let mut cfg = settings();
    cfg.tick = ms(1000);
    let mut script = Script::group(cfg, 3, 1);
    script.request(1, EVENTUAL);
    assert!(script.sent_to(1).is_some());
}

#[test]
fn zero_slow_start_duration_is_warm_at_once() {
    let mut cfg = settings();
    cfg.rules.slow_start_duration = Span(0);
    let mut script = Script::group(cfg, 3, 1);
    let started = |n, at| EndpointRecord {
        started: Some(at),
        ..record(n, false, EndpointState::Ready)
    };
    let now = script.now;
    script.list(false, vec![started(2, now), started(3, now)]);
    for id in 1..50 {
        script.request(id, EVENTUAL);
        let endpoint = script.sent_to(id).expect("sent on arrival");
        // Endpoint 3 is slow, which is remembered however short slow start is.
        script.now = script.now + ms(if endpoint == 3 { 400 } else { 20 });
        script.end(id, Outcome::Ok, Some(Role::Replica));
        assert!(!script.debug_contains("NaN"));
    }
    let slow = script
        .sends
        .iter()
        .filter(|(_, endpoint)| endpoint.0 == 3)
        .count();
    assert!(slow < 20, "the slow endpoint got {slow} of 49 requests");
}

#[test]
fn zero_latency_objective_keeps_numbers_finite() {
    let mut cfg = settings();
    cfg.classes
        .iter_mut()
        .for_each(|c| c.latency_objective = Span(0));
    let mut script = Script::group(cfg, 3, 1);
    for id in 1..20 {
        script.request(id, EVENTUAL);
        if script.sent_to(id).is_some() {
            script.end(id, Outcome::Ok, Some(Role::Replica));
        }
        assert!(
            !script.debug_contains("NaN")
                && !script.debug_contains(": inf")
                && !script.debug_contains("[inf")
        );
    }
}

/// Responses of endpoints at full capacity are remembered for longer than a short slow start lasts.
/// The budget divides them by that longer time; otherwise it would be too large.
#[test]
fn short_slow_start_stays_within_budget() {
    let mut cfg = settings();
    (
        cfg.rules.slow_start_duration,
        cfg.rules.overload_duration,
        cfg.rules.overload_multiple,
    ) = (ms(100), ms(100), 0.2);
    let mut script = Script::group(cfg, 3, 1);
    let mut id = 0;
    let mut reads = |script: &mut Script, count: usize| {
        for _ in 0..count {
            id += 1;
            script.request(id, EVENTUAL);
            script.now = script.now + Span(2500);
            script.end(id, Outcome::Ok, Some(Role::Replica));
        }
    };
    reads(&mut script, 400);
    let mut sent = 0;
    for endpoint in 10..20 {
        let now = script.now;
        script.list(
            false,
            vec![EndpointRecord {
                started: Some(now),
                ..record(endpoint, false, EndpointState::Ready)
            }],
        );
        reads(&mut script, 38);
        script.list(false, vec![record(endpoint, false, EndpointState::Removed)]);
        sent += script
            .sends
            .iter()
            .filter(|(_, to)| to.0 == endpoint)
            .count();
    }
    // Two endpoints at full capacity get 200 requests per second each. An endpoint in slow start
    // gets 0.2 of 0.6 of that: 2.4 requests in each of ten periods of 0.1 s.
    assert!(sent <= 24, "endpoints in slow start got {sent} requests");
}

#[test]
fn zero_latency_responses_shed_nothing() {
    let mut script = Script::group(settings(), 3, 1);
    for id in 1..=8000 {
        script.request(id, EVENTUAL);
        script.end(id, Outcome::Ok, Some(Role::Replica));
    }
    assert!(
        !script.debug_contains("NaN")
            && !script.debug_contains(": inf")
            && !script.debug_contains("[inf")
    );
    assert_eq!((1..=8000).filter(|id| script.rejected(*id)).count(), 0);
}

#[test]
fn overflowing_last_write_age_is_accepted() {
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::Reject;
    let mut script = Script::group(cfg, 3, 1);
    script.request_with(1, SESSION, 3000, Some(i64::MAX / 1000));
    script.end(1, Outcome::Misdirected, Some(Role::Replica));
    script.advance(50);
    assert!(script.sends.len() > 1, "another endpoint is tried");
}

#[test]
fn unknown_ids_are_ignored() {
    let mut script = Script::group(settings(), 2, 1);
    script.list(
        true,
        vec![
            record(1, true, EndpointState::Ready),
            record(1, false, EndpointState::Ready),
        ],
    );
    script.health_check_ended(77, Outcome::Ok, None);
    script.step(&[
        PolicyEvent::ClientDisconnected(RequestId(4)),
        PolicyEvent::ResponseStarted(RequestId(4)),
        PolicyEvent::Timer(9),
    ]);
    let end = AttemptEnd {
        request: RequestId(12),
        attempt: 3,
        endpoint: EndpointId(88),
        outcome: Outcome::Ok,
        request_ended: true,
        latency: ms(1),
        role: PRIMARY,
        position: None,
        report: None,
    };
    script.step(&[PolicyEvent::AttemptEnded(end)]);
    script.request(1, WRITE);
    assert_eq!(script.sent_to(1), Some(1));
}

#[test]
fn no_class_is_a_settings_error() {
    let mut cfg = settings();
    cfg.classes.clear();
    assert!(
        Router::new(cfg, 1)
            .unwrap_err()
            .to_string()
            .contains("classes")
    );
}
