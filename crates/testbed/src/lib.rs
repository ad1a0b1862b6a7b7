//! Test bed: experiments under a virtual clock with the real reducer and membership, load on
//! sockets, and fault tests with real gateway processes.

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
pub mod load;
mod members;
pub mod membership;
pub mod relay;
pub mod report;
pub mod soak;
pub mod view;
pub mod view_checker;
pub mod world;
