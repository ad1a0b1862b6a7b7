//! When health checks are sent.

mod support;

use support::*;
use valehatch_policy::*;

const PRIMARY: Option<Role> = Some(Role::Primary);

#[test]
fn lagging_replica_is_checked_again_before_its_lag_passes() {
    // A replica that catches up was left out for as long as it had once lagged.
    let mut s = Script::group(settings(), 2, 1);
    s.run(400);
    s.request(50, BOUNDED);
    s.report(2, 4000, false);
    s.probes.clear();
    for id in 1..=20 {
        s.request(id, BOUNDED);
        s.run(100);
        assert_eq!(s.at(id), Some(1));
        s.end(id, Outcome::Ok, PRIMARY);
    }
    assert!(s.probes.contains(&EndpointId(2)), "within 2 s");
}

#[test]
fn nothing_waiting_sends_no_checks() {
    let mut s = Script::group(settings(), 4, 1);
    s.probed(1, Outcome::ConnectFailed, None);
    s.request(1, KEYED);
    s.run(900);
    s.abort(1);
    s.probes.clear();
    s.run(5000);
    assert!(
        s.probes.is_empty(),
        "the primary is lost, but nobody waits for one: {:?}",
        s.probes
    );
}
