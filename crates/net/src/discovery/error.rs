//! Errors of a discovery poll.

use std::error::Error;
use std::fmt;
use std::io;

use super::http::HttpError;

/// Reason why a poll returned no endpoint list.
#[derive(Debug)]
pub(super) enum PollError {
    /// Discovery has moved to another address.
    Moved,
    /// The latest call was not answered in time. The answer may still arrive.
    NoResponse,
    /// The connection failed.
    Io(io::Error),
    /// The received bytes are not a usable HTTP response.
    Http(HttpError),
    /// The response's body is not an endpoint list.
    InvalidList(serde_json::Error),
    /// Discovery answered a call for changes with an older version than the call named.
    VersionWentBack { version: u64, since: u64 },
    /// The changes lead to an older version than the gateway's other process has forwarded.
    OlderThanForwarded,
}

impl PollError {
    /// Whether discovery did not respond, as opposed to responding wrongly or refusing the
    /// connection.
    pub(super) fn is_timeout(&self) -> bool {
        match self {
            Self::NoResponse => true,
            Self::Io(e) => e.kind() == io::ErrorKind::TimedOut,
            _ => false,
        }
    }
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Moved => f.write_str("discovery has moved"),
            Self::NoResponse => f.write_str("no response"),
            Self::Io(e) => e.fmt(f),
            Self::Http(e) => e.fmt(f),
            Self::InvalidList(e) => write!(f, "not an endpoint list: {e}"),
            Self::VersionWentBack { version, since } => {
                write!(
                    f,
                    "version {version} in response to a call since version {since}"
                )
            }
            Self::OlderThanForwarded => {
                f.write_str("older than the list that the other process forwarded")
            }
        }
    }
}

impl Error for PollError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Io(e) => Some(e),
            Self::Http(e) => Some(e),
            Self::InvalidList(e) => Some(e),
            _ => None,
        }
    }
}

impl From<io::Error> for PollError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
