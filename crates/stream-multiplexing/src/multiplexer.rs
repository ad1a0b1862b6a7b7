//! The state machine over all connections to one endpoint.

use std::collections::{BTreeMap, VecDeque};

use valehatch_policy::{Span, Time};

use crate::actions::{
    AttemptFailure, FrameOwner, JobId, MultiplexedConnectionId, MultiplexerAction,
};
use crate::connection::{Connection, StreamUse, WriteState};
use crate::settings::{Settings, SettingsError};

/// Ticks that follow each other faster than the heartbeat timeout divided by this number are
/// skipped.
const MIN_TICK_DIVISOR: i64 = 16;

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobState {
    /// The job waits for a connection.
    Waiting,
    InFlight {
        connection: MultiplexedConnectionId,
        stream: i16,
    },
    /// The job was answered, but not finished or resubmitted yet.
    Answered { connection: MultiplexedConnectionId },
}

/// A job that waits for a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingJob {
    pub(crate) job: JobId,
    until: Time,
}

/// A connection that may get a job.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    connection: MultiplexedConnectionId,
    /// Stream ids in use.
    load: usize,
}

/// Numbers of jobs and connections of a multiplexer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MultiplexerSize {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Connections, including those that are being opened.
    pub connections: usize,
}

/// Multiplexes jobs over the connections to one endpoint.
#[derive(Debug)]
pub struct StreamMultiplexer {
    pub(crate) settings: Settings,
    pub(crate) connections: BTreeMap<MultiplexedConnectionId, Connection>,
    pub(crate) jobs: BTreeMap<JobId, JobState>,
    /// Jobs that wait for a connection, oldest first.
    pub(crate) waiting: VecDeque<WaitingJob>,
    last_connection: u64,
    last_tick: Time,
}

