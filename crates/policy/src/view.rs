//! What a router knows, read-only, for whoever observes it. Nothing here decides or changes
//! anything. Times are in microseconds of the embedder's clock.

use crate::endpoint::Endpoint;
use crate::events::{EndpointState, Role};
use crate::group::Group;
use crate::ids::{EndpointId, GroupId, RequestId};
use crate::outlier_detection::EjectionCause;
use crate::router::Router;
use crate::settings::Consistency;
use crate::time::{Span, Time};

/// An ejected endpoint that has been sent nothing for this long counts as avoided.
const AVOIDED_AFTER: Span = Span::from_millis(1_000);

/// How a group's primary is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum PrimaryEvidence {
    /// It is not known: the lowest endpoint stands in, or none.
    #[default]
    Unknown,
    /// The endpoint list names it.
    EndpointList,
    /// It reported the role in an answer.
    Answer,
    /// It reported the role in a load report.
    LoadReport,
    /// The write that searched for it found it.
    Search,
}

/// Whether a router can use an endpoint, by its own evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointHealth {
    /// It can.
    Healthy,
    /// It leaves what is sent unanswered.
    Unresponsive,
    /// Connections to it fail.
    Unreachable,
}

/// What a router knows of a replication group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupView {
    /// The group.
    pub group: GroupId,
    /// The endpoint that is taken for the primary.
    pub primary: Option<EndpointId>,
    /// How it is known.
    pub known: PrimaryEvidence,
    /// Since when it is taken for the primary.
    pub since: Time,
    /// How often another endpoint, or none, was taken for the primary.
    pub changes: u64,
    /// Since when a search for the primary runs, if one does.
    pub searching: Option<Time>,
    /// Writes that wait.
    pub queued_writes: usize,
    /// All requests that wait.
    pub waiting: usize,
}

/// What a router knows of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its replication group.
    pub group: GroupId,
    /// Its state in the endpoint list.
    pub state: EndpointState,
    /// The role that it is taken to have, if known.
    pub role: Option<Role>,
    /// Whether it can be used.
    pub health: EndpointHealth,
    /// Attempts in flight there.
    pub in_flight: usize,
    /// Concurrency limit: how many attempts may be in flight there.
    pub limit: f64,
    /// Lower bound of its replication position.
    pub position: Option<Time>,
    /// The fraction of its capacity, from 0 to 1, that it surely has in slow start; `None` at full
    /// capacity.
    pub warm: Option<f64>,
}

/// What a router knows.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct RouterView {
    /// The groups, in the order of their ids.
    pub groups: Vec<GroupView>,
    /// The endpoints, in the order of their ids.
    pub endpoints: Vec<EndpointView>,
}

impl Router {
    /// What the router knows as of its last step.
    #[must_use]
    pub fn view(&self) -> RouterView {
        RouterView {
            groups: self
                .groups
                .iter()
                .map(|(id, group)| self.group_view(*id, group))
                .collect(),
            endpoints: self
                .endpoints
                .iter()
                .map(|(id, endpoint)| self.endpoint_view(*id, endpoint))
                .collect(),
        }
    }

    fn group_view(&self, id: GroupId, group: &Group) -> GroupView {
        GroupView {
            group: id,
            primary: group.primary,
            known: group.primary_evidence,
            since: group.primary_since,
            changes: group.primary_changes,
            searching: group.search.as_ref().map(|search| search.started_at()),
            queued_writes: group
                .waiting
                .iter()
                .filter(|id| self.is_write(**id))
                .count(),
            waiting: group.waiting.len(),
        }
    }

    fn is_write(&self, id: RequestId) -> bool {
        self.pending.get(&id).is_some_and(|request| {
            self.settings.class(request.class).consistency == Consistency::Write
        })
    }

    fn endpoint_view(&self, id: EndpointId, endpoint: &Endpoint) -> EndpointView {
        EndpointView {
            endpoint: id,
            group: endpoint.group,
            state: endpoint.state,
            role: self.role_of(id, endpoint),
            health: match endpoint.outlier.ejected() {
                None => EndpointHealth::Healthy,
                Some(EjectionCause::Unresponsive) => EndpointHealth::Unresponsive,
                Some(EjectionCause::Unreachable) => EndpointHealth::Unreachable,
            },
            in_flight: endpoint.in_flight.len(),
            limit: endpoint.concurrency_limit,
            position: endpoint.position,
            warm: self.slow_start_fraction(endpoint),
        }
    }

    /// Number of listed endpoints that get no requests now: those that drain, and those that are
    /// ejected and have been sent nothing for a second. One that was ejected just now, or still
    /// gets trial attempts, does not count.
    #[must_use]
    pub fn avoided(&self) -> usize {
        self.endpoints
            .values()
            .filter(|endpoint| self.is_avoided(endpoint))
            .count()
    }

    fn is_avoided(&self, endpoint: &Endpoint) -> bool {
        match endpoint.state {
            EndpointState::Draining => true,
            EndpointState::Removed => false,
            EndpointState::Ready => {
                endpoint.outlier.is_ejected()
                    && endpoint
                        .last_sent_at
                        .is_none_or(|at| self.now - at >= AVOIDED_AFTER)
            }
        }
    }

    /// The known primary counts as one whatever it reported last; other endpoints count as what
    /// they reported.
    fn role_of(&self, id: EndpointId, endpoint: &Endpoint) -> Option<Role> {
        let is_known_primary = self
            .groups
            .get(&endpoint.group)
            .is_some_and(|group| group.known_primary() == Some(id));
        if is_known_primary {
            return Some(Role::Primary);
        }
        endpoint.role.map(|reported| reported.role)
    }
}
