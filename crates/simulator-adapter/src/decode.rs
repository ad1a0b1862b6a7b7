//! Decodes a record of an input frame.
//!
//! | code | fields on the wire | [`Input`] and its fields |
//! | --- | --- | --- |
//! | 1 | `salt` 8, `settings length` 4, `settings` | `Attach`: `seed`, `settings` (UTF-8) |
//! | 2 | `kind` 1, `gen` 8, `buffer` 2 | `EndpointListUpdate`: `kind`, unused, `table` |
//! | 3 | `req` 8, `client-key` 8, `time-left-ms` 8 | `Request`: `id`, `session_key`, `time_left` |
//! | | `cluster-no` 4, `predicted-ms` 8, `profile` 1 | `group`, `work`, `class` |
//! | | `account` 4, `marks` 2, `wrote-ms-ago` 4 | `tenant`, `work` and `is_client_retry`, `since_last_write_ms` |
//! | 4 | `req` 8, `cost-time-ms` 8, `n` 2, `node` 4 | `ResponseStarted`: request, unused, unused, unused |
//! | 5 | `req` 8, `n` 2, `mark` 4, `node` 4 | `AttemptEnded`: `request`, `attempt`, `progress`, `endpoint` |
//! | | `closed` 1, `result` 2, `cost-time-ms` 8 | `request_ended`, `outcome`, `latency` |
//! | | `metrics count` 1, `metrics` 4 each | `report_values` |
//! | 6 | `req` 8 | `ClientDisconnected`: request |
//! | 7 | `ctx` 8 | `TimerExpired`: token |
//! | 8 | `node` 4, `cost-time-ms` 8, `result` 2 | `HealthCheckEnded`: `endpoint`, `latency`, `outcome` |
//! | | `metrics count` 1, `metrics` 4 each | `report_values` |
//! | 9 | `author` 2, `msg length` 2, `msg` | `Gossip`: unused |
//! | 10 | | `Stop` |
//! | 11 | `buffer` 2, `rows` 4, the rows | `EndpointTable`: `number`, `entries` |
//! | row | `launched-ms` 8, `node` 4, `nominal` 4 | [`EndpointRecord`]: `started`, `endpoint`, `weight` |
//! | | `zone` 1, `primary` 4, `stage-state` 1 | `zone`, `primary`, `state` |
//! | | `kind` 1, `db` 2 | `kind`, `group` |
//! | 12 | `who` 4 | `SelectInstance`: instance |
//!
//! Widths are in bytes. `cluster-no`, `wrote-ms-ago`, `nominal`, `primary`, `metrics` and all
//! fields of eight bytes whose names end in `-ms` are finite floats, the others unsigned integers.
//! Names that end in `-ms` or contain `-ms-` are milliseconds.
//!
//! The `kind` of an update is 0 or 3 for a complete list, 1 for a failed discovery, 2 for changes
//! only. The bits of `marks` are [`MARK_WORK_KNOWN`] and [`MARK_REPEAT`]; `mark` is a
//! [`ReplicationProgress`]; `result` is an outcome as an HTTP-like status.

use valehatch_config::settings::ms_to_micros;
use valehatch_policy::{
    ClassId, EndpointId, EndpointRecord, EndpointState, GroupId, KindId, Outcome, RequestId, Role,
    Span, Time, ZoneId,
};

use crate::error::{FieldError, RecordError};
use crate::fields::FieldReader;
use crate::host::InstanceId;

/// Starts an instance.
const ATTACH: u8 = 1;
/// The endpoint list was updated, or its discovery failed.
const ENDPOINT_LIST_UPDATE: u8 = 2;
/// A new request.
const REQUEST: u8 = 3;
/// The response of an attempt has begun.
const RESPONSE_STARTED: u8 = 4;
/// An attempt ended.
const ATTEMPT_ENDED: u8 = 5;
/// A client disconnected.
const CLIENT_DISCONNECTED: u8 = 6;
/// A timer expired.
const TIMER_EXPIRED: u8 = 7;
/// A health check ended.
const HEALTH_CHECK_ENDED: u8 = 8;
/// A message from another instance.
const GOSSIP: u8 = 9;
/// Stops an instance.
const STOP: u8 = 10;
/// A numbered list of endpoints.
const ENDPOINT_TABLE: u8 = 11;
/// Selects the instance of the records that follow.
const SELECT_INSTANCE: u8 = 12;

