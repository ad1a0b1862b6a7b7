//! Why the program cannot start, in the words that the operator reads on standard error.

use std::error::Error;

/// Any error below one of the program's own.
pub(crate) type Source = Box<dyn Error + Send + Sync>;

/// The program does not start, or has ended before its time. The process exits with 2.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// `BALANCER_CONFIG` is not set.
    #[error("BALANCER_CONFIG names no configuration")]
    NoConfiguration,
    /// An environment variable holds a value that it must not hold.
    #[error("{variable} is {value:?}, not {expected}")]
    Environment {
        /// The variable's name.
        variable: &'static str,
        /// Its value.
        value: String,
        /// What it may hold.
        expected: &'static str,
    },
    /// A configuration is missing a key or holds a wrong one; the text names it.
    #[error("{0}")]
    Configuration(Source),
    /// Something that the configuration names cannot be used: an address, a folder, a thread.
    #[error("{name}: {source}")]
    Resource {
        /// What it is, usually the key that names it.
        name: String,
        /// Why not.
        source: Source,
    },
    /// Two processes of this gateway run already.
    #[error("an upgrade is under way, and two processes are enough for one gateway")]
    HotRestartInProgress,
}

impl StartError {
    /// For `map_err`: the resource of this name cannot be used.
    pub(crate) fn resource<E: Into<Source>>(name: impl Into<String>) -> impl FnOnce(E) -> Self {
        let name = name.into();
        move |error| Self::Resource {
            name,
            source: error.into(),
        }
    }

    /// For `map_err`: the configuration is at fault.
    pub(crate) fn configuration<E: Into<Source>>(error: E) -> Self {
        Self::Configuration(error.into())
    }
}
