//! Two processes that are one gateway for a while: what each may take up, what is handed on, and in which order. No I/O, no
//! clock.
//!
//! | module | holds |
//! | --- | --- |
//! | [`share`] | descriptors and memory of each process at each stage |
//! | [`steps`] | who is what to whom, from a process's start to its end |
//! | [`words`] | what the two say to each other, as bytes |

#![forbid(unsafe_code)]
#![expect(missing_docs, reason = "not yet split and documented")]

pub mod share;
pub mod steps;
pub mod words;

pub use share::ProcessLimits;
pub use steps::{HandoffAction, HandoffEvent, HandoffStage, HandoffStateMachine};