/// Bit of `marks`: `predicted-ms` is known.
const MARK_WORK_KNOWN: u16 = 1;
/// Bit of `marks`: the request is a client's retry.
const MARK_REPEAT: u16 = 2;

/// An input of the host.
pub(crate) enum Input<'a> {
    /// The records that follow are for this instance.
    SelectInstance(InstanceId),
    /// An endpoint table, for all instances.
    EndpointTable(EndpointTable),
    /// Starts the selected instance and replaces it if it is running.
    Attach {
        /// Seed of the instance's random number generator.
        seed: u64,
        /// Settings in text form, not parsed yet.
        settings: &'a str,
    },
    /// Stops the selected instance without stepping it again.
    Stop,
    /// An event for the selected instance.
    Event(EventInput),
}

/// A numbered list of endpoints, to which later list updates refer.
pub(crate) struct EndpointTable {
    /// Table number; a later table with the same number replaces this one.
    pub(crate) number: u16,
    /// Endpoints in wire order.
    pub(crate) entries: Vec<EndpointRecord>,
}

/// An event as decoded from the wire, before the instance's settings are applied.
pub(crate) enum EventInput {
    /// The endpoint list was updated, or its discovery failed.
    EndpointListUpdate {
        /// Kind of update as coded on the wire, not validated yet.
        kind: u8,
        /// Number of the endpoint table with the entries.
        table: u16,
    },
    /// A new request.
    Request(RequestInput),
    /// The response of an attempt of this request has begun.
    ResponseStarted(RequestId),
    /// An attempt ended.
    AttemptEnded(AttemptEndInput),
    /// The client of this request disconnected.
    ClientDisconnected(RequestId),
    /// The timer with this token expired.
    TimerExpired(u64),
    /// A health check ended.
    HealthCheckEnded(HealthCheckInput),
    /// A message from another instance; the decision module ignores it.
    Gossip,
}

/// A new request.
pub(crate) struct RequestInput {
    /// Id under which later records refer to the request.
    pub(crate) id: RequestId,
    /// Key of the session; 0 for none.
    pub(crate) session_key: u64,
    /// Time until the client's deadline.
    pub(crate) time_left: Span,
    /// Replication group that holds the request's data.
    pub(crate) group: GroupId,
    /// Estimated processing time, if known.
    pub(crate) work: Option<Span>,
    /// Request class; not checked against the settings yet.
    pub(crate) class: ClassId,
    /// Index of the tenant; an index beyond the tenants in the settings means no tenant.
    pub(crate) tenant: u32,
    /// Whether the client sent this request as a retry.
    pub(crate) is_client_retry: bool,
    /// Time since the session's last write, in milliseconds; 0 or less if unknown.
    pub(crate) since_last_write_ms: f64,
}

/// The end of an attempt.
pub(crate) struct AttemptEndInput {
    /// Request that the attempt belongs to.
    pub(crate) request: RequestId,
    /// Index of the attempt within the request, from 0.
    pub(crate) attempt: u32,
    /// Role and replication position that the endpoint reported.
    pub(crate) progress: ReplicationProgress,
    /// Endpoint that the attempt was sent to.
    pub(crate) endpoint: EndpointId,
    /// Whether the request has its final answer.
    pub(crate) request_ended: bool,
    /// Result of the attempt.
    pub(crate) outcome: Outcome,
    /// Duration of the attempt.
    pub(crate) latency: Span,
    /// Values of the load report; empty if there was none.
    pub(crate) report_values: Vec<f64>,
}

/// The end of a health check.
pub(crate) struct HealthCheckInput {
    /// Endpoint that was checked.
    pub(crate) endpoint: EndpointId,
    /// Duration of the health check.
    pub(crate) latency: Span,
    /// Result of the health check.
    pub(crate) outcome: Outcome,
    /// Values of the load report; empty if there was none.
    pub(crate) report_values: Vec<f64>,
}

/// Role of an endpoint in the two lowest bits, replication position in the other bits.
#[derive(Clone, Copy)]
pub(crate) struct ReplicationProgress(u32);

impl ReplicationProgress {
    /// Number of values of the two lowest bits.
    const ROLES: u32 = 4;

    /// The role, if the endpoint reported one.
    pub(crate) const fn role(self) -> Option<Role> {
        match self.0 % Self::ROLES {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        }
    }

