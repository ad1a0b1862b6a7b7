//! How many attempts an endpoint may have in flight.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::endpoint::Node;
use crate::ids::*;
use crate::router::Router;

/// Attempts a node may have from one router before anything was measured; soon replaced by what it answers.
pub(crate) const START_LIMIT: f64 = 8.0;
/// What a slow answer takes off a node's limit; a quick one adds one through the limit.
pub(crate) const LIMIT_CUT: f64 = 0.7;
impl Router {
    /// Departure: what a node has from this router at once is limited by how fast it answers.
    pub(crate) fn room(&self, id: EndpointId, spare: f64) -> bool {
        self.endpoints
            .get(&id)
            .is_some_and(|n| n.out.len() as f64 + spare < n.limit.max(1.0))
    }

    pub(crate) fn grants(&mut self, id: EndpointId, class: ClassId, spare: f64) -> bool {
        let takes = self.endpoints.get(&id).is_some_and(Node::ready) && self.room(id, spare);
        takes && self.try_acquire_slow_start_budget(id, class)
    }
}
