//! The core of a gateway: a reducer without I/O that decides what is sent, retried, answered,
//! opened and closed.
//!
//! [`State::reduce`] takes the current time and a batch of events and appends the resulting
//! effects. The reducer is deterministic: it reads no clock, draws random numbers from a seeded
//! generator and iterates over ordered collections only, so the same events give the same effects.
//!
//! | module | purpose |
//! | --- | --- |
//! | `reducer` | the state, and the dispatch of events to handlers |
//! | `messages` | events, effects, configuration and the published view |
//! | `requests` | requests in flight, from arrival to final answer |
//! | `request_names` | names of requests that are not accepted again |
//! | `admission` | the admission queue between the arrival of a request and the policy |
//! | `attempts` | sending, streaming and cancelling attempts, and handling their end |
//! | `upstream_connections` | connections to endpoints |
//! | `client_connections` | connections from clients |
//! | `endpoints` | the endpoint list |
//! | [`permission`] | final checks before accepting, sending, retrying or closing |
//! | [`shutdown`] | state, schedule and steps of a shutdown |
//! | `timers` | scheduled timers and their handlers |
//! | `outcomes` | metrics and log records of requests that have ended |
//! | `live_view` | the published view of the state |
//! | `invariants` | consistency checks of the state |
//! | [`cluster_clock`] | offset of the cluster's Unix clock from this process's monotonic clock |

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
mod request_names;
mod requests;
mod response_memory;
pub mod shutdown;
mod timers;
mod upstream_connections;

pub use invariants::InvariantViolation;
pub use messages::{
    AfterAnswer, ClientId, ConnectionId, CoreConfig, Effect, Event, Failure, FinalAnswer,
    IncomingRequest, ListedEndpoint, LiveEndpoint, LiveView, LogEvent, Observability, OpenCounts,
    Payload, RequestStep, UpstreamJob, UpstreamReply, UpstreamTransport,
};
pub use reducer::State;
pub use response_memory::{ResponseLimits, ResponseMemory};
