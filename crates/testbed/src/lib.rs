//! Experiments in virtual time with the real hearts, load on sockets, and stages of several real processes.

#![forbid(unsafe_code)]
#![expect(
    missing_docs,
    clippy::too_many_lines,
    reason = "not yet split and documented"
)]
#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

pub mod cluster_test;
pub mod experiment;
pub mod fleet;
pub mod judge;
pub mod load;
mod members;
pub mod membership;
pub mod relay;
pub mod report;
pub mod soak;
pub mod view;
pub mod world;
