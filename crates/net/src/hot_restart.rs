//! Hot restart: two processes that are one gateway.

mod socket;

pub use socket::{HandoffHandle, HandoffHandler, HandoffOutcome, InheritedState, Upgrade, ask};
