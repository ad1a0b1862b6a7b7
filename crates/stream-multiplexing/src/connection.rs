//! Stream ids and heartbeat of a connection.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use valehatch_policy::Time;

use crate::actions::JobId;

/// Whether writing a job's bytes has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteState {
    Queued,
    Started,
}

/// Use of a stream id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamUse {
    Job {
        job: JobId,
        sent: Time,
        write: WriteState,
        /// Set if the submitter waits for the job to end, with or without an answer.
        cancelled: bool,
    },
    /// An abandoned job whose answer has not arrived.
    Orphan,
    Heartbeat,
}

impl StreamUse {
    /// Whether this is a job that is not cancelled.
    pub(crate) const fn is_wanted_job(&self) -> bool {
        matches!(
            self,
            Self::Job {
                cancelled: false,
                ..
            }
        )
    }
}

/// State of a connection.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Set once the connection is open and the handshake is complete.
    pub(crate) ready: bool,
    pub(crate) streams: BTreeMap<i16, StreamUse>,
    /// Number of streams that are orphans.
    pub(crate) orphans: usize,
    /// Number of jobs that are cancelled.
    pub(crate) cancelled: usize,
    /// When the connection is closed if all jobs on it are cancelled then; set while the endpoint
    /// may be about to answer them.
    pub(crate) close_at: Option<Time>,
    next_stream: u16,
    /// When data was last received.
    pub(crate) last_received: Time,
    /// When a stream id was last assigned or answered.
    pub(crate) last_used: Time,
    /// When the heartbeat in flight was sent.
    pub(crate) heartbeat_sent: Option<Time>,
    /// Set if the connection may be dead: it gets no new jobs until data is received.
    pub(crate) suspect: bool,
}

impl Connection {
    /// Creates the state of a connection that is being opened.
    pub(crate) const fn opening(now: Time) -> Self {
        Self {
            ready: false,
            streams: BTreeMap::new(),
            orphans: 0,
            cancelled: 0,
            close_at: None,
            next_stream: 0,
            last_received: now,
            last_used: now,
            heartbeat_sent: None,
            suspect: false,
        }
    }

    /// Whether the connection may get new jobs.
    pub(crate) const fn accepts_jobs(&self) -> bool {
        self.ready && !self.suspect
    }

    /// Assigns the next free stream id.
    pub(crate) fn take_stream(
        &mut self,
        now: Time,
        stream_ids: u16,
        stream_use: StreamUse,
    ) -> Option<i16> {
        for _ in 0..=stream_ids {
            // Ids stay below 32,768, because negative ids denote events.
            let stream = i16::try_from(self.next_stream).unwrap_or(0);
            self.next_stream = (self.next_stream + 1) % stream_ids;
            if let Entry::Vacant(free) = self.streams.entry(stream) {
                free.insert(stream_use);
                self.last_used = now;
                return Some(stream);
            }
        }
        None
    }

    /// Marks a job as cancelled. Returns when it was sent, or `None` if there is no such job or it is
    /// cancelled already.
    pub(crate) fn cancel_job(&mut self, stream: i16) -> Option<Time> {
        let Some(StreamUse::Job {
            sent, cancelled, ..
        }) = self.streams.get_mut(&stream)
        else {
            return None;
        };
        let is_first = !std::mem::replace(cancelled, true);
        self.cancelled += usize::from(is_first);
        is_first.then_some(*sent)
    }

    /// Turns a job's stream id into an orphan. Returns when the job was sent.
    pub(crate) fn orphan_job(&mut self, stream: i16) -> Option<Time> {
        let Some(StreamUse::Job {
            sent, cancelled, ..
        }) = self.streams.get(&stream).copied()
        else {
            return None;
        };
        self.streams.insert(stream, StreamUse::Orphan);
        self.orphans += 1;
        self.cancelled -= usize::from(cancelled);
        Some(sent)
    }

    /// Removes a job unless its bytes have begun to be written. Returns whether it was removed.
    pub(crate) fn remove_queued_job(&mut self, stream: i16) -> bool {
        let is_queued = matches!(
            self.streams.get(&stream),
            Some(StreamUse::Job {
                write: WriteState::Queued,
                ..
            })
        );
        if is_queued {
            self.streams.remove(&stream);
        }
        is_queued
    }
}
