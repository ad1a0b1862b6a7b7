//! The notifications and their contents.

use std::fmt;
use std::sync::Arc;

use valehatch_policy::{EndpointHealth, EndpointId, GroupId, PrimaryEvidence};

/// A notification to the receivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// The gateway serves.
    Started,
    /// A planned stop was requested.
    Stopping,
    /// A group has another primary, or none.
    PrimaryChanged(GroupNotification),
    /// A primary search began.
    SearchStarted(GroupNotification),
    /// A primary search lasts longer than its threshold.
    SearchLasting(GroupNotification),
    /// A primary search ended.
    SearchEnded(GroupNotification),
    /// A group is without a primary for longer than its threshold.
    NoPrimary(GroupNotification),
    /// A group has a primary again.
    PrimaryRestored(GroupNotification),
    /// An endpoint cannot be used.
    EndpointUnavailable(EndpointNotification),
    /// An endpoint can be used again, or has left the list.
    EndpointAvailable(EndpointNotification),
    /// Rejections of a class reached the rising threshold.
    RejectionsRising(ClassRate),
    /// Rejections of a class fell below the falling threshold.
    RejectionsFallen(ClassRate),
    /// A tenant's use of its quota reached the rising threshold.
    QuotaExceeded(QuotaUse),
    /// A tenant's use of its quota fell below the falling threshold.
    QuotaRecovered(QuotaUse),
    /// The request log cannot be written, with the fault: counters are not durable.
    StateFault(Arc<str>),
    /// Counters are durable again.
    StateRecovered,
    /// Notifications that exceeded the limit of the last window, by kind.
    Storm(Vec<(NotificationKind, u64)>),
    /// The longest wait in a tenant's admission queue reached the rising threshold.
    QueueLong(TenantWait),
    /// The longest wait in a tenant's admission queue fell below the falling threshold.
    QueueShort(TenantWait),
}

/// Content of a notification about a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupNotification {
    /// The name of the front.
    pub front: Arc<str>,
    /// The number of the group.
    pub group: GroupId,
    /// The primary's name, empty if there is none.
    pub primary: Arc<str>,
    /// The name of the primary before, empty if there was none.
    pub previous_primary: Arc<str>,
    /// How the primary is known.
    pub evidence: PrimaryEvidence,
    /// How often the primary has changed.
    pub changes: u64,
    /// Writes that wait for a primary.
    pub queued_writes: u64,
    /// How long the condition has lasted, in milliseconds.
    pub lasted_ms: u64,
}

/// Content of a notification about an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointNotification {
    /// The name of the front.
    pub front: Arc<str>,
    /// The ID of the endpoint.
    pub endpoint: EndpointId,
    /// The name of the endpoint.
    pub name: Arc<str>,
    /// The group of the endpoint.
    pub group: GroupId,
    /// Whether the endpoint can be used.
    pub health: EndpointHealth,
}

/// Rejections of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRate {
    /// The name of the front.
    pub front: Arc<str>,
    /// The name of the request class.
    pub class: Arc<str>,
    /// Rejections in 1,000 seconds.
    pub per_1000_s: u64,
}

/// A tenant's use of its quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaUse {
    /// The name of the front.
    pub front: Arc<str>,
    /// The name of the tenant.
    pub tenant: Arc<str>,
    /// The request rate in thousandths of the quota.
    pub per_mille: u64,
}

/// The longest wait in a tenant's admission queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantWait {
    /// The name of the front.
    pub front: Arc<str>,
    /// The name of the tenant.
    pub tenant: Arc<str>,
    /// How long the oldest request has waited, in milliseconds.
    pub wait_ms: u64,
}

/// The kind of a notification. The number is its subidentifier in the MIB and the text is sent to
/// receivers, so that neither may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NotificationKind {
    /// [`Notification::Started`].
    Started = 1,
    /// [`Notification::Stopping`].
    Stopping,
    /// [`Notification::PrimaryChanged`].
    PrimaryChanged,
    /// [`Notification::SearchStarted`].
    SearchStarted,
    /// [`Notification::SearchLasting`].
    SearchLasting,
    /// [`Notification::SearchEnded`].
    SearchEnded,
    /// [`Notification::NoPrimary`].
    NoPrimary,
    /// [`Notification::PrimaryRestored`].
    PrimaryRestored,
    /// [`Notification::EndpointUnavailable`].
    EndpointUnavailable,
    /// [`Notification::EndpointAvailable`].
    EndpointAvailable,
    /// [`Notification::RejectionsRising`].
    RejectionsRising,
    /// [`Notification::RejectionsFallen`].
    RejectionsFallen,
    /// [`Notification::QuotaExceeded`].
    QuotaExceeded,
    /// [`Notification::QuotaRecovered`].
    QuotaRecovered,
    /// [`Notification::StateFault`].
    StateFault,
    /// [`Notification::StateRecovered`].
    StateRecovered,
    /// [`Notification::Storm`].
    Storm,
    /// [`Notification::QueueLong`].
    QueueLong,
    /// [`Notification::QueueShort`].
    QueueShort,
}

impl fmt::Display for NotificationKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Started => "Started",
            Self::Stopping => "Stopping",
            Self::PrimaryChanged => "PrimaryChanged",
            Self::SearchStarted => "SearchBegun",
            Self::SearchLasting => "SearchLasting",
            Self::SearchEnded => "SearchEnded",
            Self::NoPrimary => "NoPrimary",
            Self::PrimaryRestored => "PrimaryBack",
            Self::EndpointUnavailable => "MemberOutOfReach",
            Self::EndpointAvailable => "MemberBack",
            Self::RejectionsRising => "RefusalsRising",
            Self::RejectionsFallen => "RefusalsFallen",
            Self::QuotaExceeded => "BudgetOverrun",
            Self::QuotaRecovered => "BudgetBack",
            Self::StateFault => "StateTrouble",
            Self::StateRecovered => "StateWell",
            Self::Storm => "Storm",
            Self::QueueLong => "QueueLong",
            Self::QueueShort => "QueueShort",
        })
    }
}

impl Notification {
    /// Returns the kind of the notification.
    #[must_use]
    pub const fn kind(&self) -> NotificationKind {
        match self {
            Self::Started => NotificationKind::Started,
            Self::Stopping => NotificationKind::Stopping,
            Self::PrimaryChanged(_) => NotificationKind::PrimaryChanged,
            Self::SearchStarted(_) => NotificationKind::SearchStarted,
            Self::SearchLasting(_) => NotificationKind::SearchLasting,
            Self::SearchEnded(_) => NotificationKind::SearchEnded,
            Self::NoPrimary(_) => NotificationKind::NoPrimary,
            Self::PrimaryRestored(_) => NotificationKind::PrimaryRestored,
            Self::EndpointUnavailable(_) => NotificationKind::EndpointUnavailable,
            Self::EndpointAvailable(_) => NotificationKind::EndpointAvailable,
            Self::RejectionsRising(_) => NotificationKind::RejectionsRising,
            Self::RejectionsFallen(_) => NotificationKind::RejectionsFallen,
            Self::QuotaExceeded(_) => NotificationKind::QuotaExceeded,
            Self::QuotaRecovered(_) => NotificationKind::QuotaRecovered,
            Self::StateFault(_) => NotificationKind::StateFault,
            Self::StateRecovered => NotificationKind::StateRecovered,
            Self::Storm(_) => NotificationKind::Storm,
            Self::QueueLong(_) => NotificationKind::QueueLong,
            Self::QueueShort(_) => NotificationKind::QueueShort,
        }
    }
}
