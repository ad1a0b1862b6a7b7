//! The reducer: requests, attempts and outcomes, and no wire. `State::reduce` alone changes state; what is to
//! be read, written, opened or closed leaves it as effects.

#![forbid(unsafe_code)]
#![expect(
    missing_docs,
    clippy::too_many_lines,
    reason = "not yet split and documented"
)]

mod admission;
mod attempts;
mod client_connections;
pub mod cluster_clock;
mod endpoints;
mod invariants;
mod live_view;
mod messages;
mod outcomes;
mod reducer;
mod requests;
mod shutdown;
mod timers;
mod upstream_connections;

pub mod permission;

pub use messages::*;
pub use reducer::State;

/// What the modules share.
mod prelude {
    pub(crate) use std::collections::{BTreeMap, BTreeSet};
    pub(crate) use std::sync::Arc;

    pub(crate) use valehatch_admission::{
        AdmissionDecision, AdmissionQueue, Arrival, Capacity, QueueRejection,
    };
    pub(crate) use valehatch_policy::{
        Action, AttemptEnd, EndpointId, EndpointRecord, EndpointState, GiveUpReason, GroupId,
        Outcome, PolicyEvent, Request, RequestId, Router, SettingsError, Span, Time,
    };
    pub(crate) use valehatch_request_log::{
        AttemptOutcome, AttemptRecord, FailureReason, FinalOutcome, RejectionReason, RequestRecord,
    };

    pub(crate) use crate::client_connections::*;
    pub(crate) use crate::live_view::*;
    pub(crate) use crate::messages::*;
    pub(crate) use crate::permission::{
        AcceptCheck, Denial, ProcessStage, SendCheck, SendPermit, may_accept, may_check_health,
        may_close, may_send,
    };
    pub(crate) use crate::reducer::*;
    pub(crate) use crate::requests::*;
    pub(crate) use crate::shutdown::*;
    pub(crate) use crate::timers::*;
    pub(crate) use crate::upstream_connections::*;
}
