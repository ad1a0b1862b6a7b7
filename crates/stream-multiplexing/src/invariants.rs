//! Invariants that hold after every step; checked by the tests.

use std::error::Error;
use std::fmt;

use crate::actions::MultiplexedConnectionId;
use crate::connection::{Connection, StreamUse};
use crate::multiplexer::{JobState, StreamMultiplexer};

/// Description of a violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation(pub String);

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Error for InvariantViolation {}

impl StreamMultiplexer {
    /// Checks the invariants that must hold after every step.
    ///
    /// # Errors
    /// Returns the first violated invariant that is found.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        for (id, connection) in &self.connections {
            self.check_connection(*id, connection)?;
        }
        let waiting = self.jobs.values().filter(|s| **s == JobState::Waiting);
        let waiting = waiting.count();
        if waiting != self.waiting.len() || waiting > self.settings.max_waiting {
            let queued = self.waiting.len();
            return Err(InvariantViolation(format!(
                "{waiting} jobs wait, {queued} are queued"
            )));
        }
        if self.connections.len() > self.settings.max_connections {
            return Err(InvariantViolation(format!(
                "{} connections",
                self.connections.len()
            )));
        }
        Ok(())
    }

    fn check_connection(
        &self,
        id: MultiplexedConnectionId,
        connection: &Connection,
    ) -> Result<(), InvariantViolation> {
        let orphans = connection.streams.values();
        let orphans = orphans.filter(|used| **used == StreamUse::Orphan).count();
        if orphans != connection.orphans || orphans > self.settings.max_orphans {
            let counted = connection.orphans;
            return Err(InvariantViolation(format!(
                "{id:?}: {orphans} orphans, {counted} counted"
            )));
        }
        let is_cancelled = |used: &&StreamUse| {
            matches!(
                used,
                StreamUse::Job {
                    cancelled: true,
                    ..
                }
            )
        };
        let cancelled = connection.streams.values().filter(is_cancelled).count();
        if cancelled != connection.cancelled {
            let counted = connection.cancelled;
            return Err(InvariantViolation(format!(
                "{id:?}: {cancelled} cancelled jobs, {counted} counted"
            )));
        }
        if cancelled > 0 && connection.close_at.is_none() && !self.carries_wanted_job(id) {
            return Err(InvariantViolation(format!(
                "{id:?} is open for cancelled jobs alone"
            )));
        }
        // Heartbeats and resubmitted jobs are not subject to `max_jobs`.
        let used = connection.streams.len();
        if used > usize::from(self.settings.stream_ids) {
            return Err(InvariantViolation(format!(
                "{id:?}: {used} stream ids in use"
            )));
        }
        for (stream, stream_use) in &connection.streams {
            let StreamUse::Job { job, .. } = stream_use else {
                continue;
            };
            let expected = JobState::InFlight {
                connection: id,
                stream: *stream,
            };
            if self.jobs.get(job) != Some(&expected) {
                return Err(InvariantViolation(format!(
                    "{job:?} is not only on stream {stream} of {id:?}"
                )));
            }
        }
        Ok(())
    }
}
