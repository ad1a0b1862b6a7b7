//! The exchange of frames with an endpoint for one request: sends the request, prepares unknown
//! statements again, and derives the attempt's outcome from the responses. No I/O: the input is
//! frames, the output frames or an outcome.

use std::fmt;

use valehatch_core::{UpstreamJob, UpstreamReply};
use valehatch_policy::{Outcome, Role, Span, Time};

use crate::PreparedStatements;
use crate::frame::{Frame, OPCODE_OFFSET, result_kind};
use crate::opcodes::{error_code, opcode};
use crate::reader::ReadError;
use crate::requests::{heartbeat, prepare};

/// Time after the submission of a request during which a statement may be prepared again. An
/// endpoint that begins to drain meanwhile must get nothing new after its grace period.
const REPREPARE_WINDOW: Span = Span::from_millis(200);
/// Maximum of statements that are prepared again for one request; a batch may need this once for
/// each of its statements.
const MAX_REPREPARES: u32 = 16;

/// What to do after a response.
pub enum NextStep {
    /// Send this frame on the same connection.
    Send(Frame),
    /// The exchange has ended.
    Finished {
        /// Reply for the core.
        reply: UpstreamReply,
        /// Whether the connection has to be closed, because the response was malformed or a health
        /// check failed.
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

/// Exchange of frames with an endpoint for one job.
pub struct Exchange {
    job: UpstreamJob,
    submitted_at: Time,
    /// Id of the statement that the endpoint is preparing again.
    repreparing: Option<Vec<u8>>,
    /// Number of statements that were prepared again.
    reprepare_count: u32,
    /// Whether the permit to send the job has been acquired.
    has_permit: bool,
    /// Whether the core has cancelled the attempt.
    cancelled: bool,
}

impl Exchange {
    /// Creates the exchange for a job that is submitted at `now`.
    pub const fn new(job: UpstreamJob, now: Time) -> Self {
        Self {
            job,
            submitted_at: now,
            repreparing: None,
            reprepare_count: 0,
            has_permit: false,
            cancelled: false,
        }
    }

    /// Acquires the permit to send the job, if not yet acquired, and returns whether it may be
    /// sent. A request that moves to another connection, because the first was lost before the
    /// request was sent, already has its permit.
    pub fn try_acquire_permit(&mut self, now: Time) -> bool {
        self.has_permit |= match &self.job {
            UpstreamJob::Request { permit, .. } => permit.try_acquire(now).is_ok(),
            UpstreamJob::HealthCheck => true,
        };
        self.has_permit
    }

    /// Returns the first frame to send; the sender sets its stream id.
    pub fn first_frame(&self) -> Frame {
        match &self.job {
            UpstreamJob::Request { payload, .. } => Frame::from_bytes(payload.bytes.clone()),
            UpstreamJob::HealthCheck => heartbeat(),
        }
    }

    /// Class of the request; `None` for a health check.
    pub fn class(&self) -> Option<usize> {
        match &self.job {
            UpstreamJob::Request { payload, .. } => Some(payload.class),
            UpstreamJob::HealthCheck => None,
        }
    }

    /// Whether the endpoint is preparing a statement again; the request itself is then not in
    /// flight.
    pub const fn is_repreparing(&self) -> bool {
        self.repreparing.is_some()
    }

    /// Records that the core has cancelled the attempt: its statement is not prepared again.
    pub const fn cancel(&mut self) {
        self.cancelled = true;
    }

    /// Whether the core has cancelled the attempt.
    pub const fn is_cancelled(&self) -> bool {
        self.cancelled
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
        let may_reprepare = !self.cancelled && now - self.submitted_at <= REPREPARE_WINDOW;
        if let Some(id) = self.repreparing.take() {
            // A different id means that the endpoint prepared a different statement.
            let is_known = prepared_id(&frame).is_some_and(|prepared| prepared == id);
            if is_known && may_reprepare {
                return NextStep::Send(self.first_frame());
            }
            return NextStep::finished(UpstreamReply::without_details(Outcome::Misdirected));
        }
        // The request may have run, but a malformed response is not forwarded.
        if !is_well_formed(&frame) {
            tracing::warn!(
                "endpoint's response is malformed: opcode {:#04x}",
                frame.opcode()
            );
            return NextStep::Finished {
                reply: UpstreamReply::without_details(Outcome::Error),
                closes_connection: true,
            };
        }
        let assessment = assess(&frame);
        if may_reprepare
            && self.reprepare_count < MAX_REPREPARES
            && let Some(id) = assessment.unprepared_id
            && let Some(statement) = prepared.get(&id)
        {
            self.reprepare_count += 1;
            self.repreparing = Some(id);
            return NextStep::Send(prepare(&statement));
        }
        NextStep::finished(self.reply(assessment.outcome, frame, prepared))
    }

    /// Builds the reply to a request from the last response.
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
        // Any endpoint accepts writes; the one that served a write is reported as primary, so that
        // later writes go there too.
        reply.role = (outcome == Outcome::Ok && payload.write).then_some(Role::Primary);
        // An endpoint's timeout or failure is forwarded to the client unchanged.
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

/// Remembers the statement of the PREPARE frame `request` under the id that the endpoint assigned.
fn remember_statement(id: &[u8], request: &[u8], prepared: &PreparedStatements) {
    let request = Frame::from_bytes(request.to_vec());
    let statement = request
        .content()
        .and_then(|mut reader| reader.long_string());
    if let Ok(statement) = statement {
        prepared.insert(id, statement);
    }
}

/// Reasons why an endpoint did not open a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupError {
    /// The endpoint is unavailable, overloaded or still starting.
    Rejected,
    /// The endpoint responded with this opcode.
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
/// The response is not READY.
pub fn check_startup_response(frame: &Frame) -> Result<(), StartupError> {
    match frame.opcode() {
        opcode::READY => Ok(()),
        opcode::ERROR if assess(frame).outcome == Outcome::Rejected => Err(StartupError::Rejected),
        other => Err(StartupError::UnexpectedResponse(other)),
    }
}

/// Returns the id in the response to a PREPARE.
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

/// Whether a response is well-formed: a complete result, or an error with a code and a message.
fn is_well_formed(frame: &Frame) -> bool {
    if frame.opcode() == opcode::ERROR {
        read_error(frame).is_ok()
    } else {
        frame.is_result()
    }
}

/// Reads the code of an ERROR and skips its message; `details` then holds the code-specific fields.
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

/// Conclusions about an attempt from its response.
struct Assessment {
    outcome: Outcome,
    /// Id of a statement that the endpoint does not know.
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
        // Rejected before execution.
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
        // The statement itself is invalid, and every endpoint would report the same: the error is
        // the request's response.
        _ => Outcome::Ok.into(),
    }
}