    /// The position as an offset from `family-info.position-zero-ms` in the settings, if the
    /// endpoint reported one. The wire carries whole milliseconds.
    pub(crate) fn position(self) -> Option<Span> {
        let millis = self.0 / Self::ROLES;
        (millis > 0).then(|| Span::from_millis(i64::from(millis)))
    }
}

/// Decodes a record's fields.
///
/// # Errors
/// The code is unknown, a field is missing or has an invalid value, or bytes follow the last field.
pub(crate) fn decode(code: u8, fields: &[u8]) -> Result<Input<'_>, RecordError> {
    let mut reader = FieldReader::new(fields);
    let input = decode_input(code, &mut reader)?;
    match reader.remaining() {
        0 => Ok(input),
        count => Err(RecordError::TrailingBytes(count)),
    }
}

/// Decodes the record with this code and leaves bytes after its last field unread.
fn decode_input<'a>(code: u8, reader: &mut FieldReader<'a>) -> Result<Input<'a>, RecordError> {
    let event = match code {
        ATTACH => return decode_attach(reader),
        ENDPOINT_LIST_UPDATE => decode_endpoint_list_update(reader)?,
        REQUEST => EventInput::Request(decode_request(reader)?),
        RESPONSE_STARTED => decode_response_started(reader)?,
        ATTEMPT_ENDED => EventInput::AttemptEnded(decode_attempt_end(reader)?),
        CLIENT_DISCONNECTED => EventInput::ClientDisconnected(RequestId(reader.u64("req")?)),
        TIMER_EXPIRED => EventInput::TimerExpired(reader.u64("ctx")?),
        HEALTH_CHECK_ENDED => EventInput::HealthCheckEnded(decode_health_check(reader)?),
        GOSSIP => decode_gossip(reader)?,
        STOP => return Ok(Input::Stop),
        ENDPOINT_TABLE => return decode_endpoint_table(reader).map(Input::EndpointTable),
        SELECT_INSTANCE => return Ok(Input::SelectInstance(InstanceId(reader.u32("who")?))),
        _ => return Err(RecordError::UnknownCode),
    };
    Ok(Input::Event(event))
}

fn decode_attach<'a>(reader: &mut FieldReader<'a>) -> Result<Input<'a>, RecordError> {
    let seed = reader.u64("salt")?;
    let length = reader.u32("settings length")?;
    let bytes = reader.bytes(length as usize, "settings")?;
    let settings = std::str::from_utf8(bytes).map_err(RecordError::SettingsNotUtf8)?;
    Ok(Input::Attach { seed, settings })
}

/// Decodes an update of the endpoint list without checking its kind.
fn decode_endpoint_list_update(reader: &mut FieldReader<'_>) -> Result<EventInput, FieldError> {
    let kind = reader.u8("kind")?;
    let _generation = reader.u64("gen")?;
    let table = reader.u16("buffer")?;
    Ok(EventInput::EndpointListUpdate { kind, table })
}

/// Decodes a new request. A group number is clamped to 0 to 65535.
fn decode_request(reader: &mut FieldReader<'_>) -> Result<RequestInput, FieldError> {
    let id = RequestId(reader.u64("req")?);
    let session_key = reader.u64("client-key")?;
    let time_left = decode_span(reader, "time-left-ms")?;
    let group = reader.f32("cluster-no")?;
    let work = decode_span(reader, "predicted-ms")?;
    let class = reader.u8("profile")?;
    let tenant = reader.u32("account")?;
    let marks = reader.u16("marks")?;
    let since_last_write_ms = reader.f32("wrote-ms-ago")?;
    Ok(RequestInput {
        id,
        session_key,
        time_left,
        group: GroupId(group as u16),
        work: (marks & MARK_WORK_KNOWN != 0).then_some(work),
        class: ClassId(class.into()),
        tenant,
        is_client_retry: marks & MARK_REPEAT != 0,
        since_last_write_ms,
    })
}

fn decode_response_started(reader: &mut FieldReader<'_>) -> Result<EventInput, FieldError> {
    let request = RequestId(reader.u64("req")?);
    let _latency_ms = reader.f64("cost-time-ms")?;
    let _attempt = reader.u16("n")?;
    let _endpoint = reader.u32("node")?;
    Ok(EventInput::ResponseStarted(request))
}

