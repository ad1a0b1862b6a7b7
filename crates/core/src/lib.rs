//! The core of a gateway: a reducer without I/O that decides what is sent, retried, answered,
//! opened and closed.
//!
//! [`State::reduce`] takes events and a time and returns effects; the same events give the same
//! effects. It reads no clock, draws its randomness from a seed, and iterates in a defined order
//! only.
//!
//! | module | job |
//! | --- | --- |
//! | `reducer` | the state, and the table of events to handlers |
//! | `messages` | events in, effects out, configuration |
//! | `requests` | requests in flight, from arrival to final answer |
//! | `admission` | the admission queue between arrival and policy |
//! | `attempts` | attempts: sent, streamed, ended, cancelled |
//! | `upstream_connections` | connections to endpoints |
//! | `client_connections` | connections from clients |
//! | `endpoints` | the endpoint list |
//! | [`permission`] | whether something may be accepted, sent, repeated or closed now |
//! | [`shutdown`] | shutdown: state, schedule, steps |
//! | `timers` | what is due when |
//! | `outcomes` | where the end of a request is counted |
//! | `live_view` | the published view |
//! | `invariants` | what must hold after every step |
//! | [`cluster_clock`] | the cluster's Unix clock on this process's monotonic clock |

#![forbid(unsafe_code)]

mod admission;
mod attempts;
mod client_connections;
pub mod cluster_clock;
mod endpoints;
mod invariants;
mod live_view;
mod messages;
mod outcomes;
pub mod permission;
mod reducer;
mod requests;
pub mod shutdown;
mod timers;
mod upstream_connections;

pub use invariants::InvariantViolation;
pub use messages::{
    AfterAnswer, ClientId, ConnectionId, CoreConfig, Effect, Event, Failure, FinalAnswer,
    IncomingRequest, ListedEndpoint, LiveEndpoint, LiveView, LogEvent, MemoryReservation,
    Observability, OpenCounts, Payload, RequestStep, UpstreamJob, UpstreamReply,
};
pub use reducer::State;
