//! Conditions of one endpoint group: its primary, and the search for it.

use std::sync::Arc;

use valehatch_core::LiveView;
use valehatch_policy::{EndpointId, GroupView, PrimaryEvidence, Time};

use crate::notification::{GroupNotification, Notification};
use crate::thresholds::Thresholds;

/// A condition that lasts, and is reported once if it lasts long.
#[derive(Clone, Copy, Debug)]
struct LastingCondition {
    since: Time,
    reported: bool,
}

impl LastingCondition {
    const fn new(since: Time) -> Self {
        Self {
            since,
            reported: false,
        }
    }
}

/// A group at the last look.
#[derive(Debug)]
pub(crate) struct GroupState {
    /// The primary's name, empty if there was none.
    primary: Arc<str>,
    changes: u64,
    search: Option<LastingCondition>,
    without_primary: Option<LastingCondition>,
    /// The number of the last look at which the group was listed.
    pub(crate) seen: u64,
}

/// A group at a look.
pub(crate) struct GroupLook<'a> {
    front: &'a Arc<str>,
    group: &'a GroupView,
    primary: Arc<str>,
    now: Time,
}

impl<'a> GroupLook<'a> {
    pub(crate) fn new(front: &'a Arc<str>, live: &LiveView, group: &'a GroupView) -> Self {
        // Without evidence the primary is only a substitute.
        let primary = match group.primary {
            Some(endpoint) if group.known != PrimaryEvidence::Unknown => {
                endpoint_name(live, endpoint)
            }
            _ => Arc::from(""),
        };
        Self {
            front,
            group,
            primary,
            now: live.taken_at,
        }
    }

    fn notification(&self, previous_primary: &Arc<str>, since: Time) -> GroupNotification {
        GroupNotification {
            front: Arc::clone(self.front),
            group: self.group.group,
            primary: Arc::clone(&self.primary),
            previous_primary: Arc::clone(previous_primary),
            evidence: self.group.known,
            changes: self.group.changes,
            queued_writes: self.group.queued_writes as u64,
            lasted_ms: u64::try_from((self.now - since).0 / 1000).unwrap_or(0),
        }
    }
}

/// The name of an endpoint; its number if it is not on the list.
fn endpoint_name(live: &LiveView, endpoint: EndpointId) -> Arc<str> {
    let listed = live
        .endpoints
        .iter()
        .find(|member| member.view.endpoint == endpoint);
    match listed {
        Some(member) => Arc::clone(&member.name),
        None => Arc::from(format!("{:08x}", endpoint.0)),
    }
}

impl GroupState {
    /// The state before a group's first look. The first primary is no change; further changes
    /// before the look are.
    pub(crate) fn before(look: &GroupLook<'_>) -> Self {
        Self {
            primary: Arc::clone(&look.primary),
            changes: look.group.changes.min(1),
            search: None,
            without_primary: None,
            seen: 0,
        }
    }

    /// Compares a look with the one before, and adds the notifications of what changed.
    pub(crate) fn update(
        &mut self,
        look: &GroupLook<'_>,
        thresholds: &Thresholds,
        out: &mut Vec<Notification>,
    ) {
        let previous = std::mem::replace(&mut self.primary, Arc::clone(&look.primary));
        self.update_primary(look, &previous, out);
        self.update_search(look, thresholds, &previous, out);
        self.update_without_primary(look, thresholds, &previous, out);
    }

    fn update_primary(
        &mut self,
        look: &GroupLook<'_>,
        previous: &Arc<str>,
        out: &mut Vec<Notification>,
    ) {
        // Two changes between looks may lead back to the same primary: they are changes all the
        // same.
        let changed_back = look.group.changes > self.changes + 1 && !look.primary.is_empty();
        self.changes = look.group.changes;
        if *previous != look.primary || changed_back {
            let notification = look.notification(previous, look.group.since);
            out.push(Notification::PrimaryChanged(notification));
        }
    }

    fn update_search(
        &mut self,
        look: &GroupLook<'_>,
        thresholds: &Thresholds,
        previous: &Arc<str>,
        out: &mut Vec<Notification>,
    ) {
        match (self.search, look.group.searching) {
            (None, Some(since)) => {
                self.search = Some(LastingCondition::new(since));
                let notification = look.notification(previous, since);
                out.push(Notification::SearchStarted(notification));
            }
            (Some(search), None) => {
                self.search = None;
                let notification = look.notification(previous, search.since);
                out.push(Notification::SearchEnded(notification));
            }
            _ => {}
        }
        if let Some(search) = &mut self.search
            && !search.reported
            && look.now - search.since >= thresholds.search_lasting
        {
            search.reported = true;
            let notification = look.notification(previous, search.since);
            out.push(Notification::SearchLasting(notification));
        }
    }

    fn update_without_primary(
        &mut self,
        look: &GroupLook<'_>,
        thresholds: &Thresholds,
        previous: &Arc<str>,
        out: &mut Vec<Notification>,
    ) {
        if !look.primary.is_empty() {
            if let Some(ended) = self.without_primary.take()
                && ended.reported
            {
                let notification = look.notification(previous, ended.since);
                out.push(Notification::PrimaryRestored(notification));
            }
            return;
        }
        let condition = self
            .without_primary
            .get_or_insert(LastingCondition::new(look.now));
        if !condition.reported && look.now - condition.since >= thresholds.no_primary {
            condition.reported = true;
            let notification = look.notification(previous, condition.since);
            out.push(Notification::NoPrimary(notification));
        }
    }
}
