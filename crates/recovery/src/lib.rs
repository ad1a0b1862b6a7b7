//! What is known again after a start, how far it is trusted, and when service is whole again. No I/O, no clock.
//!
//! | module | holds |
//! | --- | --- |
//! | [`book`] | the list of servers as it is held, whole, with its version |
//! | [`snapshot`] | what is kept for the next start, and its form on a disk |
//! | [`trust`] | each kind of belief by its source and age: held, a guess, or nothing |
//! | [`restore`](restore()) | what a start takes over from a snapshot |
//! | [`peers`] | the list asked of other gateways where none is held |
//! | [`service`] | recovering or full, why, and how long it took |

#![forbid(unsafe_code)]
#![expect(missing_docs, reason = "not yet split and documented")]

pub mod book;
pub mod peers;
mod restore;
pub mod service;
pub mod snapshot;
pub mod trust;

pub use restore::{Restored, cold_since, restore};
