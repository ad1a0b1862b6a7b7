//! Limits the number of notifications within a window. Those beyond the limit are counted by kind
//! and reported as one when the window has ended.

use std::collections::BTreeMap;

use valehatch_policy::{Span, Time};

use crate::notification::{Notification, NotificationKind};

/// The window in progress.
#[derive(Debug, Default)]
pub(crate) struct StormFilter {
    /// When the window began, with its first notification; `None` before that.
    window_began: Option<Time>,
    passed: usize,
    suppressed: BTreeMap<NotificationKind, u64>,
}

impl StormFilter {
    /// Returns the notifications that are within the window's limit. Start and stop are exempt.
    pub(crate) fn filter(
        &mut self,
        now: Time,
        notifications: Vec<Notification>,
        limit: usize,
        window: Span,
    ) -> Vec<Notification> {
        let mut passed = vec![];
        if self.window_began.is_some_and(|began| now - began >= window) {
            self.window_began = None;
            self.passed = 0;
            if !self.suppressed.is_empty() {
                let suppressed = std::mem::take(&mut self.suppressed);
                passed.push(Notification::Storm(suppressed.into_iter().collect()));
            }
        }
        for notification in notifications {
            self.window_began.get_or_insert(now);
            let kind = notification.kind();
            if matches!(kind, NotificationKind::Started | NotificationKind::Stopping) {
                passed.push(notification);
            } else if self.passed < limit {
                self.passed += 1;
                passed.push(notification);
            } else {
                *self.suppressed.entry(kind).or_default() += 1;
            }
        }
        passed
    }
}
