//! Settings at the ends of what they may be: each is acted on as it says, and no decision rests on a number that is none.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);

/// Requests that a member answers at once, one after another; how many of them were refused.
fn rejected_of(s: &mut Script, class: ClassId, first: u64, count: u64) -> usize {
    for id in first..first + count {
        s.request(id, class);
        if s.at(id).is_some() {
            s.now = s.now + ms(20);
            s.end(id, Outcome::Ok, Some(Role::Replica));
        }
    }
    (first..first + count).filter(|id| s.refused(*id)).count()
}

#[test]
fn zero_priority_class_is_served() {
    let mut cfg = settings();
    cfg.classes[ANY.0].priority_weight = 0.0;
    let mut s = Script::group(cfg, 3, 1);
    assert_eq!(
        rejected_of(&mut s, ANY, 1, 100),
        0,
        "of a hundred of no worth"
    );
    assert_eq!(rejected_of(&mut s, BOUNDED, 101, 20), 0, "of those of some");
    assert_eq!(
        rejected_of(&mut s, ANY, 201, 100),
        0,
        "of a hundred of no worth after those"
    );
    assert!(!s.shows("NaN"));
}

#[test]
fn mixed_priority_classes_are_served() {
    let mut cfg = settings();
    (
        cfg.classes[ANY.0].priority_weight,
        cfg.classes[BOUNDED.0].priority_weight,
    ) = (0.0, 1e9);
    let mut s = Script::group(cfg, 3, 1);
    for n in 0..20 {
        assert_eq!(rejected_of(&mut s, BOUNDED, 1 + 100 * n, 5), 0);
        assert_eq!(rejected_of(&mut s, ANY, 50 + 100 * n, 5), 0);
    }
}

#[test]
fn zone_dedup_write_is_never_retried() {
    let mut cfg = settings();
    cfg.classes[KEYED.0].idempotency = Idempotency::IdempotencyKey {
        scope: DedupScope::Zone,
        window: ms(2000),
    };
    let mut s = Script::group(cfg, 3, 1);
    s.request(1, KEYED);
    s.end(1, Outcome::Reset, None);
    s.run(100);
    assert_eq!(
        s.sends.len(),
        1,
        "the next primary may stand in another zone"
    );
    assert!(s.failed(1), "it may have run");
    // What certainly did not run is tried again.
    s.request(2, KEYED);
    s.end(2, Outcome::Rejected, None);
    s.run(1000);
    assert!(s.sends.iter().filter(|(id, _)| id.0 == 2).count() > 1);
}

#[test]
fn single_attempt_write_searches() {
    let mut cfg = settings();
    cfg.limits.max_attempts = 1;
    cfg.limits.health_checks = false;
    cfg.listed_role = ListedRole::Ignored;
    let mut s = Script::group(cfg, 3, 1);
    s.request(1, WRITE);
    s.end(1, Outcome::Misdirected, Some(Role::Replica));
    assert!(s.refused(1));
    s.request(2, WRITE);
    s.run(20);
    assert_eq!(s.at(2), Some(2), "the next member is tried");
    s.end(2, Outcome::Ok, Some(Role::Primary));
    s.request(3, WRITE);
    assert_eq!(s.at(3), Some(2), "and is the primary from there on");
}

#[test]
fn deadline_of_few_ticks_is_served() {
    let mut cfg = settings();
    (
        cfg.classes[ANY.0].deadline,
        cfg.classes[ANY.0].latency_objective,
    ) = (ms(30), ms(10));
    let mut s = Script::group(cfg, 3, 1);
    s.request_with(1, ANY, 30, None);
    assert!(s.at(1).is_some(), "it is not refused as it comes");
}

#[test]
fn tick_above_deadline_is_served() {
    let mut cfg = settings();
    cfg.tick = ms(1000);
    let mut s = Script::group(cfg, 3, 1);
    s.request(1, ANY);
    assert!(s.at(1).is_some());
}

