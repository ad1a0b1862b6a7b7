//! Rejects part of the requests while answers take too long.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::ids::*;
use crate::latency::GAIN;
use crate::router::Router;
use crate::scheduling::Open;
use crate::settings::*;

/// Mean part of the aim that answers take from which on some requests are refused, and where all would be.
pub(crate) const STRAIN: (f64, f64) = (0.4, 0.7);
/// Smoothing of that mean. Parts vary by 0.5 or so: over the last forty answers the mean is out by 0.08, a
/// quarter of the way between the two; over ten, as others are smoothed, by half of it.
pub(crate) const STRAIN_GAIN: f64 = GAIN / 2.0;
impl Router {
    /// Departure: hundreds of routers with hardly anything in flight fill the nodes' queues unseen, so a
    /// router whose answers take too much of their aim refuses part of what comes in, the least worth for its
    /// work first. Acts on any kind of overload; may hurt where answers are slow for few.
    pub(crate) fn shed(&mut self, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id).filter(|o| o.arrived == self.now) else {
            return false;
        };
        let value = self.value(open);
        let primary = matches!(
            self.cfg.classes[open.class.0].consistency,
            Consistency::Write | Consistency::Strong
        );
        let strain = self
            .groups
            .get(&open.group)
            .map_or(0.0, |g| g.strain[usize::from(primary)]);
        self.usual_value += if self.usual_value > 0.0 {
            GAIN * (value - self.usual_value)
        } else {
            value
        };
        // The fewer routers there are for each node, the better the nodes' limits at each see what is filled.
        let unseen = f64::from(self.cfg.routers)
            / (f64::from(self.cfg.routers) + self.endpoints.len() as f64);
        let over = unseen.powi(2) * ((strain - STRAIN.0) / (STRAIN.1 - STRAIN.0)).clamp(0.0, 1.0);
        self.random() < (over * (self.usual_value / value).powi(2)).min(1.0 - GAIN)
    }

    pub(crate) fn value(&self, open: &Open) -> f64 {
        self.cfg.classes[open.class.0].priority_weight.max(1e-9) / self.class_latency[open.class.0]
    }
}
