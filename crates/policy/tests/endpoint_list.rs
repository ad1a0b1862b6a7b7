//! Effects of the endpoint list, and how the list is polled.

mod support;

use support::*;
use valehatch_policy::*;

#[test]
fn draining_and_removed_endpoints_get_no_requests() {
    let mut script = Script::group(settings(), 3, 1);
    script.list(
        false,
        vec![
            record(1, true, EndpointState::Draining),
            record(2, false, EndpointState::Removed),
        ],
    );
    script.request(1, WRITE);
    script.request(2, EVENTUAL);
    assert_eq!((script.sent_to(1), script.sent_to(2)), (Some(3), Some(3)));
}

#[test]
fn unlisted_endpoint_is_removed_unless_advisory() {
    for is_binding in [true, false] {
        let mut cfg = settings();
        cfg.rules.removal_is_advisory = !is_binding;
        let mut script = Script::group(cfg, 2, 1);
        script.list(true, vec![record(1, true, EndpointState::Ready)]);
        script.request(1, EVENTUAL);
        assert_eq!(script.sent_to(1), Some(if is_binding { 1 } else { 2 }));
    }
}

#[test]
fn failed_poll_is_repeated_with_backoff() {
    let mut cfg = settings();
    cfg.discovery_mode = DiscoveryMode::Poll;
    let mut script = Script::new(cfg);
    script.list(true, vec![record(1, true, EndpointState::Ready)]);
    assert_eq!(script.polls.len(), 1);
    for n in 2..8 {
        script.step(&[PolicyEvent::DiscoveryFailed]);
        script.advance(4100);
        assert_eq!(
            script.polls.len(),
            n,
            "polled again within rules.max_poll_interval"
        );
    }
}

#[test]
fn removed_endpoint_that_returns_is_used_again() {
    let mut script = Script::group(settings(), 2, 1);
    script.request(1, EVENTUAL);
    assert_eq!(script.sent_to(1), Some(2));
    script.list(
        false,
        vec![
            record(2, false, EndpointState::Removed),
            record(9, false, EndpointState::Removed),
        ],
    );
    script.end(1, Outcome::Reset, None);
    script.advance(20);
    assert_eq!(script.sent_to(1), Some(1));
    script.list(false, vec![record(2, false, EndpointState::Ready)]);
    script.request(2, EVENTUAL);
    assert_eq!(script.sent_to(2), Some(2));
    script.list(true, vec![]);
    script.request(3, EVENTUAL);
    script.advance(700);
    assert!(script.sent_to(3).is_none() && script.rejected(3));
}
