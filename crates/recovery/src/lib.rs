//! Recovery after a start: which knowledge is restored, how far it is trusted, and when service is
//! complete again. No I/O, no clock, no threads.
//!
//! Times are passed in as [`valehatch_policy::Time`] (monotonic, whole microseconds) or as Unix
//! milliseconds of the wall clock. Every collection is bounded by what discovery lists, by the
//! fronts in the settings, or by a constant in its module.
//!
//! | module | contents |
//! | --- | --- |
//! | [`endpoint_list`] | the cached endpoint list with its version |
//! | [`snapshot`] | the state stored for the next start, and its encoding |
//! | [`trust`] | how far knowledge is trusted, by its kind, source and age |
//! | [`restore`](restore()) | the state restored from a snapshot |
//! | [`list_exchange`] | endpoint lists requested from other gateways where none is cached |
//! | [`service`] | whether service is recovering or complete, why, and how long recovery took |

#![forbid(unsafe_code)]

pub mod endpoint_list;
pub mod list_exchange;
mod restore;
pub mod service;
pub mod snapshot;
pub mod trust;

pub use restore::{
    DiscardReason, PrimaryHint, RestoredList, RestoredState, restore, slow_start_began_ms,
};
