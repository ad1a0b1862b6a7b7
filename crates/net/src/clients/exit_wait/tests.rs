//! Tests of the times at which an exit waits and ends.

use super::*;

const fn at_ms(ms: i64) -> Time {
    Time(ms * 1_000)
}

const IDLE: RemainingWork = RemainingWork {
    owes_responses: false,
    is_unsettled: false,
    last_closed_at: None,
};
const UNSETTLED: RemainingWork = RemainingWork {
    is_unsettled: true,
    ..IDLE
};
const OWING: RemainingWork = RemainingWork {
    owes_responses: true,
    is_unsettled: true,
    last_closed_at: None,
};

#[test]
fn nothing_remains_process_exits_at_once() {
    assert!(ExitWait::default().may_exit(at_ms(0), IDLE));
}

#[test]
fn unsettled_connections_have_a_short_grace() {
    let mut wait = ExitWait::default();
    assert!(!wait.may_exit(at_ms(0), UNSETTLED));
    assert!(!wait.may_exit(at_ms(49), UNSETTLED));
    assert!(wait.may_exit(at_ms(50), UNSETTLED));
}

#[test]
fn closed_connection_lingers_for_a_bounded_time() {
    let closed_at = |ms| RemainingWork {
        last_closed_at: Some(at_ms(ms)),
        ..IDLE
    };
    let mut wait = ExitWait::default();
    assert!(!wait.may_exit(at_ms(0), closed_at(0)));
    assert!(!wait.may_exit(at_ms(19), closed_at(0)));
    assert!(wait.may_exit(at_ms(20), closed_at(0)));
    // Connections that are closed again and again do not extend the wait.
    assert!(!wait.may_exit(at_ms(69), closed_at(68)));
    assert!(wait.may_exit(at_ms(70), closed_at(69)));
}

#[test]
fn owed_response_is_waited_for_and_its_client_has_time_to_read_it() {
    let mut wait = ExitWait::default();
    assert!(!wait.may_exit(at_ms(0), UNSETTLED));
    assert!(!wait.may_exit(at_ms(5), OWING));
    assert!(!wait.may_exit(at_ms(9_000), OWING));
    assert!(!wait.may_exit(at_ms(9_005), UNSETTLED));
    assert!(!wait.may_exit(at_ms(9_199), UNSETTLED));
    assert!(wait.may_exit(at_ms(9_200), UNSETTLED));
}

#[test]
fn response_completed_within_the_grace_does_not_extend_it() {
    let mut wait = ExitWait::default();
    assert!(!wait.may_exit(at_ms(0), OWING));
    assert!(!wait.may_exit(at_ms(49), OWING));
    assert!(wait.may_exit(at_ms(50), UNSETTLED));
}
