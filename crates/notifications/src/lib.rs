//! Decides when the SNMP agent notifies its receivers of what, and queues the notifications for
//! each receiver. This crate does no I/O and reads no clock.
//!
//! Input: what each front publishes, the durable counters, and the time. Output: notifications,
//! each at the change that it reports and not again. Thresholds have a rising and a falling edge,
//! so that a value that wavers around one edge is not reported again and again; what exceeds the
//! limit of a window is reported as one [`Notification::Storm`].
//!
//! | module | contents |
//! | --- | --- |
//! | [`notification`] | the notifications and what they carry |
//! | [`thresholds`] | conditions with a rising and a falling edge |
//! | [`monitor`] | the comparison of each look at the gateway with the one before |
//! | `groups` | conditions of an endpoint group: primary, search |
//! | `storm` | the limit of notifications within a window |
//! | [`delivery_queue`] | the queue of each receiver, with retransmission of informs |
//!
//! Memory: the monitor holds one entry for each group, endpoint, class and tenant of the last look;
//! a delivery queue is limited to the size given to its constructor.

#![forbid(unsafe_code)]

pub mod delivery_queue;
mod groups;
pub mod monitor;
pub mod notification;
mod storm;
pub mod thresholds;

pub use delivery_queue::{Delivery, DeliveryCounts, DeliveryQueue, Retransmission};
pub use monitor::{FrontStatus, NotificationMonitor};
pub use notification::{
    ClassRate, EndpointNotification, GroupNotification, Notification, NotificationKind, QuotaUse,
    TenantWait,
};
pub use thresholds::{Hysteresis, Thresholds};
