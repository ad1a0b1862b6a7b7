//! Compares each look at the gateway with the one before, and reports what changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use valehatch_core::LiveView;
use valehatch_policy::{EndpointHealth, EndpointId, GroupId, Time};
use valehatch_request_log::{Counters, Scope};

use crate::groups::{GroupLook, GroupState};
use crate::notification::{ClassRate, EndpointNotification, Notification, QuotaUse, TenantWait};
use crate::storm::StormFilter;
use crate::thresholds::{Condition, Crossing, RateWindow, Thresholds};

/// The state of a front at a look.
#[derive(Clone, Copy, Debug)]
pub struct FrontStatus<'a> {
    /// The front's name.
    pub name: &'a Arc<str>,
    /// The state that its core published last.
    pub live: &'a LiveView,
    /// The tenants of the front, each with this gateway's share of the quota in requests per second.
    pub tenants: &'a [(Arc<str>, f64)],
}

/// A name that is unique within its front.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct NameInFront {
    front: Arc<str>,
    name: Arc<str>,
}

impl NameInFront {
    fn new(front: &Arc<str>, name: &Arc<str>) -> Self {
        Self {
            front: Arc::clone(front),
            name: Arc::clone(name),
        }
    }
}

#[derive(Debug)]
struct EndpointStatus {
    /// The endpoint's state at the last look, as a notification carries it.
    last: EndpointNotification,
    /// The number of the last look at which the endpoint was listed.
    seen: u64,
}

#[derive(Debug, Default)]
struct ClassRejections {
    rate: RateWindow,
    condition: Condition,
}

/// Compares each look at the gateway with the one before.
#[derive(Debug)]
pub struct NotificationMonitor {
    thresholds: Thresholds,
    /// Number of looks so far.
    looks: u64,
    groups: BTreeMap<(Arc<str>, GroupId), GroupState>,
    endpoints: BTreeMap<(Arc<str>, EndpointId), EndpointStatus>,
    rejections: BTreeMap<NameInFront, ClassRejections>,
    quotas: BTreeMap<NameInFront, Condition>,
    queues: BTreeMap<NameInFront, Condition>,
    state_fault: bool,
    stopping: bool,
    storm: StormFilter,
    /// Notifications of the look in progress.
    pending: Vec<Notification>,
}

impl NotificationMonitor {
    /// Creates a monitor. Its first look reports the start and all conditions that hold already.
    #[must_use]
    pub fn new(thresholds: Thresholds) -> Self {
        Self {
            thresholds,
            looks: 0,
            groups: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            rejections: BTreeMap::new(),
            quotas: BTreeMap::new(),
            queues: BTreeMap::new(),
            state_fault: false,
            stopping: false,
            storm: StormFilter::default(),
            pending: vec![],
        }
    }

    /// Replaces the thresholds. A condition that holds continues until it is below the new falling
    /// edge.
    pub fn set_thresholds(&mut self, thresholds: Thresholds) {
        self.thresholds = thresholds;
    }

