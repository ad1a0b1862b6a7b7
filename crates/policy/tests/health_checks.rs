//! When health checks are sent.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);

#[test]
fn lagging_replica_is_checked_again_before_its_lag_passes() {
    // A replica that has caught up must not stay excluded for as long as it once lagged.
    let mut script = Script::group(settings(), 2, 1);
    script.advance(400);
    script.request(50, BOUNDED);
    script.report(2, 4000, false);
    script.health_checks.clear();
    for id in 1..=20 {
        script.request(id, BOUNDED);
        script.advance(100);
        assert_eq!(script.sent_to(id), Some(1));
        script.end(id, Outcome::Ok, PRIMARY);
    }
    assert!(
        script.health_checks.contains(&EndpointId(2)),
        "the lagging replica is checked again within 2 s"
    );
}

#[test]
fn no_waiting_request_sends_no_checks() {
    let mut script = Script::group(settings(), 4, 1);
    script.health_check_ended(1, Outcome::ConnectFailed, None);
    script.request(1, KEYED);
    script.advance(900);
    script.disconnect(1);
    script.health_checks.clear();
    script.advance(5000);
    assert!(
        script.health_checks.is_empty(),
        "the primary is lost, but no request waits for a new one: {:?}",
        script.health_checks
    );
}
