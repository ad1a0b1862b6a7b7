//! Ids, actions and outcomes: the vocabulary between the multiplexer and whoever does the I/O.

/// A connection to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MultiplexedConnectionId(pub u64);

/// A request or another exchange that a connection carries. The submitter chooses the number, and
/// uses it again only when the job has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// Why a job ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// None of its bytes left: it never ran.
    NotSent,
    /// The connection was lost after its bytes began to leave: it may have run.
    ConnectionLost,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MultiplexerAction {
    /// Open this connection.
    Open(MultiplexedConnectionId),
    /// Queue the job's bytes; call [`write_started`](crate::StreamMultiplexer::write_started) when
    /// they begin to leave.
    Send {
        /// The connection.
        connection: MultiplexedConnectionId,
        /// The stream id.
        stream: i16,
        /// The job.
        job: JobId,
    },
    /// Remove bytes from the connection's queue; they have not begun to leave.
    Unqueue {
        /// The connection.
        connection: MultiplexedConnectionId,
        /// Their stream id.
        stream: i16,
    },
    /// Send a heartbeat.
    Heartbeat {
        /// The connection.
        connection: MultiplexedConnectionId,
        /// Its stream id.
        stream: i16,
    },
    /// Close this connection; nothing more is reported of it.
    Close(MultiplexedConnectionId),
    /// The job has ended.
    AttemptFailed(JobId, AttemptFailure),
}

/// What a received frame answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameOwner {
    /// This job.
    Job(JobId),
    /// A cancelled job, or a heartbeat.
    Abandoned,
    /// Nothing that was sent: the endpoint is out of step, and the connection must be closed
    /// ([`connection_lost`](crate::StreamMultiplexer::connection_lost)).
    Unexpected,
}
