//! What passes between the gateway and an endpoint for one request: its frame, what the responses
//! say of the attempt, and the statements that the endpoint has to prepare again. No I/O: frames
//! in, frames or an outcome out.

use std::fmt;

use valehatch_core::{UpstreamJob, UpstreamReply};
use valehatch_policy::{Outcome, Role, Span, Time};

use crate::PreparedStatements;
use crate::frame::{Frame, OPCODE_OFFSET, result_kind};
use crate::opcodes::{error_code, opcode};
use crate::reader::ReadError;
use crate::requests::{heartbeat, prepare};

/// How long after its request a statement may be prepared again. An endpoint that began to drain
/// since then must get nothing new after its grace.
const REPREPARE_WITHIN: Span = Span::from_millis(200);
/// How many statements may be prepared again for one request: one for each statement of a batch.
const MAX_REPREPARES: u32 = 16;

/// What follows from a response.
pub enum NextStep {
    /// Send this frame on the same connection.
    Send(Frame),
    /// The exchange has ended.
    Finished {
        /// The reply for the core.
        reply: UpstreamReply,
        /// The response was malformed, or a health check failed: the connection is of no further
        /// use.
        closes_connection: bool,
    },
}

impl NextStep {
    const fn finished(reply: UpstreamReply) -> Self {
        Self::Finished {
            reply,
            closes_connection: false,
        }
    }
}

/// One job's exchange with an endpoint.
pub struct Exchange {
    job: UpstreamJob,
    submitted_at: Time,
    /// The id of the statement that the endpoint is preparing again.
    repreparing: Option<Vec<u8>>,
    /// How many statements were prepared again.
    reprepared: u32,
    /// The permit to send it was acquired.
    is_permitted: bool,
}

impl Exchange {
    /// A job that is submitted now.
    pub const fn new(job: UpstreamJob, now: Time) -> Self {
        Self {
            job,
            submitted_at: now,
            repreparing: None,
            reprepared: 0,
            is_permitted: false,
        }
    }

    /// Whether it may be written now. A request that moves to another connection, because its first
    /// one was lost before the request was sent, holds its permit already.
    pub fn try_begin(&mut self, now: Time) -> bool {
        self.is_permitted |= match &self.job {
            UpstreamJob::Request { permit, .. } => permit.try_acquire(now).is_ok(),
            UpstreamJob::HealthCheck => true,
        };
        self.is_permitted
    }

    /// The frame that is sent first; whoever sends it sets its stream id.
    pub fn first_frame(&self) -> Frame {
        match &self.job {
            UpstreamJob::Request { payload, .. } => Frame::from_bytes(payload.bytes.clone()),
            UpstreamJob::HealthCheck => heartbeat(),
        }
    }

    /// The class of the request; none for a health check.
    pub fn class(&self) -> Option<usize> {
        match &self.job {
            UpstreamJob::Request { payload, .. } => Some(payload.class),
            UpstreamJob::HealthCheck => None,
        }
    }

    /// Whether the endpoint is only preparing a statement again: nothing of the request itself was
    /// sent since.
    pub const fn is_repreparing(&self) -> bool {
        self.repreparing.is_some()
    }

    /// Handles a response to the frame that was sent last.
    pub fn on_response(
        &mut self,
        now: Time,
        frame: Frame,
        prepared: &PreparedStatements,
    ) -> NextStep {
        if matches!(self.job, UpstreamJob::HealthCheck) {
            return on_health_check_response(&frame);
        }
        let may_reprepare = now - self.submitted_at <= REPREPARE_WITHIN;
        if let Some(id) = self.repreparing.take() {
            // Under another id it is another statement there.
            let is_known = prepared_id(&frame).is_some_and(|prepared| prepared == id);
            if is_known && may_reprepare {
                return NextStep::Send(self.first_frame());
            }
            return NextStep::finished(UpstreamReply::without_details(Outcome::Misdirected));
        }
        // The request may have run; nothing of a malformed response is forwarded.
        if !is_well_formed(&frame) {
            tracing::warn!(
                "an endpoint's response is malformed: opcode {:#04x}",
                frame.opcode()
            );
            return NextStep::Finished {
                reply: UpstreamReply::without_details(Outcome::Error),
                closes_connection: true,
            };
        }
        let assessment = assess(&frame);
        if may_reprepare
            && self.reprepared < MAX_REPREPARES
            && let Some(id) = assessment.unprepared_id
            && let Some(statement) = prepared.get(&id)
        {
            self.reprepared += 1;
            self.repreparing = Some(id);
            return NextStep::Send(prepare(&statement));
        }
        NextStep::finished(self.reply(assessment.outcome, frame, prepared))
    }

