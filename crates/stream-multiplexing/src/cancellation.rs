//! Ends of jobs that are not answered yet, at the request of the submitter.
//!
//! A job whose bytes have begun to be written is *out* until its answer has arrived or its
//! connection is closed: until then the endpoint may execute it. A submitter that may send the same
//! request elsewhere cancels the job and waits for its outcome. A submitter that does not, because
//! its request has ended, abandons the job.
//!
//! A cancelled job keeps its connection while that carries other jobs, because closing it would
//! leave their outcome unknown. Once no other job is on the connection, it is closed, which ends the
//! cancelled ones; if the endpoint has just answered the last other job, they have a short grace. If
//! the endpoint is silent, a heartbeat closes the connection earlier.

use valehatch_policy::Time;

use crate::actions::{JobId, MultiplexedConnectionId, MultiplexerAction};
use crate::connection::StreamUse;
use crate::multiplexer::{JobState, StreamMultiplexer, not_sent};

impl StreamMultiplexer {
    /// Cancels a job, which ends as any other: with its answer, if that arrives first, or with
    /// [`MultiplexerAction::AttemptFailed`] once it is no longer out. Does nothing if the job is
    /// cancelled or answered already.
    pub fn cancel(&mut self, now: Time, job: JobId, out: &mut Vec<MultiplexerAction>) {
        match self.jobs.get(&job).copied() {
            None | Some(JobState::Answered { .. }) => {}
            Some(JobState::Waiting) => {
                self.jobs.remove(&job);
                self.waiting.retain(|waiting| waiting.job != job);
                out.push(not_sent(job));
            }
            Some(JobState::InFlight { connection, stream }) => {
                if self.unqueue(now, connection, stream, out) {
                    self.jobs.remove(&job);
                    out.push(not_sent(job));
                } else {
                    self.cancel_written(now, connection, stream, out);
                }
            }
        }
    }

    /// Cancels a job whose bytes have begun to be written.
    fn cancel_written(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        stream: i16,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let Some(carrier) = self.connections.get_mut(&connection) else {
            return;
        };
        let Some(sent) = carrier.cancel_job(stream) else {
            return;
        };
        self.close_if_only_cancelled(now, connection, out);
        self.check_silence(now, connection, sent, out);
    }

    /// Abandons a job: no further action or outcome is reported for it, although it may still be
    /// out.
    pub fn abandon(&mut self, now: Time, job: JobId, out: &mut Vec<MultiplexerAction>) {
        match self.jobs.remove(&job) {
            None | Some(JobState::Answered { .. }) => {}
            Some(JobState::Waiting) => self.waiting.retain(|waiting| waiting.job != job),
            Some(JobState::InFlight { connection, stream }) => {
                if !self.unqueue(now, connection, stream, out) {
                    self.abandon_written(now, connection, stream, out);
                }
            }
        }
    }

    /// Abandons a job whose bytes have begun to be written. Its stream id becomes an orphan.
    fn abandon_written(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        stream: i16,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let Some(carrier) = self.connections.get_mut(&connection) else {
            return;
        };
        let Some(sent) = carrier.orphan_job(stream) else {
            return;
        };
        if carrier.orphans > self.settings.max_orphans {
            self.close(now, connection, out);
            return;
        }
        self.close_if_only_cancelled(now, connection, out);
        self.check_silence(now, connection, sent, out);
    }

    /// Takes a job's bytes back. Returns false if writing them has begun.
    fn unqueue(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        stream: i16,
        out: &mut Vec<MultiplexerAction>,
    ) -> bool {
        let is_queued = self
            .connections
            .get_mut(&connection)
            .is_some_and(|carrier| carrier.remove_queued_job(stream));
        if is_queued {
            out.push(MultiplexerAction::Unqueue { connection, stream });
            self.close_if_only_cancelled(now, connection, out);
        }
        is_queued
    }

    /// Closes a connection on which all jobs are cancelled.
    pub(crate) fn close_if_only_cancelled(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let has_cancelled = self
            .connections
            .get(&connection)
            .is_some_and(|carrier| carrier.cancelled > 0);
        if has_cancelled && !self.carries_wanted_job(connection) {
            self.close(now, connection, out);
        }
    }

    /// Lets a connection on which all jobs are cancelled be closed after a grace, because its endpoint
    /// has just answered another job.
    pub(crate) fn close_soon_if_only_cancelled(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
    ) {
        let close_at = now + self.settings.cancelled_grace;
        if let Some(carrier) = self.connections.get_mut(&connection)
            && carrier.cancelled > 0
        {
            carrier.close_at = Some(close_at);
        }
    }

    /// Closes a connection on which all jobs are cancelled, once its grace is over.
    pub(crate) fn close_after_grace(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let is_due = self
            .connections
            .get(&connection)
            .is_some_and(|carrier| carrier.close_at.is_none_or(|at| at <= now));
        if is_due {
            self.close_if_only_cancelled(now, connection, out);
        }
    }

    /// Whether a job that is not cancelled is on a connection, or its answer is being handled.
    pub(crate) fn carries_wanted_job(&self, connection: MultiplexedConnectionId) -> bool {
        let carrier = self.connections.get(&connection);
        carrier.is_some_and(|carrier| carrier.streams.values().any(StreamUse::is_wanted_job))
            || self
                .jobs
                .values()
                .any(|state| *state == JobState::Answered { connection })
    }

    /// Sends a heartbeat if nothing was received since a job was sent.
    fn check_silence(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        sent: Time,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let Some(carrier) = self.connections.get_mut(&connection) else {
            return;
        };
        if carrier.last_received <= sent && !carrier.suspect {
            carrier.suspect = true;
            self.send_heartbeat(now, connection, out);
        }
    }
}
