//! Hot restart: two processes that are one gateway for a while. What each may use, what is handed
//! over, and in which order. No I/O, no clock, no threads.
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
