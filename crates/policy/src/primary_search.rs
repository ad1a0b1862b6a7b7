//! Finds the primary of a group.

#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use crate::events::*;
use crate::ids::*;
use crate::router::Router;
use crate::settings::*;
use crate::time::*;
use crate::view::*;
use std::collections::BTreeSet;

/// Design page: the pause after a round of misses.
pub(crate) const SEARCH_PAUSE: Span = Span::from_millis(500);
/// How many times the first pause the pauses between questions to members grow to.
pub(crate) const LONGEST_GAP: f64 = 8.0;
#[derive(Debug)]
pub(crate) struct Search {
    pub(crate) leader: Option<(RequestId, EndpointId, Time)>,
    pub(crate) tried: BTreeSet<EndpointId>,
    pub(crate) pause_until: Option<Time>,
    pub(crate) ask_at: Time,
    pub(crate) gap: Span,
    pub(crate) began: Time,
}

impl Router {
    /// Design page: seeded from the list's role or the lowest sorted member. The list's word is the weakest:
    /// it counts only while nothing better is known, and not for a member that has told its role itself.
    pub(crate) fn seed_primary(&mut self, id: GroupId) {
        let (endpoints, trusted, now) = (
            &self.endpoints,
            self.cfg.listed_role != ListedRole::Ignored,
            self.now,
        );
        let Some(group) = self.groups.get_mut(&id).filter(|g| !g.known) else {
            return;
        };
        let mut ready = group
            .members
            .iter()
            .filter(|n| endpoints[n].state == EndpointState::Ready);
        let listed =
            |n: &&EndpointId| trusted && endpoints[n].listed_primary && endpoints[n].role.is_none();
        if let Some(member) = ready.clone().find(listed) {
            group.believe(Some(*member), PrimaryEvidence::EndpointList, now);
        } else if group.primary.is_none() && group.search.is_none() {
            group.believe(ready.next().copied(), PrimaryEvidence::Unknown, now);
        }
    }

