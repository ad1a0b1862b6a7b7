//! Converts decoded events to events of the decision module, with the instance's settings and the
//! endpoint tables. The module keeps no state.

use std::collections::BTreeMap;

use valehatch_config::settings::{WireSettings, ms_to_micros};
use valehatch_policy::{
    AttemptEnd, EndpointRecord, LoadReport, PolicyEvent, Request, SessionKey, Span, TenantId,
};

use crate::decode::{AttemptEndInput, EventInput, HealthCheckInput, RequestInput};
use crate::error::RecordError;

const MICROS_PER_SECOND: f64 = 1e6;

/// Endpoint tables by table number.
pub(crate) type EndpointTables = BTreeMap<u16, Vec<EndpointRecord>>;

/// Converts an input to an event; `None` if the decision module ignores this kind of input.
///
/// # Errors
/// The input refers to an unknown update kind, endpoint table or request class.
pub(crate) fn policy_event(
    input: EventInput,
    wire: &WireSettings,
    tables: &EndpointTables,
) -> Result<Option<PolicyEvent>, RecordError> {
    let event = match input {
        EventInput::EndpointListUpdate { kind, table } => {
            endpoint_list_update(kind, table, tables)?
        }
        EventInput::Request(input) => PolicyEvent::Request(request(&input, wire)?),
        EventInput::ResponseStarted(request) => PolicyEvent::ResponseStarted(request),
        EventInput::AttemptEnded(input) => PolicyEvent::AttemptEnded(attempt_end(&input, wire)),
        EventInput::ClientDisconnected(request) => PolicyEvent::ClientDisconnected(request),
        EventInput::TimerExpired(token) => PolicyEvent::Timer(token),
        EventInput::HealthCheckEnded(input) => health_check_end(&input, wire),
        EventInput::Gossip => return Ok(None),
    };
    Ok(Some(event))
}

/// Builds the event for an endpoint list update or a failed discovery.
fn endpoint_list_update(
    kind: u8,
    table: u16,
    tables: &EndpointTables,
) -> Result<PolicyEvent, RecordError> {
    let complete = match kind {
        0 | 3 => true,
        1 => return Ok(PolicyEvent::DiscoveryFailed),
        2 => false,
        kind => return Err(RecordError::UnknownUpdateKind(kind)),
    };
    let Some(entries) = tables.get(&table) else {
        return Err(RecordError::UnknownTable(table));
    };
    Ok(PolicyEvent::EndpointList {
        complete,
        entries: entries.clone(),
    })
}

/// Builds a request after checking its class. A tenant index beyond the settings' tenants gives a
/// request without a tenant.
fn request(input: &RequestInput, wire: &WireSettings) -> Result<Request, RecordError> {
    if input.class.0 >= wire.classes {
        return Err(RecordError::UnknownClass {
            class: input.class.0,
            known: wire.classes,
        });
    }
    let tenant = input.tenant as usize;
    let write_age_known = wire.client_provided_sessions && input.since_last_write_ms > 0.0;
    Ok(Request {
        id: input.id,
        session: (input.session_key != 0).then_some(SessionKey(input.session_key)),
        time_left: input.time_left,
        group: input.group,
        class: input.class,
        tenant: (tenant < wire.tenants).then_some(TenantId(tenant)),
        work: input.work,
        is_client_retry: input.is_client_retry,
        since_last_write: write_age_known.then(|| Span(ms_to_micros(input.since_last_write_ms))),
    })
}

fn attempt_end(input: &AttemptEndInput, wire: &WireSettings) -> AttemptEnd {
    AttemptEnd {
        request: input.request,
        attempt: input.attempt,
        endpoint: input.endpoint,
        outcome: input.outcome,
        request_ended: input.request_ended,
        latency: input.latency,
        role: input.progress.role(),
        position: input
            .progress
            .position()
            .map(|position| wire.position_zero + position),
        report: load_report(&input.report_values, wire),
    }
}

fn health_check_end(input: &HealthCheckInput, wire: &WireSettings) -> PolicyEvent {
    PolicyEvent::HealthCheckEnded {
        endpoint: input.endpoint,
        outcome: input.outcome,
        latency: input.latency,
        report: load_report(&input.report_values, wire),
    }
}

/// Builds a load report from its values; `None` if there are no values. A position is in seconds
/// after the settings' position zero. It is rounded down to whole microseconds, since a later
/// position would claim commits that the endpoint may not have applied.
fn load_report(values: &[f64], wire: &WireSettings) -> Option<LoadReport> {
    wire.report(values, |seconds| {
        let micros = (seconds * MICROS_PER_SECOND).floor();
        wire.position_zero + Span(micros as i64)
    })
}
