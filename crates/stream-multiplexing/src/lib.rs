//! Multiplexing of many requests on few connections to one endpoint: a state machine without I/O,
//! for protocols whose frames carry a stream id (the Cassandra native protocol, version 4, section
//! 2.2.1).
//!
//! The state machine decides which connection carries a job, when another connection is opened,
//! which stream id a job gets, when an id may be reused, when a connection gets a heartbeat or is
//! closed as dead, and how the end of a connection affects each job on it. Input: events and the
//! time. Output: [`MultiplexerAction`]s, which the caller carries out.
//!
//! - **Stream ids** are assigned round-robin over the whole range of a connection, so that an id is
//!   reused as late as possible. If a job is abandoned after its bytes have begun to be written,
//!   its id becomes an orphan, which is not reused until the answer has arrived.
//! - **A cancelled job** ends, and is reported to have ended, once it is no longer out: its answer
//!   has arrived, or its connection is closed. The connection is closed once no other job is on it.
//! - **Too many orphans** close the connection: its endpoint responds, but does not answer these
//!   jobs.
//! - **A connection is suspect** if a job on it was cancelled or abandoned and nothing has been received since
//!   that job was sent. It gets a heartbeat at once, and no new jobs until something is received;
//!   if nothing is, the connection is closed.
//! - **A lost connection** fails each job on it: if none of the job's bytes had been written, the
//!   job was not executed ([`AttemptFailure::NotSent`]); otherwise it may have been
//!   ([`AttemptFailure::ConnectionLost`]). Nothing is retried here: the decision module decides on
//!   retries.
//! - **Waiting** for a connection is bounded in number and time ([`Settings::max_waiting`],
//!   [`Settings::max_write_delay`]), so that a draining endpoint receives nothing after its grace
//!   period.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`settings`] | limits and their validation |
//! | [`actions`] | ids, actions and outcomes |
//! | `cancellation` | ends of jobs before their answers |
//! | `connection` | stream ids and heartbeat of one connection |
//! | [`invariants`] | invariants that hold after every step |
//! | [`multiplexer`] | the state machine over all connections |

#![forbid(unsafe_code)]

pub mod actions;
mod cancellation;
mod connection;
pub mod invariants;
pub mod multiplexer;
pub mod settings;

pub use actions::{AttemptFailure, FrameOwner, JobId, MultiplexedConnectionId, MultiplexerAction};
pub use invariants::InvariantViolation;
pub use multiplexer::{MultiplexerSize, StreamMultiplexer};
pub use settings::{Settings, SettingsError};
