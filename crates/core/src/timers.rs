//! Timers of the reducer.

use crate::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    Router(u64),
    Attempt(ConnectionId),
    Overdue(RequestId),
    Sweep,
    Publish,
    Admission,
    Unlisten,
    Stop,
    LastAsked,
    End,
    Exit,
}
