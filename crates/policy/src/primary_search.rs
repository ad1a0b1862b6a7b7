//! Finds the primary of a group, and selects the endpoint of a write.
//!
//! The primary is known from the endpoint list, from roles in answers and from load reports. While
//! it is unknown, one write at a time leads a search: the write is sent to one endpoint after
//! another, while the group's other writes wait. At the same time health checks ask the endpoints
//! for their role, so that a new primary may be found without using up the attempts of a write.
//!
//! Inputs: reported roles, ejections, writes. State: [`PrimarySearch`] of a group whose primary was
//! lost. Bounds: one write in flight for each search. Units: microseconds.

use std::collections::BTreeSet;

use crate::endpoint::ReportedRole;
use crate::events::{Action, EndpointState, Role};
use crate::ids::{ClassId, EndpointId, GroupId, RequestId};
use crate::router::Router;
use crate::scheduling::NoTarget;
use crate::settings::ListedRole;
use crate::time::{Span, Time};
use crate::view::PrimaryEvidence;

/// Pause after every endpoint was tried; also the first interval between two rounds of health
/// checks.
const SEARCH_PAUSE: Span = Span::from_millis(500);
/// Time from the start of a search to its first round of health checks.
const FIRST_CHECKS_AFTER: Span = Span::from_millis(125);
/// The interval between two rounds of health checks grows with the number of routers, by at most
/// this many times [`SEARCH_PAUSE`].
const MAX_EXTRA_PAUSES: f64 = 8.0;
/// The interval between two rounds of health checks is multiplied by a random factor between this
/// value and this value plus 1.
const MIN_JITTER: f64 = 0.5;

/// The write that leads a search, and the endpoint that it was sent to.
#[derive(Clone, Copy, Debug)]
struct LeadingWrite {
    request: RequestId,
    endpoint: EndpointId,
    sent_at: Time,
}

/// The search for the primary of one group.
#[derive(Debug)]
pub(crate) struct PrimarySearch {
    leading_write: Option<LeadingWrite>,
    /// Endpoints that were tried in this round.
    tried_endpoints: BTreeSet<EndpointId>,
    /// End of the pause after a round.
    paused_until: Option<Time>,
    next_checks_at: Time,
    check_interval: Span,
    started_at: Time,
}

impl PrimarySearch {
    fn new(lost: EndpointId, now: Time) -> Self {
        Self {
            leading_write: None,
            tried_endpoints: BTreeSet::from([lost]),
            paused_until: None,
            next_checks_at: now + FIRST_CHECKS_AFTER,
            check_interval: SEARCH_PAUSE,
            started_at: now,
        }
    }

    pub(crate) fn started_at(&self) -> Time {
        self.started_at
    }

    fn is_trying(&self, endpoint: EndpointId) -> bool {
        self.leading_write
            .is_some_and(|write| write.endpoint == endpoint)
    }

    /// Marks an endpoint as tried, and ends the lead of a write that was sent to it.
    fn rule_out(&mut self, endpoint: EndpointId) {
        self.tried_endpoints.insert(endpoint);
        if self.is_trying(endpoint) {
            self.leading_write = None;
        }
    }

    /// Returns the next untried candidate of this round, and pauses the search after the last one.
    fn next_untried(&mut self, candidates: &[EndpointId], now: Time) -> Option<EndpointId> {
        if self.leading_write.is_some() || self.paused_until.is_some_and(|until| now < until) {
            return None;
        }
        if self.paused_until.take().is_some() {
            self.tried_endpoints.clear();
        }
        let next = candidates
            .iter()
            .find(|id| !self.tried_endpoints.contains(id))
            .copied();
        if next.is_none() {
            self.paused_until = Some(now + SEARCH_PAUSE);
        }
        next
    }
}

