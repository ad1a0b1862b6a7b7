//! What is known of one group: a primary and its replicas.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::ids::*;
use crate::primary_search::Search;
use crate::time::*;
use crate::view::*;
use std::collections::BTreeSet;

#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeSet<EndpointId>,
    pub(crate) primary: Option<EndpointId>,
    /// The primary is known by list role, answer or report, not just the seed.
    pub(crate) known: bool,
    pub(crate) search: Option<Search>,
    pub(crate) waiting: Vec<RequestId>,
    /// What attempts at replicas and at the primary take of late, as a part of their class's aim.
    pub(crate) strain: [f64; 2],
    /// How and since when that primary is believed in, and how often another one was: for the view only.
    pub(crate) belief: (PrimaryEvidence, Time, u64),
}

impl Group {
    pub(crate) fn believe(&mut self, primary: Option<EndpointId>, how: PrimaryEvidence, now: Time) {
        if self.primary != primary {
            self.belief = (how, now, self.belief.2 + 1);
        } else if how != PrimaryEvidence::Unknown && self.belief.0 != how {
            self.belief.0 = how;
        }
        (self.primary, self.known) = (primary, how != PrimaryEvidence::Unknown);
        self.search.take_if(|_| self.known);
    }
}
