//! Permission checks: each reason for a denial on its own, and values just inside the limits.

use rstest::rstest;
use valehatch_core::permission::{
    AcceptCheck, Decisions, Denial, ProcessStage, SendCheck, SendPermit, may_accept,
    may_check_health, may_close, may_retry, may_send,
};
use valehatch_policy::{DedupScope, Idempotency, Span, Time};

const WINDOW: Span = Span::from_millis(2_000);
const WITH_KEY: Idempotency = Idempotency::IdempotencyKey {
    scope: DedupScope::Group,
    window: WINDOW,
};

fn allowed_send() -> SendCheck {
    SendCheck {
        now: Time(1_000),
        deadline: Time(1_001),
        response_started: false,
        attempts_in_flight: 0,
        attempts: 5,
        max_attempts: 6,
        idempotency: Idempotency::NonIdempotent,
        may_have_run_since: None,
        endpoint_is_ready: true,
    }
}

#[rstest]
#[case::allowed(|_: &mut SendCheck| {}, Ok(()))]
#[case::streaming(|s: &mut SendCheck| s.response_started = true, Err(Denial::ResponseStarted))]
#[case::attempt_in_flight(|s: &mut SendCheck| s.attempts_in_flight = 1, Err(Denial::AttemptInFlight))]
#[case::attempts_exhausted(|s: &mut SendCheck| s.attempts = 6, Err(Denial::AttemptsExhausted))]
#[case::deadline_exceeded(|s: &mut SendCheck| s.deadline = s.now, Err(Denial::DeadlineExceeded))]
#[case::endpoint_not_ready(|s: &mut SendCheck| s.endpoint_is_ready = false, Err(Denial::EndpointNotReady))]
#[case::may_have_run(|s: &mut SendCheck| s.may_have_run_since = Some(Time(1)), Err(Denial::RetryForbidden))]
fn send_check_denies_by_reason(
    #[case] change: fn(&mut SendCheck),
    #[case] expected: Result<(), Denial>,
) {
    let mut check = allowed_send();
    change(&mut check);
    assert_eq!(may_send(&check), expected);
}

#[rstest]
#[case::idempotent(Idempotency::Idempotent, i64::MAX / 2, Ok(()))]
#[case::key_inside_window(WITH_KEY, WINDOW.0 - 1, Ok(()))]
#[case::key_at_window_end(WITH_KEY, WINDOW.0, Err(Denial::RetryWindowClosed))]
#[case::key_of_zone(
    Idempotency::IdempotencyKey { scope: DedupScope::Zone, window: WINDOW },
    1,
    Err(Denial::RetryForbidden)
)]
#[case::non_idempotent(Idempotency::NonIdempotent, 0, Err(Denial::RetryForbidden))]
fn retry_check_follows_idempotency(
    #[case] idempotency: Idempotency,
    #[case] after: i64,
    #[case] expected: Result<(), Denial>,
) {
    let first = Time(5_000_000);
    assert_eq!(
        may_retry(idempotency, Some(first), first + Span(after)),
        expected
    );
    assert_eq!(
        may_retry(idempotency, None, first + Span(after)),
        Ok(()),
        "a request that never ran may be retried"
    );
}

#[rstest]
#[case(ProcessStage::Serving, false, 9, Ok(()))]
#[case(ProcessStage::Draining, false, 9, Ok(()))]
#[case(ProcessStage::Closing, false, 9, Ok(()))]
#[case(ProcessStage::Stopping, false, 9, Err(Denial::Stopping))]
#[case(ProcessStage::Serving, true, 9, Err(Denial::DuplicateRequestId))]
#[case(ProcessStage::Serving, false, 10, Err(Denial::TooManyOpen))]
fn accept_check_denies_by_reason(
    #[case] stage: ProcessStage,
    #[case] name_is_open: bool,
    #[case] open: usize,
    #[case] expected: Result<(), Denial>,
) {
    assert_eq!(
        may_accept(&AcceptCheck {
            stage,
            name_is_open,
            open_requests: open,
            max_open_requests: 10
        }),
        expected
    );
}

#[test]
fn health_check_needs_ready_endpoint_and_close_needs_idle_connection() {
    assert_eq!(
        (may_check_health(true), may_check_health(false)),
        (Ok(()), Err(Denial::EndpointNotReady))
    );
    assert_eq!(
        (may_close(0), may_close(1)),
        (Ok(()), Err(Denial::RequestsOpen))
    );
}

#[test]
fn denied_permit_returns_reason() {
    let permit = SendPermit::new(Time(10));
    assert_eq!(permit.try_acquire(Time(11)), Err(Denial::DeadlineExceeded));
    assert_eq!(permit.try_acquire(Time(10)), Ok(()));
    assert_eq!(permit.try_acquire(Time(10)), Err(Denial::PermitUsed));
    let permit = SendPermit::new(Time(10));
    assert!(permit.revoke());
    assert_eq!(permit.try_acquire(Time(10)), Err(Denial::PermitRevoked));
}

#[test]
fn decisions_count_by_reason() {
    let decisions = Decisions::default();
    decisions.on_denied(Denial::Stopping);
    decisions.on_denied(Denial::Stopping);
    decisions.on_violated(Denial::AttemptInFlight);
    decisions.on_retry();
    let text = decisions.text();
    for line in [
        "denied.stopping:2|c",
        "violated.attempt_out:1|c",
        "retried:1|c",
        "denied.attempt_out:0|c",
    ] {
        assert!(
            text.contains(&format!("balancer.decisions.{line}\n")),
            "{text}"
        );
    }
    assert_eq!(
        (decisions.violations(), text.lines().count()),
        (1, 2 * Denial::ALL.len() + 2)
    );
    // The counters are indexed by the discriminant of the reason.
    for (index, denial) in Denial::ALL.iter().enumerate() {
        assert_eq!(*denial as usize, index);
    }
}

#[test]
fn decisions_text_lists_every_name_in_order() {
    let reasons = "request_over stream_began attempt_out attempts_spent deadline_over repeat_forbidden \
        repeat_window_over endpoint_not_ready permit_revoked permit_used duplicate_name too_many_open stopping \
        requests_open";
    let line = |name: String| format!("balancer.decisions.{name}:0|c\n");
    let each = |kind: &str| -> String {
        reasons
            .split(' ')
            .map(|why| line(format!("{kind}.{why}")))
            .collect()
    };
    let expected = [
        each("denied"),
        each("violated"),
        line("retried".into()),
        line("cancelled_unsent".into()),
    ];
    assert_eq!(Decisions::default().text(), expected.concat());
}
