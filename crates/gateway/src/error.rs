//! Errors that prevent the program from starting, with the text printed on standard error.

use std::error::Error;

/// Underlying cause of a [`StartError`].
pub(crate) type Source = Box<dyn Error + Send + Sync>;

/// The program cannot start, or a front could not be run. The process exits with status 2.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// `BALANCER_CONFIG` is not set.
    #[error("BALANCER_CONFIG names no configuration")]
    NoConfiguration,
    /// An environment variable has an invalid value.
    #[error("{variable} is {value:?}, not {expected}")]
    Environment {
        variable: &'static str,
        value: String,
        /// Description of the valid values.
        expected: &'static str,
    },
    /// A configuration lacks a key or has an invalid one; the text names the key.
    #[error("{0}")]
    Configuration(Source),
    /// A resource cannot be used: an address, a folder, a thread.
    #[error("{name}: {source}")]
    Resource {
        /// Name of the resource, usually its configuration key.
        name: String,
        source: Source,
    },
    /// Two processes of this gateway are already running.
    #[error("an upgrade is under way, and two processes are enough for one gateway")]
    HotRestartInProgress,
}

impl StartError {
    /// For `map_err`: wraps an error of the resource with this name.
    pub(crate) fn resource<E: Into<Source>>(name: impl Into<String>) -> impl FnOnce(E) -> Self {
        let name = name.into();
        move |error| Self::Resource {
            name,
            source: error.into(),
        }
    }

    /// For `map_err`: wraps a configuration error.
    pub(crate) fn configuration<E: Into<Source>>(error: E) -> Self {
        Self::Configuration(error.into())
    }
}
