//! What the endpoint list changes, and how it is polled.

mod support;

use support::*;
use valehatch_policy::*;

#[test]
fn draining_and_removed_endpoints_get_nothing() {
    let mut s = Script::group(settings(), 3, 1);
    s.list(
        false,
        vec![
            entry(1, true, EndpointState::Draining),
            entry(2, false, EndpointState::Removed),
        ],
    );
    s.request(1, WRITE);
    s.request(2, ANY);
    assert_eq!((s.at(1), s.at(2)), (Some(3), Some(3)));
}

#[test]
fn unlisted_endpoint_is_removed_unless_advisory() {
    for binds in [true, false] {
        let mut cfg = settings();
        cfg.rules.removal_is_advisory = !binds;
        let mut s = Script::group(cfg, 2, 1);
        s.list(true, vec![entry(1, true, EndpointState::Ready)]);
        s.request(1, ANY);
        assert_eq!(s.at(1), Some(if binds { 1 } else { 2 }));
    }
}

#[test]
fn failed_poll_is_repeated_with_backoff() {
    let mut cfg = settings();
    cfg.discovery_mode = DiscoveryMode::Poll;
    let mut s = Script::new(cfg);
    s.list(true, vec![entry(1, true, EndpointState::Ready)]);
    assert_eq!(s.subscribes.len(), 1);
    for n in 2..8 {
        s.step(&[PolicyEvent::DiscoveryFailed]);
        s.run(4100);
        assert_eq!(s.subscribes.len(), n, "asked again within rules.ask_within");
    }
}

#[test]
fn removed_endpoint_that_returns_is_used_again() {
    let mut s = Script::group(settings(), 2, 1);
    s.request(1, ANY);
    assert_eq!(s.at(1), Some(2));
    s.list(
        false,
        vec![
            entry(2, false, EndpointState::Removed),
            entry(9, false, EndpointState::Removed),
        ],
    );
    s.end(1, Outcome::Reset, None);
    s.run(20);
    assert_eq!(s.at(1), Some(1));
    s.list(false, vec![entry(2, false, EndpointState::Ready)]);
    s.request(2, ANY);
    assert_eq!(s.at(2), Some(2));
    s.list(true, vec![]);
    s.request(3, ANY);
    s.run(700);
    assert!(s.at(3).is_none() && s.refused(3));
}