    /// The reply to a request, from its last response.
    fn reply(
        &self,
        outcome: Outcome,
        frame: Frame,
        prepared: &PreparedStatements,
    ) -> UpstreamReply {
        let mut reply = UpstreamReply::without_details(outcome);
        let UpstreamJob::Request { payload, .. } = &self.job else {
            return reply;
        };
        if payload.bytes.get(OPCODE_OFFSET) == Some(&opcode::PREPARE)
            && let Some(id) = prepared_id(&frame)
        {
            remember_statement(&id, &payload.bytes, prepared);
        }
        // Any endpoint takes writes; the one that served a write is where the next ones go.
        reply.role = (outcome == Outcome::Ok && payload.write).then_some(Role::Primary);
        // The client gets an endpoint's time-out or failure in the endpoint's words.
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            reply.body = Some(frame.into_bytes());
        }
        reply
    }
}

fn on_health_check_response(frame: &Frame) -> NextStep {
    let outcome = if frame.opcode() == opcode::SUPPORTED {
        Outcome::Ok
    } else {
        assess(frame).outcome
    };
    NextStep::Finished {
        reply: UpstreamReply::without_details(outcome),
        closes_connection: outcome != Outcome::Ok,
    }
}

/// Remembers the statement of a PREPARE, whose frame is `request`, under the id that the endpoint
/// gave it.
fn remember_statement(id: &[u8], request: &[u8], prepared: &PreparedStatements) {
    let request = Frame::from_bytes(request.to_vec());
    let statement = request
        .content()
        .and_then(|mut reader| reader.long_string());
    if let Ok(statement) = statement {
        prepared.insert(id, statement);
    }
}

/// Why an endpoint did not open a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupError {
    /// It is overloaded or still starting.
    Rejected,
    /// It answered with this opcode.
    UnexpectedResponse(u8),
}

impl fmt::Display for StartupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected => f.write_str("the endpoint rejected STARTUP"),
            Self::UnexpectedResponse(opcode) => {
                write!(f, "the endpoint answered STARTUP with opcode {opcode:#04x}")
            }
        }
    }
}

impl std::error::Error for StartupError {}

/// Checks the response to a STARTUP.
///
/// # Errors
/// It is not READY.
pub fn check_startup_response(frame: &Frame) -> Result<(), StartupError> {
    match frame.opcode() {
        opcode::READY => Ok(()),
        opcode::ERROR if assess(frame).outcome == Outcome::Rejected => Err(StartupError::Rejected),
        other => Err(StartupError::UnexpectedResponse(other)),
    }
}

/// The id in the response to a PREPARE.
fn prepared_id(frame: &Frame) -> Option<Vec<u8>> {
    let mut reader = frame.content().ok()?;
    if frame.opcode() != opcode::RESULT {
        return None;
    }
    if reader.int().ok()? != result_kind::PREPARED {
        return None;
    }
    reader.short_bytes().ok().map(<[u8]>::to_vec)
}

/// Whether a response answers a request: a complete result, or an error with its code and message.
fn is_well_formed(frame: &Frame) -> bool {
    if frame.opcode() == opcode::ERROR {
        read_error(frame).is_ok()
    } else {
        frame.is_result()
    }
}

/// Reads an ERROR's code and skips its message; what its code brings follows in the reader.
fn read_error(frame: &Frame) -> Result<ErrorBody<'_>, ReadError> {
    let mut details = frame.content()?;
    let code = details.int()?;
    details.string()?;
    Ok(ErrorBody { code, details })
}

struct ErrorBody<'a> {
    code: u32,
    details: crate::reader::Reader<'a>,
}

/// What a response says of the attempt.
struct Assessment {
    outcome: Outcome,
    /// The id of a statement that the endpoint does not know.
    unprepared_id: Option<Vec<u8>>,
}

impl From<Outcome> for Assessment {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            unprepared_id: None,
        }
    }
}

fn assess(frame: &Frame) -> Assessment {
    if !is_well_formed(frame) {
        return Outcome::Error.into();
    }
    if frame.opcode() == opcode::RESULT {
        return Outcome::Ok.into();
    }
    let Ok(mut error) = read_error(frame) else {
        return Outcome::Error.into();
    };
    match error.code {
        // Rejected before anything was done.
        error_code::UNAVAILABLE | error_code::OVERLOADED | error_code::BOOTSTRAPPING => {
            Outcome::Rejected.into()
        }
        error_code::UNPREPARED => match error.details.short_bytes() {
            Ok(id) => Assessment {
                outcome: Outcome::Misdirected,
                unprepared_id: Some(id.to_vec()),
            },
            Err(_) => Outcome::Error.into(),
        },
        error_code::SERVER
        | error_code::WRITE_TIMEOUT
        | error_code::READ_TIMEOUT
        | error_code::READ_FAILURE
        | error_code::FUNCTION_FAILURE
        | error_code::WRITE_FAILURE => Outcome::Error.into(),
        // The statement itself is at fault, which every endpoint would say: that is its response.
        _ => Outcome::Ok.into(),
    }
}
