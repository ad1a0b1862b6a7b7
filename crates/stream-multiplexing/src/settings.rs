//! Bounds of the multiplexer, and their check.

use std::error::Error;
use std::fmt;

use valehatch_policy::Span;

/// Most stream ids of a connection: the sign marks events.
const MAX_STREAM_IDS: u16 = 32_767;

/// Bounds of the multiplexer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Stream ids of a connection, from 0 on: 1 to 32,767.
    pub stream_ids: u16,
    /// Jobs that a connection may carry at once, orphans included: 1 to `stream_ids`.
    pub max_jobs: usize,
    /// Jobs on each connection from which another is opened, above 0.
    pub open_another_at: usize,
    /// Connections at once, above 0.
    pub max_connections: usize,
    /// Orphans of a connection; one more closes it.
    pub max_orphans: usize,
    /// Jobs that may wait for a connection; further ones fail at once.
    pub max_waiting: usize,
    /// How long a job may wait until its bytes begin to leave, above 0.
    pub max_write_delay: Span,
    /// A connection that carries jobs and has received nothing for so long gets a heartbeat; above
    /// 0.
    pub heartbeat_after: Span,
    /// A connection that receives nothing for so long after a heartbeat is given up; above 0.
    pub heartbeat_timeout: Span,
    /// A connection that carries nothing for so long is closed; above 0.
    pub idle_timeout: Span,
}

/// A setting that is out of its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// [`Settings::stream_ids`].
    StreamIds,
    /// [`Settings::max_jobs`].
    MaxJobs,
    /// [`Settings::max_connections`] or [`Settings::open_another_at`].
    Connections,
    /// One of the times.
    Times,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StreamIds => "streams: ids must be from 1 to 32,767",
            Self::MaxJobs => "streams: most must be from 1 to ids",
            Self::Connections => "streams: links and crowded must be above 0",
            Self::Times => "streams: times must be above 0",
        })
    }
}

impl Error for SettingsError {}

impl Settings {
    /// Bounds that fit common drivers' habits.
    #[must_use]
    pub const fn new(max_write_delay: Span, idle_timeout: Span) -> Self {
        Self {
            stream_ids: MAX_STREAM_IDS,
            max_jobs: 1_024,
            open_another_at: 256,
            max_connections: 4,
            max_orphans: 128,
            max_waiting: 4_096,
            max_write_delay,
            heartbeat_after: Span::from_millis(1_000),
            heartbeat_timeout: Span::from_millis(500),
            idle_timeout,
        }
    }

    /// Checks the bounds.
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        if self.stream_ids == 0 || self.stream_ids > MAX_STREAM_IDS {
            return Err(SettingsError::StreamIds);
        }
        if self.max_jobs == 0 || self.max_jobs > usize::from(self.stream_ids) {
            return Err(SettingsError::MaxJobs);
        }
        if self.max_connections == 0 || self.open_another_at == 0 {
            return Err(SettingsError::Connections);
        }
        let times = [
            self.max_write_delay,
            self.heartbeat_after,
            self.heartbeat_timeout,
            self.idle_timeout,
        ];
        if times.iter().any(|time| time.0 <= 0) {
            return Err(SettingsError::Times);
        }
        Ok(())
    }
}