impl StreamMultiplexer {
    /// Creates a multiplexer without connections.
    ///
    /// # Errors
    /// Returns an error if a setting is out of its range.
    pub fn new(settings: Settings) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            settings,
            connections: BTreeMap::new(),
            jobs: BTreeMap::new(),
            waiting: VecDeque::new(),
            last_connection: 0,
            last_tick: Time(0),
        })
    }

    /// Numbers of current jobs and connections.
    #[must_use]
    pub fn size(&self) -> MultiplexerSize {
        MultiplexerSize {
            jobs: self.jobs.len(),
            connections: self.connections.len(),
        }
    }

    /// Submits a job.
    pub fn submit(&mut self, now: Time, job: JobId, out: &mut Vec<MultiplexerAction>) {
        debug_assert!(!self.jobs.contains_key(&job));
        let best = self.least_loaded();
        let load = best.map_or(usize::MAX, |candidate| candidate.load);
        let is_opening = self.connections.values().any(|c| !c.ready);
        let may_open = !is_opening && self.connections.len() < self.settings.max_connections;
        if load >= self.settings.open_another_at && may_open {
            self.open(now, out);
        }
        match best {
            Some(candidate) if candidate.load < self.settings.max_jobs => {
                self.assign(now, candidate.connection, job, out);
            }
            _ if self.waiting.len() < self.settings.max_waiting => {
                self.jobs.insert(job, JobState::Waiting);
                let until = now + self.settings.max_write_delay;
                self.waiting.push_back(WaitingJob { job, until });
            }
            _ => out.push(not_sent(job)),
        }
    }

    /// The connection with the fewest stream ids in use, among those that accept jobs.
    fn least_loaded(&self) -> Option<Candidate> {
        let accepting = self.connections.iter().filter(|(_, c)| c.accepts_jobs());
        let candidates = accepting.map(|(id, connection)| Candidate {
            connection: *id,
            load: connection.streams.len(),
        });
        candidates.min_by_key(|candidate| candidate.load)
    }

    fn open(&mut self, now: Time, out: &mut Vec<MultiplexerAction>) {
        self.last_connection += 1;
        let id = MultiplexedConnectionId(self.last_connection);
        self.connections.insert(id, Connection::opening(now));
        out.push(MultiplexerAction::Open(id));
    }

    /// Sends a job on a connection; the job fails if the connection has no free stream id.
    fn assign(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        job: JobId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let stream_use = StreamUse::Job {
            job,
            sent: now,
            write: WriteState::Queued,
            cancelled: false,
        };
        let Some(stream) = self.take_stream(now, connection, stream_use) else {
            self.jobs.remove(&job);
            out.push(not_sent(job));
            return;
        };
        self.jobs
            .insert(job, JobState::InFlight { connection, stream });
        out.push(MultiplexerAction::Send {
            connection,
            stream,
            job,
        });
    }

    fn take_stream(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        stream_use: StreamUse,
    ) -> Option<i16> {
        let stream_ids = self.settings.stream_ids;
        self.connections
            .get_mut(&connection)?
            .take_stream(now, stream_ids, stream_use)
    }

    /// Assigns waiting jobs to connections with capacity.
    fn assign_waiting(&mut self, now: Time, out: &mut Vec<MultiplexerAction>) {
        while let Some(candidate) = self.least_loaded() {
            if candidate.load >= self.settings.max_jobs {
                return;
            }
            let Some(waiting) = self.waiting.pop_front() else {
                return;
            };
            self.assign(now, candidate.connection, waiting.job, out);
        }
    }

    /// Reports that a connection is open and its handshake complete. Returns false if the
    /// connection is no longer needed.
    pub fn connection_opened(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) -> bool {
        let Some(opened) = self.connections.get_mut(&connection) else {
            return false;
        };
        opened.ready = true;
        opened.last_received = now;
        opened.last_used = now;
        self.assign_waiting(now, out);
        true
    }

    /// Reports that writing the bytes of a stream id begins.
    pub fn write_started(&mut self, connection: MultiplexedConnectionId, stream: i16) {
        let Some(connection) = self.connections.get_mut(&connection) else {
            return;
        };
        if let Some(StreamUse::Job { write, .. }) = connection.streams.get_mut(&stream) {
            *write = WriteState::Started;
        }
    }

    /// Reports that bytes were received on a connection.
    pub fn bytes_received(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let Some(receiving) = self.connections.get_mut(&connection) else {
            return;
        };
        receiving.last_received = now;
        receiving.heartbeat_sent = None;
        receiving.suspect = false;
        if !self.waiting.is_empty() {
            self.assign_waiting(now, out);
        }
    }

    /// Reports an answer received for a stream id. Its job is kept until [`finish`](Self::finish)
    /// or [`resubmit`](Self::resubmit).
    pub fn frame_received(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        stream: i16,
    ) -> FrameOwner {
        let Some(receiving) = self.connections.get_mut(&connection) else {
            return FrameOwner::Abandoned;
        };
        receiving.last_used = now;
        match receiving.streams.remove(&stream) {
            Some(StreamUse::Job { job, cancelled, .. }) => {
                receiving.cancelled -= usize::from(cancelled);
                self.jobs.insert(job, JobState::Answered { connection });
                FrameOwner::Job(job)
            }
            Some(StreamUse::Orphan) => {
                receiving.orphans -= 1;
                FrameOwner::Abandoned
            }
            Some(StreamUse::Heartbeat) => FrameOwner::Abandoned,
            None => FrameOwner::Unexpected,
        }
    }

    /// Ends an answered job.
    pub fn finish(&mut self, now: Time, job: JobId, out: &mut Vec<MultiplexerAction>) {
        if let Some(JobState::Answered { connection }) = self.jobs.remove(&job) {
            self.close_soon_if_only_cancelled(now, connection);
        }
        if !self.waiting.is_empty() {
            self.assign_waiting(now, out);
        }
    }

    /// Sends a further request of an answered job on the same connection. Returns false if the
    /// connection is lost; the job has then ended.
    pub fn resubmit(&mut self, now: Time, job: JobId, out: &mut Vec<MultiplexerAction>) -> bool {
        let Some(JobState::Answered { connection }) = self.jobs.get(&job).copied() else {
            return false;
        };
        if !self.connections.contains_key(&connection) {
            self.jobs.remove(&job);
            return false;
        }
        self.assign(now, connection, job, out);
        self.jobs.contains_key(&job)
    }

    /// Sends a heartbeat, unless one is in flight.
    pub(crate) fn send_heartbeat(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let stream_ids = self.settings.stream_ids;
        let Some(target) = self.connections.get_mut(&connection) else {
            return;
        };
        if target.heartbeat_sent.is_some() {
            return;
        }
        if let Some(stream) = target.take_stream(now, stream_ids, StreamUse::Heartbeat) {
            out.push(MultiplexerAction::Heartbeat { connection, stream });
        }
        target.heartbeat_sent = Some(now);
    }

    pub(crate) fn close(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        out.push(MultiplexerAction::Close(connection));
        self.connection_lost(now, connection, out);
    }

    /// Reports that a connection was lost or could not be opened. Answered jobs on it continue,
    /// because their answers have already arrived.
    pub fn connection_lost(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let Some(lost) = self.connections.remove(&connection) else {
            return;
        };
        for stream_use in lost.streams.into_values() {
            if let StreamUse::Job { job, write, .. } = stream_use {
                self.jobs.remove(&job);
                let failure = match write {
                    WriteState::Queued => AttemptFailure::NotSent,
                    WriteState::Started => AttemptFailure::ConnectionLost,
                };
                out.push(MultiplexerAction::AttemptFailed(job, failure));
            }
        }
        if self.connections.is_empty() && !lost.ready {
            // The endpoint cannot be reached: waiting for another connection would only delay
            // retries on other endpoints.
            for waiting in std::mem::take(&mut self.waiting) {
                self.jobs.remove(&waiting.job);
                out.push(not_sent(waiting.job));
            }
            return;
        }
        // A connection that could not be opened is not reopened at once: that would repeat without
        // a pause.
        let all_ready = self.connections.values().all(|c| c.ready);
        if lost.ready && !self.waiting.is_empty() && all_ready {
            self.open(now, out);
        }
    }

    /// Handles timeouts. To be called about every tenth of [`Settings::heartbeat_timeout`].
    pub fn tick(&mut self, now: Time, out: &mut Vec<MultiplexerAction>) {
        let min_interval = Span(self.settings.heartbeat_timeout.0 / MIN_TICK_DIVISOR);
        if now - self.last_tick < min_interval {
            return;
        }
        self.last_tick = now;
        while let Some(first) = self.waiting.front().copied() {
            if first.until > now {
                break;
            }
            self.waiting.pop_front();
            self.jobs.remove(&first.job);
            out.push(not_sent(first.job));
        }
        let connections: Vec<_> = self.connections.keys().copied().collect();
        for connection in connections {
            self.tick_connection(now, connection, out);
        }
    }

    fn tick_connection(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let settings = self.settings;
        if !self.connections.get(&connection).is_some_and(|c| c.ready) {
            return;
        }
        self.fail_unwritten(now, connection, out);
        self.close_after_grace(now, connection, out);
        let Some(ticked) = self.connections.get(&connection) else {
            return;
        };
        let timed_out = |sent: Time| sent + settings.heartbeat_timeout <= now;
        let is_dead = ticked.heartbeat_sent.is_some_and(timed_out);
        let is_empty = ticked.streams.is_empty();
        let is_idle = is_empty && ticked.last_used + settings.idle_timeout <= now;
        if is_dead || is_idle {
            self.close(now, connection, out);
            return;
        }
        let last_activity = ticked.last_received.max(ticked.last_used);
        let is_silent = last_activity + settings.heartbeat_after <= now;
        if !is_empty && is_silent {
            self.send_heartbeat(now, connection, out);
        }
    }

    /// Fails jobs whose bytes have not begun to be written in time: they must not be sent any more.
    fn fail_unwritten(
        &mut self,
        now: Time,
        connection: MultiplexedConnectionId,
        out: &mut Vec<MultiplexerAction>,
    ) {
        let max_write_delay = self.settings.max_write_delay;
        let Some(carrier) = self.connections.get_mut(&connection) else {
            return;
        };
        let is_late = |stream_use: &StreamUse| match stream_use {
            StreamUse::Job { sent, write, .. } => {
                *write == WriteState::Queued && *sent + max_write_delay <= now
            }
            StreamUse::Orphan | StreamUse::Heartbeat => false,
        };
        let late = carrier.streams.extract_if(.., |_, used| is_late(used));
        for (stream, stream_use) in late {
            if let StreamUse::Job { job, .. } = stream_use {
                self.jobs.remove(&job);
                out.push(MultiplexerAction::Unqueue { connection, stream });
                out.push(not_sent(job));
            }
        }
    }
}

/// The outcome of a job that was not executed.
pub(crate) const fn not_sent(job: JobId) -> MultiplexerAction {
    MultiplexerAction::AttemptFailed(job, AttemptFailure::NotSent)
}