    pub(crate) fn on_role(&mut self, id: EndpointId, role: Role, at: Time, answered: bool) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.role.is_some_and(|(_, told)| told > at) {
            return;
        }
        endpoint.role = Some((role, at));
        let (group_id, shut, ready) = (
            endpoint.group,
            endpoint.health.shut.is_some(),
            endpoint.state == EndpointState::Ready,
        );
        if role == Role::Replica {
            return self.lose_primary(id);
        }
        let Some(group) = self.groups.get_mut(&group_id) else {
            return;
        };
        let other = group
            .primary
            .filter(|p| *p != id)
            .and_then(|p| self.endpoints.get(&p));
        let beaten = other.is_none_or(|p| {
            p.health.shut.is_some()
                || p.role
                    .is_none_or(|(r, told)| r == Role::Replica || told < at)
        });
        if beaten && ready && (answered || !shut) {
            let led = group
                .search
                .as_ref()
                .is_some_and(|s| s.leader.is_some_and(|(_, endpoint, _)| endpoint == id));
            let told = if answered {
                PrimaryEvidence::Answer
            } else {
                PrimaryEvidence::LoadReport
            };
            group.believe(
                Some(id),
                if led && answered {
                    PrimaryEvidence::Search
                } else {
                    told
                },
                self.now,
            );
        }
    }

    pub(crate) fn lose_primary(&mut self, id: EndpointId) {
        let Some(group) = self
            .endpoints
            .get(&id)
            .and_then(|n| self.groups.get_mut(&n.group))
        else {
            return;
        };
        if group.primary == Some(id) {
            group.believe(None, PrimaryEvidence::Unknown, self.now);
            let (ask_at, began) = (self.now + Span(SEARCH_PAUSE.0 / 4), self.now);
            let (tried, gap) = (BTreeSet::from([id]), SEARCH_PAUSE);
            group.search = Some(Search {
                leader: None,
                tried,
                pause_until: None,
                ask_at,
                gap,
                began,
            });
        } else if let Some(search) = &mut group.search {
            search.tried.insert(id);
            search.leader.take_if(|(_, endpoint, _)| *endpoint == id);
        }
    }

    /// One write leads; it loses its turn when its attempt stays out too long, so that the search goes on.
    pub(crate) fn tend_search(&mut self, id: GroupId, actions: &mut Vec<Action>) {
        let leader = self.groups.get(&id).and_then(|g| g.search.as_ref()?.leader);
        let over = leader.is_some_and(|(request, _, since)| {
            self.open
                .get(&request)
                .is_none_or(|o| self.now - since > self.patience(o.class, 1))
        });
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let Some(search) = &mut group.search else {
            return;
        };
        if let Some((_, endpoint, _)) = search.leader.take_if(|_| over) {
            search.tried.insert(endpoint);
        }
        // Departure: members are asked for their role while something waits, so that a successor is known
        // without spending a write's attempts; paced, with jitter, as hundreds of routers search at once.
        if self.now < search.ask_at {
            return;
        }
        let members = group.members.clone();
        // The more routers there are for each member, the slower each asks when it has asked in vain.
        let routers = f64::from(self.cfg.routers) / self.endpoints.len().max(1) as f64;
        let (jitter, most) = (0.5 + self.random(), 1.0 + routers.min(LONGEST_GAP));
        let Some(search) = self.groups.get_mut(&id).and_then(|g| g.search.as_mut()) else {
            return;
        };
        search.ask_at = self.now + search.gap.times(jitter);
        search.gap = Span(search.gap.0 * 2).min(SEARCH_PAUSE.times(most));
        members
            .into_iter()
            .for_each(|member| self.probe(member, actions));
    }

    /// The next member in sorted order that this round has not tried; starts the pause after the last.
    pub(crate) fn search_next(&mut self, id: GroupId) -> Option<EndpointId> {
        let (now, members) = (self.now, &self.groups.get(&id)?.members);
        let takes: Vec<EndpointId> = members
            .iter()
            .filter(|n| self.takes(**n))
            .copied()
            .collect();
        let search = self.groups.get_mut(&id)?.search.as_mut()?;
        if search.leader.is_some() || search.pause_until.is_some_and(|at| now < at) {
            return None;
        }
        if search.pause_until.take().is_some() {
            search.tried.clear();
        }
        let next = takes.into_iter().find(|n| !search.tried.contains(n));
        search.pause_until = next.is_none().then_some(now + SEARCH_PAUSE);
        next
    }

    /// The remembered primary; else, for the one write that leads, the next member to try.
    pub(crate) fn target_of_write(&mut self, id: RequestId) -> Option<EndpointId> {
        let open = self.open.get(&id)?;
        let (group, class) = (self.groups.get(&open.group)?, open.class);
        if group.search.is_none() {
            return group.primary.filter(|p| self.grants(*p, class, 0.0));
        }
        // A leader keeps one attempt for the primary that is found, if it has more than one.
        if open.attempts + 1 >= self.cfg.limits.max_attempts.max(2) {
            return None;
        }
        let (group, now) = (open.group, self.now);
        let next = self.search_next(group)?;
        if !self.try_acquire_slow_start_budget(next, class) {
            self.groups
                .get_mut(&group)?
                .search
                .as_mut()?
                .tried
                .insert(next);
            return None;
        }
        self.groups.get_mut(&group)?.search.as_mut()?.leader = Some((id, next, now));
        Some(next)
    }

    pub(crate) fn known_primary(
        &mut self,
        group: GroupId,
        class: ClassId,
        spare: f64,
    ) -> Option<EndpointId> {
        let group = self.groups.get(&group)?;
        let primary = group
            .primary
            .filter(|_| group.known && group.search.is_none())?;
        self.grants(primary, class, spare).then_some(primary)
    }
}