fn decode_attempt_end(reader: &mut FieldReader<'_>) -> Result<AttemptEndInput, RecordError> {
    let request = RequestId(reader.u64("req")?);
    let attempt = reader.u16("n")?.into();
    let progress = ReplicationProgress(reader.u32("mark")?);
    let endpoint = EndpointId(reader.u32("node")?);
    let request_ended = reader.u8("closed")? != 0;
    let outcome = decode_outcome(reader)?;
    let latency = decode_span(reader, "cost-time-ms")?;
    let report_values = decode_report_values(reader)?;
    Ok(AttemptEndInput {
        request,
        attempt,
        progress,
        endpoint,
        request_ended,
        outcome,
        latency,
        report_values,
    })
}

fn decode_health_check(reader: &mut FieldReader<'_>) -> Result<HealthCheckInput, RecordError> {
    let endpoint = EndpointId(reader.u32("node")?);
    let latency = decode_span(reader, "cost-time-ms")?;
    let outcome = decode_outcome(reader)?;
    let report_values = decode_report_values(reader)?;
    Ok(HealthCheckInput {
        endpoint,
        latency,
        outcome,
        report_values,
    })
}

fn decode_gossip(reader: &mut FieldReader<'_>) -> Result<EventInput, FieldError> {
    let _author = reader.u16("author")?;
    let length = reader.u16("msg length")?;
    let _message = reader.bytes(length.into(), "msg")?;
    Ok(EventInput::Gossip)
}

fn decode_endpoint_table(reader: &mut FieldReader<'_>) -> Result<EndpointTable, RecordError> {
    let number = reader.u16("buffer")?;
    let rows = reader.u32("rows")?;
    // The list grows row by row: no memory may be reserved for rows that are announced but absent.
    let entries = (0..rows)
        .map(|_| decode_endpoint(reader))
        .collect::<Result<_, _>>()?;
    Ok(EndpointTable { number, entries })
}

/// Decodes an entry of an endpoint table. A start time of 0 or less is unknown.
fn decode_endpoint(reader: &mut FieldReader<'_>) -> Result<EndpointRecord, RecordError> {
    let launched_ms = reader.f64("launched-ms")?;
    let endpoint = EndpointId(reader.u32("node")?);
    let weight = reader.f32("nominal")?;
    let zone = ZoneId(reader.u8("zone")?);
    let primary = reader.f32("primary")? > 0.0;
    let state = decode_endpoint_state(reader)?;
    let kind = KindId(reader.u8("kind")?);
    let group = GroupId(reader.u16("db")?);
    Ok(EndpointRecord {
        endpoint,
        group,
        zone,
        kind,
        weight,
        started: (launched_ms > 0.0).then(|| Time(ms_to_micros(launched_ms))),
        primary,
        state,
    })
}

fn decode_endpoint_state(reader: &mut FieldReader<'_>) -> Result<EndpointState, RecordError> {
    match reader.u8("stage-state")? {
        0 => Ok(EndpointState::Removed),
        1 => Ok(EndpointState::Ready),
        2 => Ok(EndpointState::Draining),
        code => Err(RecordError::UnknownEndpointState(code)),
    }
}

/// Decodes the outcome of an attempt or a health check.
fn decode_outcome(reader: &mut FieldReader<'_>) -> Result<Outcome, RecordError> {
    match reader.u16("result")? {
        200 => Ok(Outcome::Ok),
        204 => Ok(Outcome::Misdirected),
        408 => Ok(Outcome::Timeout),
        409 => Ok(Outcome::NotSent),
        429 => Ok(Outcome::Rejected),
        444 => Ok(Outcome::Cancelled),
        502 => Ok(Outcome::Error),
        520 => Ok(Outcome::Reset),
        521 => Ok(Outcome::ConnectFailed),
        code => Err(RecordError::UnknownOutcome(code)),
    }
}

/// Decodes the values of a load report, at most 255.
fn decode_report_values(reader: &mut FieldReader<'_>) -> Result<Vec<f64>, FieldError> {
    let count = reader.u8("metrics count")?;
    (0..count).map(|_| reader.f32("metrics")).collect()
}

/// Decodes a duration in milliseconds.
fn decode_span(reader: &mut FieldReader<'_>, field: &'static str) -> Result<Span, FieldError> {
    reader.f64(field).map(|ms| Span(ms_to_micros(ms)))
}
