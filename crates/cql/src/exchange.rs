//! What passes between the gateway and a node for one request: its frame, what the answers say of the attempt, and the
//! statements that the node has to be told again. Pure: frames in, frames or an outcome out.

use std::sync::Arc;

use valehatch_core::{UpstreamJob, UpstreamReply};
use valehatch_policy::{Outcome, Role, Span, Time};

use super::Prepared;
use super::codec::{Frame, code, op, put_string};

/// A statement that a node has forgotten is sent there again only so soon after the request was: a node that
/// was told to drain since then must get nothing new later than its grace.
const REPREPARE: Span = Span::from_millis(200);
/// Where a frame's opcode stands.
const OPCODE: usize = 4;
/// Statements of one request that a node is told again: one for each statement of a batch.
const STATEMENTS: u32 = 16;

/// What comes of an answer.
pub enum Next {
    /// This is asked next, on the same connection.
    Ask(Frame),
    /// It is over. If the answer was spoilt, its connection is of no further use.
    Over {
        /// What the core is told.
        reply: UpstreamReply,
        /// The answer could not be one.
        spoilt: bool,
    },
}

/// One job's exchange with a node.
pub struct Exchange {
    job: UpstreamJob,
    began: Time,
    /// The statement that the node is being told again.
    telling: Option<Vec<u8>>,
    told: u32,
    /// The leave to write it is used.
    permitted: bool,
}

impl Exchange {
    /// A job that is submitted now.
    pub const fn new(job: UpstreamJob, now: Time) -> Self {
        Self {
            job,
            began: now,
            telling: None,
            told: 0,
            permitted: false,
        }
    }

    /// Whether it may be written now. What goes to another connection because its first one was lost before it left has
    /// its leave already.
    pub fn may_begin(&mut self, now: Time) -> bool {
        self.permitted |= match &self.job {
            UpstreamJob::Request { permit, .. } => permit.try_acquire(now).is_ok(),
            UpstreamJob::HealthCheck => true,
        };
        self.permitted
    }

    /// What is asked first; its stream is set by whoever sends it.
    pub fn opening(&self) -> Frame {
        match &self.job {
            UpstreamJob::Request { payload, .. } => Frame::from_bytes(payload.bytes.clone()),
            UpstreamJob::HealthCheck => heartbeat(),
        }
    }

    /// The class of the request; none for a probe.
    pub fn class(&self) -> Option<usize> {
        match &self.job {
            UpstreamJob::Request { payload, .. } => Some(payload.class),
            UpstreamJob::HealthCheck => None,
        }
    }

    /// Whether the node is only being told a statement again: nothing of the request itself is out.
    pub const fn is_telling(&self) -> bool {
        self.telling.is_some()
    }

    /// Takes an answer.
    pub fn take(&mut self, now: Time, frame: Frame, prepared: &Prepared) -> Next {
        let over = |reply, spoilt| Next::Over { reply, spoilt };
        let UpstreamJob::Request { payload, .. } = &self.job else {
            let outcome = if frame.opcode() == op::SUPPORTED {
                Outcome::Ok
            } else {
                judge(&frame).0
            };
            return over(
                UpstreamReply::without_details(outcome),
                outcome != Outcome::Ok,
            );
        };
        let soon = now - self.began <= REPREPARE;
        if let Some(id) = self.telling.take() {
            // Told again under the same id, the statement is known to the node; else it is another one there.
            let known = prepared_id(&frame).is_some_and(|got| got == id);
            return if known && soon {
                Next::Ask(self.opening())
            } else {
                over(UpstreamReply::without_details(Outcome::Misdirected), false)
            };
        }
        // A spoilt answer may have run; nothing of it is passed on.
        if !whole(&frame) {
            tracing::warn!("a node's answer is spoilt: opcode {:#04x}", frame.opcode());
            return over(UpstreamReply::without_details(Outcome::Error), true);
        }
        let (outcome, forgotten) = judge(&frame);
        if let Some((id, statement)) =
            forgotten.and_then(|id| prepared.get(&id).map(|statement| (id, statement)))
            && soon
            && self.told < STATEMENTS
        {
            self.told += 1;
            self.telling = Some(id);
            return Next::Ask(prepare(&statement));
        }
        let mut reply = UpstreamReply::without_details(outcome);
        if payload.bytes.get(OPCODE) == Some(&op::PREPARE)
            && let Some(id) = prepared_id(&frame)
        {
            let asked = Frame::from_bytes(payload.bytes.clone());
            let statement = asked
                .content()
                .and_then(|mut r| r.long_string().map(str::to_owned));
            statement.into_iter().for_each(|s| prepared.insert(&id, &s));
        }
        // Any node takes writes; the one that served a write is where the next ones go.
        reply.role = (outcome == Outcome::Ok && payload.write).then_some(Role::Primary);
        // A client is told of a node's time-out or failure as the node put it.
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            reply.body = Some(frame.into_bytes());
        }
        over(reply, false)
    }
}

