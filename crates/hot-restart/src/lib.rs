//! Hot restart: an old and a new process act as one gateway until the old one ends. This crate
//! defines the resource limits of each process, the messages between them and the order of the
//! handoff. It does no I/O, reads no clock and starts no threads.
//!
//! Inputs are [`HandoffEvent`]s, outputs are [`HandoffAction`]s; the caller owns the sockets and
//! the timers. Usage and limits are counted in file descriptors and bytes of memory
//! ([`ProcessLimits`]). The state has a fixed size.
//!
//! | module | contents |
//! | --- | --- |
//! | [`limits`] | descriptors and memory that each process may use at each step |
//! | [`messages`] | messages between the two processes and their byte form |
//! | [`state_machine`] | the steps of one process, from its start to its end |

#![forbid(unsafe_code)]

pub mod limits;
pub mod messages;
pub mod state_machine;

pub use limits::ProcessLimits;
pub use state_machine::{
    HandoffAction, HandoffEvent, HandoffStage, HandoffStateMachine, ProcessStart,
};