impl Router {
    /// Sets the primary of a group without evidence for one: the endpoint that the list names or,
    /// if there is none and no search runs, the lowest ready endpoint. The list is the weakest
    /// evidence; it is ignored for an endpoint that has reported its own role, and for one that is
    /// ejected, because only a search or a read from any endpoint gives that a trial attempt.
    pub(crate) fn seed_primary(&mut self, id: GroupId) {
        let trusts_list = self.settings.listed_role != ListedRole::Ignored;
        let endpoints = &self.endpoints;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        if group.knows_primary() {
            return;
        }
        let is_listed = |id: &EndpointId| {
            let endpoint = &endpoints[id];
            endpoint.listed_primary && endpoint.role.is_none() && !endpoint.outlier.is_ejected()
        };
        let mut ready = group
            .endpoints
            .iter()
            .copied()
            .filter(|id| endpoints[id].state == EndpointState::Ready);
        let listed = ready.clone().find(|id| trusts_list && is_listed(id));
        let lowest = ready.next();
        if listed.is_some() {
            group.set_primary(listed, PrimaryEvidence::EndpointList, self.now);
        } else if group.primary.is_none() && group.search.is_none() {
            group.set_primary(lowest, PrimaryEvidence::Unknown, self.now);
        }
    }

    /// Records a role that an endpoint reported, in an answer or in a load report. The newest
    /// report takes precedence.
    pub(crate) fn on_role(
        &mut self,
        id: EndpointId,
        reported: ReportedRole,
        evidence: PrimaryEvidence,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.role.is_some_and(|last| last.at > reported.at) {
            return;
        }
        endpoint.role = Some(reported);
        if reported.role == Role::Replica {
            return self.rule_out_primary(id);
        }
        let answered = evidence == PrimaryEvidence::Answer;
        if endpoint.state != EndpointState::Ready || (endpoint.outlier.is_ejected() && !answered) {
            return;
        }
        let group_id = endpoint.group;
        if self.has_newer_primary(group_id, id, reported.at) {
            return;
        }
        let Some(group) = self.groups.get_mut(&group_id) else {
            return;
        };
        let found_by_search = answered
            && group
                .search
                .as_ref()
                .is_some_and(|search| search.is_trying(id));
        let evidence = if found_by_search {
            PrimaryEvidence::Search
        } else {
            evidence
        };
        group.set_primary(Some(id), evidence, self.now);
    }

    /// Whether another endpoint is the group's primary according to a report that is at least as
    /// new.
    fn has_newer_primary(&self, group: GroupId, candidate: EndpointId, reported_at: Time) -> bool {
        let current = self.groups.get(&group).and_then(|group| group.primary);
        let Some(current) = current.filter(|id| *id != candidate) else {
            return false;
        };
        self.endpoints.get(&current).is_some_and(|endpoint| {
            !endpoint.outlier.is_ejected()
                && endpoint
                    .role
                    .is_some_and(|last| last.role == Role::Primary && last.at >= reported_at)
        })
    }

