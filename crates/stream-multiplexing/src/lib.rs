//! Many requests on few connections to one endpoint: a state machine without I/O, for protocols
//! whose frames carry a stream id (the Cassandra native protocol, version 4, section 2.2.1).
//!
//! It decides which connection carries a job, when another connection is opened, under which stream
//! id a job goes, when an id may be used again, when a connection gets a heartbeat or is given up,
//! and what the end of a connection means for each job on it. Input: what happened, and the time.
//! Output: [`MultiplexerAction`]s for whoever does the I/O.
//!
//! - **Stream ids** are used in turn over the whole range of a connection, so that an id is used
//!   again as late as possible. If a job is cancelled after its bytes began to leave, its id is an
//!   orphan: it is not used until the answer has come.
//! - **Too many orphans** close the connection: its endpoint answers, but not what it was sent.
//! - **A connection is suspect** when a job on it was cancelled and nothing has been received since
//!   that job was sent. It gets a heartbeat at once, and no new jobs until something is received;
//!   without that, it is given up.
//! - **A lost connection** means for each job on it: if its bytes had not begun to leave, it never
//!   ran ([`AttemptFailure::NotSent`]); otherwise it may have ([`AttemptFailure::ConnectionLost`]).
//!   Nothing is retried here: the decision module decides on retries.
//! - **Waiting** for a connection is bounded in number and time ([`Settings::max_waiting`],
//!   [`Settings::max_write_delay`]), so that a draining endpoint gets nothing after its grace
//!   period.
//!
//! | module | job |
//! | --- | --- |
//! | [`settings`] | bounds, and their check |
//! | [`actions`] | ids, actions and outcomes |
//! | `connection` | stream ids and heartbeat of one connection |
//! | [`invariants`] | what must hold after every step |
//! | [`multiplexer`] | the state machine over all connections |

#![forbid(unsafe_code)]

pub mod actions;
mod connection;
pub mod invariants;
pub mod multiplexer;
pub mod settings;

pub use actions::{AttemptFailure, FrameOwner, JobId, MultiplexedConnectionId, MultiplexerAction};
pub use invariants::InvariantViolation;
pub use multiplexer::{MultiplexerSize, StreamMultiplexer};
pub use settings::{Settings, SettingsError};
