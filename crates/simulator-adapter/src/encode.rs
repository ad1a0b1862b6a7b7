//! Encodes the actions of an instance as records of a reply.
//!
//! | code | action or record | fields |
//! | --- | --- | --- |
//! | 66 | the instance whose records follow | instance 4 |
//! | 68 | [`Action::Fail`] | request 8 |
//! | 69 | [`Action::HealthCheck`] | endpoint 4 |
//! | 70 | [`Action::Send`] | request 8, endpoint 4, timeout 8 (0: none) |
//! | 71 | crash report | length 2, text in UTF-8 |
//! | 72 | [`Action::Reject`] | request 8, Retry-After 8 (0: none) |
//! | 73 | [`Action::RefreshEndpointList`] | always 1 |
//! | 76 | [`Action::SetTimer`] | expiry 8, token 8 |
//! | 77 | [`Action::Cancel`] | request 8, attempt 2 |
//!
//! Widths are in bytes. Times are floats in milliseconds.

use valehatch_policy::{Action, Span, Time};

use crate::frame::Reply;
use crate::host::InstanceId;

/// Selects the instance that the following records belong to.
const SELECT_INSTANCE: u8 = 66;
/// [`Action::Fail`].
const FAIL: u8 = 68;
/// [`Action::HealthCheck`].
const HEALTH_CHECK: u8 = 69;
/// [`Action::Send`].
const SEND: u8 = 70;
/// Report that an instance panicked or did not start.
const CRASH_REPORT: u8 = 71;
/// [`Action::Reject`].
const REJECT: u8 = 72;
/// [`Action::RefreshEndpointList`].
const REFRESH_ENDPOINT_LIST: u8 = 73;
/// [`Action::SetTimer`].
const SET_TIMER: u8 = 76;
/// [`Action::Cancel`].
const CANCEL: u8 = 77;

/// Maximum length of a crash report's text in bytes: the length field on the wire has two bytes.
const MAX_CRASH_TEXT_BYTES: usize = u16::MAX as usize;
const MICROS_PER_MILLI: f64 = 1000.0;

/// Appends the actions of an instance; appends nothing if there are no actions.
pub(crate) fn push_actions(reply: &mut Reply, instance: InstanceId, actions: &[Action]) {
    if actions.is_empty() {
        return;
    }
    push_instance(reply, instance);
    for action in actions {
        push_action(reply, action);
    }
}

/// Appends a crash report of an instance. The text is truncated to at most [`MAX_CRASH_TEXT_BYTES`]
/// bytes, at a character boundary.
pub(crate) fn push_crash_report(reply: &mut Reply, instance: InstanceId, text: &str) {
    push_instance(reply, instance);
    let mut end = text.len().min(MAX_CRASH_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    let length = u16::try_from(end).unwrap_or(0).to_be_bytes();
    reply.push(CRASH_REPORT, &[&length, &text.as_bytes()[..end]]);
}

/// Appends a record that selects the instance of the records that follow.
fn push_instance(reply: &mut Reply, instance: InstanceId) {
    reply.push(SELECT_INSTANCE, &[&instance.0.to_be_bytes()]);
}

/// Appends an action. An attempt above 65535 is written as 65535; the decision module's limit is
/// far below.
fn push_action(reply: &mut Reply, action: &Action) {
    match action {
        Action::Send {
            request,
            endpoint,
            timeout,
            ..
        } => {
            let request = request.0.to_be_bytes();
            let endpoint = endpoint.0.to_be_bytes();
            reply.push(SEND, &[&request, &endpoint, &span_field(*timeout)]);
        }
        Action::Cancel { request, attempt } => {
            let attempt = u16::try_from(*attempt).unwrap_or(u16::MAX);
            let request = request.0.to_be_bytes();
            reply.push(CANCEL, &[&request, &attempt.to_be_bytes()]);
        }
        Action::Reject {
            request,
            retry_after,
            ..
        } => {
            let request = request.0.to_be_bytes();
            reply.push(REJECT, &[&request, &span_field(*retry_after)]);
        }
        Action::Fail { request, .. } => reply.push(FAIL, &[&request.0.to_be_bytes()]),
        Action::HealthCheck { endpoint } => {
            reply.push(HEALTH_CHECK, &[&endpoint.0.to_be_bytes()]);
        }
        Action::RefreshEndpointList => reply.push(REFRESH_ENDPOINT_LIST, &[&[1]]),
        Action::SetTimer { at, token } => {
            reply.push(SET_TIMER, &[&time_field(*at), &token.to_be_bytes()]);
        }
    }
}

/// Encodes a duration in milliseconds; 0 for `None`.
fn span_field(span: Option<Span>) -> [u8; 8] {
    millis_field(span.map_or(0, |span| span.0))
}

/// Encodes a point in time in milliseconds.
const fn time_field(time: Time) -> [u8; 8] {
    millis_field(time.0)
}

/// Encodes a number of microseconds as a float in milliseconds.
const fn millis_field(micros: i64) -> [u8; 8] {
    (micros as f64 / MICROS_PER_MILLI).to_be_bytes()
}
