//! What is known of one endpoint.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::events::*;
use crate::ids::*;
use crate::outlier_detection::Reach;
use crate::slow_start::SlowStartBudget;
use crate::time::*;
use std::collections::BTreeMap;

pub(crate) type Attempt = (RequestId, u32);
pub(crate) type Sent = (Time, ClassId, Option<SessionKey>);
#[derive(Debug, Default)]
pub(crate) struct Node {
    pub(crate) group: GroupId,
    pub(crate) zone: ZoneId,
    pub(crate) weight: f64,
    pub(crate) state: EndpointState,
    pub(crate) started: Option<Time>,
    pub(crate) listed_primary: bool,
    /// The newest role told, and the time for which it was told.
    pub(crate) role: Option<(Role, Time)>,
    /// Lower bound of the log position; never goes back.
    pub(crate) position: Option<Time>,
    /// How old the position was as last told (after a miss: twice what that shows), and when.
    pub(crate) lag: Span,
    pub(crate) told_at: Time,
    pub(crate) out: BTreeMap<Attempt, Sent>,
    /// Attempts whose answers have begun and are passed on, and since when.
    pub(crate) streams: BTreeMap<Attempt, (Time, Sent)>,
    pub(crate) quiet_since: Option<Time>,
    pub(crate) limit: f64,
    /// By how much its answers took longer than usual, in usual times, as of a time.
    pub(crate) excess: f64,
    pub(crate) excess_at: Time,
    /// The share of its answers of late that were errors or broke off.
    pub(crate) faults: f64,
    pub(crate) health: Reach,
    pub(crate) slow_start: SlowStartBudget,
    pub(crate) probe_out: bool,
    pub(crate) probed_at: Option<Time>,
    /// When something was last sent there.
    pub(crate) sent_at: Option<Time>,
}

impl Node {
    pub(crate) fn ready(&self) -> bool {
        self.state == EndpointState::Ready && self.health.shut.is_none()
    }
}
