//! Notifications of the SNMP agent: which one, when, and queued for whom. No I/O, no clock.
//!
//! Input: what each front publishes, the durable counters, and the time. Output: notifications,
//! each at the change that it reports and not again. Thresholds have a rising and a falling edge,
//! so that a value that wavers around one edge is not reported again and again; what exceeds the
//! limit of a window is reported as one [`Notification::Storm`].
//!
//! | module | job |
//! | --- | --- |
//! | [`notification`] | the notifications and what they carry |
//! | [`thresholds`] | when conditions begin and end |
//! | [`monitor`] | compares each look with the one before |
//! | `groups` | conditions of an endpoint group: primary, search |
//! | `storm` | limits notifications within a window |
//! | [`delivery_queue`] | what a receiver has not taken yet |
//!
//! Bounds: the monitor holds one entry for each group, endpoint, class and tenant that it last saw;
//! a delivery queue has its size in its constructor.

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