#[test]
fn zero_slow_start_duration_is_warm_at_once() {
    let mut cfg = settings();
    cfg.rules.slow_start_duration = Span(0);
    let mut s = Script::group(cfg, 3, 1);
    let started = |n, at| EndpointRecord {
        started: Some(at),
        ..entry(n, false, EndpointState::Ready)
    };
    let now = s.now;
    s.list(false, vec![started(2, now), started(3, now)]);
    for id in 1..50 {
        s.request(id, ANY);
        let endpoint = s.at(id).expect("sent as it comes");
        // One of the two is slow, which is remembered however soon members get warm.
        s.now = s.now + ms(if endpoint == 3 { 400 } else { 20 });
        s.end(id, Outcome::Ok, Some(Role::Replica));
        assert!(!s.shows("NaN"));
    }
    let slow = s
        .sends
        .iter()
        .filter(|(_, endpoint)| endpoint.0 == 3)
        .count();
    assert!(slow < 20, "the slow one got {slow} of 49");
}

#[test]
fn zero_latency_objective_keeps_numbers_finite() {
    let mut cfg = settings();
    cfg.classes
        .iter_mut()
        .for_each(|c| c.latency_objective = Span(0));
    let mut s = Script::group(cfg, 3, 1);
    for id in 1..20 {
        s.request(id, ANY);
        if s.at(id).is_some() {
            s.end(id, Outcome::Ok, Some(Role::Replica));
        }
        assert!(!s.shows("NaN") && !s.shows(": inf") && !s.shows("[inf"));
    }
}

/// What answers of warm members tell is remembered for longer than these members take to get warm, and counts for as long.
#[test]
fn short_slow_start_keeps_its_budget() {
    let mut cfg = settings();
    (
        cfg.rules.slow_start_duration,
        cfg.rules.overload_duration,
        cfg.rules.overload_multiple,
    ) = (ms(100), ms(100), 0.2);
    let mut s = Script::group(cfg, 3, 1);
    let mut id = 0;
    let mut reads = |s: &mut Script, count: usize| {
        for _ in 0..count {
            id += 1;
            s.request(id, ANY);
            s.now = s.now + Span(2500);
            s.end(id, Outcome::Ok, Some(Role::Replica));
        }
    };
    reads(&mut s, 400);
    let mut sent = 0;
    for endpoint in 10..20 {
        let now = s.now;
        s.list(
            false,
            vec![EndpointRecord {
                started: Some(now),
                ..entry(endpoint, false, EndpointState::Ready)
            }],
        );
        reads(&mut s, 38);
        s.list(false, vec![entry(endpoint, false, EndpointState::Removed)]);
        sent += s.sends.iter().filter(|(_, to)| to.0 == endpoint).count();
    }
    // Two warm ones are sent 200 a second each, a cold one has 0.2 of 0.6 of that: 2.4 in each of ten tenths of a second.
    assert!(sent <= 24, "cold members got {sent}");
}

#[test]
fn zero_latency_responses_shed_nothing() {
    let mut s = Script::group(settings(), 3, 1);
    for id in 1..=8000 {
        s.request(id, ANY);
        s.end(id, Outcome::Ok, Some(Role::Replica));
    }
    assert!(!s.shows("NaN") && !s.shows(": inf") && !s.shows("[inf"));
    assert_eq!((1..=8000).filter(|id| s.refused(*id)).count(), 0);
}

#[test]
fn overflowing_last_write_age_is_accepted() {
    let mut cfg = settings();
    cfg.stale_read_policy = StaleReadPolicy::Reject;
    let mut s = Script::group(cfg, 3, 1);
    s.request_with(1, SESSION, 3000, Some(i64::MAX / 1000));
    s.end(1, Outcome::Misdirected, Some(Role::Replica));
    s.run(50);
    assert!(s.sends.len() > 1, "another member is tried");
}

#[test]
fn unknown_ids_are_ignored() {
    let mut s = Script::group(settings(), 2, 1);
    s.list(
        true,
        vec![
            entry(1, true, EndpointState::Ready),
            entry(1, false, EndpointState::Ready),
        ],
    );
    s.probed(77, Outcome::Ok, None);
    s.step(&[
        PolicyEvent::ClientDisconnected(RequestId(4)),
        PolicyEvent::ResponseStarted(RequestId(4)),
        PolicyEvent::Timer(9),
    ]);
    let end = AttemptEnd {
        request: RequestId(12),
        attempt: 3,
        endpoint: EndpointId(88),
        outcome: Outcome::Ok,
        closed: true,
        latency: ms(1),
        role: PRIMARY,
        position: None,
        report: None,
    };
    s.step(&[PolicyEvent::AttemptEnded(end)]);
    s.request(1, WRITE);
    assert_eq!(s.at(1), Some(1));
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