    /// Rules out an endpoint that is not the primary or not usable as one. Starts a search if the
    /// group had it as its primary.
    pub(crate) fn rule_out_primary(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&endpoint.group) else {
            return;
        };
        if group.primary == Some(id) {
            group.set_primary(None, PrimaryEvidence::Unknown, self.now);
            group.search = Some(PrimarySearch::new(id, self.now));
        } else if let Some(search) = &mut group.search {
            search.rule_out(id);
        }
    }

    /// Advances the primary search of a group with waiting requests.
    pub(crate) fn run_primary_search(&mut self, id: GroupId, actions: &mut Vec<Action>) {
        self.replace_overdue_leader(id);
        self.check_roles(id, actions);
    }

    fn search_mut(&mut self, id: GroupId) -> Option<&mut PrimarySearch> {
        self.groups.get_mut(&id)?.search.as_mut()
    }

    /// Lets another write lead the search if the attempt of the leading write takes too long or its
    /// request has ended.
    fn replace_overdue_leader(&mut self, id: GroupId) {
        let leader = self.search_mut(id).and_then(|search| search.leading_write);
        let Some(leader) = leader else {
            return;
        };
        let is_overdue = self.pending.get(&leader.request).is_none_or(|request| {
            self.now - leader.sent_at > self.unresponsive_after(request.class, 1)
        });
        if !is_overdue {
            return;
        }
        if let Some(search) = self.search_mut(id) {
            search.leading_write = None;
            search.tried_endpoints.insert(leader.endpoint);
        }
    }

    /// Asks the endpoints of a group for their role by health checks, with exponential backoff and
    /// jitter because many routers search at once.
    fn check_roles(&mut self, id: GroupId, actions: &mut Vec<Action>) {
        let now = self.now;
        let is_due = self
            .search_mut(id)
            .is_some_and(|search| now >= search.next_checks_at);
        if !is_due {
            return;
        }
        let jitter = MIN_JITTER + self.random();
        // The more routers share an endpoint, the longer each of them waits.
        let routers_per_endpoint =
            f64::from(self.settings.routers) / self.endpoints.len().max(1) as f64;
        let max_interval = SEARCH_PAUSE.times(1.0 + routers_per_endpoint.min(MAX_EXTRA_PAUSES));
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let Some(search) = &mut group.search else {
            return;
        };
        search.next_checks_at = now + search.check_interval.times(jitter);
        search.check_interval = (search.check_interval * 2).min(max_interval);
        for endpoint in group.endpoints.clone() {
            self.start_health_check(endpoint, actions);
        }
    }

    /// Selects the endpoint of a write: the primary or, for the one write that leads a search, the
    /// next endpoint to try.
    pub(crate) fn select_write_target(&mut self, id: RequestId) -> Result<EndpointId, NoTarget> {
        let Some(request) = self.pending.get(&id) else {
            return Err(NoTarget::RequestEnded);
        };
        let (group_id, class, attempts) = (request.group, request.class, request.attempts);
        let Some(group) = self.groups.get(&group_id) else {
            return Err(NoTarget::NoPrimary);
        };
        if group.search.is_none() {
            let primary = group.primary.ok_or(NoTarget::NoPrimary)?;
            return self.acquire_target(primary, class, 0);
        }
        // A write that leads a search reserves its last attempt for the primary that is found,
        // unless it may have only one attempt.
        if attempts + 1 >= self.settings.limits.max_attempts.max(2) {
            return Err(NoTarget::LastAttemptReserved);
        }
        self.lead_search(id, group_id, class)
    }

    /// Lets a write lead the search if no other write does and an endpoint is left to try.
    fn lead_search(
        &mut self,
        request: RequestId,
        group: GroupId,
        class: ClassId,
    ) -> Result<EndpointId, NoTarget> {
        let endpoint = self.next_search_target(group).ok_or(NoTarget::Searching)?;
        let has_budget = self.try_acquire_slow_start_budget(endpoint, class);
        let now = self.now;
        let search = self.search_mut(group).ok_or(NoTarget::NoPrimary)?;
        if !has_budget {
            search.tried_endpoints.insert(endpoint);
            return Err(NoTarget::NoCapacity);
        }
        search.leading_write = Some(LeadingWrite {
            request,
            endpoint,
            sent_at: now,
        });
        Ok(endpoint)
    }

    fn next_search_target(&mut self, group: GroupId) -> Option<EndpointId> {
        let now = self.now;
        let candidates: Vec<EndpointId> = self
            .groups
            .get(&group)?
            .endpoints
            .iter()
            .filter(|id| self.accepts_attempts(**id))
            .copied()
            .collect();
        self.search_mut(group)?.next_untried(&candidates, now)
    }

    /// Releases the search after the leading write's attempt has ended: the write then tries
    /// another endpoint, or another write leads.
    pub(crate) fn release_search(
        &mut self,
        group: GroupId,
        request: RequestId,
        endpoint: EndpointId,
    ) {
        let Some(search) = self.search_mut(group) else {
            return;
        };
        if search
            .leading_write
            .is_some_and(|write| write.request == request)
        {
            search.leading_write = None;
            search.tried_endpoints.insert(endpoint);
        }
    }

    /// Selects the primary if there is evidence for it and it has capacity for an attempt now and
    /// `reserved` more.
    pub(crate) fn select_known_primary(
        &mut self,
        group: GroupId,
        class: ClassId,
        reserved: usize,
    ) -> Result<EndpointId, NoTarget> {
        let primary = self
            .groups
            .get(&group)
            .filter(|group| group.search.is_none())
            .and_then(|group| group.known_primary())
            .ok_or(NoTarget::NoPrimary)?;
        self.acquire_target(primary, class, reserved)
    }
}