    /// Takes a look; returns the notifications to be sent. `state_fault` is the current fault of
    /// the request log, if it has one.
    pub fn look(
        &mut self,
        now: Time,
        fronts: &[FrontStatus<'_>],
        counters: &Counters,
        state_fault: Option<&str>,
    ) -> Vec<Notification> {
        self.looks += 1;
        if self.looks == 1 {
            self.pending.push(Notification::Started);
        }
        for front in fronts {
            self.compare_groups(front);
            self.compare_endpoints(front);
            self.compare_quotas(front);
            self.compare_queues(front);
        }
        self.compare_rejections(now, counters);
        self.compare_state(state_fault);
        if !self.stopping && fronts.iter().any(|front| front.live.shutting_down) {
            self.stopping = true;
            self.pending.push(Notification::Stopping);
        }
        self.remove_unseen();
        let pending = std::mem::take(&mut self.pending);
        let Thresholds {
            storm_limit,
            storm_window,
            ..
        } = self.thresholds;
        self.storm.filter(now, pending, storm_limit, storm_window)
    }

    fn compare_groups(&mut self, front: &FrontStatus<'_>) {
        for group in &front.live.groups {
            let look = GroupLook::new(front.name, front.live, group);
            let key = (Arc::clone(front.name), group.group);
            let state = self
                .groups
                .entry(key)
                .or_insert_with(|| GroupState::before(&look));
            state.seen = self.looks;
            state.update(&look, &self.thresholds, &mut self.pending);
        }
    }

    fn compare_endpoints(&mut self, front: &FrontStatus<'_>) {
        for endpoint in &front.live.endpoints {
            let key = (Arc::clone(front.name), endpoint.view.endpoint);
            let current = EndpointNotification {
                front: Arc::clone(front.name),
                endpoint: endpoint.view.endpoint,
                name: Arc::clone(&endpoint.name),
                group: endpoint.view.group,
                health: endpoint.view.health,
            };
            let is_healthy = current.health == EndpointHealth::Healthy;
            let previous = self.endpoints.insert(
                key,
                EndpointStatus {
                    last: current.clone(),
                    seen: self.looks,
                },
            );
            let was_healthy =
                previous.is_none_or(|status| status.last.health == EndpointHealth::Healthy);
            match (was_healthy, is_healthy) {
                (true, false) => self
                    .pending
                    .push(Notification::EndpointUnavailable(current)),
                (false, true) => self.pending.push(Notification::EndpointAvailable(current)),
                _ => {}
            }
        }
    }

    fn compare_quotas(&mut self, front: &FrontStatus<'_>) {
        for ((tenant, quota_per_s), rate_per_s) in
            front.tenants.iter().zip(&front.live.request_rates)
        {
            #[allow(
                clippy::cast_precision_loss,
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss
            )]
            let per_mille = (*rate_per_s as f64 * 1000.0 / quota_per_s.max(1e-9)) as u64;
            let key = NameInFront::new(front.name, tenant);
            let condition = self.quotas.entry(key).or_default();
            let Some(crossing) = condition.update(per_mille, self.thresholds.quota) else {
                continue;
            };
            let quota_use = QuotaUse {
                front: Arc::clone(front.name),
                tenant: Arc::clone(tenant),
                per_mille,
            };
            self.pending.push(match crossing {
                Crossing::Rising => Notification::QuotaExceeded(quota_use),
                Crossing::Falling => Notification::QuotaRecovered(quota_use),
            });
        }
    }

    fn compare_queues(&mut self, front: &FrontStatus<'_>) {
        for ((tenant, _), queue) in front.tenants.iter().zip(&front.live.tenant_queues) {
            let wait_ms = u64::try_from(queue.oldest.0 / 1000).unwrap_or(0);
            let key = NameInFront::new(front.name, tenant);
            let condition = self.queues.entry(key).or_default();
            let Some(crossing) = condition.update(wait_ms, self.thresholds.queue_wait) else {
                continue;
            };
            let wait = TenantWait {
                front: Arc::clone(front.name),
                tenant: Arc::clone(tenant),
                wait_ms,
            };
            self.pending.push(match crossing {
                Crossing::Rising => Notification::QueueLong(wait),
                Crossing::Falling => Notification::QueueShort(wait),
            });
        }
    }

    fn compare_rejections(&mut self, now: Time, counters: &Counters) {
        let window = self.thresholds.rejections_window;
        for (row_key, row) in counters.rows() {
            if row_key.scope != Scope::Class {
                continue;
            }
            let key = NameInFront::new(&row_key.front, &row_key.name);
            let class = self.rejections.entry(key).or_default();
            let Some(per_1000_s) = class.rate.add(now, row.rejected(), window) else {
                continue;
            };
            let crossing = class
                .condition
                .update(per_1000_s, self.thresholds.rejections);
            let Some(crossing) = crossing else {
                continue;
            };
            let rate = ClassRate {
                front: Arc::clone(&row_key.front),
                class: Arc::clone(&row_key.name),
                per_1000_s,
            };
            self.pending.push(match crossing {
                Crossing::Rising => Notification::RejectionsRising(rate),
                Crossing::Falling => Notification::RejectionsFallen(rate),
            });
        }
    }

    fn compare_state(&mut self, fault: Option<&str>) {
        if fault.is_some() == self.state_fault {
            return;
        }
        self.state_fault = fault.is_some();
        self.pending.push(match fault {
            Some(fault) => Notification::StateFault(fault.into()),
            None => Notification::StateRecovered,
        });
    }

    /// Removes groups and endpoints that have left the list. For an endpoint that was unavailable,
    /// this ends the condition.
    fn remove_unseen(&mut self) {
        let look = self.looks;
        self.groups.retain(|_, group| group.seen == look);
        let removed = self
            .endpoints
            .extract_if(.., |_, status| status.seen != look);
        for (_, status) in removed {
            if status.last.health != EndpointHealth::Healthy {
                self.pending
                    .push(Notification::EndpointAvailable(status.last));
            }
        }
    }
}