/// A question that every node answers at once.
pub fn heartbeat() -> Frame {
    Frame::new(false, 0, 0, op::OPTIONS, &[])
}

/// How a session begins.
pub fn startup() -> Frame {
    let mut body = 1_u16.to_be_bytes().to_vec();
    put_string(&mut body, "CQL_VERSION");
    put_string(&mut body, "3.0.0");
    Frame::new(false, 0, 0, op::STARTUP, &body)
}

/// What the answer to a STARTUP says.
pub fn greeted(frame: &Frame) -> Result<(), Outcome> {
    match frame.opcode() {
        op::READY => Ok(()),
        op::ERROR if judge(frame).0 == Outcome::Rejected => Err(Outcome::Rejected),
        other => {
            tracing::warn!("a node answered STARTUP with opcode {other:#04x}");
            Err(Outcome::ConnectFailed)
        }
    }
}

fn prepare(statement: &Arc<str>) -> Frame {
    let mut body = u32::try_from(statement.len())
        .unwrap_or(0)
        .to_be_bytes()
        .to_vec();
    body.extend_from_slice(statement.as_bytes());
    Frame::new(false, 0, 0, op::PREPARE, &body)
}

/// The id in the answer to a PREPARE.
fn prepared_id(frame: &Frame) -> Option<Vec<u8>> {
    let mut r = frame.content().ok()?;
    let prepared = frame.opcode() == op::RESULT && r.int().ok()? == 4;
    prepared.then(|| r.short_bytes().ok().map(<[u8]>::to_vec))?
}

/// Whether an answer to a request is one: a whole result, or an error with its code and words.
fn whole(frame: &Frame) -> bool {
    let error = || {
        frame
            .content()
            .and_then(|mut r| r.int().and_then(|_| r.string().map(drop)))
            .is_ok()
    };
    if frame.opcode() == op::ERROR {
        error()
    } else {
        frame.is_result()
    }
}

/// What an answer says of the attempt, and the id of a statement that the node does not know.
fn judge(frame: &Frame) -> (Outcome, Option<Vec<u8>>) {
    if !whole(frame) {
        return (Outcome::Error, None);
    }
    if frame.opcode() == op::RESULT {
        return (Outcome::Ok, None);
    }
    let read = || -> Result<(u32, Option<Vec<u8>>), String> {
        let mut r = frame.content()?;
        let code = r.int()?;
        r.string()?;
        Ok((
            code,
            if code == code::UNPREPARED {
                Some(r.short_bytes()?.to_vec())
            } else {
                None
            },
        ))
    };
    match read() {
        // Turned away before anything was done.
        Ok((code::UNAVAILABLE | code::OVERLOADED | code::BOOTSTRAPPING, _)) => {
            (Outcome::Rejected, None)
        }
        Ok((code::UNPREPARED, id)) => (Outcome::Misdirected, id),
        Ok((
            code::SERVER
            | code::WRITE_TIMEOUT
            | code::READ_TIMEOUT
            | code::READ_FAILURE
            | code::FUNCTION_FAILURE
            | code::WRITE_FAILURE,
            _,
        ))
        | Err(_) => (Outcome::Error, None),
        // The statement itself is at fault, which every node would say: that is its answer.
        Ok(_) => (Outcome::Ok, None),
    }
}
