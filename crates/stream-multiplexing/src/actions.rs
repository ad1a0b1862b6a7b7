//! Ids, actions and outcomes that the multiplexer exchanges with its caller, which does the I/O.

/// A connection to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MultiplexedConnectionId(pub u64);

/// A request or another exchange that a connection carries. The submitter chooses the number, and
/// may reuse it only after the job has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// Reason why a job ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// None of the job's bytes were written: it was not executed.
    NotSent,
    /// The connection was lost after the job's bytes began to be written: it may have been
    /// executed.
    ConnectionLost,
}

/// An action that the caller has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MultiplexerAction {
    /// Open this connection.
    Open(MultiplexedConnectionId),
    /// Queue the job's bytes; call [`write_started`](crate::StreamMultiplexer::write_started) when
    /// writing them begins.
    Send {
        /// The connection to use.
        connection: MultiplexedConnectionId,
        /// The job's stream id.
        stream: i16,
        /// The job to send.
        job: JobId,
    },
    /// Remove the bytes of a stream id from the connection's queue; writing them has not begun.
    Unqueue {
        /// The connection to use.
        connection: MultiplexedConnectionId,
        /// The stream id of the bytes.
        stream: i16,
    },
    /// Send a heartbeat.
    Heartbeat {
        /// The connection to use.
        connection: MultiplexedConnectionId,
        /// The heartbeat's stream id.
        stream: i16,
    },
    /// Close this connection; no further events of it are expected.
    Close(MultiplexedConnectionId),
    /// The job has ended without an answer.
    AttemptFailed(JobId, AttemptFailure),
}

/// The sender of the request that a received frame answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameOwner {
    /// The frame answers this job.
    Job(JobId),
    /// The frame answers an abandoned job or a heartbeat.
    Abandoned,
    /// The frame answers nothing that was sent: the endpoint is out of sync, and the connection
    /// must be closed ([`connection_lost`](crate::StreamMultiplexer::connection_lost)).
    Unexpected,
}
