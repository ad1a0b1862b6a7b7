//! Limits of the multiplexer, and their validation.

use std::error::Error;
use std::fmt;

use valehatch_policy::Span;

/// Maximum number of stream ids of a connection: negative ids denote events.
const MAX_STREAM_IDS: u16 = 32_767;

/// Limits of the multiplexer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of stream ids of a connection, starting at 0: 1 to 32,767.
    pub stream_ids: u16,
    /// Maximum number of concurrent jobs on a connection, including orphans: 1 to `stream_ids`.
    pub max_jobs: usize,
    /// Number of jobs on each connection from which another connection is opened; above 0.
    pub open_another_at: usize,
    /// Maximum number of connections; above 0.
    pub max_connections: usize,
    /// Maximum number of orphans of a connection; one more closes it.
    pub max_orphans: usize,
    /// Maximum number of jobs that wait for a connection; further ones fail at once.
    pub max_waiting: usize,
    /// How long a job may wait until writing its bytes begins; above 0.
    pub max_write_delay: Span,
    /// A connection that carries jobs and has received nothing for this long gets a heartbeat;
    /// above 0.
    pub heartbeat_after: Span,
    /// A connection that receives nothing for this long after a heartbeat is closed; above 0.
    pub heartbeat_timeout: Span,
    /// If an endpoint has just answered the last other job of a connection, its cancelled jobs may
    /// still be answered for this long before it is closed; above 0.
    pub cancelled_grace: Span,
    /// A connection that carries nothing for this long is closed; above 0.
    pub idle_timeout: Span,
}

/// A setting that is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// [`Settings::stream_ids`] is out of range.
    StreamIds,
    /// [`Settings::max_jobs`] is out of range.
    MaxJobs,
    /// [`Settings::max_connections`] or [`Settings::open_another_at`] is 0.
    Connections,
    /// A time is not above 0.
    Times,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::StreamIds => "streams: stream_ids must be from 1 to 32,767",
            Self::MaxJobs => "streams: max_jobs must be from 1 to stream_ids",
            Self::Connections => "streams: max_connections and open_another_at must be above 0",
            Self::Times => "streams: times must be above 0",
        })
    }
}

impl Error for SettingsError {}

impl Settings {
    /// Default limits, which suit the habits of common drivers.
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
            cancelled_grace: Span::from_millis(50),
            idle_timeout,
        }
    }

    /// Checks that all limits are within their ranges.
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
            self.cancelled_grace,
            self.idle_timeout,
        ];
        if times.iter().any(|time| time.0 <= 0) {
            return Err(SettingsError::Times);
        }
        Ok(())
    }
}
